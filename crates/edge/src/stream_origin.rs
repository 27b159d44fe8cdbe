//! Origins of streams: the service and software version whose engine began a stream, and which alone may continue it.
//!
//! The origin is recorded in the program ledger before an engine gets the call, so that it outlives this edge and every
//! edge can look it up when the caller resumes the stream.

use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CallMachine, EngineVersion};
use sumacdrift_ledger::StreamOrigin;
use sumacdrift_routing::Placement;
use sumacdrift_types::ResultCode;

use crate::attempt::{CallContext, Restrictions, choose_eligible};
use crate::turn::{OpenTurn, result_code};
use crate::wire_format::WireFormat;

/// Time for which an edge must have known the engines without an interruption, to trust that they are all that ran while a
/// stream began. Longer than callers keep trying to resume one.
const ENGINE_OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// Revision of the origin that is recorded when a turn begins.
const FIRST_REVISION: u32 = 1;

impl<D: WireFormat> CallContext<D> {
    /// Whether the call's answer is a stream that may be resumed.
    pub(crate) fn is_resumable(&self) -> bool {
        let kind = self.selected.route.rules.kind;
        kind.is_stream() && kind.may_run_again()
    }

    /// Whether the call resumes a stream of an earlier call.
    pub(crate) fn resumes_stream(&self) -> bool {
        self.is_resumable() && self.head.resume_after.is_some()
    }

    /// The origin to record when the call's turn begins: that of the engine which will probably be selected. `None` if the
    /// call begins no resumable stream, or no engine is known.
    pub(crate) fn expected_origin(&self) -> Option<StreamOrigin> {
        if !self.is_resumable() || self.resumes_stream() {
            return None;
        }
        let version = self.sole_version().or_else(|| {
            let placement = choose_eligible(self, &Restrictions::default())?;
            Some(placement.version)
        })?;
        Some(self.origin_at(&version))
    }

    /// The first origin of the call's stream, at engines of a version.
    fn origin_at(&self, version: &EngineVersion) -> StreamOrigin {
        let service = self.selected.service.name.as_ref().to_owned();
        StreamOrigin { service, version: version.as_str().to_owned(), revision: FIRST_REVISION }
    }

    fn sole_version(&self) -> Option<EngineVersion> {
        self.edge.engines().sole_version(&self.selected.service.name, self.edge.clock.now())
    }

    /// Restricts a call that resumes a stream to the service and version of its origin, which the ledger returned. An
    /// unknown origin is inferred if only one service and version can have begun the stream. On an error the call has
    /// not run.
    pub(crate) fn bind_resumed_stream(
        &mut self,
        machine: &mut CallMachine,
        recorded: Option<StreamOrigin>,
    ) -> Result<(), ResultCode> {
        let is_recorded = recorded.is_some();
        let origin = recorded.or_else(|| self.infer_origin());
        self.report_resumption(origin.as_ref(), is_recorded);
        let origin = origin.ok_or(ResultCode::UnknownStreamVersion)?;
        if *origin.service != *self.selected.service.name {
            let moved = self.edge.routes().with_service(&self.selected, &origin.service);
            self.selected = moved.ok_or(ResultCode::NoEngineOfVersion)?;
        }
        machine.bind_stream(&EngineVersion::new(&origin.version));
        Ok(())
    }

    fn infer_origin(&self) -> Option<StreamOrigin> {
        let view = self.edge.engine_view();
        let knows_engines = view.is_continuous_since(self.edge.clock.now(), ENGINE_OBSERVATION_TIME);
        let has_one_service = self.selected.route.services.len() == 1;
        let version = self.sole_version().filter(|_| has_one_service && knows_engines)?;
        Some(self.origin_at(&version))
    }

    fn report_resumption(&self, origin: Option<&StreamOrigin>, is_recorded: bool) {
        let metrics = &self.edge.metrics;
        metrics.caller_resumptions.inc();
        if origin.is_none() {
            metrics.unknown_origins.inc();
        }
        let view_age = self.edge.engine_view().age(self.edge.clock.now());
        info!(self.edge.logger, "caller resumes a stream"; "event" => "stream_resumed_by_caller",
            "call" => &self.head.id, "resumed_call" => &self.head.resumed_call,
            "after" => &self.head.resume_after, "service" => origin.map(|origin| origin.service.as_str()),
            "engine_version" => origin.map(|origin| origin.version.as_str()), "recorded" => is_recorded,
            "engine_view_age_ms" => view_age.map(|age| age.as_millis() as u64), "age_ms" => self.age_millis());
    }

    /// Records the version of the selected engine as the origin of the stream that it may begin, unless it is recorded
    /// already. Must succeed before the call is sent.
    pub(crate) async fn record_origin(
        &self,
        machine: &CallMachine,
        turn: &mut OpenTurn,
        placement: &Placement,
    ) -> Result<(), ResultCode> {
        let is_bound = machine.stream_version().is_some();
        let is_recorded = || turn.has_origin(&self.selected.service.name, &placement.version);
        if !self.is_resumable() || is_bound || is_recorded() {
            return Ok(());
        }
        let started = self.edge.clock.now();
        let until = self.edge.clock.instant(machine.admission_deadline(started));
        let recorded = turn.record_origin(self.origin_at(&placement.version), until).await;
        self.edge.metrics.origin_changes.inc();
        info!(self.edge.logger, "origin of a stream changed"; "event" => "stream_origin_changed",
            "call" => &self.head.id, "engine" => %placement.engine, "engine_version" => %placement.version,
            "took_ms" => self.edge.clock.now().since(started).as_millis() as u64,
            "error" => recorded.err().map(|error| error.to_string()));
        recorded.map_err(result_code)
    }
}
