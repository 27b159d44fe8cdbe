//! A call under way at an engine: counted there, timed, and told to the book when it ends.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{Outcome, Placed, StreamSeen};
use sumacdrift_types::Timestamp;

use crate::dialect::Dialect;
use crate::edge::Edge;
use crate::engine_pool::UsedConnection;

/// Events seen so far.
#[derive(Debug, Clone, Copy)]
struct EventTimes {
    first: Timestamp,
    last: Timestamp,
    events: u64,
}

/// A call under way at an engine; counted there until this is ended or dropped.
pub(crate) struct EngineRun<D: Dialect> {
    edge: Arc<Edge<D>>,
    pub(crate) engine: EngineId,
    placed: Placed,
    sent: Timestamp,
    /// Tokens that still count as unread.
    unread_tokens: u64,
    times: Option<EventTimes>,
    connection: Option<UsedConnection>,
    /// What the way there took, which says nothing of the engine.
    on_the_way: Duration,
    outcome: Outcome,
}

impl<D: Dialect> EngineRun<D> {
    /// The call goes to an engine now.
    pub(crate) fn begin(edge: &Arc<Edge<D>>, placed: &Placed) -> Self {
        let sent = edge.clock.now();
        edge.book().sent(&placed.engine, placed.unread_tokens, sent);
        Self {
            edge: Arc::clone(edge),
            engine: placed.engine.clone(),
            placed: placed.clone(),
            sent,
            unread_tokens: placed.unread_tokens,
            times: None,
            connection: None,
            on_the_way: Duration::ZERO,
            outcome: Outcome::Sound,
        }
    }

    /// The answer comes on this connection, which took so long to come up where it is new.
    pub(crate) fn answered_on(&mut self, connection: UsedConnection, connected_in: Option<Duration>) {
        self.connection = Some(connection);
        let mut book = self.edge.book();
        if let Some(connected_in) = connected_in {
            book.connected(&self.engine, connected_in);
        }
        self.on_the_way = book.round_trip(&self.engine) + connected_in.unwrap_or_default();
    }

    /// Why the engine was chosen.
    pub(crate) fn placed(&self) -> &Placed {
        &self.placed
    }

    /// Events of a stream came.
    pub(crate) fn events_came(&mut self, events: usize) {
        let now = self.edge.clock.now();
        if self.times.is_none() {
            self.was_read();
        }
        let times = self.times.get_or_insert(EventTimes { first: now, last: now, events: 0 });
        times.last = now;
        times.events += events as u64;
    }

    /// A stream was read to its end.
    pub(crate) fn finish_stream(self) {
        if let Some(times) = self.times {
            let seen = StreamSeen {
                first_millis: millis(times.first.since(self.sent).saturating_sub(self.on_the_way)),
                rest_millis: millis(times.last.since(times.first)),
                events: times.events,
                tokens_ahead: self.placed.tokens_ahead,
                running: self.placed.running,
            };
            self.edge.book().observe_stream(&self.engine, &seen, self.edge.clock.now());
        }
        self.finish();
    }

    /// A whole answer was read, of a call that usually takes so long.
    pub(crate) fn finish_whole(self, usual: Option<Duration>) {
        let now = self.edge.clock.now();
        if let Some(usual) = usual.filter(|usual| !usual.is_zero()) {
            let taken = now.since(self.sent).saturating_sub(self.on_the_way);
            let slowness = taken.as_secs_f64() / usual.as_secs_f64();
            self.edge.book().observe_whole(&self.engine, slowness, now);
        }
        self.finish();
    }

    /// A whole answer was read that tells of a failure. It says nothing of the engine's speed: an engine that fails in
    /// 3 ms what takes others 300 ms would look like the fastest one and draw their calls. A server's error is the
    /// engine's fault; a client's error is not.
    pub(crate) fn finish_failed(mut self, status: StatusCode) {
        if status.is_server_error() {
            self.edge.metrics.server_errors.inc();
            self.outcome = Outcome::Faulty;
        }
        self.finish();
    }

    /// The call failed here.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    fn was_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.edge.book().was_read(&self.engine, unread_tokens);
    }
}

impl<D: Dialect> Drop for EngineRun<D> {
    fn drop(&mut self) {
        self.was_read();
        self.edge.engine_ended(&self.engine, self.outcome);
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
