//! A member departs, and one of the two that remain learns of its removal from the other one before it sees the change
//! in the directory.
//!
//! Guards against a member that then never reads the other one: a record of that one and the departed member would have
//! a single holder in a group that takes every record to be at both.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than reading a member takes.
const DIRECTORY_LAG: Duration = Duration::from_secs(1);
/// Chance decides which of the two members requests the removal.
const REPETITIONS: usize = 6;

/// A group of `m0` and `m1`, from which `m2` departed. Some turns were retained only by `m2` and `m0`, others only by
/// `m2` and `m1`.
async fn cluster_after_departure() -> StorageCluster {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    for absent in ["m0", "m1"] {
        cluster.lose_power(absent).await;
        cluster.run_turns(Duration::from_millis(900)).await;
        cluster.set_directory_lag(absent, DIRECTORY_LAG);
        cluster.start(absent).await;
    }
    // The members hear each other before the stop.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster.stop_and_remove("m2").await;
    tokio::time::sleep(SETTINGS.catch_up_time).await;
    assert_eq!(cluster.members(), ["m0", "m1"]);
    cluster
}

#[tokio::test(start_paused = true)]
async fn both_remaining_members_hold_every_record_however_they_learn_of_the_removal() {
    for _ in 0..REPETITIONS {
        for wiped in ["m0", "m1"] {
            let mut cluster = cluster_after_departure().await;
            cluster.lose_everything(&[wiped], Duration::from_millis(500)).await;
            // A turn continues the newest acknowledged one, and its chain is checked.
            let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
            assert!(recovery.is_some(), "turns of the departed member and {wiped}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_removal_learned_right_before_an_outage_is_read_after_it() {
    for _ in 0..REPETITIONS {
        for wiped in ["m0", "m1"] {
            let mut cluster = StorageCluster::found(SETTINGS, 3).await;
            for absent in ["m0", "m1"] {
                cluster.lose_power(absent).await;
                cluster.run_turns(Duration::from_millis(900)).await;
                cluster.start(absent).await;
            }
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            cluster.stop_and_remove("m2").await;
            while cluster.members().len() == 3 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            // Both members have stored the change and have not read each other yet.
            tokio::time::sleep(Duration::from_millis(5)).await;
            cluster.lose_everything(&[], Duration::from_millis(500)).await;
            tokio::time::sleep(SETTINGS.catch_up_time).await;
            cluster.lose_everything(&[wiped], Duration::from_millis(500)).await;
            let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
            assert!(recovery.is_some(), "turns of the departed member and {wiped}");
        }
    }
}
