//! Which node's board the edges of a zone tell of their calls, and what boards tell each other.
//!
//! A ledger of one group has few members, and every edge's news reach each of them with its questions. Of many groups
//! each member would hear of each edge too seldom: there the edges of a zone all use one board of their zone, and the
//! boards of the zones tell each other the sums.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use sumacdrift_ledger::{GroupMap, Member};
use sumacdrift_transport::Transport;
use sumacdrift_types::Location;

use crate::host::ReplicaHost;
use crate::member_order::nearest_first;
use crate::rpc::{ask, encode_news};

/// Time between two tellings of one board to the others. What is told of engines is of little use when it is much older,
/// and crosses zones.
const TELL_EVERY: Duration = Duration::from_millis(150);
/// Time for another board to say that it was told.
const TELL_WITHIN: Duration = Duration::from_millis(400);

/// Whether edges use the boards of their zones.
pub(crate) fn has_boards(map: &GroupMap) -> bool {
    map.groups().len() > 1
}

/// Nodes whose boards the edges of a zone use, best first.
pub(crate) fn boards_of<'a>(map: &'a GroupMap, location: &Location) -> Vec<&'a Member> {
    nearest_first(location, &location.zone, map.members())
}

/// The first board of each zone that has any.
fn first_boards(map: &GroupMap) -> BTreeMap<&str, &Member> {
    let zones: BTreeSet<&str> = map.members().map(|member| member.zone.as_str()).collect();
    let firsts =
        zones.into_iter().filter_map(|zone| boards_of(map, &Location::in_zone(zone)).into_iter().next());
    firsts.map(|member| (member.node.as_str(), member)).collect()
}

/// Tells other boards of the calls of the edges that use this node's. Runs for as long as the process.
pub async fn tell_boards(host: Arc<ReplicaHost>, transport: Arc<Transport>) {
    let node = host.replica().node().to_owned();
    loop {
        tokio::time::sleep(TELL_EVERY).await;
        let map = host.map();
        if !has_boards(&map) {
            continue;
        }
        let Some(told) = host.board_news(&node) else { continue };
        let mut others = first_boards(&map);
        let heard_of = map.members().filter(|member| told.heard_of.contains(&member.node));
        others.extend(heard_of.map(|member| (member.node.as_str(), member)));
        others.remove(node.as_str());
        let request = encode_news(told.news.encode_to_vec().into());
        for other in others.into_values() {
            let (transport, request, address) = (Arc::clone(&transport), request.clone(), other.address);
            // A board that does not answer is told again soon.
            tokio::spawn(async move { drop(ask(&transport, address, request, TELL_WITHIN).await) });
        }
    }
}
