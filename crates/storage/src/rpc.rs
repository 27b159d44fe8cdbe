//! Encoding and sending of requests to replicas.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_ledger::{Group, LedgerReply, LedgerRequest, ReplyKind, RequestKind};
use sumacdrift_proto::{Request, Response};
use sumacdrift_transport::Transport;

/// Retained turns whose content is sent in one message between replicas; one has about 20 KB.
pub(crate) const CONTENTS_PER_MESSAGE: usize = 16;

/// Encodes a request to a group, once for all its members.
pub(crate) fn encode(group: &Group, kind: RequestKind) -> Bytes {
    encode_with_report(group, kind, Bytes::new())
}

/// Encodes a request with an encoded report for the board of the replica's host.
pub(crate) fn encode_with_report(group: &Group, kind: RequestKind, report: Bytes) -> Bytes {
    let request = LedgerRequest { epoch: group.epoch, kind: Some(kind), group: group.number, report };
    Bytes::from(request.encode_to_vec())
}

/// Encodes a message that carries only a report for the board of a node, and no request to its replica.
pub(crate) fn encode_report(report: Bytes) -> Bytes {
    encode_with_report(&Group::default(), RequestKind::News(true), report)
}

/// Encodes a request to a node, whatever its group.
pub(crate) fn encode_to_node(kind: RequestKind) -> Bytes {
    encode(&Group::default(), kind)
}

/// Sends a request; `None` if there was no decodable reply in time.
pub(crate) async fn send_request(
    transport: &Transport,
    to: SocketAddr,
    request: Bytes,
    timeout: Duration,
) -> Option<ReplyKind> {
    send_request_with_view(transport, to, request, timeout).await?.kind
}

/// Sends a request; the reply comes with the view of the host.
pub(crate) async fn send_request_with_view(
    transport: &Transport,
    to: SocketAddr,
    request: Bytes,
    timeout: Duration,
) -> Option<LedgerReply> {
    match transport.request(to, Request::Ledger(request), timeout).await {
        Ok(Response::Ledger(bytes)) => LedgerReply::decode(bytes).ok(),
        _ => None,
    }
}
