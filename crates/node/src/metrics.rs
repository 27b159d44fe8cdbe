//! Prometheus metrics.

use std::sync::atomic::{AtomicI64, AtomicU64};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the smallest latency bucket, in seconds.
const SMALLEST_BUCKET: f64 = 0.000_5;
const BUCKET_RATIO: f64 = 2.0;
/// The largest bucket ends at about 17 minutes.
const BUCKET_COUNT: u16 = 22;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: u32,
}

type IntegerGauge = Gauge<i64, AtomicI64>;
type IntegerCounter = Counter<u64, AtomicU64>;

/// Prometheus metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) turns: IntegerCounter,
    pub(crate) replays: IntegerCounter,
    pub(crate) retries: IntegerCounter,
    pub(crate) output_tokens: IntegerCounter,
    pub(crate) prompt_tokens: IntegerCounter,
    pub(crate) cached_tokens: IntegerCounter,
    pub(crate) service_calls: IntegerCounter,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) turn_seconds: Histogram,
    pub(crate) calls_running: IntegerGauge,
    pub(crate) members_live: IntegerGauge,
    pub(crate) shards_held: IntegerGauge,
    pub(crate) shards_led: IntegerGauge,
    pub(crate) programs_held: IntegerGauge,
    pub(crate) log_bytes: IntegerGauge,
    pub(crate) engines_owned: IntegerGauge,
    pub(crate) calls_queued: IntegerGauge,
    pub(crate) generation: IntegerGauge,
    pub(crate) peer_sent_bytes: IntegerGauge,
    pub(crate) peer_received_bytes: IntegerGauge,
    pub(crate) peer_sent_messages: IntegerGauge,
    problems: Family<CodeLabel, Counter>,
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, BUCKET_RATIO, BUCKET_COUNT))
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("sumacdrift"),
            turns: Counter::default(),
            replays: Counter::default(),
            retries: Counter::default(),
            output_tokens: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            service_calls: Counter::default(),
            first_token_seconds: time_histogram(),
            turn_seconds: time_histogram(),
            calls_running: Gauge::default(),
            members_live: Gauge::default(),
            shards_held: Gauge::default(),
            shards_led: Gauge::default(),
            programs_held: Gauge::default(),
            log_bytes: Gauge::default(),
            engines_owned: Gauge::default(),
            calls_queued: Gauge::default(),
            generation: Gauge::default(),
            peer_sent_bytes: Gauge::default(),
            peer_received_bytes: Gauge::default(),
            peer_sent_messages: Gauge::default(),
            problems: Family::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let counters = [
            ("turns", "Turns that ran to their end", &self.turns),
            ("replays", "Answers given again from the history or the ledger", &self.replays),
            ("retries", "Attempts after the first", &self.retries),
            ("output_tokens", "Tokens generated", &self.output_tokens),
            ("prompt_tokens", "Tokens of prompts", &self.prompt_tokens),
            ("cached_tokens", "Tokens of prompts that engines found in their caches", &self.cached_tokens),
            ("service_calls", "Calls of plain services that ran", &self.service_calls),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
        let help = "Problems given to callers, by result code";
        self.registry.register("problems", help, self.problems.clone());
        let help = "Seconds from a turn's arrival to its first token";
        self.registry.register("first_token_seconds", help, self.first_token_seconds.clone());
        let help = "Seconds from a turn's arrival to its end";
        self.registry.register("turn_seconds", help, self.turn_seconds.clone());
    }

    fn register_gauges(&mut self) {
        let gauges = [
            ("calls_running", "Calls under way", &self.calls_running),
            ("members_live", "Nodes that are not taken for dead", &self.members_live),
            ("shards_held", "Program shards with a replica here", &self.shards_held),
            ("shards_led", "Program shards led here", &self.shards_led),
            ("programs_held", "Programs in the shards held here", &self.programs_held),
            ("log_bytes", "Payload bytes in the replicated logs held here", &self.log_bytes),
            ("engines_owned", "Engines with a queue here", &self.engines_owned),
            ("calls_queued", "Calls that wait for an engine here", &self.calls_queued),
            ("generation", "Generation of the configuration in force", &self.generation),
            ("peer_sent_bytes", "Bytes sent to other nodes", &self.peer_sent_bytes),
            ("peer_received_bytes", "Bytes received from other nodes", &self.peer_received_bytes),
            ("peer_sent_messages", "Messages sent to other nodes", &self.peer_sent_messages),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a problem returned to a caller.
    pub(crate) fn record_problem(&self, problem: &sumacdrift_types::Problem) {
        self.problems.get_or_create(&CodeLabel { code: problem.code.number() }).inc();
    }

    /// Records a completed turn and its duration.
    pub(crate) fn record_turn(&self, duration: Duration) {
        self.turns.inc();
        self.turn_seconds.observe(duration.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn encode_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
