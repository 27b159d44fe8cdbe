//! Log replication: sending, storing and committing entries.

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use super::{Action, Replica, Role, SNAPSHOT_RETRY_TIMEOUTS};
use crate::{AppendEntries, AppendReply, LogEntry, LogIndex, Message, ReplicaId};

impl Replica {
    pub(super) fn receive_append(&mut self, from: ReplicaId, append: AppendEntries, now: Timestamp) {
        self.follow_leader(from, now);
        let (membership, sent_at_micros) = (append.membership, append.sent_at_micros);
        let match_index = self.append_from_leader(append);
        let is_success = match_index.is_ok();
        let match_index = match_index.unwrap_or_else(|hint| hint);
        let term = self.term;
        let reply = AppendReply { term, is_success, match_index, membership, sent_at_micros };
        self.send(from, Message::AppendReply(reply));
    }

    pub(super) fn follow_leader(&mut self, leader: ReplicaId, now: Timestamp) {
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(self.term, Some(leader), now);
        }
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
    }

    /// Appends entries from the leader. Returns the index up to which the logs match, or a hint for the leader's next
    /// attempt as error.
    pub(super) fn append_from_leader(&mut self, append: AppendEntries) -> Result<LogIndex, LogIndex> {
        let last_new = append.previous_index + append.entries.len() as u64;
        if append.previous_index < self.log.base_index() {
            // Entries up to the base are committed and therefore match the leader's log.
            let base = self.log.base_index();
            let entries: Vec<LogEntry> =
                append.entries.into_iter().filter(|entry| entry.index > base).collect();
            self.store_entries(entries);
            self.commit_up_to(append.committed.min(last_new));
            return Ok(last_new.max(base));
        }
        if self.log.term_at(append.previous_index) != Some(append.previous_term) {
            return Err(self.conflict_hint(append.previous_index));
        }
        self.store_entries(append.entries);
        self.commit_up_to(append.committed.min(last_new));
        Ok(last_new)
    }

    pub(super) fn store_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.log.truncate_from(entry.index),
                None => {}
            }
            self.log.push(entry);
        }
    }

    pub(super) fn conflict_hint(&self, previous_index: LogIndex) -> LogIndex {
        previous_index.saturating_sub(1).min(self.log.last_index()).max(self.committed)
    }

    pub(super) fn commit_up_to(&mut self, index: LogIndex) {
        let index = index.min(self.log.last_index());
        while self.committed < index {
            self.committed += 1;
            if let Some(entry) = self.log.entry(self.committed) {
                self.actions.push(Action::Apply(entry.clone()));
            }
        }
        self.compact();
    }

    pub(super) fn compact(&mut self) {
        let retained = self.settings.retained_entries;
        if self.committed > self.log.base_index() + 2 * retained {
            self.log.compact(self.committed - retained);
        }
    }

    pub(super) fn receive_append_reply(&mut self, from: ReplicaId, reply: &AppendReply, now: Timestamp) {
        if self.role != Role::Leader {
            return;
        }
        let last_index = self.log.last_index();
        let Some(progress) = self.followers.get_mut(from) else { return };
        if progress.membership != reply.membership {
            return;
        }
        progress.acknowledged = progress.acknowledged.max(Timestamp(reply.sent_at_micros));
        if reply.is_success {
            progress.match_index = progress.match_index.max(reply.match_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_sent = None;
        } else {
            let next = (reply.match_index + 1).max(progress.match_index + 1);
            progress.next_index = next.min(last_index + 1);
        }
        let is_behind = progress.next_index <= last_index;
        // Sending again at once does not help a follower that lacks entries it has acknowledged.
        let has_lost_acknowledged_entries = !reply.is_success && reply.match_index < progress.match_index;
        self.advance_commit(now);
        if !has_lost_acknowledged_entries && (is_behind || !reply.is_success) {
            self.send_entries(from, now);
        }
        self.try_transfer();
    }

    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let own_last_index = self.log.last_index();
        let index = match is_broken(Rule::MajorityBeforeAcknowledgement) {
            true => own_last_index,
            false => self.followers.majority_index(self.configuration(), self.own_id, own_last_index),
        };
        // Only entries of the current term are committed by counting replicas; earlier ones are committed with them.
        if index <= self.committed || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit_up_to(index);
        if !self.is_established {
            self.is_established = true;
            self.actions.push(Action::BecameLeader { term: self.term });
        }
        self.leave_group_if_removed(now);
    }

    pub(super) fn send_entries_to_all(&mut self, now: Timestamp) {
        for replica in self.followers.replicas() {
            self.send_entries(replica, now);
        }
    }

    /// Sends the entries a follower lacks and advances `next_index` optimistically; a rejection resets it.
    pub(super) fn send_entries(&mut self, to: ReplicaId, now: Timestamp) {
        let Some(progress) = self.followers.get(to).copied() else { return };
        if self.is_snapshot_in_flight(progress.snapshot_sent, now) {
            return;
        }
        if progress.next_index <= self.log.base_index() {
            self.actions.push(Action::TakeSnapshot { to });
            return;
        }
        let limits = (self.settings.max_entries_in_message, self.settings.max_bytes_in_message);
        let entries = self.log.slice(progress.next_index, limits.0, limits.1);
        let sent = entries.len() as u64;
        self.send_append(to, progress.next_index - 1, entries, now);
        if let Some(progress) = self.followers.get_mut(to) {
            progress.next_index += sent;
        }
    }

    pub(super) fn is_snapshot_in_flight(&self, sent: Option<Timestamp>, now: Timestamp) -> bool {
        let retry_after = self.settings.election_timeout * SNAPSHOT_RETRY_TIMEOUTS;
        sent.is_some_and(|sent| now.since(sent) < retry_after)
    }

    /// Sends a heartbeat starting at the follower's match index, which also retransmits lost entries.
    pub(super) fn send_heartbeat(&mut self, to: ReplicaId, now: Timestamp) {
        let Some(progress) = self.followers.get_mut(to) else { return };
        if progress.snapshot_sent.is_none() && progress.match_index > 0 {
            progress.next_index = progress.match_index + 1;
        }
        progress.last_sent = now;
        self.send_entries(to, now);
    }

    pub(super) fn send_append(
        &mut self,
        to: ReplicaId,
        previous_index: LogIndex,
        entries: Vec<LogEntry>,
        now: Timestamp,
    ) {
        let Some(previous_term) = self.log.term_at(previous_index) else { return };
        let message = Message::AppendEntries(AppendEntries {
            term: self.term,
            previous_index,
            previous_term,
            membership: self.configuration().added_index(to),
            committed: self.committed,
            sent_at_micros: now.0,
            entries,
        });
        self.send(to, message);
        if let Some(progress) = self.followers.get_mut(to) {
            progress.last_sent = now;
        }
    }
}
