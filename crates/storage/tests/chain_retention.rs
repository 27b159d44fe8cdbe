//! A program whose tools work for a while after each turn, for less than the retention each time.
//!
//! Guards against a chain that loses its oldest turns, or their copies, before its newest turn expires, and against
//! content that is kept for ever.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Shorter than the retention of 60 s.
const PAUSE: Duration = Duration::from_secs(50);
/// Time after which nothing is sent to an absent member any more; shorter than the time after which it is removed.
const ABSENCE: Duration = Duration::from_secs(4);
/// Twice the retention: the time for which a turn is kept after its end.
const KEPT: Duration = Duration::from_secs(120);
/// Time in which all members learn that nobody needs a turn: a few intervals of the expiry.
const REMOVAL_TIME: Duration = Duration::from_secs(30);

/// Takes a turn that is stored by the other members only.
async fn take_turn_without(cluster: &mut StorageCluster, absent: &str) {
    cluster.lose_power(absent).await;
    take_turn(cluster).await;
    tokio::time::sleep(ABSENCE).await;
    cluster.start(absent).await;
}

async fn take_turn(cluster: &mut StorageCluster) {
    // Asserts that the chain is complete.
    let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
    assert!(recovery.is_some(), "the program goes on");
}

#[tokio::test(start_paused = true)]
async fn a_program_goes_on_however_old_its_first_turns_are() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    for _ in 0..10 {
        take_turn(&mut cluster).await;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Each turn is stored by two members only, and not by the same two as the turn before.
#[tokio::test(start_paused = true)]
async fn a_long_chain_outlives_each_disk() {
    for wiped in 0..3 {
        let mut cluster = StorageCluster::found(SETTINGS, 3).await;
        for turn in 0..7 {
            take_turn_without(&mut cluster, &name(turn % 3)).await;
            tokio::time::sleep(PAUSE).await;
        }
        cluster.lose_disk(&name(wiped)).await;
        take_turn(&mut cluster).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_chain_across_programs_is_kept_in_each_group() {
    let mut cluster = StorageCluster::found(SETTINGS, 7).await;
    assert_eq!(cluster.map().groups().len(), 2, "two groups");
    for turn in 0..8 {
        cluster.set_program(&format!("program-{turn}"));
        take_turn(&mut cluster).await;
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_long_chain_outlives_a_restart_of_all_processes() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    for _ in 0..5 {
        take_turn(&mut cluster).await;
        tokio::time::sleep(PAUSE).await;
        cluster.lose_everything(&[], Duration::from_millis(500)).await;
    }
    take_turn(&mut cluster).await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_kept_for_a_program_that_is_gone() {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    for turn in 0..6 {
        take_turn_without(&mut cluster, &name(turn % 3)).await;
        tokio::time::sleep(PAUSE).await;
    }
    assert!((0..3).all(|position| cluster.retained_turns_of(&name(position)) > 0));
    tokio::time::sleep(KEPT - PAUSE + REMOVAL_TIME).await;
    let retained = [0, 1, 2].map(|position| cluster.retained_turns_of(&name(position)));
    assert_eq!(retained, [0, 0, 0]);
}
