//! Wire compatibility of frames between processes of the ledger fleet, checked against recorded bytes.
//!
//! Frames for shards, engine owners and membership are used only by `crates/node` and are not recorded. See
//! `sumacdrift_recorded_forms` for how to add a form; existing lines of `fixtures/frames.txt` must not change.

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

/// `None` for kinds used only by `crates/node`. The match is exhaustive, so a new kind must be added here to compile.
fn kind_name(body: &FrameBody) -> Option<&'static str> {
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

fn relay_request(question: RelayedQuestion, within: Duration) -> FrameBody {
    FrameBody::Request(Request::Relay(Relay { to: ([10, 0, 0, 1], 7000).into(), within, question }))
}

fn full_frames() -> Vec<Frame> {
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
        relay_request(RelayedQuestion::Ledger(content.clone()), within),
        relay_request(RelayedQuestion::Follow(content.clone()), within),
        FrameBody::Response(Response::Ledger(content.clone())),
        FrameBody::Response(Response::Changes(content)),
        FrameBody::Response(Response::Failed(problem)),
        FrameBody::Abandon,
    ];
    bodies.map(|body| Frame { exchange: 300, body }).to_vec()
}

fn bare_frames() -> Vec<Frame> {
    let problem = Problem::not_run(ResultCode::NotFound, "");
    let bodies = [
        FrameBody::Request(Request::Ledger(Bytes::new())),
        FrameBody::Request(Request::Follow(Bytes::new())),
        relay_request(RelayedQuestion::Ledger(Bytes::new()), Duration::ZERO),
        relay_request(RelayedQuestion::Follow(Bytes::new()), Duration::ZERO),
        FrameBody::Response(Response::Ledger(Bytes::new())),
        FrameBody::Response(Response::Changes(Bytes::new())),
        FrameBody::Response(Response::Failed(problem)),
        FrameBody::Abandon,
    ];
    bodies.map(|body| Frame { exchange: 0, body }).to_vec()
}

fn recorded_kind(frame: &Frame) -> &'static str {
    kind_name(&frame.body).expect("frame kind should be recorded")
}

fn load_recorded_forms() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/frames.txt"))
}

#[test]
fn recorded_forms_decode_and_newest_forms_encode_identically() {
    let mut forms = load_recorded_forms();
    for frame in full_frames() {
        forms.writes(&codec(), recorded_kind(&frame), "1", &frame);
    }
    for frame in bare_frames() {
        forms.writes_bare(&codec(), recorded_kind(&frame), &frame);
    }
    if let Err(failures) = forms.finish(&KINDS) {
        panic!("{failures}");
    }
}

/// The relay message as first released, before `follow` was added.
#[derive(Clone, PartialEq, prost::Message)]
struct OriginalRelayMessage {
    #[prost(string, tag = "1")]
    to: String,
    #[prost(uint64, tag = "2")]
    within_millis: u64,
    #[prost(bytes = "vec", tag = "3")]
    ledger: Vec<u8>,
}

fn decode_as_original_relay(question: RelayedQuestion) -> OriginalRelayMessage {
    let relay = Relay { to: ([10, 0, 0, 1], 7000).into(), within: Duration::from_millis(800), question };
    OriginalRelayMessage::decode(relay.encode()).expect("relay message should decode")
}

#[test]
fn original_relay_message_decodes_ledger_request() {
    let content = Bytes::from_static(b"content");
    let decoded = decode_as_original_relay(RelayedQuestion::Ledger(content.clone()));
    assert_eq!(
        (decoded.to.as_str(), decoded.within_millis, decoded.ledger),
        ("10.0.0.1:7000", 800, content.to_vec())
    );
}

#[test]
fn original_relay_message_decodes_feed_request_as_empty_ledger_request() {
    let decoded = decode_as_original_relay(RelayedQuestion::Follow(Bytes::from_static(b"content")));
    assert_eq!(decoded.ledger, Vec::<u8>::new());
}

/// A result code from a newer build must not fail decoding, which would close the connection.
#[test]
fn problem_with_unknown_code_decodes_as_internal() {
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
    let decoded = Frame::decode(Bytes::from(frame.encode_to_vec())).expect("frame should decode");
    let problem = Problem::not_run(ResultCode::Internal, "");
    assert_eq!(decoded, Frame { exchange: 3, body: FrameBody::Response(Response::Failed(problem)) });
}
