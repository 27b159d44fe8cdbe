//! Model of the platform's object API, which holds the configuration.

use sumacdrift_types::{Generation, Timestamp};

use crate::packet::SimConfiguration;

#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) configuration: SimConfiguration,
    pub(crate) is_down: bool,
    pub(crate) should_lose_answers: bool,
    pub(crate) accepted_at: Timestamp,
}

/// The outcome of a write, as the operator sees it.
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
        Self { configuration, is_down: false, should_lose_answers: false, accepted_at: Timestamp::default() }
    }

    /// Writes a configuration if the stored generation is the expected one.
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
        if self.should_lose_answers { WriteOutcome::Unanswered } else { WriteOutcome::Accepted }
    }

    /// Whether the stored configuration is of this rollout; `None` while the platform is down.
    pub(crate) fn is_rollout_stored(&self, rollout: u64) -> Option<bool> {
        (!self.is_down).then_some(self.configuration.rollout == rollout)
    }
}
