//! What becomes of a call when engines fail it.

use std::time::Duration;

use sumacdrift_calls::{CallKind, CallMachine, CallRules, EngineId, Failure, Next};
use sumacdrift_types::{ResultCode, Timestamp};

const START: Timestamp = Timestamp(1_000_000);
const REJECTED: Failure = Failure::Rejected { retry_after: None };

fn machine(kind: CallKind, max_engines: usize) -> CallMachine {
    let rules = CallRules {
        kind,
        max_engines,
        returns_to_last: true,
        timeout: Duration::from_secs(3),
        aim: Duration::from_millis(200),
        priority: 0,
    };
    CallMachine::new(rules, Some(Duration::from_secs(2)), START)
}

fn engine(name: &str) -> EngineId {
    EngineId::new(name)
}

fn avoided(next: &Next) -> Vec<&str> {
    match next {
        Next::Try { avoid, rather_not, only: None } => {
            avoid.iter().chain(rather_not).map(EngineId::as_str).collect()
        }
        other => panic!("expected another engine, found {other:?}"),
    }
}

#[test]
fn the_shorter_of_the_callers_and_the_routes_time_holds() {
    assert_eq!(machine(CallKind::Once, 1).deadline(), START + Duration::from_secs(2));
}

#[test]
fn a_call_that_may_run_once_is_never_sent_again_once_it_may_have_run() {
    for failure in [Failure::Lost, Failure::Spoiled] {
        let mut machine = machine(CallKind::Once, 5);
        let next = machine.failed(&engine("a"), failure, START);
        assert!(matches!(next, Next::Fail { .. }), "{failure:?} led to {next:?}");
    }
}

#[test]
fn a_call_that_was_turned_away_goes_to_another_engine() {
    let mut machine = machine(CallKind::Once, 1);
    let next = machine.failed(&engine("a"), REJECTED, START);
    assert_eq!(avoided(&next), ["a"]);
    let next = machine.failed(&engine("b"), Failure::NotSent, START);
    assert_eq!(avoided(&next), ["a", "b"]);
}

#[test]
fn a_refusal_is_given_only_while_nothing_can_have_run() {
    let mut once = machine(CallKind::Once, 1);
    for name in ["a", "b"] {
        once.failed(&engine(name), REJECTED, START);
    }
    let wait = Duration::from_millis(700);
    let next = once.failed(&engine("c"), Failure::Rejected { retry_after: Some(wait) }, START);
    assert_eq!(next, Next::Refuse { code: ResultCode::Overloaded, retry_after: wait });

    let mut repeatable = machine(CallKind::Repeatable, 5);
    repeatable.failed(&engine("a"), Failure::Lost, START);
    assert!(matches!(repeatable.no_engine(ResultCode::NoEngine), Next::Fail { code: ResultCode::NoEngine }));
}

#[test]
fn no_more_engines_run_a_call_than_its_route_allows() {
    let mut machine = machine(CallKind::Repeatable, 2);
    assert_eq!(avoided(&machine.failed(&engine("a"), Failure::Lost, START)), ["a"]);
    let next = machine.failed(&engine("b"), Failure::Lost, START);
    assert_eq!(next, Next::Try { avoid: Vec::new(), rather_not: Vec::new(), only: Some(engine("b")) });
}

#[test]
fn a_stream_goes_on_behind_its_last_event_at_the_same_engine_where_no_other_is_allowed() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 1);
    machine.head_given();
    machine.event_given(Some("4".to_owned()));
    let next = machine.failed(&engine("a"), Failure::Lost, START);
    assert_eq!(next, Next::Try { avoid: Vec::new(), rather_not: Vec::new(), only: Some(engine("a")) });
    assert_eq!(machine.resume_after(), Some("4"));
}

#[test]
fn a_stream_that_may_not_be_taken_up_is_broken_off() {
    let mut machine = machine(CallKind::Stream { resumable: false }, 3);
    machine.head_given();
    machine.event_given(Some("1".to_owned()));
    let next = machine.failed(&engine("a"), Failure::Lost, START);
    assert_eq!(next, Next::BreakOff { code: ResultCode::BackEndCut });
}

#[test]
fn events_without_ids_leave_nothing_to_take_a_stream_up_at() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 3);
    machine.head_given();
    machine.event_given(None);
    assert!(matches!(machine.failed(&engine("a"), Failure::Lost, START), Next::BreakOff { .. }));
}

#[test]
fn after_the_deadline_the_answer_is_final_and_true() {
    let late = START + Duration::from_secs(2);
    let mut sent = machine(CallKind::Repeatable, 3);
    assert_eq!(
        sent.failed(&engine("a"), Failure::Lost, late),
        Next::Fail { code: ResultCode::DeadlineExceeded }
    );
    let mut unsent = machine(CallKind::Repeatable, 3);
    assert!(matches!(unsent.failed(&engine("a"), Failure::NotSent, late), Next::Refuse { .. }));
    assert!(matches!(unsent.begin(late), Next::Refuse { .. }));
}

#[test]
fn tries_end_however_engines_fail() {
    for failure in [Failure::NotSent, REJECTED, Failure::WrongEngine, Failure::Lost] {
        let mut machine = machine(CallKind::Repeatable, 100);
        let mut tries = 0;
        while let Next::Try { .. } = machine.failed(&engine(&format!("e{tries}")), failure, START) {
            tries += 1;
            assert!(tries < 10, "{failure:?} is tried without end");
        }
    }
}

/// Farm incident inc-3113: a turn with less than 0.9 s left was refused at once, as if the ledger had not answered.
#[test]
fn a_call_with_little_time_still_waits_for_its_admission() {
    let machine = machine(CallKind::Once, 1);
    assert_eq!(machine.admission_deadline(START), START + Duration::from_millis(1_100));
    let late = START + Duration::from_millis(1_600);
    assert_eq!(machine.admission_deadline(late), START + Duration::from_millis(1_800));
    let over = START + Duration::from_secs(3);
    assert_eq!(machine.admission_deadline(over), machine.deadline());
}

#[test]
fn a_call_under_way_is_not_declared_as_not_run() {
    let mut machine = machine(CallKind::Once, 1);
    machine.sent(&engine("a"));
    assert!(matches!(machine.expired(), Next::Fail { .. }));
    machine.failed(&engine("a"), REJECTED, START);
    assert!(matches!(machine.expired(), Next::Refuse { .. }));
}

#[test]
fn an_answer_that_cannot_be_followed_by_another_is_broken_off() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 3);
    machine.head_given();
    machine.event_given(Some("1".to_owned()));
    machine.forbid_resumption();
    assert!(matches!(machine.failed(&engine("a"), Failure::Lost, START), Next::BreakOff { .. }));
}
