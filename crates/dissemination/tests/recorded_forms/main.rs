//! Compatibility of the messages between feeds and followers: recorded messages of earlier builds are read,
//! today's messages are written as recorded and read by earlier builds.
//!
//! New forms are added as `sumacdrift_recorded_forms` describes; lines of `fixtures/feeds.txt` are never
//! changed.

mod older;

use bytes::Bytes;
use prost::Message;
use sumacdrift_dissemination::{Changes, FollowRequest, Item, ItemChange, ItemKey, ItemKind, Snapshot};
use sumacdrift_recorded_forms::{Codec, RecordedForms};

const FOLLOW: &str = "FollowRequest";
const CHANGES: &str = "Changes";
const SNAPSHOT: &str = "Snapshot";

/// All kinds. A new kind does not compile until [`item_of`] covers it.
const ITEM_KINDS: [ItemKind; 6] = [
    ItemKind::Configuration,
    ItemKind::Engine,
    ItemKind::Groups,
    ItemKind::Retirement,
    ItemKind::Evacuation,
    ItemKind::Quarantine,
];
/// Kinds of the builds before requests were put in quarantine.
const KINDS_OF_STORE: usize = 5;

/// An item of a kind, as in the recorded snapshot with all kinds.
fn item_of(kind: ItemKind) -> Item {
    let (name, content, revision): (_, &'static [u8], _) = match kind {
        ItemKind::Configuration => ("main", b"{}", 7),
        ItemKind::Engine => ("e1", b"{}", 8),
        ItemKind::Groups => ("groups", b"groups", 9),
        ItemKind::Retirement => ("m1", b"asked", 10),
        ItemKind::Evacuation => ("a", b"", 11),
        ItemKind::Quarantine => ("0000000000000063", &[0, 0, 1, 0, 0, 0, 0, 9], 1),
    };
    Item::new(kind, name, Bytes::from_static(content), revision)
}

fn recorded() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/feeds.txt"))
}

fn first_request() -> FollowRequest {
    FollowRequest { incarnation: 77, after: 12, wait_millis: 2000, ..FollowRequest::default() }
}

fn request_for_part() -> FollowRequest {
    let part_behind = Some(ItemKey { kind: ItemKind::Engine as i32, name: "e1".to_owned() });
    FollowRequest { takes_parts: true, part_behind, ..first_request() }
}

fn newest_request() -> FollowRequest {
    FollowRequest { is_edge: true, ..request_for_part() }
}

fn first_changes() -> Changes {
    let removed = Item { content: Bytes::new(), ..item_of(ItemKind::Engine) };
    Changes {
        incarnation: 77,
        at: 12,
        is_full: true,
        outage_millis: 2500,
        is_current: true,
        changes: vec![
            ItemChange {
                item: Some(item_of(ItemKind::Configuration)),
                is_gone: false,
                removed_millis_ago: None,
            },
            ItemChange { item: Some(removed), is_gone: true, removed_millis_ago: None },
        ],
        hears_store: false,
        configurations_to: 0,
        engines_to: 0,
        configuration_age_millis: None,
        held_millis: 0,
        evacuations_to: 0,
        last_item_of_part: None,
    }
}

/// Responses as written by each build since the first, by the number of the form; the last one is today's.
fn responses() -> [(&'static str, Changes); 6] {
    let with_revisions =
        Changes { hears_store: true, configurations_to: 9, engines_to: 10, ..first_changes() };
    let with_age = Changes { configuration_age_millis: Some(0), held_millis: 40, ..with_revisions.clone() };
    let with_evacuations = Changes { evacuations_to: 11, ..with_age.clone() };
    let last_item_of_part = Some(ItemKey { kind: ItemKind::Engine as i32, name: "e1".to_owned() });
    let in_parts = Changes { last_item_of_part, ..with_evacuations.clone() };
    let mut with_removal_ages = in_parts.clone();
    with_removal_ages.changes[1].removed_millis_ago = Some(700);
    [
        ("1", first_changes()),
        ("2", with_revisions),
        ("3", with_age),
        ("4", with_evacuations),
        ("5", in_parts),
        ("6", with_removal_ages),
    ]
}

fn newest_response() -> Changes {
    let [.., (_, newest)] = responses();
    newest
}

fn snapshot_of(kinds: &[ItemKind]) -> Snapshot {
    Snapshot { items: kinds.iter().map(|kind| item_of(*kind)).collect(), ..Snapshot::default() }
}

fn newest_snapshot() -> Snapshot {
    snapshot_with_ended_evacuation(&ITEM_KINDS)
}

fn snapshot_with_ended_evacuation(kinds: &[ItemKind]) -> Snapshot {
    let item = Some(Item { content: Bytes::new(), ..item_of(ItemKind::Evacuation) });
    let ended = ItemChange { item, is_gone: true, removed_millis_ago: Some(700) };
    Snapshot { ended_evacuations: vec![ended], saved_unix_millis: 5_000, ..snapshot_of(kinds) }
}

#[test]
fn recorded_forms_are_read_and_the_newest_is_written() {
    let mut forms = recorded();
    forms.reads(&Codec::message(), FOLLOW, "2", &request_for_part());
    forms.writes(&Codec::message(), FOLLOW, "3", &newest_request());
    forms.writes_bare(&Codec::message(), FOLLOW, &FollowRequest::default());
    forms.reads(&Codec::message(), FOLLOW, "1", &first_request());
    for (form, changes) in responses().iter().take(responses().len() - 1) {
        forms.reads(&Codec::message(), CHANGES, form, changes);
    }
    forms.writes(&Codec::message(), CHANGES, "6", &newest_response());
    forms.writes_bare(&Codec::message(), CHANGES, &Changes::default());
    forms.writes(&Codec::message(), SNAPSHOT, "4", &newest_snapshot());
    forms.writes_bare(&Codec::message(), SNAPSHOT, &Snapshot::default());
    forms.reads(&Codec::message(), SNAPSHOT, "1", &snapshot_of(&ITEM_KINDS[..2]));
    forms.reads(&Codec::message(), SNAPSHOT, "2", &snapshot_of(&ITEM_KINDS[..KINDS_OF_STORE]));
    forms.reads(
        &Codec::message(),
        SNAPSHOT,
        "3",
        &snapshot_with_ended_evacuation(&ITEM_KINDS[..KINDS_OF_STORE]),
    );
    if let Err(failures) = forms.finish(&[FOLLOW, CHANGES, SNAPSHOT]) {
        panic!("{failures}");
    }
}

#[test]
fn every_kind_of_item_is_recorded() {
    let next = ITEM_KINDS.len() as i32;
    assert_eq!(ITEM_KINDS.map(|kind| kind as i32), [0, 1, 2, 3, 4, 5]);
    assert!(ItemKind::try_from(next).is_err(), "kind {next} has no recorded form");
}

/// Decodes a message as an earlier build does and encodes the fields that it knows.
fn reencode_as<M: Message + Default>(newest: &impl Message) -> Vec<u8> {
    M::decode(newest.encode_to_vec().as_slice()).expect("valid message").encode_to_vec()
}

#[test]
fn earlier_builds_read_the_known_fields_of_todays_messages() {
    let mut forms = recorded();
    assert_eq!(reencode_as::<older::FirstRequest>(&newest_request()), forms.bytes(FOLLOW, "1"));
    assert_eq!(reencode_as::<older::FirstChanges>(&newest_response()), forms.bytes(CHANGES, "1"));
    assert_eq!(reencode_as::<older::ChangesWithRevisions>(&newest_response()), forms.bytes(CHANGES, "2"));
    assert_eq!(reencode_as::<older::ChangesWithAge>(&newest_response()), forms.bytes(CHANGES, "3"));
    assert_eq!(reencode_as::<older::ChangesWithEvacuations>(&newest_response()), forms.bytes(CHANGES, "4"));
}
