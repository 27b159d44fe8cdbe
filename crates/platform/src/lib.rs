//! The platform's object API as the system calls it.
//!
//! Nothing that serves calls waits for the platform: it is asked in the background, by few nodes, with pauses
//! that grow while it is in trouble.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use sumacdrift_http_client::{HttpClient, HttpError};

/// Name of the object that holds the configuration bundle.
pub const BUNDLE_OBJECT: &str = "sumacdrift-bundle";

/// Time for a plain request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a watch, somewhat longer than the platform holds it.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest object.
const MAX_OBJECT_BYTES: usize = 16 << 20;

/// A request to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform is down, slow or refuses more readers; a write may have taken effect all the same.
    #[error("the platform is in trouble: {0}")]
    Trouble(String),
    /// There is no such object.
    #[error("no such object")]
    NotFound,
    /// Somebody else wrote first; the object's version is given.
    #[error("the object was changed meanwhile; its version is {0}")]
    Conflict(u64),
    /// The watch expired; read the object again.
    #[error("the watch expired")]
    Expired,
    /// The platform's answer makes no sense.
    #[error("the platform's answer makes no sense")]
    Garbage,
}

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Object {
    /// Version.
    pub version: u64,
    /// Content.
    pub value: String,
}

#[derive(Debug, Deserialize)]
struct VersionAnswer {
    version: u64,
}

/// Calls the object API.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    http: HttpClient,
    address: SocketAddr,
}

impl ObjectClient {
    /// A client of the object API at an address.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads an object.
    pub async fn read(&self, name: &str) -> Result<Object, PlatformError> {
        let uri = format!("http://{}/objects/{name}", self.address);
        let answer = self.fetch(Request::get(uri).body(Full::default()), REQUEST_TIMEOUT).await?;
        parse(&answer.1)
    }

    /// Waits for a version after `version`; `None` where nothing changed for a while.
    pub async fn watch(&self, name: &str, version: u64) -> Result<Option<Object>, PlatformError> {
        let uri = format!("http://{}/objects/{name}?watch_after={version}", self.address);
        let answer = self.fetch(Request::get(uri).body(Full::default()), WATCH_TIMEOUT).await?;
        if answer.0 == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        parse(&answer.1).map(Some)
    }

    /// Writes an object whose version is still `expected`; 0 stands for one that does not exist yet.
    pub async fn write(&self, name: &str, expected: u64, value: String) -> Result<u64, PlatformError> {
        let uri = format!("http://{}/objects/{name}", self.address);
        let request = Request::put(uri).header("if-match", expected).body(Full::new(Bytes::from(value)));
        let answer = self.fetch(request, REQUEST_TIMEOUT).await?;
        let answer: VersionAnswer = parse(&answer.1)?;
        Ok(answer.version)
    }

    async fn fetch(
        &self,
        request: http::Result<Request<Full<Bytes>>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = request.map_err(|error| PlatformError::Trouble(error.to_string()))?;
        let response = self.http.fetch(request, timeout, MAX_OBJECT_BYTES).await.map_err(trouble)?;
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            StatusCode::GONE => Err(PlatformError::Expired),
            StatusCode::CONFLICT => {
                let answer: VersionAnswer = parse(&body)?;
                Err(PlatformError::Conflict(answer.version))
            }
            status if status.is_success() || status == StatusCode::NOT_MODIFIED => Ok((status, body)),
            status => Err(PlatformError::Trouble(format!("status {status}"))),
        }
    }
}

fn trouble(error: HttpError) -> PlatformError {
    PlatformError::Trouble(error.to_string())
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Garbage)
}
