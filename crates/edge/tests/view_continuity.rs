//! Guards against inferences from a view of the engines that was not kept up to date all the time.

use std::time::Duration;

use sumacdrift_edge::ViewContinuity;
use sumacdrift_types::Timestamp;

const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// A view that is confirmed at some times, and asked at one.
struct Case {
    what: &'static str,
    /// In milliseconds, in the order in which they arrive.
    confirmations: Vec<u64>,
    asked_at: u64,
    is_continuous: bool,
    age: Option<u64>,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Confirmations every half second.
fn regular(from: u64, until: u64) -> Vec<u64> {
    (from..=until).step_by(500).collect()
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            what: "never confirmed",
            confirmations: vec![],
            asked_at: 60_000,
            is_continuous: false,
            age: None,
        },
        Case {
            what: "observed for less than the observation time",
            confirmations: regular(1_000, 10_500),
            asked_at: 10_999,
            is_continuous: false,
            age: Some(499),
        },
        Case {
            what: "observed for the observation time",
            confirmations: regular(1_000, 11_000),
            asked_at: 11_000,
            is_continuous: true,
            age: Some(0),
        },
        Case {
            what: "last confirmed just recently enough",
            confirmations: regular(0, 10_000),
            asked_at: 11_500,
            is_continuous: true,
            age: Some(1_500),
        },
        Case {
            what: "silent by now",
            confirmations: regular(0, 10_000),
            asked_at: 11_501,
            is_continuous: false,
            age: Some(1_501),
        },
        Case {
            what: "suspended, and confirmed again since",
            confirmations: [regular(0, 20_000), vec![31_000]].concat(),
            asked_at: 31_001,
            is_continuous: false,
            age: Some(1),
        },
        Case {
            what: "interrupted for a moment within the observation time",
            confirmations: [regular(0, 20_000), regular(21_501, 31_001)].concat(),
            asked_at: 31_001,
            is_continuous: false,
            age: Some(0),
        },
        Case {
            what: "interrupted before the observation time",
            confirmations: [regular(0, 20_000), regular(21_501, 31_501)].concat(),
            asked_at: 31_501,
            is_continuous: true,
            age: Some(0),
        },
        Case {
            what: "a lost feed",
            confirmations: [regular(0, 5_000), regular(6_500, 12_000)].concat(),
            asked_at: 12_000,
            is_continuous: true,
            age: Some(0),
        },
        Case {
            what: "a late confirmation of an earlier time",
            confirmations: [regular(0, 10_000), vec![9_000]].concat(),
            asked_at: 10_200,
            is_continuous: true,
            age: Some(200),
        },
        Case {
            what: "a late confirmation does not fill an interruption",
            confirmations: [regular(0, 10_000), vec![13_000, 11_500]].concat(),
            asked_at: 13_000,
            is_continuous: false,
            age: Some(0),
        },
    ]
}

#[test]
fn a_view_is_continuous_while_it_is_confirmed_without_an_interruption() {
    for case in cases() {
        let mut view = ViewContinuity::default();
        case.confirmations.iter().for_each(|millis| view.confirm(at(*millis)));
        let asked_at = at(case.asked_at);
        assert_eq!(view.is_continuous_since(asked_at, OBSERVATION_TIME), case.is_continuous, "{}", case.what);
        assert_eq!(view.age(asked_at), case.age.map(Duration::from_millis), "{}", case.what);
    }
}
