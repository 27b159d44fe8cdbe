//! Which feed a follower asks, and when it must go to the store itself.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Feeds that are asked one after the other before the store is turned to.
const TRIES: usize = 3;
/// How long a follower that hears from the store itself leaves the feeds alone.
const STORE_TIME: Duration = Duration::from_secs(2);

/// What asking a feed led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// An answer of a feed that hears from the store.
    Current,
    /// An answer of a feed that does not hear from the store.
    Stale,
    /// No answer.
    Nothing,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextSource {
    /// Ask the feed at this place of the list; whether it may wait for a change.
    Feed {
        /// Place in the list of feeds, modulo its length.
        place: usize,
        /// Whether the answer may wait.
        may_wait: bool,
    },
    /// Follow the store itself until this time.
    Store {
        /// When feeds are asked again.
        until: Timestamp,
    },
    /// Wait for feeds to be known until this time.
    Wait {
        /// When the store is turned to.
        until: Timestamp,
    },
}

/// Which feed to ask.
///
/// A follower stays with a feed that hears from the store. It goes on to the next one when there is no answer, or when
/// the feed itself does not hear from the store. Where [`TRIES`] feeds in a row say nothing it follows the store for a
/// while. Where they answer but none of them hears from the store, the store is most likely down, and asking it from
/// every node would only add to its load: the follower goes round the feeds, one wait each.
#[derive(Debug, Clone)]
pub struct SourceChoice {
    patient_until: Timestamp,
    place: usize,
    silent_in_a_row: usize,
    stale_in_a_row: usize,
    store_until: Option<Timestamp>,
}

impl SourceChoice {
    /// A follower that has asked nobody yet, and waits so long for feeds to come up before it turns to the store.
    pub fn new(now: Timestamp, start_patience: Duration) -> Self {
        Self {
            patient_until: now + start_patience,
            place: 0,
            silent_in_a_row: 0,
            stale_in_a_row: 0,
            store_until: None,
        }
    }

    /// What to do next, with so many feeds known.
    pub fn next(&mut self, feeds: usize, now: Timestamp) -> NextSource {
        if let Some(until) = self.store_until.take().filter(|until| *until > now) {
            self.store_until = Some(until);
            return NextSource::Store { until };
        }
        if feeds == 0 {
            if now < self.patient_until {
                return NextSource::Wait { until: self.patient_until };
            }
            return self.turn_to_store(now);
        }
        if self.silent_in_a_row >= TRIES.min(feeds) {
            return self.turn_to_store(now);
        }
        // Having gone once round stale feeds there is nothing better than to wait at each.
        let may_wait =
            self.silent_in_a_row == 0 && (self.stale_in_a_row == 0 || self.stale_in_a_row >= feeds);
        NextSource::Feed { place: self.place % feeds, may_wait }
    }

    /// What the feed that was asked said.
    pub fn heard(&mut self, heard: Heard) {
        match heard {
            Heard::Current => {
                self.silent_in_a_row = 0;
                self.stale_in_a_row = 0;
            }
            Heard::Stale => {
                self.silent_in_a_row = 0;
                self.stale_in_a_row += 1;
                self.place += 1;
            }
            Heard::Nothing => {
                self.silent_in_a_row += 1;
                self.place += 1;
            }
        }
    }

    fn turn_to_store(&mut self, now: Timestamp) -> NextSource {
        self.silent_in_a_row = 0;
        let until = now + STORE_TIME;
        self.store_until = Some(until);
        NextSource::Store { until }
    }
}
