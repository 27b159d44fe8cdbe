//! The unit of transmission on a connection between two nodes.

use crate::request::{OneWayMessage, RequestMessage, ResponseMessage};
use crate::wire::{DecodeError, require_field};
use crate::{OneWay, Request, Response, Wire};

/// A message with the id of the exchange that it belongs to.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Frame {
    /// Correlates a response with its request; 0 for one-way messages.
    pub exchange: u64,
    pub body: FrameBody,
}

/// The payload of a frame.
#[derive(Debug, Clone, PartialEq)]
pub enum FrameBody {
    /// Expects one response with the same exchange id.
    Request(Request),
    /// Answers the request with the same exchange id.
    Response(Response),
    /// Cancels the request with the same exchange id: its sender no longer waits.
    Abandon,
    /// A message that gets no response.
    OneWay(OneWay),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct FrameMessage {
    #[prost(uint64, tag = "1")]
    pub exchange: u64,
    #[prost(oneof = "BodyKind", tags = "2, 3, 4, 5")]
    pub body: Option<BodyKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum BodyKind {
    #[prost(message, tag = "2")]
    Request(RequestMessage),
    #[prost(message, tag = "3")]
    Response(ResponseMessage),
    #[prost(bool, tag = "4")]
    Abandon(bool),
    #[prost(message, tag = "5")]
    OneWay(OneWayMessage),
}

impl Wire for Frame {
    type Message = FrameMessage;

    fn to_wire(&self) -> FrameMessage {
        let body = match &self.body {
            FrameBody::Request(request) => BodyKind::Request(request.to_wire()),
            FrameBody::Response(response) => BodyKind::Response(response.to_wire()),
            FrameBody::Abandon => BodyKind::Abandon(true),
            FrameBody::OneWay(message) => BodyKind::OneWay(message.to_wire()),
        };
        FrameMessage { exchange: self.exchange, body: Some(body) }
    }

    fn from_wire(message: FrameMessage) -> Result<Self, DecodeError> {
        let body = match require_field(message.body, "body")? {
            BodyKind::Request(message) => FrameBody::Request(Request::from_wire(message)?),
            BodyKind::Response(message) => FrameBody::Response(Response::from_wire(message)?),
            BodyKind::Abandon(_) => FrameBody::Abandon,
            BodyKind::OneWay(message) => FrameBody::OneWay(OneWay::from_wire(message)?),
        };
        Ok(Frame { exchange: message.exchange, body })
    }
}
