//! All groups as nodes know them, and replicas that change from one group to another.

use sumacdrift_ledger::{
    Begin, Group, GroupMap, LedgerRequest, Member, Replica, ReplicaSettings, ReplyKind, RequestKind,
    TurnBegun,
};

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: String::new(), joined: 0 }
}

fn group(number: u32, nodes: [&str; 3]) -> Group {
    Group::founded_as(number, nodes.map(member).to_vec())
}

fn two() -> GroupMap {
    GroupMap::new(vec![group(0, ["a", "b", "c"]), group(1, ["d", "e", "f"])])
}

#[test]
fn of_each_group_the_newer_version_counts() {
    let newer = two().groups()[1].without("e");
    let ahead = two().with(newer.clone());
    let mut map = two();
    assert!(map.merge(&ahead));
    assert_eq!(map.group(1).map(|group| group.epoch), Some(newer.epoch));
    assert!(!map.merge(&two()));
    assert!(!map.learn(Group::clone(&two().groups()[1])));
    assert_eq!(map, ahead);
}

#[test]
fn a_map_that_knows_one_group_learns_of_the_others() {
    let mut map = GroupMap::default();
    assert!(map.learn(group(0, ["a", "b", "c"])));
    assert!(!map.learn(group(1, ["d", "e", "f"])));
    assert!(map.merge(&two()));
    assert_eq!(map, two());
}

#[test]
fn a_map_is_read_as_it_was_told_and_one_out_of_order_is_not() {
    let message = two().to_message();
    assert_eq!(GroupMap::from_message(&message), Some(two()));
    let mut swapped = message;
    swapped.groups.swap(0, 1);
    assert_eq!(GroupMap::from_message(&swapped), None);
}

fn begin(group: &Group, program: &str) -> LedgerRequest {
    let turn = TurnBegun {
        program: program.to_owned(),
        turn: "t".to_owned(),
        most_tokens: 10,
        retention_millis: 60_000,
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
    replica.started();
    replica
}

#[test]
fn a_replica_votes_on_its_own_groups_programs_only() {
    let map = two();
    let mut replica = founding_replica("d");
    replica.install(Group::clone(&map.groups()[1])).expect("a record");
    let own = replica.handle(begin(&map.groups()[1], "p"), 0);
    assert!(matches!(own.reply.kind, Some(ReplyKind::Vote(_))));
    let other = replica.handle(begin(&map.groups()[0], "p"), 0);
    assert!(matches!(other.reply.kind, Some(ReplyKind::NotVoting(_))));
    assert!(other.commit.is_empty());
    // Nobody can make it another group's by telling it of that one.
    assert_eq!(replica.install(map.groups()[0].with(member("d"))), None);
}

#[test]
fn a_replica_that_changes_to_another_group_forgets_and_has_no_vote_until_it_has_read() {
    let map = two();
    let mut disk = Vec::new();
    let mut replica = founding_replica("d");
    disk.extend(replica.install(Group::clone(&map.groups()[1])));
    disk.extend(replica.handle(begin(&map.groups()[1], "p"), 0).commit);
    assert_eq!(replica.state().programs(), 1);
    let without = map.groups()[1].without("d");
    disk.extend(replica.install(without));
    // The other group's epoch is lower than the one it left.
    let mut joined = map.groups()[0].with(member("d"));
    joined.epoch = 1;
    disk.extend(replica.switch_to(joined.clone()));
    assert!(!replica.is_voting());
    assert_eq!((replica.group().number, replica.state().programs()), (0, 0));
    let answer = replica.handle(begin(&joined, "q"), 0);
    assert!(matches!(answer.reply.kind, Some(ReplyKind::NotVoting(_))));
    // The same after a restart.
    let mut restarted = Replica::new(ReplicaSettings { node: "d".to_owned(), is_first_start: false });
    disk.iter().for_each(|record| restarted.replay(record));
    assert!(!restarted.is_voting());
    assert_eq!((restarted.group().number, restarted.state().programs()), (0, 0));
}

#[test]
fn a_founder_of_any_group_votes_at_once() {
    for node in ["a", "b", "c", "d", "e", "f"] {
        let mut replica = founding_replica(node);
        replica.follow_map(&two()).expect("a record");
        assert!(replica.is_voting(), "{node}");
        assert_eq!(replica.follow_map(&two()), None);
    }
}

#[test]
fn a_machine_without_a_seat_follows_no_group_until_it_has_one() {
    let mut replica = founding_replica("spare");
    assert_eq!(replica.follow_map(&two()), None);
    assert_eq!(replica.group().epoch, 0);
    let joined = two().with(two().groups()[1].with(member("spare")));
    replica.follow_map(&joined).expect("a record");
    assert_eq!(replica.group().number, 1);
    assert!(!replica.is_voting(), "it has read nothing yet");
}

#[test]
fn a_replica_learns_that_it_lost_its_seat_and_an_older_map_changes_nothing() {
    let mut replica = founding_replica("d");
    replica.follow_map(&two());
    let without = two().with(two().groups()[1].without("d"));
    replica.follow_map(&without).expect("a record");
    assert!(!replica.is_member());
    assert_eq!(replica.follow_map(&two()), None);
    assert!(!replica.is_member());
}
