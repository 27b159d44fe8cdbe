//! Feeds that merge each other: a node whose watch of the store is silent still receives the changes from
//! other nodes.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::follower::{PROPAGATION_TIME, advance, configuration, follow, list_store};
use sumacdrift_dissemination::ItemKind;

/// One second less than the required limit; configurations come every 200 ms meanwhile.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Five nodes, of which the first three follow the store and have listed one configuration.
async fn start_with_three_store_followers() -> Fleet {
    let fleet = Fleet::start(5).await;
    fleet.merge_feeds(3);
    for position in 0..3 {
        list_store(&fleet.nodes[position].feed, "first", 1);
    }
    advance(MAX_DELAY).await;
    fleet
}

#[tokio::test(start_paused = true)]
async fn an_edge_stays_current_while_the_store_watch_of_its_feed_is_silent() {
    let fleet = Fleet::start(3).await;
    fleet.merge_feeds(3);
    for node in &fleet.nodes {
        list_store(&node.feed, "version 1", 1);
    }
    let edge = follow(&fleet, 1);
    advance(MAX_DELAY).await;
    // The store no longer answers the watch of node 1, and does not reject it.
    for version in 2..30 {
        for position in [0, 2] {
            fleet.nodes[position].feed.put(configuration(&format!("version {version}"), version));
        }
        advance(Duration::from_millis(200)).await;
        assert!(edge.has(&format!("version {version}")), "version {version}");
    }
    assert_eq!(edge.store_follow_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_older_revision_that_arrives_late_is_ignored() {
    let fleet = Fleet::start(3).await;
    fleet.merge_feeds(3);
    list_store(&fleet.nodes[0].feed, "new", 5);
    list_store(&fleet.nodes[1].feed, "old", 4);
    list_store(&fleet.nodes[2].feed, "old", 4);
    advance(MAX_DELAY).await;
    fleet.nodes[1].feed.put(configuration("old", 4));
    let edge = follow(&fleet, 1);
    advance(PROPAGATION_TIME).await;
    assert!(edge.has("new"));
    assert!(!edge.has("old"));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_does_not_follow_the_store_serves_merged_items() {
    let fleet = start_with_three_store_followers().await;
    let edge = follow(&fleet, 4);
    advance(PROPAGATION_TIME).await;
    assert!(edge.has("first"));
    fleet.nodes[0].feed.put(configuration("second", 2));
    advance(PROPAGATION_TIME).await;
    assert!(edge.has("second"));
    assert_eq!(edge.store_follow_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_node_replaces_unresponsive_sources() {
    let fleet = start_with_three_store_followers().await;
    for (revision, (silent, source)) in [([0, 1], 2), ([1, 2], 0), ([0, 2], 1)].into_iter().enumerate() {
        silent.iter().for_each(|position| fleet.nodes[*position].set_silent(true));
        advance(Duration::from_secs(3)).await;
        let content = format!("put by {source}");
        fleet.nodes[source].feed.put(configuration(&content, 10 + revision as u64));
        advance(PROPAGATION_TIME).await;
        let (_, held) = fleet.nodes[4].feed.snapshot();
        assert!(held.items.iter().any(|item| item.content == content.as_bytes()), "{content}");
        silent.iter().for_each(|position| fleet.nodes[*position].set_silent(false));
        advance(Duration::from_secs(3)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn nodes_without_the_store_do_not_report_to_be_current() {
    let fleet = Fleet::start(3).await;
    fleet.merge_feeds(3);
    for node in &fleet.nodes {
        list_store(&node.feed, "first", 1);
    }
    advance(MAX_DELAY).await;
    assert!(fleet.nodes.iter().all(|node| node.feed.is_current()));
    for node in &fleet.nodes {
        node.feed.record_store_failure(ItemKind::Configuration);
    }
    advance(MAX_DELAY).await;
    assert!(fleet.nodes.iter().all(|node| !node.feed.is_current()));
    list_store(&fleet.nodes[0].feed, "second", 2);
    advance(MAX_DELAY).await;
    assert!(fleet.nodes.iter().all(|node| node.feed.is_current()));
}

#[tokio::test(start_paused = true)]
async fn a_node_measures_how_long_no_source_has_heard_the_store() {
    let fleet = start_with_three_store_followers().await;
    let stand_in = &fleet.nodes[4].feed;
    assert_eq!(stand_in.time_without_current_peer(), Duration::ZERO);
    for node in &fleet.nodes[..3] {
        node.feed.record_store_failure(ItemKind::Engine);
    }
    advance(PROPAGATION_TIME).await;
    assert_eq!(stand_in.time_without_current_peer(), Duration::ZERO, "the time starts at the first call");
    advance(Duration::from_secs(2)).await;
    assert!(stand_in.time_without_current_peer() >= Duration::from_secs(2));
    // Own contact to the store does not reset the time: the node would start and stop following repeatedly.
    list_store(stand_in, "heard alone", 2);
    assert!(stand_in.time_without_current_peer() >= Duration::from_secs(2));
    list_store(&fleet.nodes[1].feed, "heard alone", 2);
    advance(MAX_DELAY).await;
    assert_eq!(stand_in.time_without_current_peer(), Duration::ZERO);
    // The same if the peers are unresponsive.
    fleet.nodes[..3].iter().for_each(|node| node.set_silent(true));
    advance(Duration::from_secs(2)).await;
    stand_in.time_without_current_peer();
    advance(Duration::from_secs(2)).await;
    assert!(stand_in.time_without_current_peer() >= Duration::from_secs(2));
}
