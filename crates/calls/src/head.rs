//! What a caller says about a call.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// One life of an engine. A restarted engine is another one.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId(Arc<str>);

impl EngineId {
    /// The id as the engine tells it.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of the part; equal names are equal content.
    pub id: String,
    /// Its length.
    pub tokens: u64,
}

/// Tokens of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens that are generated.
    pub most_output: u64,
}

/// The program that a call belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramHead {
    /// The program.
    pub program: String,
    /// The line of turns within the program, which a sub-agent has of its own.
    pub line: Option<String>,
    /// Time until the program should be over.
    pub time_left: Option<Duration>,
    /// Tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
}

/// What a caller says about a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name of this call; unique.
    pub id: String,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The program.
    pub program: Option<ProgramHead>,
    /// What the call is about; calls about the same thing run faster at the same engine.
    pub affinity: Option<String>,
    /// Tokens.
    pub usage: Option<TokenUsage>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The event after which a stream is to be taken up.
    pub resume_after: Option<String>,
    /// The earlier turn that this one goes on from, where the system keeps what was said.
    pub previous: Option<String>,
}
