//! Prompts, tokens, cache blocks and answers of emulated engines.
//!
//! A token is four bytes of the flattened prompt, and the answer is a function of the prompt. A lost or mixed-up history
//! therefore changes the answer, and a test that knows the correct history can compute the expected one.

use serde_json::Value;
use sumacdrift_types::TokenCount;

use crate::block_cache::BlockHash;

/// Tokens per cache block, as in common engines.
pub const BLOCK_TOKENS: usize = 16;
const TOKEN_BYTES: usize = 4;
const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;
/// Answer length for prompts that don't request one.
const DEFAULT_OUTPUT_TOKENS: TokenCount = 64;
/// Precedes the answer length that a prompt requests, as in `[[tokens=64]]`.
const LENGTH_MARKER: &str = "[[tokens=";

/// A prompt, flattened to text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    text: String,
}

impl Prompt {
    /// Flattens messages like a chat template.
    pub fn from_messages(messages: &[Value]) -> Self {
        let mut text = String::new();
        for message in messages {
            push_message(&mut text, message);
        }
        Self { text }
    }

    /// The prompt as text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the prompt followed by the answer, which is the beginning of the next turn's prompt.
    pub fn with_answer(&self, answer: &str) -> Prompt {
        let mut text = self.text.clone();
        push_turn(&mut text, "assistant", answer);
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
    push_turn(text, role, &content);
}

fn push_turn(text: &mut String, role: &str, content: &str) {
    text.push_str("<|im_start|>");
    text.push_str(role);
    text.push('\n');
    text.push_str(content);
    text.push_str("<|im_end|>\n");
}

/// Number of tokens, with the last one possibly incomplete.
pub fn count_tokens(text: &str) -> TokenCount {
    text.len().div_ceil(TOKEN_BYTES) as TokenCount
}

/// Chained hashes of the text's complete blocks.
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

/// Number of tokens of the answer: the length that the prompt requests, limited to 1..=`max_tokens`.
pub fn output_length(prompt: &Prompt, max_tokens: TokenCount) -> TokenCount {
    let requested = prompt.text.rfind(LENGTH_MARKER).and_then(|start| {
        let digits = &prompt.text[start + LENGTH_MARKER.len()..];
        digits.split("]]").next()?.parse::<TokenCount>().ok()
    });
    requested.unwrap_or(DEFAULT_OUTPUT_TOKENS).clamp(1, max_tokens.max(1))
}

/// Generates the first `tokens` tokens of the answer to a prompt.
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
