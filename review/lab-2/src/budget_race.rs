//! Sub-agents of one program take turns side by side through three edges, after one storage machine stood still for a moment:
//! the program's budget has to hold.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{attempt_turn, new_id, Turn};
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings, Signal};
use crate::record::Record;
use crate::Verdict;

const EVENTS: usize = 4;
const TOKENS_PER_EVENT: u32 = 25;
/// What one turn generates at most, and does.
const MOST: u64 = EVENTS as u64 * TOKENS_PER_EVENT as u64;
const DEADLINE: Duration = Duration::from_secs(3);
/// Turns that the budget holds, and sub-agents that want one each.
const HELD_TURNS: u64 = 4;
const AGENTS: usize = 6;
const BUDGET: u64 = HELD_TURNS * MOST;
const PROGRAMS: usize = 200;
const GAP: Duration = Duration::from_millis(80);
/// How long the storage machine stands still.
const FREEZE: Duration = Duration::from_millis(120);

pub fn run(root: &Path, trouble: bool, record: Arc<Record>) -> io::Result<Verdict> {
    let route = RouteSettings {
        name: "r-triage",
        prefix: "/llm-triage/",
        kind: "streaming",
        service: "llm",
        timeout_ms: 3000,
        retained: false,
        retention_s: 60.0,
        resumable: true,
        max_attempts: 2,
    };
    let settings = FleetSettings {
        edges: 3,
        storages: 3,
        config: config(3, &[route], TOKENS_PER_EVENT),
        engines: vec![("llm", 3)],
        events: EVENTS,
        pause: Duration::from_millis(2),
    };
    let fleet = Fleet::start(settings, root, Arc::clone(&record))?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        record.line("the edges did not become ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let edges: Vec<SocketAddr> = fleet.edges.iter().map(|edge| edge.front()).collect();
    let mut most_handed = 0;
    let mut frozen_at: Option<Instant> = None;
    for _ in 0..PROGRAMS {
        if trouble && frozen_at.is_none_or(|at| at.elapsed() > Duration::from_millis(1300)) {
            // One after the other; meanwhile, turns of other programs come in at one edge only.
            for (storage, edge) in [(1, 2), (2, 0), (0, 1)] {
                let (storage, edge) = (&fleet.storages[storage], &fleet.edges[edge]);
                storage.signal(Signal::Stop);
                let stopped = Instant::now();
                let mut turns = 0;
                while stopped.elapsed() < FREEZE {
                    single(edge.front(), &record);
                    turns += 1;
                }
                storage.signal(Signal::Continue);
                record.line(format!(
                    "{} stood still for {} ms; {turns} turns of other programs came in at {} meanwhile",
                    storage.name,
                    stopped.elapsed().as_millis(),
                    edge.name
                ));
                thread::sleep(Duration::from_millis(20));
            }
            frozen_at = Some(Instant::now());
        }
        thread::sleep(GAP);
        let handed = burst(&edges, &record);
        most_handed = most_handed.max(handed);
        if handed > BUDGET + MOST {
            record.line(format!("BROKEN: {handed} tokens were handed out; the budget is {BUDGET}, the most of one turn {MOST}"));
            return Ok(Verdict::Broken);
        }
    }
    record.line(format!("{PROGRAMS} programs with {AGENTS} sub-agents; at most {most_handed} tokens of {BUDGET} were handed out"));
    Ok(Verdict::Held)
}

/// One turn of a program of its own.
fn single(edge: SocketAddr, record: &Record) {
    let (program, session) = (new_id(), new_id());
    let answer = attempt_turn(edge, &new_id(), &turn(&program, &session, 100_000), DEADLINE);
    if answer.status != 200 {
        record.line(format!("a single turn got {}", answer.status));
    }
}

fn turn<'a>(program: &'a str, session: &'a str, budget: u64) -> Turn<'a> {
    Turn {
        path: "/llm-triage/2f",
        program,
        session,
        previous: None,
        input: b"the task of a sub-agent",
        aim: Duration::from_secs(10),
        budget_tokens: budget,
        most_tokens: MOST,
        after: None,
    }
}

/// Sub-agents of one program take a turn each at the same time; returns the tokens that were handed out.
fn burst(edges: &[SocketAddr], record: &Record) -> u64 {
    let program = new_id();
    let barrier = Arc::new(Barrier::new(AGENTS));
    let threads: Vec<_> = (0..AGENTS)
        .map(|agent| {
            let (program, barrier, to) = (program.clone(), Arc::clone(&barrier), edges[agent % edges.len()]);
            thread::spawn(move || {
                let (session, attempt) = (new_id(), new_id());
                barrier.wait();
                let answer = attempt_turn(to, &attempt, &turn(&program, &session, BUDGET), DEADLINE);
                let events = answer.body.windows(5).filter(|window| *window == b"data:").count() as u64;
                (attempt, to, answer.status, events * u64::from(TOKENS_PER_EVENT))
            })
        })
        .collect();
    let ended: Vec<_> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let handed: u64 = ended.iter().map(|(_, _, _, tokens)| tokens).sum();
    let served = ended.iter().filter(|(_, _, status, _)| *status == 200).count();
    record.line(format!(
        "program {program}: {AGENTS} sub-agents, {served} turns run, {handed} tokens of {BUDGET}"
    ));
    if handed > BUDGET + MOST {
        for (attempt, to, status, tokens) in &ended {
            record.line(format!("turn {attempt} at {to}: {status}, {tokens} tokens"));
        }
    }
    handed
}
