//! Routes: longest prefix, version order and weighted shares.

use std::time::Duration;

use sumacdrift_calls::{CallKind, CallRules};
use sumacdrift_routing::{CallerLimits, Route, RouteTable, Routes, ServiceSpec, WeightedService};
use sumacdrift_types::{AllowedRegions, Timestamp};

const NOW: Timestamp = Timestamp(5_000_000);

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 1 << 20,
    header_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    let weighted =
        |(service, weight): &(&str, u32)| WeightedService { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        host: "Host.Example".to_owned(),
        prefix: prefix.to_owned(),
        services: services.iter().map(weighted).collect(),
        rules: CallRules {
            kind: CallKind::Repeatable,
            max_engines: 1,
            returns_to_last: true,
            timeout: Duration::from_secs(1),
            aim: Duration::from_millis(100),
            priority: 0,
        },
        is_public: false,
        is_sticky: false,
        is_retained: false,
        retention: Duration::ZERO,
        regions: AllowedRegions::default(),
    }
}

fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    let service = ServiceSpec {
        name: "s".into(),
        max_connections: 10,
        tokens_per_event: 0,
        health_path: None,
        cold: None,
    };
    RouteTable::new(version, routes, vec![service], LIMITS)
}

#[test]
fn longest_prefix_wins_in_any_order() {
    let routes = vec![route("short", "/a/", &[("s", 1)]), route("long", "/a/b/", &[("s", 1)])];
    let table = table(1, routes);
    let found = |path| table.find("host.example:8080", path).map(|route| route.name.to_string());
    assert_eq!(found("/a/b/c").as_deref(), Some("long"));
    assert_eq!(found("/a/bc").as_deref(), Some("short"));
    assert_eq!(found("/a"), None);
    assert!(table.find("other.example", "/a/").is_none());
    assert!(table.find("HOST.example", "/a/").is_some());
}

#[test]
fn older_version_never_replaces_a_newer_one() {
    let mut routes = Routes::default();
    assert!(routes.apply(table(5, vec![route("new", "/new/", &[("s", 1)])]), NOW));
    assert!(!routes.apply(table(5, Vec::new()), NOW));
    assert!(!routes.apply(table(3, vec![route("old", "/old/", &[("s", 1)])]), NOW));
    assert!(routes.select("host.example", "/new/x").is_some());
    assert!(routes.select("host.example", "/old/x").is_none());
}

#[test]
fn each_service_gets_its_share_in_any_hundred_calls() {
    let mut routes = Routes::default();
    routes.apply(table(1, vec![route("split", "/", &[("a", 90), ("b", 10)])]), NOW);
    let served: Vec<String> = (0..1000)
        .filter_map(|_| routes.select("host.example", "/x"))
        .map(|selected| selected.service.name.to_string())
        .collect();
    for window in served.windows(100) {
        let share = window.iter().filter(|service| *service == "b").count();
        assert!((8..=12).contains(&share), "{share} of 100");
    }
}

#[test]
fn table_has_ranks_if_routes_differ_in_priority() {
    let route_of_rank = |name: &str, priority: u32| {
        let mut route = route(name, &format!("/{name}/"), &[("s", 1)]);
        route.rules.priority = priority;
        route
    };
    assert!(!table(1, vec![route_of_rank("a", 1), route_of_rank("b", 1)]).has_ranks());
    assert!(table(1, vec![route_of_rank("a", 1), route_of_rank("b", 2)]).has_ranks());
    assert!(!table(1, Vec::new()).has_ranks());
}

/// Routes that a table of each of these services leads `/x` to, applied a second after one another.
fn routes_of(services: &[&[(&str, u32)]]) -> Routes {
    let mut routes = Routes::default();
    for (number, services) in (0..).zip(services) {
        let applied = NOW + Duration::from_secs(number);
        assert!(routes.apply(table(number + 1, vec![route("r", "/", services)]), applied));
    }
    routes
}

/// The only service of `/x`, and how many seconds after the first table its route began to lead there alone.
fn sole_service(routes: &Routes) -> Option<(String, u64)> {
    let sole = routes.sole_service("host.example", "/x")?;
    Some((sole.service.to_string(), sole.since.since(NOW).as_secs()))
}

#[test]
fn a_route_leads_to_its_service_since_the_last_table_that_led_elsewhere() {
    let (a, b) = ([("a", 1)], [("b", 1)]);
    assert_eq!(sole_service(&Routes::default()), None);
    assert_eq!(sole_service(&routes_of(&[&a])), Some(("a".to_owned(), 0)));
    assert_eq!(sole_service(&routes_of(&[&a, &a, &a])), Some(("a".to_owned(), 0)));
    assert_eq!(sole_service(&routes_of(&[&a, &b])), Some(("b".to_owned(), 1)));
    assert_eq!(sole_service(&routes_of(&[&a, &b, &a, &a])), Some(("a".to_owned(), 2)), "moved and back");
    let split = [("a", 1), ("b", 1)];
    assert_eq!(sole_service(&routes_of(&[&split])), None);
    assert_eq!(sole_service(&routes_of(&[&a, &split, &b])), Some(("b".to_owned(), 2)));
}

#[test]
fn a_longer_prefix_moves_the_calls_that_it_matches() {
    let mut routes = routes_of(&[&[("a", 1)]]);
    let added = vec![route("r", "/", &[("a", 1)]), route("longer", "/x", &[("b", 1)])];
    assert!(routes.apply(table(9, added), NOW + Duration::from_secs(3)));
    assert_eq!(sole_service(&routes), Some(("b".to_owned(), 3)));
    let other = routes.sole_service("host.example", "/other").expect("a service");
    assert_eq!((&*other.service, other.since), ("a", NOW));
}

#[test]
fn a_route_counts_as_changed_before_the_oldest_table_that_is_kept() {
    let service = [("a", 1)];
    let routes = routes_of(&[&service[..]; 40]);
    let (_, since) = sole_service(&routes).expect("a service");
    assert!(since > 0 && since < 39, "{since}");
}
