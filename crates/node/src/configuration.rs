//! The active configuration, and fetching newer ones from the platform and from peers.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, Weak};
use std::time::Duration;

use rand::Rng;
use slog::{error, info, warn};
use sumacdrift_config::{Bundle, CurrentConfiguration};
use sumacdrift_platform::{BUNDLE_OBJECT, ObjectClient, PlatformError};
use sumacdrift_proto::{FleetReply, FleetRequest, Request, Response};
use sumacdrift_types::{EngineName, Generation, NodeId, ZoneName};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::engine_owner::EngineOwner;
use crate::fleet::Fleet;

const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// First backoff after a failed request to the platform; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Nodes per zone that watch the platform. Other nodes fetch the configuration from peers.
const WATCHERS_PER_ZONE: usize = 2;
/// How often a non-watcher checks whether it has become a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Holds the active configuration.
pub(crate) struct ConfigurationStore {
    context: Arc<Context>,
    current: RwLock<CurrentConfiguration<Arc<Bundle>>>,
    fleet: RwLock<Weak<Fleet>>,
    engine_owner: RwLock<Weak<EngineOwner>>,
}

impl ConfigurationStore {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            current: RwLock::default(),
            fleet: RwLock::new(Weak::new()),
            engine_owner: RwLock::new(Weak::new()),
        }
    }

    /// Sets the components that are notified of a new configuration.
    pub(crate) fn connect(&self, fleet: &Arc<Fleet>, engine_owner: &Arc<EngineOwner>) {
        *self.fleet.write().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(fleet);
        *self.engine_owner.write().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(engine_owner);
    }

    /// `None` until a first configuration has been applied.
    pub(crate) fn current(&self) -> Option<Arc<Bundle>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).current().cloned()
    }

    /// Generation of the active configuration; 0 if there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.current().map_or(Generation(0), |bundle| bundle.generation)
    }

    pub(crate) fn address_of(&self, engine: &EngineName) -> Option<SocketAddr> {
        let bundle = self.current()?;
        bundle.engines().find(|(_, candidate)| candidate.name == *engine).map(|(_, found)| found.address)
    }

    pub(crate) fn zone_of(&self, engine: &EngineName) -> Option<ZoneName> {
        let bundle = self.current()?;
        bundle.engines().find(|(_, candidate)| candidate.name == *engine).map(|(_, found)| found.zone.clone())
    }

    /// Applies the bundle if it is valid and newer than the active one. Returns whether it was applied.
    pub(crate) fn apply_if_newer(&self, source: &str, text: &str) -> bool {
        let bundle = match Bundle::parse(source, text) {
            Ok(bundle) => Arc::new(bundle),
            Err(errors) => {
                error!(self.context.logger, "rejected an invalid bundle";
                    "source" => source, "mistakes" => errors.to_string());
                return false;
            }
        };
        let generation = bundle.generation;
        if !self.current.write().unwrap_or_else(PoisonError::into_inner).replace_if_newer(bundle) {
            return false;
        }
        info!(self.context.logger, "applied a new configuration";
            "generation" => generation.0, "source" => source);
        self.context.metrics.generation.set(generation.0 as i64);
        if let Some(engine_owner) = self.engine_owner.read().unwrap_or_else(PoisonError::into_inner).upgrade()
        {
            engine_owner.reconfigure();
        }
        if let Some(fleet) = self.fleet().as_ref() {
            fleet.set_generation(generation);
        }
        true
    }

    /// Fetches configurations from peers that announced a newer generation.
    pub(crate) async fn watch_peers(
        self: Arc<Self>,
        mut newer: mpsc::UnboundedReceiver<(NodeId, Generation)>,
    ) {
        loop {
            let reported = tokio::select! {
                () = self.context.stopped.cancelled() => return,
                reported = newer.recv() => reported,
            };
            let Some((peer, generation)) = reported else { return };
            if generation > self.generation() {
                self.fetch_bundle_from(peer).await;
            }
        }
    }

    /// Watches the platform's object API while this node is one of its zone's watchers.
    pub(crate) async fn watch_platform(self: Arc<Self>, object_client: ObjectClient) {
        let mut version = 0;
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let watch = async {
                if !self.is_platform_watcher() {
                    tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
                    return Ok(None);
                }
                match version {
                    0 => object_client.read(BUNDLE_OBJECT).await.map(Some),
                    _ => object_client.watch(BUNDLE_OBJECT, version).await,
                }
            };
            let outcome = tokio::select! {
                () = self.context.stopped.cancelled() => return,
                outcome = watch => outcome,
            };
            match outcome {
                Ok(object) => {
                    backoff = INITIAL_BACKOFF;
                    if let Some(object) = object {
                        version = object.version;
                        self.apply_if_newer("platform", &object.value);
                    }
                }
                Err(PlatformError::Expired) => version = 0,
                Err(error) => {
                    warn!(self.context.logger, "request to the platform failed"; "error" => error.to_string(),
                        "pause_seconds" => backoff.as_secs_f64());
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(backoff.mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn fetch_bundle_from(&self, peer: NodeId) {
        let Some(address) = self.fleet().and_then(|fleet| fleet.address_of(peer)) else { return };
        let request = Request::Fleet(FleetRequest::FetchBundle);
        let answer = self.context.transport.request(address, request, FETCH_TIMEOUT).await;
        if let Ok(Response::Fleet(FleetReply::Bundle { text, .. })) = answer {
            self.apply_if_newer(&format!("node {peer}"), &text);
        }
    }

    /// Whether this node is among the lowest-numbered usable nodes of its zone.
    fn is_platform_watcher(&self) -> bool {
        let Some(fleet) = self.fleet() else { return true };
        let own_node = self.context.own_replica.node;
        let zone = &self.context.settings.zone;
        let lower_numbered = fleet
            .members()
            .into_iter()
            .filter(|member| member.zone == *zone && member.node < own_node && member.is_usable());
        lower_numbered.count() < WATCHERS_PER_ZONE
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.fleet.read().unwrap_or_else(PoisonError::into_inner).upgrade()
    }
}
