//! Retention of chains: a turn is kept with the turns before it, however old they are.
//!
//! Guards against a program that can't go on because the oldest turns of its chain have expired one by one, although
//! each of its pauses was short.

use bytes::Bytes;
use sumacdrift_ledger::{
    Begin, LedgerState, PageDetail, Record, RetainedTurn, TurnBegun, TurnContinuation, TurnEnded,
    needed_turns,
};

const NOW: u64 = 1_000_000;
const RETENTION: u64 = 60_000;
/// Time for which a turn is kept after its end.
const KEPT: u64 = 2 * RETENTION;
const PAUSE: u64 = 50_000;

fn begun(turn: &str, previous: &str) -> TurnBegun {
    TurnBegun {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        retained_bytes: 0,
        retention_millis: RETENTION,
        previous: previous.to_owned(),
        ..TurnBegun::default()
    }
}

fn ended(turn: &str, previous: &str) -> TurnEnded {
    let retained = RetainedTurn {
        previous: previous.to_owned(),
        input: Bytes::copy_from_slice(turn.as_bytes()),
        output: Bytes::from_static(b";"),
    };
    TurnEnded {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        retention_millis: RETENTION,
        retained: Some(retained),
        ..TurnEnded::default()
    }
}

fn name(number: usize) -> String {
    format!("t{number}")
}

fn previous_of(number: usize) -> String {
    number.checked_sub(1).map(name).unwrap_or_default()
}

/// Length of the known chain up to a turn, and the turn where it stops.
fn chain(state: &LedgerState, newest: &str) -> (usize, String) {
    let chain = state.chain(newest);
    (chain.turns.len(), chain.missing)
}

#[test]
fn a_chain_is_kept_whole_however_old_its_first_turns_are() {
    let mut state = LedgerState::default();
    let mut now = NOW;
    for number in 0..20 {
        state.expire(now);
        let vote = state.vote(&begun(&name(number), &previous_of(number)), &Begin::default());
        assert!(vote.knows_previous);
        state.end(&ended(&name(number), &previous_of(number)), now);
        assert_eq!(chain(&state, &name(number)), (number + 1, String::new()));
        now += PAUSE;
    }
}

#[test]
fn a_chain_ends_whole_once_its_newest_turn_expires() {
    let mut state = LedgerState::default();
    for number in 0..4 {
        state.end(&ended(&name(number), &previous_of(number)), NOW + PAUSE * number as u64);
    }
    let last_end = NOW + PAUSE * 3;
    state.expire(last_end + KEPT - 1);
    assert_eq!(state.retained_count(), 4);
    state.expire(last_end + KEPT);
    assert!(state.is_empty(), "no memory is kept for programs that are gone");
}

#[test]
fn a_branch_is_kept_without_the_other_one() {
    let mut state = LedgerState::default();
    state.end(&ended("root", ""), NOW);
    state.end(&ended("left", "root"), NOW);
    state.end(&ended("right", "root"), NOW + PAUSE);
    state.expire(NOW + KEPT);
    assert_eq!(chain(&state, "left"), (0, "left".to_owned()));
    assert_eq!(chain(&state, "right"), (2, String::new()));
}

#[test]
fn a_turn_under_way_keeps_its_chain() {
    let mut state = LedgerState::default();
    state.end(&ended("t0", ""), NOW);
    state.end(&ended("t1", "t0"), NOW);
    state.begin(&begun("t2", "t1"), NOW + PAUSE);
    state.expire(NOW + KEPT);
    assert_eq!(chain(&state, "t1"), (2, String::new()));
    state.end(&TurnEnded { retained: None, ..ended("t2", "t1") }, NOW + KEPT);
    state.expire(NOW + KEPT);
    assert_eq!(state.retained_count(), 0, "the turn failed");
}

/// A page lists turns by name, so that a later one may come first.
#[test]
fn transferred_and_repeated_records_do_not_shorten_the_retention() {
    let mut source = LedgerState::default();
    source.end(&ended("b", ""), NOW);
    source.end(&ended("a", "b"), NOW + PAUSE);
    let later = NOW + KEPT + 1;
    source.expire(later);
    let mut copy = LedgerState::default();
    for record in source.page("", PageDetail::Whole, later).records {
        copy.merge(&Record { expiry_millis: record.expiry_millis + later, ..record });
    }
    copy.expire(later);
    assert_eq!(chain(&copy, "a"), (2, String::new()));
    let repeated = source.contents(&["b".to_owned()], later).records.remove(0);
    source.end(&ended("b", ""), later);
    source.merge(&Record { expiry_millis: repeated.expiry_millis + later, ..repeated });
    source.expire(later + KEPT - 1);
    assert_eq!(source.retained_count(), 1, "the newer end counts");
}

/// Guards against a chain that is dropped where it passes from one replica to another.
#[test]
fn a_replica_tells_what_it_knows_of_the_turns_after_others() {
    let mut state = LedgerState::default();
    state.end(&ended("t2", "t1"), NOW);
    state.end(&ended("t3", "t2"), NOW);
    state.end(&ended("t4", "t3"), NOW + PAUSE);
    state.begin(&begun("t6", "t5"), NOW + PAUSE);
    let asked = ["t1", "t5"].map(str::to_owned);
    let told = |now| {
        let told = state.continuations(&asked, now).turns.into_iter();
        let mut told: Vec<_> =
            told.map(|later| (later.turn, later.previous, later.remaining_millis)).collect();
        told.sort();
        told
    };
    let later = |turn: &str, previous: &str, remaining| (turn.to_owned(), previous.to_owned(), remaining);
    assert_eq!(told(NOW), [later("t2", "t1", KEPT), later("t6", "t5", KEPT + PAUSE)]);
    let expected =
        [later("t2", "t1", 0), later("t3", "t2", 0), later("t4", "t3", PAUSE), later("t6", "t5", PAUSE)];
    assert_eq!(told(NOW + KEPT), expected);
}

#[test]
fn turns_are_needed_as_long_as_the_last_one_that_continues_them() {
    let later = |turn: &str, previous: &str, remaining_millis| TurnContinuation {
        turn: turn.to_owned(),
        previous: previous.to_owned(),
        remaining_millis,
    };
    let told = [later("b", "a", 0), later("c", "b", 5), later("d", "b", 9), later("f", "e", 0)];
    assert_eq!(needed_turns(&told), [("a", 9), ("b", 9)].into());
}

#[test]
fn a_turn_that_another_replica_needs_is_kept_with_its_chain() {
    let mut state = LedgerState::default();
    state.end(&ended("t0", ""), NOW);
    state.end(&ended("t1", "t0"), NOW);
    assert_eq!(state.turns_past_expiry(NOW + KEPT), ["t0", "t1"]);
    state.keep_turn("t1", NOW + KEPT + PAUSE);
    assert!(state.turns_past_expiry(NOW + KEPT).is_empty());
    assert_eq!(state.turns_past_expiry(NOW + KEPT + PAUSE), ["t0", "t1"]);
}
