//! A new machine has replaced a drained one in a group of three, and then an old member is stopped as planned
//! and removed without a replacement.
//!
//! Guards against a group that keeps the stopped member: after an outage in which the new machine loses its
//! disk it would never recover. The remaining members must read each other and continue as a group of two.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

#[tokio::test(start_paused = true)]
async fn a_small_group_recovers_after_a_member_stopped_without_a_replacement() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.retire_and_remove("m2").await;
    cluster.add("new", 0);
    cluster.start("new").await;
    cluster.run_turns(SETTINGS.catch_up_time).await;
    cluster.stop_and_remove(&name(0)).await;
    cluster.run_turns(SETTINGS.catch_up_time).await;
    cluster.lose_everything(&["new"], Duration::from_millis(500)).await;
    assert!(cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some(), "service is back");
}
