//! Simulates edges and a group of counting nodes on a virtual clock, with partitions, lost state and delayed
//! messages.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use sumacdrift_access::{CallReport, QuotaCall, QuotaCounters, QuotaLimit, QuotaVerdict};
use sumacdrift_types::Timestamp;

const WINDOW: Duration = Duration::from_secs(5);
const MEMBERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const STEP_MILLIS: u64 = 10;
const REPORT_INTERVAL_MILLIS: u64 = 100;
const WARM_MILLIS: u64 = 6_000;
const END_MILLIS: u64 = 14_000;
/// Time that an edge waits for a silent node before it asks the next one.
const NODE_TIMEOUT_MILLIS: u64 = 80;
const AVOID_MILLIS: u64 = 1_500;
/// Maximum delay until a permit for a call to a cold engine is used.
const MAX_DELAY_MILLIS: u64 = 150;

struct SeededRng(ChaCha8Rng);

impl SeededRng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }
}

/// A fault of one counting node.
#[derive(Clone, Copy)]
struct Fault {
    node: usize,
    from: u64,
    until: u64,
    /// Whether the node loses its state; otherwise it is only partitioned from the other nodes.
    loses_state: bool,
    /// During a partition, edges whose number is a multiple of this still reach the node.
    reachable_edge_divisor: u64,
}

struct Scenario {
    edges: u64,
    /// Maximum number of calls in a window.
    bound: f64,
    /// Maximum delay between the admission and the execution of a call.
    max_delay_millis: u64,
    /// Requested calls as a multiple of the tenant's usual load; its limit is 1.6 times that load.
    demand: f64,
    calls_per_step: f64,
    limit: QuotaLimit,
    faults: Vec<Fault>,
    delay_steps: u64,
}

/// Result of 14 s of one tenant's calls.
pub struct Outcome {
    /// Calls in the fullest window above the bound; negative below it.
    pub worst_excess: i64,
    /// Refused calls that were within the limit.
    pub refused_within: u64,
    /// Calls admitted and executed.
    pub admitted: u64,
    /// Requested calls as a multiple of the usual load.
    pub demand: f64,
    /// Calls that the rate and one burst allow over the time in which calls are made.
    pub expected: f64,
}

/// The calls that are counted.
#[derive(Clone, Copy, PartialEq)]
pub enum Workload {
    /// Calls of a tenant, executed when admitted.
    Tenant,
    /// Calls to a cold engine, executed by permits that may be used later.
    ColdEngine,
}

/// The limit, the bound on calls in a window, and the maximum execution delay.
fn limits(workload: Workload, rng: &mut SeededRng) -> (QuotaLimit, f64, u64) {
    match workload {
        Workload::Tenant => {
            let per_second = [2.0, 10.0, 40.0, 150.0][rng.below(4) as usize];
            let limit = QuotaLimit { per_second, burst: per_second, window: WINDOW };
            (limit, limit.max_calls() as f64 * 1.1 + 20.0, 0)
        }
        Workload::ColdEngine => {
            let per_second = [8.0, 26.0, 60.0][rng.below(3) as usize];
            let bound = per_second * 1.5 + 5.0;
            let delay = Duration::from_millis(MAX_DELAY_MILLIS);
            (
                QuotaLimit::within_bound(per_second, bound, Duration::from_secs(1), delay),
                bound,
                MAX_DELAY_MILLIS,
            )
        }
    }
}

fn scenario(seed: u64, workload: Workload, rng: &mut SeededRng) -> Scenario {
    let (limit, bound, max_delay_millis) = limits(workload, rng);
    let per_second = limit.per_second;
    let demand = [0.9, 2.9, 7.5][rng.below(3) as usize];
    let mut faults = Vec::new();
    let first = rng.below(5) as usize;
    for number in 0..rng.below(3) as usize {
        let from = WARM_MILLIS + rng.below(5_000);
        let until = from + 300 + rng.below(4_000);
        let node = (first + number) % MEMBERS.len();
        faults.push(Fault {
            node,
            from,
            until,
            loses_state: rng.below(2) == 0,
            reachable_edge_divisor: 1 + rng.below(6),
        });
    }
    if rng.below(8) == 0 {
        // All counting nodes lose their state at once.
        let from = WARM_MILLIS + rng.below(5_000);
        let until = from + 300 + rng.below(1_500);
        faults.clear();
        faults.extend((0..MEMBERS.len()).map(|node| Fault {
            node,
            from,
            until,
            loses_state: true,
            reachable_edge_divisor: 1,
        }));
    }
    Scenario {
        bound,
        max_delay_millis,
        edges: [8, 57, 295][(seed % 3) as usize],
        demand,
        calls_per_step: per_second / 1.6 * demand * STEP_MILLIS as f64 / 1e3,
        limit,
        faults,
        delay_steps: rng.below(3),
    }
}

struct Simulation {
    scenario: Scenario,
    nodes: Vec<QuotaCounters>,
    /// Arrival time, send time, sender and report.
    reports: VecDeque<(u64, u64, usize, CallReport)>,
    /// Arrival time, receiver, acknowledging node and send time of the report.
    acknowledged: VecDeque<(u64, usize, usize, u64)>,
    avoided_until: Vec<[u64; MEMBERS.len()]>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let nodes = MEMBERS.iter().map(|name| QuotaCounters::new(name, 1, Timestamp(0))).collect();
        let avoided_until = vec![[0; MEMBERS.len()]; scenario.edges as usize];
        Self { scenario, nodes, reports: VecDeque::new(), acknowledged: VecDeque::new(), avoided_until }
    }

    fn fault(&self, node: usize, now: u64) -> Option<&Fault> {
        self.scenario
            .faults
            .iter()
            .find(|fault| fault.node == node && (fault.from..fault.until).contains(&now))
    }

    fn step(&mut self, now: u64) {
        let clock = Timestamp(now * 1_000);
        for fault in &self.scenario.faults {
            if fault.loses_state && fault.until / STEP_MILLIS == now / STEP_MILLIS {
                self.nodes[fault.node] = QuotaCounters::new(MEMBERS[fault.node], 2 + now, clock);
            }
        }
        for node in 0..MEMBERS.len() {
            if now.is_multiple_of(REPORT_INTERVAL_MILLIS) || self.nodes[node].is_report_due() {
                self.nodes[node].observe(&MEMBERS, clock);
                if self.fault(node, now).is_none() {
                    let report = self.nodes[node].report(WINDOW, clock);
                    let arrives_at = now + self.scenario.delay_steps * STEP_MILLIS;
                    self.reports.push_back((arrives_at, now, node, report));
                }
            }
        }
        while self.acknowledged.front().is_some_and(|(arrives_at, ..)| *arrives_at <= now) {
            let Some((_, at, by, sent_at)) = self.acknowledged.pop_front() else { break };
            if self.fault(at, now).is_none() {
                self.nodes[at].record_acknowledgement(MEMBERS[by], Timestamp(sent_at * 1_000));
            }
        }
        while self.reports.front().is_some_and(|(arrives_at, _, _, _)| *arrives_at <= now) {
            let Some((_, sent_at, from, report)) = self.reports.pop_front() else { break };
            for to in (0..MEMBERS.len()).filter(|to| *to != from) {
                if self.fault(to, now).is_none() {
                    self.nodes[to].apply_report(report.clone(), clock);
                    // The acknowledgement takes as long as the report did.
                    self.acknowledged.push_back((now + now - sent_at, from, to, sent_at));
                }
            }
        }
    }

    fn call(&self) -> QuotaCall<'static> {
        QuotaCall { tenant: "t", program: None, limit: self.scenario.limit, version: 1 }
    }

    /// Asks the nodes in turn; returns the verdict and the time waited for silent nodes, or `None` if no node
    /// decides.
    fn ask(&mut self, edge: u64, now: u64) -> Option<(u64, QuotaVerdict)> {
        let avoided_until = self.avoided_until[edge as usize];
        let mut order: Vec<usize> = (0..MEMBERS.len()).collect();
        order.sort_by_key(|node| avoided_until[*node] > now);
        let mut waited_millis = 0;
        let call = self.call();
        for node in order {
            let is_reachable = match self.fault(node, now) {
                None => true,
                Some(fault) => !fault.loses_state && edge.is_multiple_of(fault.reachable_edge_divisor),
            };
            let clock = Timestamp(now * 1_000);
            let verdict = match is_reachable {
                true => self.nodes[node].check_call(call, &MEMBERS, clock),
                false => QuotaVerdict::Unsure,
            };
            if verdict != QuotaVerdict::Unsure {
                return Some((waited_millis, verdict));
            }
            waited_millis += if is_reachable { 0 } else { NODE_TIMEOUT_MILLIS };
            self.avoided_until[edge as usize][node] = now + AVOID_MILLIS;
        }
        None
    }
}

/// Runs the scenario of a seed; `is_fault_free` leaves out its faults.
pub fn simulate(seed: u64, workload: Workload, is_fault_free: bool) -> Outcome {
    let mut rng = SeededRng(ChaCha8Rng::seed_from_u64(seed));
    let mut scenario = scenario(seed, workload, &mut rng);
    if is_fault_free {
        scenario.faults.clear();
    }
    let (limit, demand) = (scenario.limit, scenario.demand);
    let (bound, max_delay_millis) = (scenario.bound, scenario.max_delay_millis);
    let window = u64::try_from(limit.window.as_millis()).expect("window length fits");
    let call_duration = Duration::from_millis(END_MILLIS - WARM_MILLIS);
    let expected_in_all = limit.per_second * call_duration.as_secs_f64() + limit.burst;
    let mut simulation = Simulation::new(scenario);
    let mut executed: Vec<u64> = Vec::new();
    let (mut requested, mut refused_within, mut due_calls) = (VecDeque::new(), 0, 0.0);
    for now in (0..END_MILLIS).step_by(STEP_MILLIS as usize) {
        simulation.step(now);
        if now < WARM_MILLIS {
            continue;
        }
        due_calls += simulation.scenario.calls_per_step * (0.5 + rng.below(1_000) as f64 / 1e3);
        while due_calls >= 1.0 {
            due_calls -= 1.0;
            while requested.front().is_some_and(|sent: &u64| sent + window <= now) {
                requested.pop_front();
            }
            requested.push_back(now);
            let is_within = requested.len() as u64 <= limit.max_calls();
            let edge = rng.below(simulation.scenario.edges);
            match simulation.ask(edge, now) {
                Some((waited_millis, QuotaVerdict::Granted { .. })) => {
                    // A permit that arrives after its time of use is dropped.
                    let delay = if max_delay_millis > 0 { rng.below(max_delay_millis + 1) } else { 0 };
                    if max_delay_millis == 0 || waited_millis <= delay {
                        executed.push(now + waited_millis.max(delay));
                    }
                }
                _ => refused_within += u64::from(is_within),
            }
        }
    }
    Outcome {
        worst_excess: worst_excess(&mut executed, bound, window),
        refused_within,
        admitted: executed.len() as u64,
        demand,
        expected: expected_in_all,
    }
}

/// Calls in the fullest window above the bound; negative below it.
fn worst_excess(executed: &mut [u64], bound: f64, window: u64) -> i64 {
    executed.sort_unstable();
    let (mut start, mut fullest) = (0, 0);
    for end in 0..executed.len() {
        while executed[end] - executed[start] >= window {
            start += 1;
        }
        fullest = fullest.max(end + 1 - start);
    }
    fullest as i64 - bound as i64
}
