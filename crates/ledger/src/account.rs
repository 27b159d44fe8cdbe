//! Token account of one program.

use std::collections::BTreeMap;

use sumacdrift_mutants::{Rule, is_broken};

use crate::message::KnownTurn;

/// Tokens of one turn that count against its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TurnAccount {
    /// Maximum that the turn may generate; 0 if only its end is known.
    pub(crate) max_tokens: u64,
    /// Tokens delivered to the caller; `None` until the end is known.
    pub(crate) ended_tokens: Option<u64>,
}

impl TurnAccount {
    fn charged_tokens(&self) -> u64 {
        let reserved = if is_broken(Rule::LedgerOpenTurnsCount) { 0 } else { self.max_tokens };
        self.ended_tokens.unwrap_or(reserved)
    }
}

/// Turns of one program, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProgramAccount {
    pub(crate) turns: BTreeMap<String, TurnAccount>,
    pub(crate) expires: u64,
}

impl ProgramAccount {
    /// Records the start of a turn; returns whether this adds information.
    pub(crate) fn record_begin(&mut self, turn: &str, max_tokens: u64) -> bool {
        let is_known = self.turns.contains_key(turn);
        let account = self.turns.entry(turn.to_owned()).or_default();
        let is_new = !is_known || max_tokens > account.max_tokens;
        account.max_tokens = account.max_tokens.max(max_tokens);
        is_new
    }

    /// Records the end of a turn; returns whether this adds information. Of several ends, the largest counts.
    pub(crate) fn record_end(&mut self, turn: &str, tokens: u64) -> bool {
        let account = self.turns.entry(turn.to_owned()).or_default();
        let is_new = account.ended_tokens.is_none_or(|known| tokens > known);
        account.ended_tokens = Some(account.ended_tokens.unwrap_or(0).max(tokens));
        is_new
    }

    pub(crate) fn known_except(&self, turn: &str) -> Vec<KnownTurn> {
        let others = self.turns.iter().filter(|(other, _)| *other != turn);
        let known = others.map(|(other, account)| KnownTurn {
            turn: other.clone(),
            tokens: account.charged_tokens(),
            has_ended: account.ended_tokens.is_some(),
        });
        known.collect()
    }

    /// Tokens spent or reserved by all turns but one.
    pub(crate) fn charged_tokens_except(&self, turn: &str) -> u64 {
        let others = self.turns.iter().filter(|(other, _)| *other != turn);
        others.map(|(_, account)| account.charged_tokens()).sum()
    }
}
