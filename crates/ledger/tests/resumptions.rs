//! Resumptions of streams whose caller names no turn: which origin a quorum finds among the turns of the same request.
//! Guards against the origin of another run, and against origins that are found by no quorum.

use sumacdrift_ledger::{
    Begin, BeginQuorum, BeginVote, LedgerState, PageDetail, ResumedOrigin, ResumedTurn, StreamOrigin,
    TurnBegun, TurnEnded,
};

const NOW: u64 = 1_000;
const REQUEST: u64 = 7;
const RETENTION_MILLIS: u64 = 60_000;

fn origin(version: &str, revision: u32) -> StreamOrigin {
    StreamOrigin { service: "llm".to_owned(), version: version.to_owned(), revision }
}

fn begun(turn: &str, request: u64, origin: Option<StreamOrigin>) -> TurnBegun {
    TurnBegun {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        retained_bytes: 0,
        retention_millis: RETENTION_MILLIS,
        origin,
        request: Some(request),
        ..TurnBegun::default()
    }
}

fn ended(turn: &str, has_no_event: bool) -> TurnEnded {
    TurnEnded {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        retention_millis: RETENTION_MILLIS,
        has_no_event,
        ..TurnEnded::default()
    }
}

fn replica(begun: &[TurnBegun]) -> LedgerState {
    let mut state = LedgerState::default();
    for turn in begun {
        state.begin(turn, NOW);
    }
    state
}

/// The vote on a turn of the same request that resumes a stream without a name.
fn vote(state: &LedgerState) -> BeginVote {
    let begin = Begin { resumes_same_request: true, ..Begin::default() };
    state.vote(&begun("resuming", REQUEST, None), &begin)
}

fn found(votes: impl IntoIterator<Item = BeginVote>) -> ResumedOrigin {
    let votes: Vec<BeginVote> = votes.into_iter().collect();
    let mut quorum = BeginQuorum::new(votes.len(), 0, 0).resuming(ResumedTurn::OfSameRequest);
    for vote in votes {
        quorum.vote(vote);
    }
    quorum.resumed_origin()
}

#[test]
fn the_turn_of_the_same_request_is_found_among_others() {
    let first = begun("first", REQUEST, Some(origin("v1", 1)));
    let other = begun("other", 8, Some(origin("v2", 1)));
    let earlier_resumption = begun("again", REQUEST, None);
    let state = replica(&[first, other, earlier_resumption]);
    assert_eq!(found([vote(&state)]), ResumedOrigin::Recorded(origin("v1", 1)));
    let without_request = state.vote(&begun("new", REQUEST, None), &Begin::default());
    assert!(without_request.known.iter().all(|known| known.origin.is_none()), "only asked for if needed");
}

#[test]
fn the_newest_origin_of_a_turn_counts_over_all_votes() {
    let outdated = replica(&[begun("first", REQUEST, Some(origin("v1", 1)))]);
    let mut current = replica(&[begun("first", REQUEST, Some(origin("v2", 2)))]);
    let expected = ResumedOrigin::Recorded(origin("v2", 2));
    assert_eq!(found([vote(&outdated), vote(&current)]), expected);
    assert_eq!(found([vote(&current), vote(&outdated)]), expected);
    // Where one replica knows the end already.
    current.end(&ended("first", false), NOW);
    assert_eq!(found([vote(&outdated), vote(&current)]), expected);
    assert_eq!(found([vote(&current), vote(&outdated)]), expected);
}

#[test]
fn turns_of_the_same_origin_are_one_and_of_different_ones_are_ambiguous() {
    let [first, second] = ["first", "second"].map(|turn| begun(turn, REQUEST, Some(origin("v1", 1))));
    let third = begun("third", REQUEST, Some(origin("v2", 1)));
    let expected = ResumedOrigin::Recorded(origin("v1", 1));
    assert_eq!(found([vote(&replica(&[first.clone(), second]))]), expected);
    assert_eq!(found([vote(&replica(&[first])), vote(&replica(&[third]))]), ResumedOrigin::Ambiguous);
}

#[test]
fn a_turn_without_an_event_is_not_resumed() {
    let first = begun("first", REQUEST, Some(origin("v1", 1)));
    let second = begun("second", REQUEST, Some(origin("v2", 1)));
    let mut state = replica(&[first, second]);
    let unaware = state.clone();
    state.end(&ended("first", true), NOW);
    let expected = ResumedOrigin::Recorded(origin("v2", 1));
    assert_eq!(found([vote(&state), vote(&unaware)]), expected);
    assert_eq!(found([vote(&unaware), vote(&state)]), expected);
}

#[test]
fn a_turn_that_may_have_forwarded_an_event_counts_whatever_the_order_of_its_ends() {
    for ends in [[true, false], [false, true]] {
        let mut state = replica(&[begun("first", REQUEST, Some(origin("v1", 1)))]);
        for has_no_event in ends {
            state.end(&ended("first", has_no_event), NOW);
        }
        assert_eq!(found([vote(&state)]), ResumedOrigin::Recorded(origin("v1", 1)), "{ends:?}");
        let [mut one, mut other] =
            [true, false].map(|_| replica(&[begun("first", REQUEST, Some(origin("v1", 1)))]));
        one.end(&ended("first", ends[0]), NOW);
        other.end(&ended("first", ends[1]), NOW);
        assert_eq!(found([vote(&one), vote(&other)]), ResumedOrigin::Recorded(origin("v1", 1)), "{ends:?}");
    }
}

#[test]
fn an_origin_that_no_voter_recorded_is_told_from_one_that_a_voter_did_not_look_for() {
    let state = replica(&[begun("other", 8, Some(origin("v2", 1)))]);
    assert_eq!(found([vote(&state)]), ResumedOrigin::NotRecorded);
    let of_older_build = BeginVote { has_compared_requests: false, ..vote(&state) };
    assert_eq!(found([vote(&state), of_older_build]), ResumedOrigin::Unknown);
}

#[test]
fn a_page_transfers_the_requests_of_ended_turns_and_whether_they_had_events() {
    let first = begun("first", REQUEST, Some(origin("v1", 1)));
    let second = begun("second", REQUEST, Some(origin("v2", 1)));
    let other = begun("other", 8, Some(origin("v3", 1)));
    let mut state = replica(&[first, second, other]);
    for (turn, has_no_event) in [("first", false), ("second", true), ("other", false)] {
        state.end(&ended(turn, has_no_event), NOW);
    }
    let mut reader = LedgerState::default();
    for record in state.page("", PageDetail::Whole, NOW).records {
        reader.merge(&record);
    }
    assert_eq!(found([vote(&reader)]), ResumedOrigin::Recorded(origin("v1", 1)));
}

/// Replicas of a build without fingerprints transfer ended turns without them.
#[test]
fn an_ended_turn_of_an_unknown_request_may_be_the_resumed_one() {
    let mut state = replica(&[begun("first", REQUEST, Some(origin("v1", 1)))]);
    let transferred = TurnEnded { origin: Some(origin("v2", 1)), ..ended("second", false) };
    state.end(&transferred, NOW);
    assert_eq!(found([vote(&state)]), ResumedOrigin::Ambiguous);
}
