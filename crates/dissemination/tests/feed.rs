//! A model of a follower must always end up with the items of the feed.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_dissemination::{
    Changes, Feed, FollowRequest, Item, ItemChange, ItemKind, ItemList, Snapshot,
};
use sumacdrift_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn engine(name: &str, content: &str, revision: u64) -> Item {
    Item::new(ItemKind::Engine, name, Bytes::copy_from_slice(content.as_bytes()), revision)
}

fn item_list(items: Vec<Item>, revision: u64, outage: Duration) -> ItemList {
    ItemList { kind: ItemKind::Engine, items, revision, outage }
}

/// A follower that applies the responses of a feed.
#[derive(Default)]
struct Model {
    incarnation: u64,
    after: u64,
    items: BTreeMap<String, Bytes>,
}

impl Model {
    fn request(&self) -> FollowRequest {
        FollowRequest { incarnation: self.incarnation, after: self.after, ..FollowRequest::default() }
    }

    fn follow(&mut self, feed: &Feed, now: Timestamp) -> Changes {
        let changes = feed.changes(&self.request(), now);
        (self.incarnation, self.after) = (changes.incarnation, changes.at);
        if changes.is_full {
            self.items.clear();
        }
        for change in &changes.changes {
            let item = change.item.clone().expect("change has an item");
            if change.is_gone {
                self.items.remove(&item.name);
            } else {
                self.items.insert(item.name, item.content);
            }
        }
        changes
    }
}

fn items_of(feed: &Feed) -> BTreeMap<String, Bytes> {
    feed.snapshot(0, at(0)).items.into_iter().map(|item| (item.name, item.content)).collect()
}

#[test]
fn follower_gets_one_full_response_then_changes() {
    let mut feed = Feed::new(7);
    feed.apply_list(item_list(vec![engine("a", "1", 1), engine("b", "1", 2)], 2, Duration::ZERO), at(0));
    let mut model = Model::default();
    assert!(model.follow(&feed, at(1)).is_full);
    assert_eq!(model.items, items_of(&feed));
    assert!(!feed.has_changes_for(&model.request()));
    feed.put(engine("c", "1", 3));
    feed.remove(ItemKind::Engine, "a", 4, at(4));
    assert!(feed.has_changes_for(&model.request()));
    let changes = model.follow(&feed, at(2));
    assert!(!changes.is_full);
    assert_eq!(changes.changes.len(), 2);
    assert_eq!(model.items, items_of(&feed));
    assert_eq!(feed.revision(), 4);
}

#[test]
fn unchanged_content_makes_no_change() {
    let mut feed = Feed::new(7);
    feed.apply_list(item_list(vec![engine("a", "1", 1)], 1, Duration::ZERO), at(0));
    let position = feed.position();
    assert!(!feed.put(engine("a", "1", 5)));
    assert!(!feed.apply_list(item_list(vec![engine("a", "1", 5)], 5, Duration::ZERO), at(1)));
    assert_eq!(feed.position(), position);
    assert_eq!(feed.revision(), 5);
}

#[test]
fn outage_is_reported_when_engines_are_missing_after_it() {
    let mut feed = Feed::new(7);
    feed.apply_list(item_list(vec![engine("a", "1", 1), engine("b", "1", 1)], 1, Duration::ZERO), at(0));
    let mut model = Model::default();
    model.follow(&feed, at(0));
    feed.apply_list(item_list(vec![engine("a", "1", 1)], 9, Duration::from_secs(4)), at(5_000));
    let changes = model.follow(&feed, at(5_010));
    assert!(changes.is_full);
    assert_eq!(changes.outage_millis, 4_000);
    assert_eq!(model.items, items_of(&feed));
    // A later response does not report the outage: engines that are still missing have been removed.
    let later = Model::default().follow(&feed, at(9_000));
    assert_eq!(later.outage_millis, 0);
}

#[test]
fn feed_is_current_from_the_first_lists_until_the_store_fails() {
    let mut feed = Feed::new(7);
    feed.restore(Snapshot { items: vec![engine("a", "1", 1)], ..Snapshot::default() }, 0, at(0));
    assert!(!feed.is_current());
    feed.apply_list(item_list(vec![engine("a", "1", 1)], 1, Duration::ZERO), at(0));
    assert!(!feed.is_current());
    let configuration = ItemList {
        kind: ItemKind::Configuration,
        items: vec![Item::new(ItemKind::Configuration, "main", Bytes::from_static(b"x"), 2)],
        revision: 2,
        outage: Duration::ZERO,
    };
    feed.apply_list(configuration, at(0));
    assert!(feed.is_current());
    assert!(feed.record_store_failure(ItemKind::Engine));
    assert!(!feed.record_store_failure(ItemKind::Engine));
    assert!(!feed.is_current());
    // A list of one kind leaves items of other kinds alone.
    feed.apply_list(item_list(Vec::new(), 3, Duration::ZERO), at(0));
    assert!(feed.is_current());
    assert_eq!(items_of(&feed).keys().collect::<Vec<_>>(), ["main"]);
}

#[test]
fn follower_that_switches_feeds_gets_a_full_response() {
    let (mut first, mut second) = (Feed::new(1), Feed::new(2));
    for feed in [&mut first, &mut second] {
        feed.apply_list(item_list(vec![engine("a", "1", 1), engine("b", "1", 1)], 1, Duration::ZERO), at(0));
    }
    let mut model = Model::default();
    model.follow(&first, at(0));
    second.remove(ItemKind::Engine, "b", 2, at(2));
    assert!(model.follow(&second, at(0)).is_full);
    assert_eq!(model.items, items_of(&second));
}

#[test]
fn lagging_followers_converge_to_the_feed() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut next = |bound: u64| rng.random_range(0..bound);
    let mut feed = Feed::new(7);
    let mut models: Vec<Model> = (0..4).map(|_| Model::default()).collect();
    let mut full_responses = 0;
    for step in 0..20_000_u64 {
        let name = format!("e{}", next(40));
        match next(20) {
            0 => {
                let remaining = feed.snapshot(0, at(0)).items.into_iter().filter(|_| next(8) > 0).collect();
                let outage = Duration::from_millis(next(2) * 2_000);
                feed.apply_list(item_list(remaining, step, outage), at(step));
            }
            1..8 => drop(feed.remove(ItemKind::Engine, &name, step, at(step))),
            _ => drop(feed.put(engine(&name, &next(3).to_string(), step))),
        }
        // Each follower polls less often than the one before; the last one lags beyond the removals that are
        // kept.
        for (position, model) in models.iter_mut().enumerate() {
            if next(10_u64.pow(position as u32 + 1)) == 0 {
                full_responses += usize::from(model.follow(&feed, at(step)).is_full);
                assert_eq!(model.items, items_of(&feed), "step {step}");
            }
        }
    }
    assert!(full_responses > 10, "{full_responses}");
}

fn evacuation(zone: &str, revision: u64) -> Item {
    Item::new(ItemKind::Evacuation, zone, Bytes::from_static(b"{}"), revision)
}

/// A full response carries the removal of an evacuation with its revision, for followers that learned of the
/// evacuation from another feed.
#[test]
fn full_response_includes_removed_evacuations() {
    let mut feed = Feed::new(1);
    feed.put(evacuation("z1", 5));
    assert!(feed.remove(ItemKind::Evacuation, "z1", 7, at(0)));
    feed.put(engine("e", "x", 8));
    assert!(feed.remove(ItemKind::Engine, "e", 9, at(0)));
    let changes =
        feed.changes(&FollowRequest { incarnation: 99, after: 3, ..FollowRequest::default() }, at(1));
    assert!(changes.is_full);
    let received: Vec<_> =
        changes.changes.iter().map(|change| (change.is_gone, change.item.clone())).collect();
    assert_eq!(received.len(), 1, "removed engines must not be sent: {received:?}");
    let (is_gone, item) = &received[0];
    let item = item.as_ref().expect("change has an item");
    assert_eq!((*is_gone, item.kind(), item.revision), (true, ItemKind::Evacuation, 7));
}

/// Age of the end of an evacuation of `z1` in a full response.
fn ended_millis_ago(feed: &Feed, now: Timestamp) -> Option<u64> {
    let changes = feed.changes(&FollowRequest::default(), now).changes;
    let ended = changes.iter().find(|change| change.item.as_ref().is_some_and(|item| item.name == "z1"));
    ended.expect("the end of the evacuation").removed_millis_ago
}

/// Guards against an edge that starts just after an evacuation and sends to cold engines as if they were warm: it must
/// learn of the end, and how long ago it was, from any feed.
#[test]
fn late_follower_learns_how_long_ago_an_evacuation_ended() {
    let mut first = Feed::new(1);
    first.put(evacuation("z1", 5));
    first.remove(ItemKind::Evacuation, "z1", 7, at(10));
    assert_eq!(ended_millis_ago(&first, at(310)), Some(300));
    // A feed that never knew of the evacuation, on another clock.
    let mut second = Feed::new(2);
    second.merge(first.changes(&FollowRequest::default(), at(310)), at(50));
    assert_eq!(ended_millis_ago(&second, at(150)), Some(400));
    // Merging the same end again does not make it more recent, nor wake followers.
    let position = second.position();
    second.merge(first.changes(&FollowRequest::default(), at(410)), at(150));
    assert_eq!((ended_millis_ago(&second, at(150)), second.position()), (Some(400), position));
}

/// Guards against a whole fleet that restarts just after an evacuation: no other process knows of the end then.
#[test]
fn ends_of_evacuations_survive_a_restart() {
    let mut feed = Feed::new(1);
    feed.put(evacuation("z1", 5));
    feed.remove(ItemKind::Evacuation, "z1", 7, at(10));
    let saved = feed.snapshot(5_000_000, at(110));
    let restored = |unix_millis| {
        let mut next = Feed::new(2);
        next.restore(saved.clone(), unix_millis, at(0));
        ended_millis_ago(&next, at(50))
    };
    assert_eq!(restored(5_000_200), Some(350));
    assert_eq!(restored(4_000_000), Some(150), "the wall clock was set back");
}

/// A release removes thousands of engines, and the end of an evacuation is still passed on.
#[test]
fn end_of_an_evacuation_outlasts_removals_of_engines() {
    let mut feed = Feed::new(1);
    feed.put(evacuation("z1", 1));
    feed.remove(ItemKind::Evacuation, "z1", 2, at(2));
    for step in 3..3_000 {
        feed.put(engine("e", "x", 2 * step));
        feed.remove(ItemKind::Engine, "e", 2 * step + 1, at(step));
        feed.put(engine(&format!("e{step}"), "x", 2 * step));
        feed.remove(ItemKind::Engine, &format!("e{step}"), 2 * step + 1, at(step));
    }
    assert_eq!(ended_millis_ago(&feed, at(4_002)), Some(4_000));
}

/// Changes of kinds that only newer builds know are passed on, and don't affect items of the same name.
#[test]
fn items_of_unknown_kinds_are_stored_and_removed() {
    let unknown = |revision| Item { kind: 99, name: "main".to_owned(), revision, ..Item::default() };
    let changes_of = |item, is_gone| Changes {
        incarnation: 7,
        changes: vec![ItemChange { item: Some(item), is_gone, removed_millis_ago: None }],
        ..Changes::default()
    };
    let mut feed = Feed::new(1);
    feed.put(Item::new(ItemKind::Configuration, "main", Bytes::from_static(b"configuration"), 3));
    feed.merge(changes_of(unknown(5), false), at(1));
    assert_eq!(feed.snapshot(0, at(0)).items.len(), 2);
    feed.merge(changes_of(unknown(6), true), at(2));
    let items = feed.snapshot(0, at(0)).items;
    assert_eq!(items.iter().map(Item::known_kind).collect::<Vec<_>>(), [Some(ItemKind::Configuration)]);
}

/// Evacuations are known to followers before their first choice after a restart.
#[test]
fn evacuations_survive_a_restart() {
    let mut feed = Feed::new(1);
    feed.put(evacuation("z1", 5));
    let mut next = Feed::new(2);
    next.restore(feed.snapshot(1_000, at(0)), 1_000, at(0));
    let changes = next.changes(&FollowRequest::default(), at(1));
    let items: Vec<_> = changes.changes.iter().filter_map(|change| change.item.as_ref()).collect();
    assert_eq!(items.iter().map(|item| item.name.as_str()).collect::<Vec<_>>(), ["z1"]);
}

/// A lagging feed neither cancels nor revives an evacuation in another feed.
#[test]
fn lagging_feed_does_not_change_evacuations() {
    let mut ahead = Feed::new(1);
    ahead.put(evacuation("z1", 5));
    let mut behind = Feed::new(2);
    behind.apply_list(
        ItemList { kind: ItemKind::Evacuation, items: Vec::new(), revision: 4, outage: Duration::ZERO },
        at(1),
    );
    ahead.merge(behind.changes(&FollowRequest::default(), at(2)), at(2));
    assert!(ahead.item(ItemKind::Evacuation, "z1").is_some());
    behind.put(evacuation("z1", 5));
    ahead.remove(ItemKind::Evacuation, "z1", 6, at(2));
    ahead.merge(behind.changes(&FollowRequest::default(), at(3)), at(3));
    assert!(ahead.item(ItemKind::Evacuation, "z1").is_none());
}

#[test]
fn followers_get_all_changes_at_any_lag() {
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    let mut feed = Feed::new(7);
    let mut followers: Vec<Model> = (0..6).map(|_| Model::default()).collect();
    for step in 1..=12_000_u64 {
        let name = format!("e{}", rng.random_range(0..700));
        match rng.random_range(0..10) {
            0 => {
                feed.remove(ItemKind::Engine, &name, step, at(step));
            }
            _ => {
                feed.put(engine(&name, &format!("{step}"), step));
            }
        }
        // The first follower polls on each change, the last one every 6^5 changes.
        for (index, follower) in followers.iter_mut().enumerate() {
            if step % 6_u64.pow(index as u32) == 0 {
                follower.follow(&feed, at(step));
                assert_eq!(follower.items, items_of(&feed), "step {step}, follower {index}");
            }
        }
    }
}

/// Guards against an unbounded feed when very many requests enter the quarantine: those that expire last are kept, and reach
/// followers with full and incremental responses.
#[test]
fn requests_in_quarantine_reach_followers_and_are_bounded() {
    let quarantined = |number: u64| {
        let content = Bytes::copy_from_slice(&(1_000 + number).to_be_bytes());
        Item::new(ItemKind::Quarantine, &format!("{number:016x}"), content, 1)
    };
    let mut feed = Feed::new(1);
    let mut follower = Model::default();
    feed.put(quarantined(1));
    follower.follow(&feed, at(0));
    feed.put(quarantined(2));
    follower.follow(&feed, at(1));
    assert_eq!(follower.items.len(), 2);
    // Lists of the store concern other kinds.
    feed.apply_list(item_list(vec![engine("e", "", 5)], 5, Duration::ZERO), at(2));
    for number in 3..3_000 {
        feed.put(quarantined(number));
    }
    let kept: Vec<&Item> = feed.items(ItemKind::Quarantine).collect();
    assert_eq!(kept.len(), 1024);
    assert!(feed.item(ItemKind::Quarantine, &format!("{:016x}", 2_999)).is_some());
    assert!(feed.item(ItemKind::Quarantine, &format!("{:016x}", 1)).is_none());
    // A feed that merges it has them too.
    let mut other = Feed::new(2);
    let request = FollowRequest::default();
    other.merge(feed.changes(&request, at(3)), at(3));
    assert_eq!(other.items(ItemKind::Quarantine).count(), 1024);
}
