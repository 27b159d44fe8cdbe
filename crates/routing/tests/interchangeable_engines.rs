//! Grouping interchangeable engines: a choice must equal that among all engines, and the number of candidates must
//! not grow with the fleet.

mod engine_fixtures;

use std::collections::BTreeSet;
use std::time::Duration;

use engine_fixtures::{ANYWHERE, NOW, registry, spec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::{CachedPart, EngineLoad, Loads, engine_key};
use sumacdrift_routing::{
    EngineRegistry, EngineSpec, Outcome, PlacementRequest, RequestedWork, RequiredPart,
};
use sumacdrift_types::Timestamp;

const ENGINES: usize = 60;
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const PARTS: [RequiredPart; 2] =
    [RequiredPart { part: 1, tokens: 2_560 }, RequiredPart { part: 2, tokens: 900 }];

/// Engine of one of two software versions.
fn versioned_spec(engine: usize) -> EngineSpec {
    EngineSpec { version: version(engine / ZONES.len()), ..spec(&name(engine), ZONES[engine % ZONES.len()]) }
}

fn version(number: usize) -> EngineVersion {
    EngineVersion::new(["v1", "v2"][number % 2])
}

fn name(engine: usize) -> String {
    format!("e{engine}")
}

/// Two registries with the same input, of which only one groups interchangeable engines.
struct BookPair {
    ungrouped: EngineRegistry,
    grouped: EngineRegistry,
    connected: BTreeSet<EngineId>,
    running: Vec<EngineId>,
    now: Timestamp,
}

impl BookPair {
    fn new() -> Self {
        let mut pair = Self {
            ungrouped: registry(&[]),
            grouped: registry(&[]),
            connected: BTreeSet::new(),
            running: Vec::new(),
            now: NOW,
        };
        for engine in 0..ENGINES {
            pair.apply_to_both(|registry, now| {
                registry.upsert(versioned_spec(engine), now);
            });
        }
        pair
    }

    fn apply_to_both(&mut self, change: impl Fn(&mut EngineRegistry, Timestamp)) {
        change(&mut self.ungrouped, self.now);
        change(&mut self.grouped, self.now);
    }

    fn settle(&mut self) {
        let connected = &self.connected;
        self.grouped.regroup_interchangeable(|id| connected.contains(id), self.now);
    }

    /// Chooses in both registries and sends the call to the chosen engine.
    fn place_call(&mut self, random: &mut ChaCha8Rng) {
        let work = match random.random_range(0..3) {
            0 => RequestedWork::Stream { parts: &PARTS },
            sticky => RequestedWork::Buffered { usual: Duration::from_millis(40), is_sticky: sticky == 1 },
        };
        let drawn = |random: &mut ChaCha8Rng, most: usize| -> Vec<EngineId> {
            (0..random.random_range(0..most))
                .map(|_| EngineId::new(&name(random.random_range(0..ENGINES))))
                .collect()
        };
        let (avoid, deprioritized) = (drawn(random, 4), drawn(random, 3));
        let only = EngineId::new(&name(random.random_range(0..ENGINES)));
        let version = version(random.random_range(0..2));
        let connected = &self.connected;
        let request = PlacementRequest {
            service: "s",
            regions: &ANYWHERE,
            key: random.random(),
            work,
            kilobytes: 8.0,
            is_connected: &|id| connected.contains(id),
            avoid: &avoid,
            deprioritized: &deprioritized,
            only: (random.random_range(0..20) == 0).then_some(&only),
            version: (random.random_range(0..3) == 0).then_some(&version),
        };
        let expected = self.ungrouped.choose(&request, self.now);
        let chosen = self.grouped.choose(&request, self.now);
        let engine = |placement: &Option<sumacdrift_routing::Placement>| {
            placement.as_ref().map(|placement| placement.engine.clone())
        };
        assert_eq!(engine(&chosen), engine(&expected), "{request_key}", request_key = request.key);
        let Some(placement) = chosen else { return };
        assert_eq!(Some(placement.estimate), expected.map(|expected| expected.estimate));
        self.apply_to_both(|registry, now| {
            registry.record_sent(&placement.engine, placement.unread_tokens, now)
        });
        self.connected.insert(placement.engine.clone());
        self.running.push(placement.engine);
    }

    fn end_call(&mut self, random: &mut ChaCha8Rng) {
        if self.running.is_empty() {
            return;
        }
        let engine = self.running.swap_remove(random.random_range(0..self.running.len()));
        let outcome = if random.random_range(0..6) == 0 { Outcome::Faulty } else { Outcome::Sound };
        self.apply_to_both(|registry, now| {
            registry.record_prefilled(&engine, u64::MAX);
            registry.record_outcome(&engine, outcome, now);
            let cached = CachedPart { part: 1, engine: engine_key(engine.as_str()), tokens: 2_560 };
            registry.record_cached_part(cached, now);
        });
    }

    fn report_loads(&mut self, random: &mut ChaCha8Rng) {
        let load = |random: &mut ChaCha8Rng| EngineLoad {
            engine: engine_key(&name(random.random_range(0..ENGINES))),
            running: random.random_range(0..5),
            failed: random.random_range(0..5),
            ..EngineLoad::default()
        };
        let loads = Loads { engines: (0..random.random_range(0..12)).map(|_| load(random)).collect() };
        self.apply_to_both(|registry, now| registry.apply_peer_loads(&loads, now));
    }

    fn change_entry(&mut self, random: &mut ChaCha8Rng) {
        let engine = random.random_range(0..ENGINES);
        let mut changed = spec(&name(engine), ZONES[engine % ZONES.len()]);
        match random.random_range(0..3) {
            0 => self.apply_to_both(|registry, now| {
                registry.remove(&changed.id, now);
            }),
            1 => {
                changed.warmup_left = Duration::from_millis(300);
                changed.report = random.random();
                self.apply_to_both(|registry, now| {
                    registry.upsert(changed.clone(), now);
                });
            }
            _ => self.apply_to_both(|registry, now| {
                registry.upsert(changed.clone(), now);
            }),
        }
    }
}

#[test]
fn choice_equals_that_among_all_engines() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut pair = BookPair::new();
        for _ in 0..400 {
            match random.random_range(0..12) {
                0..=4 => pair.place_call(&mut random),
                5..=7 => pair.end_call(&mut random),
                8 => pair.report_loads(&mut random),
                9 => pair.change_entry(&mut random),
                10 => pair.settle(),
                _ => {
                    pair.connected.pop_first();
                }
            }
            pair.now = pair.now + Duration::from_millis(random.random_range(0..200));
        }
    }
}

#[test]
fn candidate_count_is_independent_of_fleet_size() {
    const IN_USE: usize = 20;
    let candidates = [250, 500, 1_000, 2_000].map(|engines| {
        let mut registry = registry(&[]);
        for engine in 0..engines {
            registry.upsert(spec(&name(engine), ZONES[engine % ZONES.len()]), NOW);
        }
        registry.regroup_interchangeable(|_| false, NOW);
        for engine in 0..IN_USE {
            registry.record_sent(&EngineId::new(&name(engine)), 100, NOW);
        }
        let request = engine_fixtures::request(&[]);
        registry.choose(&request, NOW).expect("an engine is available").candidates
    });
    assert!(candidates.iter().all(|count| *count == candidates[0]), "{candidates:?}");
}
