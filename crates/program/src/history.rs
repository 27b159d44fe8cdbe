//! The recorded messages of a program.

use sumacdrift_types::{ChatMessage, PrefixDigest};

/// Messages in order, with the chained digest up to and including each of them.
///
/// Comparing digests avoids comparing the text of whole histories with each request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    messages: Vec<ChatMessage>,
    prefix_digests: Vec<PrefixDigest>,
}

impl History {
    /// Number of recorded messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether no message is recorded.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// The recorded messages in order.
    pub fn messages(&self) -> &[ChatMessage] {
        &self.messages
    }

    /// Digest of the first `length` messages; `None` if there are fewer.
    pub fn prefix_digest(&self, length: usize) -> Option<PrefixDigest> {
        match length {
            0 => Some(PrefixDigest::default()),
            _ => self.prefix_digests.get(length - 1).copied(),
        }
    }

    /// Digest of all messages.
    pub fn digest(&self) -> PrefixDigest {
        self.prefix_digests.last().copied().unwrap_or_default()
    }

    /// Appends a message.
    pub fn push(&mut self, message: ChatMessage) {
        let digest = self.digest().extend(message.digest());
        self.messages.push(message);
        self.prefix_digests.push(digest);
    }

    /// Keeps the first `length` messages.
    pub fn truncate(&mut self, length: usize) {
        self.messages.truncate(length);
        self.prefix_digests.truncate(length);
    }
}

/// Extends the chained digest `start` by `messages`.
pub(crate) fn extend_digest(start: PrefixDigest, messages: &[ChatMessage]) -> PrefixDigest {
    messages.iter().fold(start, |digest, message| digest.extend(message.digest()))
}
