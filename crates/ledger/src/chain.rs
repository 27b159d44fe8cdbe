//! Putting a chain of turns together from what several replicas know.

use bytes::{Bytes, BytesMut};

use crate::message::{ChainReply, RetainedTurn};

/// What is still needed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainStep {
    /// The chain is whole.
    Whole,
    /// Another replica must be asked for this turn and those before it.
    Missing(String),
}

/// A chain, newest turn first.
#[derive(Debug, Clone, Default)]
pub struct ChainAssembly {
    turns: Vec<RetainedTurn>,
}

impl ChainAssembly {
    /// Adds what a replica knew.
    pub fn add(&mut self, reply: ChainReply) -> ChainStep {
        self.turns.extend(reply.turns);
        if reply.missing.is_empty() { ChainStep::Whole } else { ChainStep::Missing(reply.missing) }
    }

    /// The prompt so far: of each turn, oldest first, what was sent and what was generated.
    pub fn into_prompt(self, new_input: &[u8]) -> Bytes {
        let length: usize = self.turns.iter().map(|turn| turn.input.len() + turn.output.len()).sum();
        let mut prompt = BytesMut::with_capacity(length + new_input.len());
        for turn in self.turns.iter().rev() {
            prompt.extend_from_slice(&turn.input);
            prompt.extend_from_slice(&turn.output);
        }
        prompt.extend_from_slice(new_input);
        prompt.freeze()
    }
}
