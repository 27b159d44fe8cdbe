//! Engines that are slow to read: a turn with a long chain has to reach one of them.

use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, said, try_turn, Turn};
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings};
use crate::record::Record;
use crate::Verdict;

const INPUT_BYTES: usize = 90_000;
/// Turns before the engines become slow to read.
const TURNS: usize = 6;
const EVENTS: usize = 6;
const DEADLINE: Duration = Duration::from_secs(3);
/// How long a slow engine waits before it reads a body.
const READ_PAUSE: Duration = Duration::from_millis(2000);
/// Tries of the last turn: three, and three more when the stopped program comes again.
const TRIES: usize = 6;

pub fn run(root: &Path, trouble: bool, record: Arc<Record>) -> io::Result<Verdict> {
    let kept = RouteSettings {
        name: "r-kept",
        prefix: "/llm-kept/",
        kind: "streaming",
        service: "llm",
        timeout_ms: 3000,
        retained: true,
        retention_s: 60.0,
        resumable: false,
        max_attempts: 2,
    };
    let settings = FleetSettings {
        edges: 3,
        storages: 3,
        config: config(3, &[kept], 25),
        engines: vec![("llm", 3)],
        events: EVENTS,
        pause: Duration::from_millis(20),
    };
    let fleet = Fleet::start(settings, root, Arc::clone(&record))?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        record.line("the edges did not become ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let edges: Vec<_> = fleet.edges.iter().map(|edge| edge.front()).collect();
    let (program, session) = (new_id(), new_id());
    let aim_until = Instant::now() + Duration::from_secs(60);
    let mut previous: Option<String> = None;
    let mut prompt = Vec::new();
    for number in 0..=TURNS {
        let is_last = number == TURNS;
        if is_last {
            record.line("the program's tools work for 2 s");
            thread::sleep(Duration::from_secs(2));
        }
        if is_last && trouble {
            fleet.habits.read_pause.store(READ_PAUSE.as_millis() as u64, Ordering::Relaxed);
            record.line(format!(
                "from now on engines wait {} ms before they read a body",
                READ_PAUSE.as_millis()
            ));
        }
        let mut input = format!("input {number} of {program}. ").into_bytes();
        input.resize(if is_last { 1000 } else { INPUT_BYTES }, b'.');
        let mut tries = Vec::new();
        for attempt in 0..if is_last { TRIES } else { 1 } {
            let turn = Turn {
                path: "/llm-kept/2f",
                program: &program,
                session: &session,
                previous: previous.as_deref(),
                input: &input,
                aim: aim_until.saturating_duration_since(Instant::now()),
                budget_tokens: 100_000,
                most_tokens: 575,
                after: None,
            };
            if attempt == TRIES / 2 {
                record.line("the program was stopped, and comes again");
                thread::sleep(Duration::from_secs(2));
            }
            tries.push(try_turn(&edges, number + attempt, &turn, DEADLINE, &record));
            if tries[attempt].is_served() {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        let mut expected = prompt.clone();
        expected.extend_from_slice(&input);
        let runs = fleet.runs.all();
        let ids: Vec<&String> =
            tries.iter().flat_map(|tried| tried.attempts.iter().map(|(id, _)| id)).collect();
        let reached: Vec<_> = runs.iter().filter(|run| ids.contains(&&run.attempt)).collect();
        if reached.iter().any(|run| run.body != expected) {
            record.line("BROKEN: an engine ran a body that is not the chain and the new input");
            return Ok(Verdict::Broken);
        }
        let served = &tries[tries.len() - 1];
        if !served.is_served() {
            if !is_last {
                return Ok(Verdict::CouldNotRun);
            }
            let first_turns = first_turns(&fleet, &edges, &record);
            record.line(format!(
                "the turn with a prompt of {} bytes was not served: {} client attempts, {} reached an engine; \
                 {first_turns} of 6 first turns of other programs reached one at the same time",
                expected.len(), ids.len(), reached.len()
            ));
            let is_lost = ids.len() >= 5 && reached.is_empty() && first_turns == 6;
            return Ok(if is_lost { Verdict::Broken } else { Verdict::CouldNotRun });
        }
        let attempt = served.attempt().to_owned();
        prompt.extend(said(&input, &attempt, EVENTS));
        previous = Some(attempt);
    }
    record.line("the turn with the long chain was run");
    Ok(Verdict::Held)
}

/// How many of six first turns of new programs reach an engine.
fn first_turns(fleet: &Fleet, edges: &[std::net::SocketAddr], record: &Record) -> usize {
    let reached = (0..6).filter(|number| {
        let (program, session) = (new_id(), new_id());
        let turn = Turn {
            path: "/llm-kept/2f",
            program: &program,
            session: &session,
            previous: None,
            input: &[b'.'; 17_000],
            aim: Duration::from_secs(5),
            budget_tokens: 100_000,
            most_tokens: 575,
            after: None,
        };
        let tried = try_turn(edges, *number, &turn, DEADLINE, record);
        fleet.runs.all().iter().any(|run| run.attempt == tried.attempt())
    });
    reached.count()
}
