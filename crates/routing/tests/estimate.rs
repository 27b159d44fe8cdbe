//! The cost model of a call and learning of its speeds.

use sumacdrift_routing::{
    CallWork, EngineState, FitBounds, LearnedSpeeds, LineFit, PathCost, Speeds, StreamObservation, estimate,
};

/// 40 tokens of prefill per millisecond.
const SPEEDS: Speeds = Speeds {
    read_millis_per_token: 0.025,
    first_millis: 20.0,
    event_millis: 15.0,
    event_millis_per_call: 0.5,
};
const WORK: CallWork = CallWork { events: 10.0, zone_kilobytes: 20.0, zone_calls: 1.0 };

fn idle() -> EngineState {
    EngineState {
        unread_tokens: 0.0,
        queued_tokens: 0.0,
        running: 0.0,
        slots: 16.0,
        slowness: 1.0,
        path: PathCost::IN_ZONE,
    }
}

fn total(engine: EngineState) -> f64 {
    estimate(&engine, &WORK, &SPEEDS).total()
}

#[test]
fn idle_engine_takes_first_event_time_plus_event_times() {
    let idle = estimate(&idle(), &WORK, &SPEEDS);
    assert_eq!(idle.own_millis, 20.0 + 10.0 * 15.0);
    assert_eq!((idle.imposed_millis, idle.zone_millis), (0.0, 0.0));
}

/// Prefilling a long prompt again costs more than a few calls in flight at the engine that caches it.
#[test]
fn cache_outweighs_a_few_calls_in_flight_but_not_many() {
    let uncached = EngineState { unread_tokens: 10_000.0, ..idle() };
    let cached_with = |running| EngineState { running, unread_tokens: 500.0, ..idle() };
    assert!(total(cached_with(4.0)) < total(uncached));
    assert!(total(cached_with(16.0)) > total(uncached));
}

#[test]
fn queued_tokens_of_other_calls_cost_the_same_as_own_ones() {
    let queued = EngineState { queued_tokens: 4_000.0, ..idle() };
    let unread = EngineState { unread_tokens: 4_000.0, ..idle() };
    assert_eq!(total(queued), total(unread));
}

#[test]
fn prefill_delays_calls_in_flight() {
    let busy = EngineState { running: 8.0, unread_tokens: 4_000.0, ..idle() };
    assert!(estimate(&busy, &WORK, &SPEEDS).imposed_millis >= 8.0 * 100.0);
}

#[test]
fn full_engine_queues_a_call() {
    let almost = EngineState { running: 15.0, ..idle() };
    let full = EngineState { running: 32.0, ..idle() };
    let own = |engine| estimate(&engine, &WORK, &SPEEDS).own_millis;
    assert!(own(full) > 2.0 * own(almost));
}

#[test]
fn slowness_and_another_zone_add_cost() {
    assert!(total(EngineState { slowness: 2.0, ..idle() }) > 1.9 * total(idle()));
    let path = PathCost { round_trip_millis: 2.0, millis_per_kilobyte: 0.15 };
    let in_another_zone = EngineState { path, ..idle() };
    assert_eq!(estimate(&in_another_zone, &WORK, &SPEEDS).zone_millis, 2.0 + 20.0 * 0.15);
    assert!(total(in_another_zone) > total(idle()));
}

const BOUNDS: FitBounds = FitBounds { slope: (0.001, 1.0), intercept: (0.0, 500.0) };

#[test]
fn fit_converges_from_a_wrong_prior() {
    let mut fit = LineFit::with_prior(100.0, 0.5, 1_000.0, BOUNDS);
    for step in 0..2_000_u32 {
        let x = f64::from(step * 37 % 1_000);
        fit.observe(x, 19.0 + 0.026 * x);
    }
    assert!((fit.slope() - 0.026).abs() < 0.003, "{}", fit.slope());
    assert!((fit.intercept() - 19.0).abs() < 3.0, "{}", fit.intercept());
}

#[test]
fn fit_stays_within_bounds_if_nothing_varies() {
    let mut fit = LineFit::with_prior(20.0, 0.02, 1_000.0, BOUNDS);
    for _ in 0..5_000 {
        fit.observe(10.0, 20.0);
    }
    assert!((0.001..0.1).contains(&fit.slope()), "{}", fit.slope());
    for _ in 0..5_000 {
        fit.observe(1_000.0, -5e9);
    }
    assert!(fit.slope() >= 0.001 && fit.intercept() >= 0.0);
}

fn seen(tokens_ahead: f64, running: f64, slowness: f64) -> StreamObservation {
    StreamObservation {
        first_millis: (19.0 + tokens_ahead * 0.026) * slowness,
        rest_millis: 10.0 * (14.0 + 0.46 * running) * slowness,
        events: 11,
        tokens_ahead,
        running,
    }
}

#[test]
fn speeds_are_learned_from_answers() {
    let mut learned = LearnedSpeeds::default();
    for step in 0..1_500_u32 {
        learned.observe(&seen(f64::from(step * 53 % 9_000), f64::from(step % 13), 1.0));
    }
    let speeds = learned.speeds();
    assert!((speeds.read_millis_per_token - 0.026).abs() < 0.003, "{speeds:?}");
    assert!((speeds.event_millis_per_call - 0.46).abs() < 0.1, "{speeds:?}");
    assert!((learned.observe(&seen(3_000.0, 5.0, 1.3)) - 1.3).abs() < 0.1);
}

#[test]
fn hung_answer_does_not_affect_learned_speeds() {
    let mut learned = LearnedSpeeds::default();
    let before = learned.speeds();
    assert!(learned.observe(&seen(100.0, 1.0, 100.0)) > 6.0);
    assert_eq!(learned.speeds(), before);
}
