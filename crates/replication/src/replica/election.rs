//! Elections: requesting and granting votes, and role changes.

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use super::{Action, Replica, Role};
use crate::election::VoteTally;
use crate::progress::Followers;
use crate::{LogIndex, Message, Payload, ReplicaId, Term, VoteReply, VoteRequest};

impl Replica {
    pub(super) fn start_pre_vote(&mut self, now: Timestamp) {
        self.leader = None;
        let votes = VoteTally::with_own_vote(self.own_id);
        if votes.is_won(self.configuration()) {
            self.start_election(false, now);
            return;
        }
        self.pre_votes = Some(votes);
        self.request_votes(self.term + 1, true, false);
    }

    pub(super) fn start_election(&mut self, is_transfer: bool, now: Timestamp) {
        self.pre_votes = None;
        self.role = Role::Candidate;
        self.leader = None;
        self.term += 1;
        self.vote.grant(self.term, self.own_id);
        self.reset_election_deadline(now);
        let votes = VoteTally::with_own_vote(self.own_id);
        let is_won = votes.is_won(self.configuration());
        self.votes = Some(votes);
        if is_won {
            self.become_leader(now);
        } else {
            self.request_votes(self.term, false, is_transfer);
        }
    }

    pub(super) fn request_votes(&mut self, term: Term, is_pre_vote: bool, is_transfer: bool) {
        let request = VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_pre_vote,
            is_transfer,
        };
        let mut voters = self.configuration().voters.clone();
        voters.remove(&self.own_id);
        for voter in voters {
            self.send(voter, Message::VoteRequest(request.clone()));
        }
    }

    pub(super) fn receive_vote_request(&mut self, from: ReplicaId, request: &VoteRequest, now: Timestamp) {
        if self.is_removed_replica(from, request.last_index) {
            let last_index = request.last_index;
            self.send(from, Message::NotMember { term: self.term, last_index });
            return;
        }
        let own_log_end = (self.log.last_term(), self.log.last_index());
        let is_log_up_to_date = (request.last_term, request.last_index) >= own_log_end
            || is_broken(Rule::VoteOnlyForUpToDateLogs);
        let may_replace_leader = request.is_transfer || !self.has_recent_leader(now);
        let has_voted_for_other = !request.is_pre_vote && !self.vote.can_grant(request.term, from);
        let is_granted =
            request.term >= self.term && is_log_up_to_date && may_replace_leader && !has_voted_for_other;
        if is_granted && !request.is_pre_vote {
            self.vote.grant(request.term, from);
            self.reset_election_deadline(now);
        }
        let term = if is_granted { request.term } else { self.term };
        let reply = VoteReply { term, is_granted, is_pre_vote: request.is_pre_vote };
        self.send(from, Message::VoteReply(reply));
    }

    /// Whether the replica is known not to be a member.
    ///
    /// `false` if its log extends beyond the local commit index: it may have been added by an entry that is not
    /// yet known here.
    pub(super) fn is_removed_replica(&self, replica: ReplicaId, replica_last_index: LogIndex) -> bool {
        let committed = self.log.configuration_at(self.committed);
        let is_listed = committed.contains(replica) || self.configuration().contains(replica);
        self.committed > 0 && replica_last_index <= self.committed && !is_listed
    }

    pub(super) fn receive_vote_reply(&mut self, from: ReplicaId, reply: &VoteReply, now: Timestamp) {
        if !reply.is_granted {
            return;
        }
        let expected = if reply.is_pre_vote { self.term + 1 } else { self.term };
        if reply.term != expected {
            return;
        }
        let slot = if reply.is_pre_vote { &mut self.pre_votes } else { &mut self.votes };
        let Some(votes) = slot.as_mut() else { return };
        votes.grant(from);
        let is_won = slot.as_ref().is_some_and(|votes| votes.is_won(self.log.configuration_at(u64::MAX)));
        if !is_won {
            return;
        }
        if reply.is_pre_vote {
            self.start_election(false, now);
        } else if self.role == Role::Candidate {
            self.become_leader(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: Timestamp) {
        self.votes = None;
        self.pre_votes = None;
        self.role = Role::Leader;
        self.leader = Some(self.own_id);
        self.is_established = false;
        self.transfer_target = None;
        self.followers = Followers::default();
        self.update_followers(now);
        self.log.append(self.term, Payload::LeaderStarted);
        self.advance_commit(now);
        self.send_entries_to_all(now);
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Timestamp) {
        if self.role == Role::Leader {
            self.actions.push(Action::LostLeadership);
        }
        self.role = Role::Follower;
        self.term = term;
        self.leader = leader;
        self.votes = None;
        self.pre_votes = None;
        self.is_established = false;
        self.transfer_target = None;
        self.reset_election_deadline(now);
    }
}
