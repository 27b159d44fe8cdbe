//! Decisions of the call state machine after failed attempts.

use std::time::Duration;

use sumacdrift_calls::{
    CallKind, CallMachine, CallRules, CrashCount, EngineId, EngineVersion, Failure, Next,
};
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

fn excluded_engines(next: &Next) -> Vec<&str> {
    match next {
        Next::Try { avoid, rather_not, only: None, version: None } => {
            avoid.iter().chain(rather_not).map(EngineId::as_str).collect()
        }
        other => panic!("expected another engine, found {other:?}"),
    }
}

#[test]
fn deadline_is_the_shorter_of_caller_and_route_timeout() {
    assert_eq!(machine(CallKind::Once, 1).deadline(), START + Duration::from_secs(2));
}

#[test]
fn once_call_that_may_have_run_is_not_retried() {
    for failure in [Failure::Lost, Failure::Spoiled] {
        let mut machine = machine(CallKind::Once, 5);
        let next = machine.record_failure(&engine("a"), failure, START);
        assert!(matches!(next, Next::Fail { .. }), "{failure:?} led to {next:?}");
    }
}

#[test]
fn rejected_call_is_retried_on_another_engine() {
    let mut machine = machine(CallKind::Once, 1);
    let next = machine.record_failure(&engine("a"), REJECTED, START);
    assert_eq!(excluded_engines(&next), ["a"]);
    let next = machine.record_failure(&engine("b"), Failure::NotSent, START);
    assert_eq!(excluded_engines(&next), ["a", "b"]);
}

#[test]
fn call_is_refused_only_if_it_cannot_have_run() {
    let mut once = machine(CallKind::Once, 1);
    for name in ["a", "b"] {
        once.record_failure(&engine(name), REJECTED, START);
    }
    let wait = Duration::from_millis(700);
    let next = once.record_failure(&engine("c"), Failure::Rejected { retry_after: Some(wait) }, START);
    assert_eq!(next, Next::Refuse { code: ResultCode::Overloaded, retry_after: wait });

    let mut repeatable = machine(CallKind::Repeatable, 5);
    repeatable.record_failure(&engine("a"), Failure::Lost, START);
    assert!(matches!(
        repeatable.end_without_engine(ResultCode::NoEngine),
        Next::Fail { code: ResultCode::NoEngine }
    ));
}

#[test]
fn call_runs_on_at_most_max_engines() {
    let mut machine = machine(CallKind::Repeatable, 2);
    assert_eq!(excluded_engines(&machine.record_failure(&engine("a"), Failure::Lost, START)), ["a"]);
    let next = machine.record_failure(&engine("b"), Failure::Lost, START);
    assert_eq!(
        next,
        Next::Try { avoid: Vec::new(), rather_not: Vec::new(), only: Some(engine("b")), version: None }
    );
}

#[test]
fn stream_resumes_on_the_last_engine_when_max_engines_is_reached() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 1);
    machine.record_head_sent(&EngineVersion::default());
    machine.record_event_sent(Some("4".to_owned()));
    let next = machine.record_failure(&engine("a"), Failure::Lost, START);
    assert_eq!(
        next,
        Next::Try {
            avoid: Vec::new(),
            rather_not: Vec::new(),
            only: Some(engine("a")),
            version: Some(EngineVersion::default())
        }
    );
    assert_eq!(machine.resume_after(), Some("4"));
}

#[test]
fn stream_does_not_return_to_an_excluded_engine() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 1);
    machine.record_head_sent(&EngineVersion::default());
    machine.record_event_sent(Some("4".to_owned()));
    machine.exclude_engine(&engine("a"));
    let next = machine.record_failure(&engine("a"), Failure::Spoiled, START);
    assert!(matches!(next, Next::BreakOff { .. }), "{next:?}");
}

#[test]
fn stream_is_bound_to_the_version_that_began_it() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 9);
    let next = machine.record_failure(&engine("a"), Failure::Lost, START);
    assert!(matches!(next, Next::Try { version: None, .. }), "no version has begun it: {next:?}");
    let version = EngineVersion::new("v2");
    machine.record_head_sent(&version);
    for failure in [Failure::Lost, REJECTED, Failure::NotSent] {
        let next = machine.record_failure(&engine("b"), failure, START);
        assert!(matches!(&next, Next::Try { version: Some(bound), .. } if *bound == version), "{next:?}");
    }
    machine.record_head_sent(&EngineVersion::new("v1"));
    assert_eq!(machine.stream_version(), Some(&version));
}

#[test]
fn non_resumable_stream_is_aborted() {
    let mut machine = machine(CallKind::Stream { resumable: false }, 3);
    machine.record_head_sent(&EngineVersion::default());
    machine.record_event_sent(Some("1".to_owned()));
    let next = machine.record_failure(&engine("a"), Failure::Lost, START);
    assert_eq!(next, Next::BreakOff { code: ResultCode::BackEndCut });
}

#[test]
fn stream_without_event_ids_is_aborted() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 3);
    machine.record_head_sent(&EngineVersion::default());
    machine.record_event_sent(None);
    assert!(matches!(machine.record_failure(&engine("a"), Failure::Lost, START), Next::BreakOff { .. }));
}

#[test]
fn expired_call_fails_or_is_refused_by_whether_it_was_sent() {
    let late = START + Duration::from_secs(2);
    let mut sent = machine(CallKind::Repeatable, 3);
    assert_eq!(
        sent.record_failure(&engine("a"), Failure::Lost, late),
        Next::Fail { code: ResultCode::DeadlineExceeded }
    );
    let mut unsent = machine(CallKind::Repeatable, 3);
    assert!(matches!(unsent.record_failure(&engine("a"), Failure::NotSent, late), Next::Refuse { .. }));
    assert!(matches!(unsent.begin(late), Next::Refuse { .. }));
}

#[test]
fn attempts_are_bounded_for_every_failure() {
    for failure in [Failure::NotSent, REJECTED, Failure::WrongEngine, Failure::Lost] {
        let mut machine = machine(CallKind::Repeatable, 100);
        let mut attempts = 0;
        while let Next::Try { .. } = machine.record_failure(&engine(&format!("e{attempts}")), failure, START)
        {
            attempts += 1;
            assert!(attempts < 10, "retries after {failure:?} are unbounded");
        }
    }
}

/// Guards against refusing a call at once when it has less time left than is reserved for its run.
#[test]
fn call_with_little_time_left_waits_for_admission() {
    let machine = machine(CallKind::Once, 1);
    assert_eq!(machine.admission_deadline(START), START + Duration::from_millis(1_100));
    let late = START + Duration::from_millis(1_600);
    assert_eq!(machine.admission_deadline(late), START + Duration::from_millis(1_800));
    let after_deadline = START + Duration::from_secs(3);
    assert_eq!(machine.admission_deadline(after_deadline), machine.deadline());
}

#[test]
fn call_in_flight_is_not_reported_as_not_run() {
    let mut machine = machine(CallKind::Once, 1);
    machine.record_sent(&engine("a"));
    assert!(matches!(machine.end_expired(), Next::Fail { .. }));
    machine.record_failure(&engine("a"), REJECTED, START);
    assert!(matches!(machine.end_expired(), Next::Refuse { .. }));
}

#[test]
fn stream_with_forbidden_resumption_is_aborted() {
    let mut machine = machine(CallKind::Stream { resumable: true }, 3);
    machine.record_head_sent(&EngineVersion::default());
    machine.record_event_sent(Some("1".to_owned()));
    machine.forbid_resumption();
    assert!(matches!(machine.record_failure(&engine("a"), Failure::Lost, START), Next::BreakOff { .. }));
}

/// Guards against sending a request on after three engines have crashed under it, however many the route allows.
#[test]
fn call_ends_at_the_third_crash() {
    let mut machine = machine(CallKind::Repeatable, 100);
    for name in ["a", "b"] {
        let next = machine.record_failure(&engine(name), Failure::Crashed, START);
        assert!(matches!(next, Next::Try { .. }), "{next:?}");
    }
    let next = machine.record_failure(&engine("c"), Failure::Crashed, START);
    assert_eq!(next, Next::Fail { code: ResultCode::RequestCrashesEngines });
}

/// Guards against counting crashes anew in each of the caller's calls.
#[test]
fn crashes_in_earlier_calls_count() {
    let mut machine = machine(CallKind::Repeatable, 100);
    machine.record_known_crashes(confirmed(2));
    let next = machine.record_failure(&engine("a"), Failure::Lost, START);
    assert!(matches!(next, Next::Try { .. }), "a lost answer is no crash: {next:?}");
    machine.record_known_crashes(confirmed(3));
    let next = machine.record_failure(&engine("b"), Failure::Crashed, START);
    assert_eq!(next, Next::Fail { code: ResultCode::RequestCrashesEngines });
}

/// Guards against sending a call again to the engine that crashed under it, which may be back at its address.
#[test]
fn call_does_not_return_to_an_engine_that_crashed() {
    let mut machine = machine(CallKind::Repeatable, 1);
    let next = machine.record_failure(&engine("a"), Failure::Crashed, START);
    assert_eq!(next, Next::Fail { code: ResultCode::BackEndCut });
}

#[test]
fn quarantined_call_is_refused_only_if_it_was_not_sent() {
    let remaining = Duration::from_secs(90);
    let mut machine = machine(CallKind::Once, 1);
    let refused = Next::Refuse { code: ResultCode::RequestCrashesEngines, retry_after: remaining };
    assert_eq!(machine.end_quarantined(remaining, ResultCode::RequestCrashesEngines), refused);
    machine.record_sent(&engine("a"));
    let failed = Next::Fail { code: ResultCode::RequestCrashesEngines };
    assert_eq!(machine.end_quarantined(remaining, ResultCode::RequestCrashesEngines), failed);
}

/// Guards against sending a call on while it is unknown whether the engines before have crashed, and against holding it back
/// once they are known to live.
#[test]
fn suspected_crashes_count_until_they_are_withdrawn() {
    let mut machine = machine(CallKind::Repeatable, 100);
    machine.record_known_crashes(CrashCount { confirmed: 1, suspected: 1, ..CrashCount::default() });
    let next = machine.record_failure(&engine("a"), Failure::Lost, START);
    assert!(matches!(next, Next::Try { .. }), "{next:?}");
    machine.record_known_crashes(CrashCount { confirmed: 1, suspected: 2, ..CrashCount::default() });
    let next = machine.record_failure(&engine("b"), Failure::Spoiled, START);
    assert_eq!(next, Next::Fail { code: ResultCode::RequestMayCrashEngines });
    machine.record_known_crashes(CrashCount { confirmed: 1, ..CrashCount::default() });
    let next = machine.record_failure(&engine("c"), Failure::Lost, START);
    assert!(matches!(next, Next::Try { .. }), "{next:?}");
}

#[test]
fn call_whose_request_is_at_the_limit_is_refused_before_it_is_sent() {
    let mut machine = machine(CallKind::Once, 1);
    assert_eq!(machine.end_at_crash_limit(), None);
    machine.record_known_crashes(CrashCount { confirmed: 2, suspected: 1, ..CrashCount::default() });
    let next = machine.end_at_crash_limit();
    assert!(matches!(next, Some(Next::Refuse { code: ResultCode::RequestMayCrashEngines, .. })), "{next:?}");
}

fn confirmed(engines: usize) -> CrashCount {
    CrashCount { confirmed: engines, ..CrashCount::default() }
}

/// Guards against forgetting, between two engines of one call, an attempt whose node was lost before it could report.
#[test]
fn open_attempts_known_at_admission_count_after_later_reports() {
    let mut machine = machine(CallKind::Repeatable, 9);
    machine.record_known_crashes(CrashCount { open_attempts: 1, ..confirmed(1) });
    assert!(!machine.has_reached_crash_limit());
    machine.record_known_crashes(confirmed(2));
    assert!(machine.has_reached_crash_limit());
}

/// Guards against engines that failed a request and end after another one has.
#[test]
fn observed_engines_count_once_the_request_has_crashed_one() {
    let mut machine = machine(CallKind::Repeatable, 9);
    machine.record_known_crashes(CrashCount { observed: 5, ..CrashCount::default() });
    assert!(!machine.has_reached_crash_limit());
    machine.record_known_crashes(CrashCount { observed: 2, ..confirmed(1) });
    assert!(machine.has_reached_crash_limit());
}
