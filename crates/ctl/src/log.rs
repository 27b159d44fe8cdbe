//! Lines of nodes' logs.

use std::io::{BufRead, BufReader, Read};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A line of a node's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// When it was written, as RFC 3339 in UTC; it sorts as text.
    pub ts: String,
    /// The node.
    #[serde(default)]
    pub node: String,
    /// What happened, as `docs/OPERATIONS.md` lists it.
    #[serde(default)]
    pub event: String,
    /// Everything else.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// Fields that every line has and that say nothing of the event.
const COMMON_FIELDS: [&str; 2] = ["msg", "level"];

impl LogLine {
    /// A field as text; empty where there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// The fields of the event, `name=value`, by name.
    pub fn summary(&self) -> String {
        let mut fields: Vec<(&String, &Value)> = self.fields.iter().collect();
        fields.retain(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        fields.sort_by_key(|(name, _)| name.as_str());
        let shown = fields.into_iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// What was read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReadLines {
    /// Lines, by time.
    pub lines: Vec<LogLine>,
    /// Lines that are no log lines, such as the end of a process that was killed while it wrote.
    pub unreadable: usize,
}

/// Reads logs of several nodes and puts their lines in the order of time.
pub fn read_logs(sources: Vec<Box<dyn Read>>) -> std::io::Result<ReadLines> {
    let mut read = ReadLines::default();
    for source in sources {
        for line in BufReader::new(source).split(b'\n') {
            let line = line?;
            if line.is_empty() {
                continue;
            }
            match serde_json::from_slice(&line) {
                Ok(line) => read.lines.push(line),
                Err(_) => read.unreadable += 1,
            }
        }
    }
    // The sort is stable: lines of one node at the same time stay in their order.
    read.lines.sort_by(|one, other| one.ts.cmp(&other.ts));
    Ok(read)
}
