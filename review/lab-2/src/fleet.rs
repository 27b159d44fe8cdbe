//! A small deployment on loopback: edges and storage machines as separate processes with the commands of the deploy
//! file, the store, and engines.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, EngineSettings, Habits, Runs};
use crate::http;
use crate::json::{list, number, table, text, Json};
use crate::record::Record;
use crate::store::{Front, Store};

pub const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];
pub const HOST: &str = "review.example";

const FRONT: u16 = 8149;
const READY: u16 = 8141;
const CONTROL: u16 = 8144;
const PORTS: (u16, u16) = (7380, 7395);
const STORE: u16 = 8142;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Numbers of signals on Linux, alike on x86-64 and arm64.
#[derive(Clone, Copy)]
pub enum Signal {
    Hangup = 1,
    Kill = 9,
    Continue = 18,
    Stop = 19,
}

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    data: Option<PathBuf>,
    child: Option<Child>,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// The most memory that the process has used.
    pub fn peak_kilobytes(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn start(&mut self, root: &Path) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        // The commands of deploy/system.toml.
        let port = if self.role == "edge" { "9464" } else { "9465" };
        let child = Command::new(root.join("target/release/sumacdrift-platform"))
            .args([self.role, "--metrics-port", port])
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SUMACDRIFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }
}

pub struct FleetSettings {
    pub edges: usize,
    pub storages: usize,
    pub config: Json,
    pub engines: Vec<(&'static str, usize)>,
    pub events: usize,
    pub pause: Duration,
}

pub struct Fleet {
    pub folder: PathBuf,
    pub store: Arc<Store>,
    pub runs: Arc<Runs>,
    pub habits: Arc<Habits>,
    pub engines: Vec<Arc<Engine>>,
    pub edges: Vec<Machine>,
    pub storages: Vec<Machine>,
    pub platform: SocketAddr,
    pub front: Front,
    pub seeds: Vec<SocketAddr>,
    net: (u8, u8),
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in self.edges.iter_mut().chain(&mut self.storages) {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A part of the loopback network on which none of the ports is taken.
fn free_net() -> io::Result<(u8, u8)> {
    let seed = std::process::id();
    for attempt in 0..200 {
        let net = (60 + ((seed + attempt) % 150) as u8, 1 + ((seed / 150 + attempt * 7) % 250) as u8);
        let ip = Ipv4Addr::new(127, net.0, net.1, 1);
        if TcpListener::bind((ip, STORE)).is_ok()
            && TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 10), FRONT)).is_ok()
        {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}

impl Fleet {
    pub fn start(settings: FleetSettings, root: &Path, record: Arc<Record>) -> io::Result<Self> {
        let net = free_net()?;
        let ip = |last: usize| Ipv4Addr::new(127, net.0, net.1, last as u8);
        let folder = std::env::temp_dir().join(format!("review-lab-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::default());
        let platform = SocketAddr::from((ip(1), STORE));
        let front = store.serve(platform)?;
        store.write("config", "main", settings.config);
        let runs = Arc::new(Runs::default());
        let habits = Arc::new(Habits::default());
        let mut engines = Vec::new();
        let mut at = 100;
        for (service, count) in settings.engines {
            for index in 0..count {
                let engine = EngineSettings {
                    id: format!("i-{service}-{index}"),
                    service: service.to_owned(),
                    zone: ZONES[index % ZONES.len()].to_owned(),
                    address: SocketAddr::from((ip(at), 8080)),
                    events: settings.events,
                    pause: settings.pause,
                };
                at += 1;
                engines.push(Engine::start(
                    engine,
                    Arc::clone(&store),
                    Arc::clone(&runs),
                    Arc::clone(&habits),
                    Arc::clone(&record),
                )?);
            }
        }
        let seeds =
            (0..settings.storages.min(3)).map(|index| SocketAddr::from((ip(40 + index), CONTROL))).collect();
        let mut fleet = Self {
            folder,
            store,
            runs,
            habits,
            engines,
            edges: Vec::new(),
            storages: Vec::new(),
            platform,
            front,
            seeds,
            net,
        };
        for index in 0..settings.storages {
            let machine = fleet.machine("storage", index, true)?;
            fleet.storages.push(machine);
        }
        for index in 0..settings.edges {
            let machine = fleet.machine("edge", index, true)?;
            fleet.edges.push(machine);
        }
        for machine in fleet.storages.iter_mut().chain(&mut fleet.edges) {
            machine.start(root)?;
        }
        Ok(fleet)
    }

    /// A machine that is not started yet.
    pub fn machine(&self, role: &'static str, index: usize, is_first_start: bool) -> io::Result<Machine> {
        let zone = ZONES[index % ZONES.len()];
        let first = if role == "edge" { 10 } else { 40 };
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, first + index as u8);
        let name = format!("{role}-{zone}-{}", 1 + index / ZONES.len());
        let data = (role == "storage").then(|| self.folder.join(&name));
        if let Some(data) = &data {
            fs::create_dir_all(data)?;
        }
        let settings = self.folder.join(format!("{name}.json"));
        let machine = Machine {
            ip,
            role,
            settings,
            log: self.folder.join(format!("{name}.log")),
            data,
            child: None,
            name,
        };
        self.write_settings(&machine, zone, is_first_start)?;
        Ok(machine)
    }

    pub fn write_settings(&self, machine: &Machine, zone: &str, is_first_start: bool) -> io::Result<()> {
        let is_edge = machine.role == "edge";
        let at = |port: u16| text(SocketAddr::from((machine.ip, port)).to_string());
        let listen = if is_edge {
            table([("front", at(FRONT)), ("ready", at(READY))])
        } else {
            table([("control", at(CONTROL))])
        };
        let bounds = [
            ("seedLagS", 3.0),
            ("reuseAfterS", 2.0),
            ("contactMs", 3000.0),
            ("ackMs", 4000.0),
            ("catchUpS", 4.0),
            ("drainMs", 2000.0),
            ("graceS", 8.0),
            ("lossSlackMs", 200.0),
            ("configApplyMs", 2000.0),
            ("rollbackSlackMs", 250.0),
            ("outerMs", 5000.0),
            ("recoverS", 12.0),
            ("passMs", 120.0),
            ("againS", 0.0),
            ("finishS", 10.0),
            ("settleMs", 1000.0),
        ];
        let contracts =
            ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"];
        let limits = table([
            ("cpuShare", number(if is_edge { 0.25 } else { 0.5 })),
            ("cores", number(1)),
            ("memoryMb", number(220)),
            ("maxFds", number(if is_edge { 4100 } else { 8200 })),
            ("linkMbps", number(if is_edge { 1000 } else { 600 })),
            ("diskMb", number(if is_edge { 0 } else { 260 })),
        ]);
        let data = machine.data.as_ref().map_or(Json::Null, |data| text(data.to_string_lossy()));
        let settings = table([
            ("node", text(&machine.name)),
            ("role", text(machine.role)),
            ("machineClass", text(machine.role)),
            (
                "serves",
                list(if is_edge { vec![text("edge")] } else { vec![text("storage"), text("control")] }),
            ),
            ("ip", text(machine.ip.to_string())),
            ("zone", text(zone)),
            ("region", text("bkk")),
            ("zones", Json::Table(ZONES.iter().map(|zone| ((*zone).to_owned(), text("bkk"))).collect())),
            ("listen", listen),
            ("portRange", list([number(PORTS.0), number(PORTS.1)])),
            ("seeds", list(self.seeds.iter().map(|seed| text(seed.to_string())))),
            ("bootstrap", Json::Bool(is_first_start)),
            ("countsAsLoss", Json::Bool(!is_edge)),
            ("limits", limits),
            ("dataDir", data),
            ("discovery", text("platform")),
            ("entry", text("vip")),
            ("heartbeatMs", number(1200)),
            ("contracts", list(contracts.map(text))),
            (
                "faultTolerance",
                table([("machines", number(1)), ("zones", number(0)), ("regions", number(0))]),
            ),
            (
                "bounds",
                Json::Table(
                    bounds.iter().map(|(name, value)| ((*name).to_owned(), number(*value))).collect(),
                ),
            ),
            (
                "platform",
                table([
                    ("addr", text(self.platform.to_string())),
                    ("form", text("objects")),
                    ("writes_per_s", number(400)),
                    ("reads_per_s", number(2000)),
                    ("historyS", number(20)),
                    ("value_bytes", number(1_048_576)),
                    ("ttl_min_ms", number(1000)),
                ]),
            ),
        ]);
        fs::write(&machine.settings, settings.to_string())
    }

    /// Kills every process at the same moment.
    pub fn kill_all(&mut self) {
        for machine in self.edges.iter().chain(&self.storages) {
            machine.signal(Signal::Kill);
        }
        for machine in self.edges.iter_mut().chain(&mut self.storages) {
            machine.kill();
        }
    }

    /// Starts all machines again, with their disks, and not as at the first start.
    pub fn start_all(&mut self, root: &Path) -> io::Result<()> {
        for machines in [&self.storages, &self.edges] {
            for (index, machine) in machines.iter().enumerate() {
                self.write_settings(machine, ZONES[index % ZONES.len()], false)?;
            }
        }
        self.storages.iter_mut().chain(&mut self.edges).try_for_each(|machine| machine.start(root))
    }

    pub fn is_ready(&self, edge: usize) -> bool {
        let address = SocketAddr::from((self.edges[edge].ip, READY));
        let headers = [("Host", HOST.to_owned())];
        http::send(address, "GET", "/api/readyz", &headers, b"", Duration::from_secs(1)).status == 200
    }

    /// Waits until all edges say that they are ready.
    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if (0..self.edges.len()).all(|edge| self.is_ready(edge)) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Moves the store to another address: the settings of all machines change, and each is told by SIGHUP.
    pub fn move_store(&mut self) -> io::Result<()> {
        self.platform = SocketAddr::from((Ipv4Addr::new(127, self.net.0, self.net.1, 2), STORE));
        let before = std::mem::replace(&mut self.front, self.store.serve(self.platform)?);
        for machines in [&self.storages, &self.edges] {
            for (index, machine) in machines.iter().enumerate() {
                self.write_settings(machine, ZONES[index % ZONES.len()], false)?;
                machine.signal(Signal::Hangup);
            }
        }
        // Both addresses serve for a while.
        thread::sleep(Duration::from_secs(10));
        before.close();
        Ok(())
    }
}

pub struct RouteSettings {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub retained: bool,
    pub retention_s: f64,
    pub resumable: bool,
    pub max_attempts: u32,
}

pub fn config(version: u32, routes: &[RouteSettings], tokens_per_event: u32) -> Json {
    let route = |route: &RouteSettings| {
        table([
            ("name", text(route.name)),
            ("host", text(HOST)),
            ("pathPrefix", text(route.prefix)),
            ("kind", text(route.kind)),
            ("timeoutMs", number(route.timeout_ms)),
            ("targetLatencyMs", number(200)),
            ("priority", number(0)),
            ("service", text(route.service)),
            ("maxAttempts", number(route.max_attempts)),
            ("retained", Json::Bool(route.retained)),
            ("retentionS", number(route.retention_s)),
            ("sticky", Json::Bool(route.kind == "streaming")),
            ("resumable", Json::Bool(route.resumable)),
            ("gapAimMs", number(300)),
        ])
    };
    let engine = table([
        ("slots", number(16)),
        ("kvCapacityTokens", number(490_370)),
        ("tokensPerEvent", number(tokens_per_event)),
        ("models", list([table([("name", text("m"))])])),
    ]);
    let service = |name: &str, engine: Option<Json>| {
        let mut service =
            table([("name", text(name)), ("healthPath", text("/healthz")), ("maxConns", number(160))]);
        if let Some(engine) = engine {
            service.set("engine", engine);
        }
        service
    };
    table([
        ("version", number(version)),
        ("routes", list(routes.iter().map(route))),
        ("services", list([service("llm", Some(engine)), service("api", None), service("api-new", None)])),
        (
            "limits",
            table([
                ("maxHeaderBytes", number(16384)),
                ("maxBodyBytes", number(4_194_304)),
                ("headerTimeoutMs", number(3000)),
                ("idleTimeoutMs", number(15000)),
            ]),
        ),
    ])
}
