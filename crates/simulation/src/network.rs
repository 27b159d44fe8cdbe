//! Model of the network between nodes: latency, loss, duplication and partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

const MIN_LATENCY: Duration = Duration::from_micros(200);
/// Random latency added to each message, at most.
const JITTER_MICROS: u64 = 1500;
/// Further random latency while messages are reordered, at most.
const REORDER_JITTER_MICROS: u64 = 60_000;
/// Further random latency while messages are delayed, at most.
const DELAY_JITTER_MICROS: u64 = 400_000;
const LOSS_PROBABILITY: f64 = 0.05;
const DUPLICATE_PROBABILITY: f64 = 0.2;

/// Active faults of the network.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Nodes whose outgoing messages are lost.
    pub(crate) blocked_senders: BTreeSet<usize>,
    /// Nodes whose incoming messages are lost.
    pub(crate) blocked_receivers: BTreeSet<usize>,
    pub(crate) is_lossy: bool,
    pub(crate) is_slow: bool,
    pub(crate) is_reordering: bool,
    pub(crate) is_duplicating: bool,
}

impl Network {
    /// Latency of each delivery of a message: none if it is lost, two if it is duplicated.
    pub(crate) fn latencies(&self, from: usize, to: usize, random: &mut ChaCha8Rng) -> Vec<Duration> {
        if from == to {
            return vec![Duration::ZERO];
        }
        let is_blocked = self.blocked_senders.contains(&from) || self.blocked_receivers.contains(&to);
        let is_lost = self.is_lossy && random.random_bool(LOSS_PROBABILITY);
        if is_blocked || is_lost {
            return Vec::new();
        }
        let mut latencies = vec![self.draw_latency(random)];
        if self.is_duplicating && random.random_bool(DUPLICATE_PROBABILITY) {
            latencies.push(self.draw_latency(random));
        }
        latencies
    }

    fn draw_latency(&self, random: &mut ChaCha8Rng) -> Duration {
        let mut micros = random.random_range(0..JITTER_MICROS);
        if self.is_reordering {
            micros += random.random_range(0..REORDER_JITTER_MICROS);
        }
        if self.is_slow {
            micros += random.random_range(0..DELAY_JITTER_MICROS);
        }
        MIN_LATENCY + Duration::from_micros(micros)
    }
}
