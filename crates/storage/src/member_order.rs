//! Deterministic orders of members, by rendezvous hashing of a key.

use sumacdrift_ledger::Member;
use sumacdrift_types::{Location, rendezvous_order};

/// Members in rendezvous order for `key`.
pub(crate) fn by_key<'a>(key: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let members: Vec<&Member> = members.into_iter().collect();
    rendezvous_order(key.as_bytes(), &members, |member| member.node.as_bytes().to_vec())
}

/// Members by distance (own zone, own region, other regions), and in rendezvous order for `key` among equally near
/// ones. Requests between regions take tens of milliseconds and their traffic is costly.
pub(crate) fn nearest_first<'a>(
    location: &Location,
    key: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut order = by_key(key, members);
    // The stable sort keeps the rendezvous order among equally near members.
    order.sort_by_key(|member| location.nearness(&member.zone));
    order
}
