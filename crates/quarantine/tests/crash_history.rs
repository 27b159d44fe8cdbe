//! Which crashes count against a request.

use std::time::Duration;

use sumacdrift_calls::{CrashCount, RequestFingerprint};
use sumacdrift_quarantine::{
    CRASH_RETENTION, Callers, Certainty, CrashHistory, CrashReport, OBSERVATION_TIME, Quarantine,
    QuarantinedRequest, RecentlyServed, SUSPICION_TIME, SuspectRequest, SuspectRequests,
};
use sumacdrift_types::Timestamp;

const REQUEST: RequestFingerprint = RequestFingerprint(7);
const SENT_AGO: Duration = Duration::from_millis(5);

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_secs(100) + Duration::from_millis(millis)
}

fn crash(engine: &str, sent_ago: Duration) -> CrashReport<'_> {
    let (callers, certainty) = (Callers::Many, Certainty::Confirmed);
    CrashReport { request: REQUEST, callers, engine, certainty, sent_ago, lost_ago: Duration::ZERO }
}

fn suspicion(engine: &str) -> CrashReport<'_> {
    CrashReport { certainty: Certainty::Suspected, ..crash(engine, SENT_AGO) }
}

/// Records a crash; returns the number of engines that count.
fn record(history: &mut CrashHistory, report: CrashReport<'_>, now: Timestamp) -> usize {
    history.record(report, now);
    history.engines(report.request, now).len()
}

fn names(history: &CrashHistory, request: RequestFingerprint, now: Timestamp) -> Vec<&str> {
    history.engines(request, now).iter().map(|engine| &*engine.name).collect()
}

#[test]
fn each_engine_that_crashes_in_succession_counts_once() {
    let mut history = CrashHistory::default();
    assert_eq!(record(&mut history, crash("a", SENT_AGO), at(0)), 1);
    assert_eq!(record(&mut history, crash("a", SENT_AGO), at(10)), 1);
    assert_eq!(record(&mut history, crash("b", SENT_AGO), at(20)), 2);
    assert_eq!(record(&mut history, crash("c", SENT_AGO), at(30)), 3);
    assert_eq!(names(&history, REQUEST, at(30)), ["a", "b", "c"]);
}

/// Guards against closing a path to everybody when engines crash together while equal requests of several callers run.
#[test]
fn engines_that_crash_at_the_same_time_count_as_one() {
    let mut history = CrashHistory::default();
    for (position, engine) in ["a", "b", "c", "d"].into_iter().enumerate() {
        assert_eq!(record(&mut history, crash(engine, Duration::from_millis(50)), at(position as u64)), 1);
    }
}

/// A crash of an attempt from `sent` to `lost`, found at `found`; all in milliseconds.
fn late_crash(engine: &str, sent: u64, lost: u64, found: u64) -> CrashReport<'_> {
    let ago = |millis| Duration::from_millis(found - millis);
    CrashReport { sent_ago: ago(sent), lost_ago: ago(lost), ..crash(engine, SENT_AGO) }
}

/// Guards against an engine that doesn't count as it ended some time after it had answered, when the next attempt had already
/// crashed another one.
#[test]
fn an_engine_that_is_found_to_have_crashed_later_than_its_successor_counts() {
    let mut history = CrashHistory::default();
    assert_eq!(record(&mut history, late_crash("b", 150, 200, 200), at(200)), 1);
    assert_eq!(record(&mut history, late_crash("a", 0, 100, 400), at(400)), 2);
    assert_eq!(record(&mut history, late_crash("c", 250, 300, 500), at(500)), 3);
}

/// Guards against counting attempts of several callers that overlapped, in whichever order their engines are found.
#[test]
fn attempts_that_overlapped_count_as_one_in_any_order() {
    let mut history = CrashHistory::default();
    assert_eq!(record(&mut history, late_crash("b", 150, 400, 400), at(400)), 1);
    assert_eq!(record(&mut history, late_crash("a", 0, 200, 500), at(500)), 1);
    assert_eq!(record(&mut history, late_crash("c", 300, 600, 700), at(700)), 1);
    assert_eq!(record(&mut history, late_crash("d", 420, 430, 800), at(800)), 2);
}

/// The check above can fail.
#[cfg(feature = "mutants")]
#[test]
fn counting_crashes_at_the_same_time_is_detected() {
    use sumacdrift_mutants::{Rule, with_broken};
    let mut history = CrashHistory::default();
    let mut record =
        |engine, millis| record(&mut history, crash(engine, Duration::from_millis(50)), at(millis));
    with_broken(Rule::CrashesCountInSequence, || {
        assert_eq!((record("a", 0), record("b", 1)), (1, 2));
    });
}

#[test]
fn a_success_and_the_retention_time_end_a_chain() {
    let mut history = CrashHistory::default();
    history.record(crash("a", SENT_AGO), at(0));
    history.clear(REQUEST);
    assert_eq!(record(&mut history, crash("b", SENT_AGO), at(10)), 1);
    let later = at(10) + CRASH_RETENTION;
    assert!(history.engines(REQUEST, later).is_empty());
    assert_eq!(record(&mut history, crash("c", SENT_AGO), later), 1);
}

#[test]
fn memory_is_bounded_and_the_oldest_request_gives_way() {
    let mut history = CrashHistory::default();
    for number in 0..10_000 {
        let report = CrashReport { request: RequestFingerprint(number), ..crash("a", SENT_AGO) };
        history.record(report, at(number));
    }
    assert!(history.requests() <= 4096, "{}", history.requests());
    assert!(history.engines(RequestFingerprint(0), at(9_999)).is_empty());
    assert_eq!(names(&history, RequestFingerprint(9_999), at(9_999)), ["a"]);
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        quarantine.add(QuarantinedRequest::confirmed(RequestFingerprint(number)), at(number));
    }
    assert!(quarantine.len() <= 4096, "{}", quarantine.len());
    assert!(quarantine.find(RequestFingerprint(9_999), at(10_000)).is_some());
}

#[test]
fn a_request_leaves_the_quarantine_when_its_time_is_over() {
    let mut quarantine = Quarantine::default();
    let confirmed = QuarantinedRequest::confirmed(REQUEST);
    let added = QuarantinedRequest { remaining: Duration::from_secs(60), ..confirmed };
    let remaining = |quarantine: &Quarantine, now| quarantine.find(REQUEST, now).map(|found| found.remaining);
    assert!(quarantine.add(added, at(0)));
    assert!(!quarantine.add(added, at(1)), "it was known");
    assert_eq!(remaining(&quarantine, at(0)), Some(Duration::from_millis(60_001)));
    assert_eq!(remaining(&quarantine, at(60_001)), None);
    quarantine.expire(at(60_001));
    assert!(quarantine.is_empty());
    let expired = QuarantinedRequest { remaining: Duration::ZERO, ..confirmed };
    assert!(!quarantine.add(expired, at(0)));
}

#[test]
fn recently_served_requests_are_bounded_and_expire() {
    let mut served = RecentlyServed::default();
    served.record(REQUEST, at(0));
    assert!(served.contains(REQUEST, at(1)));
    assert!(!served.contains(REQUEST, at(0) + CRASH_RETENTION));
    for number in 100..10_000 {
        served.record(RequestFingerprint(number), at(1));
    }
    assert!(!served.contains(REQUEST, at(2)));
    assert!(served.contains(RequestFingerprint(9_999), at(2)));
}

/// Guards against taking an engine that shows a sign of life for one that has crashed, and the other way round.
#[test]
fn a_suspicion_counts_until_it_is_withdrawn_and_a_crash_stays() {
    let mut history = CrashHistory::default();
    assert_eq!(record(&mut history, suspicion("a"), at(0)), 1);
    assert_eq!(record(&mut history, suspicion("b"), at(10)), 2);
    assert!(history.record(crash("a", SENT_AGO), at(15)), "a crash confirms the suspicion");
    assert!(!history.record(suspicion("a"), at(16)), "a suspicion doesn't weaken a crash");
    assert!(history.withdraw(REQUEST, "b"));
    assert!(!history.withdraw(REQUEST, "a"));
    assert_eq!(names(&history, REQUEST, at(20)), ["a"]);
    assert_eq!(history.engines(REQUEST, at(20))[0].certainty, Certainty::Confirmed);
}

/// Guards against missing a crash that is reported late: a single caller may send the request again before its edge has
/// noticed that it left.
#[test]
fn crashes_under_the_request_of_one_caller_count_in_any_order() {
    let mut history = CrashHistory::default();
    let late = |engine| CrashReport { callers: Callers::One, ..crash(engine, Duration::from_secs(2)) };
    assert_eq!(record(&mut history, late("a"), at(0)), 1);
    assert_eq!(record(&mut history, late("b"), at(1)), 2);
}

#[test]
fn a_restored_history_counts_on() {
    let mut history = CrashHistory::default();
    record(&mut history, crash("a", SENT_AGO), at(0));
    record(&mut history, suspicion("b"), at(10));
    let mut restored = CrashHistory::restored(history.chains(at(10)).cloned());
    assert_eq!(record(&mut restored, crash("c", SENT_AGO), at(20)), 3);
    assert!(restored.withdraw(REQUEST, "b"));
}

#[test]
fn a_confirmed_quarantine_replaces_a_suspected_one_and_outlasts_it() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.add(QuarantinedRequest::suspected(REQUEST), at(0)));
    assert!(!quarantine.add(QuarantinedRequest::suspected(REQUEST), at(10)));
    assert!(quarantine.add(QuarantinedRequest::confirmed(REQUEST), at(20)));
    assert!(!quarantine.add(QuarantinedRequest::suspected(REQUEST), at(30)));
    let found = quarantine.find(REQUEST, at(0) + SUSPICION_TIME * 2);
    assert_eq!(found.map(|found| found.certainty), Some(Certainty::Confirmed));
}

/// Guards against missing a crash whose report is slow: its caller has left and sent the request again meanwhile.
#[test]
fn a_crash_counts_from_the_loss_and_not_from_its_report() {
    let mut history = CrashHistory::default();
    let second = Duration::from_secs(1);
    assert_eq!(
        record(&mut history, CrashReport { lost_ago: second, ..crash("a", 2 * second) }, at(3_000)),
        1
    );
    assert_eq!(record(&mut history, crash("b", second), at(3_010)), 2);
}

/// Records that an engine lost the request and has shown a sign of life.
fn survive(history: &mut CrashHistory, engine: &str, now: Timestamp) {
    history.record(suspicion(engine), now);
    assert!(history.withdraw(REQUEST, engine));
}

/// Guards against taking a sign of life for the outcome: an engine may end long after it lost the request.
#[test]
fn an_engine_that_ends_after_a_sign_of_life_counts() {
    for delay in [300, 1_000, 5_000, 20_000] {
        let mut history = CrashHistory::default();
        for (position, engine) in ["a", "b", "c"].into_iter().enumerate() {
            survive(&mut history, engine, at(position as u64 * 100));
        }
        assert!(!history.count(REQUEST, at(300)).has_reached_limit(), "no engine has ended");
        let lost_ago = Duration::from_millis(delay);
        let late = |engine| CrashReport { lost_ago, ..crash(engine, lost_ago + SENT_AGO) };
        assert!(history.record(late("a"), at(delay)));
        assert!(history.count(REQUEST, at(delay)).has_reached_limit(), "the others may follow");
        assert!(history.record(late("b"), at(delay + 100)));
        assert!(history.record(late("c"), at(delay + 200)));
        let confirmed = CrashCount { confirmed: 3, ..CrashCount::default() };
        assert_eq!(history.count(REQUEST, at(delay + 200)), confirmed);
    }
}

/// Guards against holding a request back for engines that fail requests and go on.
#[test]
fn engines_that_outlive_the_observation_no_longer_count() {
    let mut history = CrashHistory::default();
    survive(&mut history, "a", at(0));
    survive(&mut history, "b", at(100));
    record(&mut history, crash("c", SENT_AGO), at(200));
    assert!(history.count(REQUEST, at(200)).has_reached_limit());
    let later = at(100) + OBSERVATION_TIME;
    assert_eq!(history.count(REQUEST, later), CrashCount { confirmed: 1, ..CrashCount::default() });
}

/// Guards against missing a crash because the names of engines that went on take all the room.
#[test]
fn an_observed_engine_gives_way_to_a_crash() {
    let mut history = CrashHistory::default();
    for number in 0..20 {
        survive(&mut history, &format!("e{number}"), at(number));
    }
    for (position, engine) in ["a", "b", "c"].into_iter().enumerate() {
        record(&mut history, crash(engine, SENT_AGO), at(100 + position as u64 * 10));
    }
    assert_eq!(names(&history, REQUEST, at(130)), ["a", "b", "c"]);
}

#[test]
fn an_observation_is_restored_with_the_crashes_beside_it() {
    let mut history = CrashHistory::default();
    survive(&mut history, "a", at(0));
    let restored = CrashHistory::restored(history.chains(at(0)).cloned());
    assert_eq!(restored.count(REQUEST, at(5)).observed, 1, "the engine may end yet");
    record(&mut history, crash("b", SENT_AGO), at(10));
    let restored = CrashHistory::restored(history.chains(at(10)).cloned());
    assert_eq!(restored.count(REQUEST, at(20)), history.count(REQUEST, at(20)));
}

/// Guards against reporting a request before each send for longer than crashes count, and against forgetting it sooner.
#[test]
fn a_suspect_request_is_remembered_for_as_long_as_crashes_count() {
    let mut suspects = SuspectRequests::default();
    assert!(suspects.add(SuspectRequest::new(REQUEST), at(0)));
    assert!(!suspects.add(SuspectRequest::new(REQUEST), at(10)), "it was known");
    assert!(suspects.contains(REQUEST, at(0) + CRASH_RETENTION));
    assert!(!suspects.contains(REQUEST, at(10) + CRASH_RETENTION));
    suspects.expire(at(10) + CRASH_RETENTION);
    assert!(suspects.is_empty());
    for number in 0..10_000 {
        suspects.add(SuspectRequest::new(RequestFingerprint(number)), at(number));
    }
    assert!(suspects.len() <= 4096, "{}", suspects.len());
}
