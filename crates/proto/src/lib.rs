//! Node-to-node protocol: conversion between typed messages and protocol buffers.
//!
//! Message structs carry `prost` attributes instead of being generated from `.proto` files, so the build needs no
//! code generator. Field numbers are never reused and unknown fields are ignored, so nodes of adjacent versions
//! can talk to each other.

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
