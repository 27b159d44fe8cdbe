//! Tenants and their keys, as one version of the configuration has them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sumacdrift_types::AllowedRegions;

use crate::key::{ApiKey, KeyDigest, KeyDigester};
use crate::quota_window::QuotaLimit;

/// A tenant as the configuration describes it.
#[derive(Debug, Clone)]
pub struct TenantSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Rank of its calls where it has one of its own; 0 is highest.
    pub priority: Option<u32>,
    /// Calls that it may make; `None` where there is no limit.
    pub quota: Option<QuotaLimit>,
    /// Regions in which its calls may be served and kept.
    pub regions: AllowedRegions,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Arc<str>,
    /// Rank of its calls where it has one of its own; 0 is highest.
    pub priority: Option<u32>,
    /// Calls that it may make; `None` where there is no limit.
    pub quota: Option<QuotaLimit>,
    /// Regions in which its calls may be served and kept.
    pub regions: AllowedRegions,
}

/// The tenants of a configuration can't be told apart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AccessTableError {
    /// Two tenants hold one key.
    #[error("tenants {first} and {second} have a key in common")]
    SharedKey {
        /// One of them.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
    },
    /// Two tenants have one name.
    #[error("there are two tenants of the name {name}")]
    SharedName {
        /// The name.
        name: Arc<str>,
    },
}

/// Tenants and their keys. Without tenants everybody may call.
#[derive(Clone, Default)]
pub struct AccessTable {
    digester: Option<KeyDigester>,
    tenants: HashMap<KeyDigest, Arc<Tenant>>,
}

impl AccessTable {
    /// A table of tenants.
    pub fn new(specs: Vec<TenantSpec>) -> Result<Self, AccessTableError> {
        if specs.is_empty() {
            return Ok(Self::default());
        }
        let digester = KeyDigester::draw();
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

    /// The tenant that holds a key.
    pub fn tenant_of(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        let digester = self.digester.as_ref()?;
        self.tenants.get(&digester.digest(key))
    }

    /// The tenants, each as often as it has keys.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values().map(Arc::as_ref)
    }

    /// Number of keys.
    pub fn keys(&self) -> usize {
        self.tenants.len()
    }
}

impl fmt::Debug for AccessTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("AccessTable").field("keys", &self.keys()).finish_non_exhaustive()
    }
}
