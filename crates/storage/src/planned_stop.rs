//! Planned stop of a member. If a machine waits for membership, it replaces the member, whose process keeps running until
//! the replacement votes. Otherwise the process keeps running until no member has to read it any more, and announces its
//! stop to the other members, which remove it if it does not come back.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use sumacdrift_ledger::{Group, Member, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;
use tokio::time::Instant;

use crate::host::ReplicaHost;
use crate::rpc::{encode, encode_to_node, send_request};

/// How long a stopping process waits for its replacement to vote. A waiting machine notices within 0.3 s and
/// reads within seconds where much is retained; the platform grants a process eight seconds.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a stopping process waits for members that may have to read it, within the same eight seconds.
const READERS_TIMEOUT: Duration = Duration::from_secs(6);
/// Poll interval of both waits.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Status of a member, as far as a stopping process waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberStatus {
    Voting,
    /// It answers, but still has to read other members.
    Incomplete,
    Unresponsive,
}

/// Prepares the exit of the process of a member. Returns when the process may exit.
pub async fn prepare_planned_stop(host: &ReplicaHost, transport: &Arc<Transport>) {
    if !host.is_voting() {
        return;
    }
    let began = Instant::now();
    let is_replaced = if host.is_membership_requested() {
        offer_membership(host, transport).await
    } else {
        await_readers(host, transport).await;
        announce_stop(host, transport).await;
        false
    };
    info!(host.logger(), "process may exit"; "event" => "planned_stop", "is_replaced" => is_replaced,
        "epoch" => host.replica().group().epoch, "waited_ms" => began.elapsed().as_millis() as u64);
}

/// Offers the node's membership. Returns once another machine has replaced it and all members vote, or `false` if
/// none has in time.
async fn offer_membership(host: &ReplicaHost, transport: &Transport) -> bool {
    let began = Instant::now();
    host.offer_membership();
    info!(host.logger(), "membership offered"; "event" => "seat_offered", "epoch" => host.replica().group().epoch);
    while began.elapsed() < REPLACEMENT_TIMEOUT {
        if is_replaced(host, transport).await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Waits until no member answers without a vote: it may have to read this one, and can't once the process has exited.
async fn await_readers(host: &ReplicaHost, transport: &Transport) {
    let began = Instant::now();
    loop {
        let group = host.replica().group().clone();
        let statuses = statuses_of_others(&group, &host.node_name(), transport).await;
        let has_reader = statuses.contains(&MemberStatus::Incomplete);
        if !has_reader || began.elapsed() >= READERS_TIMEOUT {
            info!(host.logger(), "no longer waiting for members that may have to read this one";
                "event" => "readers_awaited", "epoch" => group.epoch, "is_complete" => !has_reader,
                "members" => ?statuses, "waited_ms" => began.elapsed().as_millis() as u64);
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
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
async fn is_replaced(host: &ReplicaHost, transport: &Transport) -> bool {
    let (own, group) = (host.node_name(), host.replica().group().clone());
    if group.member(&own).is_some() {
        return false;
    }
    let statuses = statuses_of_others(&group, &own, transport).await;
    statuses.iter().all(|status| *status == MemberStatus::Voting)
}

async fn statuses_of_others(group: &Group, own: &str, transport: &Transport) -> Vec<MemberStatus> {
    let others = group.members.iter().filter(|member| member.node != own);
    join_all(others.map(|member| request_status(transport, member))).await
}

async fn request_status(transport: &Transport, member: &Member) -> MemberStatus {
    let question = encode_to_node(RequestKind::Status(true));
    match send_request(transport, member.address, question, STATUS_TIMEOUT).await {
        Some(ReplyKind::Status(status)) if status.is_voting => MemberStatus::Voting,
        Some(ReplyKind::Status(_)) => MemberStatus::Incomplete,
        _ => MemberStatus::Unresponsive,
    }
}
