//! The two kinds of file that the system reads: a node's settings and the fleet's configuration bundle.
//!
//! Settings say where and as what one process runs; they are read once. The bundle says what the fleet does;
//! it has a generation that only rises. Both readers report every mistake at once, with file, line and key,
//! and treat unknown keys as mistakes, since a mistyped key that is silently ignored is found only at night.

mod api_key;
mod bundle;
mod bundle_reader;
mod document;
mod in_force;
mod settings;

pub use api_key::ApiKeyHash;
pub use bundle::{
    Bundle, Engine, Pool, PoolLookup, Priority, RetrySettings, Service, ServiceBackEnd, ServiceRoute, Tenant,
    Weights,
};
pub use document::{Mistake, Mistakes};
pub use in_force::{InForce, Versioned};
pub use settings::{
    FleetSettings, LimitSettings, ListenSettings, LogLevel, PlatformSettings, Role, Settings,
};

/// Version of the bundle's schema that this program reads.
pub const BUNDLE_SCHEMA: u64 = 1;
