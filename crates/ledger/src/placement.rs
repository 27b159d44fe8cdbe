//! Placement policy: assignment of machines to the initial groups, and the group change that a machine requests.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Nearness, Timestamp, Topology};

use crate::group::{Group, Member};
use crate::group_map::GroupMap;
use crate::member_watch::MemberWatch;

/// Time without an answer after which a spare machine may replace a member. Longer than most outages, because the group
/// then loses the records on the member's disk.
pub(crate) const LOST_AFTER: Duration = Duration::from_secs(6);
/// Fraction of the catch-up deadline of a new machine after which it considers an unresponsive member lost. The rest is
/// for detection, the group change and reading records.
const LOST_AFTER_FRACTION: f64 = 0.35;
/// Bounds of that time. A crashed process restarts within a second, and reading many retained turns takes seconds.
const MIN_LOST_AFTER: Duration = Duration::from_secs(1);
const MAX_LOST_AFTER: Duration = Duration::from_secs(2);

/// Simultaneous failures that the groups of a ledger must survive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupPolicy {
    tolerated_losses: usize,
    /// Whether the loss of a whole zone must be survived as well.
    tolerates_zone_loss: bool,
}

/// Conditions under which a machine replaces a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplacementPolicy {
    pub(crate) lost_after: Duration,
    /// Whether the machine replaces a member that offers its membership before it shuts down.
    pub(crate) accepts_offered_membership: bool,
    /// Whether the machine, as a member, removes a lost one that no machine replaced.
    pub(crate) removes_lost_member: bool,
}

impl ReplacementPolicy {
    /// For a spare machine, which was complete before and is not a member: waits longer than most outages.
    pub const FOR_EXISTING_MACHINE: Self =
        Self { lost_after: LOST_AFTER, accepts_offered_membership: false, removes_lost_member: true };

    /// For a machine that started empty and has to catch up within this time, and for current members. A new machine
    /// usually replaces one that left, and until it votes the group tolerates one disk loss less.
    pub fn for_new_machine(catch_up_time: Duration) -> Self {
        let lost_after = catch_up_time.mul_f64(LOST_AFTER_FRACTION);
        let lost_after = lost_after.clamp(MIN_LOST_AFTER, MAX_LOST_AFTER);
        Self { lost_after, accepts_offered_membership: true, removes_lost_member: true }
    }

    /// For a member that does not vote: it removes no other one, which may hold records that it still has to read.
    pub fn for_incomplete_member(catch_up_time: Duration) -> Self {
        let removes_lost_member = is_broken(Rule::LedgerIncompleteMembersRemoveNobody);
        Self { removes_lost_member, ..Self::for_new_machine(catch_up_time) }
    }

    /// Time without an answer after which a member is considered lost.
    pub fn lost_after(self) -> Duration {
        self.lost_after
    }
}

/// Group change that a machine should request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum MembershipDecision {
    /// No change.
    Keep,
    /// Request that the group be replaced by its next version.
    Change {
        /// Next version of the group.
        group: Group,
        reason: ChangeReason,
    },
}

/// Why a member may not leave its group yet: a committed record might not survive the tolerated losses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeaveRefusal {
    /// No more members would remain than may be lost, or they hold too few copies.
    #[error("too few members would remain")]
    TooFewMembers,
    /// A remaining member does not answer, or it or a client that it heard of lately waits for a majority only.
    #[error("not all members and clients are known to count enough copies")]
    MajorityCounted,
    /// The member has not read all records yet, so it can't hand them over.
    #[error("the member has not read all records yet")]
    Incomplete,
}

/// Cause of a group change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// The address of the machine changed.
    Moved,
    /// The group is below its target size.
    Joined,
    /// A member that handed over its records votes again.
    Resumed,
    /// The machine replaces a lost member.
    ReplacedLost,
    /// The machine replaces a member that handed over its records.
    ReplacedHandedOver,
    /// A lost member is removed without a replacement.
    RemovedLost,
}

impl ChangeReason {
    /// Text for logs.
    pub fn name(self) -> &'static str {
        match self {
            ChangeReason::Moved => "moved",
            ChangeReason::Joined => "joined",
            ChangeReason::Resumed => "resumed",
            ChangeReason::ReplacedLost => "replaced a lost member",
            ChangeReason::ReplacedHandedOver => "replaced a member that handed over",
            ChangeReason::RemovedLost => "gave up a lost member",
        }
    }

    /// Whether the other members store all committed records, so that the machine that joins by this change has missed
    /// none as long as it has not voted.
    pub fn joins_complete_group(self) -> bool {
        matches!(self, ChangeReason::Joined | ChangeReason::ReplacedHandedOver)
    }
}

impl GroupPolicy {
    /// Policy for this many simultaneous machine losses; at least one is always tolerated.
    pub fn tolerating(losses: usize) -> Self {
        Self { tolerated_losses: losses.max(1), tolerates_zone_loss: false }
    }

    /// Same policy, tolerating the loss of a whole zone if `zones` is not 0: no zone ever holds more members of a group
    /// than the group can lose, even if the group stays below its target size.
    pub fn tolerating_zone_loss(self, zones: usize) -> Self {
        Self { tolerates_zone_loss: zones > 0, ..self }
    }

    /// Whether the zone of a machine allows it to join these members.
    fn zone_accepts_member(self, members: &[Member], own: &Member) -> bool {
        let is_below_limit = members_in_zone(members, own) < self.tolerated_losses;
        !self.tolerates_zone_loss || is_below_limit || is_broken(Rule::LedgerZonesHoldFewMembers)
    }

    /// Target size of a group: a majority remains after the tolerated losses. Odd, because an even group split into
    /// halves has no majority.
    pub fn size(self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Next version of a group after a member has handed over its records and leaves.
    ///
    /// If a majority of the remaining members is too small to survive the tolerated losses, they keep as many copies as
    /// before. This requires that all of them and their clients count these copies.
    pub fn group_after_leave(
        self,
        group: &Group,
        leaving: &str,
        others_count_copies: bool,
    ) -> Result<Group, LeaveRefusal> {
        let next = group.without_member(leaving);
        let copies = self.tolerated_losses + 1;
        if next.majority() >= copies {
            return Ok(Group { min_copies: 0, ..next });
        }
        if next.members.len() < copies || group.commit_quorum() < copies {
            return Err(LeaveRefusal::TooFewMembers);
        }
        if !others_count_copies {
            return Err(LeaveRefusal::MajorityCounted);
        }
        Ok(Group { min_copies: u32::try_from(copies).unwrap_or(u32::MAX), ..next })
    }

    /// Next version of the group after a member has handed over its records before a planned stop; `None` if the others
    /// are too few to survive the tolerated losses without it.
    pub fn group_after_handover(self, group: &Group, stopping: &str) -> Option<Group> {
        let is_alone = group.handed_over.is_empty() && group.member(stopping).is_some();
        let has_enough_copies = group.without_member(stopping).majority() > self.tolerated_losses;
        (is_alone && has_enough_copies).then(|| group.with_handed_over(stopping))
    }

    /// Number of groups for this many machines, reserving one spare machine per tolerated loss.
    fn group_count(self, machines: usize) -> usize {
        (machines.saturating_sub(self.tolerated_losses) / self.size()).max(1)
    }

    /// Assigns the candidates to the initial groups. The result is the same on every machine with the same candidates.
    ///
    /// A machine joins at most one group, which minimizes the sets of machines whose simultaneous loss would lose a
    /// record. Each group spans as many zones as possible. Machines with the least capacity are left out, and zones
    /// with the most remaining machines are used first, so that no group ends up in a single zone.
    pub fn initial_group_map(self, candidates: &[Candidate]) -> GroupMap {
        let mut remaining: Vec<&Candidate> = candidates.iter().collect();
        remaining.sort_by(|one, other| one.member.node.cmp(&other.member.node));
        let maxima = Capacity::maxima_of(candidates);
        let mut groups = vec![Vec::new(); self.group_count(remaining.len())];
        for _ in 0..self.size() {
            for chosen in &mut groups {
                if let Some(index) = self.next_founder(chosen, &remaining, &maxima) {
                    chosen.push(remaining.remove(index).member.clone());
                }
            }
        }
        let groups = groups.into_iter().zip(0..);
        GroupMap::new(groups.map(|(members, number)| Group::initial_numbered(number, members)).collect())
    }

    /// Index of the next candidate for a group, if any may join: prefers the zone with the fewest members of the group,
    /// then the highest capacity, then the zone with the most remaining candidates.
    fn next_founder(self, chosen: &[Member], remaining: &[&Candidate], maxima: &[f64; 4]) -> Option<usize> {
        let remaining_in_zone =
            |zone: &str| remaining.iter().filter(|candidate| candidate.member.zone == zone).count();
        let may_join = |index: &usize| self.zone_accepts_member(chosen, &remaining[*index].member);
        (0..remaining.len()).filter(may_join).min_by_key(|index| {
            let Candidate { member, capacity } = remaining[*index];
            // Rounded to tenths, so that small differences do not decide.
            let capacity = (capacity.min_fraction_of(maxima) * 10.0).round() as u32;
            (members_in_zone(chosen, member), Reverse(capacity), Reverse(remaining_in_zone(&member.zone)))
        })
    }

    /// Decides which group change a machine requests. Must not be called for a machine that is being drained.
    ///
    /// A group never expands to a region in which it has no member: its content may be restricted to the group's
    /// regions, and a new member reads all of it.
    pub fn decide_membership(
        self,
        topology: &Topology,
        map: &GroupMap,
        own: &Member,
        watch: &MemberWatch,
        replacement: ReplacementPolicy,
        now: Timestamp,
    ) -> MembershipDecision {
        let change = |group: Group, reason| MembershipDecision::Change { group, reason };
        if let Some(group) = map.group_of_member(&own.node) {
            let has_current_address =
                group.member(&own.node).is_some_and(|member| member.address == own.address);
            if !has_current_address {
                return change(group.with_member(own.clone()), ChangeReason::Moved);
            }
            if group.handed_over.contains(&own.node) {
                return change(group.with_resumed(&own.node), ChangeReason::Resumed);
            }
            // Only odd groups shrink: the majority keeps its size, and any one remaining member may still lose its
            // disk.
            let is_odd = group.members.len() % 2 == 1 && group.members.len() > 1;
            let may_remove = is_odd && replacement.removes_lost_member;
            let lost =
                watch.member_to_remove(group, &own.node, replacement.lost_after, now).filter(|_| may_remove);
            return match lost {
                Some(lost) => change(group.without_member(&lost), ChangeReason::RemovedLost),
                None => MembershipDecision::Keep,
            };
        }
        let groups_in_region = || map.groups().iter().filter(|group| shares_region(topology, group, own));
        // Does not join beside an unresponsive member: if another disk were lost, two members would have no vote and no
        // spare would remain. The unresponsive member soon answers again or can be replaced.
        let is_too_small =
            |group: &&Arc<Group>| group.members.len() < self.size() && !watch.has_unresponsive_member(group);
        let too_small = groups_in_region()
            .filter(|group| is_too_small(group) && self.zone_accepts_member(&group.members, own));
        if let Some(group) =
            too_small.min_by_key(|group| (group.members.len(), members_in_zone(&group.members, own)))
        {
            return change(group.with_member(own.clone()), ChangeReason::Joined);
        }
        let lost = groups_in_region().filter_map(|group| {
            let lost = watch
                .replaceable_members(group, replacement, now)
                .find(|lost| self.zone_accepts_member(&group.without_member(lost).members, own))?;
            Some((group, lost))
        });
        match lost.min_by_key(|(group, _)| members_in_zone(&group.members, own)) {
            Some((group, lost)) => {
                let reason = match group.handed_over.contains(&lost) {
                    true => ChangeReason::ReplacedHandedOver,
                    false => ChangeReason::ReplacedLost,
                };
                change(group.with_replacement(&lost, own.clone()), reason)
            }
            None => MembershipDecision::Keep,
        }
    }
}

/// Whether a group has a member in the machine's region, or no members.
fn shares_region(topology: &Topology, group: &Group, own: &Member) -> bool {
    let is_near = |member: &Member| topology.nearness(&member.zone, &own.zone) != Nearness::OtherRegion;
    let is_empty = group.members.is_empty();
    is_empty || group.members.iter().any(is_near) || is_broken(Rule::LedgerGroupsStayInTheirRegions)
}

/// Machine that may become a member of an initial group.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Candidate {
    pub member: Member,
    pub capacity: Capacity,
}

/// Capacity of a machine. Unknown values are 0.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[allow(missing_docs)]
pub struct Capacity {
    pub memory_megabytes: f64,
    pub processors: f64,
    /// Network bandwidth in megabits per second.
    pub link_megabits: f64,
    pub disk_megabytes: f64,
}

impl Capacity {
    fn values(&self) -> [f64; 4] {
        [self.memory_megabytes, self.processors, self.link_megabits, self.disk_megabytes]
    }

    /// Maximum of each value over all candidates.
    fn maxima_of(candidates: &[Candidate]) -> [f64; 4] {
        candidates.iter().fold([0.0; 4], |maxima, candidate| {
            let own = candidate.capacity.values();
            std::array::from_fn(|index| f64::max(maxima[index], own[index]))
        })
    }

    /// Smallest ratio of a value to its maximum, at most 1.
    fn min_fraction_of(&self, maxima: &[f64; 4]) -> f64 {
        let known = self.values().into_iter().zip(maxima).filter(|(_, maximum)| **maximum > 0.0);
        known.map(|(own, maximum)| own / maximum).fold(1.0, f64::min)
    }
}

fn members_in_zone(members: &[Member], own: &Member) -> usize {
    members.iter().filter(|member| member.zone == own.zone).count()
}
