//! Discrete-event simulation of nodes with queues, engines that serve in order of arrival, and programs of calls.
//!
//! Nodes receive each other's load reports with a delay. A node sends a call to the engine with the least known load out of a
//! random sample. Callers retry once, after the requested delay.
#![allow(dead_code, unused_imports)]

mod engine;
mod outcome;
mod scenario;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use sumacdrift_scheduling::{
    ProgramStage, QueueTicket, QueuedCall, RankDemand, RejectionReason, ServiceCapacity, ServiceQueue,
    ServiceQueueAction,
};
use sumacdrift_types::Timestamp;

use engine::Engine;
pub use outcome::{
    AdmissionRecord, FleetSample, ProgramRecord, RejectionRecord, SimulationOutcome, fraction, seconds,
};
pub use scenario::{
    CALL_TIME, CALL_TIMEOUT, HIGH_RANK, LOW_RANK, Policy, ReportOutage, Scenario, THINK_TIME, Workload,
    at_second,
};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between load reports that a node receives.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks of a node's queue.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Simulated time after the last program's start.
const DRAIN_TIME: Duration = Duration::from_secs(12);
/// Random sample from which a node chooses an engine, so that not all nodes choose the same.
const SAMPLED_ENGINES: usize = 6;
/// Engines tried before a call is rejected.
const MAX_ATTEMPTS: usize = 3;
/// Retry delay after all tried engines were full, at a node without a queue.
const ENGINE_REJECTION_RETRY_DELAY: Duration = Duration::from_millis(250);
const CALL_BYTES: usize = 2_000;

struct Random(ChaCha8Rng);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound.max(1) as u64) as usize
    }

    /// A number in (0, 1].
    fn unit(&mut self) -> f64 {
        ((self.0.next_u64() >> 11) + 1) as f64 / (1_u64 << 53) as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { program: usize },
    Finish { call: usize },
    Timeout { call: usize },
    ReceiveReports { node: usize },
    Tick { node: usize },
    RecordSample,
}

struct Program {
    workload: usize,
    node: usize,
    answered: usize,
    /// Whether the current call was rejected before.
    was_rejected: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallState {
    Waiting,
    AtEngine { engine: usize, record: usize },
    Ended,
}

struct Call {
    program: usize,
    node: usize,
    requested_at: Timestamp,
    state: CallState,
}

struct Node {
    queue: Option<ServiceQueue>,
    /// The node's own calls at each engine.
    own_calls: Vec<usize>,
    /// Peers' calls at each engine, by the latest load reports.
    peer_calls: Vec<usize>,
}

/// Load reports of all nodes at one time.
struct LoadReports {
    demand: Vec<Vec<RankDemand>>,
    own_calls: Vec<Vec<usize>>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: Random,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    next_event_number: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    programs: Vec<Program>,
    calls: Vec<Call>,
    reports: Vec<LoadReports>,
    outcome: SimulationOutcome,
}

/// Runs a scenario with a seed.
pub fn simulate(scenario: &Scenario, seed: u64) -> SimulationOutcome {
    let mut simulation = Simulation::new(scenario, seed);
    let end = scenario.last_start + DRAIN_TIME;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let node = |number| Node {
            queue: scenario.has_queue(number).then(|| ServiceQueue::new(scenario.settings)),
            own_calls: vec![0; scenario.engines],
            peer_calls: vec![0; scenario.engines],
        };
        let slowness = |number| if number < scenario.slow_engines { 2.0 } else { 1.0 };
        let mut simulation = Self {
            scenario,
            random: Random(ChaCha8Rng::seed_from_u64(seed)),
            now: Timestamp(0),
            events: BinaryHeap::new(),
            next_event_number: 0,
            nodes: (0..scenario.nodes).map(node).collect(),
            engines: (0..scenario.engines).map(|number| Engine::new(slowness(number))).collect(),
            programs: Vec::new(),
            calls: Vec::new(),
            reports: Vec::new(),
            outcome: SimulationOutcome::default(),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_in(Duration::ZERO, Event::RecordSample);
        for node in 0..self.scenario.nodes {
            let phase = node as f64 / self.scenario.nodes as f64;
            self.schedule_in(REPORT_INTERVAL.mul_f64(phase), Event::ReceiveReports { node });
            self.schedule_in(TICK_INTERVAL.mul_f64(phase), Event::Tick { node });
        }
        for workload in 0..self.scenario.workloads.len() {
            self.generate_programs(workload);
        }
    }

    fn generate_programs(&mut self, number: usize) {
        let workload = &self.scenario.workloads[number];
        let mut at = Timestamp(0);
        loop {
            at = at + Duration::from_secs_f64(-self.random.unit().ln() / workload.max_start_rate());
            if at > self.scenario.last_start {
                return;
            }
            if self.random.unit() * workload.max_start_rate() > workload.start_rate(at) {
                continue;
            }
            let node = self.random.below(self.scenario.nodes);
            self.programs.push(Program { workload: number, node, answered: 0, was_rejected: false });
            let deadline = at + workload.time_to_deadline();
            let record = ProgramRecord {
                rank: workload.rank,
                calls: workload.calls,
                requested_at: at,
                deadline,
                has_started: false,
                completed_at: None,
            };
            self.outcome.programs.push(record);
            self.schedule_in(at.since(Timestamp(0)), Event::Request { program: self.programs.len() - 1 });
        }
    }

    fn schedule_in(&mut self, time: Duration, event: Event) {
        self.next_event_number += 1;
        self.events.push(Reverse((self.now + time, self.next_event_number, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { program } => self.request_call(program),
            Event::Finish { call } => self.finish_call(call),
            Event::Timeout { call } => self.cancel_call(call),
            Event::ReceiveReports { node } => {
                self.receive_reports(node);
                self.schedule_in(REPORT_INTERVAL, event);
            }
            Event::Tick { node } => {
                self.update_queue(node, ServiceQueue::tick);
                self.schedule_in(TICK_INTERVAL, event);
            }
            Event::RecordSample => {
                self.record_sample();
                self.schedule_in(SAMPLE_INTERVAL, event);
            }
        }
    }

    fn update_queue(
        &mut self,
        node: usize,
        update: impl FnOnce(&mut ServiceQueue, Timestamp) -> Vec<ServiceQueueAction>,
    ) {
        let now = self.now;
        let queue_node = self.scenario.queue_node(node);
        let Some(queue) = self.nodes[queue_node].queue.as_mut() else { return };
        for action in update(queue, now) {
            match action {
                ServiceQueueAction::Admit { ticket, waited } => self.admit(ticket.0 as usize, waited),
                ServiceQueueAction::Reject { ticket, reason, waited, retry_after, .. } => {
                    let call = ticket.0 as usize;
                    self.record_rejection(call, reason, waited, retry_after);
                    self.handle_rejection(call, retry_after);
                }
            }
        }
    }

    fn request_call(&mut self, number: usize) {
        let program = &self.programs[number];
        let (node, call) = (program.node, self.calls.len());
        let queued = self.queued_call(number);
        self.calls.push(Call { program: number, node, requested_at: self.now, state: CallState::Waiting });
        self.schedule_in(CALL_TIMEOUT, Event::Timeout { call });
        if self.nodes[self.scenario.queue_node(node)].queue.is_some() {
            let ticket = QueueTicket(call as u64);
            self.update_queue(node, |queue, now| queue.enqueue(ticket, queued, now));
        } else {
            self.admit(call, Duration::ZERO);
        }
    }

    fn queued_call(&self, number: usize) -> QueuedCall {
        let program = &self.programs[number];
        let record = &self.outcome.programs[number];
        let stage = match (program.answered, program.was_rejected) {
            (0, false) => ProgramStage::New,
            (0, true) => ProgramStage::Returning,
            _ => ProgramStage::InProgress,
        };
        QueuedCall {
            rank: record.rank,
            stage,
            program_deadline: Some(record.deadline),
            deadline: self.now + CALL_TIMEOUT,
            expected_duration: CALL_TIME,
            bytes: CALL_BYTES,
        }
    }

    /// Sends the call to an engine, or rejects it if all tried engines are full.
    fn admit(&mut self, call: usize, waited: Duration) {
        let Call { program, node, .. } = self.calls[call];
        self.outcome.programs[program].has_started = true;
        let ProgramRecord { rank, deadline, .. } = self.outcome.programs[program];
        let is_late = self.now > deadline;
        let record = self.outcome.admissions.len();
        self.outcome.admissions.push(AdmissionRecord {
            at: self.now,
            rank,
            is_late,
            waited,
            started_at: None,
            answered_at: None,
        });
        for _ in 0..MAX_ATTEMPTS {
            let engine = self.choose_engine(node);
            if self.engines[engine].try_enqueue(call) {
                self.calls[call].state = CallState::AtEngine { engine, record };
                self.nodes[node].own_calls[engine] += 1;
                self.start_calls(engine);
                return;
            }
            // A node considers an engine that rejected a call full until the next load reports.
            self.nodes[node].peer_calls[engine] += FULL_ENGINE_CALLS;
        }
        self.outcome.engine_rejections += 1;
        let now = self.now;
        let queue = self.nodes[self.scenario.queue_node(node)].queue.as_mut();
        let retry_after =
            queue.map_or(ENGINE_REJECTION_RETRY_DELAY, |queue| queue.retry_after_engine_rejection(now));
        self.handle_rejection(call, retry_after);
        self.update_queue(node, |queue, now| queue.record_completed(QueueTicket(call as u64), now));
    }

    fn choose_engine(&mut self, node: usize) -> usize {
        let sampled_engines: Vec<usize> =
            (0..SAMPLED_ENGINES).map(|_| self.random.below(self.scenario.engines)).collect();
        let node = &self.nodes[node];
        let known_load = |engine: &usize| node.own_calls[*engine] + node.peer_calls[*engine];
        sampled_engines.into_iter().min_by_key(known_load).expect("the sample is empty")
    }

    fn start_calls(&mut self, engine: usize) {
        while let Some(call) = self.engines[engine].start_next() {
            let variation = 0.8 + 0.4 * self.random.unit();
            if let CallState::AtEngine { record, .. } = self.calls[call].state {
                self.outcome.admissions[record].started_at = Some(self.now);
            }
            let duration = self.engines[engine].call_time().mul_f64(variation);
            self.schedule_in(duration, Event::Finish { call });
        }
    }

    fn finish_call(&mut self, call: usize) {
        let CallState::AtEngine { record, .. } = self.calls[call].state else { return };
        self.outcome.admissions[record].answered_at = Some(self.now);
        let number = self.calls[call].program;
        self.end_call(call);
        let program = &mut self.programs[number];
        program.answered += 1;
        program.was_rejected = false;
        if program.answered == self.scenario.workloads[program.workload].calls {
            self.outcome.programs[number].completed_at = Some(self.now);
        } else {
            self.schedule_in(THINK_TIME, Event::Request { program: number });
        }
    }

    fn cancel_call(&mut self, call: usize) {
        self.outcome.timed_out_while_waiting += usize::from(self.calls[call].state == CallState::Waiting);
        if self.calls[call].state != CallState::Ended {
            self.end_call(call);
        }
    }

    fn end_call(&mut self, call: usize) {
        let state = std::mem::replace(&mut self.calls[call].state, CallState::Ended);
        let node = self.calls[call].node;
        if let CallState::AtEngine { engine, .. } = state {
            self.engines[engine].remove(call);
            self.nodes[node].own_calls[engine] -= 1;
            self.start_calls(engine);
        }
        self.update_queue(node, |queue, now| queue.record_completed(QueueTicket(call as u64), now));
    }

    fn record_rejection(
        &mut self,
        call: usize,
        reason: RejectionReason,
        waited: Duration,
        retry_after: Duration,
    ) {
        let program = self.calls[call].program;
        let rank = self.outcome.programs[program].rank;
        let is_in_progress = self.programs[program].answered > 0;
        let at = self.now;
        self.outcome.rejections.push(RejectionRecord {
            at,
            rank,
            is_in_progress,
            reason,
            waited,
            retry_after,
        });
    }

    fn handle_rejection(&mut self, call: usize, retry_after: Duration) {
        self.calls[call].state = CallState::Ended;
        self.outcome.scheduled_retries.push(self.now + retry_after);
        let number = self.calls[call].program;
        let program = &mut self.programs[number];
        if !program.was_rejected {
            program.was_rejected = true;
            self.schedule_in(retry_after, Event::Request { program: number });
        }
    }

    fn record_sample(&mut self) {
        let now = self.now;
        let demand = |node: &Node| node.queue.as_ref().map(|queue| queue.demand(now)).unwrap_or_default();
        self.reports.push(LoadReports {
            demand: self.nodes.iter().map(demand).collect(),
            own_calls: self.nodes.iter().map(|node| node.own_calls.clone()).collect(),
        });
        let in_flight = self.engines.iter().map(Engine::load).sum();
        let waiting = self.nodes.iter().filter_map(|node| node.queue.as_ref()).map(ServiceQueue::waiting);
        self.outcome.samples.push(FleetSample { at: now, in_flight, waiting: waiting.sum() });
    }

    fn receive_reports(&mut self, node: usize) {
        if self.scenario.outage_start(node, self.now).is_some() {
            return;
        }
        let age_range = &self.scenario.report_age;
        let age = age_range.start + (age_range.end - age_range.start).mul_f64(self.random.unit());
        let report_time = self.now - age;
        let mut peer_calls = vec![0; self.scenario.engines];
        let mut demand: BTreeMap<u32, RankDemand> = BTreeMap::new();
        let mut unranked = 0;
        for other in (0..self.scenario.nodes).filter(|other| *other != node) {
            let at = self
                .scenario
                .outage_start(other, self.now)
                .map_or(report_time, |outage| outage.min(report_time));
            let Some(report) = self.reports.get((at.0 / SAMPLE_INTERVAL.as_micros() as u64) as usize) else {
                continue;
            };
            let own_calls = &report.own_calls[other];
            peer_calls.iter_mut().zip(own_calls).for_each(|(sum, calls)| *sum += calls);
            if self.scenario.policy == Policy::Mixed && !self.scenario.has_queue(other) {
                unranked += own_calls.iter().sum::<usize>();
            }
            for rank in &report.demand[other] {
                let sum =
                    demand.entry(rank.rank).or_insert(RankDemand { running: 0.0, waiting: 0.0, ..*rank });
                sum.running += rank.running;
                sum.waiting += rank.waiting;
            }
        }
        self.nodes[node].peer_calls = peer_calls;
        let capacity = ServiceCapacity {
            slots: self.scenario.slots(),
            short_queue: self.scenario.short_queue(),
            unranked: unranked as f64,
        };
        let peer_demand: Vec<RankDemand> = demand.into_values().collect();
        self.update_queue(node, |queue, now| queue.update_capacity(Some(capacity), peer_demand, now));
    }
}

const FULL_ENGINE_CALLS: usize = 1_000;
