//! Maintenance of group membership: founding, joining, replacing a lost member, catch-up and leaving.
//!
//! Every change of a group is a compare-and-set in the [`GroupDirectory`]; this module only decides which
//! change to request.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use sumacdrift_ledger::{
    Candidate, Capacity, ChangeReason, Group, GroupMap, GroupPolicy, LeaveRefusal, Member,
    MembershipDecision, ReplacementPolicy,
};
use sumacdrift_transport::Transport;
use sumacdrift_types::{ResultCode, Topology};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::catch_up::{catch_up, reread_others};
use crate::clock::unix_millis;
use crate::directory::{DirectoryError, DirectoryView, GroupDirectory, Registration, StoredMap};
use crate::handover::hand_over_records;
use crate::host::ReplicaHost;
use crate::member_watcher::MemberWatcher;
use crate::planned_stop::all_vote;
use crate::turn_expiry::expire_turns;

/// Interval of maintenance rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that founding waits for more machines.
const MAX_BOOTSTRAP_WAIT: Duration = Duration::from_secs(4);
/// Time without further registrations after which the groups are bootstrapped: machines that start together
/// register within a fraction of a second.
const REGISTRATION_SETTLE_TIME: Duration = Duration::from_millis(800);
/// Maximum random delay before a machine requests a change that other machines may request too.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(200);
/// Additional delay for each member that the zone of the machine already has.
const DELAY_PER_ZONE_MEMBER: Duration = Duration::from_millis(200);
/// Delay before an incomplete replica reads other members, so that no request that an earlier process
/// voted on can still gather votes.
const QUIET_BEFORE_CATCH_UP: Duration = Duration::from_millis(1100);
/// Interval of expiry and snapshot checks.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of [`GroupMaintenance`].
#[derive(Debug, Clone)]
pub struct GroupMaintenanceSettings {
    /// This replica as a member.
    pub own: Member,
    /// Capacity of its machine.
    pub capacity: Capacity,
    /// Target size of the groups.
    pub policy: GroupPolicy,
    /// Region of each zone.
    pub topology: Arc<Topology>,
    /// Time within which a machine that starts empty must vote in place of a lost one. Until then the loss
    /// counts against those that the deployment tolerates; afterwards another may happen.
    pub catch_up_time: Duration,
}

/// Maintains the group membership of one replica.
pub struct GroupMaintenance {
    settings: GroupMaintenanceSettings,
    host: Arc<ReplicaHost>,
    transport: Arc<Transport>,
    directory: Arc<dyn GroupDirectory>,
    started: Instant,
    expired_at: Instant,
    is_registered: bool,
    watcher: Arc<MemberWatcher>,
    change_wanted_since: Option<Instant>,
    is_retirement_reported: bool,
    /// Why the retirement waits, as last logged.
    retirement_refusal: Option<LeaveRefusal>,
    has_handed_over: bool,
    /// Number of machines that may bootstrap the groups, and since when it is unchanged.
    candidate_count: usize,
    candidate_count_since: Instant,
}

impl GroupMaintenance {
    /// Creates the maintenance task of a replica.
    pub fn new(
        settings: GroupMaintenanceSettings,
        host: Arc<ReplicaHost>,
        transport: Arc<Transport>,
        directory: Arc<dyn GroupDirectory>,
    ) -> Self {
        let started = Instant::now();
        let own = settings.own.node.clone();
        let watcher = Arc::new(MemberWatcher::new(Arc::clone(&host), Arc::clone(&transport), own));
        Self {
            settings,
            host,
            transport,
            directory,
            started,
            expired_at: started,
            is_registered: false,
            watcher,
            change_wanted_since: None,
            is_retirement_reported: false,
            retirement_refusal: None,
            has_handed_over: false,
            candidate_count: 0,
            candidate_count_since: started,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        info!(self.host.logger(), "group maintenance started"; "event" => "upkeep_begun",
            "complete_within_ms" => self.settings.catch_up_time.as_millis() as u64,
            "lost_after_ms" => self.replacement_policy().lost_after().as_millis() as u64);
        // Aborted when this task ends.
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&self.watcher).run());
        let mut view = self.directory.view();
        loop {
            let current_view = self.current_view(view.borrow_and_update().clone());
            self.round(&current_view).await;
            self.host.update_gauges();
            if self.expired_at.elapsed() >= EXPIRY_INTERVAL {
                self.expired_at = Instant::now();
                self.host.expire_and_snapshot().await;
                self.start_turn_expiry(&mut tasks);
            }
            tokio::select! {
                _ = view.changed() => {}
                () = self.host.planned_stop().requested() => {}
                () = tokio::time::sleep(ROUND_INTERVAL) => {}
            }
        }
    }

    /// Starts the removal of expired turns unless the last one is still under way: other members may answer late.
    fn start_turn_expiry(&self, tasks: &mut JoinSet<()>) {
        while tasks.try_join_next().is_some() {}
        if tasks.len() > 1 {
            return;
        }
        let (host, transport) = (Arc::clone(&self.host), Arc::clone(&self.transport));
        tasks.spawn(async move { expire_turns(&host, &transport).await });
    }

    /// Directory content: read from it if this node follows it, otherwise from the feeds of other nodes.
    fn current_view(&self, directory_view: DirectoryView) -> DirectoryView {
        if self.host.follows_directory() && directory_view.is_known {
            self.host.publish_directory(&directory_view);
            return directory_view;
        }
        self.host.load_directory_from_feed()
    }

    async fn round(&mut self, view: &DirectoryView) {
        if let Some(stored) = &view.map {
            self.adopt_groups(&stored.map).await;
        }
        if view.is_known {
            self.register(view).await;
            match &view.map {
                None => self.bootstrap_groups(view).await,
                Some(stored) => self.maintain_membership(view, stored).await,
            }
        }
        if self.host.planned_stop().is_pending() {
            self.hand_over_before_stop(view).await;
        }
        if self.needs_catch_up() && self.started.elapsed() >= QUIET_BEFORE_CATCH_UP {
            let _ = catch_up(&self.host, &self.transport, &self.settings.own.node).await;
        }
        self.reread_after_departure(view).await;
    }

    /// Reads the remaining members after one departed without a handover; a drained machine does hand over.
    async fn reread_after_departure(&self, view: &DirectoryView) {
        let has_handed_over = |node: &str| {
            view.retirements.iter().any(|retirement| retirement.node == node && retirement.is_completed)
        };
        let needs_reading = {
            let mut replica = self.host.replica();
            replica.forget_departed(has_handed_over);
            replica.is_voting() && !replica.departed_members().is_empty()
        };
        if needs_reading {
            reread_others(&self.host, &self.transport, &self.settings.own.node).await;
        }
    }

    fn needs_catch_up(&self) -> bool {
        let replica = self.host.replica();
        replica.is_member() && !replica.is_voting()
    }

    /// Adopts the newer version of the own group, or the group of which the node is now a member.
    async fn adopt_groups(&mut self, map: &GroupMap) {
        let (record, group) = {
            let mut replica = self.host.replica();
            (replica.follow_map(map), replica.group().clone())
        };
        let Some(record) = record else { return };
        info!(self.host.logger(), "group adopted"; "event" => "group_adopted", "group" => group.number,
            "epoch" => group.epoch, "members" => format_members(&group),
            "commit_quorum" => group.commit_quorum(), "voting" => self.host.is_voting());
        if let Err(failure) = self.host.commit(vec![record]).await {
            warn!(self.host.logger(), "group not durable"; "event" => "commit_failed", "error" => %failure);
        }
    }

    async fn register(&mut self, view: &DirectoryView) {
        let own = &self.settings.own;
        let known = view.registered.iter().any(|registration| registration.member.address == own.address);
        if self.is_registered || known || view.map.is_some() {
            return;
        }
        let may_bootstrap = self.host.replica().may_bootstrap();
        let capacity = self.settings.capacity;
        let registration = Registration { member: own.clone(), capacity, may_bootstrap };
        self.is_registered = self.directory.register(registration).await.is_ok();
    }

    /// Bootstraps the groups from the machines of the first start. Their number is not known in advance, so
    /// bootstrapping waits until registrations have settled.
    async fn bootstrap_groups(&mut self, view: &DirectoryView) {
        if !self.host.replica().may_bootstrap() {
            return;
        }
        let candidates: Vec<Candidate> = view
            .registered
            .iter()
            .filter(|registration| registration.may_bootstrap)
            .map(|registration| Candidate {
                member: registration.member.clone(),
                capacity: registration.capacity,
            })
            .collect();
        if self.candidate_count != candidates.len() {
            (self.candidate_count, self.candidate_count_since) = (candidates.len(), Instant::now());
        }
        let has_settled = self.candidate_count_since.elapsed() >= REGISTRATION_SETTLE_TIME;
        let has_waited = self.started.elapsed() >= MAX_BOOTSTRAP_WAIT && !candidates.is_empty();
        if !(has_waited || has_settled && candidates.len() >= self.settings.policy.size()) {
            return;
        }
        let first = candidates.iter().map(|candidate| &candidate.member.node).min();
        let is_first = first == Some(&self.settings.own.node);
        // The first machine by name bootstraps the groups; the other ones do so only if it fails to.
        if !is_first && self.started.elapsed() < MAX_BOOTSTRAP_WAIT + REGISTRATION_SETTLE_TIME {
            return;
        }
        let map = self.settings.policy.initial_group_map(&candidates);
        self.replace_map(map, None, "founded").await;
    }

    async fn maintain_membership(&mut self, view: &DirectoryView, stored: &StoredMap) {
        let own = self.settings.own.clone();
        let known = self.host.replica().group().clone();
        let retirement = view.retirements.iter().find(|retirement| retirement.node == own.node);
        let is_leaving = retirement.is_some_and(|retirement| !retirement.is_completed);
        let stored_epoch = stored.map.group(known.number).map_or(0, |group| group.epoch);
        if known.epoch > stored_epoch {
            // The directory view lags behind a change that was made just now.
            if is_leaving && known.member(&own.node).is_none() {
                self.complete_retirement(&known).await;
            }
            return;
        }
        if is_leaving {
            self.leave_group(stored).await;
        }
        if retirement.is_some() || self.host.planned_stop().is_requested() {
            return;
        }
        if stored.map.group_of_member(&own.node).is_none() && !self.watcher.has_completed_round() {
            return;
        }
        let step = self.settings.policy.decide_membership(
            &self.settings.topology,
            &stored.map,
            &own,
            &self.watcher.watch(),
            self.replacement_policy(),
            self.watcher.now(),
        );
        match step {
            MembershipDecision::Keep => self.change_wanted_since = None,
            MembershipDecision::Change { group, reason } => {
                let change_wanted_since = *self.change_wanted_since.get_or_insert_with(Instant::now);
                if change_wanted_since.elapsed() >= change_delay(&group, &own, reason) {
                    self.change_wanted_since = None;
                    self.request_membership(stored, group, reason).await;
                }
            }
        }
    }

    /// Requests the change that makes this machine a member, or updates its address.
    async fn request_membership(&mut self, stored: &StoredMap, group: Group, reason: ChangeReason) {
        if reason.joins_complete_group() {
            let record = self.host.replica().prepare_join(group.epoch);
            if let Err(failure) = self.host.commit(vec![record]).await {
                warn!(self.host.logger(), "not joining: the record could not be made durable"; "event" => "commit_failed",
                    "error" => %failure);
                return;
            }
        }
        self.replace_map(stored.map.with_group(group), Some(stored.revision), reason.name()).await;
    }

    /// Conditions under which this machine replaces a lost member or, if it is itself a member, removes one.
    fn replacement_policy(&self) -> ReplacementPolicy {
        let catch_up_time = self.settings.catch_up_time;
        let replica = self.host.replica();
        if replica.is_member() && !replica.is_voting() {
            return ReplacementPolicy::for_incomplete_member(catch_up_time);
        }
        match replica.is_new() || replica.is_member() {
            true => ReplacementPolicy::for_new_machine(catch_up_time),
            false => ReplacementPolicy::FOR_EXISTING_MACHINE,
        }
    }

    /// Hands over all records and leaves the group; then the machine is drained.
    ///
    /// It stops voting before the second handover: that must contain everything that it acknowledged.
    async fn leave_group(&mut self, stored: &StoredMap) {
        let own = self.settings.own.node.clone();
        if !self.is_retirement_reported {
            let reported = self.directory.report_retirement(own.clone(), false).await;
            self.is_retirement_reported = reported.is_ok();
        }
        let Some(group) = stored.map.group_of_member(&own).cloned() else {
            let previous_group = self.host.replica().group().clone();
            self.complete_retirement(&previous_group).await;
            return;
        };
        // Until it votes, it lacks records that it acknowledged before it lost its disk.
        if !self.host.is_voting() {
            return self.report_waiting_retirement(&group, LeaveRefusal::Incomplete);
        }
        let next = match self.group_after_leave(&group) {
            Ok(next) => next,
            Err(refusal) => return self.report_waiting_retirement(&group, refusal),
        };
        self.has_handed_over = self.hand_over(stored, &group, next, "leaving").await;
    }

    /// Hands over all records, then requests the next version of the group, in which this machine does not vote. Returns
    /// whether that certainly applies.
    async fn hand_over(&mut self, stored: &StoredMap, group: &Group, next: Group, why: &'static str) -> bool {
        let own = self.settings.own.node.clone();
        // Most records are sent while the member still votes; the ones acknowledged meanwhile follow once it
        // does not.
        if !hand_over_records(&self.host, &self.transport, group, &next, &own).await {
            return false;
        }
        self.host.replica().set_leaving(true);
        // A recipient that lost its disk meanwhile does not vote, and still has to read this member.
        let is_handed_over = hand_over_records(&self.host, &self.transport, group, &next, &own).await
            && all_vote(&self.transport, &group.without_member(&own)).await;
        let next = stored.map.with_group(next);
        let is_changed = is_handed_over && self.replace_map(next, Some(stored.revision), why).await;
        if !is_changed {
            // The change may still be applied. Records acknowledged from now on must be handed over again.
            self.host.replica().set_leaving(false);
        }
        is_changed
    }

    /// Hands over all records before this process exits, so that the others need none of this machine while it is away.
    async fn hand_over_before_stop(&mut self, view: &DirectoryView) {
        let group = self.host.replica().group().clone();
        let next = self.settings.policy.group_after_handover(&group, &self.settings.own.node);
        let is_handed_over = match (next, &view.map) {
            (Some(next), Some(stored)) if is_stored(stored, &group) => {
                self.hand_over(stored, &group, next, "planned stop").await
            }
            _ => false,
        };
        info!(self.host.logger(), "handover before a planned stop"; "event" => "stop_handover",
            "is_handed_over" => is_handed_over, "group" => group.number, "epoch" => group.epoch,
            "members" => format_members(&group), "is_directory_known" => view.is_known);
        self.host.planned_stop().conclude();
    }

    fn group_after_leave(&self, group: &Group) -> Result<Group, LeaveRefusal> {
        let own = &self.settings.own.node;
        let others_count_copies = self.watcher.watch().others_count_copies(group, own)
            && self.host.replica().counts_copies(unix_millis());
        self.settings.policy.group_after_leave(group, own, others_count_copies)
    }

    fn report_waiting_retirement(&mut self, group: &Group, refusal: LeaveRefusal) {
        if self.retirement_refusal.replace(refusal) == Some(refusal) {
            return;
        }
        warn!(self.host.logger(), "machine is not drained: a record might not survive the tolerated losses";
            "event" => "retirement_waits", "code" => ResultCode::TooFewReplicas.number(), "reason" => %refusal,
            "group" => group.number, "epoch" => group.epoch, "members" => format_members(group));
    }

    async fn complete_retirement(&mut self, group: &Group) {
        let own = self.settings.own.node.clone();
        self.has_handed_over =
            self.has_handed_over || hand_over_records(&self.host, &self.transport, group, group, &own).await;
        if self.has_handed_over {
            let reported = self.directory.report_retirement(own, true).await;
            info!(self.host.logger(), "machine drained"; "event" => "retirement_completed",
                "reported" => reported.is_ok());
        }
    }

    /// Requests a change of the groups; returns whether it certainly was made.
    async fn replace_map(&mut self, map: GroupMap, expected: Option<u64>, why: &'static str) -> bool {
        let outcome = self.directory.replace_map(map.clone(), expected).await;
        let is_changed = outcome.is_ok();
        match outcome {
            Ok(()) => {
                info!(self.host.logger(), "groups changed"; "event" => "group_changed", "why" => why,
                    "groups" => format_map(&map));
                self.adopt_groups(&map).await;
            }
            Err(DirectoryError::Conflict) => {
                info!(self.host.logger(), "group was changed concurrently"; "event" => "group_conflict", "why" => why);
            }
            Err(error) => {
                warn!(self.host.logger(), "group not changed"; "event" => "group_change_failed", "why" => why,
                    "error" => %error);
            }
        }
        is_changed
    }
}

/// Whether the directory holds this version of a group.
fn is_stored(stored: &StoredMap, group: &Group) -> bool {
    stored.map.group(group.number).is_some_and(|known| known.epoch == group.epoch)
}

/// Delay before a machine requests a change to `group`, so that machines that want the same change do not all
/// request it, and those of zones with fewer members come first.
fn change_delay(group: &Group, own: &Member, reason: ChangeReason) -> Duration {
    if matches!(reason, ChangeReason::Moved | ChangeReason::Resumed) {
        return Duration::ZERO;
    }
    let others = group.members.iter().filter(|member| member.node != own.node);
    let in_zone = others.filter(|member| member.zone == own.zone).count();
    let zone_delay = DELAY_PER_ZONE_MEMBER * u32::try_from(in_zone).unwrap_or(u32::MAX);
    zone_delay + MAX_RANDOM_DELAY.mul_f64(rand::random())
}

fn format_map(map: &GroupMap) -> String {
    let groups = map.groups().iter();
    let texts: Vec<String> =
        groups.map(|group| format!("{}:{}", group.epoch, format_members(group))).collect();
    texts.join(" ")
}

fn format_members(group: &Group) -> String {
    let names: Vec<&str> = group.members.iter().map(|member| member.node.as_str()).collect();
    names.join(",")
}
