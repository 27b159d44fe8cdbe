//! Parsing of nodes' JSON logs.

use std::io::{BufRead, BufReader, Read};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A line of a node's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of writing in RFC 3339 and UTC, so that lines sort by this text.
    pub ts: String,
    /// Name of the node; empty if missing.
    #[serde(default)]
    pub node: String,
    /// Event name as listed in `docs/OPERATIONS.md`; empty if missing.
    #[serde(default)]
    pub event: String,
    /// All other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// Fields that are part of every line; left out of summaries.
const COMMON_FIELDS: [&str; 2] = ["msg", "level"];

impl LogLine {
    /// A string field; empty if missing or of another type.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A non-negative integer field; `None` if missing or of another type.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// The event's own fields as `name=value`, sorted by name.
    pub fn summary(&self) -> String {
        let mut fields: Vec<(&String, &Value)> = self.fields.iter().collect();
        fields.retain(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        fields.sort_by_key(|(name, _)| name.as_str());
        let pairs = fields.into_iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// The content of one or several logs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ParsedLogs {
    /// Log lines in order of time.
    pub lines: Vec<LogLine>,
    /// Number of lines that are not valid log lines, such as one truncated when its process was killed.
    pub unreadable: usize,
}

/// Reads the logs of several nodes and merges them in order of time.
pub fn read_logs(sources: Vec<Box<dyn Read>>) -> std::io::Result<ParsedLogs> {
    let mut read = ParsedLogs::default();
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
    // A stable sort keeps a node's lines with equal times in their order.
    read.lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    Ok(read)
}
