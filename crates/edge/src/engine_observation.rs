//! Observes engines that lost a call and have shown a sign of life since: if one ends soon, that counts under the request.
//!
//! The edge that lost the call observes its engine, and so does each edge that loses the same request later, since the first
//! one may be gone by then.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CrashCount, EngineId, MAX_CRASHES, RequestFingerprint};
use sumacdrift_quarantine::OBSERVATION_TIME;
use sumacdrift_routing::EnginePresence;
use sumacdrift_storage::KnownCrashes;
use sumacdrift_types::Timestamp;
use tokio::sync::watch;

use crate::edge::Edge;
use crate::engine_crash::LostCall;
use crate::engine_watch::EngineFate;
use crate::wire_format::WireFormat;

/// Engines that are observed at the same time, each counted once for every request that it lost.
const MAX_OBSERVATIONS: usize = 1024;
/// Interval at which the quarantine of a request is renewed while its engines are observed. Shorter than it lasts.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// An engine that is observed because of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observation {
    request: RequestFingerprint,
    engine: EngineId,
}

/// Observations that are under way.
#[derive(Debug, Default)]
pub(crate) struct Observations(Mutex<HashSet<Observation>>);

impl Observations {
    fn lock(&self) -> MutexGuard<'_, HashSet<Observation>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<D: WireFormat> Edge<D> {
    /// Number of engines under observation, each counted once for every request that it lost.
    pub fn observed_engines(&self) -> usize {
        self.crashes.observations.lock().len()
    }

    /// Observes the engine of a lost call, apart from the call. `known` are the crashes under its request.
    pub(crate) fn begin_observation(self: &Arc<Self>, call: LostCall, known: CrashCount) {
        let observation = Observation { request: call.request, engine: call.engine.clone() };
        {
            let mut observations = self.crashes.observations.lock();
            if observations.len() >= MAX_OBSERVATIONS {
                self.metrics.engines_not_examined.inc();
                info!(self.logger, "too many engines are being observed"; "event" => "engine_not_observed",
                    "call" => &call.id, "request" => %call.request, "engine" => %call.engine);
                return;
            }
            if !observations.insert(observation.clone()) {
                return;
            }
        }
        let edge = Arc::clone(self);
        tokio::spawn(async move {
            edge.observe(call, known).await;
            edge.crashes.observations.lock().remove(&observation);
        });
    }

    /// Observes the other engines that lost the same request, whichever edge sent it there.
    pub(crate) fn observe_engines_of_others(self: &Arc<Self>, call: &LostCall, known: &KnownCrashes) {
        for incarnation in known.observed.iter().chain(&known.suspected) {
            let Some((engine, address)) = self.engines().find_incarnation(incarnation) else { continue };
            let incarnation = incarnation.clone();
            let other = LostCall { engine, incarnation, address, ..call.clone() };
            // One that is missing by now may have left as planned before it ended.
            if other.engine != call.engine && self.presence(&other) != EnginePresence::Missing {
                // Whether the request is held back is decided where it was lost.
                self.begin_observation(other, CrashCount::default());
            }
        }
    }

    async fn observe(self: &Arc<Self>, call: LostCall, mut known: CrashCount) {
        let until = call.lost + OBSERVATION_TIME;
        let mut fate = self.watch_engine(&call);
        while self.clock.now() < until {
            let is_held = known.has_reached_limit();
            if is_held {
                self.enforce_crash_limit(call.request, known).await;
            }
            let next = if is_held { until.min(self.clock.now() + RENEWAL_INTERVAL) } else { until };
            match self.fate_before(&mut fate, next).await {
                EngineFate::Crashed => return self.record_late_crash(&call, until).await,
                EngineFate::Leaving => {
                    info!(self.logger, "observed engine ends as planned"; "event" => "observation_ended",
                        "call" => &call.id, "request" => %call.request, "engine" => %call.engine,
                        "observed_ms" => self.clock.now().since(call.lost).as_millis() as u64);
                    return;
                }
                EngineFate::Running if is_held => known = self.crashes_under(&call).await,
                EngineFate::Running => {}
            }
        }
    }

    /// Waits for the end of a watched engine; [`EngineFate::Running`] if it goes on running until then.
    async fn fate_before(&self, fate: &mut watch::Receiver<EngineFate>, until: Timestamp) -> EngineFate {
        let ending = fate.wait_for(|fate| *fate != EngineFate::Running);
        match tokio::time::timeout_at(self.clock.instant(until), ending).await {
            Ok(Ok(fate)) => *fate,
            // Without a watch, nothing more is learned of the engine.
            Ok(Err(_)) => EngineFate::Leaving,
            Err(_) => EngineFate::Running,
        }
    }

    /// Counts the crash of an observed engine, and holds the request back while others that failed it are observed.
    async fn record_late_crash(self: &Arc<Self>, call: &LostCall, until: Timestamp) {
        self.metrics.engine_crashes.inc();
        let mut known = self.confirm_crash(call).await.known;
        while known.has_reached_limit() && known.confirmed < MAX_CRASHES && self.clock.now() < until {
            self.sleep_until(self.clock.now() + RENEWAL_INTERVAL).await;
            known = self.crashes_under(call).await;
            self.enforce_crash_limit(call.request, known).await;
        }
    }
}
