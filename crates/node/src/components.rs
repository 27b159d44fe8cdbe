//! Constructs the components of a node and connects them.

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

use crate::chat_runner::ChatRunner;
use crate::clock::Clock;
use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::dispatcher::NodeDispatcher;
use crate::engine_owner::EngineOwner;
use crate::engine_router::EngineRouter;
use crate::fleet::Fleet;
use crate::founding::FoundingState;
use crate::metrics::Metrics;
use crate::running_calls::RunningCalls;
use crate::service_runner::ServiceRunner;
use crate::shard_client::ShardClient;
use crate::shard_host::ShardHost;
use crate::{NodeAddresses, StartOptions};

/// Receives peers that announced a newer configuration, with its generation.
pub(crate) type NewerGenerations = mpsc::UnboundedReceiver<(NodeId, Generation)>;

pub(crate) struct Components {
    pub(crate) context: Arc<Context>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) shard_host: Arc<ShardHost>,
    pub(crate) shard_client: Arc<ShardClient>,
    pub(crate) engine_owner: Arc<EngineOwner>,
    pub(crate) engine_router: Arc<EngineRouter>,
    pub(crate) configuration: Arc<ConfigurationStore>,
    pub(crate) founding: Arc<FoundingState>,
    pub(crate) running_calls: Arc<RunningCalls>,
}

impl Components {
    /// Constructs all components without starting any tasks.
    pub(crate) fn build(
        settings: Settings,
        options: StartOptions,
        addresses: NodeAddresses,
    ) -> (Arc<Components>, NewerGenerations) {
        let clock = Clock::start();
        let own_replica = ReplicaId { node: settings.id, incarnation: Incarnation(clock.now().0) };
        let logger = options.logger.new(o!("node" => settings.id.0));
        let counters = Arc::new(TrafficCounters::default());
        let member = own_member(&settings, own_replica, addresses.peer_listener);
        let context = Arc::new(Context {
            settings,
            own_replica,
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
        let engine_client = EngineClient::default();
        let engine_owner =
            Arc::new(EngineOwner::new(Arc::clone(&context), Arc::clone(&configuration), engine_client));
        configuration.connect(&fleet, &engine_owner);
        let engine_router = Arc::new(EngineRouter::new(
            Arc::clone(&context),
            Arc::clone(&fleet),
            Arc::clone(&configuration),
            Arc::clone(&engine_owner),
        ));
        let running_calls = Arc::new(RunningCalls::default());
        let shard_host = Arc::new(ShardHost::new(
            Arc::clone(&context),
            Arc::clone(&fleet),
            Arc::clone(&engine_router),
            Arc::clone(&running_calls),
        ));
        let shard_client =
            Arc::new(ShardClient::new(Arc::clone(&context), Arc::clone(&fleet), Arc::clone(&shard_host)));
        shard_host.set_shard_client(&shard_client);
        let founding = Arc::new(FoundingState::new(
            Arc::clone(&context),
            Arc::clone(&fleet),
            Arc::clone(&shard_host),
            Arc::clone(&shard_client),
        ));
        let components = Components {
            context,
            fleet,
            shard_host,
            shard_client,
            engine_owner,
            engine_router,
            configuration,
            founding,
            running_calls,
        };
        (Arc::new(components), newer_generations)
    }

    /// Constructs the gateway's dispatcher.
    pub(crate) fn dispatcher(&self) -> Arc<NodeDispatcher> {
        let chat_runner = ChatRunner::new(
            Arc::clone(&self.context),
            Arc::clone(&self.configuration),
            Arc::clone(&self.shard_client),
            Arc::clone(&self.engine_router),
            EngineClient::default(),
            Arc::clone(&self.running_calls),
        );
        let service_runner = ServiceRunner::new(
            Arc::clone(&self.context),
            Arc::clone(&self.configuration),
            Arc::clone(&self.shard_client),
            Arc::clone(&self.running_calls),
        );
        Arc::new(NodeDispatcher {
            context: Arc::clone(&self.context),
            configuration: Arc::clone(&self.configuration),
            shard_client: Arc::clone(&self.shard_client),
            chat_runner: Arc::new(chat_runner),
            service_runner: Arc::new(service_runner),
        })
    }
}

fn own_member(settings: &Settings, own_replica: ReplicaId, address: SocketAddr) -> Member {
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
        node: own_replica.node,
        incarnation: own_replica.incarnation,
        refutation: 0,
        state: MemberState::Alive,
        is_leaving: false,
        address,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        roles,
    }
}
