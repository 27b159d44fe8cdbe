//! Messages between edges and the replicas that pass their news on. All are protocol buffers; fields that a version
//! does not know are ignored.

/// What an edge tells, and what it asks in return.
#[derive(Clone, PartialEq, prost::Message)]
pub struct News {
    /// Name of the edge.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Where the edge passes questions on for others, `IP:PORT`; empty where it does not.
    #[prost(string, tag = "2")]
    pub relay: String,
    /// The edge's calls at engines. An engine that is not named has none of them.
    #[prost(message, optional, tag = "3")]
    pub loads: Option<Loads>,
    /// Parts of a prompt that an engine has read.
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<PartHeld>,
    /// Parts of a prompt whose engines are asked for.
    #[prost(fixed64, repeated, tag = "5")]
    pub asked_parts: Vec<u64>,
    /// Whether the loads of other edges are asked for.
    #[prost(bool, tag = "6")]
    pub asks_loads: bool,
    /// Whether edges that pass questions on are asked for.
    #[prost(bool, tag = "7")]
    pub asks_relays: bool,
    /// Whether the sender is another board, and its loads are those of all edges that tell it of theirs.
    #[prost(bool, tag = "8")]
    pub is_from_board: bool,
    /// Calls of the edge by service and rank. Told with its loads; what is not named has none.
    #[prost(message, repeated, tag = "9")]
    pub demands: Vec<ServiceDemand>,
}

/// Calls of one rank that want to use a service.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ServiceDemand {
    /// The service, see [`crate::service_key`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The rank; lower is served first.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Calls under way at engines.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Calls that wait at an edge.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// Calls at engines.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loads {
    /// One entry for each engine that has any.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineLoad>,
}

/// Calls at one engine.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EngineLoad {
    /// The engine, see [`crate::engine_key`].
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Calls under way there.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Tokens of their prompts that it still has to read.
    #[prost(uint32, tag = "3")]
    pub unread_tokens: u32,
    /// Calls there that failed a moment ago, none having ended well since.
    #[prost(uint32, tag = "4")]
    pub failed: u32,
    /// Edges whose last call there ended well a moment ago. Told only of engines where others' calls fail.
    #[prost(uint32, tag = "5")]
    pub served: u32,
    /// Calls there that ended of late, well or not. Told only of engines where calls of any edge failed of late.
    #[prost(uint32, tag = "6")]
    pub recent_ended: u32,
    /// Those of them that failed by the engine's fault.
    #[prost(uint32, tag = "7")]
    pub recent_failed: u32,
}

/// A part of a prompt that an engine holds in its memory, as far as is known.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PartHeld {
    /// The part, see [`crate::part_key`].
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// The engine.
    #[prost(fixed32, tag = "2")]
    pub engine: u32,
    /// Tokens of the part that it holds.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
}

/// What a replica knows from other edges.
#[derive(Clone, PartialEq, prost::Message)]
pub struct View {
    /// Calls of all other edges at engines, where they were asked for.
    #[prost(message, optional, tag = "1")]
    pub loads: Option<Loads>,
    /// Engines that hold the parts that were asked for.
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<PartHeld>,
    /// Addresses of edges that pass questions on, where they were asked for.
    #[prost(string, repeated, tag = "3")]
    pub relays: Vec<String>,
    /// Calls of all other edges by service and rank, where loads were asked for.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<ServiceDemand>,
}
