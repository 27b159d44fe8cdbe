//! How a message marks the end of its body.

use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, response};
use hyper::body::{Body, Incoming};

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, which also comes if the server's process is killed.
    UntilClose,
}

impl BodyFraming {
    /// Framing of a response whose body has not been read.
    pub fn of(head: &response::Parts, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked(&head.headers) {
            Self::Chunked
        } else {
            Self::UntilClose
        }
    }
}

/// Whether the last transfer encoding is chunks. Another one ends with the connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}
