//! A machine is being drained, and is lost and removed before it has handed over its records.
//!
//! Guards against members that take the drain for a completed handover and don't read each other: the loss of another
//! disk would then lose a record that had two copies.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than the removal of a lost member takes.
const REMOVAL_TIME: Duration = Duration::from_secs(12);

#[tokio::test(start_paused = true)]
async fn members_read_each_other_after_the_removal_of_one_that_was_being_drained() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.run_turns(Duration::from_millis(500)).await;
    // These turns are stored by `m1` and `m2`; without `m0` the handover can't complete.
    cluster.lose_power("m0").await;
    cluster.run_turns(Duration::from_secs(1)).await;
    cluster.retire("m2");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!cluster.is_retired("m2"), "the handover is not complete");
    cluster.remove("m2").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.start("m0").await;
    tokio::time::sleep(REMOVAL_TIME).await;
    assert_eq!(cluster.members(), ["m0", "m1"]);
    cluster.lose_disk("m1").await;
    // A turn continues the newest acknowledged one, and its chain is checked.
    assert!(cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some(), "service is back");
}
