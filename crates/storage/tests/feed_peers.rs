//! Feeds that take each other in: a node whose watch of the store is silent still learns what others hear.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::following::{MOMENT, configuration, follow, hears, pass};
use sumacdrift_dissemination::ItemKind;

/// A second before the limit that is asked of us; configurations come every 200 ms meanwhile.
const NO_OLDER_THAN: Duration = Duration::from_secs(1);

/// Five nodes; the first three follow the store, and heard one configuration.
async fn five_of_which_three_follow_the_store() -> Fleet {
    let fleet = Fleet::start(5).await;
    fleet.take_in_feeds(3);
    for position in 0..3 {
        hears(&fleet.nodes[position].feed, "first", 1);
    }
    pass(NO_OLDER_THAN).await;
    fleet
}

#[tokio::test(start_paused = true)]
async fn an_edge_stays_up_to_date_while_its_feeds_watch_of_the_store_is_silent() {
    let fleet = Fleet::start(3).await;
    fleet.take_in_feeds(3);
    for node in &fleet.nodes {
        hears(&node.feed, "version 1", 1);
    }
    let edge = follow(&fleet, 1);
    pass(NO_OLDER_THAN).await;
    // From now on the store says nothing to node 1, and does not refuse it either.
    for version in 2..30 {
        for position in [0, 2] {
            fleet.nodes[position].feed.put(configuration(&format!("version {version}"), version));
        }
        pass(Duration::from_millis(200)).await;
        assert!(edge.has(&format!("version {version}")), "version {version}");
    }
    assert_eq!(edge.store_used(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_old_version_told_late_does_not_come_back() {
    let fleet = Fleet::start(3).await;
    fleet.take_in_feeds(3);
    hears(&fleet.nodes[0].feed, "new", 5);
    hears(&fleet.nodes[1].feed, "old", 4);
    hears(&fleet.nodes[2].feed, "old", 4);
    pass(NO_OLDER_THAN).await;
    fleet.nodes[1].feed.put(configuration("old", 4));
    let edge = follow(&fleet, 1);
    pass(MOMENT).await;
    assert!(edge.has("new"));
    assert!(!edge.has("old"));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_does_not_follow_the_store_serves_what_those_hear_that_do() {
    let fleet = five_of_which_three_follow_the_store().await;
    let edge = follow(&fleet, 4);
    pass(MOMENT).await;
    assert!(edge.has("first"));
    fleet.nodes[0].feed.put(configuration("second", 2));
    pass(MOMENT).await;
    assert!(edge.has("second"));
    assert_eq!(edge.store_used(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_sources_fall_silent_finds_another() {
    let fleet = five_of_which_three_follow_the_store().await;
    for (revision, (silent, told)) in [([0, 1], 2), ([1, 2], 0), ([0, 2], 1)].into_iter().enumerate() {
        silent.iter().for_each(|position| fleet.nodes[*position].silence(true));
        pass(Duration::from_secs(3)).await;
        let content = format!("told by {told}");
        fleet.nodes[told].feed.put(configuration(&content, 10 + revision as u64));
        pass(MOMENT).await;
        let (_, held) = fleet.nodes[4].feed.snapshot();
        assert!(held.items.iter().any(|item| item.content == content.as_bytes()), "{content}");
        silent.iter().for_each(|position| fleet.nodes[*position].silence(false));
        pass(Duration::from_secs(3)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn nodes_that_only_hear_each_other_do_not_call_themselves_up_to_date() {
    let fleet = Fleet::start(3).await;
    fleet.take_in_feeds(3);
    for node in &fleet.nodes {
        hears(&node.feed, "first", 1);
    }
    pass(NO_OLDER_THAN).await;
    assert!(fleet.nodes.iter().all(|node| node.feed.is_current()));
    for node in &fleet.nodes {
        node.feed.store_failed(ItemKind::Configuration);
    }
    pass(NO_OLDER_THAN).await;
    assert!(fleet.nodes.iter().all(|node| !node.feed.is_current()));
    hears(&fleet.nodes[0].feed, "second", 2);
    pass(NO_OLDER_THAN).await;
    assert!(fleet.nodes.iter().all(|node| node.feed.is_current()));
}

#[tokio::test(start_paused = true)]
async fn a_node_knows_for_how_long_none_of_its_sources_has_heard_the_store() {
    let fleet = five_of_which_three_follow_the_store().await;
    let stands_in = &fleet.nodes[4].feed;
    assert_eq!(stands_in.alone_for(), Duration::ZERO);
    for node in &fleet.nodes[..3] {
        node.feed.store_failed(ItemKind::Engine);
    }
    pass(MOMENT).await;
    assert_eq!(stands_in.alone_for(), Duration::ZERO, "it is looked at from now on");
    pass(Duration::from_secs(2)).await;
    assert!(stands_in.alone_for() >= Duration::from_secs(2));
    // What it hears itself does not end that: then it would go back and forth.
    hears(stands_in, "heard alone", 2);
    assert!(stands_in.alone_for() >= Duration::from_secs(2));
    hears(&fleet.nodes[1].feed, "heard alone", 2);
    pass(NO_OLDER_THAN).await;
    assert_eq!(stands_in.alone_for(), Duration::ZERO);
    // The same where they are gone altogether.
    fleet.nodes[..3].iter().for_each(|node| node.silence(true));
    pass(Duration::from_secs(2)).await;
    stands_in.alone_for();
    pass(Duration::from_secs(2)).await;
    assert!(stands_in.alone_for() >= Duration::from_secs(2));
}
