//! The queue of one node before the engines of one service.
//!
//! Needed when load is larger than the room: engines admit in the order of arrival, so what is sent to full engines can't
//! be put in order any more. The node keeps back what is beyond its [`shares`] of the room, lets it in by
//! [`program_order`], and refuses at once what can't be served, with the time at which room is expected.
//!
//! A state machine: it takes what happened and answers with what to do. It reads no clock and knows no engines.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::PriorityRank;
use crate::end_rate::EndRate;
use crate::program_order::{ProgramStage, QueuedCall, is_starving, program_order};
use crate::return_times::ReturnTimes;
use crate::shares::{RankDemand, RankShare, ServiceRoom, shares};
use crate::waiting_list::{Waiting, WaitingList};

/// Weight of a new observation of how long calls take at engines.
const LEARNING_RATE: f64 = 0.1;
/// Expected waits are cut off here; no caller waits for so long.
const LONGEST_EXPECTED_WAIT: Duration = Duration::from_secs(3600);
/// A share is rounded to the nearest whole call where the node doesn't tell its number.
const ROUNDING: f64 = 0.5;
/// The fractional part of the golden ratio: its multiples fill an interval evenly.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// A call at this node, while it waits or is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQueueSettings {
    /// Calls that may wait.
    pub most_waiting: usize,
    /// Bytes that waiting calls may hold together.
    pub most_bytes: usize,
    /// A call that waited for so long goes before all others.
    pub starvation_bound: Duration,
    /// Share of the program's time that its first call may wait, also when it comes back after a refusal. Programs make about
    /// ten calls and may wait before each, so one that spends more on the first ends late.
    pub first_wait_share: f64,
    /// A number of its own for each node, by which nodes round their shares at different points: shares of less than half a
    /// call at every node would otherwise leave engines idle.
    pub node_number: Option<u64>,
}

impl Default for ServiceQueueSettings {
    fn default() -> Self {
        Self {
            most_waiting: 256,
            most_bytes: 8 << 20,
            starvation_bound: Duration::from_millis(1500),
            first_wait_share: 0.1,
            node_number: None,
        }
    }
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its caller will have left before it could be answered.
    CannotBeAnswered,
    /// Its program would begin too late to end in time.
    ProgramTooLate,
    /// No more calls, or bytes, may wait.
    QueueFull,
}

impl RefusalReason {
    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::CannotBeAnswered => "cannot_be_answered",
            RefusalReason::ProgramTooLate => "program_too_late",
            RefusalReason::QueueFull => "queue_full",
        }
    }
}

/// What a queue wants done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceQueueAction {
    /// The call may go to an engine now.
    LetIn {
        /// The call.
        ticket: QueueTicket,
        /// How long it waited.
        waited: Duration,
    },
    /// The call is refused; it has not run.
    Refuse {
        /// The call.
        ticket: QueueTicket,
        /// Why.
        reason: RefusalReason,
        /// How long it waited.
        waited: Duration,
        /// How much longer it would have waited, as far as is known.
        expected_wait: Duration,
        /// When room is expected for it.
        retry_after: Duration,
    },
}

/// A call under way at an engine.
#[derive(Debug, Clone, Copy)]
struct Running {
    rank: PriorityRank,
    since: Timestamp,
}

/// The queue of one node before the engines of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    settings: ServiceQueueSettings,
    waiting: WaitingList<QueueTicket, QueuedCall>,
    bytes: usize,
    running: BTreeMap<QueueTicket, Running>,
    room: Option<ServiceRoom>,
    others: Vec<RankDemand>,
    /// Seconds that calls take at engines, where some ended.
    call_seconds: Option<f64>,
    returns: ReturnTimes,
    ends: EndRate,
}

impl ServiceQueue {
    /// An empty queue before engines of which nothing is known: until something is, all calls are let in.
    pub fn new(settings: ServiceQueueSettings) -> Self {
        Self {
            settings,
            waiting: WaitingList::new(settings.most_waiting),
            bytes: 0,
            running: BTreeMap::new(),
            room: None,
            others: Vec::new(),
            call_seconds: None,
            returns: ReturnTimes::default(),
            ends: EndRate::default(),
        }
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls under way at engines.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The room that is believed in.
    pub fn room(&self) -> Option<&ServiceRoom> {
        self.room.as_ref()
    }

    /// Calls of this node, by rank.
    pub fn demand(&self, now: Timestamp) -> Vec<RankDemand> {
        let mut by_rank: BTreeMap<PriorityRank, RankDemand> = BTreeMap::new();
        for running in self.running.values() {
            by_rank.entry(running.rank).or_insert_with(|| none_of(running.rank)).running += 1.0;
        }
        for (_, waiting) in self.waiting.iter() {
            let rank = waiting.call.rank_now(now);
            by_rank.entry(rank).or_insert_with(|| none_of(rank)).waiting += 1.0;
        }
        by_rank.into_values().collect()
    }

    /// The room, where anything is known of it, and the demand of other nodes were learned anew.
    pub fn room_changed(
        &mut self,
        room: Option<ServiceRoom>,
        others: Vec<RankDemand>,
        now: Timestamp,
    ) -> Vec<ServiceQueueAction> {
        self.room = room;
        self.others = others;
        self.proceed(now)
    }

    /// A call wants to go to an engine.
    pub fn arrived(
        &mut self,
        ticket: QueueTicket,
        call: QueuedCall,
        now: Timestamp,
    ) -> Vec<ServiceQueueAction> {
        let mut actions = Vec::new();
        if self.waiting.is_full() || self.holds_too_much_with(&call) {
            actions.extend(self.make_place(&call, now));
        }
        if self.holds_too_much_with(&call) || self.waiting.push(ticket, call, now).is_err() {
            let expected_wait = self.wait_of_last(&call, now);
            actions.push(self.refusal(ticket, RefusalReason::QueueFull, Duration::ZERO, expected_wait, now));
            return actions;
        }
        self.bytes += call.bytes;
        actions.extend(self.proceed(now));
        actions
    }

    /// Whether waiting calls would hold more than they may. One call may wait whatever its size, as it may find room at once.
    fn holds_too_much_with(&self, call: &QueuedCall) -> bool {
        !self.waiting.is_empty() && self.bytes + call.bytes > self.settings.most_bytes
    }

    /// A call's caller left before it was served, or no engine served it: that says nothing of how fast engines are.
    pub fn gave_up(&mut self, ticket: QueueTicket, now: Timestamp) -> Vec<ServiceQueueAction> {
        if self.take(ticket).is_none() {
            self.running.remove(&ticket);
        }
        self.proceed(now)
    }

    /// A call's caller left, or an engine served the call.
    pub fn ended(&mut self, ticket: QueueTicket, now: Timestamp) -> Vec<ServiceQueueAction> {
        if self.take(ticket).is_none()
            && let Some(running) = self.running.remove(&ticket)
        {
            self.learn(now.since(running.since));
            self.ends.ended(now);
        }
        self.proceed(now)
    }

    /// When the caller of a call comes back that was let in, but that no engine took; [`Self::gave_up`] is told besides.
    pub fn return_of_turned_away(&mut self, now: Timestamp) -> Duration {
        self.returns.next(Duration::ZERO, self.ends.per_second(now), now)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        self.proceed(now)
    }

    /// Lets in what there is room for, and refuses what can't be served any more.
    fn proceed(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        let mut actions = self.let_in(now);
        actions.extend(self.refuse_unservable(now));
        actions
    }

    fn let_in(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        let mut actions = Vec::new();
        if self.waiting.is_empty() {
            return actions;
        }
        let shares = self.shares(now);
        while let Some(ticket) = self.next(shares.as_deref(), now) {
            let Some(waiting) = self.take(ticket) else { break };
            let rank = waiting.call.rank_now(now);
            self.running.insert(ticket, Running { rank, since: now });
            actions.push(ServiceQueueAction::LetIn { ticket, waited: now.since(waiting.since) });
        }
        actions
    }

    /// The first call in order for which there is room.
    fn next(&self, shares: Option<&[RankShare]>, now: Timestamp) -> Option<QueueTicket> {
        let bound = self.settings.starvation_bound;
        let rooms = shares.map(|shares| self.ranks_with_room(shares, now));
        let room_for_any = shares.is_none_or(|shares| self.has_room(PriorityRank::MAX, shares));
        let has_room = |waiting: &Waiting<QueuedCall>| match &rooms {
            None => true,
            Some(_) if is_starving(&waiting.call, waiting.since, now, bound) => room_for_any,
            Some(ranks) => ranks.contains(&waiting.call.rank_now(now)),
        };
        let candidates = self.waiting.iter().filter(|(_, waiting)| has_room(waiting));
        let first =
            candidates.min_by_key(|(_, waiting)| program_order(&waiting.call, waiting.since, now, bound));
        first.map(|(ticket, _)| ticket)
    }

    fn ranks_with_room(&self, shares: &[RankShare], now: Timestamp) -> Vec<PriorityRank> {
        let ranks = shares.iter().map(|share| share.rank);
        ranks.filter(|rank| self.rank_has_room(*rank, shares, now) && self.has_room(*rank, shares)).collect()
    }

    /// Whether there is room for one more call beside those of a rank and of higher ones.
    fn has_room(&self, rank: PriorityRank, shares: &[RankShare]) -> bool {
        let all: f64 = shares.iter().filter(|share| share.rank <= rank).map(|share| share.calls).sum();
        let running = self.running.values().filter(|running| running.rank <= rank).count();
        (running as f64) < all + ROUNDING
    }

    fn rank_has_room(&self, rank: PriorityRank, shares: &[RankShare], now: Timestamp) -> bool {
        let share = shares.iter().find(|share| share.rank == rank).map_or(0.0, |share| share.calls);
        let running = self.running.values().filter(|running| running.rank == rank).count();
        running as f64 + 1.0 <= share + self.rounding(now)
    }

    /// What is added to a share before it is cut to whole calls: another number at each node, and from second to second.
    fn rounding(&self, now: Timestamp) -> f64 {
        let Some(number) = self.settings.node_number else { return ROUNDING };
        let of_node = number as f64 / u64::MAX as f64;
        (of_node + now.as_seconds().floor() * GOLDEN_STEP).fract()
    }

    /// This node's shares of the room; `None` where nothing is known of it.
    fn shares(&self, now: Timestamp) -> Option<Vec<RankShare>> {
        let room = self.room?;
        Some(shares(&room, &self.demand(now), &self.others))
    }

    fn refuse_unservable(&mut self, now: Timestamp) -> Vec<ServiceQueueAction> {
        let refused = self.unservable(now);
        let mut actions = Vec::with_capacity(refused.len());
        for (ticket, reason, expected_wait) in refused {
            let Some(waiting) = self.take(ticket) else { continue };
            let waited = now.since(waiting.since);
            actions.push(self.refusal(ticket, reason, waited, expected_wait, now));
        }
        actions
    }

    fn reason_to_refuse(
        &self,
        waiting: &Waiting<QueuedCall>,
        wait: Duration,
        now: Timestamp,
    ) -> Option<RefusalReason> {
        let call = &waiting.call;
        let let_in_at = now + wait;
        if !call.can_be_answered(let_in_at) {
            return Some(RefusalReason::CannotBeAnswered);
        }
        let end = call.program_end.filter(|_| call.stage != ProgramStage::UnderWay)?;
        let patience = end.since(waiting.since).mul_f64(self.settings.first_wait_share);
        (let_in_at > waiting.since + patience).then_some(RefusalReason::ProgramTooLate)
    }

    /// Waiting calls that can't be served, with how long they would wait.
    fn unservable(&self, now: Timestamp) -> Vec<(QueueTicket, RefusalReason, Duration)> {
        let mut refused = Vec::new();
        if self.waiting.is_empty() {
            return refused;
        }
        let shares = self.shares(now);
        let bound = self.settings.starvation_bound;
        let mut in_order: Vec<_> = self.waiting.iter().collect();
        in_order.sort_by_cached_key(|(_, waiting)| program_order(&waiting.call, waiting.since, now, bound));
        let mut since: Vec<Timestamp> = in_order.iter().map(|(_, waiting)| waiting.since).collect();
        since.sort_unstable();
        let mut before: BTreeMap<PriorityRank, usize> = BTreeMap::new();
        for (ticket, waiting) in in_order {
            let rank = waiting.call.rank_now(now);
            let place = before.entry(rank).or_default();
            // Calls that are refused now count too: while they are short of room, as many go on to arrive.
            *place += 1;
            let mut wait = self.wait_in_rank(rank, *place, shares.as_deref());
            if let Some(goes_first_at) = self.goes_first_at(waiting, now) {
                let longer = since.partition_point(|since| *since < waiting.since);
                let behind = self.wait_behind(longer, shares.as_deref());
                wait = wait.min(goes_first_at.since(now) + behind);
            }
            if let Some(reason) = self.reason_to_refuse(waiting, wait, now) {
                refused.push((ticket, reason, wait));
            }
        }
        refused
    }

    /// When a call goes first for having waited so long, if it does: new programs don't count on it, they are refused while it
    /// costs them little.
    fn goes_first_at(&self, waiting: &Waiting<QueuedCall>, now: Timestamp) -> Option<Timestamp> {
        let bound = self.settings.starvation_bound;
        let at = now.max(waiting.since + bound);
        let counts_on_it = at == now || waiting.call.stage == ProgramStage::UnderWay;
        (counts_on_it && is_starving(&waiting.call, waiting.since, at, bound)).then_some(at)
    }

    /// How long the call at a place among those of its rank waits.
    fn wait_in_rank(&self, rank: PriorityRank, place: usize, shares: Option<&[RankShare]>) -> Duration {
        let share = shares.unwrap_or_default().iter().find(|share| share.rank == rank);
        self.time_to_let_in(place, share.map_or(0.0, |share| share.calls))
    }

    /// How long a call waits that goes next but for some others, whatever their ranks.
    fn wait_behind(&self, others: usize, shares: Option<&[RankShare]>) -> Duration {
        let all = shares.unwrap_or_default().iter().map(|share| share.calls).sum();
        self.time_to_let_in(others, all)
    }

    /// Time until so many calls are let in where so many may be under way; none where nothing is known.
    fn time_to_let_in(&self, calls: usize, may_run: f64) -> Duration {
        let Some(call_seconds) = self.call_seconds.filter(|_| may_run > 0.0) else { return Duration::ZERO };
        let seconds = calls as f64 * call_seconds / may_run;
        Duration::from_secs_f64(seconds.min(LONGEST_EXPECTED_WAIT.as_secs_f64()))
    }

    /// How long a call waits that would be the last of its rank.
    fn wait_of_last(&self, call: &QueuedCall, now: Timestamp) -> Duration {
        let rank = call.rank_now(now);
        let of_rank = self.waiting.iter().filter(|(_, waiting)| waiting.call.rank_now(now) == rank);
        self.wait_in_rank(rank, of_rank.count() + 1, self.shares(now).as_deref())
    }

    /// Refuses the last calls in order that are behind a call that arrives, as many as it needs the place of; none where
    /// they don't hold enough.
    fn make_place(&mut self, call: &QueuedCall, now: Timestamp) -> Vec<ServiceQueueAction> {
        let bound = self.settings.starvation_bound;
        let own_key = program_order(call, now, now, bound);
        let key = |waiting: &Waiting<QueuedCall>| program_order(&waiting.call, waiting.since, now, bound);
        let mut behind: Vec<_> = self.waiting.iter().filter(|(_, waiting)| key(waiting) >= own_key).collect();
        behind.sort_by_cached_key(|(_, waiting)| Reverse(key(waiting)));
        let (mut places, mut bytes, mut last) = (self.waiting.len(), self.bytes + call.bytes, Vec::new());
        for (ticket, waiting) in behind {
            if places < self.settings.most_waiting && bytes <= self.settings.most_bytes {
                break;
            }
            places -= 1;
            bytes -= waiting.call.bytes;
            last.push(ticket);
        }
        if places >= self.settings.most_waiting || bytes > self.settings.most_bytes {
            return Vec::new();
        }
        last.into_iter().filter_map(|ticket| self.refuse_as_full(ticket, now)).collect()
    }

    fn refuse_as_full(&mut self, ticket: QueueTicket, now: Timestamp) -> Option<ServiceQueueAction> {
        let waiting = self.take(ticket)?;
        let expected_wait = self.wait_of_last(&waiting.call, now);
        Some(self.refusal(ticket, RefusalReason::QueueFull, now.since(waiting.since), expected_wait, now))
    }

    fn refusal(
        &mut self,
        ticket: QueueTicket,
        reason: RefusalReason,
        waited: Duration,
        expected_wait: Duration,
        now: Timestamp,
    ) -> ServiceQueueAction {
        let retry_after = self.returns.next(expected_wait, self.ends.per_second(now), now);
        ServiceQueueAction::Refuse { ticket, reason, waited, expected_wait, retry_after }
    }

    fn take(&mut self, ticket: QueueTicket) -> Option<Waiting<QueuedCall>> {
        let waiting = self.waiting.remove(ticket)?;
        self.bytes = self.bytes.saturating_sub(waiting.call.bytes);
        Some(waiting)
    }

    fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let average = self.call_seconds.get_or_insert(took);
        *average += LEARNING_RATE * (took - *average);
    }
}

fn none_of(rank: PriorityRank) -> RankDemand {
    RankDemand { rank, running: 0.0, waiting: 0.0 }
}
