//! Catch-up: reads the records of other members, so that a replica with an empty disk may vote.

use std::time::Duration;

use slog::{info, warn};
use sumacdrift_ledger::{
    ContentsRequest, Group, Member, Page, PageRequest, Record, RecordKind, ReplyKind, RequestKind,
};
use sumacdrift_transport::Transport;

use crate::clock::unix_millis;
use crate::host::ReplicaHost;
use crate::member_answers::MemberAnswer;
use crate::member_order::by_key;
use crate::rpc::{CONTENTS_PER_MESSAGE, encode, send_request};

/// Timeout for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads those of the still needed members that reply; returns whether the replica votes now.
pub(crate) async fn catch_up(host: &ReplicaHost, transport: &Transport, own_node: &str) -> bool {
    let group = host.replica().group().clone();
    // Replicas that catch up at the same time start with different members.
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
                    "sources_left" => host.replica().remaining_sources());
                continue;
            }
            MemberRead::NeverVoted => {
                let record = host.replica().source_never_voted(&member.node, group.epoch);
                info!(host.logger(), "member has never voted"; "event" => "catch_up_needless",
                    "member" => &member.node, "epoch" => group.epoch, "votes_now" => host.is_voting());
                record
            }
            MemberRead::Complete { records } => {
                let record = host.replica().record_source_read(&member.node, group.epoch);
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

/// Reads all other members of the group as a voting replica: records that only this replica and a departed
/// member acknowledged may be held by too few of the rest. Stops at the first member that can't be read.
pub(crate) async fn reread_others(host: &ReplicaHost, transport: &Transport, own_node: &str) {
    let group = host.replica().group().clone();
    for member in group.members.iter().filter(|member| member.node != own_node) {
        match read_member(host, transport, &group, member, true).await {
            MemberRead::Complete { records } => {
                info!(host.logger(), "member read again after another one departed"; "event" => "member_reread",
                    "member" => &member.node, "epoch" => group.epoch, "records" => records);
            }
            MemberRead::NeverVoted => {}
            MemberRead::Failed(answer) => {
                warn!(host.logger(), "member could not be read"; "event" => "member_reread_failed",
                    "member" => &member.node, "epoch" => group.epoch, "answer" => %answer);
                return;
            }
        }
    }
    let record = host.replica().record_others_read(group.epoch);
    if let Err(failure) = host.commit(record.into_iter().collect()).await {
        warn!(host.logger(), "reading of the members not durable"; "event" => "commit_failed", "error" => %failure);
    }
}

/// Outcome of reading a member.
enum MemberRead {
    /// All its records are durable here.
    Complete { records: usize },
    /// It has never voted, so it acknowledged nothing that could be missed.
    NeverVoted,
    /// It could not be read completely; the outcome of the last request.
    Failed(MemberAnswer),
}

/// Reads all records of a member and makes them durable. With `keys_only` the pages carry only the keys of
/// retained turns, and missing content is read separately.
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
        let page = match send_request(transport, member.address, request, PAGE_TIMEOUT).await {
            Some(ReplyKind::Page(page)) => page,
            Some(ReplyKind::NeverVoted(_)) => return MemberRead::NeverVoted,
            other => return MemberRead::Failed(MemberAnswer::of(other.as_ref())),
        };
        after = page.next.clone();
        records += page.records.len();
        let missing = host.replica().missing_contents(&page);
        if !read_contents(host, transport, group, member, &missing).await || !apply_page(host, page).await {
            return MemberRead::Failed(MemberAnswer::Failed);
        }
        if after.is_empty() {
            return MemberRead::Complete { records };
        }
    }
}

/// Reads the content of retained turns; returns whether all of it is durable here.
async fn read_contents(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    member: &Member,
    turns: &[String],
) -> bool {
    for turns in turns.chunks(CONTENTS_PER_MESSAGE) {
        let request = ContentsRequest { turns: turns.to_vec() };
        let request = encode(group, RequestKind::Contents(request));
        let reply = send_request(transport, member.address, request, PAGE_TIMEOUT).await;
        let Some(ReplyKind::Page(page)) = reply else { return false };
        if !apply_page(host, page).await {
            return false;
        }
    }
    true
}

/// Applies a page; returns whether its new records are durable.
/// Whether a record holds crashes of engines, which are merged by request rather than replaced as a whole.
fn is_crash_history(record: &Record) -> bool {
    matches!(record.kind, Some(RecordKind::CrashHistory(_)))
}

async fn apply_page(host: &ReplicaHost, page: Page) -> bool {
    let (crashes, records): (Vec<Record>, Vec<Record>) = page.records.into_iter().partition(is_crash_history);
    if host.merge_crash_history(&crashes).await.is_err() {
        return false;
    }
    let records = host.replica().merge_page(Page { records, ..page }, unix_millis());
    host.commit(records).await.is_ok()
}
