//! Reading the records of other members, so that a replica with an empty disk may vote.

use std::time::Duration;

use slog::{info, warn};
use sumacdrift_ledger::{ContentsRequest, Group, Member, Page, PageRequest, ReplyKind, RequestKind};
use sumacdrift_transport::Transport;

use crate::clock::wall_millis;
use crate::host::ReplicaHost;
use crate::member_answers::MemberAnswer;
use crate::member_order::by_key;
use crate::rpc::{CONTENTS_AT_ONCE, ask, encode};

/// Time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the members that are still needed, as far as they answer; returns whether the replica votes now.
pub(crate) async fn catch_up(host: &ReplicaHost, transport: &Transport, own_node: &str) -> bool {
    let group = host.replica().group().clone();
    // Several that have lost their records read different members first.
    let mut others = by_key(own_node, &group.members);
    others.retain(|member| member.node != own_node);
    for member in others {
        if host.is_voting() {
            return true;
        }
        if host.replica().has_read(&member.node) {
            continue;
        }
        let keys_only = host.replica().has_read_any();
        let record = match read_member(host, transport, &group, member, keys_only).await {
            MemberRead::Failed(answer) => {
                warn!(host.logger(), "member could not be read"; "event" => "catch_up_failed",
                    "member" => &member.node, "epoch" => group.epoch, "answer" => %answer,
                    "sources_left" => host.replica().sources_left());
                continue;
            }
            MemberRead::NeverVoted => {
                let record = host.replica().source_never_voted(&member.node, group.epoch);
                info!(host.logger(), "member has never voted"; "event" => "catch_up_needless",
                    "member" => &member.node, "epoch" => group.epoch, "votes_now" => host.is_voting());
                record
            }
            MemberRead::Whole { records } => {
                let record = host.replica().source_read(&member.node, group.epoch);
                info!(host.logger(), "member read"; "event" => "catch_up_read", "member" => &member.node,
                    "epoch" => group.epoch, "records" => records, "votes_now" => host.is_voting());
                record
            }
        };
        if host.commit(record.into_iter().collect()).await.is_err() {
            return false;
        }
    }
    host.is_voting()
}

/// Reads all other members of the group, as a replica that votes: what it and a member that is gone acknowledged alone may be
/// at too few of those that are left. Returns whether every one of them was read whole.
pub(crate) async fn read_others(host: &ReplicaHost, transport: &Transport, own_node: &str) -> bool {
    let group = host.replica().group().clone();
    for member in group.members.iter().filter(|member| member.node != own_node) {
        match read_member(host, transport, &group, member, true).await {
            MemberRead::Whole { records } => {
                info!(host.logger(), "member read, as another one is gone"; "event" => "member_reread",
                    "member" => &member.node, "epoch" => group.epoch, "records" => records);
            }
            MemberRead::NeverVoted => {}
            MemberRead::Failed(answer) => {
                warn!(host.logger(), "member could not be read"; "event" => "member_reread_failed",
                    "member" => &member.node, "epoch" => group.epoch, "answer" => %answer);
                return false;
            }
        }
    }
    true
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
    /// It could not be read whole; what it said to the last question.
    Failed(MemberAnswer),
}

/// Reads all records of a member and makes them durable. The content of kept turns is read whole from the first member
/// only; of the others, what is still missing.
async fn read_member(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    member: &Member,
    keys_only: bool,
) -> MemberRead {
    let mut after = String::new();
    let mut records = 0;
    loop {
        let request = PageRequest { after, group: Some(group.to_message()), keys_only };
        let request = encode(group, RequestKind::Page(request));
        let page = match ask(transport, member.address, request, PAGE_TIMEOUT).await {
            Some(ReplyKind::Page(page)) => page,
            Some(ReplyKind::NeverVoted(_)) => return MemberRead::NeverVoted,
            other => return MemberRead::Failed(MemberAnswer::of(other.as_ref())),
        };
        after = page.next.clone();
        records += page.records.len();
        let lacking = host.replica().lacking(&page);
        if !read_contents(host, transport, group, member, &lacking).await || !take(host, page).await {
            return MemberRead::Failed(MemberAnswer::Failed);
        }
        if after.is_empty() {
            return MemberRead::Whole { records };
        }
    }
}

/// Reads the content of kept turns; returns whether all of it is durable here.
async fn read_contents(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    member: &Member,
    turns: &[String],
) -> bool {
    for turns in turns.chunks(CONTENTS_AT_ONCE) {
        let request = ContentsRequest { turns: turns.to_vec() };
        let request = encode(group, RequestKind::Contents(request));
        let reply = ask(transport, member.address, request, PAGE_TIMEOUT).await;
        let Some(ReplyKind::Page(page)) = reply else { return false };
        if !take(host, page).await {
            return false;
        }
    }
    true
}

/// Takes a page in; returns whether what is new in it is durable.
async fn take(host: &ReplicaHost, page: Page) -> bool {
    let records = host.replica().take_page(page, wall_millis());
    host.commit(records).await.is_ok()
}
