//! The connections of callers, of which an edge accepts only as many as leave descriptors and memory for everything else.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_http_server::{ConnectionPhase, ConnectionState};
use tokio::sync::Notify;

type ConnectionNumber = u64;

/// All open connections of callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    capacity: usize,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    connections: HashMap<ConnectionNumber, OpenConnection>,
    last_number: ConnectionNumber,
}

#[derive(Debug)]
struct OpenConnection {
    state: ConnectionState,
    close: Arc<Notify>,
}

/// An accepted connection; dropping it makes room for another one.
#[derive(Debug)]
pub(crate) struct AcceptedConnection {
    connections: Arc<CallerConnections>,
    number: ConnectionNumber,
    pub(crate) state: ConnectionState,
    /// Notified when the connection has to make room for another one.
    pub(crate) close: Arc<Notify>,
}

/// What had to make room for a connection that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Displaced {
    /// There was room.
    Nothing,
    /// A connection in this phase was told to close.
    Connection(ConnectionPhase),
}

/// All connections are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

impl CallerConnections {
    /// A list of at most this many connections.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, open: Mutex::default() }
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().connections.len()
    }

    /// Accepts a connection, if need be in the place of one that waits for its caller.
    pub(crate) fn accept(self: &Arc<Self>) -> Result<(AcceptedConnection, Displaced), NoRoom> {
        let mut open = self.lock();
        let mut displaced = Displaced::Nothing;
        if open.connections.len() >= self.capacity {
            let waiting = open
                .connections
                .iter()
                .filter_map(|(number, connection)| Some((closing_rank(&connection.state)?, *number)));
            let (_, number) = waiting.max().ok_or(NoRoom)?;
            let connection = open.connections.remove(&number).ok_or(NoRoom)?;
            displaced = Displaced::Connection(connection.state.phase());
            connection.close.notify_one();
        }
        open.last_number += 1;
        let (number, state, close) = (open.last_number, ConnectionState::default(), Arc::default());
        let connection = OpenConnection { state: state.clone(), close: Arc::clone(&close) };
        open.connections.insert(number, connection);
        let connections = Arc::clone(self);
        Ok((AcceptedConnection { connections, number, state, close }, displaced))
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        self.connections.lock().connections.remove(&self.number);
    }
}

/// Rank of a connection among those that make room, highest first: idle ones, then unfinished heads, then unfinished bodies;
/// among equals the one that has waited longest. `None` if closing it would cut an answer.
fn closing_rank(state: &ConnectionState) -> Option<(Reverse<ConnectionPhase>, Duration)> {
    state.is_closable().then(|| (Reverse(state.phase()), state.time_in_phase()))
}
