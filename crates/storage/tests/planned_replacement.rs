//! A new storage machine comes, has its time, and then the one that it stands in for is stopped as planned and taken away.
//! Right behind that all machines lose power and one more loses its disk.
//!
//! The new machine waited for a seat until the stopped one had been silent for long, so for 1.8 s behind the stop the group
//! had one voter less than it promises: "m0 not voting, m1 counts, m2 silent" for good. Now the one that stops offers its
//! seat and stays until the new one votes.

mod machines;

use std::time::Duration;

use machines::{Machines, Terms, name};

const COMPLETE_WITHIN: Duration = Duration::from_secs(4);
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);
const LONGEST: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(20);

async fn recovers(size: usize, losses: usize, strikes_after: Duration) -> bool {
    let terms = Terms { losses, complete_within: COMPLETE_WITHIN, answer_takes: Duration::from_millis(50) };
    let mut machines = Machines::found(terms, size).await;
    machines.add("new", size - 1);
    machines.start("new").await;
    machines.work(COMPLETE_WITHIN).await;
    machines.stop_and_remove(&name(size - 1)).await;
    machines.work(strikes_after).await;
    let wiped: Vec<String> = (0..losses).map(name).collect();
    let wiped: Vec<&str> = wiped.iter().map(String::as_str).collect();
    machines.lose_everything(&wiped, Duration::from_millis(500)).await;
    machines.recovers_within(RECOVERS_WITHIN).await.is_some()
}

fn recovers_from_every_moment(size: usize, losses: usize) {
    let mut strikes_after = Duration::ZERO;
    let mut lost = Vec::new();
    while strikes_after <= LONGEST {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        if !runtime.expect("a runtime").block_on(recovers(size, losses, strikes_after)) {
            lost.push(strikes_after);
        }
        strikes_after += STEP;
    }
    assert!(lost.is_empty(), "{} moments, {:?} to {:?}", lost.len(), lost.first(), lost.last());
}

#[test]
fn a_member_of_three_that_is_stopped_hands_its_seat_over() {
    recovers_from_every_moment(3, 1);
}

#[test]
fn a_member_of_five_that_is_stopped_hands_its_seat_over() {
    recovers_from_every_moment(5, 2);
}

#[tokio::test(start_paused = true)]
async fn a_member_that_is_stopped_while_nobody_waits_ends_at_once() {
    let terms = Terms { losses: 1, complete_within: COMPLETE_WITHIN, answer_takes: Duration::from_millis(1) };
    let mut machines = Machines::found(terms, 3).await;
    let began = tokio::time::Instant::now();
    machines.stop_and_remove(&name(2)).await;
    assert!(began.elapsed() < Duration::from_millis(10), "{:?}", began.elapsed());
}
