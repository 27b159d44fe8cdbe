//! Group maps, and replicas that follow them or switch groups.

use sumacdrift_ledger::{
    Begin, Group, GroupMap, LedgerRequest, Member, Replica, ReplicaSettings, ReplyKind, RequestKind,
    TurnBegun,
};

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: String::new(), joined: 0 }
}

fn group(number: u32, nodes: [&str; 3]) -> Group {
    Group::initial_numbered(number, nodes.map(member).to_vec())
}

fn two_groups() -> GroupMap {
    GroupMap::new(vec![group(0, ["a", "b", "c"]), group(1, ["d", "e", "f"])])
}

#[test]
fn merge_keeps_newer_version_of_each_group() {
    let newer = two_groups().groups()[1].without_member("e");
    let ahead = two_groups().with_group(newer.clone());
    let mut map = two_groups();
    assert!(map.merge(&ahead));
    assert_eq!(map.group(1).map(|group| group.epoch), Some(newer.epoch));
    assert!(!map.merge(&two_groups()));
    assert!(!map.adopt_newer(Group::clone(&two_groups().groups()[1])));
    assert_eq!(map, ahead);
}

#[test]
fn map_of_one_group_adopts_the_others() {
    let mut map = GroupMap::default();
    assert!(map.adopt_newer(group(0, ["a", "b", "c"])));
    assert!(!map.adopt_newer(group(1, ["d", "e", "f"])));
    assert!(map.merge(&two_groups()));
    assert_eq!(map, two_groups());
}

#[test]
fn map_message_round_trips_and_is_rejected_out_of_order() {
    let message = two_groups().to_message();
    assert_eq!(GroupMap::from_message(&message), Some(two_groups()));
    let mut swapped = message;
    swapped.groups.swap(0, 1);
    assert_eq!(GroupMap::from_message(&swapped), None);
}

fn begin(group: &Group, program: &str) -> LedgerRequest {
    let turn = TurnBegun {
        program: program.to_owned(),
        turn: "t".to_owned(),
        max_tokens: 10,
        retained_bytes: 0,
        retention_millis: 60_000,
        origin: None,
        request: None,
        previous: String::new(),
    };
    let begin = Begin { turn: Some(turn), budget_tokens: 100, ..Begin::default() };
    LedgerRequest {
        epoch: group.epoch,
        group: group.number,
        kind: Some(RequestKind::Begin(begin)),
        ..LedgerRequest::default()
    }
}

fn founding_replica(node: &str) -> Replica {
    let mut replica = Replica::new(ReplicaSettings { node: node.to_owned(), is_first_start: true });
    replica.finish_replay();
    replica
}

#[test]
fn replica_votes_only_in_its_own_group() {
    let map = two_groups();
    let mut replica = founding_replica("d");
    replica.install(Group::clone(&map.groups()[1])).expect("group record");
    let own = replica.handle(begin(&map.groups()[1], "p"), 0);
    assert!(matches!(own.reply.kind, Some(ReplyKind::Vote(_))));
    let other = replica.handle(begin(&map.groups()[0], "p"), 0);
    assert!(matches!(other.reply.kind, Some(ReplyKind::NotVoting(_))));
    assert!(other.commit.is_empty());
    // Installing a version of another group does not move the replica there.
    assert_eq!(replica.install(map.groups()[0].with_member(member("d"))), None);
}

#[test]
fn replica_that_switches_groups_discards_state_and_vote() {
    let map = two_groups();
    let mut disk = Vec::new();
    let mut replica = founding_replica("d");
    disk.extend(replica.install(Group::clone(&map.groups()[1])));
    disk.extend(replica.handle(begin(&map.groups()[1], "p"), 0).commit);
    assert_eq!(replica.state().program_count(), 1);
    let without = map.groups()[1].without_member("d");
    disk.extend(replica.install(without));
    // The epoch of the new group is lower than that of the old one.
    let mut joined = map.groups()[0].with_member(member("d"));
    joined.epoch = 1;
    disk.extend(replica.switch_group(joined.clone()));
    assert!(!replica.is_voting());
    assert_eq!((replica.group().number, replica.state().program_count()), (0, 0));
    let answer = replica.handle(begin(&joined, "q"), 0);
    assert!(matches!(answer.reply.kind, Some(ReplyKind::NotVoting(_))));
    // The same after a restart.
    let mut restarted = Replica::new(ReplicaSettings { node: "d".to_owned(), is_first_start: false });
    disk.iter().for_each(|record| restarted.replay(record));
    assert!(!restarted.is_voting());
    assert_eq!((restarted.group().number, restarted.state().program_count()), (0, 0));
}

#[test]
fn founder_of_any_group_votes_at_once() {
    for node in ["a", "b", "c", "d", "e", "f"] {
        let mut replica = founding_replica(node);
        replica.follow_map(&two_groups()).expect("group record");
        assert!(replica.is_voting(), "{node}");
        assert_eq!(replica.follow_map(&two_groups()), None);
    }
}

#[test]
fn machine_without_membership_follows_no_group() {
    let mut replica = founding_replica("spare");
    assert_eq!(replica.follow_map(&two_groups()), None);
    assert_eq!(replica.group().epoch, 0);
    let joined = two_groups().with_group(two_groups().groups()[1].with_member(member("spare")));
    replica.follow_map(&joined).expect("group record");
    assert_eq!(replica.group().number, 1);
    assert!(!replica.is_voting(), "has a vote before reading any member");
}

#[test]
fn replica_follows_map_that_removed_it_and_ignores_older_map() {
    let mut replica = founding_replica("d");
    replica.follow_map(&two_groups());
    let without = two_groups().with_group(two_groups().groups()[1].without_member("d"));
    replica.follow_map(&without).expect("group record");
    assert!(!replica.is_member());
    assert_eq!(replica.follow_map(&two_groups()), None);
    assert!(!replica.is_member());
}
