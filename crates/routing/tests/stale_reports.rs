//! Guards against herding: nodes with the same stale reports must not all choose the same engine.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::{BoardLimits, NodeReport, PeerView, ReportBoard};
use sumacdrift_routing::{
    EngineRegistry, EngineSpec, Outcome, PlacementRequest, RequestedWork, RequiredPart, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, Timestamp};

const EDGES: usize = 8;
const ENGINES: usize = 12;
const STEP: Duration = Duration::from_millis(5);
/// Chance of a new program per edge and step: 240 a second on all edges.
const ARRIVAL_CHANCE: f64 = 0.15;
const CALL_TIME: Duration = Duration::from_millis(300);

struct Call {
    edge: usize,
    engine: EngineId,
    ends: Timestamp,
}

struct Simulation {
    registries: Vec<EngineRegistry>,
    board: ReportBoard,
    calls: Vec<Call>,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let spec = |engine: usize| EngineSpec {
            id: EngineId::new(&format!("engine {engine}")),
            service: "s".into(),
            version: EngineVersion::default(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".into(),
            slots: 64,
            is_draining: false,
            warmup_left: Duration::ZERO,
            report: 1,
        };
        let registry = |_| {
            let mut registry = EngineRegistry::new(
                Location::in_zone("z"),
                TrafficPrices::default(),
                DisabledMechanisms::default(),
                CircuitBreakerSettings::default(),
            );
            for engine in 0..ENGINES {
                registry.upsert(spec(engine), Timestamp::default());
            }
            registry
        };
        let limits = BoardLimits { parts: 64, part_ttl: Duration::from_secs(10) };
        Self {
            registries: (0..EDGES).map(registry).collect(),
            board: ReportBoard::new(limits),
            calls: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn begin_calls(&mut self, now: Timestamp) {
        for edge in 0..EDGES {
            if !self.random.random_bool(ARRIVAL_CHANCE) {
                continue;
            }
            let parts = [RequiredPart { part: self.random.random(), tokens: 500 }];
            let request = PlacementRequest {
                service: "s",
                regions: &AllowedRegions::default(),
                key: self.random.random(),
                work: RequestedWork::Stream { parts: &parts },
                kilobytes: 1.0,
                is_connected: &|_| true,
                avoid: &[],
                deprioritized: &[],
                only: None,
                version: None,
            };
            let placement = self.registries[edge].choose(&request, now).expect("an engine is available");
            self.registries[edge].record_sent(&placement.engine, placement.unread_tokens, now);
            self.registries[edge].record_prefilled(&placement.engine, placement.unread_tokens);
            self.calls.push(Call { edge, engine: placement.engine, ends: now + CALL_TIME });
        }
    }

    fn end_calls(&mut self, now: Timestamp) {
        let (ended, in_flight) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.ends <= now);
        self.calls = in_flight;
        let ended: Vec<Call> = ended;
        for call in ended {
            self.registries[call.edge].record_outcome(&call.engine, Outcome::Sound, now);
        }
    }

    /// All edges report and receive at the same time.
    fn exchange(&mut self, now: Timestamp) {
        let report = |edge: usize, asks_loads: bool, registries: &[EngineRegistry]| NodeReport {
            node: format!("edge {edge}"),
            loads: Some(registries[edge].load_report(now)),
            wants_loads: asks_loads,
            ..NodeReport::default()
        };
        for edge in 0..EDGES {
            self.board.exchange(report(edge, false, &self.registries), now);
        }
        for edge in 0..EDGES {
            let view: PeerView = self.board.exchange(report(edge, true, &self.registries), now);
            self.registries[edge].apply_peer_loads(&view.loads.expect("loads were requested"), now);
        }
    }

    /// Ratio of the fullest engine's calls to the mean.
    fn imbalance(&self) -> f64 {
        let calls_at = |engine: usize| {
            let id = EngineId::new(&format!("engine {engine}"));
            self.calls.iter().filter(|call| call.engine == id).count()
        };
        let fullest = (0..ENGINES).map(calls_at).max().unwrap_or(0);
        fullest as f64 / (self.calls.len() as f64 / ENGINES as f64)
    }
}

/// Mean ratio over ten seconds, without the first second.
fn imbalance(seed: u64, report_interval: Duration) -> f64 {
    let mut simulation = Simulation::new(seed);
    let mut now = Timestamp::default();
    let mut next_exchange = now;
    let (mut sum, mut samples) = (0.0, 0);
    while now < Timestamp::default() + Duration::from_secs(10) {
        now = now + STEP;
        simulation.end_calls(now);
        if now >= next_exchange {
            simulation.exchange(now);
            next_exchange = now + report_interval;
        }
        simulation.begin_calls(now);
        if now >= Timestamp::default() + Duration::from_secs(1) {
            sum += simulation.imbalance();
            samples += 1;
        }
    }
    sum / f64::from(samples)
}

#[test]
fn stale_reports_do_not_herd_nodes_to_one_engine() {
    for seed in 1..=5 {
        let (fresh, stale) = (imbalance(seed, STEP), imbalance(seed, Duration::from_millis(250)));
        assert!(fresh < 1.5, "seed {seed}: fresh reports, fullest engine at {fresh:.2} times the mean");
        assert!(stale < 2.5, "seed {seed}: stale reports, fullest engine at {stale:.2} times the mean");
    }
}
