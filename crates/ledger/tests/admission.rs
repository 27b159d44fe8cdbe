//! Admission control of a replica's host, with a simulated disk and a virtual clock.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_ledger::{HostAdmission, RequestClass};
use sumacdrift_types::Timestamp;

/// Record sizes of the end of a retained turn and of the begin of a turn.
const END_BYTES: usize = 20_000;
const BEGIN_BYTES: usize = 100;
/// Disk throughput: one retained turn every four milliseconds.
const DISK_BYTES_PER_MILLISECOND: usize = 5_000;
const MAX_QUEUE_BYTES: usize = 4 << 20;
const CALLER_TIMEOUT: Duration = Duration::from_millis(300);

struct Batch {
    queued: Timestamp,
    remaining_bytes: usize,
    class: RequestClass,
}

#[derive(Default)]
struct Outcome {
    begins_in_time: usize,
    begins_late: usize,
    max_queued_bytes: usize,
}

/// Simulates a minute at a multiple of the disk's capacity: each turn begins, and ends if its begin was admitted.
fn simulate(load_factor: usize) -> Outcome {
    let mut admission = HostAdmission::new(MAX_QUEUE_BYTES);
    let mut disk: VecDeque<Batch> = VecDeque::new();
    let mut outcome = Outcome::default();
    for millisecond in 0..60_000_u64 {
        let now = Timestamp::default() + Duration::from_millis(millisecond);
        let turns = if millisecond % 4 == 0 { load_factor } else { 0 };
        for _ in 0..turns {
            for (class, bytes) in [(RequestClass::BeginTurn, BEGIN_BYTES), (RequestClass::Other, END_BYTES)] {
                if !admission.admits(class, bytes, now) {
                    break;
                }
                admission.record_enqueued(bytes, now);
                disk.push_back(Batch { queued: now, remaining_bytes: bytes, class });
            }
        }
        let mut written = DISK_BYTES_PER_MILLISECOND;
        while let Some(batch) = disk.front_mut() {
            let part = batch.remaining_bytes.min(written);
            batch.remaining_bytes -= part;
            written -= part;
            if batch.remaining_bytes > 0 {
                break;
            }
            if batch.class == RequestClass::BeginTurn {
                match now.since(batch.queued) <= CALLER_TIMEOUT {
                    true => outcome.begins_in_time += 1,
                    false => outcome.begins_late += 1,
                }
            }
            disk.pop_front();
            admission.record_written(now);
        }
        outcome.max_queued_bytes = outcome.max_queued_bytes.max(admission.queued_bytes());
    }
    outcome
}

#[test]
fn threefold_overload_keeps_admitted_begins_in_time_and_memory_bounded() {
    let capacity = simulate(1);
    assert_eq!(capacity.begins_late, 0);
    let overloaded = simulate(3);
    assert!(overloaded.begins_in_time * 10 >= capacity.begins_in_time * 9, "{}", overloaded.begins_in_time);
    assert!(overloaded.begins_late * 50 <= overloaded.begins_in_time, "{}", overloaded.begins_late);
    assert!(overloaded.max_queued_bytes <= MAX_QUEUE_BYTES / 2, "{}", overloaded.max_queued_bytes);
}

#[test]
fn stalled_disk_rejects_new_work_and_admits_ends_up_to_the_byte_limit() {
    let mut admission = HostAdmission::new(3 * END_BYTES);
    let at = |millis| Timestamp::default() + Duration::from_millis(millis);
    admission.record_enqueued(END_BYTES, at(0));
    assert!(admission.admits(RequestClass::BeginTurn, BEGIN_BYTES, at(249)));
    assert!(!admission.admits(RequestClass::BeginTurn, BEGIN_BYTES, at(250)));
    assert!(admission.admits(RequestClass::Other, END_BYTES, at(250)));
    admission.record_enqueued(2 * END_BYTES, at(260));
    assert!(!admission.admits(RequestClass::Other, END_BYTES, at(270)));
    admission.record_written(at(271));
    admission.record_written(at(272));
    assert!(admission.admits(RequestClass::BeginTurn, BEGIN_BYTES, at(280)));
}

#[test]
fn record_above_the_byte_limit_is_admitted_to_an_empty_queue() {
    let admission = HostAdmission::new(10);
    assert!(admission.admits(RequestClass::Other, END_BYTES, Timestamp::default()));
}

#[test]
fn throughput_estimate_recovers_soon_after_a_slow_disk() {
    let mut admission = HostAdmission::new(MAX_QUEUE_BYTES);
    let at = |millis| Timestamp::default() + Duration::from_millis(millis);
    for second in 0..10 {
        admission.record_enqueued(BEGIN_BYTES, at(second * 1_000));
        admission.record_written(at(second * 1_000 + 900));
    }
    admission.record_enqueued(BEGIN_BYTES, at(10_000));
    assert!(
        !admission.admits(RequestClass::BeginTurn, BEGIN_BYTES, at(10_000)),
        "the estimated queue delay is about a second"
    );
    admission.record_written(at(10_001));
    for millisecond in 1..10 {
        admission.record_enqueued(BEGIN_BYTES, at(10_000 + 10 * millisecond));
        admission.record_written(at(10_001 + 10 * millisecond));
    }
    admission.record_enqueued(BEGIN_BYTES, at(10_200));
    assert!(admission.admits(RequestClass::BeginTurn, BEGIN_BYTES, at(10_200)));
}
