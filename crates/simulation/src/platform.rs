//! The platform's object API and the operators who write to it.

use sumacdrift_types::{Generation, Timestamp};

use crate::packet::SimConfiguration;

/// The object that holds the configuration.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) configuration: SimConfiguration,
    pub(crate) is_down: bool,
    pub(crate) loses_answers: bool,
    /// When the present configuration was accepted.
    pub(crate) accepted_at: Timestamp,
}

/// What an operator sees of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Accepted,
    Conflict,
    /// No answer; the change may have taken effect.
    Unanswered,
}

impl Platform {
    pub(crate) fn new() -> Self {
        let configuration = SimConfiguration { generation: Generation(1), leaving: Vec::new(), rollout: 0 };
        Self { configuration, is_down: false, loses_answers: false, accepted_at: Timestamp::default() }
    }

    /// Compare-and-set on the generation.
    pub(crate) fn write(
        &mut self,
        expected: Generation,
        configuration: SimConfiguration,
        now: Timestamp,
    ) -> WriteOutcome {
        if self.is_down {
            return WriteOutcome::Unanswered;
        }
        if self.configuration.generation != expected {
            return WriteOutcome::Conflict;
        }
        self.configuration = configuration;
        self.accepted_at = now;
        if self.loses_answers { WriteOutcome::Unanswered } else { WriteOutcome::Accepted }
    }

    /// Reads back whether a rollout took effect, as an operator does whose answer was lost.
    pub(crate) fn read_back(&self, rollout: u64) -> Option<bool> {
        (!self.is_down).then_some(self.configuration.rollout == rollout)
    }
}
