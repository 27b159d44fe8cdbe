//! Clients with kept connections that are slow to read: their answers have to arrive whole all the same.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::new_id;
use crate::fleet::{config, Fleet, FleetSettings, RouteSettings, Signal, HOST};
use crate::http::Connection;
use crate::record::Record;
use crate::Verdict;

/// Size of an answer.
const ANSWER_BYTES: usize = 400_000;
/// How long a client does something else before it reads.
const PAUSE: Duration = Duration::from_millis(2500);
const DEADLINE: Duration = Duration::from_secs(6);
const CLIENTS: usize = 6;

pub fn run(root: &Path, trouble: bool, record: Arc<Record>) -> io::Result<Verdict> {
    let route = RouteSettings {
        name: "r-archive",
        prefix: "/api-archive/",
        kind: "non_idempotent",
        service: "api",
        timeout_ms: 6000,
        retained: false,
        retention_s: 0.0,
        resumable: false,
        max_attempts: 1,
    };
    let settings = FleetSettings {
        edges: 3,
        storages: 3,
        config: config(3, &[route], 25),
        engines: vec![("api", 3)],
        events: 1,
        pause: Duration::from_millis(1),
    };
    let fleet = Fleet::start(settings, root, Arc::clone(&record))?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        record.line("the edges did not become ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let to = fleet.edges[client % fleet.edges.len()].front();
            let (record, habits) = (Arc::clone(&record), Arc::clone(&fleet.habits));
            // The first request of each connection gets a short answer.
            habits.answer_bytes.store(800, Ordering::Relaxed);
            let mut connection = TcpStream::connect(to).map(Connection::new)?;
            connection.stream.set_read_timeout(Some(DEADLINE))?;
            let first = request(&mut connection, to, Duration::ZERO, &record)?;
            if !matches!(first, Some((200, 800))) {
                return Err(io::Error::other("the first request of a connection was not served"));
            }
            Ok((connection, to))
        })
        .collect::<io::Result<Vec<_>>>()?;
    fleet.habits.answer_bytes.store(ANSWER_BYTES, Ordering::Relaxed);
    // Planned work, with and without the disruption: the rule asks for it.
    for edge in &fleet.edges {
        edge.signal(Signal::Hangup);
        record.line(format!("{} gets SIGHUP", edge.name));
    }
    thread::sleep(Duration::from_millis(200));
    let threads: Vec<_> = clients
        .into_iter()
        .map(|(mut connection, to)| {
            let record = Arc::clone(&record);
            thread::spawn(move || request(&mut connection, to, pause, &record))
        })
        .collect();
    let answers: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let whole = answers.iter().filter(|answer| matches!(answer, Ok(Some((200, ANSWER_BYTES))))).count();
    let runs = fleet.runs.all().len();
    record.line(format!(
        "{CLIENTS} requests on kept connections, {} runs at sound engines, {whole} whole answers",
        runs - CLIENTS
    ));
    if runs != 2 * CLIENTS {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if CLIENTS - whole > 3 { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request on a kept connection, and reads its answer after a pause; returns the status and the length of the body.
fn request(
    connection: &mut Connection,
    to: SocketAddr,
    pause: Duration,
    record: &Record,
) -> io::Result<Option<(u16, usize)>> {
    use std::io::Write;
    let attempt = new_id();
    let started = Instant::now();
    let head = format!(
        "POST /api-archive/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Sumacdrift-Attempt-Id: {attempt}\r\n\
         X-Sumacdrift-Time-Budget: {}\r\nContent-Length: 4\r\n\r\nwork",
        DEADLINE.as_millis()
    );
    record.line(format!("client sends {attempt} to {to} on its kept connection"));
    connection.stream.write_all(head.as_bytes())?;
    thread::sleep(pause);
    let read = connection.read_head().and_then(|head| {
        let Some(head) = head else { return Ok(None) };
        let body = connection.read_body(&head)?;
        Ok(Some((head.status(), body.len())))
    });
    let outcome = match &read {
        Ok(Some((status, bytes))) => format!("{status} with {bytes} bytes"),
        Ok(None) => "the end of the connection without an answer".to_owned(),
        Err(error) => format!("no whole answer: {}", error.kind()),
    };
    record.line(format!(
        "client began to read after {} ms and gets for {attempt}, {} ms after it was sent: {outcome}",
        pause.as_millis(),
        started.elapsed().as_millis()
    ));
    read
}
