//! Puts a node together, starts it and stops it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use sumacdrift_config::{Mistakes, Settings};
use sumacdrift_engine_client::EngineClient;
use sumacdrift_gateway::{GatewaySettings, ListenerSettings, TenantLimits};
use sumacdrift_platform::ObjectClient;
use sumacdrift_transport::{Network, TcpNetwork, listen_tcp};
use sumacdrift_types::Generation;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admin::{self, Admin};
use crate::memory_check::MemoryCheck;
use crate::parts::{NewerGenerations, Parts};
use crate::peer_handler::PeerHandler;

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
    parts: Arc<Parts>,
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
        let (parts, newer) = Parts::build(settings, options, addresses);
        if let Some((file, text)) = bundle {
            parts.configuration.offer(&file, &text);
        }
        let counters = Arc::clone(parts.context.transport.counters());
        let handler: Arc<PeerHandler> = Arc::new(PeerHandler { parts: Arc::clone(&parts) });
        let stopped = parts.context.stopped.clone();
        tokio::spawn(sumacdrift_transport::serve(acceptor, handler, counters, stopped.clone()));
        tokio::spawn(serve_admin(
            admin_listener,
            admin::router(Admin { parts: Arc::clone(&parts) }),
            stopped,
        ));
        let node = Self::run(parts, newer, callers, addresses);
        info!(node.parts.context.logger, "node started"; "callers" => %addresses.callers,
            "peers" => %addresses.peers, "admin" => %addresses.admin);
        Ok(node)
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The generation of the configuration in force.
    pub fn generation(&self) -> Generation {
        self.parts.configuration.generation()
    }

    /// Whether the node has a configuration and belongs to a fleet.
    pub fn is_ready(&self) -> bool {
        self.parts.configuration.current().is_some() && self.parts.client.is_ready()
    }

    /// How the shards led here stand.
    pub fn shards(&self) -> ShardSummary {
        let (led, unrepaired) = self.parts.host.repair_state();
        ShardSummary { led, unrepaired }
    }

    /// Cancelled when the node has stopped, by itself or on request.
    pub fn stopped(&self) -> CancellationToken {
        self.parts.context.stopped.clone()
    }

    /// Stops as planned: no new work, every call under way finishes, the state is handed on. Returns whether
    /// every call finished in time.
    pub async fn stop(mut self) -> bool {
        info!(self.parts.context.logger, "planned stop begins"; "calls" => self.parts.calls.count());
        self.parts.fleet.leave();
        tokio::time::sleep(LEAVE_TIME).await;
        self.parts.context.stopping.cancel();
        self.stop_gateway.cancel();
        self.hand_over().await;
        let drain = self.parts.context.settings.limits.drain_timeout;
        let calls_ended = tokio::time::timeout(drain, self.parts.calls.wait_until_none()).await.is_ok();
        let connections_ended = (&mut self.gateway).await.unwrap_or(false);
        // Shards may have come to be led here again while calls finished.
        self.hand_over().await;
        self.leave_groups().await;
        self.parts.context.stopped.cancel();
        let is_clean = calls_ended && connections_ended;
        info!(self.parts.context.logger, "node stopped"; "every_call_finished" => is_clean);
        is_clean
    }

    /// Starts the tasks.
    fn run(
        parts: Arc<Parts>,
        newer: NewerGenerations,
        callers: TcpListener,
        addresses: NodeAddresses,
    ) -> Node {
        let limits = &parts.context.settings.limits;
        let gateway_settings =
            GatewaySettings { body_bytes: limits.body_bytes, body_timeout: limits.body_timeout };
        let listener_settings = ListenerSettings {
            connections: limits.connections,
            header_timeout: limits.header_timeout,
            drain_timeout: limits.drain_timeout,
        };
        let router =
            sumacdrift_gateway::router(parts.dispatcher(), TenantLimits::default(), gateway_settings);
        let stop_gateway = CancellationToken::new();
        let gateway =
            tokio::spawn(sumacdrift_gateway::serve(callers, router, listener_settings, stop_gateway.clone()));
        tokio::spawn(
            MemoryCheck { parts: Arc::clone(&parts), engines: EngineClient::new(parts.context.http.clone()) }
                .run(),
        );
        if let Some(address) = parts.context.settings.platform.object_api {
            let client = ObjectClient::new(parts.context.http.clone(), address);
            tokio::spawn(Arc::clone(&parts.configuration).follow_platform(client));
        }
        tokio::spawn(Arc::clone(&parts.configuration).follow_peers(newer));
        tokio::spawn(Arc::clone(&parts.fleet).run());
        tokio::spawn(Arc::clone(&parts.host).run());
        tokio::spawn(Arc::clone(&parts.owner).run());
        tokio::spawn(Arc::clone(&parts.founding).run());

        Node { parts, addresses, gateway, stop_gateway }
    }

    /// Waits, within bounds, until the other nodes have taken this one's replicas out of their groups, so that
    /// the groups bear the next loss at once.
    async fn leave_groups(&self) {
        let deadline = tokio::time::Instant::now() + LEAVE_GROUPS_TIME;
        let has_peers = !self.parts.fleet.live_peers().is_empty();
        while has_peers && self.parts.host.votes() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(HAND_OVER_PAUSE).await;
        }
    }

    async fn hand_over(&self) {
        let deadline = tokio::time::Instant::now() + HAND_OVER_TIME;
        while self.parts.host.hand_over() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(HAND_OVER_PAUSE).await;
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

async fn serve_admin(listener: TcpListener, router: axum::Router, stopped: CancellationToken) {
    tokio::select! {
        () = stopped.cancelled() => {}
        _ = axum::serve(listener, router) => {}
    }
}
