//! Settings of one node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use sumacdrift_types::{NodeId, RegionName, ZoneName};

use crate::document::{Mistakes, Report, Table};

/// What a node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Takes callers' requests.
    Gateway,
    /// Holds replicas of program shards.
    Programs,
    /// Owns engines.
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

/// Least severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Only what needs a person.
    Error,
    /// And what may come to need one.
    Warning,
    /// And every decision that an operator would ask about.
    Info,
    /// And details for developers.
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

/// Everything that one process is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The node's number; unique in the fleet.
    pub id: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// What it does.
    pub roles: BTreeSet<Role>,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// The rest of the fleet.
    pub fleet: FleetSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Limits on callers and on stopping.
    pub limits: LimitSettings,
    /// Least severity that is logged.
    pub log_level: LogLevel,
}

/// Addresses that a node listens on.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators: health, metrics and status.
    pub admin: SocketAddr,
}

/// How a node finds the fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Peer addresses to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Nodes that must all be present when the fleet is founded for the first time.
    pub founders: BTreeSet<NodeId>,
    /// Number of program shards; fixed when the fleet is founded.
    pub shards: u32,
    /// Replicas of each shard.
    pub replicas: usize,
    /// A program without a call for this long is ended.
    pub idle_lease: Duration,
    /// Recorded answers of ended programs are kept this long.
    pub retention: Duration,
    /// How often engines are asked for whom they hold memory.
    pub memory_check: Duration,
}

/// The platform's services.
#[derive(Debug, Clone, Default)]
pub struct PlatformSettings {
    /// Address of the object API; without it the bundle file is all there is.
    pub object_api: Option<SocketAddr>,
    /// A bundle to begin with.
    pub bundle_file: Option<String>,
}

/// Limits on callers and on stopping.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time for a request's headers.
    pub header_timeout: Duration,
    /// Time for a request's body.
    pub body_timeout: Duration,
    /// How long a turn may wait for the one before it.
    pub turn_wait: Duration,
    /// How long a planned stop waits for streams.
    pub drain_timeout: Duration,
    /// Connections from callers at a time.
    pub connections: usize,
}

impl Settings {
    /// Reads and checks a settings file; `file` names it in mistakes.
    pub fn parse(file: &str, text: &str) -> Result<Self, Mistakes> {
        let settings = Report::new(file, text).read(read)?;
        // Without mistakes every required value is there.
        settings.ok_or_else(|| Mistakes(Vec::new()))
    }

    /// Whether the node has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

fn read(root: &mut Table<'_>) -> Option<Settings> {
    let node = root.table("node", read_node);
    let listen = root.table("listen", read_listen);
    let fleet = root.table("fleet", read_fleet);
    let platform = root.table("platform", read_platform);
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
        platform,
        limits,
        log_level: log_level.unwrap_or(LogLevel::Info),
    })
}

type NodeTable = (NodeId, RegionName, ZoneName, BTreeSet<Role>);

fn read_node(table: &mut Table<'_>) -> Option<NodeTable> {
    let id = NodeId(table.integer("id", 1..=u64::from(u32::MAX)) as u32);
    let region = table.name("region");
    let zone = table.name("zone");
    let mut roles = BTreeSet::new();
    for text in table.texts("roles") {
        match text.parse() {
            Ok(role) => {
                roles.insert(role);
            }
            Err(()) => table.mistake("roles", format!("\"{text}\" is none of gateway, programs, engines")),
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
    for text in table.texts("seeds") {
        match text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => table.mistake("seeds", format!("\"{text}\" is not an IP number with port")),
        }
    }
    let founders = table.integers("founders", 1..=u64::from(u32::MAX));
    if founders.is_empty() {
        table.mistake("founders", "at least one founding node is needed");
    }
    FleetSettings {
        seeds,
        founders: founders.into_iter().map(|id| NodeId(id as u32)).collect(),
        shards: table.integer_or("shards", 1..=4096, 16) as u32,
        replicas: table.integer_or("replicas", 1..=7, 3) as usize,
        idle_lease: table.seconds_or("idle_lease_seconds", Duration::from_secs(3600)),
        retention: table.seconds_or("retention_seconds", Duration::from_secs(900)),
        memory_check: table.seconds_or("memory_check_seconds", Duration::from_secs(30)),
    }
}

fn read_platform(table: &mut Table<'_>) -> PlatformSettings {
    let object_api = table.optional_parsed("object_api", "an IP number with port");
    let bundle_file = table.optional_text("bundle_file");
    if object_api.is_none() && bundle_file.is_none() {
        table.mistake("bundle_file", "object_api or bundle_file is needed");
    }
    PlatformSettings { object_api, bundle_file }
}

fn read_limits(table: &mut Table<'_>) -> LimitSettings {
    LimitSettings {
        body_bytes: table.integer_or("body_bytes", 1..=1 << 30, 8 << 20) as usize,
        header_timeout: table.seconds_or("header_seconds", Duration::from_secs(10)),
        body_timeout: table.seconds_or("body_seconds", Duration::from_secs(30)),
        turn_wait: table.seconds_or("turn_wait_seconds", Duration::from_secs(30)),
        drain_timeout: table.seconds_or("drain_seconds", Duration::from_secs(120)),
        connections: table.integer_or("connections", 1..=1_000_000, 10_000) as usize,
    }
}
