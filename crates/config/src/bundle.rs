//! The configuration bundle in checked form.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sumacdrift_program::BudgetLimits;
use sumacdrift_scheduling::{PlacementWeights, PriorityRank, QueueSettings};
use sumacdrift_types::{
    EngineName, Generation, ModelName, PoolName, PriorityName, ServiceName, TenantName, ZoneName,
};

use crate::document::{Mistakes, Report};
use crate::{ApiKeyHash, bundle_reader};

/// What the fleet does: pools, services, tenants, priorities and budgets of one generation.
#[derive(Debug, Clone)]
pub struct Bundle {
    /// Version; strictly rising.
    pub generation: Generation,
    /// Pools of engines.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Plain HTTP services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Tenants.
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Priority classes.
    pub priorities: BTreeMap<PriorityName, Priority>,
    /// Retries.
    pub retry: RetrySettings,
    /// Part of a parent's remaining budget that a sub-agent receives, in percent.
    pub sub_agent_share_percent: u64,
    /// The text that the bundle was read from.
    pub source: String,
}

/// Engines that serve the same models.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Models served.
    pub models: BTreeSet<ModelName>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Limits of each engine's queue.
    pub queue: QueueSettings,
    /// Weights of latency and cache in placement.
    pub weights: Weights,
    /// Time for a whole call.
    pub deadline: Duration,
    /// Time for a call to its first token and between tokens, before the engine counts as hung.
    pub stall_timeout: Duration,
}

/// One engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: EngineName,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is being taken out of service.
    pub is_leaving: bool,
}

/// Weights of a pool.
pub type Weights = PlacementWeights;

/// A plain HTTP service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Where it runs.
    pub back_ends: Vec<ServiceBackEnd>,
    /// Which of its calls may be repeated; the first match counts.
    pub routes: Vec<ServiceRoute>,
    /// Time for a whole call.
    pub deadline: Duration,
}

/// One process of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceBackEnd {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is being taken out of service.
    pub is_leaving: bool,
}

/// Whether calls of a method and path may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// HTTP method; `None` stands for all.
    pub method: Option<String>,
    /// Beginning of the path after the service's name.
    pub path_prefix: String,
    /// Whether the system may run the call again by itself.
    pub is_repeatable: bool,
}

/// A tenant.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Hashes of its API keys.
    pub keys: BTreeSet<ApiKeyHash>,
    /// Its priority class.
    pub priority: PriorityName,
    /// Pools that it may use.
    pub pools: BTreeSet<PoolName>,
    /// Services that it may use.
    pub services: BTreeSet<ServiceName>,
    /// Calls that it may have under way on one node.
    pub max_calls_per_node: usize,
    /// Limits of each of its programs.
    pub budget: BudgetLimits,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Priority {
    /// Its name.
    pub name: PriorityName,
    /// Lower goes first.
    pub rank: PriorityRank,
}

/// Retries by the system itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Attempts for one call, the first included.
    pub max_attempts: u32,
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries a second allowed whatever the traffic.
    pub minimum_per_second: f64,
}

impl Bundle {
    /// Reads and checks a bundle; `file` names it in mistakes.
    pub fn parse(file: &str, text: &str) -> Result<Self, Mistakes> {
        Report::new(file, text).read(|root| bundle_reader::read(root, text))
    }

    /// The pool that serves a model for a tenant: the first by name that the tenant may use.
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

    /// The tenant that has an API key.
    pub fn tenant_of_key(&self, key: &ApiKeyHash) -> Option<&Tenant> {
        self.tenants.values().find(|tenant| tenant.keys.contains(key))
    }

    /// The rank of a tenant's priority class.
    pub fn rank_of(&self, tenant: &Tenant) -> PriorityRank {
        self.priorities.get(&tenant.priority).map_or(PriorityRank::MAX, |priority| priority.rank)
    }

    /// All engines with their pools.
    pub fn engines(&self) -> impl Iterator<Item = (&Pool, &Engine)> {
        self.pools.values().flat_map(|pool| pool.engines.iter().map(move |engine| (pool, engine)))
    }
}

/// The result of looking for a model's pool.
#[derive(Debug)]
pub enum PoolLookup<'a> {
    /// The pool.
    Found(&'a Pool),
    /// No pool serves the model.
    UnknownModel,
    /// A pool serves it, but not for this tenant.
    Forbidden,
}

impl Service {
    /// Whether the system may run a call again by itself. Without a matching route only safe methods may be.
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
