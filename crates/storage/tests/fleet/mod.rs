//! Nodes on a network inside the process and a virtual clock: replicas without disks, and feeds.

// Each test program uses its own part of this.
#![allow(dead_code)]

pub mod following;

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
    Group, GroupMap, LedgerRequest, Member, Replica, ReplicaSettings, RetainedTurn, TurnBegun, TurnEnded,
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

/// Positions of nodes that pass questions on.
const RELAYS_FROM: usize = 100;

/// Addresses to which connections hang, until they are taken out again.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<BTreeSet<SocketAddr>>>);

impl Cut {
    pub fn of(positions: &[usize]) -> Self {
        let cut = Self::default();
        cut.set(positions);
        cut
    }

    pub fn set(&self, positions: &[usize]) {
        *self.0.lock().expect("a cut") = positions.iter().map(|position| address(*position)).collect();
    }

    fn has(&self, to: SocketAddr) -> bool {
        self.0.lock().expect("a cut").contains(&to)
    }
}

/// The network as one node sees it that is cut off from some others.
struct CutNetwork {
    network: MemoryNetwork,
    cut: Cut,
}

/// How long a connection hangs before it fails.
const HANGS_FOR: Duration = Duration::from_millis(120);

impl Network for CutNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            if self.cut.has(to) {
                tokio::time::sleep(HANGS_FOR).await;
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            self.network.connect(to).await
        })
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, std::io::Result<Box<dyn Acceptor>>> {
        self.network.listen(at)
    }
}

/// A node that keeps a replica and a feed.
pub struct Node {
    pub replica: Mutex<Replica>,
    pub feed: Arc<FeedHost>,
    pub requests: AtomicUsize,
    pub is_silent: AtomicBool,
    /// Milliseconds that every answer takes.
    pub delay: AtomicU64,
    /// Milliseconds of work for each request; one is worked on at a time.
    pub work: AtomicU64,
    at_work: tokio::sync::Mutex<()>,
}

impl Node {
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    pub fn silence(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// A silent node answers nothing, not even what it was asked before.
    async fn answer(&self, request: Request) -> Response {
        if self.is_silent.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        tokio::time::sleep(Duration::from_millis(self.delay.load(Ordering::Relaxed))).await;
        let work = self.work.load(Ordering::Relaxed);
        if work > 0 {
            let _turn = self.at_work.lock().await;
            tokio::time::sleep(Duration::from_millis(work)).await;
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

/// Whole groups, one member of each in each zone `z0`, `z1`, …
pub struct Fleet {
    pub network: MemoryNetwork,
    pub nodes: Vec<Arc<Node>>,
    /// The first group.
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
        let founded = (0..groups).zip(0..).map(|(place, number)| Group::founded_as(number, members(place)));
        let map = GroupMap::new(founded.collect());
        let network = MemoryNetwork::new();
        let mut nodes = Vec::new();
        for member in map.members() {
            let settings = ReplicaSettings { node: member.node.clone(), is_first_start: true };
            let mut replica = Replica::new(settings);
            replica.started();
            let group = map.seat_of(&member.node).expect("a seat");
            replica.install(Group::clone(group));
            let node = Arc::new(Node {
                replica: Mutex::new(replica),
                feed: Arc::new(FeedHost::new(Default::default(), logger())),
                requests: AtomicUsize::new(0),
                is_silent: AtomicBool::new(false),
                delay: AtomicU64::new(0),
                work: AtomicU64::new(0),
                at_work: tokio::sync::Mutex::default(),
            });
            let acceptor = network.listen(member.address).await.expect("an address");
            let handler = Arc::new(NodeHandler(Arc::clone(&node)));
            tokio::spawn(serve(acceptor, handler, Arc::default(), CancellationToken::new()));
            nodes.push(node);
        }
        let group = Group::clone(&map.groups()[0]);
        Self { network, nodes, group, map }
    }

    /// Lets every node take in other nodes' feeds; the first `store_followers` of them follow the store.
    pub fn take_in_feeds(&self, store_followers: usize) {
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

    /// A client in the zone of a member.
    pub fn client(&self, zone: usize) -> Arc<LedgerClient> {
        let timeouts = LedgerTimeouts::default();
        let client =
            LedgerClient::new(self.transport(), Location::in_zone(&format!("z{zone}")), timeouts, logger());
        client.learn_map(&self.map);
        Arc::new(client)
    }

    /// A client in the zone of a member that does not reach these members itself.
    pub fn cut_client(&self, zone: usize, cut: Cut) -> Arc<LedgerClient> {
        let transport = self.cut_transport(cut);
        let timeouts = LedgerTimeouts::default();
        let client = LedgerClient::new(transport, Location::in_zone(&format!("z{zone}")), timeouts, logger());
        client.learn_map(&self.map);
        Arc::new(client)
    }

    /// The network as a node sees it that does not reach these members.
    pub fn cut_transport(&self, cut: Cut) -> Arc<Transport> {
        let network: Arc<dyn Network> = Arc::new(CutNetwork { network: self.network.clone(), cut });
        Arc::new(Transport::new(network, Arc::new(TrafficCounters::default())))
    }

    /// A node that passes questions on, with a client of its own; ends with the token.
    pub async fn relay(&self, position: usize, client: Arc<LedgerClient>) -> (SocketAddr, CancellationToken) {
        let at = address(RELAYS_FROM + position);
        let stop = CancellationToken::new();
        let acceptor = self.network.listen(at).await.expect("an address");
        tokio::spawn(serve(acceptor, Arc::new(RelayHost::new(client)), Arc::default(), stop.clone()));
        (at, stop)
    }

    pub fn requests(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| node.requests()).collect()
    }
}

/// A turn that wants to begin.
pub fn begin(turn: &str, previous: &str) -> BeginTurn {
    BeginTurn {
        turn: TurnBegun {
            program: "program".to_owned(),
            turn: turn.to_owned(),
            most_tokens: 100,
            retention_millis: 60_000,
        },
        budget_tokens: 10_000,
        needs_chain: !previous.is_empty(),
        previous: previous.to_owned(),
        news: Bytes::new(),
    }
}

/// The end of a kept turn.
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
    }
}

/// Asks whether a turn may begin; tells how long that took.
pub async fn ask(client: &LedgerClient, begin: BeginTurn) -> (Result<Admission, LedgerError>, Duration) {
    let asked = Instant::now();
    let outcome = client.begin(begin, asked + Duration::from_secs(2)).await;
    (outcome, asked.elapsed())
}
