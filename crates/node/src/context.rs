//! What every part of a node shares.

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

/// What every part of a node shares.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    /// This life of this node.
    pub(crate) own: ReplicaId,
    pub(crate) clock: Clock,
    pub(crate) transport: Arc<Transport>,
    pub(crate) http: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) logger: Logger,
    /// Cancelled when a planned stop begins.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when the node's tasks must end.
    pub(crate) stopped: CancellationToken,
}

impl Context {
    /// The node's time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// This life as the runner of calls.
    pub(crate) fn runner(&self) -> Runner {
        Runner { node: self.own.node, incarnation: self.own.incarnation }
    }

    /// Calls `tick` again and again until the node stops. A late tick puts off the following ones instead of
    /// being followed by a burst.
    pub(crate) async fn every(&self, period: Duration, mut tick: impl FnMut()) {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = interval.tick() => tick(),
            }
        }
    }

    /// A random seed for a state machine.
    pub(crate) fn seed(&self) -> u64 {
        rand::random()
    }
}
