//! Storage machines on a virtual clock: the real upkeep, host, journal and feeds over disks, a network and a directory in
//! memory. Machines lose power, lose their disks, go for good and come new.

// Each test program uses its own part of this.
#![allow(dead_code)]

mod directory;
mod disk;

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use directory::SharedDirectory;
pub use disk::MemoryDisk;
use slog::{Discard, Logger, o};
use sumacdrift_journal::JournalWriter;
use sumacdrift_ledger::{
    Capacity, GroupMap, GroupPolicy, Member, ReplicaSettings, RetainedTurn, TurnBegun, TurnEnded,
};
use sumacdrift_proto::{OneWay, Request, Response};
use sumacdrift_storage::{
    BeginTurn, GroupDirectory, HostSettings, LedgerClient, LedgerError, LedgerTimeouts, PeerFeeds,
    ReplicaHost, Retirement, StoreFollowers, Upkeep, UpkeepSettings, offer_seat,
};
use sumacdrift_transport::{Handler, MemoryNetwork, Network, TrafficCounters, Transport, serve};
use sumacdrift_types::{Location, Places};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// More than any test writes.
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
    process: Option<Process>,
}

struct Process {
    host: Arc<ReplicaHost>,
    transport: Arc<Transport>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

/// A host whose answers take a while.
struct SlowHost {
    host: Arc<ReplicaHost>,
    answer_takes: Duration,
}

impl Handler for SlowHost {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            tokio::time::sleep(self.answer_takes).await;
            Arc::clone(&self.host).request(request).await
        })
    }

    fn one_way(&self, message: OneWay) {
        self.host.one_way(message);
    }
}

/// How the machines are set up.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Machines whose loss at once must be borne.
    pub losses: usize,
    /// Time until a new machine must be complete.
    pub complete_within: Duration,
    /// Time that each answer of a machine takes.
    pub answer_takes: Duration,
}

/// Storage machines, and what they share.
pub struct Machines {
    terms: Terms,
    network: MemoryNetwork,
    directory: SharedDirectory,
    machines: BTreeMap<String, Machine>,
    /// Machines that were ever added; no address is used twice.
    added: u8,
    logger: Logger,
    turns: usize,
    kept: Vec<String>,
}

impl Machines {
    /// Machines that start together, one a zone, and found the first group.
    pub async fn found(terms: Terms, count: usize) -> Self {
        let mut machines = Self {
            terms,
            network: MemoryNetwork::new(),
            directory: SharedDirectory::default(),
            machines: BTreeMap::new(),
            added: 0,
            logger: Logger::root(Discard, o!()),
            turns: 0,
            kept: Vec::new(),
        };
        for position in 0..count {
            machines.add(&name(position), position);
            machines.start_as(&name(position), true).await;
        }
        let founded = Instant::now() + Duration::from_secs(6);
        while machines.map().is_empty() && Instant::now() < founded {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        machines
    }

    /// Lets processes write their logs here.
    pub fn log_to(&mut self, logger: Logger) {
        self.logger = logger;
    }

    /// A machine that does not run yet, with an empty disk.
    pub fn add(&mut self, name: &str, zone: usize) {
        self.added += 1;
        let position = self.added;
        let machine = Machine {
            zone: format!("z{zone}"),
            address: ([10, 0, 0, position], 1).into(),
            disk: MemoryDisk::default(),
            has_started: false,
            process: None,
        };
        self.machines.insert(name.to_owned(), machine);
    }

    /// Starts a machine's process.
    pub async fn start(&mut self, name: &str) {
        self.start_as(name, false).await;
    }

    async fn start_as(&mut self, name: &str, is_first_start: bool) {
        let terms = self.terms;
        let (network, directory) = (self.network.clone(), self.directory.clone());
        let logger = self.logger.new(o!("node" => name.to_owned()));
        let machine = self.machines.get_mut(name).expect("a machine");
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
        let settings = UpkeepSettings {
            own,
            capacity: Capacity::default(),
            policy: GroupPolicy::tolerating(terms.losses),
            places: Arc::new(Places::default()),
            complete_within: terms.complete_within,
        };
        let directory: Arc<dyn GroupDirectory> = Arc::new(directory);
        let own_transport = Arc::clone(&transport);
        let upkeep = Upkeep::new(settings, Arc::clone(&host), transport, directory);
        let (stop, mut tasks) = (CancellationToken::new(), JoinSet::new());
        tasks.spawn(upkeep.run());
        tasks.spawn(peers.run());
        tasks.spawn(Arc::clone(&host).keep_feed());
        let handler = Arc::new(SlowHost { host: Arc::clone(&host), answer_takes: terms.answer_takes });
        tasks.spawn(serve(acceptor, handler, Arc::default(), stop.clone()));
        machine.process = Some(Process { host, transport: own_transport, stop, tasks });
    }

    /// Ends a machine's process without a word; what it had not synced may be gone.
    pub async fn lose_power(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        self.network.set_reachable(machine.address, false);
        if let Some(mut process) = machine.process.take() {
            process.stop.cancel();
            process.tasks.shutdown().await;
        }
        machine.disk.lose_unsynced();
    }

    /// Stops a machine's process as planned.
    pub async fn stop(&mut self, name: &str) {
        if let Some(process) = self.machines.get(name).and_then(|machine| machine.process.as_ref()) {
            offer_seat(&process.host, &process.transport).await;
        }
        self.lose_power(name).await;
    }

    /// Stops a machine's process as planned and takes the machine away with its disk.
    pub async fn stop_and_remove(&mut self, name: &str) {
        self.stop(name).await;
        self.remove(name).await;
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        assert!(machine.process.is_none(), "{name} runs");
        machine.disk = MemoryDisk::default();
    }

    /// Takes a machine away with its disk.
    pub async fn remove(&mut self, name: &str) {
        self.lose_power(name).await;
        self.machines.remove(name);
    }

    /// All machines lose power at the same moment, some of them their disks; all come back after `down`.
    pub async fn lose_everything(&mut self, wiped: &[&str], down: Duration) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in &names {
            self.lose_power(name).await;
        }
        wiped.iter().for_each(|name| self.wipe(name));
        tokio::time::sleep(down).await;
        for name in &names {
            self.start(name).await;
        }
    }

    /// Changes of the groups are made and not answered, or answered again.
    pub fn lose_answers(&self, are_lost: bool) {
        self.directory.lose_answers(are_lost);
    }

    /// Asks that a machine be emptied.
    pub fn retire(&self, name: &str) {
        let retirement = Retirement { node: name.to_owned(), is_completed: false, revision: 1_000 };
        self.directory.ask_to_retire(retirement);
    }

    /// Whether a machine was reported as empty.
    pub fn is_retired(&self, name: &str) -> bool {
        self.directory.is_retired(name)
    }

    /// The groups as they are agreed on.
    pub fn map(&self) -> GroupMap {
        self.directory.map()
    }

    /// Members of the first group.
    pub fn members(&self) -> Vec<String> {
        let map = self.map();
        map.members().map(|member| member.node.clone()).collect()
    }

    /// Whether a machine's replica votes.
    pub fn votes(&self, name: &str) -> bool {
        let process = self.machines.get(name).and_then(|machine| machine.process.as_ref());
        process.is_some_and(|process| process.host.is_voting())
    }

    /// A client that starts now and knows the groups that are agreed on.
    pub fn client(&self) -> LedgerClient {
        let network: Arc<dyn Network> = Arc::new(self.network.clone());
        let transport = Arc::new(Transport::new(network, Arc::new(TrafficCounters::default())));
        let location = Location::in_zone("z0");
        let client = LedgerClient::new(transport, location, LedgerTimeouts::default(), self.logger.clone());
        client.learn_map(&self.map());
        client
    }

    /// Runs a turn that goes on from the newest kept one; returns whether it was admitted and kept.
    pub async fn run_turn(&mut self, client: &LedgerClient) -> Result<(), LedgerError> {
        client.learn_map(&self.map());
        self.turns += 1;
        let turn = format!("t{}", self.turns);
        let previous = self.kept.last().cloned().unwrap_or_default();
        let begin = BeginTurn {
            turn: TurnBegun {
                program: "program".to_owned(),
                turn: turn.clone(),
                most_tokens: MOST_TOKENS,
                retention_millis: RETENTION_MILLIS,
            },
            budget_tokens: BUDGET_TOKENS,
            needs_chain: !previous.is_empty(),
            previous: previous.clone(),
            news: Bytes::new(),
        };
        let admission = client.begin(begin, Instant::now() + Duration::from_secs(1)).await?;
        let expected: String = self.kept.iter().map(|turn| format!("[{turn}]")).collect();
        let prompt = admission.chain.into_prompt(&Bytes::new());
        assert_eq!(prompt, expected.as_bytes(), "the chain is whole");
        let retained = RetainedTurn {
            previous,
            input: Bytes::from(format!("[{turn}")),
            output: Bytes::from_static(b"]"),
        };
        let end = TurnEnded {
            program: "program".to_owned(),
            turn: turn.clone(),
            tokens: 1,
            retention_millis: RETENTION_MILLIS,
            retained: Some(retained),
        };
        client.end(end, Bytes::new()).await?;
        self.kept.push(turn);
        Ok(())
    }

    /// Runs turns for a while, one after another.
    pub async fn work(&mut self, for_time: Duration) {
        let client = self.client();
        let until = Instant::now() + for_time;
        while Instant::now() + TURN_PAUSE < until {
            // Some are refused while machines are gone.
            let _ = tokio::time::timeout_at(until, self.run_turn(&client)).await;
            tokio::time::sleep_until(until.min(Instant::now() + TURN_PAUSE)).await;
        }
        tokio::time::sleep_until(until).await;
    }

    /// How long it takes until a turn is kept again, if it comes back in time.
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
    let settings =
        HostSettings { replica, folder: Default::default(), capacity_bytes, waiting_bytes: WAITING_BYTES };
    let host = ReplicaHost::open_on(disk, JournalWriter::in_place, settings, logger.clone()).await;
    host.expect("a host")
}

/// A host alone, of a machine that is not new.
pub async fn open_host(disk: MemoryDisk, node: &str, capacity_bytes: u64) -> Arc<ReplicaHost> {
    let replica = ReplicaSettings { node: node.to_owned(), is_first_start: false };
    open(disk, replica, capacity_bytes, &Logger::root(Discard, o!())).await
}

/// The end of a kept turn that is soon forgotten.
pub fn ended(turn: &str, input: Bytes) -> TurnEnded {
    TurnEnded {
        program: "program".to_owned(),
        turn: turn.to_owned(),
        tokens: 1,
        retention_millis: 0,
        retained: Some(RetainedTurn { input, ..RetainedTurn::default() }),
    }
}

/// Pause between two turns.
const TURN_PAUSE: Duration = Duration::from_millis(200);

/// Name of a machine of the first ones.
pub fn name(position: usize) -> String {
    format!("m{position}")
}
