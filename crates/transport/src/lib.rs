//! Connections between nodes: frames over streams, with requests, responses and one-way messages multiplexed.
//!
//! One connection per direction and pair carries everything, so that a node's number of connections is bounded
//! by the number of peers it really talks to. The stream itself comes from a [`Network`]: TCP in production, an
//! in-memory one where tests need a virtual clock and injected faults.

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
    Acceptor, BoxedFuture, BoxedStream, Network, Stream, TcpNetwork, WatchfulTcpNetwork, listen_tcp, tune,
};
pub use server::{Handler, serve};
pub use transport::{Transport, TransportError};
