//! What a machine knows of the members of groups by asking them, and which of them count as lost by that.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use crate::group::{Group, Member};
use crate::plan::{LOST_AFTER, Patience};

/// A member that has answered nothing for this long is given up where no machine took its place: spare machines look each
/// second and ask for it up to half a second after [`LOST_AFTER`], and the store may let one call wait.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(9);

/// What a member tells of itself and of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberTold {
    /// Whether it votes.
    pub is_voting: bool,
    /// Whether it is about to stop and offers its seat.
    pub offers_seat: bool,
    /// How long each member that it finds silent has said nothing to it; `None` where it doesn't look.
    pub silent: Option<BTreeMap<String, Duration>>,
}

/// What a member said when it was last asked.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Heard {
    at: Timestamp,
    is_silent: bool,
    /// What it told last; nothing while it is silent.
    told: MemberTold,
    /// Whether the last that it said was that it stops as planned.
    said_it_stops: bool,
}

impl Heard {
    /// How long it has found another member silent; `None` where it doesn't look.
    fn finds_silent_for(&self, node: &str, now: Timestamp) -> Option<Duration> {
        let silent = self.told.silent.as_ref()?;
        // What it said then is older now.
        Some(silent.get(node).map(|silence| *silence + now.since(self.at)).unwrap_or_default())
    }
}

/// When members of the group answered last, as one machine sees it.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    heard: BTreeMap<String, Heard>,
}

impl MemberWatch {
    /// A member answered. Returns whether it was silent before.
    pub fn answered(&mut self, node: &str, told: MemberTold, now: Timestamp) -> bool {
        let said_it_stops = told.offers_seat;
        let heard = Heard { at: now, is_silent: false, told, said_it_stops };
        let before = self.heard.insert(node.to_owned(), heard);
        before.is_some_and(|before| before.is_silent)
    }

    /// A member said that it stops as planned.
    pub fn stops(&mut self, node: &str) {
        if let Some(heard) = self.heard.get_mut(node) {
            heard.said_it_stops = true;
        }
    }

    /// A member did not answer. Returns whether that is news.
    pub fn silent(&mut self, node: &str, now: Timestamp) -> bool {
        let unknown = Heard { at: now, is_silent: false, told: MemberTold::default(), said_it_stops: false };
        let heard = self.heard.entry(node.to_owned()).or_insert(unknown);
        let is_news = !heard.is_silent;
        heard.is_silent = true;
        heard.told = MemberTold::default();
        is_news
    }

    /// Forgets machines that are not looked at any more.
    pub fn keep_only(&mut self, looked_at: &[&Member]) {
        self.heard.retain(|node, _| looked_at.iter().any(|member| member.node == *node));
    }

    /// Whether any member of a group says nothing.
    pub(crate) fn finds_any_silent(&self, group: &Group) -> bool {
        let heard = |member: &Member| self.heard.get(&member.node);
        group.members.iter().filter_map(heard).any(|heard| heard.is_silent)
    }

    /// How long each member that is silent has said nothing.
    pub fn silences(&self, now: Timestamp) -> BTreeMap<String, Duration> {
        let silent = self.heard.iter().filter(|(_, heard)| heard.is_silent);
        silent.map(|(node, heard)| (node.clone(), now.since(heard.at))).collect()
    }

    /// Members whose places may be taken: they are lost, and those that answer and vote are enough for the machine that
    /// takes a place to read everything.
    ///
    /// A machine that has just come has heard nothing for long itself, so what counts is what the voting members say:
    /// one that any of them hears is cut off from this machine only. Where none of them looks, the machine's own
    /// watch counts, with the longest patience.
    pub(crate) fn lost(
        &self,
        group: &Group,
        patience: Patience,
        now: Timestamp,
    ) -> impl Iterator<Item = String> {
        let heard = |member: &Member| self.heard.get(&member.node);
        // Who offers its seat is about to go.
        let stays_and_votes = |heard: &&Heard| heard.told.is_voting && !heard.told.offers_seat;
        let voting: Vec<&Heard> = group.members.iter().filter_map(heard).filter(stays_and_votes).collect();
        let may_be_read = voting.len() >= group.sources_to_catch_up();
        let is_lost = move |member: &&Member| {
            let Some(own) = heard(member) else { return false };
            if own.told.offers_seat && patience.takes_offers {
                return true;
            }
            if !own.is_silent {
                return false;
            }
            let witnesses = voting.iter().filter_map(|witness| witness.finds_silent_for(&member.node, now));
            let own_silence = now.since(own.at);
            match witnesses.min() {
                Some(least) if !is_broken(Rule::LedgerLostHasWitnesses) => least >= patience.lost_after,
                Some(_) => own_silence >= patience.lost_after,
                None => own_silence >= LOST_AFTER,
            }
        };
        let lost = group.members.iter().filter(is_lost).filter(move |_| may_be_read);
        lost.map(|member| member.node.clone()).collect::<Vec<_>>().into_iter()
    }

    /// A member that is gone and whose place nobody takes, as a voting member of its group sees it: all others answer, vote
    /// and have found it silent for long, too. One that said that it stops is waited for no longer than a new machine would,
    /// another one for longer than spare machines take.
    pub(crate) fn given_up(
        &self,
        group: &Group,
        own: &str,
        stopped_for: Duration,
        now: Timestamp,
    ) -> Option<String> {
        let others = || group.members.iter().filter(|member| member.node != own);
        let is_gone = |gone: &&Member| {
            let Some(heard) = self.heard.get(&gone.node).filter(|heard| heard.is_silent) else {
                return false;
            };
            let enough = if heard.said_it_stops { stopped_for } else { GIVEN_UP_AFTER };
            let mut witnesses = others().filter(|member| member.node != gone.node);
            now.since(heard.at) >= enough && witnesses.all(|witness| self.agrees(witness, gone, enough, now))
        };
        others().find(is_gone).map(|gone| gone.node.clone())
    }

    /// Whether a member answers, votes, and has found another one silent for so long.
    fn agrees(&self, witness: &Member, gone: &Member, enough: Duration, now: Timestamp) -> bool {
        let Some(heard) = self.heard.get(&witness.node).filter(|heard| !heard.is_silent) else {
            return false;
        };
        let finds_gone = heard.finds_silent_for(&gone.node, now).is_some_and(|silence| silence >= enough);
        heard.told.is_voting && finds_gone
    }
}
