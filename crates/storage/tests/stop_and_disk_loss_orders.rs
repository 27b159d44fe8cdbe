//! One member is stopped as planned while another one loses its disk, in all orders of the steps *stop*, *end*, *return*,
//! *lose the disk*, *restart*, *begin to read* and *vote*.
//!
//! Guards against an order in which a committed record is lost, or in which the group never votes again.

mod cluster;

use std::time::Duration;

use cluster::{ClusterSettings, StorageCluster, name};

const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for which the member that loses its disk is away.
const LOSS_DURATION: Duration = Duration::from_millis(500);
/// Times for which the stopped member is away after its end: shorter and longer than the removal takes.
const ABSENCES: [Duration; 2] = [Duration::from_millis(660), Duration::from_millis(2_800)];
/// Beginning of the stop, in milliseconds after the loss of the disk.
const STOPS_AFTER_LOSS: std::ops::RangeInclusive<u64> = 0..=2_600;
/// Loss of the disk, in milliseconds after the beginning of the stop.
const LOSSES_AFTER_STOP: std::ops::RangeInclusive<u64> = 0..=3_600;
const TICK: Duration = Duration::from_millis(20);
const STEP_MILLIS: usize = 200;

#[derive(Debug, Clone, Copy)]
enum Order {
    StopAfterLoss(u64),
    LossAfterStop(u64),
}

fn settings(tolerated_losses: usize) -> ClusterSettings {
    let (catch_up_time, reply_latency) = (Duration::from_secs(4), Duration::from_millis(20));
    ClusterSettings { tolerated_losses, catch_up_time, reply_latency }
}

/// A group of `2 * losses + 1` members in which some turns are stored by a commit quorum only, among them the last two.
async fn group_with_few_copies(losses: usize) -> StorageCluster {
    let mut cluster = StorageCluster::found(settings(losses), 2 * losses + 1).await;
    cluster.run_turns(Duration::from_millis(500)).await;
    for position in 0..losses {
        cluster.lose_power(&name(position)).await;
    }
    cluster.run_turns(Duration::from_millis(900)).await;
    for position in 0..losses {
        cluster.start(&name(position)).await;
    }
    cluster.run_turns(Duration::from_secs(1)).await;
    cluster
}

async fn lose_disk(cluster: &mut StorageCluster, member: &str) {
    cluster.lose_power(member).await;
    cluster.wipe(member);
}

/// Stops `stopped` as planned and wipes `wiped`; returns after both are back, or after `stopped` has ended for good.
async fn stop_and_lose(
    cluster: &mut StorageCluster,
    order: Order,
    stopped: &str,
    wiped: &str,
    absence: Option<Duration>,
) {
    let (stop_at, loss_at) = match order {
        Order::StopAfterLoss(millis) => (millis, 0),
        Order::LossAfterStop(millis) => (0, millis),
    };
    let [stop_at, loss_at] = [stop_at, loss_at].map(Duration::from_millis);
    let mut stop = None;
    let mut return_at = None;
    let mut has_returned = absence.is_none();
    let (mut has_ended, mut has_lost, mut has_restarted) = (false, false, false);
    let mut elapsed = Duration::ZERO;
    while !(has_ended && has_returned && has_restarted) {
        if !has_lost && elapsed >= loss_at {
            lose_disk(cluster, wiped).await;
            has_lost = true;
        }
        if has_lost && !has_restarted && elapsed >= loss_at + LOSS_DURATION {
            cluster.start(wiped).await;
            has_restarted = true;
        }
        if stop.is_none() && elapsed >= stop_at {
            stop = Some(cluster.begin_stop(stopped));
        }
        if !has_ended && stop.as_mut().is_some_and(|stop| stop.try_join_next().is_some()) {
            cluster.lose_power(stopped).await;
            has_ended = true;
            return_at = absence.map(|absence| elapsed + absence);
        }
        if !has_returned && return_at.is_some_and(|return_at| elapsed >= return_at) {
            cluster.start(stopped).await;
            has_returned = true;
        }
        tokio::time::sleep(TICK).await;
        elapsed += TICK;
    }
    if absence.is_none() {
        cluster.remove(stopped).await;
    }
}

fn orders() -> impl Iterator<Item = Order> {
    let stops = STOPS_AFTER_LOSS.step_by(STEP_MILLIS).map(Order::StopAfterLoss);
    stops.chain(LOSSES_AFTER_STOP.step_by(STEP_MILLIS).map(Order::LossAfterStop))
}

async fn assert_recovery(losses: usize, absence: Option<Duration>) {
    let last = 2 * losses;
    // The turns of the time without the first members are stored by these two.
    for (stopped, wiped) in [(last, last - 1), (0, last)] {
        let (stopped, wiped) = (name(stopped), name(wiped));
        for order in orders() {
            let mut cluster = group_with_few_copies(losses).await;
            stop_and_lose(&mut cluster, order, &stopped, &wiped, absence).await;
            // A turn continues the newest acknowledged one, and its chain is checked.
            let recovery = cluster.recovers_within(RECOVERY_TIMEOUT).await;
            assert!(
                recovery.is_some(),
                "{stopped} stopped, {wiped} lost its disk, {order:?}, away {absence:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_of_three_keeps_all_records_if_the_stopped_member_returns() {
    for absence in ABSENCES {
        assert_recovery(1, Some(absence)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_of_five_keeps_all_records_if_the_stopped_member_returns() {
    for absence in ABSENCES {
        assert_recovery(2, Some(absence)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_of_three_keeps_all_records_if_the_stopped_member_stays_away() {
    assert_recovery(1, None).await;
}
