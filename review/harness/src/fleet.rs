//! A small deployment: store, engines, edges and storage machines.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Clients, HOST};
use crate::engine::{Engine, SharedRuns};
use crate::http::call;
use crate::machine::{Machine, Role, Site, free_site, temporary_folder};
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 4] = ["ahd-a", "ahd-b", "vad-a", "bhr-a"];

pub struct Fleet {
    pub site: Site,
    pub store: Store,
    pub edges: Vec<Machine>,
    pub storages: Vec<Machine>,
    pub clients: Clients,
}

/// The configuration, as the pages show it.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":3000,\
             \"targetLatencyMs\":200,\"priority\":0,\"service\":\"{service}\",\"maxAttempts\":2{rest}}}"
        )
    };
    let routes = [
        route(
            "kept",
            "streaming",
            "agent-llm",
            ",\"retained\":true,\"retentionS\":60.0,\"sticky\":true,\"resumable\":false,\"gapAimMs\":300",
        ),
        route(
            "draft",
            "streaming",
            "agent-llm",
            ",\"retained\":false,\"retentionS\":60.0,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300",
        ),
        route("tool", "idempotent", "alert-app", ""),
        route("once", "non_idempotent", "alert-app", ""),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"agent-llm\",\"healthPath\":\"/healthz\",\"maxConns\":160,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
         \"kvCapacityTokens\":490370,\"kvTokenBytes\":327680,\"linkMbps\":2900000.0,\"moves\":true,\"backups\":true,\"tokensPerEvent\":25,\
         \"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"alert-app\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

impl Fleet {
    /// Starts everything; returns once all edges are ready.
    pub fn start(root: PathBuf, record: Record, edges: usize, storages: usize) -> std::io::Result<Self> {
        let (net, port) = free_site();
        let folder = temporary_folder();
        std::fs::create_dir_all(&folder)?;
        let mut site = Site {
            root,
            folder,
            net,
            port,
            zones: ZONES.to_vec(),
            store: "127.0.0.1:0".parse().expect("an address"),
            seeds: Vec::new(),
            catch_up_s: 4.8,
            record: record.clone(),
        };
        site.store = site.at(200, port);
        site.seeds = (0..storages.min(3)).map(|position| site.control(101 + position as u8)).collect();
        let store = Store::start(site.store, record.clone())?;
        store.put("config", "main", &configuration(1));
        let runs = SharedRuns::default();
        let engines = [("agent-llm", 12, 14, 6, 10), ("alert-app", 6, 4, 4, 0)];
        let mut number = 150;
        for (service, slots, count, work, events) in engines {
            for position in 0..count {
                let id = format!("i-{number:08x}");
                let engine = Engine {
                    id: id.clone(),
                    events,
                    event_gap: Duration::from_millis(8),
                    work: Duration::from_millis(work),
                    runs: Arc::clone(&runs),
                    record: record.clone(),
                };
                let at = site.at(number, port);
                engine.start(at)?;
                let zone = ZONES[position % ZONES.len()];
                let entry = format!(
                    "{{\"service\":\"{service}\",\"addr\":\"{at}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
                     \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":1}}"
                );
                store.put("servers", &id, &entry);
                number += 1;
            }
        }
        let machine = |role, position: usize, number| {
            Machine::new(&site, role, ZONES[position % ZONES.len()], position / ZONES.len() + 1, number)
        };
        let edges: Vec<Machine> =
            (0..edges).map(|position| machine(Role::Edge, position, 1 + position as u8)).collect();
        let storages: Vec<Machine> =
            (0..storages).map(|position| machine(Role::Storage, position, 101 + position as u8)).collect();
        for machine in storages.iter().chain(&edges) {
            machine.start(&site, true)?;
        }
        let fronts = edges.iter().map(|edge| site.front(edge.number)).collect();
        let clients = Clients::new(record, Arc::clone(&runs), fronts);
        Ok(Self { site, store, edges, storages, clients })
    }

    /// Adds an empty storage machine, as one of `zone`.
    pub fn add_storage(&mut self, zone: &'static str) -> std::io::Result<usize> {
        let number = 101 + self.storages.len() as u8;
        let machine = Machine::new(&self.site, Role::Storage, zone, 2, number);
        machine.start(&self.site, false)?;
        self.storages.push(machine);
        Ok(self.storages.len() - 1)
    }

    pub fn storage(&self, name: &str) -> Option<&Machine> {
        self.storages.iter().find(|machine| machine.name == name)
    }

    /// Whether every edge answers its readiness question with 200.
    pub fn are_edges_ready(&self) -> bool {
        self.edges.iter().all(|edge| {
            let head = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            call(self.site.ready(edge.number), head, &[], Duration::from_millis(300), |_| true).status == 200
        })
    }

    pub fn wait_until(&self, within: Duration, what: &str, is_so: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if is_so(self) {
                self.site.record.say(what);
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.site.record.say(&format!("not within {within:?}: {what}"));
        false
    }

    /// The names of the ledger's members and the epoch.
    pub fn members(&self) -> Option<(u64, Vec<String>)> {
        self.store.find_member_list()
    }

    /// Processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let machines = self.edges.iter().chain(&self.storages);
        machines.filter(|machine| machine.has_ended()).map(|machine| machine.name.clone()).collect()
    }

    /// Copies what the processes logged on some events into the record.
    pub fn record_logs(&self, words: &[&str]) {
        for machine in self.storages.iter().chain(&self.edges) {
            for line in machine.log_lines(words) {
                self.site.record.line(&format!("log {line}"));
            }
        }
    }

    pub fn end(&self) {
        for machine in self.edges.iter().chain(&self.storages) {
            machine.kill(&self.site);
        }
        self.site.record.flush();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.site.folder);
        }
    }
}
