//! Which groups are founded, and which change of a group a machine asks for: plain functions of what it sees.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Nearness, Places, Timestamp};

use crate::group::{Group, Member};
use crate::map::GroupMap;
use crate::member_watch::MemberWatch;

/// A member that has answered nothing for this long gives its place to a machine that is no member. Longer than most
/// outages, because the records on its disk are of no more use to the group then.
pub(crate) const LOST_AFTER: Duration = Duration::from_secs(6);
/// Share of the time until a new machine must be complete after which it counts a silent member as lost. The rest is for
/// noticing, for the change of the group and for reading.
const LOST_SHARE: f64 = 0.35;
/// Least and longest such time: a process that ends is back within a second, and reading takes seconds where much is kept.
const LEAST_LOST_AFTER: Duration = Duration::from_secs(1);
const LONGEST_LOST_AFTER: Duration = Duration::from_secs(2);

/// How many machines may be lost at once while the ledger goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupPolicy {
    tolerated_losses: usize,
    /// Whether a whole zone may be lost at once.
    survives_zone: bool,
}

/// How long a machine lets members be silent until it takes the place of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    pub(crate) lost_after: Duration,
    /// Whether it takes the seat of a member that is about to stop.
    pub(crate) takes_offers: bool,
}

impl Patience {
    /// Of a machine that was complete before, as a spare or a member: it waits longer than most outages.
    pub const LONG: Self = Self { lost_after: LOST_AFTER, takes_offers: false };

    /// Of a machine that started empty and must be complete in so much time: it came because another one went, and the
    /// group can lose a disk less until it votes.
    pub fn of_new_machine(complete_within: Duration) -> Self {
        let lost_after = complete_within.mul_f64(LOST_SHARE);
        let lost_after = lost_after.clamp(LEAST_LOST_AFTER, LONGEST_LOST_AFTER);
        Self { lost_after, takes_offers: true }
    }

    /// How long a member must have said nothing.
    pub fn lost_after(self) -> Duration {
        self.lost_after
    }
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
    /// A member is gone and no machine takes its place.
    GivenUp,
}

impl ChangeReason {
    /// The reason as it stands in logs.
    pub fn name(self) -> &'static str {
        match self {
            ChangeReason::Moved => "moved",
            ChangeReason::Joined => "joined",
            ChangeReason::ReplacedLost => "replaced a lost member",
            ChangeReason::GivenUp => "gave up a lost member",
        }
    }
}

impl GroupPolicy {
    /// A policy for so many lost machines; at least one loss is always tolerated.
    pub fn tolerating(losses: usize) -> Self {
        Self { tolerated_losses: losses.max(1), survives_zone: false }
    }

    /// The same where whole zones may be lost at once too: no zone then ever holds more members of a group than the group
    /// can lose, even if the group stays smaller for it.
    pub fn surviving_zones(self, zones: usize) -> Self {
        Self { survives_zone: zones > 0, ..self }
    }

    /// Whether a machine may be one of these members by its zone.
    fn has_room(self, members: &[Member], own: &Member) -> bool {
        let has_few = in_zone(members, own) < self.tolerated_losses;
        !self.survives_zone || has_few || is_broken(Rule::LedgerZonesHoldFewMembers)
    }

    /// Members of a whole group: a majority is left after the losses. Odd, because of an even number a split into
    /// halves leaves no majority.
    pub fn size(self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Groups that so many machines make, so that the losses to be borne leave whoever takes a lost member's place.
    fn groups(self, machines: usize) -> usize {
        (machines.saturating_sub(self.tolerated_losses) / self.size()).max(1)
    }

    /// The first groups; equal on every machine that sees the same candidates.
    ///
    /// A machine is a member of one group at the most, as few sets of machines then exist whose loss at once would lose
    /// a record. Each group is of as many zones as there are; machines that carry least are left out, and zones with many
    /// machines left give first, so that no group is left with a single zone.
    pub fn founding_map(self, candidates: &[Candidate]) -> GroupMap {
        let mut left: Vec<&Candidate> = candidates.iter().collect();
        left.sort_by(|one, other| one.member.node.cmp(&other.member.node));
        let best = Capacity::best_of(candidates);
        let mut groups = vec![Vec::new(); self.groups(left.len())];
        for _ in 0..self.size() {
            for chosen in &mut groups {
                if let Some(place) = self.next_founder(chosen, &left, &best) {
                    chosen.push(left.remove(place).member.clone());
                }
            }
        }
        let groups = groups.into_iter().zip(0..);
        GroupMap::new(groups.map(|(members, number)| Group::founded_as(number, members)).collect())
    }

    /// The candidate that a group takes next, if any may join: of a zone that it has fewest members of, and there the one that carries most,
    /// of the zone with most candidates left.
    fn next_founder(self, chosen: &[Member], left: &[&Candidate], best: &[f64; 4]) -> Option<usize> {
        let left_in_zone = |zone: &str| left.iter().filter(|candidate| candidate.member.zone == zone).count();
        let may_join = |place: &usize| self.has_room(chosen, &left[*place].member);
        (0..left.len()).filter(may_join).min_by_key(|place| {
            let Candidate { member, capacity } = left[*place];
            // In tenths: small differences shall not decide.
            let carries = (capacity.share_of(best) * 10.0).round() as u32;
            (in_zone(chosen, member), Reverse(carries), Reverse(left_in_zone(&member.zone)))
        })
    }

    /// What a machine that is not to be emptied should do about its place.
    ///
    /// A group never spreads to a region in which it has no member: what it keeps may be bound to the regions it is in, and
    /// whoever joins reads all of it.
    pub fn place_step(
        self,
        places: &Places,
        map: &GroupMap,
        own: &Member,
        watch: &MemberWatch,
        patience: Patience,
        now: Timestamp,
    ) -> PlaceStep {
        let change = |group: Group, reason| PlaceStep::Change { group, reason };
        if let Some(group) = map.seat_of(&own.node) {
            let is_there = group.member(&own.node).is_some_and(|member| member.address == own.address);
            if !is_there {
                return change(group.with(own.clone()), ChangeReason::Moved);
            }
            // Of an odd number: as many as before must then agree, and any one of those that are left may lose its disk.
            let is_odd = group.members.len() % 2 == 1 && group.members.len() > 1;
            let gone = watch.given_up(group, &own.node, patience.lost_after, now).filter(|_| is_odd);
            return match gone {
                Some(gone) => change(group.without(&gone), ChangeReason::GivenUp),
                None => PlaceStep::Stay,
            };
        }
        let at_home = || map.groups().iter().filter(|group| is_at_home(places, group, own));
        // Beside a member that may be lost it would be one of two that can't vote if another disk is lost, with nobody left to
        // take a place. Soon that member is heard again, or its place is free.
        let is_too_small =
            |group: &&Arc<Group>| group.members.len() < self.size() && !watch.finds_any_silent(group);
        let too_small = at_home().filter(|group| is_too_small(group) && self.has_room(&group.members, own));
        if let Some(group) = too_small.min_by_key(|group| (group.members.len(), in_zone(&group.members, own)))
        {
            return change(group.with(own.clone()), ChangeReason::Joined);
        }
        let lost = at_home().filter_map(|group| {
            let lost = watch
                .lost(group, patience, now)
                .find(|lost| self.has_room(&group.without(lost).members, own))?;
            Some((group, lost))
        });
        match lost.min_by_key(|(group, _)| in_zone(&group.members, own)) {
            Some((group, lost)) => change(group.replacing(&lost, own.clone()), ChangeReason::ReplacedLost),
            None => PlaceStep::Stay,
        }
    }
}

/// Whether a group has members in a machine's region, or none at all.
fn is_at_home(places: &Places, group: &Group, own: &Member) -> bool {
    let is_near = |member: &Member| places.nearness(&member.zone, &own.zone) != Nearness::Elsewhere;
    let is_empty = group.members.is_empty();
    is_empty || group.members.iter().any(is_near) || is_broken(Rule::LedgerStaysInItsRegions)
}

/// A machine that may become a member of the first groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Who it is.
    pub member: Member,
    /// What it can carry.
    pub capacity: Capacity,
}

/// What a machine can carry. A figure that is not known is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Memory, in megabytes.
    pub memory_megabytes: f64,
    /// Processors.
    pub processors: f64,
    /// Link, in megabits a second.
    pub link_megabits: f64,
    /// Disk, in megabytes.
    pub disk_megabytes: f64,
}

impl Capacity {
    fn figures(&self) -> [f64; 4] {
        [self.memory_megabytes, self.processors, self.link_megabits, self.disk_megabytes]
    }

    /// The most that any of the candidates has of each.
    fn best_of(candidates: &[Candidate]) -> [f64; 4] {
        candidates.iter().fold([0.0; 4], |best, candidate| {
            let own = candidate.capacity.figures();
            std::array::from_fn(|place| f64::max(best[place], own[place]))
        })
    }

    /// The share of the best machine's that this one has of what it has least of.
    fn share_of(&self, best: &[f64; 4]) -> f64 {
        let known = self.figures().into_iter().zip(best).filter(|(_, best)| **best > 0.0);
        known.map(|(own, best)| own / best).fold(1.0, f64::min)
    }
}

fn in_zone(members: &[Member], own: &Member) -> usize {
    members.iter().filter(|member| member.zone == own.zone).count()
}
