//! A fleet of edges before engines of one service, on a virtual clock: calls, their ends, and news that are some time old.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{Board, BoardSizes, Loads, News};
use sumacdrift_routing::{
    EngineBook, EngineSpec, Outcome, OutlierChange, OutlierChangeKind, PartNeed, PlacementRequest,
    RequestedWork, TrafficPrices,
};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::{AllowedRegions, Location, Mechanism, SwitchedOff, Timestamp};

const STEP: Duration = Duration::from_millis(10);
const CALL_TIME: Duration = Duration::from_millis(100);
/// An edge tells of its calls after a time drawn between these milliseconds.
const TELLS_EVERY_MILLIS: std::ops::Range<u64> = 40..100;
/// How old news are when an edge takes them in.
const NEWS_AGE: Duration = Duration::from_millis(300);

/// How an edge behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    /// As it is.
    Now,
    /// With outlier ejection switched off.
    Without,
    /// Of a version that knows nothing of outlier ejection and tells no counts.
    Old,
}

/// What calls ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    Stream,
    Whole,
}

/// What is played.
pub struct Scenario {
    pub seed: u64,
    pub builds: Vec<Build>,
    pub engines: usize,
    pub slots: usize,
    pub work: Work,
    pub calls_per_second: f64,
    pub lasts: Duration,
    /// Chance that a call at an engine that ends at a time has failed.
    pub fails: Box<dyn Fn(usize, Timestamp) -> f64>,
}

/// A call, as it was placed and as it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Played {
    pub edge: usize,
    pub engine: usize,
    pub begun: Timestamp,
    pub ended: Timestamp,
    pub has_failed: bool,
}

/// What came of it.
pub struct Result {
    pub calls: Vec<Played>,
    /// Changes, with the edge and the time.
    pub changes: Vec<(usize, Timestamp, OutlierChange)>,
    /// Most engines that any edge had put aside at a time.
    pub most_aside: usize,
}

impl Result {
    /// Calls that failed.
    pub fn failures(&self) -> usize {
        self.calls.iter().filter(|call| call.has_failed).count()
    }

    /// The part of all calls that began within a time which an engine got.
    pub fn share(&self, engine: usize, from: Timestamp, to: Timestamp) -> f64 {
        let within = || self.calls.iter().filter(|call| call.begun >= from && call.begun < to);
        within().filter(|call| call.engine == engine).count() as f64 / within().count() as f64
    }

    /// When an edge put an engine aside for the first time.
    pub fn first_put_aside(&self, edge: usize) -> Option<Timestamp> {
        let mut changes = self.changes.iter();
        let is_put_aside = |change: &OutlierChange| matches!(change.kind, OutlierChangeKind::PutAside { .. });
        changes.find(|(of, _, change)| *of == edge && is_put_aside(change)).map(|(_, now, _)| *now)
    }

    /// How often edges put an engine aside.
    pub fn put_aside(&self) -> usize {
        let changes = self.changes.iter();
        changes.filter(|(_, _, change)| matches!(change.kind, OutlierChangeKind::PutAside { .. })).count()
    }
}

struct Edge {
    book: EngineBook,
    build: Build,
    inbox: VecDeque<(Timestamp, Loads)>,
    tells_at: Timestamp,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    edges: Vec<Edge>,
    board: Board,
    under_way: VecDeque<Played>,
    random: ChaCha8Rng,
    result: Result,
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

pub fn engine_id(engine: usize) -> EngineId {
    EngineId::new(&format!("engine {engine:03}"))
}

/// A book as an edge has it.
pub fn edge_book(engines: usize, slots: usize, off: SwitchedOff) -> EngineBook {
    let health = HealthSettings {
        failures_to_open: 2,
        first_pause: Duration::from_millis(500),
        max_pause: Duration::from_secs(4),
        slow_start: Duration::from_secs(1),
    };
    let mut book = EngineBook::new(Location::in_zone("z"), TrafficPrices::default(), off, health);
    for engine in 0..engines {
        let spec = EngineSpec {
            id: engine_id(engine),
            service: "s".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".into(),
            slots,
            is_leaving: false,
            cold_left: Duration::ZERO,
            report: 1,
        };
        book.upsert(spec, Timestamp::default());
    }
    book
}

/// Plays a scenario.
pub fn play(scenario: &Scenario) -> Result {
    let mut fleet = Fleet::new(scenario);
    let mut now = Timestamp::default();
    while now < Timestamp::default() + scenario.lasts {
        now = now + STEP;
        fleet.end_calls(now);
        fleet.exchange(now);
        fleet.begin_calls(now);
        let aside = fleet.edges.iter().map(|edge| edge.book.engines_put_aside(now)).max();
        fleet.result.most_aside = fleet.result.most_aside.max(aside.unwrap_or(0));
    }
    fleet.result
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let edge = |build: &Build| {
            let off = match build {
                Build::Now => SwitchedOff::default(),
                Build::Without | Build::Old => SwitchedOff::default().with(Mechanism::OutlierEjection),
            };
            Edge {
                book: edge_book(scenario.engines, scenario.slots, off),
                build: *build,
                inbox: VecDeque::new(),
                tells_at: Timestamp::default(),
            }
        };
        Self {
            scenario,
            edges: scenario.builds.iter().map(edge).collect(),
            board: Board::new(BoardSizes { parts: 64, keep_parts_for: Duration::from_secs(10) }),
            under_way: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            result: Result { calls: Vec::new(), changes: Vec::new(), most_aside: 0 },
        }
    }

    fn judge(&mut self, edge: usize, now: Timestamp) {
        let changes = self.edges[edge].book.judge_outliers(now);
        self.result.changes.extend(changes.into_iter().map(|change| (edge, now, change)));
    }

    fn end_calls(&mut self, now: Timestamp) {
        while self.under_way.front().is_some_and(|call| call.ended <= now) {
            let Some(mut call) = self.under_way.pop_front() else { return };
            let chance = (self.scenario.fails)(call.engine, now);
            call.has_failed = self.random.random::<f64>() < chance;
            let outcome = if call.has_failed { Outcome::Faulty } else { Outcome::Sound };
            self.edges[call.edge].book.ended(&engine_id(call.engine), outcome, now);
            if call.has_failed {
                self.judge(call.edge, now);
            }
            self.result.calls.push(call);
        }
    }

    /// Edges whose turn it is tell of their calls, and all take in what is old enough by now.
    fn exchange(&mut self, now: Timestamp) {
        for number in 0..self.edges.len() {
            let edge = &mut self.edges[number];
            if now >= edge.tells_at {
                edge.tells_at = now + Duration::from_millis(self.random.random_range(TELLS_EVERY_MILLIS));
                let mut loads = edge.book.loads(now);
                if edge.build == Build::Old {
                    for load in &mut loads.engines {
                        (load.recent_ended, load.recent_failed) = (0, 0);
                    }
                }
                let node = format!("edge {number}");
                let news = News { node, loads: Some(loads), asks_loads: true, ..News::default() };
                let told = self.board.exchange(news, now).loads.expect("loads");
                edge.inbox.push_back((now + NEWS_AGE, told));
            }
            while edge.inbox.front().is_some_and(|(due, _)| *due <= now) {
                let Some((_, told)) = edge.inbox.pop_front() else { break };
                edge.book.others_told(&told, now);
                let changes = edge.book.judge_outliers(now);
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
        let parts = [PartNeed { part: self.random.random(), tokens: 500 }];
        let work = match self.scenario.work {
            Work::Stream => RequestedWork::Stream { parts: &parts },
            Work::Whole => RequestedWork::Whole { usual: CALL_TIME, is_sticky: false },
        };
        let request = PlacementRequest {
            service: "s",
            regions: &AllowedRegions::default(),
            key: self.random.random(),
            work,
            kilobytes: 1.0,
            is_connected: &|_| true,
            avoid: &[],
            rather_not: &[],
            only: None,
        };
        let book = &mut self.edges[edge].book;
        let placed = book.choose(&request, now).expect("an engine");
        book.sent(&placed.engine, placed.unread_tokens, now);
        book.was_read(&placed.engine, placed.unread_tokens);
        let engine = (0..self.scenario.engines).find(|engine| engine_id(*engine) == placed.engine);
        self.under_way.push_back(Played {
            edge,
            engine: engine.expect("a known engine"),
            begun: now,
            ended: now + CALL_TIME,
            has_failed: false,
        });
    }
}
