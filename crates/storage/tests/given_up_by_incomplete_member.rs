//! A member loses its disk, and before it has read the others one of them is stopped as planned or killed, and comes back.
//!
//! Guards against an empty member that removes the other one from the group: it would then read one member only, and
//! vote without the records that were at the removed one and on its own lost disk.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster};
use tokio::time::Instant;

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than the time after which a stopped member is removed.
const STOP_DURATION: Duration = Duration::from_millis(2_800);
/// Longer than the time after which a killed member is removed.
const KILL_DURATION: Duration = Duration::from_secs(12);
/// Times between the restart of the empty member and the stop; it reads the others after 1.1 s.
const STOP_DELAYS_MILLIS: [u64; 4] = [0, 300, 600, 900];
/// Interval of the checks of the group.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Three members, of which `m1` has just lost its disk; some turns are retained only by `m2` and on the lost disk.
async fn group_with_empty_member() -> StorageCluster {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.run_turns(Duration::from_millis(500)).await;
    cluster.run_turns_without("m0", Duration::from_millis(900)).await;
    cluster.lose_disk("m1").await;
    cluster
}

/// No member is missing from the group while another one does not vote.
async fn assert_complete_for(cluster: &StorageCluster, duration: Duration, context: &str) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        let is_complete = cluster.members() == ["m0", "m1", "m2"];
        assert!(is_complete || cluster.is_voting("m0") && cluster.is_voting("m1"), "{context}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_member_that_lost_its_disk_removes_none_that_it_has_to_read() {
    for delay in STOP_DELAYS_MILLIS {
        let context = format!("stopped {delay} ms after the return");
        let mut cluster = group_with_empty_member().await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let mut stop = cluster.begin_stop("m2");
        while stop.try_join_next().is_none() {
            assert_complete_for(&cluster, CHECK_INTERVAL, &context).await;
        }
        cluster.lose_power("m2").await;
        assert_complete_for(&cluster, STOP_DURATION, &context).await;
        cluster.start("m2").await;
        // A turn continues the newest acknowledged one, and its chain is checked.
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "{context}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_member_that_lost_its_disk_removes_none_that_was_killed() {
    for delay in STOP_DELAYS_MILLIS {
        let mut cluster = group_with_empty_member().await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.lose_power("m2").await;
        tokio::time::sleep(KILL_DURATION).await;
        assert_eq!(cluster.members(), ["m0", "m1", "m2"], "killed {delay} ms after the return");
        cluster.start("m2").await;
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "killed {delay} ms after the return");
    }
}
