//! The in-memory log.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::Configuration;

/// Position in a log, starting at 1; 0 is the position before the first entry.
pub type LogIndex = u64;

/// Election term, which also serves as fencing token.
pub type Term = u64;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// No-op that a new leader appends to commit the entries of earlier terms.
    LeaderStarted,
    /// Encoded command for the state machine; opaque to this crate.
    Command(Bytes),
    /// A new configuration of the group.
    Configuration(Configuration),
}

impl Payload {
    /// Size in bytes that counts towards message limits.
    pub(crate) fn size(&self) -> usize {
        match self {
            Payload::Command(bytes) => bytes.len(),
            Payload::LeaderStarted | Payload::Configuration(_) => 0,
        }
    }
}

/// An entry of the log.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    pub payload: Payload,
}

/// Entries after `base_index`. Entries up to it were compacted and exist only in the state machine.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    base_configuration: Configuration,
    entries: VecDeque<LogEntry>,
}

impl Log {
    pub(crate) fn with_configuration(configuration: Configuration) -> Self {
        Self { base_configuration: configuration, ..Self::default() }
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn append(&mut self, term: Term, payload: Payload) -> LogIndex {
        let index = self.last_index() + 1;
        self.entries.push_back(LogEntry { index, term, payload });
        index
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// The latest configuration at or before `index`.
    pub(crate) fn configuration_at(&self, index: LogIndex) -> &Configuration {
        let up_to_index = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let mut configurations = up_to_index.filter_map(|entry| match &entry.payload {
            Payload::Configuration(configuration) => Some(configuration),
            _ => None,
        });
        configurations.next().unwrap_or(&self.base_configuration)
    }

    /// Index of the latest configuration entry; 0 if there is none after the base.
    pub(crate) fn latest_configuration_index(&self) -> LogIndex {
        let is_configuration = |entry: &&LogEntry| matches!(entry.payload, Payload::Configuration(_));
        self.entries.iter().rev().find(is_configuration).map_or(0, |entry| entry.index)
    }

    /// Entries from `start` within the limits, but at least one if there is any.
    pub(crate) fn slice(&self, start: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<LogEntry> {
        let offset = start.saturating_sub(self.base_index + 1);
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(usize::try_from(offset).unwrap_or(usize::MAX)) {
            bytes += entry.payload.size();
            let is_full = slice.len() == max_entries || bytes > max_bytes;
            if is_full && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Removes entries up to and including `index`, which the state machine must have applied.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        if index <= self.base_index {
            return;
        }
        let configuration = self.configuration_at(index).clone();
        let Some(term) = self.term_at(index) else { return };
        let dropped = usize::try_from(index - self.base_index).unwrap_or(usize::MAX);
        self.entries.drain(..dropped.min(self.entries.len()));
        self.base_index = index;
        self.base_term = term;
        self.base_configuration = configuration;
    }

    /// Replaces the log by the position of a snapshot.
    pub(crate) fn reset(&mut self, index: LogIndex, term: Term, configuration: Configuration) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
        self.base_configuration = configuration;
    }

    pub(crate) fn payload_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.payload.size()).sum()
    }
}
