//! Messages about tenant quotas, encoded as protocol buffers: nodes query the hosts of a group's replicas, and these
//! hosts exchange their counts.

/// Request to admit one more call of a tenant.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct QuotaQuestion {
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Calls allowed per second.
    #[prost(double, tag = "2")]
    pub per_second: f64,
    /// Additional calls allowed within a window.
    #[prost(double, tag = "3")]
    pub burst: f64,
    #[prost(uint64, tag = "4")]
    pub window_millis: u64,
    /// Version of the configuration that defines this quota.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Hash shared by all calls of a program; `None` for a call without a program.
    #[prost(uint64, optional, tag = "6")]
    pub program: Option<u64>,
}

/// Decision on a call.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct QuotaAnswer {
    #[prost(enumeration = "QuotaDecision", tag = "1")]
    pub decision: i32,
    /// Milliseconds until a rejected call may be within the quota.
    #[prost(uint64, tag = "2")]
    pub retry_after_millis: u64,
    /// Calls counted in the window that ends now.
    #[prost(uint64, tag = "3")]
    pub counted: u64,
}

/// Whether a call is within the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum QuotaDecision {
    /// The node cannot decide.
    Unsure = 0,
    /// The call is within the quota and has been counted.
    Granted = 1,
    /// The call exceeds the quota.
    Exceeded = 2,
}

/// Calls admitted by one node.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct QuotaTotals {
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of the node's process; totals restart at 0 with each.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the node knows all calls of the last window.
    #[prost(bool, tag = "3")]
    pub is_warm: bool,
    /// Calls since the node's start, for each tenant with recent calls.
    #[prost(message, repeated, tag = "4")]
    pub totals: Vec<TenantTotalMessage>,
}

/// Calls of one tenant.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct TenantTotalMessage {
    #[prost(string, tag = "1")]
    pub tenant: String,
    #[prost(uint64, tag = "2")]
    pub calls: u64,
    /// Calls within the last window, included in `calls`.
    #[prost(uint64, tag = "3")]
    pub recent: u64,
}
