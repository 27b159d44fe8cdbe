//! Parsing of settings and bundles: the examples are valid, and all errors are reported at once.

use sumacdrift_config::{ApiKeyHash, Bundle, Settings};

const SETTINGS: &str = include_str!("../../../examples/node.toml");
const BUNDLE: &str = include_str!("../../../examples/bundle.toml");

#[test]
fn the_example_settings_are_valid() {
    let settings = Settings::parse("node.toml", SETTINGS).expect("valid settings");
    assert_eq!(settings.id.0, 1);
    assert_eq!(settings.roles.len(), 3);
}

#[test]
fn the_example_bundle_is_valid_and_resolves_its_api_key() {
    let bundle = Bundle::parse("bundle.toml", BUNDLE).expect("a valid bundle");
    let tenant = bundle.tenant_of_key(&ApiKeyHash::of("example-key")).expect("the key's tenant");
    assert_eq!(tenant.name.as_str(), "build-farm");
    assert!(bundle.tenant_of_key(&ApiKeyHash::of("other-key")).is_none());
    let hooks = bundle.services.values().next().expect("a service");
    assert!(hooks.is_repeatable("POST", "/status/x"));
    assert!(!hooks.is_repeatable("POST", "/sign"));
    assert!(!hooks.is_repeatable("GET", "/sign"));
}

#[test]
fn all_errors_in_settings_are_reported_at_once() {
    let text = "[node]\nid = 0\nregion = \"two words\"\nroles = [\"cook\"]\ncolour = \"red\"\n\
                [listen]\ncallers = \"localhost:80\"\npeers = \"127.0.0.1:1\"\n\
                [fleet]\nshards = \"many\"\n[log]\nlevel = \"loud\"\n";
    let errors = Settings::parse("node.toml", text).expect_err("errors");
    insta::assert_snapshot!(errors.to_string());
}

#[test]
fn all_errors_in_a_bundle_are_reported_at_once() {
    let text = "schema = 9\ngeneration = 0\n[[pool]]\nname = \"a\"\nmodels = []\nspeed = 3\n\
                [[pool.engine]]\nname = \"e\"\naddress = \"engine.local:1\"\nzone = \"z\"\n\
                [[pool.engine]]\nname = \"f\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n\
                [[pool]]\nname = \"b\"\nmodels = [\"m\"]\n\
                [[pool.engine]]\nname = \"f\"\naddress = \"127.0.0.1:2\"\nzone = \"z\"\n\
                [[tenant]]\nname = \"t\"\nkey_sha256 = [\"my-secret-key\"]\npriority = \"none\"\n\
                pools = [\"c\"]\n";
    let errors = Bundle::parse("bundle.toml", text).expect_err("errors").to_string();
    assert!(!errors.contains("my-secret-key"), "a message must not contain the key");
    insta::assert_snapshot!(errors);
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    let errors = Settings::parse("node.toml", "[node]\nid = = 3\n").expect_err("an error");
    assert_eq!(errors.0.len(), 1);
    assert_eq!(errors.0[0].line, 2);
}

/// Guards against slots that stay occupied long after the deadline when a call's release is lost.
#[test]
fn an_unreleased_grant_expires_soon_after_the_pools_deadline() {
    let bundle = Bundle::parse("bundle.toml", BUNDLE).expect("a valid bundle");
    for pool in bundle.pools.values() {
        let slack = pool.queue.grant_lease.checked_sub(pool.deadline).expect("a lease beyond the deadline");
        assert!(slack <= std::time::Duration::from_secs(60), "{slack:?}");
    }
}
