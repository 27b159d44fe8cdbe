//! Handover before a member leaves its group: the remaining members receive all its records.

use std::collections::BTreeSet;

use futures::future::join_all;
use sumacdrift_ledger::{
    Group, KEPT_TURNS_CURSOR, Member, PageDetail, PageRequest, Push, Record, ReplyKind, RequestKind,
    plan_copies,
};
use sumacdrift_transport::Transport;

use crate::clock::unix_millis;
use crate::host::ReplicaHost;
use crate::rpc::{CONTENTS_PER_MESSAGE, encode, send_request};

/// Timeout for one page.
const PUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// A remaining member, with the retained turns that it holds.
struct Recipient<'a> {
    member: &'a Member,
    holds: BTreeSet<String>,
}

/// Sends all records to the other members of a group; returns whether they have them on disk. Accounts go to
/// all of them, the content of retained turns to as many as make up a commit quorum of the remaining group.
pub(crate) async fn hand_over_records(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    remaining: &Group,
    own_node: &str,
) -> bool {
    let sender = Sender { host, transport, group };
    let others = group.members.iter().filter(|member| member.node != own_node);
    let recipients = others.map(|member| {
        let held = sender.held_by(member);
        async move { Recipient { member, holds: held.await } }
    });
    let recipients = join_all(recipients).await;
    let copies_wanted = remaining.commit_quorum();
    let mut after = String::new();
    loop {
        let page = host.replica().state().page(&after, PageDetail::Keys, unix_millis());
        let pushes = recipients.iter().map(|recipient| sender.push(recipient.member, page.records.clone()));
        if join_all(pushes).await.contains(&false) {
            return false;
        }
        let holds: Vec<&BTreeSet<String>> = recipients.iter().map(|recipient| &recipient.holds).collect();
        let copies = plan_copies(&page.retained_keys, &holds, copies_wanted);
        for (recipient, turns) in recipients.iter().zip(copies) {
            if !sender.push_contents(recipient.member, &turns).await {
                return false;
            }
        }
        if page.next.is_empty() {
            return true;
        }
        after = page.next;
    }
}

struct Sender<'a> {
    host: &'a ReplicaHost,
    transport: &'a Transport,
    group: &'a Group,
}

impl Sender<'_> {
    /// Retained turns that a member holds; empty if it does not reply.
    async fn held_by(&self, member: &Member) -> BTreeSet<String> {
        let mut held = BTreeSet::new();
        let mut after = KEPT_TURNS_CURSOR.to_owned();
        loop {
            let request = PageRequest { after, group: Some(self.group.to_message()), keys_only: true };
            let request = encode(self.group, RequestKind::Page(request));
            let reply = send_request(self.transport, member.address, request, PUSH_TIMEOUT).await;
            let Some(ReplyKind::Page(page)) = reply else { return BTreeSet::new() };
            held.extend(page.retained_keys);
            if page.next.is_empty() {
                return held;
            }
            after = page.next;
        }
    }

    async fn push_contents(&self, member: &Member, turns: &[String]) -> bool {
        for turns in turns.chunks(CONTENTS_PER_MESSAGE) {
            let contents = self.host.replica().state().contents(turns, unix_millis());
            if !self.push(member, contents.records).await {
                return false;
            }
        }
        true
    }

    async fn push(&self, member: &Member, records: Vec<Record>) -> bool {
        let push = Push { records, group: Some(self.group.to_message()) };
        let request = encode(self.group, RequestKind::Push(push));
        let reply = send_request(self.transport, member.address, request, PUSH_TIMEOUT).await;
        matches!(reply, Some(ReplyKind::Done(_)))
    }
}
