//! What followers of a feed are told: a model of a follower must always end up with what the feed holds.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_dissemination::{Changes, Feed, FollowRequest, Item, ItemChange, ItemKind, Listed};
use sumacdrift_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn engine(name: &str, content: &str, revision: u64) -> Item {
    Item::new(ItemKind::Engine, name, Bytes::copy_from_slice(content.as_bytes()), revision)
}

fn listed(items: Vec<Item>, revision: u64, outage: Duration) -> Listed {
    Listed { kind: ItemKind::Engine, items, revision, outage }
}

/// A follower: applies what it is told.
#[derive(Default)]
struct Model {
    life: u64,
    after: u64,
    items: BTreeMap<String, Bytes>,
}

impl Model {
    fn request(&self) -> FollowRequest {
        FollowRequest { life: self.life, after: self.after, ..FollowRequest::default() }
    }

    fn follow(&mut self, feed: &Feed, now: Timestamp) -> Changes {
        let changes = feed.changes(&self.request(), now);
        (self.life, self.after) = (changes.life, changes.at);
        if changes.is_whole {
            self.items.clear();
        }
        for change in &changes.changes {
            let item = change.item.clone().expect("an item");
            if change.is_gone {
                self.items.remove(&item.name);
            } else {
                self.items.insert(item.name, item.content);
            }
        }
        changes
    }
}

fn held(feed: &Feed) -> BTreeMap<String, Bytes> {
    feed.snapshot().items.into_iter().map(|item| (item.name, item.content)).collect()
}

#[test]
fn a_follower_gets_everything_once_and_changes_from_then_on() {
    let mut feed = Feed::new(7);
    feed.list(listed(vec![engine("a", "1", 1), engine("b", "1", 2)], 2, Duration::ZERO), at(0));
    let mut model = Model::default();
    assert!(model.follow(&feed, at(1)).is_whole);
    assert_eq!(model.items, held(&feed));
    assert!(!feed.has_news_for(&model.request()));
    feed.put(engine("c", "1", 3));
    feed.remove(ItemKind::Engine, "a", 4);
    assert!(feed.has_news_for(&model.request()));
    let changes = model.follow(&feed, at(2));
    assert!(!changes.is_whole);
    assert_eq!(changes.changes.len(), 2);
    assert_eq!(model.items, held(&feed));
    assert_eq!(feed.revision(), 4);
}

#[test]
fn the_same_content_again_is_no_news() {
    let mut feed = Feed::new(7);
    feed.list(listed(vec![engine("a", "1", 1)], 1, Duration::ZERO), at(0));
    let position = feed.position();
    assert!(!feed.put(engine("a", "1", 5)));
    assert!(!feed.list(listed(vec![engine("a", "1", 5)], 5, Duration::ZERO), at(1)));
    assert_eq!(feed.position(), position);
    assert_eq!(feed.revision(), 5);
}

#[test]
fn followers_learn_of_an_outage_after_which_engines_are_missing() {
    let mut feed = Feed::new(7);
    feed.list(listed(vec![engine("a", "1", 1), engine("b", "1", 1)], 1, Duration::ZERO), at(0));
    let mut model = Model::default();
    model.follow(&feed, at(0));
    feed.list(listed(vec![engine("a", "1", 1)], 9, Duration::from_secs(4)), at(5_000));
    let changes = model.follow(&feed, at(5_010));
    assert!(changes.is_whole);
    assert_eq!(changes.outage_millis, 4_000);
    assert_eq!(model.items, held(&feed));
    // One who comes later is told of no outage: who is still missing is gone.
    let late = Model::default().follow(&feed, at(9_000));
    assert_eq!(late.outage_millis, 0);
}

#[test]
fn a_feed_is_current_once_every_kind_was_listed_and_until_the_store_fails() {
    let mut feed = Feed::new(7);
    feed.restore(sumacdrift_dissemination::Snapshot { items: vec![engine("a", "1", 1)] });
    assert!(!feed.is_current());
    feed.list(listed(vec![engine("a", "1", 1)], 1, Duration::ZERO), at(0));
    assert!(!feed.is_current());
    let configuration = Listed {
        kind: ItemKind::Configuration,
        items: vec![Item::new(ItemKind::Configuration, "main", Bytes::from_static(b"x"), 2)],
        revision: 2,
        outage: Duration::ZERO,
    };
    feed.list(configuration, at(0));
    assert!(feed.is_current());
    assert!(feed.store_failed(ItemKind::Engine));
    assert!(!feed.store_failed(ItemKind::Engine));
    assert!(!feed.is_current());
    // The list of one kind leaves the other as it is.
    feed.list(listed(Vec::new(), 3, Duration::ZERO), at(0));
    assert!(feed.is_current());
    assert_eq!(held(&feed).keys().collect::<Vec<_>>(), ["main"]);
}

#[test]
fn a_follower_of_another_feed_gets_everything() {
    let (mut one, mut other) = (Feed::new(1), Feed::new(2));
    for feed in [&mut one, &mut other] {
        feed.list(listed(vec![engine("a", "1", 1), engine("b", "1", 1)], 1, Duration::ZERO), at(0));
    }
    let mut model = Model::default();
    model.follow(&one, at(0));
    other.remove(ItemKind::Engine, "b", 2);
    assert!(model.follow(&other, at(0)).is_whole);
    assert_eq!(model.items, held(&other));
}

#[test]
fn followers_that_miss_any_number_of_changes_end_up_with_what_the_feed_holds() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut next = |bound: u64| random.random_range(0..bound);
    let mut feed = Feed::new(7);
    let mut models: Vec<Model> = (0..4).map(|_| Model::default()).collect();
    let mut wholes = 0;
    for step in 0..20_000_u64 {
        let name = format!("e{}", next(40));
        match next(20) {
            0 => {
                let left = feed.snapshot().items.into_iter().filter(|_| next(8) > 0).collect();
                let outage = Duration::from_millis(next(2) * 2_000);
                feed.list(listed(left, step, outage), at(step));
            }
            1..8 => drop(feed.remove(ItemKind::Engine, &name, step)),
            _ => drop(feed.put(engine(&name, &next(3).to_string(), step))),
        }
        // Followers are asked ever more rarely, so that the last one falls behind what is remembered.
        for (position, model) in models.iter_mut().enumerate() {
            if next(10_u64.pow(position as u32 + 1)) == 0 {
                wholes += usize::from(model.follow(&feed, at(step)).is_whole);
                assert_eq!(model.items, held(&feed), "step {step}");
            }
        }
    }
    assert!(wholes > 10, "{wholes}");
}

fn evacuation(zone: &str, revision: u64) -> Item {
    Item::new(ItemKind::Evacuation, zone, Bytes::from_static(b"{}"), revision)
}

/// A follower that heard of an evacuation elsewhere learns of its end by the revision, though it gets everything anew.
#[test]
fn the_end_of_an_evacuation_is_told_to_whoever_gets_everything() {
    let mut feed = Feed::new(1);
    feed.put(evacuation("z1", 5));
    assert!(feed.remove(ItemKind::Evacuation, "z1", 7));
    feed.put(engine("e", "x", 8));
    assert!(feed.remove(ItemKind::Engine, "e", 9));
    let changes = feed.changes(&FollowRequest { life: 99, after: 3, ..FollowRequest::default() }, at(1));
    assert!(changes.is_whole);
    let told: Vec<_> = changes.changes.iter().map(|change| (change.is_gone, change.item.clone())).collect();
    assert_eq!(told.len(), 1, "engines that are gone are just missing: {told:?}");
    let (is_gone, item) = &told[0];
    let item = item.as_ref().expect("an item");
    assert_eq!((*is_gone, item.kind(), item.revision), (true, ItemKind::Evacuation, 7));
}

/// What a newer build tells of kinds that this one doesn't know is passed on, and touches nothing else of its name.
#[test]
fn items_of_kinds_that_are_not_known_come_and_go_by_themselves() {
    let unknown = |revision| Item { kind: 99, name: "main".to_owned(), revision, ..Item::default() };
    let told = |item, is_gone| Changes {
        life: 7,
        changes: vec![ItemChange { item: Some(item), is_gone }],
        ..Changes::default()
    };
    let mut feed = Feed::new(1);
    feed.put(Item::new(ItemKind::Configuration, "main", Bytes::from_static(b"configuration"), 3));
    feed.merge(told(unknown(5), false), at(1));
    assert_eq!(feed.snapshot().items.len(), 2);
    feed.merge(told(unknown(6), true), at(2));
    let items = feed.snapshot().items;
    assert_eq!(items.iter().map(Item::known_kind).collect::<Vec<_>>(), [Some(ItemKind::Configuration)]);
}

/// A node's next life knows the evacuations of the one before, so that its followers do before their first choice.
#[test]
fn evacuations_outlast_the_process() {
    let mut feed = Feed::new(1);
    feed.put(evacuation("z1", 5));
    let mut next = Feed::new(2);
    next.restore(feed.snapshot());
    let changes = next.changes(&FollowRequest::default(), at(1));
    let items: Vec<_> = changes.changes.iter().filter_map(|change| change.item.as_ref()).collect();
    assert_eq!(items.iter().map(|item| item.name.as_str()).collect::<Vec<_>>(), ["z1"]);
}

/// A node whose feed is behind neither takes an evacuation back nor brings one back in another node's feed.
#[test]
fn a_feed_that_is_behind_says_nothing_of_evacuations() {
    let mut ahead = Feed::new(1);
    ahead.put(evacuation("z1", 5));
    let mut behind = Feed::new(2);
    behind.list(
        Listed { kind: ItemKind::Evacuation, items: Vec::new(), revision: 4, outage: Duration::ZERO },
        at(1),
    );
    ahead.merge(behind.changes(&FollowRequest::default(), at(2)), at(2));
    assert!(ahead.item(ItemKind::Evacuation, "z1").is_some());
    behind.put(evacuation("z1", 5));
    ahead.remove(ItemKind::Evacuation, "z1", 6);
    ahead.merge(behind.changes(&FollowRequest::default(), at(3)), at(3));
    assert!(ahead.item(ItemKind::Evacuation, "z1").is_none());
}

#[test]
fn a_follower_is_told_everything_however_far_behind_it_is() {
    let mut random = ChaCha8Rng::seed_from_u64(41);
    let mut feed = Feed::new(7);
    let mut followers: Vec<Model> = (0..6).map(|_| Model::default()).collect();
    for step in 1..=12_000_u64 {
        let name = format!("e{}", random.random_range(0..700));
        match random.random_range(0..10) {
            0 => {
                feed.remove(ItemKind::Engine, &name, step);
            }
            _ => {
                feed.put(engine(&name, &format!("{step}"), step));
            }
        }
        // One asks at each change, the last one once in some thousands.
        for (place, follower) in followers.iter_mut().enumerate() {
            if step % 6_u64.pow(place as u32) == 0 {
                follower.follow(&feed, at(step));
                assert_eq!(follower.items, held(&feed), "step {step}, follower {place}");
            }
        }
    }
}
