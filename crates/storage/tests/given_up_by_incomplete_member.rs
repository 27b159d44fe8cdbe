//! A member loses its disk, and before it has read the others one of them is stopped as planned and comes back.
//!
//! Guards against an empty member that removes the stopped one from the group: it would then read one member only, and
//! vote without the records that were at the stopped one and on its own lost disk.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than the time after which a stopped member is removed.
const STOP_DURATION: Duration = Duration::from_millis(2_800);
/// Times between the restart of the empty member and the stop; it reads the others after 1.1 s.
const STOP_DELAYS_MILLIS: [u64; 4] = [0, 300, 600, 900];

#[tokio::test(start_paused = true)]
async fn a_member_that_lost_its_disk_removes_none_that_it_has_to_read() {
    for delay in STOP_DELAYS_MILLIS {
        let mut cluster = StorageCluster::found(SETTINGS, 3).await;
        cluster.run_turns(Duration::from_millis(500)).await;
        // These turns are retained only by `m2` and on the disk that is lost.
        cluster.lose_power("m0").await;
        cluster.run_turns(Duration::from_millis(900)).await;
        cluster.start("m0").await;
        cluster.lose_power("m1").await;
        cluster.wipe("m1");
        cluster.start("m1").await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.stop("m2").await;
        tokio::time::sleep(STOP_DURATION).await;
        assert_eq!(cluster.members(), ["m0", "m1", "m2"], "stopped {delay} ms after the return");
        cluster.start("m2").await;
        // A turn continues the newest acknowledged one, and its chain is checked.
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "stopped {delay} ms after the return");
    }
}
