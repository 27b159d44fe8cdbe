//! Guards against an attempt that doesn't count because its edge was lost with it, and against counting one that was reported
//! before it was sent.

use std::time::Duration;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_quarantine::{CRASH_RETENTION, LostAttempts, SuspectRequest, SuspectRequests};
use sumacdrift_types::Timestamp;

fn at(seconds: u64) -> Timestamp {
    Timestamp::default() + Duration::from_secs(seconds)
}

#[test]
fn an_attempt_may_be_lost_before_a_crash_until_crashes_are_forgotten() {
    let mut lost = LostAttempts::default();
    assert!(!lost.may_precede(at(100)));
    assert_eq!(lost.record(CRASH_RETENTION, at(100)), Some(at(100)));
    assert!(!lost.may_precede(at(99)));
    assert!(lost.may_precede(at(100)));
    assert!(lost.may_precede(at(159)));
    assert!(!lost.may_precede(at(160)));
}

#[test]
fn a_later_loss_does_not_hide_an_earlier_one() {
    let mut lost = LostAttempts::default();
    lost.record(CRASH_RETENTION, at(100));
    lost.record(CRASH_RETENTION, at(120));
    assert!(lost.may_precede(at(110)));
    assert!(lost.may_precede(at(179)));
}

#[test]
fn a_loss_that_is_learned_of_late_has_its_own_time() {
    let mut lost = LostAttempts::default();
    assert_eq!(lost.record(Duration::from_secs(10), at(100)), Some(at(50)));
    assert!(lost.may_precede(at(60)));
    assert_eq!(lost.record(Duration::ZERO, at(100)), None);
    assert!(!lost.may_precede(at(110)));
}

#[test]
fn many_losses_are_bounded_and_the_latest_count() {
    let mut lost = LostAttempts::default();
    for second in 100..1_000 {
        lost.record(CRASH_RETENTION, at(second));
    }
    assert!(lost.may_precede(at(999)));
    assert!(!lost.may_precede(at(300)));
}

#[test]
fn a_request_is_known_since_its_first_announcement() {
    let mut suspects = SuspectRequests::default();
    let request = RequestFingerprint(7);
    assert_eq!(suspects.known_since(request, at(100)), None);
    suspects.add(SuspectRequest::new(request), at(100));
    suspects.add(SuspectRequest::new(request), at(130));
    assert_eq!(suspects.known_since(request, at(140)), Some(at(100)));
    suspects.add(SuspectRequest::new(request), at(300));
    assert_eq!(suspects.known_since(request, at(300)), Some(at(300)));
}
