//! Tokens, blocks and answers of emulated engines.
//!
//! A token is four bytes of the flattened prompt, and the answer is a function of the prompt. So a history that
//! was lost or mixed on the way shows in the answer: whoever knows the right history can compute what the
//! answer must be.

use serde_json::Value;
use sumacdrift_types::TokenCount;

use crate::block_cache::BlockHash;

/// Tokens to a cache block, as in common engines.
pub const BLOCK_TOKENS: usize = 16;
/// Bytes to a token.
const TOKEN_BYTES: usize = 4;
/// Bytes to a block.
const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;
/// Tokens of an answer whose prompt does not ask for a number.
const DEFAULT_OUTPUT_TOKENS: TokenCount = 64;
/// Marks the number of tokens that a prompt asks for.
const LENGTH_MARK: &str = "[[tokens=";

/// A flattened prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    text: String,
}

impl Prompt {
    /// Flattens messages, as a chat template does.
    pub fn from_messages(messages: &[Value]) -> Self {
        let mut text = String::new();
        for message in messages {
            push_message(&mut text, message);
        }
        Self { text }
    }

    /// The flattened text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The prompt with the answer in place, as the next turn's prompt begins.
    pub fn with_answer(&self, answer: &str) -> Prompt {
        let mut text = self.text.clone();
        push_parts(&mut text, "assistant", answer);
        Prompt { text }
    }
}

fn push_message(text: &mut String, message: &Value) {
    let role = message.get("role").and_then(Value::as_str).unwrap_or("user");
    let content = match message.get("content") {
        Some(Value::String(content)) => content.clone(),
        Some(Value::Null) | None => String::new(),
        Some(other) => other.to_string(),
    };
    push_parts(text, role, &content);
}

fn push_parts(text: &mut String, role: &str, content: &str) {
    text.push_str("<|im_start|>");
    text.push_str(role);
    text.push('\n');
    text.push_str(content);
    text.push_str("<|im_end|>\n");
}

/// Tokens of a text.
pub fn count_tokens(text: &str) -> TokenCount {
    text.len().div_ceil(TOKEN_BYTES) as TokenCount
}

/// Chained hashes of the text's full blocks.
pub fn block_hashes(text: &str) -> Vec<BlockHash> {
    let mut parent = BlockHash(0);
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            parent = parent.child(block);
            parent
        })
        .collect()
}

/// Number of tokens that the engine answers, by the prompt's own wish and the caller's cap.
pub fn output_length(prompt: &Prompt, max_tokens: TokenCount) -> TokenCount {
    let wish = prompt.text.rfind(LENGTH_MARK).and_then(|start| {
        let digits = &prompt.text[start + LENGTH_MARK.len()..];
        digits.split("]]").next()?.parse::<TokenCount>().ok()
    });
    wish.unwrap_or(DEFAULT_OUTPUT_TOKENS).clamp(1, max_tokens.max(1))
}

/// The first `tokens` tokens of the answer to a prompt.
pub fn answer_text(prompt: &Prompt, tokens: TokenCount) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt.text.as_bytes());
    let mut reader = hasher.finalize_xof();
    let mut answer = String::with_capacity(tokens as usize * TOKEN_BYTES);
    let mut bytes = [0_u8; 2];
    for _ in 0..tokens {
        reader.fill(&mut bytes);
        let number = u16::from_le_bytes(bytes) & 0x0fff;
        answer.push_str(&format!("{number:03x} "));
    }
    answer
}
