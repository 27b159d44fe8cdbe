//! Per-tenant limit on calls in flight on this node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_config::Tenant;
use sumacdrift_request_memory::Reservation;
use sumacdrift_types::{Problem, ResultCode, TenantName};

/// Retry delay given to callers of a tenant that has reached its limit.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts calls in flight by tenant; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct TenantLimits {
    in_flight: Arc<Mutex<HashMap<TenantName, usize>>>,
}

/// A counted call; dropping it decrements its tenant's count.
#[derive(Debug)]
pub(crate) struct CallPermit {
    limits: TenantLimits,
    tenant: TenantName,
    /// Memory for the call's content.
    memory: Option<Reservation>,
}

impl CallPermit {
    /// Holds memory until the call ends.
    pub(crate) fn hold(&mut self, memory: Reservation) {
        self.memory = Some(memory);
    }
}

impl TenantLimits {
    /// Counts one more call, or fails if the tenant has reached its limit.
    pub(crate) fn acquire(&self, tenant: &Tenant) -> Result<CallPermit, Problem> {
        let mut in_flight = self.lock();
        let count = in_flight.entry(tenant.name.clone()).or_default();
        if *count >= tenant.max_calls_per_node {
            let detail = format!("the tenant has {count} calls in flight on this node");
            return Err(Problem::not_run(ResultCode::TenantLimit, detail).with_retry_after(RETRY_AFTER));
        }
        *count += 1;
        Ok(CallPermit { limits: self.clone(), tenant: tenant.name.clone(), memory: None })
    }

    /// Calls in flight of all tenants.
    pub fn total(&self) -> usize {
        self.lock().values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TenantName, usize>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        let mut in_flight = self.limits.lock();
        if let Some(count) = in_flight.get_mut(&self.tenant) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.tenant);
            }
        }
    }
}
