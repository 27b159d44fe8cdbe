//! Runs the membership protocol and caches the member list for the rest of the node.

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

/// Interval between ticks of the failure detector.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Bound on the replaced incarnations that are remembered.
const MAX_REPLACED_INCARNATIONS: usize = 4096;

/// Membership of the fleet as seen by this node.
pub(crate) struct Fleet {
    context: Arc<Context>,
    detector: Mutex<Detector>,
    view: RwLock<Arc<View>>,
    newer_generations: mpsc::UnboundedSender<(NodeId, Generation)>,
}

/// The member list and data derived from it. Replaced as a whole on each membership event.
#[derive(Default)]
struct View {
    directory: Directory,
    /// Dead incarnations of nodes that have restarted since.
    replaced: BTreeSet<ReplicaId>,
    /// Cache of [`Fleet::owner_of`].
    owners: Mutex<HashMap<EngineName, Option<NodeId>>>,
}

impl Fleet {
    /// Starts with this node as the only member. Peers with a newer configuration are sent to
    /// `newer_generations`.
    pub(crate) fn new(
        context: Arc<Context>,
        own_member: Member,
        newer_generations: mpsc::UnboundedSender<(NodeId, Generation)>,
    ) -> Self {
        let seeds = context.settings.fleet.seeds.clone();
        let detector = Detector::new(own_member, seeds, MembershipSettings::default(), context.random_seed());
        let view = View { directory: detector.directory().clone(), ..View::default() };
        Self { context, detector: Mutex::new(detector), view: RwLock::new(Arc::new(view)), newer_generations }
    }

    /// Ticks the failure detector until the node stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let tick = || {
            let now = self.context.now();
            let mut detector = self.lock();
            detector.tick(now);
            self.apply_effects(detector);
        };
        self.context.run_every(TICK_INTERVAL, tick).await;
    }

    pub(crate) fn receive(&self, envelope: Envelope) {
        let now = self.context.now();
        let mut detector = self.lock();
        detector.receive(envelope, now);
        self.apply_effects(detector);
    }

    /// Announces that this node is shutting down.
    pub(crate) fn announce_leave(&self) {
        let mut detector = self.lock();
        detector.leave();
        self.apply_effects(detector);
    }

    /// Sets the configuration generation that this node announces to its peers.
    pub(crate) fn set_generation(&self, generation: Generation) {
        let mut detector = self.lock();
        detector.set_generation(generation);
        self.apply_effects(detector);
    }

    pub(crate) fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.view().directory.get(node).map(|member| member.address)
    }

    /// Whether the runner's incarnation is not known to be dead.
    pub(crate) fn is_alive(&self, runner: Runner) -> bool {
        self.view().directory.is_alive(runner.node, runner.incarnation)
    }

    /// All known members, whatever their state.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.view().directory.iter().cloned().collect()
    }

    /// Addresses of all live nodes other than this one.
    pub(crate) fn live_peers(&self) -> Vec<SocketAddr> {
        let own_node = self.context.own_replica.node;
        let view = self.view();
        view.directory.live().filter(|member| member.node != own_node).map(|member| member.address).collect()
    }

    /// Nodes that may receive replicas and nodes that must give theirs up, for replica repair.
    pub(crate) fn replica_view(&self) -> FleetView {
        let view = self.view();
        let usable = view.directory.usable(RoleSet::PROGRAMS);
        let usable = usable.filter(|member| member.state == MemberState::Alive).map(to_candidate).collect();
        let leaving = view.directory.iter().filter(|member| member.is_leaving).map(to_replica);
        let departed = view.replaced.iter().copied().chain(leaving).collect();
        FleetView { usable, departed }
    }

    /// Live nodes that may hold a replica of the shard, in order of decreasing placement preference.
    pub(crate) fn replica_candidates(&self, shard: u32) -> Vec<NodeId> {
        let view = self.view();
        let live = view.directory.live().filter(|member| member.roles.contains(RoleSet::PROGRAMS));
        let candidates: Vec<Candidate> = live.map(to_candidate).collect();
        let chosen = sumacdrift_replication::spread(u64::from(shard), &candidates, &[], candidates.len());
        chosen.into_iter().map(|candidate| candidate.replica.node).collect()
    }

    /// The node that runs the engine's queue. Nodes of the engine's own zone take precedence over others.
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

    fn apply_effects(&self, mut detector: MutexGuard<'_, Detector>) {
        let effects = detector.take_effects();
        let is_changed = effects.iter().any(|effect| matches!(effect, Effect::Event(_)));
        if is_changed {
            let directory = detector.directory().clone();
            let view = View {
                replaced: self.replaced_incarnations(&directory, &effects),
                directory,
                ..View::default()
            };
            self.context.metrics.members_live.set(view.directory.live().count() as i64);
            *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
        }
        drop(detector);
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => {
                    self.context.transport.send(to, OneWay::Membership(envelope))
                }
                Effect::Event(event) => self.handle_event(event),
            }
        }
    }

    /// Adds incarnations that just went down and have a successor to those already known as replaced.
    fn replaced_incarnations(&self, directory: &Directory, effects: &[Effect]) -> BTreeSet<ReplicaId> {
        let mut replaced = self.view().replaced.clone();
        for effect in effects {
            let Effect::Event(Event::Down { node, incarnation }) = effect else { continue };
            if directory.get(*node).is_some_and(|member| member.incarnation > *incarnation) {
                replaced.insert(ReplicaId { node: *node, incarnation: *incarnation });
            }
        }
        while replaced.len() > MAX_REPLACED_INCARNATIONS {
            replaced.pop_first();
        }
        replaced
    }

    fn handle_event(&self, event: Event) {
        let logger = &self.context.logger;
        match event {
            Event::Up(member) => info!(logger, "node is up";
                "peer" => member.node.0, "incarnation" => member.incarnation.0, "zone" => %member.zone),
            Event::Suspected(member) => {
                info!(logger, "node is suspected to be down"; "peer" => member.node.0)
            }
            Event::Down { node, incarnation } => warn!(logger, "node is considered dead";
                "peer" => node.0, "incarnation" => incarnation.0),
            Event::Leaving(member) => info!(logger, "node is leaving"; "peer" => member.node.0),
            Event::DeathRefuted => warn!(logger, "this node was reported dead; refuted the report"),
            Event::Replaced => {
                warn!(logger, "a later incarnation of this node exists; stopping");
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
