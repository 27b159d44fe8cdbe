//! Choice of the feed to follow, failover, and the fallback to the store.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::follower::{PROPAGATION_TIME, advance, configuration, follow, follow_partitioned, list_store};
use fleet::{Fleet, Partition};
use sumacdrift_dissemination::ItemKind;

#[tokio::test(start_paused = true)]
async fn a_change_in_the_feed_of_the_own_zone_arrives_at_once() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
    }
    let sink = follow(&fleet, 1);
    advance(PROPAGATION_TIME).await;
    assert!(sink.has("first"));
    advance(Duration::from_secs(20)).await;
    fleet.nodes[1].feed.put(configuration("second", 2));
    advance(PROPAGATION_TIME).await;
    assert!(sink.has("second"));
    assert_eq!(sink.store_follow_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_feed_is_replaced_within_two_seconds() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
    }
    let sink = follow(&fleet, 1);
    advance(PROPAGATION_TIME).await;
    fleet.nodes[1].set_silent(true);
    for position in [0, 2] {
        fleet.nodes[position].feed.put(configuration("second", 2));
    }
    advance(Duration::from_millis(1_900)).await;
    assert!(sink.has("second"));
    assert_eq!(sink.store_follow_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn the_store_is_followed_while_no_feed_replies() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
        node.set_silent(true);
    }
    let sink = follow(&fleet, 1);
    advance(Duration::from_secs(10)).await;
    // Followed once, without interruption.
    assert_eq!((sink.store_follow_count(), sink.store_stop_count.load(Ordering::Relaxed)), (1, 0));
    fleet.nodes.iter().for_each(|node| node.set_silent(false));
    advance(Duration::from_secs(5)).await;
    assert!(sink.has("first"));
    assert_eq!(sink.store_stop_count.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_feed_without_the_store_is_followed_only_by_empty_nodes() {
    let fleet = Fleet::start(3).await;
    list_store(&fleet.nodes[1].feed, "new", 5);
    for position in [0, 2] {
        fleet.nodes[position].feed.put(configuration("old", 1));
    }
    let initialized = follow(&fleet, 1);
    advance(PROPAGATION_TIME).await;
    assert!(initialized.has("new"));
    fleet.nodes[1].set_silent(true);
    let empty = follow(&fleet, 0);
    advance(Duration::from_secs(8)).await;
    assert!(!initialized.has("old"));
    assert!(empty.has("old"));
}

#[tokio::test(start_paused = true)]
async fn a_feed_that_lost_the_store_is_replaced_by_one_that_hears_it() {
    let fleet = Fleet::start(5).await;
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
    }
    let sink = follow(&fleet, 1);
    advance(PROPAGATION_TIME).await;
    fleet.nodes[1].feed.record_store_failure(ItemKind::Configuration);
    advance(Duration::from_millis(300)).await;
    for position in [0, 2, 3, 4] {
        fleet.nodes[position].feed.put(configuration("second", 2));
    }
    advance(PROPAGATION_TIME).await;
    assert!(sink.has("second"));
    assert_eq!(sink.store_follow_count(), 0);
}

/// A follower that is partitioned from all members uses a relay, so that the age of its configuration stays
/// known.
#[tokio::test(start_paused = true)]
async fn a_partitioned_follower_uses_a_relay() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
    }
    let partition = Partition::of(&[0, 1, 2]);
    let sink = follow_partitioned(&fleet, 1, &partition, Some("before")).await;
    advance(Duration::from_secs(2)).await;
    assert!(sink.has("first"));
    for content in ["second", "third"] {
        let revision = if content == "second" { 2 } else { 3 };
        fleet.nodes.iter().for_each(|node| node.feed.put(configuration(content, revision)));
        advance(Duration::from_secs(1)).await;
        assert!(sink.has(content), "{content}");
    }
    assert_eq!(sink.store_follow_count(), 0);
    // After the partition heals the members are asked directly again.
    partition.set(&[]);
    advance(Duration::from_secs(4)).await;
    fleet.nodes.iter().for_each(|node| node.feed.put(configuration("fourth", 4)));
    advance(PROPAGATION_TIME).await;
    assert!(sink.has("fourth"));
}

/// When all nodes start at once, members are late because they serve snapshots to all: a node without
/// data must not add relayed requests.
#[tokio::test(start_paused = true)]
async fn an_empty_follower_does_not_use_a_relay() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
    }
    let sink = follow_partitioned(&fleet, 1, &Partition::of(&[0, 1, 2]), None).await;
    advance(Duration::from_secs(6)).await;
    assert!(!sink.has("first"));
    assert_eq!(sink.store_follow_count(), 1, "the store is followed instead");
}
