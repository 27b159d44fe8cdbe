//! Kept turns for which the disks have room enough; then every process is killed at the same moment and comes back with its disk.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
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
const LOAD_FOR: Duration = Duration::from_secs(100);
/// Turns a second, after a start at twice that rate.
const RATE: f64 = 66.0;
const FAST_START: f64 = 12.0;
const RETENTION: Duration = Duration::from_secs(20);
/// How long turns are asked for, as a script may take 120 s.
const ASK_FOR: Duration = Duration::from_secs(6);

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
    let kept_turns: Mutex<Vec<Kept>> = Mutex::default();
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
                        let answered = Instant::now();
                        kept_turns.lock().unwrap().push(Kept { program, session, attempt, answered });
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
    let (sent, kept_turns) = (sent.load(Ordering::Relaxed), kept_turns.into_inner().unwrap());
    record.line(format!(
        "{} of {sent} turns with {INPUT_BYTES} bytes each were answered whole",
        kept_turns.len()
    ));
    for storage in &fleet.storages {
        record.line(format!("{} has used at most {} kB of memory", storage.name, storage.peak_kilobytes()));
    }
    if trouble {
        fleet.kill_all();
        thread::sleep(Duration::from_millis(300));
        fleet.start_all(root)?;
        record.line("every process was killed at the same moment, and is back with its disk");
        if !fleet.wait_until_ready(Duration::from_secs(8)) {
            record.line("the edges did not become ready again");
            return Ok(Verdict::CouldNotRun);
        }
    }
    let asking_since = Instant::now();
    let (mut asked, mut unknown, mut served) = (0, 0, 0);
    for (number, kept) in kept_turns.iter().rev().step_by(4).enumerate() {
        // A margin, as the turn counts from the end of its answer on.
        if kept.answered.elapsed() + Duration::from_secs(3) >= RETENTION || asking_since.elapsed() > ASK_FOR {
            break;
        }
        let next =
            Turn { previous: Some(&kept.attempt), input: b"go on", ..turn(&kept.program, &kept.session) };
        let attempt = new_id();
        let answer = attempt_turn(edges[number % 3], &attempt, &next, DEADLINE);
        asked += 1;
        served += usize::from(answer.status == 200);
        if matches!(answer.status, 404 | 410) {
            unknown += 1;
            let age = kept.answered.elapsed().as_secs();
            record.line(format!(
                "{attempt} names {}, answered whole {age} s ago, and gets {}",
                kept.attempt, answer.status
            ));
        }
    }
    record.line(format!("{asked} turns named one that was answered whole less than {} s before: {served} were served, {unknown} got 404 or 410", RETENTION.as_secs()));
    Ok(if unknown > 0 { Verdict::Broken } else { Verdict::Held })
}

/// When a turn is due, counted from the start of traffic.
fn due(number: usize) -> Duration {
    let number = number as f64;
    let seconds = (number / (2.0 * RATE)).max(number / RATE - FAST_START);
    Duration::from_secs_f64(seconds)
}

struct Kept {
    program: String,
    session: String,
    attempt: String,
    answered: Instant,
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
