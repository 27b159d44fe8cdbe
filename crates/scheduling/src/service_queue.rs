//! Admission queue of one node for the engines of one service.
//!
//! Engines admit calls in order of arrival, so calls sent to full engines can no longer be ordered. The node holds back what
//! exceeds its shares of the capacity ([`allocate_shares`]), admits it by [`program_order_key`], and rejects calls that can't
//! be served as soon as that is known, with a retry time.
//!
//! A state machine: events return the actions to carry out. It reads no clock and knows no engines.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::PriorityRank;
use crate::completion_rate::CompletionRate;
use crate::program_order::{ProgramStage, QueuedCall, is_starving, program_order_key};
use crate::retry_schedule::RetrySchedule;
use crate::shares::{RankDemand, RankShare, ServiceCapacity, allocate_shares};
use crate::waiting_list::{WaitingCall, WaitingList};

/// Weight of a new sample in the average call duration.
const LEARNING_RATE: f64 = 0.1;
/// Upper bound on expected waits, longer than any caller waits.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(3600);
/// Rounds a share to the nearest whole call.
const DEFAULT_ROUNDING_OFFSET: f64 = 0.5;
/// Fractional part of the golden ratio: its multiples modulo 1 are evenly distributed.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// Identifies a call at this node while it waits or is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// Limits of a node's queue.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQueueSettings {
    /// Maximum waiting calls.
    pub max_waiting: usize,
    /// Maximum bytes that waiting calls hold in total.
    pub max_waiting_bytes: usize,
    /// Waiting time after which a call precedes all others.
    pub starvation_bound: Duration,
    /// Fraction of the program's time that its first call may wait, also when it is retried. Programs make about ten calls and
    /// may wait before each, so one that waits longer for the first ends late.
    pub max_first_wait_fraction: f64,
    /// Number unique to the node, from which nodes derive different rounding offsets for their shares. Otherwise shares of
    /// less than half a call at every node would leave engines idle.
    pub node_number: Option<u64>,
}

impl Default for ServiceQueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            max_waiting_bytes: 8 << 20,
            starvation_bound: Duration::from_millis(1500),
            max_first_wait_fraction: 0.1,
            node_number: None,
        }
    }
}

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// It can't be answered before the caller stops waiting.
    CannotBeAnswered,
    /// Its program would start too late to end in time.
    ProgramTooLate,
    /// The limit on waiting calls or their bytes is reached.
    QueueFull,
}

impl RejectionReason {
    /// Value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionReason::CannotBeAnswered => "cannot_be_answered",
            RejectionReason::ProgramTooLate => "program_too_late",
            RejectionReason::QueueFull => "queue_full",
        }
    }
}

/// An action that the queue's holder has to carry out.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub enum ServiceQueueAction {
    /// The call is admitted and may be sent to an engine.
    Admit { ticket: QueueTicket, waited: Duration },
    /// The call is rejected; it has not run.
    Reject {
        ticket: QueueTicket,
        reason: RejectionReason,
        waited: Duration,
        /// Estimated further wait; zero where no estimate exists.
        expected_wait: Duration,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct RunningCall {
    rank: PriorityRank,
    started_at: Timestamp,
}

/// Admission queue of one node for the engines of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    settings: ServiceQueueSettings,
    waiting: WaitingList<QueueTicket, QueuedCall>,
    bytes: usize,
    running: BTreeMap<QueueTicket, RunningCall>,
    capacity: Option<ServiceCapacity>,
    peer_demand: Vec<RankDemand>,
    /// Average call duration at engines; `None` until a call completed.
    call_seconds: Option<f64>,
    retry_schedule: RetrySchedule,
    completions: CompletionRate,
}

impl ServiceQueue {
    /// Starts empty, with unknown capacity: until it is known, all calls are admitted.
    pub fn new(settings: ServiceQueueSettings) -> Self {
        Self {
            settings,
            waiting: WaitingList::new(settings.max_waiting),
            bytes: 0,
            running: BTreeMap::new(),
            capacity: None,
            peer_demand: Vec::new(),
            call_seconds: None,
            retry_schedule: RetrySchedule::default(),
            completions: CompletionRate::default(),
        }
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of calls in flight at engines.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The capacity as last updated; `None` if unknown.
    pub fn capacity(&self) -> Option<&ServiceCapacity> {
        self.capacity.as_ref()
    }

    /// This node's calls by rank.
    pub fn demand(&self, now: Timestamp) -> Vec<RankDemand> {
        let mut by_rank: BTreeMap<PriorityRank, RankDemand> = BTreeMap::new();
        for running in self.running.values() {
            by_rank.entry(running.rank).or_insert_with(|| empty_demand(running.rank)).running += 1.0;
        }
        for (_, waiting) in self.waiting.iter() {
            let rank = waiting.call.effective_rank(now);
            by_rank.entry(rank).or_insert_with(|| empty_demand(rank)).waiting += 1.0;
        }
        by_rank.into_values().collect()
    }

    /// Updates the capacity (`None` if unknown) and the demand of peers.
    pub fn update_capacity(
        &mut self,
        capacity: Option<ServiceCapacity>,
        peer_demand: Vec<RankDemand>,
        now: Timestamp,
    ) -> Vec<ServiceQueueAction> {
        self.capacity = capacity;
        self.peer_demand = peer_demand;
        self.process_queue(now)
    }

    /// Adds a call, which may be admitted or rejected at once.
    pub fn enqueue(
        &mut self,
        ticket: QueueTicket,
        call: QueuedCall,
        now: Timestamp,
    ) -> Vec<ServiceQueueAction> {
        let mut actions = Vec::new();
        if self.waiting.is_full() || self.exceeds_byte_limit_with(&call) {
            actions.extend(self.reject_to_fit(&call, now));
        }
        if self.exceeds_byte_limit_with(&call) || self.waiting.push(ticket, call, now).is_err() {
            let expected_wait = self.expected_wait_at_end(&call, now);
            actions.push(self.rejection(
                ticket,
                RejectionReason::QueueFull,
                Duration::ZERO,
                expected_wait,
                now,
            ));
            return actions;
        }
        self.bytes += call.bytes;
        actions.extend(self.process_queue(now));
        actions
    }

    /// Whether a call would exceed the byte limit. The first waiting call never does, as it may be admitted at once.
    fn exceeds_byte_limit_with(&self, call: &QueuedCall) -> bool {
        !self.waiting.is_empty() && self.bytes + call.bytes > self.settings.max_waiting_bytes
    }

    /// Removes a call that no engine served. Unlike [`Self::record_completed`], this doesn't count as a completion.
    pub fn record_abandoned(&mut self, ticket: QueueTicket, now: Timestamp) -> Vec<ServiceQueueAction> {
        if self.take(ticket).is_none() {
            self.running.remove(&ticket);
        }
        self.process_queue(now)
    }

    /// Removes a waiting call whose caller left, or completes one that was in flight.
    pub fn record_completed(&mut self, ticket: QueueTicket, now: Timestamp) -> Vec<ServiceQueueAction> {
        if self.take(ticket).is_none()
            && let Some(running) = self.running.remove(&ticket)
        {
            self.record_call_time(now.since(running.started_at));
            self.completions.record_completion(now);
        }
        self.process_queue(now)
    }

    /// Retry delay for a call that was admitted but that no engine accepted. [`Self::record_abandoned`] has to be
    /// called as well.
    pub fn retry_after_engine_rejection(&mut self, now: Timestamp) -> Duration {
        self.retry_schedule.schedule_retry(Duration::ZERO, self.completions.per_second(now), now)
    }

    /// Admits and rejects calls after time has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        self.process_queue(now)
    }

    fn process_queue(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        let mut actions = self.admit_waiting(now);
        actions.extend(self.reject_unservable(now));
        actions
    }

    fn admit_waiting(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        let mut actions = Vec::new();
        if self.waiting.is_empty() {
            return actions;
        }
        let shares = self.shares(now);
        while let Some(ticket) = self.next_admissible(shares.as_deref(), now) {
            let Some(waiting) = self.take(ticket) else { break };
            let rank = waiting.call.effective_rank(now);
            self.running.insert(ticket, RunningCall { rank, started_at: now });
            actions.push(ServiceQueueAction::Admit { ticket, waited: now.since(waiting.enqueued_at) });
        }
        actions
    }

    /// The first call in order that the shares admit.
    fn next_admissible(&self, shares: Option<&[RankShare]>, now: Timestamp) -> Option<QueueTicket> {
        let bound = self.settings.starvation_bound;
        let admissible_ranks = shares.map(|shares| self.ranks_with_capacity(shares, now));
        let has_any_capacity = shares.is_none_or(|shares| self.has_capacity(PriorityRank::MAX, shares));
        let has_capacity = |waiting: &WaitingCall<QueuedCall>| match &admissible_ranks {
            None => true,
            Some(_) if is_starving(&waiting.call, waiting.enqueued_at, now, bound) => has_any_capacity,
            Some(ranks) => ranks.contains(&waiting.call.effective_rank(now)),
        };
        let candidates = self.waiting.iter().filter(|(_, waiting)| has_capacity(waiting));
        let first = candidates
            .min_by_key(|(_, waiting)| program_order_key(&waiting.call, waiting.enqueued_at, now, bound));
        first.map(|(ticket, _)| ticket)
    }

    fn ranks_with_capacity(&self, shares: &[RankShare], now: Timestamp) -> Vec<PriorityRank> {
        let ranks = shares.iter().map(|share| share.rank);
        ranks
            .filter(|rank| self.rank_has_capacity(*rank, shares, now) && self.has_capacity(*rank, shares))
            .collect()
    }

    /// Whether one more call fits beside those of this rank and of higher ones.
    fn has_capacity(&self, rank: PriorityRank, shares: &[RankShare]) -> bool {
        let all: f64 = shares.iter().filter(|share| share.rank <= rank).map(|share| share.calls).sum();
        let running = self.running.values().filter(|running| running.rank <= rank).count();
        (running as f64) < all + DEFAULT_ROUNDING_OFFSET
    }

    fn rank_has_capacity(&self, rank: PriorityRank, shares: &[RankShare], now: Timestamp) -> bool {
        let share = shares.iter().find(|share| share.rank == rank).map_or(0.0, |share| share.calls);
        let running = self.running.values().filter(|running| running.rank == rank).count();
        running as f64 + 1.0 <= share + self.rounding_offset(now)
    }

    /// Added to a share before it is cut to whole calls; differs between nodes and from second to second.
    fn rounding_offset(&self, now: Timestamp) -> f64 {
        let Some(node_number) = self.settings.node_number else { return DEFAULT_ROUNDING_OFFSET };
        let node_offset = node_number as f64 / u64::MAX as f64;
        (node_offset + now.as_seconds().floor() * GOLDEN_STEP).fract()
    }

    /// This node's shares; `None` if the capacity is unknown.
    fn shares(&self, now: Timestamp) -> Option<Vec<RankShare>> {
        let capacity = self.capacity?;
        Some(allocate_shares(&capacity, &self.demand(now), &self.peer_demand))
    }

    fn reject_unservable(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        let rejected = self.find_unservable(now);
        let mut actions = Vec::with_capacity(rejected.len());
        for (ticket, reason, expected_wait) in rejected {
            let Some(waiting) = self.take(ticket) else { continue };
            let waited = now.since(waiting.enqueued_at);
            actions.push(self.rejection(ticket, reason, waited, expected_wait, now));
        }
        actions
    }

    fn rejection_reason(
        &self,
        waiting: &WaitingCall<QueuedCall>,
        wait: Duration,
        now: Timestamp,
    ) -> Option<RejectionReason> {
        let call = &waiting.call;
        let admitted_at = now + wait;
        if !call.can_meet_deadline(admitted_at) {
            return Some(RejectionReason::CannotBeAnswered);
        }
        let program_deadline = call.program_deadline.filter(|_| call.stage != ProgramStage::InProgress)?;
        let max_wait =
            program_deadline.since(waiting.enqueued_at).mul_f64(self.settings.max_first_wait_fraction);
        (admitted_at > waiting.enqueued_at + max_wait).then_some(RejectionReason::ProgramTooLate)
    }

    /// Waiting calls that can't be served in time, with their expected waits.
    fn find_unservable(&self, now: Timestamp) -> Vec<(QueueTicket, RejectionReason, Duration)> {
        let mut rejected = Vec::new();
        if self.waiting.is_empty() {
            return rejected;
        }
        let shares = self.shares(now);
        let bound = self.settings.starvation_bound;
        let mut in_order: Vec<_> = self.waiting.iter().collect();
        in_order.sort_by_cached_key(|(_, waiting)| {
            program_order_key(&waiting.call, waiting.enqueued_at, now, bound)
        });
        let mut enqueue_times: Vec<Timestamp> =
            in_order.iter().map(|(_, waiting)| waiting.enqueued_at).collect();
        enqueue_times.sort_unstable();
        let mut positions: BTreeMap<PriorityRank, usize> = BTreeMap::new();
        for (ticket, waiting) in in_order {
            let rank = waiting.call.effective_rank(now);
            let position = positions.entry(rank).or_default();
            // Calls rejected now count too: while capacity is short, as many keep arriving.
            *position += 1;
            let mut wait = self.expected_wait_in_rank(rank, *position, shares.as_deref());
            if let Some(precedence_at) = self.precedence_time(waiting, now) {
                let ahead = enqueue_times.partition_point(|enqueued_at| *enqueued_at < waiting.enqueued_at);
                let wait_behind = self.expected_wait_behind(ahead, shares.as_deref());
                wait = wait.min(precedence_at.since(now) + wait_behind);
            }
            if let Some(reason) = self.rejection_reason(waiting, wait, now) {
                rejected.push((ticket, reason, wait));
            }
        }
        rejected
    }

    /// When a call takes precedence because it is starving. `None` for calls that never do and, until they starve, for first
    /// calls: these are better rejected early, when it costs their programs little.
    fn precedence_time(&self, waiting: &WaitingCall<QueuedCall>, now: Timestamp) -> Option<Timestamp> {
        let bound = self.settings.starvation_bound;
        let starves_at = now.max(waiting.enqueued_at + bound);
        let can_wait_for_it = starves_at == now || waiting.call.stage == ProgramStage::InProgress;
        (can_wait_for_it && is_starving(&waiting.call, waiting.enqueued_at, starves_at, bound))
            .then_some(starves_at)
    }

    /// Expected wait of the call at a position among those of its rank.
    fn expected_wait_in_rank(
        &self,
        rank: PriorityRank,
        position: usize,
        shares: Option<&[RankShare]>,
    ) -> Duration {
        let share = shares.unwrap_or_default().iter().find(|share| share.rank == rank);
        self.time_to_admit(position, share.map_or(0.0, |share| share.calls))
    }

    /// Expected wait behind a number of calls of any rank.
    fn expected_wait_behind(&self, calls_ahead: usize, shares: Option<&[RankShare]>) -> Duration {
        let all = shares.unwrap_or_default().iter().map(|share| share.calls).sum();
        self.time_to_admit(calls_ahead, all)
    }

    /// Time until `calls` calls are admitted with at most `limit` in flight; zero if unknown.
    fn time_to_admit(&self, calls: usize, limit: f64) -> Duration {
        let Some(call_seconds) = self.call_seconds.filter(|_| limit > 0.0) else { return Duration::ZERO };
        let seconds = calls as f64 * call_seconds / limit;
        Duration::from_secs_f64(seconds.min(MAX_EXPECTED_WAIT.as_secs_f64()))
    }

    /// Expected wait of a call that would be the last of its rank.
    fn expected_wait_at_end(&self, call: &QueuedCall, now: Timestamp) -> Duration {
        let rank = call.effective_rank(now);
        let calls_of_rank =
            self.waiting.iter().filter(|(_, waiting)| waiting.call.effective_rank(now) == rank);
        self.expected_wait_in_rank(rank, calls_of_rank.count() + 1, self.shares(now).as_deref())
    }

    /// Rejects the last calls in order that rank behind an arriving call, as many as it needs to fit; none if rejecting all
    /// of them would not suffice.
    fn reject_to_fit(&mut self, call: &QueuedCall, now: Timestamp) -> Vec<ServiceQueueAction> {
        let bound = self.settings.starvation_bound;
        let own_key = program_order_key(call, now, now, bound);
        let key = |waiting: &WaitingCall<QueuedCall>| {
            program_order_key(&waiting.call, waiting.enqueued_at, now, bound)
        };
        let mut behind: Vec<_> = self.waiting.iter().filter(|(_, waiting)| key(waiting) >= own_key).collect();
        behind.sort_by_cached_key(|(_, waiting)| Reverse(key(waiting)));
        let (mut waiting_calls, mut bytes, mut evicted) =
            (self.waiting.len(), self.bytes + call.bytes, Vec::new());
        for (ticket, waiting) in behind {
            if waiting_calls < self.settings.max_waiting && bytes <= self.settings.max_waiting_bytes {
                break;
            }
            waiting_calls -= 1;
            bytes -= waiting.call.bytes;
            evicted.push(ticket);
        }
        if waiting_calls >= self.settings.max_waiting || bytes > self.settings.max_waiting_bytes {
            return Vec::new();
        }
        evicted.into_iter().filter_map(|ticket| self.reject_as_full(ticket, now)).collect()
    }

    fn reject_as_full(&mut self, ticket: QueueTicket, now: Timestamp) -> Option<ServiceQueueAction> {
        let waiting = self.take(ticket)?;
        let expected_wait = self.expected_wait_at_end(&waiting.call, now);
        Some(self.rejection(
            ticket,
            RejectionReason::QueueFull,
            now.since(waiting.enqueued_at),
            expected_wait,
            now,
        ))
    }

    fn rejection(
        &mut self,
        ticket: QueueTicket,
        reason: RejectionReason,
        waited: Duration,
        expected_wait: Duration,
        now: Timestamp,
    ) -> ServiceQueueAction {
        let retry_after =
            self.retry_schedule.schedule_retry(expected_wait, self.completions.per_second(now), now);
        ServiceQueueAction::Reject { ticket, reason, waited, expected_wait, retry_after }
    }

    fn take(&mut self, ticket: QueueTicket) -> Option<WaitingCall<QueuedCall>> {
        let waiting = self.waiting.remove(ticket)?;
        self.bytes = self.bytes.saturating_sub(waiting.call.bytes);
        Some(waiting)
    }

    fn record_call_time(&mut self, call_time: Duration) {
        let call_time = call_time.as_secs_f64();
        let average = self.call_seconds.get_or_insert(call_time);
        *average += LEARNING_RATE * (call_time - *average);
    }
}

fn empty_demand(rank: PriorityRank) -> RankDemand {
    RankDemand { rank, running: 0.0, waiting: 0.0 }
}
