//! Ends of answers that have neither length nor chunks. They end with their connection, which also ends if the engine's process
//! is killed, so such an end is unconfirmed until the same process has shown that it lives on.

use std::time::Duration;

use slog::info;
use sumacdrift_http_client::BodyFraming;
use sumacdrift_routing::Placement;
use sumacdrift_types::Timestamp;

use crate::attempt::CallContext;
use crate::engine_crash::health_check_path;
use crate::engine_pool::NoResponse;
use crate::engine_run::EngineRun;
use crate::wire_format::{Responder, WireFormat};

/// Timeout of a liveness check. Engines that are full answer late.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// The engine may have ended before it had sent the whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the engine may have ended within its answer")]
pub(crate) struct UnconfirmedEnd;

/// Outcome of a liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    Alive,
    Refused,
    Silent,
    /// The response isn't the engine's own.
    Unidentified,
    /// The directory names a later process of the engine.
    Replaced,
}

impl Liveness {
    fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Unidentified => "unidentified",
            Self::Replaced => "replaced",
        }
    }
}

impl<D: WireFormat> CallContext<D> {
    /// Confirms that an answer whose body has ended in order is complete. Answers with length or chunks are.
    pub(crate) async fn confirm_end(
        &self,
        framing: BodyFraming,
        run: &mut EngineRun<D>,
        deadline: Timestamp,
    ) -> Result<(), UnconfirmedEnd> {
        if framing != BodyFraming::UntilClose {
            return Ok(());
        }
        let began = self.edge.clock.now();
        let within = LIVENESS_CHECK_TIMEOUT.min(deadline.since(began));
        let liveness = self.check_liveness(run.placement(), within).await;
        let took = self.edge.clock.now().since(began);
        run.exclude_liveness_check(took);
        self.edge.metrics.record_unconfirmed_end(liveness.as_str());
        info!(self.edge.logger, "answer ended with its connection"; "event" => "unconfirmed_end",
            "call" => &self.head.id, "engine" => %run.placement().engine, "framing" => ?framing,
            "outcome" => liveness.as_str(), "took_ms" => took.as_millis() as u64);
        match liveness {
            Liveness::Alive => Ok(()),
            _ => Err(UnconfirmedEnd),
        }
    }

    /// Asks an engine for a response of its own on a new connection.
    async fn check_liveness(&self, placement: &Placement, within: Duration) -> Liveness {
        let edge = &self.edge;
        let path = health_check_path(self.selected.service.health_path.as_deref());
        match edge.request_liveness(&placement.engine, placement.address, path, within).await {
            Err(NoResponse::Refused) => Liveness::Refused,
            Err(NoResponse::Silent) => Liveness::Silent,
            Ok(response) if response.responder != Responder::Engine => Liveness::Unidentified,
            Ok(_) if edge.is_replaced(&placement.engine) => Liveness::Replaced,
            Ok(_) => Liveness::Alive,
        }
    }
}
