//! After a drain a group has two members; one departs, an empty machine is added, and later all machines lose
//! power and one of the remaining members its disk.
//!
//! Guards against a new machine that joins in addition to the departed member instead of replacing it: the group
//! would keep one departed and one empty member, and never recover.

mod cluster;

use std::time::Duration;

use cluster::outages::{OutageMoments, assert_recovery_at_all};
use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(20),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_OUTAGE_DELAY: Duration = Duration::from_secs(12);
const OUTAGE_DELAY_STEP: Duration = Duration::from_millis(50);

async fn recovers_after_outage(replacement_delay: Duration, outage_delay: Duration, wiped: &str) -> bool {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.run_turns(Duration::from_millis(500)).await;
    cluster.retire_and_remove("m2").await;
    cluster.run_turns(Duration::from_secs(1)).await;
    cluster.remove(&name(0)).await;
    cluster.run_turns(replacement_delay).await;
    cluster.add("new", 0);
    cluster.start("new").await;
    cluster.run_turns(outage_delay).await;
    cluster.lose_everything(&[wiped], Duration::from_millis(500)).await;
    cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some()
}

fn assert_recovery_from_every_moment(replacement_delay: Duration, wiped: &str) {
    let moments =
        OutageMoments { first: SETTINGS.catch_up_time, last: MAX_OUTAGE_DELAY, step: OUTAGE_DELAY_STEP };
    assert_recovery_at_all(moments, |outage_delay| {
        recovers_after_outage(replacement_delay, outage_delay, wiped)
    });
}

#[test]
fn a_group_recovers_if_the_new_machine_loses_its_disk() {
    assert_recovery_from_every_moment(Duration::ZERO, "new");
}

#[test]
fn a_group_recovers_if_the_remaining_member_loses_its_disk() {
    assert_recovery_from_every_moment(Duration::ZERO, "m1");
}

#[test]
fn a_group_recovers_if_a_late_replacement_loses_its_disk() {
    assert_recovery_from_every_moment(Duration::from_millis(1_200), "new");
}
