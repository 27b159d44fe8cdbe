//! A planned stop: the member's seat goes to a machine that waits for one, and the process stays until that one votes, so
//! that the group is never short of a voter. Where none waits the members hear of the stop: if the machine doesn't come back,
//! they go on without it.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use sumacdrift_ledger::{Member, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;
use tokio::time::Instant;

use crate::host::ReplicaHost;
use crate::rpc::{ask, encode, encode_to_node};

/// How long a process that was asked to stop stays for that: a machine that waits notices within 0.3 s and reads within
/// seconds where much is kept; the platform gives a process eight seconds.
const STAYS_FOR: Duration = Duration::from_secs(4);
/// How often it is looked how far that is.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time for an answer about who a member is.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Offers the node's seat where a machine waits for one, and else tells the other members that this one stops. Returns when the
/// process may end.
pub async fn offer_seat(host: &ReplicaHost, transport: &Arc<Transport>) {
    if !host.is_voting() {
        return;
    }
    if !host.is_seat_wanted() {
        return tell_members(host, transport).await;
    }
    let began = Instant::now();
    host.offer_own_seat();
    info!(host.logger(), "seat offered"; "event" => "seat_offered", "epoch" => host.replica().group().epoch);
    while began.elapsed() < STAYS_FOR && !is_handed_over(host, transport).await {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    info!(host.logger(), "done with the seat"; "event" => "seat_handed_over",
        "is_member" => host.replica().is_member(), "waited_ms" => began.elapsed().as_millis() as u64);
}

/// Tells the other members that this one stops, so that they soon go on without it if it doesn't come back.
async fn tell_members(host: &ReplicaHost, transport: &Transport) {
    let own = host.node();
    let group = host.replica().group().clone();
    let request = encode(&group, RequestKind::Stopping(own.clone()));
    let others = group.members.iter().filter(|member| member.node != own);
    join_all(others.map(|member| ask(transport, member.address, request.clone(), STATUS_TIMEOUT))).await;
}

/// Whether another machine has the seat, and all members vote.
async fn is_handed_over(host: &ReplicaHost, transport: &Transport) -> bool {
    let group = host.replica().group().clone();
    if group.member(&host.node()).is_some() {
        return false;
    }
    for member in &group.members {
        if !votes(transport, member).await {
            return false;
        }
    }
    true
}

async fn votes(transport: &Transport, member: &Member) -> bool {
    let question = encode_to_node(RequestKind::Status(true));
    let reply = ask(transport, member.address, question, STATUS_TIMEOUT).await;
    matches!(reply, Some(ReplyKind::Status(status)) if status.is_voting)
}
