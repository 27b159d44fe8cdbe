//! The order of a stream's events. Guards against repeats, falls and gaps that are taken for the continuation of a stream,
//! and against sound streams that are not.

use sumacdrift_calls::EventDisorder::{self, Fallen, OffStep, Repeated};
use sumacdrift_calls::EventSequence;

/// Marks in a case that the events behind it come from an engine that resumes the stream.
const RESUMPTION: &str = "|";
/// Marks an event without an id.
const NO_ID: &str = "-";

/// Plays the ids of a case, which are separated by blanks, and returns those in order and what ended them.
fn play(resume_after: Option<&str>, case: &str) -> (String, Option<EventDisorder>) {
    play_with_usual_step(None, resume_after, case)
}

/// The same for a service whose streams have a usual step.
fn play_with_usual_step(
    usual_step: Option<u128>,
    resume_after: Option<&str>,
    case: &str,
) -> (String, Option<EventDisorder>) {
    let mut sequence = EventSequence::new(resume_after);
    sequence.set_usual_step(usual_step);
    let mut in_order = Vec::new();
    for id in case.split(' ') {
        if id == RESUMPTION {
            sequence.begin_resumption();
            continue;
        }
        if let Err(disorder) = sequence.advance((id != NO_ID).then_some(id)) {
            return (in_order.join(" "), Some(disorder));
        }
        in_order.push(id);
    }
    (in_order.join(" "), None)
}

#[track_caller]
fn check(resume_after: Option<&str>, cases: &[(&str, &str, Option<EventDisorder>)]) {
    for (case, in_order, disorder) in cases {
        assert_eq!(play(resume_after, case), ((*in_order).to_owned(), *disorder), "{resume_after:?} {case}");
    }
}

#[test]
fn within_an_answer_a_repeated_or_fallen_id_is_out_of_order() {
    check(
        None,
        &[
            ("1 2 3", "1 2 3", None),
            ("1 2 4 3 3 6", "1 2 4", Some(Fallen)),
            ("1 2 2 3", "1 2", Some(Repeated)),
            ("5 6 5", "5 6", Some(Fallen)),
            ("1 2 1", "1 2", Some(Fallen)),
            ("9 10 11", "9 10 11", None),
            ("1 2 3 7 8 100", "1 2 3 7 8 100", None),
            ("0 1 0", "0 1", Some(Fallen)),
        ],
    );
}

#[test]
fn a_caller_that_resumes_gets_only_higher_ids() {
    check(
        Some("2"),
        &[
            ("3 4", "3 4", None),
            ("2 3", "", Some(Repeated)),
            ("1 2 3", "", Some(Fallen)),
            // What is missing can't be known.
            ("5 6", "5 6", None),
            ("- 2", "-", Some(Repeated)),
        ],
    );
    check(Some(""), &[("1 2", "1 2", None)]);
    check(Some("b"), &[("b c", "", Some(Repeated)), ("a c", "a c", None)]);
}

#[test]
fn a_resumption_continues_one_step_above_if_all_steps_were_equal() {
    check(
        None,
        &[
            ("1 2 3 | 4 5", "1 2 3 4 5", None),
            ("1 2 3 | 3 4", "1 2 3", Some(Repeated)),
            ("1 2 3 | 1 2", "1 2 3", Some(Fallen)),
            ("1 2 3 | 6", "1 2 3", Some(OffStep)),
            ("10 20 30 | 40 50", "10 20 30 40 50", None),
            ("10 20 30 | 35", "10 20 30", Some(OffStep)),
            ("1 2 3 | - 6", "1 2 3 -", Some(OffStep)),
            // The second resumption is the one with a gap.
            ("1 2 3 | 4 | 6", "1 2 3 4", Some(OffStep)),
            // An attempt without an event doesn't hide the gap of the next one.
            ("1 2 3 | | 6", "1 2 3", Some(OffStep)),
            // Steps joined in order count too.
            ("1 | 2 | 3 | 5", "1 2 3", Some(OffStep)),
            // Only the first event of the resumption has to be the next one.
            ("1 2 3 | 4 8", "1 2 3 4 8", None),
        ],
    );
    check(Some("2"), &[("3 4 | 6", "3 4", Some(OffStep)), ("3 4 | 5", "3 4 5", None)]);
}

#[test]
fn the_next_id_is_unknown_after_irregular_or_few_steps() {
    check(
        None,
        &[
            ("1 2 5 | 9 10", "1 2 5 9 10", None),
            ("1 2 | 7", "1 2 7", None),
            ("1 | 7", "1 7", None),
            ("| 7", "7", None),
            // A repeat is known all the same.
            ("1 2 5 | 5", "1 2 5", Some(Repeated)),
            ("1 2 5 | 4", "1 2 5", Some(Fallen)),
        ],
    );
    check(Some("2"), &[("3 | 5", "3 5", None)]);
}

#[test]
fn ids_that_are_not_numbers_are_only_known_to_repeat_the_last_one() {
    let too_large = "9".repeat(40);
    check(
        None,
        &[
            ("b a c | d b", "b a c d b", None),
            ("a b b", "a b", Some(Repeated)),
            ("a b | b", "a b", Some(Repeated)),
            ("1 2 3 x 2 | 9", "1 2 3 x 2 9", None),
            ("+1 +1", "+1", Some(Repeated)),
            ("+2 1", "+2 1", None),
            ("007 7", "007", Some(Repeated)),
            (&format!("{too_large} {too_large}"), &too_large, Some(Repeated)),
            (&format!("{too_large} 1"), &format!("{too_large} 1"), None),
        ],
    );
}

#[test]
fn events_without_an_id_are_in_order() {
    check(None, &[("- - 1 - 2 - -", "- - 1 - 2 - -", None), ("1 - 1", "1 -", Some(Repeated))]);
    let mut sequence = EventSequence::default();
    for id in [None, Some(""), Some("1"), Some(""), Some("2")] {
        assert_eq!(sequence.advance(id), Ok(()));
    }
}

#[test]
fn a_resumption_after_too_few_steps_begins_one_usual_step_above() {
    for (usual, resume_after, case, in_order, disorder) in [
        (1, Some("1"), "3 4 5", "", Some(OffStep)),
        (1, Some("3"), "6", "", Some(OffStep)),
        (1, Some("3"), "4 5 6", "4 5 6", None),
        (1, Some("3"), "- 6", "-", Some(OffStep)),
        (1, Some("3"), "x", "", Some(OffStep)),
        (10, Some("20"), "30 40", "30 40", None),
        (10, Some("20"), "21", "", Some(OffStep)),
        (1, Some("3"), "| 6", "", Some(OffStep)),
        (1, Some("3"), "4 | 6", "4", Some(OffStep)),
        (1, None, "1 | 3", "1", Some(OffStep)),
        (1, None, "1 2 | 4", "1 2", Some(OffStep)),
        (1, None, "1 | 2 3", "1 2 3", None),
        // Only the first event of a resumption is judged by it.
        (1, None, "1 3 5", "1 3 5", None),
        (1, Some("3"), "4 8", "4 8", None),
        // The steps of the stream itself count for more.
        (1, None, "2 4 6 | 8", "2 4 6 8", None),
        (1, None, "2 4 | 6", "2 4 6", None),
        (1, None, "1 2 5 | 9", "1 2 5 9", None),
        // Nothing is known after an id that isn't a number.
        (1, Some("b"), "c", "c", None),
        (1, Some(""), "7 8", "7 8", None),
    ] {
        let expected = (in_order.to_owned(), disorder);
        assert_eq!(
            play_with_usual_step(Some(usual), resume_after, case),
            expected,
            "{resume_after:?} {case}"
        );
    }
}
