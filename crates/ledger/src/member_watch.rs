//! Failure detection: status of group members from polling them, and which members count as lost.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use crate::group::{Group, Member};
use crate::placement::{LOST_AFTER, ReplacementPolicy};

/// Time without an answer after which a member is removed if no machine replaced it. Spare machines poll each second
/// and request the replacement up to half a second after [`LOST_AFTER`], and one call to the store may be delayed.
const REMOVED_AFTER: Duration = Duration::from_secs(9);

/// Report of a member on itself and the other members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct MemberReport {
    pub is_voting: bool,
    /// Whether it is shutting down and gives up its membership.
    pub offers_membership: bool,
    /// Whether it and its clients count the copies that a group asks for.
    pub counts_copies: bool,
    /// Time since the last answer of each member that does not answer it; `None` if it does not monitor the others.
    pub unresponsive: Option<BTreeMap<String, Duration>>,
}

/// Status of a member after the last poll.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Observation {
    /// Time of the last answer, or of the first unanswered poll if there was no answer yet.
    answered_at: Timestamp,
    is_unresponsive: bool,
    /// Last report; empty while the member is unresponsive.
    report: MemberReport,
    /// Whether its latest message announced a planned shutdown.
    has_announced_stop: bool,
}

impl Observation {
    /// Time for which another member has not answered this one; `None` if it does not monitor the others.
    fn unresponsive_time_of(&self, node: &str, now: Timestamp) -> Option<Duration> {
        let unresponsive = self.report.unresponsive.as_ref()?;
        // The report has aged since it was received.
        Some(unresponsive.get(node).map(|time| *time + now.since(self.answered_at)).unwrap_or_default())
    }
}

/// Status of group members as observed by one machine.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    observations: BTreeMap<String, Observation>,
}

impl MemberWatch {
    /// Records an answer. Returns whether the member was unresponsive before.
    pub fn record_answer(&mut self, node: &str, report: MemberReport, now: Timestamp) -> bool {
        let has_announced_stop = report.offers_membership;
        let observation =
            Observation { answered_at: now, is_unresponsive: false, report, has_announced_stop };
        let before = self.observations.insert(node.to_owned(), observation);
        before.is_some_and(|before| before.is_unresponsive)
    }

    /// Records that a known member announced a planned shutdown.
    pub fn record_planned_stop(&mut self, node: &str) {
        if let Some(observation) = self.observations.get_mut(node) {
            observation.has_announced_stop = true;
        }
    }

    /// Records a missing answer. Returns whether it is the first in a row.
    pub fn record_timeout(&mut self, node: &str, now: Timestamp) -> bool {
        let unknown = Observation {
            answered_at: now,
            is_unresponsive: false,
            report: MemberReport::default(),
            has_announced_stop: false,
        };
        let observation = self.observations.entry(node.to_owned()).or_insert(unknown);
        let is_first = !observation.is_unresponsive;
        observation.is_unresponsive = true;
        observation.report = MemberReport::default();
        is_first
    }

    /// Removes machines that are no longer monitored.
    pub fn retain(&mut self, monitored: &[&Member]) {
        self.observations.retain(|node, _| monitored.iter().any(|member| member.node == *node));
    }

    pub(crate) fn has_unresponsive_member(&self, group: &Group) -> bool {
        let observation = |member: &Member| self.observations.get(&member.node);
        group.members.iter().filter_map(observation).any(|observation| observation.is_unresponsive)
    }

    /// Whether all members but `own` answer and count the copies that a group asks for.
    pub fn others_count_copies(&self, group: &Group, own: &str) -> bool {
        let mut others = group.members.iter().filter(|member| member.node != own);
        others.all(|member| {
            let observation = self.observations.get(&member.node);
            observation.is_some_and(|observation| observation.report.counts_copies)
        })
    }

    /// Time since the last answer of each unresponsive member.
    pub fn unresponsive_members(&self, now: Timestamp) -> BTreeMap<String, Duration> {
        let unresponsive = self.observations.iter().filter(|(_, observation)| observation.is_unresponsive);
        unresponsive.map(|(node, observation)| (node.clone(), now.since(observation.answered_at))).collect()
    }

    /// Members that may be replaced: they are lost, and enough voting members answer for the replacement to read all
    /// records.
    ///
    /// A machine that has just started has no history of its own, so the reports of the voting members decide: a member
    /// that answers any of them is only unreachable from this machine. If none of them monitors the others, this
    /// machine's own observation decides, with the longest timeout.
    pub(crate) fn replaceable_members(
        &self,
        group: &Group,
        replacement: ReplacementPolicy,
        now: Timestamp,
    ) -> impl Iterator<Item = String> {
        let observation = |member: &Member| self.observations.get(&member.node);
        // A member that offers its membership is about to shut down.
        let is_source = |observation: &&Observation| {
            observation.report.is_voting && !observation.report.offers_membership
        };
        let voting: Vec<&Observation> =
            group.members.iter().filter_map(observation).filter(is_source).collect();
        let has_enough_sources = voting.len() >= group.required_sources();
        let is_lost = move |member: &&Member| {
            let Some(own) = observation(member) else { return false };
            if own.report.offers_membership && replacement.accepts_offered_membership {
                return true;
            }
            if !own.is_unresponsive {
                return false;
            }
            let reported_times =
                voting.iter().filter_map(|witness| witness.unresponsive_time_of(&member.node, now));
            let own_unresponsive_time = now.since(own.answered_at);
            match reported_times.min() {
                Some(shortest) if !is_broken(Rule::LedgerMemberLossNeedsWitnesses) => {
                    shortest >= replacement.lost_after
                }
                Some(_) => own_unresponsive_time >= replacement.lost_after,
                None => own_unresponsive_time >= LOST_AFTER,
            }
        };
        let lost = group.members.iter().filter(is_lost).filter(move |_| has_enough_sources);
        lost.map(|member| member.node.clone()).collect::<Vec<_>>().into_iter()
    }

    /// A lost member that no machine replaced, as seen by a voting member of its group: all other members answer, vote,
    /// and have also had no answer from it for long enough. A member that announced its shutdown is removed after
    /// `removed_after_stop`, any other one after a time in which a spare machine would have replaced it.
    pub(crate) fn member_to_remove(
        &self,
        group: &Group,
        own: &str,
        removed_after_stop: Duration,
        now: Timestamp,
    ) -> Option<String> {
        let others = || group.members.iter().filter(|member| member.node != own);
        let is_removable = |lost: &&Member| {
            let Some(observation) =
                self.observations.get(&lost.node).filter(|observation| observation.is_unresponsive)
            else {
                return false;
            };
            let required = if observation.has_announced_stop { removed_after_stop } else { REMOVED_AFTER };
            let mut witnesses = others().filter(|member| member.node != lost.node);
            now.since(observation.answered_at) >= required
                && witnesses.all(|witness| self.confirms_loss(witness, lost, required, now))
        };
        others().find(is_removable).map(|lost| lost.node.clone())
    }

    /// Whether a member answers, votes, and reports another one as unresponsive for the required time.
    fn confirms_loss(&self, witness: &Member, lost: &Member, required: Duration, now: Timestamp) -> bool {
        let Some(observation) =
            self.observations.get(&witness.node).filter(|observation| !observation.is_unresponsive)
        else {
            return false;
        };
        let confirms = observation.unresponsive_time_of(&lost.node, now).is_some_and(|time| time >= required);
        observation.report.is_voting && confirms
    }
}
