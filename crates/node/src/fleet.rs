//! Drives the membership protocol and answers questions about the fleet.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use slog::{info, warn};
use sumacdrift_membership::{
    Detector, Directory, Effect, Envelope, Event, Member, MemberState, MembershipSettings, RoleSet,
};
use sumacdrift_program::Runner;
use sumacdrift_proto::OneWay;
use sumacdrift_replication::{Candidate, ReplicaId};
use sumacdrift_shard::FleetView;
use sumacdrift_types::{EngineName, Generation, NodeId, ZoneName, rendezvous_order};
use tokio::sync::mpsc;

use crate::context::Context;

/// How often the membership protocol is given the time.
const TICK: Duration = Duration::from_millis(50);

/// Replaced lives that are remembered.
const MAX_REPLACED: usize = 4096;

/// The fleet as this node sees it.
pub(crate) struct Fleet {
    context: Arc<Context>,
    detector: Mutex<Detector>,
    view: RwLock<Arc<View>>,
    newer_generations: mpsc::UnboundedSender<(NodeId, Generation)>,
}

/// A snapshot of the members, with what is derived from it.
#[derive(Default)]
struct View {
    directory: Directory,
    /// Lives that a later life of the same node has replaced.
    replaced: BTreeSet<ReplicaId>,
    owners: Mutex<HashMap<EngineName, Option<NodeId>>>,
}

impl Fleet {
    /// Membership of a node that knows only itself. Peers with a newer configuration are reported to
    /// `newer_generations`.
    pub(crate) fn new(
        context: Arc<Context>,
        own: Member,
        newer_generations: mpsc::UnboundedSender<(NodeId, Generation)>,
    ) -> Self {
        let seeds = context.settings.fleet.seeds.clone();
        let detector = Detector::new(own, seeds, MembershipSettings::default(), context.seed());
        let view = View { directory: detector.directory().clone(), ..View::default() };
        Self { context, detector: Mutex::new(detector), view: RwLock::new(Arc::new(view)), newer_generations }
    }

    /// Lets time pass until the node stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let tick = || {
            let now = self.context.now();
            let mut detector = self.lock();
            detector.tick(now);
            self.carry_out(detector);
        };
        self.context.every(TICK, tick).await;
    }

    /// Takes a message of the membership protocol.
    pub(crate) fn receive(&self, envelope: Envelope) {
        let now = self.context.now();
        let mut detector = self.lock();
        detector.receive(envelope, now);
        self.carry_out(detector);
    }

    /// Announces the planned stop of this node.
    pub(crate) fn leave(&self) {
        let mut detector = self.lock();
        detector.leave();
        self.carry_out(detector);
    }

    /// Notes the generation in force here.
    pub(crate) fn set_generation(&self, generation: Generation) {
        let mut detector = self.lock();
        detector.set_generation(generation);
        self.carry_out(detector);
    }

    /// Where a node can be reached.
    pub(crate) fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.view().directory.get(node).map(|member| member.address)
    }

    /// Whether a runner's process is not known to be dead.
    pub(crate) fn is_alive(&self, runner: Runner) -> bool {
        self.view().directory.is_alive(runner.node, runner.incarnation)
    }

    /// All members known.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.view().directory.iter().cloned().collect()
    }

    /// Addresses of all other live nodes.
    pub(crate) fn live_peers(&self) -> Vec<SocketAddr> {
        let own = self.context.own.node;
        let view = self.view();
        view.directory.live().filter(|member| member.node != own).map(|member| member.address).collect()
    }

    /// The fleet as leaders of shards see it when they look after their replicas.
    pub(crate) fn replica_view(&self) -> FleetView {
        let view = self.view();
        let usable = view.directory.usable(RoleSet::PROGRAMS);
        let usable = usable.filter(|member| member.state == MemberState::Alive).map(to_candidate).collect();
        let leaving = view.directory.iter().filter(|member| member.is_leaving).map(to_replica);
        let departed = view.replaced.iter().copied().chain(leaving).collect();
        FleetView { usable, departed }
    }

    /// Nodes that may hold replicas of a shard, the likeliest first.
    pub(crate) fn likely_holders(&self, shard: u32) -> Vec<NodeId> {
        let view = self.view();
        let live = view.directory.live().filter(|member| member.roles.contains(RoleSet::PROGRAMS));
        let candidates: Vec<Candidate> = live.map(to_candidate).collect();
        let chosen = sumacdrift_replication::spread(u64::from(shard), &candidates, &[], candidates.len());
        chosen.into_iter().map(|candidate| candidate.replica.node).collect()
    }

    /// The node that owns an engine: one of the engine's own zone, if there is one.
    pub(crate) fn owner_of(&self, engine: &EngineName, zone: &ZoneName) -> Option<NodeId> {
        let view = self.view();
        let mut owners = view.owners.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(owner) = owners.get(engine) {
            return *owner;
        }
        let owner = choose_owner(&view.directory, engine, zone);
        owners.insert(engine.clone(), owner);
        owner
    }

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn carry_out(&self, mut detector: MutexGuard<'_, Detector>) {
        let effects = detector.take_effects();
        let is_changed = effects.iter().any(|effect| matches!(effect, Effect::Event(_)));
        if is_changed {
            let directory = detector.directory().clone();
            let view =
                View { replaced: self.replaced_lives(&directory, &effects), directory, ..View::default() };
            self.context.metrics.members_live.set(view.directory.live().count() as i64);
            *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
        }
        drop(detector);
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => {
                    self.context.transport.send(to, OneWay::Membership(envelope))
                }
                Effect::Event(event) => self.note(event),
            }
        }
    }

    /// Lives known to have been replaced: those of before, and those that went down and have a successor.
    fn replaced_lives(&self, directory: &Directory, effects: &[Effect]) -> BTreeSet<ReplicaId> {
        let mut replaced = self.view().replaced.clone();
        for effect in effects {
            let Effect::Event(Event::Down { node, incarnation }) = effect else { continue };
            if directory.get(*node).is_some_and(|member| member.incarnation > *incarnation) {
                replaced.insert(ReplicaId { node: *node, incarnation: *incarnation });
            }
        }
        while replaced.len() > MAX_REPLACED {
            replaced.pop_first();
        }
        replaced
    }

    fn note(&self, event: Event) {
        let logger = &self.context.logger;
        match event {
            Event::Up(member) => info!(logger, "node is up";
                "peer" => member.node.0, "incarnation" => member.incarnation.0, "zone" => %member.zone),
            Event::Suspected(member) => info!(logger, "node does not answer"; "peer" => member.node.0),
            Event::Down { node, incarnation } => warn!(logger, "node is taken for dead";
                "peer" => node.0, "incarnation" => incarnation.0),
            Event::Leaving(member) => info!(logger, "node is leaving"; "peer" => member.node.0),
            Event::OwnDeathRefuted => warn!(logger, "others took this node for dead; it refuted that"),
            Event::Replaced => {
                warn!(logger, "a later life of this node exists; this one stops");
                self.context.stopped.cancel();
            }
            Event::NewerGeneration { peer, generation } => {
                let _ = self.newer_generations.send((peer, generation));
            }
        }
    }
}

fn to_replica(member: &Member) -> ReplicaId {
    ReplicaId { node: member.node, incarnation: member.incarnation }
}

fn to_candidate(member: &Member) -> Candidate {
    Candidate { replica: to_replica(member), zone: member.zone.clone() }
}

fn choose_owner(directory: &Directory, engine: &EngineName, zone: &ZoneName) -> Option<NodeId> {
    let usable: Vec<&Member> = directory.usable(RoleSet::ENGINES).collect();
    let in_zone: Vec<&Member> = usable.iter().copied().filter(|member| member.zone == *zone).collect();
    let candidates = if in_zone.is_empty() { usable } else { in_zone };
    let key = engine.as_str().as_bytes();
    let ordered = rendezvous_order(key, &candidates, |member| member.node.0.to_le_bytes().to_vec());
    ordered.first().map(|member| member.node)
}
