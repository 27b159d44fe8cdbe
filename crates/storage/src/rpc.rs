//! Requests to replicas over the transport.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_ledger::{LedgerReply, LedgerRequest, ReplyKind, RequestKind};
use sumacdrift_proto::{Request, Response};
use sumacdrift_transport::Transport;

/// Kept turns whose content travels in one message between replicas; one is some 20 KB.
pub(crate) const CONTENTS_AT_ONCE: usize = 16;

/// Encodes a request once for all members.
pub(crate) fn encode(epoch: u64, kind: RequestKind) -> Bytes {
    Bytes::from(LedgerRequest { epoch, kind: Some(kind) }.encode_to_vec())
}

/// Sends a request; `None` where no answer came that makes sense.
pub(crate) async fn ask(
    transport: &Transport,
    to: SocketAddr,
    request: Bytes,
    timeout: Duration,
) -> Option<ReplyKind> {
    match transport.request(to, Request::Ledger(request), timeout).await {
        Ok(Response::Ledger(bytes)) => LedgerReply::decode(bytes).ok()?.kind,
        _ => None,
    }
}
