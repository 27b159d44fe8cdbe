//! Leaving the group: every other member gets every record before the machine leaves.

use std::time::Duration;

use sumacdrift_ledger::{Group, Member, PageDetail, Push, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;

use crate::clock::wall_millis;
use crate::host::ReplicaHost;
use crate::rpc::{ask, encode};

/// Time for one page.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Hands all records to every other member of the group; returns whether all of them have them on disk.
pub(crate) async fn hand_over(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    own_node: &str,
) -> bool {
    for member in group.members.iter().filter(|member| member.node != own_node) {
        if !push_all(host, transport, group, member).await {
            return false;
        }
    }
    true
}

async fn push_all(host: &ReplicaHost, transport: &Transport, group: &Group, member: &Member) -> bool {
    let mut after = String::new();
    loop {
        let page = host.replica().state().page(&after, PageDetail::Whole, wall_millis());
        let push = Push { records: page.records, group: Some(group.to_message()) };
        let request = encode(group.epoch, RequestKind::Push(push));
        let reply = ask(transport, member.address, request, PUSH_TIMEOUT).await;
        if !matches!(reply, Some(ReplyKind::Done(_))) {
            return false;
        }
        if page.next.is_empty() {
            return true;
        }
        after = page.next;
    }
}
