//! Routes to members: direct, through a relay, or direct only.
//!
//! Routes are learned from the requests themselves. A member that misses one request while it replies to
//! others is slow; one that replies to none may be partitioned from this node only.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// How long a member that was reached only through a relay is asked that way without delay.
const RELAY_DURATION: Duration = Duration::from_secs(2);
/// Interval of direct probes of such a member.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// How long a member that no relay reached is asked directly only.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(500);
/// Silence of all nodes after which a node that had replies before counts as isolated.
const ISOLATED_AFTER: Duration = Duration::from_millis(400);
/// Silence of all nodes after which all members are probed, and the interval of such probes.
const PROBE_ALL_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of relays that are remembered.
const MAX_RELAYS: usize = 8;

/// How to send a request to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    /// Directly, and through a relay if it does not reply.
    Direct,
    /// Directly only: no relay reached it recently.
    DirectOnly,
    /// Through a relay, as it recently did not reply directly; also directly if `probe` is set.
    ViaRelay { probe: bool },
}

#[derive(Debug, Clone, Copy)]
struct MemberRoute {
    replied_at: Option<Instant>,
    relay_until: Option<Instant>,
    probed_at: Option<Instant>,
    unreachable_until: Option<Instant>,
}

impl MemberRoute {
    const UNKNOWN: Self =
        Self { replied_at: None, relay_until: None, probed_at: None, unreachable_until: None };
}

/// Known routes to members, and the relays.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    members: HashMap<SocketAddr, MemberRoute>,
    relays: Vec<SocketAddr>,
    /// Index of the relay in use, modulo their number.
    relay_index: usize,
    /// Whether any node ever replied. Until then all nodes may be starting together, so requests wait.
    has_had_reply: bool,
    /// Since when requests are sent and none was replied to.
    silent_since: Option<Instant>,
    /// Time of the last probe of all members.
    probed_all_at: Option<Instant>,
}

impl RouteTable {
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.silent_since.get_or_insert(now);
    }

    pub(crate) fn record_any_reply(&mut self) {
        self.has_had_reply = true;
        self.silent_since = None;
    }

    /// Whether any node ever replied to this one.
    pub(crate) fn has_had_reply(&self) -> bool {
        self.has_had_reply
    }

    /// Whether a probe of all members is due; if so, its time is recorded.
    pub(crate) fn start_probe_round(&mut self, now: Instant) -> bool {
        let is_over = |since: Instant| now.duration_since(since) >= PROBE_ALL_INTERVAL;
        let is_due = self.silent_since.is_some_and(is_over) && self.probed_all_at.is_none_or(is_over);
        if is_due {
            self.probed_all_at = Some(now);
        }
        is_due
    }

    /// Whether neither members nor relays reply to this node. If relays reply that the members do not, the
    /// node is not isolated: the ledger is paused for all nodes, and callers wait.
    pub(crate) fn is_isolated(&self, now: Instant) -> bool {
        let silent = self.silent_since.is_some_and(|since| now.duration_since(since) >= ISOLATED_AFTER);
        self.has_had_reply && silent
    }

    pub(crate) fn set_relays(&mut self, mut relays: Vec<SocketAddr>) {
        // The list may be empty because of a partition; the relays known before may still work.
        if !relays.is_empty() {
            relays.truncate(MAX_RELAYS);
            self.relays = relays;
        }
    }

    pub(crate) fn route_to(&mut self, member: SocketAddr, now: Instant) -> Route {
        if self.relays.is_empty() {
            return Route::DirectOnly;
        }
        let route = self.members.entry(member).or_insert(MemberRoute::UNKNOWN);
        if route.unreachable_until.is_some_and(|until| until > now) {
            return Route::DirectOnly;
        }
        if route.relay_until.is_none_or(|until| until <= now) {
            return Route::Direct;
        }
        let probe = route.probed_at.is_none_or(|probed_at| now.duration_since(probed_at) >= PROBE_INTERVAL);
        if probe {
            route.probed_at = Some(now);
        }
        Route::ViaRelay { probe }
    }

    /// Relay in use; it stays the same until it fails.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        let count = self.relays.len();
        (count > 0).then(|| self.relays[self.relay_index % count])
    }

    /// Switches to the next relay after one that did not reply, or did not reach the member either.
    pub(crate) fn relay_failed(&mut self, failed: SocketAddr) {
        if self.relay() == Some(failed) {
            self.relay_index = self.relay_index.wrapping_add(1);
        }
    }

    /// Whether all recently responsive members replied directly. Only then may this node serve as a relay:
    /// one that is partitioned itself would be asked in vain.
    pub(crate) fn reaches_directly(&self, now: Instant) -> bool {
        self.has_had_reply
            && self.members.values().all(|route| route.relay_until.is_none_or(|until| until <= now))
    }

    pub(crate) fn has_replied_since(&self, member: SocketAddr, since: Instant) -> bool {
        let replied_at = self.members.get(&member).and_then(|route| route.replied_at);
        replied_at.is_some_and(|replied_at| replied_at >= since)
    }

    /// Records a direct reply. Returns whether the member was asked through a relay before.
    pub(crate) fn record_direct_reply(&mut self, member: SocketAddr, now: Instant) -> bool {
        self.record_any_reply();
        let route = self.members.entry(member).or_insert(MemberRoute::UNKNOWN);
        let was_relayed = route.relay_until.is_some_and(|until| until > now);
        *route = MemberRoute { replied_at: Some(now), ..MemberRoute::UNKNOWN };
        was_relayed
    }

    /// Records a reply through a relay. Returns whether the member was not asked through one before.
    pub(crate) fn record_relayed_reply(&mut self, member: SocketAddr, now: Instant) -> bool {
        self.record_any_reply();
        let route = self.members.entry(member).or_insert(MemberRoute::UNKNOWN);
        let is_new = route.relay_until.is_none_or(|until| until <= now);
        route.relay_until = Some(now + RELAY_DURATION);
        route.unreachable_until = None;
        is_new
    }

    /// Records that a relay replied and did not reach a member.
    pub(crate) fn record_unreachable(&mut self, member: SocketAddr, now: Instant) {
        self.record_any_reply();
        let route = self.members.entry(member).or_insert(MemberRoute::UNKNOWN);
        route.relay_until = None;
        route.unreachable_until = Some(now + UNREACHABLE_DURATION);
    }
}
