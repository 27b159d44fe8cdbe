//! Failure detector and dissemination of member updates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_types::{Generation, Incarnation, NodeId, Timestamp, stable_hash};

use crate::broadcast::BroadcastQueue;
use crate::{Directory, Envelope, Member, MemberState, MembershipSettings, Packet};

/// Upper bound on the factor by which suspicion lengthens with the fleet size.
const MAX_SUSPICION_FACTOR: f64 = 1.5;
/// Fleet size from which suspicion lengthens.
const SUSPICION_BASE_FLEET_SIZE: f64 = 64.0;
/// A target is suspected after this many probe timeouts without an answer.
const PROBE_TIMEOUTS_TO_SUSPECT: u32 = 3;
/// Maximum number of pending probes on behalf of other nodes; the oldest is dropped.
const MAX_RELAYED_PROBES: usize = 256;
/// Number of nodes to which a new configuration or a shutdown is announced immediately.
const ANNOUNCEMENT_FANOUT: usize = 4;

/// Action for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message, which may be lost.
    Send {
        /// Address of the recipient.
        to: SocketAddr,
        /// Message to encode and send.
        envelope: Box<Envelope>,
    },
    /// Report a change to other components of this node.
    Event(Event),
}

/// Change of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A new incarnation of a node joined, or a dead one came back.
    Up(Member),
    /// A member did not answer a probe; it may still refute the suspicion.
    Suspected(Member),
    /// An incarnation of a node was declared dead, or was replaced by a later one.
    Down {
        /// Node of the incarnation.
        node: NodeId,
        /// Incarnation that ended.
        incarnation: Incarnation,
    },
    /// A member is shutting down.
    Leaving(Member),
    /// Other nodes declared this node dead, and it refuted the declaration.
    DeathRefuted,
    /// A later incarnation of this node exists: this process was replaced and must stop.
    Replaced,
    /// A peer has a newer configuration in force.
    NewerGeneration {
        /// Node with the newer configuration.
        peer: NodeId,
        /// Generation of the peer's configuration.
        generation: Generation,
    },
}

#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    /// When other nodes are asked to probe the target if it has not answered.
    indirect_at: Timestamp,
    is_indirect_sent: bool,
    /// When the target is declared suspect if it has not answered.
    suspect_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct RelayedProbe {
    requester: SocketAddr,
    requester_sequence: u64,
}

/// State machine of the membership protocol on one node.
#[derive(Debug)]
pub struct Detector {
    settings: MembershipSettings,
    own: Member,
    generation: Generation,
    directory: Directory,
    rng: ChaCha8Rng,
    broadcasts: BroadcastQueue,
    suspects: BTreeMap<NodeId, Timestamp>,
    dead: BTreeMap<NodeId, Timestamp>,
    /// Nodes still to be probed in this round. Each round probes all nodes in a new random order.
    round: Vec<NodeId>,
    probe: Option<PendingProbe>,
    is_successor_turn: bool,
    next_probe_at: Timestamp,
    next_exchange_at: Timestamp,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    sequence: u64,
    seeds: Vec<SocketAddr>,
    effects: Vec<Effect>,
}

impl Detector {
    /// Starts with only the own entry and the addresses of seed nodes. `seed` initializes the random number
    /// generator.
    pub fn new(own: Member, seeds: Vec<SocketAddr>, settings: MembershipSettings, seed: u64) -> Self {
        let mut directory = Directory::default();
        directory.insert(own.clone());
        let seeds = seeds.into_iter().filter(|address| *address != own.address).collect();
        Self {
            settings,
            own,
            generation: Generation::default(),
            directory,
            rng: ChaCha8Rng::seed_from_u64(seed),
            broadcasts: BroadcastQueue::default(),
            suspects: BTreeMap::new(),
            dead: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            is_successor_turn: false,
            next_probe_at: Timestamp::default(),
            next_exchange_at: Timestamp::default(),
            relayed_probes: BTreeMap::new(),
            sequence: 0,
            seeds,
            effects: Vec::new(),
        }
    }

    /// Known members, including this node.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Entry of this node.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sets the generation in force on this node; if it is newer, announces it to a few nodes immediately.
    pub fn set_generation(&mut self, generation: Generation) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        for address in self.random_peers(ANNOUNCEMENT_FANOUT, &[]) {
            self.send(address, Packet::NewGeneration);
        }
    }

    /// Announces that this node is shutting down.
    pub fn leave(&mut self) {
        if self.own.is_leaving {
            return;
        }
        self.own.is_leaving = true;
        self.own.refutation += 1;
        self.publish_own();
        for address in self.random_peers(ANNOUNCEMENT_FANOUT, &[]) {
            let sequence = self.next_sequence();
            self.send(address, Packet::Probe { sequence });
        }
    }

    /// Advances timers: ends probes and suspicions that timed out, and starts due probes and exchanges.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_probe(now);
        self.expire_suspects(now);
        self.remove_expired_dead(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            self.start_probe(now);
        }
        if now >= self.next_exchange_at {
            self.start_exchange(now);
        }
    }

    /// Processes a message from another node.
    pub fn receive(&mut self, envelope: Envelope, now: Timestamp) {
        let from = envelope.sender.address;
        let sender = envelope.sender.node;
        if sender == self.own.node && envelope.sender.incarnation == self.own.incarnation {
            return;
        }
        if envelope.generation > self.generation {
            let generation = envelope.generation;
            self.effects.push(Effect::Event(Event::NewerGeneration { peer: sender, generation }));
        }
        self.merge_member(envelope.sender, now);
        for member in envelope.updates {
            self.merge_member(member, now);
        }
        match envelope.packet {
            Packet::Probe { sequence } => self.send(from, Packet::Ack { sequence }),
            Packet::Ack { sequence } => self.receive_ack(sequence),
            Packet::ProbeRequest { sequence, target } => self.relay_probe(from, sequence, target),
            Packet::RelayedAck { sequence } => self.end_probe(sequence),
            Packet::Exchange { digest } => {
                if digest != self.directory.digest() {
                    self.send_members(from, true);
                }
            }
            Packet::Members { members, wants_reply } => {
                for member in members {
                    self.merge_member(member, now);
                }
                if wants_reply {
                    self.send_members(from, false);
                }
            }
            Packet::NewGeneration => {}
        }
    }

    fn start_probe(&mut self, now: Timestamp) {
        if self.probe.is_some() {
            return;
        }
        self.is_successor_turn = !self.is_successor_turn;
        let target = if self.is_successor_turn { self.successor() } else { self.next_target() };
        let Some(target) = target else { return };
        let Some(address) = self.directory.get(target).map(|member| member.address) else { return };
        let sequence = self.next_sequence();
        self.probe = Some(PendingProbe {
            target,
            sequence,
            indirect_at: now + self.settings.probe_timeout,
            is_indirect_sent: false,
            suspect_at: now + self.settings.probe_timeout * PROBE_TIMEOUTS_TO_SUSPECT,
        });
        self.send(address, Packet::Probe { sequence });
    }

    fn next_target(&mut self) -> Option<NodeId> {
        if self.round.is_empty() {
            let own = self.own.node;
            self.round =
                self.directory.live().map(|member| member.node).filter(|node| *node != own).collect();
            self.round.shuffle(&mut self.rng);
        }
        while let Some(node) = self.round.pop() {
            let known = self.directory.get(node);
            if known.is_some_and(|member| member.state != MemberState::Dead) {
                return Some(node);
            }
        }
        None
    }

    /// The next live member on a ring of hashed node ids.
    ///
    /// Random probes alone leave some nodes unprobed for many periods. Every node is the successor of exactly
    /// one other, so probing successors bounds the time until a crash is noticed.
    fn successor(&self) -> Option<NodeId> {
        let position = |node: NodeId| (stable_hash(&[&node.0.to_le_bytes()]), node);
        let own = position(self.own.node);
        let others = self.directory.live().map(|member| position(member.node)).filter(|one| *one != own);
        others.min_by_key(|one| (*one < own, *one)).map(|(_, node)| node)
    }

    fn advance_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.as_mut() else { return };
        if now >= probe.suspect_at {
            let target = probe.target;
            self.probe = None;
            self.suspect(target, now);
            return;
        }
        if now < probe.indirect_at || probe.is_indirect_sent {
            return;
        }
        probe.is_indirect_sent = true;
        let (target, sequence) = (probe.target, probe.sequence);
        for address in self.random_peers(self.settings.indirect_probes, &[target]) {
            self.send(address, Packet::ProbeRequest { sequence, target });
        }
        // Repeats the direct probe, which may have been lost: cheap, and avoids a false suspicion.
        if let Some(address) = self.directory.get(target).map(|member| member.address) {
            self.send(address, Packet::Probe { sequence });
        }
    }

    fn receive_ack(&mut self, sequence: u64) {
        if let Some(relayed_probe) = self.relayed_probes.remove(&sequence) {
            let sequence = relayed_probe.requester_sequence;
            self.send(relayed_probe.requester, Packet::RelayedAck { sequence });
            return;
        }
        self.end_probe(sequence);
    }

    fn end_probe(&mut self, sequence: u64) {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
    }

    fn relay_probe(&mut self, requester: SocketAddr, requester_sequence: u64, target: NodeId) {
        let Some(address) = self.directory.get(target).map(|member| member.address) else { return };
        let sequence = self.next_sequence();
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            self.relayed_probes.pop_first();
        }
        self.relayed_probes.insert(sequence, RelayedProbe { requester, requester_sequence });
        self.send(address, Packet::Probe { sequence });
    }

    fn suspect(&mut self, node: NodeId, now: Timestamp) {
        let Some(known) = self.directory.get(node) else { return };
        if known.state == MemberState::Alive {
            let mut member = known.clone();
            member.state = MemberState::Suspect;
            self.merge_member(member, now);
        }
    }

    fn expire_suspects(&mut self, now: Timestamp) {
        let expired: Vec<NodeId> =
            self.suspects.iter().filter(|(_, until)| now >= **until).map(|(node, _)| *node).collect();
        for node in expired {
            self.suspects.remove(&node);
            if let Some(known) = self.directory.get(node) {
                let mut member = known.clone();
                member.state = MemberState::Dead;
                self.merge_member(member, now);
            }
        }
    }

    fn remove_expired_dead(&mut self, now: Timestamp) {
        let expired: Vec<NodeId> =
            self.dead.iter().filter(|(_, until)| now >= **until).map(|(node, _)| *node).collect();
        for node in expired {
            self.dead.remove(&node);
            self.directory.remove(node);
        }
    }

    fn start_exchange(&mut self, now: Timestamp) {
        let is_alone = self.directory.live().count() == 1;
        let interval = if is_alone { self.settings.probe_interval } else { self.settings.exchange_interval };
        // Jitter keeps nodes that started together from exchanging at the same time.
        self.next_exchange_at = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let digest = self.directory.digest();
        for address in self.random_peers(1, &[]) {
            self.send(address, Packet::Exchange { digest });
        }
        let known: Vec<SocketAddr> = self.directory.live().map(|member| member.address).collect();
        let mut unknown: Vec<SocketAddr> =
            self.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
        unknown.shuffle(&mut self.rng);
        let count = if is_alone { unknown.len() } else { 1 };
        for address in unknown.into_iter().take(count) {
            self.send(address, Packet::Exchange { digest });
        }
    }

    /// Merges an update of a member, unless it is outdated.
    fn merge_member(&mut self, member: Member, now: Timestamp) {
        if member.node == self.own.node {
            self.merge_own(&member);
            return;
        }
        let known = self.directory.get(member.node).cloned();
        if known.as_ref().is_some_and(|known| !member.supersedes(known)) {
            return;
        }
        if known.is_none() && member.state == MemberState::Dead {
            return;
        }
        self.record_change(known.as_ref(), &member, now);
        self.broadcasts.add(member.node);
        self.directory.insert(member);
    }

    fn merge_own(&mut self, member: &Member) {
        if member.incarnation > self.own.incarnation {
            self.effects.push(Effect::Event(Event::Replaced));
            return;
        }
        let is_suspected = member.state != MemberState::Alive;
        let is_same_incarnation = member.incarnation == self.own.incarnation;
        if !is_same_incarnation || !is_suspected || member.refutation < self.own.refutation {
            return;
        }
        self.own.refutation = member.refutation + 1;
        if member.state == MemberState::Dead {
            self.effects.push(Effect::Event(Event::DeathRefuted));
        }
        self.publish_own();
    }

    fn publish_own(&mut self) {
        self.directory.insert(self.own.clone());
        self.broadcasts.add(self.own.node);
    }

    fn record_change(&mut self, known: Option<&Member>, member: &Member, now: Timestamp) {
        let node = member.node;
        let was_live = known.is_some_and(|known| known.state != MemberState::Dead);
        let replaced_member = known.filter(|known| known.incarnation != member.incarnation);
        if let Some(earlier) = replaced_member.filter(|_| was_live) {
            let incarnation = earlier.incarnation;
            self.effects.push(Effect::Event(Event::Down { node, incarnation }));
        }
        let is_new_incarnation = !was_live || replaced_member.is_some();
        self.suspects.remove(&node);
        match member.state {
            MemberState::Dead => {
                self.dead.insert(node, now + self.settings.dead_retention);
                if was_live && replaced_member.is_none() {
                    let incarnation = member.incarnation;
                    self.effects.push(Effect::Event(Event::Down { node, incarnation }));
                }
                return;
            }
            MemberState::Suspect => {
                self.suspects.insert(node, now + self.suspicion_timeout());
                self.effects.push(Effect::Event(Event::Suspected(member.clone())));
            }
            MemberState::Alive => {}
        }
        self.dead.remove(&node);
        if is_new_incarnation {
            self.effects.push(Effect::Event(Event::Up(member.clone())));
        }
        let was_leaving = !is_new_incarnation && known.is_some_and(|known| known.is_leaving);
        if member.is_leaving && !was_leaving {
            self.effects.push(Effect::Event(Event::Leaving(member.clone())));
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let fleet_size = self.directory.live().count() as f64;
        let factor = (fleet_size / SUSPICION_BASE_FLEET_SIZE).max(1.0).log10() + 1.0;
        self.settings.suspicion.mul_f64(factor.min(MAX_SUSPICION_FACTOR))
    }

    fn send_members(&mut self, to: SocketAddr, wants_reply: bool) {
        let members = self.directory.iter().cloned().collect();
        self.send(to, Packet::Members { members, wants_reply });
    }

    fn send(&mut self, to: SocketAddr, packet: Packet) {
        let fleet_size = self.directory.iter().count();
        let nodes = self.broadcasts.take(self.settings.updates_in_message, fleet_size);
        let updates = nodes.into_iter().filter_map(|node| self.directory.get(node).cloned()).collect();
        let envelope = Envelope { sender: self.own.clone(), generation: self.generation, updates, packet };
        self.effects.push(Effect::Send { to, envelope: Box::new(envelope) });
    }

    fn random_peers(&mut self, count: usize, excluded: &[NodeId]) -> Vec<SocketAddr> {
        let own = self.own.node;
        let is_candidate = |member: &&Member| member.node != own && !excluded.contains(&member.node);
        let mut peers: Vec<SocketAddr> =
            self.directory.live().filter(is_candidate).map(|member| member.address).collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(count);
        peers
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
