//! Not a case, as it takes 180 s: kept turns fill the journals; long after the load and a restart of everything, turns have to be
//! served again.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{attempt_turn, new_id, Turn};
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings};
use crate::record::Record;
use crate::Verdict;

const DEADLINE: Duration = Duration::from_secs(3);
/// `req_bytes` of the site file: at most 100,000.
const INPUT_BYTES: usize = 50_000;
const CLIENTS: usize = 24;
const LOAD_FOR: Duration = Duration::from_secs(102);
/// Turns a second, after a start at twice that rate.
const RATE: f64 = 66.0;
const FAST_START: f64 = 16.0;
const RETENTION: Duration = Duration::from_secs(20);

pub fn run(root: &Path, record: Arc<Record>) -> io::Result<Verdict> {
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
        engines: vec![("llm", 6)],
        events: 3,
        pause: Duration::from_millis(5),
    };
    let mut fleet = Fleet::start(settings, root, Arc::clone(&record))?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        record.line("the edges did not become ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let edges: Vec<_> = fleet.edges.iter().map(|edge| edge.front()).collect();
    let sent = AtomicUsize::new(0);
    let served = AtomicUsize::new(0);
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while started.elapsed() < LOAD_FOR {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let due = due(number);
                    thread::sleep(due.saturating_sub(started.elapsed()));
                    let (program, session, attempt) = (new_id(), new_id(), new_id());
                    let answer =
                        attempt_turn(edges[number % 3], &attempt, &turn(&program, &session), DEADLINE);
                    if answer.status == 200 && answer.is_whole {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    if number % 500 == 0 {
                        record.line(format!(
                            "turn {number}: {} after {} ms",
                            answer.status,
                            answer.took.as_millis()
                        ));
                    }
                }
            });
        }
    });
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.line(format!("{} of {sent} turns with {INPUT_BYTES} bytes each were answered whole", served));
    for storage in &fleet.storages {
        record.line(format!("{} has used at most {} kB of memory", storage.name, storage.peak_kilobytes()));
    }
    let first_turn = |round: usize| {
        let (program, session, attempt) = (new_id(), new_id(), new_id());
        let answer = attempt_turn(edges[round % 3], &attempt, &turn(&program, &session), DEADLINE);
        record.line(format!("a first turn gets {}, whole: {}", answer.status, answer.is_whole));
        answer.status == 200 && answer.is_whole
    };
    // Longer than any of the turns are kept.
    for round in 0..6 {
        first_turn(round);
        thread::sleep(Duration::from_secs(8));
    }
    fleet.kill_all();
    thread::sleep(Duration::from_millis(300));
    fleet.start_all(root)?;
    record.line("every process was killed at the same moment, and is back with its disk");
    // `recoverS` is 12.
    thread::sleep(Duration::from_secs(14));
    let served = (0..5).filter(|round| first_turn(*round)).count();
    record.line(format!("{served} of 5 turns were served later than 12 s after that"));
    Ok(if served * 4 < 5 { Verdict::Broken } else { Verdict::Held })
}

/// When a turn is due, counted from the start of traffic.
fn due(number: usize) -> Duration {
    let number = number as f64;
    let seconds = (number / (2.0 * RATE)).max(number / RATE - FAST_START);
    Duration::from_secs_f64(seconds)
}

fn turn<'a>(program: &'a str, session: &'a str) -> Turn<'a> {
    Turn {
        path: "/llm-kept/2f",
        program,
        session,
        previous: None,
        input: &[b'.'; INPUT_BYTES],
        aim: Duration::from_secs(10),
        budget_tokens: 100_000,
        most_tokens: 575,
        after: None,
    }
}
