//! Planned stop of a member. Its process keeps running until all other members vote, and hands over its
//! records. If a machine waits for membership, it then replaces the member, whose process keeps running until the replacement
//! votes. Otherwise the stop is announced to the other members, which remove this one if it does not come back.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use sumacdrift_ledger::{Group, Member, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::host::ReplicaHost;
use crate::rpc::{encode, encode_to_node, send_request};

/// How long a stopping process waits for its replacement to vote. A waiting machine notices within 0.3 s and
/// reads within seconds where much is retained; the platform grants a process eight seconds.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from the request to stop until the process no longer waits for the handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from the request to stop until the process exits in any case.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
/// Attempts to hand over. One fails if a member stops voting meanwhile, or if the group is changed concurrently.
const MAX_HANDOVER_ATTEMPTS: usize = 3;
/// Poll interval of the waits.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Progress of the handover before this process exits, shared by the stopping task and group maintenance.
#[derive(Default)]
pub(crate) struct PlannedStop {
    stage: watch::Sender<Stage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    #[default]
    NotRequested,
    /// Group maintenance has yet to hand over the records, or to find that it can't.
    Pending,
    Concluded,
}

impl PlannedStop {
    /// Whether this process is about to exit, so that it must request no membership.
    pub(crate) fn is_requested(&self) -> bool {
        *self.stage.borrow() != Stage::NotRequested
    }

    /// Whether group maintenance has to hand over the records.
    pub(crate) fn is_pending(&self) -> bool {
        *self.stage.borrow() == Stage::Pending
    }

    /// Returns once group maintenance has to hand over the records.
    pub(crate) async fn requested(&self) {
        self.reach(Stage::Pending).await;
    }

    /// Records that group maintenance has done what it can.
    pub(crate) fn conclude(&self) {
        self.stage.send_replace(Stage::Concluded);
    }

    async fn hand_over(&self) {
        self.stage.send_replace(Stage::Pending);
        self.reach(Stage::Concluded).await;
    }

    async fn reach(&self, awaited: Stage) {
        let mut stage = self.stage.subscribe();
        // Fails only without a sender, which `self` keeps.
        let _ = stage.wait_for(|stage| *stage == awaited).await;
    }
}

/// Prepares the exit of the process of a member. Returns when the process may exit.
pub async fn prepare_planned_stop(host: &ReplicaHost, transport: &Arc<Transport>) {
    if !host.is_voting() {
        return;
    }
    let began = Instant::now();
    hand_over_once_all_vote(host, transport, began + HANDOVER_TIMEOUT).await;
    let is_replaced = host.is_membership_requested() && {
        let deadline = (Instant::now() + REPLACEMENT_TIMEOUT).min(began + STOP_TIMEOUT);
        offer_membership(host, transport, deadline).await
    };
    if !is_replaced {
        announce_stop(host, transport).await;
    }
    let epoch = host.replica().group().epoch;
    let has_handed_over = host.has_handed_over();
    info!(host.logger(), "process may exit"; "event" => "planned_stop", "is_replaced" => is_replaced,
        "has_handed_over" => has_handed_over, "epoch" => epoch, "waited_ms" => began.elapsed().as_millis() as u64);
}

/// Waits until all other members vote, then hands over the records. A member that does not vote, or does not answer and
/// may have lost its disk, may have to read this one and can't once the process has exited.
async fn hand_over_once_all_vote(host: &ReplicaHost, transport: &Transport, deadline: Instant) {
    let mut attempts = 0;
    while !host.has_handed_over() && attempts < MAX_HANDOVER_ATTEMPTS && Instant::now() < deadline {
        if others_vote(host, transport).await {
            attempts += 1;
            // The outcome is the group's version and in the log.
            let _ = timeout_at(deadline, host.planned_stop().hand_over()).await;
        } else {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Offers the node's membership. Returns once another machine has replaced it and all members vote, or `false` if
/// none has by the deadline.
async fn offer_membership(host: &ReplicaHost, transport: &Transport, deadline: Instant) -> bool {
    host.offer_membership();
    info!(host.logger(), "membership offered"; "event" => "seat_offered", "epoch" => host.replica().group().epoch);
    while Instant::now() < deadline {
        if is_replaced(host, transport).await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
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
    let group = host.replica().group().clone();
    group.member(&host.node_name()).is_none() && all_vote(transport, &group).await
}

/// Whether all members of a group answer and vote.
pub(crate) async fn all_vote(transport: &Transport, group: &Group) -> bool {
    are_voting(transport, group.members.iter()).await
}

/// Whether all other members answer and vote, except for those that have handed over their records.
async fn others_vote(host: &ReplicaHost, transport: &Transport) -> bool {
    let (own, group) = (host.node_name(), host.replica().group().clone());
    let is_other = |member: &&Member| member.node != own && !group.handed_over.contains(&member.node);
    are_voting(transport, group.members.iter().filter(is_other)).await
}

async fn are_voting(transport: &Transport, members: impl Iterator<Item = &'_ Member>) -> bool {
    let votes = join_all(members.map(|member| is_member_voting(transport, member))).await;
    !votes.contains(&false)
}

async fn is_member_voting(transport: &Transport, member: &Member) -> bool {
    let question = encode_to_node(RequestKind::Status(true));
    let reply = send_request(transport, member.address, question, STATUS_TIMEOUT).await;
    matches!(reply, Some(ReplyKind::Status(status)) if status.is_voting)
}
