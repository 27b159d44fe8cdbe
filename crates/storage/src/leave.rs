//! Leaving the group: the members that are left get every record before the machine leaves.

use std::collections::BTreeSet;

use sumacdrift_ledger::{
    Group, KEPT_TURNS_CURSOR, Member, PageDetail, PageRequest, Push, Record, ReplyKind, RequestKind,
    copies_to_make,
};
use sumacdrift_transport::Transport;

use crate::clock::wall_millis;
use crate::host::ReplicaHost;
use crate::rpc::{CONTENTS_AT_ONCE, ask, encode};

/// Time for one page.
const PUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// A member that is left, with the kept turns that it holds.
struct Receiver<'a> {
    member: &'a Member,
    holds: BTreeSet<String>,
}

/// Hands all records over to the other members of a group; returns whether they have them on disk. Accounts go to all
/// of them; the content of kept turns to as many as make a majority of those that are left.
pub(crate) async fn hand_over(
    host: &ReplicaHost,
    transport: &Transport,
    group: &Group,
    own_node: &str,
) -> bool {
    let sender = Sender { host, transport, group };
    let mut receivers = Vec::new();
    for member in group.members.iter().filter(|member| member.node != own_node) {
        receivers.push(Receiver { member, holds: sender.held_at(member).await });
    }
    let majority = group.without(own_node).majority();
    let mut after = String::new();
    loop {
        let page = host.replica().state().page(&after, PageDetail::Keys, wall_millis());
        for receiver in &receivers {
            if !sender.push(receiver.member, page.records.clone()).await {
                return false;
            }
        }
        let holds: Vec<&BTreeSet<String>> = receivers.iter().map(|receiver| &receiver.holds).collect();
        let copies = copies_to_make(&page.kept_turns, &holds, majority);
        for (receiver, turns) in receivers.iter().zip(copies) {
            if !sender.push_contents(receiver.member, &turns).await {
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
    /// Kept turns that a member holds; none where it does not say.
    async fn held_at(&self, member: &Member) -> BTreeSet<String> {
        let mut held = BTreeSet::new();
        let mut after = KEPT_TURNS_CURSOR.to_owned();
        loop {
            let request = PageRequest { after, group: Some(self.group.to_message()), keys_only: true };
            let request = encode(self.group, RequestKind::Page(request));
            let reply = ask(self.transport, member.address, request, PUSH_TIMEOUT).await;
            let Some(ReplyKind::Page(page)) = reply else { return BTreeSet::new() };
            held.extend(page.kept_turns);
            if page.next.is_empty() {
                return held;
            }
            after = page.next;
        }
    }

    async fn push_contents(&self, member: &Member, turns: &[String]) -> bool {
        for turns in turns.chunks(CONTENTS_AT_ONCE) {
            let contents = self.host.replica().state().contents(turns, wall_millis());
            if !self.push(member, contents.records).await {
                return false;
            }
        }
        true
    }

    async fn push(&self, member: &Member, records: Vec<Record>) -> bool {
        let push = Push { records, group: Some(self.group.to_message()) };
        let request = encode(self.group, RequestKind::Push(push));
        let reply = ask(self.transport, member.address, request, PUSH_TIMEOUT).await;
        matches!(reply, Some(ReplyKind::Done(_)))
    }
}
