//! What other nodes told of their calls at engines.

use std::time::Duration;

use sumacdrift_fleet_view::EngineLoad;
use sumacdrift_types::Timestamp;

use crate::recent_calls::CallCounts;

/// How long what others told counts; after that it says nothing of now.
const OTHERS_COUNT_FOR: Duration = Duration::from_millis(1500);
/// Time after which differences between engines, as they were told, have shrunk to 1/e: calls begin and end meanwhile,
/// and whoever was told the same sent calls to the emptier engines.
const DIFFERENCES_LAST: Duration = Duration::from_millis(150);
/// Time within which every busy node tells of its calls at an engine after some node told of a failure there, and its news are
/// here.
pub(crate) const ALL_TELL_WITHIN: Duration = Duration::from_millis(400);
/// Failures that others must have seen for an engine to be avoided here too.
const FAILURES_TO_AVOID: u32 = 3;

/// Calls of other nodes at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct OtherLoad {
    pub(crate) running: f64,
    pub(crate) unread_tokens: f64,
    /// Calls that failed a moment ago, and nodes whose last call ended well.
    pub(crate) failed: u32,
    pub(crate) served: u32,
    /// Calls that ended of late, where any failed.
    recent: CallCounts,
    /// Since when they have told that some did.
    some_fail_since: Option<Timestamp>,
}

impl OtherLoad {
    /// As others told it, after what they told before.
    pub(crate) fn told(load: &EngineLoad, before: &OtherLoad, now: Timestamp) -> Self {
        let some_fail = load.recent_failed > 0;
        Self {
            some_fail_since: some_fail.then(|| before.some_fail_since.unwrap_or(now)),
            running: f64::from(load.running),
            unread_tokens: f64::from(load.unread_tokens),
            failed: load.failed,
            served: load.served,
            recent: CallCounts { ended: load.recent_ended, failed: load.recent_failed },
        }
    }

    /// Whether calls of others failed there of late.
    pub(crate) fn some_fail(&self) -> bool {
        self.some_fail_since.is_some()
    }

    /// Calls of others that ended there of late. The nodes with failures tell first, so nothing counts before the others can
    /// have told of theirs.
    pub(crate) fn recent(&self, now: Timestamp) -> CallCounts {
        let all_told = self.some_fail_since.is_some_and(|since| now.since(since) >= ALL_TELL_WITHIN);
        if all_told { self.recent } else { CallCounts::default() }
    }

    /// Whether others' calls fail there, more than end well.
    pub(crate) fn fails(&self) -> bool {
        self.failed >= FAILURES_TO_AVOID && self.failed > self.served
    }
}

/// When other nodes told last.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ToldTime(Option<Timestamp>);

impl ToldTime {
    /// They told now.
    pub(crate) fn now(now: Timestamp) -> Self {
        Self(Some(now))
    }

    /// Age of what is known; `None` where nothing is.
    pub(crate) fn age(self, now: Timestamp) -> Option<Duration> {
        self.0.map(|told| now.since(told)).filter(|age| *age < OTHERS_COUNT_FOR)
    }
}

/// Calls of others at the engines of one choice: what was told, drawn towards the mean the older it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BelievedLoads {
    mean: OtherLoad,
    kept: Option<f64>,
}

impl BelievedLoads {
    /// What was told of the engines that a choice is among, with its age; nobody has calls at some more.
    pub(crate) fn among(told: impl Iterator<Item = OtherLoad>, idle: usize, age: Option<Duration>) -> Self {
        let Some(age) = age else { return Self { mean: OtherLoad::default(), kept: None } };
        let mut count = 0_u32;
        let mut sum = OtherLoad::default();
        for load in told {
            count += 1;
            sum.running += load.running;
            sum.unread_tokens += load.unread_tokens;
        }
        let count = (f64::from(count) + idle as f64).max(1.0);
        let mean = OtherLoad {
            running: sum.running / count,
            unread_tokens: sum.unread_tokens / count,
            ..OtherLoad::default()
        };
        Self { mean, kept: Some((-age.as_secs_f64() / DIFFERENCES_LAST.as_secs_f64()).exp()) }
    }

    /// What is believed by now of an engine of which this was told.
    pub(crate) fn by_now(&self, told: &OtherLoad) -> OtherLoad {
        let Some(kept) = self.kept else { return OtherLoad::default() };
        let towards_mean = |told: f64, mean: f64| mean + (told - mean) * kept;
        OtherLoad {
            running: towards_mean(told.running, self.mean.running),
            unread_tokens: towards_mean(told.unread_tokens, self.mean.unread_tokens),
            ..*told
        }
    }
}
