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
        if host.replica().has_read(&member.node) {
            continue;
        }
        let standing = match read_member(host, transport, &group, member).await {
            MemberRead::Failed => {
                warn!(host.logger(), "member could not be read"; "event" => "catch_up_failed",
                    "member" => &member.node, "epoch" => group.epoch);
                continue;
            }
            MemberRead::NeverVoted => {
                let standing = host.replica().source_never_voted(&member.node, group.epoch);
                info!(host.logger(), "member has never voted"; "event" => "catch_up_needless",
                    "member" => &member.node, "epoch" => group.epoch, "votes_now" => standing.is_some());
                standing
            }
            MemberRead::Whole { records } => {
                let standing = host.replica().source_read(&member.node, group.epoch);
                info!(host.logger(), "member read"; "event" => "catch_up_read", "member" => &member.node,
                    "epoch" => group.epoch, "records" => records, "votes_now" => standing.is_some());
                standing
            }
        };
        if host.commit(standing.into_iter().collect()).await.is_err() {
            return false;
        }
    }
    host.is_voting()
}

/// What reading a member led to.
enum MemberRead {
    /// All its records are durable here.
    Whole {
        /// Their number.
        records: usize,
    },
    /// It has never voted, so it acknowledged nothing that could be missed.
    NeverVoted,
    /// It could not be read whole.
    Failed,
}

/// Reads all records of a member and makes them durable.
async fn read_member(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    member: &Member,
) -> MemberRead {
    let mut after = String::new();
    let mut records = 0;
    loop {
        let request = PageRequest { after, group: Some(group.to_message()) };
        let request = encode(group.epoch, RequestKind::Page(request));
        let page = match ask(transport, member.address, request, PAGE_TIMEOUT).await {
            Some(ReplyKind::Page(page)) => page,
            Some(ReplyKind::NeverVoted(_)) => return MemberRead::NeverVoted,
            _ => return MemberRead::Failed,
        };
        after = page.next.clone();
        records += page.records.len();
        let merged = host.replica().take_page(page, wall_millis());
        if host.commit(merged).await.is_err() {
            return MemberRead::Failed;
        }
        if after.is_empty() {
            return MemberRead::Whole { records };
        }
    }
}
