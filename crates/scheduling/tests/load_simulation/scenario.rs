//! Scenario of a simulation: nodes, engines, load reports and workloads.

use std::ops::Range;
use std::time::Duration;

use sumacdrift_scheduling::{PriorityRank, ServiceQueueSettings};
use sumacdrift_types::Timestamp;

/// Calls that an engine runs concurrently.
pub const ENGINE_SLOTS: usize = 8;
/// Calls that an engine queues; it rejects further ones.
pub const ENGINE_QUEUE: usize = 24;
/// Part of an engine's queue that nodes count as capacity, in calls.
const SHORT_QUEUE: f64 = 2.0;
/// Duration of a call at an otherwise idle engine of normal speed.
pub const CALL_TIME: Duration = Duration::from_millis(300);
/// Time between an answer and the program's next call.
pub const THINK_TIME: Duration = Duration::from_millis(50);
/// A program's deadline, as a multiple of its duration without load.
const DEADLINE_FACTOR: f64 = 2.5;
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The rank that bursts must not harm.
pub const HIGH_RANK: PriorityRank = 0;
pub const LOW_RANK: PriorityRank = 2;

/// How nodes admit calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Each call is sent to an engine at once.
    Direct,
    Queued,
    /// All nodes use one queue, which has the whole capacity and current knowledge of all calls.
    OneQueue,
    /// Odd-numbered nodes have a queue; the others send at once and report no demand.
    Mixed,
}

/// A temporary change of a load.
#[derive(Debug, Clone)]
pub struct Burst {
    pub during: Range<Timestamp>,
    /// Multiple of the normal load.
    pub factor: f64,
}

/// Workload of programs of one rank.
#[derive(Debug, Clone)]
pub struct Workload {
    pub rank: PriorityRank,
    /// Calls per program, one after the other.
    pub calls: usize,
    /// Programs started per second outside bursts.
    pub programs_per_second: f64,
    pub bursts: Vec<Burst>,
}

impl Workload {
    /// Programs started per second at a time.
    pub fn start_rate(&self, at: Timestamp) -> f64 {
        let burst = self.bursts.iter().find(|burst| burst.during.contains(&at));
        self.programs_per_second * burst.map_or(1.0, |burst| burst.factor)
    }

    /// Maximum of [`Self::start_rate`] over time.
    pub fn max_start_rate(&self) -> f64 {
        let factor = self.bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
        self.programs_per_second * factor
    }

    /// Time from a program's start to its deadline.
    pub fn time_to_deadline(&self) -> Duration {
        let pauses = THINK_TIME * (self.calls as u32 - 1);
        (CALL_TIME * self.calls as u32 + pauses).mul_f64(DEADLINE_FACTOR)
    }
}

/// A period in which some nodes neither receive load reports nor have theirs received.
#[derive(Debug, Clone)]
pub struct ReportOutage {
    pub nodes: Range<usize>,
    pub during: Range<Timestamp>,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub policy: Policy,
    /// Settings of the nodes' queues.
    pub settings: ServiceQueueSettings,
    pub nodes: usize,
    pub engines: usize,
    /// Engines of half the normal speed.
    pub slow_engines: usize,
    /// Age of the load reports that a node receives.
    pub report_age: Range<Duration>,
    pub report_outages: Vec<ReportOutage>,
    pub workloads: Vec<Workload>,
    /// No program starts later.
    pub last_start: Timestamp,
}

impl Scenario {
    /// 40 nodes and 24 engines, 40 to 300 ms old load reports, and a load of three fifths of the capacity.
    pub fn baseline(policy: Policy) -> Self {
        let workload = |rank, calls, programs_per_second| Workload {
            rank,
            calls,
            programs_per_second,
            bursts: Vec::new(),
        };
        Self {
            policy,
            settings: ServiceQueueSettings::default(),
            nodes: 40,
            engines: 24,
            slow_engines: 3,
            report_age: Duration::from_millis(40)..Duration::from_millis(300),
            report_outages: Vec::new(),
            workloads: vec![workload(HIGH_RANK, 3, 50.0), workload(LOW_RANK, 7, 22.0)],
            last_start: at_second(16.0),
        }
    }

    /// Multiplies the load of a rank, or of all ranks, during a period.
    pub fn with_burst(mut self, rank: Option<PriorityRank>, during: Range<Timestamp>, factor: f64) -> Self {
        for workload in
            self.workloads.iter_mut().filter(|workload| rank.is_none_or(|rank| rank == workload.rank))
        {
            workload.bursts.push(Burst { during: during.clone(), factor });
        }
        self
    }

    /// Multiplies all loads for the whole simulation.
    pub fn with_load_factor(mut self, factor: f64) -> Self {
        for workload in &mut self.workloads {
            workload.programs_per_second *= factor;
        }
        self
    }

    /// Calls that all engines run concurrently.
    pub fn slots(&self) -> f64 {
        (self.engines * ENGINE_SLOTS) as f64
    }

    /// Calls that may queue at all engines.
    pub fn short_queue(&self) -> f64 {
        self.engines as f64 * SHORT_QUEUE
    }

    /// Whether a node has a queue of its own.
    pub fn has_queue(&self, node: usize) -> bool {
        match self.policy {
            Policy::Direct => false,
            Policy::Queued => true,
            Policy::OneQueue => node == 0,
            Policy::Mixed => node % 2 == 1,
        }
    }

    /// The node whose queue a node's calls use.
    pub fn queue_node(&self, node: usize) -> usize {
        if self.policy == Policy::OneQueue { 0 } else { node }
    }

    /// Calls requested per second at a time, without retries.
    pub fn calls_per_second(&self, at: Timestamp) -> f64 {
        self.workloads.iter().map(|workload| workload.start_rate(at) * workload.calls as f64).sum()
    }

    /// Start of the report outage that affects a node, if any.
    pub fn outage_start(&self, node: usize, at: Timestamp) -> Option<Timestamp> {
        let is_affected =
            |outage: &&ReportOutage| outage.nodes.contains(&node) && outage.during.contains(&at);
        self.report_outages.iter().filter(is_affected).map(|outage| outage.during.start).min()
    }
}

/// Timestamp of a point in time given in seconds.
pub fn at_second(seconds: f64) -> Timestamp {
    Timestamp(0) + Duration::from_secs_f64(seconds)
}
