//! Connections between nodes: multiplexed requests, responses and one-way messages, framed on byte streams.
//!
//! Each ordered pair of nodes shares one connection, so that a node's number of connections is bounded by the
//! number of its peers. Streams come from a [`Network`]: TCP in production, or an in-memory network for tests with
//! a virtual clock and fault injection.

mod codec;
mod counters;
mod link;
mod memory;
mod network;
mod server;
mod transport;

pub use counters::{TrafficCounters, TrafficTotals};
pub use memory::MemoryNetwork;
pub use network::{
    Acceptor, BoxedFuture, BoxedStream, FailFastTcpNetwork, Network, Stream, TcpNetwork, configure_stream,
    listen_tcp,
};
pub use server::{Handler, serve};
pub use transport::{Transport, TransportError};
