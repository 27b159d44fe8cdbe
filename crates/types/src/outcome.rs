//! What a caller is told when a call does not end with an answer.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ResultCode;

/// Whether a request has run at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Proven not to have reached any back end.
    No,
    /// Has run to its end.
    Yes,
    /// A back end may have received it; the system never runs it again by itself.
    Unknown,
}

impl Ran {
    /// The word used in problem bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The typed form of every refusal and failure that leaves the system.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {detail} (ran: {ran})")]
pub struct Problem {
    /// Numbered reason.
    pub code: ResultCode,
    /// Sentence for a person, free of secrets.
    pub detail: String,
    /// Whether the request has run.
    pub ran: Ran,
    /// When a repetition is worth trying, if it ever is.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A refusal of a request that reached no back end.
    pub fn not_run(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), ran: Ran::No, retry_after: None }
    }

    /// A failure whose effect at the back end is not known.
    pub fn unknown(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), ran: Ran::Unknown, retry_after: None }
    }

    /// Adds the time after which a repetition makes sense.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Replaces the statement on whether the request has run.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }
}
