//! Account of one program: the tokens of its turns, and the origins of their streams.

use std::collections::BTreeMap;
use std::sync::Arc;

use sumacdrift_mutants::{Rule, is_broken};

use crate::message::{Begin, KnownTurn, StreamOrigin, TurnBegun, TurnEnded};

/// One turn: the tokens that count against its program's budget, and the origin of its stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct TurnAccount {
    /// Maximum that the turn may generate; 0 if only its end is known.
    pub(crate) max_tokens: u64,
    /// Tokens delivered to the caller; `None` until the end is known.
    pub(crate) ended_tokens: Option<u64>,
    /// Fingerprint of its request.
    pub(crate) request: Option<u64>,
    /// Shared with other turns, as there are few different ones.
    pub(crate) origin: Option<Arc<StreamOrigin>>,
    /// Whether all known ends say that the caller got no event.
    pub(crate) has_no_event: bool,
}

impl TurnAccount {
    /// Records an origin if it is newer than the known one; returns whether it is.
    fn record_origin(&mut self, origin: Option<Arc<StreamOrigin>>) -> bool {
        let newer = origin.filter(|origin| origin.replaces(self.origin.as_deref()));
        let is_newer = newer.is_some();
        self.origin = newer.or(self.origin.take());
        is_newer
    }

    /// The origin of the turn's stream as a message.
    pub(crate) fn origin_message(&self) -> Option<StreamOrigin> {
        self.origin.as_deref().cloned()
    }

    /// Whether the turn may have begun the stream that a turn with this request resumes. Ended turns that a build without
    /// fingerprints has transferred may have any request.
    fn may_have_request(&self, request: Option<u64>) -> bool {
        self.request.is_none() || self.request == request
    }

    fn charged_tokens(&self) -> u64 {
        let reserved = if is_broken(Rule::LedgerOpenTurnsCount) { 0 } else { self.max_tokens };
        self.ended_tokens.unwrap_or(reserved)
    }
}

/// Turns of one program, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProgramAccount {
    pub(crate) turns: BTreeMap<String, TurnAccount>,
    /// Turns that those under way continue, by the continuing turn.
    pub(crate) continued: BTreeMap<String, String>,
    /// Bytes that the content of turns under way may take.
    pub(crate) retained_bytes: BTreeMap<String, u64>,
    pub(crate) expires: u64,
}

impl ProgramAccount {
    /// Records the start of a turn; returns whether this adds information.
    pub(crate) fn record_begin(&mut self, begun: &TurnBegun, origin: Option<Arc<StreamOrigin>>) -> bool {
        let is_known = self.turns.contains_key(&begun.turn);
        let account = self.turns.entry(begun.turn.clone()).or_default();
        let is_new = !is_known || begun.max_tokens > account.max_tokens;
        account.max_tokens = account.max_tokens.max(begun.max_tokens);
        account.request = account.request.or(begun.request);
        let is_new_origin = account.record_origin(origin);
        let is_under_way = account.ended_tokens.is_none();
        if is_under_way && begun.retained_bytes > 0 {
            self.retained_bytes.insert(begun.turn.clone(), begun.retained_bytes);
        }
        let continues = is_under_way && !begun.previous.is_empty();
        let is_new_continuation =
            continues && self.continued.insert(begun.turn.clone(), begun.previous.clone()).is_none();
        is_new || is_new_origin || is_new_continuation
    }

    /// Records the end of a turn; returns whether this adds information. Of several ends, the largest counts, and one
    /// after an event was forwarded.
    pub(crate) fn record_end(&mut self, ended: &TurnEnded, origin: Option<Arc<StreamOrigin>>) -> bool {
        self.continued.remove(&ended.turn);
        self.retained_bytes.remove(&ended.turn);
        let account = self.turns.entry(ended.turn.clone()).or_default();
        let is_new = account.ended_tokens.is_none_or(|known| ended.tokens > known);
        let is_correction = account.has_no_event && !ended.has_no_event;
        account.has_no_event = ended.has_no_event && (account.has_no_event || account.ended_tokens.is_none());
        account.ended_tokens = Some(account.ended_tokens.unwrap_or(0).max(ended.tokens));
        let is_new_request = account.request.is_none() && ended.request.is_some();
        account.request = account.request.or(ended.request);
        let is_new_origin = account.record_origin(origin);
        is_new || is_correction || is_new_request || is_new_origin
    }

    /// Bytes that the content of all turns under way may take.
    pub(crate) fn reserved_bytes(&self) -> u64 {
        self.retained_bytes.values().sum()
    }

    /// Newest known origin of a turn's stream.
    pub(crate) fn origin_of(&self, turn: &str) -> Option<StreamOrigin> {
        self.turns.get(turn)?.origin_message()
    }

    /// All turns but the one that begins.
    pub(crate) fn known_except(&self, turn: &TurnBegun, begin: &Begin) -> Vec<KnownTurn> {
        let request = turn.request;
        let others = self.turns.iter().filter(|(other, _)| **other != turn.turn);
        let known = others.map(|(other, account)| KnownTurn {
            turn: other.clone(),
            tokens: account.charged_tokens(),
            has_ended: account.ended_tokens.is_some(),
            is_open_attempt: account.ended_tokens.is_none()
                && request.is_some()
                && account.request == request,
            origin: (begin.resumes_same_request && account.may_have_request(request))
                .then(|| account.origin_message())
                .flatten(),
            has_no_event: begin.resumes_same_request && account.has_no_event,
        });
        known.collect()
    }

    /// Tokens spent or reserved by all turns but one.
    pub(crate) fn charged_tokens_except(&self, turn: &str) -> u64 {
        let others = self.turns.iter().filter(|(other, _)| *other != turn);
        others.map(|(_, account)| account.charged_tokens()).sum()
    }
}
