//! The state machine of a node's queue, by itself.
//!
//! A caller that leaves is gone at once and never let in. The queue's bounds on calls and bytes hold, and the last in order is
//! the one refused. Who waited for too long goes first; whose program is late goes last; within a rank programs under way
//! go before returning ones and those before new ones. Every call is let in, refused or left, exactly once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use sumacdrift_scheduling::{
    ProgramStage, QueueTicket, QueuedCall, RankDemand, RefusalReason, ServiceQueue, ServiceQueueAction,
    ServiceQueueSettings, ServiceRoom,
};
use sumacdrift_types::Timestamp;

const USUAL: Duration = Duration::from_millis(300);
/// Calls that a full queue let in.
const HELD: std::ops::Range<u64> = 1_000_000..1_000_003;

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn call(rank: u32, stage: ProgramStage, now: Timestamp) -> QueuedCall {
    let program_end = Some(now + Duration::from_secs(60));
    let deadline = now + Duration::from_secs(30);
    QueuedCall { rank, stage, program_end, deadline, usual_time: USUAL, bytes: 100 }
}

fn new_call(rank: u32, now: Timestamp) -> QueuedCall {
    call(rank, ProgramStage::New, now)
}

fn room(slots: f64) -> ServiceRoom {
    ServiceRoom { slots, short_queue: 0.0, unranked: 0.0 }
}

/// A queue with room for so many calls.
fn queue_with_room(slots: f64) -> ServiceQueue {
    queue_with(ServiceQueueSettings::default(), slots)
}

fn queue_with(settings: ServiceQueueSettings, slots: f64) -> ServiceQueue {
    let mut queue = ServiceQueue::new(settings);
    assert!(queue.room_changed(Some(room(slots)), Vec::new(), at(0)).is_empty());
    queue
}

/// A queue with one place, before engines with more calls than that: until `HELD` calls ended none is let in.
fn full_queue() -> ServiceQueue {
    full_queue_with(ServiceQueueSettings::default(), 0)
}

fn full_queue_with(settings: ServiceQueueSettings, rank: u32) -> ServiceQueue {
    let mut queue = ServiceQueue::new(settings);
    for ticket in HELD {
        assert_eq!(let_in(&queue.arrived(QueueTicket(ticket), new_call(rank, at(0)), at(0))), [ticket]);
    }
    assert!(queue.room_changed(Some(room(1.0)), Vec::new(), at(0)).is_empty());
    queue
}

fn let_in(actions: &[ServiceQueueAction]) -> Vec<u64> {
    let ticket = |action: &ServiceQueueAction| match action {
        ServiceQueueAction::LetIn { ticket, .. } => Some(ticket.0),
        ServiceQueueAction::Refuse { .. } => None,
    };
    actions.iter().filter_map(ticket).collect()
}

fn refused(actions: &[ServiceQueueAction]) -> Vec<(u64, RefusalReason)> {
    let ticket = |action: &ServiceQueueAction| match action {
        ServiceQueueAction::Refuse { ticket, reason, .. } => Some((ticket.0, *reason)),
        ServiceQueueAction::LetIn { .. } => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// The calls in the order in which they are let in as those before them end.
fn order_of(queue: &mut ServiceQueue, now: Timestamp) -> Vec<u64> {
    let mut order = Vec::new();
    let mut running: Vec<u64> = HELD.collect();
    while let Some(ticket) = running.pop() {
        let next = let_in(&queue.ended(QueueTicket(ticket), now));
        order.extend(&next);
        running.extend(next);
    }
    order
}

#[test]
fn all_are_let_in_while_nothing_is_known() {
    let mut queue = ServiceQueue::new(ServiceQueueSettings::default());
    for ticket in 0..1_000 {
        assert_eq!(let_in(&queue.arrived(QueueTicket(ticket), new_call(2, at(0)), at(0))), [ticket]);
    }
}

#[test]
fn a_caller_that_leaves_is_gone_at_once() {
    let mut queue = full_queue();
    for ticket in 1..=3 {
        assert!(queue.arrived(QueueTicket(ticket), new_call(0, at(0)), at(0)).is_empty());
    }
    assert!(queue.ended(QueueTicket(1), at(1)).is_empty());
    assert_eq!(queue.waiting(), 2);
    let waiting: f64 = queue.demand(at(1)).iter().map(|demand| demand.waiting).sum();
    assert_eq!(waiting, 2.0);
    assert_eq!(order_of(&mut queue, at(2)), [2, 3]);
}

#[test]
fn the_last_in_order_is_refused_when_no_more_may_wait() {
    let mut queue = full_queue_with(ServiceQueueSettings { most_waiting: 2, ..Default::default() }, 0);
    assert!(queue.arrived(QueueTicket(1), new_call(2, at(0)), at(0)).is_empty());
    assert!(queue.arrived(QueueTicket(2), new_call(1, at(1)), at(1)).is_empty());
    let actions = queue.arrived(QueueTicket(3), new_call(0, at(2)), at(2));
    assert_eq!(refused(&actions), [(1, RefusalReason::QueueFull)]);
    let actions = queue.arrived(QueueTicket(4), new_call(2, at(3)), at(3));
    assert_eq!(refused(&actions), [(4, RefusalReason::QueueFull)]);
    assert_eq!(order_of(&mut queue, at(4)), [3, 2]);
}

#[test]
fn waiting_calls_hold_no_more_than_so_many_bytes() {
    let mut queue = full_queue_with(ServiceQueueSettings { most_bytes: 250, ..Default::default() }, 0);
    for ticket in [1, 2] {
        assert!(queue.arrived(QueueTicket(ticket), new_call(1, at(ticket)), at(ticket)).is_empty());
    }
    let actions = queue.arrived(QueueTicket(3), new_call(1, at(3)), at(3));
    assert_eq!(refused(&actions), [(3, RefusalReason::QueueFull)]);
    let actions = queue.arrived(QueueTicket(4), new_call(0, at(4)), at(4));
    assert_eq!(refused(&actions), [(2, RefusalReason::QueueFull)]);
}

#[test]
fn a_large_call_takes_the_place_of_as_many_as_it_needs_and_no_call_is_lost_for_nothing() {
    let mut queue = full_queue_with(ServiceQueueSettings { most_bytes: 250, ..Default::default() }, 0);
    for ticket in [1, 2] {
        assert!(queue.arrived(QueueTicket(ticket), new_call(1, at(ticket)), at(ticket)).is_empty());
    }
    let large = QueuedCall { bytes: 250, ..new_call(0, at(3)) };
    let actions = queue.arrived(QueueTicket(3), large, at(3));
    assert_eq!(refused(&actions), [(2, RefusalReason::QueueFull), (1, RefusalReason::QueueFull)]);
    let too_large = QueuedCall { bytes: 251, ..new_call(0, at(4)) };
    let actions = queue.arrived(QueueTicket(4), too_large, at(4));
    assert_eq!(refused(&actions), [(4, RefusalReason::QueueFull)]);
    assert_eq!(order_of(&mut queue, at(5)), [3]);
}

#[test]
fn who_waited_for_too_long_goes_first() {
    let bound = ServiceQueueSettings::default().starvation_bound;
    let mut queue = full_queue();
    assert!(queue.arrived(QueueTicket(1), new_call(2, at(0)), at(0)).is_empty());
    let later = at(0) + bound;
    assert!(queue.arrived(QueueTicket(2), new_call(0, later), later).is_empty());
    assert_eq!(order_of(&mut queue, later), [1, 2]);
}

#[test]
fn a_higher_rank_goes_first_until_then() {
    let bound = ServiceQueueSettings::default().starvation_bound;
    let mut queue = full_queue();
    let patient = QueuedCall { deadline: at(100_000), ..call(2, ProgramStage::UnderWay, at(1)) };
    assert!(queue.arrived(QueueTicket(1), patient, at(1)).is_empty());
    let later = at(0) + bound;
    assert!(queue.arrived(QueueTicket(2), new_call(0, later), later).is_empty());
    assert_eq!(order_of(&mut queue, later), [2, 1]);
}

#[test]
fn who_is_late_goes_behind_all_that_can_be_in_time_however_long_it_waits() {
    let bound = ServiceQueueSettings::default().starvation_bound;
    let mut queue = full_queue_with(ServiceQueueSettings::default(), 2);
    let late = QueuedCall {
        program_end: Some(at(100)),
        deadline: at(100_000),
        ..call(0, ProgramStage::UnderWay, at(0))
    };
    assert!(queue.arrived(QueueTicket(1), late, at(0)).is_empty());
    let later = at(0) + bound;
    assert!(queue.arrived(QueueTicket(2), new_call(2, later), later).is_empty());
    assert_eq!(order_of(&mut queue, later), [2, 1]);
}

#[test]
fn begun_programs_go_before_returning_ones_and_those_before_new_ones() {
    let mut queue = full_queue();
    let stages = [ProgramStage::New, ProgramStage::Returning, ProgramStage::UnderWay];
    for (ticket, stage) in (1..).zip(stages) {
        assert!(queue.arrived(QueueTicket(ticket), call(0, stage, at(ticket)), at(ticket)).is_empty());
    }
    assert_eq!(order_of(&mut queue, at(10)), [3, 2, 1]);
}

#[test]
fn the_program_that_ends_first_goes_first() {
    let mut queue = full_queue();
    for (ticket, end) in [(1, 40_000), (2, 20_000), (3, 30_000)] {
        let call = QueuedCall { program_end: Some(at(end)), ..call(0, ProgramStage::UnderWay, at(ticket)) };
        assert!(queue.arrived(QueueTicket(ticket), call, at(ticket)).is_empty());
    }
    assert_eq!(order_of(&mut queue, at(10)), [2, 3, 1]);
}

#[test]
fn a_call_is_refused_once_its_answer_would_come_too_late() {
    let mut queue = full_queue();
    let short = QueuedCall { deadline: at(400), ..call(0, ProgramStage::UnderWay, at(0)) };
    assert!(queue.arrived(QueueTicket(1), short, at(0)).is_empty());
    assert!(queue.tick(at(100)).is_empty());
    assert_eq!(refused(&queue.tick(at(200))), [(1, RefusalReason::CannotBeAnswered)]);
}

#[test]
fn a_first_call_is_refused_once_its_program_would_begin_too_late_also_if_it_returned() {
    let share = ServiceQueueSettings::default().first_wait_share;
    for stage in [ProgramStage::New, ProgramStage::Returning] {
        let mut queue = full_queue();
        let patience = Duration::from_secs(60).mul_f64(share);
        assert!(queue.arrived(QueueTicket(1), call(0, stage, at(0)), at(0)).is_empty());
        assert!(queue.tick(at(0) + patience).is_empty());
        let later = at(1) + patience;
        assert_eq!(refused(&queue.tick(later)), [(1, RefusalReason::ProgramTooLate)]);
    }
    let mut queue = full_queue();
    assert!(queue.arrived(QueueTicket(1), call(0, ProgramStage::UnderWay, at(0)), at(0)).is_empty());
    assert!(queue.tick(at(20_000)).is_empty(), "a begun program is held as long as its call can be answered");
}

#[test]
fn a_higher_rank_does_not_wait_for_lower_ones_beyond_their_share() {
    let mut queue = queue_with_room(4.0);
    for ticket in 0..4 {
        assert_eq!(let_in(&queue.arrived(QueueTicket(ticket), new_call(2, at(0)), at(0))), [ticket]);
    }
    // Another node tells a demand by which this one has far too many calls of rank 2 under way.
    let others = vec![RankDemand { rank: 0, running: 2.0, waiting: 0.0 }];
    assert!(queue.room_changed(Some(room(4.0)), others, at(1)).is_empty());
    assert_eq!(let_in(&queue.arrived(QueueTicket(9), new_call(0, at(2)), at(2))), [9]);
}

/// What is known of tickets while random things happen.
#[derive(Default)]
struct Fates {
    waiting: BTreeMap<u64, usize>,
    running: BTreeSet<u64>,
    over: BTreeSet<u64>,
}

impl Fates {
    fn note(&mut self, actions: &[ServiceQueueAction], seed: u64) {
        for action in actions {
            let (ServiceQueueAction::LetIn { ticket, .. } | ServiceQueueAction::Refuse { ticket, .. }) =
                action;
            let waited = self.waiting.remove(&ticket.0);
            assert!(waited.is_some(), "seed {seed}: {ticket:?} did not wait: {action:?}");
            match action {
                ServiceQueueAction::LetIn { .. } => self.running.insert(ticket.0),
                ServiceQueueAction::Refuse { .. } => self.over.insert(ticket.0),
            };
        }
    }
}

fn random_call(dice: &mut ChaCha8Rng, now: Timestamp) -> QueuedCall {
    let mut below = |bound: u64| dice.next_u64() % bound;
    let stage = [ProgramStage::New, ProgramStage::Returning, ProgramStage::UnderWay][below(3) as usize];
    let program_end = (below(4) > 0).then(|| now + Duration::from_millis(below(8_000)));
    QueuedCall {
        rank: below(4) as u32,
        stage,
        program_end,
        deadline: now + Duration::from_millis(below(5_000)),
        usual_time: Duration::from_millis(1 + below(600)),
        bytes: below(400) as usize,
    }
}

fn random_room(dice: &mut ChaCha8Rng) -> (ServiceRoom, Vec<RankDemand>) {
    let mut below = |bound: u64| (dice.next_u64() % bound) as f64;
    let room = ServiceRoom { slots: below(30), short_queue: below(8), unranked: below(12) };
    let demand = |rank| RankDemand { rank, running: below(20), waiting: below(20) };
    (room, (0..3).map(demand).collect())
}

fn pick(tickets: impl ExactSizeIterator<Item = u64> + Clone, dice: &mut ChaCha8Rng) -> Option<u64> {
    let number = dice.next_u64() as usize % tickets.len().max(1);
    tickets.clone().nth(number)
}

#[test]
fn every_call_is_let_in_refused_or_left_exactly_once() {
    const MOST_WAITING: usize = 12;
    const MOST_BYTES: usize = 3_000;
    let settings =
        ServiceQueueSettings { most_waiting: MOST_WAITING, most_bytes: MOST_BYTES, ..Default::default() };
    for seed in 0..1_000 {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = ServiceQueue::new(settings);
        let mut fates = Fates::default();
        let (mut now, mut arrived) = (at(0), 0);
        for _ in 0..200 {
            now = now + Duration::from_millis(dice.next_u64() % 60);
            let actions = match dice.next_u64() % 8 {
                0..=3 => {
                    let call = random_call(&mut dice, now);
                    arrived += 1;
                    fates.waiting.insert(arrived, call.bytes);
                    queue.arrived(QueueTicket(arrived), call, now)
                }
                4 | 5 => {
                    match pick(fates.running.clone().into_iter().collect::<Vec<_>>().into_iter(), &mut dice) {
                        Some(ticket) => {
                            fates.running.remove(&ticket);
                            fates.over.insert(ticket);
                            queue.ended(QueueTicket(ticket), now)
                        }
                        None => queue.tick(now),
                    }
                }
                6 => match pick(fates.waiting.keys().copied().collect::<Vec<_>>().into_iter(), &mut dice) {
                    Some(ticket) => {
                        fates.waiting.remove(&ticket);
                        fates.over.insert(ticket);
                        queue.ended(QueueTicket(ticket), now)
                    }
                    None => queue.tick(now),
                },
                _ => {
                    let (room, others) = random_room(&mut dice);
                    queue.room_changed(Some(room), others, now)
                }
            };
            fates.note(&actions, seed);
            assert_eq!(queue.waiting(), fates.waiting.len(), "seed {seed}");
            assert_eq!(queue.running(), fates.running.len(), "seed {seed}");
            assert!(queue.waiting() <= MOST_WAITING, "seed {seed}");
            assert!(fates.waiting.values().sum::<usize>() <= MOST_BYTES, "seed {seed}");
        }
        let end = now + Duration::from_secs(10);
        fates.note(&queue.tick(end), seed);
        assert_eq!(queue.waiting(), 0, "seed {seed}: all deadlines are over");
        assert_eq!(fates.running.len() + fates.over.len(), arrived as usize, "seed {seed}");
    }
}

#[test]
fn what_waits_does_not_grow_with_the_calls_that_arrive() {
    let settings = ServiceQueueSettings::default();
    for arriving in [250, 500, 1_000, 2_000] {
        let mut queue = full_queue();
        let mut acted = 0;
        for ticket in 1..=arriving {
            let actions = queue.arrived(QueueTicket(ticket), new_call(ticket as u32 % 3, at(1)), at(1));
            assert!(actions.len() <= 1, "one call takes the place of one other");
            acted += actions.len();
            assert!(queue.waiting() <= settings.most_waiting);
        }
        assert_eq!(acted + queue.waiting(), arriving as usize);
    }
}

/// Forty nodes with a call each share four places: nodes round at different points, so about four are let in at once, not none.
#[test]
fn shares_of_less_than_half_a_call_leave_no_engine_idle() {
    let nodes = 40_u64;
    let let_in_at = |second: u64| {
        let is_let_in = |node: &u64| {
            let number = u64::MAX / nodes * node;
            let settings =
                ServiceQueueSettings { node_number: Some(number), ..ServiceQueueSettings::default() };
            let mut queue = ServiceQueue::new(settings);
            let others = vec![RankDemand { rank: 0, running: 0.0, waiting: (nodes - 1) as f64 }];
            queue.room_changed(Some(room(4.0)), others, at(second * 1_000));
            let call = call(0, ProgramStage::UnderWay, at(second * 1_000));
            !queue.arrived(QueueTicket(1), call, at(second * 1_000)).is_empty()
        };
        (0..nodes).filter(is_let_in).count()
    };
    for second in 0..20 {
        let let_in = let_in_at(second);
        assert!((3..=5).contains(&let_in), "second {second}: {let_in} calls for four places");
    }
}

/// A call that no engine took says nothing of how long calls take.
#[test]
fn a_call_that_was_given_up_teaches_nothing() {
    let mut queue = ServiceQueue::new(ServiceQueueSettings::default());
    queue.room_changed(Some(room(1.0)), Vec::new(), at(0));
    queue.arrived(QueueTicket(1), call(0, ProgramStage::UnderWay, at(0)), at(0));
    queue.gave_up(QueueTicket(1), at(1));
    assert_eq!(queue.running(), 0);
    // Nothing is known of how fast room comes free, so the usual time is told.
    assert_eq!(queue.return_of_turned_away(at(2)), Duration::from_millis(250));
}

/// One call may wait whatever its size.
#[test]
fn a_call_larger_than_all_that_may_wait_is_let_in_where_there_is_room() {
    let mut queue =
        ServiceQueue::new(ServiceQueueSettings { most_bytes: 10, ..ServiceQueueSettings::default() });
    queue.room_changed(Some(room(1.0)), Vec::new(), at(0));
    let large = QueuedCall { bytes: 100, ..call(0, ProgramStage::UnderWay, at(0)) };
    let actions = queue.arrived(QueueTicket(1), large, at(0));
    assert!(matches!(actions[..], [ServiceQueueAction::LetIn { .. }]), "{actions:?}");
}
