//! A ledger of several groups: who is asked for which program, and chains that go on from another program's turn.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, ask, begin, end};
use sumacdrift_ledger::TurnEnded;
use sumacdrift_storage::{BeginTurn, LedgerClient, LedgerError};

const GROUPS: usize = 3;
const SIZE: usize = 3;

/// A program of a group.
fn program_of(fleet: &Fleet, number: u32) -> String {
    let mut names = (0..).map(|place| format!("program-{place}"));
    names
        .find(|name| fleet.map.group_of(name).is_some_and(|group| group.number == number))
        .expect("a program")
}

fn begin_of(program: &str, turn: &str, previous: &str) -> BeginTurn {
    let mut begin = begin(turn, previous);
    begin.turn.program = program.to_owned();
    begin
}

fn end_of(program: &str, turn: &str, previous: &str) -> TurnEnded {
    TurnEnded { program: program.to_owned(), ..end(turn, previous) }
}

async fn run_turn(client: &LedgerClient, program: &str, turn: &str, previous: &str) {
    ask(client, begin_of(program, turn, previous)).await.0.expect("an admission");
    client.end(end_of(program, turn, previous), Bytes::new()).await.expect("an end");
}

/// Requests that the members of each group got.
fn by_group(fleet: &Fleet) -> Vec<usize> {
    fleet.requests().chunks(SIZE).map(|group| group.iter().sum()).collect()
}

#[tokio::test(start_paused = true)]
async fn only_the_programs_group_is_asked() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    run_turn(&client, &program_of(&fleet, 1), "t1", "").await;
    assert_eq!(by_group(&fleet), [0, 4, 0]);
}

#[tokio::test(start_paused = true)]
async fn a_silent_group_holds_up_only_its_own_programs() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    fleet.nodes[..SIZE].iter().for_each(|node| node.silence(true));
    let (outcome, _) = ask(&client, begin_of(&program_of(&fleet, 0), "t0", "")).await;
    assert_eq!(outcome.expect_err("nobody answers"), LedgerError::Unavailable);
    for number in [1, 2] {
        let (outcome, taken) = ask(&client, begin_of(&program_of(&fleet, number), "t1", "")).await;
        outcome.expect("an admission");
        assert!(taken < Duration::from_millis(5), "{taken:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_program_goes_on_from_another_programs_turn_in_another_group() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    let (first, second) = (program_of(&fleet, 0), program_of(&fleet, 2));
    run_turn(&client, &first, "t1", "").await;
    run_turn(&client, &first, "t2", "t1").await;
    run_turn(&client, &second, "t3", "t2").await;
    // The next turn's chain begins in the own group and goes on in the other.
    let (outcome, _) = ask(&client, begin_of(&second, "t4", "t3")).await;
    let prompt = outcome.expect("an admission").chain.into_prompt(&Bytes::from_static(b"new"));
    assert_eq!(prompt, "in t1out t1in t2out t2in t3out t3new".as_bytes());
}

#[tokio::test(start_paused = true)]
async fn a_turn_is_unknown_only_where_every_group_says_so() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    let program = program_of(&fleet, 1);
    let (outcome, _) = ask(&client, begin_of(&program, "t1", "never")).await;
    assert_eq!(outcome.expect_err("unknown"), LedgerError::UnknownPrevious);
    // Two of the three members of another group say nothing: one of them might know the turn.
    fleet.nodes[0].silence(true);
    fleet.nodes[1].silence(true);
    let (outcome, _) = ask(&client, begin_of(&program, "t2", "never")).await;
    assert_eq!(outcome.expect_err("not certain"), LedgerError::Unavailable);
}

#[tokio::test(start_paused = true)]
async fn a_member_without_records_does_not_make_it_certain_that_a_turn_is_unknown() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    let program = program_of(&fleet, 1);
    for node in &fleet.nodes[..2] {
        let mut replica = node.replica.lock().expect("a replica");
        let settings =
            sumacdrift_ledger::ReplicaSettings { node: replica.node().to_owned(), is_first_start: false };
        let mut wiped = sumacdrift_ledger::Replica::new(settings);
        wiped.install(fleet.group.clone());
        *replica = wiped;
    }
    let (outcome, _) = ask(&client, begin_of(&program, "t1", "never")).await;
    assert_eq!(outcome.expect_err("not certain"), LedgerError::Unavailable);
}

#[tokio::test(start_paused = true)]
async fn a_budget_holds_for_a_turn_that_goes_on_from_another_group() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    let (first, second) = (program_of(&fleet, 0), program_of(&fleet, 2));
    run_turn(&client, &first, "t1", "").await;
    let poor = BeginTurn { budget_tokens: 50, ..begin_of(&second, "t2", "t1") };
    assert_eq!(ask(&client, poor).await.0.expect_err("no budget"), LedgerError::BudgetSpent);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_knows_old_members_learns_the_new_ones_from_any_of_them() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    let program = program_of(&fleet, 1);
    // One member left its place to a machine of another address.
    let group = &fleet.map.groups()[1];
    let newer = group.without(&group.members[0].node);
    for node in &fleet.nodes[SIZE..2 * SIZE] {
        node.replica.lock().expect("a replica").install(newer.clone());
    }
    run_turn(&client, &program, "t1", "").await;
    assert_eq!(client.epoch_of(&program), newer.epoch);
}

#[tokio::test(start_paused = true)]
async fn a_slow_group_does_not_make_others_wait_longer_for_a_silent_member() {
    let fleet = Fleet::start_groups(GROUPS, SIZE).await;
    let client = fleet.client(0);
    fleet.nodes[..SIZE].iter().for_each(|node| node.delay.store(200, Ordering::Relaxed));
    let (slow, sound) = (program_of(&fleet, 0), program_of(&fleet, 1));
    for number in 0..40 {
        ask(&client, begin_of(&slow, &format!("s{number}"), "")).await.0.expect("an admission");
        client.end(end_of(&slow, &format!("s{number}"), ""), Bytes::new()).await.expect("an end");
    }
    // The own zone's member of the other group says nothing.
    fleet.nodes[SIZE].silence(true);
    let (outcome, taken) = ask(&client, begin_of(&sound, "t1", "")).await;
    outcome.expect("an admission");
    assert!(taken < Duration::from_millis(40), "{taken:?}");
}
