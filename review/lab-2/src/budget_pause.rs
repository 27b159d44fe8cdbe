//! A program whose tools work for a long time between two turns: its budget has to hold on.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, try_turn, Try, Turn};
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings};
use crate::record::Record;
use crate::Verdict;

const RETENTION: Duration = Duration::from_secs(45);
const LONG_PAUSE: Duration = Duration::from_secs(97);
const SHORT_PAUSE: Duration = Duration::from_secs(2);
const EVENTS: usize = 20;
const TOKENS_PER_EVENT: u32 = 25;
/// What one turn generates at most, and does.
const MOST: u64 = EVENTS as u64 * TOKENS_PER_EVENT as u64;
/// The budget holds four turns.
const BUDGET: u64 = 4 * MOST;
const DEADLINE: Duration = Duration::from_secs(3);

pub fn run(root: &Path, trouble: bool, record: Arc<Record>) -> io::Result<Verdict> {
    let route = RouteSettings {
        name: "r-triage",
        prefix: "/llm-triage/",
        kind: "streaming",
        service: "llm",
        timeout_ms: 3000,
        retained: false,
        retention_s: RETENTION.as_secs_f64(),
        resumable: true,
        max_attempts: 2,
    };
    let settings = FleetSettings {
        edges: 3,
        storages: 3,
        config: config(3, &[route], TOKENS_PER_EVENT),
        engines: vec![("llm", 3)],
        events: EVENTS,
        pause: Duration::from_millis(10),
    };
    let fleet = Fleet::start(settings, root, Arc::clone(&record))?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        record.line("the edges did not become ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let edges: Vec<_> = fleet.edges.iter().map(|edge| edge.front()).collect();
    let (program, session) = (new_id(), new_id());
    let aim_until = Instant::now() + Duration::from_secs(118);
    let mut handed = 0;
    let mut send = |number: usize| -> Try {
        let input = format!("turn {number} of {program}");
        let turn = Turn {
            path: "/llm-triage/2f",
            program: &program,
            session: &session,
            previous: None,
            input: input.as_bytes(),
            aim: aim_until.saturating_duration_since(Instant::now()),
            budget_tokens: BUDGET,
            most_tokens: MOST,
            after: None,
        };
        let tried = try_turn(&edges, number, &turn, DEADLINE, &record);
        for (attempt, answer) in &tried.attempts {
            let events = answer.body.windows(5).filter(|window| window == b"data:").count() as u64;
            handed += events * u64::from(TOKENS_PER_EVENT);
            if events > 0 {
                record.line(format!(
                    "{attempt} handed {events} events; {handed} tokens of a budget of {BUDGET} so far"
                ));
            }
        }
        tried
    };
    for number in 0..4 {
        if !send(number).is_served() {
            record.line("a turn within the budget was not served");
            return Ok(Verdict::CouldNotRun);
        }
    }
    if send(4).last().status != 402 {
        record.line("the turn beyond the budget did not get a 402");
        return Ok(Verdict::Broken);
    }
    let pause = if trouble { LONG_PAUSE } else { SHORT_PAUSE };
    record.line(format!("the program's tools work for {} s", pause.as_secs()));
    thread::sleep(pause);
    for number in 5..9 {
        if send(number).last().status == 402 {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.line(format!(
        "the client was handed {handed} tokens; the budget is {BUDGET}, the most of one turn {MOST}"
    ));
    Ok(if handed > BUDGET + MOST { Verdict::Broken } else { Verdict::Held })
}
