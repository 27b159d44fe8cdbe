//! Guards against herding: nodes with the same stale reports must not all choose the same engine.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{Board, BoardSizes, News, View};
use sumacdrift_routing::{
    EngineBook, EngineSpec, Outcome, PartNeed, PlacementRequest, RequestedWork, TrafficPrices,
};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::{AllowedRegions, Location, SwitchedOff, Timestamp};

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
    books: Vec<EngineBook>,
    board: Board,
    calls: Vec<Call>,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let spec = |engine: usize| EngineSpec {
            id: EngineId::new(&format!("engine {engine}")),
            service: "s".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".into(),
            slots: 64,
            is_leaving: false,
            cold_left: Duration::ZERO,
            report: 1,
        };
        let book = |_| {
            let mut book = EngineBook::new(
                Location::in_zone("z"),
                TrafficPrices::default(),
                SwitchedOff::default(),
                HealthSettings::default(),
            );
            for engine in 0..ENGINES {
                book.upsert(spec(engine), Timestamp::default());
            }
            book
        };
        let sizes = BoardSizes { parts: 64, keep_parts_for: Duration::from_secs(10) };
        Self {
            books: (0..EDGES).map(book).collect(),
            board: Board::new(sizes),
            calls: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn begin_calls(&mut self, now: Timestamp) {
        for edge in 0..EDGES {
            if !self.random.random_bool(ARRIVAL_CHANCE) {
                continue;
            }
            let parts = [PartNeed { part: self.random.random(), tokens: 500 }];
            let request = PlacementRequest {
                service: "s",
                regions: &AllowedRegions::default(),
                key: self.random.random(),
                work: RequestedWork::Stream { parts: &parts },
                kilobytes: 1.0,
                is_connected: &|_| true,
                avoid: &[],
                rather_not: &[],
                only: None,
            };
            let placed = self.books[edge].choose(&request, now).expect("an engine is available");
            self.books[edge].sent(&placed.engine, placed.unread_tokens, now);
            self.books[edge].was_read(&placed.engine, placed.unread_tokens);
            self.calls.push(Call { edge, engine: placed.engine, ends: now + CALL_TIME });
        }
    }

    fn end_calls(&mut self, now: Timestamp) {
        let (ended, in_flight) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.ends <= now);
        self.calls = in_flight;
        let ended: Vec<Call> = ended;
        for call in ended {
            self.books[call.edge].ended(&call.engine, Outcome::Sound, now);
        }
    }

    /// All edges report and receive at the same time.
    fn exchange(&mut self, now: Timestamp) {
        let report = |edge: usize, asks_loads: bool, books: &[EngineBook]| News {
            node: format!("edge {edge}"),
            loads: Some(books[edge].loads(now)),
            asks_loads,
            ..News::default()
        };
        for edge in 0..EDGES {
            self.board.exchange(report(edge, false, &self.books), now);
        }
        for edge in 0..EDGES {
            let view: View = self.board.exchange(report(edge, true, &self.books), now);
            self.books[edge].others_told(&view.loads.expect("loads were requested"), now);
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
