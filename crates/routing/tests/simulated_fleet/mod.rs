//! Simulated fleet of edges and engines of one service on a virtual clock: calls, outcomes and delayed load reports.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::{BoardLimits, Loads, NodeReport, ReportBoard};
use sumacdrift_routing::{
    EngineRegistry, EngineSpec, Outcome, OutlierChange, OutlierChangeKind, PlacementRequest, RequestedWork,
    RequiredPart, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, Mechanism, Timestamp};

const STEP: Duration = Duration::from_millis(10);
const CALL_TIME: Duration = Duration::from_millis(100);
/// Range of the random interval between an edge's reports.
const REPORT_INTERVAL_MILLIS: std::ops::Range<u64> = 40..100;
/// Delay until an edge receives a report.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Software version of an edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    Current,
    /// With outlier ejection switched off.
    EjectionOff,
    /// A version without outlier ejection, which reports no counts of recent calls.
    Old,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Stream,
    Buffered,
}

pub struct Scenario {
    pub seed: u64,
    pub builds: Vec<Build>,
    pub engines: usize,
    pub slots: usize,
    pub request_kind: RequestKind,
    pub calls_per_second: f64,
    pub duration: Duration,
    /// Failure probability of a call, by engine and time of its end.
    pub failure_chance: Box<dyn Fn(usize, Timestamp) -> f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SimulatedCall {
    pub edge: usize,
    pub engine: usize,
    pub started: Timestamp,
    pub ended: Timestamp,
    pub has_failed: bool,
}

pub struct Result {
    pub calls: Vec<SimulatedCall>,
    /// Edge, time and change.
    pub changes: Vec<(usize, Timestamp, OutlierChange)>,
    /// Maximum number of engines that any edge had ejected at a time.
    pub max_ejected: usize,
}

impl Result {
    pub fn failures(&self) -> usize {
        self.calls.iter().filter(|call| call.has_failed).count()
    }

    /// Fraction of the calls started within a time span that an engine got.
    pub fn share(&self, engine: usize, from: Timestamp, to: Timestamp) -> f64 {
        let within = || self.calls.iter().filter(|call| call.started >= from && call.started < to);
        within().filter(|call| call.engine == engine).count() as f64 / within().count() as f64
    }

    pub fn first_ejection(&self, edge: usize) -> Option<Timestamp> {
        let mut changes = self.changes.iter();
        let is_ejected = |change: &OutlierChange| matches!(change.kind, OutlierChangeKind::Ejected { .. });
        changes.find(|(of, _, change)| *of == edge && is_ejected(change)).map(|(_, now, _)| *now)
    }

    /// Number of ejections by all edges.
    pub fn ejections(&self) -> usize {
        let changes = self.changes.iter();
        changes.filter(|(_, _, change)| matches!(change.kind, OutlierChangeKind::Ejected { .. })).count()
    }
}

struct Edge {
    registry: EngineRegistry,
    build: Build,
    inbox: VecDeque<(Timestamp, Loads)>,
    next_report_at: Timestamp,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    edges: Vec<Edge>,
    board: ReportBoard,
    in_flight: VecDeque<SimulatedCall>,
    random: ChaCha8Rng,
    result: Result,
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

pub fn engine_id(engine: usize) -> EngineId {
    EngineId::new(&format!("engine {engine:03}"))
}

pub fn edge_registry(engines: usize, slots: usize, disabled: DisabledMechanisms) -> EngineRegistry {
    let health = CircuitBreakerSettings {
        failure_threshold: 2,
        initial_backoff: Duration::from_millis(500),
        max_backoff: Duration::from_secs(4),
        slow_start: Duration::from_secs(1),
    };
    let mut registry =
        EngineRegistry::new(Location::in_zone("z"), TrafficPrices::default(), disabled, health);
    for engine in 0..engines {
        let spec = EngineSpec {
            id: engine_id(engine),
            service: "s".into(),
            version: EngineVersion::default(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".into(),
            slots,
            is_draining: false,
            warmup_left: Duration::ZERO,
            report: 1,
        };
        registry.upsert(spec, Timestamp::default());
    }
    registry
}

pub fn simulate(scenario: &Scenario) -> Result {
    let mut fleet = Fleet::new(scenario);
    let mut now = Timestamp::default();
    while now < Timestamp::default() + scenario.duration {
        now = now + STEP;
        fleet.end_calls(now);
        fleet.exchange(now);
        fleet.begin_calls(now);
        let ejected = fleet.edges.iter().map(|edge| edge.registry.ejected_engines(now)).max();
        fleet.result.max_ejected = fleet.result.max_ejected.max(ejected.unwrap_or(0));
    }
    fleet.result
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let edge = |build: &Build| {
            let disabled = match build {
                Build::Current => DisabledMechanisms::default(),
                Build::EjectionOff | Build::Old => {
                    DisabledMechanisms::default().with(Mechanism::OutlierEjection)
                }
            };
            Edge {
                registry: edge_registry(scenario.engines, scenario.slots, disabled),
                build: *build,
                inbox: VecDeque::new(),
                next_report_at: Timestamp::default(),
            }
        };
        Self {
            scenario,
            edges: scenario.builds.iter().map(edge).collect(),
            board: ReportBoard::new(BoardLimits { parts: 64, part_ttl: Duration::from_secs(10) }),
            in_flight: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            result: Result { calls: Vec::new(), changes: Vec::new(), max_ejected: 0 },
        }
    }

    fn evaluate(&mut self, edge: usize, now: Timestamp) {
        let changes = self.edges[edge].registry.update_ejections(now);
        self.result.changes.extend(changes.into_iter().map(|change| (edge, now, change)));
    }

    fn end_calls(&mut self, now: Timestamp) {
        while self.in_flight.front().is_some_and(|call| call.ended <= now) {
            let Some(mut call) = self.in_flight.pop_front() else { return };
            let chance = (self.scenario.failure_chance)(call.engine, now);
            call.has_failed = self.random.random::<f64>() < chance;
            let outcome = if call.has_failed { Outcome::Faulty } else { Outcome::Sound };
            self.edges[call.edge].registry.record_outcome(&engine_id(call.engine), outcome, now);
            if call.has_failed {
                self.evaluate(call.edge, now);
            }
            self.result.calls.push(call);
        }
    }

    /// Sends the reports of edges that are due and delivers those whose delay has passed.
    fn exchange(&mut self, now: Timestamp) {
        for number in 0..self.edges.len() {
            let edge = &mut self.edges[number];
            if now >= edge.next_report_at {
                edge.next_report_at =
                    now + Duration::from_millis(self.random.random_range(REPORT_INTERVAL_MILLIS));
                let mut loads = edge.registry.load_report(now);
                if edge.build == Build::Old {
                    for load in &mut loads.engines {
                        (load.recent_ended, load.recent_failed) = (0, 0);
                    }
                }
                let node = format!("edge {number}");
                let report =
                    NodeReport { node, loads: Some(loads), wants_loads: true, ..NodeReport::default() };
                let peer_loads = self.board.exchange(report, now).loads.expect("loads were requested");
                edge.inbox.push_back((now + REPORT_DELAY, peer_loads));
            }
            while edge.inbox.front().is_some_and(|(due, _)| *due <= now) {
                let Some((_, peer_loads)) = edge.inbox.pop_front() else { break };
                edge.registry.apply_peer_loads(&peer_loads, now);
                let changes = edge.registry.update_ejections(now);
                self.result.changes.extend(changes.into_iter().map(|change| (number, now, change)));
            }
        }
    }

    fn begin_calls(&mut self, now: Timestamp) {
        let expected = self.scenario.calls_per_second * STEP.as_secs_f64();
        let more = self.random.random::<f64>() < expected.fract();
        for _ in 0..expected as usize + usize::from(more) {
            let edge = self.random.random_range(0..self.edges.len());
            self.begin_call(edge, now);
        }
    }

    fn begin_call(&mut self, edge: usize, now: Timestamp) {
        let parts = [RequiredPart { part: self.random.random(), tokens: 500 }];
        let work = match self.scenario.request_kind {
            RequestKind::Stream => RequestedWork::Stream { parts: &parts },
            RequestKind::Buffered => RequestedWork::Buffered { usual: CALL_TIME, is_sticky: false },
        };
        let request = PlacementRequest {
            service: "s",
            regions: &AllowedRegions::default(),
            key: self.random.random(),
            work,
            kilobytes: 1.0,
            is_connected: &|_| true,
            avoid: &[],
            deprioritized: &[],
            only: None,
            version: None,
        };
        let registry = &mut self.edges[edge].registry;
        let placement = registry.choose(&request, now).expect("an engine is available");
        registry.record_sent(&placement.engine, placement.unread_tokens, now);
        registry.record_prefilled(&placement.engine, placement.unread_tokens);
        let engine = (0..self.scenario.engines).find(|engine| engine_id(*engine) == placement.engine);
        self.in_flight.push_back(SimulatedCall {
            edge,
            engine: engine.expect("a known engine"),
            started: now,
            ended: now + CALL_TIME,
            has_failed: false,
        });
    }
}
