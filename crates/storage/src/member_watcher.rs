//! Failure detection: asks members for their status and their view of each other, so that a lost member is
//! known to the machine that may replace it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use sumacdrift_ledger::{
    GroupMap, Member, MemberReport, MemberWatch, ReplyKind, RequestKind, SilentMember, StatusReply,
};
use sumacdrift_transport::Transport;
use sumacdrift_types::Timestamp;
use tokio::time::Instant;

use crate::host::ReplicaHost;
use crate::rpc::{encode_to_node, send_request};

/// Status interval of a member: a few checks fit in the minimum time after which a member counts as lost.
const MEMBER_STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Status interval of a new machine that belongs to no group. Short, so that waiting costs little of the time it has.
const NEW_MACHINE_STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Status interval of other machines that belong to no group.
const SPARE_STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Watches members until the process ends.
pub(crate) struct MemberWatcher {
    host: Arc<ReplicaHost>,
    transport: Arc<Transport>,
    own: String,
    started: Instant,
    watch: Mutex<MemberWatch>,
    has_completed_round: AtomicBool,
}

impl MemberWatcher {
    pub(crate) fn new(host: Arc<ReplicaHost>, transport: Arc<Transport>, own: String) -> Self {
        Self {
            host,
            transport,
            own,
            started: Instant::now(),
            watch: Mutex::default(),
            has_completed_round: AtomicBool::new(false),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let round_start = Instant::now();
            let map = self.host.map();
            self.request_statuses(&map).await;
            tokio::time::sleep_until(round_start + self.status_interval(&map)).await;
        }
    }

    pub(crate) fn watch(&self) -> MutexGuard<'_, MemberWatch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a round of status requests is complete, so that unresponsive members are known.
    pub(crate) fn has_completed_round(&self) -> bool {
        self.has_completed_round.load(Ordering::Relaxed)
    }

    /// Time on the clock of [`MemberWatch`].
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    fn status_interval(&self, map: &GroupMap) -> Duration {
        if map.group_of_member(&self.own).is_some() {
            return MEMBER_STATUS_INTERVAL;
        }
        if self.host.replica().is_new() { NEW_MACHINE_STATUS_INTERVAL } else { SPARE_STATUS_INTERVAL }
    }

    /// Asks the other members of the own group, or those of all groups if the node belongs to none.
    async fn request_statuses(&self, map: &GroupMap) {
        let members: Vec<&Member> = match map.group_of_member(&self.own) {
            Some(group) => group.members.iter().filter(|member| member.node != self.own).collect(),
            None => map.members().collect(),
        };
        let waits_for_membership = map.group_of_member(&self.own).is_none() && self.host.replica().is_new();
        let request = encode_to_node(RequestKind::Status(!waits_for_membership));
        let requests = members.iter().map(|member| self.request_status(member, &request));
        join_all(requests).await;
        // Applied after the replies, which the members may have sent before they announced their stop.
        self.host.take_planned_stops().iter().for_each(|member| self.watch().record_planned_stop(member));
        self.watch().retain(&members);
        self.host.set_unresponsive_since(self.unresponsive_since());
        self.has_completed_round.store(!members.is_empty(), Ordering::Relaxed);
    }

    async fn request_status(&self, member: &Member, request: &bytes::Bytes) {
        let reply = send_request(&self.transport, member.address, request.clone(), STATUS_TIMEOUT).await;
        let now = self.now();
        match reply {
            Some(ReplyKind::Status(status)) if status.node == member.node => {
                let report = decode_status(status);
                let is_voting = report.is_voting;
                if self.watch().record_answer(&member.node, report, now) {
                    info!(self.host.logger(), "member is responsive again"; "event" => "member_heard",
                        "member" => &member.node, "voting" => is_voting);
                }
            }
            _ => {
                if self.watch().record_timeout(&member.node, now) {
                    info!(self.host.logger(), "member is unresponsive"; "event" => "member_silent",
                        "member" => &member.node);
                }
            }
        }
    }

    fn unresponsive_since(&self) -> BTreeMap<String, Instant> {
        let now = Instant::now();
        let unresponsive = self.watch().unresponsive_members(self.now());
        unresponsive.into_iter().map(|(node, time)| (node, now - time)).collect()
    }
}

fn decode_status(status: StatusReply) -> MemberReport {
    let unresponsive =
        status.silent.into_iter().map(|SilentMember { node, millis }| (node, Duration::from_millis(millis)));
    let unresponsive = status.is_watching.then(|| unresponsive.collect());
    MemberReport {
        is_voting: status.is_voting,
        offers_membership: status.offers_membership,
        counts_copies: status.counts_copies,
        unresponsive,
    }
}
