//! Tracks a call in flight at an engine: its load, its timing, and its outcome.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{Outcome, Placement, StreamObservation};
use sumacdrift_types::Timestamp;

use crate::edge::Edge;
use crate::engine_pool::ActiveConnection;
use crate::wire_format::WireFormat;

#[derive(Debug, Clone, Copy)]
struct EventTimes {
    first: Timestamp,
    last: Timestamp,
    events: u64,
}

/// A call in flight at an engine, counted in the engine's load until this is finished or dropped.
pub(crate) struct EngineRun<D: WireFormat> {
    edge: Arc<Edge<D>>,
    pub(crate) engine: EngineId,
    placement: Placement,
    sent: Timestamp,
    /// Prompt tokens of the call that still wait for prefill in the engine's load.
    pending_prefill_tokens: u64,
    event_times: Option<EventTimes>,
    connection: Option<ActiveConnection>,
    /// Connect and round-trip time, which is not part of the engine's own time.
    network_time: Duration,
    outcome: Outcome,
}

impl<D: WireFormat> EngineRun<D> {
    /// Counts the call at the engine, just before it is sent.
    pub(crate) fn begin(edge: &Arc<Edge<D>>, placement: &Placement) -> Self {
        let sent = edge.clock.now();
        edge.engines().record_sent(&placement.engine, placement.unread_tokens, sent);
        Self {
            edge: Arc::clone(edge),
            engine: placement.engine.clone(),
            placement: placement.clone(),
            sent,
            pending_prefill_tokens: placement.unread_tokens,
            event_times: None,
            connection: None,
            network_time: Duration::ZERO,
            outcome: Outcome::Sound,
        }
    }

    /// Records the connection that carries the response; `connect_time` is given if it is new.
    pub(crate) fn record_connection(&mut self, connection: ActiveConnection, connect_time: Option<Duration>) {
        self.connection = Some(connection);
        let mut engines = self.edge.engines();
        if let Some(connect_time) = connect_time {
            engines.record_connect_time(&self.engine, connect_time);
        }
        self.network_time = engines.round_trip(&self.engine) + connect_time.unwrap_or_default();
    }

    /// The placement decision that selected the engine.
    pub(crate) fn placement(&self) -> &Placement {
        &self.placement
    }

    /// When the call was sent to the engine.
    pub(crate) fn sent(&self) -> Timestamp {
        self.sent
    }

    /// Records events of a stream. The first ones show that the prefill is complete.
    pub(crate) fn record_events(&mut self, events: usize) {
        let now = self.edge.clock.now();
        if self.event_times.is_none() {
            self.record_prefill_end();
        }
        let event_times = self.event_times.get_or_insert(EventTimes { first: now, last: now, events: 0 });
        event_times.last = now;
        event_times.events += events as u64;
    }

    /// Excludes the time of a liveness check from the engine's own time.
    pub(crate) fn exclude_liveness_check(&mut self, took: Duration) {
        self.network_time += took;
    }

    /// Ends the run after a complete stream, and records the engine's speed.
    pub(crate) fn finish_stream(self) {
        if let Some(event_times) = self.event_times {
            let observed = StreamObservation {
                first_millis: millis(event_times.first.since(self.sent).saturating_sub(self.network_time)),
                rest_millis: millis(event_times.last.since(event_times.first)),
                events: event_times.events,
                tokens_ahead: self.placement.tokens_ahead,
                running: self.placement.running,
            };
            self.edge.engines().observe_stream(&self.engine, &observed, self.edge.clock.now());
        }
        self.finish();
    }

    /// Ends the run after a complete response, and records the engine's speed relative to `typical`, the route's
    /// average duration.
    pub(crate) fn finish_buffered(self, typical: Option<Duration>) {
        let now = self.edge.clock.now();
        if let Some(typical) = typical.filter(|typical| !typical.is_zero()) {
            let elapsed = now.since(self.sent).saturating_sub(self.network_time);
            let slowness = elapsed.as_secs_f64() / typical.as_secs_f64();
            self.edge.engines().observe_whole(&self.engine, slowness, now);
        }
        self.finish();
    }

    /// Ends the run after a complete error response. Its timing is ignored: an engine that fails in 3 ms
    /// what takes others 300 ms would otherwise look like the fastest one and attract calls. Only server errors count against the engine.
    pub(crate) fn finish_failed(mut self, status: StatusCode) {
        if status.is_server_error() {
            self.edge.metrics.server_errors.inc();
            self.outcome = Outcome::Faulty;
        }
        self.finish();
    }

    /// Ends the run after a failure. The connection is closed, not reused.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    fn record_prefill_end(&mut self) {
        let prefilled_tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.edge.engines().record_prefilled(&self.engine, prefilled_tokens);
    }
}

impl<D: WireFormat> Drop for EngineRun<D> {
    fn drop(&mut self) {
        self.record_prefill_end();
        self.edge.record_outcome(&self.engine, self.outcome);
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
