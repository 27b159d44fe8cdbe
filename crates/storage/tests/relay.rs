//! Questions to members that a node does not reach itself go by way of another node.

mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Cut, Fleet, ask};
use sumacdrift_ledger::TurnEnded;
use sumacdrift_proto::{Relay, RelayedQuestion, Request, Response};
use sumacdrift_storage::{Admission, BeginTurn, LedgerClient, LedgerError};

/// A turn of a program that may generate so many tokens that few turns fit.
fn begin(turn: &str, previous: &str) -> BeginTurn {
    BeginTurn { budget_tokens: 250, ..fleet::begin(turn, previous) }
}

/// The end of a turn that generated a good part of them.
fn end(turn: &str, previous: &str) -> TurnEnded {
    TurnEnded { tokens: 60, ..fleet::end(turn, previous) }
}

const ALL: [usize; 3] = [0, 1, 2];

/// A client that is cut off, with so many nodes that pass its questions on.
async fn cut_off(fleet: &Fleet, cut: &Cut, relays: usize) -> (Arc<LedgerClient>, Vec<SocketAddr>) {
    let client = fleet.cut_client(0, cut.clone());
    let mut addresses = Vec::new();
    for position in 0..relays {
        let (address, _) = fleet.relay(position, fleet.client(position)).await;
        addresses.push(address);
    }
    client.learn_relays(addresses.clone());
    (client, addresses)
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_from_all_members_asks_around_and_at_once_from_then_on() {
    let fleet = Fleet::start(3).await;
    let (client, _) = cut_off(&fleet, &Cut::of(&ALL), 2).await;
    let (outcome, first) = ask(&client, begin("t1", "")).await;
    outcome.expect("an admission");
    assert!(first < Duration::from_millis(200), "{first:?}");
    for turn in ["t2", "t3"] {
        client.end(end(turn, ""), Bytes::new()).await.expect("an end");
    }
    let (_, later) = ask(&client, begin("t1", "")).await;
    assert!(later < Duration::from_millis(5), "{later:?}");
}

#[tokio::test(start_paused = true)]
async fn budgets_and_kept_turns_hold_by_either_way() {
    let fleet = Fleet::start(3).await;
    let (around, _) = cut_off(&fleet, &Cut::of(&ALL), 2).await;
    let direct = fleet.client(1);
    ask(&direct, begin("t1", "")).await.0.expect("an admission");
    direct.end(end("t1", ""), Bytes::new()).await.expect("an end");
    let admission = ask(&around, begin("t2", "t1")).await.0.expect("an admission");
    assert_eq!(admission.counted_tokens, 60);
    assert_eq!(admission.chain.into_prompt(b"new"), "in t1out t1new".as_bytes());
    around.end(end("t2", "t1"), Bytes::new()).await.expect("an end");
    // 120 of 250 are spent: a third turn fits, a fourth beside it does not.
    ask(&direct, begin("t3", "t2")).await.0.expect("an admission");
    assert_eq!(ask(&around, begin("t4", "t2")).await.0.expect_err("too much"), LedgerError::BudgetSpent);
    let unknown = ask(&around, begin("t5", "never")).await.0.expect_err("no such turn");
    assert!(matches!(unknown, LedgerError::UnknownPrevious | LedgerError::BudgetSpent));
}

#[tokio::test(start_paused = true)]
async fn a_relay_that_dies_is_replaced_by_another() {
    let fleet = Fleet::start(3).await;
    let (client, relays) = cut_off(&fleet, &Cut::of(&ALL), 2).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    fleet.network.set_reachable(relays[0], false);
    for turn in 0..6 {
        let mut turn = begin(&format!("u{turn}"), "");
        turn.budget_tokens = 0;
        let (outcome, taken) = ask(&client, turn).await;
        outcome.expect("an admission");
        assert!(taken < Duration::from_millis(600), "{taken:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_member_that_is_reached_again_is_asked_directly() {
    let fleet = Fleet::start(3).await;
    let cut = Cut::of(&ALL);
    let (client, relays) = cut_off(&fleet, &cut, 1).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    cut.set(&[]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.network.set_reachable(relays[0], false);
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    outcome.expect("an admission");
    assert!(taken < Duration::from_millis(100), "{taken:?}");
}

/// One that is dead for everybody is not asked for by way of others again and again.
#[tokio::test(start_paused = true)]
async fn where_nobody_reaches_a_majority_nothing_is_said() {
    let fleet = Fleet::start(3).await;
    let cut = Cut::of(&ALL);
    let (client, _) = cut_off(&fleet, &cut, 2).await;
    for position in [1, 2] {
        fleet.network.set_reachable(fleet::address(position), false);
    }
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    assert_eq!(outcome.expect_err("no majority"), LedgerError::Unavailable);
    assert!(taken <= Duration::from_millis(2_100), "{taken:?}");
}

/// A relay passes questions on to members only, and a question makes one hop.
#[tokio::test(start_paused = true)]
async fn a_relay_is_no_open_proxy() {
    let fleet = Fleet::start(3).await;
    let (near, _) = fleet.relay(0, fleet.client(0)).await;
    let (far, _) = fleet.relay(1, fleet.client(1)).await;
    let to_relay = Relay {
        to: far,
        within: Duration::from_secs(1),
        question: RelayedQuestion::Ledger(Bytes::from_static(b"x")),
    };
    let answer = fleet.transport().request(near, Request::Relay(to_relay), Duration::from_secs(2)).await;
    assert!(matches!(answer, Ok(Response::Failed(_))), "{answer:?}");
    let plain = fleet.transport().request(near, Request::Ledger(Bytes::new()), Duration::from_secs(2)).await;
    assert!(matches!(plain, Ok(Response::Failed(_))), "{plain:?}");
}

/// A node that nobody answers says so soon, and a program's turn can go to another node.
#[tokio::test(start_paused = true)]
async fn a_node_that_nobody_answers_any_more_gives_its_turns_up_soon() {
    let fleet = Fleet::start(3).await;
    let cut = Cut::default();
    let (client, relays) = cut_off(&fleet, &cut, 2).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    assert!(!client.is_isolated());
    fleet.nodes.iter().for_each(|node| node.silence(true));
    relays.iter().for_each(|relay| fleet.network.set_reachable(*relay, false));
    let (outcome, taken) = ask(&client, begin("t2", "")).await;
    assert_eq!(outcome.expect_err("nobody answers"), LedgerError::Unavailable);
    assert!(taken <= Duration::from_millis(500), "{taken:?}");
    assert!(client.is_isolated());
    let (outcome, taken) = ask(&client, begin("t3", "")).await;
    outcome.expect_err("nobody answers");
    assert!(taken <= Duration::from_millis(1), "{taken:?}");
    fleet.nodes.iter().for_each(|node| node.silence(false));
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Lets all members fall silent for a time, and asks.
async fn ask_during_a_pause(
    lasting: Duration,
) -> (Arc<LedgerClient>, Result<Admission, LedgerError>, Duration) {
    let fleet = Fleet::start(3).await;
    let (client, _) = cut_off(&fleet, &Cut::default(), 2).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    let nodes = fleet.nodes.clone();
    nodes.iter().for_each(|node| node.silence(true));
    tokio::spawn(async move {
        tokio::time::sleep(lasting).await;
        nodes.iter().for_each(|node| node.silence(false));
    });
    let (outcome, taken) = ask(&client, begin("t2", "")).await;
    (client, outcome, taken)
}

/// Where nodes that pass questions on answer, the ledger pauses for everybody: a pause shorter than a round is waited
/// for.
#[tokio::test(start_paused = true)]
async fn a_short_pause_of_the_ledger_is_waited_for() {
    let lasting = Duration::from_millis(600);
    let (_, outcome, taken) = ask_during_a_pause(lasting).await;
    outcome.expect("an admission");
    assert!(taken >= lasting, "{taken:?}");
}

/// A longer one is not: its callers are told to come back, and are admitted when they do.
#[tokio::test(start_paused = true)]
async fn a_long_pause_of_the_ledger_is_told_of() {
    let (client, outcome, taken) = ask_during_a_pause(Duration::from_millis(1_200)).await;
    assert_eq!(outcome.expect_err("a pause"), LedgerError::Unavailable);
    assert!(taken <= Duration::from_millis(1_050), "{taken:?}");
    tokio::time::sleep(Duration::from_millis(600)).await;
    let unbounded = BeginTurn { budget_tokens: 0, ..begin("t3", "") };
    ask(&client, unbounded).await.0.expect("an admission");
}

/// Nobody ever answered: all nodes may be coming up together.
#[tokio::test(start_paused = true)]
async fn before_anybody_answered_nobody_is_isolated() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    fleet.nodes.iter().for_each(|node| node.silence(true));
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    outcome.expect_err("no majority");
    assert!(taken >= Duration::from_millis(1_900), "{taken:?}");
}

/// Escrutinio scale-2: edges that were cut off together asked each other.
#[tokio::test(start_paused = true)]
async fn a_relay_that_is_cut_off_itself_is_left_for_another_and_says_so() {
    let fleet = Fleet::start(3).await;
    let cut = Cut::of(&ALL);
    let client = fleet.cut_client(0, cut.clone());
    let fellow = fleet.cut_client(1, cut.clone());
    let (fellow_at, _) = fleet.relay(0, Arc::clone(&fellow)).await;
    let (good_at, _) = fleet.relay(1, fleet.client(1)).await;
    client.learn_relays(vec![fellow_at, good_at]);
    fellow.learn_relays(vec![good_at]);
    let begin = |turn| BeginTurn { budget_tokens: 0, ..begin(turn, "") };
    ask(&client, begin("t1")).await.0.expect("an admission");
    for turn in ["t2", "t3"] {
        let (outcome, taken) = ask(&client, begin(turn)).await;
        outcome.expect("an admission");
        assert!(taken < Duration::from_millis(50), "{taken:?}");
    }
    assert!(!client.reaches_members());
    let direct = fleet.client(2);
    ask(&direct, begin("t4")).await.0.expect("an admission");
    assert!(direct.reaches_members());
}
