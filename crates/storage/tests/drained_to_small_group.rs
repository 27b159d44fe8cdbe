//! Two of five machines are drained, then two of the remaining three lose their disks, as the group must tolerate.
//!
//! Guards against two empty members that wait for each other for ever, and against acknowledged turns of which all
//! copies are on the lost disks.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 2,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Times between the second drain and the loss, from within the group change to after all members have adopted it.
const LOSS_DELAYS_MILLIS: [u64; 5] = [0, 100, 300, 1_000, 3_000];

/// Drains machines one after the other while turns run.
async fn drain(cluster: &mut StorageCluster, names: &[String]) {
    for name in names {
        cluster.retire(name);
        while !cluster.is_retired(name) {
            cluster.run_turns(Duration::from_millis(50)).await;
        }
        cluster.remove(name).await;
    }
}

#[tokio::test(start_paused = true)]
async fn three_of_five_members_recover_every_turn_after_two_lost_disks() {
    for intact in [0, 1, 4] {
        for delay in LOSS_DELAYS_MILLIS {
            let mut cluster = StorageCluster::found(SETTINGS, 5).await;
            cluster.run_turns(Duration::from_secs(1)).await;
            drain(&mut cluster, &[name(2), name(3)]).await;
            cluster.run_turns(Duration::from_millis(delay)).await;
            let wiped: Vec<String> =
                [0, 1, 4].into_iter().filter(|other| *other != intact).map(name).collect();
            let wiped: Vec<&str> = wiped.iter().map(String::as_str).collect();
            cluster.lose_everything(&wiped, Duration::from_millis(500)).await;
            // A turn continues the newest acknowledged one, and its chain is checked.
            let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
            assert!(recovery.is_some(), "m{intact} keeps its disk, loss after {delay} ms");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_drain_waits_while_too_few_members_would_survive_the_tolerated_losses() {
    let mut cluster = StorageCluster::found(SETTINGS, 5).await;
    drain(&mut cluster, &[name(2), name(3)]).await;
    cluster.retire(&name(4));
    cluster.run_turns(Duration::from_secs(30)).await;
    assert!(!cluster.is_retired(&name(4)), "two members can't lose two disks");
    cluster.add("new", 2);
    cluster.start("new").await;
    cluster.run_turns(SETTINGS.catch_up_time).await;
    assert!(cluster.is_retired(&name(4)), "the drain completes once a machine has joined");
}
