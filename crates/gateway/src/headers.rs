//! Names of the system's HTTP headers, and parsing of its request headers.

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

const MAX_DEADLINE_SECONDS: f64 = 86_400.0;

/// The request headers that concern a chat call's program and deadline.
#[derive(Debug, Default)]
pub(crate) struct ProgramHeaders {
    pub(crate) program: Option<ProgramId>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) turn: Option<TurnNumber>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) mode: HistoryMode,
    pub(crate) deadline: Option<Duration>,
}

/// Parses the headers and checks that their combination is valid.
pub(crate) fn read(headers: &HeaderMap) -> Result<ProgramHeaders, Problem> {
    let program = parse_name(headers, PROGRAM)?;
    let parent = parse_name(headers, PARENT)?;
    let turn = match single_value(headers, TURN)? {
        None => None,
        Some(text) => {
            let number = text.parse().map_err(|_| invalid(TURN, "expected a non-negative integer"))?;
            Some(TurnNumber(number))
        }
    };
    let parsed = ProgramHeaders {
        program,
        parent,
        turn,
        key: idempotency_key(headers)?,
        mode: history_mode(headers)?,
        deadline: deadline(headers)?,
    };
    check_combination(&parsed)?;
    Ok(parsed)
}

pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Problem> {
    parse_name(headers, IDEMPOTENCY_KEY)
}

fn check_combination(parsed: &ProgramHeaders) -> Result<(), Problem> {
    if parsed.program.is_some() {
        if parsed.program == parsed.parent {
            return Err(invalid(PARENT, "a program cannot be its own parent"));
        }
        return Ok(());
    }
    if parsed.turn.is_some() {
        return Err(invalid(TURN, "requires Sumacdrift-Program"));
    }
    if parsed.parent.is_some() {
        return Err(invalid(PARENT, "requires Sumacdrift-Program"));
    }
    if parsed.mode == HistoryMode::Append {
        return Err(invalid(HISTORY, "append requires Sumacdrift-Program"));
    }
    Ok(())
}

fn history_mode(headers: &HeaderMap) -> Result<HistoryMode, Problem> {
    match single_value(headers, HISTORY)? {
        None | Some("full") => Ok(HistoryMode::Full),
        Some("append") => Ok(HistoryMode::Append),
        Some(_) => Err(invalid(HISTORY, "expected full or append")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(text) = single_value(headers, DEADLINE)? else { return Ok(None) };
    let seconds: Option<f64> = text.parse().ok();
    let in_range = seconds.filter(|seconds| *seconds > 0.0 && *seconds <= MAX_DEADLINE_SECONDS);
    match in_range {
        Some(seconds) => Ok(Some(Duration::from_secs_f64(seconds))),
        None => Err(invalid(DEADLINE, "expected a number of seconds above 0 and up to 86400")),
    }
}

fn parse_name<T: TryFrom<String>>(headers: &HeaderMap, header: &'static str) -> Result<Option<T>, Problem>
where
    T::Error: std::fmt::Display,
{
    let Some(text) = single_value(headers, header)? else { return Ok(None) };
    match T::try_from(text.to_owned()) {
        Ok(name) => Ok(Some(name)),
        Err(error) => Err(invalid(header, &error.to_string())),
    }
}

/// Returns the header's value. A header that appears more than once is rejected as ambiguous.
fn single_value<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(header, "appears more than once"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(invalid(header, "contains characters other than visible ASCII")),
    }
}

fn invalid(header: &str, reason: &str) -> Problem {
    Problem::not_run(ResultCode::InvalidHeader, format!("header {header}: {reason}"))
}
