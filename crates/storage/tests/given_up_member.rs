//! Members that go for good where no machine comes for their place, and ones that come back.

mod machines;

use std::time::Duration;

use machines::{Machines, Terms, name};

const TERMS: Terms =
    Terms { losses: 1, complete_within: Duration::from_secs(4), answer_takes: Duration::from_millis(20) };
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);
/// Longer than any member is waited for.
const LONG: Duration = Duration::from_secs(14);

/// A group of three one of whose members came for one that was emptied, so that the next to go has nobody in its place.
async fn replaced_early() -> Machines {
    let mut machines = Machines::found(TERMS, 3).await;
    machines.retire("m2");
    while !machines.is_retired("m2") {
        machines.work(Duration::from_millis(50)).await;
    }
    machines.remove("m2").await;
    machines.add("new", 0);
    machines.start("new").await;
    machines.work(TERMS.complete_within).await;
    machines
}

#[tokio::test(start_paused = true)]
async fn whenever_all_is_lost_behind_a_planned_stop_the_members_that_are_left_serve_again() {
    for victim in ["new", "m1"] {
        for later in (0..4_000).step_by(250) {
            let mut machines = replaced_early().await;
            machines.stop_and_remove(&name(0)).await;
            machines.work(TERMS.complete_within + Duration::from_millis(later)).await;
            machines.lose_everything(&[victim], Duration::from_millis(500)).await;
            let recovered = machines.recovers_within(RECOVERS_WITHIN).await;
            assert!(recovered.is_some(), "{victim} lost its disk {later} ms behind the time allowed");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn what_only_the_one_that_went_and_one_other_held_outlasts_that_others_disk() {
    let mut machines = replaced_early().await;
    // Turns that end meanwhile are kept by the first machine and the new one alone.
    machines.lose_power("m1").await;
    machines.work(Duration::from_millis(900)).await;
    machines.start("m1").await;
    machines.stop_and_remove(&name(0)).await;
    machines.work(TERMS.complete_within).await;
    machines.lose_everything(&["new"], Duration::from_millis(500)).await;
    // Each turn asserts that the whole chain of those before it is there.
    assert!(machines.recovers_within(RECOVERS_WITHIN).await.is_some(), "service is back");
}

#[tokio::test(start_paused = true)]
async fn a_member_that_goes_without_a_word_is_given_up_too() {
    let mut machines = replaced_early().await;
    machines.remove(&name(0)).await;
    machines.work(LONG).await;
    assert_eq!(machines.members(), ["m1", "new"]);
    machines.lose_everything(&["m1"], Duration::from_millis(500)).await;
    assert!(machines.recovers_within(RECOVERS_WITHIN).await.is_some(), "service is back");
}

#[tokio::test(start_paused = true)]
async fn a_process_that_is_started_again_at_once_keeps_its_place() {
    let mut machines = Machines::found(TERMS, 3).await;
    let before = machines.map();
    for position in 0..3 {
        machines.stop(&name(position)).await;
        machines.work(Duration::from_millis(600)).await;
        machines.start(&name(position)).await;
        machines.work(Duration::from_millis(900)).await;
    }
    assert_eq!(machines.map(), before);
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_is_back_after_it_was_given_up_joins_again_and_all_vote() {
    let mut machines = Machines::found(TERMS, 3).await;
    machines.stop(&name(0)).await;
    machines.work(Duration::from_secs(3)).await;
    assert_eq!(machines.members(), ["m1", "m2"]);
    machines.start(&name(0)).await;
    machines.work(TERMS.complete_within).await;
    assert_eq!(machines.members(), ["m0", "m1", "m2"]);
    assert!((0..3).all(|position| machines.votes(&name(position))), "all vote");
    machines.lose_everything(&["m1"], Duration::from_millis(500)).await;
    assert!(machines.recovers_within(RECOVERS_WITHIN).await.is_some(), "service is back");
}
