//! The registry of known engines and the state this node tracks for each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{CachedPart, EngineLoad, Loads, PartIndex};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{DisabledMechanisms, Location, Mechanism, Timestamp};

mod capacity;
mod eligibility;
mod engine_table;
mod incarnations;
mod outliers;
mod versions;

use engine_table::EngineTable;
use versions::FormerVersions;

pub use capacity::EngineCapacity;
pub use incarnations::{EnginePresence, EntryChange};

use crate::choice::{
    CALLS_PER_NEW_PROGRAM, CachedTokens, Choice, Placement, PlacementRequest, RequestedWork,
};
use crate::cold::ColdLimit;
use crate::distance::{TrafficPrices, ZoneDistances};
use crate::engine::{Engine, EngineSpec, Outcome};
use crate::estimate::Speeds;
use crate::evacuation::Evacuations;
use crate::interner::NameInterner;
use crate::peer_load::{PeerLoad, PeerLoadEstimator, PeerReportTime};
use crate::speeds::{LearnedSpeeds, StreamObservation};

/// Limits of the index of prompt parts cached by engines: number of parts, and retention since the last use.
const MAX_PARTS: usize = 1024;
const PART_RETENTION: Duration = Duration::from_secs(30);
/// Fraction of the usual time by which each call in flight slows down a non-streaming call.
const WHOLE_SLOWDOWN_PER_CALL: f64 = 0.02;

/// All engines known to this node.
#[derive(Debug)]
pub struct EngineRegistry {
    engines: EngineTable,
    names: NameInterner,
    circuit_breaker: CircuitBreakerSettings,
    speeds: HashMap<Arc<str>, LearnedSpeeds>,
    peer_reports: PeerReportTime,
    parts: PartIndex,
    evacuations: Evacuations,
    cold_limits: HashMap<Arc<str>, ColdLimit>,
    distances: ZoneDistances,
    disabled: DisabledMechanisms,
    former_versions: FormerVersions,
}

impl EngineRegistry {
    /// Creates an empty registry for a node at `location`; mechanisms in `off` are disabled.
    pub fn new(
        location: Location,
        prices: TrafficPrices,
        disabled: DisabledMechanisms,
        circuit_breaker: CircuitBreakerSettings,
    ) -> Self {
        Self {
            disabled,
            distances: ZoneDistances::new(location, prices),
            engines: EngineTable::default(),
            names: NameInterner::default(),
            circuit_breaker,
            speeds: HashMap::new(),
            peer_reports: PeerReportTime::default(),
            parts: PartIndex::new(MAX_PARTS, PART_RETENTION),
            evacuations: Evacuations::default(),
            cold_limits: HashMap::new(),
            former_versions: FormerVersions::default(),
        }
    }

    /// Records how long it took to connect to an engine.
    pub fn record_connect_time(&mut self, id: &EngineId, took: Duration) {
        if let Some(engine) = self.engines.get(id) {
            self.distances.record_connect_time(&engine.spec.zone, took.as_secs_f64() * 1e3);
        }
    }

    /// Estimated network round trip to an engine, without its processing time; zero for an unknown engine.
    pub fn round_trip(&self, id: &EngineId) -> Duration {
        let zone = self.engines.get(id).map(|engine| &engine.spec.zone);
        let millis = zone.map_or(0.0, |zone| self.distances.round_trip_millis(zone));
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Evicts idle engines that have accepted no new work for at least `after`.
    pub fn evict_gone(&mut self, now: Timestamp, after: Duration) {
        self.engines.remove_where(|engine| {
            let is_expired = engine.unusable_since.is_some_and(|since| now.since(since) >= after);
            let is_listed_draining = engine.is_listed && engine.spec.is_draining;
            engine.running == 0 && !is_listed_draining && is_expired
        });
        self.names.remove_unused();
    }

    /// Number of a service's engines that accept new work.
    pub fn usable(&self, service: &str, now: Timestamp) -> usize {
        let of_service = self.engines.distinct().filter(|engine| &*engine.spec.service == service);
        of_service.filter(|engine| engine.is_usable(now)).count() + self.engines.interchangeable(service)
    }

    /// The latest directory entry of an engine.
    pub fn spec(&self, id: &EngineId) -> Option<&EngineSpec> {
        self.engines.get(id).map(|engine| &engine.spec)
    }

    /// Chooses the engine of least cost; `None` if no engine may serve the call.
    pub fn choose(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Option<Placement> {
        let (speeds, events, zone_calls, cached) = match request.work {
            RequestedWork::Stream { parts } => {
                let holders = parts.iter().flat_map(|part| self.parts.holders(part.part, now));
                let known: Vec<CachedPart> = match self.disabled.is_enabled(Mechanism::CachedPrompts) {
                    true => holders.collect(),
                    false => Vec::new(),
                };
                let learned = self.speeds.get(request.service).cloned().unwrap_or_default();
                let cached = CachedTokens::from_parts(parts, &known);
                let zone_calls =
                    if CachedTokens::is_continuation(parts, &known) { 1.0 } else { CALLS_PER_NEW_PROGRAM };
                (learned.speeds(), learned.events(), zone_calls, cached)
            }
            RequestedWork::Buffered { usual, .. } => (whole_speeds(usual), 1.0, 1.0, CachedTokens::default()),
        };
        let of_service = self.engines.distinct().filter(|engine| &*engine.spec.service == request.service);
        let peer_report_age = self.peer_reports.age(now);
        let interchangeable = self.engines.interchangeable(request.service);
        let peer_loads = PeerLoadEstimator::new(
            of_service.map(|engine| engine.peer_load),
            interchangeable,
            peer_report_age,
        );
        let disabled = self.disabled;
        let distances = &self.distances;
        let choice = Choice {
            disabled,
            request,
            distances,
            speeds,
            events,
            zone_calls,
            peer_loads,
            peer_report_age,
            cached,
            now,
        };
        let is_eligible =
            |engine: &&Engine| self.is_allowed(engine, request) && self.is_available(engine, now);
        let candidates = self.candidates(request, &choice.cached);
        let mut placement = choice.best(candidates.filter(is_eligible))?;
        placement.cold = self.cold_limit(&placement.engine, now);
        Some(placement)
    }

    /// Candidates for a call: all engines with state of their own, and of the interchangeable ones those that the
    /// call names, that hold part of its prompt, or that rank best for its key.
    fn candidates<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        cached: &CachedTokens,
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let named = request.avoid.iter().chain(request.deprioritized).chain(request.only);
        let named: Vec<&Engine> = named.filter_map(|id| self.engines.get(id)).collect();
        let excluded: Vec<u32> = named.iter().map(|engine| engine.key).collect();
        let holders = cached.engines().filter_map(|key| self.engines.get(self.engines.id_of(key)?));
        let preferred = self.engines.preferred(request.service, request.key, &excluded);
        let interchangeable = holders
            .chain(preferred)
            .chain(named.iter().copied())
            .filter(|engine| engine.group_position.is_some());
        let mut interchangeable: Vec<&Engine> = interchangeable.collect();
        interchangeable.sort_unstable_by(|one, other| one.spec.id.cmp(&other.spec.id));
        interchangeable.dedup_by(|one, other| std::ptr::eq(*one, *other));
        self.engines.distinct().chain(interchangeable)
    }

    /// Moves engines back to the interchangeable groups if they have no distinguishing state and no open connection.
    pub fn regroup_interchangeable(&mut self, is_connected: impl Fn(&EngineId) -> bool, now: Timestamp) {
        self.engines.regroup(|engine| engine.is_interchangeable(now) && !is_connected(&engine.spec.id));
    }

    /// Records that a call with `unread_tokens` prompt tokens to prefill was sent to an engine.
    pub fn record_sent(&mut self, id: &EngineId, unread_tokens: u64, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.running += 1;
            engine.record_use(now);
            engine.unread_tokens += unread_tokens;
            engine.circuit_breaker.sent(now);
        }
    }

    /// Records that a call's prefill ended or was abandoned.
    pub fn record_prefilled(&mut self, id: &EngineId, unread_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.unread_tokens = engine.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Records the outcome of a call; returns whether the engine has become unhealthy by it.
    pub fn record_outcome(&mut self, id: &EngineId, outcome: Outcome, now: Timestamp) -> bool {
        let Some(engine) = self.engines.get_mut(id) else { return false };
        let was_healthy = engine.is_healthy(now);
        engine.record_outcome(outcome, now);
        was_healthy && !engine.is_healthy(now)
    }

    /// Updates the speeds of a service and the slowness of an engine from a stream that succeeded.
    pub fn observe_stream(&mut self, id: &EngineId, seen: &StreamObservation, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let learned = self.speeds.entry(Arc::clone(&engine.spec.service)).or_default();
        let slowness = learned.observe(seen);
        learned.noise.observe(slowness, engine.slowness(now));
        engine.observe_slowness(slowness, learned.noise.variance(), now);
    }

    /// Updates an engine's slowness from a non-streaming call; `slowness` is relative to the usual time of its kind.
    pub fn observe_whole(&mut self, id: &EngineId, slowness: f64, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let learned = self.speeds.entry(Arc::clone(&engine.spec.service)).or_default();
        learned.noise.observe(slowness, engine.slowness(now));
        engine.observe_slowness(slowness, learned.noise.variance(), now);
    }

    /// Records that an engine has cached a prompt part, as seen by this node.
    pub fn record_cached_part(&mut self, cached: CachedPart, now: Timestamp) {
        self.parts.record(cached, now);
    }

    /// Records that an engine has cached a prompt part, as reported by peers.
    pub fn record_peer_cached_part(&mut self, cached: CachedPart, now: Timestamp) {
        if self.disabled.is_enabled(Mechanism::PeerPrompts) {
            self.parts.record(cached, now);
        }
    }

    /// Replaces the peer load of all engines; an engine without an entry in `loads` has none.
    pub fn apply_peer_loads(&mut self, loads: &Loads, now: Timestamp) {
        if !self.disabled.is_enabled(Mechanism::PeerLoads) {
            return;
        }
        let reported: HashMap<u32, &EngineLoad> =
            loads.engines.iter().map(|load| (load.engine, load)).collect();
        let known = self.engines.distinct().filter(|engine| engine.peer_load != PeerLoad::default());
        let absent = known.filter(|engine| !reported.contains_key(&engine.key)).map(|engine| engine.key);
        let absent: Vec<u32> = absent.collect();
        for key in absent.into_iter().chain(reported.keys().copied()) {
            let Some(id) = self.engines.id_of(key).cloned() else { continue };
            if let Some(engine) = self.engines.get_mut(&id) {
                let load = reported.get(&key).map(|load| PeerLoad::from_report(load, &engine.peer_load, now));
                engine.peer_load = load.unwrap_or_default();
                if engine.peer_load.running > 0.0 {
                    engine.record_use(now);
                }
            }
        }
        self.peer_reports = PeerReportTime::at(now);
    }

    /// Age of the latest peer report; `None` if there is no valid one.
    pub fn peer_report_age(&self, now: Timestamp) -> Option<Duration> {
        self.peer_reports.age(now)
    }

    /// Number of engines, including removed ones that have not been evicted.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is tracked.
    pub fn is_empty(&self) -> bool {
        self.engines.len() == 0
    }

    /// This node's load report for its peers. Lists engines where it has calls in flight or recent failures, and
    /// those where peers reported failures.
    pub fn load_report(&self, now: Timestamp) -> Loads {
        let number = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let load_of = |engine: &Engine| {
            let failed = engine.recent_failures(now);
            let peers_report_failures = self.peer_reports.age(now).is_some() && engine.peer_load.failed > 0;
            let recent = self.recent_calls_to_report(engine, now);
            EngineLoad {
                engine: engine.key,
                running: number(engine.running as u64),
                unread_tokens: number(engine.unread_tokens),
                failed: failed.unwrap_or(0),
                succeeding_edges: u32::from(peers_report_failures && failed == Some(0)),
                recent_ended: recent.ended,
                recent_failed: recent.failed,
            }
        };
        let is_reportable =
            |load: &EngineLoad| load.running + load.failed + load.succeeding_edges + load.recent_ended > 0;
        Loads { engines: self.engines.distinct().map(load_of).filter(is_reportable).collect() }
    }
}

/// Speeds under which an uncontended non-streaming call takes the usual time.
fn whole_speeds(usual: Duration) -> Speeds {
    let millis = usual.as_secs_f64() * 1e3;
    Speeds {
        read_millis_per_token: 0.0,
        first_millis: 0.0,
        event_millis: millis,
        event_millis_per_call: millis * WHOLE_SLOWDOWN_PER_CALL,
    }
}
