//! Puts a node together, starts it and stops it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, o};
use sumacdrift_config::{Mistakes, Role, Settings};
use sumacdrift_engine_client::EngineClient;
use sumacdrift_gateway::{GatewaySettings, ListenerSettings, TenantLimits};
use sumacdrift_http_client::HttpClient;
use sumacdrift_membership::{Member, MemberState, RoleSet};
use sumacdrift_platform::ObjectClient;
use sumacdrift_replication::ReplicaId;
use sumacdrift_transport::{Network, TcpNetwork, TrafficCounters, Transport, listen_tcp};
use sumacdrift_types::{Generation, Incarnation};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admin::{self, Admin};
use crate::calls::RunningCalls;
use crate::chat_runner::ChatRunner;
use crate::clock::Clock;
use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::dispatch::NodeDispatcher;
use crate::engine_owner::EngineOwner;
use crate::engine_router::EngineRouter;
use crate::fleet::Fleet;
use crate::founding::FoundingState;
use crate::memory_check::MemoryCheck;
use crate::metrics::Metrics;
use crate::peer_handler::PeerHandler;
use crate::service_runner::ServiceRunner;
use crate::shard_client::ShardClient;
use crate::shard_host::ShardHost;

/// How long a planned stop waits for its announcement to spread before it stops taking connections.
const LEAVE_TIME: Duration = Duration::from_millis(300);
/// How long a planned stop tries to hand over the shards that it leads.
const HAND_OVER_TIME: Duration = Duration::from_secs(5);
/// How long a planned stop waits to be taken out of its groups.
const LEAVE_GROUPS_TIME: Duration = Duration::from_secs(4);
/// Pause between two tries to hand over.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(100);

/// A node could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The bundle file can't be read.
    #[error("can't read bundle file {file}: {error}")]
    BundleFile {
        /// The file.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// The bundle file has mistakes.
    #[error("the bundle file has mistakes:\n{0}")]
    Bundle(#[from] Mistakes),
}

/// What a node is started with besides its settings.
pub struct StartOptions {
    /// Where its logs go.
    pub logger: Logger,
    /// Where its connections to other nodes come from.
    pub network: Arc<dyn Network>,
}

impl StartOptions {
    /// TCP, and logs to `logger`.
    pub fn with_logger(logger: Logger) -> Self {
        Self { logger, network: Arc::new(TcpNetwork) }
    }
}

/// Addresses that a node in fact listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// How the shards that a node leads stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardSummary {
    /// Shards led here.
    pub led: usize,
    /// Of those, shards that have fewer replicas than they could have.
    pub unrepaired: usize,
}

/// A running node.
pub struct Node {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    host: Arc<ShardHost>,
    configuration: Arc<ConfigurationStore>,
    client: Arc<ShardClient>,
    calls: Arc<RunningCalls>,
    addresses: NodeAddresses,
    gateway: JoinHandle<bool>,
    stop_gateway: CancellationToken,
}

impl Node {
    /// Starts a node. It is ready when its configuration is in force and it belongs to a fleet.
    pub async fn start(settings: Settings, options: StartOptions) -> Result<Node, StartError> {
        let callers = listen(settings.listen.callers)?;
        let admin_listener = listen(settings.listen.admin)?;
        let peer_address = settings.listen.peers;
        let acceptor = options.network.listen(peer_address).await;
        let acceptor = acceptor.map_err(|error| StartError::Listen { address: peer_address, error })?;
        let addresses = NodeAddresses {
            callers: local_address(&callers, settings.listen.callers),
            peers: acceptor.local_address(),
            admin: local_address(&admin_listener, settings.listen.admin),
        };
        let bundle = read_bundle_file(&settings)?;
        let parts = Parts::build(settings, options, addresses);
        if let Some((file, text)) = bundle {
            parts.configuration.offer(&file, &text);
        }
        let counters = Arc::clone(parts.context.transport.counters());
        let handler: Arc<PeerHandler> = Arc::new(parts.peer_handler());
        let stopped = parts.context.stopped.clone();
        tokio::spawn(sumacdrift_transport::serve(acceptor, handler, counters, stopped.clone()));
        tokio::spawn(serve_admin(admin_listener, admin::router(parts.admin()), stopped));
        let node = parts.run(callers, addresses);
        info!(node.context.logger, "node started"; "callers" => %addresses.callers,
            "peers" => %addresses.peers, "admin" => %addresses.admin);
        Ok(node)
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The generation of the configuration in force.
    pub fn generation(&self) -> Generation {
        self.configuration.generation()
    }

    /// Whether the node has a configuration and belongs to a fleet.
    pub fn is_ready(&self) -> bool {
        self.configuration.current().is_some() && self.client.is_ready()
    }

    /// How the shards led here stand.
    pub fn shards(&self) -> ShardSummary {
        let (led, unrepaired) = self.host.repair_state();
        ShardSummary { led, unrepaired }
    }

    /// Cancelled when the node has stopped, by itself or on request.
    pub fn stopped(&self) -> CancellationToken {
        self.context.stopped.clone()
    }

    /// Stops as planned: no new work, every call under way finishes, the state is handed on. Returns whether
    /// every call finished in time.
    pub async fn stop(mut self) -> bool {
        info!(self.context.logger, "planned stop begins"; "calls" => self.calls.count());
        self.fleet.leave();
        tokio::time::sleep(LEAVE_TIME).await;
        self.context.stopping.cancel();
        self.stop_gateway.cancel();
        self.hand_over().await;
        let drain = self.context.settings.limits.drain_timeout;
        let calls_ended = tokio::time::timeout(drain, self.calls.wait_until_none()).await.is_ok();
        let connections_ended = (&mut self.gateway).await.unwrap_or(false);
        // Shards may have come to be led here again while calls finished.
        self.hand_over().await;
        self.leave_groups().await;
        self.context.stopped.cancel();
        let is_clean = calls_ended && connections_ended;
        info!(self.context.logger, "node stopped"; "every_call_finished" => is_clean);
        is_clean
    }

    /// Waits, within bounds, until the other nodes have taken this one's replicas out of their groups, so that
    /// the groups bear the next loss at once.
    async fn leave_groups(&self) {
        let deadline = tokio::time::Instant::now() + LEAVE_GROUPS_TIME;
        let has_peers = !self.fleet.live_peers().is_empty();
        while has_peers && self.host.votes() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(HAND_OVER_PAUSE).await;
        }
    }

    async fn hand_over(&self) {
        let deadline = tokio::time::Instant::now() + HAND_OVER_TIME;
        while self.host.hand_over() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(HAND_OVER_PAUSE).await;
        }
    }
}

/// The parts of a node, connected with each other.
struct Parts {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    host: Arc<ShardHost>,
    client: Arc<ShardClient>,
    owner: Arc<EngineOwner>,
    router: Arc<EngineRouter>,
    configuration: Arc<ConfigurationStore>,
    founding: Arc<FoundingState>,
    calls: Arc<RunningCalls>,
    newer_generations: mpsc::UnboundedReceiver<(sumacdrift_types::NodeId, Generation)>,
}

impl Parts {
    fn build(settings: Settings, options: StartOptions, addresses: NodeAddresses) -> Parts {
        let clock = Clock::start();
        let own = ReplicaId { node: settings.id, incarnation: Incarnation(clock.now().0) };
        let logger = options.logger.new(o!("node" => settings.id.0));
        let counters = Arc::new(TrafficCounters::default());
        let member = own_member(&settings, own, addresses.peers);
        let context = Arc::new(Context {
            settings,
            own,
            clock,
            transport: Arc::new(Transport::new(options.network, counters)),
            http: HttpClient::new(),
            metrics: Metrics::new(),
            logger,
            stopping: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        let (newer_sender, newer_generations) = mpsc::unbounded_channel();
        let fleet = Arc::new(Fleet::new(Arc::clone(&context), member, newer_sender));
        let configuration = Arc::new(ConfigurationStore::new(Arc::clone(&context)));
        let engines = EngineClient::new(context.http.clone());
        let owner = Arc::new(EngineOwner::new(Arc::clone(&context), Arc::clone(&configuration), engines));
        configuration.connect(&fleet, &owner);
        let router = Arc::new(EngineRouter::new(
            Arc::clone(&context),
            Arc::clone(&fleet),
            Arc::clone(&configuration),
            Arc::clone(&owner),
        ));
        let calls = Arc::new(RunningCalls::default());
        let host = Arc::new(ShardHost::new(
            Arc::clone(&context),
            Arc::clone(&fleet),
            Arc::clone(&router),
            Arc::clone(&calls),
        ));
        let client = Arc::new(ShardClient::new(Arc::clone(&context), Arc::clone(&fleet), Arc::clone(&host)));
        host.set_client(&client);
        let founding = Arc::new(FoundingState::new(
            Arc::clone(&context),
            Arc::clone(&fleet),
            Arc::clone(&host),
            Arc::clone(&client),
        ));
        Parts {
            context,
            fleet,
            host,
            client,
            owner,
            router,
            configuration,
            founding,
            calls,
            newer_generations,
        }
    }

    fn peer_handler(&self) -> PeerHandler {
        PeerHandler {
            context: Arc::clone(&self.context),
            fleet: Arc::clone(&self.fleet),
            host: Arc::clone(&self.host),
            client: Arc::clone(&self.client),
            owner: Arc::clone(&self.owner),
            configuration: Arc::clone(&self.configuration),
            founding: Arc::clone(&self.founding),
            calls: Arc::clone(&self.calls),
        }
    }

    fn admin(&self) -> Admin {
        Admin {
            context: Arc::clone(&self.context),
            fleet: Arc::clone(&self.fleet),
            host: Arc::clone(&self.host),
            client: Arc::clone(&self.client),
            owner: Arc::clone(&self.owner),
            configuration: Arc::clone(&self.configuration),
            calls: Arc::clone(&self.calls),
        }
    }

    fn dispatcher(&self) -> Arc<NodeDispatcher> {
        let chats = ChatRunner::new(
            Arc::clone(&self.context),
            Arc::clone(&self.configuration),
            Arc::clone(&self.client),
            Arc::clone(&self.router),
            EngineClient::new(self.context.http.clone()),
            Arc::clone(&self.calls),
        );
        let services = ServiceRunner::new(
            Arc::clone(&self.context),
            Arc::clone(&self.configuration),
            Arc::clone(&self.client),
            Arc::clone(&self.calls),
        );
        Arc::new(NodeDispatcher {
            context: Arc::clone(&self.context),
            configuration: Arc::clone(&self.configuration),
            client: Arc::clone(&self.client),
            chats: Arc::new(chats),
            services: Arc::new(services),
        })
    }

    fn memory_check(&self) -> MemoryCheck {
        MemoryCheck {
            context: Arc::clone(&self.context),
            fleet: Arc::clone(&self.fleet),
            configuration: Arc::clone(&self.configuration),
            client: Arc::clone(&self.client),
            owner: Arc::clone(&self.owner),
            engines: EngineClient::new(self.context.http.clone()),
        }
    }

    /// Starts the tasks.
    fn run(self, callers: TcpListener, addresses: NodeAddresses) -> Node {
        let limits = &self.context.settings.limits;
        let gateway_settings =
            GatewaySettings { body_bytes: limits.body_bytes, body_timeout: limits.body_timeout };
        let listener_settings = ListenerSettings {
            connections: limits.connections,
            header_timeout: limits.header_timeout,
            drain_timeout: limits.drain_timeout,
        };
        let router = sumacdrift_gateway::router(self.dispatcher(), TenantLimits::default(), gateway_settings);
        let stop_gateway = CancellationToken::new();
        let gateway =
            tokio::spawn(sumacdrift_gateway::serve(callers, router, listener_settings, stop_gateway.clone()));
        tokio::spawn(self.memory_check().run());
        if let Some(address) = self.context.settings.platform.object_api {
            let client = ObjectClient::new(self.context.http.clone(), address);
            tokio::spawn(Arc::clone(&self.configuration).follow_platform(client));
        }
        tokio::spawn(Arc::clone(&self.configuration).follow_peers(self.newer_generations));
        tokio::spawn(Arc::clone(&self.fleet).run());
        tokio::spawn(Arc::clone(&self.host).run());
        tokio::spawn(Arc::clone(&self.owner).run());
        tokio::spawn(Arc::clone(&self.founding).run());

        Node {
            context: self.context,
            fleet: self.fleet,
            host: self.host,
            configuration: self.configuration,
            client: self.client,
            calls: self.calls,
            addresses,
            gateway,
            stop_gateway,
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    listen_tcp(address).map_err(|error| StartError::Listen { address, error })
}

fn local_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

fn read_bundle_file(settings: &Settings) -> Result<Option<(String, String)>, StartError> {
    let Some(file) = settings.platform.bundle_file.clone() else { return Ok(None) };
    match std::fs::read_to_string(&file) {
        Ok(text) => {
            sumacdrift_config::Bundle::parse(&file, &text)?;
            Ok(Some((file, text)))
        }
        Err(error) => Err(StartError::BundleFile { file, error }),
    }
}

fn own_member(settings: &Settings, own: ReplicaId, address: SocketAddr) -> Member {
    let mut roles = RoleSet::default();
    for (role, bit) in [
        (Role::Gateway, RoleSet::GATEWAY),
        (Role::Programs, RoleSet::PROGRAMS),
        (Role::Engines, RoleSet::ENGINES),
    ] {
        if settings.has_role(role) {
            roles = roles.with(bit);
        }
    }
    Member {
        node: own.node,
        incarnation: own.incarnation,
        refutation: 0,
        state: MemberState::Alive,
        is_leaving: false,
        address,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        roles,
    }
}

async fn serve_admin(listener: TcpListener, router: axum::Router, stopped: CancellationToken) {
    tokio::select! {
        () = stopped.cancelled() => {}
        _ = axum::serve(listener, router) => {}
    }
}
