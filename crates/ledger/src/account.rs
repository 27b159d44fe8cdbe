//! What one program has spent.

use std::collections::BTreeMap;

use sumacdrift_mutants::{Rule, is_broken};

use crate::message::KnownTurn;

/// What a turn counts against its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TurnAccount {
    /// Most that the turn may generate; 0 where only its end is known.
    pub(crate) most_tokens: u64,
    /// Tokens handed to the caller, once the turn has ended.
    pub(crate) ended_tokens: Option<u64>,
}

impl TurnAccount {
    fn counted(&self) -> u64 {
        let open = if is_broken(Rule::LedgerOpenTurnsCount) { 0 } else { self.most_tokens };
        self.ended_tokens.unwrap_or(open)
    }
}

/// All turns of one program.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProgramAccount {
    pub(crate) turns: BTreeMap<String, TurnAccount>,
    pub(crate) expires: u64,
}

impl ProgramAccount {
    /// Notes a turn's begin; returns whether it is new.
    pub(crate) fn begin(&mut self, turn: &str, most_tokens: u64) -> bool {
        let is_known = self.turns.contains_key(turn);
        let account = self.turns.entry(turn.to_owned()).or_default();
        let is_new = !is_known || most_tokens > account.most_tokens;
        account.most_tokens = account.most_tokens.max(most_tokens);
        is_new
    }

    /// Notes a turn's end; returns whether it is new. Where several ends are known, the largest counts.
    pub(crate) fn end(&mut self, turn: &str, tokens: u64) -> bool {
        let account = self.turns.entry(turn.to_owned()).or_default();
        let is_new = account.ended_tokens.is_none_or(|known| tokens > known);
        account.ended_tokens = Some(account.ended_tokens.unwrap_or(0).max(tokens));
        is_new
    }

    /// Every turn but one.
    pub(crate) fn known_besides(&self, turn: &str) -> Vec<KnownTurn> {
        let others = self.turns.iter().filter(|(other, _)| *other != turn);
        let known = others.map(|(other, account)| KnownTurn {
            turn: other.clone(),
            tokens: account.counted(),
            has_ended: account.ended_tokens.is_some(),
        });
        known.collect()
    }

    /// Tokens spent or reserved by every turn but one.
    pub(crate) fn counted_besides(&self, turn: &str) -> u64 {
        let others = self.turns.iter().filter(|(other, _)| *other != turn);
        others.map(|(_, account)| account.counted()).sum()
    }
}
