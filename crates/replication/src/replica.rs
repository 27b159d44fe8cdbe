//! A replica of a group.

mod appending;
mod election;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sumacdrift_types::Timestamp;

use crate::election::{VoteRecord, VoteTally, random_election_deadline};
use crate::log::Log;
use crate::progress::Followers;
use crate::{
    AppendEntries, AppendReply, Configuration, ConfigurationChange, InstallSnapshot, LogEntry, LogIndex,
    Message, Payload, ReplicaId, ReplicaSettings, Term, VoteReply,
};

/// Election timeouts after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RETRY_TIMEOUTS: u32 = 4;

/// Current role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one to be elected.
    Follower,
    /// Has started an election.
    Candidate,
    /// Leads the group.
    Leader,
    /// Was removed from the group; the driver may drop it.
    Removed,
}

/// Work for the driver, to be done in order.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a replica.
    Send { to: ReplicaId, message: Message },
    /// Apply a committed entry.
    Apply(LogEntry),
    /// Replace the state machine by this snapshot.
    Restore(Bytes),
    /// Take a snapshot of the state machine's current state and pass it to [`Replica::send_snapshot`].
    TakeSnapshot {
        /// The follower that needs it.
        to: ReplicaId,
    },
    /// This replica is now the leader. `Apply` actions for all entries committed so far precede this action.
    BecameLeader { term: Term },
    /// This replica is no longer the leader; its uncommitted proposals may or may not be committed later.
    LostLeadership,
}

/// Why a proposal was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica is the leader, or leadership is being transferred. The hint is `None` if no other leader is
    /// known.
    #[error("this replica is not the leader")]
    NotLeader(Option<ReplicaId>),
    /// An earlier membership change, or the first entry of this leader, is not yet committed.
    #[error("an earlier membership change is not yet committed")]
    ChangePending,
    /// The change has no effect or would remove the last voter.
    #[error("the membership change has no effect or would remove the last voter")]
    NoChange,
}

/// A replica of a group.
#[derive(Debug)]
pub struct Replica {
    own_id: ReplicaId,
    settings: ReplicaSettings,
    rng: ChaCha8Rng,
    role: Role,
    term: Term,
    vote: VoteRecord,
    log: Log,
    committed: LogIndex,
    leader: Option<ReplicaId>,
    /// Arrival time of the latest message from a leader.
    last_leader_contact: Timestamp,
    election_deadline: Timestamp,
    pre_votes: Option<VoteTally>,
    votes: Option<VoteTally>,
    followers: Followers,
    /// Whether an entry of this leader's own term has been committed.
    is_established: bool,
    transfer_target: Option<ReplicaId>,
    /// When a pending leadership transfer is cancelled.
    transfer_deadline: Timestamp,
    actions: Vec<Action>,
}

impl Replica {
    /// Creates an initial replica of a new group with this configuration.
    pub fn bootstrap(
        own_id: ReplicaId,
        configuration: Configuration,
        settings: ReplicaSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let election_deadline = random_election_deadline(&mut rng, settings.election_timeout, now);
        Self {
            own_id,
            settings,
            rng,
            role: Role::Follower,
            term: 0,
            vote: VoteRecord::default(),
            log: Log::with_configuration(configuration),
            committed: 0,
            leader: None,
            last_leader_contact: Timestamp::default(),
            election_deadline,
            pre_votes: None,
            votes: None,
            followers: Followers::default(),
            is_established: false,
            transfer_target: None,
            transfer_deadline: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Creates an empty replica that waits for a leader to send it the log.
    pub fn join(own_id: ReplicaId, settings: ReplicaSettings, seed: u64, now: Timestamp) -> Self {
        Self::bootstrap(own_id, Configuration::default(), settings, seed, now)
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader known to this replica.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The latest configuration in the log, committed or not.
    pub fn configuration(&self) -> &Configuration {
        self.log.configuration_at(self.log.last_index())
    }

    /// Commit index.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Index of the last entry, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Payload bytes held in the log.
    pub fn log_bytes(&self) -> usize {
        self.log.payload_bytes()
    }

    /// Whether this replica leads and has committed an entry of its own term, so that its state is up to date.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.is_established
    }

    /// Whether this replica holds the leader lease: no other leader can have been elected by `now`, so local reads
    /// are linearizable.
    ///
    /// A follower rejects elections for one election timeout after receiving a leader's message. The lease is
    /// counted from the sending of the acknowledged message and is shorter, so it ends first. Clocks need not
    /// agree but must run at about the same rate.
    pub fn has_lease(&self, now: Timestamp) -> bool {
        if !self.is_established_leader() || self.transfer_target.is_some() {
            return false;
        }
        let last_contact = self.followers.last_majority_contact(self.configuration(), self.own_id, now);
        now.since(last_contact) < self.settings.election_timeout.mul_f64(0.9)
    }

    /// Whether a follower's log is known to be at most `entries` behind the leader's. `false` for a follower that
    /// has acknowledged nothing, even if the log is short.
    pub fn is_caught_up(&self, replica: ReplicaId, entries: u64) -> bool {
        let Some(progress) = self.followers.get(replica) else { return false };
        progress.match_index > 0 && progress.match_index + entries >= self.log.last_index()
    }

    /// Takes the actions accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Appends commands to the log and replicates them.
    pub fn propose(
        &mut self,
        commands: impl IntoIterator<Item = Bytes>,
        now: Timestamp,
    ) -> Result<(), ProposeError> {
        self.ensure_leader()?;
        for command in commands {
            self.log.append(self.term, Payload::Command(command));
        }
        self.advance_commit(now);
        self.send_entries_to_all(now);
        Ok(())
    }

    /// Proposes a membership change.
    pub fn change_configuration(
        &mut self,
        change: ConfigurationChange,
        now: Timestamp,
    ) -> Result<(), ProposeError> {
        self.ensure_leader()?;
        if !self.is_established || self.log.latest_configuration_index() > self.committed {
            return Err(ProposeError::ChangePending);
        }
        let Some(next) = self.configuration().changed(change, self.log.last_index() + 1) else {
            return Err(ProposeError::NoChange);
        };
        self.log.append(self.term, Payload::Configuration(next));
        self.update_followers(now);
        self.advance_commit(now);
        self.send_entries_to_all(now);
        Ok(())
    }

    /// Starts a leadership transfer to the eligible voter with the longest matching log and returns that voter.
    pub fn transfer_leadership(
        &mut self,
        eligible: &dyn Fn(ReplicaId) -> bool,
        now: Timestamp,
    ) -> Option<ReplicaId> {
        if self.role != Role::Leader {
            return None;
        }
        let others = self.configuration().voters.iter().copied();
        let candidates = others.filter(|voter| *voter != self.own_id && eligible(*voter));
        let match_index =
            |voter: &ReplicaId| self.followers.get(*voter).map_or(0, |progress| progress.match_index);
        let target = candidates.max_by_key(match_index)?;
        self.transfer_target = Some(target);
        self.transfer_deadline = now + self.settings.election_timeout;
        self.try_transfer();
        Some(target)
    }

    /// Sends a snapshot requested by [`Action::TakeSnapshot`]. `index` is the last entry that the driver had applied
    /// when it took the snapshot.
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
            membership: self.configuration().added_index(to),
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

    /// Sends heartbeats or starts an election if they are due. To be called periodically.
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
        if !self.adopt_newer_term(&message, now) {
            self.reject_stale(from, &message);
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

    fn ensure_leader(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader || self.transfer_target.is_some() {
            return Err(ProposeError::NotLeader(self.leader.filter(|leader| *leader != self.own_id)));
        }
        Ok(())
    }

    fn tick_leader(&mut self, now: Timestamp) {
        let last_contact = self.followers.last_majority_contact(self.configuration(), self.own_id, now);
        if now.since(last_contact) > self.settings.election_timeout * 2 {
            // Check-quorum: without contact to a majority, another leader may have been elected.
            self.become_follower(self.term, None, now);
            return;
        }
        if now >= self.transfer_deadline {
            self.transfer_target = None;
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
        if self.configuration().is_voter(self.own_id) {
            self.start_pre_vote(now);
        }
    }

    /// Adopts the message's term if it is newer; `false` if the message is from an older term.
    fn adopt_newer_term(&mut self, message: &Message, now: Timestamp) -> bool {
        let term = message.term();
        if term < self.term {
            return false;
        }
        if term == self.term {
            return true;
        }
        match message {
            // Pre-vote requests and granted pre-votes carry a term that has not started yet.
            Message::VoteRequest(request) if request.is_pre_vote => {}
            Message::VoteReply(reply) if reply.is_pre_vote && reply.is_granted => {}
            // While the leader is alive, a candidate must not advance the term of its followers.
            Message::VoteRequest(request) if self.has_recent_leader(now) && !request.is_transfer => {}
            _ => self.become_follower(term, None, now),
        }
        true
    }

    fn reject_stale(&mut self, from: ReplicaId, message: &Message) {
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

    fn has_recent_leader(&self, now: Timestamp) -> bool {
        let is_fresh = now.since(self.last_leader_contact) < self.settings.election_timeout;
        self.role == Role::Leader || (self.leader.is_some() && is_fresh)
    }

    fn update_followers(&mut self, now: Timestamp) {
        let configuration = self.configuration().clone();
        let next_index = self.log.last_index() + 1;
        self.followers.update_members(&configuration, self.own_id, next_index, now);
    }

    fn leave_group_if_removed(&mut self, now: Timestamp) {
        let is_configuration_committed = self.log.latest_configuration_index() <= self.committed;
        if !is_configuration_committed || self.configuration().contains(self.own_id) {
            return;
        }
        self.send_entries_to_all(now);
        self.actions.push(Action::LostLeadership);
        self.role = Role::Removed;
    }

    fn receive_snapshot(&mut self, from: ReplicaId, snapshot: InstallSnapshot, now: Timestamp) {
        self.follow_leader(from, now);
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
        if self.configuration().is_voter(self.own_id) && self.role != Role::Leader {
            self.start_election(true, now);
        }
    }

    fn receive_not_member(&mut self, last_index: LogIndex) {
        // A replica that has received entries since its vote request was added again, and its leader may count
        // its acknowledgements.
        if self.role == Role::Leader || self.log.last_index() != last_index {
            return;
        }
        self.role = Role::Removed;
    }

    fn try_transfer(&mut self) {
        let Some(target) = self.transfer_target else { return };
        if self.is_caught_up(target, 0) {
            self.send(target, Message::TimeoutNow { term: self.term });
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    fn reset_election_deadline(&mut self, now: Timestamp) {
        self.election_deadline = random_election_deadline(&mut self.rng, self.settings.election_timeout, now);
    }
}
