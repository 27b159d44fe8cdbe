//! Chat messages, their digests and the chained digests that identify prefixes of a history.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{TokenCount, estimate_tokens};

/// Digests are truncated to 128 bits, which still makes accidental collisions negligible.
const DIGEST_BYTES: usize = 16;

/// Relation of a turn's messages to the recorded history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HistoryMode {
    /// The messages start with the whole recorded history.
    #[default]
    Full,
    /// The messages are appended to the recorded history.
    Append,
}

/// Digest of the canonical form of one message.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MessageDigest(pub [u8; DIGEST_BYTES]);

/// Digest of a sequence of messages, chained message by message. The default is the empty sequence.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct PrefixDigest(pub [u8; DIGEST_BYTES]);

impl PrefixDigest {
    /// The digest of the sequence with one more message.
    pub fn extend(self, message: MessageDigest) -> PrefixDigest {
        PrefixDigest(digest(&[&self.0, &message.0]))
    }
}

impl fmt::Debug for MessageDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(formatter, &self.0)
    }
}

impl fmt::Debug for PrefixDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(formatter, &self.0)
    }
}

fn write_hex(formatter: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
}

fn digest(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut output = [0_u8; DIGEST_BYTES];
    output.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    output
}

/// The message is not a JSON object with a string member `role`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a message must be a JSON object with a string member \"role\"")]
pub struct InvalidMessage;

/// A chat message in canonical JSON: members sorted by name, without null members.
///
/// When client libraries send an earlier answer back, some omit absent members and others send null. The canonical
/// form makes both equal, so that either matches the recorded history.
#[derive(Clone, PartialEq, Eq)]
pub struct ChatMessage {
    canonical: Arc<str>,
    digest: MessageDigest,
}

impl ChatMessage {
    /// Canonicalizes a message sent by a caller.
    pub fn from_value(value: &Value) -> Result<Self, InvalidMessage> {
        let has_role = value.get("role").is_some_and(Value::is_string);
        if !value.is_object() || !has_role {
            return Err(InvalidMessage);
        }
        Ok(Self::from_canonical(canonical_json(value)))
    }

    /// Creates an assistant message with plain text content.
    pub fn assistant(text: &str) -> Self {
        let content = Value::String(text.to_owned());
        Self::from_canonical(format!("{{\"content\":{content},\"role\":\"assistant\"}}"))
    }

    /// Restores a message from the text returned by [`Self::canonical`], without checking it.
    pub fn from_canonical(canonical: impl Into<Arc<str>>) -> Self {
        let canonical = canonical.into();
        let digest = MessageDigest(digest(&[canonical.as_bytes()]));
        Self { canonical, digest }
    }

    /// Canonical JSON text.
    pub fn canonical(&self) -> &str {
        &self.canonical
    }

    /// Digest of the canonical form.
    pub fn digest(&self) -> MessageDigest {
        self.digest
    }

    /// Rough token count, for use until an engine reports the exact one.
    pub fn estimated_tokens(&self) -> TokenCount {
        estimate_tokens(self.canonical.len())
    }
}

impl fmt::Debug for ChatMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.canonical)
    }
}

fn canonical_json(value: &Value) -> String {
    match value {
        Value::Object(members) => {
            let mut present: Vec<_> = members.iter().filter(|(_, member)| !member.is_null()).collect();
            present.sort_by(|left, right| left.0.cmp(right.0));
            let parts: Vec<String> = present
                .into_iter()
                .map(|(name, member)| format!("{}:{}", Value::String(name.clone()), canonical_json(member)))
                .collect();
            format!("{{{}}}", parts.join(","))
        }
        Value::Array(items) => {
            let parts: Vec<String> = items.iter().map(canonical_json).collect();
            format!("[{}]", parts.join(","))
        }
        scalar => scalar.to_string(),
    }
}
