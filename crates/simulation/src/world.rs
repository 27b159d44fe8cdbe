//! The simulated world: events in order of time, and what each of them does.

mod callers;
mod checks;
mod disturbances;
mod shards;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_program::LeaderSettings;
use sumacdrift_replication::{Configuration, ReplicaId};
use sumacdrift_shard::{ProgramShard, RepairSettings, ShardSettings};
use sumacdrift_types::{CallId, Generation, Incarnation, ProgramId, ShardId, Timestamp};

use crate::caller::Caller;
use crate::faults::FaultKind;
use crate::network::Network;
use crate::node::{SimNode, engine_index};
use crate::oracle::Oracle;
use crate::packet::{CallerAnswer, Packet, SimConfiguration};
use crate::platform::{Platform, WriteOutcome};
use crate::report::SimulationReport;

/// Nodes of a simulated fleet, each in a zone of its own.
const NODES: usize = 4;
/// Replicas of the shard.
const REPLICAS: usize = 3;
/// Engines of a simulated fleet.
pub(crate) const ENGINES: usize = 3;
/// How often nodes are given the time.
const TICK: Duration = Duration::from_millis(40);
/// How often nodes tell each other that they are there.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// How often engine memory is compared with the programs there are.
const MEMORY_CHECK: Duration = Duration::from_secs(4);
/// How often watchers look at the platform.
const PLATFORM_POLL: Duration = Duration::from_millis(500);
/// Time between two rollouts.
const ROLLOUT_INTERVAL: Duration = Duration::from_secs(5);
/// Programs begin within this time.
const ARRIVALS: Duration = Duration::from_secs(14);
/// Faults begin within this time.
const FAULT_TIME: Duration = Duration::from_secs(16);
/// All faults are over at this time.
const HEAL_AT: Duration = Duration::from_secs(24);
/// A run ends at this time at the latest.
const END_AT: Duration = Duration::from_secs(90);
/// A run of more events than this is stuck in a loop; its callers show as unfinished.
const MAX_EVENTS: u64 = 400_000;
/// After a disturbance news may take this long.
const NEWS_GRACE: Duration = Duration::from_secs(4);

/// What to simulate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SimulationOptions {
    /// Seed.
    pub seed: u64,
    /// Programs; a third as many service calls come beside them.
    pub programs: usize,
    /// Kinds of fault, each of which takes place once or twice.
    pub faults: Vec<FaultKind>,
}

/// Something that happens.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Deliver { to: usize, incarnation: Option<Incarnation>, from: usize, packet: Box<Packet> },
    Tick { node: usize, incarnation: Incarnation },
    Heartbeat { node: usize, incarnation: Incarnation },
    PlatformPoll { node: usize, incarnation: Incarnation },
    TaskTimer { node: usize, incarnation: Incarnation, call: CallId, exchange: u64 },
    TaskRetry { node: usize, incarnation: Incarnation, call: CallId, exchange: u64 },
    EngineDone { node: usize, incarnation: Incarnation, call: CallId, is_cut: bool },
    ServiceRuns { node: usize, incarnation: Incarnation, call: CallId, is_hung: bool },
    ServiceDone { node: usize, incarnation: Incarnation, call: CallId, is_lost: bool },
    CallerSends { caller: usize },
    CallerTimer { caller: usize, attempt: u64 },
    CallerGets { caller: usize, turn: u32, answer: Box<CallerAnswer> },
    MemoryCheck,
    Rollout,
    FaultBegins(FaultKind),
    FaultEnds(FaultKind, usize),
    Restart(usize),
    Heal,
}

/// The simulated world.
pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) random: ChaCha8Rng,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) network: Network,
    pub(crate) platform: Platform,
    pub(crate) callers: Vec<Caller>,
    pub(crate) oracle: Oracle,
    /// Programs that engines hold memory for.
    pub(crate) memory: Vec<BTreeSet<ProgramId>>,
    pub(crate) hangs_tools: bool,
    pub(crate) cuts_streams: bool,
    next_incarnation: u64,
    pub(crate) next_exchange: u64,
    rollouts: u64,
    faults: Vec<String>,
    races_operators: bool,
    /// Until when nodes may be excused for not having heard news.
    disturbed_until: Timestamp,
    generations_seen: BTreeMap<(usize, Incarnation), Generation>,
    stop_watch: BTreeMap<CallId, usize>,
    last_served: Timestamp,
    /// When the last caller came to its end.
    settled: Timestamp,
    longest_without_leader: Duration,
    trace: blake3::Hasher,
    processed: u64,
}

/// Runs one simulation to its end.
pub fn simulate(options: &SimulationOptions) -> SimulationReport {
    let mut world = World::new(options);
    world.run();
    world.finish(options)
}

impl World {
    fn new(options: &SimulationOptions) -> Self {
        let mut world = World {
            now: Timestamp(1_000_000),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            events: BTreeMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            network: Network::default(),
            platform: Platform::new(),
            callers: Vec::new(),
            oracle: Oracle::default(),
            memory: vec![BTreeSet::new(); ENGINES],
            hangs_tools: false,
            cuts_streams: false,
            next_incarnation: 1,
            next_exchange: 1,
            rollouts: 0,
            faults: Vec::new(),
            races_operators: false,
            disturbed_until: Timestamp::default(),
            generations_seen: BTreeMap::new(),
            stop_watch: BTreeMap::new(),
            last_served: Timestamp::default(),
            settled: Timestamp::default(),
            longest_without_leader: Duration::ZERO,
            trace: blake3::Hasher::new(),
            processed: 0,
        };
        world.start_nodes();
        world.plan_callers(options.programs);
        world.plan_faults(&options.faults);
        world.schedule(MEMORY_CHECK, Event::MemoryCheck);
        world.schedule(ROLLOUT_INTERVAL, Event::Rollout);
        world.schedule(HEAL_AT, Event::Heal);
        world
    }

    fn start_nodes(&mut self) {
        for index in 0..NODES {
            let incarnation = self.new_incarnation();
            self.nodes.push(SimNode::new(index, incarnation));
        }
        let founders: Vec<ReplicaId> = self.nodes[..REPLICAS].iter().map(SimNode::replica).collect();
        for index in 0..NODES {
            if index < REPLICAS {
                let configuration = Configuration::of_voters(founders.iter().copied());
                let (own, seed) = (self.nodes[index].replica(), self.random.random());
                let settings = shard_settings();
                let shard = ProgramShard::found(ShardId(0), own, configuration, settings, seed, self.now);
                self.nodes[index].shard = Some(shard);
            }
            self.start_timers(index);
        }
    }

    fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    fn start_timers(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let phase = Duration::from_millis(self.random.random_range(0..40));
        self.schedule(phase, Event::Tick { node, incarnation });
        self.schedule(phase, Event::Heartbeat { node, incarnation });
        self.schedule(phase, Event::PlatformPoll { node, incarnation });
    }

    fn plan_faults(&mut self, kinds: &[FaultKind]) {
        for kind in kinds {
            for _ in 0..self.random.random_range(1..=2) {
                let start = self.random.random_range(1_500..FAULT_TIME.as_millis() as u64);
                self.schedule(Duration::from_millis(start), Event::FaultBegins(*kind));
            }
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        let key = (self.now + after, self.next_event);
        self.next_event += 1;
        self.events.insert(key, event);
    }

    fn run(&mut self) {
        let end = Timestamp(1_000_000) + END_AT;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end || self.processed > MAX_EVENTS {
                return;
            }
            self.now = at;
            let is_settled = self.callers.iter().all(|caller| caller.is_done);
            if !is_settled || at < Timestamp(1_000_000) + HEAL_AT {
                self.settled = at;
            }
            // Memory of the last programs is looked after twice more.
            if at > self.settled + MEMORY_CHECK * 2 {
                return;
            }
            self.process(event);
        }
    }

    fn process(&mut self, event: Event) {
        self.processed += 1;
        self.trace.update(&self.now.0.to_le_bytes());
        self.trace.update(format!("{event:?}").as_bytes());
        match event {
            Event::Deliver { to, incarnation, from, packet } => {
                self.deliver(to, incarnation, from, packet);
            }
            Event::Tick { node, incarnation } => {
                if self.is_running(node, incarnation, &Event::Tick { node, incarnation }) {
                    self.tick(node);
                    self.schedule(TICK, Event::Tick { node, incarnation });
                }
            }
            Event::Heartbeat { node, incarnation } => {
                if self.is_running(node, incarnation, &Event::Heartbeat { node, incarnation }) {
                    self.heartbeat(node);
                    self.schedule(HEARTBEAT, Event::Heartbeat { node, incarnation });
                }
            }
            Event::PlatformPoll { node, incarnation } => {
                if self.is_running(node, incarnation, &Event::PlatformPoll { node, incarnation }) {
                    self.poll_platform(node);
                    self.schedule(PLATFORM_POLL, Event::PlatformPoll { node, incarnation });
                }
            }
            Event::TaskTimer { node, incarnation, call, exchange } => {
                let again = Event::TaskTimer { node, incarnation, call, exchange };
                if self.is_running(node, incarnation, &again) {
                    self.task_timer(node, call, exchange);
                }
            }
            Event::TaskRetry { node, incarnation, call, exchange } => {
                let again = Event::TaskRetry { node, incarnation, call, exchange };
                if self.is_running(node, incarnation, &again) {
                    self.task_retry(node, call, exchange);
                }
            }
            Event::EngineDone { node, incarnation, call, is_cut } => {
                let again = Event::EngineDone { node, incarnation, call, is_cut };
                if self.is_running(node, incarnation, &again) {
                    self.engine_done(node, call, is_cut);
                }
            }
            Event::ServiceRuns { node, incarnation, call, is_hung } => {
                self.service_runs(node, incarnation, call, is_hung);
            }
            Event::ServiceDone { node, incarnation, call, is_lost } => {
                let again = Event::ServiceDone { node, incarnation, call, is_lost };
                if self.is_running(node, incarnation, &again) {
                    self.service_done(node, call, is_lost);
                }
            }
            Event::CallerSends { caller } => self.caller_sends(caller),
            Event::CallerTimer { caller, attempt } => {
                let one = &self.callers[caller];
                if !one.is_done && one.attempt == attempt {
                    self.caller_sends(caller);
                }
            }
            Event::CallerGets { caller, turn, answer } => self.caller_gets(caller, turn, &answer),
            Event::MemoryCheck => self.memory_check(),
            Event::Rollout => self.rollout(),
            Event::FaultBegins(kind) => self.fault_begins(kind),
            Event::FaultEnds(kind, node) => self.fault_ends(kind, node),
            Event::Restart(node) => self.restart(node),
            Event::Heal => self.heal(),
        }
    }

    /// Whether an event of a node can take place; of a paused node it is put off to the pause's end.
    fn is_running(&mut self, node: usize, incarnation: Incarnation, event: &Event) -> bool {
        let one = &self.nodes[node];
        if !one.is_up || one.incarnation != incarnation {
            return false;
        }
        if one.is_paused(self.now) {
            let wait = one.paused_until.since(self.now);
            self.schedule(wait, event.clone());
            return false;
        }
        true
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, packet: Packet) {
        for arrival in self.network.arrivals(from, to, &mut self.random) {
            let packet = Box::new(packet.clone());
            self.schedule(arrival, Event::Deliver { to, incarnation: None, from, packet });
        }
    }

    fn deliver(&mut self, to: usize, incarnation: Option<Incarnation>, from: usize, packet: Box<Packet>) {
        let present = self.nodes[to].incarnation;
        let meant = incarnation.unwrap_or(present);
        let again = Event::Deliver { to, incarnation: Some(meant), from, packet: packet.clone() };
        if !self.is_running(to, meant, &again) {
            return;
        }
        match *packet {
            Packet::Group { from, to: replica, message } => self.receive_group(to, from, replica, message),
            Packet::Command { exchange, command } => self.receive_command(to, from, exchange, command),
            Packet::CommandAnswer { exchange, answer } => self.command_answered(to, from, exchange, answer),
            Packet::Enqueue { exchange, engine, work } => self.enqueue(to, from, exchange, engine, *work),
            Packet::EnqueueAnswer { exchange, outcome } => self.enqueue_answered(to, exchange, outcome),
            Packet::Release { engine, release } => {
                let now = self.now;
                let effects = self.nodes[to].queue(engine).release(release, now);
                self.queue_effects(to, effects);
            }
            Packet::Forget { engine, call } => self.forget_queued(to, engine, call),
            Packet::FreeProgram { engine, program } => {
                if let Some(engine) = engine_index(&engine) {
                    self.memory[engine].remove(&program);
                }
            }
            Packet::Heartbeat { replica, is_leaving, configuration } => {
                let heard = crate::node::Heard { replica, at: self.now, is_leaving };
                self.nodes[to].hear(from, heard);
                if let Some(configuration) = configuration {
                    self.offer(to, configuration);
                }
            }
            Packet::Cancel { call } => self.cancel_task(to, call),
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now;
        let one = &mut self.nodes[node];
        let fleet = one.fleet_view(now);
        let alive: BTreeSet<ReplicaId> =
            one.live(now).map(|(_, heard)| heard.replica).chain([one.replica()]).collect();
        if let Some(shard) = one.shard.as_mut() {
            let is_alive = |runner: sumacdrift_program::Runner| {
                alive.contains(&ReplicaId { node: runner.node, incarnation: runner.incarnation })
            };
            shard.tick(now, &is_alive);
            if !one.is_stopping {
                shard.repair(&fleet, now);
            } else {
                let stays =
                    |replica: ReplicaId| fleet.usable.iter().any(|candidate| candidate.replica == replica);
                shard.transfer_leadership(&stays, now);
            }
            if shard.is_removed() {
                one.shard = None;
                one.waiting.clear();
            }
        }
        self.shard_outputs(node);
        let engines: Vec<usize> = self.nodes[node].queues.keys().copied().collect();
        for engine in engines {
            let effects = self.nodes[node].queue(engine).tick(now);
            self.queue_effects(node, effects);
        }
        self.note_leadership(node);
        self.try_exit(node);
    }

    fn note_leadership(&mut self, node: usize) {
        let now = self.now;
        let is_serving = self.nodes[node].shard.as_ref().is_some_and(|shard| shard.is_serving(now));
        if is_serving {
            if self.last_served > Timestamp::default() {
                let gap = now.since(self.last_served);
                self.longest_without_leader = self.longest_without_leader.max(gap);
            }
            self.last_served = now;
        }
    }

    fn heartbeat(&mut self, node: usize) {
        let one = &self.nodes[node];
        let packet = Packet::Heartbeat {
            replica: one.replica(),
            is_leaving: one.is_stopping,
            configuration: one.in_force.current().cloned(),
        };
        for other in (0..NODES).filter(|other| *other != node) {
            self.send(node, other, packet.clone());
        }
        self.check_generation(node);
    }

    fn poll_platform(&mut self, node: usize) {
        if !self.platform.is_down {
            let configuration = self.platform.configuration.clone();
            // Two watchers; the others hear from them.
            if node < 2 {
                self.offer(node, configuration);
            }
        }
    }

    fn offer(&mut self, node: usize, configuration: SimConfiguration) {
        let leaving = configuration.leaving.clone();
        if !self.nodes[node].in_force.offer(configuration) {
            return;
        }
        let engines: Vec<usize> = self.nodes[node].queues.keys().copied().collect();
        for engine in engines {
            let effects = self.nodes[node].queue(engine).set_draining(leaving.contains(&engine));
            self.queue_effects(node, effects);
        }
        // News goes out at once, not only with the next heartbeat.
        if !is_broken(Rule::GenerationsOnlyRise) {
            self.heartbeat(node);
        }
    }

    /// Operators change which engine is leaving, one after the other or at the same time.
    fn rollout(&mut self) {
        self.schedule(ROLLOUT_INTERVAL, Event::Rollout);
        let expected = self.platform.configuration.generation;
        let operators = if self.races_operators { 2 } else { 1 };
        let mut winners = 0;
        for _ in 0..operators {
            self.rollouts += 1;
            let rollout = self.rollouts;
            let is_leaving = self.random.random_bool(0.6);
            let leaving = if is_leaving { vec![self.random.random_range(0..ENGINES)] } else { Vec::new() };
            let generation = Generation(expected.0 + 1);
            let configuration = SimConfiguration { generation, leaving: leaving.clone(), rollout };
            let outcome = self.platform.write(expected, configuration, self.now);
            let has_won = match outcome {
                WriteOutcome::Accepted => true,
                WriteOutcome::Conflict => false,
                WriteOutcome::Unanswered => self.platform.read_back(rollout).unwrap_or(false),
            };
            winners += u32::from(has_won);
            if has_won {
                self.oracle.set_leaving(&leaving, self.now);
            }
        }
        self.oracle.check(Guarantee::ConfigurationInForce, winners <= 1, || {
            format!("{winners} operators won the same generation")
        });
    }

    /// Whether a node that sends to a leaving engine may be excused for not having heard.
    pub(crate) fn is_disturbed(&self) -> bool {
        self.now < self.disturbed_until
    }

    fn finish(mut self, options: &SimulationOptions) -> SimulationReport {
        self.check_end();
        let unfinished = self.callers.iter().filter(|caller| !caller.is_done).count();
        let turns = self.callers.iter().map(|caller| u64::from(caller.answered)).sum();
        SimulationReport {
            seed: options.seed,
            faults: self.faults,
            programs: options.programs,
            unfinished,
            turns,
            longest_without_leader_micros: self.longest_without_leader.as_micros() as u64,
            replicas: self.nodes.iter().map(checks::describe_replica).collect(),
            events: self.processed,
            guarantees: self.oracle.tallies.results(),
            trace_hash: self.trace.finalize().to_hex().to_string(),
        }
    }

    /// Nodes to ask for the leader, in a fixed order for each node.
    pub(crate) fn next_target(&mut self, node: usize, tried: usize) -> usize {
        if let Some(leader) = self.nodes[node].leader {
            return leader;
        }
        let mut order: Vec<usize> = (0..NODES).collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(node as u64));
        order[tried % NODES]
    }
}

fn shard_settings() -> ShardSettings {
    ShardSettings {
        leader: LeaderSettings {
            idle_lease: Duration::from_secs(30),
            retention: Duration::from_secs(300),
            runner_grace: Duration::from_secs(1),
        },
        repair: RepairSettings { replicas: REPLICAS, ..RepairSettings::default() },
        ..ShardSettings::default()
    }
}
