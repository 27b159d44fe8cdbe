//! Counting the calls of all tenants at one of the nodes that count them for the fleet.
//!
//! One node decides about a tenant at a time, so that its count is exact; a few nodes report to each other what they counted,
//! so that any of them can go on when that one is lost. They report totals since their start, which may arrive
//! twice or late: a total that arrives adds what it lacks. Doorman (a client-side rate limiter of leases) and the
//! distributed rate limiting of Raghavan and others (SIGCOMM 2007) hand out shares ahead of demand instead; a share that
//! is handed out and not used binds others while it lasts, and here one exchange within a region takes 3 ms.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use crate::begun_programs::ProgramSizes;
use crate::quota_window::QuotaLimit;
use crate::tenant_count::TenantCount;

/// How long a node may say nothing until its counts are missing to the others: five times the usual time between two
/// reports. Two nodes that don't hear each other may both let a tenant's whole rate in for so long, which is within the
/// tenth that a window may hold beyond the limit.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Share of a window's limit, and calls besides, that a node admits before a majority has acknowledged them. So much its
/// successor may lack when it is lost; twice that, for two losses within a window, is half of what a window may hold beyond
/// its limit (a tenth and 20 calls). Where half of it is admitted, a report is due at once.
const UNACKNOWLEDGED_SHARE: f64 = 0.025;
const UNACKNOWLEDGED_CALLS: f64 = 3.0;
/// When a caller is to come back who was refused only because others have not yet acknowledged what was admitted.
const UNACKNOWLEDGED_WAIT: Duration = Duration::from_millis(50);
/// A tenant's call that is to be counted.
#[derive(Debug, Clone, Copy)]
pub struct QuotaCall<'a> {
    /// The tenant.
    pub tenant: &'a str,
    /// A number that is equal for all calls of a program; `None` for calls without one.
    pub program: Option<u64>,
    /// What the tenant may make.
    pub limit: QuotaLimit,
    /// Version of the configuration that the limit is of.
    pub version: u64,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It is within the quota, and counted.
    Granted {
        /// Calls of the window with this one.
        counted: u64,
    },
    /// It is beyond the quota.
    Exceeded {
        /// When it may be within it.
        retry_after: Duration,
        /// Calls of the window.
        counted: u64,
    },
    /// This node can't tell: it hears too few of the others, or has not for long enough.
    Unsure,
}

/// What one node counted, as it reports it to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// Name of the node.
    pub node: String,
    /// Life of the node's process; totals begin anew with each.
    pub life: u64,
    /// Whether the node knows all calls of the last window.
    pub is_warm: bool,
    /// What it admitted, of each tenant that made any call of late.
    pub totals: BTreeMap<Arc<str>, TenantTotal>,
}

/// Calls of one tenant that one node admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantTotal {
    /// Since the node's start.
    pub calls: u64,
    /// Of these, the ones of the last window: no more of them count where the total was not known before.
    pub recent: u64,
}

#[derive(Debug)]
struct Peer {
    life: u64,
    heard: Timestamp,
    is_warm: bool,
    totals: HashMap<Arc<str>, u64>,
}

/// The counts at one node.
#[derive(Debug)]
pub struct QuotaCounters {
    node: String,
    life: u64,
    started: Timestamp,
    tenants: HashMap<Arc<str>, TenantCount>,
    sizes: ProgramSizes,
    peers: HashMap<String, Peer>,
    /// Of each of the others, the newest report that it has acknowledged.
    acknowledged: HashMap<String, Timestamp>,
    /// Whether a report is due before the usual time.
    is_report_due: bool,
    /// Since when enough of the others are heard, without a break.
    hears_enough_since: Option<Timestamp>,
}

impl QuotaCounters {
    /// Counts of a node's life that begins now.
    pub fn new(node: &str, life: u64, now: Timestamp) -> Self {
        Self {
            node: node.to_owned(),
            life,
            started: now,
            tenants: HashMap::new(),
            sizes: ProgramSizes::default(),
            peers: HashMap::new(),
            acknowledged: HashMap::new(),
            is_report_due: false,
            hears_enough_since: None,
        }
    }

    /// Whether a tenant may make one more call; counted if so. `members` are the nodes that count this tenant's calls.
    pub fn ask(&mut self, call: QuotaCall<'_>, members: &[&str], now: Timestamp) -> QuotaVerdict {
        let hears_enough = self.hears_enough(members, now);
        let is_warm = self.is_warm(call.limit.window, now);
        if !hears_enough || (!is_warm && self.has_warm_peer(members, now)) {
            return QuotaVerdict::Unsure;
        }
        let acknowledged = self.acknowledged_by_majority(members);
        let sizes = self.sizes;
        let known_since = self.started;
        let count = self.tenants.entry(Arc::from(call.tenant)).or_insert_with(TenantCount::new);
        let most = count.adopt(call.limit, call.version, known_since, now).most();
        let counted = count.window.calls(now);
        if let Some(retry_after) = count.beyond_limit(call.program, sizes, now) {
            return QuotaVerdict::Exceeded { retry_after, counted };
        }
        let unacknowledged = acknowledged.map_or(0, |acknowledged| count.unacknowledged(acknowledged));
        let unacknowledged_allowed = unacknowledged_allowed(most);
        let may_go_on =
            unacknowledged < unacknowledged_allowed || is_broken(Rule::QuotaUnacknowledgedIsBounded);
        let begins = may_go_on && count.admit(call.program, now);
        let is_representative = count.is_representative(now);
        self.is_report_due |= unacknowledged * 2 >= unacknowledged_allowed;
        if !may_go_on {
            return QuotaVerdict::Exceeded { retry_after: UNACKNOWLEDGED_WAIT, counted };
        }
        if call.program.is_some() && is_representative {
            self.sizes.note(begins);
        }
        QuotaVerdict::Granted { counted: counted + 1 }
    }

    /// What to report to the other nodes.
    pub fn report(&mut self, window: Duration, now: Timestamp) -> CallReport {
        self.is_report_due = false;
        for count in self.tenants.values_mut() {
            count.note_report(now);
        }
        let told = self.tenants.iter_mut().map(|(tenant, count)| (Arc::clone(tenant), count.total(now)));
        let recent = told.filter(|(_, total)| total.recent > 0);
        let totals = recent.collect();
        CallReport { node: self.node.clone(), life: self.life, is_warm: self.is_warm(window, now), totals }
    }

    /// Whether a report is due at once: half of what may be admitted without their knowledge has been.
    pub fn is_report_due(&self) -> bool {
        self.is_report_due
    }

    /// Another node has acknowledged what was reported at this time.
    pub fn acknowledged(&mut self, node: &str, told: Timestamp) {
        let newest = self.acknowledged.entry(node.to_owned()).or_default();
        *newest = told.max(*newest);
    }

    /// The newest report that a majority, this node among it, has acknowledged; `None` where this node is one by itself.
    fn acknowledged_by_majority(&self, members: &[&str]) -> Option<Timestamp> {
        let others = members.iter().filter(|member| **member != self.node);
        let mut times: Vec<Timestamp> =
            others.map(|member| self.acknowledged.get(*member).copied().unwrap_or_default()).collect();
        times.sort_unstable_by(|first, second| second.cmp(first));
        let last_needed = (members.len() / 2).checked_sub(1)?;
        Some(times.get(last_needed).copied().unwrap_or_default())
    }

    /// Takes in what another node counted.
    pub fn heard(&mut self, told: CallReport, now: Timestamp) {
        let is_first = !self.peers.contains_key(&told.node);
        let peer = self.peers.entry(told.node).or_insert_with(|| Peer {
            life: told.life,
            heard: now,
            is_warm: false,
            totals: HashMap::new(),
        });
        if peer.life != told.life {
            peer.life = told.life;
            peer.totals.clear();
        }
        peer.heard = now;
        peer.is_warm = told.is_warm;
        for (tenant, total) in told.totals {
            let TenantTotal { calls: total, recent } = total;
            let known = peer.totals.insert(Arc::clone(&tenant), total);
            // What a node admitted before it was first heard of may be old; this node is not warm then.
            let known = known.unwrap_or(if is_first { total } else { 0 });
            let lacking = total.saturating_sub(known).min(recent);
            if is_broken(Rule::QuotaTotalsCount) {
                continue;
            }
            if lacking > 0 {
                let count = self.tenants.entry(tenant).or_insert_with(TenantCount::new);
                count.admitted_elsewhere(lacking, now);
            }
        }
    }

    /// Whether this node knows all calls of the last window: it has heard enough of the others for so long.
    fn is_warm(&self, window: Duration, now: Timestamp) -> bool {
        self.hears_enough_since.is_some_and(|since| now.since(since) >= window)
    }

    /// Whether a majority of the nodes that count, this one among them, is heard.
    fn hears_enough(&mut self, members: &[&str], now: Timestamp) -> bool {
        let others = members.iter().filter(|member| **member != self.node);
        let heard = others.filter(|member| self.is_heard(member, now)).count();
        let hears_enough = (heard + 1) * 2 > members.len() || is_broken(Rule::QuotaNeedsMajority);
        match (hears_enough, self.hears_enough_since) {
            (true, None) => self.hears_enough_since = Some(now),
            (false, Some(_)) => self.hears_enough_since = None,
            _ => {}
        }
        hears_enough
    }

    fn is_heard(&self, member: &str, now: Timestamp) -> bool {
        self.peers.get(member).is_some_and(|peer| now.since(peer.heard) <= SILENT_AFTER)
    }

    fn has_warm_peer(&self, members: &[&str], now: Timestamp) -> bool {
        members.iter().any(|member| {
            self.is_heard(member, now) && self.peers.get(*member).is_some_and(|peer| peer.is_warm)
        })
    }

    /// Looks whether enough others are heard; to be called as often as others report, so that a node is warm when it is
    /// asked for the first time.
    pub fn observe(&mut self, members: &[&str], now: Timestamp) {
        self.hears_enough(members, now);
    }
}

/// Deciding nodes that may be lost within one window, each with what nobody else knows it admitted.
const LOSSES_IN_A_WINDOW: f64 = 2.0;

impl QuotaLimit {
    /// The limit at a steady rate under which no window holds more than `bound` calls, though deciding nodes are lost and
    /// admitted calls are made up to `late` after they were. Where nothing fits under the bound, none is admitted.
    pub fn within_bound(per_second: f64, bound: f64, window: Duration, late: Duration) -> Self {
        let stretched = 1.0 + late.as_secs_f64() / window.as_secs_f64();
        let lost_share = LOSSES_IN_A_WINDOW * UNACKNOWLEDGED_SHARE;
        let most = ((bound - LOSSES_IN_A_WINDOW * UNACKNOWLEDGED_CALLS) / (stretched + lost_share)).max(0.0);
        let per_second = per_second.min(most / window.as_secs_f64());
        Self { per_second, burst: most - per_second * window.as_secs_f64(), window }
    }
}

/// Calls that a node admits before a majority has acknowledged them.
fn unacknowledged_allowed(most: u64) -> u64 {
    (most as f64 * UNACKNOWLEDGED_SHARE + UNACKNOWLEDGED_CALLS) as u64
}
