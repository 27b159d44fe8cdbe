//! Keeping the group whole: founding it, joining it, taking a lost member's place, catching up, leaving.
//!
//! Every change of the group is a compare-and-set at the [`GroupDirectory`]; what is done here only decides which
//! change to ask for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use sumacdrift_ledger::{Group, Member, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;
use tokio::time::Instant;

use crate::catch_up::catch_up;
use crate::directory::{DirectoryError, DirectoryView, GroupDirectory, Registration, StoredGroup};
use crate::host::ReplicaHost;
use crate::leave::hand_over;
use crate::rpc::{ask, encode};

/// Replicas in a group where there are enough machines. Three, even where there are four: of an even number, a
/// split into halves leaves no majority.
const GROUP_SIZE: usize = 3;
/// How often the group is looked at.
const ROUND: Duration = Duration::from_millis(250);
/// How long founding waits for more machines.
const FOUNDING_WAIT: Duration = Duration::from_secs(2);
/// A member that answered nothing for this long gives its place to a spare machine.
const MEMBER_LOST_AFTER: Duration = Duration::from_secs(3);
/// Time for an answer about who a member is.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// A replica that is not complete reads others only after this time, so that no request that an earlier life took
/// part in can still gather votes.
const QUIET_BEFORE_CATCH_UP: Duration = Duration::from_millis(1100);
/// How often what has expired is forgotten.
const TIDY_EVERY: Duration = Duration::from_secs(5);

/// Settings of the upkeep.
#[derive(Debug, Clone)]
pub struct UpkeepSettings {
    /// This replica.
    pub own: Member,
}

/// The upkeep of one replica.
pub struct Upkeep {
    settings: UpkeepSettings,
    host: Arc<ReplicaHost>,
    transport: Arc<Transport>,
    directory: Arc<dyn GroupDirectory>,
    started: Instant,
    tidied: Instant,
    is_registered: bool,
    answered: HashMap<String, Instant>,
    is_retirement_reported: bool,
}

impl Upkeep {
    /// The upkeep of a replica.
    pub fn new(
        settings: UpkeepSettings,
        host: Arc<ReplicaHost>,
        transport: Arc<Transport>,
        directory: Arc<dyn GroupDirectory>,
    ) -> Self {
        let started = Instant::now();
        Self {
            settings,
            host,
            transport,
            directory,
            started,
            tidied: started,
            is_registered: false,
            answered: HashMap::new(),
            is_retirement_reported: false,
        }
    }

    /// Runs for as long as the process.
    pub async fn run(mut self) {
        let mut view = self.directory.view();
        loop {
            let seen = view.borrow_and_update().clone();
            self.round(&seen).await;
            self.host.observe();
            if self.tidied.elapsed() >= TIDY_EVERY {
                self.tidied = Instant::now();
                self.host.tidy().await;
            }
            let _ = tokio::time::timeout(ROUND, view.changed()).await;
        }
    }

    async fn round(&mut self, view: &DirectoryView) {
        if let Some(stored) = &view.group {
            self.install(&stored.group).await;
        }
        if view.is_known {
            self.register(view).await;
            match &view.group {
                None => self.found(view).await,
                Some(stored) => self.keep_place(view, stored).await,
            }
        }
        if self.needs_catch_up() && self.started.elapsed() >= QUIET_BEFORE_CATCH_UP {
            let _ = catch_up(&self.host, &self.transport, &self.settings.own.node).await;
        }
    }

    fn needs_catch_up(&self) -> bool {
        let replica = self.host.replica();
        replica.is_member() && !replica.is_voting()
    }

    async fn install(&self, group: &Group) {
        let record = self.host.replica().install(group.clone());
        if let Some(record) = record {
            info!(self.host.logger(), "group adopted"; "event" => "group_adopted", "epoch" => group.epoch,
                "members" => members_text(group), "voting" => self.host.is_voting());
            let _ = self.host.commit(vec![record]).await;
        }
    }

    async fn register(&mut self, view: &DirectoryView) {
        let own = &self.settings.own;
        let known = view.registered.iter().any(|registration| registration.member.address == own.address);
        if self.is_registered || known || view.group.is_some() {
            return;
        }
        let may_found = self.host.replica().may_found();
        let registration = Registration { member: own.clone(), may_found };
        self.is_registered = self.directory.register(registration).await.is_ok();
    }

    /// Founds the group with machines that were there at the first start, in different zones as far as possible.
    async fn found(&mut self, view: &DirectoryView) {
        if !self.host.replica().may_found() {
            return;
        }
        let founders: Vec<&Member> = view
            .registered
            .iter()
            .filter(|registration| registration.may_found)
            .map(|registration| &registration.member)
            .collect();
        let has_enough = founders.len() >= GROUP_SIZE;
        let has_waited = self.started.elapsed() >= FOUNDING_WAIT && !founders.is_empty();
        if !has_enough && !has_waited {
            return;
        }
        let first = founders.iter().map(|member| &member.node).min();
        let is_first = first == Some(&self.settings.own.node);
        // The first one founds; the others step in only if it does not.
        if !is_first && self.started.elapsed() < FOUNDING_WAIT * 2 {
            return;
        }
        let group = Group::founded(spread_over_zones(&founders));
        self.replace_group(group, None, "founded").await;
    }

    async fn keep_place(&mut self, view: &DirectoryView, stored: &StoredGroup) {
        let own = self.settings.own.clone();
        let retirement = view.retirements.iter().find(|retirement| retirement.node == own.node).cloned();
        if let Some(retirement) = retirement {
            if !retirement.is_completed {
                self.leave(stored).await;
            }
            return;
        }
        match stored.group.member(&own.node) {
            Some(member) if member.address == own.address => {}
            Some(_) => self.replace_group(stored.group.with(own), Some(stored.revision), "moved").await,
            None if stored.group.members.len() < GROUP_SIZE => {
                self.replace_group(stored.group.with(own), Some(stored.revision), "joined").await;
            }
            None => self.take_lost_place(stored).await,
        }
    }

    /// Takes the place of a member that has answered nothing for long, if all the others answer.
    async fn take_lost_place(&mut self, stored: &StoredGroup) {
        let now = Instant::now();
        for member in &stored.group.members {
            let request = encode(stored.group.epoch, RequestKind::Status(true));
            let reply = ask(&self.transport, member.address, request, STATUS_TIMEOUT).await;
            let is_same = matches!(&reply, Some(ReplyKind::Status(status)) if status.node == member.node);
            if is_same || !self.answered.contains_key(&member.node) {
                self.answered.insert(member.node.clone(), now);
            }
        }
        let is_lost = |member: &&Member| {
            let answered = self.answered.get(&member.node);
            answered.is_none_or(|answered| now.duration_since(*answered) >= MEMBER_LOST_AFTER)
        };
        let is_silent = |member: &&Member| self.answered.get(&member.node) != Some(&now);
        let lost: Vec<&Member> = stored.group.members.iter().filter(is_lost).collect();
        let silent = stored.group.members.iter().filter(is_silent).count();
        if let [lost] = lost[..]
            && silent == 1
        {
            let next = stored.group.replacing(&lost.node, self.settings.own.clone());
            info!(self.host.logger(), "member lost"; "event" => "member_lost", "member" => &lost.node);
            self.replace_group(next, Some(stored.revision), "replaced a lost member").await;
        }
    }

    /// Leaves the group, then hands everything over.
    async fn leave(&mut self, stored: &StoredGroup) {
        let own = self.settings.own.node.clone();
        if !self.is_retirement_reported {
            let reported = self.directory.report_retirement(own.clone(), false).await;
            self.is_retirement_reported = reported.is_ok();
        }
        if stored.group.member(&own).is_some() {
            if stored.group.members.len() > 1 {
                self.replace_group(stored.group.without(&own), Some(stored.revision), "leaving").await;
            }
            return;
        }
        if hand_over(&self.host, &self.transport, &stored.group).await {
            let reported = self.directory.report_retirement(own, true).await;
            info!(self.host.logger(), "machine emptied"; "event" => "retirement_completed",
                "reported" => reported.is_ok());
        }
    }

    async fn replace_group(&self, group: Group, expected: Option<u64>, why: &'static str) {
        let outcome = self.directory.replace_group(group.clone(), expected).await;
        match outcome {
            Ok(()) => {
                info!(self.host.logger(), "group changed"; "event" => "group_changed", "why" => why,
                    "epoch" => group.epoch, "members" => members_text(&group));
                self.install(&group).await;
            }
            Err(DirectoryError::Conflict) => {
                info!(self.host.logger(), "group was changed by another"; "event" => "group_conflict", "why" => why);
            }
            Err(error) => {
                warn!(self.host.logger(), "group not changed"; "event" => "group_change_failed", "why" => why,
                    "error" => %error);
            }
        }
    }
}

/// Up to [`GROUP_SIZE`] members, of as many zones as there are; equal on every node that sees the same members.
fn spread_over_zones(members: &[&Member]) -> Vec<Member> {
    let mut sorted: Vec<&Member> = members.to_vec();
    sorted.sort_by(|left, right| left.node.cmp(&right.node));
    let mut chosen: Vec<Member> = Vec::new();
    while chosen.len() < GROUP_SIZE.min(sorted.len()) {
        let is_left = |member: &&&Member| !chosen.iter().any(|other| other.node == member.node);
        let in_zone = |zone: &str| chosen.iter().filter(|other| other.zone == zone).count();
        let next = sorted.iter().filter(is_left).min_by_key(|member| in_zone(&member.zone));
        let Some(next) = next else { break };
        chosen.push((*next).clone());
    }
    chosen
}

fn members_text(group: &Group) -> String {
    let names: Vec<&str> = group.members.iter().map(|member| member.node.as_str()).collect();
    names.join(",")
}
