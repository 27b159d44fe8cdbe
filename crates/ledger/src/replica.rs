//! A ledger replica: handles requests and returns the records to make durable and the reply to send afterwards.

use std::collections::BTreeSet;

use sumacdrift_mutants::{Rule, is_broken};

use crate::group::{FOUNDING_EPOCH, Group};
use crate::group_map::GroupMap;
use crate::message::{
    Begin, BeginVote, ChainRequest, End, LedgerReply, LedgerRequest, Page, PageRequest, Push, Reading,
    Record, RecordKind, ReplyKind, RequestKind, Standing, StatusReply, StoredCopy,
};
use crate::retention_message::{ContinuationsRequest, RemovedTurns};
use crate::state::{LedgerState, PageDetail};

/// Time after the last request from a build that always waits for a majority, until which such builds count as still in
/// use. Every client sends a request within it while its callers are active.
const MAJORITY_CLIENT_MEMORY_MILLIS: u64 = 60_000;

/// Settings of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct ReplicaSettings {
    pub node: String,
    /// Whether the whole system starts for the first time, so that an empty replica is complete.
    pub is_first_start: bool,
}

/// Result of handling a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Records to make durable, in order.
    pub commit: Vec<Record>,
    /// Reply, to be sent only once all records are durable.
    pub reply: LedgerReply,
}

/// State machine of a ledger replica.
#[derive(Debug, Clone)]
pub struct Replica {
    settings: ReplicaSettings,
    state: LedgerState,
    group: Group,
    /// Join epoch of the membership for which the records are complete.
    complete_join_epoch: Option<u64>,
    /// Join epoch of the membership as which the replica never voted before it was complete.
    never_voted_join_epoch: Option<u64>,
    is_leaving: bool,
    /// Members read completely at the current epoch.
    read_members: BTreeSet<String>,
    /// Members that reported at the current epoch that they have never voted.
    never_voted: BTreeSet<String>,
    /// Members that departed without a replacement, until the remaining members have been read.
    departed: BTreeSet<String>,
    /// Unix time in milliseconds of the last request from a build that always waits for a majority.
    majority_client_seen_at: Option<u64>,
    /// Memory for the content of retained turns, in bytes.
    content_capacity_bytes: u64,
}

impl Replica {
    /// Creates an empty replica. Replay its journal with [`Replica::replay`], then call [`Replica::finish_replay`].
    pub fn new(settings: ReplicaSettings) -> Self {
        Self {
            settings,
            state: LedgerState::default(),
            group: Group::default(),
            complete_join_epoch: None,
            never_voted_join_epoch: None,
            is_leaving: false,
            read_members: BTreeSet::new(),
            never_voted: BTreeSet::new(),
            departed: BTreeSet::new(),
            majority_client_seen_at: None,
            content_capacity_bytes: u64::MAX,
        }
    }

    /// Limits the memory for the content of retained turns, which is unlimited at first.
    pub fn limit_content(&mut self, capacity_bytes: u64) {
        self.content_capacity_bytes = capacity_bytes;
    }

    /// Replays a record of the replica's own journal.
    pub fn replay(&mut self, record: &Record) {
        match &record.kind {
            Some(RecordKind::Group(message)) => {
                if let Some(group) = Group::from_message(message) {
                    self.adopt(group);
                }
            }
            Some(RecordKind::Standing(standing)) if standing.never_voted => {
                self.never_voted_join_epoch = Some(standing.joined);
            }
            Some(RecordKind::Reading(reading)) => {
                if reading.epoch == self.group.epoch {
                    self.read_members.extend(reading.sources.iter().cloned());
                    if self.has_read_all_others() {
                        self.departed.clear();
                    }
                }
            }
            Some(RecordKind::Standing(standing)) => {
                self.complete_join_epoch = Some(standing.joined);
            }
            Some(RecordKind::Removed(removed)) => self.state.remove_contents(&removed.turns),
            _ => drop(self.state.merge(record)),
        }
    }

    /// Completes the replay; returns records to make durable.
    pub fn finish_replay(&mut self) -> Vec<Record> {
        if self.settings.is_first_start && self.complete_join_epoch.is_none() {
            return vec![self.mark_complete(FOUNDING_EPOCH)];
        }
        Vec::new()
    }

    /// Name of the node that hosts the replica.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    /// Newest known version of the group; its epoch is 0 if there is none.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Accounts of programs and retained turns.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// Whether the replica votes: it is a member, its records are complete, and it is neither leaving nor has it handed
    /// over its records.
    pub fn is_voting(&self) -> bool {
        let has_handed_over = self.group.handed_over.contains(&self.settings.node)
            && !is_broken(Rule::LedgerHandedOverMembersDoNotVote);
        self.is_complete() && !self.is_leaving && !has_handed_over
    }

    fn is_complete(&self) -> bool {
        let member = self.group.member(&self.settings.node);
        member.is_some_and(|member| {
            self.complete_join_epoch == Some(member.joined) || is_broken(Rule::LedgerVoteNeedsRecords)
        })
    }

    /// Marks the replica as never having voted as the member that joins at `epoch`. Called before it requests
    /// membership as a new member, not as the replacement of a lost one. The returned record must be durable before the
    /// request is sent, because the change may be made even if no reply arrives.
    pub fn prepare_join(&mut self, epoch: u64) -> Record {
        self.never_voted_join_epoch = Some(epoch);
        never_voted_record(epoch)
    }

    /// Whether at least one member has been read completely at the current epoch.
    pub fn has_read_any(&self) -> bool {
        !self.read_members.is_empty()
    }

    /// Whether a member has been read completely at the current epoch.
    pub fn has_read(&self, node: &str) -> bool {
        self.read_members.contains(node)
    }

    /// Members that departed without a replacement and whose records the other members may not all hold yet. This does
    /// not depend on how the replica learned of the change.
    pub fn departed_members(&self) -> &BTreeSet<String> {
        &self.departed
    }

    /// Removes the members that handed over their records before they left.
    pub fn forget_departed(&mut self, has_handed_over: impl Fn(&str) -> bool) {
        self.departed.retain(|node| !has_handed_over(node));
    }

    /// Marks all other members as read completely at an epoch after some departed; their records must be durable.
    /// Returns the record to make durable; `None` if the group has changed since, so that they must be read again.
    pub fn record_others_read(&mut self, epoch: u64) -> Option<Record> {
        if epoch != self.group.epoch {
            return None;
        }
        self.read_members = self.others().cloned().collect();
        self.departed.clear();
        Some(self.reading_record())
    }

    fn has_read_all_others(&self) -> bool {
        self.others().all(|node| self.read_members.contains(node))
    }

    /// Nodes of the other members of the group.
    fn others(&self) -> impl Iterator<Item = &String> {
        self.group.members.iter().map(|member| &member.node).filter(|node| **node != self.settings.node)
    }

    /// Whether it is certain that the replica has never voted as its current member.
    fn has_never_voted(&self) -> bool {
        if is_broken(Rule::LedgerNeverVotedIsTrue) {
            return !self.is_complete();
        }
        let member = self.group.member(&self.settings.node);
        let is_new = member.is_some_and(|member| self.never_voted_join_epoch == Some(member.joined));
        is_new && !self.is_complete()
    }

    /// Suspends or resumes voting. A leaving member must acknowledge nothing after it starts to hand over its records.
    pub fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving && !is_broken(Rule::LedgerStopsVotingBeforeLeaving);
    }

    /// Whether this disk never held a complete replica: the machine is new or lost its disk.
    pub fn is_new(&self) -> bool {
        self.complete_join_epoch.is_none()
    }

    /// Whether the replica holds everything that it acknowledged as a founding member, and so may bootstrap a group.
    pub fn may_bootstrap(&self) -> bool {
        self.complete_join_epoch == Some(FOUNDING_EPOCH)
    }

    /// Whether the replica is a member of its newest known group.
    pub fn is_member(&self) -> bool {
        self.group.member(&self.settings.node).is_some()
    }

    /// Handles a request; `now` is the Unix time in milliseconds.
    pub fn handle(&mut self, request: LedgerRequest, now: u64) -> Step {
        if !self.is_own_group(&request) {
            // Votes of this replica are void in other groups.
            return reply_only(ReplyKind::NotVoting(true));
        }
        match request.kind {
            Some(RequestKind::Begin(begin)) => self.handle_begin(request.epoch, begin, now),
            Some(RequestKind::End(end)) => self.handle_end(request.epoch, end, now),
            Some(RequestKind::Chain(chain)) => reply_only(ReplyKind::Chain(self.state.chain(&chain.turn))),
            Some(RequestKind::Page(page)) => self.handle_page(page, now),
            Some(RequestKind::Push(push)) => self.handle_push(push, now),
            Some(RequestKind::Contents(contents)) => {
                reply_only(ReplyKind::Page(self.state.contents(&contents.turns, now)))
            }
            Some(RequestKind::Install(group)) => {
                let commit = Group::from_message(&group).and_then(|group| self.install(group));
                Step { commit: commit.into_iter().collect(), reply: reply(ReplyKind::Done(true)) }
            }
            Some(RequestKind::Status(_)) => reply_only(ReplyKind::Status(self.status(now))),
            Some(RequestKind::Continuations(asked)) => self.handle_continuations(request.epoch, &asked, now),
            Some(RequestKind::Find(find)) => self.handle_find(request.epoch, &find),
            Some(RequestKind::News(_)) => reply_only(ReplyKind::Done(true)),
            Some(RequestKind::Map(_)) => {
                reply_only(ReplyKind::Failed("a replica knows only its group".to_owned()))
            }
            Some(RequestKind::Quota(_) | RequestKind::QuotaTotals(_)) => {
                reply_only(ReplyKind::Failed("a replica counts no calls".to_owned()))
            }
            Some(
                RequestKind::EngineCrash(_)
                | RequestKind::SuspectedCrash(_)
                | RequestKind::EngineSurvived(_)
                | RequestKind::ServedAfterCrash(_)
                | RequestKind::Quarantine(_)
                | RequestKind::Suspect(_),
            ) => reply_only(ReplyKind::Failed("a replica records no crashes".to_owned())),
            Some(RequestKind::Stopping(_)) => {
                reply_only(ReplyKind::Failed("a replica watches no other".to_owned()))
            }
            None => reply_only(ReplyKind::Failed("the request is empty".to_owned())),
        }
    }

    /// Installs a version of the replica's group if it is newer; returns the record to make durable.
    pub fn install(&mut self, group: Group) -> Option<Record> {
        let is_other_group = self.group.epoch > 0 && group.number != self.group.number;
        if is_other_group || !group.supersedes(&self.group) {
            return None;
        }
        let record = group_record(&group);
        self.adopt(group);
        Some(record)
    }

    /// Installs the group of which the map lists this node as a member, otherwise the newer version of its current
    /// group. Returns the record to make durable.
    pub fn follow_map(&mut self, map: &GroupMap) -> Option<Record> {
        let known = map.group(self.group.number);
        if known.is_some_and(|known| known.epoch < self.group.epoch) {
            // The map is older than the replica's group.
            return None;
        }
        if let Some(group) = map.group_of_member(&self.settings.node) {
            return self.switch_group(Group::clone(group));
        }
        let has_group = self.group.epoch > 0;
        known.filter(|_| has_group).and_then(|known| self.install(Group::clone(known)))
    }

    /// Makes this a replica of another group after it was removed from its current one; the programs of the current
    /// group are discarded. Returns the record to make durable.
    pub fn switch_group(&mut self, group: Group) -> Option<Record> {
        if group.number == self.group.number || self.group.epoch == 0 {
            return self.install(group);
        }
        let record = group_record(&group);
        self.adopt(group);
        Some(record)
    }

    /// Number of other members that must still be read before this replica may vote.
    pub fn remaining_sources(&self) -> usize {
        if self.is_complete() {
            return 0;
        }
        let mut never_voted = self.never_voted.clone();
        if self.has_never_voted() {
            never_voted.insert(self.settings.node.clone());
        }
        let read = self.read_members.iter().filter(|node| self.group.member(node).is_some()).count();
        self.group.required_sources_except(&never_voted, &self.settings.node).saturating_sub(read)
    }

    /// Merges another member's page; returns the records that add information, to make durable.
    pub fn merge_page(&mut self, page: Page, now: u64) -> Vec<Record> {
        let received = page.records.into_iter().map(|record| record.with_absolute_expiry(now));
        received.filter(|record| self.state.merge(record)).collect()
    }

    /// Turns that a page lists without content and whose content is not stored here.
    pub fn missing_contents(&self, page: &Page) -> Vec<String> {
        page.retained_keys.iter().filter(|turn| !self.state.has_content(turn)).cloned().collect()
    }

    /// Marks a member as read completely at an epoch; its records must be durable. Returns the record to make durable:
    /// the catch-up progress, or the completion once enough members have been read.
    pub fn record_source_read(&mut self, node: &str, epoch: u64) -> Option<Record> {
        let joined = self.group.member(&self.settings.node).map(|member| member.joined)?;
        if !self.accepts_catch_up(epoch) {
            return None;
        }
        self.read_members.insert(node.to_owned());
        Some(if self.remaining_sources() == 0 { self.mark_complete(joined) } else { self.reading_record() })
    }

    /// Marks a member as never having voted, as it reported at an epoch. Returns the completion record to make durable
    /// if no more members need to be read.
    pub fn source_never_voted(&mut self, node: &str, epoch: u64) -> Option<Record> {
        let joined = self.group.member(&self.settings.node).map(|member| member.joined)?;
        if !self.accepts_catch_up(epoch) {
            return None;
        }
        self.never_voted.insert(node.to_owned());
        let has_read = !self.read_members.is_empty();
        (has_read && self.remaining_sources() == 0).then(|| self.mark_complete(joined))
    }

    fn accepts_catch_up(&self, epoch: u64) -> bool {
        let is_this_epoch = epoch == self.group.epoch || is_broken(Rule::LedgerReadsThisEpoch);
        is_this_epoch && !self.is_complete()
    }

    /// Stores a copy of another system's state if it is newer; returns the record to make durable.
    pub fn store_copy(&mut self, copy: StoredCopy) -> Option<Record> {
        let is_newer = self.state.store_copy(&copy);
        is_newer.then_some(Record { kind: Some(RecordKind::Copy(copy)), expiry_millis: 0 })
    }

    /// Stores crashes of engines by request if they are newer; returns the record to make durable.
    pub fn store_crash_history(&mut self, history: StoredCopy) -> Option<Record> {
        let is_newer = self.state.store_crash_history(&history);
        is_newer.then_some(Record { kind: Some(RecordKind::CrashHistory(history)), expiry_millis: 0 })
    }

    /// Removes what has expired; `now` is the Unix time in milliseconds. Turns stay if another member may need them, see
    /// [`Replica::turns_past_expiry`].
    pub fn expire(&mut self, now: u64) {
        match self.is_member() {
            true => self.state.expire_programs(now),
            false => self.state.expire(now),
        }
    }

    /// Turns to remove once enough members of all groups have said that no turn continues them.
    pub fn turns_past_expiry(&self, now: u64) -> Vec<String> {
        if self.is_member() { self.state.turns_past_expiry(now) } else { Vec::new() }
    }

    /// Removes turns that no member needs. Returns the record to make durable: the content must not come back when the
    /// journal is replayed.
    pub fn remove_turns(&mut self, turns: &[String], now: u64) -> Option<Record> {
        let turns = self.state.remove_turns(turns, now);
        let has_removed = !turns.is_empty();
        let removed = RecordKind::Removed(RemovedTurns { turns });
        has_removed.then_some(Record { kind: Some(removed), expiry_millis: 0 })
    }

    /// Keeps a turn that another member needs, until a Unix time in milliseconds.
    pub fn keep_turn(&mut self, turn: &str, until: u64) {
        self.state.keep_turn(turn, until);
    }

    /// First records of a snapshot; those of [`Replica::snapshot_page`] follow. Older journal segments may be deleted once
    /// all of them are durable.
    pub fn snapshot_head(&self) -> Vec<Record> {
        let mut records = vec![group_record(&self.group)];
        records.extend(self.complete_join_epoch.map(complete_record));
        records.extend(self.never_voted_join_epoch.map(never_voted_record));
        if self.has_read_any() {
            records.push(self.reading_record());
        }
        records
    }

    /// Page of further records of a snapshot that follows a cursor; their expiry is that of a journal.
    pub fn snapshot_page(&self, after: &str, now: u64) -> Page {
        let page = self.state.page(after, PageDetail::Whole, now);
        let records = page.records.into_iter().map(|record| record.with_absolute_expiry(now)).collect();
        Page { records, ..page }
    }

    fn mark_complete(&mut self, joined: u64) -> Record {
        self.complete_join_epoch = Some(joined);
        complete_record(joined)
    }

    /// Persists catch-up progress, as a member that was already read may lose its disk before the catch-up is complete.
    fn reading_record(&self) -> Record {
        let sources = self.read_members.iter().cloned().collect();
        let reading = Reading { epoch: self.group.epoch, sources };
        Record { kind: Some(RecordKind::Reading(reading)), expiry_millis: 0 }
    }

    fn adopt(&mut self, group: Group) {
        if group.number != self.group.number && self.group.epoch > 0 {
            self.state.clear_programs();
            self.complete_join_epoch = None;
            self.never_voted_join_epoch = None;
            self.is_leaving = false;
            self.departed.clear();
            self.group = Group::default();
        }
        if group.supersedes(&self.group) {
            self.departed.extend(group.removed_since(&self.group));
            self.group = group;
            // Members read under an earlier version may since have acknowledged more records.
            if !is_broken(Rule::LedgerReadsThisEpoch) {
                self.read_members.clear();
                self.never_voted.clear();
            }
        }
    }

    fn handle_begin(&mut self, epoch: u64, mut begin: Begin, now: u64) -> Step {
        let Some(turn) = begin.turn.take() else {
            return reply_only(ReplyKind::Failed("no turn".to_owned()));
        };
        let waits_for_quorum = self.waits_for_quorum(begin.commit_quorum, now);
        if !self.is_own_epoch(epoch) || !waits_for_quorum {
            return self.wrong_epoch();
        }
        if !self.state.has_memory_for(&turn, self.content_capacity_bytes) {
            let vote = BeginVote { lacks_memory: true, ..BeginVote::default() };
            return reply_only(ReplyKind::Vote(vote));
        }
        let vote = self.state.vote(&turn, &begin);
        let expires = self.state.begin(&turn, now);
        let record = Record { kind: Some(RecordKind::Begun(turn)), expiry_millis: expires };
        let kind = if self.is_voting() { ReplyKind::Vote(vote) } else { ReplyKind::NotVoting(true) };
        Step { commit: records_to_commit(record), reply: reply(kind) }
    }

    fn handle_end(&mut self, epoch: u64, end: End, now: u64) -> Step {
        let Some(turn) = end.turn else { return reply_only(ReplyKind::Failed("no turn".to_owned())) };
        let waits_for_quorum = self.waits_for_quorum(end.commit_quorum, now);
        if !self.is_own_epoch(epoch) || !waits_for_quorum {
            return self.wrong_epoch();
        }
        let expires = self.state.end(&turn, now);
        let record = Record { kind: Some(RecordKind::Ended(turn)), expiry_millis: expires };
        let kind = if self.is_voting() { ReplyKind::Done(true) } else { ReplyKind::NotVoting(true) };
        Step { commit: records_to_commit(record), reply: reply(kind) }
    }

    /// Returns the known part of a chain. Returns an empty chain only while voting at the current epoch.
    fn handle_find(&self, epoch: u64, find: &ChainRequest) -> Step {
        let chain = self.state.chain(&find.turn);
        if !chain.turns.is_empty() {
            return reply_only(ReplyKind::Chain(chain));
        }
        if !self.is_own_epoch(epoch) {
            return self.wrong_epoch();
        }
        reply_only(if self.is_voting() { ReplyKind::Chain(chain) } else { ReplyKind::NotVoting(true) })
    }

    /// Only a voting member of the newest version knows of every turn that its commit quorum recorded.
    fn handle_continuations(&self, epoch: u64, asked: &ContinuationsRequest, now: u64) -> Step {
        if epoch != self.group.epoch {
            return self.wrong_epoch();
        }
        reply_only(match self.is_voting() {
            true => ReplyKind::Continuations(self.state.continuations(&asked.turns, now)),
            false => ReplyKind::NotVoting(true),
        })
    }

    fn handle_page(&mut self, request: PageRequest, now: u64) -> Step {
        let newer = request.group.as_ref().and_then(Group::from_message);
        let commit = newer.and_then(|group| self.install(group));
        let kind = if self.is_voting() || is_broken(Rule::LedgerPagesAreComplete) {
            let detail = if request.keys_only { PageDetail::Keys } else { PageDetail::Whole };
            ReplyKind::Page(self.state.page(&request.after, detail, now))
        } else if self.has_never_voted() {
            ReplyKind::NeverVoted(true)
        } else {
            ReplyKind::NotVoting(true)
        };
        Step { commit: commit.into_iter().collect(), reply: reply(kind) }
    }

    fn handle_push(&mut self, push: Push, now: u64) -> Step {
        let newer = push.group.as_ref().and_then(Group::from_message);
        let mut commit: Vec<Record> = newer.and_then(|group| self.install(group)).into_iter().collect();
        commit.extend(self.merge_page(Page { records: push.records, ..Page::default() }, now));
        Step { commit, reply: reply(ReplyKind::Done(true)) }
    }

    /// Whether the replica accepts the request's group. A replica without a group accepts any, to learn of its own.
    fn is_own_group(&self, request: &LedgerRequest) -> bool {
        let is_group_independent =
            matches!(request.kind, Some(RequestKind::Status(_) | RequestKind::News(_)));
        is_group_independent || self.group.epoch == 0 || request.group == self.group.number
    }

    fn is_own_epoch(&self, epoch: u64) -> bool {
        epoch == self.group.epoch || is_broken(Rule::LedgerServesOwnEpoch)
    }

    /// Whether a sender that waits for this many replies waits for the group's commit quorum. Otherwise it must not count
    /// this replica: it would report as committed what a loss that the group tolerates could take away.
    fn waits_for_quorum(&mut self, awaited: u32, now: u64) -> bool {
        if awaited == 0 {
            self.majority_client_seen_at = Some(now);
        }
        let awaited = usize::try_from(awaited).unwrap_or(usize::MAX).max(self.group.majority());
        awaited >= self.group.commit_quorum() || is_broken(Rule::LedgerClientsAwaitQuorum)
    }

    /// Whether every client heard of lately counts the copies that the group asks for.
    pub fn counts_copies(&self, now: u64) -> bool {
        let seen_at = self.majority_client_seen_at;
        seen_at.is_none_or(|seen_at| seen_at.saturating_add(MAJORITY_CLIENT_MEMORY_MILLIS) <= now)
    }

    fn wrong_epoch(&self) -> Step {
        reply_only(ReplyKind::WrongEpoch(self.group.to_message()))
    }

    fn status(&self, now: u64) -> StatusReply {
        StatusReply {
            node: self.settings.node.clone(),
            is_voting: self.is_voting(),
            may_bootstrap: self.may_bootstrap(),
            group: (self.group.epoch > 0).then(|| self.group.to_message()),
            counts_copies: self.counts_copies(now),
            ..StatusReply::default()
        }
    }
}

fn reply(kind: ReplyKind) -> LedgerReply {
    LedgerReply { kind: Some(kind), ..LedgerReply::default() }
}

fn records_to_commit(record: Record) -> Vec<Record> {
    if is_broken(Rule::LedgerCommitsBeforeReply) { Vec::new() } else { vec![record] }
}

fn reply_only(kind: ReplyKind) -> Step {
    Step { commit: Vec::new(), reply: reply(kind) }
}

fn group_record(group: &Group) -> Record {
    Record { kind: Some(RecordKind::Group(group.to_message())), expiry_millis: 0 }
}

fn never_voted_record(joined: u64) -> Record {
    Record { kind: Some(RecordKind::Standing(Standing { joined, never_voted: true })), expiry_millis: 0 }
}

fn complete_record(joined: u64) -> Record {
    Record { kind: Some(RecordKind::Standing(Standing { joined, never_voted: false })), expiry_millis: 0 }
}
