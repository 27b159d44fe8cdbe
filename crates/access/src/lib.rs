//! Admission of callers: API keys, tenants, public routes, the maximum age of the configuration, and call
//! quotas.
//!
//! Keys are stored as keyed hashes ([`AccessTable`]); [`check_access`] admits or rejects a call. [`QuotaWindow`]
//! counts one tenant's calls in a sliding window, [`QuotaCounters`] those of all tenants on a counting node.
//!
//! The crate does no I/O and reads no clock; callers pass the time in.

mod configuration_age;
mod decision;
mod key;
mod program_admission;
mod quota_counters;
mod quota_window;
mod table;
mod tenant_counter;
mod token_bucket;

pub use configuration_age::{ConfigurationAge, ConfigurationAgeLimits};
pub use decision::{AccessRefusal, AccessRequest, check_access};
pub use key::ApiKey;
pub use quota_counters::{CallReport, QuotaCall, QuotaCounters, QuotaVerdict, TenantTotal};
pub use quota_window::{QuotaLimit, QuotaWindow};
pub use table::{AccessTable, AccessTableError, Tenant, TenantSpec};
