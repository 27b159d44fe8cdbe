//! Orders of members that are the same on every node, or differ from node to node as the key does.

use sumacdrift_ledger::Member;
use sumacdrift_types::{Location, rendezvous_order};

/// Members in the order that follows from a key.
pub(crate) fn by_key<'a>(key: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let members: Vec<&Member> = members.into_iter().collect();
    rendezvous_order(key.as_bytes(), &members, |member| member.node.as_bytes().to_vec())
}

/// Members of the own zone first, then those of the own region, then the others; each of these in the order that follows from
/// a key. Between regions an exchange takes tens of milliseconds and its bytes are dear.
pub(crate) fn nearest_first<'a>(
    location: &Location,
    key: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut order = by_key(key, members);
    // The sort is stable: among those that are equally near the order stays.
    order.sort_by_key(|member| location.nearness(&member.zone));
    order
}
