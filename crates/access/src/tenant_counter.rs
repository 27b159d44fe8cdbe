//! Call count of one tenant on one node: the sliding window, what the other nodes have acknowledged, and the
//! tenant's programs.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::program_admission::{ProgramAdmission, ProgramCallStats};
use crate::quota_counters::TenantTotal;
use crate::quota_window::{QuotaLimit, QuotaWindow};
use crate::token_bucket::TokenBucket;

/// Reports kept until they are acknowledged. When this many are kept, a new report replaces the newest.
const MAX_PENDING_REPORTS: usize = 16;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Calls admitted by this node when it sent a report.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: Timestamp,
    own_total: u64,
}

#[derive(Debug)]
struct ActiveLimit {
    limit: QuotaLimit,
    /// Version of the configuration that defines the limit.
    version: u64,
    bucket: TokenBucket,
}

/// Window length until a limit is known.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(crate) struct TenantCounter {
    /// Calls of the last window, admitted by any node.
    pub(crate) window: QuotaWindow,
    /// Calls admitted by this node since its start.
    own_total: u64,
    /// Calls admitted by this node in the last window.
    own_window: QuotaWindow,
    reports: VecDeque<Report>,
    /// `None` until a node has asked with a limit.
    active_limit: Option<ActiveLimit>,
    programs: Option<ProgramAdmission>,
    /// Latest retry time given to a refused caller, so that refused callers retry one after the other.
    last_retry_at: Timestamp,
}

impl TenantCounter {
    pub(crate) fn new() -> Self {
        Self {
            window: QuotaWindow::new(DEFAULT_WINDOW),
            own_total: 0,
            own_window: QuotaWindow::new(DEFAULT_WINDOW),
            reports: VecDeque::new(),
            active_limit: None,
            programs: None,
            last_retry_at: Timestamp::default(),
        }
    }

    /// Applies `limit` unless one of a newer configuration is known: a node with an older configuration must
    /// not raise it again. Returns the limit in force. `known_since` is the time since which all calls are
    /// counted here.
    pub(crate) fn update_limit(
        &mut self,
        limit: QuotaLimit,
        version: u64,
        known_since: Timestamp,
        now: Timestamp,
    ) -> QuotaLimit {
        if self.window.length() != limit.window {
            self.window = self.window.resized(limit.window, now);
            self.own_window = self.own_window.resized(limit.window, now);
        }
        match &mut self.active_limit {
            Some(active_limit) if version < active_limit.version => {}
            Some(active_limit) => {
                active_limit.version = version;
                if active_limit.limit != limit {
                    active_limit.limit = limit;
                    active_limit.bucket.set_limit(limit, now);
                }
            }
            None => {
                let bucket = TokenBucket::replay(&self.window, limit, known_since, now);
                self.active_limit = Some(ActiveLimit { limit, version, bucket });
            }
        }
        self.active_limit.as_ref().map_or(limit, |active_limit| active_limit.limit)
    }

    /// Counts calls admitted by this or another node.
    pub(crate) fn add_calls(&mut self, calls: u64, now: Timestamp) {
        self.window.add(calls, now);
        if let Some(active_limit) = &mut self.active_limit {
            active_limit.bucket.take(calls, now);
        }
    }

    /// Delay after which a refused call may be retried; `None` if the call may be admitted. Under congestion, the
    /// first call of a program is also refused while programs start faster than the limit allows for their mean
    /// number of calls.
    pub(crate) fn check_limit(
        &mut self,
        program: Option<u64>,
        call_stats: ProgramCallStats,
        now: Timestamp,
    ) -> Option<Duration> {
        let used = self.window.calls(now);
        let active_limit = self.active_limit.as_mut()?;
        let limit = active_limit.limit;
        let until_expired = || self.window.time_until_expired(used + 1 - limit.max_calls(), now);
        let wait = if used < limit.max_calls() {
            active_limit.bucket.time_until_token(now)
        } else {
            Some(until_expired())
        };
        let programs =
            self.programs.get_or_insert_with(|| ProgramAdmission::new(limit.window, used == 0, now));
        if let Some(wait) = wait {
            programs.record_refusal(program, now);
            return Some(self.schedule_retry(wait, limit, now));
        }
        let new_program = program.filter(|program| !programs.has_started(*program, now));
        new_program.and_then(|_| programs.start_delay(used, limit, call_stats, now))
    }

    /// Whether programs currently run to their end, so that they show how many calls a program makes.
    pub(crate) fn is_uncongested(&self, now: Timestamp) -> bool {
        self.programs.as_ref().is_some_and(|programs| programs.is_uncongested(now))
    }

    /// Counts a call; returns whether it starts a program.
    pub(crate) fn admit(&mut self, program: Option<u64>, now: Timestamp) -> bool {
        self.add_calls(1, now);
        self.own_window.add(1, now);
        self.own_total += 1;
        let programs = self.programs.as_mut().zip(program);
        programs.is_some_and(|(programs, program)| programs.record_call(program, now))
    }

    /// Calls admitted by this node, as reported to the other nodes.
    pub(crate) fn total(&mut self, now: Timestamp) -> TenantTotal {
        TenantTotal { calls: self.own_total, recent: self.own_window.calls(now) }
    }

    /// Records that the calls admitted so far are being reported.
    pub(crate) fn record_report(&mut self, now: Timestamp) {
        if self.reports.len() >= MAX_PENDING_REPORTS {
            self.reports.pop_back();
        }
        self.reports.push_back(Report { at: now, own_total: self.own_total });
    }

    /// Calls admitted by this node that are in no report sent by `acknowledged`.
    pub(crate) fn unacknowledged(&mut self, acknowledged: Timestamp) -> u64 {
        while self.reports.get(1).is_some_and(|report| report.at <= acknowledged) {
            self.reports.pop_front();
        }
        let newest_acknowledged = self.reports.front().filter(|report| report.at <= acknowledged);
        self.own_total - newest_acknowledged.map_or(0, |report| report.own_total)
    }

    /// Delay after which a refused caller should retry: at least `wait`, and one call interval after the
    /// previous refused caller.
    fn schedule_retry(&mut self, wait: Duration, limit: QuotaLimit, now: Timestamp) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / limit.per_second.max(1.0));
        let retry_at = (now + wait.max(MIN_RETRY_AFTER)).max(self.last_retry_at + interval);
        self.last_retry_at = retry_at.min(now + limit.window);
        self.last_retry_at.since(now)
    }
}
