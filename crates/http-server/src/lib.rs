//! Connections of HTTP servers on which a caller can tell an answer that is cut from a complete one and gets an answer that is
//! sent before its request has been read, and of which the server knows what they are waiting for.

mod bodies;
mod caller_socket;
mod connection_state;
mod discard;

pub use bodies::{AnswerBody, RequestBody};
pub use caller_socket::CallerSocket;
pub use connection_state::{ConnectionPhase, ConnectionState};
