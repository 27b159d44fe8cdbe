//! State shared by all components of a node.

use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use sumacdrift_config::Settings;
use sumacdrift_http_client::HttpClient;
use sumacdrift_program::Runner;
use sumacdrift_replication::ReplicaId;
use sumacdrift_transport::Transport;
use sumacdrift_types::Timestamp;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::metrics::Metrics;

pub(crate) struct Context {
    pub(crate) settings: Settings,
    /// This node and its incarnation.
    pub(crate) own_replica: ReplicaId,
    pub(crate) clock: Clock,
    pub(crate) transport: Arc<Transport>,
    pub(crate) http: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) logger: Logger,
    /// Cancelled when a graceful shutdown begins.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when the node's tasks must end.
    pub(crate) stopped: CancellationToken,
}

impl Context {
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn runner(&self) -> Runner {
        Runner { node: self.own_replica.node, incarnation: self.own_replica.incarnation }
    }

    /// Calls `tick` once per period until the node stops. A late tick delays the following ones instead of
    /// causing a burst.
    pub(crate) async fn run_every(&self, period: Duration, mut tick: impl FnMut()) {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = interval.tick() => tick(),
            }
        }
    }

    pub(crate) fn random_seed(&self) -> u64 {
        rand::random()
    }
}
