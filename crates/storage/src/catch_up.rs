//! Reading the records of other members, so that a replica with an empty disk may vote.

use std::time::Duration;

use slog::{info, warn};
use sumacdrift_ledger::{Group, Member, PageRequest, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;

use crate::clock::wall_millis;
use crate::host::ReplicaHost;
use crate::rpc::{ask, encode};

/// Time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the members that are still needed, as far as they answer; returns whether the replica votes now.
pub(crate) async fn catch_up(host: &ReplicaHost, transport: &Transport, own_node: &str) -> bool {
    let group = host.replica().group().clone();
    let others = group.members.iter().filter(|member| member.node != own_node);
    for member in others {
        if host.is_voting() {
            return true;
        }
        let Some(records) = read_member(host, transport, &group, member).await else {
            warn!(host.logger(), "member could not be read"; "event" => "catch_up_failed",
                "member" => &member.node, "epoch" => group.epoch);
            continue;
        };
        let standing = host.replica().source_read(&member.node, group.epoch);
        info!(host.logger(), "member read"; "event" => "catch_up_read", "member" => &member.node,
            "epoch" => group.epoch, "records" => records, "votes_now" => standing.is_some());
        if host.commit(standing.into_iter().collect()).await.is_err() {
            return false;
        }
    }
    host.is_voting()
}

/// Reads all records of a member and makes them durable; returns their number.
async fn read_member(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    member: &Member,
) -> Option<usize> {
    let mut after = String::new();
    let mut records = 0;
    loop {
        let request = PageRequest { after, group: Some(group.to_message()) };
        let request = encode(group.epoch, RequestKind::Page(request));
        let reply = ask(transport, member.address, request, PAGE_TIMEOUT).await?;
        let ReplyKind::Page(page) = reply else { return None };
        after = page.next.clone();
        records += page.records.len();
        let merged = host.replica().take_page(page, wall_millis());
        host.commit(merged).await.ok()?;
        if after.is_empty() {
            return Some(records);
        }
    }
}
