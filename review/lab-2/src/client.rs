//! A stand-in for a client that runs agent programs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::event_data;
use crate::fleet::HOST;
use crate::http::{send, Answer};
use crate::record::Record;

static NEXT: AtomicU64 = AtomicU64::new(0);

/// A new id, in hex.
pub fn new_id() -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (time ^ count.rotate_left(48)).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(count))
}

pub struct Turn<'a> {
    pub path: &'a str,
    pub program: &'a str,
    pub session: &'a str,
    pub previous: Option<&'a str>,
    pub input: &'a [u8],
    /// Time that the program has left.
    pub aim: Duration,
    pub budget_tokens: u64,
    pub most_tokens: u64,
    pub after: Option<String>,
}

/// One client attempt of a turn.
pub fn attempt_turn(to: SocketAddr, attempt: &str, turn: &Turn<'_>, within: Duration) -> Answer {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Sumacdrift-Attempt-Id", attempt.to_owned()),
        ("X-Sumacdrift-Program-Id", turn.program.to_owned()),
        ("X-Sumacdrift-Session-Id", turn.session.to_owned()),
        ("X-Sumacdrift-Program-Deadline", turn.aim.as_millis().to_string()),
        ("X-Sumacdrift-Token-Budget", turn.budget_tokens.to_string()),
        ("X-Sumacdrift-Model", "m".to_owned()),
        ("X-Sumacdrift-Token-Usage", format!("1460,{}", turn.most_tokens)),
        ("X-Sumacdrift-Prompt-Prefix", format!("5c1e07a2:800,{}:660", turn.session)),
        ("X-Sumacdrift-Time-Budget", within.as_millis().to_string()),
    ];
    if let Some(previous) = turn.previous {
        headers.push(("X-Sumacdrift-Previous-Turn", previous.to_owned()));
    }
    if let Some(after) = &turn.after {
        headers.push(("Last-Event-Id", after.clone()));
    }
    send(to, "POST", turn.path, &headers, turn.input, within)
}

/// How a try of a turn ended, with all of its client attempts.
pub struct Try {
    pub attempts: Vec<(String, Answer)>,
}

impl Try {
    pub fn last(&self) -> &Answer {
        &self.attempts[self.attempts.len() - 1].1
    }

    pub fn is_served(&self) -> bool {
        self.last().status == 200 && self.last().is_whole
    }

    pub fn attempt(&self) -> &str {
        &self.attempts[self.attempts.len() - 1].0
    }
}

/// One try of a turn: a client attempt and, within the deadline, one more at another edge if the answer was a promise that
/// it has not run.
pub fn try_turn(
    edges: &[SocketAddr],
    first: usize,
    turn: &Turn<'_>,
    deadline: Duration,
    record: &Record,
) -> Try {
    let until = Instant::now() + deadline;
    let mut attempts = Vec::new();
    for retry in 0..2 {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(50) {
            break;
        }
        let to = edges[(first + retry) % edges.len()];
        let attempt = new_id();
        let previous = turn.previous.map_or(String::new(), |previous| format!(", after turn {previous}"));
        record.line(format!("client sends {attempt} of program {} to {to}{previous}", turn.program));
        let answer = attempt_turn(to, &attempt, turn, left);
        record.line(format!(
            "client gets {} for {attempt} after {} ms, {}, {} bytes {}",
            answer.status,
            answer.took.as_millis(),
            if answer.is_whole { "whole" } else { "not whole" },
            answer.body.len(),
            answer.note
        ));
        let may_retry = matches!(answer.status, 408 | 421 | 429 | 503);
        let pause = answer.header("retry-after").and_then(|after| after.parse::<f64>().ok()).unwrap_or(0.1);
        attempts.push((attempt, answer));
        if !may_retry {
            break;
        }
        let left = until.saturating_duration_since(Instant::now());
        std::thread::sleep(Duration::from_secs_f64(pause.clamp(0.0, 3600.0)).min(left / 3));
    }
    Try { attempts }
}

/// What a turn that was answered whole adds to the prompt of the next one.
pub fn said(input: &[u8], attempt: &str, events: usize) -> Vec<u8> {
    let mut said = input.to_vec();
    for event in 1..=events {
        said.extend_from_slice(event_data(attempt, event).as_bytes());
        said.push(b'\n');
    }
    said
}
