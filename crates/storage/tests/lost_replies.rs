//! A machine joins a group that is too small and the reply to its change is lost; then all machines lose
//! power, and one member its disk.
//!
//! Guards against a joining machine that does not record durably that it never voted before it requests the
//! change: the wiped member would wait to read it, and it for that member, forever.

mod cluster;

use std::time::Duration;

use cluster::outages::{OutageMoments, assert_recovery_at_all};
use cluster::{ClusterSettings, StorageCluster, name};

const SETTINGS: ClusterSettings = ClusterSettings {
    tolerated_losses: 1,
    catch_up_time: Duration::from_secs(4),
    reply_latency: Duration::from_millis(150),
};
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_OUTAGE_DELAY: Duration = Duration::from_millis(3_000);
const OUTAGE_DELAY_STEP: Duration = Duration::from_millis(20);

async fn recovers_after_outage(outage_delay: Duration) -> bool {
    let mut cluster = StorageCluster::found(SETTINGS, 3).await;
    cluster.add("spare", 2);
    cluster.start("spare").await;
    cluster.run_turns(Duration::from_secs(2)).await;
    cluster.retire("m2");
    while cluster.members().len() == 3 {
        cluster.run_turns(Duration::from_millis(10)).await;
    }
    cluster.set_replies_lost(true);
    while !cluster.members().contains(&"spare".to_owned()) {
        cluster.run_turns(Duration::from_millis(10)).await;
    }
    cluster.run_turns(outage_delay).await;
    cluster.set_replies_lost(false);
    cluster.lose_everything(&[&name(0)], Duration::from_millis(500)).await;
    cluster.recovers_within(RECOVERY_TIMEOUT).await.is_some()
}

#[test]
fn a_group_recovers_if_the_reply_to_a_join_was_lost() {
    let moments = OutageMoments { first: Duration::ZERO, last: MAX_OUTAGE_DELAY, step: OUTAGE_DELAY_STEP };
    assert_recovery_at_all(moments, recovers_after_outage);
}
