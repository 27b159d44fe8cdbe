//! Stand-ins of engines: a streaming service and a plain one. They keep to the pages: they run what names them, repeat the
//! attempt id, sign, and stop when the connection closes.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Connection, Request, serve};
use crate::record::Record;

/// What engines have seen, by attempt id.
#[derive(Default)]
pub struct Runs {
    pub bodies: HashMap<String, Vec<RunSeen>>,
}

#[derive(Clone)]
pub struct RunSeen {
    pub body_hash: u64,
    pub body_length: usize,
}

pub type SharedRuns = Arc<Mutex<Runs>>;

pub fn hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

/// The data of an event; the client knows it too.
pub fn event_data(id: &str, number: usize) -> String {
    format!("{id}-{number}-{:-<120}", "")
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub events: usize,
    pub event_gap: Duration,
    pub work: Duration,
    pub runs: SharedRuns,
    pub record: Record,
}

impl Engine {
    pub fn start(self, at: SocketAddr) -> std::io::Result<()> {
        serve(at, move |connection| self.serve(connection))
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Request) -> std::io::Result<()> {
        let stream = &mut connection.stream;
        if request.path == "/healthz" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Sumacdrift-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(head.as_bytes());
        }
        let Some(id) = request.header("X-Sumacdrift-Attempt-Id").map(str::to_owned) else {
            let head = "HTTP/1.1 400 No\r\nX-Sumacdrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes());
        };
        if request.header("X-Sumacdrift-Expect-Instance").is_some_and(|expected| expected != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Sumacdrift-Attempt-Id: {id}\r\nX-Sumacdrift-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(head.as_bytes());
        }
        let seen = RunSeen { body_hash: hash(&request.body), body_length: request.body.len() };
        self.runs.lock().unwrap().bodies.entry(id.clone()).or_default().push(seen);
        self.record.line(&format!(
            "run {} {} {} {id} body={} previous={}",
            self.id,
            request.method,
            request.path,
            request.body.len(),
            request.header("X-Sumacdrift-Previous-Turn").unwrap_or("-")
        ));
        let common = format!(
            "X-Sumacdrift-Attempt-Id: {id}\r\nX-Sumacdrift-Response-Signature: s.{}.{id}\r\n",
            self.id
        );
        if request.method == "GET" || request.path.starts_with("/tool/") {
            std::thread::sleep(self.work);
            let body = format!("done {id} {:-<700}", "");
            let head = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n", body.len());
            return stream.write_all(format!("{head}{body}").as_bytes());
        }
        let first = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse::<usize>().ok())
            .map_or(0, |last| last + 1);
        std::thread::sleep(self.work);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in first..self.events {
            let event = format!("id: {number}\ndata: {}\n\n", event_data(&id, number));
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(self.event_gap);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
