//! A program with long pauses, each shorter than `retentionS`: its chain has to be kept as long as its newest turn.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, said, try_turn, Turn};
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings};
use crate::record::Record;
use crate::Verdict;

const RETENTION: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_secs(30);
const SHORT_PAUSE: Duration = Duration::from_secs(1);
const TURNS: usize = 4;
const EVENTS: usize = 6;
const DEADLINE: Duration = Duration::from_secs(3);
/// Tries of a turn that failed, as the pages say: it is sent anew twice at most.
const TRIES: usize = 3;

pub fn run(root: &Path, trouble: bool, record: Arc<Record>) -> io::Result<Verdict> {
    let kept = RouteSettings {
        name: "r-kept",
        prefix: "/llm-kept/",
        kind: "streaming",
        service: "llm",
        timeout_ms: 3000,
        retained: true,
        retention_s: RETENTION.as_secs_f64(),
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
    let pause = if trouble { PAUSE } else { SHORT_PAUSE };
    let aim_until = Instant::now() + Duration::from_secs(118);
    let mut previous: Option<String> = None;
    let mut prompt = Vec::new();
    for number in 0..TURNS {
        if number > 0 {
            record.line(format!(
                "the program's tools work for {} s (retentionS is {})",
                pause.as_secs(),
                RETENTION.as_secs()
            ));
            thread::sleep(pause);
        }
        let input = format!("input {number} of {program}. ").into_bytes();
        let mut tries = Vec::new();
        for attempt in 0..TRIES {
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
            tries.push(try_turn(&edges, number + attempt, &turn, DEADLINE, &record));
            if tries[attempt].is_served() {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        let served = &tries[tries.len() - 1];
        let mut expected = prompt.clone();
        expected.extend_from_slice(&input);
        let runs = fleet.runs.all();
        let ids: Vec<&String> =
            tries.iter().flat_map(|tried| tried.attempts.iter().map(|(id, _)| id)).collect();
        let reached: Vec<_> = runs.iter().filter(|run| ids.contains(&&run.attempt)).collect();
        if let Some(other) = reached.iter().find(|run| run.body != expected) {
            record.line(format!(
                "BROKEN: an engine ran {} with a body that is not the chain and the new input",
                other.attempt
            ));
            return Ok(Verdict::Broken);
        }
        if !served.is_served() {
            let denied = tries
                .iter()
                .flat_map(|tried| &tried.attempts)
                .any(|(_, answer)| matches!(answer.status, 404 | 410));
            let first_turns = first_turns(&fleet, &edges, &record);
            record.line(format!(
                "turn {number} was not served: {} client attempts, {} reached an engine, a 404 or 410 among the answers: {denied}; \
                 its previous turn was answered whole {} s before; {first_turns} of 10 first turns of other programs were served",
                ids.len(), reached.len(), pause.as_secs()
            ));
            let is_lost = denied || (ids.len() >= 5 && reached.is_empty() && first_turns >= 9);
            return Ok(if is_lost { Verdict::Broken } else { Verdict::CouldNotRun });
        }
        let attempt = served.attempt().to_owned();
        prompt.extend(said(&input, &attempt, EVENTS));
        previous = Some(attempt);
    }
    record.line("all turns were run with their whole chain");
    Ok(Verdict::Held)
}

/// How many of ten first turns of new programs are served.
fn first_turns(fleet: &Fleet, edges: &[std::net::SocketAddr], record: &Record) -> usize {
    let served = (0..10).filter(|number| {
        let (program, session) = (new_id(), new_id());
        let turn = Turn {
            path: "/llm-kept/2f",
            program: &program,
            session: &session,
            previous: None,
            input: b"a first turn",
            aim: Duration::from_secs(5),
            budget_tokens: 100_000,
            most_tokens: 575,
            after: None,
        };
        let tried = try_turn(edges, *number, &turn, DEADLINE, record);
        tried.is_served() && fleet.runs.all().iter().any(|run| run.attempt == tried.attempt())
    });
    served.count()
}
