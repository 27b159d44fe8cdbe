//! Client of the storage nodes that record crashes of engines by request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sumacdrift_calls::{CrashCount, RequestFingerprint};
use sumacdrift_ledger::{EngineCrash, Group, ReplyKind, RequestKind, SuspectNotice};
use sumacdrift_quarantine::{Callers, Certainty, CrashReport, QuarantinedRequest, SuspectRequest};
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::clock::to_millis;
use crate::member_client::MIN_RELAY_DELAY;
use crate::quarantine_feed::quarantine_notice;
use crate::rpc::encode_to_node;

/// What the storage nodes know of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct KnownCrashes {
    /// Engines that crashed in succession under the request.
    pub confirmed: BTreeSet<String>,
    /// Other engines that may have.
    pub suspected: BTreeSet<String>,
    /// Other engines that lost the request and have shown a sign of life since.
    pub observed: BTreeSet<String>,
    /// Whether a majority of the nodes replied. Otherwise further crashes may be known to the others.
    pub is_complete: bool,
}

impl KnownCrashes {
    /// Removes an engine; returns whether it was known.
    pub fn remove(&mut self, engine: &str) -> bool {
        let sets = [&mut self.confirmed, &mut self.suspected, &mut self.observed];
        sets.into_iter().any(|engines| engines.remove(engine))
    }

    /// Number of crashes.
    pub fn count(&self) -> CrashCount {
        CrashCount {
            confirmed: self.confirmed.len(),
            suspected: self.suspected.len(),
            observed: self.observed.len(),
            open_attempts: 0,
        }
    }
}

/// Reports crashes of engines to storage nodes.
///
/// A report goes to all members of a ledger group, and the union of what a majority knows counts: any two majorities share a
/// member, so no crash is missed that an earlier report announced to one. The group is that of a key, which all calls for a
/// request must share: the program's name in the ledger, whose group also admits its turns, or the fingerprint of a request
/// without a program.
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

    /// Reports that an engine crashed while it ran a request, or may have, or has shown a sign of life since, which withdraws
    /// an earlier suspicion; returns all crashes that are known under it.
    pub async fn report(&self, report: CrashReport<'_>, key: &str) -> KnownCrashes {
        let kind = match report.certainty {
            Certainty::Confirmed => RequestKind::EngineCrash(crash_message(report)),
            Certainty::Suspected => RequestKind::SuspectedCrash(crash_message(report)),
            Certainty::Observed => RequestKind::EngineSurvived(crash_message(report)),
        };
        self.exchange(kind, key).await
    }

    /// Reports that an engine did not get a request after all, for which it was reported as suspected.
    pub async fn report_not_run(&self, report: CrashReport<'_>, key: &str) {
        let message = EngineCrash { has_not_run: true, ..crash_message(report) };
        self.exchange(RequestKind::EngineSurvived(message), key).await;
    }

    /// All crashes that are known under a request.
    pub async fn known(&self, request: RequestFingerprint, key: &str) -> KnownCrashes {
        // A sign of life of no engine changes nothing.
        let message = EngineCrash { request: request.0, ..EngineCrash::default() };
        self.exchange(RequestKind::EngineSurvived(message), key).await
    }

    async fn exchange(&self, kind: RequestKind, key: &str) -> KnownCrashes {
        let group = self.ledger.map().group_of(key).cloned();
        let replies = self.ask_majority(group, kind).await;
        let mut known = KnownCrashes { is_complete: replies.is_majority, ..KnownCrashes::default() };
        for kind in replies.kinds {
            if let ReplyKind::CrashedEngines(crashed) = kind {
                known.confirmed.extend(crashed.engines);
                known.suspected.extend(crashed.suspected);
                known.observed.extend(crashed.observed);
            }
        }
        let KnownCrashes { confirmed, suspected, observed, .. } = &mut known;
        suspected.retain(|engine| !confirmed.contains(engine));
        observed.retain(|engine| !confirmed.contains(engine) && !suspected.contains(engine));
        known
    }

    /// Reports that an engine served a request under which others had crashed.
    pub async fn report_served(&self, request: RequestFingerprint, key: &str) {
        let group = self.ledger.map().group_of(key).cloned();
        self.ask_majority(group, RequestKind::ServedAfterCrash(request.0)).await;
    }

    /// Publishes a request in quarantine to the feeds that edges follow; returns whether a majority of their nodes
    /// acknowledged it.
    pub async fn quarantine(&self, quarantined: QuarantinedRequest) -> bool {
        // Other nodes fill their feeds from those of the first group.
        let publishers = self.ledger.map().group(0).cloned();
        self.ask_majority(publishers, RequestKind::Quarantine(quarantine_notice(quarantined)))
            .await
            .is_majority
    }

    /// Announces a request for which one more crash reaches the limit to the feeds that edges follow; returns whether a
    /// majority of their nodes acknowledged it.
    pub async fn announce_suspect(&self, suspect: SuspectRequest) -> bool {
        let publishers = self.ledger.map().group(0).cloned();
        let notice =
            SuspectNotice { request: suspect.request.0, remaining_millis: to_millis(suspect.remaining) };
        self.ask_majority(publishers, RequestKind::Suspect(notice)).await.is_majority
    }

    /// Sends a request to all members of a group and waits for the replies of a majority. No member replies while no group is
    /// known.
    async fn ask_majority(&self, group: Option<Arc<Group>>, kind: RequestKind) -> Replies {
        let Some(group) = group else { return Replies::default() };
        let majority = group.majority();
        let request = encode_to_node(kind);
        let members = group.members.iter();
        let mut in_flight: FuturesUnordered<_> =
            members.map(|member| self.ask(member.address, request.clone())).collect();
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
    async fn ask(&self, member: SocketAddr, request: Bytes) -> Option<ReplyKind> {
        let (client, timeout) = (self.ledger.member_client(), self.timeout);
        let asking =
            tokio::spawn(async move { client.request(member, &request, timeout, MIN_RELAY_DELAY).await });
        asking.await.ok()??.kind
    }
}

fn crash_message(report: CrashReport<'_>) -> EngineCrash {
    EngineCrash {
        request: report.request.0,
        engine: report.engine.to_owned(),
        sent_millis_ago: to_millis(report.sent_ago),
        lost_millis_ago: to_millis(report.lost_ago),
        has_one_caller: report.callers == Callers::One,
        has_not_run: false,
    }
}

#[derive(Default)]
struct Replies {
    kinds: Vec<ReplyKind>,
    is_majority: bool,
}
