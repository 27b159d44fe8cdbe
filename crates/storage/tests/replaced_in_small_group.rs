//! A storage machine of three was emptied and taken away, so the group was of two. Then one of these went for good and an
//! empty machine came. Some seconds later all machines lost power and one of the two that were left lost its disk.
//!
//! The new machine found a group that was too small and joined it at once, beside the member that had just gone, in place
//! of waiting until that one was known to be lost. The group of three had one member gone and one empty, and nobody was left
//! to take a place: "m1 counts, m0 silent, new not voting" for good, on real processes with "epoch 3: m0, m1, new" in the
//! members' logs. On the code that had this fault the stories below never came back, whenever power was lost.

mod machines;

use std::time::Duration;

use machines::{Machines, Terms, name};

const TERMS: Terms =
    Terms { losses: 1, complete_within: Duration::from_secs(4), answer_takes: Duration::from_millis(20) };
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);
const LONGEST: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(50);

async fn recovers(comes_after: Duration, strikes_after: Duration, wiped: &str) -> bool {
    let mut machines = Machines::found(TERMS, 3).await;
    machines.work(Duration::from_millis(500)).await;
    machines.retire("m2");
    while !machines.is_retired("m2") {
        machines.work(Duration::from_millis(50)).await;
    }
    machines.remove("m2").await;
    machines.work(Duration::from_secs(1)).await;
    machines.remove(&name(0)).await;
    machines.work(comes_after).await;
    machines.add("new", 0);
    machines.start("new").await;
    machines.work(strikes_after).await;
    machines.lose_everything(&[wiped], Duration::from_millis(500)).await;
    machines.recovers_within(RECOVERS_WITHIN).await.is_some()
}

fn recovers_from_every_moment(comes_after: Duration, wiped: &str) {
    let mut strikes_after = TERMS.complete_within;
    let mut lost = Vec::new();
    while strikes_after <= LONGEST {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        if !runtime.expect("a runtime").block_on(recovers(comes_after, strikes_after, wiped)) {
            lost.push(strikes_after);
        }
        strikes_after += STEP;
    }
    assert!(lost.is_empty(), "{} moments, {:?} to {:?}", lost.len(), lost.first(), lost.last());
}

#[test]
fn the_new_machine_loses_its_disk() {
    recovers_from_every_moment(Duration::ZERO, "new");
}

#[test]
fn the_member_that_was_left_loses_its_disk() {
    recovers_from_every_moment(Duration::ZERO, "m1");
}

#[test]
fn the_new_machine_comes_late_and_loses_its_disk() {
    recovers_from_every_moment(Duration::from_millis(1_200), "new");
}
