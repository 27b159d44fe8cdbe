//! The checks of recorded forms notice what they are there for.

use sumacdrift_recorded_forms::{Codec, Failure, Failures, RecordedForms};

const KIND: &str = "number";

fn codec() -> Codec<u64> {
    Codec::message()
}

fn failures_of(text: &str, check: impl FnOnce(&mut RecordedForms)) -> Vec<Failure> {
    let mut forms = RecordedForms::parse(text);
    check(&mut forms);
    forms.finish(&[KIND]).err().unwrap_or(Failures(Vec::new())).0
}

fn check_both(forms: &mut RecordedForms) {
    forms.writes_bare(&codec(), KIND, &0);
    forms.writes(&codec(), KIND, "1", &5);
}

#[test]
fn a_form_that_is_read_and_written_passes() {
    assert_eq!(failures_of("# a line for readers\nnumber bare -\nnumber 1 0805\n", check_both), []);
}

#[test]
fn a_form_that_was_not_recorded_is_printed() {
    let failures = failures_of("number bare -\n", check_both);
    let missing =
        Failure::Missing { kind: KIND.to_owned(), form: "1".to_owned(), written: "0805".to_owned() };
    assert_eq!(failures, [missing, Failure::NoNewest(KIND.to_owned())]);
}

#[test]
fn a_value_that_is_written_or_read_otherwise_fails() {
    let failures = failures_of("number bare -\nnumber 1 0806\n", check_both);
    assert!(matches!(failures.as_slice(), [Failure::Written { .. }, Failure::Read { .. }]), "{failures:?}");
}

#[test]
fn a_newer_form_that_only_is_read_fails() {
    let failures = failures_of("number bare -\nnumber 1 0805\nnumber 2 0806\n", |forms| {
        check_both(forms);
        forms.reads(&codec(), KIND, "2", &6);
    });
    assert_eq!(failures, [Failure::NoNewest(KIND.to_owned())]);
}

#[test]
fn a_form_that_no_test_reads_fails() {
    let failures = failures_of("number bare -\nnumber 1 0805\nother 1 08\n", check_both);
    assert_eq!(failures, [Failure::NotChecked { kind: "other".to_owned(), form: "1".to_owned() }]);
}

#[test]
fn a_line_that_is_no_form_or_there_twice_fails() {
    let failures =
        failures_of("number bare -\nnumber 1 0805\nnumber 1 0805\nnumber 2 08zz\nnumber\n", check_both);
    assert_eq!(failures, [Failure::Line(3), Failure::Line(4), Failure::Line(5)]);
}

#[test]
fn a_withdrawn_form_that_is_read_fails() {
    let text = "number bare -\nnumber 1 0805\nold 1 0807\nold 2 0a00\n";
    let failures = failures_of(text, |forms| {
        check_both(forms);
        forms.refuses(&codec(), "old", "1");
        forms.refuses(&codec(), "old", "2");
    });
    assert!(matches!(failures.as_slice(), [Failure::Read { .. }]), "{failures:?}");
}
