//! Machines: the project's own programs as separate processes, with the commands of the deploy file.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record::Record;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Edge,
    Storage,
}

/// What all machines of a run share.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    /// Second and third number of the loopback addresses.
    pub net: (u8, u8),
    pub port: u16,
    pub zones: Vec<&'static str>,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub catch_up_s: f64,
    pub record: Record,
}

impl Site {
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(number), port))
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        self.at(number, self.port)
    }

    pub fn ready(&self, number: u8) -> SocketAddr {
        self.at(number, self.port + 1)
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(number, self.port + 2)
    }
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub number: u8,
    pub zone: &'static str,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    starts: Mutex<u32>,
}

impl Machine {
    pub fn new(site: &Site, role: Role, zone: &'static str, position: usize, number: u8) -> Self {
        let word = if role == Role::Edge { "edge" } else { "storage" };
        let name = format!("{word}-{zone}-{position}");
        let folder = site.folder.join(&name);
        Self { name, role, number, zone, folder, child: Mutex::new(None), starts: Mutex::new(0) }
    }

    pub fn data(&self) -> PathBuf {
        self.folder.join("data")
    }

    fn settings(&self, site: &Site, bootstrap: bool) -> String {
        let is_storage = self.role == Role::Storage;
        let listen = match self.role {
            Role::Edge => format!(
                "{{\"front\":\"{}\",\"ready\":\"{}\"}}",
                site.front(self.number),
                site.ready(self.number)
            ),
            Role::Storage => format!("{{\"control\":\"{}\"}}", site.control(self.number)),
        };
        let zones: Vec<String> = site.zones.iter().map(|zone| format!("\"{zone}\":\"home\"")).collect();
        let seeds: Vec<String> = site.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let data = if is_storage { format!("\"{}\"", self.data().display()) } else { "null".to_owned() };
        let class = if is_storage { "storage" } else { "edge" };
        let serves = if is_storage { "\"storage\",\"control\"" } else { "\"edge\"" };
        let limits = if is_storage {
            "{\"cpuShare\":0.43,\"cores\":1,\"memoryMb\":290,\"maxFds\":8200,\"linkMbps\":440.0,\"diskMb\":440}"
        } else {
            "{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}"
        };
        format!(
            "{{\"node\":\"{}\",\"role\":\"{class}\",\"machineClass\":\"{class}\",\"serves\":[{serves}],\"ip\":\"{}\",\
             \"zone\":\"{}\",\"region\":\"home\",\"zones\":{{{}}},\"listen\":{listen},\"portRange\":[{},{}],\
             \"seeds\":[{}],\"bootstrap\":{bootstrap},\"countsAsLoss\":{is_storage},\"limits\":{limits},\"dataDir\":{data},\
             \"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"],\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":{},\"drainMs\":2000,\
             \"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"outerMs\":5000,\"recoverS\":12,\
             \"passMs\":120,\"againS\":0,\"finishS\":10,\"settleMs\":1000}},\
             \"platform\":{{\"addr\":\"{}\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,\"historyS\":20,\
             \"value_bytes\":1048576,\"ttl_min_ms\":1000}}}}",
            self.name,
            site.ip(self.number),
            self.zone,
            zones.join(","),
            site.port + 10,
            site.port + 25,
            seeds.join(","),
            site.catch_up_s,
            site.store,
        )
    }

    pub fn start(&self, site: &Site, bootstrap: bool) -> std::io::Result<()> {
        fs::create_dir_all(self.data())?;
        let settings = self.folder.join("node.json");
        fs::write(&settings, self.settings(site, bootstrap))?;
        let mut starts = self.starts.lock().unwrap();
        *starts += 1;
        let log = File::create(self.folder.join(format!("log-{starts}")))?;
        let mut command = Command::new(site.root.join("target/release/sumacdrift-platform"));
        match self.role {
            Role::Edge => command.args(["edge", "--metrics-port", "9464"]),
            Role::Storage => command.args(["storage", "--metrics-port", "9465"]),
        };
        command.current_dir(&site.root).env_clear().env("SUMACDRIFT_SETTINGS", &settings).env("LANG", "C");
        for name in ["PATH", "HOME"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id() as i32);
        *self.child.lock().unwrap() = Some(child);
        site.record.line(&format!("start {} bootstrap={bootstrap}", self.name));
        Ok(())
    }

    pub fn signal(&self, site: &Site, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // The child was not waited for, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
        site.record.say(&format!("signal {signal} to {}", self.name));
    }

    /// SIGKILL; the disk stays.
    pub fn kill(&self, site: &Site) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            site.record.line(&format!("killed {}", self.name));
        }
    }

    /// Waits for the process to end by itself; whether it did.
    pub fn wait(&self, site: &Site, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let mut child = self.child.lock().unwrap();
            let Some(running) = child.as_mut() else { return true };
            if let Ok(Some(status)) = running.try_wait() {
                forget(running.id());
                *child = None;
                site.record.say(&format!("ended {} {status}", self.name));
                return true;
            }
            drop(child);
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|running| matches!(running.try_wait(), Ok(Some(_))))
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self, site: &Site) -> std::io::Result<()> {
        fs::remove_dir_all(self.data())?;
        site.record.say(&format!("disk of {} lost", self.name));
        Ok(())
    }

    /// Lines of all logs that hold one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for start in 1..=*self.starts.lock().unwrap() {
            let text = fs::read_to_string(self.folder.join(format!("log-{start}"))).unwrap_or_default();
            let wanted = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
            lines.extend(wanted.map(|line| format!("{} #{start} {line}", self.name)));
        }
        lines
    }
}

/// Ends a machine's process with the run, however that ends.
impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }
}

/// Two free numbers for the loopback addresses of a run, and a free port.
pub fn free_site() -> ((u8, u8), u16) {
    let mut seed = u64::from(std::process::id());
    loop {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let net = (16 + ((seed >> 33) % 200) as u8, 1 + ((seed >> 41) % 250) as u8);
        let port = 21_000 + ((seed >> 24) % 400) as u16 * 32;
        let is_free = |number: u8, port: u16| {
            std::net::TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, number), port)).is_ok()
        };
        if (0..26).all(|offset| is_free(1, port + offset)) && is_free(1, 9464) && is_free(1, 9465) {
            return (net, port);
        }
    }
}

pub fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

pub fn has_program(root: &Path) -> bool {
    root.join("target/release/sumacdrift-platform").is_file()
}

/// Processes started by this run, so that a run that takes too long can end them.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn forget(process: u32) {
    STARTED.lock().unwrap().retain(|started| *started != process as i32);
}

pub fn kill_all_started() {
    for process in STARTED.lock().unwrap().iter() {
        unsafe { kill(*process, 9) };
    }
}
