//! A machine waits for membership and a member is stopped as planned; right after the machine has taken its place,
//! another member loses its disk. The stopped member comes back with everything it held.
//!
//! Guards against a group in which the empty successor and the empty member wait for each other for ever, while a
//! machine that holds every record is there and nobody reads it.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// How long the stopped process is away after it has ended.
const ABSENCE: Duration = Duration::from_millis(660);

#[tokio::test(start_paused = true)]
async fn a_group_votes_again_after_a_disk_loss_right_after_a_planned_stop() {
    for wiped in ["m0", "m1"] {
        let mut cluster = StorageCluster::found(SETTINGS, 3).await;
        cluster.add("new", 2);
        cluster.start("new").await;
        cluster.run_turns(SETTINGS.catch_up_time).await;
        let mut stop = cluster.begin_stop("m2");
        let deadline = tokio::time::Instant::now() + SETTINGS.catch_up_time;
        while cluster.members().contains(&"m2".to_owned()) {
            assert!(tokio::time::Instant::now() < deadline, "the waiting machine takes the place");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        cluster.lose_disk(wiped).await;
        stop.join_next().await;
        cluster.lose_power("m2").await;
        tokio::time::sleep(ABSENCE).await;
        cluster.start("m2").await;
        // A turn continues the newest acknowledged one, and its chain is checked.
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "{wiped} lost its disk beside the planned stop");
    }
}
