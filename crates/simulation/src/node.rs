//! A simulated node: the real state machines and what a node keeps beside them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sumacdrift_config::InForce;
use sumacdrift_program::Runner;
use sumacdrift_replication::{Candidate, ReplicaId};
use sumacdrift_scheduling::{EngineQueue, QueueSettings};
use sumacdrift_shard::{FleetView, ProgramShard};
use sumacdrift_types::{CallId, EngineName, Incarnation, NodeId, Timestamp, ZoneName};

use crate::packet::SimConfiguration;
use crate::task::Task;

/// A node that was not heard of for this long is taken for dead.
const DEAD_AFTER: Duration = Duration::from_millis(2500);
/// Calls that an engine runs at a time.
const ENGINE_SLOTS: usize = 4;
/// A granted call that is not released for this long is taken for lost; calls here end within seconds. With the
/// default of ten minutes, slots whose release was lost stayed taken to the end of a run (seed 5859).
const GRANT_LEASE: Duration = Duration::from_secs(15);

/// Who waits for the answer to a command or for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) node: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) exchange: u64,
}

/// What a node last heard of another.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) replica: ReplicaId,
    pub(crate) at: Timestamp,
    pub(crate) is_leaving: bool,
}

/// A simulated node.
#[derive(Debug)]
pub(crate) struct SimNode {
    pub(crate) index: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_up: bool,
    pub(crate) paused_until: Timestamp,
    pub(crate) is_stopping: bool,
    pub(crate) shard: Option<ProgramShard>,
    pub(crate) waiting: BTreeMap<CallId, Waiter>,
    pub(crate) queues: BTreeMap<usize, EngineQueue>,
    pub(crate) queue_waiting: BTreeMap<CallId, Waiter>,
    pub(crate) in_force: InForce<SimConfiguration>,
    pub(crate) heard: BTreeMap<usize, Heard>,
    /// Lives that a later one has replaced.
    replaced: BTreeSet<ReplicaId>,
    pub(crate) leader: Option<usize>,
    pub(crate) tasks: BTreeMap<CallId, Task>,
    pub(crate) exchanges: BTreeMap<u64, CallId>,
}

impl SimNode {
    pub(crate) fn new(index: usize, incarnation: Incarnation) -> Self {
        Self {
            index,
            incarnation,
            is_up: true,
            paused_until: Timestamp::default(),
            is_stopping: false,
            shard: None,
            waiting: BTreeMap::new(),
            queues: BTreeMap::new(),
            queue_waiting: BTreeMap::new(),
            in_force: InForce::default(),
            heard: BTreeMap::new(),
            replaced: BTreeSet::new(),
            leader: None,
            tasks: BTreeMap::new(),
            exchanges: BTreeMap::new(),
        }
    }

    pub(crate) fn replica(&self) -> ReplicaId {
        ReplicaId { node: node_id(self.index), incarnation: self.incarnation }
    }

    pub(crate) fn runner(&self) -> Runner {
        Runner { node: node_id(self.index), incarnation: self.incarnation }
    }

    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until > now
    }

    /// Others that were heard of lately.
    pub(crate) fn live(&self, now: Timestamp) -> impl Iterator<Item = (&usize, &Heard)> {
        self.heard.iter().filter(move |(_, heard)| now.since(heard.at) < DEAD_AFTER)
    }

    /// The fleet as this node sees it.
    pub(crate) fn fleet_view(&self, now: Timestamp) -> FleetView {
        let others = self.live(now).filter(|(_, heard)| !heard.is_leaving).map(|(_, heard)| heard.replica);
        let own = (!self.is_stopping).then_some(self.replica());
        let usable = others.chain(own).filter_map(to_candidate).collect();
        let leaving = self.heard.values().filter(|heard| heard.is_leaving).map(|heard| heard.replica);
        FleetView { usable, departed: self.replaced.iter().copied().chain(leaving).collect() }
    }

    /// Notes that another node was heard of.
    pub(crate) fn hear(&mut self, from: usize, heard: Heard) {
        let before = self.heard.get(&from).copied();
        if before.is_some_and(|before| before.replica.incarnation > heard.replica.incarnation) {
            return;
        }
        if let Some(before) = before.filter(|before| before.replica != heard.replica) {
            self.replaced.insert(before.replica);
        }
        self.heard.insert(from, heard);
    }

    /// The node that owns an engine, as this node sees it.
    pub(crate) fn owner_of(&self, engine: usize, now: Timestamp) -> usize {
        let mut usable: Vec<usize> =
            self.live(now).filter(|(_, heard)| !heard.is_leaving).map(|(index, _)| *index).collect();
        if !self.is_stopping {
            usable.push(self.index);
        }
        usable.sort_unstable();
        if usable.is_empty() { self.index } else { usable[engine % usable.len()] }
    }

    /// The queue of an engine, which comes into being when it is first asked for.
    pub(crate) fn queue(&mut self, engine: usize) -> &mut EngineQueue {
        let is_leaving = self.in_force.current().is_some_and(|present| present.leaving.contains(&engine));
        self.queues.entry(engine).or_insert_with(|| {
            let settings = QueueSettings {
                max_running: ENGINE_SLOTS,
                grant_lease: GRANT_LEASE,
                ..QueueSettings::default()
            };
            let mut queue = EngineQueue::new(engine_name(engine), settings);
            queue.set_draining(is_leaving);
            queue
        })
    }
}

/// The number of a simulated node as an id.
pub(crate) fn node_id(index: usize) -> NodeId {
    NodeId(index as u32 + 1)
}

/// The simulated node of an id.
pub(crate) fn node_index(node: NodeId) -> usize {
    node.0 as usize - 1
}

/// The name of a simulated engine.
pub(crate) fn engine_name(engine: usize) -> EngineName {
    EngineName::new(&format!("engine-{engine}")).unwrap_or_else(|_| unreachable!("a valid name"))
}

/// The simulated engine of a name.
pub(crate) fn engine_index(name: &EngineName) -> Option<usize> {
    name.as_str().strip_prefix("engine-")?.parse().ok()
}

fn to_candidate(replica: ReplicaId) -> Option<Candidate> {
    // Every simulated node stands in a zone of its own.
    let zone = ZoneName::new(&format!("zone-{}", replica.node)).ok()?;
    Some(Candidate { replica, zone })
}
