//! Outages at many moments, each in a run of its own.

use std::time::Duration;

/// When an outage begins, in the runs of one test.
#[derive(Debug, Clone, Copy)]
pub struct OutageMoments {
    pub first: Duration,
    pub last: Duration,
    pub step: Duration,
}

/// Asserts that `recovers_after` returns true for each moment. Each run has a virtual clock of its own.
pub fn assert_recovery_at_all<F>(moments: OutageMoments, recovers_after: impl Fn(Duration) -> F)
where
    F: Future<Output = bool>,
{
    let mut failed = Vec::new();
    let mut moment = moments.first;
    while moment <= moments.last {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        if !runtime.expect("a runtime").block_on(recovers_after(moment)) {
            failed.push(moment);
        }
        moment += moments.step;
    }
    assert!(
        failed.is_empty(),
        "no recovery from {} outages, {:?} to {:?}",
        failed.len(),
        failed.first(),
        failed.last()
    );
}
