//! Age of a follower's configuration through feeds that are late, partitioned or stale.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::follower::{PROPAGATION_TIME, advance, follow, list_store};
use sumacdrift_dissemination::ItemKind;
use tokio::time::Instant;

/// Interval of store reads in these tests.
const READ_INTERVAL: Duration = Duration::from_millis(600);

async fn start_fleet(listed_nodes: &[usize]) -> Fleet {
    let fleet = Fleet::start(3).await;
    fleet.merge_feeds(3);
    for position in listed_nodes {
        list_store(&fleet.nodes[*position].feed, "first", 1);
    }
    fleet
}

#[tokio::test(start_paused = true)]
async fn a_confirmation_at_one_node_reaches_all_followers() {
    let fleet = start_fleet(&[0, 1, 2]).await;
    let followers = [0, 1, 2].map(|zone| follow(&fleet, zone));
    let mut oldest = Duration::ZERO;
    for round in 0..40 {
        fleet.nodes[0].feed.confirm_configuration(Instant::now());
        for _ in 0..6 {
            advance(READ_INTERVAL / 6).await;
            let confirmed = followers.iter().map(|follower| follower.confirmed());
            let ages = confirmed.map(|confirmed| confirmed.map_or(Duration::MAX, |at| at.elapsed()));
            oldest = if round < 4 { oldest } else { oldest.max(ages.max().unwrap_or_default()) };
        }
    }
    // One read interval, and half a second each until the other node and the follower ask again.
    assert!(oldest <= Duration::from_millis(1_700), "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn no_follower_reports_a_confirmation_newer_than_the_source() {
    let fleet = start_fleet(&[0, 1, 2]).await;
    let followers = [0, 1, 2].map(|zone| follow(&fleet, zone));
    let read = Instant::now();
    fleet.nodes[0].feed.confirm_configuration(read);
    for step in 0..60_u64 {
        // Replies that are held back arrive when the node is responsive again.
        fleet.nodes[(step % 3) as usize].set_silent(step % 4 == 1);
        fleet.nodes[((step + 1) % 3) as usize].set_silent(false);
        advance(Duration::from_millis(170)).await;
        for follower in &followers {
            assert!(follower.confirmed().is_none_or(|confirmed| confirmed <= read));
        }
    }
    assert!(followers.iter().all(|follower| follower.confirmed().is_some()));
}

#[tokio::test(start_paused = true)]
async fn the_first_node_that_confirms_the_configuration_ends_an_outage_for_all() {
    let fleet = start_fleet(&[0, 1, 2]).await;
    let followers = [0, 1, 2].map(|zone| follow(&fleet, zone));
    advance(PROPAGATION_TIME).await;
    for node in &fleet.nodes {
        node.feed.record_store_failure(ItemKind::Configuration);
        node.feed.record_store_failure(ItemKind::Engine);
    }
    advance(Duration::from_secs(6)).await;
    // Only the configuration is confirmed; the engine list is still unavailable.
    let read = Instant::now();
    confirm_configuration_at(&fleet, 2, read);
    advance(Duration::from_millis(650)).await;
    for follower in &followers {
        assert_eq!(
            follower.confirmed().map(|confirmed| confirmed.elapsed() < Duration::from_millis(700)),
            Some(true)
        );
    }
}

fn confirm_configuration_at(fleet: &Fleet, position: usize, read: Instant) {
    fleet.nodes[position].feed.confirm_configuration(read);
}
