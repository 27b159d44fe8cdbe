//! A member loses its disk and is drained right after its return, before it has read anything.
//!
//! Guards against a drain that completes at once because the empty disk has nothing to hand over: a record of this
//! member and one other would then have a single holder, and a machine that joins reads only one of the two members.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Long enough for a drained machine to be reported, and shorter than the catch-up.
const BEFORE_CATCH_UP: Duration = Duration::from_millis(900);

/// A group of three, in which `m2` has lost its disk and restarted; the newest turns are retained by `holder` and had
/// a copy on that disk, but none at the remaining member.
async fn cluster_after_disk_loss(holder: &str) -> StorageCluster {
    let other = if holder == "m0" { "m1" } else { "m0" };
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.run_turns(Duration::from_millis(500)).await;
    cluster.lose_power(other).await;
    cluster.run_turns(Duration::from_millis(900)).await;
    cluster.start(other).await;
    cluster.lose_power("m2").await;
    cluster.wipe("m2");
    cluster.start("m2").await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn a_member_that_lost_its_disk_is_not_drained_before_it_has_read_the_others() {
    for holder in [name(0), name(1)] {
        let mut cluster = cluster_after_disk_loss(&holder).await;
        cluster.retire("m2");
        tokio::time::sleep(BEFORE_CATCH_UP).await;
        assert!(!cluster.is_voting("m2"), "still empty");
        assert!(!cluster.is_retired("m2"), "drained before it has read anything");
        cluster.run_turns(SETTINGS.catch_up_time).await;
        assert!(cluster.is_retired("m2"), "drained once it has caught up");
    }
}

#[tokio::test(start_paused = true)]
async fn turns_of_a_drained_member_that_lost_its_disk_survive_the_next_machine() {
    for holder in [name(0), name(1)] {
        let mut cluster = cluster_after_disk_loss(&holder).await;
        cluster.retire("m2");
        let mut waited = Duration::ZERO;
        while !cluster.is_retired("m2") {
            assert!(waited < SETTINGS.catch_up_time, "drained in time");
            tokio::time::sleep(Duration::from_millis(50)).await;
            waited += Duration::from_millis(50);
        }
        cluster.remove("m2").await;
        cluster.add("new", 2);
        cluster.start("new").await;
        tokio::time::sleep(SETTINGS.catch_up_time).await;
        cluster.lose_power(&holder).await;
        // A turn continues the newest acknowledged one, and its chain is checked.
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "turns that {holder} and the drained member retained");
    }
}
