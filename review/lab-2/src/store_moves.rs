//! The settings change, and SIGHUP says so: the platform's store has another address. Configurations that are acknowledged there
//! have to take effect.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::new_id;
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings, HOST};
use crate::http::send;
use crate::record::Record;
use crate::Verdict;

const REQUESTS: usize = 30;

fn route(service: &'static str) -> RouteSettings {
    RouteSettings {
        name: "r-status",
        prefix: "/api-status/",
        kind: "idempotent",
        service,
        timeout_ms: 2000,
        retained: false,
        retention_s: 0.0,
        resumable: false,
        max_attempts: 2,
    }
}

pub fn run(root: &Path, trouble: bool, record: Arc<Record>) -> io::Result<Verdict> {
    let settings = FleetSettings {
        edges: 3,
        storages: 3,
        config: config(3, &[route("api")], 25),
        engines: vec![("api", 2), ("api-new", 2)],
        events: 1,
        pause: Duration::from_millis(1),
    };
    let mut fleet = Fleet::start(settings, root, Arc::clone(&record))?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        record.line("the edges did not become ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    if requests(&fleet, "i-api-0", "i-api-1", &record) != REQUESTS {
        return Ok(Verdict::CouldNotRun);
    }
    if trouble {
        record.line(
            "the store moves to another address; all settings files say so, and every process gets SIGHUP",
        );
        fleet.move_store()?;
        record.line("the store no longer serves at its former address");
        thread::sleep(Duration::from_secs(5));
    }
    fleet.store.write("config", "main", config(8, &[route("api-new")], 25));
    record.line("version 8 is acknowledged: it moves the route to service api-new");
    // `configApplyMs` is 2 s and `outerMs` 5 s.
    thread::sleep(Duration::from_secs(12));
    let stale = requests(&fleet, "i-api-0", "i-api-1", &record);
    record.line(format!(
        "12 s after the acknowledgement, {stale} of {REQUESTS} requests were run by the old service"
    ));
    Ok(if stale > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests; returns how many one of these two engines has run.
fn requests(fleet: &Fleet, one: &str, other: &str, record: &Record) -> usize {
    let sent: Vec<String> = (0..REQUESTS)
        .map(|number| {
            let (to, attempt) = (fleet.edges[number % fleet.edges.len()].front(), new_id());
            let headers = [
                ("Host", HOST.to_owned()),
                ("X-Sumacdrift-Attempt-Id", attempt.clone()),
                ("X-Sumacdrift-Time-Budget", "2000".to_owned()),
            ];
            let answer = send(to, "GET", "/api-status/2f", &headers, b"", Duration::from_secs(2));
            record.line(format!("client sends {attempt} to {to} and gets {}", answer.status));
            attempt
        })
        .collect();
    let runs = fleet.runs.all();
    let ran =
        runs.iter().filter(|run| sent.contains(&run.attempt) && (run.engine == one || run.engine == other));
    ran.count()
}
