//! The routes and services of one configuration version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_access::AccessTable;
use sumacdrift_calls::CallRules;

use sumacdrift_types::AllowedRegions;

use crate::cold::ColdLimit;

/// A service with its weight in a route.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    pub service: Arc<str>,
    /// Relative to the other services of the route.
    pub weight: u32,
}

/// A route.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    /// Compared without regard to case.
    pub host: String,
    /// Path prefix with a slash at both ends.
    pub prefix: String,
    pub services: Vec<WeightedService>,
    pub rules: CallRules,
    /// Whether calls need no API key.
    pub is_public: bool,
    /// Whether an engine serves calls with the same affinity key faster after the first one.
    pub is_sticky: bool,
    /// Whether the messages of its programs are stored.
    pub is_retained: bool,
    /// How long a program's records are kept.
    pub retention: Duration,
    /// Regions in which calls may be served and records kept.
    pub regions: AllowedRegions,
}

/// A service.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    pub name: Arc<str>,
    /// Connections that one engine accepts from all callers together.
    pub max_connections: usize,
    /// Tokens in one stream event; 0 for a service that generates none.
    pub tokens_per_event: u64,
    /// Path that engines answer while they live; `None` if the service has none.
    pub health_path: Option<Arc<str>>,
    /// Limits of cold engines; `None` if cold engines take full load.
    pub cold: Option<ColdLimit>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout for receiving the head.
    pub header_time: Duration,
    /// Timeout of an idle connection.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[allow(missing_docs)]
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Higher is newer.
    pub version: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, ServiceSpec>,
    pub limits: CallerLimits,
    /// Tenants that may call; without any, everybody may.
    pub access: AccessTable,
}

impl RouteTable {
    /// Builds a table without tenants.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<ServiceSpec>, limits: CallerLimits) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (Arc::clone(&service.name), service)).collect();
        Self { version, hosts, services, limits, access: AccessTable::default() }
    }

    /// Restricts calls to the tenants of a table.
    pub fn with_access(mut self, access: AccessTable) -> Self {
        self.access = access;
        self
    }

    /// The route of the longest matching prefix; the port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// `None` if the configuration does not define the service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Limits of cold engines by service, without services that have none.
    pub fn cold_limits(&self) -> HashMap<Arc<str>, ColdLimit> {
        let limits = self.services.values().filter_map(|service| Some((&service.name, service.cold?)));
        limits.map(|(name, limit)| (Arc::clone(name), limit)).collect()
    }

    /// Whether routes or tenants differ in priority.
    pub fn has_ranks(&self) -> bool {
        let of_routes = self.hosts.values().flatten().map(|route| route.rules.priority);
        let of_tenants = self.access.tenants().filter_map(|tenant| tenant.priority);
        let mut ranks = of_routes.chain(of_tenants);
        let Some(first) = ranks.next() else { return false };
        ranks.any(|rank| rank != first)
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
