//! What a replay is made of: nodes, engines, news and loads.

use std::ops::Range;
use std::time::Duration;

use sumacdrift_scheduling::{PriorityRank, ServiceQueueSettings};
use sumacdrift_types::Timestamp;

/// Calls that an engine works on at once.
pub const ENGINE_SLOTS: usize = 8;
/// Calls that an engine holds besides; it turns away what is more.
pub const ENGINE_QUEUE: usize = 24;
/// Calls of an engine's queue that the nodes' room counts.
const SHORT_QUEUE: f64 = 2.0;
/// Time of a call at an engine of the usual speed that is idle otherwise.
pub const CALL_TIME: Duration = Duration::from_millis(300);
/// Time between an answer and the next call of its program.
pub const PAUSE: Duration = Duration::from_millis(50);
/// A program's end, as a multiple of its time without load.
const END_MULTIPLE: f64 = 2.5;
/// How long a caller waits for an answer.
pub const PATIENCE: Duration = Duration::from_secs(3);
/// The rank that the flood and the crowd may not harm.
pub const URGENT: PriorityRank = 0;
/// The rank of what is less urgent.
pub const PATIENT: PriorityRank = 2;

/// What the nodes do with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Each call goes to an engine at once.
    Direct,
    /// Each node has a queue.
    Queued,
    /// All nodes send their calls through one queue, which has all the room and knows all at once.
    OneQueue,
    /// Nodes of odd numbers have a queue; the others send at once and tell no demand.
    Mixed,
}

/// A load that is more for a while.
#[derive(Debug, Clone)]
pub struct Burst {
    /// While it lasts.
    pub during: Range<Timestamp>,
    /// As a multiple of the usual.
    pub times: f64,
}

/// Programs of one rank.
#[derive(Debug, Clone)]
pub struct Load {
    /// Their rank.
    pub rank: PriorityRank,
    /// Calls of each, one after the other.
    pub calls: usize,
    /// Programs that usually begin in a second.
    pub per_second: f64,
    /// When there are more.
    pub bursts: Vec<Burst>,
}

impl Load {
    /// How many begin in a second at a time.
    pub fn rate(&self, at: Timestamp) -> f64 {
        let burst = self.bursts.iter().find(|burst| burst.during.contains(&at));
        self.per_second * burst.map_or(1.0, |burst| burst.times)
    }

    /// The most that begin in a second at any time.
    pub fn highest_rate(&self) -> f64 {
        let times = self.bursts.iter().map(|burst| burst.times).fold(1.0, f64::max);
        self.per_second * times
    }

    /// Time that a program may take.
    pub fn program_time(&self) -> Duration {
        let pauses = PAUSE * (self.calls as u32 - 1);
        (CALL_TIME * self.calls as u32 + pauses).mul_f64(END_MULTIPLE)
    }
}

/// Nodes that hear no news for a while, and of which nobody hears any.
#[derive(Debug, Clone)]
pub struct Cut {
    /// The nodes.
    pub nodes: Range<usize>,
    /// While it lasts.
    pub during: Range<Timestamp>,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What the nodes do with calls.
    pub policy: Policy,
    /// Bounds of the nodes' queues.
    pub settings: ServiceQueueSettings,
    /// How many nodes there are.
    pub nodes: usize,
    /// How many engines there are.
    pub engines: usize,
    /// Engines of half the usual speed.
    pub slow_engines: usize,
    /// How old news are that a node hears.
    pub news_age: Range<Duration>,
    /// Cuts of the news.
    pub cuts: Vec<Cut>,
    /// Programs.
    pub loads: Vec<Load>,
    /// No program begins after it.
    pub last_begin: Timestamp,
}

impl Plan {
    /// 40 nodes before 24 engines, with news as old as boards bring them, and three fifths of the room in use.
    pub fn usual(policy: Policy) -> Self {
        let load = |rank, calls, per_second| Load { rank, calls, per_second, bursts: Vec::new() };
        Self {
            policy,
            settings: ServiceQueueSettings::default(),
            nodes: 40,
            engines: 24,
            slow_engines: 3,
            news_age: Duration::from_millis(40)..Duration::from_millis(300),
            cuts: Vec::new(),
            loads: vec![load(URGENT, 3, 50.0), load(PATIENT, 7, 22.0)],
            last_begin: second(16.0),
        }
    }

    /// The load of a rank, or of all, is so many times as much for a while.
    pub fn with_burst(mut self, rank: Option<PriorityRank>, during: Range<Timestamp>, times: f64) -> Self {
        for load in self.loads.iter_mut().filter(|load| rank.is_none_or(|rank| rank == load.rank)) {
            load.bursts.push(Burst { during: during.clone(), times });
        }
        self
    }

    /// All loads so many times as much, all the time.
    pub fn with_load(mut self, times: f64) -> Self {
        for load in &mut self.loads {
            load.per_second *= times;
        }
        self
    }

    /// Calls that the engines work on at once.
    pub fn slots(&self) -> f64 {
        (self.engines * ENGINE_SLOTS) as f64
    }

    /// Calls that the engines should hold besides.
    pub fn short_queue(&self) -> f64 {
        self.engines as f64 * SHORT_QUEUE
    }

    /// Whether a node has a queue.
    pub fn has_queue(&self, node: usize) -> bool {
        match self.policy {
            Policy::Direct => false,
            Policy::Queued => true,
            Policy::OneQueue => node == 0,
            Policy::Mixed => node % 2 == 1,
        }
    }

    /// The node whose queue a node's calls go through.
    pub fn queue_of(&self, node: usize) -> usize {
        if self.policy == Policy::OneQueue { 0 } else { node }
    }

    /// Calls that are asked for in a second at a time, without those that come back.
    pub fn calls_per_second(&self, at: Timestamp) -> f64 {
        self.loads.iter().map(|load| load.rate(at) * load.calls as f64).sum()
    }

    /// Since when a node is cut from the news, if it is.
    pub fn cut_since(&self, node: usize, at: Timestamp) -> Option<Timestamp> {
        let holds = |cut: &&Cut| cut.nodes.contains(&node) && cut.during.contains(&at);
        self.cuts.iter().filter(holds).map(|cut| cut.during.start).min()
    }
}

/// A point in time, in seconds.
pub fn second(seconds: f64) -> Timestamp {
    Timestamp(0) + Duration::from_secs_f64(seconds)
}
