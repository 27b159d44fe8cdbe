//! Planned stop of a member: a machine that waits for membership replaces it, and the process keeps running
//! until the replacement votes, so that the group is never short of a voter. If no machine waits, the stop is
//! announced to the other members, which remove this one if it does not come back.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use sumacdrift_ledger::{Member, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;
use tokio::time::Instant;

use crate::host::ReplicaHost;
use crate::rpc::{encode, encode_to_node, send_request};

/// How long a stopping process waits for its replacement to vote. A waiting machine notices within 0.3 s and
/// reads within seconds where much is retained; the platform grants a process eight seconds.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(4);
/// Poll interval of the handover.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Offers the node's membership if a machine waits for one, and otherwise announces the stop to the other
/// members. Returns when the process may exit.
pub async fn offer_membership(host: &ReplicaHost, transport: &Arc<Transport>) {
    if !host.is_voting() {
        return;
    }
    if !host.is_membership_requested() {
        return announce_stop(host, transport).await;
    }
    let began = Instant::now();
    host.offer_membership();
    info!(host.logger(), "membership offered"; "event" => "seat_offered", "epoch" => host.replica().group().epoch);
    while began.elapsed() < HANDOVER_TIMEOUT && !is_handed_over(host, transport).await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    info!(host.logger(), "stopped waiting for the membership handover"; "event" => "seat_handed_over",
        "is_member" => host.replica().is_member(), "waited_ms" => began.elapsed().as_millis() as u64);
}

/// Announces the stop, so that the other members soon remove this one if it does not come back.
async fn announce_stop(host: &ReplicaHost, transport: &Transport) {
    let own = host.node_name();
    let group = host.replica().group().clone();
    let request = encode(&group, RequestKind::Stopping(own.clone()));
    let others = group.members.iter().filter(|member| member.node != own);
    join_all(others.map(|member| send_request(transport, member.address, request.clone(), STATUS_TIMEOUT)))
        .await;
}

/// Whether another machine has replaced this one and all members vote.
async fn is_handed_over(host: &ReplicaHost, transport: &Transport) -> bool {
    let group = host.replica().group().clone();
    if group.member(&host.node_name()).is_some() {
        return false;
    }
    for member in &group.members {
        if !is_member_voting(transport, member).await {
            return false;
        }
    }
    true
}

async fn is_member_voting(transport: &Transport, member: &Member) -> bool {
    let question = encode_to_node(RequestKind::Status(true));
    let reply = send_request(transport, member.address, question, STATUS_TIMEOUT).await;
    matches!(reply, Some(ReplyKind::Status(status)) if status.is_voting)
}
