//! A new machine waits for membership, the member that it replaces is stopped as planned and removed, and right
//! after that all machines lose power and the tolerated number of others lose their disks.
//!
//! Guards against a stop that leaves the group one voter short until the stopped member counts as lost: it
//! offers its membership and keeps running until the new machine votes.

mod cluster;

use std::time::Duration;

use cluster::outages::{OutageMoments, assert_recovery_at_all};
use cluster::{ClusterSettings, StorageCluster, name};

const COMPLETE_WITHIN: Duration = Duration::from_secs(4);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_OUTAGE_DELAY: Duration = Duration::from_secs(5);
const OUTAGE_DELAY_STEP: Duration = Duration::from_millis(20);

async fn recovers_after_outage(size: usize, tolerated_losses: usize, outage_delay: Duration) -> bool {
    let settings = ClusterSettings {
        tolerated_losses,
        catch_up_time: COMPLETE_WITHIN,
        reply_latency: Duration::from_millis(50),
    };
    let mut cluster = StorageCluster::found(settings, size).await;
    cluster.add("new", size - 1);
    cluster.start("new").await;
    cluster.run_turns(COMPLETE_WITHIN).await;
    cluster.stop_and_remove(&name(size - 1)).await;
    cluster.run_turns(outage_delay).await;
    let wiped: Vec<String> = (0..tolerated_losses).map(name).collect();
    let wiped: Vec<&str> = wiped.iter().map(String::as_str).collect();
    cluster.lose_everything(&wiped, Duration::from_millis(500)).await;
    cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some()
}

fn assert_recovery_from_every_moment(size: usize, tolerated_losses: usize) {
    let moments = OutageMoments { first: Duration::ZERO, last: MAX_OUTAGE_DELAY, step: OUTAGE_DELAY_STEP };
    assert_recovery_at_all(moments, |outage_delay| {
        recovers_after_outage(size, tolerated_losses, outage_delay)
    });
}

#[test]
fn a_stopped_member_of_three_hands_its_seat_over() {
    assert_recovery_from_every_moment(3, 1);
}

#[test]
fn a_stopped_member_of_five_hands_its_membership_over() {
    assert_recovery_from_every_moment(5, 2);
}

#[tokio::test(start_paused = true)]
async fn a_member_stops_at_once_if_no_machine_waits_for_membership() {
    let settings = ClusterSettings {
        tolerated_losses: 1,
        catch_up_time: COMPLETE_WITHIN,
        reply_latency: Duration::from_millis(1),
    };
    let mut cluster = StorageCluster::found(settings, 3).await;
    let began = tokio::time::Instant::now();
    cluster.stop_and_remove(&name(2)).await;
    assert!(began.elapsed() < Duration::from_millis(10), "{:?}", began.elapsed());
}
