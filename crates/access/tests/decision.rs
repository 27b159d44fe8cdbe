//! Admission of calls by key, route and age of the configuration.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use sumacdrift_access::{
    AccessRefusal, AccessRequest, AccessTable, AccessTableError, ApiKey, ConfigurationAge,
    ConfigurationAgeLimits, QuotaLimit, TenantSpec, check_access,
};
use sumacdrift_types::{AllowedRegions, Timestamp};

const WITHDRAWN_WITHIN: Duration = Duration::from_secs(5);
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
    AccessTable::new(vec![spec("alpha", &["a1", "a2"]), spec("beta", &["b1"])]).expect("valid tenants")
}

/// Name of the tenant for which a call is admitted.
fn admitted_tenant(
    key: Option<&str>,
    is_public: bool,
    age: Option<Duration>,
) -> Result<Option<String>, AccessRefusal> {
    let key = key.map(ApiKey::new);
    let request = AccessRequest { key: key.as_ref(), is_public, age };
    let decision = check_access(
        &table(),
        request,
        ConfigurationAgeLimits::for_withdrawal_deadline(Some(WITHDRAWN_WITHIN)),
    );
    decision.map(|tenant| tenant.map(|tenant| tenant.name.to_string()))
}

#[test]
fn key_identifies_its_tenant() {
    let fresh = Some(Duration::ZERO);
    for (key, tenant) in [("a1", "alpha"), ("a2", "alpha"), ("b1", "beta")] {
        assert_eq!(admitted_tenant(Some(key), false, fresh), Ok(Some(tenant.to_owned())));
        assert_eq!(admitted_tenant(Some(key), true, fresh), Ok(Some(tenant.to_owned())));
    }
    assert_eq!(admitted_tenant(Some("c1"), false, fresh), Err(AccessRefusal::UnknownKey));
    assert_eq!(admitted_tenant(None, false, fresh), Err(AccessRefusal::UnknownKey));
    assert_eq!(admitted_tenant(Some("c1"), true, fresh), Ok(None));
    assert_eq!(admitted_tenant(None, true, fresh), Ok(None));
}

#[test]
fn stale_configuration_admits_public_routes_only() {
    for age in [None, Some(WITHDRAWN_WITHIN)] {
        assert_eq!(admitted_tenant(Some("a1"), false, age), Err(AccessRefusal::TooOld));
        assert_eq!(admitted_tenant(Some("c1"), false, age), Err(AccessRefusal::TooOld));
        assert_eq!(admitted_tenant(None, false, age), Err(AccessRefusal::UnknownKey));
        assert_eq!(admitted_tenant(None, true, age), Ok(None));
    }
    // Between both age limits: a key may have been added, but known keys are still accepted.
    assert_eq!(admitted_tenant(Some("c1"), false, Some(SECOND * 3)), Err(AccessRefusal::TooOld));
    assert_eq!(admitted_tenant(Some("a1"), false, Some(SECOND * 3)), Ok(Some("alpha".to_owned())));
}

#[test]
fn partitioned_node_serves_for_three_fifths_of_the_withdrawal_time() {
    // Time for which it must keep serving, plus the age of the configuration when the partition begins.
    let required = WITHDRAWN_WITHIN.mul_f64(0.6);
    assert!(admitted_tenant(Some("a1"), false, Some(required + Duration::from_millis(1800))).is_ok());
}

#[test]
fn table_without_tenants_admits_all_callers() {
    let request = AccessRequest { key: None, is_public: false, age: None };
    let limits = ConfigurationAgeLimits::for_withdrawal_deadline(Some(WITHDRAWN_WITHIN));
    assert_eq!(check_access(&AccessTable::default(), request, limits), Ok(None));
    assert!(!AccessTable::new(Vec::new()).expect("valid tenants").requires_keys());
}

#[test]
fn duplicate_tenant_keys_and_names_are_rejected() {
    let shared = AccessTable::new(vec![spec("alpha", &["k"]), spec("beta", &["k"])]);
    let (first, second) = (Arc::from("alpha"), Arc::from("beta"));
    assert_eq!(shared.err(), Some(AccessTableError::SharedKey { first, second }));
    let twice = AccessTable::new(vec![spec("alpha", &["k"]), spec("alpha", &["l"])]);
    assert_eq!(twice.err(), Some(AccessTableError::SharedName { name: Arc::from("alpha") }));
}

#[test]
fn debug_output_hides_keys() {
    let limit = QuotaLimit { per_second: 1.0, burst: 1.0, window: WITHDRAWN_WITHIN };
    let spec = TenantSpec { quota: Some(limit), ..spec("alpha", &["secret-key"]) };
    let debug_text = format!("{spec:?} {:?}", ApiKey::new("secret-key"));
    assert!(!debug_text.contains("secret-key"), "{debug_text}");
    let table = AccessTable::new(vec![spec]).expect("valid tenants");
    assert!(!format!("{table:?}").contains("secret-key"));
}

proptest! {
    /// A key is withdrawn at one time; nodes read the configuration at others, and answers may be arbitrarily
    /// late. No call sent later than the allowed time after the withdrawal is admitted.
    #[test]
    fn withdrawn_key_is_refused_after_the_allowed_time(
        withdrawn in 0_u64..20_000,
        reads in proptest::collection::vec((0_u64..20_000, 0_u64..3_000), 0..12),
        sent in 0_u64..30_000,
        delay in 0_u64..2_000,
    ) {
        let at = |millis: u64| Timestamp(millis * 1_000);
        let decided_at = sent + delay;
        // The answer to a read shows the store at some time between the request and the answer.
        let answered = reads.iter().filter(|(read_at, read_millis)| read_at + read_millis <= decided_at);
        let mut configuration_age = ConfigurationAge::default();
        let mut knows_withdrawal = false;
        for (read_at, read_millis) in answered {
            configuration_age.confirm(at(*read_at));
            let answered_at = read_at + read_millis;
            // Worst case: a read shows the withdrawal only where it must.
            knows_withdrawal |= *read_at >= withdrawn && answered_at >= withdrawn;
        }
        let table = if knows_withdrawal {
            AccessTable::new(vec![spec("alpha", &["other"])])
        } else {
            AccessTable::new(vec![spec("alpha", &["k"])])
        };
        let key = ApiKey::new("k");
        let request = AccessRequest {
            key: Some(&key),
            is_public: false,
            age: configuration_age.age(at(decided_at)),
        };
        let decision = check_access(
            &table.expect("valid tenants"),
            request,
            ConfigurationAgeLimits::for_withdrawal_deadline(Some(WITHDRAWN_WITHIN)),
        );
        let is_late = sent > withdrawn + WITHDRAWN_WITHIN.as_millis() as u64;
        prop_assert!(
            !(is_late && decision.is_ok()),
            "call sent {} ms after the withdrawal was admitted",
            sent - withdrawn
        );
    }
}
