//! Removal of retained turns whose retention is over. A turn that continues another one may be known to other members only,
//! also to those of other groups, so they are asked first.

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use slog::{error, info};
use sumacdrift_ledger::{
    ContinuationsRequest, Group, Member, ReplyKind, RequestKind, TurnContinuation, needed_turns,
};
use sumacdrift_transport::Transport;

use crate::clock::unix_millis;
use crate::host::ReplicaHost;
use crate::rpc::{encode, send_request};

/// Turns whose continuations are searched together.
const TURNS_PER_SEARCH: usize = 1_000;
/// Timeout of a question.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);

/// What is known of the turns that continue others.
struct Findings {
    continuations: Vec<TurnContinuation>,
    /// Whether no committed turn is missing.
    is_complete: bool,
}

/// Removes the turns whose retention is over and that no turn of any group needs. Turns of which that is not certain are
/// kept until the next call.
pub(crate) async fn expire_turns(host: &ReplicaHost, transport: &Transport) {
    let past = host.replica().turns_past_expiry(unix_millis());
    for turns in past.chunks(TURNS_PER_SEARCH) {
        let findings = find_continuations(host, transport, turns).await;
        let needed = needed_turns(&findings.continuations);
        let now = unix_millis();
        let removed = {
            let mut replica = host.replica();
            for (turn, remaining_millis) in &needed {
                replica.keep_turn(turn, now + remaining_millis);
            }
            if findings.is_complete { replica.remove_turns(turns, now) } else { None }
        };
        if let Err(failure) = host.commit(removed.into_iter().collect()).await {
            error!(host.logger(), "removal of turns not durable"; "event" => "commit_failed", "error" => %failure);
        }
        info!(host.logger(), "retention of turns is over"; "event" => "turns_expired", "turns" => turns.len(),
            "continuations" => findings.continuations.len(), "needed" => needed.len(),
            "is_complete" => findings.is_complete);
    }
}

/// Finds the turns that continue others. Where these are past their own retention, also those that continue them.
async fn find_continuations(host: &ReplicaHost, transport: &Transport, turns: &[String]) -> Findings {
    let mut asked: BTreeSet<String> = turns.iter().cloned().collect();
    let mut open: Vec<String> = turns.to_vec();
    let mut findings = Findings { continuations: Vec::new(), is_complete: true };
    while !open.is_empty() {
        let found = ask_all_groups(host, transport, open).await;
        findings.is_complete &= found.is_complete;
        let expired = found.continuations.iter().filter(|later| later.remaining_millis == 0);
        open = expired.map(|later| later.turn.clone()).filter(|turn| asked.insert(turn.clone())).collect();
        findings.continuations.extend(found.continuations);
    }
    findings
}

async fn ask_all_groups(host: &ReplicaHost, transport: &Transport, turns: Vec<String>) -> Findings {
    let own_group = host.replica().group().clone();
    let votes_in = host.is_voting().then_some(own_group.number);
    let map = host.map();
    let others = map.groups().iter().filter(|group| group.number != own_group.number);
    let groups: Vec<&Group> = others.map(|group| &**group).chain([&own_group]).collect();
    let own_node = host.node_name();
    let own_continuations = host.replica().state().continuations(&turns, unix_millis()).turns;
    let request = ContinuationsRequest { turns };
    let answers = groups.iter().map(|group| {
        let own_answers = usize::from(votes_in == Some(group.number));
        ask_group(transport, group, &own_node, own_answers, &request)
    });
    let own = Findings { continuations: own_continuations, is_complete: true };
    join_all(answers).await.into_iter().fold(own, Findings::merge)
}

/// Asks the other members of a group; `own_answers` of its members are known already.
async fn ask_group(
    transport: &Transport,
    group: &Group,
    own_node: &str,
    own_answers: usize,
    request: &ContinuationsRequest,
) -> Findings {
    let request = encode(group, RequestKind::Continuations(request.clone()));
    let others = group.members.iter().filter(|member| member.node != own_node);
    let answers = join_all(others.map(|member| ask_member(transport, member, request.clone()))).await;
    let answered = own_answers + answers.iter().flatten().count();
    Findings {
        continuations: answers.into_iter().flatten().flatten().collect(),
        is_complete: answered >= group.read_quorum(),
    }
}

/// Continuations known to a member; `None` if it can't tell.
async fn ask_member(
    transport: &Transport,
    member: &Member,
    request: bytes::Bytes,
) -> Option<Vec<TurnContinuation>> {
    match send_request(transport, member.address, request, QUESTION_TIMEOUT).await? {
        ReplyKind::Continuations(found) => Some(found.turns),
        // An earlier build keeps no turn for those that continue it.
        ReplyKind::Failed(_) => Some(Vec::new()),
        _ => None,
    }
}

impl Findings {
    fn merge(mut self, other: Findings) -> Findings {
        self.continuations.extend(other.continuations);
        Findings { is_complete: self.is_complete && other.is_complete, ..self }
    }
}
