//! A machine joins a group that is too small, and the answer to its change is lost. All machines lose power at any moment
//! behind that, and one member its disk.
//!
//! The joining machine noted that it had never voted only once it knew that its change had been made. Without the answer it
//! said "not voting" in place of "never voted", so the member without a disk waited to read it, and it waited for that
//! member: "m0 not voting, m1 counts, spare not voting". On the code that had this fault the story below never came back
//! for moments from the change to the end of its reading.

mod machines;

use std::time::Duration;

use machines::{Machines, Terms, name};

const TERMS: Terms =
    Terms { losses: 1, complete_within: Duration::from_secs(4), answer_takes: Duration::from_millis(150) };
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);
const LONGEST: Duration = Duration::from_millis(3_000);
const STEP: Duration = Duration::from_millis(20);

async fn recovers(strikes_after: Duration) -> bool {
    let mut machines = Machines::found(TERMS, 3).await;
    machines.add("spare", 2);
    machines.start("spare").await;
    machines.work(Duration::from_secs(2)).await;
    machines.retire("m2");
    while machines.members().len() == 3 {
        machines.work(Duration::from_millis(10)).await;
    }
    machines.lose_answers(true);
    while !machines.members().contains(&"spare".to_owned()) {
        machines.work(Duration::from_millis(10)).await;
    }
    machines.work(strikes_after).await;
    machines.lose_answers(false);
    machines.lose_everything(&[&name(0)], Duration::from_millis(500)).await;
    machines.recovers_within(RECOVERS_WITHIN).await.is_some()
}

#[test]
fn a_machine_that_joins_without_an_answer_holds_nobody_up() {
    let mut strikes_after = Duration::ZERO;
    let mut lost = Vec::new();
    while strikes_after <= LONGEST {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        if !runtime.expect("a runtime").block_on(recovers(strikes_after)) {
            lost.push(strikes_after);
        }
        strikes_after += STEP;
    }
    assert!(lost.is_empty(), "{} moments, {:?} to {:?}", lost.len(), lost.first(), lost.last());
}
