//! Compatibility of encoded messages and records: this build decodes the forms of earlier builds and encodes the
//! recorded newest forms, and earlier builds decode those.
//!
//! The documentation of `sumacdrift_recorded_forms` describes how to add a form. Lines of `fixtures/ledger.txt` are
//! never changed.

mod older;
mod samples;

use prost::Message;
use sumacdrift_ledger::{
    Group, GroupMap, LedgerReply, LedgerRequest, Record, RecordKind, Replica, ReplicaSettings, ReplyKind,
    RequestKind, Standing,
};
use sumacdrift_recorded_forms::{Codec, RecordedForms, kinds};

use crate::samples::{bare, earlier, full};

kinds!(
    RECORD_KINDS,
    record_kind,
    RecordKind { Begun, Ended, Group, Standing, Copy, Reading, CrashHistory, Removed }
);

kinds!(
    REQUEST_KINDS,
    request_kind,
    RequestKind {
        Begin,
        End,
        Chain,
        Page,
        Push,
        Install,
        Status,
        Contents,
        Find,
        Map,
        News,
        Quota,
        QuotaTotals,
        Stopping,
        EngineCrash,
        ServedAfterCrash,
        Quarantine,
        SuspectedCrash,
        EngineSurvived,
        Suspect,
        Continuations,
    }
);

kinds!(
    REPLY_KINDS,
    reply_kind,
    ReplyKind {
        Vote,
        Done,
        Chain,
        Page,
        WrongEpoch,
        NotVoting,
        Status,
        Failed,
        NeverVoted,
        Map,
        Busy,
        Quota,
        CrashedEngines,
        Continuations,
    }
);

fn recorded() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/ledger.txt"))
}

fn record_kind_name(record: &Record) -> &'static str {
    record_kind(record.kind.as_ref().expect("kind is set"))
}

fn request_kind_name(request: &LedgerRequest) -> &'static str {
    request_kind(request.kind.as_ref().expect("kind is set"))
}

fn reply_kind_name(reply: &LedgerReply) -> &'static str {
    reply_kind(reply.kind.as_ref().expect("kind is set"))
}

fn check_full(forms: &mut RecordedForms) {
    for (form, record) in full::records() {
        forms.writes(&Codec::message(), record_kind_name(&record), form, &record);
    }
    for (form, request) in full::requests() {
        forms.writes(&Codec::message(), request_kind_name(&request), form, &request);
    }
    for (form, reply) in full::replies() {
        forms.writes(&Codec::message(), reply_kind_name(&reply), form, &reply);
    }
}

fn check_bare(forms: &mut RecordedForms) {
    for record in bare::records() {
        forms.writes_bare(&Codec::message(), record_kind_name(&record), &record);
    }
    for request in bare::requests() {
        forms.writes_bare(&Codec::message(), request_kind_name(&request), &request);
    }
    for reply in bare::replies() {
        forms.writes_bare(&Codec::message(), reply_kind_name(&reply), &reply);
    }
}

fn check_earlier(forms: &mut RecordedForms) {
    for (form, record) in earlier::records() {
        forms.reads(&Codec::message(), record_kind_name(&record), form, &record);
    }
    for (form, request) in earlier::requests() {
        forms.reads(&Codec::message(), request_kind_name(&request), form, &request);
    }
    for (form, reply) in earlier::replies() {
        forms.reads(&Codec::message(), reply_kind_name(&reply), form, &reply);
    }
}

/// The tags of withdrawn kinds were reused. Their forms must be rejected, not decoded as another kind.
fn check_withdrawn(forms: &mut RecordedForms) {
    forms.refuses(&Codec::<LedgerRequest>::message(), "Withdrawn.Keep", "1");
    forms.refuses(&Codec::<LedgerRequest>::message(), "Withdrawn.Fetch", "1");
    forms.refuses(&Codec::<LedgerReply>::message(), "Withdrawn.Copy", "1");
}

#[test]
fn recorded_forms_are_decoded_and_newest_forms_are_encoded() {
    let mut forms = recorded();
    check_full(&mut forms);
    check_bare(&mut forms);
    check_earlier(&mut forms);
    check_withdrawn(&mut forms);
    if let Err(failures) = forms.finish(&[RECORD_KINDS, REQUEST_KINDS, REPLY_KINDS].concat()) {
        panic!("{failures}");
    }
}

/// Decodes the encoding of `newest` as a message of an earlier build and encodes the result.
fn reencode_as<M: Message + Default>(newest: &impl Message) -> Vec<u8> {
    M::decode(newest.encode_to_vec().as_slice()).expect("decodable message").encode_to_vec()
}

#[test]
fn first_build_decodes_the_kinds_that_it_knows() {
    let mut forms = recorded();
    for (_, record) in full::records().into_iter().filter(|(_, record)| older::first_knows_record(record)) {
        let name = record_kind_name(&record);
        assert_eq!(reencode_as::<older::first::Record>(&record), forms.bytes(name, "1"), "{name}");
    }
    for (_, request) in
        full::requests().into_iter().filter(|(_, request)| older::first_knows_request(request))
    {
        let name = request_kind_name(&request);
        assert_eq!(reencode_as::<older::first::LedgerRequest>(&request), forms.bytes(name, "1"), "{name}");
    }
    for (_, reply) in full::replies().into_iter().filter(|(_, reply)| older::first_knows_reply(reply)) {
        let name = reply_kind_name(&reply);
        assert_eq!(reencode_as::<older::first::LedgerReply>(&reply), forms.bytes(name, "1"), "{name}");
    }
}

#[test]
fn first_build_decodes_unknown_kinds_as_none() {
    for (_, record) in full::records().into_iter().filter(|(_, record)| !older::first_knows_record(record)) {
        let read =
            older::first::Record::decode(record.encode_to_vec().as_slice()).expect("decodable message");
        assert_eq!(read.kind, None, "{}", record_kind_name(&record));
    }
    for (_, request) in
        full::requests().into_iter().filter(|(_, request)| !older::first_knows_request(request))
    {
        let read = older::first::LedgerRequest::decode(request.encode_to_vec().as_slice())
            .expect("decodable message");
        assert_eq!(read.kind, None, "{}", request_kind_name(&request));
    }
    for (_, reply) in full::replies().into_iter().filter(|(_, reply)| !older::first_knows_reply(reply)) {
        let read =
            older::first::LedgerReply::decode(reply.encode_to_vec().as_slice()).expect("decodable message");
        assert_eq!(read.kind, None, "{}", reply_kind_name(&reply));
    }
}

#[test]
fn build_without_program_and_recent_calls_decodes_quota_messages() {
    let mut forms = recorded();
    for (_, request) in full::requests() {
        let name = request_kind_name(&request);
        if matches!(request.kind, Some(RequestKind::Quota(_) | RequestKind::QuotaTotals(_))) {
            assert_eq!(
                reencode_as::<older::first_quotas::LedgerRequest>(&request),
                forms.bytes(name, "1"),
                "{name}"
            );
        }
    }
}

#[test]
fn builds_without_newer_status_fields_decode_status() {
    let mut forms = recorded();
    let (_, status) = full::replies()
        .into_iter()
        .find(|(_, reply)| matches!(reply.kind, Some(ReplyKind::Status(_))))
        .expect("status reply");
    let name = reply_kind_name(&status);
    assert_eq!(reencode_as::<older::status::WithoutSilences>(&status), forms.bytes(name, "2"));
    assert_eq!(reencode_as::<older::status::WithoutOffer>(&status), forms.bytes(name, "3"));
}

/// Documents why a disk written by f208a3d or later must not be used by an earlier build: that build would let a member
/// that never voted vote as if it were complete.
#[test]
fn first_build_decodes_never_voted_member_as_complete() {
    let never_voted = Standing { joined: 3, never_voted: true };
    let complete = Standing { joined: 3, never_voted: false };
    assert_eq!(reencode_as::<older::first::Standing>(&never_voted), complete.encode_to_vec());
}

/// Guards against an upgrade that loses the journal of an earlier build.
#[test]
fn replica_replays_records_of_the_first_build() {
    let mut forms = recorded();
    let mut replica = Replica::new(ReplicaSettings { node: "m1".to_owned(), is_first_start: false });
    for name in ["RecordKind.Group", "RecordKind.Standing", "RecordKind.Begun", "RecordKind.Ended"] {
        let record = Record::decode(forms.bytes(name, "1").as_slice()).expect("decodable record");
        replica.replay(&record);
    }
    assert!(replica.is_voting());
    assert_eq!((replica.group().epoch, replica.group().number), (5, 0));
    assert_eq!((replica.state().program_count(), replica.state().retained_count()), (1, 1));
}

/// Guards against a downgrade that stops at a record of a newer build.
#[test]
fn replica_skips_records_of_unknown_kind() {
    let mut replica = Replica::new(ReplicaSettings { node: "m1".to_owned(), is_first_start: false });
    let (_, known) = full::records().swap_remove(0);
    replica.replay(&Record { kind: None, expiry_millis: 1000 });
    replica.replay(&known);
    assert_eq!(replica.state().program_count(), 1);
}

/// Nodes of different builds must agree on the group of a program.
#[test]
fn assignment_of_programs_to_groups_is_stable() {
    let groups = (0..4).map(|number| Group { number, epoch: 1, ..Group::default() });
    let map = GroupMap::new(groups.collect());
    let number = |program: &str| map.group_of(program).expect("map has groups").number;
    assert_eq!(["program-1", "program-2", "program-3", "program-4"].map(number), [0, 3, 1, 3]);
}
