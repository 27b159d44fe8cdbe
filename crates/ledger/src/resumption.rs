//! Streams that a turn resumes: how the turn in which one began is looked for, and what a quorum knows of its origin.

use crate::message::StreamOrigin;

/// Which turn began the stream that another turn of its program resumes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ResumedTurn {
    /// The turn begins a stream.
    #[default]
    None,
    /// The turn of this name.
    Named(String),
    /// One with the same request, as the caller names none.
    OfSameRequest,
}

impl ResumedTurn {
    /// Name of the turn; empty if there is none.
    pub fn name(&self) -> &str {
        match self {
            ResumedTurn::Named(turn) => turn,
            ResumedTurn::None | ResumedTurn::OfSameRequest => "",
        }
    }
}

/// What a quorum knows of the origin of a resumed stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ResumedOrigin {
    /// The ledger was not asked.
    #[default]
    NotAsked,
    /// It may be recorded: a voter is of a build that compares no requests, or no quorum answered.
    Unknown,
    /// The stream began there.
    Recorded(StreamOrigin),
    /// Turns of the same request began at different origins, and any of them may be resumed.
    Ambiguous,
    /// No voter knows an origin. One that was recorded by a quorum is never missed.
    NotRecorded,
}

impl ResumedOrigin {
    /// The one origin of several turns, whatever its revisions.
    pub(crate) fn common<'a>(origins: impl IntoIterator<Item = &'a StreamOrigin>) -> Self {
        let mut origins = origins.into_iter();
        let Some(first) = origins.next() else { return ResumedOrigin::NotRecorded };
        if origins.all(|origin| origin.is_same_software(first)) {
            ResumedOrigin::Recorded(first.clone())
        } else {
            ResumedOrigin::Ambiguous
        }
    }
}
