//! Parsing and validation of a node's settings file and of the fleet's configuration bundle.
//!
//! Settings apply to one process and are read once, at its start. The bundle applies to the whole fleet and has a
//! monotonically increasing generation. Both parsers report all errors at once, with file, line and key, and reject
//! unknown keys, since a mistyped key would otherwise be ignored silently.

mod api_key;
mod bundle;
mod bundle_reader;
mod current_configuration;
mod document;
mod settings;

pub use api_key::ApiKeyHash;
pub use bundle::{
    Bundle, Engine, Pool, PoolLookup, Priority, RetrySettings, Service, ServiceBackEnd, ServiceRoute, Tenant,
    Weights,
};
pub use current_configuration::{CurrentConfiguration, Versioned};
pub use document::{ConfigError, ConfigErrors};
pub use settings::{
    ConfigurationSources, FleetSettings, LimitSettings, ListenSettings, LogLevel, Role, Settings,
};

/// The supported version of the bundle's schema.
pub const BUNDLE_SCHEMA: u64 = 1;
