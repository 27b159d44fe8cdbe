//! The internal protocol: how typed messages are written as protocol buffers.
//!
//! The message structures carry `prost` attributes instead of being generated from `.proto` files, so that the
//! build needs no generator. Field numbers are never reused; a reader ignores fields that it does not know, so
//! nodes of neighbouring versions understand each other.

mod basic;
mod command;
mod entry;
mod frame;
mod membership;
mod replication;
mod reply;
mod request;
mod scheduling;
mod wire;

pub use entry::{decode_entries, decode_entry, encode_entries, encode_entry};
pub use frame::{Frame, FrameBody};
pub use request::{
    EngineReply, EngineRequest, FleetReply, FleetRequest, Founder, Founding, GroupMessage, OneWay, Relay,
    RelayedQuestion, Request, Response, ShardRequest,
};
pub use wire::{DecodeError, Wire};
