//! A group that is slow, busy or gone: its callers get their answer at once, it is not asked harder, and it comes back.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::{Fleet, ask, begin};
use sumacdrift_storage::LedgerError;

#[tokio::test(start_paused = true)]
async fn callers_of_a_group_that_decides_nothing_are_told_at_once_when_to_come_back() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    ask(&client, begin("t0", "")).await.0.expect("an admission");
    fleet.nodes[1..].iter().for_each(|node| node.silence(true));
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
async fn a_group_that_is_back_is_found_within_a_fraction_of_a_second() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    ask(&client, begin("t0", "")).await.0.expect("an admission");
    fleet.nodes[1..].iter().for_each(|node| node.silence(true));
    for number in 0..30 {
        let client = client.clone();
        tokio::spawn(async move { ask(&client, begin(&format!("lost{number}"), "")).await.0.is_ok() });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.nodes[1..].iter().for_each(|node| node.silence(false));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut admitted = 0;
    for number in 0..20 {
        admitted += usize::from(ask(&client, begin(&format!("found{number}"), "")).await.0.is_ok());
    }
    assert!(admitted >= 18, "{admitted}");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_early_does_not_close_a_group_that_works() {
    let fleet = Fleet::start(3).await;
    let client = fleet.client(0);
    fleet.nodes.iter().for_each(|node| node.delay.store(30, Ordering::Relaxed));
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
async fn a_slow_group_gets_at_most_a_tenth_more_questions() {
    let fleet = Fleet::start(5).await;
    let client = fleet.client(0);
    for number in 0..50 {
        ask(&client, begin(&format!("t{number}"), "")).await.0.expect("an admission");
    }
    let before: usize = fleet.requests().iter().sum();
    fleet.nodes.iter().for_each(|node| node.delay.store(350, Ordering::Relaxed));
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
    // What was saved up, and the small share that every node may always use.
    let allowed = needed / 10 + 20 + began.elapsed().as_secs() as usize * 4;
    assert!(asked <= needed + allowed, "{asked} of {needed}");
}

/// Tries of a caller whose turn is refused.
const TRIES: usize = 3;
/// Callers begin a turn so often, and twice as often during the burst.
const TURN_EVERY: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(40);

/// Which seconds of a day are served, by the second in which a turn's caller came.
async fn play_a_day(fleet: &Fleet, burst: std::ops::Range<u64>) -> (Vec<usize>, Vec<usize>) {
    let clients: Vec<_> = (0..3).map(|zone| fleet.client(zone)).collect();
    let began = tokio::time::Instant::now();
    let mut turns = Vec::new();
    let mut number = 0;
    while began.elapsed() < DAY {
        let second = began.elapsed().as_secs();
        let client = clients[number % clients.len()].clone();
        let mut turn = begin(&format!("t{number}"), "");
        turn.turn.program = format!("program-{number}");
        turns.push(tokio::spawn(async move {
            for _ in 0..TRIES {
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
        let pause = if burst.contains(&second) { TURN_EVERY / 2 } else { TURN_EVERY };
        tokio::time::sleep(pause).await;
    }
    let seconds = DAY.as_secs() as usize;
    let (mut asked, mut served) = (vec![0; seconds], vec![0; seconds]);
    for turn in turns {
        let (second, is_served) = turn.await.expect("a turn");
        asked[second as usize] += 1;
        served[second as usize] += usize::from(is_served);
    }
    (asked, served)
}

#[tokio::test(start_paused = true)]
async fn a_day_on_which_a_group_dies_for_ten_seconds_under_a_burst_ends_as_it_began() {
    let fleet = Fleet::start_groups(3, 3).await;
    // Each member can take 100 requests a second; calm days bring it 45 at most, the burst 90.
    fleet.nodes.iter().for_each(|node| node.work.store(10, Ordering::Relaxed));
    let dying: Vec<_> = fleet.nodes[..3].to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(10)).await;
        dying.iter().for_each(|node| node.silence(true));
        tokio::time::sleep(Duration::from_secs(10)).await;
        dying.iter().for_each(|node| node.silence(false));
    });
    let (asked, served) = play_a_day(&fleet, 8..22).await;
    let share = |seconds: std::ops::Range<usize>| {
        served[seconds.clone()].iter().sum::<usize>() as f64 / asked[seconds].iter().sum::<usize>() as f64
    };
    assert!(share(0..5) >= 0.99, "{served:?} of {asked:?}");
    assert!(share(35..40) >= share(0..5), "{served:?} of {asked:?}");
    // Two thirds of the programs belong to groups that live, and lose nothing meanwhile.
    assert!(share(12..18) >= 0.6, "{served:?} of {asked:?}");
    assert!(share(22..25) >= 0.95, "{served:?} of {asked:?}");
}
