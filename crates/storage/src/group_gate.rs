//! Whether a group is worth asking now: a circuit breaker for each group, so that calls of one that decides nothing get
//! their answer at once, and those of others are not held up.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_ledger::GroupNumber;
use tokio::time::Instant;

/// How long a group may decide nothing, while it is asked, until it counts as unavailable: a whole round of questions.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(900);
/// Time between two questions that are asked of an unavailable group all the same, to see whether it is back.
const PROBE_EVERY: Duration = Duration::from_millis(100);
/// When callers of an unavailable group are told to come back: it is asked a few times meanwhile, and callers that have
/// two tries are spread over the second or so that a restart takes.
const COME_BACK_AFTER: Duration = Duration::from_millis(600);

/// What is known of one group.
#[derive(Debug, Default)]
struct Gate {
    under_way: usize,
    /// Since when it is asked and has decided nothing.
    undecided_since: Option<Instant>,
    probed: Option<Instant>,
}

/// What is known of all groups.
#[derive(Debug, Default)]
pub(crate) struct GroupGates {
    gates: HashMap<GroupNumber, Gate>,
}

/// Whether a question may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Passage {
    /// It may.
    Open {
        /// Whether it is the first one since the group became unavailable.
        is_first_probe: bool,
    },
    /// The group is unavailable.
    Closed {
        /// When to come back.
        retry_after: Duration,
    },
}

impl GroupGates {
    /// Whether a group may be asked. If so, the question counts as under way until [`GroupGates::ended`].
    pub(crate) fn enter(&mut self, group: GroupNumber, now: Instant) -> Passage {
        let gate = self.gates.entry(group).or_default();
        let is_unavailable = gate.is_unavailable(now);
        if is_unavailable && gate.probed.is_some_and(|probed| now.duration_since(probed) < PROBE_EVERY) {
            return Passage::Closed { retry_after: COME_BACK_AFTER };
        }
        let is_first_probe = is_unavailable && gate.probed.is_none();
        if is_unavailable {
            gate.probed = Some(now);
        }
        gate.under_way += 1;
        gate.undecided_since.get_or_insert(now);
        Passage::Open { is_first_probe }
    }

    /// A question ended; the group decided it, or it was given up. Returns whether the group is available again after it
    /// was not.
    pub(crate) fn ended(&mut self, group: GroupNumber, is_decided: bool, now: Instant) -> bool {
        let gate = self.gates.entry(group).or_default();
        gate.under_way = gate.under_way.saturating_sub(1);
        let was_unavailable = gate.is_unavailable(now);
        if !is_decided {
            // Who asked left early: that says nothing of the group.
            if gate.under_way == 0 && !was_unavailable {
                gate.undecided_since = None;
            }
            return false;
        }
        gate.undecided_since = (gate.under_way > 0).then_some(now);
        gate.probed = None;
        was_unavailable
    }
}

impl Gate {
    fn is_unavailable(&self, now: Instant) -> bool {
        self.undecided_since.is_some_and(|since| now.duration_since(since) >= UNAVAILABLE_AFTER)
    }
}
