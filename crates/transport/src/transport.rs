//! The client side: requests and one-way messages to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sumacdrift_proto::{OneWay, Request, Response};

use crate::link::Link;
use crate::{Network, TrafficCounters};

/// Why a request to another node failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// No connection could be opened; nothing was sent.
    #[error("node is unreachable")]
    Unreachable,
    /// The connection broke after the request may have been sent.
    #[error("connection closed before the response arrived")]
    ConnectionLost,
    /// No response arrived in time; the request may have been handled.
    #[error("no response arrived in time")]
    TimedOut,
}

/// The outgoing connections of a node, one for each peer address.
pub struct Transport {
    network: Arc<dyn Network>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    counters: Arc<TrafficCounters>,
}

impl Transport {
    /// Creates a transport; connections are opened on first use.
    pub fn new(network: Arc<dyn Network>, counters: Arc<TrafficCounters>) -> Self {
        Self { network, links: Mutex::default(), counters }
    }

    /// Traffic counters of all connections.
    pub fn counters(&self) -> &Arc<TrafficCounters> {
        &self.counters
    }

    /// The network that connections are opened on.
    pub fn network(&self) -> &Arc<dyn Network> {
        &self.network
    }

    /// Sends a one-way message, which may be lost.
    pub fn send(&self, to: SocketAddr, message: OneWay) {
        self.link(to).send(message);
    }

    /// Sends a request and waits for the response, at most for `timeout`.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, TransportError> {
        let link = self.link(to);
        let response = tokio::time::timeout(timeout, link.request(request)).await;
        response.unwrap_or(Err(TransportError::TimedOut))
    }

    /// Number of connections, including closed ones that have not been replaced.
    pub fn connections(&self) -> usize {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn link(&self, to: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&to).filter(|link| link.is_open()) {
            return Arc::clone(link);
        }
        let link = Link::start(Arc::clone(&self.network), to, Arc::clone(&self.counters));
        links.insert(to, Arc::clone(&link));
        link
    }
}
