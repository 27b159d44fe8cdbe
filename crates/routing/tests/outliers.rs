//! Outlier ejection by the fleet together. Aim, each over several seeds, on a virtual clock:
//!
//! - one engine of 12 fails 40 % of its calls, 50 calls a second there over 50 edges, news 300 ms old: 1.5 s after the fault's
//!   begin (0.5 s for enough calls and 1 s more) it gets under a tenth of its share; over 20 s of fault at most half of the failures;
//!   the same 2 s after the begin where it fails a third, and every edge has put it aside by then;
//! - a quarter or half of the engines fail alike: never more than a fifth is put aside and all keep serving;
//! - the fault ends: full share again within the longest pause, the return and the time of news (30 s), after a short fault within 9 s;
//! - no news for two seconds: only the own counts say anything; half of the edges of an older build: no more failures;
//! - an engine that fails now and then is put aside for longer each time;
//! - 2 % of all calls fail everywhere, ten seeds: no engine is put aside; nothing fails: the choices are the same.

mod engines_for_tests;
mod fleet_for_tests;

use std::time::Duration;

use fleet_for_tests::{Build, Result, Scenario, Work, at, edge_book, engine_id, play};
use sumacdrift_calls::{EngineId, EngineStart};
use sumacdrift_fleet_view::{EngineLoad, Loads, engine_key};
use sumacdrift_routing::{
    CallCounts, EngineBook, EngineSpec, FIRST_ASIDE, JudgedEngine, LEAST_SAMPLE, LONGEST_ASIDE, Outcome,
    OutlierChangeKind, RETURN_TIME, Stage, Verdict, judge, most_aside,
};
use sumacdrift_types::{Mechanism, SwitchedOff, Timestamp};

const EDGES: usize = 50;
const ENGINES: usize = 12;
const FULL_SHARE: f64 = 1.0 / ENGINES as f64;
/// The fault begins then, in milliseconds.
const BEGINS: u64 = 5_000;
/// How long calls of before a moment can still be told: they count for 1.6 s, a board keeps them for 1 s, news are 0.3 s old.
const NEWS_LAST: Duration = Duration::from_secs(3);
/// Chances that a call fails at an engine that has the fault.
const SICK: f64 = 0.4;
const LESS_SICK: f64 = 1.0 / 3.0;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// All edges of one build before the usual engines, some of which fail calls within a time.
fn fault(seed: u64, build: Build, sick: usize, millis: std::ops::Range<u64>, lasts: u64) -> Scenario {
    Scenario {
        seed,
        builds: vec![build; EDGES],
        engines: ENGINES,
        slots: 64,
        work: Work::Stream,
        calls_per_second: 600.0,
        lasts: Duration::from_millis(lasts),
        fails: Box::new(move |engine, now| {
            let is_on = now >= at(millis.start) && now < at(millis.end);
            if engine < sick && is_on { SICK } else { 0.0 }
        }),
    }
}

/// One engine fails a part of its calls from the begin of the fault on.
fn one_fails(part: f64) -> Box<dyn Fn(usize, Timestamp) -> f64> {
    Box::new(move |engine, now| if engine == 0 && now >= at(BEGINS) { part } else { 0.0 })
}

#[test]
fn an_engine_that_fails_a_part_of_its_calls_is_put_aside() {
    for (seed, part) in SEEDS.flat_map(|seed| [(seed, SICK), (seed, LESS_SICK)]) {
        let fault = |build| {
            let fails = one_fails(part);
            play(&Scenario { fails, ..fault(seed, build, 0, 0..0, 25_000) })
        };
        let (without, with) = (fault(Build::Without), fault(Build::Now));
        // A smaller part takes longer to stand out of the calls before the fault.
        let shows_after = if part == SICK { 1_500 } else { 2_000 };
        let share =
            |result: &Result| result.share(0, at(BEGINS + shows_after), at(BEGINS + shows_after + 2_000));
        let (before, after) = (share(&without), share(&with));
        let mut first: Vec<Option<Timestamp>> = (0..EDGES).map(|edge| with.first_put_aside(edge)).collect();
        first.sort_unstable();
        let shown = [0, EDGES / 2, EDGES - 1].map(|edge| first[edge].map(|now| now.since(at(BEGINS))));
        println!("first, median and last edge put it aside after {shown:?}");
        println!(
            "seed {seed}, {part:.2}: share {before:.3} -> {after:.3}, failures {} -> {}",
            without.failures(),
            with.failures()
        );
        let all_did = first[0].is_some() && first[EDGES - 1] <= Some(at(BEGINS + 2_000));
        assert!(all_did, "seed {seed}, {part:.2}: {shown:?}");
        assert!(after < FULL_SHARE / 10.0, "seed {seed}, {part:.2}: share {after:.4}");
        assert!(with.failures() * 2 <= without.failures(), "seed {seed}, {part:.2}");
    }
}

#[test]
fn a_plain_service_of_few_engines_gets_the_same() {
    for seed in SEEDS {
        let fault = |build| Scenario {
            engines: 4,
            slots: 6,
            work: Work::Whole,
            calls_per_second: 120.0,
            ..fault(seed, build, 1, BEGINS..u64::MAX, 25_000)
        };
        let (without, with) = (play(&fault(Build::Without)), play(&fault(Build::Now)));
        let share = with.share(0, at(BEGINS + 2_500), at(BEGINS + 4_500));
        println!("seed {seed}: share {share:.3}, failures {} -> {}", without.failures(), with.failures());
        assert!(share < 0.25 / 10.0, "seed {seed}: share {share:.4}");
        assert!(with.failures() * 2 <= without.failures(), "seed {seed}");
    }
}

#[test]
fn where_many_engines_fail_alike_all_keep_serving() {
    for (seed, sick) in SEEDS.flat_map(|seed| [(seed, 3), (seed, 6), (seed, 12)]) {
        let fault = |build| play(&fault(seed, build, sick, BEGINS..u64::MAX, 25_000));
        let (without, with) = (fault(Build::Without), fault(Build::Now));
        let shares = |result: &Result| {
            (0..ENGINES).map(|engine| result.share(engine, at(BEGINS), at(25_000))).collect()
        };
        let (before, after): (Vec<f64>, Vec<f64>) = (shares(&without), shares(&with));
        let of_sick = |shares: &[f64]| shares[..sick].iter().sum::<f64>();
        println!(
            "seed {seed}, {sick} sick: share of these {:.3} -> {:.3}, least {:.3} -> {:.3}, failures {} -> {}, put aside {}",
            of_sick(&before),
            of_sick(&after),
            before.iter().copied().fold(1.0, f64::min),
            after.iter().copied().fold(1.0, f64::min),
            without.failures(),
            with.failures(),
            with.put_aside()
        );
        assert!(with.most_aside <= most_aside(ENGINES), "seed {seed}, {sick} sick: {}", with.most_aside);
        // The pauses of 3, 6 and 12 s let an engine be put aside three times within the 20 s.
        assert!(
            with.put_aside() <= EDGES * most_aside(ENGINES) * 3,
            "seed {seed}, {sick} sick: put aside {}",
            with.put_aside()
        );
        assert!(after.iter().all(|share| *share > FULL_SHARE / 10.0), "seed {seed}, {sick} sick: {after:?}");
        assert!(of_sick(&after) > of_sick(&before) / 2.0, "seed {seed}, {sick} sick");
    }
}

#[test]
fn an_engine_whose_fault_ends_gets_its_full_share_again() {
    for (seed, fault_lasts, longest) in
        SEEDS.flat_map(|seed| [(seed, 3_000, FIRST_ASIDE), (seed, 40_000, LONGEST_ASIDE)])
    {
        let ends = BEGINS + fault_lasts;
        let full_at = at(ends) + NEWS_LAST + longest + RETURN_TIME;
        let lasts = full_at.0 / 1_000 + 4_000;
        let result = play(&fault(seed, Build::Now, 1, BEGINS..ends, lasts));
        let share = result.share(0, full_at, at(lasts));
        println!(
            "seed {seed}: share {share:.3} behind a fault of {fault_lasts} ms, {:?} later",
            full_at.since(at(ends))
        );
        assert!(share > FULL_SHARE * 0.8, "seed {seed}: share {share:.4} behind a fault of {fault_lasts} ms");
    }
}

#[test]
fn a_returning_engine_gets_more_step_by_step() {
    let mut shares = [0.0; 4];
    for seed in SEEDS {
        let result = play(&fault(seed, Build::Now, 1, BEGINS..BEGINS + 3_000, 15_000));
        let put_aside = result.changes.iter().filter(|(_, _, change)| is_put_aside(change));
        let begins = put_aside.map(|(_, now, _)| *now).min().expect("put aside") + FIRST_ASIDE;
        for (step, share) in shares.iter_mut().enumerate() {
            let from = begins + RETURN_TIME / 4 * step as u32;
            *share += result.share(0, from, from + RETURN_TIME / 4) / SEEDS.count() as f64;
        }
    }
    println!("mean shares {shares:?}");
    assert!(shares[0] < FULL_SHARE / 4.0 && shares.is_sorted() && shares[3] > FULL_SHARE / 4.0, "{shares:?}");
}

#[test]
fn a_flapping_engine_is_put_aside_for_longer_each_time() {
    for seed in SEEDS {
        let flapping = |build| Scenario {
            fails: Box::new(|engine, now| if engine == 0 && now.0 / 1_000_000 % 8 < 3 { SICK } else { 0.0 }),
            ..fault(seed, build, 1, 0..0, 80_000)
        };
        let (without, with) = (play(&flapping(Build::Without)), play(&flapping(Build::Now)));
        let pauses: Vec<Duration> = with
            .changes
            .iter()
            .filter(|(edge, _, _)| *edge == 0)
            .filter_map(|(_, _, change)| match change.kind {
                OutlierChangeKind::PutAside { pause, .. } => Some(pause),
                OutlierChangeKind::BroughtBack | OutlierChangeKind::Released => None,
            })
            .collect();
        println!("seed {seed}: failures {} -> {}, pauses {pauses:?}", without.failures(), with.failures());
        assert!(pauses.len() <= 6 && pauses.is_sorted(), "seed {seed}: {pauses:?}");
        assert!(with.failures() * 2 <= without.failures(), "seed {seed}");
    }
}

#[test]
fn with_edges_of_an_older_build_it_is_no_worse() {
    for seed in SEEDS {
        let fault = |builds| Scenario { builds, ..fault(seed, Build::Now, 1, BEGINS..u64::MAX, 25_000) };
        let half = [vec![Build::Now; EDGES / 2], vec![Build::Old; EDGES / 2]].concat();
        let old = play(&fault(vec![Build::Old; EDGES])).failures();
        let mixed = play(&fault(half)).failures();
        println!("seed {seed}: failures {old} -> {mixed}");
        assert!(mixed <= old, "seed {seed}: {old} -> {mixed}");
    }
}

#[test]
fn usual_failures_put_no_engine_aside() {
    for seed in 1..=10 {
        let usual = Scenario { fails: Box::new(|_, _| 0.02), ..fault(seed, Build::Now, 0, 0..0, 20_000) };
        let result = play(&usual);
        assert!(result.changes.is_empty(), "seed {seed}: {:?}", result.changes);
    }
}

#[test]
fn where_nothing_fails_choices_are_the_same() {
    for seed in SEEDS {
        let quiet = |build| play(&fault(seed, build, 0, 0..0, 5_000)).calls;
        assert_eq!(quiet(Build::Now), quiet(Build::Old), "seed {seed}");
    }
}

fn is_put_aside(change: &sumacdrift_routing::OutlierChange) -> bool {
    matches!(change.kind, OutlierChangeKind::PutAside { .. })
}

fn counts(ended: u32, failed: u32) -> CallCounts {
    CallCounts { ended, failed }
}

/// Engines that stand in.
fn inside(calls: &[(u32, u32)]) -> Vec<JudgedEngine> {
    let judged = calls.iter().map(|(ended, failed)| JudgedEngine {
        calls: counts(*ended, *failed),
        stage: Stage::In,
        is_avoided: false,
    });
    judged.collect()
}

#[test]
fn an_outlier_needs_a_sample_a_high_rate_and_a_better_rest() {
    let is_outlier = |calls: &[(u32, u32)]| judge(&inside(calls))[0].verdict == Verdict::PutAside;
    assert!(is_outlier(&[(100, 33), (100, 2), (100, 2)]));
    assert!(is_outlier(&[(LEAST_SAMPLE, LEAST_SAMPLE / 2), (0, 0), (0, 0)]));
    assert!(!is_outlier(&[(20, 5), (100, 0), (100, 0)]));
    assert!(!is_outlier(&[(LEAST_SAMPLE - 1, LEAST_SAMPLE - 1), (100, 0), (100, 0)]));
    assert!(!is_outlier(&[(100, 20), (100, 0), (100, 0)]));
    assert!(!is_outlier(&[(100, 40), (100, 15), (100, 15)]));
    assert!(!is_outlier(&[(100, 40), (100, 0)]), "of two engines none can be spared");
}

#[test]
fn no_more_engines_are_put_aside_than_the_cap() {
    let service = |sick: usize| {
        let calls: Vec<(u32, u32)> =
            (0..20).map(|engine| (100, if engine < sick { 90 } else { 0 })).collect();
        inside(&calls)
    };
    let put_aside = |engines: &[JudgedEngine]| {
        judge(engines).iter().filter(|judged| judged.verdict == Verdict::PutAside).count()
    };
    assert_eq!(most_aside(20), 4);
    assert_eq!(put_aside(&service(4)), 4);
    assert_eq!(put_aside(&service(5)), 0);
    // Engines that begin to fail together do not reach the sample at the same moment.
    let mut early = service(2);
    for engine in &mut early[2..6] {
        engine.calls = counts(10, 4);
    }
    assert_eq!(put_aside(&early), 0);
    // One more than may be put aside: those that were come back.
    let mut aside = service(5);
    for engine in &mut aside[1..5] {
        engine.calls = counts(0, 0);
        engine.stage = Stage::Aside;
    }
    assert_eq!(judge(&aside)[0].verdict, Verdict::Stays);
    assert!(judge(&aside)[1..5].iter().all(|judged| judged.verdict == Verdict::Released));
}

/// What other nodes told of one engine's calls of late.
fn told(engine: &EngineId, ended: u32, failed: u32) -> Loads {
    let load = EngineLoad {
        engine: engine_key(&engine.life_text()),
        recent_ended: ended,
        recent_failed: failed,
        ..EngineLoad::default()
    };
    Loads { engines: vec![load] }
}

fn call(book: &mut EngineBook, engine: &EngineId, outcome: Outcome, now: Timestamp) {
    book.sent(engine, 0, now);
    book.ended(engine, outcome, now);
}

/// A book of five engines, each of which has just served a call.
fn book_in_use(now: Timestamp) -> EngineBook {
    let mut book = edge_book(5, 6, SwitchedOff::default());
    for engine in 0..5 {
        call(&mut book, &engine_id(engine), Outcome::Sound, now);
    }
    book
}

#[test]
fn what_others_told_counts_with_the_own_calls_until_it_is_old() {
    let now = at(10_000);
    let sick = engine_id(0);
    let mut book = book_in_use(now);
    book.others_told(&told(&sick, 20, 16), now);
    assert!(book.judge_outliers(now).is_empty(), "nodes whose calls did not fail have not told yet");
    let now = now + Duration::from_millis(400);
    book.others_told(&told(&sick, 100, 40), now);
    let changes = book.judge_outliers(now);
    assert_eq!(changes.len(), 1);
    assert_eq!((&changes[0].engine, changes[0].calls), (&sick, counts(101, 40)));
    assert_eq!(changes[0].news_age, Some(Duration::ZERO));
    assert!(is_put_aside(&changes[0]));
    // Two seconds later nothing of it counts.
    let mut book = book_in_use(now);
    for millis in [0, 400] {
        book.others_told(&told(&sick, 100, 40), now + Duration::from_millis(millis));
    }
    let later = now + Duration::from_millis(2_400);
    for engine in 0..5 {
        call(&mut book, &engine_id(engine), Outcome::Sound, later);
    }
    assert!(book.judge_outliers(later).is_empty());
    // The own calls are enough where there are enough of them.
    for number in 0..30 {
        let outcome = if number % 3 == 0 { Outcome::Faulty } else { Outcome::Sound };
        call(&mut book, &sick, outcome, later);
    }
    let changes = book.judge_outliers(later);
    assert_eq!(changes.iter().map(|change| change.news_age).collect::<Vec<_>>(), [None]);
    assert_eq!(book.engines_put_aside(later), 1);
}

/// A book that was told twice, with the time between that all nodes need, of calls at its first engines.
fn told_of_failures(off: SwitchedOff, engines: usize, failing: usize, now: Timestamp) -> EngineBook {
    let mut book = edge_book(engines, 6, off);
    let engines = (0..failing).flat_map(|engine| told(&engine_id(engine), 100, 60).engines);
    let used = (failing..failing + 4).map(|engine| EngineLoad {
        engine: engine_key(&engine_id(engine).life_text()),
        running: 1,
        ..EngineLoad::default()
    });
    let loads = Loads { engines: engines.chain(used).collect() };
    for at in [now, now + Duration::from_millis(400)] {
        book.others_told(&loads, at);
    }
    book
}

#[test]
fn engines_that_nobody_uses_do_not_count() {
    let judged = |failing| {
        let later = at(10_400);
        let mut book = told_of_failures(SwitchedOff::default(), 200, failing, at(10_000));
        book.judge_outliers(later).len()
    };
    assert_eq!(judged(1), 1);
    // Two of six are more than a fifth, however many others there are.
    assert_eq!(judged(2), 0);
}

#[test]
fn switched_off_it_puts_nothing_aside() {
    let off = SwitchedOff::default().with(Mechanism::OutlierEjection);
    let mut book = told_of_failures(off, 6, 1, at(10_000));
    assert!(book.judge_outliers(at(10_400)).is_empty());
    assert_eq!(book.engines_put_aside(at(10_400)), 0);
}

#[test]
fn calls_count_for_a_time_and_no_longer() {
    let now = at(10_000);
    let mut book = book_in_use(now);
    call(&mut book, &engine_id(0), Outcome::Faulty, now);
    call(&mut book, &engine_id(0), Outcome::Unreachable, now + Duration::from_millis(800));
    let recent = |millis| {
        let loads = book.loads(now + Duration::from_millis(millis)).engines;
        loads.first().map(|load| (load.recent_ended, load.recent_failed))
    };
    assert_eq!(recent(800), Some((3, 2)));
    assert_eq!(recent(1_599), Some((3, 2)));
    assert_eq!(recent(1_600), Some((1, 1)));
    assert_eq!(recent(100_000), None);
}

#[test]
fn a_call_that_was_turned_away_says_nothing() {
    let now = at(10_000);
    let mut book = book_in_use(now);
    for _ in 0..100 {
        call(&mut book, &engine_id(0), Outcome::Busy, now);
    }
    assert!(book.judge_outliers(now).is_empty());
    assert!(book.loads(now).engines.is_empty());
}

#[test]
fn an_engine_is_told_of_while_its_failures_count_and_only_where_any_failed() {
    let now = at(10_000);
    let (sick, other) = (engine_id(0), engine_id(1));
    let mut book = book_in_use(now);
    assert!(book.loads(now).engines.is_empty());
    call(&mut book, &sick, Outcome::Faulty, now);
    call(&mut book, &sick, Outcome::Sound, now);
    book.others_told(&told(&other, 3, 1), now);
    let expected = |id: &EngineId, recent_ended, recent_failed| EngineLoad {
        engine: engine_key(&id.life_text()),
        recent_ended,
        recent_failed,
        ..EngineLoad::default()
    };
    let later = now + Duration::from_millis(1_200);
    book.settle(|_| false, later);
    assert_eq!(book.loads(later).engines, [expected(&sick, 3, 1), expected(&other, 1, 0)]);
    assert!(book.loads(now + Duration::from_secs(3)).engines.is_empty());
}

#[test]
fn a_new_life_of_an_engine_starts_clean() {
    let now = at(10_000);
    let mut book = book_in_use(now);
    let life = |start| EngineId::started("engine 000", EngineStart { unix_millis: start });
    book.others_told(&told(&engine_id(0), 100, 60), now);
    let now = now + Duration::from_millis(400);
    book.others_told(&told(&engine_id(0), 100, 60), now);
    assert_eq!(book.judge_outliers(now).len(), 1);
    let spec = book.spec(&engine_id(0)).cloned().expect("a known engine");
    book.upsert(EngineSpec { id: life(5_000), ..spec }, now);
    call(&mut book, &life(5_000), Outcome::Sound, now);
    assert!(book.judge_outliers(now).is_empty());
    let only = life(5_000);
    let request =
        sumacdrift_routing::PlacementRequest { only: Some(&only), ..engines_for_tests::request(&[]) };
    assert_eq!(book.choose(&request, now).map(|placed| placed.engine), Some(only.clone()));
    assert_eq!(book.engines_put_aside(now), 1, "the earlier life alone");
}
