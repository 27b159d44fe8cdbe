//! Messages of earlier builds, with the fields and tags copied from them.

use sumacdrift_fleet_view::CachedPart;

/// As of build ed4b611.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FirstReport {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(string, tag = "2")]
    pub relay: String,
    #[prost(message, optional, tag = "3")]
    pub loads: Option<FirstLoads>,
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<CachedPart>,
    #[prost(fixed64, repeated, tag = "5")]
    pub asked_parts: Vec<u64>,
    #[prost(bool, tag = "6")]
    pub asks_loads: bool,
    #[prost(bool, tag = "7")]
    pub asks_relays: bool,
}

/// As of build dabe329.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportWithFailures {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(string, tag = "2")]
    pub relay: String,
    #[prost(message, optional, tag = "3")]
    pub loads: Option<LoadsWithFailures>,
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<CachedPart>,
    #[prost(fixed64, repeated, tag = "5")]
    pub asked_parts: Vec<u64>,
    #[prost(bool, tag = "6")]
    pub asks_loads: bool,
    #[prost(bool, tag = "7")]
    pub asks_relays: bool,
}

/// As of build ed4b611.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FirstLoads {
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<FirstEngineLoad>,
}

/// As of build ed4b611.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct FirstEngineLoad {
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    #[prost(uint32, tag = "2")]
    pub running: u32,
    #[prost(uint32, tag = "3")]
    pub unread_tokens: u32,
}

/// As of build ed4b611.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FirstView {
    #[prost(message, optional, tag = "1")]
    pub loads: Option<FirstLoads>,
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<CachedPart>,
    #[prost(string, repeated, tag = "3")]
    pub relays: Vec<String>,
}

/// As of build f635472.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportOfBoards {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(string, tag = "2")]
    pub relay: String,
    #[prost(message, optional, tag = "3")]
    pub loads: Option<LoadsWithFailures>,
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<CachedPart>,
    #[prost(fixed64, repeated, tag = "5")]
    pub asked_parts: Vec<u64>,
    #[prost(bool, tag = "6")]
    pub asks_loads: bool,
    #[prost(bool, tag = "7")]
    pub asks_relays: bool,
    #[prost(bool, tag = "8")]
    pub is_from_board: bool,
}

/// As of build dabe329.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoadsWithFailures {
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineLoadWithFailures>,
}

/// As of build dabe329.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EngineLoadWithFailures {
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    #[prost(uint32, tag = "2")]
    pub running: u32,
    #[prost(uint32, tag = "3")]
    pub unread_tokens: u32,
    #[prost(uint32, tag = "4")]
    pub failed: u32,
    #[prost(uint32, tag = "5")]
    pub served: u32,
}

/// As of build dabe329.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewWithFailures {
    #[prost(message, optional, tag = "1")]
    pub loads: Option<LoadsWithFailures>,
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<CachedPart>,
    #[prost(string, repeated, tag = "3")]
    pub relays: Vec<String>,
}
