//! Admission of turns: decides whether a request is admitted, waits, is replayed or is rejected.

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{ChatMessage, HistoryMode, PrefixDigest, Problem, ResultCode, Timestamp, TurnNumber};

use crate::history::extend_digest;
use crate::{
    BeginTurn, Budget, Entry, History, InFlight, Program, ProgramOpened, Reply, Reservation, RunTurn,
    TurnAccepted,
};

/// Outcome of a request to begin a turn.
pub(crate) enum Admission {
    /// Commit these entries; the turn runs once they are applied.
    Propose(Vec<Entry>),
    /// Re-evaluate the request when the program's state has changed; the text is the reason.
    Wait(&'static str),
    /// Reply at once.
    Reply(Reply),
}

impl Admission {
    fn reject(code: ResultCode, detail: &str) -> Self {
        Self::Reply(Reply::Rejected(Problem::not_run(code, detail)))
    }
}

/// Decides on a turn. `has_unapplied_entries`: entries of the program have been proposed and not yet applied.
pub(crate) fn admit_turn(
    record: Option<&Program>,
    has_unapplied_entries: bool,
    request: &BeginTurn,
    now: Timestamp,
) -> Admission {
    if has_unapplied_entries {
        return Admission::Wait("an earlier change of the program is being committed");
    }
    match record {
        None => admit_first_turn(request, now),
        Some(record) if record.tenant != request.tenant => {
            Admission::reject(ResultCode::UnknownProgram, "the program belongs to another tenant")
        }
        Some(record) => admit_known_program(record, request, now),
    }
}

/// The reply that instructs a runner to run an admitted turn.
pub(crate) fn run_reply(record: &Program, in_flight: &InFlight, include_history: bool) -> Reply {
    let earlier_messages = if include_history { record.history.messages().to_vec() } else { Vec::new() };
    Reply::Run(Box::new(RunTurn {
        turn: in_flight.accepted.turn,
        earlier_messages,
        output_tokens: in_flight.accepted.reserved.output_tokens,
        last_engine: record.last_engine.clone(),
        attained_tokens: record.budget.spent.output_tokens,
    }))
}

fn admit_first_turn(request: &BeginTurn, now: Timestamp) -> Admission {
    if request.turn.is_some_and(|turn| turn > TurnNumber(0)) {
        return Admission::Wait("the program's earlier turns have not come yet");
    }
    if request.known_prefix.length > 0 {
        return Admission::Reply(Reply::PrefixMismatch);
    }
    if request.messages.is_empty() {
        return Admission::reject(ResultCode::MalformedBody, "the request contains no messages");
    }
    let budget = Budget::new(request.limits, now);
    let opened = Entry::ProgramOpened(ProgramOpened {
        program: request.program.clone(),
        tenant: request.tenant.clone(),
        parent: request.parent.clone(),
        limits: request.limits,
        at: now,
    });
    propose(&budget, TurnNumber(0), request.messages.clone(), vec![opened], request, now)
}

fn admit_known_program(record: &Program, request: &BeginTurn, now: Timestamp) -> Admission {
    if let Some(admission) = admit_duplicate(record, request) {
        return admission;
    }
    if record.ended.is_some() {
        return Admission::reject(ResultCode::ProgramEnded, "the program has ended");
    }
    if record.in_flight.is_some() {
        return Admission::Wait("another call of the program is under way");
    }
    if request.turn.is_some_and(|turn| turn > record.next_turn()) && !is_broken(Rule::TurnsInOrder) {
        return Admission::Wait("an earlier turn has not come yet");
    }
    let new_messages = match new_messages(&record.history, request) {
        Ok(messages) => messages,
        Err(admission) => return admission,
    };
    propose(&record.budget, record.next_turn(), new_messages, Vec::new(), request, now)
}

/// Handles a request whose turn, key or call id was used before; `None` if it is new.
fn admit_duplicate(record: &Program, request: &BeginTurn) -> Option<Admission> {
    if let Some(in_flight) = record.in_flight_call(request.call) {
        let include_history = request.mode == HistoryMode::Append;
        return Some(Admission::Reply(run_reply(record, in_flight, include_history)));
    }
    let by_key = request.key.as_ref().and_then(|key| record.turn_of_key(key));
    let by_turn = request.turn.filter(|turn| *turn < record.next_turn());
    if let Some(turn) = by_key.or(by_turn).filter(|_| !is_broken(Rule::ReplayRecordedTurn)) {
        return Some(replay(record, turn, by_key.is_some(), request));
    }
    let in_flight = record.in_flight.as_ref()?;
    let is_same_key = request.key.is_some() && request.key == in_flight.accepted.key;
    let is_same_turn = request.turn == Some(in_flight.accepted.turn);
    if !is_same_key && !is_same_turn {
        return None;
    }
    if content_digest(record, in_flight.accepted.turn, request) != in_flight.request_digest {
        return Some(content_mismatch(is_same_key));
    }
    Some(Admission::Wait("the same call is under way"))
}

fn replay(record: &Program, turn: TurnNumber, by_key: bool, request: &BeginTurn) -> Admission {
    let recorded = record.turns.get(turn.0 as usize).map(|record| record.request_digest);
    if recorded != Some(content_digest(record, turn, request)) {
        return content_mismatch(by_key);
    }
    let replayed_turn = if is_broken(Rule::AnswerToOwnCall) { TurnNumber(0) } else { turn };
    match record.recorded_answer(replayed_turn) {
        Some(answer) => Admission::Reply(Reply::Replay(answer)),
        None => Admission::reject(ResultCode::Internal, "the recorded answer is missing"),
    }
}

fn content_mismatch(by_key: bool) -> Admission {
    if by_key {
        let detail = "the key was already used with different messages";
        return Admission::reject(ResultCode::KeyContentDiffers, detail);
    }
    let detail = "the turn was already used with different messages";
    Admission::reject(ResultCode::TurnContentDiffers, detail)
}

/// Digest of the history before the answer of `turn`, according to the request.
fn content_digest(record: &Program, turn: TurnNumber, request: &BeginTurn) -> PrefixDigest {
    let start = match request.mode {
        HistoryMode::Full => request.known_prefix.digest,
        HistoryMode::Append => {
            let position = (turn.0 as usize).checked_sub(1);
            let previous = position.and_then(|position| record.turns.get(position));
            let length = previous.map_or(0, |record| record.answer_index + 1);
            record.history.prefix_digest(length).unwrap_or_default()
        }
    };
    extend_digest(start, &request.messages)
}

/// Returns the messages that the request adds to the history, or the reply if it does not match the history.
fn new_messages(history: &History, request: &BeginTurn) -> Result<Vec<ChatMessage>, Admission> {
    let added = match request.mode {
        HistoryMode::Append => request.messages.as_slice(),
        HistoryMode::Full => match messages_after_history(history, request) {
            Some(added) => added,
            None if request.known_prefix.length > 0 => {
                return Err(Admission::Reply(Reply::PrefixMismatch));
            }
            None => {
                let detail = "the messages do not start with the recorded history";
                return Err(Admission::reject(ResultCode::HistoryMismatch, detail));
            }
        },
    };
    if added.is_empty() {
        let detail = "the request adds no messages to the recorded history";
        return Err(Admission::reject(ResultCode::HistoryMismatch, detail));
    }
    Ok(added.to_vec())
}

fn messages_after_history<'a>(history: &History, request: &'a BeginTurn) -> Option<&'a [ChatMessage]> {
    let prefix = request.known_prefix;
    if history.prefix_digest(prefix.length)? != prefix.digest {
        return None;
    }
    let recorded = history.len().checked_sub(prefix.length)?;
    let (repeated, added) = request.messages.split_at_checked(recorded)?;
    let is_same = extend_digest(prefix.digest, repeated) == history.digest();
    (is_same || is_broken(Rule::HistoryMustMatch)).then_some(added)
}

fn propose(
    budget: &Budget,
    turn: TurnNumber,
    messages: Vec<ChatMessage>,
    mut entries: Vec<Entry>,
    request: &BeginTurn,
    now: Timestamp,
) -> Admission {
    let input_tokens = messages.iter().map(ChatMessage::estimated_tokens).sum();
    let reserved: Reservation = match budget.plan(input_tokens, request.max_output_tokens, now) {
        Ok(reserved) => reserved,
        Err(problem) => return Admission::Reply(Reply::Rejected(problem)),
    };
    entries.push(Entry::TurnAccepted(Box::new(TurnAccepted {
        program: request.program.clone(),
        call: request.call,
        turn,
        key: request.key.clone(),
        messages,
        reserved,
        runner: request.runner,
        give_up_at: now + request.run_timeout,
    })));
    Admission::Propose(entries)
}
