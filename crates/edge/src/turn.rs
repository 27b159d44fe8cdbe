//! Turns of programs in the ledger: begun before an engine runs them, and ended on every outcome.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info};
use sumacdrift_calls::{CallMetadata, EngineVersion, ProgramMetadata, RequestFingerprint};
use sumacdrift_ledger::{ResumedTurn, RetainedTurn, StreamOrigin, TurnBegun, TurnEnded};
use sumacdrift_request_memory::Reservation;
use sumacdrift_routing::{SelectedRoute, ServiceSpec};
use sumacdrift_storage::{Admission, BeginTurn, LedgerClient, LedgerError};
use sumacdrift_types::ResultCode;
use tokio::time::Instant;

use crate::access::Caller;

/// Retention if the route sets none; longer than any running program needs.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// A turn that is open in the ledger. Dropping it without [`OpenTurn::commit`] ends it with the tokens forwarded so
/// far.
pub(crate) struct OpenTurn {
    ledger: Arc<LedgerClient>,
    logger: Logger,
    program: String,
    turn: String,
    previous: String,
    max_tokens: u64,
    request: RequestFingerprint,
    retention_millis: u64,
    /// The recorded origin of the turn's stream.
    origin: Option<StreamOrigin>,
    /// Highest revision of an origin that was sent to the ledger.
    origin_revision: u32,
    tokens_per_event: u64,
    tokens: u64,
    input: Option<Bytes>,
    output: Vec<u8>,
    /// Memory for the message with the turn's content.
    _message_memory: Option<Reservation>,
    /// Whether the caller may have got an event. Also true of a turn that was not admitted: its call goes on without it.
    may_have_event: bool,
    has_ended: bool,
}

pub(crate) struct TurnRequest<'a> {
    pub(crate) head: &'a CallMetadata,
    pub(crate) program: &'a ProgramMetadata,
    pub(crate) caller: &'a Caller,
    pub(crate) selected: &'a SelectedRoute,
    /// The caller's request body.
    pub(crate) input: &'a Bytes,
    /// Expected origin of the turn's stream.
    pub(crate) origin: Option<StreamOrigin>,
    /// Turn whose stream the call resumes.
    pub(crate) resumed_turn: ResumedTurn,
    pub(crate) fingerprint: RequestFingerprint,
    /// Encoded state for other edges, sent with the request.
    pub(crate) update: Bytes,
    /// Memory for the message that will end a kept turn.
    pub(crate) message_memory: Option<Reservation>,
}

pub(crate) fn result_code(error: LedgerError) -> ResultCode {
    match error {
        LedgerError::BudgetSpent => ResultCode::BudgetExhausted,
        LedgerError::UnknownPrevious => ResultCode::UnknownPreviousTurn,
        LedgerError::OutOfMemory => ResultCode::NoTurnMemory,
        LedgerError::Unavailable | LedgerError::GroupUnavailable { .. } => ResultCode::LedgerUnavailable,
    }
}

/// Bytes of output that one token stands for, generously.
const OUTPUT_BYTES_PER_TOKEN: u64 = 16;

/// Separates the tenant from a program's or turn's name. Names on the wire contain no control characters, so a
/// caller can't forge another tenant's prefix.
const TENANT_SEPARATOR: char = '\u{1f}';

impl Caller {
    /// The name of a program or turn in the ledger. It is prefixed with the tenant, so that a tenant can't continue
    /// another's turns or spend its budget.
    pub(crate) fn name_in_ledger(&self, name: &str) -> String {
        match &self.tenant {
            Some(tenant) => format!("{}{TENANT_SEPARATOR}{name}", tenant.name),
            None => name.to_owned(),
        }
    }
}

/// The program under which the ledger records the call's turn. A stream without a program gets one of its own, named after
/// the call that began it.
pub(crate) fn ledger_program(head: &CallMetadata) -> Cow<'_, ProgramMetadata> {
    if let Some(program) = &head.program {
        return Cow::Borrowed(program);
    }
    let first_call = head.resumed_call.as_ref().unwrap_or(&head.id);
    // Two separators occur in no other name.
    let program = format!("{TENANT_SEPARATOR}{TENANT_SEPARATOR}{first_call}");
    Cow::Owned(ProgramMetadata { program, line: None, time_left: None, token_budget: None })
}

impl OpenTurn {
    /// Begins the turn in the ledger; fails if the ledger rejects it or is unavailable.
    pub(crate) async fn begin(
        ledger: &Arc<LedgerClient>,
        logger: &Logger,
        request: TurnRequest<'_>,
        until: Instant,
    ) -> Result<(Self, Admission), LedgerError> {
        let TurnRequest { head, program, caller, selected, input, origin, resumed_turn, .. } = request;
        let TurnRequest { fingerprint, update, message_memory, .. } = request;
        let named = |name: &str| caller.name_in_ledger(name);
        let route = &selected.route;
        let retention = if route.retention.is_zero() { DEFAULT_RETENTION } else { route.retention };
        let retention_millis = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let previous = head.previous.as_deref().filter(|_| route.is_retained).map(named).unwrap_or_default();
        let mut open = Self {
            ledger: Arc::clone(ledger),
            logger: logger.clone(),
            program: named(&program.program),
            turn: named(&head.id),
            previous: previous.clone(),
            max_tokens: head.usage.map_or(0, |usage| usage.max_output),
            request: fingerprint,
            retention_millis,
            origin_revision: origin.as_ref().map_or(0, |origin| origin.revision),
            origin,
            tokens_per_event: selected.service.tokens_per_event,
            tokens: 0,
            input: route.is_retained.then(|| input.clone()),
            output: Vec::new(),
            _message_memory: message_memory,
            may_have_event: true,
            has_ended: false,
        };
        let begin = BeginTurn {
            turn: open.turn_begun(open.origin.clone()),
            budget_tokens: program.token_budget.unwrap_or(0),
            needs_chain: route.is_retained && !previous.is_empty(),
            previous,
            resumed_turn,
            request: Some(fingerprint),
            report: update,
        };
        // If this future is dropped while waiting, dropping `open` ends the turn.
        let admission = ledger.begin(begin, until).await?;
        open.may_have_event = false;
        Ok((open, admission))
    }

    fn turn_begun(&self, origin: Option<StreamOrigin>) -> TurnBegun {
        TurnBegun {
            program: self.program.clone(),
            turn: self.turn.clone(),
            max_tokens: self.max_tokens,
            retention_millis: self.retention_millis,
            origin,
            request: Some(self.request.0),
            previous: self.previous.clone(),
            retained_bytes: self.input.as_ref().map_or(0, |input| self.max_content_bytes(input)),
        }
    }

    /// Bytes that the content of a retained turn may take.
    fn max_content_bytes(&self, input: &Bytes) -> u64 {
        input.len() as u64 + self.max_tokens.saturating_mul(OUTPUT_BYTES_PER_TOKEN)
    }

    /// Whether the recorded origin is this service and version.
    pub(crate) fn has_origin(&self, service: &str, version: &EngineVersion) -> bool {
        let origin = self.origin.as_ref();
        origin.is_some_and(|origin| origin.service == service && origin.version == version.as_str())
    }

    /// Replaces the origin of the turn's stream; returns once a majority has recorded it. No event of the stream may
    /// have been forwarded.
    pub(crate) async fn record_origin(
        &mut self,
        origin: StreamOrigin,
        until: Instant,
    ) -> Result<(), LedgerError> {
        self.origin_revision += 1;
        let origin = StreamOrigin { revision: self.origin_revision, ..origin };
        // The turn was admitted before, so neither its budget nor its chain is checked again.
        let begin = BeginTurn {
            turn: self.turn_begun(Some(origin.clone())),
            budget_tokens: 0,
            previous: String::new(),
            needs_chain: false,
            resumed_turn: ResumedTurn::None,
            request: None,
            report: Bytes::new(),
        };
        self.ledger.begin(begin, until).await?;
        self.origin = Some(origin);
        Ok(())
    }

    /// Counts events as those of a service, which the turn was moved to.
    pub(crate) fn set_service(&mut self, service: &ServiceSpec) {
        self.tokens_per_event = service.tokens_per_event;
    }

    /// Accounts for an event that is about to be forwarded to the caller.
    pub(crate) fn record_event(&mut self, event: &sumacdrift_calls::StreamEvent) {
        self.may_have_event = true;
        if !event.has_data {
            return;
        }
        self.tokens += self.tokens_per_event;
        if self.input.is_some() {
            event.append_data(&mut self.output);
        }
    }

    /// Ends the turn after a complete stream. A retained turn is committed before this returns; others are ended in
    /// the background. `update` is sent along.
    pub(crate) async fn commit(mut self, update: Bytes) -> Result<(), LedgerError> {
        let retained = self.input.take().map(|input| RetainedTurn {
            previous: self.previous.clone(),
            input,
            output: Bytes::from(std::mem::take(&mut self.output)),
        });
        let is_retained = retained.is_some();
        let ended = self.turn_ended(retained);
        if is_retained {
            self.ledger.end(ended, update).await?;
            self.has_ended = true;
        } else {
            self.has_ended = true;
            self.end_in_background(ended, update);
        }
        Ok(())
    }

    /// Tokens forwarded so far.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    fn turn_ended(&self, retained: Option<RetainedTurn>) -> TurnEnded {
        TurnEnded {
            program: self.program.clone(),
            turn: self.turn.clone(),
            tokens: self.tokens,
            retention_millis: self.retention_millis,
            retained,
            has_no_event: !self.may_have_event,
            ..TurnEnded::default()
        }
    }

    fn end_in_background(&self, ended: TurnEnded, update: Bytes) {
        let ledger = Arc::clone(&self.ledger);
        let logger = self.logger.clone();
        tokio::spawn(async move {
            let turn = ended.turn.clone();
            if let Err(error) = ledger.end(ended, update).await {
                info!(logger, "could not end the turn in the ledger"; "event" => "turn_not_settled", "call" => turn,
                    "error" => %error);
            }
        });
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if !self.has_ended && tokio::runtime::Handle::try_current().is_ok() {
            let ended = self.turn_ended(None);
            self.end_in_background(ended, Bytes::new());
        }
    }
}
