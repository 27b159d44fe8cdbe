//! Which members of the group are reached directly, which by way of another node, and which not at all.
//!
//! What is known comes from the questions themselves: a member that says nothing to one question while it answers
//! others is only slow; one that says nothing at all may be cut off from this node alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// How long a member that was reached only by way of another node is asked that way at once.
const AROUND_FOR: Duration = Duration::from_secs(2);
/// How often such a member is asked directly too.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// How long a member that nobody reached is left to direct questions.
const GONE_FOR: Duration = Duration::from_millis(500);
/// Nodes that pass questions on, as far as they are remembered.
const MOST_RELAYS: usize = 8;

/// How a member is to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// Directly, and by way of another node only if it stays silent.
    Direct,
    /// Directly only: nobody else reached it a moment ago.
    DirectOnly,
    /// By way of another node, as it was silent a moment ago; directly too where `probe` says so.
    Around {
        /// Whether to ask it directly at the same time.
        probe: bool,
    },
}

#[derive(Debug, Clone, Copy)]
struct MemberWay {
    heard: Option<Instant>,
    around_until: Option<Instant>,
    probed: Option<Instant>,
    gone_until: Option<Instant>,
}

impl MemberWay {
    const UNKNOWN: Self = Self { heard: None, around_until: None, probed: None, gone_until: None };
}

/// What is known of the ways to members, and the nodes that pass questions on.
#[derive(Debug, Default)]
pub(crate) struct Ways {
    members: HashMap<SocketAddr, MemberWay>,
    relays: Vec<SocketAddr>,
    next_relay: usize,
}

impl Ways {
    /// Nodes that pass questions on are known.
    pub(crate) fn learn_relays(&mut self, mut relays: Vec<SocketAddr>) {
        // A cut may leave nobody to be told of; then the ones known before are still the best guess.
        if !relays.is_empty() {
            relays.truncate(MOST_RELAYS);
            self.relays = relays;
        }
    }

    /// How a member is to be asked now.
    pub(crate) fn way_to(&mut self, member: SocketAddr, now: Instant) -> Way {
        if self.relays.is_empty() {
            return Way::DirectOnly;
        }
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        if way.gone_until.is_some_and(|until| until > now) {
            return Way::DirectOnly;
        }
        if way.around_until.is_none_or(|until| until <= now) {
            return Way::Direct;
        }
        let probe = way.probed.is_none_or(|probed| now.duration_since(probed) >= PROBE_EVERY);
        if probe {
            way.probed = Some(now);
        }
        Way::Around { probe }
    }

    /// The node that passes the next question on; they take turns.
    pub(crate) fn relay(&mut self) -> Option<SocketAddr> {
        self.next_relay = self.next_relay.wrapping_add(1);
        let count = self.relays.len();
        (count > 0).then(|| self.relays[self.next_relay % count])
    }

    /// Whether a member answered directly since a time.
    pub(crate) fn was_heard_since(&self, member: SocketAddr, since: Instant) -> bool {
        let heard = self.members.get(&member).and_then(|way| way.heard);
        heard.is_some_and(|heard| heard >= since)
    }

    /// A member answered directly. Returns whether it was asked around before.
    pub(crate) fn heard_directly(&mut self, member: SocketAddr, now: Instant) -> bool {
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        let was_around = way.around_until.is_some_and(|until| until > now);
        *way = MemberWay { heard: Some(now), ..MemberWay::UNKNOWN };
        was_around
    }

    /// A member answered by way of another node, and not directly. Returns whether that is news.
    pub(crate) fn heard_around(&mut self, member: SocketAddr, now: Instant) -> bool {
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        let is_news = way.around_until.is_none_or(|until| until <= now);
        way.around_until = Some(now + AROUND_FOR);
        way.gone_until = None;
        is_news
    }

    /// Neither way led to a member.
    pub(crate) fn not_reached(&mut self, member: SocketAddr, now: Instant) {
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        way.around_until = None;
        way.gone_until = Some(now + GONE_FOR);
    }
}
