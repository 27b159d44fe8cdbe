//! The system's own request headers.

use std::time::Duration;

use axum::http::HeaderMap;
use sumacdrift_types::{HistoryMode, IdempotencyKey, Problem, ProgramId, ResultCode, TurnNumber};

pub(crate) const PROGRAM: &str = "sumacdrift-program";
pub(crate) const TURN: &str = "sumacdrift-turn";
pub(crate) const PARENT: &str = "sumacdrift-parent";
pub(crate) const HISTORY: &str = "sumacdrift-history";
pub(crate) const DEADLINE: &str = "sumacdrift-deadline-seconds";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const CALL: &str = "sumacdrift-call";
pub(crate) const REPLAYED: &str = "sumacdrift-replayed";

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE_SECONDS: f64 = 86_400.0;

/// What a request's headers say of the program.
#[derive(Debug, Default)]
pub(crate) struct ProgramHeaders {
    pub(crate) program: Option<ProgramId>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) turn: Option<TurnNumber>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) mode: HistoryMode,
    pub(crate) deadline: Option<Duration>,
}

/// Reads and checks the system's headers.
pub(crate) fn read(headers: &HeaderMap) -> Result<ProgramHeaders, Problem> {
    let program = name(headers, PROGRAM)?;
    let parent = name(headers, PARENT)?;
    let turn = match text(headers, TURN)? {
        None => None,
        Some(text) => {
            let number = text.parse().map_err(|_| invalid(TURN, "a whole number from 0 is needed"))?;
            Some(TurnNumber(number))
        }
    };
    let found = ProgramHeaders {
        program,
        parent,
        turn,
        key: idempotency_key(headers)?,
        mode: history_mode(headers)?,
        deadline: deadline(headers)?,
    };
    check_together(&found)?;
    Ok(found)
}

/// Reads the idempotency key alone.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Problem> {
    name(headers, IDEMPOTENCY_KEY)
}

fn check_together(found: &ProgramHeaders) -> Result<(), Problem> {
    if found.program.is_some() {
        if found.program == found.parent {
            return Err(invalid(PARENT, "a program can't be its own parent"));
        }
        return Ok(());
    }
    if found.turn.is_some() {
        return Err(invalid(TURN, "it needs Sumacdrift-Program beside it"));
    }
    if found.parent.is_some() {
        return Err(invalid(PARENT, "it needs Sumacdrift-Program beside it"));
    }
    if found.mode == HistoryMode::Append {
        return Err(invalid(HISTORY, "append needs Sumacdrift-Program beside it"));
    }
    Ok(())
}

fn history_mode(headers: &HeaderMap) -> Result<HistoryMode, Problem> {
    match text(headers, HISTORY)? {
        None | Some("full") => Ok(HistoryMode::Full),
        Some("append") => Ok(HistoryMode::Append),
        Some(_) => Err(invalid(HISTORY, "full or append is needed")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(text) = text(headers, DEADLINE)? else { return Ok(None) };
    let seconds: Option<f64> = text.parse().ok();
    let in_range = seconds.filter(|seconds| *seconds > 0.0 && *seconds <= MAX_DEADLINE_SECONDS);
    match in_range {
        Some(seconds) => Ok(Some(Duration::from_secs_f64(seconds))),
        None => Err(invalid(DEADLINE, "a number of seconds above 0 is needed")),
    }
}

fn name<T: TryFrom<String>>(headers: &HeaderMap, header: &'static str) -> Result<Option<T>, Problem>
where
    T::Error: std::fmt::Display,
{
    let Some(text) = text(headers, header)? else { return Ok(None) };
    match T::try_from(text.to_owned()) {
        Ok(name) => Ok(Some(name)),
        Err(error) => Err(invalid(header, &error.to_string())),
    }
}

/// The header's value; a header that appears twice is refused, since either value might be the one meant.
fn text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(header, "it appears more than once"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(invalid(header, "it holds characters outside ASCII")),
    }
}

fn invalid(header: &str, reason: &str) -> Problem {
    Problem::not_run(ResultCode::InvalidHeader, format!("header {header}: {reason}"))
}
