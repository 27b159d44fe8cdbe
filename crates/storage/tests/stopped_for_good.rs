//! A member is stopped as planned and does not come back, and another one loses its disk before or after.
//!
//! Guards against a stopped member that takes the only other copy of a record with it: the empty member would either vote
//! without that record, or never vote.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Times between the end of the stopped member and the loss of the disk.
const LOSS_DELAYS_MILLIS: [u64; 5] = [0, 300, 900, 1_500, 2_800];
/// Times between the return of the member that lost its disk and the planned stop.
const STOP_DELAYS_MILLIS: [u64; 4] = [600, 900, 1_200, 1_500];

/// Three members; some turns are retained only by `m1` and `m2`.
async fn group_with_two_copies() -> StorageCluster {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.run_turns(Duration::from_millis(500)).await;
    cluster.run_turns_without("m0", Duration::from_millis(900)).await;
    cluster.run_turns(Duration::from_secs(1)).await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn its_records_outlive_a_disk_that_is_lost_after_it() {
    for delay in LOSS_DELAYS_MILLIS {
        let mut cluster = group_with_two_copies().await;
        cluster.stop_and_remove("m2").await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.lose_disk("m1").await;
        // A turn continues the newest acknowledged one, and its chain is checked.
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "the disk was lost {delay} ms after the stop");
    }
}

#[tokio::test(start_paused = true)]
async fn its_records_outlive_a_disk_that_is_lost_with_all_processes_after_it() {
    for delay in LOSS_DELAYS_MILLIS {
        let mut cluster = group_with_two_copies().await;
        cluster.stop_and_remove("m2").await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.lose_everything(&["m1"], Duration::from_millis(500)).await;
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "the disk was lost {delay} ms after the stop");
    }
}

/// The stopped member comes back and votes; what it acknowledges then must count again.
#[tokio::test(start_paused = true)]
async fn what_it_acknowledges_after_its_return_outlives_a_disk() {
    for delay in LOSS_DELAYS_MILLIS {
        let mut cluster = group_with_two_copies().await;
        cluster.stop("m2").await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.start("m2").await;
        cluster.run_turns(Duration::from_secs(4)).await;
        cluster.run_turns_without("m0", Duration::from_millis(900)).await;
        cluster.lose_disk("m1").await;
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "back after {delay} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn its_records_outlive_a_disk_that_was_lost_before_it() {
    for delay in STOP_DELAYS_MILLIS {
        let mut cluster = group_with_two_copies().await;
        cluster.lose_disk("m1").await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.stop_and_remove("m2").await;
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "stopped {delay} ms after the return");
    }
}

#[tokio::test(start_paused = true)]
async fn two_that_stop_at_once_take_no_record_with_them() {
    let mut cluster = group_with_two_copies().await;
    let mut stops = [cluster.begin_stop("m1"), cluster.begin_stop("m2")];
    for stop in &mut stops {
        stop.join_next().await;
    }
    cluster.lose_power("m1").await;
    cluster.lose_power("m2").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.start("m1").await;
    cluster.start("m2").await;
    assert!(cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some(), "both are back");
}

/// The directory makes the change, but the stopping member is told that it failed.
#[tokio::test(start_paused = true)]
async fn its_records_outlive_a_disk_if_the_directory_loses_its_replies() {
    for delay in LOSS_DELAYS_MILLIS {
        let mut cluster = group_with_two_copies().await;
        cluster.set_replies_lost(true);
        cluster.stop_and_remove("m2").await;
        cluster.set_replies_lost(false);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        cluster.lose_disk("m1").await;
        let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
        assert!(recovery.is_some(), "the disk was lost {delay} ms after the stop");
    }
}

/// Its process is killed in the middle of the handover and returns, and another member loses its disk meanwhile.
#[tokio::test(start_paused = true)]
async fn a_kill_during_the_handover_loses_no_record() {
    for killed_after in (0..=300).step_by(20) {
        for wiped in ["m0", "m1"] {
            let mut cluster = group_with_two_copies().await;
            let stop = cluster.begin_stop("m2");
            tokio::time::sleep(Duration::from_millis(killed_after)).await;
            drop(stop);
            cluster.lose_power("m2").await;
            cluster.lose_power(wiped).await;
            cluster.wipe(wiped);
            tokio::time::sleep(Duration::from_millis(660)).await;
            cluster.start(wiped).await;
            cluster.start("m2").await;
            let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
            assert!(recovery.is_some(), "killed after {killed_after} ms, {wiped} lost its disk");
        }
    }
}
