//! Steps between the ids of a service's streams. Guards against a usual step that is inferred from too little, or kept although
//! streams have shown another one, so that sound resumptions are rejected.

use sumacdrift_calls::{EventSequence, StepHistory};

/// Streams that have to agree.
const STREAMS: usize = 8;

/// Records complete streams, each given by its ids.
fn record(history: &mut StepHistory, ids: &str, streams: usize) {
    for _ in 0..streams {
        let mut sequence = EventSequence::new(None);
        for id in ids.split(' ') {
            sequence.advance(Some(id)).expect("an event in order");
        }
        history.record(sequence.steps_of_single_run().expect("a stream that was not resumed"));
    }
}

fn history(ids: &str, streams: usize) -> StepHistory {
    let mut history = StepHistory::default();
    record(&mut history, ids, streams);
    history
}

#[test]
fn the_step_of_enough_streams_is_usual() {
    assert_eq!(history("1 2 3", STREAMS - 1).usual_step(), None);
    assert_eq!(history("1 2 3", STREAMS).usual_step(), Some(1));
    assert_eq!(history("10 20 30 40", STREAMS).usual_step(), Some(10));
}

#[test]
fn streams_with_fewer_than_two_steps_show_no_usual_step() {
    for ids in ["1", "1 2", "a b c"] {
        assert_eq!(history(ids, 3 * STREAMS).usual_step(), None, "{ids}");
    }
}

#[test]
fn a_single_stream_with_other_steps_makes_the_step_unknown() {
    for other in ["1 2 4", "1 3", "2 4 6", "1 2 x"] {
        let mut history = history("1 2 3", 3 * STREAMS);
        record(&mut history, other, 1);
        assert_eq!(history.usual_step(), None, "{other}");
        record(&mut history, "1 2 3", STREAMS - 1);
        assert_eq!(history.usual_step(), None, "{other}");
        record(&mut history, "1 2 3", 1);
        assert_eq!(history.usual_step(), Some(1), "{other}");
    }
}

#[test]
fn streams_without_a_step_change_nothing() {
    let mut history = history("1 2 3", STREAMS);
    record(&mut history, "7", 1);
    assert_eq!(history.usual_step(), Some(1));
}

#[test]
fn a_stream_that_was_resumed_shows_no_steps() {
    let mut by_edge = EventSequence::new(None);
    by_edge.begin_resumption();
    for sequence in [EventSequence::new(Some("3")), by_edge] {
        assert_eq!(sequence.steps_of_single_run(), None);
    }
}
