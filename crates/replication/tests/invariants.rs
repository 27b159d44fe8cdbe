//! Protocol invariants, checked on single replicas.

use std::time::Duration;

use sumacdrift_replication::{
    Action, AppendEntries, AppendReply, Configuration, Message, Replica, ReplicaId, ReplicaSettings, Role,
    VoteReply, VoteRequest,
};
use sumacdrift_types::{Incarnation, NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn replica_id(node: u32) -> ReplicaId {
    ReplicaId { node: NodeId(node), incarnation: Incarnation(1) }
}

fn new_replica(node: u32) -> Replica {
    let voters = Configuration::of_voters([replica_id(1), replica_id(2), replica_id(3)]);
    Replica::bootstrap(replica_id(node), voters, ReplicaSettings::default(), u64::from(node), START)
}

fn vote_request(term: u64) -> Message {
    let request = VoteRequest { term, last_index: 0, last_term: 0, is_pre_vote: false, is_transfer: false };
    Message::VoteRequest(request)
}

fn heartbeat(term: u64, now: Timestamp) -> Message {
    Message::AppendEntries(AppendEntries {
        term,
        previous_index: 0,
        previous_term: 0,
        membership: 0,
        committed: 0,
        sent_at_micros: now.0,
        entries: Vec::new(),
    })
}

/// Whether the replica's pending actions grant a vote.
fn has_granted_vote(replica: &mut Replica) -> bool {
    replica.take_actions().iter().any(|action| {
        matches!(action, Action::Send { message: Message::VoteReply(VoteReply { is_granted: true, .. }), .. })
    })
}

/// Returns an elected leader whose first entry is committed, and advances `now` to the election.
fn elected_leader(now: &mut Timestamp) -> Replica {
    let mut leader = new_replica(1);
    while leader.role() != Role::Leader {
        *now = *now + Duration::from_millis(100);
        leader.tick(*now);
        for action in leader.take_actions() {
            if let Action::Send { to, message: Message::VoteRequest(request) } = action {
                let reply =
                    VoteReply { term: request.term, is_granted: true, is_pre_vote: request.is_pre_vote };
                leader.receive(to, Message::VoteReply(reply), *now);
            }
        }
    }
    acknowledge(&mut leader, 1, *now);
    leader
}

fn acknowledge(leader: &mut Replica, match_index: u64, sent: Timestamp) {
    let reply = AppendReply {
        term: leader.term(),
        is_success: true,
        match_index,
        membership: 0,
        sent_at_micros: sent.0,
    };
    leader.receive(replica_id(2), Message::AppendReply(reply), sent);
    leader.take_actions();
}

#[test]
fn replica_grants_one_vote_per_term() {
    let mut voter = new_replica(3);
    voter.receive(replica_id(1), vote_request(5), START);
    assert!(has_granted_vote(&mut voter));
    voter.receive(replica_id(2), vote_request(5), START);
    assert!(!has_granted_vote(&mut voter), "a second candidate was granted a vote in the same term");
    voter.receive(replica_id(1), vote_request(5), START);
    assert!(has_granted_vote(&mut voter), "the vote is granted again to the same candidate");
    voter.receive(replica_id(2), vote_request(6), START);
    assert!(has_granted_vote(&mut voter), "a new term has a new vote");
}

#[test]
fn follower_of_live_leader_rejects_candidates() {
    let mut follower = new_replica(3);
    follower.receive(replica_id(1), heartbeat(4, START), START);
    follower.take_actions();
    let soon = START + Duration::from_millis(100);
    follower.receive(replica_id(2), vote_request(9), soon);
    assert!(!has_granted_vote(&mut follower));
    assert_eq!(follower.term(), 4, "a candidate must not advance the term while the leader is alive");
    let late = START + Duration::from_secs(2);
    follower.receive(replica_id(2), vote_request(9), late);
    assert!(has_granted_vote(&mut follower));
}

#[test]
fn leader_holds_lease_only_with_majority_contact() {
    let mut now = START;
    let mut leader = elected_leader(&mut now);
    assert!(leader.has_lease(now));
    now = now + Duration::from_millis(750);
    assert!(!leader.has_lease(now), "the lease must end before followers can elect another leader");
    acknowledge(&mut leader, 1, now);
    assert!(leader.has_lease(now));
    leader.tick(now + Duration::from_secs(3));
    assert_eq!(leader.role(), Role::Follower, "a leader without a majority must step down");
}

#[test]
fn acknowledgement_from_earlier_membership_is_ignored() {
    let mut now = START;
    let mut leader = elected_leader(&mut now);
    let committed = leader.committed();
    leader.propose([bytes::Bytes::from_static(b"entry")], now).expect("replica 1 is the leader");
    let stale = AppendReply {
        term: leader.term(),
        is_success: true,
        match_index: 2,
        membership: 7,
        sent_at_micros: now.0,
    };
    leader.receive(replica_id(2), Message::AppendReply(stale), now);
    assert_eq!(leader.committed(), committed);
    acknowledge(&mut leader, 2, now);
    assert_eq!(leader.committed(), committed + 1);
}
