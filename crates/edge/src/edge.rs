//! State shared by all calls of an edge.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{Logger, info};
use sumacdrift_access::{ConfigurationAge, ConfigurationAgeLimits};
use sumacdrift_calls::EngineId;
use sumacdrift_http_server::ConnectionPhase;
use sumacdrift_request_memory::MemoryBudget;
use sumacdrift_routing::{
    CallerLimits, EndedEvacuation, EngineRegistry, EngineSpec, EntryChange, Evacuation, EvacuationChange,
    Outcome, RouteTable, Routes, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_storage::{LedgerClient, QuotaClient};
use sumacdrift_telemetry::RepeatedLineLimit;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, Mechanism, Timestamp};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::buffered::ResponseMemory;
use crate::caller_connections::{AcceptedConnection, CallerConnections, Displaced, NoRoom};
use crate::clock::Clock;
use crate::cold_permit::ColdTolerance;
use crate::engine_crash::{CrashTimeouts, RequestCrashes};
use crate::engine_observation::watch_closed_connections;
use crate::engine_pool::EnginePool;
use crate::event_steps::ServiceEventSteps;
use crate::metrics::EdgeMetrics;
use crate::route_durations::RouteDurations;
use crate::service_queues::ServiceQueues;
use crate::state_exchange::{ExchangeSchedule, subscribe_to_views};
use crate::view_continuity::ViewContinuity;
use crate::wire_format::WireFormat;

/// How long an engine is remembered after it left the directory.
pub(crate) const ENGINE_RETENTION: Duration = Duration::from_secs(30);
/// Consecutive failures that open an engine's circuit breaker.
const FAILURE_THRESHOLD: u32 = 2;
/// How long the circuit breaker stays open at first.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time for which the circuit breaker stays open.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time over which a recovered engine's share of the load rises to normal.
const SLOW_START: Duration = Duration::from_secs(1);

/// How long after the start calls wait for the first configuration.
const STARTUP_WAIT: Duration = Duration::from_millis(1000);
/// Ended connections to engines that have not been looked at. An engine's end closes all of its connections at once.
const CLOSED_CONNECTIONS: usize = 1024;

/// Settings of an edge.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// The node's name.
    pub node: String,
    /// Zone of the node, and the regions of all zones.
    pub location: Location,
    /// Relative cost of traffic to other zones and regions.
    pub prices: TrafficPrices,
    /// Address at which the node relays ledger requests for other nodes; `None` if it does not.
    pub relay: Option<SocketAddr>,
    /// Maximum age of the configuration for decisions about API keys.
    pub configuration_age_limits: ConfigurationAgeLimits,
    /// Tolerated excess over the configured call rate of cold engines.
    pub cold: ColdTolerance,
    /// Timeouts after a crash of an engine.
    pub crash_timeouts: CrashTimeouts,
    /// How long an engine serves on at least after it has announced its end.
    pub engine_drain_time: Duration,
    /// Mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
    /// Memory for the bodies of all requests, in bytes.
    pub body_memory_bytes: usize,
    /// Maximum number of callers' connections.
    pub caller_connections: usize,
}

/// Components of an edge.
#[allow(missing_docs)]
pub struct EdgeParts<D> {
    pub settings: EdgeSettings,
    pub wire_format: D,
    pub ledger: Arc<LedgerClient>,
    pub logger: Logger,
}

/// The state that all calls of an edge share.
pub struct Edge<D> {
    pub(crate) settings: EdgeSettings,
    pub(crate) wire_format: D,
    pub(crate) ledger: Arc<LedgerClient>,
    /// Ledger client for region-bound turns. It uses no relays, as those may be in other regions.
    region_bound_ledger: Arc<LedgerClient>,
    pub(crate) logger: Logger,
    pub(crate) clock: Clock,
    pub(crate) pool: Arc<EnginePool>,
    pub(crate) metrics: EdgeMetrics,
    routes: Mutex<Routes>,
    engines: Mutex<EngineRegistry>,
    route_durations: Mutex<RouteDurations>,
    event_steps: Mutex<ServiceEventSteps>,
    freshness: Mutex<ConfigurationAge>,
    engine_view: Mutex<ViewContinuity>,
    pub(crate) quotas: QuotaClient,
    pub(crate) crashes: RequestCrashes,
    pub(crate) body_memory: MemoryBudget,
    caller_connections: Arc<CallerConnections>,
    connection_log_limit: Mutex<RepeatedLineLimit>,
    pub(crate) response_memory: ResponseMemory,
    pub(crate) exchange_schedule: ExchangeSchedule,
    pub(crate) queues: ServiceQueues,
    /// True once a configuration is in force and, if it requires keys, its age is known.
    configured: watch::Sender<bool>,
    is_stopping: AtomicBool,
}

impl<D: WireFormat> Edge<D> {
    /// Creates an edge without configuration and engines.
    pub fn new(parts: EdgeParts<D>) -> Arc<Self> {
        let circuit_breaker = CircuitBreakerSettings {
            failure_threshold: FAILURE_THRESHOLD,
            initial_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_BACKOFF,
            slow_start: SLOW_START,
        };
        let disabled = parts.settings.disabled;
        let (closed_connections, closed) = mpsc::channel(CLOSED_CONNECTIONS);
        let (location, prices) = (parts.settings.location.clone(), parts.settings.prices);
        let region_bound_ledger = Arc::new(parts.ledger.without_relays());
        let edge = Arc::new(Self {
            quotas: QuotaClient::new(Arc::clone(&parts.ledger)),
            crashes: RequestCrashes::new(Arc::clone(&parts.ledger), parts.settings.crash_timeouts),
            body_memory: MemoryBudget::new(parts.settings.body_memory_bytes),
            caller_connections: Arc::new(CallerConnections::new(parts.settings.caller_connections)),
            connection_log_limit: Mutex::default(),
            response_memory: ResponseMemory::default(),
            settings: parts.settings,
            freshness: Mutex::default(),
            engine_view: Mutex::default(),
            wire_format: parts.wire_format,
            ledger: parts.ledger,
            region_bound_ledger,
            logger: parts.logger,
            clock: Clock::default(),
            pool: Arc::new(EnginePool::new(disabled, closed_connections)),
            metrics: EdgeMetrics::default(),
            routes: Mutex::default(),
            engines: Mutex::new(EngineRegistry::new(location, prices, disabled, circuit_breaker)),
            route_durations: Mutex::default(),
            event_steps: Mutex::default(),
            exchange_schedule: ExchangeSchedule::default(),
            queues: ServiceQueues::default(),
            configured: watch::Sender::new(false),
            is_stopping: AtomicBool::new(false),
        });
        subscribe_to_views(&edge);
        watch_closed_connections(&edge, closed);
        edge
    }

    /// Applies a configuration if it is newer than the current one, and returns whether it was.
    pub fn apply(&self, table: RouteTable, source: &'static str) -> bool {
        let (version, routes) = (table.version, table.routes());
        let (requires_keys, keys) = (table.access.requires_keys(), table.access.keys());
        let cold_limits = table.cold_limits();
        let has_ranks = table.has_ranks();
        let is_newer = self.routes().apply(table, self.clock.now());
        if is_newer {
            self.engines().set_cold_limits(cold_limits);
            self.queues.apply_configuration(has_ranks);
            if !requires_keys || self.configuration_age().is_some() {
                self.configured.send_replace(true);
            }
            self.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
            info!(self.logger, "configuration applied"; "event" => "configuration", "version" => version,
                "routes" => routes, "keys" => keys, "source" => source);
        }
        is_newer
    }

    /// Records that the store had no newer configuration than the current one at `as_of`.
    pub fn configuration_confirmed(&self, as_of: Instant) {
        // Confirmations from before the process started don't count.
        let Some(as_of) = self.clock.timestamp(as_of) else { return };
        self.freshness().confirm(as_of);
        if self.limits().is_some() {
            self.configured.send_replace(true);
        }
    }

    /// Records that the engines known here were those of the directory at `as_of`.
    pub fn confirm_engine_view(&self, as_of: Instant) {
        // Confirmations from before the process started don't count.
        let Some(as_of) = self.clock.timestamp(as_of) else { return };
        self.lock_engine_view().confirm(as_of);
    }

    /// How long the engines have been known without an interruption.
    pub(crate) fn engine_view(&self) -> ViewContinuity {
        *self.lock_engine_view()
    }

    /// Changes each time the configuration is confirmed.
    pub(crate) fn watch_confirmations(&self) -> watch::Receiver<bool> {
        self.configured.subscribe()
    }

    /// Time since the current configuration was last known to be the store's newest; `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness().age(self.clock.now())
    }

    /// Whether keys are required and the configuration was last confirmed longer ago than `after`.
    pub fn needs_confirmation(&self, after: Duration) -> bool {
        let requires_keys = self.routes().table().is_some_and(|table| table.access.requires_keys());
        requires_keys && self.configuration_age().is_none_or(|age| age > after)
    }

    /// Whether the configuration is too old to accept known keys.
    fn is_configuration_stale(&self) -> bool {
        self.settings.configuration_age_limits.known_key.is_some_and(|limit| self.needs_confirmation(limit))
    }

    /// Replaces the list of engines, after the directory was unreachable for `outage`.
    pub fn set_engines(&self, specs: Vec<EngineSpec>, outage: Duration, source: &'static str) {
        let now = self.clock.now();
        info!(self.logger, "engine list replaced"; "event" => "engines_listed", "engines" => specs.len(),
            "source" => source, "outage_ms" => outage.as_millis() as u64);
        let mut engines = self.engines();
        engines.replace_all(specs, outage, now);
        engines.evict_gone(now, ENGINE_RETENTION);
        engines.regroup_interchangeable(|engine| self.pool.is_connected(engine), now);
    }

    /// Adds or updates an engine.
    pub fn upsert_engine(&self, spec: EngineSpec) {
        let (id, is_draining, report) = (spec.id.clone(), spec.is_draining, spec.report);
        let (version, warmup_left) = (spec.version.clone(), spec.warmup_left);
        let now = self.clock.now();
        let (change, turned_cold) = {
            let mut engines = self.engines();
            let was_cold = engines.cold_limit(&id, now).is_some();
            let change = engines.upsert(spec, now);
            (change, !was_cold && engines.cold_limit(&id, now).is_some())
        };
        if turned_cold {
            info!(self.logger, "engine is cold"; "event" => "engine_cold", "engine" => %id, "report" => report,
                "reported_ms" => warmup_left.as_millis() as u64);
        }
        match change {
            EntryChange::Unchanged => {}
            EntryChange::Changed => {
                info!(self.logger, "engine changed"; "event" => "engine_changed", "engine" => %id,
                    "engine_version" => %version, "leaving" => is_draining);
            }
            EntryChange::Restarted => {
                info!(self.logger, "engine restarted"; "event" => "engine_started_again", "engine" => %id,
                    "engine_version" => %version, "start_unix_ms" => id.start().unix_millis, "report" => report,
                    "leaving" => is_draining);
            }
            EntryChange::EarlierIncarnationDraining => {
                info!(self.logger, "engine's earlier incarnation is draining";
                    "event" => "earlier_life_leaves", "engine" => %id,
                    "start_unix_ms" => id.start().unix_millis, "report" => report);
            }
        }
    }

    /// Number of a service's engines that accept new calls, as far as this edge knows.
    pub fn usable_engines(&self, service: &str) -> usize {
        self.engines().usable(service, self.clock.now())
    }

    /// Removes an engine that has left the directory.
    pub fn remove_engine(&self, id: &EngineId) {
        if self.engines().remove(id, self.clock.now()) {
            info!(self.logger, "engine removed"; "event" => "engine_gone", "engine" => %id);
        }
    }

    /// Withdraws an engine whose directory entry has become unreadable.
    pub fn withdraw_engine(&self, id: &EngineId) {
        if self.engines().withdraw(id, self.clock.now()) {
            info!(self.logger, "engine withdrawn"; "event" => "engine_withdrawn", "engine" => %id);
        }
    }

    /// Stops new calls to the engines of a zone.
    pub fn evacuate(&self, evacuation: Evacuation, source: &'static str) {
        let change = self.engines().begin_evacuation(evacuation, self.clock.now());
        self.report_evacuations(change, source);
    }

    /// Ends the evacuation of a zone.
    pub fn end_evacuation(&self, zone: &str, revision: u64, source: &'static str) {
        let change = self.engines().end_evacuation(zone, revision, self.clock.now());
        self.report_evacuations(change, source);
    }

    /// Applies a past end of a zone's evacuation, which this node may not have known of.
    pub fn apply_ended_evacuation(&self, ended: EndedEvacuation, source: &'static str) {
        let change = self.engines().apply_ended_evacuation(ended, self.clock.now());
        self.report_evacuations(change, source);
    }

    /// Replaces the evacuations by those in effect at directory revision `known_to`.
    pub fn set_evacuations(&self, all: Vec<Evacuation>, known_to: u64, source: &'static str) {
        let changes = self.engines().set_evacuations(all, known_to, self.clock.now());
        self.report_evacuations(changes, source);
    }

    fn report_evacuations(&self, changes: impl IntoIterator<Item = EvacuationChange>, source: &'static str) {
        let now = self.clock.now();
        for change in changes {
            let event = if change.is_evacuated { "evacuation_begun" } else { "evacuation_ended" };
            info!(self.logger, "zone evacuation changed"; "event" => event, "zone" => &*change.zone,
                "revision" => change.revision, "source" => source,
                "before_ms" => change.before.map(|before| now.since(before).as_millis() as u64),
                "ended_ms" => change.ended_ago.map(|ago| ago.as_millis() as u64));
        }
        let zones = self.engines().evacuated_zones();
        self.metrics.evacuated_zones.set(i64::try_from(zones).unwrap_or(i64::MAX));
    }

    /// Periodic maintenance: closes expired connections, drops outdated engine state, and updates gauges and
    /// outlier ejections.
    pub fn sweep(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut engines = self.engines();
        let cold = engines.cold_engines(now);
        self.metrics.cold_engines.set(i64::try_from(cold).unwrap_or(i64::MAX));
        let outliers = engines.ejected_engines(now);
        self.metrics.outliers.set(i64::try_from(outliers).unwrap_or(i64::MAX));
        let body_bytes = self.body_memory.held_bytes();
        self.metrics.body_memory.set(i64::try_from(body_bytes).unwrap_or(i64::MAX));
        let connections = self.caller_connections.count();
        self.metrics.caller_connections.set(i64::try_from(connections).unwrap_or(i64::MAX));
        self.pool.sweep(|engine| engines.spec(engine).is_some());
        engines.regroup_interchangeable(|engine| self.pool.is_connected(engine), now);
        drop(engines);
        self.update_outliers(now);
        self.expire_quarantine();
    }

    /// The edge's counters, gauges and histograms.
    pub fn metrics(&self) -> &EdgeMetrics {
        &self.metrics
    }

    /// Limits for callers; `None` until a configuration is in force.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.routes().table().map(|table| table.limits)
    }

    /// Limits for callers. Shortly after the start this waits for the first configuration: after a restart of all
    /// nodes it arrives soon, and a rejected caller has few retries.
    pub(crate) async fn await_limits(&self) -> Option<CallerLimits> {
        let time_left = STARTUP_WAIT.saturating_sub(self.clock.now().since(Timestamp::default()));
        let may_wait = self.settings.disabled.is_enabled(Mechanism::StartWait) && !time_left.is_zero();
        if may_wait && !*self.configured.borrow() {
            let mut configured = self.configured.subscribe();
            // A timeout is ignored: the result shows whether a configuration is in force.
            let _ =
                tokio::time::timeout(time_left, configured.wait_for(|is_configured| *is_configured)).await;
        }
        self.limits()
    }

    /// Accepts a caller's connection; `None` if it has to be closed, as all connections are in use.
    pub(crate) fn accept_caller(&self) -> Option<AcceptedConnection> {
        let accepted = self.caller_connections.accept();
        match &accepted {
            Ok((_, Displaced::Nothing)) => {}
            Ok((_, Displaced::Connection(phase))) => {
                self.metrics.displaced_connections.inc();
                self.report_connection_limit("closed", Some(*phase));
            }
            Err(NoRoom) => {
                self.metrics.refused_connections.inc();
                self.report_connection_limit("refused", None);
            }
        }
        accepted.ok().map(|(accepted, _)| accepted)
    }

    /// Logs that a connection was closed or refused, unless one was logged shortly before.
    fn report_connection_limit(&self, outcome: &'static str, phase: Option<ConnectionPhase>) {
        let mut limit = self.connection_log_limit.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(suppressed) = limit.try_log(Instant::now()) else { return };
        info!(self.logger, "all connections are in use"; "event" => "connection_limit", "outcome" => outcome,
            "phase" => ?phase, "connections" => self.caller_connections.count(),
            "limit" => self.settings.caller_connections, "left_out" => suppressed);
    }

    /// Whether the edge is ready for new callers. It is not while it is isolated from the ledger, as other edges
    /// can then serve programs.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.routes().table().is_some() && !self.is_configuration_stale();
        !self.is_stopping() && is_configured && !self.ledger.is_isolated()
    }

    /// Begins shutdown: the edge reports that it is not ready, and closes connections after their current request.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Whether shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// The ledger client for a call with these allowed regions.
    pub(crate) fn ledger_for(&self, regions: &AllowedRegions) -> &Arc<LedgerClient> {
        if regions.is_unrestricted() {
            return &self.ledger;
        }
        self.region_bound_ledger.adopt_map(&self.ledger.map());
        &self.region_bound_ledger
    }

    pub(crate) fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn freshness(&self) -> MutexGuard<'_, ConfigurationAge> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_engine_view(&self) -> MutexGuard<'_, ViewContinuity> {
        self.engine_view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn route_durations(&self) -> MutexGuard<'_, RouteDurations> {
        self.route_durations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn event_steps(&self) -> MutexGuard<'_, ServiceEventSteps> {
        self.event_steps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn engines(&self) -> MutexGuard<'_, EngineRegistry> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the outcome of a call at an engine.
    pub(crate) fn record_outcome(&self, engine: &EngineId, outcome: Outcome) {
        let now = self.clock.now();
        let has_opened = self.engines().record_outcome(engine, outcome, now);
        if has_opened {
            info!(self.logger, "circuit breaker of an engine opened"; "event" => "engine_avoided", "engine" => %engine,
                "outcome" => ?outcome);
        }
        if matches!(outcome, Outcome::Faulty | Outcome::Unreachable) {
            self.update_outliers(now);
        }
    }
}
