//! What a caller says about a call.

use std::borrow::Cow;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// When a life of an engine began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct EngineStart {
    /// Milliseconds of the time of day by the engine's own clock; 0 where it doesn't say.
    pub unix_millis: u64,
}

impl EngineStart {
    /// Whether the engine says when it began.
    pub fn is_known(self) -> bool {
        self.unix_millis > 0
    }
}

/// One life of an engine. An engine that was started again is another one, also under the same name: it holds and knows
/// nothing of what the earlier one did.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId {
    name: Arc<str>,
    start: EngineStart,
}

impl EngineId {
    /// The only life of an engine that doesn't say when it began.
    pub fn new(name: &str) -> Self {
        Self::started(name, EngineStart::default())
    }

    /// The life of an engine that began then.
    pub fn started(name: &str, start: EngineStart) -> Self {
        Self { name: Arc::from(name), start }
    }

    /// The name that all lives of the engine share, as it tells it.
    pub fn as_str(&self) -> &str {
        &self.name
    }

    /// When this life began.
    pub fn start(&self) -> EngineStart {
        self.start
    }

    /// Whether two lives are of the same engine.
    pub fn is_same_engine(&self, other: &EngineId) -> bool {
        self.name == other.name
    }

    /// A text that no two lives share.
    pub fn life_text(&self) -> Cow<'_, str> {
        match self.start.is_known() {
            true => Cow::Owned(format!("{}@{}", self.name, self.start.unix_millis)),
            false => Cow::Borrowed(&self.name),
        }
    }
}

impl fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)
    }
}

impl fmt::Debug for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.life_text())
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
