//! Selects the board that the edges of a zone report their calls to, and exchanges sums between boards.
//!
//! In a ledger of one group, each edge sends its reports along with its requests, which soon reach every
//! member. With many groups, a member would receive reports of an edge too seldom: there all edges of a zone use one board
//! in it, and the boards of the zones exchange sums.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use sumacdrift_ledger::{GroupMap, Member};
use sumacdrift_transport::Transport;
use sumacdrift_types::Location;

use crate::host::ReplicaHost;
use crate::member_order::nearest_first;
use crate::rpc::{encode_report, send_request};

/// Interval of reports between boards. Older data about engines is of little use, and the traffic crosses
/// zones.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout for the acknowledgement of another board.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

pub(crate) fn uses_zone_boards(map: &GroupMap) -> bool {
    map.groups().len() > 1
}

/// Nodes whose boards serve the edges of a zone, nearest first.
pub(crate) fn boards_by_distance<'a>(map: &'a GroupMap, location: &Location) -> Vec<&'a Member> {
    nearest_first(location, &location.zone, map.members())
}

/// The preferred board of each zone that has members, by node name.
fn primary_boards(map: &GroupMap) -> BTreeMap<&str, &Member> {
    let zones: BTreeSet<&str> = map.members().map(|member| member.zone.as_str()).collect();
    let primaries = zones
        .into_iter()
        .filter_map(|zone| boards_by_distance(map, &Location::in_zone(zone)).into_iter().next());
    primaries.map(|member| (member.node.as_str(), member)).collect()
}

/// Reports the calls of the edges that use the board of this node to other boards. Runs until the process
/// ends.
pub async fn exchange_board_reports(host: Arc<ReplicaHost>, transport: Arc<Transport>) {
    let node = host.replica().node().to_owned();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let map = host.map();
        if !uses_zone_boards(&map) {
            continue;
        }
        let Some(report) = host.board_report(&node) else { continue };
        let mut others = primary_boards(&map);
        let reporting_boards = map.members().filter(|member| report.reporting_boards.contains(&member.node));
        others.extend(reporting_boards.map(|member| (member.node.as_str(), member)));
        others.remove(node.as_str());
        let request = encode_report(report.report.encode_to_vec().into());
        for other in others.into_values() {
            let (transport, request, address) = (Arc::clone(&transport), request.clone(), other.address);
            // A board that does not reply gets the next report soon.
            tokio::spawn(
                async move { drop(send_request(&transport, address, request, REPORT_TIMEOUT).await) },
            );
        }
    }
}
