//! Selection of the log lines that concern one call or program.

use std::collections::BTreeSet;

use crate::log::LogLine;

/// Events that report a change of a node's state; those shortly before a call's end may explain it.
const STATE_CHANGE_EVENTS: [&str; 17] = [
    "start",
    "stop",
    "stop_begun",
    "failed",
    "journal_replayed",
    "group_changed",
    "member_lost",
    "catch_up_read",
    "catch_up_failed",
    "commit_failed",
    "slow_commit",
    "dependency_lost",
    "dependency_regained",
    "store_followed",
    "engine_avoided",
    "engine_gone",
    "configuration",
];
/// How long before a call's end state changes are included.
const NEARBY_SECONDS: f64 = 5.0;

/// The log lines that concern one call or program.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallTrace {
    /// Ids of the calls.
    pub calls: BTreeSet<String>,
    /// Lines about the calls, in order of time.
    pub lines: Vec<LogLine>,
    /// Lines about earlier turns that the calls name as their predecessors.
    pub earlier: Vec<LogLine>,
    /// State changes at the last line's node, at the calls' engines and at storage nodes, shortly before that line.
    pub nearby: Vec<LogLine>,
}

/// Selects the lines about an id, which may be a call's or a program's.
pub fn collect_trace(id: &str, lines: &[LogLine]) -> CallTrace {
    let is_about = |line: &&LogLine| line.text("call") == id || line.text("program") == id;
    let own: Vec<LogLine> = lines.iter().filter(is_about).cloned().collect();
    let calls: BTreeSet<String> =
        own.iter().map(|line| line.text("call").to_owned()).filter(|call| !call.is_empty()).collect();
    // Only some lines of a call name its program; the others are found by the call's id.
    let is_of_call = |line: &&LogLine| is_about(line) || calls.contains(line.text("call"));
    let lines_of_calls: Vec<LogLine> = lines.iter().filter(is_of_call).cloned().collect();
    let previous: BTreeSet<&str> =
        lines_of_calls.iter().map(|line| line.text("previous")).filter(|turn| !turn.is_empty()).collect();
    let is_earlier =
        |line: &&LogLine| previous.contains(line.text("call")) && !calls.contains(line.text("call"));
    let earlier = lines.iter().filter(is_earlier).cloned().collect();
    let nearby = lines_of_calls
        .last()
        .map(|end| nearby_state_changes(end, &lines_of_calls, lines))
        .unwrap_or_default();
    CallTrace { calls, lines: lines_of_calls, earlier, nearby }
}

/// State changes shortly before a call ended, at its own node, at its engines and at storage nodes.
fn nearby_state_changes(end: &LogLine, own: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let engines: BTreeSet<&str> =
        own.iter().map(|line| line.text("engine")).filter(|engine| !engine.is_empty()).collect();
    let Some(ended) = seconds_of_day(&end.ts) else { return Vec::new() };
    let is_nearby = |line: &&LogLine| {
        seconds_of_day(&line.ts).is_some_and(|at| at <= ended && ended - at <= NEARBY_SECONDS)
    };
    let is_relevant = |line: &&LogLine| {
        let is_of_engine = engines.contains(line.text("engine"));
        let is_of_ledger = line.node.starts_with("storage");
        STATE_CHANGE_EVENTS.contains(&line.event.as_str())
            && (is_of_engine || is_of_ledger || line.node == end.node)
    };
    lines.iter().filter(is_nearby).filter(is_relevant).cloned().collect()
}

/// Seconds since midnight of a time such as `2026-12-02T10:15:30.123Z`.
fn seconds_of_day(ts: &str) -> Option<f64> {
    let time = ts.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}
