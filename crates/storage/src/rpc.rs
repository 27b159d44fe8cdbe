//! Requests to replicas over the transport.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_ledger::{Group, LedgerReply, LedgerRequest, ReplyKind, RequestKind};
use sumacdrift_proto::{Request, Response};
use sumacdrift_transport::Transport;

/// Kept turns whose content travels in one message between replicas; one is some 20 KB.
pub(crate) const CONTENTS_AT_ONCE: usize = 16;

/// Encodes a request to a group once for all its members.
pub(crate) fn encode(group: &Group, kind: RequestKind) -> Bytes {
    encode_with(group, kind, Bytes::new())
}

/// Encodes a request with news for the replica's host.
pub(crate) fn encode_with(group: &Group, kind: RequestKind, news: Bytes) -> Bytes {
    let request = LedgerRequest { epoch: group.epoch, kind: Some(kind), group: group.number, news };
    Bytes::from(request.encode_to_vec())
}

/// Encodes news for a node's board, with no question.
pub(crate) fn encode_news(news: Bytes) -> Bytes {
    encode_with(&Group::default(), RequestKind::News(true), news)
}

/// Encodes a request to a node, whichever group it belongs to.
pub(crate) fn encode_to_node(kind: RequestKind) -> Bytes {
    encode(&Group::default(), kind)
}

/// Sends a request; `None` where no answer came that makes sense.
pub(crate) async fn ask(
    transport: &Transport,
    to: SocketAddr,
    request: Bytes,
    timeout: Duration,
) -> Option<ReplyKind> {
    ask_whole(transport, to, request, timeout).await?.kind
}

/// Sends a request; the answer with what the replica's host tells besides.
pub(crate) async fn ask_whole(
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
