//! Asks members whether they are there, and what they see of each other, so that a lost one is known to whoever comes in
//! its place.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use sumacdrift_ledger::{
    GroupMap, Member, MemberTold, MemberWatch, ReplyKind, RequestKind, SilentMember, StatusReply,
};
use sumacdrift_transport::Transport;
use sumacdrift_types::Timestamp;
use tokio::time::Instant;

use crate::host::ReplicaHost;
use crate::rpc::{ask, encode_to_node};

/// How often a member looks whether the others of its group are there: a few times in the least time after which one
/// counts as lost.
const MEMBER_LOOKS_EVERY: Duration = Duration::from_millis(500);
/// How often a new machine without a seat looks: what it waits for should cost it little of its time.
const NEW_MACHINE_LOOKS_EVERY: Duration = Duration::from_millis(250);
/// How often other machines without a seat look.
const SPARE_LOOKS_EVERY: Duration = Duration::from_secs(1);
/// Time for an answer about who a member is.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Looks after members as long as the process runs.
pub(crate) struct MemberWatcher {
    host: Arc<ReplicaHost>,
    transport: Arc<Transport>,
    own: String,
    started: Instant,
    watch: Mutex<MemberWatch>,
    has_looked: AtomicBool,
}

impl MemberWatcher {
    /// A watcher of a node that has not looked yet.
    pub(crate) fn new(host: Arc<ReplicaHost>, transport: Arc<Transport>, own: String) -> Self {
        Self {
            host,
            transport,
            own,
            started: Instant::now(),
            watch: Mutex::default(),
            has_looked: AtomicBool::new(false),
        }
    }

    /// Runs for as long as the process.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let began = Instant::now();
            let map = self.host.map();
            self.look(&map).await;
            tokio::time::sleep_until(began + self.looks_every(&map)).await;
        }
    }

    /// What was seen so far.
    pub(crate) fn watch(&self) -> MutexGuard<'_, MemberWatch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the members were looked at, so that those which say nothing are known.
    pub(crate) fn has_looked(&self) -> bool {
        self.has_looked.load(Ordering::Relaxed)
    }

    /// The time that [`MemberWatch`] counts by.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    fn looks_every(&self, map: &GroupMap) -> Duration {
        if map.seat_of(&self.own).is_some() {
            return MEMBER_LOOKS_EVERY;
        }
        if self.host.replica().is_new() { NEW_MACHINE_LOOKS_EVERY } else { SPARE_LOOKS_EVERY }
    }

    /// Asks the other members of the own group; those of all groups where the node has no seat.
    async fn look(&self, map: &GroupMap) {
        let members: Vec<&Member> = match map.seat_of(&self.own) {
            Some(group) => group.members.iter().filter(|member| member.node != self.own).collect(),
            None => map.members().collect(),
        };
        let waits_for_seat = map.seat_of(&self.own).is_none() && self.host.replica().is_new();
        let request = encode_to_node(RequestKind::Status(!waits_for_seat));
        let asked = members.iter().map(|member| self.ask_one(member, &request));
        join_all(asked).await;
        // Behind the answers, which the members may have given before they said so.
        self.host.take_stops().iter().for_each(|member| self.watch().stops(member));
        self.watch().keep_only(&members);
        self.host.tell_silences(self.silences());
        self.has_looked.store(!members.is_empty(), Ordering::Relaxed);
    }

    async fn ask_one(&self, member: &Member, request: &bytes::Bytes) {
        let reply = ask(&self.transport, member.address, request.clone(), STATUS_TIMEOUT).await;
        let now = self.now();
        match reply {
            Some(ReplyKind::Status(status)) if status.node == member.node => {
                let told = told_by(status);
                let is_voting = told.is_voting;
                if self.watch().answered(&member.node, told, now) {
                    info!(self.host.logger(), "member answers again"; "event" => "member_heard",
                        "member" => &member.node, "voting" => is_voting);
                }
            }
            _ => {
                if self.watch().silent(&member.node, now) {
                    info!(self.host.logger(), "member says nothing"; "event" => "member_silent",
                        "member" => &member.node);
                }
            }
        }
    }

    fn silences(&self) -> BTreeMap<String, Instant> {
        let now = Instant::now();
        let silent = self.watch().silences(self.now());
        silent.into_iter().map(|(node, silence)| (node, now - silence)).collect()
    }
}

/// What a member's answer says of it and the others.
fn told_by(status: StatusReply) -> MemberTold {
    let silent =
        status.silent.into_iter().map(|SilentMember { node, millis }| (node, Duration::from_millis(millis)));
    let silent = status.is_watching.then(|| silent.collect());
    MemberTold { is_voting: status.is_voting, offers_seat: status.offers_seat, silent }
}
