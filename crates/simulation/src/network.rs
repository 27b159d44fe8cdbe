//! A network with delays, losses and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Shortest way between two nodes.
const SHORTEST: Duration = Duration::from_micros(200);
/// Spread of the way between two nodes.
const SPREAD_MICROS: u64 = 1500;
/// Spread of the way while messages overtake each other.
const REORDER_MICROS: u64 = 60_000;
/// Added to the way while messages take long.
const LONG_DELAY_MICROS: u64 = 400_000;
/// Share of messages that are lost while there is loss.
const LOSS: f64 = 0.05;
/// Share of messages that arrive twice while there are duplicates.
const DUPLICATES: f64 = 0.2;

/// Present state of the network.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Nodes whose messages to others are lost.
    pub(crate) mute: BTreeSet<usize>,
    /// Nodes that messages of others do not reach.
    pub(crate) deaf: BTreeSet<usize>,
    pub(crate) is_lossy: bool,
    pub(crate) is_slow: bool,
    pub(crate) is_reordering: bool,
    pub(crate) is_duplicating: bool,
}

impl Network {
    /// Times after which a message from one node arrives at another: none where it is lost, two where it is
    /// duplicated.
    pub(crate) fn arrivals(&self, from: usize, to: usize, random: &mut ChaCha8Rng) -> Vec<Duration> {
        if from == to {
            return vec![Duration::ZERO];
        }
        let is_cut = self.mute.contains(&from) || self.deaf.contains(&to);
        let is_lost = self.is_lossy && random.random_bool(LOSS);
        if is_cut || is_lost {
            return Vec::new();
        }
        let mut arrivals = vec![self.delay(random)];
        if self.is_duplicating && random.random_bool(DUPLICATES) {
            arrivals.push(self.delay(random));
        }
        arrivals
    }

    fn delay(&self, random: &mut ChaCha8Rng) -> Duration {
        let mut micros = random.random_range(0..SPREAD_MICROS);
        if self.is_reordering {
            micros += random.random_range(0..REORDER_MICROS);
        }
        if self.is_slow {
            micros += random.random_range(0..LONG_DELAY_MICROS);
        }
        SHORTEST + Duration::from_micros(micros)
    }
}
