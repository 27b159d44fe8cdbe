//! Watches engine processes, to learn of their end.
//!
//! A process that ends closes its connections, and accepts no others. One that has announced its end is watched on: how long
//! it serves tells whether the end was planned.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_routing::EnginePresence;
use sumacdrift_types::Timestamp;
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
/// Timeout of a health check of an engine that drains or has left the directory.
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
    /// It ended, at this time at the latest.
    Ended(Timestamp),
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

/// What a watch has seen of a process.
struct WatchedProcess {
    connection: Option<TcpStream>,
    /// Whether it has shown a sign of life since it has been draining, or missing from the directory.
    has_responded: bool,
    /// When it was last known to run.
    last_alive: Timestamp,
}

impl WatchedProcess {
    fn new(now: Timestamp) -> Self {
        Self { connection: None, has_responded: false, last_alive: now }
    }

    /// The latest time at which the process may have ended, if it is found to have now.
    fn ended_by(&self, now: Timestamp) -> Timestamp {
        now.min(self.last_alive + CHECK_INTERVAL)
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
            if let EngineFate::Ended(ended) = fate {
                self.attribute_end(&call.engine, ended);
            }
            return;
        }
    }

    /// Waits until the engine has ended, or until no request that it lost is remembered any more.
    async fn await_end(&self, call: &SentCall) -> EngineFate {
        let permit = self.crashes.watches.connections.try_acquire();
        let mut watched = WatchedProcess::new(self.clock.now());
        loop {
            let next_check = Instant::now() + CHECK_INTERVAL;
            if self.has_ended(call, &mut watched).await {
                return EngineFate::Ended(watched.ended_by(self.clock.now()));
            }
            if !self.is_observed(&call.engine) {
                return EngineFate::Running;
            }
            let connects = if permit.is_ok() { CONNECTS_PER_INTERVAL } else { 0 };
            if self.ends_before(call, &mut watched, connects, next_check).await {
                return EngineFate::Ended(watched.ended_by(self.clock.now()));
            }
        }
    }

    /// Whether the process has ended, by the directory. One that drains or has left is asked for a sign of life, unless a
    /// connection to it has been open since the last one.
    async fn has_ended(&self, call: &SentCall, watched: &mut WatchedProcess) -> bool {
        let presence = self.presence(call);
        if presence == EnginePresence::Replaced {
            return true;
        }
        if presence == EnginePresence::Listed && !self.is_draining(&call.engine) {
            watched.has_responded = false;
            return false;
        }
        if watched.connection.is_none() || !watched.has_responded {
            match self.check_health(call, HEALTH_TIMEOUT).await {
                Health::Responds => watched.has_responded = true,
                Health::Refused | Health::Another => return true,
                Health::Silent if presence == EnginePresence::Missing => return true,
                Health::Silent => return false,
            }
        }
        watched.last_alive = self.clock.now();
        false
    }

    /// Holds a connection to the process until a time; returns whether the process ends before. Opens at most `connects` new
    /// ones, as the process may close idle ones.
    async fn ends_before(
        &self,
        call: &SentCall,
        watched: &mut WatchedProcess,
        mut connects: usize,
        until: Instant,
    ) -> bool {
        loop {
            if let Some(open) = &mut watched.connection {
                if !is_closed_before(open, until).await {
                    return false;
                }
                watched.connection = None;
                watched.last_alive = self.clock.now();
            }
            if connects == 0 {
                tokio::time::sleep_until(until).await;
                return false;
            }
            connects -= 1;
            match connect(call.address, self.settings.crash_timeouts.probe).await {
                Contact::Connected(stream) => watched.connection = Some(stream),
                Contact::Refused => return true,
                Contact::Silent => connects = 0,
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
