//! What a server knows of one caller's connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Request, Response, Version};
use hyper::body::{Body, Incoming};

use crate::bodies::{AnswerBody, RequestBody};

/// What a connection is waiting for, from the least to the most that closing it would lose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ConnectionPhase {
    /// The caller's next request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body.
    Body,
    /// The answer, or the caller that reads it.
    Answer,
}

impl ConnectionPhase {
    fn from_number(number: u8) -> Self {
        match number {
            0 => Self::Idle,
            1 => Self::Head,
            2 => Self::Body,
            _ => Self::Answer,
        }
    }
}

/// State of a connection. Clones share it: the socket, the service that answers, and the server's list of connections.
#[derive(Debug, Clone)]
pub struct ConnectionState(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    opened: Instant,
    phase: AtomicU8,
    /// Microseconds from `opened` to the last change of the phase.
    phase_since: AtomicU64,
    ends_with_connection: AtomicBool,
    has_unread_body: AtomicBool,
    is_write_pending: AtomicBool,
}

impl Default for ConnectionState {
    fn default() -> Self {
        Self(Arc::new(Shared {
            opened: Instant::now(),
            phase: AtomicU8::new(ConnectionPhase::Idle as u8),
            phase_since: AtomicU64::new(0),
            ends_with_connection: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            is_write_pending: AtomicBool::new(false),
        }))
    }
}

impl ConnectionState {
    /// What the connection is waiting for.
    pub fn phase(&self) -> ConnectionPhase {
        ConnectionPhase::from_number(self.0.phase.load(Ordering::Relaxed))
    }

    /// How long it has been waiting for that.
    pub fn time_in_phase(&self) -> Duration {
        let since = Duration::from_micros(self.0.phase_since.load(Ordering::Relaxed));
        self.0.opened.elapsed().saturating_sub(since)
    }

    /// Whether the connection can be closed without cutting an answer or losing a request that may run.
    pub fn is_closable(&self) -> bool {
        self.phase() != ConnectionPhase::Answer && !self.0.is_write_pending.load(Ordering::Relaxed)
    }

    /// Records the request that has arrived, and observes its body.
    pub fn observe_request(&self, request: Request<Incoming>) -> Request<RequestBody> {
        let has_body = !request.body().is_end_stream();
        self.0.has_unread_body.store(has_body, Ordering::Relaxed);
        self.set_phase(if has_body { ConnectionPhase::Body } else { ConnectionPhase::Answer });
        request.map(|body| RequestBody::new(body, self.clone()))
    }

    /// Records the answer that is about to be sent to a request of this version, and observes its body. HTTP/1.0 has no chunks,
    /// so that an answer may end with its connection.
    pub fn observe_answer<B: Body>(&self, version: Version, answer: Response<B>) -> Response<AnswerBody<B>> {
        if version < Version::HTTP_11 && answer.body().size_hint().exact().is_none() {
            self.0.ends_with_connection.store(true, Ordering::Relaxed);
        }
        self.set_phase(ConnectionPhase::Answer);
        answer.map(|body| AnswerBody::new(body, self.clone()))
    }

    pub(crate) fn record_request_end(&self) {
        self.0.has_unread_body.store(false, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Answer);
    }

    pub(crate) fn record_answer_end(&self) {
        self.set_phase(ConnectionPhase::Idle);
    }

    /// Records bytes from the caller.
    pub(crate) fn record_read(&self) {
        if self.phase() == ConnectionPhase::Idle {
            self.set_phase(ConnectionPhase::Head);
        }
    }

    pub(crate) fn record_write(&self, is_pending: bool) {
        self.0.is_write_pending.store(is_pending, Ordering::Relaxed);
    }

    pub(crate) fn ends_with_connection(&self) -> bool {
        self.0.ends_with_connection.load(Ordering::Relaxed)
    }

    /// Whether the last request's body was not read to its end, so that the caller may still be sending.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.0.has_unread_body.load(Ordering::Relaxed)
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        let micros = u64::try_from(self.0.opened.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.0.phase_since.store(micros, Ordering::Relaxed);
        self.0.phase.store(phase as u8, Ordering::Relaxed);
    }
}
