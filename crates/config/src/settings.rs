//! A node's settings file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use sumacdrift_types::{NodeId, RegionName, ZoneName};

use crate::document::{ConfigErrors, ErrorCollector, Table};

/// A function that a node performs in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Serves callers' requests.
    Gateway,
    /// Holds replicas of program shards.
    Programs,
    /// Owns engines and their queues.
    Engines,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "gateway" => Ok(Role::Gateway),
            "programs" => Ok(Role::Programs),
            "engines" => Ok(Role::Engines),
            _ => Err(()),
        }
    }
}

/// Minimum severity of logged messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Conditions that may require an operator later.
    Warning,
    /// Decisions that explain the node's behaviour to an operator.
    Info,
    /// Details for developers.
    Debug,
}

impl FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "error" => Ok(LogLevel::Error),
            "warning" => Ok(LogLevel::Warning),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            _ => Err(()),
        }
    }
}

/// Settings of one process, read at its start.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Settings {
    /// Unique in the fleet.
    pub id: NodeId,
    pub region: RegionName,
    pub zone: ZoneName,
    /// All roles, if the file names none.
    pub roles: BTreeSet<Role>,
    pub listen: ListenSettings,
    pub fleet: FleetSettings,
    pub configuration_sources: ConfigurationSources,
    pub limits: LimitSettings,
    pub log_level: LogLevel,
}

/// Addresses that a node listens on.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// HTTP front end for callers.
    pub callers: SocketAddr,
    /// Traffic between nodes.
    pub peers: SocketAddr,
    /// Health, metrics and status for operators.
    pub admin: SocketAddr,
}

/// Discovery and bootstrap of the fleet, and retention of its programs.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Peer addresses used for the first contact.
    pub seeds: Vec<SocketAddr>,
    /// Nodes that must all be present to bootstrap a new fleet.
    pub founders: BTreeSet<NodeId>,
    /// Number of program shards; fixed when the fleet is bootstrapped.
    pub shards: u32,
    /// Replicas per shard.
    pub replicas: usize,
    /// A program that makes no call for this long is ended.
    pub idle_lease: Duration,
    /// How long recorded answers of ended programs are kept.
    pub retention: Duration,
    /// Interval between checks for engine memory that is held for programs that no longer exist.
    pub memory_check: Duration,
}

/// Sources of the configuration bundle.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationSources {
    /// Address of the platform's object API; if `None`, the bundle file is the only source.
    pub object_api: Option<SocketAddr>,
    /// Path of the bundle that is loaded at start.
    pub bundle_file: Option<String>,
}

/// Limits on callers' requests and on shutdown.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Memory for the bodies of all requests, in bytes.
    pub body_memory_bytes: usize,
    /// Time limit for receiving a request's headers.
    pub header_timeout: Duration,
    /// Time limit for receiving a request's body.
    pub body_timeout: Duration,
    /// How long a turn may wait for its predecessor.
    pub turn_wait: Duration,
    /// How long a graceful shutdown waits for streams in flight.
    pub drain_timeout: Duration,
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
}

impl Settings {
    /// Parses and validates a settings file; `file` is its name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let settings = ErrorCollector::new(file, text).read(read)?;
        // Without errors, all required values are present.
        settings.ok_or_else(|| ConfigErrors(Vec::new()))
    }

    /// Whether the node performs a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

fn read(root: &mut Table<'_>) -> Option<Settings> {
    let node = root.table("node", read_node);
    let listen = root.table("listen", read_listen);
    let fleet = root.table("fleet", read_fleet);
    let configuration_sources = root.table("platform", read_configuration_sources);
    let limits = root.table("limits", read_limits);
    let log_level =
        root.table("log", |table| table.optional_parsed("level", "error, warning, info or debug"));
    let (id, region, zone, roles) = node?;
    Some(Settings {
        id,
        region,
        zone,
        roles,
        listen: listen?,
        fleet,
        configuration_sources,
        limits,
        log_level: log_level.unwrap_or(LogLevel::Info),
    })
}

type NodeIdentity = (NodeId, RegionName, ZoneName, BTreeSet<Role>);

fn read_node(table: &mut Table<'_>) -> Option<NodeIdentity> {
    let id = NodeId(table.integer("id", 1..=u64::from(u32::MAX)) as u32);
    let region = table.name("region");
    let zone = table.name("zone");
    let mut roles = BTreeSet::new();
    for text in table.strings("roles") {
        match text.parse() {
            Ok(role) => {
                roles.insert(role);
            }
            Err(()) => table.report_error(
                "roles",
                format!("unknown role \"{text}\"; expected gateway, programs or engines"),
            ),
        }
    }
    if roles.is_empty() {
        roles = BTreeSet::from([Role::Gateway, Role::Programs, Role::Engines]);
    }
    Some((id, region?, zone?, roles))
}

fn read_listen(table: &mut Table<'_>) -> Option<ListenSettings> {
    let callers = table.address("callers");
    let peers = table.address("peers");
    let admin = table.address("admin");
    Some(ListenSettings { callers: callers?, peers: peers?, admin: admin? })
}

fn read_fleet(table: &mut Table<'_>) -> FleetSettings {
    let mut seeds = Vec::new();
    for text in table.strings("seeds") {
        match text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => table.report_error("seeds", format!("\"{text}\" is not an IP address with port")),
        }
    }
    let founders = table.integers("founders", 1..=u64::from(u32::MAX));
    if founders.is_empty() {
        table.report_error("founders", "expected at least one founding node");
    }
    FleetSettings {
        seeds,
        founders: founders.into_iter().map(|id| NodeId(id as u32)).collect(),
        shards: table.integer_or("shards", 1..=4096, 16) as u32,
        replicas: table.integer_or("replicas", 1..=7, 3) as usize,
        idle_lease: table.duration_or("idle_lease_seconds", Duration::from_secs(3600)),
        retention: table.duration_or("retention_seconds", Duration::from_secs(900)),
        memory_check: table.duration_or("memory_check_seconds", Duration::from_secs(30)),
    }
}

fn read_configuration_sources(table: &mut Table<'_>) -> ConfigurationSources {
    let object_api = table.optional_parsed("object_api", "an IP address with port");
    let bundle_file = table.optional_string("bundle_file");
    if object_api.is_none() && bundle_file.is_none() {
        table.report_error("bundle_file", "object_api or bundle_file is required");
    }
    ConfigurationSources { object_api, bundle_file }
}

fn read_limits(table: &mut Table<'_>) -> LimitSettings {
    LimitSettings {
        body_bytes: table.integer_or("body_bytes", 1..=1 << 30, 8 << 20) as usize,
        body_memory_bytes: table.integer_or("body_memory_bytes", 1..=1 << 40, 256 << 20) as usize,
        header_timeout: table.duration_or("header_seconds", Duration::from_secs(10)),
        body_timeout: table.duration_or("body_seconds", Duration::from_secs(30)),
        turn_wait: table.duration_or("turn_wait_seconds", Duration::from_secs(30)),
        drain_timeout: table.duration_or("drain_seconds", Duration::from_secs(120)),
        connections: table.integer_or("connections", 1..=1_000_000, 10_000) as usize,
    }
}
