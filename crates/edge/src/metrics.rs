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

/// Metrics of an edge.
pub struct EdgeMetrics {
    pub(crate) calls: Counter,
    pub(crate) served: Counter,
    pub(crate) events: Counter,
    pub(crate) failed_attempts: Counter,
    pub(crate) server_errors: Counter,
    pub(crate) withheld: Counter,
    pub(crate) permits: Counter,
    pub(crate) permits_refused: Counter,
    pub(crate) cold_engines: Gauge,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) outliers: Gauge,
    pub(crate) outlier_ejections: Counter,
    pub(crate) resumptions: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) configuration: Gauge,
    pub(crate) ledger_seconds: Histogram,
    pub(crate) quota_seconds: Histogram,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) stream_seconds: Histogram,
    pub(crate) buffered_seconds: Histogram,
    pub(crate) wait_seconds: Histogram,
    pub(crate) queued: Gauge,
    given_up: Family<CodeLabel, Counter>,
    queue_rejections: Family<ReasonLabel, Counter>,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        Self {
            calls: Counter::default(),
            served: Counter::default(),
            events: Counter::default(),
            failed_attempts: Counter::default(),
            server_errors: Counter::default(),
            withheld: Counter::default(),
            permits: Counter::default(),
            permits_refused: Counter::default(),
            cold_engines: Gauge::default(),
            evacuated_zones: Gauge::default(),
            outliers: Gauge::default(),
            outlier_ejections: Counter::default(),
            resumptions: Counter::default(),
            in_flight: Gauge::default(),
            configuration: Gauge::default(),
            ledger_seconds: time_histogram(),
            quota_seconds: time_histogram(),
            first_event_seconds: time_histogram(),
            stream_seconds: time_histogram(),
            buffered_seconds: time_histogram(),
            wait_seconds: time_histogram(),
            queued: Gauge::default(),
            given_up: Family::default(),
            queue_rejections: Family::default(),
        }
    }
}

impl EdgeMetrics {
    /// Registers the metrics under their public names.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("sumacdrift_edge");
        registry.register("calls", "Calls received from callers", self.calls.clone());
        registry.register("served", "Calls whose response an engine completed", self.served.clone());
        registry.register("events", "Stream events forwarded to callers", self.events.clone());
        registry.register("failed_attempts", "Attempts that failed", self.failed_attempts.clone());
        registry.register(
            "server_errors",
            "Engine responses with a status of 500 or above",
            self.server_errors.clone(),
        );
        registry.register(
            "withheld",
            "Calls not sent because their engine could no longer receive them",
            self.withheld.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones whose engines get no new calls",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "outliers",
            "Engines ejected as outliers or returning from ejection",
            self.outliers.clone(),
        );
        registry.register("outlier_ejections", "Outlier ejections", self.outlier_ejections.clone());
        registry.register("permits", "Permits granted for calls to cold engines", self.permits.clone());
        registry.register(
            "permits_refused",
            "Permits denied for calls to cold engines",
            self.permits_refused.clone(),
        );
        registry.register("cold_engines", "Cold engines", self.cold_engines.clone());
        registry.register("resumptions", "Streams resumed after a failure", self.resumptions.clone());
        registry.register("under_way", "Calls in flight", self.in_flight.clone());
        registry.register(
            "configuration",
            "Version of the configuration in force",
            self.configuration.clone(),
        );
        let times = [
            ("ledger_seconds", "Time to begin a turn in the ledger", &self.ledger_seconds),
            ("quota_seconds", "Time to check a tenant's quota", &self.quota_seconds),
            (
                "first_event_seconds",
                "Time from accepting a streamed call to its first event",
                &self.first_event_seconds,
            ),
            ("stream_seconds", "Time from accepting a streamed call to its end", &self.stream_seconds),
            ("wait_seconds", "Time in the queue of dispatched calls", &self.wait_seconds),
            ("plain_seconds", "Time from accepting a buffered call to its response", &self.buffered_seconds),
        ];
        for (name, help, histogram) in times {
            registry.register(name, help, histogram.clone());
        }
        registry.register("waiting", "Calls waiting in queues", self.queued.clone());
        registry.register("no_room", "Calls rejected by queues, by reason", self.queue_rejections.clone());
        registry.register(
            "given_up",
            "Calls rejected, failed or aborted, by result code",
            self.given_up.clone(),
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

    pub(crate) fn record_given_up(&self, code: ResultCode) {
        self.given_up.get_or_create(&CodeLabel { code: code.number() }).inc();
    }
}

/// Increments a gauge until it is dropped.
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
