//! Calls that a tenant has under way on this node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_config::Tenant;
use sumacdrift_types::{Problem, ResultCode, TenantName};

/// When a tenant that reached its limit may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts calls under way by tenant.
#[derive(Debug, Clone, Default)]
pub struct TenantLimits {
    running: Arc<Mutex<HashMap<TenantName, usize>>>,
}

/// One counted call; dropping it ends the counting.
#[derive(Debug)]
pub(crate) struct CountedCall {
    limits: TenantLimits,
    tenant: TenantName,
}

impl TenantLimits {
    /// Counts one more call, unless the tenant has reached its limit.
    pub(crate) fn enter(&self, tenant: &Tenant) -> Result<CountedCall, Problem> {
        let mut running = self.lock();
        let count = running.entry(tenant.name.clone()).or_default();
        if *count >= tenant.max_calls_per_node {
            let detail = format!("{count} calls of the tenant are under way on this node");
            return Err(Problem::not_run(ResultCode::TenantLimit, detail).with_retry_after(RETRY_AFTER));
        }
        *count += 1;
        Ok(CountedCall { limits: self.clone(), tenant: tenant.name.clone() })
    }

    /// All calls under way.
    pub fn total(&self) -> usize {
        self.lock().values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TenantName, usize>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        let mut running = self.limits.lock();
        if let Some(count) = running.get_mut(&self.tenant) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.tenant);
            }
        }
    }
}
