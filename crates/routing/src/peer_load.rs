//! Load at engines caused by peers, as reported by them.

use std::time::Duration;

use sumacdrift_fleet_view::EngineLoad;
use sumacdrift_types::Timestamp;

use crate::recent_calls::CallCounts;

/// How long a peer report is valid.
const REPORT_VALIDITY: Duration = Duration::from_millis(1500);
/// Decay time (to 1/e) of reported differences between engines: calls begin and end meanwhile, and all receivers of
/// the report sent calls to the emptier engines.
const DIFFERENCE_DECAY_TIME: Duration = Duration::from_millis(150);
/// Time by which all busy nodes have reported their calls at an engine, and the reports have arrived, after the first
/// report of a failure there.
pub(crate) const ALL_REPORTED_WITHIN: Duration = Duration::from_millis(400);
/// Minimum failures reported by peers for an engine to be avoided.
const FAILURES_TO_AVOID: u32 = 3;

/// Reported load at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct PeerLoad {
    pub(crate) running: f64,
    pub(crate) unread_tokens: f64,
    /// Consecutive recent failures, and number of nodes whose last call succeeded.
    pub(crate) failed: u32,
    pub(crate) served: u32,
    /// Calls that ended recently; reported only if any failed.
    recent: CallCounts,
    /// When reports of recent failures began; `None` if the last one has none.
    failing_since: Option<Timestamp>,
}

impl PeerLoad {
    /// The load in a report that follows `previous`.
    pub(crate) fn from_report(load: &EngineLoad, previous: &PeerLoad, now: Timestamp) -> Self {
        let has_failures = load.recent_failed > 0;
        Self {
            failing_since: has_failures.then(|| previous.failing_since.unwrap_or(now)),
            running: f64::from(load.running),
            unread_tokens: f64::from(load.unread_tokens),
            failed: load.failed,
            served: load.succeeding_edges,
            recent: CallCounts { ended: load.recent_ended, failed: load.recent_failed },
        }
    }

    /// Whether peers reported recent failures.
    pub(crate) fn has_failures(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Calls of peers that ended recently. Nodes with failures report first, so nothing counts until the others have
    /// had time to report theirs.
    pub(crate) fn recent(&self, now: Timestamp) -> CallCounts {
        let have_all_reported =
            self.failing_since.is_some_and(|since| now.since(since) >= ALL_REPORTED_WITHIN);
        if have_all_reported { self.recent } else { CallCounts::default() }
    }

    /// Whether peers see more failures than successes, and enough of them to avoid the engine.
    pub(crate) fn is_failing(&self) -> bool {
        self.failed >= FAILURES_TO_AVOID && self.failed > self.served
    }
}

/// When the last peer report arrived.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PeerReportTime(Option<Timestamp>);

impl PeerReportTime {
    pub(crate) fn at(now: Timestamp) -> Self {
        Self(Some(now))
    }

    /// Age of the last report; `None` if there is no valid one.
    pub(crate) fn age(self, now: Timestamp) -> Option<Duration> {
        self.0.map(|reported| now.since(reported)).filter(|age| *age < REPORT_VALIDITY)
    }
}

/// Extrapolates reported loads: the older the report, the closer each engine is to the mean of its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerLoadEstimator {
    mean: PeerLoad,
    /// Weight of reported differences from the mean; `None` without a valid report.
    weight: Option<f64>,
}

impl PeerLoadEstimator {
    /// `reported` are the loads of all engines with state of their own; `idle` is the number of engines without
    /// reported load.
    pub(crate) fn new(reported: impl Iterator<Item = PeerLoad>, idle: usize, age: Option<Duration>) -> Self {
        let Some(age) = age else { return Self { mean: PeerLoad::default(), weight: None } };
        let mut count = 0_u32;
        let mut sum = PeerLoad::default();
        for load in reported {
            count += 1;
            sum.running += load.running;
            sum.unread_tokens += load.unread_tokens;
        }
        let count = (f64::from(count) + idle as f64).max(1.0);
        let mean = PeerLoad {
            running: sum.running / count,
            unread_tokens: sum.unread_tokens / count,
            ..PeerLoad::default()
        };
        Self { mean, weight: Some((-age.as_secs_f64() / DIFFERENCE_DECAY_TIME.as_secs_f64()).exp()) }
    }

    /// The estimated current load of an engine, given its reported one.
    pub(crate) fn current(&self, reported: &PeerLoad) -> PeerLoad {
        let Some(weight) = self.weight else { return PeerLoad::default() };
        let towards_mean = |reported: f64, mean: f64| mean + (reported - mean) * weight;
        PeerLoad {
            running: towards_mean(reported.running, self.mean.running),
            unread_tokens: towards_mean(reported.unread_tokens, self.mean.unread_tokens),
            ..*reported
        }
    }
}
