//! Votes: asking for them, giving them, and what winning or losing makes of a replica.

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use super::{Action, Replica, Role};
use crate::election::Ballot;
use crate::progress::Followers;
use crate::{LogIndex, Message, Payload, ReplicaId, Term, VoteReply, VoteRequest};

impl Replica {
    pub(super) fn start_pre_vote(&mut self, now: Timestamp) {
        self.leader = None;
        let ballot = Ballot::with_own(self.own);
        if ballot.is_won(self.configuration()) {
            self.start_election(false, now);
            return;
        }
        self.pre_ballot = Some(ballot);
        self.ask_for_votes(self.term + 1, true, false);
    }

    pub(super) fn start_election(&mut self, is_transfer: bool, now: Timestamp) {
        self.pre_ballot = None;
        self.role = Role::Candidate;
        self.leader = None;
        self.term += 1;
        self.vote.give(self.term, self.own);
        self.reset_election_deadline(now);
        let ballot = Ballot::with_own(self.own);
        let is_won = ballot.is_won(self.configuration());
        self.ballot = Some(ballot);
        if is_won {
            self.become_leader(now);
        } else {
            self.ask_for_votes(self.term, false, is_transfer);
        }
    }

    pub(super) fn ask_for_votes(&mut self, term: Term, is_pre_vote: bool, is_transfer: bool) {
        let request = VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_pre_vote,
            is_transfer,
        };
        let mut voters = self.configuration().voters.clone();
        voters.remove(&self.own);
        for voter in voters {
            self.send(voter, Message::VoteRequest(request.clone()));
        }
    }

    pub(super) fn receive_vote_request(&mut self, from: ReplicaId, request: &VoteRequest, now: Timestamp) {
        if self.is_known_outsider(from, request.last_index) {
            let last_index = request.last_index;
            self.send(from, Message::NotMember { term: self.term, last_index });
            return;
        }
        let own_end = (self.log.last_term(), self.log.last_index());
        let is_log_current =
            (request.last_term, request.last_index) >= own_end || is_broken(Rule::VoteForLongLogsOnly);
        let is_free = request.is_transfer || !self.hears_leader(now);
        let is_promised = !request.is_pre_vote && !self.vote.may_give(request.term, from);
        let is_granted = request.term >= self.term && is_log_current && is_free && !is_promised;
        if is_granted && !request.is_pre_vote {
            self.vote.give(request.term, from);
            self.reset_election_deadline(now);
        }
        let term = if is_granted { request.term } else { self.term };
        let reply = VoteReply { term, is_granted, is_pre_vote: request.is_pre_vote };
        self.send(from, Message::VoteReply(reply));
    }

    /// Whether the replica was removed by a configuration that is committed here.
    ///
    /// A replica whose log reaches beyond what is committed here may have been added by an entry that this
    /// one does not know yet, so it is given the benefit of the doubt.
    pub(super) fn is_known_outsider(&self, replica: ReplicaId, its_last_index: LogIndex) -> bool {
        let committed = self.log.configuration_at(self.committed);
        let is_listed = committed.contains(replica) || self.configuration().contains(replica);
        self.committed > 0 && its_last_index <= self.committed && !is_listed
    }

    pub(super) fn receive_vote_reply(&mut self, from: ReplicaId, reply: &VoteReply, now: Timestamp) {
        if !reply.is_granted {
            return;
        }
        let expected = if reply.is_pre_vote { self.term + 1 } else { self.term };
        if reply.term != expected {
            return;
        }
        let slot = if reply.is_pre_vote { &mut self.pre_ballot } else { &mut self.ballot };
        let Some(ballot) = slot.as_mut() else { return };
        ballot.grant(from);
        let is_won = slot.as_ref().is_some_and(|ballot| ballot.is_won(self.log.configuration_at(u64::MAX)));
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
        self.ballot = None;
        self.pre_ballot = None;
        self.role = Role::Leader;
        self.leader = Some(self.own);
        self.is_established = false;
        self.transfer_to = None;
        self.followers = Followers::default();
        self.follow_configuration(now);
        self.log.append(self.term, Payload::LeaderStarted);
        self.advance_commit(now);
        self.send_to_all(now);
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Timestamp) {
        if self.role == Role::Leader {
            self.actions.push(Action::LostLeadership);
        }
        self.role = Role::Follower;
        self.term = term;
        self.leader = leader;
        self.ballot = None;
        self.pre_ballot = None;
        self.is_established = false;
        self.transfer_to = None;
        self.reset_election_deadline(now);
    }
}
