//! The decision whether a turn may begin, from the votes of replicas.

use std::collections::BTreeMap;

use crate::message::{BeginVote, ChainReply, KnownTurn};

/// What the votes so far allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// More votes are needed.
    Pending,
    /// The turn may run.
    Admitted,
    /// One more turn does not fit the budget.
    BudgetSpent,
    /// A majority does not know the earlier turn, so it can't have been committed.
    UnknownPrevious,
}

/// Gathers votes on one turn.
///
/// A turn is admitted when a majority recorded it, each by itself found that it fits, and it also fits what they
/// know together. Every turn admitted before is known to at least one of the majority. Of turns that begin at the
/// same time each pair has met at some replica, so at least one of them has counted the other; with up to five at a
/// time (four, where there are five replicas) the budget is overrun by at most one turn.
#[derive(Debug, Clone)]
pub struct BeginQuorum {
    majority: usize,
    budget_tokens: u64,
    most_tokens: u64,
    votes: usize,
    fitting: usize,
    not_fitting: usize,
    knowing_previous: usize,
    known: BTreeMap<String, KnownTurn>,
    chain: Option<ChainReply>,
}

impl BeginQuorum {
    /// No votes yet. A budget of 0 is none.
    pub fn new(majority: usize, budget_tokens: u64, most_tokens: u64) -> Self {
        Self {
            majority,
            budget_tokens,
            most_tokens,
            votes: 0,
            fitting: 0,
            not_fitting: 0,
            knowing_previous: 0,
            known: BTreeMap::new(),
            chain: None,
        }
    }

    /// Takes a vote in.
    pub fn vote(&mut self, vote: BeginVote) -> BeginDecision {
        self.votes += 1;
        if vote.fits {
            self.fitting += 1;
        } else {
            self.not_fitting += 1;
        }
        if vote.knows_previous {
            self.knowing_previous += 1;
        }
        for turn in vote.known {
            self.learn(turn);
        }
        self.chain = self.chain.take().or(vote.chain);
        self.decision()
    }

    /// Content of the chain, where a vote brought it.
    pub fn take_chain(&mut self) -> Option<ChainReply> {
        self.chain.take()
    }

    /// Votes so far.
    pub fn votes(&self) -> usize {
        self.votes
    }

    /// Tokens of all other turns, by everything the voters know.
    pub fn counted_tokens(&self) -> u64 {
        self.known.values().map(|turn| turn.tokens).sum()
    }

    fn learn(&mut self, turn: KnownTurn) {
        match self.known.get_mut(&turn.turn) {
            None => {
                self.known.insert(turn.turn.clone(), turn);
            }
            Some(known) if turn.has_ended && !known.has_ended => *known = turn,
            Some(known) if turn.has_ended == known.has_ended => known.tokens = known.tokens.max(turn.tokens),
            Some(_) => {}
        }
    }

    fn decision(&self) -> BeginDecision {
        if self.not_fitting >= self.majority {
            return BeginDecision::BudgetSpent;
        }
        if self.votes < self.majority {
            return BeginDecision::Pending;
        }
        if self.knowing_previous == 0 {
            return BeginDecision::UnknownPrevious;
        }
        let fits_union =
            self.budget_tokens == 0 || self.counted_tokens() + self.most_tokens <= self.budget_tokens;
        if !fits_union {
            return BeginDecision::BudgetSpent;
        }
        if self.fitting >= self.majority { BeginDecision::Admitted } else { BeginDecision::Pending }
    }
}
