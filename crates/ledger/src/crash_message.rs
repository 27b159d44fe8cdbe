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
    /// Whether only one caller sends the request, one attempt after the other.
    #[prost(bool, tag = "4")]
    pub has_one_caller: bool,
    /// Time in milliseconds since the engine lost the request.
    #[prost(uint64, tag = "5")]
    pub lost_millis_ago: u64,
    /// Whether the engine did not get the request after all, so that nothing counts that becomes of it. Only with
    /// `RequestKind::EngineSurvived`.
    #[prost(bool, tag = "6")]
    pub has_not_run: bool,
}

/// Engines that crashed in succession under a request, as far as one host knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedEngines {
    /// Names as in [`EngineCrash::engine`], the first crash first.
    #[prost(string, repeated, tag = "1")]
    pub engines: Vec<String>,
    /// Engines that may have crashed under it.
    #[prost(string, repeated, tag = "2")]
    pub suspected: Vec<String>,
    /// Engines that lost the request and have shown a sign of life since.
    #[prost(string, repeated, tag = "3")]
    pub observed: Vec<String>,
}

/// Crashes that a host keeps on its disk.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct CrashHistoryCopy {
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<CrashedRequest>,
}

/// Crashes under one request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedRequest {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Unix time of the last crash in milliseconds.
    #[prost(uint64, tag = "2")]
    pub last_crash_millis: u64,
    /// Engines that crashed, the first crash first.
    #[prost(message, repeated, tag = "3")]
    pub engines: Vec<CrashedEngineCopy>,
    /// Engines that lost the request and have shown a sign of life since.
    #[prost(message, repeated, tag = "4")]
    pub observed: Vec<ObservedEngineCopy>,
}

/// An engine that crashed under a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedEngineCopy {
    /// Name as in [`EngineCrash::engine`].
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether the engine is known to have crashed; otherwise it is suspected to have.
    #[prost(bool, tag = "2")]
    pub is_confirmed: bool,
}

/// An engine that lost a request and has shown a sign of life since.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ObservedEngineCopy {
    /// Name as in [`EngineCrash::engine`].
    #[prost(string, tag = "1")]
    pub name: String,
    /// Unix time in milliseconds at which it lost the request.
    #[prost(uint64, tag = "2")]
    pub lost_millis: u64,
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
    /// Whether some of the crashes are only suspected.
    #[prost(bool, tag = "3")]
    pub is_suspicion: bool,
}

/// Notice that one more crash under a request reaches the limit, for the feed of the host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct SuspectNotice {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Time in milliseconds until the notice expires.
    #[prost(uint64, tag = "2")]
    pub remaining_millis: u64,
}
