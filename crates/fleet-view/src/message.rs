//! Protocol-buffer messages between edges and the replicas that distribute their reports. Unknown fields are
//! ignored.

/// Report of an edge or board, and what it asks for in return.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeReport {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address at which the edge forwards requests of other edges, `IP:PORT`; empty if it does not.
    #[prost(string, tag = "2")]
    pub relay: String,
    /// Calls of the sender at engines. An engine that is missing has none.
    #[prost(message, optional, tag = "3")]
    pub loads: Option<Loads>,
    /// Parts of prompts that an engine has read.
    #[prost(message, repeated, tag = "4")]
    pub cached_parts: Vec<CachedPart>,
    /// Parts of prompts whose holders are requested.
    #[prost(fixed64, repeated, tag = "5")]
    pub requested_parts: Vec<u64>,
    /// Requests the loads and demand of the other edges.
    #[prost(bool, tag = "6")]
    pub wants_loads: bool,
    /// Requests the addresses of relays.
    #[prost(bool, tag = "7")]
    pub wants_relays: bool,
    /// Whether the sender is a board, whose loads are the sums over the edges that report to it.
    #[prost(bool, tag = "8")]
    pub is_from_board: bool,
    /// Calls of the sender by service and rank, sent with its loads. A pair that is missing has none.
    #[prost(message, repeated, tag = "9")]
    pub demands: Vec<ServiceDemand>,
}

/// Calls of one rank to a service.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ServiceDemand {
    /// See [`crate::service_key`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Lower ranks are served first.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Calls in flight at engines.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Calls queued at an edge.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// Load by engine.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loads {
    /// Engines with any load.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineLoad>,
}

/// Load of one engine. The tokens and counts saturate when they are summed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EngineLoad {
    /// See [`crate::engine_key`].
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Calls in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens of these calls that the engine has not read yet.
    #[prost(uint32, tag = "3")]
    pub unread_tokens: u32,
    /// Calls that failed recently without a success since.
    #[prost(uint32, tag = "4")]
    pub failed: u32,
    /// Edges whose last call succeeded recently. Sent only for engines where calls of other edges fail.
    #[prost(uint32, tag = "5")]
    pub succeeding_edges: u32,
    /// Calls that ended recently, successful or not. Sent only for engines where calls of any edge failed
    /// recently.
    #[prost(uint32, tag = "6")]
    pub recent_ended: u32,
    /// Those of `recent_ended` that failed by the engine's fault.
    #[prost(uint32, tag = "7")]
    pub recent_failed: u32,
}

/// A part of a prompt that an engine is believed to have cached.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CachedPart {
    /// See [`crate::part_key`].
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// See [`crate::engine_key`].
    #[prost(fixed32, tag = "2")]
    pub engine: u32,
    /// Cached tokens of the part.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
}

/// Response to [`NodeReport`]: what the replica knows of the other edges.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerView {
    /// Sum over all other edges; set only if requested.
    #[prost(message, optional, tag = "1")]
    pub loads: Option<Loads>,
    /// Engines that hold the requested parts.
    #[prost(message, repeated, tag = "2")]
    pub cached_parts: Vec<CachedPart>,
    /// Addresses of edges that forward requests; set only if requested.
    #[prost(string, repeated, tag = "3")]
    pub relays: Vec<String>,
    /// Sum over all other edges; set only if loads are requested.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<ServiceDemand>,
}
