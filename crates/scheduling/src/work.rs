//! Calls as the scheduler sees them.

use sumacdrift_types::{CallId, ChatMessage, PrefixDigest, ProgramId, TenantName, Timestamp, TokenCount};

/// Rank of a priority class; lower ranks are served first.
pub type PriorityRank = u32;

/// Number of a prompt's shortest prefixes that are listed; they cover system prompts and shared contexts.
const LEADING_PREFIXES: usize = 4;
/// Number of a prompt's longest prefixes that are listed; they cover earlier turns of the program.
const TRAILING_PREFIXES: usize = 8;

/// A prefix of a prompt that ends at a message boundary and that an engine's cache may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContextPrefix {
    /// Digest of the messages of the prefix.
    pub digest: PrefixDigest,
    /// Estimated tokens of the prefix.
    pub tokens: TokenCount,
}

/// A call to be placed on an engine.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct EngineWork {
    pub call: CallId,
    pub program: ProgramId,
    pub tenant: TenantName,
    pub rank: PriorityRank,
    /// Prefixes of the prompt that caches may hold, shortest first; the last one is the whole prompt.
    pub prefixes: Vec<ContextPrefix>,
    pub max_output_tokens: TokenCount,
    /// Tokens generated for earlier calls of the program.
    pub attained_tokens: TokenCount,
    /// When the caller stops waiting; `None` if it sets no limit.
    pub deadline: Option<Timestamp>,
}

impl EngineWork {
    /// Estimated tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> TokenCount {
        self.prefixes.last().map_or(0, |prefix| prefix.tokens)
    }
}

/// Selects the prefixes of a prompt that caches are likely to hold, shortest first.
///
/// The shortest and longest few cover shared contexts and the program's recent turns; listing all of them would make
/// calls grow with the history.
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
