//! Client of the nodes that count the calls of a tenant, for admission under its quota.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sumacdrift_access::QuotaCall;
use sumacdrift_ledger::{Member, QuotaAnswer, QuotaDecision, QuotaQuestion, ReplyKind, RequestKind};
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::clock::to_millis;
use crate::member_order::by_key;
use crate::rpc::encode_to_node;

/// Delay before the next node is asked too: twenty times a round trip between zones of a region, so that a
/// call is seldom counted twice.
const NEXT_NODE_DELAY: Duration = Duration::from_millis(80);
/// Timeout of one node.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request over all nodes and rounds.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before all nodes are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(40);
/// How long a node that did not reply, or was unsure, is asked last. Long enough that few calls wait for it;
/// short compared to a window, as its count and that of its successor diverge while nodes disagree on whom to
/// ask.
const AVOID_DURATION: Duration = Duration::from_millis(1500);

/// Decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum QuotaOutcome {
    Granted,
    /// The tenant's quota is used up.
    Exceeded {
        /// When the call may be admitted.
        retry_after: Duration,
        /// Calls counted in the window that ends now.
        counted: u64,
    },
    /// No node could decide in time.
    Unavailable,
}

/// Asks the nodes that count tenants' calls.
pub struct QuotaClient {
    ledger: Arc<LedgerClient>,
    avoided: Mutex<HashMap<String, Instant>>,
}

impl QuotaClient {
    /// A client that finds the nodes through the groups of the ledger.
    pub fn new(ledger: Arc<LedgerClient>) -> Self {
        Self { ledger, avoided: Mutex::default() }
    }

    /// Asks whether a tenant may make one more call.
    pub async fn ask(&self, call: QuotaCall<'_>, until: Instant) -> QuotaOutcome {
        let limit = call.limit;
        let question = QuotaQuestion {
            tenant: call.tenant.to_owned(),
            per_second: limit.per_second,
            burst: limit.burst,
            window_millis: to_millis(limit.window),
            version: call.version,
            program: call.program,
        };
        let request = encode_to_node(RequestKind::Quota(question));
        let until = until.min(Instant::now() + TOTAL_TIMEOUT);
        loop {
            if let Some(outcome) = self.ask_nodes(call.tenant, &request, until).await {
                return outcome;
            }
            let again = Instant::now() + ROUND_PAUSE;
            if again >= until {
                return QuotaOutcome::Unavailable;
            }
            tokio::time::sleep_until(again).await;
        }
    }

    /// Asks one node after the other until one decides; `None` if none did.
    async fn ask_nodes(&self, tenant: &str, request: &Bytes, until: Instant) -> Option<QuotaOutcome> {
        let mut members = self.order(tenant).into_iter();
        let mut in_flight = FuturesUnordered::new();
        loop {
            if let Some(member) = members.next() {
                in_flight.push(self.ask_member(member, request));
            } else if in_flight.is_empty() {
                return None;
            }
            let next_at = until.min(Instant::now() + NEXT_NODE_DELAY);
            match tokio::time::timeout_at(next_at, in_flight.next()).await {
                Ok(Some((_, Some(outcome)))) => return Some(outcome),
                Ok(Some((member, None))) => self.avoid(&member),
                Ok(None) => {}
                Err(_) if Instant::now() >= until => return None,
                Err(_) => {}
            }
        }
    }

    /// The node with its decision, if it made one.
    async fn ask_member(&self, member: Member, request: &Bytes) -> (Member, Option<QuotaOutcome>) {
        let answer = self
            .ledger
            .member_client()
            .request(member.address, request, MEMBER_TIMEOUT, NEXT_NODE_DELAY)
            .await;
        let outcome = match answer.and_then(|answer| answer.kind) {
            Some(ReplyKind::Quota(answer)) => decode_outcome(answer),
            _ => None,
        };
        (member, outcome)
    }

    /// Nodes that count the tenant's calls, the deciding one first. The order is the same on all nodes,
    /// except for nodes that this one avoids.
    fn order(&self, tenant: &str) -> Vec<Member> {
        let map = self.ledger.map();
        let Some(group) = map.group_of(tenant) else { return Vec::new() };
        let mut order: Vec<Member> = by_key(tenant, &group.members).into_iter().cloned().collect();
        let now = Instant::now();
        let mut avoided = self.avoided();
        avoided.retain(|_, until| *until > now);
        order.sort_by_key(|member| avoided.contains_key(&member.node));
        order
    }

    fn avoid(&self, member: &Member) {
        self.avoided().insert(member.node.clone(), Instant::now() + AVOID_DURATION);
    }

    fn avoided(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.avoided.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn decode_outcome(answer: QuotaAnswer) -> Option<QuotaOutcome> {
    match answer.decision() {
        QuotaDecision::Granted => Some(QuotaOutcome::Granted),
        QuotaDecision::Exceeded => Some(QuotaOutcome::Exceeded {
            retry_after: Duration::from_millis(answer.retry_after_millis),
            counted: answer.counted,
        }),
        QuotaDecision::Unsure => None,
    }
}
