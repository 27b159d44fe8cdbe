//! Ends of engines by announcement and time. Guards against taking an announcement for the reason of an end, and against
//! counting planned ends as crashes.

use std::time::Duration;

use sumacdrift_quarantine::EngineEnd;
use sumacdrift_types::Timestamp;

const DRAIN_TIME: Duration = Duration::from_secs(2);

/// An end at a time after the edge began to run.
fn end(announced_millis: Option<u64>, ended_millis: u64) -> EngineEnd {
    let at = |millis| Timestamp::default() + Duration::from_millis(millis);
    EngineEnd { announced: announced_millis.map(at), ended: at(ended_millis) }
}

#[test]
fn an_end_without_an_announcement_is_not_planned() {
    assert!(!end(None, 0).is_planned(DRAIN_TIME));
    assert!(!end(None, 60_000).is_planned(DRAIN_TIME));
    assert!(!end(None, 60_000).is_planned(Duration::ZERO));
}

#[test]
fn an_end_before_the_drain_time_is_over_is_not_planned() {
    for ended in [5_000, 5_600, 6_500, 6_700] {
        assert!(!end(Some(5_000), ended).is_planned(DRAIN_TIME), "{ended}");
    }
}

#[test]
fn an_end_after_the_drain_time_is_planned() {
    // An edge learns of an announcement a little later than the directory.
    for ended in [6_900, 7_000, 7_100, 30_000] {
        assert!(end(Some(5_000), ended).is_planned(DRAIN_TIME), "{ended}");
    }
}

#[test]
fn an_end_before_its_announcement_is_not_planned() {
    assert!(!end(Some(9_000), 5_000).is_planned(DRAIN_TIME));
}

#[test]
fn without_a_drain_time_each_announced_end_is_planned() {
    assert!(end(Some(5_000), 5_000).is_planned(Duration::ZERO));
}
