//! A turn of a program in the ledger: begun before an engine may run it, ended whatever happens.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info};
use sumacdrift_calls::{CallHead, ProgramHead};
use sumacdrift_ledger::{RetainedTurn, TurnBegun, TurnEnded};
use sumacdrift_routing::Selected;
use sumacdrift_storage::{Admission, BeginTurn, LedgerClient, LedgerError};
use sumacdrift_types::ResultCode;
use tokio::time::Instant;

use crate::access::Caller;

/// Retention where the route names none: long enough for any program that still runs.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// A turn that is in the ledger. Dropping it without [`OpenTurn::commit`] ends it with the tokens handed out so far.
pub(crate) struct OpenTurn {
    ledger: Arc<LedgerClient>,
    logger: Logger,
    program: String,
    turn: String,
    previous: String,
    retention_millis: u64,
    tokens_per_event: u64,
    tokens: u64,
    input: Option<Bytes>,
    output: Vec<u8>,
    has_ended: bool,
}

/// What a turn needs to begin.
pub(crate) struct TurnRequest<'a> {
    pub(crate) head: &'a CallHead,
    pub(crate) program: &'a ProgramHead,
    /// Whose program it is.
    pub(crate) caller: &'a Caller,
    pub(crate) selected: &'a Selected,
    /// What the caller sent.
    pub(crate) input: &'a Bytes,
    /// What is told to other nodes besides.
    pub(crate) news: Bytes,
}

/// The result code that tells of a ledger's refusal.
pub(crate) fn code_of(error: LedgerError) -> ResultCode {
    match error {
        LedgerError::BudgetSpent => ResultCode::BudgetExhausted,
        LedgerError::UnknownPrevious => ResultCode::UnknownPreviousTurn,
        LedgerError::Unavailable | LedgerError::GroupUnavailable { .. } => ResultCode::LedgerUnavailable,
    }
}

/// Stands between a tenant's name and a program's or turn's. Names on the wire hold no control characters, so no caller
/// can write another tenant's.
const TENANT_SEPARATOR: char = '\u{1f}';

impl Caller {
    /// A program's or turn's name in the ledger: a tenant's names are its own, so that no tenant goes on from the turns of
    /// another or spends its budget.
    pub(crate) fn name_in_ledger(&self, name: &str) -> String {
        match &self.tenant {
            Some(tenant) => format!("{}{TENANT_SEPARATOR}{name}", tenant.name),
            None => name.to_owned(),
        }
    }
}

impl OpenTurn {
    /// Asks the ledger whether the turn may run.
    pub(crate) async fn begin(
        ledger: &Arc<LedgerClient>,
        logger: &Logger,
        request: TurnRequest<'_>,
        until: Instant,
    ) -> Result<(Self, Admission), LedgerError> {
        let TurnRequest { head, program, caller, selected, input, news } = request;
        let named = |name: &str| caller.name_in_ledger(name);
        let route = &selected.route;
        let retention = if route.retention.is_zero() { DEFAULT_RETENTION } else { route.retention };
        let retention_millis = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let previous = head.previous.as_deref().filter(|_| route.is_retained).map(named).unwrap_or_default();
        let open = Self {
            ledger: Arc::clone(ledger),
            logger: logger.clone(),
            program: named(&program.program),
            turn: named(&head.id),
            previous: previous.clone(),
            retention_millis,
            tokens_per_event: selected.service.tokens_per_event,
            tokens: 0,
            input: route.is_retained.then(|| input.clone()),
            output: Vec::new(),
            has_ended: false,
        };
        let begin = BeginTurn {
            turn: TurnBegun {
                program: open.program.clone(),
                turn: open.turn.clone(),
                most_tokens: head.usage.map_or(0, |usage| usage.most_output),
                retention_millis,
            },
            budget_tokens: program.token_budget.unwrap_or(0),
            needs_chain: route.is_retained && !previous.is_empty(),
            previous,
            news,
        };
        // If this is dropped while it waits, `open` ends the turn.
        let admission = ledger.begin(begin, until).await?;
        Ok((open, admission))
    }

    /// An event is about to be given to the caller.
    pub(crate) fn hand_out(&mut self, event: &sumacdrift_calls::StreamEvent) {
        if !event.has_data {
            return;
        }
        self.tokens += self.tokens_per_event;
        if self.input.is_some() {
            event.append_data(&mut self.output);
        }
    }

    /// The stream came to its end. Where the turn is kept, it is committed before this returns.
    /// `news` is told besides.
    pub(crate) async fn commit(mut self, news: Bytes) -> Result<(), LedgerError> {
        let retained = self.input.take().map(|input| RetainedTurn {
            previous: self.previous.clone(),
            input,
            output: Bytes::from(std::mem::take(&mut self.output)),
        });
        let is_kept = retained.is_some();
        let ended = self.ended(retained);
        if is_kept {
            self.ledger.end(ended, news).await?;
            self.has_ended = true;
        } else {
            self.has_ended = true;
            self.settle_later(ended, news);
        }
        Ok(())
    }

    /// Tokens handed out so far.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    fn ended(&self, retained: Option<RetainedTurn>) -> TurnEnded {
        TurnEnded {
            program: self.program.clone(),
            turn: self.turn.clone(),
            tokens: self.tokens,
            retention_millis: self.retention_millis,
            retained,
        }
    }

    fn settle_later(&self, ended: TurnEnded, news: Bytes) {
        let ledger = Arc::clone(&self.ledger);
        let logger = self.logger.clone();
        tokio::spawn(async move {
            let turn = ended.turn.clone();
            if let Err(error) = ledger.end(ended, news).await {
                info!(logger, "turn not settled"; "event" => "turn_not_settled", "call" => turn,
                    "error" => %error);
            }
        });
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if !self.has_ended && tokio::runtime::Handle::try_current().is_ok() {
            let ended = self.ended(None);
            self.settle_later(ended, Bytes::new());
        }
    }
}
