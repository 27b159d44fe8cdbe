//! Which events the body of an engine's response brought and how it ended.

use std::error::Error;
use std::io::ErrorKind;

use http::response;
use hyper::body::Incoming;
use slog::{KV, Record, Serializer};
use sumacdrift_http_client::BodyFraming;

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// As its framing says.
    Regular,
    /// The connection was closed before the end that the framing announced.
    ClosedEarly,
    /// The connection, whose end is the end of the body, was closed, but the engine may have ended.
    Unconfirmed,
    Reset,
    /// The connection failed in another way, or the bytes violate the protocol.
    Failed,
    /// The call's deadline passed.
    TimedOut,
}

impl BodyEnd {
    pub(crate) fn of_error(error: &hyper::Error) -> Self {
        let cause = error.source().and_then(|source| source.downcast_ref::<std::io::Error>());
        match cause.map(std::io::Error::kind) {
            Some(ErrorKind::ConnectionReset) => Self::Reset,
            Some(ErrorKind::UnexpectedEof) => Self::ClosedEarly,
            _ if error.is_incomplete_message() => Self::ClosedEarly,
            _ => Self::Failed,
        }
    }
}

/// What is known of the body of one attempt's response. As a [`KV`], it adds that to a log line.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedBody {
    framing: BodyFraming,
    end: Option<BodyEnd>,
    /// Id after which the engine was asked to resume.
    resume_after: Option<String>,
    first_event: Option<String>,
}

impl ReceivedBody {
    /// A body of which nothing has been read; `resume_after` is the event after which its stream was to be resumed.
    pub(crate) fn of(head: &response::Parts, body: &Incoming, resume_after: Option<&str>) -> Self {
        let framing = BodyFraming::of(head, body);
        Self { framing, end: None, resume_after: resume_after.map(str::to_owned), first_event: None }
    }

    /// Records that an event was forwarded to the caller.
    pub(crate) fn record_event(&mut self, id: Option<&str>) {
        if self.first_event.is_none() {
            self.first_event = id.map(str::to_owned);
        }
    }

    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    pub(crate) fn record_end(&mut self, end: BodyEnd) {
        self.end = Some(end);
    }
}

impl KV for ReceivedBody {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_arguments("framing", &format_args!("{:?}", self.framing))?;
        if let Some(end) = self.end {
            serializer.emit_arguments("body_end", &format_args!("{end:?}"))?;
        }
        for (name, id) in [("resume_after", &self.resume_after), ("first_event", &self.first_event)] {
            if let Some(id) = id {
                serializer.emit_str(name, id)?;
            }
        }
        Ok(())
    }
}
