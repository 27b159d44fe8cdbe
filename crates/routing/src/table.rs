//! The routes and services of one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_access::AccessTable;
use sumacdrift_calls::CallRules;

use sumacdrift_types::AllowedRegions;

use crate::cold::ColdLimit;

/// A service that gets a share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the others.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// Beginning of the path, with slashes at both ends.
    pub prefix: String,
    /// Services that serve it.
    pub services: Vec<WeightedService>,
    /// What is allowed for its calls.
    pub rules: CallRules,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether calls about the same thing run faster at the same engine.
    pub is_sticky: bool,
    /// Whether the system keeps what was said.
    pub is_retained: bool,
    /// How long a program's records are kept.
    pub retention: Duration,
    /// Regions in which its calls may be served and kept.
    pub regions: AllowedRegions,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its engines accepts from all callers together.
    pub max_connections: usize,
    /// Tokens that an event of its streams holds; 0 where it generates none.
    pub tokens_per_event: u64,
    /// What its engines take while they are cold; `None` where they take as much as ever.
    pub cold: Option<ColdLimit>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head.
    pub header_time: Duration,
    /// Time that a connection may rest.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// The version; higher ones are newer.
    pub version: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call.
    pub access: AccessTable,
}

impl RouteTable {
    /// A table of routes and services.
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

    /// The same table where only these tenants may call.
    pub fn with_access(mut self, access: AccessTable) -> Self {
        self.access = access;
        self
    }

    /// The route of the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// What engines take while they are cold, of each service where that is less than usual.
    pub fn cold_limits(&self) -> HashMap<Arc<str>, ColdLimit> {
        let limits = self.services.values().filter_map(|service| Some((&service.name, service.cold?)));
        limits.map(|(name, limit)| (Arc::clone(name), limit)).collect()
    }

    /// Whether callers are told apart by rank: routes or tenants have different ones.
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
