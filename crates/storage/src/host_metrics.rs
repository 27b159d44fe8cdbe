//! Metrics of a replica host.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use sumacdrift_telemetry::time_histogram;

/// Metrics of a replica.
pub struct HostMetrics {
    pub(crate) requests: Counter,
    pub(crate) busy: Counter,
    pub(crate) commits: Counter,
    pub(crate) commit_seconds: Histogram,
    pub(crate) is_voting: Gauge,
    pub(crate) sources_left: Gauge,
    pub(crate) programs: Gauge,
    pub(crate) kept_turns: Gauge,
    pub(crate) content_bytes: Gauge,
    pub(crate) turns_without_memory: Counter,
    pub(crate) epoch: Gauge,
    pub(crate) group: Gauge,
    pub(crate) waiting_bytes: Gauge,
}

impl Default for HostMetrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            busy: Counter::default(),
            commits: Counter::default(),
            commit_seconds: time_histogram(),
            is_voting: Gauge::default(),
            sources_left: Gauge::default(),
            programs: Gauge::default(),
            kept_turns: Gauge::default(),
            content_bytes: Gauge::default(),
            turns_without_memory: Counter::default(),
            epoch: Gauge::default(),
            group: Gauge::default(),
            waiting_bytes: Gauge::default(),
        }
    }
}

impl HostMetrics {
    /// Number of turns whose content is kept.
    pub fn kept_turns(&self) -> i64 {
        self.kept_turns.get()
    }

    /// Registers the metrics under the prefix `sumacdrift_ledger`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("sumacdrift_ledger");
        registry.register("requests", "Requests of other nodes", self.requests.clone());
        registry.register("busy", "Requests turned away because the disk is behind", self.busy.clone());
        registry.register("commits", "Batches of records made durable", self.commits.clone());
        registry.register("commit_seconds", "Time until records are durable", self.commit_seconds.clone());
        registry.register("voting", "Whether the replica votes", self.is_voting.clone());
        let sources_left = self.sources_left.clone();
        registry.register("sources_left", "Members still to be read before the replica votes", sources_left);
        registry.register("programs", "Programs known", self.programs.clone());
        registry.register("kept_turns", "Turns whose content is kept", self.kept_turns.clone());
        registry.register("content_bytes", "Bytes of content that is kept", self.content_bytes.clone());
        let refused = self.turns_without_memory.clone();
        registry.register(
            "turns_without_memory",
            "Turns refused as there is no memory to keep them",
            refused,
        );
        registry.register("epoch", "Epoch of the group", self.epoch.clone());
        registry.register("group", "Number of the group; -1 where the node has no seat", self.group.clone());
        let waiting = self.waiting_bytes.clone();
        registry.register("waiting_bytes", "Bytes of records that wait for the disk", waiting);
    }
}
