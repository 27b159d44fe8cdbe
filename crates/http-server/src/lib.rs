//! Sockets of HTTP servers on which a caller can tell an answer that is cut from a complete one.

mod caller_socket;

pub use caller_socket::{CallerSocket, EndsWithConnection};
