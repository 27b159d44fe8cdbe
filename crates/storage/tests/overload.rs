//! Groups that are slow, overloaded or down: callers are rejected early, extra load is bounded, and the group
//! recovers.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::{Fleet, ask, begin};
use sumacdrift_storage::LedgerError;

#[tokio::test(start_paused = true)]
async fn calls_of_an_unavailable_group_are_rejected_at_once_with_a_retry_delay() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    ask(&client, begin("t0", "")).await.0.expect("an admission");
    fleet.nodes[1..].iter().for_each(|node| node.set_silent(true));
    let (_, first) = ask(&client, begin("t1", "")).await;
    assert!(first <= Duration::from_millis(1_050), "{first:?}");
    let mut refused = 0;
    for number in 0..20 {
        let (outcome, taken) = tokio::join!(
            ask(&client, begin(&format!("probe{number}"), "")),
            ask(&client, begin(&format!("turn{number}"), "")),
        )
        .1;
        match outcome.expect_err("nobody answers") {
            LedgerError::GroupUnavailable { retry_after } => {
                assert!(taken < Duration::from_millis(2), "{taken:?}");
                assert!(retry_after >= Duration::from_millis(200));
                refused += 1;
            }
            other => assert_eq!(other, LedgerError::Unavailable),
        }
    }
    assert!(refused >= 18, "{refused}");
}

#[tokio::test(start_paused = true)]
async fn a_recovered_group_is_used_again_within_300_ms() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    ask(&client, begin("t0", "")).await.0.expect("an admission");
    fleet.nodes[1..].iter().for_each(|node| node.set_silent(true));
    for number in 0..30 {
        let client = client.clone();
        tokio::spawn(async move { ask(&client, begin(&format!("lost{number}"), "")).await.0.is_ok() });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.nodes[1..].iter().for_each(|node| node.set_silent(false));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut admitted = 0;
    for number in 0..20 {
        admitted += usize::from(ask(&client, begin(&format!("found{number}"), "")).await.0.is_ok());
    }
    assert!(admitted >= 18, "{admitted}");
}

#[tokio::test(start_paused = true)]
async fn cancelled_calls_do_not_open_the_circuit_breaker() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    fleet.nodes.iter().for_each(|node| node.latency_millis.store(30, Ordering::Relaxed));
    for number in 0..10 {
        let left =
            tokio::time::timeout(Duration::from_millis(10), ask(&client, begin(&format!("l{number}"), "")));
        assert!(left.await.is_err());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let turns = (0..5).map(|turn| {
            let client = client.clone();
            async move { ask(&client, begin(&format!("s{number}-{turn}"), "")).await.0 }
        });
        for turn in futures::future::join_all(turns).await {
            turn.expect("an admission");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_group_gets_at_most_a_tenth_more_requests() {
    let fleet = Fleet::start(5).await;
    let client = fleet.client(0);
    for number in 0..50 {
        ask(&client, begin(&format!("t{number}"), "")).await.0.expect("an admission");
    }
    let before: usize = fleet.requests().iter().sum();
    fleet.nodes.iter().for_each(|node| node.latency_millis.store(350, Ordering::Relaxed));
    let began = tokio::time::Instant::now();
    let calls = 400;
    let turns = (0..calls).map(|number| {
        let client = client.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(20 * number)).await;
            ask(&client, begin(&format!("slow{number}"), "")).await.0.is_ok()
        }
    });
    futures::future::join_all(turns).await;
    let asked: usize = fleet.requests().iter().sum::<usize>() - before;
    let needed = 3 * calls as usize;
    // The capacity of the retry budget, and its minimum rate.
    let allowed = needed / 10 + 20 + began.elapsed().as_secs() as usize * 4;
    assert!(asked <= needed + allowed, "{asked} of {needed}");
}

const MAX_TRIES: usize = 3;
/// Interval between turns; half of it during the burst.
const TURN_INTERVAL: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_secs(40);

/// Turns begun and turns served, by the second in which they began.
async fn run_load(fleet: &Fleet, burst: std::ops::Range<u64>) -> (Vec<usize>, Vec<usize>) {
    let clients: Vec<_> = (0..3).map(|zone| fleet.client(zone)).collect();
    let began = tokio::time::Instant::now();
    let mut turns = Vec::new();
    let mut number = 0;
    while began.elapsed() < RUN_TIME {
        let second = began.elapsed().as_secs();
        let client = clients[number % clients.len()].clone();
        let mut turn = begin(&format!("t{number}"), "");
        turn.turn.program = format!("program-{number}");
        turns.push(tokio::spawn(async move {
            for _ in 0..MAX_TRIES {
                match ask(&client, turn.clone()).await.0 {
                    Ok(_) => return (second, true),
                    Err(LedgerError::GroupUnavailable { retry_after }) => {
                        tokio::time::sleep(retry_after).await
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(200)).await,
                }
            }
            (second, false)
        }));
        number += 1;
        let pause = if burst.contains(&second) { TURN_INTERVAL / 2 } else { TURN_INTERVAL };
        tokio::time::sleep(pause).await;
    }
    let seconds = RUN_TIME.as_secs() as usize;
    let (mut asked, mut served) = (vec![0; seconds], vec![0; seconds]);
    for turn in turns {
        let (second, is_served) = turn.await.expect("a turn");
        asked[second as usize] += 1;
        served[second as usize] += usize::from(is_served);
    }
    (asked, served)
}

#[tokio::test(start_paused = true)]
async fn service_recovers_after_a_group_fails_for_ten_seconds_during_a_burst() {
    let fleet = Fleet::start_groups(3, 3).await;
    // Each member handles 100 requests a second; the base load is 45 at most, the burst 90.
    fleet.nodes.iter().for_each(|node| node.processing_millis.store(10, Ordering::Relaxed));
    let failing_nodes: Vec<_> = fleet.nodes[..3].to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(10)).await;
        failing_nodes.iter().for_each(|node| node.set_silent(true));
        tokio::time::sleep(Duration::from_secs(10)).await;
        failing_nodes.iter().for_each(|node| node.set_silent(false));
    });
    let (asked, served) = run_load(&fleet, 8..22).await;
    let share = |seconds: std::ops::Range<usize>| {
        served[seconds.clone()].iter().sum::<usize>() as f64 / asked[seconds].iter().sum::<usize>() as f64
    };
    assert!(share(0..5) >= 0.99, "{served:?} of {asked:?}");
    assert!(share(35..40) >= share(0..5), "{served:?} of {asked:?}");
    // Two thirds of the programs belong to responsive groups and are unaffected.
    assert!(share(12..18) >= 0.6, "{served:?} of {asked:?}");
    assert!(share(22..25) >= 0.95, "{served:?} of {asked:?}");
}
