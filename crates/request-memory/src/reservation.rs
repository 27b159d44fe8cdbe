//! Shared handles to the budget, which return memory when they are dropped.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use sumacdrift_types::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget::{Budget, HolderId};

/// A reservation grows by at least this much, so that small pieces don't ask for each byte.
const MIN_GROWTH_BYTES: usize = 1 << 10;
/// A reservation grows by at most this much beyond what it needs.
const MAX_SPARE_BYTES: usize = 64 << 10;

/// There is no memory for a body, or it had to give way to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for the body")]
pub struct OutOfMemory;

/// The budget of a process; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Tells the readers of evicted bodies.
    evictions: HashMap<HolderId, Arc<Notify>>,
}

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(capacity_bytes: usize) -> Self {
        let state = State { budget: Budget::new(capacity_bytes), evictions: HashMap::new() };
        Self { shared: Arc::new(Shared { state: Mutex::new(state), started: Instant::now() }) }
    }

    /// Bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.shared.state().budget.held_bytes()
    }

    /// Bytes that may be held.
    pub fn capacity_bytes(&self) -> usize {
        self.shared.state().budget.capacity_bytes()
    }

    /// An empty reservation for a body that is about to arrive.
    pub fn reserve(&self) -> Reservation {
        let evicted = Arc::new(Notify::new());
        Reservation { shared: Arc::clone(&self.shared), holder: None, reserved_bytes: 0, evicted }
    }

    /// Reserves bytes for a copy that is about to be made, or has been made.
    pub fn hold(&self, bytes: usize) -> Result<Reservation, OutOfMemory> {
        let mut reservation = self.reserve();
        reservation.grow_to(bytes)?;
        reservation.complete()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }
}

/// Memory held for one body; dropping it returns it.
#[derive(Debug)]
pub struct Reservation {
    shared: Arc<Shared>,
    /// `None` until there is something to hold.
    holder: Option<HolderId>,
    reserved_bytes: usize,
    evicted: Arc<Notify>,
}

impl Reservation {
    /// Makes sure that this many bytes are reserved in total.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes <= self.reserved_bytes {
            return Ok(());
        }
        let spare_bytes = self.reserved_bytes.clamp(MIN_GROWTH_BYTES, MAX_SPARE_BYTES);
        let wanted_bytes = bytes.max(self.reserved_bytes + spare_bytes);
        let now = self.shared.now();
        let mut state = self.shared.state();
        let holder = *self.holder.get_or_insert_with(|| {
            let id = state.budget.add(now);
            state.evictions.insert(id, Arc::clone(&self.evicted));
            id
        });
        let growth = state.budget.grow(holder, wanted_bytes, now);
        let readers = growth.evicted.iter().filter_map(|evicted| state.evictions.remove(evicted));
        readers.for_each(|reader| reader.notify_one());
        if !growth.is_granted {
            return Err(OutOfMemory);
        }
        self.reserved_bytes = wanted_bytes;
        Ok(())
    }

    /// Returns once the body has lost its memory to another one.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let evicted = Arc::clone(&self.evicted);
        async move { evicted.notified().await }
    }

    /// Marks the body as received: it keeps its memory until the reservation is dropped. Fails if it has lost it.
    pub fn complete(self) -> Result<Self, OutOfMemory> {
        let is_held = self.holder.is_none_or(|holder| self.shared.state().budget.complete(holder));
        if is_held { Ok(self) } else { Err(OutOfMemory) }
    }

    /// Makes bytes own the reservation, which is returned when the last handle to them is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        match self.holder {
            None => bytes,
            Some(_) => Bytes::from_owner(ReservedBytes { bytes, _reservation: self }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(holder) = self.holder {
            let mut state = self.shared.state();
            state.budget.remove(holder);
            state.evictions.remove(&holder);
        }
    }
}

/// Bytes with the memory that is reserved for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
