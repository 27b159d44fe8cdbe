//! The engines there are, and what is believed of each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{EngineLoad, Loads, PartHeld, PartIndex};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::{Location, Mechanism, SwitchedOff, Timestamp};

mod eligibility;
mod engine_table;
mod lives;
mod outliers;
mod room;

use engine_table::EngineTable;

pub use lives::EntryChange;
pub use room::EngineRoom;

use crate::choice::{CALLS_OF_A_BEGINNING, Choice, HeldTokens, Placed, PlacementRequest, RequestedWork};
use crate::cold::ColdLimit;
use crate::distance::{Distances, TrafficPrices};
use crate::engine::{Engine, EngineSpec, Outcome};
use crate::estimate::Speeds;
use crate::evacuation::Evacuations;
use crate::names::SharedNames;
use crate::others::{BelievedLoads, OtherLoad, ToldTime};
use crate::speeds::{LearnedSpeeds, StreamSeen};

/// Parts of prompts that are remembered, and for how long since their last use.
const MOST_PARTS: usize = 1024;
const KEEP_PARTS_FOR: Duration = Duration::from_secs(30);
/// Share of its usual time by which each call under way makes a call take longer that is answered as a whole.
const WHOLE_SHARE_PER_CALL: f64 = 0.02;

/// The engines there are.
#[derive(Debug)]
pub struct EngineBook {
    engines: EngineTable,
    names: SharedNames,
    health: HealthSettings,
    speeds: HashMap<Arc<str>, LearnedSpeeds>,
    others_told: ToldTime,
    parts: PartIndex,
    evacuations: Evacuations,
    cold_limits: HashMap<Arc<str>, ColdLimit>,
    distances: Distances,
    off: SwitchedOff,
}

impl EngineBook {
    /// No engines yet, at a node that stands there; some mechanisms may be switched off.
    pub fn new(location: Location, prices: TrafficPrices, off: SwitchedOff, health: HealthSettings) -> Self {
        Self {
            off,
            distances: Distances::new(location, prices),
            engines: EngineTable::default(),
            names: SharedNames::default(),
            health,
            speeds: HashMap::new(),
            others_told: ToldTime::default(),
            parts: PartIndex::new(MOST_PARTS, KEEP_PARTS_FOR),
            evacuations: Evacuations::default(),
            cold_limits: HashMap::new(),
        }
    }

    /// A connection to an engine took so long.
    pub fn connected(&mut self, id: &EngineId, took: Duration) {
        if let Some(engine) = self.engines.get(id) {
            self.distances.connected(&engine.spec.zone, took.as_secs_f64() * 1e3);
        }
    }

    /// There and back to an engine, without its own time.
    pub fn round_trip(&self, id: &EngineId) -> Duration {
        let zone = self.engines.get(id).map(|engine| &engine.spec.zone);
        let millis = zone.map_or(0.0, |zone| self.distances.round_trip_millis(zone));
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Forgets engines that are gone and have no calls.
    pub fn forget_gone(&mut self, now: Timestamp, after: Duration) {
        self.engines.forget(|engine| {
            let is_long_gone = engine.unusable_since.is_some_and(|since| now.since(since) >= after);
            engine.running == 0 && !engine.spec.is_leaving && is_long_gone
        });
        self.names.forget_unused();
    }

    /// Engines of a service that take new work.
    pub fn usable(&self, service: &str, now: Timestamp) -> usize {
        let of_service = self.engines.noted().filter(|engine| &*engine.spec.service == service);
        of_service.filter(|engine| engine.is_usable(now)).count() + self.engines.alike(service)
    }

    /// The service of an engine.
    pub fn spec(&self, id: &EngineId) -> Option<&EngineSpec> {
        self.engines.get(id).map(|engine| &engine.spec)
    }

    /// The engine of least cost.
    pub fn choose(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Option<Placed> {
        let (speeds, events, zone_calls, held) = match request.work {
            RequestedWork::Stream { parts } => {
                let holders = parts.iter().flat_map(|part| self.parts.holders(part.part, now));
                let known: Vec<PartHeld> = match self.off.allows(Mechanism::HeldPrompts) {
                    true => holders.collect(),
                    false => Vec::new(),
                };
                let learned = self.speeds.get(request.service).cloned().unwrap_or_default();
                let held = HeldTokens::of(parts, &known);
                let zone_calls = if HeldTokens::goes_on(parts, &known) { 1.0 } else { CALLS_OF_A_BEGINNING };
                (learned.speeds(), learned.events(), zone_calls, held)
            }
            RequestedWork::Whole { usual, .. } => (whole_speeds(usual), 1.0, 1.0, HeldTokens::default()),
        };
        let of_service = self.engines.noted().filter(|engine| &*engine.spec.service == request.service);
        let others_age = self.others_told.age(now);
        let alike = self.engines.alike(request.service);
        let others = BelievedLoads::among(of_service.map(|engine| engine.others), alike, others_age);
        let off = self.off;
        let distances = &self.distances;
        let choice =
            Choice { off, request, distances, speeds, events, zone_calls, others, others_age, held, now };
        let may_get_any = |engine: &&Engine| self.is_allowed(engine, request) && self.is_open(engine, now);
        let weighed = self.engines_to_weigh(request, &choice.held);
        let mut placed = choice.best(weighed.filter(may_get_any))?;
        placed.cold = self.cold_limit(&placed.engine, now);
        Some(placed)
    }

    /// Engines among which the best one is: all of which something is known, in themselves or for this call, and the ones that the
    /// call prefers of those that are alike.
    fn engines_to_weigh<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        held: &HeldTokens,
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let named = request.avoid.iter().chain(request.rather_not).chain(request.only);
        let named: Vec<&Engine> = named.filter_map(|id| self.engines.get(id)).collect();
        let left_out: Vec<u32> = named.iter().map(|engine| engine.key).collect();
        let holders = held.engines().filter_map(|key| self.engines.get(self.engines.id_of(key)?));
        let favourites = self.engines.favourites(request.service, request.key, &left_out);
        let alike =
            holders.chain(favourites).chain(named.iter().copied()).filter(|engine| engine.alike.is_some());
        let mut alike: Vec<&Engine> = alike.collect();
        alike.sort_unstable_by(|one, other| one.spec.id.cmp(&other.spec.id));
        alike.dedup_by(|one, other| std::ptr::eq(*one, *other));
        self.engines.noted().chain(alike)
    }

    /// Counts engines among those that are alike again of which nothing is known any more, and to which no connection rests.
    pub fn settle(&mut self, is_connected: impl Fn(&EngineId) -> bool, now: Timestamp) {
        self.engines.settle(|engine| engine.is_like_others(now) && !is_connected(&engine.spec.id));
    }

    /// A call goes to an engine that has so many tokens of its prompt to read.
    pub fn sent(&mut self, id: &EngineId, unread_tokens: u64, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.running += 1;
            engine.note_use(now);
            engine.unread_tokens += unread_tokens;
            engine.health.sent(now);
        }
    }

    /// An engine has read a call's prompt, or will never do so.
    pub fn was_read(&mut self, id: &EngineId, unread_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.unread_tokens = engine.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// A call at an engine ended; returns whether the engine is now avoided and was not before.
    pub fn ended(&mut self, id: &EngineId, outcome: Outcome, now: Timestamp) -> bool {
        let Some(engine) = self.engines.get_mut(id) else { return false };
        let was_sound = engine.is_sound(now);
        engine.call_ended(outcome, now);
        was_sound && !engine.is_sound(now)
    }

    /// A stream ended well: teaches how fast its service and its engine are.
    pub fn observe_stream(&mut self, id: &EngineId, seen: &StreamSeen, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let learned = self.speeds.entry(Arc::clone(&engine.spec.service)).or_default();
        let slowness = learned.observe(seen);
        learned.noise.observe(slowness, engine.slowness(now));
        engine.observe_slowness(slowness, learned.noise.variance(), now);
    }

    /// A call that is answered as a whole took so many times longer than is usual for its kind.
    pub fn observe_whole(&mut self, id: &EngineId, slowness: f64, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let learned = self.speeds.entry(Arc::clone(&engine.spec.service)).or_default();
        learned.noise.observe(slowness, engine.slowness(now));
        engine.observe_slowness(slowness, learned.noise.variance(), now);
    }

    /// An engine holds a part of a prompt.
    pub fn holds(&mut self, held: PartHeld, now: Timestamp) {
        self.parts.note(held, now);
    }

    /// Other nodes told of an engine that holds a part of a prompt.
    pub fn others_hold(&mut self, held: PartHeld, now: Timestamp) {
        if self.off.allows(Mechanism::ToldPrompts) {
            self.parts.note(held, now);
        }
    }

    /// Other nodes told of their calls.
    pub fn others_told(&mut self, loads: &Loads, now: Timestamp) {
        if !self.off.allows(Mechanism::ToldLoads) {
            return;
        }
        let told: HashMap<u32, &EngineLoad> = loads.engines.iter().map(|load| (load.engine, load)).collect();
        let known = self.engines.noted().filter(|engine| engine.others != OtherLoad::default());
        let no_more = known.filter(|engine| !told.contains_key(&engine.key)).map(|engine| engine.key);
        let no_more: Vec<u32> = no_more.collect();
        for key in no_more.into_iter().chain(told.keys().copied()) {
            let Some(id) = self.engines.id_of(key).cloned() else { continue };
            if let Some(engine) = self.engines.get_mut(&id) {
                let load = told.get(&key).map(|load| OtherLoad::told(load, &engine.others, now));
                engine.others = load.unwrap_or_default();
                if engine.others.running > 0.0 {
                    engine.note_use(now);
                }
            }
        }
        self.others_told = ToldTime::now(now);
    }

    /// Age of what is known of other nodes' calls; `None` where nothing is.
    pub fn others_age(&self, now: Timestamp) -> Option<Duration> {
        self.others_told.age(now)
    }

    /// Number of engines known.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.len() == 0
    }

    /// This node's calls, for other nodes: of engines where it has any, where they fail, and where others say that
    /// theirs do.
    pub fn loads(&self, now: Timestamp) -> Loads {
        let number = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let load_of = |engine: &Engine| {
            let failed = engine.failed_of_late(now);
            let others_fail = self.others_told.age(now).is_some() && engine.others.failed > 0;
            let recent = self.recent_calls_to_tell(engine, now);
            EngineLoad {
                engine: engine.key,
                running: number(engine.running as u64),
                unread_tokens: number(engine.unread_tokens),
                failed: failed.unwrap_or(0),
                served: u32::from(others_fail && failed == Some(0)),
                recent_ended: recent.ended,
                recent_failed: recent.failed,
            }
        };
        let says_something =
            |load: &EngineLoad| load.running + load.failed + load.served + load.recent_ended > 0;
        Loads { engines: self.engines.noted().map(load_of).filter(says_something).collect() }
    }
}

/// Speeds of engines for calls that are answered as a whole after this time.
fn whole_speeds(usual: Duration) -> Speeds {
    let millis = usual.as_secs_f64() * 1e3;
    Speeds {
        read_millis_per_token: 0.0,
        first_millis: 0.0,
        event_millis: millis,
        event_millis_per_call: millis * WHOLE_SHARE_PER_CALL,
    }
}
