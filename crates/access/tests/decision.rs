//! Who is let in, by what is known and how old that is.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use sumacdrift_access::{
    AccessFacts, AccessRefusal, AccessTable, AccessTableError, ApiKey, Knowledge, KnowledgeLimits,
    QuotaLimit, TenantSpec, decide,
};
use sumacdrift_types::{AllowedRegions, Timestamp};

const WITHIN: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

fn spec(name: &str, keys: &[&str]) -> TenantSpec {
    let keys = keys.iter().map(|key| ApiKey::new(key)).collect();
    TenantSpec {
        name: Arc::from(name),
        keys,
        priority: None,
        quota: None,
        regions: AllowedRegions::default(),
    }
}

fn table() -> AccessTable {
    AccessTable::new(vec![spec("alpha", &["a1", "a2"]), spec("beta", &["b1"])]).expect("a table")
}

/// The name of the tenant as which a caller is let in.
fn let_in(
    key: Option<&str>,
    is_public: bool,
    age: Option<Duration>,
) -> Result<Option<String>, AccessRefusal> {
    let key = key.map(ApiKey::new);
    let facts = AccessFacts { key: key.as_ref(), is_public, age };
    let decided = decide(&table(), facts, KnowledgeLimits::withdrawn_within(Some(WITHIN)));
    decided.map(|tenant| tenant.map(|tenant| tenant.name.to_string()))
}

#[test]
fn a_key_names_its_tenant() {
    let fresh = Some(Duration::ZERO);
    for (key, tenant) in [("a1", "alpha"), ("a2", "alpha"), ("b1", "beta")] {
        assert_eq!(let_in(Some(key), false, fresh), Ok(Some(tenant.to_owned())));
        assert_eq!(let_in(Some(key), true, fresh), Ok(Some(tenant.to_owned())));
    }
    assert_eq!(let_in(Some("c1"), false, fresh), Err(AccessRefusal::UnknownKey));
    assert_eq!(let_in(None, false, fresh), Err(AccessRefusal::UnknownKey));
    assert_eq!(let_in(Some("c1"), true, fresh), Ok(None));
    assert_eq!(let_in(None, true, fresh), Ok(None));
}

#[test]
fn old_knowledge_opens_public_routes_only() {
    for age in [None, Some(WITHIN)] {
        assert_eq!(let_in(Some("a1"), false, age), Err(AccessRefusal::TooOld));
        assert_eq!(let_in(Some("c1"), false, age), Err(AccessRefusal::TooOld));
        assert_eq!(let_in(None, false, age), Err(AccessRefusal::UnknownKey));
        assert_eq!(let_in(None, true, age), Ok(None));
    }
    // A key may have been added since; whether one was withdrawn is known well enough.
    assert_eq!(let_in(Some("c1"), false, Some(SECOND * 3)), Err(AccessRefusal::TooOld));
    assert_eq!(let_in(Some("a1"), false, Some(SECOND * 3)), Ok(Some("alpha".to_owned())));
}

#[test]
fn a_node_cut_off_serves_for_three_fifths_of_the_time() {
    // What it owes; the configuration is 2.1 s old at most when the cut begins.
    let owed = WITHIN.mul_f64(0.6);
    assert!(let_in(Some("a1"), false, Some(owed + Duration::from_millis(1800))).is_ok());
}

#[test]
fn without_tenants_everybody_may_call() {
    let facts = AccessFacts { key: None, is_public: false, age: None };
    let limits = KnowledgeLimits::withdrawn_within(Some(WITHIN));
    assert_eq!(decide(&AccessTable::default(), facts, limits), Ok(None));
    assert!(!AccessTable::new(Vec::new()).expect("a table").requires_keys());
}

#[test]
fn tenants_that_cant_be_told_apart_are_reported() {
    let shared = AccessTable::new(vec![spec("alpha", &["k"]), spec("beta", &["k"])]);
    let (first, second) = (Arc::from("alpha"), Arc::from("beta"));
    assert_eq!(shared.err(), Some(AccessTableError::SharedKey { first, second }));
    let twice = AccessTable::new(vec![spec("alpha", &["k"]), spec("alpha", &["l"])]);
    assert_eq!(twice.err(), Some(AccessTableError::SharedName { name: Arc::from("alpha") }));
}

#[test]
fn nothing_that_is_printed_shows_a_key() {
    let limit = QuotaLimit { per_second: 1.0, burst: 1.0, window: WITHIN };
    let spec = TenantSpec { quota: Some(limit), ..spec("alpha", &["secret-key"]) };
    let printed = format!("{spec:?} {:?}", ApiKey::new("secret-key"));
    assert!(!printed.contains("secret-key"), "{printed}");
    let table = AccessTable::new(vec![spec]).expect("a table");
    assert!(!format!("{table:?}").contains("secret-key"));
}

proptest! {
    /// A configuration takes a key away at one time; nodes read it at others, and answers may be as late as they like. No
    /// call that was sent later than the time allowed after the withdrawal is let in.
    #[test]
    fn no_late_call_is_let_in(
        withdrawn in 0_u64..20_000,
        readings in proptest::collection::vec((0_u64..20_000, 0_u64..3_000), 0..12),
        sent in 0_u64..30_000,
        on_the_way in 0_u64..2_000,
    ) {
        let at = |millis: u64| Timestamp(millis * 1_000);
        let decided_at = sent + on_the_way;
        // A reading begun at one time is answered later; the answer shows the store of some time in between.
        let known = readings.iter().filter(|(begun, taken)| begun + taken <= decided_at);
        let mut knowledge = Knowledge::default();
        let mut knows_withdrawal = false;
        for (begun, taken) in known {
            knowledge.confirm(at(*begun));
            let may_have_seen = begun + taken;
            // The worst case: the withdrawal is seen only where it must be.
            knows_withdrawal |= *begun >= withdrawn && may_have_seen >= withdrawn;
        }
        let table = if knows_withdrawal {
            AccessTable::new(vec![spec("alpha", &["other"])])
        } else {
            AccessTable::new(vec![spec("alpha", &["k"])])
        };
        let key = ApiKey::new("k");
        let facts = AccessFacts { key: Some(&key), is_public: false, age: knowledge.age(at(decided_at)) };
        let decided = decide(&table.expect("a table"), facts, KnowledgeLimits::withdrawn_within(Some(WITHIN)));
        let is_late = sent > withdrawn + WITHIN.as_millis() as u64;
        prop_assert!(!(is_late && decided.is_ok()), "let in {} ms after the withdrawal", sent - withdrawn);
    }
}
