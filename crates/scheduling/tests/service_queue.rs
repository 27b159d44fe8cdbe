//! The state machine of a node's admission queue.
//!
//! Guards against violations of the admission order and of the limits on calls and bytes, and against calls that are lost,
//! admitted twice or admitted after their caller has left.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use sumacdrift_scheduling::{
    ProgramStage, QueueTicket, QueuedCall, RankDemand, RejectionReason, ServiceCapacity, ServiceQueue,
    ServiceQueueAction, ServiceQueueSettings,
};
use sumacdrift_types::Timestamp;

const EXPECTED_DURATION: Duration = Duration::from_millis(300);
/// Tickets of the calls in flight before a full queue.
const IN_FLIGHT: std::ops::Range<u64> = 1_000_000..1_000_003;

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn call(rank: u32, stage: ProgramStage, now: Timestamp) -> QueuedCall {
    let program_deadline = Some(now + Duration::from_secs(60));
    let deadline = now + Duration::from_secs(30);
    QueuedCall { rank, stage, program_deadline, deadline, expected_duration: EXPECTED_DURATION, bytes: 100 }
}

fn new_call(rank: u32, now: Timestamp) -> QueuedCall {
    call(rank, ProgramStage::New, now)
}

fn capacity(slots: f64) -> ServiceCapacity {
    ServiceCapacity { slots, short_queue: 0.0, unranked: 0.0 }
}

fn queue_with_capacity(slots: f64) -> ServiceQueue {
    queue_with_settings(ServiceQueueSettings::default(), slots)
}

fn queue_with_settings(settings: ServiceQueueSettings, slots: f64) -> ServiceQueue {
    let mut queue = ServiceQueue::new(settings);
    assert!(queue.update_capacity(Some(capacity(slots)), Vec::new(), at(0)).is_empty());
    queue
}

/// A queue with capacity for one call and more in flight: none is admitted until the `IN_FLIGHT` calls ended.
fn full_queue() -> ServiceQueue {
    full_queue_with(ServiceQueueSettings::default(), 0)
}

fn full_queue_with(settings: ServiceQueueSettings, rank: u32) -> ServiceQueue {
    let mut queue = ServiceQueue::new(settings);
    for ticket in IN_FLIGHT {
        assert_eq!(admitted(&queue.enqueue(QueueTicket(ticket), new_call(rank, at(0)), at(0))), [ticket]);
    }
    assert!(queue.update_capacity(Some(capacity(1.0)), Vec::new(), at(0)).is_empty());
    queue
}

fn admitted(actions: &[ServiceQueueAction]) -> Vec<u64> {
    let ticket = |action: &ServiceQueueAction| match action {
        ServiceQueueAction::Admit { ticket, .. } => Some(ticket.0),
        ServiceQueueAction::Reject { .. } => None,
    };
    actions.iter().filter_map(ticket).collect()
}

fn rejected(actions: &[ServiceQueueAction]) -> Vec<(u64, RejectionReason)> {
    let ticket = |action: &ServiceQueueAction| match action {
        ServiceQueueAction::Reject { ticket, reason, .. } => Some((ticket.0, *reason)),
        ServiceQueueAction::Admit { .. } => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// Ends all calls, one after the other, and returns the waiting ones in the order of their admission.
fn admission_order(queue: &mut ServiceQueue, now: Timestamp) -> Vec<u64> {
    let mut order = Vec::new();
    let mut running: Vec<u64> = IN_FLIGHT.collect();
    while let Some(ticket) = running.pop() {
        let next = admitted(&queue.record_completed(QueueTicket(ticket), now));
        order.extend(&next);
        running.extend(next);
    }
    order
}

#[test]
fn all_calls_are_admitted_while_capacity_is_unknown() {
    let mut queue = ServiceQueue::new(ServiceQueueSettings::default());
    for ticket in 0..1_000 {
        assert_eq!(admitted(&queue.enqueue(QueueTicket(ticket), new_call(2, at(0)), at(0))), [ticket]);
    }
}

#[test]
fn a_call_is_removed_when_its_caller_leaves() {
    let mut queue = full_queue();
    for ticket in 1..=3 {
        assert!(queue.enqueue(QueueTicket(ticket), new_call(0, at(0)), at(0)).is_empty());
    }
    assert!(queue.record_completed(QueueTicket(1), at(1)).is_empty());
    assert_eq!(queue.waiting(), 2);
    let waiting: f64 = queue.demand(at(1)).iter().map(|demand| demand.waiting).sum();
    assert_eq!(waiting, 2.0);
    assert_eq!(admission_order(&mut queue, at(2)), [2, 3]);
}

#[test]
fn a_full_queue_rejects_the_last_call_in_order() {
    let mut queue = full_queue_with(ServiceQueueSettings { max_waiting: 2, ..Default::default() }, 0);
    assert!(queue.enqueue(QueueTicket(1), new_call(2, at(0)), at(0)).is_empty());
    assert!(queue.enqueue(QueueTicket(2), new_call(1, at(1)), at(1)).is_empty());
    let actions = queue.enqueue(QueueTicket(3), new_call(0, at(2)), at(2));
    assert_eq!(rejected(&actions), [(1, RejectionReason::QueueFull)]);
    let actions = queue.enqueue(QueueTicket(4), new_call(2, at(3)), at(3));
    assert_eq!(rejected(&actions), [(4, RejectionReason::QueueFull)]);
    assert_eq!(admission_order(&mut queue, at(4)), [3, 2]);
}

#[test]
fn waiting_calls_stay_within_the_byte_limit() {
    let mut queue = full_queue_with(ServiceQueueSettings { max_waiting_bytes: 250, ..Default::default() }, 0);
    for ticket in [1, 2] {
        assert!(queue.enqueue(QueueTicket(ticket), new_call(1, at(ticket)), at(ticket)).is_empty());
    }
    let actions = queue.enqueue(QueueTicket(3), new_call(1, at(3)), at(3));
    assert_eq!(rejected(&actions), [(3, RejectionReason::QueueFull)]);
    let actions = queue.enqueue(QueueTicket(4), new_call(0, at(4)), at(4));
    assert_eq!(rejected(&actions), [(2, RejectionReason::QueueFull)]);
}

#[test]
fn a_large_call_displaces_only_as_many_calls_as_it_needs() {
    let mut queue = full_queue_with(ServiceQueueSettings { max_waiting_bytes: 250, ..Default::default() }, 0);
    for ticket in [1, 2] {
        assert!(queue.enqueue(QueueTicket(ticket), new_call(1, at(ticket)), at(ticket)).is_empty());
    }
    let large = QueuedCall { bytes: 250, ..new_call(0, at(3)) };
    let actions = queue.enqueue(QueueTicket(3), large, at(3));
    assert_eq!(rejected(&actions), [(2, RejectionReason::QueueFull), (1, RejectionReason::QueueFull)]);
    let too_large = QueuedCall { bytes: 251, ..new_call(0, at(4)) };
    let actions = queue.enqueue(QueueTicket(4), too_large, at(4));
    assert_eq!(rejected(&actions), [(4, RejectionReason::QueueFull)]);
    assert_eq!(admission_order(&mut queue, at(5)), [3]);
}

#[test]
fn a_starving_call_is_admitted_first() {
    let bound = ServiceQueueSettings::default().starvation_bound;
    let mut queue = full_queue();
    assert!(queue.enqueue(QueueTicket(1), new_call(2, at(0)), at(0)).is_empty());
    let later = at(0) + bound;
    assert!(queue.enqueue(QueueTicket(2), new_call(0, later), later).is_empty());
    assert_eq!(admission_order(&mut queue, later), [1, 2]);
}

#[test]
fn a_higher_rank_is_admitted_first_before_the_starvation_bound() {
    let bound = ServiceQueueSettings::default().starvation_bound;
    let mut queue = full_queue();
    let low_rank_call = QueuedCall { deadline: at(100_000), ..call(2, ProgramStage::InProgress, at(1)) };
    assert!(queue.enqueue(QueueTicket(1), low_rank_call, at(1)).is_empty());
    let later = at(0) + bound;
    assert!(queue.enqueue(QueueTicket(2), new_call(0, later), later).is_empty());
    assert_eq!(admission_order(&mut queue, later), [2, 1]);
}

#[test]
fn a_call_of_a_late_program_is_admitted_last_even_past_the_starvation_bound() {
    let bound = ServiceQueueSettings::default().starvation_bound;
    let mut queue = full_queue_with(ServiceQueueSettings::default(), 2);
    let late = QueuedCall {
        program_deadline: Some(at(100)),
        deadline: at(100_000),
        ..call(0, ProgramStage::InProgress, at(0))
    };
    assert!(queue.enqueue(QueueTicket(1), late, at(0)).is_empty());
    let later = at(0) + bound;
    assert!(queue.enqueue(QueueTicket(2), new_call(2, later), later).is_empty());
    assert_eq!(admission_order(&mut queue, later), [2, 1]);
}

#[test]
fn programs_in_progress_precede_retried_ones_and_those_precede_new_ones() {
    let mut queue = full_queue();
    let stages = [ProgramStage::New, ProgramStage::Returning, ProgramStage::InProgress];
    for (ticket, stage) in (1..).zip(stages) {
        assert!(queue.enqueue(QueueTicket(ticket), call(0, stage, at(ticket)), at(ticket)).is_empty());
    }
    assert_eq!(admission_order(&mut queue, at(10)), [3, 2, 1]);
}

#[test]
fn the_program_with_the_earliest_deadline_is_admitted_first() {
    let mut queue = full_queue();
    for (ticket, end) in [(1, 40_000), (2, 20_000), (3, 30_000)] {
        let call =
            QueuedCall { program_deadline: Some(at(end)), ..call(0, ProgramStage::InProgress, at(ticket)) };
        assert!(queue.enqueue(QueueTicket(ticket), call, at(ticket)).is_empty());
    }
    assert_eq!(admission_order(&mut queue, at(10)), [2, 3, 1]);
}

#[test]
fn a_call_is_rejected_once_it_cannot_meet_its_deadline() {
    let mut queue = full_queue();
    let short = QueuedCall { deadline: at(400), ..call(0, ProgramStage::InProgress, at(0)) };
    assert!(queue.enqueue(QueueTicket(1), short, at(0)).is_empty());
    assert!(queue.tick(at(100)).is_empty());
    assert_eq!(rejected(&queue.tick(at(200))), [(1, RejectionReason::CannotBeAnswered)]);
}

#[test]
fn a_first_call_is_rejected_once_its_program_would_start_too_late_even_when_retried() {
    let share = ServiceQueueSettings::default().max_first_wait_fraction;
    for stage in [ProgramStage::New, ProgramStage::Returning] {
        let mut queue = full_queue();
        let max_wait = Duration::from_secs(60).mul_f64(share);
        assert!(queue.enqueue(QueueTicket(1), call(0, stage, at(0)), at(0)).is_empty());
        assert!(queue.tick(at(0) + max_wait).is_empty());
        let later = at(1) + max_wait;
        assert_eq!(rejected(&queue.tick(later)), [(1, RejectionReason::ProgramTooLate)]);
    }
    let mut queue = full_queue();
    assert!(queue.enqueue(QueueTicket(1), call(0, ProgramStage::InProgress, at(0)), at(0)).is_empty());
    assert!(
        queue.tick(at(20_000)).is_empty(),
        "calls of programs in progress wait as long as they can be answered"
    );
}

#[test]
fn a_higher_rank_does_not_wait_for_lower_ranks_that_exceed_their_share() {
    let mut queue = queue_with_capacity(4.0);
    for ticket in 0..4 {
        assert_eq!(admitted(&queue.enqueue(QueueTicket(ticket), new_call(2, at(0)), at(0))), [ticket]);
    }
    // By the demand that a peer reports, this node has far more calls of rank 2 in flight than its share.
    let peer_demand = vec![RankDemand { rank: 0, running: 2.0, waiting: 0.0 }];
    assert!(queue.update_capacity(Some(capacity(4.0)), peer_demand, at(1)).is_empty());
    assert_eq!(admitted(&queue.enqueue(QueueTicket(9), new_call(0, at(2)), at(2))), [9]);
}

/// Expected state of each call during random operations.
#[derive(Default)]
struct CallStates {
    waiting: BTreeMap<u64, usize>,
    running: BTreeSet<u64>,
    ended_calls: BTreeSet<u64>,
}

impl CallStates {
    fn record_actions(&mut self, actions: &[ServiceQueueAction], seed: u64) {
        for action in actions {
            let (ServiceQueueAction::Admit { ticket, .. } | ServiceQueueAction::Reject { ticket, .. }) =
                action;
            let waited = self.waiting.remove(&ticket.0);
            assert!(waited.is_some(), "seed {seed}: {ticket:?} was not waiting: {action:?}");
            match action {
                ServiceQueueAction::Admit { .. } => self.running.insert(ticket.0),
                ServiceQueueAction::Reject { .. } => self.ended_calls.insert(ticket.0),
            };
        }
    }
}

fn random_call(random: &mut ChaCha8Rng, now: Timestamp) -> QueuedCall {
    let mut below = |bound: u64| random.next_u64() % bound;
    let stage = [ProgramStage::New, ProgramStage::Returning, ProgramStage::InProgress][below(3) as usize];
    let program_deadline = (below(4) > 0).then(|| now + Duration::from_millis(below(8_000)));
    QueuedCall {
        rank: below(4) as u32,
        stage,
        program_deadline,
        deadline: now + Duration::from_millis(below(5_000)),
        expected_duration: Duration::from_millis(1 + below(600)),
        bytes: below(400) as usize,
    }
}

fn random_capacity(random: &mut ChaCha8Rng) -> (ServiceCapacity, Vec<RankDemand>) {
    let mut below = |bound: u64| (random.next_u64() % bound) as f64;
    let capacity = ServiceCapacity { slots: below(30), short_queue: below(8), unranked: below(12) };
    let demand = |rank| RankDemand { rank, running: below(20), waiting: below(20) };
    (capacity, (0..3).map(demand).collect())
}

fn pick_ticket(tickets: impl ExactSizeIterator<Item = u64> + Clone, random: &mut ChaCha8Rng) -> Option<u64> {
    let index = random.next_u64() as usize % tickets.len().max(1);
    tickets.clone().nth(index)
}

#[test]
fn every_call_is_admitted_rejected_or_removed_exactly_once() {
    const MAX_WAITING: usize = 12;
    const MAX_WAITING_BYTES: usize = 3_000;
    let settings = ServiceQueueSettings {
        max_waiting: MAX_WAITING,
        max_waiting_bytes: MAX_WAITING_BYTES,
        ..Default::default()
    };
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = ServiceQueue::new(settings);
        let mut states = CallStates::default();
        let (mut now, mut arrived) = (at(0), 0);
        for _ in 0..200 {
            now = now + Duration::from_millis(random.next_u64() % 60);
            let actions = match random.next_u64() % 8 {
                0..=3 => {
                    let call = random_call(&mut random, now);
                    arrived += 1;
                    states.waiting.insert(arrived, call.bytes);
                    queue.enqueue(QueueTicket(arrived), call, now)
                }
                4 | 5 => {
                    match pick_ticket(
                        states.running.clone().into_iter().collect::<Vec<_>>().into_iter(),
                        &mut random,
                    ) {
                        Some(ticket) => {
                            states.running.remove(&ticket);
                            states.ended_calls.insert(ticket);
                            queue.record_completed(QueueTicket(ticket), now)
                        }
                        None => queue.tick(now),
                    }
                }
                6 => match pick_ticket(
                    states.waiting.keys().copied().collect::<Vec<_>>().into_iter(),
                    &mut random,
                ) {
                    Some(ticket) => {
                        states.waiting.remove(&ticket);
                        states.ended_calls.insert(ticket);
                        queue.record_completed(QueueTicket(ticket), now)
                    }
                    None => queue.tick(now),
                },
                _ => {
                    let (capacity, peer_demand) = random_capacity(&mut random);
                    queue.update_capacity(Some(capacity), peer_demand, now)
                }
            };
            states.record_actions(&actions, seed);
            assert_eq!(queue.waiting(), states.waiting.len(), "seed {seed}");
            assert_eq!(queue.running(), states.running.len(), "seed {seed}");
            assert!(queue.waiting() <= MAX_WAITING, "seed {seed}");
            assert!(states.waiting.values().sum::<usize>() <= MAX_WAITING_BYTES, "seed {seed}");
        }
        let end = now + Duration::from_secs(10);
        states.record_actions(&queue.tick(end), seed);
        assert_eq!(queue.waiting(), 0, "seed {seed}: calls wait past their deadlines");
        assert_eq!(states.running.len() + states.ended_calls.len(), arrived as usize, "seed {seed}");
    }
}

#[test]
fn the_number_of_waiting_calls_is_bounded() {
    let settings = ServiceQueueSettings::default();
    for arriving in [250, 500, 1_000, 2_000] {
        let mut queue = full_queue();
        let mut action_count = 0;
        for ticket in 1..=arriving {
            let actions = queue.enqueue(QueueTicket(ticket), new_call(ticket as u32 % 3, at(1)), at(1));
            assert!(actions.len() <= 1, "an arriving call causes at most one action");
            action_count += actions.len();
            assert!(queue.waiting() <= settings.max_waiting);
        }
        assert_eq!(action_count + queue.waiting(), arriving as usize);
    }
}

/// Guards against idle engines where each node's share is less than half a call: 40 nodes with one call each share 4 slots.
#[test]
fn shares_below_half_a_call_leave_no_engine_idle() {
    let nodes = 40_u64;
    let admitted_at = |second: u64| {
        let is_admitted = |node: &u64| {
            let number = u64::MAX / nodes * node;
            let settings =
                ServiceQueueSettings { node_number: Some(number), ..ServiceQueueSettings::default() };
            let mut queue = ServiceQueue::new(settings);
            let peer_demand = vec![RankDemand { rank: 0, running: 0.0, waiting: (nodes - 1) as f64 }];
            queue.update_capacity(Some(capacity(4.0)), peer_demand, at(second * 1_000));
            let call = call(0, ProgramStage::InProgress, at(second * 1_000));
            !queue.enqueue(QueueTicket(1), call, at(second * 1_000)).is_empty()
        };
        (0..nodes).filter(is_admitted).count()
    };
    for second in 0..20 {
        let admitted = admitted_at(second);
        assert!((3..=5).contains(&admitted), "second {second}: {admitted} calls admitted to 4 slots");
    }
}

/// Guards against calls that no engine served counting as completions.
#[test]
fn an_abandoned_call_does_not_count_as_completed() {
    let mut queue = ServiceQueue::new(ServiceQueueSettings::default());
    queue.update_capacity(Some(capacity(1.0)), Vec::new(), at(0));
    queue.enqueue(QueueTicket(1), call(0, ProgramStage::InProgress, at(0)), at(0));
    queue.record_abandoned(QueueTicket(1), at(1));
    assert_eq!(queue.running(), 0);
    // No completion was recorded, so the default delay applies.
    assert_eq!(queue.retry_after_engine_rejection(at(2)), Duration::from_millis(250));
}

/// Guards against rejecting the only waiting call for its size.
#[test]
fn a_call_beyond_the_byte_limit_is_admitted_where_capacity_is_free() {
    let mut queue =
        ServiceQueue::new(ServiceQueueSettings { max_waiting_bytes: 10, ..ServiceQueueSettings::default() });
    queue.update_capacity(Some(capacity(1.0)), Vec::new(), at(0));
    let large = QueuedCall { bytes: 100, ..call(0, ProgramStage::InProgress, at(0)) };
    let actions = queue.enqueue(QueueTicket(1), large, at(0));
    assert!(matches!(actions[..], [ServiceQueueAction::Admit { .. }]), "{actions:?}");
}
