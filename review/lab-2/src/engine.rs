//! A stand-in for an engine: it keeps its entry in the store, runs one request a connection, and remembers what it ran.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Head};
use crate::json::{number, table, text, Json};
use crate::record::Record;
use crate::store::Store;

#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Events of a stream, and the pause before each.
    pub events: usize,
    pub pause: Duration,
}

/// A request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub engine: String,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

/// Behaviour that may change while the engines run.
#[derive(Default)]
pub struct Habits {
    /// How long engines wait before they read the body of a request, in milliseconds.
    pub read_pause: AtomicU64,
    /// Size of plain answers.
    pub answer_bytes: AtomicUsize,
}

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

pub struct Engine {
    settings: EngineSettings,
    /// Set once the engine has crashed.
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    runs: Arc<Runs>,
    habits: Arc<Habits>,
    record: Arc<Record>,
}

/// What an event of an attempt says; a stand-in for generated text.
pub fn event_data(attempt: &str, event: usize) -> String {
    format!("{attempt}-{event}")
}

impl Engine {
    pub fn start(
        settings: EngineSettings,
        store: Arc<Store>,
        runs: Arc<Runs>,
        habits: Arc<Habits>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind(settings.address)?;
        let (has_ended, connections) = (AtomicBool::new(false), Mutex::default());
        let engine =
            Arc::new(Engine { settings: settings.clone(), has_ended, connections, runs, habits, record });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let engine = Arc::clone(&accepting);
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            for seq in 1.. {
                if beating.has_ended.load(Ordering::Relaxed) {
                    // The platform removes the entry after three heartbeats of silence.
                    thread::sleep(Duration::from_millis(2400));
                    return store.erase("servers", &settings.id);
                }
                store.write("servers", &settings.id, entry(&settings, seq));
                thread::sleep(Duration::from_millis(1200));
            }
        });
        Ok(engine)
    }

    pub fn id(&self) -> &str {
        &self.settings.id
    }

    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Crashes: nothing listens at its address any more, and all of its connections end at once.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.settings.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(format!("engine {} crashes", self.settings.id));
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let pause = self.habits.read_pause.load(Ordering::Relaxed);
            if pause > 0 && head.first.first().is_some_and(|method| method == "POST") {
                thread::sleep(Duration::from_millis(pause));
            }
            let body = match connection.read_body(&head) {
                Ok(body) => body,
                Err(error) => {
                    let attempt = head.header("X-Sumacdrift-Attempt-Id").unwrap_or_default();
                    let id = &self.settings.id;
                    self.record
                        .line(format!("engine {id} could not read the whole of {attempt}: {}", error.kind()));
                    return;
                }
            };
            if self.answer(&mut connection, &head, body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, head: &Head, body: Vec<u8>) -> std::io::Result<()> {
        let id = self.settings.id.clone();
        let instance = ("X-Sumacdrift-Instance-Id", id.clone());
        let attempt = head.header("X-Sumacdrift-Attempt-Id").unwrap_or_default().to_owned();
        let named = ("X-Sumacdrift-Attempt-Id", attempt.clone());
        if head.header("X-Sumacdrift-Expect-Instance").is_some_and(|expected| expected != id) {
            let not_run = ("X-Sumacdrift-Not-Executed", "1".to_owned());
            return connection.write_answer("421 Misdirected Request", &[instance, named, not_run], b"");
        }
        let path = head.first.get(1).cloned().unwrap_or_default();
        if path == "/healthz" {
            return connection.write_answer("200 OK", &[instance], b"");
        }
        if attempt.is_empty() {
            let not_run = ("X-Sumacdrift-Not-Executed", "1".to_owned());
            return connection.write_answer("400 Bad Request", &[not_run], b"");
        }
        let after = head.header("Last-Event-Id").map(str::to_owned);
        self.record.line(format!(
            "engine {id} runs {attempt}: {} bytes in{}",
            body.len(),
            after.as_ref().map_or(String::new(), |after| format!(", after event {after}"))
        ));
        let run = Run { attempt: attempt.clone(), engine: id, body };
        self.runs.0.lock().unwrap().push(run);
        let signature = ("X-Sumacdrift-Response-Signature", format!("sig.{attempt}"));
        if !path.starts_with("/llm") {
            let mut answer = attempt.clone().into_bytes();
            answer.resize(answer.len().max(self.habits.answer_bytes.load(Ordering::Relaxed)), b'.');
            connection.write_answer("200 OK", &[named, signature], &answer)?;
            self.record.line(format!("engine {} has sent its whole answer to {attempt}", self.settings.id));
            return Ok(());
        }
        let mut out =
            format!("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\n", named.0, named.1, signature.0, signature.1);
        out += "X-Sumacdrift-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        connection.stream.write_all(out.as_bytes())?;
        let first = after.and_then(|after| after.parse::<usize>().ok()).map_or(1, |after| after + 1);
        for event in first..=self.settings.events {
            thread::sleep(self.settings.pause);
            let bytes = format!("id: {event}\ndata: {}\n\n", event_data(&attempt, event));
            connection.stream.write_all(format!("{:x}\r\n{bytes}\r\n", bytes.len()).as_bytes())?;
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }
}

fn entry(settings: &EngineSettings, seq: u32) -> Json {
    table([
        ("service", text(&settings.service)),
        ("addr", text(settings.address.to_string())),
        ("zone", text(&settings.zone)),
        ("version", text("v1")),
        ("slots", number(16)),
        ("state", text("ready")),
        ("coldLeftMs", number(0)),
        ("stage", text("hybrid")),
        ("seq", number(seq)),
    ])
}
