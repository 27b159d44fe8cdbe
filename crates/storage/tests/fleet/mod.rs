//! Nodes on an in-memory network and a virtual clock: replicas without disks, and feeds.

// Each test binary uses a part of this module.
#![allow(dead_code)]

pub mod follower;

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use slog::{Discard, Logger, o};
use sumacdrift_ledger::{
    Group, GroupMap, LedgerRequest, Member, Replica, ReplicaSettings, ResumedTurn, RetainedTurn, TurnBegun,
    TurnEnded,
};
use sumacdrift_proto::{OneWay, Request, Response};
use sumacdrift_storage::{
    Admission, BeginTurn, FeedHost, LedgerClient, LedgerError, LedgerTimeouts, PeerFeeds, RelayHost,
};
use sumacdrift_transport::{
    Acceptor, BoxedFuture, BoxedStream, Handler, MemoryNetwork, Network, TrafficCounters, Transport, serve,
};
use sumacdrift_types::Location;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub fn logger() -> Logger {
    Logger::root(Discard, o!())
}

pub fn address(position: usize) -> SocketAddr {
    ([10, 0, 0, u8::try_from(position).expect("few nodes")], 1).into()
}

/// Position of the first relay.
const FIRST_RELAY: usize = 100;

/// Addresses to which connections hang until they fail.
#[derive(Clone, Default)]
pub struct Partition(Arc<Mutex<BTreeSet<SocketAddr>>>);

impl Partition {
    pub fn of(positions: &[usize]) -> Self {
        let partition = Self::default();
        partition.set(positions);
        partition
    }

    pub fn set(&self, positions: &[usize]) {
        *self.0.lock().expect("a cut") = positions.iter().map(|position| address(*position)).collect();
    }

    fn has(&self, to: SocketAddr) -> bool {
        self.0.lock().expect("a cut").contains(&to)
    }
}

/// Network of a node that is partitioned from some others.
struct PartitionedNetwork {
    network: MemoryNetwork,
    partition: Partition,
}

/// Time until a connection attempt into the partition fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

impl Network for PartitionedNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            if self.partition.has(to) {
                tokio::time::sleep(CONNECT_TIMEOUT).await;
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            self.network.connect(to).await
        })
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, std::io::Result<Box<dyn Acceptor>>> {
        self.network.listen(at)
    }
}

/// A node with a replica and a feed.
pub struct Node {
    pub replica: Mutex<Replica>,
    pub feed: Arc<FeedHost>,
    pub requests: AtomicUsize,
    pub is_silent: AtomicBool,
    /// Reply latency in milliseconds.
    pub latency_millis: AtomicU64,
    /// Processing time of a request in milliseconds; requests are processed one at a time.
    pub processing_millis: AtomicU64,
    processing: tokio::sync::Mutex<()>,
}

impl Node {
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// While silent, a node does not reply, not even to earlier requests.
    async fn answer(&self, request: Request) -> Response {
        if self.is_silent.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        tokio::time::sleep(Duration::from_millis(self.latency_millis.load(Ordering::Relaxed))).await;
        let processing_millis = self.processing_millis.load(Ordering::Relaxed);
        if processing_millis > 0 {
            let _processing = self.processing.lock().await;
            tokio::time::sleep(Duration::from_millis(processing_millis)).await;
        }
        let response = self.handle(request).await;
        if self.is_silent.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        response
    }

    async fn handle(&self, request: Request) -> Response {
        match request {
            Request::Ledger(bytes) => {
                self.requests.fetch_add(1, Ordering::Relaxed);
                let request = LedgerRequest::decode(bytes).expect("a request");
                let step = self.replica.lock().expect("a replica").handle(request, 1_000);
                Response::Ledger(Bytes::from(step.reply.encode_to_vec()))
            }
            Request::Follow(bytes) => Response::Changes(self.feed.answer(bytes).await),
            other => panic!("{other:?}"),
        }
    }
}

struct NodeHandler(Arc<Node>);

impl Handler for NodeHandler {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move { self.0.answer(request).await })
    }

    fn one_way(&self, _message: OneWay) {}
}

/// Complete groups, with one member of each in each zone `z0`, `z1`, …
pub struct Fleet {
    pub network: MemoryNetwork,
    pub nodes: Vec<Arc<Node>>,
    pub group: Group,
    pub map: GroupMap,
}

impl Fleet {
    pub async fn start(size: usize) -> Self {
        Self::start_groups(1, size).await
    }

    pub async fn start_groups(groups: usize, size: usize) -> Self {
        let members = |number: usize| {
            let positions = (0..size).map(move |zone| (number * size + zone, zone));
            let members = positions.map(|(position, zone)| Member {
                node: format!("n{position}"),
                address: address(position),
                zone: format!("z{zone}"),
                joined: 0,
            });
            members.collect::<Vec<_>>()
        };
        let initial =
            (0..groups).zip(0..).map(|(index, number)| Group::initial_numbered(number, members(index)));
        let map = GroupMap::new(initial.collect());
        let network = MemoryNetwork::new();
        let mut nodes = Vec::new();
        for member in map.members() {
            let settings = ReplicaSettings { node: member.node.clone(), is_first_start: true };
            let mut replica = Replica::new(settings);
            replica.finish_replay();
            let group = map.group_of_member(&member.node).expect("a member of a group");
            replica.install(Group::clone(group));
            let node = Arc::new(Node {
                replica: Mutex::new(replica),
                feed: Arc::new(FeedHost::new(Default::default(), logger())),
                requests: AtomicUsize::new(0),
                is_silent: AtomicBool::new(false),
                latency_millis: AtomicU64::new(0),
                processing_millis: AtomicU64::new(0),
                processing: tokio::sync::Mutex::default(),
            });
            let acceptor = network.listen(member.address).await.expect("an address");
            let handler = Arc::new(NodeHandler(Arc::clone(&node)));
            tokio::spawn(serve(acceptor, handler, Arc::default(), CancellationToken::new()));
            nodes.push(node);
        }
        let group = Group::clone(&map.groups()[0]);
        Self { network, nodes, group, map }
    }

    /// Lets every node merge feeds of other nodes; the first `store_followers` nodes follow the store.
    pub fn merge_feeds(&self, store_followers: usize) {
        let followers: Vec<Member> = self.group.members[..store_followers].to_vec();
        for (node, member) in self.nodes.iter().zip(&self.group.members) {
            let followers = followers.clone();
            let peers = PeerFeeds {
                node: member.node.clone(),
                feed: Arc::clone(&node.feed),
                transport: self.transport(),
                store_followers: Arc::new(move || followers.clone()),
                logger: logger(),
            };
            tokio::spawn(peers.run());
        }
    }

    pub fn transport(&self) -> Arc<Transport> {
        let network: Arc<dyn Network> = Arc::new(self.network.clone());
        Arc::new(Transport::new(network, Arc::new(TrafficCounters::default())))
    }

    pub fn client(&self, zone: usize) -> Arc<LedgerClient> {
        let timeouts = LedgerTimeouts::default();
        let client =
            LedgerClient::new(self.transport(), Location::in_zone(&format!("z{zone}")), timeouts, logger());
        client.adopt_map(&self.map);
        Arc::new(client)
    }

    /// A client that is partitioned from some members.
    pub fn partitioned_client(&self, zone: usize, partition: Partition) -> Arc<LedgerClient> {
        let transport = self.partitioned_transport(partition);
        let timeouts = LedgerTimeouts::default();
        let client = LedgerClient::new(transport, Location::in_zone(&format!("z{zone}")), timeouts, logger());
        client.adopt_map(&self.map);
        Arc::new(client)
    }

    /// Transport of a node that is partitioned from some members.
    pub fn partitioned_transport(&self, partition: Partition) -> Arc<Transport> {
        let network: Arc<dyn Network> =
            Arc::new(PartitionedNetwork { network: self.network.clone(), partition });
        Arc::new(Transport::new(network, Arc::new(TrafficCounters::default())))
    }

    /// Starts a relay that uses `client`; the token stops it.
    pub async fn relay(&self, position: usize, client: Arc<LedgerClient>) -> (SocketAddr, CancellationToken) {
        let at = address(FIRST_RELAY + position);
        let stop = CancellationToken::new();
        let acceptor = self.network.listen(at).await.expect("an address");
        tokio::spawn(serve(acceptor, Arc::new(RelayHost::new(client)), Arc::default(), stop.clone()));
        (at, stop)
    }

    pub fn requests(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| node.requests()).collect()
    }
}

pub fn begin(turn: &str, previous: &str) -> BeginTurn {
    BeginTurn {
        turn: TurnBegun {
            program: "program".to_owned(),
            turn: turn.to_owned(),
            max_tokens: 100,
            retained_bytes: 0,
            retention_millis: 60_000,
            origin: None,
            request: None,
            previous: String::new(),
        },
        budget_tokens: 10_000,
        needs_chain: !previous.is_empty(),
        previous: previous.to_owned(),
        report: Bytes::new(),
        resumed_turn: ResumedTurn::None,
        request: None,
    }
}

/// The end of a retained turn.
pub fn end(turn: &str, previous: &str) -> TurnEnded {
    TurnEnded {
        program: "program".to_owned(),
        turn: turn.to_owned(),
        tokens: 10,
        retention_millis: 60_000,
        retained: Some(RetainedTurn {
            previous: previous.to_owned(),
            input: Bytes::copy_from_slice(format!("in {turn}").as_bytes()),
            output: Bytes::copy_from_slice(format!("out {turn}").as_bytes()),
        }),
        ..TurnEnded::default()
    }
}

/// Asks whether a turn may begin; returns the outcome and the time taken.
pub async fn ask(client: &LedgerClient, begin: BeginTurn) -> (Result<Admission, LedgerError>, Duration) {
    let asked = Instant::now();
    let outcome = client.begin(begin, asked + Duration::from_secs(2)).await;
    (outcome, asked.elapsed())
}
