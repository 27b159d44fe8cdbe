//! Bodies of a request and of its answer, whose ends their connection learns of.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use crate::connection_state::ConnectionState;

/// The body of a caller's request.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    connection: ConnectionState,
    has_ended: bool,
}

impl RequestBody {
    pub(crate) fn new(body: Incoming, connection: ConnectionState) -> Self {
        let has_ended = body.is_end_stream();
        Self { body, connection, has_ended }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        let is_at_end = matches!(frame, Poll::Ready(None)) || self.body.is_end_stream();
        if is_at_end && !self.has_ended {
            self.has_ended = true;
            self.connection.record_request_end();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer. It is dropped once the connection has taken all of it.
#[derive(Debug)]
pub struct AnswerBody<B> {
    body: B,
    connection: ConnectionState,
}

impl<B> AnswerBody<B> {
    pub(crate) fn new(body: B, connection: ConnectionState) -> Self {
        Self { body, connection }
    }
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.connection.record_answer_end();
    }
}
