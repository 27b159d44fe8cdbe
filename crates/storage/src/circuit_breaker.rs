//! Circuit breaker for each group: calls of a group that decides nothing are rejected at once, and calls of
//! other groups are not held up.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_ledger::GroupNumber;
use tokio::time::Instant;

/// How long a group with requests in flight may decide nothing until it counts as unavailable: one round of
/// requests.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(900);
/// Interval of probe requests to an unavailable group.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay given to callers of an unavailable group: it is probed a few times meanwhile, and two retries
/// cover the restart of a process, which takes about a second.
const RETRY_AFTER: Duration = Duration::from_millis(600);

/// Breaker of one group.
#[derive(Debug, Default)]
struct Breaker {
    in_flight: usize,
    /// Since when there are requests in flight and none was decided.
    undecided_since: Option<Instant>,
    last_probe: Option<Instant>,
}

#[derive(Debug, Default)]
pub(crate) struct GroupBreakers {
    breakers: HashMap<GroupNumber, Breaker>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    Allowed {
        /// Whether it is the first one since the group became unavailable.
        is_first_probe: bool,
    },
    Rejected {
        retry_after: Duration,
    },
}

impl GroupBreakers {
    /// Admits or rejects a request. An admitted one counts as in flight until [`GroupBreakers::record_end`].
    pub(crate) fn admit(&mut self, group: GroupNumber, now: Instant) -> Permit {
        let breaker = self.breakers.entry(group).or_default();
        let is_unavailable = breaker.is_unavailable(now);
        if is_unavailable
            && breaker.last_probe.is_some_and(|last_probe| now.duration_since(last_probe) < PROBE_INTERVAL)
        {
            return Permit::Rejected { retry_after: RETRY_AFTER };
        }
        let is_first_probe = is_unavailable && breaker.last_probe.is_none();
        if is_unavailable {
            breaker.last_probe = Some(now);
        }
        breaker.in_flight += 1;
        breaker.undecided_since.get_or_insert(now);
        Permit::Allowed { is_first_probe }
    }

    /// Records the end of a request, decided or abandoned. Returns whether the group has become available
    /// again.
    pub(crate) fn record_end(&mut self, group: GroupNumber, is_decided: bool, now: Instant) -> bool {
        let breaker = self.breakers.entry(group).or_default();
        breaker.in_flight = breaker.in_flight.saturating_sub(1);
        let was_unavailable = breaker.is_unavailable(now);
        if !is_decided {
            // An abandoned request does not show whether the group is available.
            if breaker.in_flight == 0 && !was_unavailable {
                breaker.undecided_since = None;
            }
            return false;
        }
        breaker.undecided_since = (breaker.in_flight > 0).then_some(now);
        breaker.last_probe = None;
        was_unavailable
    }
}

impl Breaker {
    fn is_unavailable(&self, now: Instant) -> bool {
        self.undecided_since.is_some_and(|since| now.duration_since(since) >= UNAVAILABLE_AFTER)
    }
}
