//! Clients: agent programs with turns and calls of tools, as the pages describe them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{SharedRuns, event_data, hash};
use crate::http::{Answer, call};
use crate::record::Record;

pub const HOST: &str = "ficu95.example";

/// A request: when it was sent, and whether it was served.
#[derive(Debug, Clone, Default)]
pub struct Sent {
    pub at: f64,
    pub is_served: bool,
}

/// A turn answered whole.
#[derive(Debug, Clone)]
pub struct WholeTurn {
    pub id: String,
    pub program: String,
    pub at: f64,
    /// All that stands before the next input.
    pub history: Arc<Vec<u8>>,
}

#[derive(Clone)]
pub struct Clients {
    pub fronts: Arc<Mutex<Vec<SocketAddr>>>,
    pub record: Record,
    pub runs: SharedRuns,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    pub whole: Arc<Mutex<Vec<WholeTurn>>>,
    /// Broken rules: name and what was seen.
    pub broken: Arc<Mutex<Vec<(&'static str, String)>>>,
    pub is_over: Arc<AtomicBool>,
    pub input_bytes: usize,
    pub events: usize,
    pub tokens_per_event: u64,
    next: Arc<AtomicU64>,
    salt: u64,
}

/// Outcome of one request with its attempts.
pub struct Outcome {
    pub id: String,
    pub answer: Answer,
}

impl Clients {
    pub fn new(record: Record, runs: SharedRuns, fronts: Vec<SocketAddr>) -> Self {
        Self {
            fronts: Arc::new(Mutex::new(fronts)),
            record,
            runs,
            sent: Arc::default(),
            whole: Arc::default(),
            broken: Arc::default(),
            is_over: Arc::default(),
            input_bytes: 17_000,
            events: 10,
            tokens_per_event: 25,
            next: Arc::new(AtomicU64::new(1)),
            salt: u64::from(std::process::id()) << 32,
        }
    }

    /// A number that differs each time, spread over 64 bits.
    pub fn number(&self) -> u64 {
        let mut value = self.salt ^ self.next.fetch_add(1, Ordering::Relaxed);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    pub fn id(&self) -> String {
        format!("{:016x}", self.number())
    }

    pub fn break_rule(&self, rule: &'static str, what: String) {
        self.record.line(&format!("BROKEN {rule} {what}"));
        self.broken.lock().unwrap().push((rule, what));
    }

    pub fn pick_front(&self) -> SocketAddr {
        let fronts = self.fronts.lock().unwrap();
        fronts[(self.number() % fronts.len() as u64) as usize]
    }

    pub fn input(&self, id: &str) -> Vec<u8> {
        let mut input = format!("<{id}> ").into_bytes();
        input.resize(self.input_bytes, b'x');
        input.push(b'\n');
        input
    }

    /// One attempt of a turn.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_turn(
        &self,
        front: SocketAddr,
        route: &str,
        id: &str,
        program: &str,
        previous: &str,
        budget: u64,
        body: &[u8],
        within: Duration,
        on_body: impl FnMut(&[u8]) -> bool,
    ) -> Answer {
        let usage = format!("{},{}", body.len() / 4, self.events as u64 * self.tokens_per_event);
        let mut head = format!(
            "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Sumacdrift-Attempt-Id: {id}\r\nX-Sumacdrift-Program-Id: {program}\r\n\
             X-Sumacdrift-Session-Id: s{program}\r\nX-Sumacdrift-Program-Deadline: 20000\r\nX-Sumacdrift-Token-Budget: {budget}\r\n\
             X-Sumacdrift-Token-Usage: {usage}\r\nX-Sumacdrift-Model: m\r\nX-Sumacdrift-Time-Budget: {}\r\nContent-Length: {}\r\n",
            within.as_millis(),
            body.len()
        );
        if !previous.is_empty() {
            head.push_str(&format!("X-Sumacdrift-Previous-Turn: {previous}\r\n"));
        }
        head.push_str("\r\n");
        self.record.line(&format!(
            "send {front} {route} {id} program={program} previous={previous} bytes={}",
            body.len()
        ));
        let answer = call(front, &head, body, within + Duration::from_millis(300), on_body);
        self.record.line(&format!(
            "answer {id} {} whole={} bytes={} {}",
            answer.status,
            answer.is_whole,
            answer.body.len(),
            answer.error
        ));
        answer
    }

    /// A kept turn with a client's attempts: a second one after a promise that the first was not run.
    pub fn kept_turn(
        &self,
        program: &str,
        previous: &str,
        input: &[u8],
        history: &[u8],
        budget: u64,
    ) -> Outcome {
        let until = Instant::now() + Duration::from_millis(3000);
        let mut attempts = 0;
        let at = self.record.seconds();
        loop {
            attempts += 1;
            let id = self.id();
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(10));
            let answer = self.attempt_turn(
                self.pick_front(),
                "kept",
                &id,
                program,
                previous,
                budget,
                input,
                left,
                |_| true,
            );
            self.check_runs(&id, &answer, Some((history, input)));
            let is_served = answer.status == 200 && answer.is_whole;
            let may_retry = matches!(answer.status, 429 | 503)
                || (answer.status == 0 && answer.error.contains("refused"));
            let pause = answer.header("Retry-After").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.1);
            let pause = Duration::from_secs_f64(pause.clamp(0.0, 1.0));
            if is_served || !may_retry || attempts > 1 || Instant::now() + pause >= until {
                self.sent.lock().unwrap().push(Sent { at, is_served });
                return Outcome { id, answer };
            }
            std::thread::sleep(pause);
        }
    }

    /// Checks what an engine got against what the client meant, and the answer against what the engine gave.
    pub fn check_runs(&self, id: &str, answer: &Answer, expected: Option<(&[u8], &[u8])>) {
        let runs = self.runs.lock().unwrap().bodies.get(id).cloned().unwrap_or_default();
        if runs.len() > 1 {
            self.break_rule("TWICE", format!("{id} ran {} times", runs.len()));
        }
        if let Some((history, input)) = expected {
            let whole = [history, input].concat();
            if let Some(other) = runs.iter().find(|run| run.body_hash != hash(&whole)) {
                self.break_rule(
                    "UNASKED",
                    format!("{id}: body of {} bytes, {} expected", other.body_length, whole.len()),
                );
            }
        }
        if matches!(answer.status, 402 | 408 | 421 | 429 | 503) && !runs.is_empty() {
            self.break_rule("REFUSED", format!("{id}: {} though an engine ran it", answer.status));
        }
        if answer.status == 200 && answer.is_whole {
            let expected: String = (0..self.events)
                .map(|number| format!("id: {number}\ndata: {}\n\n", event_data(id, number)))
                .collect();
            if answer.header("Content-Type") == Some("text/event-stream")
                && answer.body != expected.as_bytes()
            {
                self.break_rule(
                    "ORDER",
                    format!(
                        "{id}: a whole stream of {} bytes, {} expected",
                        answer.body.len(),
                        expected.len()
                    ),
                );
            }
        }
    }

    /// What the next turn's prompt holds before its input.
    pub fn extend(&self, history: &[u8], input: &[u8], id: &str) -> Vec<u8> {
        let mut extended = [history, input].concat();
        for number in 0..self.events {
            extended.extend_from_slice(event_data(id, number).as_bytes());
            extended.push(b'\n');
        }
        extended
    }

    pub fn tool(&self, program: &str) -> bool {
        let id = self.id();
        let head = format!(
            "GET /tool/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Sumacdrift-Attempt-Id: {id}\r\nX-Sumacdrift-Program-Id: {program}\r\n\
             X-Sumacdrift-Session-Id: s{program}\r\nX-Sumacdrift-Program-Deadline: 20000\r\nX-Sumacdrift-Time-Budget: 1200\r\n\r\n"
        );
        let at = self.record.seconds();
        let front = self.pick_front();
        self.record.line(&format!("send {front} tool {id} program={program}"));
        let answer = call(front, &head, &[], Duration::from_millis(1500), |_| true);
        self.record.line(&format!(
            "answer {id} {} whole={} bytes={} {}",
            answer.status,
            answer.is_whole,
            answer.body.len(),
            answer.error
        ));
        let is_served = answer.status == 200 && answer.is_whole;
        self.sent.lock().unwrap().push(Sent { at, is_served });
        is_served
    }

    /// A program of kept turns; goes on from `from` if given. Returns the whole turns.
    pub fn program(&self, turns: usize, from: Option<&WholeTurn>) -> usize {
        let program = from.map_or_else(|| self.id(), |from| from.program.clone());
        let (mut previous, mut history) = from.map_or_else(
            || (String::new(), Arc::default()),
            |from| (from.id.clone(), Arc::clone(&from.history)),
        );
        for done in 0..turns {
            let mut tries = 0;
            let (id, input) = loop {
                if self.is_over.load(Ordering::Relaxed) {
                    return done;
                }
                tries += 1;
                let input = self.input(&program);
                let outcome = self.kept_turn(&program, &previous, &input, &history, 100_000);
                if outcome.answer.status == 200 && outcome.answer.is_whole {
                    break (outcome.id, input);
                }
                if matches!(outcome.answer.status, 404 | 410) {
                    self.break_rule(
                        "LOST",
                        format!("{}: {} for a turn after {previous}", outcome.id, outcome.answer.status),
                    );
                }
                if tries > 2 || matches!(outcome.answer.status, 400..=404 | 413) {
                    return done;
                }
                std::thread::sleep(Duration::from_millis(100 + self.number() % 300));
            };
            history = Arc::new(self.extend(&history, &input, &id));
            let at = self.record.seconds();
            self.whole.lock().unwrap().push(WholeTurn {
                id: id.clone(),
                program: program.clone(),
                at,
                history: Arc::clone(&history),
            });
            previous = id;
            if self.number() % 10 < 7 {
                self.tool(&program);
            }
            std::thread::sleep(Duration::from_millis(20 + self.number() % 60));
        }
        turns
    }

    /// Programs one after the other until the end.
    pub fn start(&self, threads: usize, turns: usize) -> Vec<std::thread::JoinHandle<()>> {
        let start_one = |_| {
            let clients = self.clone();
            std::thread::spawn(move || {
                while !clients.is_over.load(Ordering::Relaxed) {
                    if clients.program(turns, None) == 0 {
                        std::thread::sleep(Duration::from_millis(200));
                    }
                }
            })
        };
        (0..threads).map(start_one).collect()
    }

    /// Of the requests sent in a span, how many there were and how many were served.
    pub fn served_between(&self, from: f64, to: f64) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let inside = sent.iter().filter(|sent| sent.at >= from && sent.at < to);
        inside.fold((0, 0), |(all, served), sent| (all + 1, served + usize::from(sent.is_served)))
    }
}

impl Clients {
    /// Goes on from the turns that were answered whole before `until`; returns how many were asked for, found, and said to be
    /// unknown.
    pub fn go_on_from_all(&self, until: f64, most: usize, threads: usize) -> (usize, usize, usize) {
        let mut turns: Vec<WholeTurn> =
            self.whole.lock().unwrap().iter().filter(|turn| turn.at < until).cloned().collect();
        let skip = turns.len().div_ceil(most).max(1);
        turns = turns.into_iter().step_by(skip).collect();
        let all = turns.len();
        let queue = Arc::new(Mutex::new(turns));
        let found = Arc::new(AtomicU64::new(0));
        let unknown = Arc::new(AtomicU64::new(0));
        let threads: Vec<_> = (0..threads)
            .map(|_| {
                let (clients, queue, found, unknown) =
                    (self.clone(), Arc::clone(&queue), Arc::clone(&found), Arc::clone(&unknown));
                std::thread::spawn(move || {
                    loop {
                        let Some(turn) = queue.lock().unwrap().pop() else { return };
                        for _ in 0..3 {
                            let input = clients.input(&turn.program);
                            let outcome =
                                clients.kept_turn(&turn.program, &turn.id, &input, &turn.history, 100_000);
                            match outcome.answer.status {
                                200 => {
                                    found.fetch_add(1, Ordering::Relaxed);
                                    break;
                                }
                                404 | 410 => {
                                    unknown.fetch_add(1, Ordering::Relaxed);
                                    let age = clients.record.seconds() - turn.at;
                                    clients.break_rule(
                                        "LOST",
                                        format!(
                                            "404 for a turn after {}, answered whole {age:.1} s before",
                                            turn.id
                                        ),
                                    );
                                    break;
                                }
                                _ => std::thread::sleep(Duration::from_millis(200)),
                            }
                        }
                    }
                })
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        (all, found.load(Ordering::Relaxed) as usize, unknown.load(Ordering::Relaxed) as usize)
    }
}
