//! Messages about the retention of turns, encoded as protocol buffers: which turns still need others, and which were removed.

/// Question about turns whose own retention is over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ContinuationsRequest {
    /// Names of the turns.
    #[prost(string, repeated, tag = "1")]
    pub turns: Vec<String>,
}

/// Turns that continue those of a [`ContinuationsRequest`], and in turn those that continue these, up to turns that are kept.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct Continuations {
    #[prost(message, repeated, tag = "1")]
    pub turns: Vec<TurnContinuation>,
}

/// A turn that continues another one. It is retained, or still under way.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct TurnContinuation {
    #[prost(string, tag = "1")]
    pub turn: String,
    /// Turn that it continues.
    #[prost(string, tag = "2")]
    pub previous: String,
    /// Time for which it is kept, in milliseconds; 0 if its own retention is over.
    #[prost(uint64, tag = "3")]
    pub remaining_millis: u64,
}

/// Retained turns that a replica removed after their retention.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct RemovedTurns {
    #[prost(string, repeated, tag = "1")]
    pub turns: Vec<String>,
}
