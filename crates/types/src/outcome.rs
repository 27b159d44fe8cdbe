//! Rejections and failures as reported to callers.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ResultCode;

/// Whether a back end has run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It is certain that no back end received the request.
    No,
    /// A back end ran it to its end.
    Yes,
    /// A back end may have received it; it is never repeated automatically.
    Unknown,
}

impl Ran {
    /// Value in problem bodies.
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

/// A rejection or failure, as reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {detail} (ran: {ran})")]
#[allow(missing_docs)]
pub struct Problem {
    pub code: ResultCode,
    /// Explanation for a person; must not contain secrets.
    pub detail: String,
    pub ran: Ran,
    /// Delay after which a retry may succeed; `None` if no retry is suggested.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A rejection of a request that no back end received.
    pub fn not_run(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), ran: Ran::No, retry_after: None }
    }

    /// A failure of a request that a back end may have run.
    pub fn unknown(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), ran: Ran::Unknown, retry_after: None }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets whether the request has run.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }
}
