//! Reads a bundle's tables and validates the references between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sumacdrift_program::BudgetLimits;
use sumacdrift_scheduling::{EngineRates, QueueSettings};
use sumacdrift_types::{EngineName, Generation, PoolName, PriorityName, ServiceName};

use crate::BUNDLE_SCHEMA;
use crate::bundle::{
    Bundle, Engine, Pool, Priority, RetrySettings, Service, ServiceBackEnd, ServiceRoute, Tenant, Weights,
};
use crate::document::Table;

/// How long after the pool's deadline the grant of an unreleased call expires.
const GRANT_LEASE_SLACK: Duration = Duration::from_secs(15);
const DEFAULT_DEADLINE: Duration = Duration::from_secs(300);
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_SERVICE_DEADLINE: Duration = Duration::from_secs(30);
const DEFAULT_CALLS_PER_NODE: u64 = 1_024;
const DEFAULT_SUB_AGENT_SHARE_PERCENT: u64 = 25;
const MAX_COUNT: u64 = 1 << 40;

pub(crate) fn read(root: &mut Table<'_>, source: &str) -> Bundle {
    check_schema(root);
    let generation = Generation(root.integer("generation", 1..=MAX_COUNT));
    let priorities = read_by_name(root, "priority", read_priority, |priority| priority.name.clone());
    let pools = read_by_name(root, "pool", read_pool, |pool| pool.name.clone());
    let services = read_by_name(root, "service", read_service, |service| service.name.clone());
    let tenants = read_by_name(root, "tenant", read_tenant, |tenant| tenant.name.clone());
    let retry = root.table("retry", read_retry);
    let share = root.integer_or("sub_agent_share_percent", 1..=100, DEFAULT_SUB_AGENT_SHARE_PERCENT);
    let bundle = Bundle {
        generation,
        pools,
        services,
        tenants,
        priorities,
        retry,
        sub_agent_share_percent: share,
        source: source.to_owned(),
    };
    check_references(root, &bundle);
    bundle
}

fn check_schema(root: &mut Table<'_>) {
    let schema = root.integer("schema", 0..=MAX_COUNT);
    if schema != BUNDLE_SCHEMA {
        root.report_error("schema", format!("unsupported schema; this program reads schema {BUNDLE_SCHEMA}"));
    }
}

fn read_by_name<T, K: Ord + std::fmt::Display>(
    root: &mut Table<'_>,
    key: &'static str,
    read: impl Fn(&mut Table<'_>) -> Option<T>,
    name: impl Fn(&T) -> K,
) -> BTreeMap<K, T> {
    let mut items = BTreeMap::new();
    for item in root.tables(key, read) {
        let item_name = name(&item);
        if items.contains_key(&item_name) {
            root.report_error(key, format!("duplicate name \"{item_name}\""));
        }
        items.insert(item_name, item);
    }
    items
}

fn read_priority(table: &mut Table<'_>) -> Option<Priority> {
    let name = table.name("name");
    let rank = table.integer("rank", 0..=1_000) as u32;
    Some(Priority { name: name?, rank })
}

fn read_pool(table: &mut Table<'_>) -> Option<Pool> {
    let name = table.name("name");
    let models: BTreeSet<_> = table.names("models").into_iter().collect();
    if models.is_empty() {
        table.report_error("models", "expected at least one model");
    }
    let engines = table.tables("engine", read_engine);
    let queue = table.table("queue", read_queue);
    let weights = table.table("weights", read_weights);
    let deadline = table.duration_or("deadline_seconds", DEFAULT_DEADLINE);
    let stall_timeout = table.duration_or("stall_timeout_seconds", DEFAULT_STALL_TIMEOUT);
    // A granted call has ended by its deadline even if its node was lost before releasing it.
    let queue = QueueSettings { grant_lease: deadline + GRANT_LEASE_SLACK, ..queue };
    Some(Pool { name: name?, models, engines, queue, weights, deadline, stall_timeout })
}

fn read_engine(table: &mut Table<'_>) -> Option<Engine> {
    let name = table.name("name");
    let address = table.address("address");
    let zone = table.name("zone");
    let is_draining = table.bool_or("leaving", false);
    Some(Engine { name: name?, address: address?, zone: zone?, is_draining })
}

fn read_queue(table: &mut Table<'_>) -> QueueSettings {
    let default = QueueSettings::default();
    let rates = default.rates;
    let rate = 0.000_001..=10_000_000.0;
    QueueSettings {
        max_running: table.integer_or("max_running", 1..=4096, default.max_running as u64) as usize,
        max_queued: table.integer_or("max_queued", 0..=1_000_000, default.max_queued as u64) as usize,
        capacity_tokens: table.integer_or("capacity_tokens", 1..=MAX_COUNT, default.capacity_tokens),
        rates: EngineRates {
            prefill_tokens_per_second: table.float_or(
                "prefill_tokens_per_second",
                rate.clone(),
                rates.prefill_tokens_per_second,
            ),
            step_seconds: table.float_or("step_seconds", rate, rates.step_seconds),
            step_seconds_per_sequence: table.float_or(
                "step_seconds_per_sequence",
                0.0..=1.0,
                rates.step_seconds_per_sequence,
            ),
            ..rates
        },
        order: sumacdrift_scheduling::OrderSettings {
            starvation_bound: table.duration_or("starvation_bound_seconds", default.order.starvation_bound),
            ..default.order
        },
        ..default
    }
}

fn read_weights(table: &mut Table<'_>) -> Weights {
    let default = Weights::default();
    Weights {
        latency: table.float_or("latency", 0.0..=1_000.0, default.latency),
        cache: table.float_or("cache", 0.0..=1_000.0, default.cache),
    }
}

fn read_service(table: &mut Table<'_>) -> Option<Service> {
    let name = table.name("name");
    let back_ends = table.tables("back_end", read_back_end);
    if back_ends.is_empty() {
        table.report_error("back_end", "expected at least one back end");
    }
    let routes = table.tables("route", read_route);
    let deadline = table.duration_or("deadline_seconds", DEFAULT_SERVICE_DEADLINE);
    Some(Service { name: name?, back_ends, routes, deadline })
}

fn read_back_end(table: &mut Table<'_>) -> Option<ServiceBackEnd> {
    let address = table.address("address");
    let zone = table.name("zone");
    let is_draining = table.bool_or("leaving", false);
    Some(ServiceBackEnd { address: address?, zone: zone?, is_draining })
}

fn read_route(table: &mut Table<'_>) -> Option<ServiceRoute> {
    let method = table.optional_string("method");
    let path_prefix = table.string("path_prefix");
    if !path_prefix.starts_with('/') {
        table.report_error("path_prefix", "a path must begin with a slash");
    }
    let is_repeatable = table.bool_or("repeatable", false);
    Some(ServiceRoute { method, path_prefix, is_repeatable })
}

fn read_tenant(table: &mut Table<'_>) -> Option<Tenant> {
    let name = table.name("name");
    let keys = read_keys(table);
    let priority = table.name("priority");
    let pools = table.names("pools").into_iter().collect();
    let services = table.names("services").into_iter().collect();
    let max_calls = table.integer_or("max_calls_per_node", 1..=1_000_000, DEFAULT_CALLS_PER_NODE);
    let budget = table.table("budget", read_budget);
    Some(Tenant {
        name: name?,
        keys,
        priority: priority?,
        pools,
        services,
        max_calls_per_node: max_calls as usize,
        budget,
    })
}

fn read_keys(table: &mut Table<'_>) -> BTreeSet<crate::ApiKeyHash> {
    let mut keys = BTreeSet::new();
    for text in table.strings("key_sha256") {
        match text.parse() {
            Ok(key) => {
                keys.insert(key);
            }
            // The message doesn't quote the value: it may be the key itself instead of its hash.
            Err(()) => table
                .report_error("key_sha256", "expected the SHA-256 of an API key as 64 hexadecimal digits"),
        }
    }
    keys
}

fn read_budget(table: &mut Table<'_>) -> BudgetLimits {
    BudgetLimits {
        turns: table.integer_or("turns", 1..=1_000_000, 510) as u32,
        input_tokens: table.integer_or("input_tokens", 1..=MAX_COUNT, 1_000_000),
        output_tokens: table.integer_or("output_tokens", 1..=MAX_COUNT, 1_000_000),
        seconds: table.integer_or("seconds", 1..=31_536_000, 86_400),
        sub_agents: table.integer_or("sub_agents", 0..=100_000, 64) as u32,
    }
}

fn read_retry(table: &mut Table<'_>) -> RetrySettings {
    RetrySettings {
        max_attempts: table.integer_or("max_attempts", 1..=10, 3) as u32,
        ratio: table.float_or("ratio", 0.0..=1.0, 0.1),
        minimum_per_second: table.float_or("minimum_per_second", 0.0..=1_000.0, 1.0),
    }
}

fn check_references(root: &Table<'_>, bundle: &Bundle) {
    let mut engines: BTreeSet<&EngineName> = BTreeSet::new();
    for (pool, engine) in bundle.engines() {
        if !engines.insert(&engine.name) {
            let message = format!("duplicate engine name \"{}\" in pool \"{}\"", engine.name, pool.name);
            root.report_error("pool", message);
        }
    }
    for tenant in bundle.tenants.values() {
        check_tenant(root, bundle, tenant);
    }
    check_unique_keys(root, bundle);
}

fn check_tenant(root: &Table<'_>, bundle: &Bundle, tenant: &Tenant) {
    let report_unknown = |kind: &str, name: &str| {
        root.report_error(
            "tenant",
            format!("tenant \"{}\" refers to unknown {kind} \"{name}\"", tenant.name),
        );
    };
    let priority: &PriorityName = &tenant.priority;
    if !bundle.priorities.contains_key(priority) {
        report_unknown("priority", priority.as_str());
    }
    let is_unknown_pool = |pool: &&PoolName| !bundle.pools.contains_key(*pool);
    tenant.pools.iter().filter(is_unknown_pool).for_each(|pool| report_unknown("pool", pool.as_str()));
    let is_unknown_service = |service: &&ServiceName| !bundle.services.contains_key(*service);
    tenant
        .services
        .iter()
        .filter(is_unknown_service)
        .for_each(|service| report_unknown("service", service.as_str()));
}

fn check_unique_keys(root: &Table<'_>, bundle: &Bundle) {
    let mut keys = BTreeSet::new();
    for tenant in bundle.tenants.values() {
        for key in &tenant.keys {
            if !keys.insert(key) {
                root.report_error(
                    "tenant",
                    format!("tenant \"{}\" has an API key of another tenant", tenant.name),
                );
            }
        }
    }
}
