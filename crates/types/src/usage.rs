//! Token counts and their estimation.

use serde::{Deserialize, Serialize};

/// Count of model tokens.
pub type TokenCount = u64;

/// Assumed average, used until an engine reports an exact count.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the tokens in a text of `bytes` bytes, rounded up.
pub fn estimate_tokens(bytes: usize) -> TokenCount {
    bytes.div_ceil(BYTES_PER_TOKEN) as TokenCount
}

/// Tokens used by one call, as reported by the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Usage {
    /// Tokens of the whole prompt, cached ones included.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: TokenCount,
    pub output_tokens: TokenCount,
}
