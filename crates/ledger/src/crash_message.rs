//! Messages about requests that crash engines, encoded as protocol buffers. They are answered by the hosts of replicas.

/// Report that an engine crashed while it ran a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct EngineCrash {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Name that differs between incarnations of an engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Time in milliseconds since the request was sent to the engine.
    #[prost(uint64, tag = "3")]
    pub sent_millis_ago: u64,
}

/// Engines that crashed in succession under a request, as far as one host knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedEngines {
    /// Names as in [`EngineCrash::engine`], the first crash first.
    #[prost(string, repeated, tag = "1")]
    pub engines: Vec<String>,
}

/// Notice that a request is in quarantine, for the feed of the host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct QuarantineNotice {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Time in milliseconds until it leaves the quarantine.
    #[prost(uint64, tag = "2")]
    pub remaining_millis: u64,
}
