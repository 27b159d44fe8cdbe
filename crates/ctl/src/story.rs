//! The lines that belong to one call or program.

use std::collections::BTreeSet;

use crate::log::LogLine;

/// Events that change what a node believes; those around a call's end may explain it.
const BELIEFS: [&str; 17] = [
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
/// Seconds before a call's end in which such events count as near.
const NEAR_SECONDS: f64 = 5.0;

/// Everything known of one call or program.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Story {
    /// Calls that belong to it.
    pub calls: BTreeSet<String>,
    /// Lines about them, by time.
    pub lines: Vec<LogLine>,
    /// Lines about the earlier turn that a refused one named.
    pub earlier: Vec<LogLine>,
    /// What nodes came to believe shortly before the end.
    pub around: Vec<LogLine>,
}

/// Gathers the story of an id, which may be a call's or a program's.
pub fn story_of(id: &str, lines: &[LogLine]) -> Story {
    let is_about = |line: &&LogLine| line.text("call") == id || line.text("program") == id;
    let own: Vec<LogLine> = lines.iter().filter(is_about).cloned().collect();
    let calls: BTreeSet<String> =
        own.iter().map(|line| line.text("call").to_owned()).filter(|call| !call.is_empty()).collect();
    // A program's name stands in some lines of a call only, so the others are found by the call.
    let belongs = |line: &&LogLine| is_about(line) || calls.contains(line.text("call"));
    let lines_of_calls: Vec<LogLine> = lines.iter().filter(belongs).cloned().collect();
    let previous: BTreeSet<&str> =
        lines_of_calls.iter().map(|line| line.text("previous")).filter(|turn| !turn.is_empty()).collect();
    let is_earlier =
        |line: &&LogLine| previous.contains(line.text("call")) && !calls.contains(line.text("call"));
    let earlier = lines.iter().filter(is_earlier).cloned().collect();
    let around = lines_of_calls.last().map(|end| around(end, &lines_of_calls, lines)).unwrap_or_default();
    Story { calls, lines: lines_of_calls, earlier, around }
}

/// Beliefs that changed shortly before a call ended: of its own node, of its engines, of the ledger's replicas.
fn around(end: &LogLine, own: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let engines: BTreeSet<&str> =
        own.iter().map(|line| line.text("engine")).filter(|engine| !engine.is_empty()).collect();
    let Some(ended) = seconds(&end.ts) else { return Vec::new() };
    let is_near =
        |line: &&LogLine| seconds(&line.ts).is_some_and(|at| at <= ended && ended - at <= NEAR_SECONDS);
    let matters = |line: &&LogLine| {
        let is_of_engine = engines.contains(line.text("engine"));
        let is_of_ledger = line.node.starts_with("storage");
        BELIEFS.contains(&line.event.as_str()) && (is_of_engine || is_of_ledger || line.node == end.node)
    };
    lines.iter().filter(is_near).filter(matters).cloned().collect()
}

/// Seconds of the day of a time such as `2026-12-02T10:15:30.123Z`.
fn seconds(ts: &str) -> Option<f64> {
    let time = ts.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}
