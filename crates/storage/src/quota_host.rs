//! Counts tenants' calls beside a replica: decides on calls, and reports totals to the other members of the
//! group.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_access::{CallReport, QuotaCall, QuotaCounters, QuotaLimit, QuotaVerdict, TenantTotal};
use sumacdrift_ledger::{
    Group, LedgerReply, Member, QuotaAnswer, QuotaDecision, QuotaQuestion, QuotaTotals, ReplyKind,
    RequestKind, TenantTotalMessage,
};
use sumacdrift_transport::Transport;
use sumacdrift_types::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::host::ReplicaHost;
use crate::rpc::{encode_to_node, send_request};

/// Interval of reports to the other members. A successor of the node that decides about a tenant lacks at
/// most the calls admitted in one interval: a fiftieth of a window of 5 s, where a tenth may be exceeded.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval of reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for the acknowledgement of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a tenant without calls is reported: one window.
const TENANT_REPORT_DURATION: Duration = Duration::from_secs(5);

/// How long members report to each other after the last request; without limited tenants nothing is sent.
const IDLE_AFTER: Duration = Duration::from_secs(60);

/// Call counters of a replica host.
pub(crate) struct QuotaHost {
    counters: Mutex<QuotaCounters>,
    /// Time of the last request, or of the last report with calls of another member.
    last_used: Mutex<Option<Instant>>,
    /// Notified when much was admitted that the other members do not know of.
    report_due: Notify,
    started: Instant,
}

impl QuotaHost {
    /// Counters of a process that starts now.
    pub(crate) fn new(node: &str) -> Self {
        let counters = QuotaCounters::new(node, rand::random(), Timestamp::default());
        Self {
            counters: Mutex::new(counters),
            last_used: Mutex::default(),
            report_due: Notify::new(),
            started: Instant::now(),
        }
    }

    /// Decides on a call, as a member of `group`.
    pub(crate) fn answer(&self, question: &QuotaQuestion, group: &Group) -> QuotaAnswer {
        let limit = QuotaLimit {
            per_second: question.per_second,
            burst: question.burst,
            window: Duration::from_millis(question.window_millis),
        };
        self.record_use();
        let (now, members) = (self.now(), member_names(group));
        let mut counters = self.counters();
        let call = QuotaCall {
            tenant: &question.tenant,
            program: question.program,
            limit,
            version: question.version,
        };
        let verdict = counters.check_call(call, &members, now);
        if counters.is_report_due() {
            self.report_due.notify_one();
        }
        drop(counters);
        match verdict {
            QuotaVerdict::Granted { counted } => {
                quota_answer(QuotaDecision::Granted, counted, Duration::ZERO)
            }
            QuotaVerdict::Exceeded { retry_after, counted } => {
                quota_answer(QuotaDecision::Exceeded, counted, retry_after)
            }
            QuotaVerdict::Unsure => quota_answer(QuotaDecision::Unsure, 0, Duration::ZERO),
        }
    }

    /// Applies the totals of another member.
    pub(crate) fn apply_totals(&self, report: QuotaTotals) {
        if !report.totals.is_empty() {
            self.record_use();
        }
        let totals = report.totals.into_iter();
        let totals = totals.map(|total| {
            let TenantTotalMessage { tenant, calls, recent } = total;
            (Arc::from(tenant), TenantTotal { calls, recent })
        });
        let totals = totals.collect();
        let report = CallReport {
            node: report.node,
            incarnation: report.incarnation,
            is_warm: report.is_warm,
            totals,
        };
        let now = self.now();
        self.counters().apply_report(report, now);
    }

    /// Records that a member acknowledged the report made at this time.
    fn record_acknowledgement(&self, member: &str, reported_at: Timestamp) {
        self.counters().record_acknowledgement(member, reported_at);
    }

    /// Totals to report to the other members of `group`.
    fn report(&self, group: &Group, now: Timestamp) -> QuotaTotals {
        let mut counters = self.counters();
        counters.observe(&member_names(group), now);
        let report = counters.report(TENANT_REPORT_DURATION, now);
        let totals = report.totals.into_iter().map(|(tenant, total)| TenantTotalMessage {
            tenant: tenant.to_string(),
            calls: total.calls,
            recent: total.recent,
        });
        let totals = totals.collect();
        QuotaTotals { node: report.node, incarnation: report.incarnation, is_warm: report.is_warm, totals }
    }

    /// Whether calls were counted recently.
    fn is_in_use(&self) -> bool {
        self.last_used().is_some_and(|last_used| last_used.elapsed() <= IDLE_AFTER)
    }

    fn record_use(&self) {
        *self.last_used() = Some(Instant::now());
    }

    fn last_used(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_used.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counters(&self) -> MutexGuard<'_, QuotaCounters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }
}

fn quota_answer(decision: QuotaDecision, counted: u64, retry_after: Duration) -> QuotaAnswer {
    let retry_after_millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    QuotaAnswer { decision: decision as i32, retry_after_millis, counted }
}

fn member_names(group: &Group) -> Vec<&str> {
    group.members.iter().map(|member| member.node.as_str()).collect()
}

impl ReplicaHost {
    /// The group whose members count tenants' calls with this node; `None` if it belongs to no group.
    pub(crate) fn counting_group(&self) -> Option<Group> {
        let replica = self.replica();
        let group = self.map().group_of_member(replica.node()).map(|group| Group::clone(group));
        group.or_else(|| replica.is_member().then(|| replica.group().clone()))
    }

    /// Decides whether a tenant may make one more call; `NotVoting` if this node belongs to no group.
    pub(crate) fn answer_quota(&self, question: &QuotaQuestion) -> LedgerReply {
        let kind = match self.counting_group() {
            Some(group) => ReplyKind::Quota(self.quotas().answer(question, &group)),
            None => ReplyKind::NotVoting(true),
        };
        LedgerReply { kind: Some(kind), ..LedgerReply::default() }
    }
}

/// Reports totals to the other members of the group of this node. Runs until the process ends.
pub async fn report_quotas(host: Arc<ReplicaHost>, transport: Arc<Transport>) {
    let node = host.replica().node().to_owned();
    loop {
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
        // Continue both at the regular interval and when a report is due earlier.
        let _ =
            tokio::time::timeout(REPORT_INTERVAL - MIN_REPORT_INTERVAL, host.quotas().report_due.notified())
                .await;
        if !host.quotas().is_in_use() {
            continue;
        }
        let Some(group) = host.counting_group() else { continue };
        let now = host.quotas().now();
        let request = encode_to_node(RequestKind::QuotaTotals(host.quotas().report(&group, now)));
        let others = group.members.iter().filter(|member: &&Member| member.node != node);
        for other in others {
            let (host, transport) = (Arc::clone(&host), Arc::clone(&transport));
            let (other, request) = (other.clone(), request.clone());
            tokio::spawn(async move {
                // A member that does not reply gets the next report soon; totals are idempotent.
                if send_request(&transport, other.address, request, REPORT_TIMEOUT).await.is_some() {
                    host.quotas().record_acknowledgement(&other.node, now);
                }
            });
        }
    }
}
