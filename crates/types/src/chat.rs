//! Chat messages, their digests and the chained digests that identify a prefix of a history.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{TokenCount, estimate_tokens};

/// Bytes kept of a digest; 128 bits make an accidental collision negligible.
const DIGEST_BYTES: usize = 16;

/// How the messages of a turn relate to the recorded history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HistoryMode {
    /// The messages begin with the whole recorded history.
    #[default]
    Full,
    /// The messages hold only what is new.
    Append,
}

/// Digest of one message's canonical form.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MessageDigest(pub [u8; DIGEST_BYTES]);

/// Digest of a whole sequence of messages, chained from digest to digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct PrefixDigest(pub [u8; DIGEST_BYTES]);

impl PrefixDigest {
    /// The digest after one more message.
    pub fn extend(self, message: MessageDigest) -> PrefixDigest {
        PrefixDigest(digest(&[&self.0, &message.0]))
    }
}

impl fmt::Debug for MessageDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hexadecimal(formatter, &self.0)
    }
}

impl fmt::Debug for PrefixDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hexadecimal(formatter, &self.0)
    }
}

fn write_hexadecimal(formatter: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
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

/// A message is not an object with a textual `role`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a message is an object with a textual \"role\"")]
pub struct InvalidMessage;

/// One chat message in canonical JSON: members sorted by name, null members left out.
///
/// Client libraries differ in whether they send an absent member or a null one when they echo an earlier
/// answer; the canonical form makes the two equal, so that such an echo still matches the history.
#[derive(Clone, PartialEq, Eq)]
pub struct ChatMessage {
    canonical: Arc<str>,
    digest: MessageDigest,
}

impl ChatMessage {
    /// Takes a message as a caller sent it.
    pub fn from_value(value: &Value) -> Result<Self, InvalidMessage> {
        let has_role = value.get("role").is_some_and(Value::is_string);
        if !value.is_object() || !has_role {
            return Err(InvalidMessage);
        }
        Ok(Self::from_canonical(canonical_json(value)))
    }

    /// An assistant's answer that consists of text alone.
    pub fn assistant(text: &str) -> Self {
        let content = Value::String(text.to_owned());
        Self::from_canonical(format!("{{\"content\":{content},\"role\":\"assistant\"}}"))
    }

    /// Takes text that `canonical` returned earlier.
    pub fn from_canonical(canonical: impl Into<Arc<str>>) -> Self {
        let canonical = canonical.into();
        let digest = MessageDigest(digest(&[canonical.as_bytes()]));
        Self { canonical, digest }
    }

    /// The canonical JSON text.
    pub fn canonical(&self) -> &str {
        &self.canonical
    }

    /// The digest of the canonical form.
    pub fn digest(&self) -> MessageDigest {
        self.digest
    }

    /// Rough number of tokens, for use before an engine has counted.
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
