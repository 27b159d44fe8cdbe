//! A replica's host under three times what its disk can take, on a virtual clock.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_ledger::{HostAdmission, RequestClass};
use sumacdrift_types::Timestamp;

/// Size of a kept turn, and of what a turn's begin writes.
const END_BYTES: usize = 20_000;
const BEGIN_BYTES: usize = 100;
/// What the disk takes in a millisecond: a kept turn each four milliseconds.
const DISK_BYTES_A_MILLISECOND: usize = 5_000;
const MOST_BYTES: usize = 4 << 20;
const IN_TIME: Duration = Duration::from_millis(300);

struct Batch {
    queued: Timestamp,
    left: usize,
    class: RequestClass,
}

#[derive(Default)]
struct Outcome {
    begins_in_time: usize,
    begins_late: usize,
    most_waiting: usize,
}

/// Plays so many times the load that the disk can take for a minute: each turn begins, and ends if it began.
fn play(times: usize) -> Outcome {
    let mut admission = HostAdmission::new(MOST_BYTES);
    let mut disk: VecDeque<Batch> = VecDeque::new();
    let mut outcome = Outcome::default();
    for millisecond in 0..60_000_u64 {
        let now = Timestamp::default() + Duration::from_millis(millisecond);
        let turns = if millisecond % 4 == 0 { times } else { 0 };
        for _ in 0..turns {
            for (class, bytes) in [(RequestClass::NewWork, BEGIN_BYTES), (RequestClass::Other, END_BYTES)] {
                if !admission.takes(class, bytes, now) {
                    break;
                }
                admission.queued(bytes, now);
                disk.push_back(Batch { queued: now, left: bytes, class });
            }
        }
        let mut written = DISK_BYTES_A_MILLISECOND;
        while let Some(batch) = disk.front_mut() {
            let part = batch.left.min(written);
            batch.left -= part;
            written -= part;
            if batch.left > 0 {
                break;
            }
            if batch.class == RequestClass::NewWork {
                match now.since(batch.queued) <= IN_TIME {
                    true => outcome.begins_in_time += 1,
                    false => outcome.begins_late += 1,
                }
            }
            disk.pop_front();
            admission.written(now);
        }
        outcome.most_waiting = outcome.most_waiting.max(admission.waiting_bytes());
    }
    outcome
}

#[test]
fn under_three_times_its_capacity_what_is_taken_is_answered_in_time_and_memory_stays_flat() {
    let capacity = play(1);
    assert_eq!(capacity.begins_late, 0);
    let overloaded = play(3);
    assert!(overloaded.begins_in_time * 10 >= capacity.begins_in_time * 9, "{}", overloaded.begins_in_time);
    assert!(overloaded.begins_late * 50 <= overloaded.begins_in_time, "{}", overloaded.begins_late);
    assert!(overloaded.most_waiting <= MOST_BYTES / 2, "{}", overloaded.most_waiting);
}

#[test]
fn a_disk_that_stands_still_turns_new_work_away_and_lets_turns_end_while_there_is_room() {
    let mut admission = HostAdmission::new(3 * END_BYTES);
    let at = |millis| Timestamp::default() + Duration::from_millis(millis);
    admission.queued(END_BYTES, at(0));
    assert!(admission.takes(RequestClass::NewWork, BEGIN_BYTES, at(249)));
    assert!(!admission.takes(RequestClass::NewWork, BEGIN_BYTES, at(250)));
    assert!(admission.takes(RequestClass::Other, END_BYTES, at(250)));
    admission.queued(2 * END_BYTES, at(260));
    assert!(!admission.takes(RequestClass::Other, END_BYTES, at(270)));
    admission.written(at(271));
    admission.written(at(272));
    assert!(admission.takes(RequestClass::NewWork, BEGIN_BYTES, at(280)));
}

#[test]
fn a_record_larger_than_all_room_is_taken_when_nothing_waits() {
    let admission = HostAdmission::new(10);
    assert!(admission.takes(RequestClass::Other, END_BYTES, Timestamp::default()));
}

#[test]
fn a_disk_that_is_quick_again_is_soon_believed_to_be() {
    let mut admission = HostAdmission::new(MOST_BYTES);
    let at = |millis| Timestamp::default() + Duration::from_millis(millis);
    for second in 0..10 {
        admission.queued(BEGIN_BYTES, at(second * 1_000));
        admission.written(at(second * 1_000 + 900));
    }
    admission.queued(BEGIN_BYTES, at(10_000));
    assert!(
        !admission.takes(RequestClass::NewWork, BEGIN_BYTES, at(10_000)),
        "a hundred bytes take a second"
    );
    admission.written(at(10_001));
    for millisecond in 1..10 {
        admission.queued(BEGIN_BYTES, at(10_000 + 10 * millisecond));
        admission.written(at(10_001 + 10 * millisecond));
    }
    admission.queued(BEGIN_BYTES, at(10_200));
    assert!(admission.takes(RequestClass::NewWork, BEGIN_BYTES, at(10_200)));
}
