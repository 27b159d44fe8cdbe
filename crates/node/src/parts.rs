//! The parts of a node, connected with each other: the one place where everything is wired.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::o;
use sumacdrift_config::{Role, Settings};
use sumacdrift_engine_client::EngineClient;
use sumacdrift_http_client::HttpClient;
use sumacdrift_membership::{Member, MemberState, RoleSet};
use sumacdrift_replication::ReplicaId;
use sumacdrift_transport::{TrafficCounters, Transport};
use sumacdrift_types::{Generation, Incarnation, NodeId};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

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
use crate::metrics::Metrics;
use crate::service_runner::ServiceRunner;
use crate::shard_client::ShardClient;
use crate::shard_host::ShardHost;
use crate::{NodeAddresses, StartOptions};

/// Peers that were found to have a newer configuration.
pub(crate) type NewerGenerations = mpsc::UnboundedReceiver<(NodeId, Generation)>;

/// The parts of a node.
pub(crate) struct Parts {
    pub(crate) context: Arc<Context>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) host: Arc<ShardHost>,
    pub(crate) client: Arc<ShardClient>,
    pub(crate) owner: Arc<EngineOwner>,
    pub(crate) router: Arc<EngineRouter>,
    pub(crate) configuration: Arc<ConfigurationStore>,
    pub(crate) founding: Arc<FoundingState>,
    pub(crate) calls: Arc<RunningCalls>,
}

impl Parts {
    /// Connects the parts; nothing runs yet.
    pub(crate) fn build(
        settings: Settings,
        options: StartOptions,
        addresses: NodeAddresses,
    ) -> (Arc<Parts>, NewerGenerations) {
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
        let parts = Parts { context, fleet, host, client, owner, router, configuration, founding, calls };
        (Arc::new(parts), newer_generations)
    }

    /// The callers' face of these parts.
    pub(crate) fn dispatcher(&self) -> Arc<NodeDispatcher> {
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
