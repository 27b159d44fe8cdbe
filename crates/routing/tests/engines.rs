//! Choice among engines and tracking of their state.

mod engine_fixtures;

use std::time::Duration;

use engine_fixtures::{NOW, chosen, registry, registry_without, request, spec, turn};
use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::{CachedPart, EngineLoad, Loads, engine_key};
use sumacdrift_routing::{EngineRegistry, EngineSpec, EntryChange, Outcome, PlacementRequest, RequiredPart};
use sumacdrift_types::Mechanism;

/// A prompt of a shared part and a part of its own.
fn prompt(own_tokens: u64) -> [RequiredPart; 2] {
    [RequiredPart { part: 1, tokens: 2_500 }, RequiredPart { part: 2, tokens: own_tokens }]
}

fn cached(part: u64, engine: &str, tokens: u32) -> CachedPart {
    CachedPart { part, engine: engine_key(engine), tokens }
}

#[test]
fn programs_spread_over_engines_and_each_prefers_one() {
    let registry = registry(&[("a", "z1"), ("b", "z1"), ("c", "z1")]);
    let prompt = prompt(100);
    let engine_for = |program: u64| chosen(&registry, &turn(program, &prompt), NOW);
    assert_eq!(engine_for(1), engine_for(1));
    let engines: std::collections::BTreeSet<_> = (0..50).map(engine_for).collect();
    assert_eq!(engines.len(), 3);
}

#[test]
fn turn_goes_to_the_engine_that_caches_its_prompt_in_any_zone() {
    let mut registry = registry(&[("a", "z1"), ("b", "z2"), ("c", "z1")]);
    registry.record_cached_part(cached(1, "b", 2_500), NOW);
    registry.record_cached_part(cached(2, "b", 8_000), NOW);
    let prompt = prompt(8_300);
    let placement = registry.choose(&turn(1, &prompt), NOW).expect("an engine is available");
    assert_eq!(placement.engine.as_str(), "b");
    assert_eq!(placement.unread_tokens, 300);
}

/// Tokens cached behind a gap have to be prefilled again.
#[test]
fn cached_part_counts_only_after_all_parts_before_it() {
    let mut registry = registry(&[("a", "z1")]);
    registry.record_cached_part(cached(2, "a", 8_000), NOW);
    let prompt = prompt(8_000);
    assert_eq!(
        registry.choose(&turn(1, &prompt), NOW).expect("an engine is available").unread_tokens,
        10_500
    );
}

#[test]
fn turn_leaves_an_overloaded_engine_despite_its_cache() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    registry.record_cached_part(cached(1, "a", 2_500), NOW);
    registry.record_cached_part(cached(1, "b", 2_500), NOW);
    registry.record_cached_part(cached(2, "a", 1_000), NOW);
    let prompt = prompt(1_200);
    assert_eq!(chosen(&registry, &turn(1, &prompt), NOW).as_deref(), Some("a"));
    for _ in 0..20 {
        registry.record_sent(&EngineId::new("a"), 3_000, NOW);
    }
    assert_eq!(chosen(&registry, &turn(1, &prompt), NOW).as_deref(), Some("b"));
}

#[test]
fn peer_load_counts_until_it_expires() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    let loads = |engine| Loads {
        engines: vec![EngineLoad { engine: engine_key(engine), running: 4, ..EngineLoad::default() }],
    };
    for (busy, free) in [("a", "b"), ("b", "a")] {
        registry.apply_peer_loads(&loads(busy), NOW);
        for key in 0..20 {
            assert_eq!(
                chosen(&registry, &PlacementRequest { key, ..request(&[]) }, NOW).as_deref(),
                Some(free)
            );
        }
    }
    let later = NOW + Duration::from_secs(5);
    assert_eq!(registry.choose(&request(&[]), later).expect("an engine is available").running, 0.0);
}

#[test]
fn prefilled_prompts_no_longer_count_as_queued() {
    let mut registry = registry(&[("a", "z1")]);
    let engine = EngineId::new("a");
    registry.record_sent(&engine, 5_000, NOW);
    assert_eq!(registry.choose(&request(&[]), NOW).expect("an engine is available").tokens_ahead, 5_000.0);
    registry.record_prefilled(&engine, 5_000);
    assert_eq!(registry.choose(&request(&[]), NOW).expect("an engine is available").tokens_ahead, 0.0);
    registry.record_outcome(&engine, Outcome::Sound, NOW);
    assert!(registry.load_report(NOW).engines.is_empty());
}

#[test]
fn slow_engine_is_avoided_and_retried_later() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    for _ in 0..30 {
        registry.observe_whole(&EngineId::new("a"), 5.0, NOW);
    }
    let engine_at = |now, key| chosen(&registry, &PlacementRequest { key, ..request(&[]) }, now);
    assert!((0..20).all(|key| engine_at(NOW, key).as_deref() == Some("b")));
    let later = NOW + Duration::from_secs(120);
    assert!((0..20).any(|key| engine_at(later, key).as_deref() == Some("a")));
}

#[test]
fn open_connection_breaks_ties() {
    let registry = registry(&[("a", "z1"), ("b", "z1")]);
    for open in ["a", "b"] {
        let is_connected = |engine: &EngineId| engine.as_str() == open;
        let request = PlacementRequest { is_connected: &is_connected, ..request(&[]) };
        assert_eq!(chosen(&registry, &request, NOW).as_deref(), Some(open));
    }
}

#[test]
fn own_zone_is_preferred_until_it_is_busier() {
    let mut registry = registry(&[("near", "z1"), ("far", "z2")]);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("near"));
    for _ in 0..4 {
        registry.record_sent(&EngineId::new("near"), 0, NOW);
    }
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("far"));
}

#[test]
fn draining_engine_gets_no_calls_and_does_not_rejoin() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    registry.upsert(EngineSpec { is_draining: true, report: 2, ..spec("a", "z1") }, NOW);
    let delayed = EngineSpec { report: 3, ..spec("a", "z1") };
    assert_eq!(registry.upsert(delayed, NOW), EntryChange::Unchanged);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(registry.usable("s", NOW), 1);
}

#[test]
fn reordered_report_is_ignored() {
    let mut registry = registry(&[("a", "z1")]);
    registry.upsert(EngineSpec { report: 9, is_draining: true, ..spec("a", "z1") }, NOW);
    assert_eq!(registry.upsert(EngineSpec { report: 8, ..spec("a", "z1") }, NOW), EntryChange::Unchanged);
}

#[test]
fn removed_engine_is_a_last_resort_for_a_short_time() {
    let mut registry = registry(&[("a", "z1")]);
    registry.remove(&EngineId::new("a"), NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("a"));
    assert_eq!(chosen(&registry, &request(&[]), NOW + Duration::from_secs(2)), None);
}

#[test]
fn reappearing_engine_is_used_again() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    registry.remove(&EngineId::new("a"), NOW);
    assert_eq!(registry.upsert(EngineSpec { report: 2, ..spec("a", "z1") }, NOW), EntryChange::Changed);
    assert_eq!(registry.usable("s", NOW), 2);
}

#[test]
fn engine_with_two_failures_is_avoided_if_there_is_another() {
    let mut registry = registry(&[("a", "z1"), ("b", "z2")]);
    let near = EngineId::new("a");
    for failures in 1..=2 {
        registry.record_sent(&near, 0, NOW);
        assert_eq!(registry.record_outcome(&near, Outcome::Faulty, NOW), failures == 2);
    }
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("b"));
    let other = [EngineId::new("b")];
    assert_eq!(chosen(&registry, &request(&other), NOW).as_deref(), Some("a"));
}

#[test]
fn listing_removes_missing_engines() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    registry.replace_all(vec![spec("b", "z1")], Duration::ZERO, NOW);
    assert_eq!(registry.usable("s", NOW), 1);
    registry.evict_gone(NOW + Duration::from_secs(60), Duration::from_secs(30));
    assert!(registry.spec(&EngineId::new("a")).is_none());
}

/// Guards against sending all calls to the few engines that have reported again after a directory outage.
#[test]
fn missing_engines_get_a_grace_period_after_a_directory_outage() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1"), ("c", "z1")]);
    registry.replace_all(vec![spec("b", "z1")], Duration::from_secs(4), NOW);
    assert_eq!(registry.usable("s", NOW), 3);
    registry.upsert(EngineSpec { report: 2, ..spec("a", "z1") }, NOW + Duration::from_secs(1));
    assert_eq!(registry.usable("s", NOW + Duration::from_secs(2)), 2);
    assert!(registry.remove(&EngineId::new("a"), NOW + Duration::from_secs(2)));
    assert_eq!(registry.usable("s", NOW + Duration::from_secs(2)), 1);
}

#[test]
fn short_directory_outage_gives_no_grace_period() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    registry.replace_all(vec![spec("b", "z1")], Duration::from_millis(200), NOW);
    assert_eq!(registry.usable("s", NOW), 1);
}

#[test]
fn engine_that_failed_the_call_is_chosen_again_only_if_alone() {
    let registry = registry(&[("a", "z1"), ("b", "z2")]);
    let failed = [EngineId::new("a")];
    let retry = PlacementRequest { deprioritized: &failed, ..request(&[]) };
    assert_eq!(chosen(&registry, &retry, NOW).as_deref(), Some("b"));
    let other = [EngineId::new("b")];
    let alone = PlacementRequest { deprioritized: &failed, ..request(&other) };
    assert_eq!(chosen(&registry, &alone, NOW).as_deref(), Some("a"));
}

#[test]
fn disabled_mechanisms_do_not_affect_the_choice() {
    let engines = [("a", "z1"), ("b", "z2")];
    let prompt = prompt(8_000);
    let mut without_cache = registry_without(&[Mechanism::CachedPrompts, Mechanism::Zones], &engines);
    let mut with_all = registry(&engines);
    for registry in [&mut without_cache, &mut with_all] {
        registry.record_cached_part(cached(1, "b", 2_500), NOW);
        registry.record_cached_part(cached(2, "b", 8_000), NOW);
    }
    let engine_for = |registry: &EngineRegistry, key| chosen(registry, &turn(key, &prompt), NOW);
    assert!((0..20).all(|key| engine_for(&with_all, key).as_deref() == Some("b")));
    let without_cache_engines: std::collections::BTreeSet<_> =
        (0..20).map(|key| engine_for(&without_cache, key)).collect();
    assert_eq!(without_cache_engines.len(), 2);
    let mut without_peers = registry_without(&[Mechanism::PeerLoads, Mechanism::PeerPrompts], &engines);
    without_peers.apply_peer_loads(
        &Loads {
            engines: vec![EngineLoad { engine: engine_key("a"), running: 50, ..EngineLoad::default() }],
        },
        NOW,
    );
    without_peers.record_peer_cached_part(cached(1, "b", 2_500), NOW);
    assert_eq!(engine_for(&without_peers, 1).as_deref(), Some("a"));
}

/// Guards against every node finding out about a failing engine through failures of its own calls.
#[test]
fn engine_failing_for_peers_is_avoided_before_an_own_failure() {
    let mut registry = registry(&[("a", "z1"), ("b", "z1")]);
    let report = |failed, succeeding_edges| {
        let load = EngineLoad { engine: engine_key("a"), failed, succeeding_edges, ..EngineLoad::default() };
        Loads { engines: vec![load] }
    };
    let is_avoided = |registry: &EngineRegistry, now| {
        let mut keys = 0..20;
        keys.all(|key| {
            chosen(registry, &PlacementRequest { key, ..request(&[]) }, now).as_deref() == Some("b")
        })
    };
    registry.apply_peer_loads(&report(3, 0), NOW);
    assert!(is_avoided(&registry, NOW));
    // Neither a few failures among many successes nor an expired report counts.
    registry.apply_peer_loads(&report(3, 20), NOW);
    assert!(!is_avoided(&registry, NOW));
    registry.apply_peer_loads(&report(3, 0), NOW);
    assert!(!is_avoided(&registry, NOW + Duration::from_secs(3)));
    let other = [EngineId::new("b")];
    assert_eq!(chosen(&registry, &request(&other), NOW).as_deref(), Some("a"));
}

#[test]
fn failures_are_reported_until_a_call_succeeds() {
    let mut registry = registry(&[("a", "z1")]);
    let engine = EngineId::new("a");
    for expected in 1..=2 {
        registry.record_sent(&engine, 0, NOW);
        registry.record_outcome(&engine, Outcome::Faulty, NOW);
        assert_eq!(registry.load_report(NOW).engines[0].failed, expected);
    }
    assert!(registry.load_report(NOW + Duration::from_secs(3)).engines.is_empty());
    registry.record_sent(&engine, 0, NOW);
    registry.record_outcome(&engine, Outcome::Sound, NOW);
    // Consecutive failures are reset; the counts of recent calls stay until they expire.
    let counts = EngineLoad { recent_ended: 3, recent_failed: 2, ..EngineLoad::default() };
    assert_eq!(registry.load_report(NOW).engines, [EngineLoad { engine: engine_key("a"), ..counts }]);
    assert!(registry.load_report(NOW + Duration::from_secs(3)).engines.is_empty());
    let load = EngineLoad { engine: engine_key("a"), failed: 1, ..EngineLoad::default() };
    registry.apply_peer_loads(&Loads { engines: vec![load] }, NOW);
    assert_eq!(registry.load_report(NOW).engines[0].succeeding_edges, 1);
}

#[test]
fn only_engines_of_the_required_version_are_chosen() {
    let mut registry = registry(&[("a", "z1")]);
    let newer = EngineVersion::new("v2");
    registry.upsert(EngineSpec { version: newer.clone(), ..spec("b", "z2") }, NOW);
    for key in 0..20 {
        let request = PlacementRequest { key, version: Some(&newer), ..request(&[]) };
        assert_eq!(chosen(&registry, &request, NOW).as_deref(), Some("b"));
    }
    let avoid = [EngineId::new("b")];
    assert_eq!(chosen(&registry, &PlacementRequest { version: Some(&newer), ..request(&avoid) }, NOW), None);
    registry.withdraw(&EngineId::new("b"), NOW);
    assert_eq!(chosen(&registry, &PlacementRequest { version: Some(&newer), ..request(&[]) }, NOW), None);
}

#[test]
fn a_version_counts_until_its_last_streams_have_ended() {
    let mut registry = registry(&[("a", "z1"), ("b", "z2")]);
    let (first, second) = (EngineVersion::default(), EngineVersion::new("v2"));
    assert_eq!(registry.sole_version("s", NOW), Some(first));
    registry.regroup_interchangeable(|_| false, NOW);
    registry.upsert(EngineSpec { version: second.clone(), ..spec("c", "z1") }, NOW);
    assert_eq!(registry.sole_version("s", NOW), None);
    for old in ["a", "b"] {
        registry.remove(&EngineId::new(old), NOW);
    }
    assert_eq!(registry.sole_version("s", NOW + Duration::from_secs(29)), None);
    assert_eq!(registry.sole_version("s", NOW + Duration::from_secs(30)), Some(second));
    assert_eq!(registry.sole_version("unknown", NOW), None);
}

/// Guards against a stream that goes on at an engine of the same name that has begun to run another version.
#[test]
fn the_version_that_an_entry_said_before_counts_until_its_last_streams_have_ended() {
    let mut registry = registry(&[("a", "z1")]);
    let versions = ["v2", "v3", "v4"].map(EngineVersion::new);
    for (seconds, version) in (0..).zip(&versions) {
        registry.upsert(
            EngineSpec { version: version.clone(), ..spec("a", "z1") },
            NOW + Duration::from_secs(seconds),
        );
        assert_eq!(registry.sole_version("s", NOW + Duration::from_secs(seconds)), None);
    }
    assert_eq!(registry.sole_version("s", NOW + Duration::from_secs(31)), None);
    assert_eq!(registry.sole_version("s", NOW + Duration::from_secs(32)), Some(versions[2].clone()));
}

#[test]
fn an_entry_that_is_repeated_leaves_its_version_the_only_one() {
    let mut registry = registry(&[("a", "z1")]);
    registry.upsert(EngineSpec { report: 2, ..spec("a", "z1") }, NOW);
    assert_eq!(registry.sole_version("s", NOW), Some(EngineVersion::default()));
}
