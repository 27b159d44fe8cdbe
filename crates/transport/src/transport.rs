//! The client side: requests and messages to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sumacdrift_proto::{OneWay, Request, Response};

use crate::link::Link;
use crate::{Network, TrafficCounters};

/// A request to another node was not answered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// No connection could be opened; nothing was sent.
    #[error("the node can't be reached")]
    Unreachable,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke before the answer came")]
    Lost,
    /// No answer came in time; the request may have been handled.
    #[error("no answer came in time")]
    TimedOut,
}

/// Outgoing connections of one node.
pub struct Transport {
    network: Arc<dyn Network>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    counters: Arc<TrafficCounters>,
}

impl Transport {
    /// A transport without connections.
    pub fn new(network: Arc<dyn Network>, counters: Arc<TrafficCounters>) -> Self {
        Self { network, links: Mutex::default(), counters }
    }

    /// The counters of all connections.
    pub fn counters(&self) -> &Arc<TrafficCounters> {
        &self.counters
    }

    /// The network that streams come from.
    pub fn network(&self) -> &Arc<dyn Network> {
        &self.network
    }

    /// Sends a message that may be lost.
    pub fn send(&self, to: SocketAddr, message: OneWay) {
        self.link(to).send(message);
    }

    /// Sends a request and waits for the answer, at most for `timeout`.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, TransportError> {
        let link = self.link(to);
        let answer = tokio::time::timeout(timeout, link.request(request)).await;
        answer.unwrap_or(Err(TransportError::TimedOut))
    }

    /// Number of connections that are open or being opened.
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
