//! Calls whose response is a stream of events, forwarded as they arrive and resumed at an engine after a failure if
//! allowed.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sumacdrift_calls::{
    CallMachine, EngineId, EventDisorder, EventSequence, EventSplitter, Failure, Next, StreamEvent,
};
use sumacdrift_routing::{Outcome, Placement};
use sumacdrift_storage::LedgerError;
use sumacdrift_types::ResultCode;

use crate::attempt::{CallContext, EngineResponse, attempt_until_response};
use crate::buffered::{buffer_response, forwarded_response};
use crate::engine_run::EngineRun;
use crate::metrics::GaugeGuard;
use crate::received_body::{BodyEnd, ReceivedBody};
use crate::responses::{EdgeBody, RelayError, full_body};
use crate::state_exchange::cached_parts;
use crate::turn::{OpenTurn, result_code};
use crate::unconfirmed_end::UnconfirmedEnd;
use crate::wire_format::WireFormat;

/// Runs a stream up to its first event, so that the response head and that event are sent together.
pub(crate) async fn run_stream<D: WireFormat>(
    mut call: CallContext<D>,
    mut machine: CallMachine,
    mut turn: Option<OpenTurn>,
) -> Result<Response<EdgeBody>, (CallContext<D>, CallMachine, Next)> {
    let first = machine.begin(call.edge.clock.now());
    let response = match attempt_until_response(&call, &mut machine, turn.as_mut(), first).await {
        Ok(response) => response,
        Err(next) => return Err((call, machine, next)),
    };
    if response.head.status != StatusCode::OK {
        return forward_failure(call, machine, response).await;
    }
    let head = response.head.clone();
    if !call.selected.route.rules.kind.may_run_again() {
        // No other engine will get the prompt, which may be large. The fingerprint covers it.
        call.fingerprint();
        call.forwarded.body = Bytes::new();
    }
    machine.record_head_sent(&response.run.placement().version);
    let mut relay = StreamRelay::new(call, machine, turn, response);
    let first = relay.next_chunk().await;
    let waited = relay.call.edge.clock.now().since(relay.call.accepted);
    relay.call.edge.metrics.first_event_seconds.observe(waited.as_secs_f64());
    let chunks = futures::stream::unfold((relay, first), |(mut relay, ready)| async move {
        let chunk = match ready {
            Some(chunk) => Some(chunk),
            None => relay.next_chunk().await,
        };
        chunk.map(|chunk| (chunk.map(Frame::data), (relay, None)))
    });
    Ok(forwarded_response(&head, StreamBody::new(chunks).boxed_unsync()))
}

/// Forwards an engine's error response, which has no events.
async fn forward_failure<D: WireFormat>(
    call: CallContext<D>,
    mut machine: CallMachine,
    response: EngineResponse<D>,
) -> Result<Response<EdgeBody>, (CallContext<D>, CallMachine, Next)> {
    let (placement, sent) = (response.run.placement().clone(), response.run.sent());
    match buffer_response(&call, &machine, response).await {
        Ok((head, bytes, received)) => {
            call.record_final_answer(&machine, &placement, sent, head.status).await;
            call.report_served(&machine, head.status.as_u16(), &placement, &received);
            Ok(forwarded_response(&head, full_body(bytes)))
        }
        Err(failure) => {
            let next = call.record_failure(&mut machine, &placement, sent, failure).await;
            let code = match next {
                Next::Fail { code } => code,
                _ => ResultCode::BackEndCut,
            };
            Err((call, machine, Next::Fail { code }))
        }
    }
}

type Chunk = Option<Result<Bytes, RelayError>>;

/// A stream that is being relayed.
struct StreamRelay<D: WireFormat> {
    call: CallContext<D>,
    machine: CallMachine,
    turn: Option<OpenTurn>,
    source: Option<(Incoming, EngineRun<D>)>,
    /// The current attempt's body.
    received: ReceivedBody,
    splitter: EventSplitter,
    sequence: EventSequence,
    pending: VecDeque<StreamEvent>,
    /// Whether the current attempt sent an event out of order, behind those that are pending.
    is_out_of_order: bool,
    /// Whether an engine has begun an event that no engine has completed.
    lacks_begun_event: bool,
    has_ended: bool,
    _in_flight: GaugeGuard,
}

impl<D: WireFormat> StreamRelay<D> {
    fn new(
        call: CallContext<D>,
        machine: CallMachine,
        turn: Option<OpenTurn>,
        response: EngineResponse<D>,
    ) -> Self {
        let in_flight = GaugeGuard::increment(&call.edge.metrics.in_flight);
        let received = ReceivedBody::of(&response.head, &response.body, call.head.resume_after.as_deref());
        let resume_after = call.head.resume_after.as_deref().filter(|_| call.resumes_stream());
        let mut sequence = EventSequence::new(resume_after);
        if resume_after.is_some() {
            sequence.set_usual_step(call.usual_step());
        }
        Self {
            _in_flight: in_flight,
            call,
            machine,
            turn,
            source: Some((response.body, response.run)),
            received,
            splitter: EventSplitter::default(),
            sequence,
            pending: VecDeque::new(),
            is_out_of_order: false,
            lacks_begun_event: false,
            has_ended: false,
        }
    }

    /// The next bytes for the caller; `None` at the regular end of the stream, an error if it is aborted.
    async fn next_chunk(&mut self) -> Chunk {
        while !self.has_ended {
            if let Some(event) = self.pending.pop_front() {
                return Some(Ok(self.combine(event)));
            }
            let mut failure = None;
            if std::mem::take(&mut self.is_out_of_order) {
                failure = Some(Failure::Spoiled);
            } else {
                match self.read().await {
                    ReadOutcome::Data => self.split_events(),
                    ReadOutcome::End if self.lacks_begun_event => failure = Some(self.reject_end()),
                    ReadOutcome::End => return self.finish().await,
                    ReadOutcome::Broken => failure = Some(Failure::Lost),
                }
            }
            if self.splitter.is_event_too_long() {
                failure = Some(Failure::Spoiled);
            }
            if let Some(failure) = failure
                && let Some(code) = self.resume(failure).await
            {
                return Some(Err(self.abort(code)));
            }
        }
        None
    }

    fn split_events(&mut self) {
        while let Some(event) = self.splitter.next_event() {
            if let Err(disorder) = self.sequence.advance(event.id.as_deref()) {
                self.reject_rest(&event, disorder);
                break;
            }
            self.pending.push_back(event);
        }
        if let Some((_, run)) = self.source.as_mut().filter(|_| !self.pending.is_empty()) {
            run.record_events(self.pending.len());
        }
    }

    /// Ends the attempt behind the pending events, as the engine sent an event that doesn't follow them. The engine would
    /// probably resume the stream as wrongly, so it doesn't get the call again.
    fn reject_rest(&mut self, event: &StreamEvent, disorder: EventDisorder) {
        self.is_out_of_order = true;
        self.splitter.clear();
        if let Some((_, run)) = &self.source {
            self.machine.exclude_engine(&run.engine);
            let last = self.sequence.last();
            self.call.report_disorder(run.placement(), &self.received, last, event.id.as_deref(), disorder);
        }
    }

    /// Rejects the regular end of a resumed stream that has to have another event.
    fn reject_end(&mut self) -> Failure {
        if let Some((_, run)) = &self.source {
            self.machine.exclude_engine(&run.engine);
            slog::info!(self.call.edge.logger, "engine ended a stream before an event that another one had begun";
                "event" => "stream_ended_early", "call" => &self.call.head.id, "engine" => %run.engine,
                "last_event" => self.machine.resume_after(), "age_ms" => self.call.age_millis(), &self.received);
        }
        Failure::Spoiled
    }

    /// Combines an event with those already parsed behind it into one chunk.
    fn combine(&mut self, mut first: StreamEvent) -> Bytes {
        self.record_event(&mut first);
        if self.pending.is_empty() {
            return first.bytes;
        }
        let mut bytes = Vec::from(first.bytes);
        while let Some(mut event) = self.pending.pop_front() {
            self.record_event(&mut event);
            bytes.extend_from_slice(&event.bytes);
        }
        Bytes::from(bytes)
    }

    fn record_event(&mut self, event: &mut StreamEvent) {
        if let Some(turn) = &mut self.turn {
            turn.record_event(event);
        }
        self.call.edge.metrics.events.inc();
        self.lacks_begun_event &= !event.has_data && event.id.is_none();
        self.received.record_event(event.id.as_deref());
        self.machine.record_event_sent(event.id.take());
    }

    async fn read(&mut self) -> ReadOutcome {
        let Some((body, _)) = &mut self.source else { return ReadOutcome::Broken };
        let deadline = self.call.edge.clock.instant(self.machine.deadline());
        match tokio::time::timeout_at(deadline, body.frame()).await {
            Err(_) => {
                self.received.record_end(BodyEnd::TimedOut);
                ReadOutcome::Broken
            }
            Ok(Some(Err(error))) => {
                self.received.record_end(BodyEnd::of_error(&error));
                ReadOutcome::Broken
            }
            Ok(None) => self.confirm_end().await,
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.splitter.push(&data);
                }
                ReadOutcome::Data
            }
        }
    }

    async fn confirm_end(&mut self) -> ReadOutcome {
        let Some((_, run)) = &mut self.source else { return ReadOutcome::Broken };
        let deadline = self.machine.deadline();
        match self.call.confirm_end(self.received.framing(), run, deadline).await {
            Ok(()) => {
                self.received.record_end(BodyEnd::Regular);
                ReadOutcome::End
            }
            Err(UnconfirmedEnd) => {
                self.received.record_end(BodyEnd::Unconfirmed);
                ReadOutcome::Broken
            }
        }
    }

    /// Finishes the stream after the engine's last event. The turn is committed before the caller sees the end.
    async fn finish(&mut self) -> Chunk {
        if !self.splitter.rest().is_empty() {
            // The stream ended within an event.
            let code = self
                .record_loss(Failure::Lost)
                .await
                .map_or(ResultCode::Internal, |_| ResultCode::BackEndCut);
            return Some(Err(self.abort(code)));
        }
        self.has_ended = true;
        self.call.record_answered(&self.machine, StatusCode::OK);
        let Some((_, run)) = self.source.take() else {
            return Some(Err(self.abort(ResultCode::Internal)));
        };
        let placement = run.placement().clone();
        run.finish_stream();
        let slot = self.call.slot.take();
        let waited = slot.as_ref().map_or(Duration::ZERO, |slot| slot.waited);
        if let Some(slot) = slot {
            slot.mark_served();
        }
        if let Some(turn) = self.turn.take()
            && let Err(error) = self.commit(turn, &placement.engine).await
        {
            return Some(Err(self.abort(result_code(error))));
        }
        let elapsed = self.call.edge.clock.now().since(self.call.accepted);
        let service_time = elapsed.saturating_sub(waited);
        self.call.edge.route_durations().observe(&self.call.selected.route.name, service_time);
        if let Some(steps) = self.sequence.steps_of_single_run() {
            self.call.edge.event_steps().record(&self.call.selected.service.name, steps);
        }
        self.call.edge.metrics.stream_seconds.observe(elapsed.as_secs_f64());
        self.call.report_served(&self.machine, StatusCode::OK.as_u16(), &placement, &self.received);
        None
    }

    /// Commits the turn, and records which engine has its prompt and answer cached.
    async fn commit(&self, turn: OpenTurn, engine: &EngineId) -> Result<(), LedgerError> {
        let edge = &self.call.edge;
        let cached = cached_parts(engine, &self.call.parts, turn.tokens());
        let now = edge.clock.now();
        cached.iter().for_each(|cached| edge.engines().record_cached_part(*cached, now));
        turn.commit(edge.update_at_end(&cached)).await
    }

    /// Resumes the stream after the engine failed. Returns the result code if that is not possible.
    async fn resume(&mut self, failure: Failure) -> Option<ResultCode> {
        self.lacks_begun_event |= self.splitter.has_begun_event();
        self.splitter.clear();
        let Some(LostStream { placement: Placement { engine, version, .. }, next }) =
            self.record_loss(failure).await
        else {
            return Some(ResultCode::Internal);
        };
        slog::info!(self.call.edge.logger, "engine aborted the stream"; "event" => "stream_broke_off",
            "call" => &self.call.head.id, "request" => %self.call.fingerprint(), "engine" => %engine, "engine_version" => %version,
            "reason" => ?failure,
            "events" => self.machine.events(), "last_event" => self.machine.resume_after(), "next" => ?next, "age_ms" => self.call.age_millis(), &self.received);
        // The stream is bound to its origin, so there is none to record.
        match attempt_until_response(&self.call, &mut self.machine, None, next).await {
            Ok(response) if response.head.status == StatusCode::OK => {
                self.call.edge.metrics.resumptions.inc();
                let resume_after = self.machine.resume_after();
                self.received = ReceivedBody::of(&response.head, &response.body, resume_after);
                self.sequence.begin_resumption();
                self.sequence.set_usual_step(self.call.usual_step());
                self.source = Some((response.body, response.run));
                None
            }
            Ok(response) => {
                let (placement, sent) = (response.run.placement().clone(), response.run.sent());
                response.run.fail(Outcome::Faulty);
                self.call.examine_after_error(&self.machine, &placement, sent).await;
                Some(ResultCode::BackEndRefused)
            }
            Err(Next::BreakOff { code } | Next::Fail { code } | Next::Refuse { code, .. }) => Some(code),
            Err(Next::Try { .. }) => Some(ResultCode::Internal),
        }
    }

    /// Records that the engine broke the stream off; `None` if no engine runs it.
    async fn record_loss(&mut self, failure: Failure) -> Option<LostStream> {
        let (_, run) = self.source.take()?;
        let (placement, sent) = (run.placement().clone(), run.sent());
        run.fail(Outcome::Faulty);
        let next = self.call.record_failure(&mut self.machine, &placement, sent, failure).await;
        Some(LostStream { placement, next })
    }

    fn abort(&mut self, code: ResultCode) -> RelayError {
        self.has_ended = true;
        self.call.report_unsuccessful_call(&self.machine, "broken off", code);
        RelayError(code)
    }
}

impl<D: WireFormat> CallContext<D> {
    /// Step that the ids of the service's streams usually have, if it is known.
    fn usual_step(&self) -> Option<u128> {
        self.edge.event_steps().usual_step(&self.selected.service.name)
    }
}

/// A stream that its engine broke off, and the next step.
struct LostStream {
    placement: Placement,
    next: Next,
}

enum ReadOutcome {
    Data,
    End,
    Broken,
}
