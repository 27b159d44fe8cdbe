//! One replica: takes requests, says what must be made durable and what to answer then.

use std::collections::BTreeSet;

use sumacdrift_mutants::{Rule, is_broken};

use crate::group::{FOUNDING_EPOCH, Group};
use crate::map::GroupMap;
use crate::message::{
    Begin, ChainRequest, End, LedgerReply, LedgerRequest, Page, PageRequest, Push, Reading, Record,
    RecordKind, ReplyKind, RequestKind, Standing, StatusReply, StoredCopy,
};
use crate::state::{LedgerState, PageDetail};

/// What a replica is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Name of the node.
    pub node: String,
    /// Whether this is the first start of the whole system, when empty is all there is to know.
    pub is_first_start: bool,
}

/// What to do about a request: make the records durable, then answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Records to make durable, in this order.
    pub commit: Vec<Record>,
    /// The answer, which may be given only once they are.
    pub reply: LedgerReply,
}

/// A replica of the ledger.
#[derive(Debug, Clone)]
pub struct Replica {
    settings: ReplicaSettings,
    state: LedgerState,
    group: Group,
    complete_since: Option<u64>,
    never_voted_since: Option<u64>,
    is_leaving: bool,
    caught_up_with: BTreeSet<String>,
    never_voted: BTreeSet<String>,
}

impl Replica {
    /// A replica that knows nothing yet; replay its journal next, then call [`Replica::started`].
    pub fn new(settings: ReplicaSettings) -> Self {
        Self {
            settings,
            state: LedgerState::default(),
            group: Group::default(),
            complete_since: None,
            never_voted_since: None,
            is_leaving: false,
            caught_up_with: BTreeSet::new(),
            never_voted: BTreeSet::new(),
        }
    }

    /// Takes in a record of the replica's own journal.
    pub fn replay(&mut self, record: &Record) {
        match &record.kind {
            Some(RecordKind::Group(message)) => {
                if let Some(group) = Group::from_message(message) {
                    self.adopt(group);
                }
            }
            Some(RecordKind::Standing(standing)) if standing.never_voted => {
                self.never_voted_since = Some(standing.joined);
            }
            Some(RecordKind::Reading(reading)) => {
                if reading.epoch == self.group.epoch {
                    self.caught_up_with.extend(reading.sources.iter().cloned());
                }
            }
            Some(RecordKind::Standing(standing)) => {
                self.complete_since = Some(standing.joined);
            }
            _ => drop(self.state.merge(record)),
        }
    }

    /// Ends the replay; returns records to make durable.
    pub fn started(&mut self) -> Vec<Record> {
        if self.settings.is_first_start && self.complete_since.is_none() {
            return vec![self.complete(FOUNDING_EPOCH)];
        }
        Vec::new()
    }

    /// The node that the replica is on.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    /// The group that the replica knows.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// What the replica knows of programs.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// Whether the replica votes: it is a member, its records are complete, and it is not about to leave.
    pub fn is_voting(&self) -> bool {
        self.is_complete() && !self.is_leaving
    }

    /// Whether the replica is a member whose records are complete.
    fn is_complete(&self) -> bool {
        let member = self.group.member(&self.settings.node);
        member.is_some_and(|member| {
            self.complete_since == Some(member.joined) || is_broken(Rule::LedgerVoteNeedsRecords)
        })
    }

    /// Notes that the replica is about to ask for a seat as a new member, into no lost member's place: whoever joins at that
    /// epoch has never voted as that member. Returns the record to make durable before it asks, as the change may be made
    /// even where nobody answers.
    pub fn join_as_new(&mut self, epoch: u64) -> Record {
        self.never_voted_since = Some(epoch);
        never_voted_record(epoch)
    }

    /// Whether all records of any member were read at the group's epoch.
    pub fn has_read_any(&self) -> bool {
        !self.caught_up_with.is_empty()
    }

    /// Whether all records of a member were read at the group's epoch.
    pub fn has_read(&self, node: &str) -> bool {
        self.caught_up_with.contains(node)
    }

    /// Whether it is sure that the replica never voted as the member that it is.
    fn has_never_voted(&self) -> bool {
        if is_broken(Rule::LedgerNeverVotedIsTrue) {
            return !self.is_complete();
        }
        let member = self.group.member(&self.settings.node);
        let is_new = member.is_some_and(|member| self.never_voted_since == Some(member.joined));
        is_new && !self.is_complete()
    }

    /// Stops voting, or votes again: what a member hands over before it leaves must be all that it acknowledged.
    pub fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving && !is_broken(Rule::LedgerLeavesInSilence);
    }

    /// Whether the replica was never complete on this disk: the machine is new, or lost what it had.
    pub fn is_new(&self) -> bool {
        self.complete_since.is_none()
    }

    /// Whether the replica holds what it acknowledged as a founding member, and so may found a group.
    pub fn may_found(&self) -> bool {
        self.complete_since == Some(FOUNDING_EPOCH)
    }

    /// Whether the replica belongs to the group that it knows.
    pub fn is_member(&self) -> bool {
        self.group.member(&self.settings.node).is_some()
    }

    /// Answers a request at a time of day in milliseconds.
    pub fn handle(&mut self, request: LedgerRequest, now: u64) -> Step {
        if !self.is_own_group(&request) {
            // What another group decides is none of this replica's business.
            return answer(ReplyKind::NotVoting(true));
        }
        match request.kind {
            Some(RequestKind::Begin(begin)) => self.begin(request.epoch, begin, now),
            Some(RequestKind::End(end)) => self.end(request.epoch, end, now),
            Some(RequestKind::Chain(chain)) => answer(ReplyKind::Chain(self.state.chain(&chain.turn))),
            Some(RequestKind::Page(page)) => self.page(page, now),
            Some(RequestKind::Push(push)) => self.push(push, now),
            Some(RequestKind::Contents(contents)) => {
                answer(ReplyKind::Page(self.state.contents(&contents.turns, now)))
            }
            Some(RequestKind::Install(group)) => {
                let commit = Group::from_message(&group).and_then(|group| self.install(group));
                Step { commit: commit.into_iter().collect(), reply: reply(ReplyKind::Done(true)) }
            }
            Some(RequestKind::Status(_)) => answer(ReplyKind::Status(self.status())),
            Some(RequestKind::Find(find)) => self.find(request.epoch, &find),
            Some(RequestKind::News(_)) => answer(ReplyKind::Done(true)),
            Some(RequestKind::Map(_)) => {
                answer(ReplyKind::Failed("a replica knows only its group".to_owned()))
            }
            Some(RequestKind::Quota(_) | RequestKind::QuotaTotals(_)) => {
                answer(ReplyKind::Failed("a replica counts no calls".to_owned()))
            }
            Some(RequestKind::Stopping(_)) => {
                answer(ReplyKind::Failed("a replica watches no other".to_owned()))
            }
            None => answer(ReplyKind::Failed("the request is empty".to_owned())),
        }
    }

    /// Adopts a newer version of the replica's group; returns the record to make durable.
    pub fn install(&mut self, group: Group) -> Option<Record> {
        let is_other = self.group.epoch > 0 && group.number != self.group.number;
        if is_other || group.epoch <= self.group.epoch {
            return None;
        }
        let record = group_record(&group);
        self.adopt(group);
        Some(record)
    }

    /// Adopts what a map of all groups says of this node: the newer version of its group, or the group in which it has a
    /// seat now. Returns the record to make durable.
    pub fn follow_map(&mut self, map: &GroupMap) -> Option<Record> {
        let known = map.group(self.group.number);
        if known.is_some_and(|known| known.epoch < self.group.epoch) {
            // The map is older than what is known here.
            return None;
        }
        if let Some(seat) = map.seat_of(&self.settings.node) {
            return self.switch_to(Group::clone(seat));
        }
        let has_group = self.group.epoch > 0;
        known.filter(|_| has_group).and_then(|known| self.install(Group::clone(known)))
    }

    /// Becomes a replica of another group, which the group that it knows has let go; what it knew of that one's
    /// programs is forgotten. Returns the record to make durable.
    pub fn switch_to(&mut self, group: Group) -> Option<Record> {
        if group.number == self.group.number || self.group.epoch == 0 {
            return self.install(group);
        }
        let record = group_record(&group);
        self.adopt(group);
        Some(record)
    }

    /// Other members whose records must still be read before this replica may vote.
    pub fn sources_left(&self) -> usize {
        if self.is_complete() {
            return 0;
        }
        let mut never_voted = self.never_voted.clone();
        if self.has_never_voted() {
            never_voted.insert(self.settings.node.clone());
        }
        let read = self.caught_up_with.iter().filter(|node| self.group.member(node).is_some()).count();
        self.group.sources_besides(&never_voted, &self.settings.node).saturating_sub(read)
    }

    /// Takes in a page of another member; returns the records that are new and must be made durable.
    pub fn take_page(&mut self, page: Page, now: u64) -> Vec<Record> {
        let arrived = page.records.into_iter().map(|record| record.arrived(now));
        arrived.filter(|record| self.state.merge(record)).collect()
    }

    /// Of the kept turns that a page only names, those whose content is not known here.
    pub fn lacking(&self, page: &Page) -> Vec<String> {
        page.kept_turns.iter().filter(|turn| !self.state.keeps(turn)).cloned().collect()
    }

    /// Notes that all records of a member were read at an epoch, and are durable. Returns the record to make durable: of
    /// what has been read, or the one that makes the replica a voter once enough members were.
    pub fn source_read(&mut self, node: &str, epoch: u64) -> Option<Record> {
        let joined = self.group.member(&self.settings.node).map(|member| member.joined)?;
        if !self.may_catch_up(epoch) {
            return None;
        }
        self.caught_up_with.insert(node.to_owned());
        Some(if self.sources_left() == 0 { self.complete(joined) } else { self.reading_record() })
    }

    /// Notes that a member said, at an epoch, that it has never voted. Returns the record that makes the replica a
    /// voter, if no more members need to be read.
    pub fn source_never_voted(&mut self, node: &str, epoch: u64) -> Option<Record> {
        let joined = self.group.member(&self.settings.node).map(|member| member.joined)?;
        if !self.may_catch_up(epoch) {
            return None;
        }
        self.never_voted.insert(node.to_owned());
        let has_read = !self.caught_up_with.is_empty();
        (has_read && self.sources_left() == 0).then(|| self.complete(joined))
    }

    fn may_catch_up(&self, epoch: u64) -> bool {
        let is_this_epoch = epoch == self.group.epoch || is_broken(Rule::LedgerReadsThisEpoch);
        is_this_epoch && !self.is_complete()
    }

    /// Keeps a copy of what another system holds if it is newer; returns the record to make durable.
    pub fn keep(&mut self, copy: StoredCopy) -> Option<Record> {
        let is_newer = self.state.keep(&copy);
        is_newer.then_some(Record { kind: Some(RecordKind::Copy(copy)), expiry_millis: 0 })
    }

    /// Forgets what has expired by a time of day.
    pub fn expire(&mut self, now: u64) {
        self.state.expire(now);
    }

    /// Everything that must be written again before older segments of the journal may go.
    pub fn snapshot(&self, now: u64) -> Vec<Record> {
        let mut records = vec![group_record(&self.group)];
        records.extend(self.complete_since.map(standing_record));
        records.extend(self.never_voted_since.map(never_voted_record));
        if self.has_read_any() {
            records.push(self.reading_record());
        }
        let mut after = String::new();
        loop {
            let page = self.state.page(&after, PageDetail::Whole, now);
            records.extend(page.records.into_iter().map(|record| record.arrived(now)));
            if page.next.is_empty() {
                return records;
            }
            after = page.next;
        }
    }

    fn complete(&mut self, joined: u64) -> Record {
        self.complete_since = Some(joined);
        standing_record(joined)
    }

    /// Which members were read so far. A second disk that is lost meanwhile may be the one that was read.
    fn reading_record(&self) -> Record {
        let sources = self.caught_up_with.iter().cloned().collect();
        let reading = Reading { epoch: self.group.epoch, sources };
        Record { kind: Some(RecordKind::Reading(reading)), expiry_millis: 0 }
    }

    fn adopt(&mut self, group: Group) {
        if group.number != self.group.number && self.group.epoch > 0 {
            self.state.forget_programs();
            self.complete_since = None;
            self.never_voted_since = None;
            self.is_leaving = false;
            self.group = Group::default();
        }
        if group.epoch > self.group.epoch {
            self.group = group;
            // What was read under an earlier group may lack what was acknowledged since.
            if !is_broken(Rule::LedgerReadsThisEpoch) {
                self.caught_up_with.clear();
                self.never_voted.clear();
            }
        }
    }

    fn begin(&mut self, epoch: u64, begin: Begin, now: u64) -> Step {
        let Some(turn) = begin.turn else { return answer(ReplyKind::Failed("no turn".to_owned())) };
        if !self.is_own_epoch(epoch) {
            return self.wrong_epoch();
        }
        let vote = self.state.vote(&turn, begin.budget_tokens, &begin.previous, begin.wants_chain);
        let expires = self.state.begin(&turn, now);
        let record = Record { kind: Some(RecordKind::Begun(turn)), expiry_millis: expires };
        let kind = if self.is_voting() { ReplyKind::Vote(vote) } else { ReplyKind::NotVoting(true) };
        Step { commit: durable(record), reply: reply(kind) }
    }

    fn end(&mut self, epoch: u64, end: End, now: u64) -> Step {
        let Some(turn) = end.turn else { return answer(ReplyKind::Failed("no turn".to_owned())) };
        if !self.is_own_epoch(epoch) {
            return self.wrong_epoch();
        }
        let expires = self.state.end(&turn, now);
        let record = Record { kind: Some(RecordKind::Ended(turn)), expiry_millis: expires };
        let kind = if self.is_voting() { ReplyKind::Done(true) } else { ReplyKind::NotVoting(true) };
        Step { commit: durable(record), reply: reply(kind) }
    }

    /// Tells a chain, or for certain that its newest turn is not known here.
    fn find(&self, epoch: u64, find: &ChainRequest) -> Step {
        let chain = self.state.chain(&find.turn);
        if !chain.turns.is_empty() {
            return answer(ReplyKind::Chain(chain));
        }
        if !self.is_own_epoch(epoch) {
            return self.wrong_epoch();
        }
        answer(if self.is_voting() { ReplyKind::Chain(chain) } else { ReplyKind::NotVoting(true) })
    }

    fn page(&mut self, request: PageRequest, now: u64) -> Step {
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

    fn push(&mut self, push: Push, now: u64) -> Step {
        let newer = push.group.as_ref().and_then(Group::from_message);
        let mut commit: Vec<Record> = newer.and_then(|group| self.install(group)).into_iter().collect();
        commit.extend(self.take_page(Page { records: push.records, ..Page::default() }, now));
        Step { commit, reply: reply(ReplyKind::Done(true)) }
    }

    /// Whether a request is for the replica's group; a replica without one learns of its group by requests.
    fn is_own_group(&self, request: &LedgerRequest) -> bool {
        let is_about_the_node = matches!(request.kind, Some(RequestKind::Status(_) | RequestKind::News(_)));
        is_about_the_node || self.group.epoch == 0 || request.group == self.group.number
    }

    fn is_own_epoch(&self, epoch: u64) -> bool {
        epoch == self.group.epoch || is_broken(Rule::LedgerServesOwnEpoch)
    }

    fn wrong_epoch(&self) -> Step {
        answer(ReplyKind::WrongEpoch(self.group.to_message()))
    }

    fn status(&self) -> StatusReply {
        StatusReply {
            node: self.settings.node.clone(),
            is_voting: self.is_voting(),
            may_found: self.may_found(),
            group: (self.group.epoch > 0).then(|| self.group.to_message()),
            ..StatusReply::default()
        }
    }
}

fn reply(kind: ReplyKind) -> LedgerReply {
    LedgerReply { kind: Some(kind), ..LedgerReply::default() }
}

fn durable(record: Record) -> Vec<Record> {
    if is_broken(Rule::LedgerCommitsBeforeReply) { Vec::new() } else { vec![record] }
}

fn answer(kind: ReplyKind) -> Step {
    Step { commit: Vec::new(), reply: reply(kind) }
}

fn group_record(group: &Group) -> Record {
    Record { kind: Some(RecordKind::Group(group.to_message())), expiry_millis: 0 }
}

fn never_voted_record(joined: u64) -> Record {
    Record { kind: Some(RecordKind::Standing(Standing { joined, never_voted: true })), expiry_millis: 0 }
}

fn standing_record(joined: u64) -> Record {
    Record { kind: Some(RecordKind::Standing(Standing { joined, never_voted: false })), expiry_millis: 0 }
}
