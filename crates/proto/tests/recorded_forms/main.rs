//! Frames between the processes of a ledger's fleet are read and written as they were recorded.
//!
//! Frames of shards, of engines' owners and of membership belong to another program (`crates/node`) and are not recorded. A
//! new form is added as `sumacdrift_recorded_forms` says; lines of `fixtures/frames.txt` are never changed.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_proto::{Frame, FrameBody, OneWay, Relay, RelayedQuestion, Request, Response, Wire};
use sumacdrift_recorded_forms::{Codec, RecordedForms};
use sumacdrift_types::{Problem, Ran, ResultCode};

const ABANDON: &str = "Abandon";
const KINDS: [&str; 8] = [
    "Request.Ledger",
    "Request.Follow",
    "Relay.Ledger",
    "Relay.Follow",
    "Response.Ledger",
    "Response.Changes",
    "Response.Failed",
    ABANDON,
];

/// The name of a frame's kind; `None` for those of the other program. A new kind does not compile until it is named here.
fn kind_of(body: &FrameBody) -> Option<&'static str> {
    match body {
        FrameBody::Request(Request::Ledger(_)) => Some("Request.Ledger"),
        FrameBody::Request(Request::Follow(_)) => Some("Request.Follow"),
        FrameBody::Request(Request::Relay(relay)) => match relay.question {
            RelayedQuestion::Ledger(_) => Some("Relay.Ledger"),
            RelayedQuestion::Follow(_) => Some("Relay.Follow"),
        },
        FrameBody::Response(Response::Ledger(_)) => Some("Response.Ledger"),
        FrameBody::Response(Response::Changes(_)) => Some("Response.Changes"),
        FrameBody::Response(Response::Failed(_)) => Some("Response.Failed"),
        FrameBody::Abandon => Some(ABANDON),
        FrameBody::Request(Request::Shard(_) | Request::Engine(_) | Request::Fleet(_)) => None,
        FrameBody::Response(
            Response::Shard(_) | Response::NotLeader { .. } | Response::Engine(_) | Response::Fleet(_),
        ) => None,
        FrameBody::OneWay(
            OneWay::Membership(_)
            | OneWay::Group(_)
            | OneWay::Release { .. }
            | OneWay::Forget { .. }
            | OneWay::FreeProgram { .. }
            | OneWay::LeaderAnnouncement { .. }
            | OneWay::CancelCall { .. },
        ) => None,
    }
}

fn codec() -> Codec<Frame> {
    Codec {
        encode: |frame| frame.encode().to_vec(),
        decode: |bytes| Frame::decode(Bytes::copy_from_slice(bytes)).map_err(|error| error.to_string()),
    }
}

fn relay(question: RelayedQuestion, within: Duration) -> FrameBody {
    FrameBody::Request(Request::Relay(Relay { to: ([10, 0, 0, 1], 7000).into(), within, question }))
}

fn full() -> Vec<Frame> {
    let content = Bytes::from_static(b"content");
    let within = Duration::from_millis(800);
    let problem = Problem {
        code: ResultCode::Overloaded,
        detail: "too much".to_owned(),
        ran: Ran::Unknown,
        retry_after: Some(Duration::from_millis(250)),
    };
    let bodies = [
        FrameBody::Request(Request::Ledger(content.clone())),
        FrameBody::Request(Request::Follow(content.clone())),
        relay(RelayedQuestion::Ledger(content.clone()), within),
        relay(RelayedQuestion::Follow(content.clone()), within),
        FrameBody::Response(Response::Ledger(content.clone())),
        FrameBody::Response(Response::Changes(content)),
        FrameBody::Response(Response::Failed(problem)),
        FrameBody::Abandon,
    ];
    bodies.map(|body| Frame { exchange: 300, body }).to_vec()
}

fn bare() -> Vec<Frame> {
    let problem = Problem::not_run(ResultCode::NotFound, "");
    let bodies = [
        FrameBody::Request(Request::Ledger(Bytes::new())),
        FrameBody::Request(Request::Follow(Bytes::new())),
        relay(RelayedQuestion::Ledger(Bytes::new()), Duration::ZERO),
        relay(RelayedQuestion::Follow(Bytes::new()), Duration::ZERO),
        FrameBody::Response(Response::Ledger(Bytes::new())),
        FrameBody::Response(Response::Changes(Bytes::new())),
        FrameBody::Response(Response::Failed(problem)),
        FrameBody::Abandon,
    ];
    bodies.map(|body| Frame { exchange: 0, body }).to_vec()
}

fn name_of(frame: &Frame) -> &'static str {
    kind_of(&frame.body).expect("a frame of the ledger's fleet")
}

fn recorded() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/frames.txt"))
}

#[test]
fn recorded_forms_are_read_and_the_newest_of_them_written() {
    let mut forms = recorded();
    for frame in full() {
        forms.writes(&codec(), name_of(&frame), "1", &frame);
    }
    for frame in bare() {
        forms.writes_bare(&codec(), name_of(&frame), &frame);
    }
    if let Err(failures) = forms.finish(&KINDS) {
        panic!("{failures}");
    }
}

/// A question that is passed on, as 2681526 knew it.
#[derive(Clone, PartialEq, prost::Message)]
struct FirstRelay {
    #[prost(string, tag = "1")]
    to: String,
    #[prost(uint64, tag = "2")]
    within_millis: u64,
    #[prost(bytes = "vec", tag = "3")]
    ledger: Vec<u8>,
}

fn first_relay(question: RelayedQuestion) -> FirstRelay {
    let relay = Relay { to: ([10, 0, 0, 1], 7000).into(), within: Duration::from_millis(800), question };
    FirstRelay::decode(relay.encode()).expect("a message")
}

#[test]
fn the_first_build_with_relays_reads_questions_to_the_ledger() {
    let content = Bytes::from_static(b"content");
    let read = first_relay(RelayedQuestion::Ledger(content.clone()));
    assert_eq!((read.to.as_str(), read.within_millis, read.ledger), ("10.0.0.1:7000", 800, content.to_vec()));
}

#[test]
fn the_first_build_with_relays_takes_a_question_to_a_feed_for_an_empty_one() {
    let read = first_relay(RelayedQuestion::Follow(Bytes::from_static(b"content")));
    assert_eq!(read.ledger, Vec::<u8>::new());
}

/// A code that a newer build gives is no reason to end a connection.
#[test]
fn a_problem_with_a_code_that_is_not_known_is_read() {
    #[derive(Clone, PartialEq, prost::Message)]
    struct NewerFrame {
        #[prost(uint64, tag = "1")]
        exchange: u64,
        #[prost(message, optional, tag = "3")]
        response: Option<NewerResponse>,
    }
    #[derive(Clone, PartialEq, prost::Message)]
    struct NewerResponse {
        #[prost(message, optional, tag = "8")]
        failed: Option<NewerProblem>,
    }
    #[derive(Clone, PartialEq, prost::Message)]
    struct NewerProblem {
        #[prost(uint32, tag = "1")]
        code: u32,
        #[prost(string, tag = "99")]
        newer: String,
    }
    let failed = Some(NewerProblem { code: 65_000, newer: "of a newer build".to_owned() });
    let frame = NewerFrame { exchange: 3, response: Some(NewerResponse { failed }) };
    let read = Frame::decode(Bytes::from(frame.encode_to_vec())).expect("a frame");
    let problem = Problem::not_run(ResultCode::Internal, "");
    assert_eq!(read, Frame { exchange: 3, body: FrameBody::Response(Response::Failed(problem)) });
}
