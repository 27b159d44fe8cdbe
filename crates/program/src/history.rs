//! The recorded messages of a program, append-only.

use sumacdrift_types::{ChatMessage, PrefixDigest};

/// Messages in order, with the chained digest after each of them.
///
/// The digests let a caller's full message list be compared in constant space: a program of many turns costs
/// memory in proportion to its text, and a comparison costs one digest instead of all the text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    messages: Vec<ChatMessage>,
    prefixes: Vec<PrefixDigest>,
}

impl History {
    /// Number of messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// All messages in order.
    pub fn messages(&self) -> &[ChatMessage] {
        &self.messages
    }

    /// The digest after the first `length` messages, if there are that many.
    pub fn prefix(&self, length: usize) -> Option<PrefixDigest> {
        match length {
            0 => Some(PrefixDigest::default()),
            _ => self.prefixes.get(length - 1).copied(),
        }
    }

    /// The digest after all messages.
    pub fn digest(&self) -> PrefixDigest {
        self.prefixes.last().copied().unwrap_or_default()
    }

    /// Adds a message at the end.
    pub fn push(&mut self, message: ChatMessage) {
        let digest = self.digest().extend(message.digest());
        self.messages.push(message);
        self.prefixes.push(digest);
    }

    /// Drops all messages after the first `length`.
    pub fn truncate(&mut self, length: usize) {
        self.messages.truncate(length);
        self.prefixes.truncate(length);
    }
}

/// The digest after adding `messages` to a sequence whose digest is `start`.
pub(crate) fn extend_digest(start: PrefixDigest, messages: &[ChatMessage]) -> PrefixDigest {
    messages.iter().fold(start, |digest, message| digest.extend(message.digest()))
}
