//! Compatibility of the messages between edges and boards: recorded messages of earlier builds are read,
//! today's messages are written as recorded and read by earlier builds, and hashed identifiers are stable.
//!
//! New forms are added as `sumacdrift_recorded_forms` describes; lines of `fixtures/views.txt` are never
//! changed.

mod older;

use prost::Message;
use sumacdrift_fleet_view::{
    CachedPart, EngineLoad, Loads, NodeReport, PeerView, ServiceDemand, engine_key, part_key, service_key,
};
use sumacdrift_recorded_forms::{Codec, RecordedForms};

const NODE_REPORT: &str = "News";
const VIEW: &str = "View";
const ENGINE: u32 = 0x1234_5678;
const SERVICE: u32 = 0x0102_0304;
const PART: u64 = 0x1122_3344_5566_7788;
const RELAY: &str = "10.0.1.1:7000";

fn recorded() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/views.txt"))
}

fn first_loads() -> Loads {
    Loads {
        engines: vec![EngineLoad { engine: ENGINE, running: 3, unread_tokens: 900, ..EngineLoad::default() }],
    }
}

fn loads_with_failures() -> Loads {
    let first = first_loads().engines[0];
    Loads { engines: vec![EngineLoad { failed: 2, succeeding_edges: 1, ..first }] }
}

fn loads() -> Loads {
    let before = loads_with_failures().engines[0];
    Loads { engines: vec![EngineLoad { recent_ended: 40, recent_failed: 6, ..before }] }
}

fn demands() -> Vec<ServiceDemand> {
    vec![ServiceDemand { service: SERVICE, rank: 257, running: 5, waiting: 2 }]
}

fn cached_parts() -> Vec<CachedPart> {
    vec![CachedPart { part: PART, engine: ENGINE, tokens: 640 }]
}

fn report(loads: Loads, is_from_board: bool) -> NodeReport {
    NodeReport {
        node: "e1".to_owned(),
        relay: RELAY.to_owned(),
        loads: Some(loads),
        cached_parts: cached_parts(),
        requested_parts: vec![PART],
        wants_loads: true,
        wants_relays: true,
        is_from_board,
        demands: Vec::new(),
    }
}

fn newest_report() -> NodeReport {
    NodeReport { demands: demands(), ..report(loads(), true) }
}

fn view(loads: Loads) -> PeerView {
    PeerView {
        loads: Some(loads),
        cached_parts: cached_parts(),
        relays: vec![RELAY.to_owned()],
        demands: Vec::new(),
    }
}

fn newest_view() -> PeerView {
    PeerView { demands: demands(), ..view(loads()) }
}

#[test]
fn recorded_forms_are_read_and_the_newest_is_written() {
    let mut forms = recorded();
    forms.reads(&Codec::message(), NODE_REPORT, "1", &report(first_loads(), false));
    forms.reads(&Codec::message(), NODE_REPORT, "2", &report(loads_with_failures(), false));
    forms.reads(&Codec::message(), NODE_REPORT, "3", &report(loads_with_failures(), true));
    forms.writes(&Codec::message(), NODE_REPORT, "4", &newest_report());
    forms.writes_bare(&Codec::message(), NODE_REPORT, &NodeReport::default());
    forms.reads(&Codec::message(), VIEW, "1", &view(first_loads()));
    forms.reads(&Codec::message(), VIEW, "2", &view(loads_with_failures()));
    forms.writes(&Codec::message(), VIEW, "3", &newest_view());
    forms.writes_bare(&Codec::message(), VIEW, &PeerView::default());
    if let Err(failures) = forms.finish(&[NODE_REPORT, VIEW]) {
        panic!("{failures}");
    }
}

/// Decodes a message as an earlier build does and encodes the fields that it knows.
fn reencode_as<M: Message + Default>(newest: &impl Message) -> Vec<u8> {
    M::decode(newest.encode_to_vec().as_slice()).expect("valid message").encode_to_vec()
}

#[test]
fn earlier_builds_read_the_known_fields_of_todays_messages() {
    let mut forms = recorded();
    assert_eq!(reencode_as::<older::FirstReport>(&newest_report()), forms.bytes(NODE_REPORT, "1"));
    assert_eq!(reencode_as::<older::ReportWithFailures>(&newest_report()), forms.bytes(NODE_REPORT, "2"));
    assert_eq!(reencode_as::<older::ReportOfBoards>(&newest_report()), forms.bytes(NODE_REPORT, "3"));
    assert_eq!(reencode_as::<older::FirstView>(&newest_view()), forms.bytes(VIEW, "1"));
    assert_eq!(reencode_as::<older::ViewWithFailures>(&newest_view()), forms.bytes(VIEW, "2"));
}

#[test]
fn hashed_identifiers_are_stable_across_builds() {
    assert_eq!(engine_key("engine-1"), 1_914_633_309);
    assert_eq!(engine_key("engine-1@1700000000000"), 1_936_577_152);
    assert_eq!(part_key("system-prompt"), 4_938_891_675_840_779_692);
    assert_eq!(service_key("quote-llm"), 2_561_760_804);
}
