//! Keeping groups whole: founding them, joining one, taking a lost member's place, catching up, leaving.
//!
//! Every change of a group is a compare-and-set at the [`GroupDirectory`]; what is done here only decides which
//! change to ask for.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use sumacdrift_ledger::{
    Candidate, Capacity, ChangeReason, Group, GroupMap, GroupPolicy, Member, Patience, PlaceStep,
};
use sumacdrift_transport::Transport;
use sumacdrift_types::Places;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::catch_up::{catch_up, read_others};
use crate::directory::{DirectoryError, DirectoryView, GroupDirectory, Registration, StoredMap};
use crate::host::ReplicaHost;
use crate::leave::hand_over;
use crate::member_watcher::MemberWatcher;

/// How often the group is looked at.
const ROUND: Duration = Duration::from_millis(250);
/// How long founding waits for more machines at the most.
const FOUNDING_WAIT: Duration = Duration::from_secs(4);
/// How long no further machine may have registered before the groups are founded: machines that start together register
/// within a fraction of a second of each other.
const FOUNDERS_SETTLED: Duration = Duration::from_millis(800);
/// Longest time drawn before a machine asks for a change that others may want too.
const LONGEST_HESITATION: Duration = Duration::from_millis(200);
/// How much later a machine asks for each member that its zone has.
const ZONE_HESITATION: Duration = Duration::from_millis(200);
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
    /// What its machine can carry.
    pub capacity: Capacity,
    /// How large the group is.
    pub policy: GroupPolicy,
    /// The region of each zone.
    pub places: Arc<Places>,
    /// How long a machine that starts empty may take until it votes in the place of one that is gone: so long the
    /// deployment counts the loss, and another one may come then.
    pub complete_within: Duration,
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
    watcher: Arc<MemberWatcher>,
    wanted_since: Option<Instant>,
    is_retirement_reported: bool,
    has_handed_over: bool,
    /// Members that went without anyone in their place, until the members that are left were read.
    departed: Vec<String>,
    /// Machines that may found the groups, as many as were seen, and since when.
    founders: usize,
    founders_since: Instant,
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
        let own = settings.own.node.clone();
        let watcher = Arc::new(MemberWatcher::new(Arc::clone(&host), Arc::clone(&transport), own));
        Self {
            settings,
            host,
            transport,
            directory,
            started,
            tidied: started,
            is_registered: false,
            watcher,
            wanted_since: None,
            is_retirement_reported: false,
            has_handed_over: false,
            departed: Vec::new(),
            founders: 0,
            founders_since: started,
        }
    }

    /// Runs for as long as the process.
    pub async fn run(mut self) {
        info!(self.host.logger(), "keeping a place in the ledger"; "event" => "upkeep_begun",
            "complete_within_ms" => self.settings.complete_within.as_millis() as u64,
            "lost_after_ms" => self.patience().lost_after().as_millis() as u64);
        // Ends with this task.
        let mut watching = JoinSet::new();
        watching.spawn(Arc::clone(&self.watcher).run());
        let mut view = self.directory.view();
        loop {
            let seen = self.seen(view.borrow_and_update().clone());
            self.round(&seen).await;
            self.host.observe();
            if self.tidied.elapsed() >= TIDY_EVERY {
                self.tidied = Instant::now();
                self.host.tidy().await;
            }
            let _ = tokio::time::timeout(ROUND, view.changed()).await;
        }
    }

    /// What the directory holds: as it told itself, or as other nodes tell.
    fn seen(&self, told: DirectoryView) -> DirectoryView {
        if self.host.follows_directory() && told.is_known {
            self.host.know_directory(&told);
            return told;
        }
        self.host.directory_from_feed()
    }

    async fn round(&mut self, view: &DirectoryView) {
        if let Some(stored) = &view.map {
            self.install(&stored.map).await;
        }
        if view.is_known {
            self.register(view).await;
            match &view.map {
                None => self.found(view).await,
                Some(stored) => self.keep_place(view, stored).await,
            }
        }
        if self.needs_catch_up() && self.started.elapsed() >= QUIET_BEFORE_CATCH_UP {
            let _ = catch_up(&self.host, &self.transport, &self.settings.own.node).await;
        }
        self.make_up_for_departed(view).await;
    }

    /// Reads the members that are left where one went that handed nothing over: a machine that is emptied does.
    async fn make_up_for_departed(&mut self, view: &DirectoryView) {
        let is_emptied = |node: &String| view.retirements.iter().any(|retirement| retirement.node == *node);
        self.departed.retain(|node| !is_emptied(node));
        if self.departed.is_empty() || !self.host.is_voting() {
            return;
        }
        if read_others(&self.host, &self.transport, &self.settings.own.node).await {
            self.departed.clear();
        }
    }

    fn needs_catch_up(&self) -> bool {
        let replica = self.host.replica();
        replica.is_member() && !replica.is_voting()
    }

    /// Adopts the newer version of the own group, or the group that the node has a seat in now.
    async fn install(&mut self, map: &GroupMap) {
        let (before, record, group) = {
            let mut replica = self.host.replica();
            let before = replica.group().clone();
            (before, replica.follow_map(map), replica.group().clone())
        };
        let Some(record) = record else { return };
        self.departed.extend(group.departed_since(&before));
        info!(self.host.logger(), "group adopted"; "event" => "group_adopted", "group" => group.number,
            "epoch" => group.epoch, "members" => members_text(&group), "voting" => self.host.is_voting());
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
        let may_found = self.host.replica().may_found();
        let capacity = self.settings.capacity;
        let registration = Registration { member: own.clone(), capacity, may_found };
        self.is_registered = self.directory.register(registration).await.is_ok();
    }

    /// Founds the groups with machines that were there at the first start. How many there are nobody says: the founding
    /// waits for as long as the start of all machines takes.
    async fn found(&mut self, view: &DirectoryView) {
        if !self.host.replica().may_found() {
            return;
        }
        let founders: Vec<Candidate> = view
            .registered
            .iter()
            .filter(|registration| registration.may_found)
            .map(|registration| Candidate {
                member: registration.member.clone(),
                capacity: registration.capacity,
            })
            .collect();
        if self.founders != founders.len() {
            (self.founders, self.founders_since) = (founders.len(), Instant::now());
        }
        let has_settled = self.founders_since.elapsed() >= FOUNDERS_SETTLED;
        let has_waited = self.started.elapsed() >= FOUNDING_WAIT && !founders.is_empty();
        if !(has_waited || has_settled && founders.len() >= self.settings.policy.size()) {
            return;
        }
        let first = founders.iter().map(|founder| &founder.member.node).min();
        let is_first = first == Some(&self.settings.own.node);
        // The first one founds; the others step in only if it does not.
        if !is_first && self.started.elapsed() < FOUNDING_WAIT + FOUNDERS_SETTLED {
            return;
        }
        let map = self.settings.policy.founding_map(&founders);
        self.replace_map(map, None, "founded").await;
    }

    async fn keep_place(&mut self, view: &DirectoryView, stored: &StoredMap) {
        let own = self.settings.own.clone();
        let known = self.host.replica().group().clone();
        let retirement = view.retirements.iter().find(|retirement| retirement.node == own.node);
        let is_leaving = retirement.is_some_and(|retirement| !retirement.is_completed);
        let stored_epoch = stored.map.group(known.number).map_or(0, |group| group.epoch);
        if known.epoch > stored_epoch {
            // The directory's view lags behind a change that was made just now.
            if is_leaving && known.member(&own.node).is_none() {
                self.complete_retirement(&known).await;
            }
            return;
        }
        if is_leaving {
            self.leave(stored).await;
        }
        if retirement.is_some() {
            return;
        }
        if stored.map.seat_of(&own.node).is_none() && !self.watcher.has_looked() {
            return;
        }
        let step = self.settings.policy.place_step(
            &self.settings.places,
            &stored.map,
            &own,
            &self.watcher.watch(),
            self.patience(),
            self.watcher.now(),
        );
        match step {
            PlaceStep::Stay => self.wanted_since = None,
            PlaceStep::Change { group, reason } => {
                let wanted_since = *self.wanted_since.get_or_insert_with(Instant::now);
                if wanted_since.elapsed() >= hesitation(&group, &own, reason) {
                    self.wanted_since = None;
                    self.take_place(stored, group, reason).await;
                }
            }
        }
    }

    /// Asks for the change that gives this machine a seat, or another address.
    async fn take_place(&mut self, stored: &StoredMap, group: Group, reason: ChangeReason) {
        if reason == ChangeReason::Joined {
            let standing = self.host.replica().join_as_new(group.epoch);
            if let Err(failure) = self.host.commit(vec![standing]).await {
                warn!(self.host.logger(), "not joining, as nothing is durable here"; "event" => "commit_failed",
                    "error" => %failure);
                return;
            }
        }
        self.replace_map(stored.map.with(group), Some(stored.revision), reason.name()).await;
    }

    /// How long members may be silent until this machine takes the place of one, or as a member gives one up that stopped.
    fn patience(&self) -> Patience {
        let replica = self.host.replica();
        match replica.is_new() || replica.is_member() {
            true => Patience::of_new_machine(self.settings.complete_within),
            false => Patience::LONG,
        }
    }

    /// Hands everything over and leaves the group; then the machine is empty.
    ///
    /// It stops voting before it is done: what it hands over must be all that it acknowledged, and nothing may come
    /// after it.
    async fn leave(&mut self, stored: &StoredMap) {
        let own = self.settings.own.node.clone();
        if !self.is_retirement_reported {
            let reported = self.directory.report_retirement(own.clone(), false).await;
            self.is_retirement_reported = reported.is_ok();
        }
        let Some(group) = stored.map.seat_of(&own).cloned() else {
            let left = self.host.replica().group().clone();
            self.complete_retirement(&left).await;
            return;
        };
        if group.members.len() == 1 {
            return;
        }
        // Most of it goes over while the member still votes; what came meanwhile follows when it no longer does.
        if !hand_over(&self.host, &self.transport, &group, &own).await {
            return;
        }
        self.host.replica().set_leaving(true);
        let next = stored.map.with(group.without(&own));
        let is_handed_over = hand_over(&self.host, &self.transport, &group, &own).await;
        let is_out = is_handed_over && self.replace_map(next, Some(stored.revision), "leaving").await;
        if !is_out {
            // The change may still be made. What is acknowledged from now on must be handed over again.
            self.host.replica().set_leaving(false);
        }
        self.has_handed_over = is_out;
    }

    async fn complete_retirement(&mut self, group: &Group) {
        let own = self.settings.own.node.clone();
        self.has_handed_over =
            self.has_handed_over || hand_over(&self.host, &self.transport, group, &own).await;
        if self.has_handed_over {
            let reported = self.directory.report_retirement(own, true).await;
            info!(self.host.logger(), "machine emptied"; "event" => "retirement_completed",
                "reported" => reported.is_ok());
        }
    }

    /// Asks that the groups be changed; returns whether they surely are.
    async fn replace_map(&mut self, map: GroupMap, expected: Option<u64>, why: &'static str) -> bool {
        let outcome = self.directory.replace_map(map.clone(), expected).await;
        let is_changed = outcome.is_ok();
        match outcome {
            Ok(()) => {
                info!(self.host.logger(), "groups changed"; "event" => "group_changed", "why" => why,
                    "groups" => map_text(&map));
                self.install(&map).await;
            }
            Err(DirectoryError::Conflict) => {
                info!(self.host.logger(), "group was changed by another"; "event" => "group_conflict", "why" => why);
            }
            Err(error) => {
                warn!(self.host.logger(), "group not changed"; "event" => "group_change_failed", "why" => why,
                    "error" => %error);
            }
        }
        is_changed
    }
}

/// How long a machine waits before it changes a group to this one, so that several that want the same do not all ask for it, and
/// machines of zones with fewer members come first.
fn hesitation(group: &Group, own: &Member, reason: ChangeReason) -> Duration {
    if reason == ChangeReason::Moved {
        return Duration::ZERO;
    }
    let others = group.members.iter().filter(|member| member.node != own.node);
    let in_zone = others.filter(|member| member.zone == own.zone).count();
    let zones_turn = ZONE_HESITATION * u32::try_from(in_zone).unwrap_or(u32::MAX);
    zones_turn + LONGEST_HESITATION.mul_f64(rand::random())
}

fn map_text(map: &GroupMap) -> String {
    let groups = map.groups().iter();
    let texts: Vec<String> = groups.map(|group| format!("{}:{}", group.epoch, members_text(group))).collect();
    texts.join(" ")
}

fn members_text(group: &Group) -> String {
    let names: Vec<&str> = group.members.iter().map(|member| member.node.as_str()).collect();
    names.join(",")
}
