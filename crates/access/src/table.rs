//! Tenants and their keys in one version of the configuration.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sumacdrift_types::AllowedRegions;

use crate::key::{ApiKey, KeyDigest, KeyDigester};
use crate::quota_window::QuotaLimit;

/// A tenant as the configuration describes it.
#[derive(Debug, Clone)]
pub struct TenantSpec {
    /// Unique among the tenants of a configuration.
    pub name: Arc<str>,
    /// API keys, each of which identifies the tenant.
    pub keys: Vec<ApiKey>,
    /// Rank of the tenant's calls, 0 being the highest; `None` if it sets none.
    pub priority: Option<u32>,
    /// Limit on the tenant's calls; `None` if unlimited.
    pub quota: Option<QuotaLimit>,
    /// Regions in which the tenant's calls may be served and stored.
    pub regions: AllowedRegions,
}

/// A tenant without its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Unique among the tenants of a configuration.
    pub name: Arc<str>,
    /// Rank of the tenant's calls, 0 being the highest; `None` if it sets none.
    pub priority: Option<u32>,
    /// Limit on the tenant's calls; `None` if unlimited.
    pub quota: Option<QuotaLimit>,
    /// Regions in which the tenant's calls may be served and stored.
    pub regions: AllowedRegions,
}

/// Why the tenants of a configuration are ambiguous.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum AccessTableError {
    /// Two tenants have a key in common.
    #[error("tenants {first} and {second} have a key in common")]
    SharedKey { first: Arc<str>, second: Arc<str> },
    /// Two tenants have the same name.
    #[error("there are two tenants of the name {name}")]
    SharedName { name: Arc<str> },
}

/// Tenants by the keyed hashes of their API keys. A table without tenants admits all callers.
#[derive(Clone, Default)]
pub struct AccessTable {
    digester: Option<KeyDigester>,
    tenants: HashMap<KeyDigest, Arc<Tenant>>,
}

impl AccessTable {
    /// Fails if two tenants have the same name or share a key.
    pub fn new(specs: Vec<TenantSpec>) -> Result<Self, AccessTableError> {
        if specs.is_empty() {
            return Ok(Self::default());
        }
        let digester = KeyDigester::with_random_secret();
        let mut names = std::collections::HashSet::new();
        let mut tenants: HashMap<KeyDigest, Arc<Tenant>> = HashMap::new();
        for spec in specs {
            if !names.insert(Arc::clone(&spec.name)) {
                return Err(AccessTableError::SharedName { name: spec.name });
            }
            let TenantSpec { name, keys, priority, quota, regions } = spec;
            let tenant = Arc::new(Tenant { name, priority, quota, regions });
            for key in &keys {
                let earlier = tenants.insert(digester.digest(key), Arc::clone(&tenant));
                if let Some(earlier) = earlier.filter(|earlier| earlier.name != tenant.name) {
                    let (first, second) = (Arc::clone(&earlier.name), Arc::clone(&tenant.name));
                    return Err(AccessTableError::SharedKey { first, second });
                }
            }
        }
        Ok(Self { digester: Some(digester), tenants })
    }

    /// Whether callers need a key, except on public routes.
    pub fn requires_keys(&self) -> bool {
        self.digester.is_some()
    }

    /// Looks up a tenant by its key.
    pub fn tenant_of(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        let digester = self.digester.as_ref()?;
        self.tenants.get(&digester.digest(key))
    }

    /// Yields each tenant once for each of its keys.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values().map(Arc::as_ref)
    }

    /// Number of keys of all tenants.
    pub fn keys(&self) -> usize {
        self.tenants.len()
    }
}

impl fmt::Debug for AccessTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("AccessTable").field("keys", &self.keys()).finish_non_exhaustive()
    }
}
