//! Requests through relays to members that a node cannot reach itself.

mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, Partition, ask};
use sumacdrift_ledger::TurnEnded;
use sumacdrift_proto::{Relay, RelayedQuestion, Request, Response};
use sumacdrift_storage::{Admission, BeginTurn, LedgerClient, LedgerError};

/// A turn with a budget that admits few turns.
fn begin(turn: &str, previous: &str) -> BeginTurn {
    BeginTurn { budget_tokens: 250, ..fleet::begin(turn, previous) }
}

/// The end of a turn that used a good part of the budget.
fn end(turn: &str, previous: &str) -> TurnEnded {
    TurnEnded { tokens: 60, ..fleet::end(turn, previous) }
}

const ALL_MEMBERS: [usize; 3] = [0, 1, 2];

/// A partitioned client with this number of relays.
async fn partitioned_client_with_relays(
    fleet: &Fleet,
    partition: &Partition,
    relays: usize,
) -> (Arc<LedgerClient>, Vec<SocketAddr>) {
    let client = fleet.partitioned_client(0, partition.clone());
    let mut addresses = Vec::new();
    for position in 0..relays {
        let (address, _) = fleet.relay(position, fleet.client(position)).await;
        addresses.push(address);
    }
    client.set_relays(addresses.clone());
    (client, addresses)
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_node_uses_relays_and_later_without_delay() {
    let fleet = Fleet::start(3).await;
    let (client, _) = partitioned_client_with_relays(&fleet, &Partition::of(&ALL_MEMBERS), 2).await;
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
async fn budgets_and_chains_are_the_same_over_both_routes() {
    let fleet = Fleet::start(3).await;
    let (relayed, _) = partitioned_client_with_relays(&fleet, &Partition::of(&ALL_MEMBERS), 2).await;
    let direct = fleet.client(1);
    ask(&direct, begin("t1", "")).await.0.expect("an admission");
    direct.end(end("t1", ""), Bytes::new()).await.expect("an end");
    let admission = ask(&relayed, begin("t2", "t1")).await.0.expect("an admission");
    assert_eq!(admission.counted_tokens, 60);
    assert_eq!(admission.chain.into_prompt(&Bytes::from_static(b"new")), "in t1out t1new".as_bytes());
    relayed.end(end("t2", "t1"), Bytes::new()).await.expect("an end");
    // 120 of 250 tokens are spent: a third turn fits, a concurrent fourth does not.
    ask(&direct, begin("t3", "t2")).await.0.expect("an admission");
    assert_eq!(ask(&relayed, begin("t4", "t2")).await.0.expect_err("too much"), LedgerError::BudgetSpent);
    let unknown = ask(&relayed, begin("t5", "never")).await.0.expect_err("no such turn");
    assert!(matches!(unknown, LedgerError::UnknownPrevious | LedgerError::BudgetSpent));
}

#[tokio::test(start_paused = true)]
async fn a_failed_relay_is_replaced() {
    let fleet = Fleet::start(3).await;
    let (client, relays) = partitioned_client_with_relays(&fleet, &Partition::of(&ALL_MEMBERS), 2).await;
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
async fn a_member_that_is_reachable_again_is_asked_directly() {
    let fleet = Fleet::start(3).await;
    let partition = Partition::of(&ALL_MEMBERS);
    let (client, relays) = partitioned_client_with_relays(&fleet, &partition, 1).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    partition.set(&[]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.network.set_reachable(relays[0], false);
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    outcome.expect("an admission");
    assert!(taken < Duration::from_millis(100), "{taken:?}");
}

/// Members that no node reaches are not requested through relays repeatedly.
#[tokio::test(start_paused = true)]
async fn a_turn_fails_if_no_majority_is_reachable_over_any_route() {
    let fleet = Fleet::start(3).await;
    let partition = Partition::of(&ALL_MEMBERS);
    let (client, _) = partitioned_client_with_relays(&fleet, &partition, 2).await;
    for position in [1, 2] {
        fleet.network.set_reachable(fleet::address(position), false);
    }
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    assert_eq!(outcome.expect_err("no majority"), LedgerError::Unavailable);
    assert!(taken <= Duration::from_millis(2_100), "{taken:?}");
}

/// A relay forwards requests to members only, so a request makes one hop.
#[tokio::test(start_paused = true)]
async fn a_relay_rejects_targets_that_are_not_members() {
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

/// An isolated node fails its turns early, so that the caller can retry at another node.
#[tokio::test(start_paused = true)]
async fn an_isolated_node_fails_turns_early() {
    let fleet = Fleet::start(3).await;
    let partition = Partition::default();
    let (client, relays) = partitioned_client_with_relays(&fleet, &partition, 2).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    assert!(!client.is_isolated());
    fleet.nodes.iter().for_each(|node| node.set_silent(true));
    relays.iter().for_each(|relay| fleet.network.set_reachable(*relay, false));
    let (outcome, taken) = ask(&client, begin("t2", "")).await;
    assert_eq!(outcome.expect_err("nobody answers"), LedgerError::Unavailable);
    assert!(taken <= Duration::from_millis(500), "{taken:?}");
    assert!(client.is_isolated());
    let (outcome, taken) = ask(&client, begin("t3", "")).await;
    outcome.expect_err("nobody answers");
    assert!(taken <= Duration::from_millis(1), "{taken:?}");
    fleet.nodes.iter().for_each(|node| node.set_silent(false));
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Starts a turn while no member replies for a time.
async fn begin_during_pause(
    pause: Duration,
) -> (Arc<LedgerClient>, Result<Admission, LedgerError>, Duration) {
    let fleet = Fleet::start(3).await;
    let (client, _) = partitioned_client_with_relays(&fleet, &Partition::default(), 2).await;
    ask(&client, begin("t1", "")).await.0.expect("an admission");
    let nodes = fleet.nodes.clone();
    nodes.iter().for_each(|node| node.set_silent(true));
    tokio::spawn(async move {
        tokio::time::sleep(pause).await;
        nodes.iter().for_each(|node| node.set_silent(false));
    });
    let (outcome, taken) = ask(&client, begin("t2", "")).await;
    (client, outcome, taken)
}

/// Relays reply, so the ledger is paused for all nodes, and callers wait out a pause shorter than a round.
#[tokio::test(start_paused = true)]
async fn a_turn_waits_for_the_end_of_a_short_pause() {
    let pause = Duration::from_millis(600);
    let (_, outcome, taken) = begin_during_pause(pause).await;
    outcome.expect("an admission");
    assert!(taken >= pause, "{taken:?}");
}

/// In a longer pause callers get an error, and are admitted when they retry after it.
#[tokio::test(start_paused = true)]
async fn a_turn_fails_during_a_long_pause_and_succeeds_after_it() {
    let (client, outcome, taken) = begin_during_pause(Duration::from_millis(1_200)).await;
    assert_eq!(outcome.expect_err("a pause"), LedgerError::Unavailable);
    assert!(taken <= Duration::from_millis(1_050), "{taken:?}");
    tokio::time::sleep(Duration::from_millis(600)).await;
    let unbounded = BeginTurn { budget_tokens: 0, ..begin("t3", "") };
    ask(&client, unbounded).await.0.expect("an admission");
}

/// Without any reply yet, all nodes may be starting together.
#[tokio::test(start_paused = true)]
async fn a_node_without_any_reply_yet_is_not_isolated() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    fleet.nodes.iter().for_each(|node| node.set_silent(true));
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    outcome.expect_err("no majority");
    assert!(taken >= Duration::from_millis(1_900), "{taken:?}");
}

/// Guards against partitioned edges that use each other as relays.
#[tokio::test(start_paused = true)]
async fn a_partitioned_relay_is_replaced_and_reports_that_it_cannot_relay() {
    let fleet = Fleet::start(3).await;
    let partition = Partition::of(&ALL_MEMBERS);
    let client = fleet.partitioned_client(0, partition.clone());
    let partitioned_peer = fleet.partitioned_client(1, partition.clone());
    let (peer_relay, _) = fleet.relay(0, Arc::clone(&partitioned_peer)).await;
    let (working_relay, _) = fleet.relay(1, fleet.client(1)).await;
    client.set_relays(vec![peer_relay, working_relay]);
    partitioned_peer.set_relays(vec![working_relay]);
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
