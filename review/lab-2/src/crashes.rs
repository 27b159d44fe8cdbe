//! Engines crash one after the other, each under the same kept turn; later the program goes on, at sound engines.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{attempt_turn, new_id, said, try_turn, Turn};
use crate::engine::{Engine, EngineSettings};
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings};
use crate::record::Record;
use crate::Verdict;

const EVENTS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(3);
const CRASHES: usize = 3;
/// How long an engine is down.
const DOWN: Duration = Duration::from_millis(4500);
/// Pause between two tries of a turn that failed.
const PAUSE: Duration = Duration::from_millis(400);
/// Time from the return of the last engine until the program comes again; `contactMs` is 3,000.
const CALM: Duration = Duration::from_secs(8);
const TRIES: usize = 3;

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
        engines: vec![("llm", 24)],
        events: EVENTS,
        pause: Duration::from_millis(40),
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
    let turn = |previous, input| Turn {
        path: "/llm-kept/2f",
        program: &program,
        session: &session,
        previous,
        input,
        aim: aim_until.saturating_duration_since(Instant::now()),
        budget_tokens: 100_000,
        most_tokens: 575,
        after: None,
    };
    let first = try_turn(&edges, 0, &turn(None, b"first input. "), DEADLINE, &record);
    if !first.is_served() {
        return Ok(Verdict::CouldNotRun);
    }
    let previous = first.attempt().to_owned();
    let mut expected = said(b"first input. ", &previous, EVENTS);
    expected.extend_from_slice(b"second input. ");
    if trouble {
        for number in 0..CRASHES {
            if !crash_under(
                &fleet,
                edges[number % edges.len()],
                &turn(Some(&previous), b"second input. "),
                &record,
            )? {
                record.line("the turn reached no engine that could crash");
                return Ok(Verdict::CouldNotRun);
            }
            thread::sleep(PAUSE);
        }
        record.line("the program has failed: its turn failed three times");
        thread::sleep(DOWN + CALM);
        record.line("all engines have been back for some seconds, and the program comes again");
    }
    let mut tries = Vec::new();
    for number in 0..TRIES {
        tries.push(try_turn(&edges, number, &turn(Some(&previous), b"second input. "), DEADLINE, &record));
        if tries[number].is_served() {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    let runs = fleet.runs.all();
    let ids: Vec<&String> = tries.iter().flat_map(|tried| tried.attempts.iter().map(|(id, _)| id)).collect();
    let reached = runs.iter().filter(|run| ids.contains(&&run.attempt)).count();
    if tries[tries.len() - 1].is_served() {
        let is_whole = runs.iter().all(|run| !ids.contains(&&run.attempt) || run.body == expected);
        record.line("the turn was served");
        return Ok(if is_whole { Verdict::Held } else { Verdict::Broken });
    }
    let served = (0..10).filter(|number| {
        let (program, session) = (new_id(), new_id());
        let first = Turn { program: &program, session: &session, ..turn(None, b"a first turn") };
        try_turn(&edges, *number, &first, DEADLINE, &record).is_served()
    });
    let served = served.count();
    record.line(format!(
        "the turn was not served: {} client attempts, {reached} reached an engine; {served} of 10 first turns of other \
         programs were served",
        ids.len()
    ));
    let is_lost = ids.len() >= 5 && reached == 0 && served >= 9;
    Ok(if is_lost { Verdict::Broken } else { Verdict::CouldNotRun })
}

/// Sends the turn, and crashes the engine that runs it; it is back under a new id after a while.
fn crash_under(
    fleet: &Fleet,
    edge: std::net::SocketAddr,
    turn: &Turn<'_>,
    record: &Arc<Record>,
) -> io::Result<bool> {
    let attempt = new_id();
    record.line(format!("client sends {attempt} to {edge}"));
    let answer = thread::scope(|scope| {
        let sending = scope.spawn(|| attempt_turn(edge, &attempt, turn, DEADLINE));
        let until = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until {
            let run = fleet.runs.all().into_iter().find(|run| run.attempt == attempt);
            if let Some(engine) =
                run.and_then(|run| fleet.engines.iter().find(|engine| engine.id() == run.engine))
            {
                thread::sleep(Duration::from_millis(120));
                engine.crash();
                come_back(fleet, engine.settings(), record);
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        sending.join().unwrap()
    });
    record.line(format!(
        "client gets {} for {attempt}, {}",
        answer.status,
        if answer.is_whole { "whole" } else { "not whole" }
    ));
    Ok(fleet.runs.all().iter().any(|run| run.attempt == attempt) && !answer.is_whole)
}

fn come_back(fleet: &Fleet, settings: &EngineSettings, record: &Arc<Record>) {
    let settings = EngineSettings { id: format!("{}-again", settings.id), ..settings.clone() };
    let (store, runs, habits) =
        (Arc::clone(&fleet.store), Arc::clone(&fleet.runs), Arc::clone(&fleet.habits));
    let record = Arc::clone(record);
    thread::spawn(move || {
        thread::sleep(DOWN);
        let started = Engine::start(settings, store, runs, habits, Arc::clone(&record));
        record.line(match started {
            Ok(engine) => format!("engine {} starts", engine.id()),
            Err(error) => format!("an engine could not start again: {}", error.kind()),
        });
    });
}
