//! A simulated node: the production state machines and the node's own state around them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sumacdrift_config::CurrentConfiguration;
use sumacdrift_program::Runner;
use sumacdrift_replication::{Candidate, ReplicaId};
use sumacdrift_scheduling::{EngineQueue, QueueSettings};
use sumacdrift_shard::{FleetView, ProgramShard};
use sumacdrift_types::{CallId, EngineName, Incarnation, NodeId, Timestamp, ZoneName};

use crate::packet::SimConfiguration;
use crate::task::Task;

/// A peer without a heartbeat for this long counts as down.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Concurrent calls of an engine.
const ENGINE_SLOTS: usize = 4;
/// A granted slot that is not released for this long expires. Simulated calls end within seconds; with the
/// default of ten minutes, a slot whose release was lost would stay occupied to the end of the run (seed 5859).
const GRANT_LEASE: Duration = Duration::from_secs(15);

/// The node and exchange to which the answer to a command or enqueued call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) node: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) exchange: u64,
}

/// The latest heartbeat received from a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerStatus {
    pub(crate) replica: ReplicaId,
    pub(crate) received_at: Timestamp,
    pub(crate) is_leaving: bool,
}

#[derive(Debug)]
pub(crate) struct SimNode {
    pub(crate) index: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_up: bool,
    pub(crate) paused_until: Timestamp,
    pub(crate) is_stopping: bool,
    pub(crate) shard: Option<ProgramShard>,
    pub(crate) command_waiters: BTreeMap<CallId, Waiter>,
    pub(crate) queues: BTreeMap<usize, EngineQueue>,
    pub(crate) queue_waiters: BTreeMap<CallId, Waiter>,
    pub(crate) configuration: CurrentConfiguration<SimConfiguration>,
    pub(crate) peers: BTreeMap<usize, PeerStatus>,
    /// Earlier incarnations of peers.
    superseded: BTreeSet<ReplicaId>,
    pub(crate) leader: Option<usize>,
    pub(crate) tasks: BTreeMap<CallId, Task>,
    pub(crate) pending_exchanges: BTreeMap<u64, CallId>,
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
            command_waiters: BTreeMap::new(),
            queues: BTreeMap::new(),
            queue_waiters: BTreeMap::new(),
            configuration: CurrentConfiguration::default(),
            peers: BTreeMap::new(),
            superseded: BTreeSet::new(),
            leader: None,
            tasks: BTreeMap::new(),
            pending_exchanges: BTreeMap::new(),
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

    /// Peers that don't count as down.
    pub(crate) fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = (&usize, &PeerStatus)> {
        self.peers.iter().filter(move |(_, status)| now.since(status.received_at) < PEER_TIMEOUT)
    }

    pub(crate) fn fleet_view(&self, now: Timestamp) -> FleetView {
        let others =
            self.live_peers(now).filter(|(_, status)| !status.is_leaving).map(|(_, status)| status.replica);
        let own = (!self.is_stopping).then_some(self.replica());
        let usable = others.chain(own).filter_map(to_candidate).collect();
        let leaving = self.peers.values().filter(|status| status.is_leaving).map(|status| status.replica);
        FleetView { usable, departed: self.superseded.iter().copied().chain(leaving).collect() }
    }

    /// Records a peer's heartbeat; one of an earlier incarnation is ignored.
    pub(crate) fn record_heartbeat(&mut self, from: usize, status: PeerStatus) {
        let before = self.peers.get(&from).copied();
        if before.is_some_and(|before| before.replica.incarnation > status.replica.incarnation) {
            return;
        }
        if let Some(before) = before.filter(|before| before.replica != status.replica) {
            self.superseded.insert(before.replica);
        }
        self.peers.insert(from, status);
    }

    /// The node that owns an engine's queue, as this node sees it.
    pub(crate) fn engine_owner(&self, engine: usize, now: Timestamp) -> usize {
        let mut usable: Vec<usize> =
            self.live_peers(now).filter(|(_, status)| !status.is_leaving).map(|(index, _)| *index).collect();
        if !self.is_stopping {
            usable.push(self.index);
        }
        usable.sort_unstable();
        if usable.is_empty() { self.index } else { usable[engine % usable.len()] }
    }

    /// The queue of an engine, created on first use.
    pub(crate) fn engine_queue(&mut self, engine: usize) -> &mut EngineQueue {
        let is_leaving =
            self.configuration.current().is_some_and(|current| current.leaving.contains(&engine));
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

pub(crate) fn node_id(index: usize) -> NodeId {
    NodeId(index as u32 + 1)
}

pub(crate) fn node_index(node: NodeId) -> usize {
    node.0 as usize - 1
}

pub(crate) fn engine_name(engine: usize) -> EngineName {
    EngineName::new(&format!("engine-{engine}")).unwrap_or_else(|_| unreachable!("a valid name"))
}

pub(crate) fn engine_index(name: &EngineName) -> Option<usize> {
    name.as_str().strip_prefix("engine-")?.parse().ok()
}

fn to_candidate(replica: ReplicaId) -> Option<Candidate> {
    // Each simulated node has a zone of its own.
    let zone = ZoneName::new(&format!("zone-{}", replica.node)).ok()?;
    Some(Candidate { replica, zone })
}
