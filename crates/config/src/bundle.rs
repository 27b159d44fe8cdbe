//! The validated configuration bundle.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sumacdrift_program::BudgetLimits;
use sumacdrift_scheduling::{PlacementWeights, PriorityRank, QueueSettings};
use sumacdrift_types::{
    EngineName, Generation, ModelName, PoolName, PriorityName, ServiceName, TenantName, ZoneName,
};

use crate::document::{ConfigErrors, ErrorCollector};
use crate::{ApiKeyHash, bundle_reader};

/// One generation of the fleet's configuration.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Bundle {
    /// Strictly increasing from bundle to bundle.
    pub generation: Generation,
    pub pools: BTreeMap<PoolName, Pool>,
    pub services: BTreeMap<ServiceName, Service>,
    pub tenants: BTreeMap<TenantName, Tenant>,
    pub priorities: BTreeMap<PriorityName, Priority>,
    pub retry: RetrySettings,
    /// Share of a parent program's remaining budget that a sub-agent receives.
    pub sub_agent_share_percent: u64,
    /// TOML text that the bundle was parsed from.
    pub source: String,
}

/// Engines that serve the same models.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Pool {
    pub name: PoolName,
    pub models: BTreeSet<ModelName>,
    pub engines: Vec<Engine>,
    /// Settings of each engine's queue.
    pub queue: QueueSettings,
    /// Weights of latency and of cache costs in placement.
    pub weights: Weights,
    /// Time limit for a whole call.
    pub deadline: Duration,
    /// Maximum time to the first token and between tokens; after it the engine is considered hung.
    pub stall_timeout: Duration,
}

/// An engine of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Engine {
    pub name: EngineName,
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// Whether it is draining: it receives no new calls.
    pub is_draining: bool,
}

/// Placement weights of a pool.
pub type Weights = PlacementWeights;

/// A plain HTTP service.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Service {
    pub name: ServiceName,
    pub back_ends: Vec<ServiceBackEnd>,
    /// Rules on which calls may be retried; the first match applies.
    pub routes: Vec<ServiceRoute>,
    /// Time limit for a whole call.
    pub deadline: Duration,
}

/// One process of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct ServiceBackEnd {
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// Whether it is draining: it receives no new calls.
    pub is_draining: bool,
}

/// Whether calls with a given method and path may be retried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// HTTP method; `None` matches all.
    pub method: Option<String>,
    /// Prefix of the path after the service's name.
    pub path_prefix: String,
    /// Whether the system may retry the call on its own.
    pub is_repeatable: bool,
}

/// A tenant's access rights and limits.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Tenant {
    pub name: TenantName,
    pub keys: BTreeSet<ApiKeyHash>,
    pub priority: PriorityName,
    /// Pools that the tenant is allowed to use.
    pub pools: BTreeSet<PoolName>,
    /// Services that the tenant is allowed to use.
    pub services: BTreeSet<ServiceName>,
    /// Maximum number of calls in flight on one node.
    pub max_calls_per_node: usize,
    /// Limits on each of the tenant's programs.
    pub budget: BudgetLimits,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Priority {
    pub name: PriorityName,
    /// Lower ranks are served first.
    pub rank: PriorityRank,
}

/// Limits on automatic retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Maximum number of attempts for one call, including the first.
    pub max_attempts: u32,
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries per second that are allowed regardless of traffic.
    pub minimum_per_second: f64,
}

impl Bundle {
    /// Parses and validates a bundle; `file` is its name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        ErrorCollector::new(file, text).read(|root| bundle_reader::read(root, text))
    }

    /// Finds the pool that serves a model for a tenant: the first by name that the tenant is allowed to use.
    pub fn pool_for(&self, tenant: &Tenant, model: &ModelName) -> PoolLookup<'_> {
        let mut serving = self.pools.values().filter(|pool| pool.models.contains(model)).peekable();
        if serving.peek().is_none() {
            return PoolLookup::UnknownModel;
        }
        match serving.find(|pool| tenant.pools.contains(&pool.name)) {
            Some(pool) => PoolLookup::Found(pool),
            None => PoolLookup::Forbidden,
        }
    }

    /// Finds the tenant that owns an API key.
    pub fn tenant_of_key(&self, key: &ApiKeyHash) -> Option<&Tenant> {
        self.tenants.values().find(|tenant| tenant.keys.contains(key))
    }

    /// The rank of a tenant's priority class; the lowest priority if the class is unknown.
    pub fn rank_of(&self, tenant: &Tenant) -> PriorityRank {
        self.priorities.get(&tenant.priority).map_or(PriorityRank::MAX, |priority| priority.rank)
    }

    /// All engines, each with its pool.
    pub fn engines(&self) -> impl Iterator<Item = (&Pool, &Engine)> {
        self.pools.values().flat_map(|pool| pool.engines.iter().map(move |engine| (pool, engine)))
    }
}

/// Result of [`Bundle::pool_for`].
#[derive(Debug)]
pub enum PoolLookup<'a> {
    /// The pool that serves the model for the tenant.
    Found(&'a Pool),
    /// No pool serves the model.
    UnknownModel,
    /// Only pools that the tenant is not allowed to use serve the model.
    Forbidden,
}

impl Service {
    /// Whether a call may be retried automatically. Calls that match no route may be retried only if their method is
    /// GET or HEAD.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let matches = |route: &&ServiceRoute| {
            let method_matches = route.method.as_deref().is_none_or(|wanted| wanted == method);
            method_matches && path.starts_with(&route.path_prefix)
        };
        match self.routes.iter().find(matches) {
            Some(route) => route.is_repeatable,
            None => matches!(method, "GET" | "HEAD"),
        }
    }
}
