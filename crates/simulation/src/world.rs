//! The simulation: an event queue in order of virtual time, and the handlers of the events.

mod callers;
mod checks;
mod fault_injection;
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

/// Number of nodes, each in a zone of its own.
const NODES: usize = 4;
/// Number of replicas of the single shard.
const REPLICAS: usize = 3;
pub(crate) const ENGINES: usize = 3;
const TICK_INTERVAL: Duration = Duration::from_millis(40);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_secs(4);
const PLATFORM_POLL_INTERVAL: Duration = Duration::from_millis(500);
const ROLLOUT_INTERVAL: Duration = Duration::from_secs(5);
/// Callers start within this time.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(14);
/// Faults start within this time.
const FAULT_WINDOW: Duration = Duration::from_secs(16);
/// When all faults that still last are ended.
const HEAL_AT: Duration = Duration::from_secs(24);
/// Latest end of a run.
const END_AT: Duration = Duration::from_secs(90);
/// Stops a run that livelocks; its callers are reported as unfinished.
const MAX_EVENTS: u64 = 400_000;
/// Time that an update may need to reach all nodes after a fault.
const PROPAGATION_GRACE: Duration = Duration::from_secs(4);

/// Options of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct SimulationOptions {
    pub seed: u64,
    /// Number of programs; a third as many service callers run beside them.
    pub programs: usize,
    /// Kinds of fault, each injected once or twice.
    pub faults: Vec<FaultKind>,
}

/// A scheduled event. Its `Debug` text is part of the trace hash.
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
    /// Programs that each engine holds memory for.
    pub(crate) engine_memory: Vec<BTreeSet<ProgramId>>,
    pub(crate) should_hang_services: bool,
    pub(crate) should_cut_streams: bool,
    next_incarnation: u64,
    pub(crate) next_exchange: u64,
    rollouts: u64,
    faults: Vec<String>,
    should_race_operators: bool,
    /// Until when nodes may lag behind the configuration because of a fault.
    lag_tolerated_until: Timestamp,
    generations_seen: BTreeMap<(usize, Incarnation), Generation>,
    calls_at_planned_stop: BTreeMap<CallId, usize>,
    last_served_at: Timestamp,
    /// Latest time at which a caller was unfinished or faults were possible.
    settled_at: Timestamp,
    longest_without_leader: Duration,
    trace: blake3::Hasher,
    processed_events: u64,
}

/// Runs a simulation to its end.
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
            engine_memory: vec![BTreeSet::new(); ENGINES],
            should_hang_services: false,
            should_cut_streams: false,
            next_incarnation: 1,
            next_exchange: 1,
            rollouts: 0,
            faults: Vec::new(),
            should_race_operators: false,
            lag_tolerated_until: Timestamp::default(),
            generations_seen: BTreeMap::new(),
            calls_at_planned_stop: BTreeMap::new(),
            last_served_at: Timestamp::default(),
            settled_at: Timestamp::default(),
            longest_without_leader: Duration::ZERO,
            trace: blake3::Hasher::new(),
            processed_events: 0,
        };
        world.start_nodes();
        world.plan_callers(options.programs);
        world.plan_faults(&options.faults);
        world.schedule(MEMORY_CHECK_INTERVAL, Event::MemoryCheck);
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
                let shard = ProgramShard::bootstrap(ShardId(0), own, configuration, settings, seed, self.now);
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
                let start = self.random.random_range(1_500..FAULT_WINDOW.as_millis() as u64);
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
            if at > end || self.processed_events > MAX_EVENTS {
                return;
            }
            self.now = at;
            let is_settled = self.callers.iter().all(|caller| caller.is_done);
            if !is_settled || at < Timestamp(1_000_000) + HEAL_AT {
                self.settled_at = at;
            }
            // Two more memory checks cover the last programs.
            if at > self.settled_at + MEMORY_CHECK_INTERVAL * 2 {
                return;
            }
            self.process(event);
        }
    }

    fn process(&mut self, event: Event) {
        self.processed_events += 1;
        self.trace.update(&self.now.0.to_le_bytes());
        self.trace.update(format!("{event:?}").as_bytes());
        match event {
            Event::Deliver { to, incarnation, from, packet } => {
                self.deliver(to, incarnation, from, packet);
            }
            Event::Tick { node, incarnation } => {
                if self.should_process(node, incarnation, &Event::Tick { node, incarnation }) {
                    self.tick(node);
                    self.schedule(TICK_INTERVAL, Event::Tick { node, incarnation });
                }
            }
            Event::Heartbeat { node, incarnation } => {
                if self.should_process(node, incarnation, &Event::Heartbeat { node, incarnation }) {
                    self.send_heartbeats(node);
                    self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat { node, incarnation });
                }
            }
            Event::PlatformPoll { node, incarnation } => {
                if self.should_process(node, incarnation, &Event::PlatformPoll { node, incarnation }) {
                    self.poll_platform(node);
                    self.schedule(PLATFORM_POLL_INTERVAL, Event::PlatformPoll { node, incarnation });
                }
            }
            Event::TaskTimer { node, incarnation, call, exchange } => {
                let deferred = Event::TaskTimer { node, incarnation, call, exchange };
                if self.should_process(node, incarnation, &deferred) {
                    self.handle_task_timeout(node, call, exchange);
                }
            }
            Event::TaskRetry { node, incarnation, call, exchange } => {
                let deferred = Event::TaskRetry { node, incarnation, call, exchange };
                if self.should_process(node, incarnation, &deferred) {
                    self.handle_task_retry(node, call, exchange);
                }
            }
            Event::EngineDone { node, incarnation, call, is_cut } => {
                let deferred = Event::EngineDone { node, incarnation, call, is_cut };
                if self.should_process(node, incarnation, &deferred) {
                    self.handle_engine_done(node, call, is_cut);
                }
            }
            Event::ServiceRuns { node, incarnation, call, is_hung } => {
                self.handle_service_request(node, incarnation, call, is_hung);
            }
            Event::ServiceDone { node, incarnation, call, is_lost } => {
                let deferred = Event::ServiceDone { node, incarnation, call, is_lost };
                if self.should_process(node, incarnation, &deferred) {
                    self.handle_service_done(node, call, is_lost);
                }
            }
            Event::CallerSends { caller } => self.send_caller_request(caller),
            Event::CallerTimer { caller, attempt } => {
                let state = &self.callers[caller];
                if !state.is_done && state.attempt == attempt {
                    self.send_caller_request(caller);
                }
            }
            Event::CallerGets { caller, turn, answer } => self.receive_caller_answer(caller, turn, &answer),
            Event::MemoryCheck => self.check_engine_memory(),
            Event::Rollout => self.run_rollout(),
            Event::FaultBegins(kind) => self.begin_fault(kind),
            Event::FaultEnds(kind, node) => self.end_fault(kind, node),
            Event::Restart(node) => self.restart(node),
            Event::Heal => self.heal(),
        }
    }

    /// Whether a node's event is to be processed now. An event of a paused node is rescheduled to the end of
    /// the pause.
    fn should_process(&mut self, node: usize, incarnation: Incarnation, event: &Event) -> bool {
        let sim_node = &self.nodes[node];
        if !sim_node.is_up || sim_node.incarnation != incarnation {
            return false;
        }
        if sim_node.is_paused(self.now) {
            let wait = sim_node.paused_until.since(self.now);
            self.schedule(wait, event.clone());
            return false;
        }
        true
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, packet: Packet) {
        for latency in self.network.latencies(from, to, &mut self.random) {
            let packet = Box::new(packet.clone());
            self.schedule(latency, Event::Deliver { to, incarnation: None, from, packet });
        }
    }

    fn deliver(&mut self, to: usize, incarnation: Option<Incarnation>, from: usize, packet: Box<Packet>) {
        let current = self.nodes[to].incarnation;
        let target_incarnation = incarnation.unwrap_or(current);
        let deferred =
            Event::Deliver { to, incarnation: Some(target_incarnation), from, packet: packet.clone() };
        if !self.should_process(to, target_incarnation, &deferred) {
            return;
        }
        match *packet {
            Packet::Group { from, to: replica, message } => {
                self.receive_replication_message(to, from, replica, message)
            }
            Packet::Command { exchange, command } => self.receive_command(to, from, exchange, command),
            Packet::CommandAnswer { exchange, answer } => {
                self.handle_command_answer(to, from, exchange, answer)
            }
            Packet::Enqueue { exchange, engine, work } => {
                self.handle_enqueue(to, from, exchange, engine, *work)
            }
            Packet::EnqueueAnswer { exchange, outcome } => self.handle_enqueue_answer(to, exchange, outcome),
            Packet::Release { engine, release } => {
                let now = self.now;
                let effects = self.nodes[to].engine_queue(engine).release(release, now);
                self.apply_queue_effects(to, effects);
            }
            Packet::Forget { engine, call } => self.withdraw_queued(to, engine, call),
            Packet::FreeProgram { engine, program } => {
                if let Some(engine) = engine_index(&engine) {
                    self.engine_memory[engine].remove(&program);
                }
            }
            Packet::Heartbeat { replica, is_leaving, configuration } => {
                let status = crate::node::PeerStatus { replica, received_at: self.now, is_leaving };
                self.nodes[to].record_heartbeat(from, status);
                if let Some(configuration) = configuration {
                    self.apply_configuration(to, configuration);
                }
            }
            Packet::Cancel { call } => self.cancel_task(to, call),
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now;
        let sim_node = &mut self.nodes[node];
        let fleet = sim_node.fleet_view(now);
        let alive: BTreeSet<ReplicaId> =
            sim_node.live_peers(now).map(|(_, status)| status.replica).chain([sim_node.replica()]).collect();
        if let Some(shard) = sim_node.shard.as_mut() {
            let is_alive = |runner: sumacdrift_program::Runner| {
                alive.contains(&ReplicaId { node: runner.node, incarnation: runner.incarnation })
            };
            shard.tick(now, &is_alive);
            if !sim_node.is_stopping {
                shard.repair(&fleet, now);
            } else {
                let stays =
                    |replica: ReplicaId| fleet.usable.iter().any(|candidate| candidate.replica == replica);
                shard.transfer_leadership(&stays, now);
            }
            if shard.is_removed() {
                sim_node.shard = None;
                sim_node.command_waiters.clear();
            }
        }
        self.process_shard_outputs(node);
        let engines: Vec<usize> = self.nodes[node].queues.keys().copied().collect();
        for engine in engines {
            let effects = self.nodes[node].engine_queue(engine).tick(now);
            self.apply_queue_effects(node, effects);
        }
        self.record_leadership(node);
        self.try_exit(node);
    }

    fn record_leadership(&mut self, node: usize) {
        let now = self.now;
        let is_serving = self.nodes[node].shard.as_ref().is_some_and(|shard| shard.is_serving(now));
        if is_serving {
            if self.last_served_at > Timestamp::default() {
                let gap = now.since(self.last_served_at);
                self.longest_without_leader = self.longest_without_leader.max(gap);
            }
            self.last_served_at = now;
        }
    }

    fn send_heartbeats(&mut self, node: usize) {
        let sim_node = &self.nodes[node];
        let packet = Packet::Heartbeat {
            replica: sim_node.replica(),
            is_leaving: sim_node.is_stopping,
            configuration: sim_node.configuration.current().cloned(),
        };
        for other in (0..NODES).filter(|other| *other != node) {
            self.send(node, other, packet.clone());
        }
        self.check_generation(node);
    }

    fn poll_platform(&mut self, node: usize) {
        if !self.platform.is_down {
            let configuration = self.platform.configuration.clone();
            // Two nodes watch the platform; the other nodes get its changes by heartbeats.
            if node < 2 {
                self.apply_configuration(node, configuration);
            }
        }
    }

    fn apply_configuration(&mut self, node: usize, configuration: SimConfiguration) {
        let leaving = configuration.leaving.clone();
        if !self.nodes[node].configuration.replace_if_newer(configuration) {
            return;
        }
        let engines: Vec<usize> = self.nodes[node].queues.keys().copied().collect();
        for engine in engines {
            let effects = self.nodes[node].engine_queue(engine).set_draining(leaving.contains(&engine));
            self.apply_queue_effects(node, effects);
        }
        // A new configuration is sent at once, not only with the next heartbeat.
        if !is_broken(Rule::GenerationsAreMonotonic) {
            self.send_heartbeats(node);
        }
    }

    /// Changes the set of leaving engines, by one operator or by two that race.
    fn run_rollout(&mut self) {
        self.schedule(ROLLOUT_INTERVAL, Event::Rollout);
        let expected = self.platform.configuration.generation;
        let operators = if self.should_race_operators { 2 } else { 1 };
        let mut winners = 0;
        for _ in 0..operators {
            self.rollouts += 1;
            let rollout = self.rollouts;
            let is_leaving = self.random.random_bool(0.6);
            let leaving = if is_leaving { vec![self.random.random_range(0..ENGINES)] } else { Vec::new() };
            let generation = Generation(expected.0 + 1);
            let configuration = SimConfiguration { generation, leaving: leaving.clone(), rollout };
            let outcome = self.platform.write(expected, configuration, self.now);
            let is_stored = match outcome {
                WriteOutcome::Accepted => true,
                WriteOutcome::Conflict => false,
                WriteOutcome::Unanswered => self.platform.is_rollout_stored(rollout).unwrap_or(false),
            };
            winners += u32::from(is_stored);
            if is_stored {
                self.oracle.set_leaving(&leaving, self.now);
            }
        }
        self.oracle.check(Guarantee::ConfigurationApplied, winners <= 1, || {
            format!("{winners} operators wrote the same generation")
        });
    }

    /// Whether nodes may lag behind the configuration because of a fault.
    pub(crate) fn is_lag_tolerated(&self) -> bool {
        self.now < self.lag_tolerated_until
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
            events: self.processed_events,
            guarantees: self.oracle.tallies.results(),
            trace_hash: self.trace.finalize().to_hex().to_string(),
        }
    }

    /// The node to send a command to: the known leader, or else the next in an order that is fixed for each
    /// node.
    pub(crate) fn choose_target(&mut self, node: usize, tried: usize) -> usize {
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
