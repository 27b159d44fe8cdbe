//! Each rule of keys and quotas broken once: the checks must notice.
#![cfg(feature = "mutants")]

mod quota_world;

use std::sync::Arc;
use std::time::Duration;

use quota_world::{Counted, play};
use sumacdrift_access::{
    AccessFacts, AccessTable, ApiKey, KnowledgeLimits, QuotaCall, QuotaCounters, QuotaLimit, QuotaVerdict,
    TenantSpec, decide,
};
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_types::{AllowedRegions, Timestamp};

const SEEDS: u64 = 4_000;

/// Whether a key still opens a route though nothing was heard of the store for longer than allowed.
fn an_old_key_opens() -> bool {
    let key = ApiKey::new("k");
    let spec = TenantSpec {
        name: Arc::from("t"),
        keys: vec![key.clone()],
        priority: None,
        quota: None,
        regions: AllowedRegions::default(),
    };
    let table = AccessTable::new(vec![spec]).expect("a table");
    let within = Duration::from_secs(5);
    let facts = AccessFacts { key: Some(&key), is_public: false, age: Some(within * 2) };
    decide(&table, facts, KnowledgeLimits::withdrawn_within(Some(within))).is_ok()
}

/// Calls that a member admits at once while it hears others and none of them says that it has acknowledged anything.
fn admitted_unacknowledged() -> usize {
    let limit = QuotaLimit { per_second: 100.0, burst: 100.0, window: Duration::from_secs(5) };
    let members = ["a", "b", "c"];
    let at = |millis: u64| Timestamp(millis * 1_000);
    let mut node = QuotaCounters::new("a", 1, at(0));
    let told = |now| QuotaCounters::new("b", 1, at(0)).report(limit.window, now);
    for millis in (0..=6_000).step_by(100) {
        node.heard(told(at(millis)), at(millis));
        node.observe(&members, at(millis));
    }
    let call = QuotaCall { tenant: "t", program: None, limit, version: 1 };
    let verdicts = (0..100).map(|_| node.ask(call, &members, at(6_050)));
    verdicts.filter(|verdict| matches!(verdict, QuotaVerdict::Granted { .. })).count()
}

/// Whether a member that hears nobody decides.
fn decides_alone() -> bool {
    let limit = QuotaLimit { per_second: 100.0, burst: 100.0, window: Duration::from_secs(5) };
    let call = QuotaCall { tenant: "t", program: None, limit, version: 1 };
    let mut node = QuotaCounters::new("a", 1, Timestamp(0));
    node.ask(call, &["a", "b", "c"], Timestamp(6_000_000)) != QuotaVerdict::Unsure
}

/// Calls that a member may admit before others have acknowledged them, of a window's limit of 600: a fortieth and three.
const UNACKNOWLEDGED: usize = 18;

fn is_noticed(rule: Rule) -> bool {
    with_broken(rule, || match rule {
        Rule::AccessAgeIsBounded => an_old_key_opens(),
        // Each of these two makes up for the other in the simulation.
        Rule::QuotaUnacknowledgedIsBounded => admitted_unacknowledged() > UNACKNOWLEDGED,
        Rule::QuotaNeedsMajority => decides_alone(),
        _ => (0..SEEDS).any(|seed| play(seed, Counted::Tenant, false).worst_excess > 0),
    })
}

#[test]
fn every_broken_rule_is_noticed() {
    let unnoticed: Vec<Rule> = Rule::ACCESS.into_iter().filter(|rule| !is_noticed(*rule)).collect();
    assert!(unnoticed.is_empty(), "{unnoticed:?}");
}

#[test]
fn without_a_broken_rule_nothing_is_noticed() {
    assert!(!an_old_key_opens() && !decides_alone());
    assert!(admitted_unacknowledged() <= UNACKNOWLEDGED);
}
