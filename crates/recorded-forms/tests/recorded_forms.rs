//! Each check of recorded forms reports the failure that it guards against.

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

fn check_bare_and_first(forms: &mut RecordedForms) {
    forms.writes_bare(&codec(), KIND, &0);
    forms.writes(&codec(), KIND, "1", &5);
}

#[test]
fn form_that_round_trips_passes() {
    assert_eq!(failures_of("# a line for readers\nnumber bare -\nnumber 1 0805\n", check_bare_and_first), []);
}

#[test]
fn unrecorded_form_fails_with_bytes_to_record() {
    let failures = failures_of("number bare -\n", check_bare_and_first);
    let not_recorded = Failure::NewFormNotRecorded {
        kind: KIND.to_owned(),
        form: "1".to_owned(),
        encoded: "0805".to_owned(),
    };
    assert_eq!(failures, [not_recorded, Failure::NewestNotEncoded(KIND.to_owned())]);
}

#[test]
fn value_that_differs_from_recorded_form_fails() {
    let failures = failures_of("number bare -\nnumber 1 0806\n", check_bare_and_first);
    assert!(
        matches!(
            failures.as_slice(),
            [Failure::EncodedDifferently { .. }, Failure::DecodedDifferently { .. }]
        ),
        "{failures:?}"
    );
}

#[test]
fn newest_form_that_is_only_decoded_fails() {
    let failures = failures_of("number bare -\nnumber 1 0805\nnumber 2 0806\n", |forms| {
        check_bare_and_first(forms);
        forms.reads(&codec(), KIND, "2", &6);
    });
    assert_eq!(failures, [Failure::NewestNotEncoded(KIND.to_owned())]);
}

#[test]
fn unchecked_form_fails() {
    let failures = failures_of("number bare -\nnumber 1 0805\nother 1 08\n", check_bare_and_first);
    assert_eq!(failures, [Failure::NotChecked { kind: "other".to_owned(), form: "1".to_owned() }]);
}

#[test]
fn invalid_and_repeated_lines_fail() {
    let failures = failures_of(
        "number bare -\nnumber 1 0805\nnumber 1 0805\nnumber 2 08zz\nnumber\n",
        check_bare_and_first,
    );
    assert_eq!(failures, [Failure::InvalidLine(3), Failure::InvalidLine(4), Failure::InvalidLine(5)]);
}

#[test]
fn withdrawn_form_that_decodes_fails() {
    let text = "number bare -\nnumber 1 0805\nold 1 0807\nold 2 0a00\n";
    let failures = failures_of(text, |forms| {
        check_bare_and_first(forms);
        forms.refuses(&codec(), "old", "1");
        forms.refuses(&codec(), "old", "2");
    });
    assert!(matches!(failures.as_slice(), [Failure::DecodedDifferently { .. }]), "{failures:?}");
}
