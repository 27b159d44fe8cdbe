//! Counters, gauges and histograms of an edge.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use sumacdrift_scheduling::RejectionReason;
use sumacdrift_telemetry::time_histogram;
use sumacdrift_types::ResultCode;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Metrics of an edge.
pub struct EdgeMetrics {
    pub(crate) calls: Counter,
    pub(crate) served: Counter,
    pub(crate) events: Counter,
    pub(crate) events_out_of_order: Counter,
    pub(crate) failed_attempts: Counter,
    pub(crate) foreign_responses: Counter,
    pub(crate) server_errors: Counter,
    pub(crate) engine_crashes: Counter,
    pub(crate) engines_suspected: Counter,
    pub(crate) suspicions_withdrawn: Counter,
    pub(crate) engines_not_examined: Counter,
    pub(crate) quarantined: Gauge,
    pub(crate) withheld: Counter,
    pub(crate) permits: Counter,
    pub(crate) permits_refused: Counter,
    pub(crate) cold_engines: Gauge,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) outliers: Gauge,
    pub(crate) outlier_ejections: Counter,
    pub(crate) resumptions: Counter,
    unconfirmed_ends: Family<OutcomeLabel, Counter>,
    pub(crate) caller_resumptions: Counter,
    pub(crate) unknown_origins: Counter,
    pub(crate) ambiguous_origins: Counter,
    pub(crate) inferred_origins: Counter,
    pub(crate) origins_by_request: Counter,
    pub(crate) origin_changes: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) body_memory: Gauge,
    pub(crate) caller_connections: Gauge,
    pub(crate) displaced_connections: Counter,
    pub(crate) refused_connections: Counter,
    pub(crate) configuration: Gauge,
    pub(crate) ledger_seconds: Histogram,
    pub(crate) quota_seconds: Histogram,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) stream_seconds: Histogram,
    pub(crate) buffered_seconds: Histogram,
    pub(crate) wait_seconds: Histogram,
    pub(crate) queued: Gauge,
    unsuccessful_calls: Family<CodeLabel, Counter>,
    queue_rejections: Family<ReasonLabel, Counter>,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        Self {
            calls: Counter::default(),
            served: Counter::default(),
            events: Counter::default(),
            events_out_of_order: Counter::default(),
            failed_attempts: Counter::default(),
            foreign_responses: Counter::default(),
            server_errors: Counter::default(),
            engine_crashes: Counter::default(),
            engines_suspected: Counter::default(),
            suspicions_withdrawn: Counter::default(),
            engines_not_examined: Counter::default(),
            quarantined: Gauge::default(),
            withheld: Counter::default(),
            permits: Counter::default(),
            permits_refused: Counter::default(),
            cold_engines: Gauge::default(),
            evacuated_zones: Gauge::default(),
            outliers: Gauge::default(),
            outlier_ejections: Counter::default(),
            resumptions: Counter::default(),
            unconfirmed_ends: Family::default(),
            caller_resumptions: Counter::default(),
            unknown_origins: Counter::default(),
            ambiguous_origins: Counter::default(),
            inferred_origins: Counter::default(),
            origins_by_request: Counter::default(),
            origin_changes: Counter::default(),
            in_flight: Gauge::default(),
            body_memory: Gauge::default(),
            caller_connections: Gauge::default(),
            displaced_connections: Counter::default(),
            refused_connections: Counter::default(),
            configuration: Gauge::default(),
            ledger_seconds: time_histogram(),
            quota_seconds: time_histogram(),
            first_event_seconds: time_histogram(),
            stream_seconds: time_histogram(),
            buffered_seconds: time_histogram(),
            wait_seconds: time_histogram(),
            queued: Gauge::default(),
            unsuccessful_calls: Family::default(),
            queue_rejections: Family::default(),
        }
    }
}

impl EdgeMetrics {
    /// Number of calls under way.
    pub fn calls_in_flight(&self) -> i64 {
        self.in_flight.get()
    }

    /// Number of engines that were suspected to have crashed.
    pub fn suspected_engines(&self) -> u64 {
        self.engines_suspected.get()
    }

    /// Number of engine crashes that were found under calls.
    pub fn engine_crashes(&self) -> u64 {
        self.engine_crashes.get()
    }

    /// Number of suspected engines that showed a sign of life later.
    pub fn withdrawn_suspicions(&self) -> u64 {
        self.suspicions_withdrawn.get()
    }

    /// Number of attempts that ended because an engine sent an event out of order.
    pub fn events_out_of_order(&self) -> u64 {
        self.events_out_of_order.get()
    }

    /// Registers the metrics under their public names.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("sumacdrift_edge");
        registry.register("calls", "Calls taken from callers", self.calls.clone());
        registry.register("served", "Calls answered by an engine to the end", self.served.clone());
        registry.register("events", "Events of streams given to callers", self.events.clone());
        registry.register(
            "events_out_of_order",
            "Attempts that ended because an engine sent an event out of order",
            self.events_out_of_order.clone(),
        );
        registry.register("failed_attempts", "Attempts that an engine failed", self.failed_attempts.clone());
        registry.register(
            "foreign_responses",
            "Responses of engines that don't name the call",
            self.foreign_responses.clone(),
        );
        registry.register(
            "server_errors",
            "Answers of engines with a status of 500 and above",
            self.server_errors.clone(),
        );
        registry.register(
            "engine_crashes",
            "Calls whose engine accepted no connections after it lost them",
            self.engine_crashes.clone(),
        );
        registry.register(
            "engines_suspected",
            "Calls whose engine may have crashed: it lost them and showed no sign of life at once",
            self.engines_suspected.clone(),
        );
        registry.register(
            "suspicions_withdrawn",
            "Suspected engines that showed a sign of life later",
            self.suspicions_withdrawn.clone(),
        );
        registry.register(
            "engines_not_examined",
            "Lost calls whose engine was not examined, as too many were at the same time",
            self.engines_not_examined.clone(),
        );
        registry.register(
            "quarantined",
            "Requests that are sent to no engine, as several crashed under them",
            self.quarantined.clone(),
        );
        registry.register(
            "withheld",
            "Calls that were not sent as their engine might not get them any more",
            self.withheld.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones whose engines get nothing new",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "outliers",
            "Engines that are put aside as they failed too much, or are being brought back",
            self.outliers.clone(),
        );
        registry.register(
            "outlier_ejections",
            "How often an engine was put aside as an outlier",
            self.outlier_ejections.clone(),
        );
        registry.register("permits", "Permits for calls to cold engines", self.permits.clone());
        registry.register("permits_refused", "Permits that were not given", self.permits_refused.clone());
        registry.register("cold_engines", "Engines that are cold", self.cold_engines.clone());
        registry.register("resumptions", "Streams taken up again", self.resumptions.clone());
        registry.register(
            "unconfirmed_ends",
            "Answers that ended with their connection, by outcome of the liveness check",
            self.unconfirmed_ends.clone(),
        );
        registry.register(
            "caller_resumptions",
            "Calls that resume a stream of an earlier call",
            self.caller_resumptions.clone(),
        );
        registry.register(
            "unknown_origins",
            "Calls that resume a stream of which it is not known where it began",
            self.unknown_origins.clone(),
        );
        registry.register(
            "ambiguous_origins",
            "Those of them whose request began at several origins",
            self.ambiguous_origins.clone(),
        );
        registry.register(
            "inferred_origins",
            "Calls that resume a stream whose origin was inferred",
            self.inferred_origins.clone(),
        );
        registry.register(
            "origins_by_request",
            "Calls that resume a stream without a name, whose origin the ledger found by the request",
            self.origins_by_request.clone(),
        );
        registry.register(
            "origin_changes",
            "Calls sent to an engine of another version than the one recorded when their turn began",
            self.origin_changes.clone(),
        );
        registry.register("under_way", "Calls under way", self.in_flight.clone());
        registry.register("body_memory_bytes", "Memory held for request bodies", self.body_memory.clone());
        let connections = self.caller_connections.clone();
        registry.register("caller_connections", "Open connections of callers", connections);
        let displaced = self.displaced_connections.clone();
        registry.register("displaced_connections", "Connections closed to make room for others", displaced);
        let refused = self.refused_connections.clone();
        registry.register("refused_connections", "Connections refused as all were in use", refused);
        registry.register("configuration", "Version of the configuration", self.configuration.clone());
        let times = [
            ("ledger_seconds", "From a turn's begin to the ledger's answer", &self.ledger_seconds),
            ("quota_seconds", "From a call of a tenant with a quota to its verdict", &self.quota_seconds),
            ("first_event_seconds", "From a stream's call to its first event", &self.first_event_seconds),
            ("stream_seconds", "From a stream's call to its end", &self.stream_seconds),
            ("wait_seconds", "How long calls waited for room before they were let in", &self.wait_seconds),
            ("plain_seconds", "From a plain call to its answer", &self.buffered_seconds),
        ];
        for (name, help, histogram) in times {
            registry.register(name, help, histogram.clone());
        }
        registry.register("waiting", "Calls that wait for room", self.queued.clone());
        registry.register(
            "no_room",
            "Calls refused for want of room, by reason",
            self.queue_rejections.clone(),
        );
        registry.register(
            "given_up",
            "Calls refused, failed or broken off, by result code",
            self.unsuccessful_calls.clone(),
        );
    }

    /// Calls received since the start.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Calls waiting in queues now.
    pub fn calls_waiting(&self) -> i64 {
        self.queued.get()
    }

    pub(crate) fn record_rejection(&self, reason: RejectionReason) {
        self.queue_rejections.get_or_create(&ReasonLabel { reason: reason.as_str() }).inc();
    }

    pub(crate) fn record_unconfirmed_end(&self, outcome: &'static str) {
        self.unconfirmed_ends.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn record_unsuccessful_call(&self, code: ResultCode) {
        self.unsuccessful_calls.get_or_create(&CodeLabel { code: code.number() }).inc();
    }
}

/// Increments a gauge when created and decrements it when dropped.
pub(crate) struct GaugeGuard(Gauge);

impl GaugeGuard {
    pub(crate) fn increment(gauge: &Gauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
