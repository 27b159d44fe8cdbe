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
/// How long nobody at all may answer until a node that was answered before counts as isolated.
const ISOLATED_AFTER: Duration = Duration::from_millis(400);
/// How long nobody may answer until everybody is asked, and the time between two such rounds.
const PROBE_ALL_AFTER: Duration = Duration::from_millis(150);
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
    /// Place of the one that is asked.
    relay: usize,
    /// Whether anybody ever answered. Before that all nodes may be coming up together, and waiting is right.
    was_answered: bool,
    /// Since when somebody is asked and nobody answers.
    silent_since: Option<Instant>,
    /// When everybody was asked.
    probed_all: Option<Instant>,
}

impl Ways {
    /// Somebody is asked.
    pub(crate) fn asked(&mut self, now: Instant) {
        self.silent_since.get_or_insert(now);
    }

    /// Anybody answered anything.
    pub(crate) fn heard_anyone(&mut self) {
        self.was_answered = true;
        self.silent_since = None;
    }

    /// Whether anybody ever answered this node. Before that all nodes may be coming up together.
    pub(crate) fn was_answered(&self) -> bool {
        self.was_answered
    }

    /// Whether it is time to ask everybody whether this node is isolated; if so, they count as asked.
    pub(crate) fn all_are_to_be_probed(&mut self, now: Instant) -> bool {
        let is_over = |since: Instant| now.duration_since(since) >= PROBE_ALL_AFTER;
        let is_due = self.silent_since.is_some_and(is_over) && self.probed_all.is_none_or(is_over);
        if is_due {
            self.probed_all = Some(now);
        }
        is_due
    }

    /// Whether nobody answers this node, neither members nor nodes that pass questions on. Where the latter answer
    /// that the members don't, the node is not isolated: the ledger pauses for everybody, and that is waited for.
    pub(crate) fn is_isolated(&self, now: Instant) -> bool {
        let silent = self.silent_since.is_some_and(|since| now.duration_since(since) >= ISOLATED_AFTER);
        self.was_answered && silent
    }

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

    /// The node that passes questions on: the same one until it fails.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        let count = self.relays.len();
        (count > 0).then(|| self.relays[self.relay % count])
    }

    /// A node did not answer, or did not reach the member either: another one is asked from now on.
    pub(crate) fn relay_failed(&mut self, failed: SocketAddr) {
        if self.relay() == Some(failed) {
            self.relay = self.relay.wrapping_add(1);
        }
    }

    /// Whether every member that answered anything of late answered directly. Others are told of this node as one that
    /// passes questions on only then: one that is cut off itself would be asked in vain.
    pub(crate) fn reaches_directly(&self, now: Instant) -> bool {
        self.was_answered
            && self.members.values().all(|way| way.around_until.is_none_or(|until| until <= now))
    }

    /// Whether a member answered directly since a time.
    pub(crate) fn was_heard_since(&self, member: SocketAddr, since: Instant) -> bool {
        let heard = self.members.get(&member).and_then(|way| way.heard);
        heard.is_some_and(|heard| heard >= since)
    }

    /// A member answered directly. Returns whether it was asked around before.
    pub(crate) fn heard_directly(&mut self, member: SocketAddr, now: Instant) -> bool {
        self.heard_anyone();
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        let was_around = way.around_until.is_some_and(|until| until > now);
        *way = MemberWay { heard: Some(now), ..MemberWay::UNKNOWN };
        was_around
    }

    /// A member answered by way of another node, and not directly. Returns whether that is news.
    pub(crate) fn heard_around(&mut self, member: SocketAddr, now: Instant) -> bool {
        self.heard_anyone();
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        let is_news = way.around_until.is_none_or(|until| until <= now);
        way.around_until = Some(now + AROUND_FOR);
        way.gone_until = None;
        is_news
    }

    /// A node that passes questions on answered, and did not reach a member.
    pub(crate) fn not_reached(&mut self, member: SocketAddr, now: Instant) {
        self.heard_anyone();
        let way = self.members.entry(member).or_insert(MemberWay::UNKNOWN);
        way.around_until = None;
        way.gone_until = Some(now + GONE_FOR);
    }
}
