//! One replica of a group.

mod appending;
mod election;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sumacdrift_types::Timestamp;

use crate::election::{Ballot, Vote, random_deadline};
use crate::log::Log;
use crate::progress::Followers;
use crate::{
    AppendEntries, AppendReply, Configuration, ConfigurationChange, InstallSnapshot, LogEntry, LogIndex,
    Message, Payload, ReplicaId, ReplicaSettings, Term, VoteReply,
};

/// A snapshot that is not acknowledged is sent again after this many election timeouts.
const SNAPSHOT_RETRY_TIMEOUTS: u32 = 4;

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
    /// Was removed from the group and may be dropped.
    Removed,
}

/// What the driver must do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: ReplicaId,
        /// What.
        message: Message,
    },
    /// Apply a committed entry.
    Apply(LogEntry),
    /// Replace the state machine by a snapshot.
    Restore(Bytes),
    /// Take a snapshot of the state machine as it is now and pass it to [`Replica::send_snapshot`].
    TakeSnapshot {
        /// Who needs it.
        to: ReplicaId,
    },
    /// This replica leads from now on. Everything committed before has been applied.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This replica no longer leads; what it proposed may or may not be committed.
    LostLeadership,
}

/// A proposal was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, if the hint knows it.
    #[error("this replica does not lead")]
    NotLeader(Option<ReplicaId>),
    /// An earlier change of the configuration is not committed yet.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The change would change nothing or remove the last voter.
    #[error("the membership change does not apply")]
    NoChange,
}

/// One replica of one group.
#[derive(Debug)]
pub struct Replica {
    own: ReplicaId,
    settings: ReplicaSettings,
    random: ChaCha8Rng,
    role: Role,
    term: Term,
    vote: Vote,
    log: Log,
    committed: LogIndex,
    leader: Option<ReplicaId>,
    /// When a message of the current leader last arrived.
    leader_heard: Timestamp,
    election_deadline: Timestamp,
    pre_ballot: Option<Ballot>,
    ballot: Option<Ballot>,
    followers: Followers,
    /// Whether an entry of the leader's own term is committed.
    is_established: bool,
    transfer_to: Option<ReplicaId>,
    /// When an unanswered transfer is given up.
    transfer_deadline: Timestamp,
    actions: Vec<Action>,
}

impl Replica {
    /// A replica of a new group, whose founders are the configuration's voters.
    pub fn found(
        own: ReplicaId,
        configuration: Configuration,
        settings: ReplicaSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let election_deadline = random_deadline(&mut random, settings.election_timeout, now);
        Self {
            own,
            settings,
            random,
            role: Role::Follower,
            term: 0,
            vote: Vote::default(),
            log: Log::starting_with(configuration),
            committed: 0,
            leader: None,
            leader_heard: Timestamp::default(),
            election_deadline,
            pre_ballot: None,
            ballot: None,
            followers: Followers::default(),
            is_established: false,
            transfer_to: None,
            transfer_deadline: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// A replica that knows nothing and waits for a leader to send it the log.
    pub fn join(own: ReplicaId, settings: ReplicaSettings, seed: u64, now: Timestamp) -> Self {
        Self::found(own, Configuration::default(), settings, seed, now)
    }

    /// What the replica is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whom the replica takes for the leader.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.log.configuration_at(self.log.last_index())
    }

    /// How far the log is committed.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// End of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Payload bytes held in the log.
    pub fn log_bytes(&self) -> usize {
        self.log.payload_bytes()
    }

    /// Whether this replica leads and has committed an entry of its own term, so that its state is current.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.is_established
    }

    /// Whether no other leader can have been elected by `now`, so that reading local state is safe.
    ///
    /// A follower refuses elections for one election timeout after a leader's message, and the lease counts
    /// from when the acknowledged message was sent, so it ends before any follower's refusal does. Clocks
    /// need not agree; they must only run at about the same speed.
    pub fn has_lease(&self, now: Timestamp) -> bool {
        if !self.is_established_leader() || self.transfer_to.is_some() {
            return false;
        }
        let contact = self.followers.majority_contact(self.configuration(), self.own, now);
        now.since(contact) < self.settings.election_timeout.mul_f64(0.9)
    }

    /// Whether a follower's log is within `entries` of the leader's. One that has acknowledged nothing is not,
    /// however short the log: it may not even exist.
    pub fn is_caught_up(&self, replica: ReplicaId, entries: u64) -> bool {
        let Some(progress) = self.followers.get(replica) else { return false };
        progress.match_index > 0 && progress.match_index + entries >= self.log.last_index()
    }

    /// Takes the actions that have come together.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Proposes changes of the state machine.
    pub fn propose(
        &mut self,
        commands: impl IntoIterator<Item = Bytes>,
        now: Timestamp,
    ) -> Result<(), ProposeError> {
        self.check_leads()?;
        for command in commands {
            self.log.append(self.term, Payload::Command(command));
        }
        self.advance_commit(now);
        self.send_to_all(now);
        Ok(())
    }

    /// Proposes one step of membership change.
    pub fn change_configuration(
        &mut self,
        change: ConfigurationChange,
        now: Timestamp,
    ) -> Result<(), ProposeError> {
        self.check_leads()?;
        if !self.is_established || self.log.latest_configuration_index() > self.committed {
            return Err(ProposeError::ChangePending);
        }
        let Some(next) = self.configuration().changed(change, self.log.last_index() + 1) else {
            return Err(ProposeError::NoChange);
        };
        self.log.append(self.term, Payload::Configuration(next));
        self.follow_configuration(now);
        self.advance_commit(now);
        self.send_to_all(now);
        Ok(())
    }

    /// Hands leadership to a voter, preferably one that is caught up. Returns whom, if there is one.
    pub fn transfer_leadership(
        &mut self,
        eligible: &dyn Fn(ReplicaId) -> bool,
        now: Timestamp,
    ) -> Option<ReplicaId> {
        if self.role != Role::Leader {
            return None;
        }
        let others = self.configuration().voters.iter().copied();
        let candidates = others.filter(|voter| *voter != self.own && eligible(*voter));
        let match_index = |voter: &ReplicaId| self.followers.get(*voter).map_or(0, |one| one.match_index);
        let target = candidates.max_by_key(match_index)?;
        self.transfer_to = Some(target);
        self.transfer_deadline = now + self.settings.election_timeout;
        self.try_transfer();
        Some(target)
    }

    /// Passes on a snapshot that was asked for by [`Action::TakeSnapshot`]; it holds everything up to and
    /// including the entry `index`, the last that the driver applied.
    pub fn send_snapshot(&mut self, to: ReplicaId, index: LogIndex, data: Bytes, now: Timestamp) {
        if self.role != Role::Leader {
            return;
        }
        let Some(index_term) = self.log.term_at(index) else { return };
        let message = Message::InstallSnapshot(InstallSnapshot {
            term: self.term,
            index,
            index_term,
            configuration: self.log.configuration_at(index).clone(),
            membership: self.configuration().added_at(to),
            sent_at_micros: now.0,
            data,
        });
        self.send(to, message);
        if let Some(progress) = self.followers.get_mut(to) {
            progress.next_index = index + 1;
            progress.last_sent = now;
            progress.snapshot_sent = Some(now);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::Candidate => self.tick_follower(now),
            Role::Removed => {}
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        if self.role == Role::Removed {
            return;
        }
        if !self.adopt_term(&message, now) {
            self.refuse_stale(from, &message);
            return;
        }
        match message {
            Message::VoteRequest(request) => self.receive_vote_request(from, &request, now),
            Message::VoteReply(reply) => self.receive_vote_reply(from, &reply, now),
            Message::AppendEntries(append) => self.receive_append(from, append, now),
            Message::AppendReply(reply) => self.receive_append_reply(from, &reply, now),
            Message::InstallSnapshot(snapshot) => self.receive_snapshot(from, snapshot, now),
            Message::TimeoutNow { .. } => self.receive_timeout_now(now),
            Message::NotMember { last_index, .. } => self.receive_not_member(last_index),
        }
    }

    fn check_leads(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader || self.transfer_to.is_some() {
            return Err(ProposeError::NotLeader(self.leader.filter(|leader| *leader != self.own)));
        }
        Ok(())
    }

    fn tick_leader(&mut self, now: Timestamp) {
        let contact = self.followers.majority_contact(self.configuration(), self.own, now);
        if now.since(contact) > self.settings.election_timeout * 2 {
            // Cut off from the majority: another leader may have been elected by now.
            self.become_follower(self.term, None, now);
            return;
        }
        if now >= self.transfer_deadline {
            self.transfer_to = None;
        }
        for replica in self.followers.replicas() {
            let last_sent = self.followers.get(replica).map_or(now, |progress| progress.last_sent);
            if now.since(last_sent) >= self.settings.heartbeat_interval {
                self.send_heartbeat(replica, now);
            }
        }
    }

    fn tick_follower(&mut self, now: Timestamp) {
        if now < self.election_deadline {
            return;
        }
        self.reset_election_deadline(now);
        if self.configuration().is_voter(self.own) {
            self.start_pre_vote(now);
        }
    }

    /// Takes over a newer term; `false` where the message is from an older one.
    fn adopt_term(&mut self, message: &Message, now: Timestamp) -> bool {
        let term = message.term();
        if term < self.term {
            return false;
        }
        if term == self.term {
            return true;
        }
        match message {
            // A pre-vote asks about a term that nobody has entered yet, and so does its granting.
            Message::VoteRequest(request) if request.is_pre_vote => {}
            Message::VoteReply(reply) if reply.is_pre_vote && reply.is_granted => {}
            // While a leader is alive, a candidate can't force a new term on its followers.
            Message::VoteRequest(request) if self.hears_leader(now) && !request.is_transfer => {}
            _ => self.become_follower(term, None, now),
        }
        true
    }

    fn refuse_stale(&mut self, from: ReplicaId, message: &Message) {
        let term = self.term;
        let reply = match message {
            Message::VoteRequest(request) => {
                Message::VoteReply(VoteReply { term, is_granted: false, is_pre_vote: request.is_pre_vote })
            }
            Message::AppendEntries(AppendEntries { membership, sent_at_micros, .. })
            | Message::InstallSnapshot(InstallSnapshot { membership, sent_at_micros, .. }) => {
                Message::AppendReply(AppendReply {
                    term,
                    is_success: false,
                    match_index: 0,
                    membership: *membership,
                    sent_at_micros: *sent_at_micros,
                })
            }
            _ => return,
        };
        self.send(from, reply);
    }

    fn hears_leader(&self, now: Timestamp) -> bool {
        let is_fresh = now.since(self.leader_heard) < self.settings.election_timeout;
        self.role == Role::Leader || (self.leader.is_some() && is_fresh)
    }

    fn follow_configuration(&mut self, now: Timestamp) {
        let configuration = self.configuration().clone();
        let next_index = self.log.last_index() + 1;
        self.followers.follow(&configuration, self.own, next_index, now);
    }

    fn leave_if_removed(&mut self, now: Timestamp) {
        let is_settled = self.log.latest_configuration_index() <= self.committed;
        if !is_settled || self.configuration().contains(self.own) {
            return;
        }
        self.send_to_all(now);
        self.actions.push(Action::LostLeadership);
        self.role = Role::Removed;
    }

    fn receive_snapshot(&mut self, from: ReplicaId, snapshot: InstallSnapshot, now: Timestamp) {
        self.accept_leader(from, now);
        if snapshot.index > self.committed {
            self.log.reset(snapshot.index, snapshot.index_term, snapshot.configuration);
            self.committed = snapshot.index;
            self.actions.push(Action::Restore(snapshot.data));
        }
        let reply = AppendReply {
            term: self.term,
            is_success: true,
            match_index: snapshot.index,
            membership: snapshot.membership,
            sent_at_micros: snapshot.sent_at_micros,
        };
        self.send(from, Message::AppendReply(reply));
    }

    fn receive_timeout_now(&mut self, now: Timestamp) {
        if self.configuration().is_voter(self.own) && self.role != Role::Leader {
            self.start_election(true, now);
        }
    }

    fn receive_not_member(&mut self, last_index: LogIndex) {
        // Whoever received entries since it asked was added again; its leader counts on what it holds.
        if self.role == Role::Leader || self.log.last_index() != last_index {
            return;
        }
        self.role = Role::Removed;
    }

    fn try_transfer(&mut self) {
        let Some(target) = self.transfer_to else { return };
        if self.is_caught_up(target, 0) {
            self.send(target, Message::TimeoutNow { term: self.term });
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    fn reset_election_deadline(&mut self, now: Timestamp) {
        self.election_deadline = random_deadline(&mut self.random, self.settings.election_timeout, now);
    }
}
