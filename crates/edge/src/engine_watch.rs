//! Watches engine processes, to learn of their end.
//!
//! A process that ends closes its connections, and accepts no others. An engine that drains, or that has left the directory
//! while it runs, ends as planned.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_routing::EnginePresence;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::edge::Edge;
use crate::engine_crash::SentCall;
use crate::engine_pool::Health;
use crate::wire_format::WireFormat;

/// Interval between two looks at the directory.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health check of an engine that has left the directory.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are held to watched engines. Further engines are watched by the directory alone.
const MAX_CONNECTIONS: usize = 64;
/// Connections opened to a watched engine in each interval: one in place of one that the engine has closed, which may have
/// been idle for too long.
const CONNECTS_PER_INTERVAL: usize = 2;
/// Size of a read that waits for a connection to close.
const READ_BYTES: usize = 64;

/// What is known of a watched process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineFate {
    Running,
    /// It ended without having left.
    Crashed,
    /// It ends as planned, or has.
    Leaving,
}

/// Processes that are watched, each by one task.
#[derive(Debug)]
pub(crate) struct EngineWatches {
    engines: Mutex<HashSet<EngineId>>,
    connections: Semaphore,
}

impl Default for EngineWatches {
    fn default() -> Self {
        Self { engines: Mutex::default(), connections: Semaphore::new(MAX_CONNECTIONS) }
    }
}

impl EngineWatches {
    fn engines(&self) -> MutexGuard<'_, HashSet<EngineId>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a watched engine accepts connections.
enum Contact {
    Connected(TcpStream),
    Refused,
    Silent,
}

impl<D: WireFormat> Edge<D> {
    /// Watches the engine of a lost call for as long as its end would be attributed to a request that it lost.
    pub(crate) fn watch_engine(self: &Arc<Self>, call: &SentCall) {
        if self.crashes.watches.engines().insert(call.engine.clone()) {
            tokio::spawn(Arc::clone(self).follow_engine(call.clone()));
        }
    }

    async fn follow_engine(self: Arc<Self>, call: SentCall) {
        loop {
            let fate = self.await_end(&call).await;
            {
                let mut watched = self.crashes.watches.engines();
                if fate == EngineFate::Running && self.is_observed(&call.engine) {
                    continue;
                }
                watched.remove(&call.engine);
            }
            match fate {
                EngineFate::Crashed => self.attribute_end(&call.engine),
                EngineFate::Leaving => self.forget_attempts(&call.engine),
                EngineFate::Running => {}
            }
            return;
        }
    }

    /// Waits until the engine has ended, or until no request that it lost is remembered any more.
    async fn await_end(&self, call: &SentCall) -> EngineFate {
        let permit = self.crashes.watches.connections.try_acquire();
        let mut connection: Option<TcpStream> = None;
        let mut connects_left = 0;
        let mut next_check = Instant::now();
        loop {
            if Instant::now() >= next_check {
                next_check = Instant::now() + CHECK_INTERVAL;
                connects_left = if permit.is_ok() { CONNECTS_PER_INTERVAL } else { 0 };
                if let Some(fate) = self.fate_in_directory(call).await {
                    return fate;
                }
                if !self.is_observed(&call.engine) {
                    return EngineFate::Running;
                }
            }
            if connection.is_none() && connects_left > 0 {
                connects_left -= 1;
                match connect(call.address, self.settings.crash_timeouts.probe).await {
                    Contact::Connected(stream) => connection = Some(stream),
                    Contact::Refused if self.is_draining(&call.engine) => return EngineFate::Leaving,
                    Contact::Refused => return EngineFate::Crashed,
                    Contact::Silent => connects_left = 0,
                }
            }
            if let Some(open) = &mut connection {
                if is_closed_before(open, next_check).await {
                    connection = None;
                }
            } else if connects_left == 0 {
                tokio::time::sleep_until(next_check).await;
            }
        }
    }

    /// What the directory says of a watched process; `None` if it runs.
    async fn fate_in_directory(&self, call: &SentCall) -> Option<EngineFate> {
        match self.presence(call) {
            EnginePresence::Replaced => Some(EngineFate::Crashed),
            EnginePresence::Listed => self.is_draining(&call.engine).then_some(EngineFate::Leaving),
            EnginePresence::Missing => {
                let path = call.health_check_path();
                let health = self.pool.check_health(call.address, path, HEALTH_TIMEOUT).await;
                Some(if health == Health::Responds { EngineFate::Leaving } else { EngineFate::Crashed })
            }
        }
    }

    pub(crate) fn is_draining(&self, engine: &EngineId) -> bool {
        self.engines().spec(engine).is_some_and(|spec| spec.is_draining)
    }
}

async fn connect(address: SocketAddr, within: Duration) -> Contact {
    match tokio::time::timeout(within, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Contact::Connected(stream),
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Contact::Refused,
        Ok(Err(_)) | Err(_) => Contact::Silent,
    }
}

/// Whether the peer closes a connection on which it has nothing to send, before a time.
async fn is_closed_before(connection: &mut TcpStream, until: Instant) -> bool {
    let mut bytes = [0; READ_BYTES];
    let reading = async { while connection.read(&mut bytes).await.is_ok_and(|count| count > 0) {} };
    tokio::time::timeout_at(until, reading).await.is_ok()
}
