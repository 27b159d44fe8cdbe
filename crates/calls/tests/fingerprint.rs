//! Which requests count as the same.

use std::time::Duration;

use sumacdrift_calls::{CallMetadata, ProgramMetadata, PromptPart, RequestContent, RequestFingerprint};

fn metadata() -> CallMetadata {
    CallMetadata {
        id: "a1".to_owned(),
        time_left: Some(Duration::from_secs(3)),
        program: Some(ProgramMetadata {
            program: "p1".to_owned(),
            line: Some("s1".to_owned()),
            time_left: Some(Duration::from_secs(9)),
            token_budget: Some(100),
        }),
        affinity: None,
        usage: None,
        prompt: vec![PromptPart { id: "5c".to_owned(), tokens: 800 }],
        resume_after: None,
        resumed_call: None,
        previous: Some("t0".to_owned()),
    }
}

fn content(metadata: &CallMetadata) -> RequestContent<'_> {
    RequestContent { tenant: "t", host: "h", method: "POST", path_and_query: "/a?b", body: b"body", metadata }
}

fn fingerprint_with(change: impl FnOnce(&mut CallMetadata)) -> RequestFingerprint {
    let mut metadata = metadata();
    change(&mut metadata);
    RequestFingerprint::of(&content(&metadata))
}

/// A caller that retries or resumes sends another id, other deadlines and another event.
#[test]
fn later_attempts_of_a_request_have_its_fingerprint() {
    let first = fingerprint_with(|_| {});
    let later = fingerprint_with(|metadata| {
        metadata.id = "a2".to_owned();
        metadata.time_left = Some(Duration::from_secs(1));
        metadata.resume_after = Some("4".to_owned());
        metadata.resumed_call = Some("a1".to_owned());
        let program = metadata.program.as_mut().expect("a program");
        program.time_left = None;
        program.token_budget = None;
    });
    assert_eq!(first, later);
}

#[test]
fn other_requests_have_other_fingerprints() {
    let base = metadata();
    let first = RequestFingerprint::of(&content(&base));
    let other_contents = [
        RequestContent { tenant: "u", ..content(&base) },
        RequestContent { host: "i", ..content(&base) },
        RequestContent { method: "GET", ..content(&base) },
        RequestContent { path_and_query: "/a?c", ..content(&base) },
        RequestContent { body: b"bodz", ..content(&base) },
    ];
    for other in &other_contents {
        assert_ne!(first, RequestFingerprint::of(other), "{other:?}");
    }
    let others = [
        fingerprint_with(|metadata| metadata.program = None),
        fingerprint_with(|metadata| metadata.previous = None),
        fingerprint_with(|metadata| metadata.affinity = Some("k".to_owned())),
        fingerprint_with(|metadata| metadata.prompt[0].tokens += 1),
        fingerprint_with(|metadata| metadata.prompt.clear()),
    ];
    assert!(others.iter().all(|other| *other != first));
}
