//! Assembly of a chain of turns from the replies of several replicas.

use bytes::{Bytes, BytesMut};

use crate::message::{ChainReply, RetainedTurn};

/// Result of adding a reply to a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainStep {
    /// All turns of the chain are known.
    Whole,
    /// Name of the newest turn whose content is missing. A replica that stores it must be asked for it and its
    /// predecessors.
    Missing(String),
}

/// Chain under assembly, newest turn first.
#[derive(Debug, Clone, Default)]
pub struct ChainAssembly {
    turns: Vec<RetainedTurn>,
}

impl ChainAssembly {
    /// Appends the turns of a reply, which continue the chain at its oldest end.
    pub fn add(&mut self, reply: ChainReply) -> ChainStep {
        self.turns.extend(reply.turns);
        if reply.missing.is_empty() { ChainStep::Whole } else { ChainStep::Missing(reply.missing) }
    }

    /// Bytes of the inputs and outputs of all turns.
    pub fn content_bytes(&self) -> usize {
        self.turns.iter().map(|turn| turn.input.len() + turn.output.len()).sum()
    }

    /// Concatenates the input and output of each turn, oldest first, and `new_input`, which is not copied at the start of a
    /// chain.
    pub fn into_prompt(self, new_input: &Bytes) -> Bytes {
        if self.turns.is_empty() {
            return new_input.clone();
        }
        let mut prompt = BytesMut::with_capacity(self.content_bytes() + new_input.len());
        for turn in self.turns.iter().rev() {
            prompt.extend_from_slice(&turn.input);
            prompt.extend_from_slice(&turn.output);
        }
        prompt.extend_from_slice(new_input);
        prompt.freeze()
    }
}
