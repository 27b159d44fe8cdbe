//! Reading of request bodies into reserved memory.

use bytes::Bytes;
use http_body::Body;
use sumacdrift_http_client::{HttpError, read_body_while};
use sumacdrift_types::ResultCode;

use crate::reservation::{MemoryBudget, OutOfMemory};

/// Why a request body was not received. Nothing of its request has run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestBodyError {
    /// It has, or announces, more than the given number of bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// All memory for bodies is in use, or this body gave way to another one.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
    /// The connection broke, or the framing is invalid.
    #[error("reading the body failed: {0}")]
    Unreadable(HttpError),
}

impl RequestBodyError {
    /// Code with which the request is rejected.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::TooLarge(_) => ResultCode::BodyTooLarge,
            Self::OutOfMemory(_) => ResultCode::NoBodyMemory,
            Self::Unreadable(_) => ResultCode::MalformedBody,
        }
    }
}

impl MemoryBudget {
    /// Reads a whole body of at most `max_bytes`. The returned bytes own their memory in the budget. A body that announces
    /// more than `max_bytes` is not read at all.
    pub async fn read_body<B>(&self, body: B, max_bytes: usize) -> Result<Bytes, RequestBodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let announced_bytes = body.size_hint().lower();
        if usize::try_from(announced_bytes).map_or(true, |bytes| bytes > max_bytes) {
            return Err(RequestBodyError::TooLarge(max_bytes));
        }
        let mut reservation = self.reserve();
        let evicted = reservation.evicted();
        let mut rejection = RequestBodyError::from(OutOfMemory);
        let reading = read_body_while(body, |bytes| {
            if bytes > max_bytes {
                rejection = RequestBodyError::TooLarge(max_bytes);
                return false;
            }
            reservation.grow_to(bytes).is_ok()
        });
        let received = tokio::select! {
            biased;
            () = evicted => return Err(OutOfMemory.into()),
            received = reading => received.map_err(RequestBodyError::Unreadable)?,
        };
        match received {
            Some(bytes) => Ok(reservation.complete()?.attach_to(bytes)),
            None => Err(rejection),
        }
    }
}
