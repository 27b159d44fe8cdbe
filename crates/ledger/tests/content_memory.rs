//! Memory for the content of retained turns. Guards against replicas that keep more than their machine can hold, against
//! memory that is promised and never returned, and against content that comes back when a journal is replayed.

use bytes::Bytes;
use sumacdrift_ledger::{
    Begin, BeginDecision, BeginQuorum, BeginVote, End, Group, LedgerRequest, Member, Record, Replica,
    ReplicaSettings, ReplyKind, RequestKind, RetainedTurn, TurnBegun, TurnEnded,
};

const NOW: u64 = 1_000_000;
const RETENTION: u64 = 60_000;
/// After the retention of every turn.
const LATER: u64 = NOW + 10 * RETENTION;
const LARGE: u64 = 1 << 20;
const SMALL: u64 = 10 << 10;
/// Four large turns, of which the last may be used by small turns only.
const CAPACITY: u64 = 4 * LARGE;

fn replica() -> Replica {
    let mut replica = Replica::new(ReplicaSettings { node: "a".to_owned(), is_first_start: true });
    replica.limit_content(CAPACITY);
    replica.finish_replay();
    let member = Member {
        node: "a".to_owned(),
        address: ([10, 0, 0, 1], 7000).into(),
        zone: "z1".to_owned(),
        joined: 1,
    };
    replica.install(Group { epoch: 1, members: vec![member], ..Group::default() });
    assert!(replica.is_voting());
    replica
}

fn begun(turn: &str, retained_bytes: u64) -> TurnBegun {
    TurnBegun {
        program: format!("program of {turn}"),
        turn: turn.to_owned(),
        retention_millis: RETENTION,
        retained_bytes,
        ..TurnBegun::default()
    }
}

fn ask(replica: &mut Replica, kind: RequestKind) -> (Vec<Record>, ReplyKind) {
    let request = LedgerRequest { epoch: 1, kind: Some(kind), ..LedgerRequest::default() };
    let step = replica.handle(request, NOW);
    (step.commit, step.reply.kind.expect("a reply"))
}

fn begin(replica: &mut Replica, turn: &str, retained_bytes: u64) -> (Vec<Record>, BeginVote) {
    let begin = Begin { turn: Some(begun(turn, retained_bytes)), commit_quorum: 1, ..Begin::default() };
    match ask(replica, RequestKind::Begin(begin)) {
        (commit, ReplyKind::Vote(vote)) => (commit, vote),
        (_, other) => panic!("{other:?}"),
    }
}

fn end(replica: &mut Replica, turn: &str, content_bytes: Option<u64>) -> Vec<Record> {
    let retained = content_bytes.map(|bytes| RetainedTurn {
        input: Bytes::from(vec![7; usize::try_from(bytes).expect("a size")]),
        ..RetainedTurn::default()
    });
    let ended = TurnEnded {
        program: format!("program of {turn}"),
        turn: turn.to_owned(),
        retention_millis: RETENTION,
        retained,
        ..TurnEnded::default()
    };
    let end = End { turn: Some(ended), commit_quorum: 1 };
    let (commit, reply) = ask(replica, RequestKind::End(end));
    assert_eq!(reply, ReplyKind::Done(true), "a turn that has run is kept");
    commit
}

#[test]
fn turns_begin_only_while_there_is_memory_for_their_content() {
    let mut replica = replica();
    for turn in ["t1", "t2", "t3"] {
        assert!(!begin(&mut replica, turn, LARGE).1.lacks_memory, "{turn}");
    }
    let (commit, vote) = begin(&mut replica, "t4", LARGE);
    assert_eq!(vote, BeginVote { lacks_memory: true, ..BeginVote::default() });
    assert!(commit.is_empty(), "a turn that is refused is not recorded");
    assert_eq!(replica.state().program_count(), 3);
}

#[test]
fn small_turns_have_memory_that_large_ones_can_not_use() {
    let mut replica = replica();
    for turn in ["t1", "t2", "t3"] {
        begin(&mut replica, turn, LARGE);
        end(&mut replica, turn, Some(LARGE));
    }
    assert_eq!(replica.state().content_bytes(), 3 * LARGE);
    assert!(begin(&mut replica, "large", LARGE).1.lacks_memory);
    assert!(!begin(&mut replica, "small", SMALL).1.lacks_memory);
}

#[test]
fn a_turn_that_ends_without_content_returns_its_memory() {
    let mut replica = replica();
    for number in 0..100 {
        let turn = format!("t{number}");
        assert!(!begin(&mut replica, &turn, 3 * LARGE).1.lacks_memory, "{turn}");
        end(&mut replica, &turn, None);
    }
    assert_eq!(replica.state().content_bytes(), 0);
}

#[test]
fn a_turn_that_never_ends_returns_its_memory_after_its_retention() {
    let mut replica = replica();
    begin(&mut replica, "t1", 3 * LARGE);
    assert!(begin(&mut replica, "t2", LARGE).1.lacks_memory);
    replica.expire(LATER);
    assert!(!begin(&mut replica, "t2", LARGE).1.lacks_memory);
}

#[test]
fn a_turn_that_has_begun_can_begin_again() {
    let mut replica = replica();
    begin(&mut replica, "t1", 3 * LARGE);
    let (commit, vote) = begin(&mut replica, "t1", 3 * LARGE);
    assert!(!vote.lacks_memory && !commit.is_empty(), "{vote:?}");
}

#[test]
fn turns_that_are_not_kept_need_no_memory() {
    let mut replica = replica();
    begin(&mut replica, "t1", 3 * LARGE);
    assert!(!begin(&mut replica, "t2", 0).1.lacks_memory);
}

#[test]
fn content_that_was_removed_does_not_come_back_with_the_journal() {
    let mut replica = replica();
    let mut journal = Vec::new();
    for turn in ["t1", "t2"] {
        journal.extend(begin(&mut replica, turn, LARGE).0);
        journal.extend(end(&mut replica, turn, Some(LARGE)));
    }
    let removed = replica.remove_turns(&["t1".to_owned(), "unknown".to_owned()], LATER);
    journal.push(removed.expect("a record"));
    assert_eq!(replica.remove_turns(&["t1".to_owned()], LATER), None);
    let mut restarted = Replica::new(ReplicaSettings { node: "a".to_owned(), is_first_start: false });
    journal.iter().for_each(|record| restarted.replay(record));
    assert_eq!((restarted.state().retained_count(), restarted.state().content_bytes()), (1, LARGE));
    assert!(restarted.state().has_content("t2"));
}

#[test]
fn a_replica_without_memory_does_not_count_towards_the_quorum() {
    let mut quorum = BeginQuorum::new(2, 0, 0);
    let fits = BeginVote { fits: true, knows_previous: true, ..BeginVote::default() };
    assert_eq!(quorum.vote(fits.clone()), BeginDecision::Pending);
    let lacks_memory = BeginVote { lacks_memory: true, ..BeginVote::default() };
    assert_eq!(quorum.vote(lacks_memory), BeginDecision::Pending);
    assert!(quorum.lacks_memory());
    assert_eq!(quorum.vote(fits), BeginDecision::Admitted);
}
