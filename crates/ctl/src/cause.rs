//! Explains in one sentence why a call ended as it did.

use sumacdrift_types::ResultCode;

use crate::log::LogLine;
use crate::story::Story;

/// Explains the end of a call, or of a program's last call.
pub fn cause_of(story: &Story) -> String {
    let Some(end) = story.lines.iter().rev().find(|line| is_end_event(line)) else {
        return match story.lines.is_empty() {
            true => "no line names it: it reached none of the nodes whose logs were given, or its lines \
                     were dropped (log_lines_dropped)"
                .to_owned(),
            false => {
                "no line records its end: the node was killed, or the line was dropped (log_lines_dropped)"
                    .to_owned()
            }
        };
    };
    match end.event.as_str() {
        "served" => explain_served(end),
        "turn_refused" => explain_turn_refused(end, story),
        "given_up" => explain_given_up(end, story),
        "bad_call" => format!("the request is malformed: {}", end.text("detail")),
        "access_refused" => explain_access_refused(end),
        "quota_refused" => explain_quota_refused(end),
        "no_route" => format!(
            "configuration {} has no route for {}{}",
            end.number("version").unwrap_or(0),
            end.text("host"),
            end.text("path")
        ),
        _ => format!("rejected: {}", result_title(end)),
    }
}

fn is_end_event(line: &LogLine) -> bool {
    let ends = [
        "served",
        "turn_refused",
        "given_up",
        "bad_call",
        "no_route",
        "refused",
        "access_refused",
        "quota_refused",
    ];
    ends.contains(&line.event.as_str())
}

fn explain_access_refused(end: &LogLine) -> String {
    let age = end.number("age_ms").map_or("never confirmed".to_owned(), |age| format!("{age} ms old"));
    let limit = end.number("limit_ms").map_or(String::new(), |limit| format!(", {limit} ms allowed"));
    let version = end.number("version").unwrap_or(0);
    format!("{}: configuration {version} was {age}{limit}", result_title(end))
}

fn explain_quota_refused(end: &LogLine) -> String {
    let counted = match end.number("counted") {
        Some(counted) => format!("{counted} calls counted of {}", end.number("most").unwrap_or(0)),
        None => format!("no quota decision within {} ms", end.number("waited_ms").unwrap_or(0)),
    };
    format!("{}: tenant {}, {counted}", result_title(end), end.text("tenant"))
}

fn explain_served(end: &LogLine) -> String {
    format!(
        "served by {} with status {} after {} ms; {} engines had failed before",
        end.text("engine"),
        end.number("status").unwrap_or(0),
        end.number("age_ms").unwrap_or(0),
        end.number("misses").unwrap_or(0)
    )
}

fn explain_turn_refused(end: &LogLine, story: &Story) -> String {
    let reason = end.text("reason");
    let refusal = story.lines.iter().rev().find(|line| line.event == "ledger_refusal");
    if let Some(refusal) = refusal.filter(|line| line.text("why") == "budget") {
        let number = |name: &str| refusal.number(name).unwrap_or(0);
        return format!(
            "{reason}: {} tokens of other turns and {} of this one are more than {}",
            number("counted_tokens"),
            number("most_tokens"),
            number("budget_tokens")
        );
    }
    let previous = end.text("previous");
    if refusal.is_some() && !previous.is_empty() {
        let ended = story.earlier.iter().rev().find(|line| is_end_event(line));
        let earlier = ended.map_or("no line names that turn".to_owned(), |line| {
            format!("that turn ended with {} {}", line.event, result_title(line)).trim_end().to_owned()
        });
        return format!("{reason}: {previous}; {earlier}");
    }
    let replicas = story.nearby.iter().filter(|line| line.node.starts_with("storage")).count();
    match replicas {
        0 => reason.to_owned(),
        _ => format!("{reason}; {replicas} state changes at ledger replicas shortly before, see below"),
    }
}

fn explain_given_up(end: &LogLine, story: &Story) -> String {
    if let Some(rejection) = story.lines.iter().rev().find(|line| line.event == "no_room") {
        return format!("{}: {}", result_title(end), explain_no_room(rejection));
    }
    let execution = match end.number("runs") {
        Some(0) => "no engine ran it",
        _ => "an engine may have run it",
    };
    let failures: Vec<String> = story
        .lines
        .iter()
        .filter(|line| line.event == "attempt_failed" || line.event == "stream_broke_off")
        .map(|line| match line.text("failure") {
            "" => format!(
                "{} broke off after {} events",
                line.text("engine"),
                line.number("events").unwrap_or(0)
            ),
            failure => format!("{}: {failure}", line.text("engine")),
        })
        .collect();
    let failures = if failures.is_empty() { String::new() } else { format!(" ({})", failures.join("; ")) };
    format!(
        "{} after {} ms: {}, {execution}{failures}",
        end.text("what"),
        end.number("age_ms").unwrap_or(0),
        result_title(end)
    )
}

fn explain_no_room(line: &LogLine) -> String {
    let number = |name: &str| line.number(name).unwrap_or(0);
    let reason = match line.text("reason") {
        "program_too_late" => "its program would have started too late to finish in time",
        "queue_full" => "the edge's queue was full",
        _ => "its caller would have disconnected before an answer",
    };
    format!(
        "no engine ran it; rejected after {} ms as {reason} (further wait of {} ms expected; rank {}, \
         {} calls waiting and {} in flight at this edge, {} slots at {})",
        number("waited_ms"),
        number("expected_wait_ms"),
        number("rank"),
        number("waiting"),
        number("running"),
        number("slots"),
        line.text("service")
    )
}

/// Number and title of a line's result code, or its `title` field if the code is missing or unknown.
fn result_title(line: &LogLine) -> String {
    let code = line.number("code").and_then(|number| u32::try_from(number).ok());
    match code.and_then(ResultCode::from_number) {
        Some(code) => format!("{} {}", code.number(), code.title()),
        None => line.text("title").to_owned(),
    }
}
