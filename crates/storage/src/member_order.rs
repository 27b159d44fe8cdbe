//! Orders of members that are the same on every node, or differ from node to node as the key does.

use sumacdrift_ledger::Member;
use sumacdrift_types::rendezvous_order;

/// Members in the order that follows from a key.
pub(crate) fn by_key<'a>(key: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let members: Vec<&Member> = members.into_iter().collect();
    rendezvous_order(key.as_bytes(), &members, |member| member.node.as_bytes().to_vec())
}

/// Members of a zone first, within it and behind it in the order that follows from a key.
pub(crate) fn nearest_first<'a>(
    zone: &str,
    key: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut order = by_key(key, members);
    // The sort is stable: within a zone the order stays.
    order.sort_by_key(|member| member.zone != zone);
    order
}
