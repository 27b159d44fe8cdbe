//! Breaks each rule for keys and quotas in turn and asserts that a check detects it.
#![cfg(feature = "mutants")]

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use simulation::{Workload, simulate};
use sumacdrift_access::{
    AccessRequest, AccessTable, ApiKey, ConfigurationAgeLimits, QuotaCall, QuotaCounters, QuotaLimit,
    QuotaVerdict, TenantSpec, check_access,
};
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_types::{AllowedRegions, Timestamp};

const SEEDS: u64 = 4_000;

/// Whether a key is admitted though the configuration is older than allowed.
fn admits_stale_key() -> bool {
    let key = ApiKey::new("k");
    let spec = TenantSpec {
        name: Arc::from("t"),
        keys: vec![key.clone()],
        priority: None,
        quota: None,
        regions: AllowedRegions::default(),
    };
    let table = AccessTable::new(vec![spec]).expect("valid tenants");
    let within = Duration::from_secs(5);
    let request = AccessRequest { key: Some(&key), is_public: false, age: Some(within * 2) };
    check_access(&table, request, ConfigurationAgeLimits::for_withdrawal_deadline(Some(within))).is_ok()
}

/// Calls that a node admits at once while peers report to it but none acknowledges its reports.
fn admitted_unacknowledged() -> usize {
    let limit = QuotaLimit { per_second: 100.0, burst: 100.0, window: Duration::from_secs(5) };
    let members = ["a", "b", "c"];
    let at = |millis: u64| Timestamp(millis * 1_000);
    let mut node = QuotaCounters::new("a", 1, at(0));
    let peer_report = |now| QuotaCounters::new("b", 1, at(0)).report(limit.window, now);
    for millis in (0..=6_000).step_by(100) {
        node.apply_report(peer_report(at(millis)), at(millis));
        node.observe(&members, at(millis));
    }
    let call = QuotaCall { tenant: "t", program: None, limit, version: 1 };
    let verdicts = (0..100).map(|_| node.check_call(call, &members, at(6_050)));
    verdicts.filter(|verdict| matches!(verdict, QuotaVerdict::Granted { .. })).count()
}

/// Whether a node that reaches no peer decides.
fn decides_without_majority() -> bool {
    let limit = QuotaLimit { per_second: 100.0, burst: 100.0, window: Duration::from_secs(5) };
    let call = QuotaCall { tenant: "t", program: None, limit, version: 1 };
    let mut node = QuotaCounters::new("a", 1, Timestamp(0));
    node.check_call(call, &["a", "b", "c"], Timestamp(6_000_000)) != QuotaVerdict::Unsure
}

/// Calls that a node may admit before others have acknowledged them: a fortieth of the limit of 600 calls a
/// window, plus three.
const UNACKNOWLEDGED: usize = 18;

fn is_detected(rule: Rule) -> bool {
    with_broken(rule, || match rule {
        Rule::AccessAgeIsBounded => admits_stale_key(),
        // In the simulation each of these two rules compensates for the other.
        Rule::QuotaUnacknowledgedIsBounded => admitted_unacknowledged() > UNACKNOWLEDGED,
        Rule::QuotaNeedsMajority => decides_without_majority(),
        _ => (0..SEEDS).any(|seed| simulate(seed, Workload::Tenant, false).worst_excess > 0),
    })
}

#[test]
fn every_broken_rule_is_detected() {
    let undetected: Vec<Rule> = Rule::ACCESS.into_iter().filter(|rule| !is_detected(*rule)).collect();
    assert!(undetected.is_empty(), "{undetected:?}");
}

#[test]
fn checks_pass_without_a_broken_rule() {
    assert!(!admits_stale_key() && !decides_without_majority());
    assert!(admitted_unacknowledged() <= UNACKNOWLEDGED);
}
