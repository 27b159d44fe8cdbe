//! Which change of the group a machine asks for: plain functions of what it sees.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::group::{Group, Member};

/// A member that has answered nothing for this long gives its place to a machine that is no member. Longer than most
/// outages, because the records on its disk are of no more use to the group then.
const LOST_AFTER: Duration = Duration::from_secs(6);

/// How many machines may be lost at once while the ledger goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupPolicy {
    tolerated_losses: usize,
}

/// What a machine should do about its place in the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceStep {
    /// Nothing.
    Stay,
    /// Ask that the group be changed to this one.
    Change {
        /// The next group.
        group: Group,
        /// Why.
        reason: ChangeReason,
    },
}

/// Why a group is to be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// The machine has another address now.
    Moved,
    /// The group has fewer members than it should have.
    Joined,
    /// A member has answered nothing for long.
    ReplacedLost,
}

impl ChangeReason {
    /// The reason as it stands in logs.
    pub fn name(self) -> &'static str {
        match self {
            ChangeReason::Moved => "moved",
            ChangeReason::Joined => "joined",
            ChangeReason::ReplacedLost => "replaced a lost member",
        }
    }
}

impl GroupPolicy {
    /// A policy for so many lost machines; at least one loss is always tolerated.
    pub fn tolerating(losses: usize) -> Self {
        Self { tolerated_losses: losses.max(1) }
    }

    /// Members of a whole group: a majority is left after the losses. Odd, because of an even number a split into
    /// halves leaves no majority.
    pub fn size(self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// The first group, of as many zones as there are; equal on every machine that sees the same candidates.
    pub fn founding_group(self, candidates: &[&Member]) -> Group {
        let mut left: Vec<&Member> = candidates.to_vec();
        left.sort_by(|one, other| one.node.cmp(&other.node));
        let mut chosen: Vec<Member> = Vec::new();
        while chosen.len() < self.size() && !left.is_empty() {
            let in_zone = |member: &Member| chosen.iter().filter(|other| other.zone == member.zone).count();
            let next = (0..left.len()).min_by_key(|position| in_zone(left[*position])).unwrap_or(0);
            chosen.push(left.remove(next).clone());
        }
        Group::founded(chosen)
    }

    /// What a machine that is not to be emptied should do about its place.
    pub fn place_step(self, group: &Group, own: &Member, watch: &MemberWatch, now: Timestamp) -> PlaceStep {
        let change = |group: Group, reason| PlaceStep::Change { group, reason };
        match group.member(&own.node) {
            Some(member) if member.address == own.address => PlaceStep::Stay,
            Some(_) => change(group.with(own.clone()), ChangeReason::Moved),
            None if group.members.len() < self.size() => {
                change(group.with(own.clone()), ChangeReason::Joined)
            }
            None => match watch.replaceable(group, now) {
                Some(lost) => change(group.replacing(&lost, own.clone()), ChangeReason::ReplacedLost),
                None => PlaceStep::Stay,
            },
        }
    }
}

/// What a member said when it was last asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Heard {
    at: Timestamp,
    is_silent: bool,
    is_voting: bool,
}

/// When members of the group answered last, as a machine that is no member sees it.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    heard: BTreeMap<String, Heard>,
}

impl MemberWatch {
    /// A member answered.
    pub fn answered(&mut self, node: &str, is_voting: bool, now: Timestamp) {
        self.heard.insert(node.to_owned(), Heard { at: now, is_silent: false, is_voting });
    }

    /// A member did not answer.
    pub fn silent(&mut self, node: &str, now: Timestamp) {
        let heard = self.heard.entry(node.to_owned());
        let heard = heard.or_insert(Heard { at: now, is_silent: true, is_voting: false });
        heard.is_silent = true;
        heard.is_voting = false;
    }

    /// A member whose place may be taken: it is lost, and those that answer and vote are enough for the machine that
    /// takes its place to read everything.
    fn replaceable(&self, group: &Group, now: Timestamp) -> Option<String> {
        let heard = |member: &Member| self.heard.get(&member.node);
        let voting = group.members.iter().filter(|member| heard(member).is_some_and(|heard| heard.is_voting));
        if voting.count() < group.sources_to_catch_up() {
            return None;
        }
        let is_lost = |member: &&Member| {
            heard(member).is_some_and(|heard| heard.is_silent && now.since(heard.at) >= LOST_AFTER)
        };
        group.members.iter().find(is_lost).map(|member| member.node.clone())
    }
}
