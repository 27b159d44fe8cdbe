//! Rules whose breach hides in a whole fleet, tested on single replicas.

use std::time::Duration;

use sumacdrift_replication::{
    Action, AppendEntries, AppendReply, Configuration, Message, Replica, ReplicaId, ReplicaSettings, Role,
    VoteReply, VoteRequest,
};
use sumacdrift_types::{Incarnation, NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn id(node: u32) -> ReplicaId {
    ReplicaId { node: NodeId(node), incarnation: Incarnation(1) }
}

fn replica(node: u32) -> Replica {
    let voters = Configuration::of_voters([id(1), id(2), id(3)]);
    Replica::found(id(node), voters, ReplicaSettings::default(), u64::from(node), START)
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

/// Whether the replica just granted a vote.
fn granted(replica: &mut Replica) -> bool {
    replica.take_actions().iter().any(|action| {
        matches!(action, Action::Send { message: Message::VoteReply(VoteReply { is_granted: true, .. }), .. })
    })
}

/// A replica that was elected and whose first entry is committed.
fn leader(now: &mut Timestamp) -> Replica {
    let mut leader = replica(1);
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
    leader.receive(id(2), Message::AppendReply(reply), sent);
    leader.take_actions();
}

#[test]
fn a_replica_gives_one_vote_in_a_term() {
    let mut voter = replica(3);
    voter.receive(id(1), vote_request(5), START);
    assert!(granted(&mut voter));
    voter.receive(id(2), vote_request(5), START);
    assert!(!granted(&mut voter), "a second candidate got the same term's vote");
    voter.receive(id(1), vote_request(5), START);
    assert!(granted(&mut voter), "the same candidate may ask again");
    voter.receive(id(2), vote_request(6), START);
    assert!(granted(&mut voter), "a later term is another vote");
}

#[test]
fn a_follower_that_hears_its_leader_refuses_candidates() {
    let mut follower = replica(3);
    follower.receive(id(1), heartbeat(4, START), START);
    follower.take_actions();
    let soon = START + Duration::from_millis(100);
    follower.receive(id(2), vote_request(9), soon);
    assert!(!granted(&mut follower));
    assert_eq!(follower.term(), 4, "a candidate must not force its term on a live group");
    let late = START + Duration::from_secs(2);
    follower.receive(id(2), vote_request(9), late);
    assert!(granted(&mut follower));
}

#[test]
fn a_leader_answers_only_while_a_majority_follows_it() {
    let mut now = START;
    let mut leader = leader(&mut now);
    assert!(leader.has_lease(now));
    now = now + Duration::from_millis(750);
    assert!(!leader.has_lease(now), "the lease must end before followers would elect another leader");
    acknowledge(&mut leader, 1, now);
    assert!(leader.has_lease(now));
    leader.tick(now + Duration::from_secs(3));
    assert_eq!(leader.role(), Role::Follower, "a leader without majority steps down");
}

#[test]
fn an_acknowledgement_of_an_earlier_membership_counts_for_nothing() {
    let mut now = START;
    let mut leader = leader(&mut now);
    let committed = leader.committed();
    leader.propose([bytes::Bytes::from_static(b"entry")], now).expect("it leads");
    let stale = AppendReply {
        term: leader.term(),
        is_success: true,
        match_index: 2,
        membership: 7,
        sent_at_micros: now.0,
    };
    leader.receive(id(2), Message::AppendReply(stale), now);
    assert_eq!(leader.committed(), committed);
    acknowledge(&mut leader, 2, now);
    assert_eq!(leader.committed(), committed + 1);
}
