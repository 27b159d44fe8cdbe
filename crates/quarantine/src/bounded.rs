//! Eviction from tables by request.

use std::collections::HashMap;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_types::Timestamp;

/// Maximum number of requests in a table.
pub(crate) const MAX_REQUESTS: usize = 4096;

/// Makes room for one more request in a full table: drops the expired ones, or else the one with the earliest time.
pub(crate) fn make_room<V>(
    table: &mut HashMap<RequestFingerprint, V>,
    is_expired: impl Fn(&V) -> bool,
    time: impl Fn(&V) -> Timestamp,
) {
    if table.len() < MAX_REQUESTS {
        return;
    }
    table.retain(|_, value| !is_expired(value));
    if table.len() < MAX_REQUESTS {
        return;
    }
    let first = table.iter().min_by_key(|(request, value)| (time(value), **request));
    if let Some(first) = first.map(|(request, _)| *request) {
        table.remove(&first);
    }
}
