//! Messages and records as earlier builds wrote them are read, those of today's build are written as they were recorded,
//! and an earlier build reads them.
//!
//! A new form is added as `sumacdrift_recorded_forms` says; lines of `fixtures/ledger.txt` are never changed.

mod older;
mod samples;

use prost::Message;
use sumacdrift_ledger::{
    Group, GroupMap, LedgerReply, LedgerRequest, Record, RecordKind, Replica, ReplicaSettings, ReplyKind,
    RequestKind, Standing,
};
use sumacdrift_recorded_forms::{Codec, RecordedForms, kinds};

use crate::samples::{bare, earlier, full};

kinds!(RECORD_KINDS, record_kind, RecordKind { Begun, Ended, Group, Standing, Copy, Reading });

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
    }
);

fn recorded() -> RecordedForms {
    RecordedForms::parse(include_str!("fixtures/ledger.txt"))
}

fn name_of_record(record: &Record) -> &'static str {
    record_kind(record.kind.as_ref().expect("a kind"))
}

fn name_of_request(request: &LedgerRequest) -> &'static str {
    request_kind(request.kind.as_ref().expect("a kind"))
}

fn name_of_reply(reply: &LedgerReply) -> &'static str {
    reply_kind(reply.kind.as_ref().expect("a kind"))
}

fn check_newest(forms: &mut RecordedForms) {
    for (form, record) in full::records() {
        forms.writes(&Codec::message(), name_of_record(&record), form, &record);
    }
    for (form, request) in full::requests() {
        forms.writes(&Codec::message(), name_of_request(&request), form, &request);
    }
    for (form, reply) in full::replies() {
        forms.writes(&Codec::message(), name_of_reply(&reply), form, &reply);
    }
}

fn check_bare(forms: &mut RecordedForms) {
    for record in bare::records() {
        forms.writes_bare(&Codec::message(), name_of_record(&record), &record);
    }
    for request in bare::requests() {
        forms.writes_bare(&Codec::message(), name_of_request(&request), &request);
    }
    for reply in bare::replies() {
        forms.writes_bare(&Codec::message(), name_of_reply(&reply), &reply);
    }
}

fn check_earlier(forms: &mut RecordedForms) {
    for (form, record) in earlier::records() {
        forms.reads(&Codec::message(), name_of_record(&record), form, &record);
    }
    for (form, request) in earlier::requests() {
        forms.reads(&Codec::message(), name_of_request(&request), form, &request);
    }
    for (form, reply) in earlier::replies() {
        forms.reads(&Codec::message(), name_of_reply(&reply), form, &reply);
    }
}

/// Numbers of kinds that were withdrawn were given to others. They are refused, not taken for something else.
fn check_withdrawn(forms: &mut RecordedForms) {
    forms.refuses(&Codec::<LedgerRequest>::message(), "Withdrawn.Keep", "1");
    forms.refuses(&Codec::<LedgerRequest>::message(), "Withdrawn.Fetch", "1");
    forms.refuses(&Codec::<LedgerReply>::message(), "Withdrawn.Copy", "1");
}

#[test]
fn recorded_forms_are_read_and_the_newest_of_them_written() {
    let mut forms = recorded();
    check_newest(&mut forms);
    check_bare(&mut forms);
    check_earlier(&mut forms);
    check_withdrawn(&mut forms);
    if let Err(failures) = forms.finish(&[RECORD_KINDS, REQUEST_KINDS, REPLY_KINDS].concat()) {
        panic!("{failures}");
    }
}

/// What an earlier build reads from what today's build writes, written again as that build writes it: the recorded form.
fn reread<M: Message + Default>(newest: &impl Message) -> Vec<u8> {
    M::decode(newest.encode_to_vec().as_slice()).expect("a message").encode_to_vec()
}

#[test]
fn the_first_build_reads_what_it_knows_of_todays_messages() {
    let mut forms = recorded();
    for (_, record) in full::records().into_iter().filter(|(_, record)| older::first_knows_record(record)) {
        let name = name_of_record(&record);
        assert_eq!(reread::<older::first::Record>(&record), forms.bytes(name, "1"), "{name}");
    }
    for (_, request) in
        full::requests().into_iter().filter(|(_, request)| older::first_knows_request(request))
    {
        let name = name_of_request(&request);
        assert_eq!(reread::<older::first::LedgerRequest>(&request), forms.bytes(name, "1"), "{name}");
    }
    for (_, reply) in full::replies().into_iter().filter(|(_, reply)| older::first_knows_reply(reply)) {
        let name = name_of_reply(&reply);
        assert_eq!(reread::<older::first::LedgerReply>(&reply), forms.bytes(name, "1"), "{name}");
    }
}

#[test]
fn the_first_build_takes_kinds_that_it_does_not_know_for_none() {
    for (_, record) in full::records().into_iter().filter(|(_, record)| !older::first_knows_record(record)) {
        let read = older::first::Record::decode(record.encode_to_vec().as_slice()).expect("a message");
        assert_eq!(read.kind, None, "{}", name_of_record(&record));
    }
    for (_, request) in
        full::requests().into_iter().filter(|(_, request)| !older::first_knows_request(request))
    {
        let read =
            older::first::LedgerRequest::decode(request.encode_to_vec().as_slice()).expect("a message");
        assert_eq!(read.kind, None, "{}", name_of_request(&request));
    }
    for (_, reply) in full::replies().into_iter().filter(|(_, reply)| !older::first_knows_reply(reply)) {
        let read = older::first::LedgerReply::decode(reply.encode_to_vec().as_slice()).expect("a message");
        assert_eq!(read.kind, None, "{}", name_of_reply(&reply));
    }
}

#[test]
fn the_build_before_programs_and_recent_calls_reads_todays_quotas() {
    let mut forms = recorded();
    for (_, request) in full::requests() {
        let name = name_of_request(&request);
        if matches!(request.kind, Some(RequestKind::Quota(_) | RequestKind::QuotaTotals(_))) {
            assert_eq!(
                reread::<older::first_quotas::LedgerRequest>(&request),
                forms.bytes(name, "1"),
                "{name}"
            );
        }
    }
}

#[test]
fn builds_before_a_field_of_the_status_read_todays() {
    let mut forms = recorded();
    let (_, status) = full::replies()
        .into_iter()
        .find(|(_, reply)| matches!(reply.kind, Some(ReplyKind::Status(_))))
        .expect("a status");
    let name = name_of_reply(&status);
    assert_eq!(reread::<older::status::WithoutSilences>(&status), forms.bytes(name, "2"));
    assert_eq!(reread::<older::status::WithoutOffer>(&status), forms.bytes(name, "3"));
}

/// Why a machine whose disk a build since f208a3d wrote must not go back to one before: that one takes a member that never
/// voted for one that is complete, and lets it vote.
#[test]
fn the_first_build_takes_a_member_that_never_voted_for_a_complete_one() {
    let never_voted = Standing { joined: 3, never_voted: true };
    let complete = Standing { joined: 3, never_voted: false };
    assert_eq!(reread::<older::first::Standing>(&never_voted), complete.encode_to_vec());
}

/// A journal that the first build wrote is one that today's replica goes on from.
#[test]
fn a_replica_replays_the_first_builds_records() {
    let mut forms = recorded();
    let mut replica = Replica::new(ReplicaSettings { node: "m1".to_owned(), is_first_start: false });
    for name in ["RecordKind.Group", "RecordKind.Standing", "RecordKind.Begun", "RecordKind.Ended"] {
        let record = Record::decode(forms.bytes(name, "1").as_slice()).expect("a record");
        replica.replay(&record);
    }
    assert!(replica.is_voting());
    assert_eq!((replica.group().epoch, replica.group().number), (5, 0));
    assert_eq!((replica.state().programs(), replica.state().kept_turns()), (1, 1));
}

/// Records of a kind that a newer build writes are passed over: the others hold.
#[test]
fn a_replica_passes_over_records_of_kinds_that_it_does_not_know() {
    let mut replica = Replica::new(ReplicaSettings { node: "m1".to_owned(), is_first_start: false });
    let (_, known) = full::records().swap_remove(0);
    replica.replay(&Record { kind: None, expiry_millis: 1000 });
    replica.replay(&known);
    assert_eq!(replica.state().programs(), 1);
}

/// Nodes of all builds must send a program to the same group.
#[test]
fn every_build_gives_a_program_the_same_group() {
    let groups = (0..4).map(|number| Group { number, epoch: 1, members: Vec::new() });
    let map = GroupMap::new(groups.collect());
    let number = |program: &str| map.group_of(program).expect("a group").number;
    assert_eq!(["program-1", "program-2", "program-3", "program-4"].map(number), [0, 3, 1, 3]);
}
