//! Disks that are lost one after the other, each once the member before has been complete again. Guards against members that
//! vote without the crashes that the others know, so that a request is sent on after three engines have ended under it.

mod cluster;

use std::sync::Arc;
use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};
use sumacdrift_calls::RequestFingerprint;
use sumacdrift_quarantine::{Callers, Certainty, CrashReport};
use sumacdrift_storage::CrashClient;

const REQUEST: RequestFingerprint = RequestFingerprint(7);
const KEY: &str = "program";
const MEMBERS: usize = 3;
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a member that lost its disk reads the others and votes.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

fn crash(engine: &str, certainty: Certainty) -> CrashReport<'_> {
    CrashReport {
        request: REQUEST,
        callers: Callers::One,
        engine,
        certainty,
        sent_ago: Duration::ZERO,
        lost_ago: Duration::ZERO,
    }
}

#[tokio::test(start_paused = true)]
async fn crashes_are_known_after_each_member_has_lost_its_disk_in_turn() {
    let settings = ClusterSettings {
        tolerated_losses: 1,
        catch_up_time: CATCH_UP_TIME,
        reply_latency: Duration::from_millis(1),
    };
    let mut cluster = StorageCluster::found(settings, MEMBERS).await;
    let crashes = CrashClient::new(Arc::new(cluster.client()), REPORT_TIMEOUT);
    crashes.report(crash("crashed", Certainty::Confirmed), KEY).await;
    crashes.report(crash("suspected", Certainty::Suspected), KEY).await;
    crashes.report(crash("alive", Certainty::Suspected), KEY).await;
    crashes.report(crash("alive", Certainty::Observed), KEY).await;
    let before = crashes.known(REQUEST, KEY).await;
    for position in 0..MEMBERS {
        let member = name(position);
        cluster.lose_power(&member).await;
        cluster.wipe(&member);
        cluster.start(&member).await;
        cluster.run_turns(CATCH_UP_TIME).await;
        assert!(cluster.is_voting(&member), "{member}");
    }
    assert_eq!(crashes.known(REQUEST, KEY).await, before);
}
