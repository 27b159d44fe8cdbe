//! The failure detector and the spreading of news.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_types::{Generation, Incarnation, NodeId, Timestamp, stable_hash};

use crate::broadcast::Broadcasts;
use crate::{Directory, Envelope, Member, MemberState, MembershipSettings, Packet};

/// Suspicion lasts at most this many times its shortest time, however large the fleet.
const MAX_SUSPICION_FACTOR: f64 = 1.5;
/// Fleet size at which suspicion begins to grow.
const SUSPICION_BASE_FLEET: f64 = 64.0;
/// A target that is silent for this many probe timeouts becomes a suspect.
const PROBE_TIMEOUTS_TO_FAIL: u32 = 3;
/// Relays of probes for others that are remembered at a time.
const MAX_RELAYS: usize = 256;
/// Nodes that are told at once of a new configuration.
const GENERATION_FANOUT: usize = 4;

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        envelope: Box<Envelope>,
    },
    /// Something changed that others on this node want to know.
    Event(Event),
}

/// A change of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A life of a node came up.
    Up(Member),
    /// A member did not answer; it may still refute.
    Suspected(Member),
    /// A life of a node is taken for dead, or was replaced by a later one.
    Down {
        /// The node.
        node: NodeId,
        /// The life that ended.
        incarnation: Incarnation,
    },
    /// A member is being stopped.
    Leaving(Member),
    /// This node itself was taken for dead by others; it refuted.
    OwnDeathRefuted,
    /// A later life of this node is known: this process was replaced and must stop acting.
    Replaced,
    /// A peer has a newer configuration in force.
    NewerGeneration {
        /// The peer.
        peer: NodeId,
        /// Its generation.
        generation: Generation,
    },
}

#[derive(Debug)]
struct ProbeUnderWay {
    target: NodeId,
    sequence: u64,
    /// When indirect probes go out.
    indirect_at: Timestamp,
    is_indirect: bool,
    /// When the target becomes a suspect.
    fails_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Relay {
    asker: SocketAddr,
    asker_sequence: u64,
}

/// Membership as one node runs it.
#[derive(Debug)]
pub struct Detector {
    settings: MembershipSettings,
    own: Member,
    generation: Generation,
    directory: Directory,
    random: ChaCha8Rng,
    broadcasts: Broadcasts,
    suspects: BTreeMap<NodeId, Timestamp>,
    dead: BTreeMap<NodeId, Timestamp>,
    /// Nodes still to be probed in this round; each round probes all in a new random order.
    round: Vec<NodeId>,
    probe: Option<ProbeUnderWay>,
    is_successor_turn: bool,
    next_probe: Timestamp,
    next_exchange: Timestamp,
    relays: BTreeMap<u64, Relay>,
    sequence: u64,
    seeds: Vec<SocketAddr>,
    effects: Vec<Effect>,
}

impl Detector {
    /// Membership that knows only itself and the seeds' addresses.
    pub fn new(own: Member, seeds: Vec<SocketAddr>, settings: MembershipSettings, seed: u64) -> Self {
        let mut directory = Directory::default();
        directory.insert(own.clone());
        let seeds = seeds.into_iter().filter(|address| *address != own.address).collect();
        Self {
            settings,
            own,
            generation: Generation::default(),
            directory,
            random: ChaCha8Rng::seed_from_u64(seed),
            broadcasts: Broadcasts::default(),
            suspects: BTreeMap::new(),
            dead: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            is_successor_turn: false,
            next_probe: Timestamp::default(),
            next_exchange: Timestamp::default(),
            relays: BTreeMap::new(),
            sequence: 0,
            seeds,
            effects: Vec::new(),
        }
    }

    /// All members known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// This node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Takes the effects that have come together.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Notes the generation in force here, and tells a few nodes at once where it is new.
    pub fn set_generation(&mut self, generation: Generation) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        for address in self.random_peers(GENERATION_FANOUT, &[]) {
            self.send(address, Packet::NewGeneration);
        }
    }

    /// Announces that this node is being stopped.
    pub fn leave(&mut self) {
        if self.own.is_leaving {
            return;
        }
        self.own.is_leaving = true;
        self.own.refutation += 1;
        self.publish_own();
        for address in self.random_peers(GENERATION_FANOUT, &[]) {
            let sequence = self.next_sequence();
            self.send(address, Packet::Probe { sequence });
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_probe(now);
        self.bury_suspects(now);
        self.forget_dead(now);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.start_probe(now);
        }
        if now >= self.next_exchange {
            self.start_exchange(now);
        }
    }

    /// Handles a message.
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
        self.learn(envelope.sender, now);
        for member in envelope.news {
            self.learn(member, now);
        }
        match envelope.packet {
            Packet::Probe { sequence } => self.send(from, Packet::Answer { sequence }),
            Packet::Answer { sequence } => self.receive_answer(sequence),
            Packet::ProbeRequest { sequence, target } => self.relay_probe(from, sequence, target),
            Packet::RelayedAnswer { sequence } => self.end_probe(sequence),
            Packet::Exchange { digest } => {
                if digest != self.directory.digest() {
                    self.send_members(from, true);
                }
            }
            Packet::Members { members, wants_reply } => {
                for member in members {
                    self.learn(member, now);
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
        self.probe = Some(ProbeUnderWay {
            target,
            sequence,
            indirect_at: now + self.settings.probe_timeout,
            is_indirect: false,
            fails_at: now + self.settings.probe_timeout * PROBE_TIMEOUTS_TO_FAIL,
        });
        self.send(address, Packet::Probe { sequence });
    }

    fn next_target(&mut self) -> Option<NodeId> {
        if self.round.is_empty() {
            let own = self.own.node;
            self.round =
                self.directory.live().map(|member| member.node).filter(|node| *node != own).collect();
            self.round.shuffle(&mut self.random);
        }
        while let Some(node) = self.round.pop() {
            let known = self.directory.get(node);
            if known.is_some_and(|member| member.state != MemberState::Dead) {
                return Some(node);
            }
        }
        None
    }

    /// The live member that follows this node on a ring of hashed node numbers.
    ///
    /// Random probes alone leave some node unprobed for many periods. Every node is the successor of exactly
    /// one other, so these probes bound the time until a crash is first noticed.
    fn successor(&self) -> Option<NodeId> {
        let position = |node: NodeId| (stable_hash(&[&node.0.to_le_bytes()]), node);
        let own = position(self.own.node);
        let others = self.directory.live().map(|member| position(member.node)).filter(|one| *one != own);
        others.min_by_key(|one| (*one < own, *one)).map(|(_, node)| node)
    }

    fn advance_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.as_mut() else { return };
        if now >= probe.fails_at {
            let target = probe.target;
            self.probe = None;
            self.suspect(target, now);
            return;
        }
        if now < probe.indirect_at || probe.is_indirect {
            return;
        }
        probe.is_indirect = true;
        let (target, sequence) = (probe.target, probe.sequence);
        for address in self.random_peers(self.settings.indirect_probes, &[target]) {
            self.send(address, Packet::ProbeRequest { sequence, target });
        }
        // The direct probe may have been lost; one more costs little and avoids a false suspicion.
        if let Some(address) = self.directory.get(target).map(|member| member.address) {
            self.send(address, Packet::Probe { sequence });
        }
    }

    fn receive_answer(&mut self, sequence: u64) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let sequence = relay.asker_sequence;
            self.send(relay.asker, Packet::RelayedAnswer { sequence });
            return;
        }
        self.end_probe(sequence);
    }

    fn end_probe(&mut self, sequence: u64) {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
    }

    fn relay_probe(&mut self, asker: SocketAddr, asker_sequence: u64, target: NodeId) {
        let Some(address) = self.directory.get(target).map(|member| member.address) else { return };
        let sequence = self.next_sequence();
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_first();
        }
        self.relays.insert(sequence, Relay { asker, asker_sequence });
        self.send(address, Packet::Probe { sequence });
    }

    fn suspect(&mut self, node: NodeId, now: Timestamp) {
        let Some(known) = self.directory.get(node) else { return };
        if known.state == MemberState::Alive {
            let mut member = known.clone();
            member.state = MemberState::Suspect;
            self.learn(member, now);
        }
    }

    fn bury_suspects(&mut self, now: Timestamp) {
        let expired: Vec<NodeId> =
            self.suspects.iter().filter(|(_, until)| now >= **until).map(|(node, _)| *node).collect();
        for node in expired {
            self.suspects.remove(&node);
            if let Some(known) = self.directory.get(node) {
                let mut member = known.clone();
                member.state = MemberState::Dead;
                self.learn(member, now);
            }
        }
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let forgotten: Vec<NodeId> =
            self.dead.iter().filter(|(_, until)| now >= **until).map(|(node, _)| *node).collect();
        for node in forgotten {
            self.dead.remove(&node);
            self.directory.remove(node);
        }
    }

    fn start_exchange(&mut self, now: Timestamp) {
        let is_alone = self.directory.live().count() == 1;
        let interval = if is_alone { self.settings.probe_interval } else { self.settings.exchange_interval };
        // A random share keeps nodes that started together from exchanging together.
        self.next_exchange = now + interval.mul_f64(self.random.random_range(0.75..1.25));
        let digest = self.directory.digest();
        for address in self.random_peers(1, &[]) {
            self.send(address, Packet::Exchange { digest });
        }
        let known: Vec<SocketAddr> = self.directory.live().map(|member| member.address).collect();
        let mut unknown: Vec<SocketAddr> =
            self.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
        unknown.shuffle(&mut self.random);
        let count = if is_alone { unknown.len() } else { 1 };
        for address in unknown.into_iter().take(count) {
            self.send(address, Packet::Exchange { digest });
        }
    }

    /// Takes in one piece of news.
    fn learn(&mut self, member: Member, now: Timestamp) {
        if member.node == self.own.node {
            self.learn_about_own(&member);
            return;
        }
        let known = self.directory.get(member.node).cloned();
        if known.as_ref().is_some_and(|known| !member.supersedes(known)) {
            return;
        }
        if known.is_none() && member.state == MemberState::Dead {
            return;
        }
        self.note_change(known.as_ref(), &member, now);
        self.broadcasts.add(member.node);
        self.directory.insert(member);
    }

    fn learn_about_own(&mut self, member: &Member) {
        if member.incarnation > self.own.incarnation {
            self.effects.push(Effect::Event(Event::Replaced));
            return;
        }
        let is_doubted = member.state != MemberState::Alive;
        let is_about_this_life = member.incarnation == self.own.incarnation;
        if !is_about_this_life || !is_doubted || member.refutation < self.own.refutation {
            return;
        }
        self.own.refutation = member.refutation + 1;
        if member.state == MemberState::Dead {
            self.effects.push(Effect::Event(Event::OwnDeathRefuted));
        }
        self.publish_own();
    }

    fn publish_own(&mut self) {
        self.directory.insert(self.own.clone());
        self.broadcasts.add(self.own.node);
    }

    fn note_change(&mut self, known: Option<&Member>, member: &Member, now: Timestamp) {
        let node = member.node;
        let was_live = known.is_some_and(|known| known.state != MemberState::Dead);
        let earlier_life = known.filter(|known| known.incarnation != member.incarnation);
        if let Some(earlier) = earlier_life.filter(|_| was_live) {
            let incarnation = earlier.incarnation;
            self.effects.push(Effect::Event(Event::Down { node, incarnation }));
        }
        let is_new_life = !was_live || earlier_life.is_some();
        self.suspects.remove(&node);
        match member.state {
            MemberState::Dead => {
                self.dead.insert(node, now + self.settings.dead_retention);
                if was_live && earlier_life.is_none() {
                    let incarnation = member.incarnation;
                    self.effects.push(Effect::Event(Event::Down { node, incarnation }));
                }
                return;
            }
            MemberState::Suspect => {
                self.suspects.insert(node, now + self.suspicion());
                self.effects.push(Effect::Event(Event::Suspected(member.clone())));
            }
            MemberState::Alive => {}
        }
        self.dead.remove(&node);
        if is_new_life {
            self.effects.push(Effect::Event(Event::Up(member.clone())));
        }
        let was_leaving = !is_new_life && known.is_some_and(|known| known.is_leaving);
        if member.is_leaving && !was_leaving {
            self.effects.push(Effect::Event(Event::Leaving(member.clone())));
        }
    }

    fn suspicion(&self) -> Duration {
        let fleet = self.directory.live().count() as f64;
        let factor = (fleet / SUSPICION_BASE_FLEET).max(1.0).log10() + 1.0;
        self.settings.suspicion.mul_f64(factor.min(MAX_SUSPICION_FACTOR))
    }

    fn send_members(&mut self, to: SocketAddr, wants_reply: bool) {
        let members = self.directory.iter().cloned().collect();
        self.send(to, Packet::Members { members, wants_reply });
    }

    fn send(&mut self, to: SocketAddr, packet: Packet) {
        let fleet_size = self.directory.iter().count();
        let told = self.broadcasts.take(self.settings.news_in_message, fleet_size);
        let news = told.into_iter().filter_map(|node| self.directory.get(node).cloned()).collect();
        let envelope = Envelope { sender: self.own.clone(), generation: self.generation, news, packet };
        self.effects.push(Effect::Send { to, envelope: Box::new(envelope) });
    }

    fn random_peers(&mut self, count: usize, excluded: &[NodeId]) -> Vec<SocketAddr> {
        let own = self.own.node;
        let is_candidate = |member: &&Member| member.node != own && !excluded.contains(&member.node);
        let mut peers: Vec<SocketAddr> =
            self.directory.live().filter(is_candidate).map(|member| member.address).collect();
        peers.shuffle(&mut self.random);
        peers.truncate(count);
        peers
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
