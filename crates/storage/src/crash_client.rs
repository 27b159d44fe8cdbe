//! Client of the storage nodes that record crashes of engines by request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sumacdrift_calls::RequestFingerprint;
use sumacdrift_ledger::{EngineCrash, Member, QuarantineNotice, ReplyKind, RequestKind};
use sumacdrift_quarantine::{CrashReport, QuarantinedRequest};
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::member_client::MIN_RELAY_DELAY;
use crate::rpc::encode_to_node;

/// The nodes that record the crashes under a request.
#[derive(Debug, Clone, Copy)]
pub enum Recorders<'a> {
    /// Those that admit the turns of this program, by its name in the ledger. Every turn that begins gets to know of crashes.
    OfProgram(&'a str),
    /// Those of a request without a program.
    OfRequest(RequestFingerprint),
}

/// What the storage nodes know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct KnownCrashes {
    /// Engines that crashed in succession under the request.
    pub engines: Vec<String>,
    /// Whether a majority of the nodes replied. Otherwise further crashes may be known to the others.
    pub is_complete: bool,
}

/// Reports crashes of engines to storage nodes.
///
/// A report goes to all members of a request's group, and the union of what a majority knows counts: any two majorities
/// share a member, so no crash is missed that an earlier report announced to one.
pub struct CrashClient {
    ledger: Arc<LedgerClient>,
    /// How long to wait for a majority.
    timeout: Duration,
}

impl CrashClient {
    /// A client that finds the nodes through the groups of the ledger, and waits this long for a majority of them.
    pub fn new(ledger: Arc<LedgerClient>, timeout: Duration) -> Self {
        Self { ledger, timeout }
    }

    /// Reports that an engine crashed while it ran a request; returns all crashes that are known under it.
    pub async fn report(&self, report: CrashReport<'_>, recorders: Recorders<'_>) -> KnownCrashes {
        let crash = EngineCrash {
            request: report.request.0,
            engine: report.engine.to_owned(),
            sent_millis_ago: u64::try_from(report.sent_ago.as_millis()).unwrap_or(u64::MAX),
        };
        let replies = self.ask_majority(self.members(recorders), RequestKind::EngineCrash(crash)).await;
        let engines = replies.kinds.into_iter().filter_map(|kind| match kind {
            ReplyKind::CrashedEngines(known) => Some(known.engines),
            _ => None,
        });
        let engines: BTreeSet<String> = engines.flatten().collect();
        KnownCrashes { engines: engines.into_iter().collect(), is_complete: replies.is_majority }
    }

    /// Reports that an engine served a request under which others had crashed.
    pub async fn report_served(&self, request: RequestFingerprint, recorders: Recorders<'_>) {
        self.ask_majority(self.members(recorders), RequestKind::ServedAfterCrash(request.0)).await;
    }

    /// Publishes a request in quarantine to the feeds that edges follow; returns whether a majority of their nodes
    /// acknowledged it.
    pub async fn quarantine(&self, quarantined: QuarantinedRequest) -> bool {
        let remaining_millis = u64::try_from(quarantined.remaining.as_millis()).unwrap_or(u64::MAX);
        let notice = QuarantineNotice { request: quarantined.request.0, remaining_millis };
        // Other nodes fill their feeds from those of the first group.
        let publishers = self.ledger.map().group(0).map(|group| group.members.clone()).unwrap_or_default();
        self.ask_majority(publishers, RequestKind::Quarantine(notice)).await.is_majority
    }

    fn members(&self, recorders: Recorders<'_>) -> Vec<Member> {
        let map = self.ledger.map();
        let group = match recorders {
            Recorders::OfProgram(program) => map.group_of(program),
            Recorders::OfRequest(request) => map.group_of(&request.to_string()),
        };
        group.map(|group| group.members.clone()).unwrap_or_default()
    }

    /// Sends a request to all members and waits for the replies of a majority.
    async fn ask_majority(&self, members: Vec<Member>, kind: RequestKind) -> Replies {
        let majority = members.len() / 2 + 1;
        let request = encode_to_node(kind);
        let mut in_flight: FuturesUnordered<_> =
            members.into_iter().map(|member| self.ask(member, request.clone())).collect();
        let until = Instant::now() + self.timeout;
        let mut kinds = Vec::new();
        while kinds.len() < majority {
            match tokio::time::timeout_at(until, in_flight.next()).await {
                Ok(Some(Some(ReplyKind::Failed(_)) | None)) => {}
                Ok(Some(Some(kind))) => kinds.push(kind),
                Ok(None) | Err(_) => break,
            }
        }
        Replies { is_majority: kinds.len() >= majority, kinds }
    }

    /// Runs apart from the caller, so that members get the request that the majority does not wait for.
    async fn ask(&self, member: Member, request: Bytes) -> Option<ReplyKind> {
        let (client, timeout) = (self.ledger.member_client(), self.timeout);
        let asking =
            tokio::spawn(
                async move { client.request(member.address, &request, timeout, MIN_RELAY_DELAY).await },
            );
        asking.await.ok()??.kind
    }
}

struct Replies {
    kinds: Vec<ReplyKind>,
    is_majority: bool,
}
