//! Origins of streams: the service and software version whose engine began a stream, and which alone may continue it.
//!
//! The origin is recorded in the program ledger before an engine gets the call, so that it outlives this edge and every
//! edge can look it up when the caller resumes the stream.

use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CallMachine, EngineVersion};
use sumacdrift_ledger::{ResumedOrigin, ResumedTurn, StreamOrigin};
use sumacdrift_routing::{Placement, SoleService};
use sumacdrift_types::ResultCode;

use crate::attempt::{CallContext, Restrictions, choose_eligible};
use crate::turn::{OpenTurn, result_code};
use crate::wire_format::WireFormat;

/// Time for which an edge must have known the route and the engines without an interruption, to trust that they are all that
/// served while a stream began. Longer than callers keep trying to resume one.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// Revision of the origin that is recorded when a turn begins.
const FIRST_REVISION: u32 = 1;

/// What the ledger knows of the origin of a resumed stream.
#[derive(Debug, Default)]
pub(crate) struct RecordedOrigin {
    pub(crate) origin: ResumedOrigin,
    /// Number of turns that may have begun a stream that is resumed without a name.
    pub(crate) matching_turns: usize,
}

impl RecordedOrigin {
    /// What is known if the ledger did not answer: a turn that could be found there may be recorded.
    pub(crate) fn unanswered(resumed_turn: &ResumedTurn) -> Self {
        let origin = match resumed_turn {
            ResumedTurn::None => ResumedOrigin::NotAsked,
            ResumedTurn::Named(_) | ResumedTurn::OfSameRequest => ResumedOrigin::Unknown,
        };
        Self { origin, matching_turns: 0 }
    }
}

/// How the origin of a resumed stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginSource {
    /// Recorded with the turn of the call that the caller names.
    Named,
    /// Recorded with a turn of the same request.
    Request,
    /// By what this edge knows of the route and the engines.
    Inferred,
    /// Not found, as turns of the same request began at different origins.
    Ambiguous,
    /// Not found.
    Unknown,
}

struct FoundOrigin {
    origin: Option<StreamOrigin>,
    source: OriginSource,
}

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

    /// How the ledger can find the turn that began the stream which the call resumes. Streams without a program have a turn
    /// under the name of the call that began them, so they are found by that name only.
    pub(crate) fn resumed_turn(&self) -> ResumedTurn {
        if !self.resumes_stream() {
            return ResumedTurn::None;
        }
        match &self.head.resumed_call {
            Some(call) => ResumedTurn::Named(self.caller.name_in_ledger(call)),
            None if self.head.program.is_some() => ResumedTurn::OfSameRequest,
            None => ResumedTurn::None,
        }
    }

    /// Restricts a call that resumes a stream to the service and version of its origin, which the ledger returned. One that
    /// nobody recorded is inferred if only one service and version can have begun the stream. On an error the call has
    /// not run.
    pub(crate) fn bind_resumed_stream(
        &mut self,
        machine: &mut CallMachine,
        recorded: RecordedOrigin,
    ) -> Result<(), ResultCode> {
        let matching_turns = recorded.matching_turns;
        let found = self.find_origin(recorded.origin);
        self.report_resumption(&found, matching_turns);
        let origin = found.origin.ok_or(ResultCode::UnknownStreamVersion)?;
        if *origin.service != *self.selected.service.name {
            let moved = self.edge.routes().with_service(&self.selected, &origin.service);
            self.selected = moved.ok_or(ResultCode::NoEngineOfVersion)?;
        }
        machine.bind_stream(&EngineVersion::new(&origin.version));
        Ok(())
    }

    fn find_origin(&self, recorded: ResumedOrigin) -> FoundOrigin {
        match recorded {
            ResumedOrigin::Recorded(origin) => {
                FoundOrigin { origin: Some(origin), source: self.record_source() }
            }
            ResumedOrigin::Ambiguous => FoundOrigin { origin: None, source: OriginSource::Ambiguous },
            ResumedOrigin::Unknown => FoundOrigin { origin: None, source: OriginSource::Unknown },
            ResumedOrigin::NotAsked | ResumedOrigin::NotRecorded => {
                let origin = self.infer_origin();
                let source = if origin.is_some() { OriginSource::Inferred } else { OriginSource::Unknown };
                FoundOrigin { origin, source }
            }
        }
    }

    /// How a recorded origin was found.
    fn record_source(&self) -> OriginSource {
        if self.head.resumed_call.is_some() { OriginSource::Named } else { OriginSource::Request }
    }

    /// The origin of a stream that nobody recorded, if this edge has known for long enough that the call's route leads to
    /// one service alone, and that all engines of it run one version.
    fn infer_origin(&self) -> Option<StreamOrigin> {
        let now = self.edge.clock.now();
        let route = self.sole_service().filter(|route| now.since(route.since) >= OBSERVATION_TIME)?;
        let knows_engines = self.edge.engine_view().is_continuous_since(now, OBSERVATION_TIME);
        let is_selected = route.service == self.selected.service.name;
        let version = self.sole_version().filter(|_| is_selected && knows_engines)?;
        Some(self.origin_at(&version))
    }

    fn sole_service(&self) -> Option<SoleService> {
        self.edge.routes().sole_service(self.forwarded.host()?, self.forwarded.uri.path())
    }

    fn report_resumption(&self, found: &FoundOrigin, matching_turns: usize) {
        let FoundOrigin { origin, source } = found;
        self.count_resumption(*source);
        let now = self.edge.clock.now();
        let origin = origin.as_ref();
        let view_age = self.edge.engine_view().age(now);
        let route_age = self.sole_service().map(|route| now.since(route.since));
        info!(self.edge.logger, "caller resumes a stream"; "event" => "stream_resumed_by_caller",
            "call" => &self.head.id, "resumed_call" => &self.head.resumed_call,
            "after" => &self.head.resume_after, "service" => origin.map(|origin| origin.service.as_str()),
            "engine_version" => origin.map(|origin| origin.version.as_str()),
            "recorded" => matches!(source, OriginSource::Named | OriginSource::Request),
            "origin_source" => ?source, "matching_turns" => matching_turns,
            "route_age_ms" => route_age.map(|age| age.as_millis() as u64),
            "engine_view_age_ms" => view_age.map(|age| age.as_millis() as u64), "age_ms" => self.age_millis());
    }

    fn count_resumption(&self, source: OriginSource) {
        let metrics = &self.edge.metrics;
        metrics.caller_resumptions.inc();
        match source {
            OriginSource::Named => {}
            OriginSource::Request => {
                metrics.origins_by_request.inc();
            }
            OriginSource::Inferred => {
                metrics.inferred_origins.inc();
            }
            OriginSource::Ambiguous => {
                metrics.ambiguous_origins.inc();
                metrics.unknown_origins.inc();
            }
            OriginSource::Unknown => {
                metrics.unknown_origins.inc();
            }
        }
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
