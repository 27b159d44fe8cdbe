//! A ledger of several groups: routing of programs, and chains that continue a turn of another program.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, ask, begin, end};
use sumacdrift_ledger::TurnEnded;
use sumacdrift_storage::{BeginTurn, LedgerClient, LedgerError};

const GROUPS: usize = 3;
const GROUP_SIZE: usize = 3;

/// Name of a program that belongs to a group.
fn program_of(fleet: &Fleet, number: u32) -> String {
    let mut names = (0..).map(|index| format!("program-{index}"));
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

/// Requests received by the members of each group.
fn requests_by_group(fleet: &Fleet) -> Vec<usize> {
    fleet.requests().chunks(GROUP_SIZE).map(|group| group.iter().sum()).collect()
}

#[tokio::test(start_paused = true)]
async fn requests_go_only_to_the_group_of_the_program() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    run_turn(&client, &program_of(&fleet, 1), "t1", "").await;
    assert_eq!(requests_by_group(&fleet), [0, 4, 0]);
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_group_delays_only_its_own_programs() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    fleet.nodes[..GROUP_SIZE].iter().for_each(|node| node.set_silent(true));
    let (outcome, _) = ask(&client, begin_of(&program_of(&fleet, 0), "t0", "")).await;
    assert_eq!(outcome.expect_err("nobody answers"), LedgerError::Unavailable);
    for number in [1, 2] {
        let (outcome, taken) = ask(&client, begin_of(&program_of(&fleet, number), "t1", "")).await;
        outcome.expect("an admission");
        assert!(taken < Duration::from_millis(5), "{taken:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_program_continues_a_turn_of_another_group() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    let (first, second) = (program_of(&fleet, 0), program_of(&fleet, 2));
    run_turn(&client, &first, "t1", "").await;
    run_turn(&client, &first, "t2", "t1").await;
    run_turn(&client, &second, "t3", "t2").await;
    // The chain of the next turn begins in the own group and continues in the other.
    let (outcome, _) = ask(&client, begin_of(&second, "t4", "t3")).await;
    let prompt = outcome.expect("an admission").chain.into_prompt(&Bytes::from_static(b"new"));
    assert_eq!(prompt, "in t1out t1in t2out t2in t3out t3new".as_bytes());
}

#[tokio::test(start_paused = true)]
async fn a_turn_is_unknown_only_if_a_majority_of_every_group_lacks_it() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    let program = program_of(&fleet, 1);
    let (outcome, _) = ask(&client, begin_of(&program, "t1", "never")).await;
    assert_eq!(outcome.expect_err("unknown"), LedgerError::UnknownPrevious);
    // Two of three members of another group do not reply; one of them might know the turn.
    fleet.nodes[0].set_silent(true);
    fleet.nodes[1].set_silent(true);
    let (outcome, _) = ask(&client, begin_of(&program, "t2", "never")).await;
    assert_eq!(outcome.expect_err("not certain"), LedgerError::Unavailable);
}

#[tokio::test(start_paused = true)]
async fn an_empty_member_does_not_count_towards_an_unknown_turn() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
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
async fn a_budget_applies_to_a_turn_that_continues_one_of_another_group() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    let (first, second) = (program_of(&fleet, 0), program_of(&fleet, 2));
    run_turn(&client, &first, "t1", "").await;
    let small_budget = BeginTurn { budget_tokens: 50, ..begin_of(&second, "t2", "t1") };
    assert_eq!(ask(&client, small_budget).await.0.expect_err("no budget"), LedgerError::BudgetSpent);
}

#[tokio::test(start_paused = true)]
async fn a_client_with_an_old_epoch_adopts_the_newer_group_from_its_members() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    let program = program_of(&fleet, 1);
    // One member was removed from the group.
    let group = &fleet.map.groups()[1];
    let newer = group.without_member(&group.members[0].node);
    for node in &fleet.nodes[GROUP_SIZE..2 * GROUP_SIZE] {
        node.replica.lock().expect("a replica").install(newer.clone());
    }
    run_turn(&client, &program, "t1", "").await;
    assert_eq!(client.epoch_of(&program), newer.epoch);
}

#[tokio::test(start_paused = true)]
async fn a_slow_group_does_not_raise_the_hedge_delay_of_others() {
    let fleet = Fleet::start_groups(GROUPS, GROUP_SIZE).await;
    let client = fleet.client(0);
    fleet.nodes[..GROUP_SIZE].iter().for_each(|node| node.latency_millis.store(200, Ordering::Relaxed));
    let (slow, responsive) = (program_of(&fleet, 0), program_of(&fleet, 1));
    for number in 0..40 {
        ask(&client, begin_of(&slow, &format!("s{number}"), "")).await.0.expect("an admission");
        client.end(end_of(&slow, &format!("s{number}"), ""), Bytes::new()).await.expect("an end");
    }
    // The member of the other group in the own zone does not reply.
    fleet.nodes[GROUP_SIZE].set_silent(true);
    let (outcome, taken) = ask(&client, begin_of(&responsive, "t1", "")).await;
    outcome.expect("an admission");
    assert!(taken < Duration::from_millis(40), "{taken:?}");
}
