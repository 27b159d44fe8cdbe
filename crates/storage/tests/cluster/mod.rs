//! A storage cluster on a virtual clock: real group maintenance, hosts, journals and feeds over in-memory
//! disks, network and directory. Machines can lose power, lose their disks, depart and be added.

// Each test binary uses a part of this module.
#![allow(dead_code)]

mod directory;
mod disk;
pub mod outages;

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use directory::{LaggingDirectory, SharedDirectory};
pub use disk::MemoryDisk;
use slog::{Discard, Logger, o};
use sumacdrift_journal::JournalWriter;
use sumacdrift_ledger::{
    Capacity, GroupMap, GroupPolicy, Member, ReplicaSettings, ResumedTurn, RetainedTurn, TurnBegun, TurnEnded,
};
use sumacdrift_proto::{OneWay, Request, Response};
use sumacdrift_storage::{
    BeginTurn, GroupDirectory, GroupMaintenance, GroupMaintenanceSettings, HostSettings, LedgerClient,
    LedgerError, LedgerTimeouts, PeerFeeds, ReplicaHost, Retirement, StoreFollowers, prepare_planned_stop,
};
use sumacdrift_transport::{Handler, MemoryNetwork, Network, TrafficCounters, Transport, serve};
use sumacdrift_types::{Location, Topology};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const DISK_BYTES: u64 = 64 << 20;
const WAITING_BYTES: usize = 8 << 20;
const MOST_TOKENS: u64 = 100;
const BUDGET_TOKENS: u64 = 1_000_000;
const RETENTION_MILLIS: u64 = 60_000;

/// A machine with a disk, and its process while it runs.
struct Machine {
    zone: String,
    address: SocketAddr,
    disk: MemoryDisk,
    has_started: bool,
    /// Time after which its process learns of changes in the directory.
    directory_lag: Duration,
    process: Option<Process>,
}

struct Process {
    host: Arc<ReplicaHost>,
    transport: Arc<Transport>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

/// Delays every reply of a host.
struct DelayedHost {
    host: Arc<ReplicaHost>,
    reply_latency: Duration,
}

impl Handler for DelayedHost {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            tokio::time::sleep(self.reply_latency).await;
            Arc::clone(&self.host).request(request).await
        })
    }

    fn one_way(&self, message: OneWay) {
        self.host.one_way(message);
    }
}

#[derive(Debug, Clone, Copy)]
pub struct ClusterSettings {
    /// Simultaneous machine losses that must be tolerated.
    pub tolerated_losses: usize,
    /// Time within which a new machine must vote.
    pub catch_up_time: Duration,
    /// Latency of each reply.
    pub reply_latency: Duration,
}

pub struct StorageCluster {
    cluster_settings: ClusterSettings,
    network: MemoryNetwork,
    directory: SharedDirectory,
    cluster: BTreeMap<String, Machine>,
    /// Number of machines ever added; addresses are not reused.
    added: u8,
    logger: Logger,
    /// Program of the next turns.
    program: String,
    turns: usize,
    retained_turns: Vec<String>,
}

impl StorageCluster {
    /// Starts `count` machines, one per zone, and waits until they have bootstrapped the first group.
    pub async fn found(cluster_settings: ClusterSettings, count: usize) -> Self {
        let mut cluster = Self {
            cluster_settings,
            network: MemoryNetwork::new(),
            directory: SharedDirectory::default(),
            cluster: BTreeMap::new(),
            added: 0,
            logger: Logger::root(Discard, o!()),
            program: "program".to_owned(),
            turns: 0,
            retained_turns: Vec::new(),
        };
        for position in 0..count {
            cluster.add(&name(position), position);
            cluster.start_process(&name(position), true).await;
        }
        let deadline = Instant::now() + Duration::from_secs(6);
        while cluster.map().is_empty() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster
    }

    pub fn set_logger(&mut self, logger: Logger) {
        self.logger = logger;
    }

    /// Adds a stopped machine with an empty disk.
    pub fn add(&mut self, name: &str, zone: usize) {
        self.added += 1;
        let position = self.added;
        let machine = Machine {
            zone: format!("z{zone}"),
            address: ([10, 0, 0, position], 1).into(),
            disk: MemoryDisk::default(),
            has_started: false,
            directory_lag: Duration::ZERO,
            process: None,
        };
        self.cluster.insert(name.to_owned(), machine);
    }

    pub async fn start(&mut self, name: &str) {
        self.start_process(name, false).await;
    }

    async fn start_process(&mut self, name: &str, is_first_start: bool) {
        let cluster_settings = self.cluster_settings;
        let (network, directory) = (self.network.clone(), self.directory.clone());
        let logger = self.logger.new(o!("node" => name.to_owned()));
        let machine = self.cluster.get_mut(name).expect("a machine");
        let is_first_start = is_first_start && !machine.has_started;
        machine.has_started = true;
        let replica = ReplicaSettings { node: name.to_owned(), is_first_start };
        let host = open(machine.disk.clone(), replica, DISK_BYTES, &logger).await;
        network.set_reachable(machine.address, true);
        let acceptor = network.listen(machine.address).await.expect("an address");
        let transport = Arc::new(Transport::new(Arc::new(network), Arc::new(TrafficCounters::default())));
        let followers: StoreFollowers = {
            let host = Arc::clone(&host);
            Arc::new(move || host.store_followers())
        };
        let peers = PeerFeeds {
            node: name.to_owned(),
            feed: Arc::clone(host.feed()),
            transport: Arc::clone(&transport),
            store_followers: followers,
            logger,
        };
        let own =
            Member { node: name.to_owned(), address: machine.address, zone: machine.zone.clone(), joined: 0 };
        let settings = GroupMaintenanceSettings {
            own,
            capacity: Capacity::default(),
            policy: GroupPolicy::tolerating(cluster_settings.tolerated_losses),
            topology: Arc::new(Topology::default()),
            catch_up_time: cluster_settings.catch_up_time,
        };
        let directory: Arc<dyn GroupDirectory> = match machine.directory_lag {
            Duration::ZERO => Arc::new(directory),
            lag => Arc::new(LaggingDirectory { directory, lag }),
        };
        let own_transport = Arc::clone(&transport);
        let maintenance = GroupMaintenance::new(settings, Arc::clone(&host), transport, directory);
        let (stop, mut tasks) = (CancellationToken::new(), JoinSet::new());
        tasks.spawn(maintenance.run());
        tasks.spawn(peers.run());
        tasks.spawn(Arc::clone(&host).keep_feed());
        let handler =
            Arc::new(DelayedHost { host: Arc::clone(&host), reply_latency: cluster_settings.reply_latency });
        tasks.spawn(serve(acceptor, handler, Arc::default(), stop.clone()));
        machine.process = Some(Process { host, transport: own_transport, stop, tasks });
    }

    /// Kills the process of a machine; unsynced bytes are lost.
    pub async fn lose_power(&mut self, name: &str) {
        let machine = self.cluster.get_mut(name).expect("a machine");
        self.network.set_reachable(machine.address, false);
        if let Some(mut process) = machine.process.take() {
            process.stop.cancel();
            process.tasks.shutdown().await;
        }
        machine.disk.lose_unsynced();
    }

    /// Stops the process of a machine as planned.
    pub async fn stop(&mut self, name: &str) {
        if let Some(process) = self.cluster.get(name).and_then(|machine| machine.process.as_ref()) {
            prepare_planned_stop(&process.host, &process.transport).await;
        }
        self.lose_power(name).await;
    }

    /// Requests the planned stop of a machine; the returned task ends when its process may exit.
    pub fn begin_stop(&self, name: &str) -> JoinSet<()> {
        let machine = self.cluster.get(name).expect("a machine");
        let process = machine.process.as_ref().expect("a running process");
        let (host, transport) = (Arc::clone(&process.host), Arc::clone(&process.transport));
        let mut stop = JoinSet::new();
        stop.spawn(async move { prepare_planned_stop(&host, &transport).await });
        stop
    }

    /// Stops a machine as planned and removes it with its disk.
    pub async fn stop_and_remove(&mut self, name: &str) {
        self.stop(name).await;
        self.remove(name).await;
    }

    /// Replaces the disk of a stopped machine by an empty one.
    pub fn wipe(&mut self, name: &str) {
        let machine = self.cluster.get_mut(name).expect("a machine");
        assert!(machine.process.is_none(), "{name} runs");
        machine.disk = MemoryDisk::default();
    }

    /// Kills the process of a machine, replaces its disk by an empty one and starts it again.
    pub async fn lose_disk(&mut self, name: &str) {
        self.lose_power(name).await;
        self.wipe(name);
        self.start(name).await;
    }

    /// Runs turns that a machine does not store.
    pub async fn run_turns_without(&mut self, name: &str, for_time: Duration) {
        self.lose_power(name).await;
        self.run_turns(for_time).await;
        self.start(name).await;
    }

    /// Removes a machine with its disk, unannounced.
    pub async fn remove(&mut self, name: &str) {
        self.lose_power(name).await;
        self.cluster.remove(name);
    }

    /// Drains a machine and removes it once it is empty.
    pub async fn retire_and_remove(&mut self, name: &str) {
        self.retire(name);
        while !self.is_retired(name) {
            self.run_turns(Duration::from_millis(50)).await;
        }
        self.remove(name).await;
    }

    /// All machines lose power at the same moment, and those in `wiped` also their disks; all start again
    /// after `down`.
    pub async fn lose_everything(&mut self, wiped: &[&str], down: Duration) {
        let names: Vec<String> = self.cluster.keys().cloned().collect();
        for name in &names {
            self.lose_power(name).await;
        }
        wiped.iter().for_each(|name| self.wipe(name));
        tokio::time::sleep(down).await;
        for name in &names {
            self.start(name).await;
        }
    }

    /// From its next start on, a machine learns of changes in the directory this much later.
    pub fn set_directory_lag(&mut self, name: &str, lag: Duration) {
        self.cluster.get_mut(name).expect("a machine").directory_lag = lag;
    }

    /// While set, changes of the groups are applied but reported as failed.
    pub fn set_replies_lost(&self, is_lossy: bool) {
        self.directory.set_replies_lost(is_lossy);
    }

    pub fn retire(&self, name: &str) {
        let retirement = Retirement { node: name.to_owned(), is_completed: false, revision: 1_000 };
        self.directory.request_retirement(retirement);
    }

    pub fn is_retired(&self, name: &str) -> bool {
        self.directory.is_retired(name)
    }

    /// The groups in the directory.
    pub fn map(&self) -> GroupMap {
        self.directory.map()
    }

    /// Names of the members.
    pub fn members(&self) -> Vec<String> {
        let map = self.map();
        map.members().map(|member| member.node.clone()).collect()
    }

    pub fn is_voting(&self, name: &str) -> bool {
        let process = self.cluster.get(name).and_then(|machine| machine.process.as_ref());
        process.is_some_and(|process| process.host.is_voting())
    }

    /// Number of turns that a running machine retains.
    pub fn retained_turns_of(&self, name: &str) -> i64 {
        let process = self.cluster.get(name).and_then(|machine| machine.process.as_ref());
        process.map_or(0, |process| process.host.metrics().kept_turns())
    }

    /// Later turns belong to this program.
    pub fn set_program(&mut self, program: &str) {
        program.clone_into(&mut self.program);
    }

    /// Creates a client that knows the groups in the directory.
    pub fn client(&self) -> LedgerClient {
        let network: Arc<dyn Network> = Arc::new(self.network.clone());
        let transport = Arc::new(Transport::new(network, Arc::new(TrafficCounters::default())));
        let location = Location::in_zone("z0");
        let client = LedgerClient::new(transport, location, LedgerTimeouts::default(), self.logger.clone());
        client.adopt_map(&self.map());
        client
    }

    /// Runs a turn that continues the newest retained one. Asserts that its chain is complete.
    pub async fn run_turn(&mut self, client: &LedgerClient) -> Result<(), LedgerError> {
        client.adopt_map(&self.map());
        self.turns += 1;
        let turn = format!("t{}", self.turns);
        let previous = self.retained_turns.last().cloned().unwrap_or_default();
        let begin = BeginTurn {
            turn: TurnBegun {
                program: self.program.clone(),
                turn: turn.clone(),
                max_tokens: MOST_TOKENS,
                retained_bytes: 0,
                retention_millis: RETENTION_MILLIS,
                origin: None,
                request: None,
                previous: previous.clone(),
            },
            budget_tokens: BUDGET_TOKENS,
            needs_chain: !previous.is_empty(),
            previous: previous.clone(),
            report: Bytes::new(),
            resumed_turn: ResumedTurn::None,
            request: None,
        };
        let admission = client.begin(begin, Instant::now() + Duration::from_secs(1)).await?;
        let expected: String = self.retained_turns.iter().map(|turn| format!("[{turn}]")).collect();
        let prompt = admission.chain.into_prompt(&Bytes::new());
        assert_eq!(prompt, expected.as_bytes(), "the chain is complete");
        let retained = RetainedTurn {
            previous,
            input: Bytes::from(format!("[{turn}")),
            output: Bytes::from_static(b"]"),
        };
        let end = TurnEnded {
            program: self.program.clone(),
            turn: turn.clone(),
            tokens: 1,
            retention_millis: RETENTION_MILLIS,
            retained: Some(retained),
            ..TurnEnded::default()
        };
        client.end(end, Bytes::new()).await?;
        self.retained_turns.push(turn);
        Ok(())
    }

    /// Runs turns one after another for `for_time`.
    pub async fn run_turns(&mut self, for_time: Duration) {
        let client = self.client();
        let until = Instant::now() + for_time;
        while Instant::now() + TURN_PAUSE < until {
            // Turns may be refused while machines are down.
            let _ = tokio::time::timeout_at(until, self.run_turn(&client)).await;
            tokio::time::sleep_until(until.min(Instant::now() + TURN_PAUSE)).await;
        }
        tokio::time::sleep_until(until).await;
    }

    /// Time until a turn succeeds again; `None` if none does within `bound`.
    pub async fn recovers_within(&mut self, bound: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < bound {
            let client = self.client();
            if self.run_turn(&client).await.is_ok() {
                return Some(began.elapsed());
            }
            tokio::time::sleep(TURN_PAUSE).await;
        }
        None
    }
}

async fn open(
    disk: MemoryDisk,
    replica: ReplicaSettings,
    capacity_bytes: u64,
    logger: &Logger,
) -> Arc<ReplicaHost> {
    let settings = HostSettings {
        replica,
        folder: Default::default(),
        capacity_bytes,
        waiting_bytes: WAITING_BYTES,
        content_bytes: u64::MAX,
    };
    let host = ReplicaHost::open_on(disk, JournalWriter::inline, settings, logger.clone()).await;
    host.expect("a host")
}

/// Opens a host without a cluster, of a machine that is not new.
pub async fn open_host(disk: MemoryDisk, node: &str, capacity_bytes: u64) -> Arc<ReplicaHost> {
    let replica = ReplicaSettings { node: node.to_owned(), is_first_start: false };
    open(disk, replica, capacity_bytes, &Logger::root(Discard, o!())).await
}

/// The end of a retained turn that expires at once.
pub fn ended(turn: &str, input: Bytes) -> TurnEnded {
    TurnEnded {
        program: "program".to_owned(),
        turn: turn.to_owned(),
        tokens: 1,
        retention_millis: 0,
        retained: Some(RetainedTurn { input, ..RetainedTurn::default() }),
        ..TurnEnded::default()
    }
}

const TURN_PAUSE: Duration = Duration::from_millis(200);

/// Name of a founding machine.
pub fn name(position: usize) -> String {
    format!("m{position}")
}
