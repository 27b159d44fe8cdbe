//! Observes an engine that lost a call and has shown a sign of life since: if it ends soon, that counts under the request.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CrashCount, MAX_CRASHES};
use sumacdrift_quarantine::OBSERVATION_TIME;
use sumacdrift_types::Timestamp;
use tokio::sync::watch;

use crate::edge::Edge;
use crate::engine_crash::LostCall;
use crate::engine_watch::EngineFate;
use crate::wire_format::WireFormat;

/// Interval at which the quarantine of a request is renewed while its engines are observed. Shorter than it lasts.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

impl<D: WireFormat> Edge<D> {
    /// Observes the engine of a lost call, apart from the call. `known` are the crashes under its request.
    pub(crate) fn begin_observation(self: &Arc<Self>, call: LostCall, known: CrashCount) {
        let Ok(permit) = Arc::clone(&self.crashes.observations).try_acquire_owned() else {
            self.metrics.engines_not_examined.inc();
            info!(self.logger, "too many engines are being observed"; "event" => "engine_not_observed",
                "call" => &call.id, "request" => %call.request, "engine" => %call.placement.engine);
            return;
        };
        let edge = Arc::clone(self);
        tokio::spawn(async move {
            let _permit = permit;
            edge.observe(call, known).await;
        });
    }

    async fn observe(self: Arc<Self>, call: LostCall, mut known: CrashCount) {
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
                EngineFate::Leaving => return,
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
    async fn record_late_crash(&self, call: &LostCall, until: Timestamp) {
        self.metrics.engine_crashes.inc();
        let mut known = self.confirm_crash(call).await.known;
        while known.has_reached_limit() && known.confirmed < MAX_CRASHES && self.clock.now() < until {
            self.sleep_until(self.clock.now() + RENEWAL_INTERVAL).await;
            known = self.crashes_under(call).await;
            self.enforce_crash_limit(call.request, known).await;
        }
    }
}
