//! The configuration in force on this node and how it gets here.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, Weak};
use std::time::Duration;

use rand::Rng;
use slog::{error, info, warn};
use sumacdrift_config::{Bundle, InForce};
use sumacdrift_platform::{BUNDLE_OBJECT, ObjectClient, PlatformError};
use sumacdrift_proto::{FleetReply, FleetRequest, Request, Response};
use sumacdrift_types::{EngineName, Generation, NodeId, ZoneName};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::engine_owner::EngineOwner;
use crate::fleet::Fleet;

/// How long a peer is given to send its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// First pause after trouble with the platform.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after trouble with the platform.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Nodes of a zone that watch the platform; the others learn from them.
const WATCHERS_PER_ZONE: usize = 2;
/// How often a node that does not watch looks whether it should.
const WATCHER_CHECK: Duration = Duration::from_secs(1);

/// The configuration in force.
pub(crate) struct ConfigurationStore {
    context: Arc<Context>,
    in_force: RwLock<InForce<Arc<Bundle>>>,
    fleet: RwLock<Weak<Fleet>>,
    owner: RwLock<Weak<EngineOwner>>,
}

impl ConfigurationStore {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            in_force: RwLock::default(),
            fleet: RwLock::new(Weak::new()),
            owner: RwLock::new(Weak::new()),
        }
    }

    /// Connects the store with those that must hear of a new configuration.
    pub(crate) fn connect(&self, fleet: &Arc<Fleet>, owner: &Arc<EngineOwner>) {
        *self.fleet.write().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(fleet);
        *self.owner.write().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(owner);
    }

    /// The configuration in force.
    pub(crate) fn current(&self) -> Option<Arc<Bundle>> {
        self.in_force.read().unwrap_or_else(PoisonError::into_inner).current().cloned()
    }

    /// The generation in force; 0 where there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.current().map_or(Generation(0), |bundle| bundle.generation)
    }

    /// An engine's address.
    pub(crate) fn address_of(&self, engine: &EngineName) -> Option<SocketAddr> {
        let bundle = self.current()?;
        bundle.engines().find(|(_, one)| one.name == *engine).map(|(_, one)| one.address)
    }

    /// An engine's zone.
    pub(crate) fn zone_of(&self, engine: &EngineName) -> Option<ZoneName> {
        let bundle = self.current()?;
        bundle.engines().find(|(_, one)| one.name == *engine).map(|(_, one)| one.zone.clone())
    }

    /// Puts a bundle in force if it is newer than the present one.
    pub(crate) fn offer(&self, source: &str, text: &str) -> bool {
        let bundle = match Bundle::parse(source, text) {
            Ok(bundle) => Arc::new(bundle),
            Err(mistakes) => {
                error!(self.context.logger, "bundle is not valid and was not put in force";
                    "source" => source, "mistakes" => mistakes.to_string());
                return false;
            }
        };
        let generation = bundle.generation;
        if !self.in_force.write().unwrap_or_else(PoisonError::into_inner).offer(bundle) {
            return false;
        }
        info!(self.context.logger, "configuration is in force";
            "generation" => generation.0, "source" => source);
        self.context.metrics.generation.set(generation.0 as i64);
        if let Some(owner) = self.owner.read().unwrap_or_else(PoisonError::into_inner).upgrade() {
            owner.reconfigure();
        }
        if let Some(fleet) = self.fleet().as_ref() {
            fleet.set_generation(generation);
        }
        true
    }

    /// Fetches newer configurations from the peers that are reported to have them.
    pub(crate) async fn follow_peers(
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
                self.fetch_from(peer).await;
            }
        }
    }

    /// Watches the platform's object API while this node is one of its zone's watchers.
    pub(crate) async fn follow_platform(self: Arc<Self>, client: ObjectClient) {
        let mut version = 0;
        let mut pause = FIRST_PAUSE;
        loop {
            let watch = async {
                if !self.is_watcher() {
                    tokio::time::sleep(WATCHER_CHECK).await;
                    return Ok(None);
                }
                match version {
                    0 => client.read(BUNDLE_OBJECT).await.map(Some),
                    _ => client.watch(BUNDLE_OBJECT, version).await,
                }
            };
            let outcome = tokio::select! {
                () = self.context.stopped.cancelled() => return,
                outcome = watch => outcome,
            };
            match outcome {
                Ok(object) => {
                    pause = FIRST_PAUSE;
                    if let Some(object) = object {
                        version = object.version;
                        self.offer("platform", &object.value);
                    }
                }
                Err(PlatformError::Expired) => version = 0,
                Err(error) => {
                    warn!(self.context.logger, "platform is in trouble"; "error" => error.to_string(),
                        "pause_seconds" => pause.as_secs_f64());
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(pause.mul_f64(jitter)).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    async fn fetch_from(&self, peer: NodeId) {
        let Some(address) = self.fleet().and_then(|fleet| fleet.address_of(peer)) else { return };
        let request = Request::Fleet(FleetRequest::FetchBundle);
        let answer = self.context.transport.request(address, request, FETCH_TIMEOUT).await;
        if let Ok(Response::Fleet(FleetReply::Bundle { text, .. })) = answer {
            self.offer(&format!("node {peer}"), &text);
        }
    }

    /// Whether this node is among the first of its zone, by number, that are alive.
    fn is_watcher(&self) -> bool {
        let Some(fleet) = self.fleet() else { return true };
        let own = self.context.own.node;
        let zone = &self.context.settings.zone;
        let before = fleet
            .members()
            .into_iter()
            .filter(|member| member.zone == *zone && member.node < own && member.is_usable());
        before.count() < WATCHERS_PER_ZONE
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.fleet.read().unwrap_or_else(PoisonError::into_inner).upgrade()
    }
}
