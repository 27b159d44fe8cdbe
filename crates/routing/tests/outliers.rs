//! Outlier ejection by a fleet that shares its counts, simulated on a virtual clock over several seeds: detection
//! time, cap on ejections, recovery, stale and missing reports, and edges of an older build.

mod engine_fixtures;
mod simulated_fleet;

use std::time::Duration;

use simulated_fleet::{Build, RequestKind, Result, Scenario, at, edge_registry, engine_id, simulate};
use sumacdrift_calls::{EngineId, EngineStart};
use sumacdrift_fleet_view::{EngineLoad, Loads, engine_key};
use sumacdrift_routing::{
    CallCounts, EjectionStage, EngineRegistry, EngineSample, EngineSpec, FIRST_EJECTION_TIME,
    MAX_EJECTION_TIME, MIN_SAMPLE, Outcome, OutlierChangeKind, RECOVERY_TIME, Verdict, evaluate, max_ejected,
};
use sumacdrift_types::{DisabledMechanisms, Mechanism, Timestamp};

const EDGES: usize = 50;
const ENGINES: usize = 12;
const FULL_SHARE: f64 = 1.0 / ENGINES as f64;
const FAULT_START_MILLIS: u64 = 5_000;
/// How long calls may be reported: window of 1.6 s, board retention of 1 s and report delay of 0.3 s.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Failure rates of calls at an engine with the fault.
const FAULT_RATE: f64 = 0.4;
const LOWER_FAULT_RATE: f64 = 1.0 / 3.0;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// A fleet of identical edges, in which the first `faulty` engines fail calls during `millis`.
fn fault(seed: u64, build: Build, faulty: usize, millis: std::ops::Range<u64>, duration: u64) -> Scenario {
    Scenario {
        seed,
        builds: vec![build; EDGES],
        engines: ENGINES,
        slots: 64,
        request_kind: RequestKind::Stream,
        calls_per_second: 600.0,
        duration: Duration::from_millis(duration),
        failure_chance: Box::new(move |engine, now| {
            let is_on = now >= at(millis.start) && now < at(millis.end);
            if engine < faulty && is_on { FAULT_RATE } else { 0.0 }
        }),
    }
}

/// The first engine fails this fraction of its calls from the start of the fault on.
fn one_engine_fails(rate: f64) -> Box<dyn Fn(usize, Timestamp) -> f64> {
    Box::new(move |engine, now| if engine == 0 && now >= at(FAULT_START_MILLIS) { rate } else { 0.0 })
}

#[test]
fn partially_failing_engine_is_ejected() {
    for (seed, rate) in SEEDS.flat_map(|seed| [(seed, FAULT_RATE), (seed, LOWER_FAULT_RATE)]) {
        let fault = |build| {
            let failure_chance = one_engine_fails(rate);
            simulate(&Scenario { failure_chance, ..fault(seed, build, 0, 0..0, 25_000) })
        };
        let (without, with) = (fault(Build::EjectionOff), fault(Build::Current));
        // A lower rate takes longer to stand out from the calls before the fault.
        let detected_after = if rate == FAULT_RATE { 1_500 } else { 2_000 };
        let share = |result: &Result| {
            result.share(
                0,
                at(FAULT_START_MILLIS + detected_after),
                at(FAULT_START_MILLIS + detected_after + 2_000),
            )
        };
        let (before, after) = (share(&without), share(&with));
        let mut first: Vec<Option<Timestamp>> = (0..EDGES).map(|edge| with.first_ejection(edge)).collect();
        first.sort_unstable();
        let delays =
            [0, EDGES / 2, EDGES - 1].map(|edge| first[edge].map(|now| now.since(at(FAULT_START_MILLIS))));
        println!("first, median and last edge ejected it after {delays:?}");
        println!(
            "seed {seed}, {rate:.2}: share {before:.3} -> {after:.3}, failures {} -> {}",
            without.failures(),
            with.failures()
        );
        let have_all_ejected = first[0].is_some() && first[EDGES - 1] <= Some(at(FAULT_START_MILLIS + 2_000));
        assert!(have_all_ejected, "seed {seed}, {rate:.2}: {delays:?}");
        assert!(after < FULL_SHARE / 10.0, "seed {seed}, {rate:.2}: share {after:.4}");
        assert!(with.failures() * 2 <= without.failures(), "seed {seed}, {rate:.2}");
    }
}

#[test]
fn partially_failing_engine_of_a_small_service_is_ejected() {
    for seed in SEEDS {
        let fault = |build| Scenario {
            engines: 4,
            slots: 6,
            request_kind: RequestKind::Buffered,
            calls_per_second: 120.0,
            ..fault(seed, build, 1, FAULT_START_MILLIS..u64::MAX, 25_000)
        };
        let (without, with) = (simulate(&fault(Build::EjectionOff)), simulate(&fault(Build::Current)));
        let share = with.share(0, at(FAULT_START_MILLIS + 2_500), at(FAULT_START_MILLIS + 4_500));
        println!("seed {seed}: share {share:.3}, failures {} -> {}", without.failures(), with.failures());
        assert!(share < 0.25 / 10.0, "seed {seed}: share {share:.4}");
        assert!(with.failures() * 2 <= without.failures(), "seed {seed}");
    }
}

#[test]
fn all_engines_keep_serving_when_many_fail_alike() {
    for (seed, faulty) in SEEDS.flat_map(|seed| [(seed, 3), (seed, 6), (seed, 12)]) {
        let fault = |build| simulate(&fault(seed, build, faulty, FAULT_START_MILLIS..u64::MAX, 25_000));
        let (without, with) = (fault(Build::EjectionOff), fault(Build::Current));
        let shares = |result: &Result| {
            (0..ENGINES).map(|engine| result.share(engine, at(FAULT_START_MILLIS), at(25_000))).collect()
        };
        let (before, after): (Vec<f64>, Vec<f64>) = (shares(&without), shares(&with));
        let of_faulty = |shares: &[f64]| shares[..faulty].iter().sum::<f64>();
        println!(
            "seed {seed}, {faulty} faulty: share of these {:.3} -> {:.3}, least {:.3} -> {:.3}, failures {} -> {}, ejections {}",
            of_faulty(&before),
            of_faulty(&after),
            before.iter().copied().fold(1.0, f64::min),
            after.iter().copied().fold(1.0, f64::min),
            without.failures(),
            with.failures(),
            with.ejections()
        );
        assert!(
            with.max_ejected <= max_ejected(ENGINES),
            "seed {seed}, {faulty} faulty: {}",
            with.max_ejected
        );
        // Ejections of 3, 6 and 12 s: an engine can be ejected three times within the 20 s.
        assert!(
            with.ejections() <= EDGES * max_ejected(ENGINES) * 3,
            "seed {seed}, {faulty} faulty: ejections {}",
            with.ejections()
        );
        assert!(
            after.iter().all(|share| *share > FULL_SHARE / 10.0),
            "seed {seed}, {faulty} faulty: {after:?}"
        );
        assert!(of_faulty(&after) > of_faulty(&before) / 2.0, "seed {seed}, {faulty} faulty");
    }
}

#[test]
fn recovered_engine_regains_its_full_share() {
    for (seed, fault_millis, longest) in
        SEEDS.flat_map(|seed| [(seed, 3_000, FIRST_EJECTION_TIME), (seed, 40_000, MAX_EJECTION_TIME)])
    {
        let ends = FAULT_START_MILLIS + fault_millis;
        let full_at = at(ends) + REPORT_LIFETIME + longest + RECOVERY_TIME;
        let duration = full_at.0 / 1_000 + 4_000;
        let result = simulate(&fault(seed, Build::Current, 1, FAULT_START_MILLIS..ends, duration));
        let share = result.share(0, full_at, at(duration));
        println!(
            "seed {seed}: share {share:.3} after a fault of {fault_millis} ms, {:?} later",
            full_at.since(at(ends))
        );
        assert!(share > FULL_SHARE * 0.8, "seed {seed}: share {share:.4} after a fault of {fault_millis} ms");
    }
}

#[test]
fn share_of_a_recovering_engine_grows_step_by_step() {
    let mut shares = [0.0; 4];
    for seed in SEEDS {
        let result =
            simulate(&fault(seed, Build::Current, 1, FAULT_START_MILLIS..FAULT_START_MILLIS + 3_000, 15_000));
        let ejections = result.changes.iter().filter(|(_, _, change)| is_ejected(change));
        let recovery_start =
            ejections.map(|(_, now, _)| *now).min().expect("an ejection") + FIRST_EJECTION_TIME;
        for (step, share) in shares.iter_mut().enumerate() {
            let from = recovery_start + RECOVERY_TIME / 4 * step as u32;
            *share += result.share(0, from, from + RECOVERY_TIME / 4) / SEEDS.count() as f64;
        }
    }
    println!("mean shares {shares:?}");
    assert!(shares[0] < FULL_SHARE / 4.0 && shares.is_sorted() && shares[3] > FULL_SHARE / 4.0, "{shares:?}");
}

#[test]
fn flapping_engine_is_ejected_for_longer_each_time() {
    for seed in SEEDS {
        let flapping = |build| Scenario {
            failure_chance: Box::new(
                |engine, now| if engine == 0 && now.0 / 1_000_000 % 8 < 3 { FAULT_RATE } else { 0.0 },
            ),
            ..fault(seed, build, 1, 0..0, 80_000)
        };
        let (without, with) = (simulate(&flapping(Build::EjectionOff)), simulate(&flapping(Build::Current)));
        let pauses: Vec<Duration> = with
            .changes
            .iter()
            .filter(|(edge, _, _)| *edge == 0)
            .filter_map(|(_, _, change)| match change.kind {
                OutlierChangeKind::Ejected { pause, .. } => Some(pause),
                OutlierChangeKind::Recovered | OutlierChangeKind::Released => None,
            })
            .collect();
        println!("seed {seed}: failures {} -> {}, pauses {pauses:?}", without.failures(), with.failures());
        assert!(pauses.len() <= 6 && pauses.is_sorted(), "seed {seed}: {pauses:?}");
        assert!(with.failures() * 2 <= without.failures(), "seed {seed}");
    }
}

#[test]
fn edges_of_an_older_build_cause_no_more_failures() {
    for seed in SEEDS {
        let fault = |builds| Scenario {
            builds,
            ..fault(seed, Build::Current, 1, FAULT_START_MILLIS..u64::MAX, 25_000)
        };
        let half = [vec![Build::Current; EDGES / 2], vec![Build::Old; EDGES / 2]].concat();
        let old = simulate(&fault(vec![Build::Old; EDGES])).failures();
        let mixed = simulate(&fault(half)).failures();
        println!("seed {seed}: failures {old} -> {mixed}");
        assert!(mixed <= old, "seed {seed}: {old} -> {mixed}");
    }
}

#[test]
fn base_failure_rate_ejects_no_engine() {
    for seed in 1..=10 {
        let base_rate = Scenario {
            failure_chance: Box::new(|_, _| 0.02),
            ..fault(seed, Build::Current, 0, 0..0, 20_000)
        };
        let result = simulate(&base_rate);
        assert!(result.changes.is_empty(), "seed {seed}: {:?}", result.changes);
    }
}

#[test]
fn choices_are_unchanged_without_failures() {
    for seed in SEEDS {
        let calls_of = |build| simulate(&fault(seed, build, 0, 0..0, 5_000)).calls;
        assert_eq!(calls_of(Build::Current), calls_of(Build::Old), "seed {seed}");
    }
}

fn is_ejected(change: &sumacdrift_routing::OutlierChange) -> bool {
    matches!(change.kind, OutlierChangeKind::Ejected { .. })
}

fn counts(ended: u32, failed: u32) -> CallCounts {
    CallCounts { ended, failed }
}

fn active_engines(calls: &[(u32, u32)]) -> Vec<EngineSample> {
    let samples = calls.iter().map(|(ended, failed)| EngineSample {
        calls: counts(*ended, *failed),
        stage: EjectionStage::Active,
        is_avoided: false,
    });
    samples.collect()
}

#[test]
fn outlier_needs_a_sample_a_high_rate_and_a_healthier_rest() {
    let is_outlier = |calls: &[(u32, u32)]| evaluate(&active_engines(calls))[0].verdict == Verdict::Eject;
    assert!(is_outlier(&[(100, 33), (100, 2), (100, 2)]));
    assert!(is_outlier(&[(MIN_SAMPLE, MIN_SAMPLE / 2), (0, 0), (0, 0)]));
    assert!(!is_outlier(&[(20, 5), (100, 0), (100, 0)]));
    assert!(!is_outlier(&[(MIN_SAMPLE - 1, MIN_SAMPLE - 1), (100, 0), (100, 0)]));
    assert!(!is_outlier(&[(100, 20), (100, 0), (100, 0)]));
    assert!(!is_outlier(&[(100, 40), (100, 15), (100, 15)]));
    assert!(!is_outlier(&[(100, 40), (100, 0)]), "a service of two engines has no ejections");
}

#[test]
fn ejections_are_capped() {
    let service = |faulty: usize| {
        let calls: Vec<(u32, u32)> =
            (0..20).map(|engine| (100, if engine < faulty { 90 } else { 0 })).collect();
        active_engines(&calls)
    };
    let count_ejected = |engines: &[EngineSample]| {
        evaluate(engines).iter().filter(|evaluation| evaluation.verdict == Verdict::Eject).count()
    };
    assert_eq!(max_ejected(20), 4);
    assert_eq!(count_ejected(&service(4)), 4);
    assert_eq!(count_ejected(&service(5)), 0);
    // Engines that begin to fail together do not reach the minimum sample at the same time.
    let mut starting = service(2);
    for engine in &mut starting[2..6] {
        engine.calls = counts(10, 4);
    }
    assert_eq!(count_ejected(&starting), 0);
    // One outlier more than may be ejected: ejected engines are released.
    let mut ejected = service(5);
    for engine in &mut ejected[1..5] {
        engine.calls = counts(0, 0);
        engine.stage = EjectionStage::Ejected;
    }
    assert_eq!(evaluate(&ejected)[0].verdict, Verdict::Keep);
    assert!(evaluate(&ejected)[1..5].iter().all(|evaluation| evaluation.verdict == Verdict::Release));
}

/// A peer report of recent calls at one engine.
fn peer_report(engine: &EngineId, ended: u32, failed: u32) -> Loads {
    let load = EngineLoad {
        engine: engine_key(&engine.incarnation_text()),
        recent_ended: ended,
        recent_failed: failed,
        ..EngineLoad::default()
    };
    Loads { engines: vec![load] }
}

fn run_call(registry: &mut EngineRegistry, engine: &EngineId, outcome: Outcome, now: Timestamp) {
    registry.record_sent(engine, 0, now);
    registry.record_outcome(engine, outcome, now);
}

/// A registry of five engines, each of which has just served a call.
fn registry_in_use(now: Timestamp) -> EngineRegistry {
    let mut registry = edge_registry(5, 6, DisabledMechanisms::default());
    for engine in 0..5 {
        run_call(&mut registry, &engine_id(engine), Outcome::Sound, now);
    }
    registry
}

#[test]
fn peer_counts_are_added_to_own_counts_until_they_expire() {
    let now = at(10_000);
    let faulty = engine_id(0);
    let mut registry = registry_in_use(now);
    registry.apply_peer_loads(&peer_report(&faulty, 20, 16), now);
    assert!(registry.update_ejections(now).is_empty(), "nodes without failures have not reported yet");
    let now = now + Duration::from_millis(400);
    registry.apply_peer_loads(&peer_report(&faulty, 100, 40), now);
    let changes = registry.update_ejections(now);
    assert_eq!(changes.len(), 1);
    assert_eq!((&changes[0].engine, changes[0].calls), (&faulty, counts(101, 40)));
    assert_eq!(changes[0].peer_report_age, Some(Duration::ZERO));
    assert!(is_ejected(&changes[0]));
    // The report has expired two seconds later.
    let mut registry = registry_in_use(now);
    for millis in [0, 400] {
        registry.apply_peer_loads(&peer_report(&faulty, 100, 40), now + Duration::from_millis(millis));
    }
    let later = now + Duration::from_millis(2_400);
    for engine in 0..5 {
        run_call(&mut registry, &engine_id(engine), Outcome::Sound, later);
    }
    assert!(registry.update_ejections(later).is_empty());
    // Own calls are enough for an ejection if there are enough of them.
    for number in 0..30 {
        let outcome = if number % 3 == 0 { Outcome::Faulty } else { Outcome::Sound };
        run_call(&mut registry, &faulty, outcome, later);
    }
    let changes = registry.update_ejections(later);
    assert_eq!(changes.iter().map(|change| change.peer_report_age).collect::<Vec<_>>(), [None]);
    assert_eq!(registry.ejected_engines(later), 1);
}

/// A registry with two equal reports, apart by the time that all nodes need to report, of failures at its first
/// engines.
fn registry_with_reported_failures(
    disabled: DisabledMechanisms,
    engines: usize,
    failing: usize,
    now: Timestamp,
) -> EngineRegistry {
    let mut registry = edge_registry(engines, 6, disabled);
    let engines = (0..failing).flat_map(|engine| peer_report(&engine_id(engine), 100, 60).engines);
    let in_use = (failing..failing + 4).map(|engine| EngineLoad {
        engine: engine_key(&engine_id(engine).incarnation_text()),
        running: 1,
        ..EngineLoad::default()
    });
    let loads = Loads { engines: engines.chain(in_use).collect() };
    for at in [now, now + Duration::from_millis(400)] {
        registry.apply_peer_loads(&loads, at);
    }
    registry
}

#[test]
fn unused_engines_do_not_raise_the_cap() {
    let changes = |failing| {
        let later = at(10_400);
        let mut registry =
            registry_with_reported_failures(DisabledMechanisms::default(), 200, failing, at(10_000));
        registry.update_ejections(later).len()
    };
    assert_eq!(changes(1), 1);
    // Two of six engines in use are above the cap, however many unused ones there are.
    assert_eq!(changes(2), 0);
}

#[test]
fn nothing_is_ejected_if_disabled() {
    let disabled = DisabledMechanisms::default().with(Mechanism::OutlierEjection);
    let mut registry = registry_with_reported_failures(disabled, 6, 1, at(10_000));
    assert!(registry.update_ejections(at(10_400)).is_empty());
    assert_eq!(registry.ejected_engines(at(10_400)), 0);
}

#[test]
fn calls_expire_from_the_window() {
    let now = at(10_000);
    let mut registry = registry_in_use(now);
    run_call(&mut registry, &engine_id(0), Outcome::Faulty, now);
    run_call(&mut registry, &engine_id(0), Outcome::Unreachable, now + Duration::from_millis(800));
    let recent = |millis| {
        let loads = registry.load_report(now + Duration::from_millis(millis)).engines;
        loads.first().map(|load| (load.recent_ended, load.recent_failed))
    };
    assert_eq!(recent(800), Some((3, 2)));
    assert_eq!(recent(1_599), Some((3, 2)));
    assert_eq!(recent(1_600), Some((1, 1)));
    assert_eq!(recent(100_000), None);
}

#[test]
fn rejected_calls_are_not_counted() {
    let now = at(10_000);
    let mut registry = registry_in_use(now);
    for _ in 0..100 {
        run_call(&mut registry, &engine_id(0), Outcome::Busy, now);
    }
    assert!(registry.update_ejections(now).is_empty());
    assert!(registry.load_report(now).engines.is_empty());
}

#[test]
fn recent_counts_are_reported_only_while_some_calls_failed() {
    let now = at(10_000);
    let (faulty, other) = (engine_id(0), engine_id(1));
    let mut registry = registry_in_use(now);
    assert!(registry.load_report(now).engines.is_empty());
    run_call(&mut registry, &faulty, Outcome::Faulty, now);
    run_call(&mut registry, &faulty, Outcome::Sound, now);
    registry.apply_peer_loads(&peer_report(&other, 3, 1), now);
    let expected = |id: &EngineId, recent_ended, recent_failed| EngineLoad {
        engine: engine_key(&id.incarnation_text()),
        recent_ended,
        recent_failed,
        ..EngineLoad::default()
    };
    let later = now + Duration::from_millis(1_200);
    registry.regroup_interchangeable(|_| false, later);
    assert_eq!(registry.load_report(later).engines, [expected(&faulty, 3, 1), expected(&other, 1, 0)]);
    assert!(registry.load_report(now + Duration::from_secs(3)).engines.is_empty());
}

#[test]
fn new_incarnation_starts_without_ejection() {
    let now = at(10_000);
    let mut registry = registry_in_use(now);
    let incarnation = |start| EngineId::started("engine 000", EngineStart { unix_millis: start });
    registry.apply_peer_loads(&peer_report(&engine_id(0), 100, 60), now);
    let now = now + Duration::from_millis(400);
    registry.apply_peer_loads(&peer_report(&engine_id(0), 100, 60), now);
    assert_eq!(registry.update_ejections(now).len(), 1);
    let spec = registry.spec(&engine_id(0)).cloned().expect("the engine is known");
    registry.upsert(EngineSpec { id: incarnation(5_000), ..spec }, now);
    run_call(&mut registry, &incarnation(5_000), Outcome::Sound, now);
    assert!(registry.update_ejections(now).is_empty());
    let only = incarnation(5_000);
    let request = sumacdrift_routing::PlacementRequest { only: Some(&only), ..engine_fixtures::request(&[]) };
    assert_eq!(registry.choose(&request, now).map(|placement| placement.engine), Some(only.clone()));
    assert_eq!(registry.ejected_engines(now), 1, "only the earlier incarnation");
}
