//! Token counts.

use serde::{Deserialize, Serialize};

/// A number of tokens.
pub type TokenCount = u64;

/// Average bytes of text to a token, used only where no engine has reported an exact count yet.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the tokens in a text of `bytes` bytes, rounding up.
pub fn estimate_tokens(bytes: usize) -> TokenCount {
    bytes.div_ceil(BYTES_PER_TOKEN) as TokenCount
}

/// Tokens that one call used, as the engine reported them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that were found in the engine's cache.
    pub cached_tokens: TokenCount,
    /// Tokens generated.
    pub output_tokens: TokenCount,
}
