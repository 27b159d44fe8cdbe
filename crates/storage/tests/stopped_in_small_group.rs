//! A storage machine of three was emptied and taken away. A new machine came and joined the two that were left; when it had
//! had its time, one of those two was stopped as planned and taken away, as the new one stands in for it. Then all machines
//! lost power and the new one its disk.
//!
//! Of the group of three one member is gone then, and no machine comes for its place: "m1 counts, m0 silent, new not voting"
//! for good. What the stopped member and the new one acknowledged alone may be lost besides. The members that are left would
//! have to read each other and go on as a group of two.

mod machines;

use std::time::Duration;

use machines::{Machines, Terms, name};

const TERMS: Terms =
    Terms { losses: 1, complete_within: Duration::from_secs(4), answer_takes: Duration::from_millis(20) };
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);

#[tokio::test(start_paused = true)]
async fn a_member_of_a_small_group_that_is_stopped_leaves_nobody_short() {
    let mut machines = Machines::found(TERMS, 3).await;
    machines.retire("m2");
    while !machines.is_retired("m2") {
        machines.work(Duration::from_millis(50)).await;
    }
    machines.remove("m2").await;
    machines.add("new", 0);
    machines.start("new").await;
    machines.work(TERMS.complete_within).await;
    machines.stop_and_remove(&name(0)).await;
    machines.work(TERMS.complete_within).await;
    machines.lose_everything(&["new"], Duration::from_millis(500)).await;
    assert!(machines.recovers_within(RECOVERS_WITHIN).await.is_some(), "service is back");
}
