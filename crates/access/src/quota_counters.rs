//! Call counts of all tenants on one of the nodes that count for the fleet.
//!
//! One node decides about a tenant at a time, so that its count is exact. The counting nodes report their
//! totals to each other, so that any of them can take over from a lost one. Totals are cumulative since the
//! node's start: a report may arrive twice or late and adds only what is missing.
//!
//! Leased shares (Doorman; Raghavan et al., SIGCOMM 2007) are not used: an unused share limits the other
//! nodes while it lasts, and one exchange within a region takes 3 ms.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use crate::program_admission::ProgramCallStats;
use crate::quota_window::QuotaLimit;
use crate::tenant_counter::TenantCounter;

/// Time without a report after which a peer counts as unreachable: five times the usual report interval. For
/// that long, two nodes that don't reach each other may both admit a tenant's whole rate, which is within the
/// 10% by which a window may exceed its limit.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of a window's limit, and number of calls, that a node admits before a majority has acknowledged
/// them. If the node is lost, its successor may miss that many. Twice that, for two losses within a window,
/// is half of the excess that a window may hold (10% and 20 calls). A report is due at once when half of it
/// is used.
const UNACKNOWLEDGED_SHARE: f64 = 0.025;
const UNACKNOWLEDGED_CALLS: f64 = 3.0;
/// Retry delay of a call that was refused only because earlier calls are not yet acknowledged.
const UNACKNOWLEDGED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A call to check against its tenant's quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaCall<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Identifies the program that the call belongs to; `None` for calls without one.
    pub program: Option<u64>,
    /// The tenant's limit, as the asking node knows it.
    pub limit: QuotaLimit,
    /// Version of the configuration that defines the limit.
    pub version: u64,
}

/// Result of [`QuotaCounters::check_call`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// The call is within the quota and was counted.
    Granted {
        /// Calls in the window, including this one.
        counted: u64,
    },
    /// The call is over the quota.
    Exceeded {
        /// Delay after which the call may be admitted.
        retry_after: Duration,
        /// Calls in the window.
        counted: u64,
    },
    /// This node can't decide: it does not reach a majority, or it lacks calls of the last window that a peer
    /// knows.
    Unsure,
}

/// Call totals of one node, sent to the other counting nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// Name of the sender.
    pub node: String,
    /// Incarnation of the sender's process; totals restart at zero with each.
    pub incarnation: u64,
    /// Whether the sender knows all calls of the last window.
    pub is_warm: bool,
    /// Calls admitted by the sender, for each tenant with calls in the last window.
    pub totals: BTreeMap<Arc<str>, TenantTotal>,
}

/// Calls of one tenant that one node admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantTotal {
    /// Calls since the node's start.
    pub calls: u64,
    /// Calls of the last window. A receiver that did not know the total adds no more than these.
    pub recent: u64,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    last_report_at: Timestamp,
    is_warm: bool,
    totals: HashMap<Arc<str>, u64>,
}

/// Call counts of all tenants on one node.
#[derive(Debug)]
pub struct QuotaCounters {
    node: String,
    incarnation: u64,
    started_at: Timestamp,
    tenants: HashMap<Arc<str>, TenantCounter>,
    call_stats: ProgramCallStats,
    peers: HashMap<String, Peer>,
    /// By peer: send time of the newest report that the peer acknowledged.
    acknowledged_reports: HashMap<String, Timestamp>,
    /// Whether a report is due before the usual interval ends.
    is_report_due: bool,
    /// Since when a majority has been reachable without interruption.
    quorum_since: Option<Timestamp>,
}

impl QuotaCounters {
    /// Starts without counts. `incarnation` identifies this run of the node's process.
    pub fn new(node: &str, incarnation: u64, now: Timestamp) -> Self {
        Self {
            node: node.to_owned(),
            incarnation,
            started_at: now,
            tenants: HashMap::new(),
            call_stats: ProgramCallStats::default(),
            peers: HashMap::new(),
            acknowledged_reports: HashMap::new(),
            is_report_due: false,
            quorum_since: None,
        }
    }

    /// Checks a call against its tenant's quota, and counts it if granted. `members` are the nodes that count
    /// this tenant's calls.
    pub fn check_call(&mut self, call: QuotaCall<'_>, members: &[&str], now: Timestamp) -> QuotaVerdict {
        let has_quorum = self.update_quorum(members, now);
        let is_warm = self.is_warm(call.limit.window, now);
        if !has_quorum || (!is_warm && self.has_warm_peer(members, now)) {
            return QuotaVerdict::Unsure;
        }
        let acknowledged = self.acknowledged_by_majority(members);
        let call_stats = self.call_stats;
        let known_since = self.started_at;
        let count = self.tenants.entry(Arc::from(call.tenant)).or_insert_with(TenantCounter::new);
        let max_calls = count.update_limit(call.limit, call.version, known_since, now).max_calls();
        let counted = count.window.calls(now);
        if let Some(retry_after) = count.check_limit(call.program, call_stats, now) {
            return QuotaVerdict::Exceeded { retry_after, counted };
        }
        let unacknowledged = acknowledged.map_or(0, |acknowledged| count.unacknowledged(acknowledged));
        let max_unacknowledged = max_unacknowledged(max_calls);
        let is_within_unacknowledged_limit =
            unacknowledged < max_unacknowledged || is_broken(Rule::QuotaUnacknowledgedIsBounded);
        let starts_program = is_within_unacknowledged_limit && count.admit(call.program, now);
        let is_uncongested = count.is_uncongested(now);
        self.is_report_due |= unacknowledged * 2 >= max_unacknowledged;
        if !is_within_unacknowledged_limit {
            return QuotaVerdict::Exceeded { retry_after: UNACKNOWLEDGED_RETRY_AFTER, counted };
        }
        if call.program.is_some() && is_uncongested {
            self.call_stats.record(starts_program);
        }
        QuotaVerdict::Granted { counted: counted + 1 }
    }

    /// Returns the report to send to the other nodes. It says that this node is warm if a majority has been
    /// reachable for `window`.
    pub fn report(&mut self, window: Duration, now: Timestamp) -> CallReport {
        self.is_report_due = false;
        for count in self.tenants.values_mut() {
            count.record_report(now);
        }
        let totals = self.tenants.iter_mut().map(|(tenant, count)| (Arc::clone(tenant), count.total(now)));
        let recent_totals = totals.filter(|(_, total)| total.recent > 0);
        let totals = recent_totals.collect();
        CallReport {
            node: self.node.clone(),
            incarnation: self.incarnation,
            is_warm: self.is_warm(window, now),
            totals,
        }
    }

    /// Whether a report is due at once: half of the calls that may be admitted without acknowledgement were.
    pub fn is_report_due(&self) -> bool {
        self.is_report_due
    }

    /// Records that `node` acknowledged the report sent at `sent_at`.
    pub fn record_acknowledgement(&mut self, node: &str, sent_at: Timestamp) {
        let newest = self.acknowledged_reports.entry(node.to_owned()).or_default();
        *newest = sent_at.max(*newest);
    }

    /// Send time of the newest report that a majority, including this node, has acknowledged; `None` if this
    /// node alone is a majority.
    fn acknowledged_by_majority(&self, members: &[&str]) -> Option<Timestamp> {
        let others = members.iter().filter(|member| **member != self.node);
        let mut times: Vec<Timestamp> = others
            .map(|member| self.acknowledged_reports.get(*member).copied().unwrap_or_default())
            .collect();
        times.sort_unstable_by(|first, second| second.cmp(first));
        let last_needed = (members.len() / 2).checked_sub(1)?;
        Some(times.get(last_needed).copied().unwrap_or_default())
    }

    /// Adds the calls of another node's report that are not yet counted here.
    pub fn apply_report(&mut self, report: CallReport, now: Timestamp) {
        let peer = self.peers.entry(report.node).or_insert_with(|| Peer {
            incarnation: report.incarnation,
            last_report_at: now,
            is_warm: false,
            totals: HashMap::new(),
        });
        if peer.incarnation != report.incarnation {
            peer.incarnation = report.incarnation;
            peer.totals.clear();
        }
        peer.last_report_at = now;
        peer.is_warm = report.is_warm;
        for (tenant, total) in report.totals {
            let TenantTotal { calls: total, recent } = total;
            let known = peer.totals.insert(Arc::clone(&tenant), total);
            // A node may have been suspended while its peers admitted the calls in their first reports.
            let missing = total.saturating_sub(known.unwrap_or(0)).min(recent);
            if is_broken(Rule::QuotaTotalsCount) {
                continue;
            }
            if missing > 0 {
                let count = self.tenants.entry(tenant).or_insert_with(TenantCounter::new);
                count.add_calls(missing, now);
            }
        }
    }

    /// Whether this node knows all calls of the last window: a majority has been reachable for that long.
    fn is_warm(&self, window: Duration, now: Timestamp) -> bool {
        self.quorum_since.is_some_and(|since| now.since(since) >= window)
    }

    /// Returns whether a majority, including this node, is reachable, and updates `quorum_since`.
    fn update_quorum(&mut self, members: &[&str], now: Timestamp) -> bool {
        let others = members.iter().filter(|member| **member != self.node);
        let reachable = others.filter(|member| self.is_reachable(member, now)).count();
        let has_quorum = (reachable + 1) * 2 > members.len() || is_broken(Rule::QuotaNeedsMajority);
        match (has_quorum, self.quorum_since) {
            (true, None) => self.quorum_since = Some(now),
            (false, Some(_)) => self.quorum_since = None,
            _ => {}
        }
        has_quorum
    }

    fn is_reachable(&self, member: &str, now: Timestamp) -> bool {
        self.peers.get(member).is_some_and(|peer| now.since(peer.last_report_at) <= PEER_TIMEOUT)
    }

    fn has_warm_peer(&self, members: &[&str], now: Timestamp) -> bool {
        members.iter().any(|member| {
            self.is_reachable(member, now) && self.peers.get(*member).is_some_and(|peer| peer.is_warm)
        })
    }

    /// Updates whether a majority is reachable. Must be called as often as peers report, so that a node is
    /// warm before its first call.
    pub fn observe(&mut self, members: &[&str], now: Timestamp) {
        self.update_quorum(members, now);
    }
}

/// Number of deciding nodes that may be lost within a window, each with its unacknowledged calls.
const MAX_LOSSES_PER_WINDOW: f64 = 2.0;

impl QuotaLimit {
    /// Returns a limit at a sustained rate under which no window holds more than `bound` calls, even if
    /// deciding nodes are lost and admitted calls are made up to `max_delay` after their admission. If nothing
    /// fits under the bound, the limit admits no call.
    pub fn within_bound(per_second: f64, bound: f64, window: Duration, max_delay: Duration) -> Self {
        let delay_factor = 1.0 + max_delay.as_secs_f64() / window.as_secs_f64();
        let lost_share = MAX_LOSSES_PER_WINDOW * UNACKNOWLEDGED_SHARE;
        let max_calls =
            ((bound - MAX_LOSSES_PER_WINDOW * UNACKNOWLEDGED_CALLS) / (delay_factor + lost_share)).max(0.0);
        let per_second = per_second.min(max_calls / window.as_secs_f64());
        Self { per_second, burst: max_calls - per_second * window.as_secs_f64(), window }
    }
}

fn max_unacknowledged(max_calls: u64) -> u64 {
    (max_calls as f64 * UNACKNOWLEDGED_SHARE + UNACKNOWLEDGED_CALLS) as u64
}
