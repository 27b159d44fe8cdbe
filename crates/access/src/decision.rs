//! Admission of a call by its API key.

use std::sync::Arc;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::ResultCode;

use crate::configuration_age::ConfigurationAgeLimits;
use crate::key::ApiKey;
use crate::table::{AccessTable, Tenant};

/// Input of [`check_access`].
#[derive(Debug, Clone, Copy)]
pub struct AccessRequest<'a> {
    /// The caller's key; `None` if it sent none or several.
    pub key: Option<&'a ApiKey>,
    /// Whether the route needs no key.
    pub is_public: bool,
    /// Age of the configuration in force; `None` if it was never confirmed.
    pub age: Option<Duration>,
}

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AccessRefusal {
    /// No tenant has the key, or the caller sent none.
    #[error("no tenant holds the key")]
    UnknownKey,
    /// The configuration is too old: the key may have been added or withdrawn since.
    #[error("the configuration known here is too old to tell")]
    TooOld,
}

impl AccessRefusal {
    /// Result code returned to the caller.
    pub fn code(self) -> ResultCode {
        match self {
            AccessRefusal::UnknownKey => ResultCode::Unauthenticated,
            AccessRefusal::TooOld => ResultCode::ConfigurationTooOld,
        }
    }
}

/// Decides whether a call is admitted, and for which tenant.
///
/// `Ok(None)` admits a call without a tenant: no keys are configured, or the route is public and the key is
/// missing or unknown.
pub fn check_access(
    table: &AccessTable,
    request: AccessRequest<'_>,
    limits: ConfigurationAgeLimits,
) -> Result<Option<Arc<Tenant>>, AccessRefusal> {
    if !table.requires_keys() {
        return Ok(None);
    }
    let tenant = request.key.and_then(|key| table.tenant_of(key)).cloned();
    let is_too_old = |limit: Duration| request.age.is_none_or(|age| age > limit);
    let keys_are_too_old = limits.known_key.is_some_and(is_too_old) && !is_broken(Rule::AccessAgeIsBounded);
    match tenant {
        // Public routes admit a call even if its key may have been withdrawn.
        Some(_) if keys_are_too_old && !request.is_public => Err(AccessRefusal::TooOld),
        Some(tenant) => Ok(Some(tenant)),
        None if request.is_public => Ok(None),
        None if request.key.is_some() && is_too_old(limits.unknown_key) => Err(AccessRefusal::TooOld),
        None => Err(AccessRefusal::UnknownKey),
    }
}
