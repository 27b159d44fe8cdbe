//! A call as the scheduler sees it.

use sumacdrift_types::{CallId, ChatMessage, PrefixDigest, ProgramId, TenantName, Timestamp, TokenCount};

/// Rank of a priority class; lower is served first.
pub type PriorityRank = u32;

/// Leading message boundaries that are named in a call: system prompts and shared contexts end there.
const LEADING_PREFIXES: usize = 4;
/// Trailing message boundaries that are named in a call: earlier turns of the program end there.
const TRAILING_PREFIXES: usize = 8;

/// A point in a prompt at which an engine's cache may hold everything before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContextPrefix {
    /// Digest of the messages up to the point.
    pub digest: PrefixDigest,
    /// Tokens up to the point, by estimate.
    pub tokens: TokenCount,
}

/// A call that waits for an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The call.
    pub call: CallId,
    /// The program, whose context is looked for.
    pub program: ProgramId,
    /// The tenant, for fair shares.
    pub tenant: TenantName,
    /// Rank of its priority class.
    pub rank: PriorityRank,
    /// Points of the prompt at which caches may match, shortest first; the last one is the whole prompt.
    pub prefixes: Vec<ContextPrefix>,
    /// Cap on generated tokens.
    pub max_output_tokens: TokenCount,
    /// Tokens that the program received before: its attained service.
    pub attained_tokens: TokenCount,
    /// When the caller stops waiting.
    pub deadline: Option<Timestamp>,
}

impl Work {
    /// Tokens of the whole prompt, by estimate.
    pub fn prompt_tokens(&self) -> TokenCount {
        self.prefixes.last().map_or(0, |prefix| prefix.tokens)
    }
}

/// Names the points of a prompt at which caches are likely to match.
///
/// A call that named every message would grow with the program; the first few and the last few boundaries
/// cover shared contexts and the program's own recent turns.
pub fn context_prefixes(messages: &[ChatMessage]) -> Vec<ContextPrefix> {
    let mut digest = PrefixDigest::default();
    let mut tokens = 0;
    let mut prefixes = Vec::new();
    for (position, message) in messages.iter().enumerate() {
        digest = digest.extend(message.digest());
        tokens += message.estimated_tokens();
        let is_leading = position < LEADING_PREFIXES;
        let is_trailing = position + TRAILING_PREFIXES >= messages.len();
        if is_leading || is_trailing {
            prefixes.push(ContextPrefix { digest, tokens });
        }
    }
    prefixes
}
