//! A machine departs, an empty one replaces it, and after the allowed four seconds all machines lose power
//! and the tolerated number of others lose their disks.
//!
//! Guards against a replacement that joins or votes too late: the wiped member and the incomplete
//! new one would then wait forever to read each other, and no request would be served again.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

/// Time within which the new machine must vote, and time within which service must be back.
const COMPLETE_WITHIN: Duration = Duration::from_secs(4);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
const WARM_UP: Duration = Duration::from_millis(1000);
const OUTAGE_DURATION: Duration = Duration::from_millis(500);
/// Outage times up to here are tested in fine steps, later ones in coarse steps.
const FINE_STEP_LIMIT: Duration = Duration::from_millis(7_500);
const FINE_STEP: Duration = Duration::from_millis(10);
const MAX_OUTAGE_DELAY: Duration = Duration::from_secs(15);
const COARSE_STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Members of the group, and how many losses at once it must tolerate.
    size: usize,
    tolerated_losses: usize,
    /// Time from the departure to the start of the replacement.
    replacement_delay: Duration,
    /// Latency of each reply.
    reply_latency: Duration,
}

impl Scenario {
    /// Runs the scenario with an outage `outage_delay` after the start of the new machine; returns whether
    /// turns succeed again in time.
    fn recovers_after_outage(self, outage_delay: Duration) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(async move {
            let settings = ClusterSettings {
                tolerated_losses: self.tolerated_losses,
                catch_up_time: COMPLETE_WITHIN,
                reply_latency: self.reply_latency,
            };
            let mut cluster = StorageCluster::found(settings, self.size).await;
            assert_eq!(cluster.members().len(), self.size, "founded");
            cluster.run_turns(WARM_UP).await;
            cluster.remove(&name(self.size - 1)).await;
            cluster.run_turns(self.replacement_delay).await;
            cluster.add("new", self.size - 1);
            cluster.start("new").await;
            cluster.run_turns(outage_delay).await;
            let wiped: Vec<String> = (0..self.tolerated_losses).map(name).collect();
            let wiped: Vec<&str> = wiped.iter().map(String::as_str).collect();
            cluster.lose_everything(&wiped, OUTAGE_DURATION).await;
            cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some()
        })
    }

    /// Runs the scenario for every outage from the moment at which the new machine must vote.
    fn assert_recovery_from_every_moment(self) {
        let mut outage_delay = COMPLETE_WITHIN;
        let mut failed_delays = Vec::new();
        while outage_delay <= MAX_OUTAGE_DELAY {
            if !self.recovers_after_outage(outage_delay) {
                failed_delays.push(outage_delay);
            }
            outage_delay += if outage_delay < FINE_STEP_LIMIT { FINE_STEP } else { COARSE_STEP };
        }
        let (first, last) = (failed_delays.first(), failed_delays.last());
        assert!(
            failed_delays.is_empty(),
            "{self:?}: no recovery from {} outages, {first:?} to {last:?}",
            failed_delays.len()
        );
    }
}

fn scenario(size: usize, tolerated_losses: usize, replacement_delay: u64, reply_latency: u64) -> Scenario {
    let (replacement_delay, reply_latency) =
        (Duration::from_millis(replacement_delay), Duration::from_millis(reply_latency));
    Scenario { size, tolerated_losses, replacement_delay, reply_latency }
}

#[test]
fn a_replacement_in_a_group_of_three_votes_in_time() {
    scenario(3, 1, 0, 0).assert_recovery_from_every_moment();
}

#[test]
fn a_replacement_in_a_group_of_five_votes_in_time() {
    scenario(5, 2, 0, 0).assert_recovery_from_every_moment();
}

#[test]
fn a_late_replacement_votes_in_time() {
    scenario(3, 1, 2_000, 0).assert_recovery_from_every_moment();
}

#[test]
fn a_replacement_votes_in_time_with_slow_replies() {
    scenario(3, 1, 300, 150).assert_recovery_from_every_moment();
}
