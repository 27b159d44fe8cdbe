//! Removal of departed members that have no replacement, and members that come back.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than the time after which a departed member is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(14);

/// A group of three in which a new machine has replaced a drained one, so that the next departure has no
/// replacement.
async fn cluster_with_replaced_member() -> StorageCluster {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.retire_and_remove("m2").await;
    cluster.add("new", 0);
    cluster.start("new").await;
    cluster.run_turns(SETTINGS.catch_up_time).await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn remaining_members_recover_from_an_outage_at_any_time_after_a_planned_stop() {
    for victim in ["new", "m1"] {
        for extra_delay in (0..4_000).step_by(250) {
            let mut cluster = cluster_with_replaced_member().await;
            cluster.stop_and_remove(&name(0)).await;
            cluster.run_turns(SETTINGS.catch_up_time + Duration::from_millis(extra_delay)).await;
            cluster.lose_everything(&[victim], Duration::from_millis(500)).await;
            let recovered = cluster.recovers_within(RECOVERY_TIMEOUT).await;
            assert!(recovered.is_some(), "{victim} lost its disk {extra_delay} ms after the allowed time");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn records_of_a_departed_member_and_one_other_survive_the_loss_of_the_other_disk() {
    let mut cluster = cluster_with_replaced_member().await;
    // These turns are retained only by the first machine and the new one.
    cluster.lose_power("m1").await;
    cluster.run_turns(Duration::from_millis(900)).await;
    cluster.start("m1").await;
    cluster.stop_and_remove(&name(0)).await;
    cluster.run_turns(SETTINGS.catch_up_time).await;
    cluster.lose_everything(&["new"], Duration::from_millis(500)).await;
    // `run_turn` asserts that the chain is complete.
    assert!(cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some(), "service is back");
}

#[tokio::test(start_paused = true)]
async fn a_member_that_departs_unannounced_is_removed() {
    let mut cluster = cluster_with_replaced_member().await;
    cluster.remove(&name(0)).await;
    cluster.run_turns(REMOVAL_TIMEOUT).await;
    assert_eq!(cluster.members(), ["m1", "new"]);
    cluster.lose_everything(&["m1"], Duration::from_millis(500)).await;
    assert!(cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some(), "service is back");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_member_keeps_its_membership() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    let members_before = cluster.map().groups()[0].members.clone();
    for position in 0..3 {
        cluster.stop(&name(position)).await;
        cluster.run_turns(Duration::from_millis(600)).await;
        cluster.start(&name(position)).await;
        cluster.run_turns(Duration::from_millis(900)).await;
    }
    let group = cluster.map().groups()[0].clone();
    assert_eq!(group.members, members_before);
    assert!(group.handed_over.is_empty(), "no member is away: {:?}", group.handed_over);
    assert!((0..3).all(|position| cluster.is_voting(&name(position))), "all vote");
}

#[tokio::test(start_paused = true)]
async fn a_removed_machine_rejoins_and_all_members_vote() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.stop(&name(0)).await;
    cluster.run_turns(Duration::from_secs(3)).await;
    assert_eq!(cluster.members(), ["m1", "m2"]);
    cluster.start(&name(0)).await;
    cluster.run_turns(SETTINGS.catch_up_time).await;
    assert_eq!(cluster.members(), ["m0", "m1", "m2"]);
    assert!((0..3).all(|position| cluster.is_voting(&name(position))), "all vote");
    cluster.lose_everything(&["m1"], Duration::from_millis(500)).await;
    assert!(cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some(), "service is back");
}
