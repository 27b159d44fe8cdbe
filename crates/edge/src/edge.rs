//! What all calls of an edge share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{Logger, info};
use sumacdrift_access::{Knowledge, KnowledgeLimits};
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{
    CallerLimits, EngineBook, EngineSpec, EntryChange, Evacuation, EvacuationChange, Outcome, RouteTable,
    Routes, TrafficPrices,
};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_storage::{LedgerClient, QuotaClient};
use sumacdrift_types::{AllowedRegions, Location, Mechanism, SwitchedOff, Timestamp};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::cold_permit::ColdTolerance;
use crate::dialect::Dialect;
use crate::engine_pool::EnginePool;
use crate::fleet_news::{TellTimes, follow_views};
use crate::metrics::EdgeMetrics;
use crate::service_queues::ServiceQueues;
use crate::usual_times::UsualTimes;

/// How long an engine that is gone is remembered.
const FORGET_ENGINE_AFTER: Duration = Duration::from_secs(30);
/// Failures in a row after which an engine is avoided.
const FAILURES_TO_AVOID: u32 = 2;
/// First time for which an engine is avoided.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(500);
/// Longest time for which an engine is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(4);
/// Time over which an engine that recovered gets its full share.
const SLOW_START: Duration = Duration::from_secs(1);

/// Time after the start for which calls wait for the first configuration.
const START_PATIENCE: Duration = Duration::from_millis(1000);

/// Settings of an edge.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// Name of the node.
    pub node: String,
    /// Where the node stands.
    pub location: Location,
    /// What bytes to other zones and regions are worth.
    pub prices: TrafficPrices,
    /// Where the node passes questions to the ledger on for others; `None` where it does not.
    pub relay: Option<SocketAddr>,
    /// How old what is known of keys may be.
    pub knowledge: KnowledgeLimits,
    /// How much more than told cold engines may get.
    pub cold: ColdTolerance,
    /// Mechanisms that are switched off.
    pub off: SwitchedOff,
}

/// What an edge is made of.
pub struct EdgeParts<D> {
    /// Settings.
    pub settings: EdgeSettings,
    /// The wire format.
    pub dialect: D,
    /// The ledger.
    pub ledger: Arc<LedgerClient>,
    /// Where decisions are logged.
    pub logger: Logger,
}

/// The state that all calls of an edge share.
pub struct Edge<D> {
    pub(crate) settings: EdgeSettings,
    pub(crate) dialect: D,
    pub(crate) ledger: Arc<LedgerClient>,
    /// Asks the ledger for turns that are bound to regions: other edges, which may stand elsewhere, pass nothing of them on.
    bound_ledger: Arc<LedgerClient>,
    pub(crate) logger: Logger,
    pub(crate) clock: Clock,
    pub(crate) pool: Arc<EnginePool>,
    pub(crate) metrics: EdgeMetrics,
    routes: Mutex<Routes>,
    book: Mutex<EngineBook>,
    usual_times: Mutex<UsualTimes>,
    knowledge: Mutex<Knowledge>,
    pub(crate) quotas: QuotaClient,
    pub(crate) tell_times: TellTimes,
    pub(crate) queues: ServiceQueues,
    /// Whether a configuration is in force, and calls with keys can be decided upon.
    configured: watch::Sender<bool>,
    is_stopping: AtomicBool,
}

impl<D: Dialect> Edge<D> {
    /// An edge that knows no configuration and no engines.
    pub fn new(parts: EdgeParts<D>) -> Arc<Self> {
        let health = HealthSettings {
            failures_to_open: FAILURES_TO_AVOID,
            first_pause: FIRST_AVOIDANCE,
            max_pause: LONGEST_AVOIDANCE,
            slow_start: SLOW_START,
        };
        let off = parts.settings.off;
        let (location, prices) = (parts.settings.location.clone(), parts.settings.prices);
        let bound_ledger = Arc::new(parts.ledger.without_relays());
        let edge = Arc::new(Self {
            settings: parts.settings,
            quotas: QuotaClient::new(Arc::clone(&parts.ledger)),
            knowledge: Mutex::default(),
            dialect: parts.dialect,
            ledger: parts.ledger,
            bound_ledger,
            logger: parts.logger,
            clock: Clock::default(),
            pool: Arc::new(EnginePool::new(off)),
            metrics: EdgeMetrics::default(),
            routes: Mutex::default(),
            book: Mutex::new(EngineBook::new(location, prices, off, health)),
            usual_times: Mutex::default(),
            tell_times: TellTimes::default(),
            queues: ServiceQueues::default(),
            configured: watch::Sender::new(false),
            is_stopping: AtomicBool::new(false),
        });
        follow_views(&edge);
        edge
    }

    /// Puts a configuration in force if it is newer.
    pub fn apply(&self, table: RouteTable, source: &'static str) -> bool {
        let (version, routes) = (table.version, table.routes());
        let (requires_keys, keys) = (table.access.requires_keys(), table.access.keys());
        let cold_limits = table.cold_limits();
        let has_ranks = table.has_ranks();
        let is_newer = self.routes().apply(table);
        if is_newer {
            self.book().set_cold_limits(cold_limits);
            self.queues.configured(has_ranks);
            if !requires_keys || self.configuration_age().is_some() {
                self.configured.send_replace(true);
            }
            self.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
            info!(self.logger, "configuration in force"; "event" => "configuration", "version" => version,
                "routes" => routes, "keys" => keys, "source" => source);
        }
        is_newer
    }

    /// The configuration in force, and any older one, was the store's newest at this time.
    pub fn configuration_confirmed(&self, as_of: Instant) {
        // What is older than this process is of no use to it.
        let Some(as_of) = self.clock.timestamp(as_of) else { return };
        self.knowledge().confirm(as_of);
        if self.limits().is_some() {
            self.configured.send_replace(true);
        }
    }

    /// Tells whenever the configuration was confirmed.
    pub(crate) fn confirmations(&self) -> watch::Receiver<bool> {
        self.configured.subscribe()
    }

    /// How long ago the configuration in force was known to be the store's newest; `None` where it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.knowledge().age(self.clock.now())
    }

    /// Whether keys are checked by a configuration that was confirmed longer ago than this.
    pub fn needs_confirmation(&self, after: Duration) -> bool {
        let requires_keys = self.routes().table().is_some_and(|table| table.access.requires_keys());
        requires_keys && self.configuration_age().is_none_or(|age| age > after)
    }

    /// Whether calls with keys are refused because too little is known of them.
    fn is_out_of_date(&self) -> bool {
        self.settings.knowledge.known_key.is_some_and(|limit| self.needs_confirmation(limit))
    }

    /// Takes in the whole list of engines, after the directory was out of reach for a time.
    pub fn set_engines(&self, specs: Vec<EngineSpec>, outage: Duration, source: &'static str) {
        let now = self.clock.now();
        info!(self.logger, "engines listed"; "event" => "engines_listed", "engines" => specs.len(),
            "source" => source, "outage_ms" => outage.as_millis() as u64);
        let mut book = self.book();
        book.replace_all(specs, outage, now);
        book.forget_gone(now, FORGET_ENGINE_AFTER);
        book.settle(|engine| self.pool.is_connected(engine), now);
    }

    /// Takes in one engine.
    pub fn upsert_engine(&self, spec: EngineSpec) {
        let (id, is_leaving, report) = (spec.id.clone(), spec.is_leaving, spec.report);
        match self.book().upsert(spec, self.clock.now()) {
            EntryChange::Nothing => {}
            EntryChange::Changed => {
                info!(self.logger, "engine changed"; "event" => "engine_changed", "engine" => %id,
                    "leaving" => is_leaving);
            }
            EntryChange::StartedAgain => {
                info!(self.logger, "engine started again"; "event" => "engine_started_again", "engine" => %id,
                    "start_unix_ms" => id.start().unix_millis, "report" => report, "leaving" => is_leaving);
            }
            EntryChange::EarlierLifeLeaves => {
                info!(self.logger, "an earlier life of an engine says that it leaves";
                    "event" => "earlier_life_leaves", "engine" => %id,
                    "start_unix_ms" => id.start().unix_millis, "report" => report);
            }
        }
    }

    /// An engine has left the directory.
    pub fn remove_engine(&self, id: &EngineId) {
        if self.book().remove(id, self.clock.now()) {
            info!(self.logger, "engine gone"; "event" => "engine_gone", "engine" => %id);
        }
    }

    /// The directory's entry of an engine can't be read any more.
    pub fn withdraw_engine(&self, id: &EngineId) {
        if self.book().withdraw(id, self.clock.now()) {
            info!(self.logger, "engine withdrawn"; "event" => "engine_withdrawn", "engine" => %id);
        }
    }

    /// Engines of a zone get nothing new from now on.
    pub fn evacuate(&self, evacuation: Evacuation, source: &'static str) {
        let change = self.book().evacuate(evacuation, self.clock.now());
        self.evacuations_changed(change, source);
    }

    /// An evacuation was taken back.
    pub fn end_evacuation(&self, zone: &str, revision: u64, source: &'static str) {
        let change = self.book().end_evacuation(zone, revision, self.clock.now());
        self.evacuations_changed(change, source);
    }

    /// Takes in all evacuations that there were at a revision of the directory.
    pub fn set_evacuations(&self, all: Vec<Evacuation>, known_to: u64, source: &'static str) {
        let changes = self.book().set_evacuations(all, known_to, self.clock.now());
        self.evacuations_changed(changes, source);
    }

    fn evacuations_changed(&self, changes: impl IntoIterator<Item = EvacuationChange>, source: &'static str) {
        let now = self.clock.now();
        for change in changes {
            let event = if change.is_evacuated { "evacuation_begun" } else { "evacuation_ended" };
            info!(self.logger, "evacuation of a zone"; "event" => event, "zone" => &*change.zone,
                "revision" => change.revision, "source" => source,
                "before_ms" => change.before.map(|before| now.since(before).as_millis() as u64));
        }
        let zones = self.book().evacuated_zones();
        self.metrics.evacuated_zones.set(i64::try_from(zones).unwrap_or(i64::MAX));
    }

    /// Closes connections that are no longer of use, and forgets what no longer matters of engines.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut book = self.book();
        let cold = book.cold_engines(now);
        self.metrics.cold_engines.set(i64::try_from(cold).unwrap_or(i64::MAX));
        let outliers = book.engines_put_aside(now);
        self.metrics.outliers.set(i64::try_from(outliers).unwrap_or(i64::MAX));
        self.pool.sweep(|engine| book.spec(engine).is_some());
        book.settle(|engine| self.pool.is_connected(engine), now);
        drop(book);
        self.judge_outliers(now);
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &EdgeMetrics {
        &self.metrics
    }

    /// Limits for callers, once a configuration is in force.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.routes().table().map(|table| table.limits)
    }

    /// Limits for callers. While the edge has only just started they are waited for: where all nodes come back at
    /// once the configuration is there within a moment, and a caller that is turned away has few tries.
    pub(crate) async fn limits_soon(&self) -> Option<CallerLimits> {
        let patience = START_PATIENCE.saturating_sub(self.clock.now().since(Timestamp::default()));
        let may_wait = self.settings.off.allows(Mechanism::StartWait) && !patience.is_zero();
        if may_wait && !*self.configured.borrow() {
            let mut configured = self.configured.subscribe();
            // The end of the time shows below.
            let _ = tokio::time::timeout(patience, configured.wait_for(|is_known| *is_known)).await;
        }
        self.limits()
    }

    /// Whether the edge takes new callers: not while nobody answers it, as programs are served by others then.
    pub fn is_ready(&self) -> bool {
        let knows_enough = self.routes().table().is_some() && !self.is_out_of_date();
        !self.is_stopping() && knows_enough && !self.ledger.is_isolated()
    }

    /// Takes no new callers from now on.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Whether the edge is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// The ledger for a call that may be served and kept in these regions.
    pub(crate) fn ledger_for(&self, regions: &AllowedRegions) -> &Arc<LedgerClient> {
        if regions.are_all() {
            return &self.ledger;
        }
        self.bound_ledger.learn_map(&self.ledger.map());
        &self.bound_ledger
    }

    pub(crate) fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn usual_times(&self) -> MutexGuard<'_, UsualTimes> {
        self.usual_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, EngineBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call at an engine ended.
    pub(crate) fn engine_ended(&self, engine: &EngineId, outcome: Outcome) {
        let now = self.clock.now();
        let is_avoided = self.book().ended(engine, outcome, now);
        if is_avoided {
            info!(self.logger, "engine avoided"; "event" => "engine_avoided", "engine" => %engine,
                "outcome" => ?outcome);
        }
        if matches!(outcome, Outcome::Faulty | Outcome::Unreachable) {
            self.judge_outliers(now);
        }
    }
}
