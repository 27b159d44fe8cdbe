//! Expiry, eviction and growth of parts in the index.

use std::time::Duration;

use sumacdrift_fleet_view::{CachedPart, PartIndex};
use sumacdrift_types::Timestamp;

const TTL: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::default() + Duration::from_secs(seconds)
}

fn cached(part: u64, engine: u32, tokens: u32) -> CachedPart {
    CachedPart { part, engine, tokens }
}

fn holders(index: &PartIndex, part: u64, now: Timestamp) -> Vec<(u32, u32)> {
    let mut holders: Vec<_> = index.holders(part, now).map(|cached| (cached.engine, cached.tokens)).collect();
    holders.sort_unstable();
    holders
}

#[test]
fn late_report_does_not_shrink_a_part() {
    let mut index = PartIndex::new(8, TTL);
    index.record(cached(1, 7, 100), at(0));
    index.record(cached(1, 7, 300), at(1));
    index.record(cached(1, 7, 200), at(2));
    index.record(cached(1, 8, 50), at(2));
    assert_eq!(holders(&index, 1, at(3)), [(7, 300), (8, 50)]);
}

#[test]
fn unused_holders_and_parts_expire() {
    let mut index = PartIndex::new(8, TTL);
    index.record(cached(1, 7, 100), at(0));
    index.record(cached(1, 8, 100), at(6));
    assert_eq!(holders(&index, 1, at(9)), [(7, 100), (8, 100)]);
    assert_eq!(holders(&index, 1, at(10)), [(8, 100)]);
    index.record(cached(2, 7, 1), at(30));
    assert_eq!(index.len(), 1);
}

#[test]
fn least_recently_used_parts_are_evicted() {
    let mut index = PartIndex::new(3, TTL);
    for part in 0..5 {
        index.record(cached(part, 7, 1), at(part));
    }
    assert_eq!(index.len(), 3);
    assert!(holders(&index, 1, at(5)).is_empty());
    assert_eq!(holders(&index, 4, at(5)), [(7, 1)]);
}

#[test]
fn holders_per_part_are_bounded() {
    let mut index = PartIndex::new(3, TTL);
    for engine in 0..200 {
        index.record(cached(1, engine, 1), at(1));
    }
    assert!(holders(&index, 1, at(1)).len() < 30);
    assert!(holders(&index, 1, at(1)).contains(&(199, 1)));
}
