//! Client of the platform's object API.
//!
//! Serving calls never waits for the platform: a few nodes poll it in the background and back off while it is
//! unavailable.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use sumacdrift_http_client::{HttpClient, HttpError};

/// Name of the object that holds the configuration bundle's TOML text.
pub const BUNDLE_OBJECT: &str = "sumacdrift-bundle";

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the platform holds a watch open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_OBJECT_BYTES: usize = 16 << 20;

/// Failure of a request to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform can't be reached, timed out or rejected the request; a write may still have taken effect.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The object does not exist.
    #[error("the object does not exist")]
    NotFound,
    /// The object has another version than expected; holds its current version.
    #[error("the object was changed concurrently; its current version is {0}")]
    Conflict(u64),
    /// The watched version is too old; read the object again.
    #[error("the watch expired")]
    Expired,
    /// The platform's response could not be parsed.
    #[error("the platform's response could not be parsed")]
    InvalidResponse,
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[allow(missing_docs)]
pub struct Object {
    /// Changes with each write.
    pub version: u64,
    pub value: String,
}

#[derive(Debug, Deserialize)]
struct VersionResponse {
    version: u64,
}

/// Client of the object API at one address.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    http: HttpClient,
    address: SocketAddr,
}

impl ObjectClient {
    /// Creates a client without connecting.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads the current version of an object.
    pub async fn read(&self, name: &str) -> Result<Object, PlatformError> {
        let uri = format!("http://{}/objects/{name}", self.address);
        let response = self.fetch(Request::get(uri).body(Full::default()), REQUEST_TIMEOUT).await?;
        parse(&response.1)
    }

    /// Waits for a version later than `version`. Returns `None` if there was none before the platform ended the watch.
    pub async fn watch(&self, name: &str, version: u64) -> Result<Option<Object>, PlatformError> {
        let uri = format!("http://{}/objects/{name}?watch_after={version}", self.address);
        let response = self.fetch(Request::get(uri).body(Full::default()), WATCH_TIMEOUT).await?;
        if response.0 == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        parse(&response.1).map(Some)
    }

    /// Writes an object if its version is `expected`, where 0 means that it does not exist yet. Returns the new
    /// version.
    pub async fn write(&self, name: &str, expected: u64, value: String) -> Result<u64, PlatformError> {
        let uri = format!("http://{}/objects/{name}", self.address);
        let request = Request::put(uri).header("if-match", expected).body(Full::new(Bytes::from(value)));
        let response = self.fetch(request, REQUEST_TIMEOUT).await?;
        let response: VersionResponse = parse(&response.1)?;
        Ok(response.version)
    }

    async fn fetch(
        &self,
        request: http::Result<Request<Full<Bytes>>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = request.map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        let response = self.http.fetch(request, timeout, MAX_OBJECT_BYTES).await.map_err(unavailable)?;
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            StatusCode::GONE => Err(PlatformError::Expired),
            StatusCode::CONFLICT => {
                let response: VersionResponse = parse(&body)?;
                Err(PlatformError::Conflict(response.version))
            }
            status if status.is_success() || status == StatusCode::NOT_MODIFIED => Ok((status, body)),
            status => Err(PlatformError::Unavailable(format!("status {status}"))),
        }
    }
}

fn unavailable(error: HttpError) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::InvalidResponse)
}
