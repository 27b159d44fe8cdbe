//! Calls whose answer is a stream of events: passed on event by event, taken up at an engine again where it may be.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sumacdrift_calls::{CallMachine, EngineId, EventSplitter, Failure, Next, StreamEvent};
use sumacdrift_routing::Outcome;
use sumacdrift_storage::LedgerError;
use sumacdrift_types::ResultCode;

use crate::answers::{EdgeBody, RelayError, whole_body};
use crate::attempt::{Answered, CallContext, find_answer};
use crate::dialect::Dialect;
use crate::engine_run::EngineRun;
use crate::fleet_news::held_parts;
use crate::metrics::UnderWay;
use crate::plain::{gather, pass_on};
use crate::turn::{OpenTurn, code_of};

/// Runs a stream up to its first event, so that its head and that event travel together.
pub(crate) async fn run_stream<D: Dialect>(
    mut call: CallContext<D>,
    mut machine: CallMachine,
    turn: Option<OpenTurn>,
) -> Result<Response<EdgeBody>, (CallContext<D>, CallMachine, Next)> {
    let first = machine.begin(call.edge.clock.now());
    let answered = match find_answer(&call, &mut machine, first).await {
        Ok(answered) => answered,
        Err(next) => return Err((call, machine, next)),
    };
    if answered.head.status != StatusCode::OK {
        return pass_failure_on(call, machine, answered).await;
    }
    let head = answered.head.clone();
    if !call.selected.route.rules.kind.may_run_again() {
        // A prompt may be large, and no other engine will get it.
        call.forwarded.body = Bytes::new();
    }
    machine.head_given();
    let mut relay = Relay::new(call, machine, turn, answered);
    let first = relay.next_piece().await;
    let waited = relay.call.edge.clock.now().since(relay.call.accepted);
    relay.call.edge.metrics.first_event_seconds.observe(waited.as_secs_f64());
    let pieces = futures::stream::unfold((relay, first), |(mut relay, ready)| async move {
        let piece = match ready {
            Some(piece) => Some(piece),
            None => relay.next_piece().await,
        };
        piece.map(|piece| (piece.map(Frame::data), (relay, None)))
    });
    Ok(pass_on(&head, StreamBody::new(pieces).boxed_unsync()))
}

/// Passes on an engine's own failure, which has no events.
async fn pass_failure_on<D: Dialect>(
    call: CallContext<D>,
    machine: CallMachine,
    answered: Answered<D>,
) -> Result<Response<EdgeBody>, (CallContext<D>, CallMachine, Next)> {
    let placed = answered.run.placed().clone();
    match gather(&call, &machine, answered).await {
        Ok((head, bytes)) => {
            call.report_served(&machine, head.status.as_u16(), &placed);
            Ok(pass_on(&head, whole_body(bytes)))
        }
        Err(_) => Err((call, machine, Next::Fail { code: ResultCode::BackEndCut })),
    }
}

type Piece = Option<Result<Bytes, RelayError>>;

/// A stream under way.
struct Relay<D: Dialect> {
    call: CallContext<D>,
    machine: CallMachine,
    turn: Option<OpenTurn>,
    source: Option<(Incoming, EngineRun<D>)>,
    splitter: EventSplitter,
    ready: VecDeque<StreamEvent>,
    is_over: bool,
    _under_way: UnderWay,
}

impl<D: Dialect> Relay<D> {
    fn new(
        call: CallContext<D>,
        machine: CallMachine,
        turn: Option<OpenTurn>,
        answered: Answered<D>,
    ) -> Self {
        let under_way = UnderWay::begin(&call.edge.metrics.under_way);
        Self {
            _under_way: under_way,
            call,
            machine,
            turn,
            source: Some((answered.body, answered.run)),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            is_over: false,
        }
    }

    /// The next bytes for the caller; `None` at the stream's regular end, an error where it is broken off.
    async fn next_piece(&mut self) -> Piece {
        while !self.is_over {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(self.give(event)));
            }
            match self.read().await {
                ReadOutcome::Data => self.take_events(),
                ReadOutcome::End => return self.end().await,
                ReadOutcome::Broken => {
                    if let Some(code) = self.go_on().await {
                        return Some(Err(self.break_off(code)));
                    }
                }
            }
        }
        None
    }

    fn take_events(&mut self) {
        while let Some(event) = self.splitter.next_event() {
            self.ready.push_back(event);
        }
        if let Some((_, run)) = self.source.as_mut().filter(|_| !self.ready.is_empty()) {
            run.events_came(self.ready.len());
        }
    }

    /// Gives an event out, with those that are ready behind it.
    fn give(&mut self, first: StreamEvent) -> Bytes {
        self.note(&first);
        if self.ready.is_empty() {
            return first.bytes;
        }
        let mut bytes = Vec::from(first.bytes);
        while let Some(event) = self.ready.pop_front() {
            self.note(&event);
            bytes.extend_from_slice(&event.bytes);
        }
        Bytes::from(bytes)
    }

    fn note(&mut self, event: &StreamEvent) {
        if let Some(turn) = &mut self.turn {
            turn.hand_out(event);
        }
        self.call.edge.metrics.events.inc();
        self.machine.event_given(event.id.clone());
    }

    async fn read(&mut self) -> ReadOutcome {
        let Some((body, _)) = &mut self.source else { return ReadOutcome::Broken };
        let deadline = self.call.edge.clock.instant(self.machine.deadline());
        match tokio::time::timeout_at(deadline, body.frame()).await {
            Err(_) | Ok(Some(Err(_))) => ReadOutcome::Broken,
            Ok(None) => ReadOutcome::End,
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.splitter.push(&data);
                }
                ReadOutcome::Data
            }
        }
    }

    /// The engine ended the stream: the turn is committed before the caller sees the end.
    async fn end(&mut self) -> Piece {
        if !self.splitter.rest().is_empty() {
            // An end in the middle of an event is no end.
            self.source_failed(Outcome::Faulty);
            return Some(Err(self.break_off(ResultCode::BackEndCut)));
        }
        self.is_over = true;
        let Some((_, run)) = self.source.take() else {
            return Some(Err(self.break_off(ResultCode::Internal)));
        };
        let placed = run.placed().clone();
        run.finish_stream();
        let room = self.call.room.take();
        let waited = room.as_ref().map_or(Duration::ZERO, |room| room.waited);
        if let Some(room) = room {
            room.note_served();
        }
        if let Some(turn) = self.turn.take()
            && let Err(error) = self.commit(turn, &placed.engine).await
        {
            return Some(Err(self.break_off(code_of(error))));
        }
        let taken = self.call.edge.clock.now().since(self.call.accepted);
        let served_in = taken.saturating_sub(waited);
        self.call.edge.usual_times().observe(&self.call.selected.route.name, served_in);
        self.call.edge.metrics.stream_seconds.observe(taken.as_secs_f64());
        self.call.report_served(&self.machine, StatusCode::OK.as_u16(), &placed);
        None
    }

    /// Records the turn's end, and tells where its prompt and answer lie now.
    async fn commit(&self, turn: OpenTurn, engine: &EngineId) -> Result<(), LedgerError> {
        let edge = &self.call.edge;
        let held = held_parts(engine, &self.call.parts, turn.tokens());
        let now = edge.clock.now();
        held.iter().for_each(|held| edge.book().holds(*held, now));
        turn.commit(edge.news_at_end(&held)).await
    }

    /// The engine broke off: finds one to take the stream up. Returns the reason where there is none.
    async fn go_on(&mut self) -> Option<ResultCode> {
        self.splitter.clear();
        let engine = self.source.as_ref().map(|(_, run)| run.engine.clone());
        self.source_failed(Outcome::Faulty);
        let Some(engine) = engine else { return Some(ResultCode::Internal) };
        let now = self.call.edge.clock.now();
        let next = self.machine.failed(&engine, Failure::Lost, now);
        slog::info!(self.call.edge.logger, "stream broke off"; "event" => "stream_broke_off",
            "call" => &self.call.head.id, "engine" => %engine, "events" => self.machine.events(),
            "next" => ?next, "age_ms" => self.call.age_millis());
        match find_answer(&self.call, &mut self.machine, next).await {
            Ok(answered) if answered.head.status == StatusCode::OK => {
                self.call.edge.metrics.resumptions.inc();
                self.source = Some((answered.body, answered.run));
                None
            }
            Ok(answered) => {
                answered.run.fail(Outcome::Faulty);
                Some(ResultCode::BackEndRefused)
            }
            Err(Next::BreakOff { code } | Next::Fail { code } | Next::Refuse { code, .. }) => Some(code),
            Err(Next::Try { .. }) => Some(ResultCode::Internal),
        }
    }

    fn source_failed(&mut self, outcome: Outcome) {
        if let Some((_, run)) = self.source.take() {
            run.fail(outcome);
        }
    }

    fn break_off(&mut self, code: ResultCode) -> RelayError {
        self.is_over = true;
        self.call.report_given_up(&self.machine, "broken off", code);
        RelayError(code)
    }
}

enum ReadOutcome {
    Data,
    End,
    Broken,
}
