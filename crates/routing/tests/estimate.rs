//! The estimate of when a call ends, and what it learns from.

use sumacdrift_routing::{
    CallWork, EngineFacts, FitBounds, LearnedSpeeds, LineFit, Speeds, StreamSeen, Way, estimate,
};

/// An engine that reads 40 tokens in a millisecond.
const SPEEDS: Speeds = Speeds {
    read_millis_per_token: 0.025,
    first_millis: 20.0,
    event_millis: 15.0,
    event_millis_per_call: 0.5,
};
const WORK: CallWork = CallWork { events: 10.0, zone_kilobytes: 20.0, zone_calls: 1.0 };

fn idle() -> EngineFacts {
    EngineFacts {
        unread_tokens: 0.0,
        queued_tokens: 0.0,
        running: 0.0,
        slots: 16.0,
        slowness: 1.0,
        way: Way::IN_ZONE,
    }
}

fn total(facts: EngineFacts) -> f64 {
    estimate(&facts, &WORK, &SPEEDS).total()
}

#[test]
fn an_idle_engine_takes_its_first_time_and_its_events() {
    let idle = estimate(&idle(), &WORK, &SPEEDS);
    assert_eq!(idle.own_millis, 20.0 + 10.0 * 15.0);
    assert_eq!((idle.others_millis, idle.zone_millis), (0.0, 0.0));
}

/// A long chain that is read again costs more than a few calls under way where it lies.
#[test]
fn a_lost_cache_outweighs_a_few_calls_and_not_any_number() {
    let elsewhere = EngineFacts { unread_tokens: 10_000.0, ..idle() };
    let with_others = |running| EngineFacts { running, unread_tokens: 500.0, ..idle() };
    assert!(total(with_others(4.0)) < total(elsewhere));
    assert!(total(with_others(16.0)) > total(elsewhere));
}

#[test]
fn tokens_queued_by_others_count_like_own_ones() {
    let queued = EngineFacts { queued_tokens: 4_000.0, ..idle() };
    let unread = EngineFacts { unread_tokens: 4_000.0, ..idle() };
    assert_eq!(total(queued), total(unread));
}

#[test]
fn reading_holds_up_those_that_run() {
    let busy = EngineFacts { running: 8.0, unread_tokens: 4_000.0, ..idle() };
    assert!(estimate(&busy, &WORK, &SPEEDS).others_millis >= 8.0 * 100.0);
}

#[test]
fn a_full_engine_makes_a_call_wait() {
    let almost = EngineFacts { running: 15.0, ..idle() };
    let full = EngineFacts { running: 32.0, ..idle() };
    let own = |facts| estimate(&facts, &WORK, &SPEEDS).own_millis;
    assert!(own(full) > 2.0 * own(almost));
}

#[test]
fn a_slow_engine_and_another_zone_cost() {
    assert!(total(EngineFacts { slowness: 2.0, ..idle() }) > 1.9 * total(idle()));
    let way = Way { round_trip_millis: 2.0, millis_per_kilobyte: 0.15 };
    let in_another_zone = EngineFacts { way, ..idle() };
    assert_eq!(estimate(&in_another_zone, &WORK, &SPEEDS).zone_millis, 2.0 + 20.0 * 0.15);
    assert!(total(in_another_zone) > total(idle()));
}

const BOUNDS: FitBounds = FitBounds { slope: (0.001, 1.0), intercept: (0.0, 500.0) };

#[test]
fn a_fit_finds_rate_and_fixed_part_whatever_it_started_from() {
    let mut fit = LineFit::starting(100.0, 0.5, 1_000.0, BOUNDS);
    for step in 0..2_000_u32 {
        let x = f64::from(step * 37 % 1_000);
        fit.observe(x, 19.0 + 0.026 * x);
    }
    assert!((fit.slope() - 0.026).abs() < 0.003, "{}", fit.slope());
    assert!((fit.intercept() - 19.0).abs() < 3.0, "{}", fit.intercept());
}

#[test]
fn a_fit_stays_within_its_bounds_and_sound_where_nothing_varies() {
    let mut fit = LineFit::starting(20.0, 0.02, 1_000.0, BOUNDS);
    for _ in 0..5_000 {
        fit.observe(10.0, 20.0);
    }
    assert!((0.001..0.1).contains(&fit.slope()), "{}", fit.slope());
    for _ in 0..5_000 {
        fit.observe(1_000.0, -5e9);
    }
    assert!(fit.slope() >= 0.001 && fit.intercept() >= 0.0);
}

fn seen(tokens_ahead: f64, running: f64, slowness: f64) -> StreamSeen {
    StreamSeen {
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
fn an_answer_that_hung_teaches_nothing_of_speed() {
    let mut learned = LearnedSpeeds::default();
    let before = learned.speeds();
    assert!(learned.observe(&seen(100.0, 1.0, 100.0)) > 6.0);
    assert_eq!(learned.speeds(), before);
}
