//! Starts and stops a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use sumacdrift_config::{ConfigErrors, Settings};
use sumacdrift_engine_client::EngineClient;
use sumacdrift_gateway::{GatewaySettings, ListenerSettings, TenantLimits};
use sumacdrift_platform::ObjectClient;
use sumacdrift_transport::{Network, TcpNetwork, listen_tcp};
use sumacdrift_types::Generation;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admin::{self, AdminState};
use crate::components::{Components, NewerGenerations};
use crate::memory_check::MemoryCheck;
use crate::peer_handler::PeerHandler;

/// Time for the leave announcement to reach other nodes before the listener is closed.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// Bound on transferring leadership of the shards that this node leads.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Bound on waiting for this node's replicas to be removed from their groups.
const LEAVE_GROUPS_TIMEOUT: Duration = Duration::from_secs(4);
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a node could not be started.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum StartError {
    #[error("failed to listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("failed to read bundle file {file}: {error}")]
    BundleFile { file: String, error: std::io::Error },
    #[error("invalid bundle file:\n{0}")]
    Bundle(#[from] ConfigErrors),
}

/// Dependencies of a node that are not part of its settings.
#[allow(missing_docs)]
pub struct StartOptions {
    pub logger: Logger,
    /// Opens connections to other nodes and accepts theirs.
    pub network: Arc<dyn Network>,
}

impl StartOptions {
    /// Options with TCP connections and this logger.
    pub fn with_logger(logger: Logger) -> Self {
        Self { logger, network: Arc::new(TcpNetwork) }
    }
}

/// Bound addresses of the listeners for API clients, other nodes and operators. Where the settings ask for
/// port 0, these carry the port that was assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct NodeAddresses {
    pub caller_listener: SocketAddr,
    pub peer_listener: SocketAddr,
    pub admin_listener: SocketAddr,
}

/// Counts of the shards that a node leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardSummary {
    /// Shards for which this node is the serving leader.
    pub led: usize,
    /// Led shards that have fewer replicas than the live nodes allow.
    pub unrepaired: usize,
}

/// A running node. Dropping it leaves its tasks running; call [`Node::stop`] to shut it down.
pub struct Node {
    components: Arc<Components>,
    addresses: NodeAddresses,
    gateway: JoinHandle<bool>,
    stop_gateway: CancellationToken,
}

impl Node {
    /// Starts listeners and background tasks. The node is ready for calls once
    /// [`Node::is_ready`] returns true.
    pub async fn start(settings: Settings, options: StartOptions) -> Result<Node, StartError> {
        let caller_listener = listen(settings.listen.callers)?;
        let admin_listener = listen(settings.listen.admin)?;
        let peer_address = settings.listen.peers;
        let acceptor = options.network.listen(peer_address).await;
        let acceptor = acceptor.map_err(|error| StartError::Listen { address: peer_address, error })?;
        let addresses = NodeAddresses {
            caller_listener: local_address(&caller_listener, settings.listen.callers),
            peer_listener: acceptor.local_address(),
            admin_listener: local_address(&admin_listener, settings.listen.admin),
        };
        let bundle = read_bundle_file(&settings)?;
        let (components, newer) = Components::build(settings, options, addresses);
        if let Some((file, text)) = bundle {
            components.configuration.apply_if_newer(&file, &text);
        }
        let counters = Arc::clone(components.context.transport.counters());
        let handler: Arc<PeerHandler> = Arc::new(PeerHandler { components: Arc::clone(&components) });
        let stopped = components.context.stopped.clone();
        tokio::spawn(sumacdrift_transport::serve(acceptor, handler, counters, stopped.clone()));
        tokio::spawn(serve_admin(
            admin_listener,
            admin::router(AdminState { components: Arc::clone(&components) }),
            stopped,
        ));
        let node = Self::spawn_tasks(components, newer, caller_listener, addresses);
        info!(node.components.context.logger, "node started"; "callers" => %addresses.caller_listener,
            "peers" => %addresses.peer_listener, "admin" => %addresses.admin_listener);
        Ok(node)
    }

    /// The bound listener addresses.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Generation of the active configuration; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.components.configuration.generation()
    }

    /// Whether the node has an active configuration and has joined a fleet.
    pub fn is_ready(&self) -> bool {
        self.components.configuration.current().is_some() && self.components.shard_client.is_ready()
    }

    /// Counts the shards led by this node.
    pub fn shards(&self) -> ShardSummary {
        let (led, unrepaired) = self.components.shard_host.repair_counts();
        ShardSummary { led, unrepaired }
    }

    /// A token that is cancelled when the node has stopped, by [`Node::stop`] or because a later incarnation
    /// replaced it.
    pub fn stopped(&self) -> CancellationToken {
        self.components.context.stopped.clone()
    }

    /// Shuts down gracefully: admits no new calls, drains calls in flight and hands shard leadership over.
    /// Returns whether every call and connection ended within the drain timeout.
    pub async fn stop(mut self) -> bool {
        info!(self.components.context.logger, "graceful shutdown started";
            "calls" => self.components.running_calls.count());
        self.components.fleet.announce_leave();
        tokio::time::sleep(LEAVE_PROPAGATION_DELAY).await;
        self.components.context.stopping.cancel();
        self.stop_gateway.cancel();
        self.transfer_leaderships().await;
        let drain = self.components.context.settings.limits.drain_timeout;
        let calls_ended =
            tokio::time::timeout(drain, self.components.running_calls.wait_until_idle()).await.is_ok();
        let connections_ended = (&mut self.gateway).await.unwrap_or(false);
        // Leadership may have come back to this node while calls drained.
        self.transfer_leaderships().await;
        self.wait_for_group_removal().await;
        self.components.context.stopped.cancel();
        let is_clean = calls_ended && connections_ended;
        info!(self.components.context.logger, "node stopped"; "every_call_finished" => is_clean);
        is_clean
    }

    fn spawn_tasks(
        components: Arc<Components>,
        newer: NewerGenerations,
        caller_listener: TcpListener,
        addresses: NodeAddresses,
    ) -> Node {
        let limits = &components.context.settings.limits;
        let gateway_settings = GatewaySettings {
            body_bytes: limits.body_bytes,
            body_memory_bytes: limits.body_memory_bytes,
            body_timeout: limits.body_timeout,
        };
        let listener_settings = ListenerSettings {
            connections: limits.connections,
            header_timeout: limits.header_timeout,
            drain_timeout: limits.drain_timeout,
        };
        let router =
            sumacdrift_gateway::router(components.dispatcher(), TenantLimits::default(), gateway_settings);
        let stop_gateway = CancellationToken::new();
        let gateway = tokio::spawn(sumacdrift_gateway::serve(
            caller_listener,
            router,
            listener_settings,
            stop_gateway.clone(),
        ));
        tokio::spawn(
            MemoryCheck { components: Arc::clone(&components), engine_client: EngineClient::default() }.run(),
        );
        if let Some(address) = components.context.settings.configuration_sources.object_api {
            let object_client = ObjectClient::new(components.context.http.clone(), address);
            tokio::spawn(Arc::clone(&components.configuration).watch_platform(object_client));
        }
        tokio::spawn(Arc::clone(&components.configuration).watch_peers(newer));
        tokio::spawn(Arc::clone(&components.fleet).run());
        tokio::spawn(Arc::clone(&components.shard_host).run());
        tokio::spawn(Arc::clone(&components.engine_owner).run());
        tokio::spawn(Arc::clone(&components.founding).run());

        Node { components, addresses, gateway, stop_gateway }
    }

    /// Waits until the other nodes have removed this node's replicas from their groups, at most
    /// [`LEAVE_GROUPS_TIMEOUT`]. Groups that have already replaced this node tolerate another failure right
    /// away.
    async fn wait_for_group_removal(&self) {
        let deadline = tokio::time::Instant::now() + LEAVE_GROUPS_TIMEOUT;
        let has_peers = !self.components.fleet.live_peers().is_empty();
        while has_peers
            && self.components.shard_host.voting_shard_count() > 0
            && tokio::time::Instant::now() < deadline
        {
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }

    async fn transfer_leaderships(&self) {
        let deadline = tokio::time::Instant::now() + HANDOVER_TIMEOUT;
        while self.components.shard_host.transfer_leaderships() > 0 && tokio::time::Instant::now() < deadline
        {
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    listen_tcp(address).map_err(|error| StartError::Listen { address, error })
}

fn local_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

fn read_bundle_file(settings: &Settings) -> Result<Option<(String, String)>, StartError> {
    let Some(file) = settings.configuration_sources.bundle_file.clone() else { return Ok(None) };
    match std::fs::read_to_string(&file) {
        Ok(text) => {
            sumacdrift_config::Bundle::parse(&file, &text)?;
            Ok(Some((file, text)))
        }
        Err(error) => Err(StartError::BundleFile { file, error }),
    }
}

async fn serve_admin(listener: TcpListener, router: axum::Router, stopped: CancellationToken) {
    tokio::select! {
        () = stopped.cancelled() => {}
        _ = axum::serve(listener, router) => {}
    }
}
