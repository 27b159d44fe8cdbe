//! Many edges and a group of counting nodes on a virtual clock, with cuts, losses and restarts.
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
const TOLD_EVERY_MILLIS: u64 = 100;
const WARM_MILLIS: u64 = 6_000;
const END_MILLIS: u64 = 14_000;
/// What an edge waits for a node that says nothing before it asks the next one.
const NEXT_AFTER_MILLIS: u64 = 80;
const AVOIDED_MILLIS: u64 = 1_500;
/// How late a permit for a call to a cold engine is used at the most.
const LATE_MILLIS: u64 = 150;

struct Dice(ChaCha8Rng);

impl Dice {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }
}

/// What befalls one node.
#[derive(Clone, Copy)]
struct Fault {
    node: usize,
    from: u64,
    until: u64,
    /// Whether it loses what it knew, or is only cut off from the other nodes.
    is_loss: bool,
    /// Of the edges, one in so many still reaches it while it is cut off from the other nodes.
    reached_by: u64,
}

struct Plan {
    edges: u64,
    /// Calls that any window may hold.
    bound: f64,
    /// An admitted call may be made up to so many milliseconds later.
    late_millis: u64,
    /// Calls asked for, as a multiple of what the tenant usually sends; its limit is 1.6 times that.
    demand: f64,
    calls_each_step: f64,
    limit: QuotaLimit,
    faults: Vec<Fault>,
    delay_steps: u64,
}

/// What came of a play of 14 s of one tenant's calls.
pub struct Outcome {
    /// Calls of the fullest window beyond what any may hold.
    pub worst_excess: i64,
    /// Calls within the limit that were refused.
    pub refused_within: u64,
    /// Calls that were admitted.
    pub admitted: u64,
    /// Calls asked for, as a multiple of the usual.
    pub demand: f64,
    /// Calls that the rate and one burst give over the time that calls are made.
    pub owed: f64,
}

/// What is counted.
#[derive(Clone, Copy, PartialEq)]
pub enum Counted {
    /// Calls of a tenant.
    Tenant,
    /// Calls to a cold engine.
    ColdEngine,
}

/// The limit, what any window may hold, and how late an admitted call may be made.
fn limits(counted: Counted, dice: &mut Dice) -> (QuotaLimit, f64, u64) {
    match counted {
        Counted::Tenant => {
            let per_second = [2.0, 10.0, 40.0, 150.0][dice.below(4) as usize];
            let limit = QuotaLimit { per_second, burst: per_second, window: WINDOW };
            (limit, limit.most() as f64 * 1.1 + 20.0, 0)
        }
        Counted::ColdEngine => {
            let per_second = [8.0, 26.0, 60.0][dice.below(3) as usize];
            let bound = per_second * 1.5 + 5.0;
            let late = Duration::from_millis(LATE_MILLIS);
            (QuotaLimit::within_bound(per_second, bound, Duration::from_secs(1), late), bound, LATE_MILLIS)
        }
    }
}

fn plan(seed: u64, counted: Counted, dice: &mut Dice) -> Plan {
    let (limit, bound, late_millis) = limits(counted, dice);
    let per_second = limit.per_second;
    let demand = [0.9, 2.9, 7.5][dice.below(3) as usize];
    let mut faults = Vec::new();
    let first = dice.below(5) as usize;
    for number in 0..dice.below(3) as usize {
        let from = WARM_MILLIS + dice.below(5_000);
        let until = from + 300 + dice.below(4_000);
        let node = (first + number) % MEMBERS.len();
        faults.push(Fault { node, from, until, is_loss: dice.below(2) == 0, reached_by: 1 + dice.below(6) });
    }
    if dice.below(8) == 0 {
        // All that count lose their memory at once.
        let from = WARM_MILLIS + dice.below(5_000);
        let until = from + 300 + dice.below(1_500);
        faults.clear();
        faults.extend((0..MEMBERS.len()).map(|node| Fault {
            node,
            from,
            until,
            is_loss: true,
            reached_by: 1,
        }));
    }
    Plan {
        bound,
        late_millis,
        edges: [8, 57, 295][(seed % 3) as usize],
        demand,
        calls_each_step: per_second / 1.6 * demand * STEP_MILLIS as f64 / 1e3,
        limit,
        faults,
        delay_steps: dice.below(3),
    }
}

struct World {
    plan: Plan,
    nodes: Vec<QuotaCounters>,
    /// When a report arrives, when it was told, by whom, and what.
    on_the_way: VecDeque<(u64, u64, usize, CallReport)>,
    /// When an acknowledgement arrives, at whom, of whom, and of what was told when.
    acknowledged: VecDeque<(u64, usize, usize, u64)>,
    avoided: Vec<[u64; MEMBERS.len()]>,
}

impl World {
    fn new(plan: Plan) -> Self {
        let nodes = MEMBERS.iter().map(|name| QuotaCounters::new(name, 1, Timestamp(0))).collect();
        let avoided = vec![[0; MEMBERS.len()]; plan.edges as usize];
        Self { plan, nodes, on_the_way: VecDeque::new(), acknowledged: VecDeque::new(), avoided }
    }

    fn fault(&self, node: usize, now: u64) -> Option<&Fault> {
        self.plan.faults.iter().find(|fault| fault.node == node && (fault.from..fault.until).contains(&now))
    }

    fn turn(&mut self, now: u64) {
        let clock = Timestamp(now * 1_000);
        for fault in &self.plan.faults {
            if fault.is_loss && fault.until / STEP_MILLIS == now / STEP_MILLIS {
                self.nodes[fault.node] = QuotaCounters::new(MEMBERS[fault.node], 2 + now, clock);
            }
        }
        for node in 0..MEMBERS.len() {
            if now.is_multiple_of(TOLD_EVERY_MILLIS) || self.nodes[node].is_report_due() {
                self.nodes[node].observe(&MEMBERS, clock);
                if self.fault(node, now).is_none() {
                    let told = self.nodes[node].report(WINDOW, clock);
                    let arrives = now + self.plan.delay_steps * STEP_MILLIS;
                    self.on_the_way.push_back((arrives, now, node, told));
                }
            }
        }
        while self.acknowledged.front().is_some_and(|(arrives, ..)| *arrives <= now) {
            let Some((_, at, by, told_at)) = self.acknowledged.pop_front() else { break };
            if self.fault(at, now).is_none() {
                self.nodes[at].acknowledged(MEMBERS[by], Timestamp(told_at * 1_000));
            }
        }
        while self.on_the_way.front().is_some_and(|(arrives, _, _, _)| *arrives <= now) {
            let Some((_, told_at, from, told)) = self.on_the_way.pop_front() else { break };
            for to in (0..MEMBERS.len()).filter(|to| *to != from) {
                if self.fault(to, now).is_none() {
                    self.nodes[to].heard(told.clone(), clock);
                    // The answer is on the way as long as the report was.
                    self.acknowledged.push_back((now + now - told_at, from, to, told_at));
                }
            }
        }
    }

    fn call(&self) -> QuotaCall<'static> {
        QuotaCall { tenant: "t", program: None, limit: self.plan.limit, version: 1 }
    }

    /// What an edge hears when it asks about a call; the time until it knows counts to the call's.
    fn ask(&mut self, edge: u64, now: u64) -> Option<(u64, QuotaVerdict)> {
        let avoided = self.avoided[edge as usize];
        let mut order: Vec<usize> = (0..MEMBERS.len()).collect();
        order.sort_by_key(|node| avoided[*node] > now);
        let mut waited = 0;
        let call = self.call();
        for node in order {
            let is_reached = match self.fault(node, now) {
                None => true,
                Some(fault) => !fault.is_loss && edge.is_multiple_of(fault.reached_by),
            };
            let clock = Timestamp(now * 1_000);
            let verdict = match is_reached {
                true => self.nodes[node].ask(call, &MEMBERS, clock),
                false => QuotaVerdict::Unsure,
            };
            if verdict != QuotaVerdict::Unsure {
                return Some((waited, verdict));
            }
            waited += if is_reached { 0 } else { NEXT_AFTER_MILLIS };
            self.avoided[edge as usize][node] = now + AVOIDED_MILLIS;
        }
        None
    }
}

/// Plays a seed, with its faults or without.
pub fn play(seed: u64, counted: Counted, is_calm: bool) -> Outcome {
    let mut dice = Dice(ChaCha8Rng::seed_from_u64(seed));
    let mut plan = plan(seed, counted, &mut dice);
    if is_calm {
        plan.faults.clear();
    }
    let (limit, demand) = (plan.limit, plan.demand);
    let (bound, late_millis) = (plan.bound, plan.late_millis);
    let window = u64::try_from(limit.window.as_millis()).expect("a window");
    let asked_for = Duration::from_millis(END_MILLIS - WARM_MILLIS);
    let owed_in_all = limit.per_second * asked_for.as_secs_f64() + limit.burst;
    let mut world = World::new(plan);
    let mut ran: Vec<u64> = Vec::new();
    let (mut asked, mut refused_within, mut owed) = (VecDeque::new(), 0, 0.0);
    for now in (0..END_MILLIS).step_by(STEP_MILLIS as usize) {
        world.turn(now);
        if now < WARM_MILLIS {
            continue;
        }
        owed += world.plan.calls_each_step * (0.5 + dice.below(1_000) as f64 / 1e3);
        while owed >= 1.0 {
            owed -= 1.0;
            while asked.front().is_some_and(|sent: &u64| sent + window <= now) {
                asked.pop_front();
            }
            asked.push_back(now);
            let is_within = asked.len() as u64 <= limit.most();
            let edge = dice.below(world.plan.edges);
            match world.ask(edge, now) {
                Some((waited, QuotaVerdict::Granted { .. })) => {
                    // A permit that is older than that is of no use.
                    let late = if late_millis > 0 { dice.below(late_millis + 1) } else { 0 };
                    if late_millis == 0 || waited <= late {
                        ran.push(now + waited.max(late));
                    }
                }
                _ => refused_within += u64::from(is_within),
            }
        }
    }
    Outcome {
        worst_excess: worst_excess(&mut ran, bound, window),
        refused_within,
        admitted: ran.len() as u64,
        demand,
        owed: owed_in_all,
    }
}

/// Calls of the fullest window beyond what any may hold.
fn worst_excess(ran: &mut [u64], bound: f64, window: u64) -> i64 {
    ran.sort_unstable();
    let (mut begin, mut fullest) = (0, 0);
    for end in 0..ran.len() {
        while ran[end] - ran[begin] >= window {
            begin += 1;
        }
        fullest = fullest.max(end + 1 - begin);
    }
    fullest as i64 - bound as i64
}
