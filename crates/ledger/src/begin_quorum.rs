//! Admission of a turn by a quorum of replica votes.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{BeginVote, ChainReply, KnownTurn, StreamOrigin};
use crate::resumption::{ResumedOrigin, ResumedTurn};

/// Decision based on the votes received so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// More votes are needed.
    Pending,
    /// The turn may begin.
    Admitted,
    /// The turn does not fit the remaining budget.
    BudgetSpent,
    /// No replica of a quorum stores the preceding turn, so it was never committed.
    UnknownPrevious,
}

/// Collects votes on one turn.
///
/// A turn is admitted when each replica of a commit quorum has recorded it and found that it fits the budget, and it also
/// fits the union of the turns that they know. At least one of the quorum knows every turn admitted before. Any two
/// concurrent turns share a replica, so at least one of them has been charged for the other; with up to five concurrent
/// turns (four in a group of five replicas) the budget is exceeded by at most one turn.
#[derive(Debug, Clone)]
pub struct BeginQuorum {
    size: usize,
    budget_tokens: u64,
    max_tokens: u64,
    votes: usize,
    fitting_votes: usize,
    rejecting_votes: usize,
    votes_with_previous: usize,
    known: BTreeMap<String, KnownTurn>,
    chain: Option<ChainReply>,
    resumed_turn: ResumedTurn,
    /// Newest origin of the named turn.
    resumed_origin: Option<StreamOrigin>,
    /// Votes of replicas that compared requests.
    comparing_votes: usize,
    crashed_engines: BTreeSet<String>,
    suspected_engines: BTreeSet<String>,
    observed_engines: BTreeSet<String>,
    lacks_memory: bool,
}

impl BeginQuorum {
    /// Creates a quorum of this many replicas, without votes. A budget of 0 is unlimited.
    pub fn new(size: usize, budget_tokens: u64, max_tokens: u64) -> Self {
        Self {
            size,
            budget_tokens,
            max_tokens,
            votes: 0,
            fitting_votes: 0,
            rejecting_votes: 0,
            votes_with_previous: 0,
            known: BTreeMap::new(),
            chain: None,
            resumed_turn: ResumedTurn::None,
            resumed_origin: None,
            comparing_votes: 0,
            crashed_engines: BTreeSet::new(),
            suspected_engines: BTreeSet::new(),
            observed_engines: BTreeSet::new(),
            lacks_memory: false,
        }
    }

    /// The same for a turn that resumes a stream.
    pub fn resuming(self, resumed_turn: ResumedTurn) -> Self {
        Self { resumed_turn, ..self }
    }

    /// Adds the vote of one replica; each replica must vote only once.
    pub fn vote(&mut self, vote: BeginVote) -> BeginDecision {
        if vote.lacks_memory {
            self.lacks_memory = true;
            return BeginDecision::Pending;
        }
        self.votes += 1;
        if vote.fits {
            self.fitting_votes += 1;
        } else {
            self.rejecting_votes += 1;
        }
        if vote.knows_previous {
            self.votes_with_previous += 1;
        }
        if vote.has_compared_requests {
            self.comparing_votes += 1;
        }
        for turn in vote.known {
            self.merge_known_turn(turn);
        }
        self.crashed_engines.extend(vote.crashed_engines);
        self.suspected_engines.extend(vote.suspected_engines);
        self.observed_engines.extend(vote.observed_engines);
        self.chain = self.chain.take().or(vote.chain);
        let newer = vote.resumed_origin.filter(|origin| origin.replaces(self.resumed_origin.as_ref()));
        self.resumed_origin = newer.or(self.resumed_origin.take());
        self.decision()
    }

    /// Whether a replica had no memory for the turn's content. Its vote doesn't count, as it hasn't recorded the turn.
    pub fn lacks_memory(&self) -> bool {
        self.lacks_memory
    }

    /// Takes the content of the chain, if a vote included it.
    pub fn take_chain(&mut self) -> Option<ChainReply> {
        self.chain.take()
    }

    /// What the voters know of the origin of the resumed stream; of each turn, its newest origin counts. With the votes of a
    /// quorum, an origin that a quorum has recorded is never missed.
    pub fn resumed_origin(&self) -> ResumedOrigin {
        match &self.resumed_turn {
            ResumedTurn::None => ResumedOrigin::NotAsked,
            ResumedTurn::Named(_) => ResumedOrigin::common(&self.resumed_origin),
            ResumedTurn::OfSameRequest if self.comparing_votes < self.votes => ResumedOrigin::Unknown,
            ResumedTurn::OfSameRequest => ResumedOrigin::common(self.origins_of_same_request()),
        }
    }

    /// Number of turns that may have begun the resumed stream, as they have the same request.
    pub fn matching_turns(&self) -> usize {
        self.origins_of_same_request().count()
    }

    /// Origins of the turns that may be resumed without a name. Turns that resumed a stream themselves have none: theirs is
    /// that of the turn that they resumed.
    fn origins_of_same_request(&self) -> impl Iterator<Item = &StreamOrigin> {
        let may_be_resumed = self.known.values().filter(|turn| !turn.has_no_event);
        may_be_resumed.filter_map(|turn| turn.origin.as_ref())
    }

    /// Number of engines that crashed in succession under the turn's request. With the votes of a quorum, a crash that was
    /// reported to a quorum is never missed.
    pub fn crashed_engines(&self) -> usize {
        self.crashed_engines.len()
    }

    /// Number of other engines that may have crashed under it.
    pub fn suspected_engines(&self) -> usize {
        self.suspected_engines.difference(&self.crashed_engines).count()
    }

    /// Number of other engines that lost the request and have shown a sign of life since.
    pub fn observed_engines(&self) -> usize {
        let counted = |engine: &&String| {
            self.crashed_engines.contains(*engine) || self.suspected_engines.contains(*engine)
        };
        self.observed_engines.iter().filter(|engine| !counted(engine)).count()
    }

    /// Number of earlier attempts of the turn that have not ended. Their nodes may have been lost with what they knew.
    pub fn open_attempts(&self) -> usize {
        self.known.values().filter(|known| known.is_open_attempt).count()
    }

    /// Number of votes received.
    pub fn votes(&self) -> usize {
        self.votes
    }

    /// Tokens charged for all other turns of the program, by the union of what the voters know.
    pub fn counted_tokens(&self) -> u64 {
        self.known.values().map(|turn| turn.tokens).sum()
    }

    fn merge_known_turn(&mut self, mut turn: KnownTurn) {
        let Some(known) = self.known.get_mut(&turn.turn) else {
            self.known.insert(turn.turn.clone(), turn);
            return;
        };
        let newer = turn.origin.take().filter(|origin| origin.replaces(known.origin.as_ref()));
        let origin = newer.or(known.origin.take());
        if turn.has_ended && !known.has_ended {
            *known = turn;
        } else if turn.has_ended == known.has_ended {
            known.tokens = known.tokens.max(turn.tokens);
            known.is_open_attempt |= turn.is_open_attempt;
            known.has_no_event &= turn.has_no_event;
        }
        known.origin = origin;
    }

    fn decision(&self) -> BeginDecision {
        if self.rejecting_votes >= self.size {
            return BeginDecision::BudgetSpent;
        }
        if self.votes < self.size {
            return BeginDecision::Pending;
        }
        if self.votes_with_previous == 0 {
            return BeginDecision::UnknownPrevious;
        }
        let fits_budget =
            self.budget_tokens == 0 || self.counted_tokens() + self.max_tokens <= self.budget_tokens;
        if !fits_budget {
            return BeginDecision::BudgetSpent;
        }
        if self.fitting_votes >= self.size { BeginDecision::Admitted } else { BeginDecision::Pending }
    }
}
