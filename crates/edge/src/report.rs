//! One log line for each decision about a call.

use http::StatusCode;
use slog::info;
use sumacdrift_calls::{CallMachine, EventDisorder, EventId, Failure, Next};
use sumacdrift_routing::Placement;
use sumacdrift_types::{ResultCode, Timestamp};

use crate::attempt::CallContext;
use crate::engine_crash::CrashesElsewhere;
use crate::engine_pool::ConnectError;
use crate::received_body::ReceivedBody;
use crate::wire_format::{ResponseIdentity, WireFormat};

impl<D: WireFormat> CallContext<D> {
    pub(crate) fn report_failure(&self, placement: &Placement, failure: Failure, next: &Next) {
        self.edge.metrics.failed_attempts.inc();
        info!(self.edge.logger, "attempt failed"; "event" => "attempt_failed", "call" => &self.head.id,
            "request" => %self.fingerprint(), "engine" => %placement.engine, "engine_version" => %placement.version, "failure" => ?failure, "next" => ?next,
            "candidates" => placement.candidates, "running" => placement.running as u64,
            "age_ms" => self.age_millis());
    }

    /// Logs that an engine sent a response which doesn't name the call, on a new or a reused connection.
    pub(crate) fn report_foreign_response(
        &self,
        placement: &Placement,
        status: StatusCode,
        identity: ResponseIdentity,
        is_reused: bool,
    ) {
        self.edge.metrics.foreign_responses.inc();
        info!(self.edge.logger, "response doesn't name the call"; "event" => "foreign_response", "call" => &self.head.id,
            "engine" => %placement.engine, "engine_version" => %placement.version, "status" => status.as_u16(),
            "identity" => identity.as_str(), "reused_connection" => is_reused,
            "resume_after" => &self.head.resume_after, "age_ms" => self.age_millis());
    }

    /// Logs that an engine sent an event `id` that doesn't follow the event `last`.
    pub(crate) fn report_disorder(
        &self,
        placement: &Placement,
        received: &ReceivedBody,
        last: Option<&EventId>,
        id: Option<&str>,
        disorder: EventDisorder,
    ) {
        self.edge.metrics.events_out_of_order.inc();
        info!(self.edge.logger, "engine sent an event out of order"; "event" => "event_out_of_order", "call" => &self.head.id,
            "request" => %self.fingerprint(), "engine" => %placement.engine, "engine_version" => %placement.version,
            "last_event" => last.map(EventId::to_string), "id" => id, "reason" => ?disorder,
            "age_ms" => self.age_millis(), received);
    }

    /// Logs what is known of a request that one more crash brings to the limit, before it is sent.
    pub(crate) fn report_suspect_checked(
        &self,
        placement: &Placement,
        elsewhere: CrashesElsewhere,
        asked: Timestamp,
    ) {
        let CrashesElsewhere { count, is_known_here } = elsewhere;
        let took = self.edge.clock.now().since(asked);
        info!(self.edge.logger, "crashes under the request checked before it is sent"; "event" => "suspect_checked",
            "call" => &self.head.id, "request" => %self.fingerprint(), "engine" => %placement.engine,
            "crashes" => count.confirmed, "suspected" => count.suspected, "observed" => count.observed,
            "known_here" => is_known_here, "sent" => !count.has_reached_limit(), "took_ms" => took.as_millis() as u64);
    }

    /// Logs why a connection to an engine failed; without an error, it timed out.
    pub(crate) fn report_connect_failure(&self, placement: &Placement, error: Option<&ConnectError>) {
        info!(self.edge.logger, "connection to an engine failed"; "event" => "engine_unreachable",
            "call" => &self.head.id, "engine" => %placement.engine,
            "error" => error.map_or_else(|| "timed out".to_owned(), ConnectError::to_string));
    }

    /// Logs a call whose response an engine completed.
    pub(crate) fn report_served(
        &self,
        machine: &CallMachine,
        status: u16,
        placement: &Placement,
        received: &ReceivedBody,
    ) {
        self.edge.metrics.served.inc();
        let program = self.head.program.as_ref().map_or("", |program| &program.program);
        info!(self.edge.logger, "call served"; "event" => "served", "call" => &self.head.id, "engine" => %placement.engine,
            "engine_version" => %placement.version, "status" => status, "events" => machine.events(), "last_event" => machine.resume_after(), "misses" => machine.attempts_not_run(),
            "age_ms" => self.age_millis(), "version" => self.selected.version, "program" => program,
            "route" => &*self.selected.route.name, "expected_ms" => placement.estimate.own_millis as u64,
            "zone_ms" => placement.estimate.zone_millis as u64, "unread_tokens" => placement.unread_tokens, "tokens_ahead" => placement.tokens_ahead as u64,
            "running" => placement.running as u64, "next_best_ms" => placement.next_best.map(|cost| cost as u64),
            "others_age_ms" => placement.peer_report_age.map(|age| age.as_millis() as u64), received);
    }

    /// Logs a call that was rejected, failed or aborted, as `outcome` says.
    pub(crate) fn report_unsuccessful_call(&self, machine: &CallMachine, outcome: &str, code: ResultCode) {
        self.edge.metrics.record_unsuccessful_call(code);
        let is_quarantined =
            matches!(code, ResultCode::RequestCrashesEngines | ResultCode::RequestMayCrashEngines);
        let names_request = machine.possible_runs() > 0 || is_quarantined;
        info!(self.edge.logger, "call rejected, failed or aborted"; "event" => "given_up", "call" => &self.head.id, "what" => outcome,
            "request" => names_request.then(|| self.fingerprint().to_string()),
            "code" => code.number(), "title" => code.title(), "runs" => machine.possible_runs(), "crashes" => machine.crashes().confirmed, "suspected" => machine.crashes().suspected,
            "misses" => machine.attempts_not_run(), "events" => machine.events(), "age_ms" => self.age_millis(),
            "route" => &*self.selected.route.name, "service" => &*self.selected.service.name,
            "version" => self.selected.version);
    }

    pub(crate) fn age_millis(&self) -> u64 {
        let age = self.edge.clock.now().since(self.accepted);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }
}
