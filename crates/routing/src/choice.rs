//! Selection of the engine for one call.

use std::time::Duration;

use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::CachedPart;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Mechanism, Timestamp};

use crate::cold::ColdLimit;
use crate::distance::{PathCost, ZoneDistances};
use crate::engine::{Engine, EngineSpec};
use crate::estimate::{CallWork, EngineState, Estimate, Speeds, estimate};
use crate::peer_load::PeerLoadEstimator;

/// Random cost jitter as a fraction of the estimate, so that nodes with the same view do not all choose the same
/// engine.
const JITTER_SHARE: f64 = 0.05;
/// Jitter for non-streaming calls. Smaller, as their estimates differ only by the calls in flight.
const WHOLE_JITTER_SHARE: f64 = 0.01;
/// Number of calls whose cross-zone cost counts for the first call of a program, as later ones go to the same engine.
pub(crate) const CALLS_PER_NEW_PROGRAM: f64 = 4.0;
/// Cost of requesting a permit for a cold engine: one exchange with a node of the region.
const PERMIT_COST_MILLIS: f64 = 3.0;
/// Extra time at an engine that has not served the key of a sticky call, as a fraction of the usual time.
const AFFINITY_SHARE: f64 = 0.15;

/// A segment of a call's prompt.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequiredPart {
    /// See [`sumacdrift_fleet_view::part_key`].
    pub part: u64,
    pub tokens: u64,
}

/// The work that a call causes at an engine.
#[derive(Debug, Clone, Copy)]
pub enum RequestedWork<'a> {
    /// Prefill a prompt and generate a stream of events.
    Stream {
        /// In prompt order.
        parts: &'a [RequiredPart],
    },
    /// Answer without streaming.
    Buffered {
        /// Typical duration of calls of this kind.
        usual: Duration,
        /// Whether an engine that has served the same key before is faster.
        is_sticky: bool,
    },
}

/// The requirements of a call.
#[allow(missing_docs)]
#[derive(Clone)]
pub struct PlacementRequest<'a> {
    pub service: &'a str,
    /// Regions in which the call may be served.
    pub regions: &'a AllowedRegions,
    /// Affinity key: at equal cost, calls with the same key prefer the same engine.
    pub key: u64,
    pub work: RequestedWork<'a>,
    /// Kilobytes sent to the engine.
    pub kilobytes: f64,
    /// Whether an idle connection to the engine is open.
    pub is_connected: &'a dyn Fn(&EngineId) -> bool,
    /// Engines that must not be chosen.
    pub avoid: &'a [EngineId],
    /// Engines that are chosen only if there is no other.
    pub deprioritized: &'a [EngineId],
    /// If set, no other engine may be chosen.
    pub only: Option<&'a EngineId>,
    /// If set, only engines of this software version may be chosen.
    pub version: Option<&'a EngineVersion>,
}

impl PlacementRequest<'_> {
    /// Whether the request itself permits an engine, whatever the engine's state.
    pub(crate) fn permits(&self, engine: &EngineSpec) -> bool {
        let has_version = self.version.is_none_or(|version| engine.version == *version)
            || is_broken(Rule::StreamsStayAtTheirVersion);
        let is_only = self.only.is_none_or(|only| engine.id == *only);
        &*engine.service == self.service && has_version && is_only && !self.avoid.contains(&engine.id)
    }
}

/// A chosen engine.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub engine: EngineId,
    /// Software version of the engine.
    pub version: EngineVersion,
    pub address: std::net::SocketAddr,
    pub estimate: Estimate,
    /// Tokens of the prompt that the engine has to prefill.
    pub unread_tokens: u64,
    /// Tokens to prefill before the first event, including those of other calls.
    pub tokens_ahead: f64,
    /// Estimated calls in flight at the engine from all nodes.
    pub running: f64,
    /// Age of the latest peer report; `None` if there is no valid one.
    pub peer_report_age: Option<Duration>,
    /// Number of engines compared; of interchangeable ones only those preferred by the call are.
    pub candidates: usize,
    /// Cost of the runner-up; `None` if there is none.
    pub next_best: Option<f64>,
    /// Set if the engine is cold: the call needs a permit.
    pub cold: Option<ColdLimit>,
}

/// Inputs shared by all candidates of one selection.
pub(crate) struct Choice<'a> {
    pub(crate) disabled: DisabledMechanisms,
    pub(crate) request: &'a PlacementRequest<'a>,
    pub(crate) distances: &'a ZoneDistances,
    pub(crate) speeds: Speeds,
    pub(crate) events: f64,
    /// Calls that would cross zones if this one does.
    pub(crate) zone_calls: f64,
    pub(crate) peer_loads: PeerLoadEstimator,
    pub(crate) peer_report_age: Option<Duration>,
    pub(crate) cached: CachedTokens,
    pub(crate) now: Timestamp,
}

struct Candidate<'a> {
    engine: &'a Engine,
    state: EngineState,
    estimate: Estimate,
    cost: f64,
}

impl Choice<'_> {
    /// The engine of least cost in the first non-empty tier.
    pub(crate) fn best<'e>(&self, engines: impl Iterator<Item = &'e Engine>) -> Option<Placement> {
        let candidates: Vec<&Engine> = engines.filter(|engine| self.request.permits(&engine.spec)).collect();
        // In order of preference; the last one is the last resort.
        let tiers: [&dyn Fn(&Engine) -> bool; 4] = [
            &|engine| self.is_preferred(engine) && engine.is_usable(self.now) && self.is_healthy(engine),
            &|engine| self.is_preferred(engine) && engine.is_usable(self.now),
            &|engine| engine.is_usable(self.now),
            &|engine| engine.is_last_resort(self.now),
        ];
        tiers.iter().find_map(|tier| self.cheapest(candidates.iter().copied().filter(|engine| tier(engine))))
    }

    fn is_healthy(&self, engine: &Engine) -> bool {
        let peers_see_failures = self.peer_loads.current(&engine.peer_load).is_failing()
            && self.disabled.is_enabled(Mechanism::PeerFailures);
        let is_healthy = engine.is_healthy(self.now) || !self.disabled.is_enabled(Mechanism::Health);
        is_healthy && !peers_see_failures && self.is_admitted(engine)
    }

    /// Whether outlier ejection admits this call.
    fn is_admitted(&self, engine: &Engine) -> bool {
        let ejection = engine.ejection.as_ref();
        ejection
            .is_none_or(|ejection| ejection.admits(self.request.key, engine.key, engine.running, self.now))
    }

    fn is_preferred(&self, engine: &Engine) -> bool {
        !self.request.deprioritized.contains(&engine.spec.id)
    }

    fn cheapest<'e>(&self, engines: impl Iterator<Item = &'e Engine>) -> Option<Placement> {
        let mut best: Option<Candidate<'_>> = None;
        let mut next_best = f64::INFINITY;
        let mut candidates = 0;
        for engine in engines {
            candidates += 1;
            let best_cost = best.as_ref().map_or(f64::INFINITY, |best| best.cost);
            let mut candidate = self.evaluate(engine);
            // Checked only if it can affect the result.
            if candidate.cost < best_cost && self.needs_connection(engine) {
                candidate.cost += self.distances.connection_millis(candidate.state.path);
            }
            if candidate.cost < best_cost {
                next_best = best_cost;
                best = Some(candidate);
            } else {
                next_best = next_best.min(candidate.cost);
            }
        }
        let best = best?;
        Some(Placement {
            engine: best.engine.spec.id.clone(),
            version: best.engine.spec.version.clone(),
            address: best.engine.spec.address,
            estimate: best.estimate,
            unread_tokens: best.state.unread_tokens as u64,
            tokens_ahead: best.state.unread_tokens + best.state.queued_tokens,
            running: best.state.running,
            peer_report_age: self.peer_report_age,
            candidates,
            next_best: next_best.is_finite().then_some(next_best),
            cold: None,
        })
    }

    fn needs_connection(&self, engine: &Engine) -> bool {
        self.disabled.is_enabled(Mechanism::OpenConnections) && !(self.request.is_connected)(&engine.spec.id)
    }

    fn evaluate<'e>(&self, engine: &'e Engine) -> Candidate<'e> {
        let peer_load = self.peer_loads.current(&engine.peer_load);
        let jitter = rendezvous_fraction(self.request.key, engine.key);
        let state = EngineState {
            unread_tokens: self.cached.uncached_tokens(engine.key),
            queued_tokens: engine.unread_tokens as f64 + peer_load.unread_tokens,
            running: engine.running as f64 + peer_load.running,
            slots: engine.spec.slots as f64,
            slowness: if self.disabled.is_enabled(Mechanism::Slowness) {
                engine.slowness(self.now)
            } else {
                1.0
            },
            path: if self.disabled.is_enabled(Mechanism::Zones) {
                self.distances.path_to(&engine.spec.zone)
            } else {
                PathCost::IN_ZONE
            },
        };
        let work = CallWork {
            events: self.events,
            zone_kilobytes: self.request.kilobytes,
            zone_calls: self.zone_calls,
        };
        let mut estimate = estimate(&state, &work, &self.speeds);
        if !self.disabled.is_enabled(Mechanism::OthersDelay) {
            estimate.imposed_millis = 0.0;
        }
        let jitter_share = match self.request.work {
            RequestedWork::Buffered { is_sticky: true, .. } => AFFINITY_SHARE,
            RequestedWork::Buffered { .. } => WHOLE_JITTER_SHARE,
            RequestedWork::Stream { .. } => JITTER_SHARE,
        };
        let permit = if engine.cold_state.is_cold(self.now) { PERMIT_COST_MILLIS } else { 0.0 };
        let cost = estimate.total() + permit + jitter_share * jitter * estimate.own_millis;
        Candidate { engine, state, estimate, cost }
    }
}

/// [`rendezvous_hash`] scaled to a number from 0 to 1.
pub(crate) fn rendezvous_fraction(key: u64, engine: u32) -> f64 {
    rendezvous_hash(key, engine) as f64 / u64::MAX as f64
}

/// Among engines of equal cost, calls of a key prefer the one with the lowest hash.
pub(crate) fn rendezvous_hash(key: u64, engine: u32) -> u64 {
    // SplitMix64 finalizer.
    let mut hash = key ^ u64::from(engine).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Number of prompt tokens cached by each engine.
#[derive(Debug, Default)]
pub(crate) struct CachedTokens {
    prompt_tokens: u64,
    /// Engine key and tokens, sorted by key; engines without cached tokens are left out.
    engines: Vec<(u32, u64)>,
}

impl CachedTokens {
    /// Sums the cached tokens of each engine, up to and including the first part that the engine holds only
    /// partly.
    pub(crate) fn from_parts(parts: &[RequiredPart], known: &[CachedPart]) -> Self {
        let mut keys: Vec<u32> = known.iter().map(|cached| cached.engine).collect();
        keys.sort_unstable();
        keys.dedup();
        let engines = keys.into_iter().map(|key| (key, cached_at(key, parts, known))).collect();
        Self { prompt_tokens: parts.iter().map(|part| part.tokens).sum(), engines }
    }

    /// Whether any engine caches some of the last part, so that the call continues an earlier one.
    pub(crate) fn is_continuation(parts: &[RequiredPart], known: &[CachedPart]) -> bool {
        parts.last().is_some_and(|last| known.iter().any(|cached| cached.part == last.part))
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = u32> {
        self.engines.iter().map(|(key, _)| *key)
    }

    fn uncached_tokens(&self, engine: u32) -> f64 {
        let found = self.engines.binary_search_by_key(&engine, |(key, _)| *key);
        let cached = found.map_or(0, |index| self.engines[index].1);
        self.prompt_tokens.saturating_sub(cached) as f64
    }
}

fn cached_at(engine: u32, parts: &[RequiredPart], known: &[CachedPart]) -> u64 {
    let mut total = 0;
    for part in parts {
        let of_part = known.iter().filter(|cached| cached.engine == engine && cached.part == part.part);
        let cached = of_part.map(|cached| u64::from(cached.tokens)).max().unwrap_or(0);
        total += cached.min(part.tokens);
        if cached < part.tokens {
            break;
        }
    }
    total
}
