//! Fan-out of client requests: a minimal majority first, and more members where those are late.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, ask, begin, end};
use sumacdrift_ledger::{Replica, ReplicaSettings};
use sumacdrift_storage::LedgerError;

#[tokio::test(start_paused = true)]
async fn requests_go_to_a_majority_that_includes_the_own_zone() {
    for (size, majority) in [(3, 2), (5, 3)] {
        let fleet = Fleet::start(size).await;
        let client = fleet.client(1);
        ask(&client, begin("t1", "")).await.0.expect("an admission");
        client.end(end("t1", ""), Bytes::new()).await.expect("an end");
        let requests = fleet.requests();
        assert_eq!(requests.iter().filter(|count| **count == 2).count(), majority, "{requests:?}");
        assert_eq!(requests.iter().sum::<usize>(), 2 * majority, "{requests:?}");
        assert_eq!(requests[1], 2, "{requests:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_member_delays_only_the_first_turn() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    fleet.nodes[0].set_silent(true);
    let (outcome, first) = ask(&client, begin("t1", "")).await;
    outcome.expect("an admission");
    assert!(first >= Duration::from_millis(20) && first < Duration::from_millis(40), "{first:?}");
    let (outcome, second) = ask(&client, begin("t2", "")).await;
    outcome.expect("an admission");
    assert!(second < Duration::from_millis(5), "{second:?}");
}

#[tokio::test(start_paused = true)]
async fn requests_to_an_unreachable_member_go_to_another_at_once() {
    let fleet = Fleet::start(5).await;
    let client = fleet.client(0);
    for position in [0, 1] {
        fleet.network.set_reachable(fleet::address(position), false);
    }
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    outcome.expect("an admission");
    assert!(taken < Duration::from_millis(5), "{taken:?}");
}

#[tokio::test(start_paused = true)]
async fn without_a_majority_a_turn_fails_after_one_round() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    ask(&client, begin("t0", "")).await.0.expect("an admission");
    fleet.nodes[1].set_silent(true);
    fleet.nodes[2].set_silent(true);
    let (outcome, taken) = ask(&client, begin("t1", "")).await;
    assert_eq!(outcome.expect_err("no majority"), LedgerError::Unavailable);
    // Not earlier either: a shorter pause of the ledger must not fail its callers.
    assert!(taken >= Duration::from_millis(900) && taken <= Duration::from_millis(1_050), "{taken:?}");
}

#[tokio::test(start_paused = true)]
async fn clients_of_every_zone_read_the_complete_chain() {
    let fleet = Fleet::start(5).await;
    let clients: Vec<_> = (0..5).map(|zone| fleet.client(zone)).collect();
    let mut previous = String::new();
    for (position, client) in clients.iter().enumerate() {
        let turn = format!("t{position}");
        client.end(end(&turn, &previous), Bytes::new()).await.expect("an end");
        previous = turn;
    }
    let whole = "in t0out t0in t1out t1in t2out t2in t3out t3in t4out t4new";
    for (position, client) in clients.iter().enumerate() {
        let (outcome, _) = ask(client, begin(&format!("next{position}"), &previous)).await;
        let prompt = outcome.expect("an admission").chain.into_prompt(&Bytes::from_static(b"new"));
        assert_eq!(prompt, whole.as_bytes(), "zone {position}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_previous_turn_that_was_never_committed_is_unknown() {
    let fleet = Fleet::start(5).await;
    let (outcome, _) = ask(&fleet.client(2), begin("t1", "never")).await;
    assert_eq!(outcome.expect_err("unknown"), LedgerError::UnknownPrevious);
}

#[tokio::test(start_paused = true)]
async fn a_member_that_does_not_vote_is_rarely_asked() {
    let fleet = Fleet::start(5).await;
    let client = fleet.client(0);
    let settings = ReplicaSettings { node: "n0".to_owned(), is_first_start: false };
    let mut wiped = Replica::new(settings);
    wiped.install(fleet.group.clone());
    *fleet.nodes[0].replica.lock().expect("a replica") = wiped;
    for number in 0..20 {
        let turn = format!("t{number}");
        let (outcome, taken) = ask(&client, begin(&turn, "")).await;
        outcome.expect("an admission");
        assert!(taken < Duration::from_millis(5), "{taken:?}");
        client.end(end(&turn, ""), Bytes::new()).await.expect("an end");
    }
    // Time for tasks that still retry.
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(fleet.nodes[0].requests() <= 2, "{:?}", fleet.requests());
}

#[tokio::test(start_paused = true)]
async fn requests_are_not_hedged_while_all_members_are_slow() {
    let fleet = Fleet::start(5).await;
    let client = fleet.client(0);
    fleet.nodes.iter().for_each(|node| node.latency_millis.store(100, Ordering::Relaxed));
    for number in 0..30 {
        ask(&client, begin(&format!("t{number}"), "")).await.0.expect("an admission");
    }
    let before: usize = fleet.requests().iter().sum();
    for number in 30..40 {
        ask(&client, begin(&format!("t{number}"), "")).await.0.expect("an admission");
    }
    assert_eq!(fleet.requests().iter().sum::<usize>() - before, 10 * 3);
}
