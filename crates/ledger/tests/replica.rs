//! Unit tests of replicas, votes, pages and chains.

use std::collections::BTreeSet;

use bytes::Bytes;
use sumacdrift_ledger::{
    Begin, BeginDecision, BeginQuorum, BeginVote, ChainAssembly, ChainReply, ChainStep, End, Group,
    KnownTurn, LedgerRequest, LedgerState, Member, PageDetail, PageRequest, Record, Replica, ReplicaSettings,
    ReplyKind, RequestKind, RetainedTurn, TurnBegun, TurnEnded, plan_copies,
};

const NOW: u64 = 1_000;

fn member(node: &str, joined: u64) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: String::new(), joined }
}

fn group(epoch: u64, nodes: &[(&str, u64)]) -> Group {
    let members = nodes.iter().map(|(node, joined)| member(node, *joined)).collect();
    Group { epoch, members, ..Group::default() }
}

fn replica(node: &str, is_first_start: bool) -> Replica {
    let mut replica = Replica::new(ReplicaSettings { node: node.to_owned(), is_first_start });
    replica.finish_replay();
    replica
}

/// All records of a snapshot.
fn snapshot(replica: &Replica) -> Vec<Record> {
    let mut records = replica.snapshot_head();
    let mut after = String::new();
    loop {
        let page = replica.snapshot_page(&after, NOW);
        records.extend(page.records);
        if page.next.is_empty() {
            return records;
        }
        after = page.next;
    }
}

fn begun(turn: &str) -> TurnBegun {
    TurnBegun {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        max_tokens: 100,
        retained_bytes: 0,
        retention_millis: 60_000,
        origin: None,
        request: None,
        previous: String::new(),
    }
}

fn ended(turn: &str, tokens: u64) -> TurnEnded {
    let (program, turn) = ("p".to_owned(), turn.to_owned());
    TurnEnded { program, turn, tokens, retention_millis: 60_000, ..TurnEnded::default() }
}

fn begin(replica: &mut Replica, epoch: u64, turn: &str) -> Option<ReplyKind> {
    let begin = Begin { turn: Some(begun(turn)), budget_tokens: 250, ..Begin::default() };
    replica
        .handle(
            LedgerRequest { epoch, kind: Some(RequestKind::Begin(begin)), ..LedgerRequest::default() },
            NOW,
        )
        .reply
        .kind
}

fn vote(known: &[(&str, u64, bool)], fits: bool) -> BeginVote {
    let known = known.iter().map(|(turn, tokens, has_ended)| KnownTurn {
        turn: (*turn).to_owned(),
        tokens: *tokens,
        has_ended: *has_ended,
        ..KnownTurn::default()
    });
    BeginVote { known: known.collect(), fits, knows_previous: true, ..BeginVote::default() }
}

#[test]
fn founder_votes_and_wiped_replica_does_not() {
    let founders = group(1, &[("a", 1), ("b", 1), ("c", 1)]);
    let mut founder = replica("a", true);
    founder.install(founders.clone());
    assert!(matches!(begin(&mut founder, 1, "t"), Some(ReplyKind::Vote(_))));
    let mut wiped = replica("a", false);
    wiped.install(founders);
    assert!(matches!(begin(&mut wiped, 1, "t"), Some(ReplyKind::NotVoting(_))));
    assert_eq!(wiped.remaining_sources(), 2);
}

#[test]
fn spare_of_first_start_reads_others_before_voting() {
    let mut spare = replica("d", true);
    spare.install(group(1, &[("a", 1), ("b", 1), ("c", 1)]));
    spare.install(group(2, &[("a", 1), ("b", 1), ("d", 2)]));
    assert!(!spare.is_voting());
    assert!(spare.record_source_read("a", 2).is_some());
    assert!(!spare.is_voting());
    assert!(spare.record_source_read("b", 2).is_some());
    assert!(spare.is_voting());
}

#[test]
fn reads_of_earlier_epoch_are_discarded() {
    let mut joining = replica("d", false);
    joining.install(group(2, &[("a", 1), ("b", 1), ("d", 2)]));
    assert!(joining.record_source_read("a", 2).is_some());
    assert!(!joining.is_voting());
    joining.install(group(3, &[("a", 1), ("c", 3), ("d", 2)]));
    assert!(joining.record_source_read("b", 2).is_none());
    assert!(joining.record_source_read("a", 3).is_some());
    assert!(!joining.is_voting());
    assert!(joining.record_source_read("c", 3).is_some());
    assert!(joining.is_voting());
}

#[test]
fn rejoined_replica_does_not_vote_before_catch_up() {
    let mut back = replica("a", true);
    back.install(group(1, &[("a", 1), ("b", 1), ("c", 1)]));
    assert!(back.is_voting());
    // The replica never saw the group at epoch 2, which did not include it.
    back.install(group(3, &[("a", 3), ("b", 1), ("c", 1)]));
    assert!(!back.is_voting());
}

#[test]
fn requests_of_another_epoch_are_rejected() {
    let mut replica = replica("a", true);
    replica.install(group(4, &[("a", 1), ("b", 1), ("c", 1)]));
    for epoch in [3, 5] {
        assert!(
            matches!(begin(&mut replica, epoch, "t"), Some(ReplyKind::WrongEpoch(group)) if group.epoch == 4)
        );
    }
    assert!(replica.state().is_empty());
}

#[test]
fn incomplete_replica_serves_no_pages() {
    let mut wiped = replica("a", false);
    let members = group(1, &[("a", 1), ("b", 1)]);
    let request = PageRequest { group: Some(members.to_message()), ..PageRequest::default() };
    let step = wiped.handle(
        LedgerRequest { epoch: 1, kind: Some(RequestKind::Page(request)), ..LedgerRequest::default() },
        NOW,
    );
    assert!(matches!(step.reply.kind, Some(ReplyKind::NotVoting(_))));
    assert_eq!(wiped.group().epoch, 1);
}

#[test]
fn turn_is_charged_its_maximum_until_its_end() {
    let mut replica = replica("a", true);
    replica.install(group(1, &[("a", 1)]));
    begin(&mut replica, 1, "one");
    begin(&mut replica, 1, "two");
    assert!(matches!(begin(&mut replica, 1, "three"), Some(ReplyKind::Vote(vote)) if !vote.fits));
    let end = End { turn: Some(ended("one", 10)), ..End::default() };
    replica.handle(
        LedgerRequest { epoch: 1, kind: Some(RequestKind::End(end)), ..LedgerRequest::default() },
        NOW,
    );
    assert!(matches!(begin(&mut replica, 1, "three"), Some(ReplyKind::Vote(vote)) if vote.fits));
}

#[test]
fn begin_after_end_does_not_reopen_turn() {
    let mut state = LedgerState::default();
    state.end(&ended("one", 10), NOW);
    state.begin(&begun("one"), NOW);
    let vote = state.vote(&begun("two"), &Begin { budget_tokens: 150, ..Begin::default() });
    assert!(vote.fits);
    assert_eq!(vote.known[0].tokens, 10);
}

#[test]
fn budget_applies_to_union_of_votes() {
    let mut quorum = BeginQuorum::new(2, 250, 100);
    assert_eq!(quorum.vote(vote(&[("one", 100, false)], true)), BeginDecision::Pending);
    assert_eq!(quorum.vote(vote(&[("two", 100, false)], true)), BeginDecision::BudgetSpent);
}

#[test]
fn known_end_overrides_reservation() {
    let mut quorum = BeginQuorum::new(2, 250, 100);
    quorum.vote(vote(&[("one", 100, false), ("two", 100, false)], true));
    assert_eq!(quorum.vote(vote(&[("one", 5, true)], true)), BeginDecision::Admitted);
    assert_eq!(quorum.counted_tokens(), 105);
}

#[test]
fn previous_turn_is_unknown_only_if_unknown_to_majority() {
    let unknown = BeginVote { knows_previous: false, ..vote(&[], true) };
    let mut quorum = BeginQuorum::new(2, 0, 100);
    quorum.vote(unknown.clone());
    assert_eq!(quorum.clone().vote(unknown), BeginDecision::UnknownPrevious);
    assert_eq!(quorum.vote(vote(&[], true)), BeginDecision::Admitted);
}

#[test]
fn pages_transfer_whole_state() {
    let mut state = LedgerState::default();
    for number in 0..300 {
        let content = RetainedTurn {
            previous: String::new(),
            input: Bytes::from(vec![1; 4_000]),
            output: Bytes::from(format!("{number}")),
        };
        let turn = TurnEnded { retained: Some(content), ..ended(&format!("t{number}"), number) };
        state.end(&turn, NOW);
        state.begin(&begun(&format!("open{number}")), NOW);
    }
    let mut copy = LedgerState::default();
    let mut after = String::new();
    let mut pages = 0;
    loop {
        let page = state.page(&after, PageDetail::Whole, NOW);
        pages += 1;
        for mut record in page.records {
            record.expiry_millis += NOW;
            copy.merge(&record);
        }
        if page.next.is_empty() {
            break;
        }
        after = page.next;
    }
    assert!(pages > 3);
    assert_eq!(copy, state);
}

#[test]
fn chain_is_assembled_from_several_replies() {
    let turn = |previous: &str, text: &str| RetainedTurn {
        previous: previous.to_owned(),
        input: Bytes::from(format!("<{text}>")),
        output: Bytes::from(format!("{text}\n")),
    };
    let mut chain = ChainAssembly::default();
    let first = ChainReply { turns: vec![turn("two", "three")], missing: "two".to_owned() };
    assert_eq!(chain.add(first), ChainStep::Missing("two".to_owned()));
    let second = ChainReply { turns: vec![turn("one", "two"), turn("", "one")], missing: String::new() };
    assert_eq!(chain.add(second), ChainStep::Whole);
    assert_eq!(
        &chain.into_prompt(&Bytes::from_static(b"<new>"))[..],
        b"<one>one\n<two>two\n<three>three\n<new>"
    );
}

#[test]
fn records_expire_after_twice_their_retention() {
    let mut state = LedgerState::default();
    state.begin(&begun("one"), NOW);
    state.expire(NOW + 60_000);
    assert_eq!(state.program_count(), 1);
    state.expire(NOW + 120_001);
    assert!(state.is_empty());
}

#[test]
fn stored_copy_is_replaced_only_by_newer_one() {
    let mut replica = replica("a", false);
    let mut store_copy = |number: u64, text: &'static str| {
        let copy = sumacdrift_ledger::StoredCopy { number, content: Bytes::from_static(text.as_bytes()) };
        replica.store_copy(copy).into_iter().count()
    };
    assert_eq!((store_copy(5, "five"), store_copy(4, "four"), store_copy(5, "other")), (1, 0, 0));
    assert_eq!(&replica.state().copy().content[..], b"five");
}

/// Replicas of `d`, which has joined a group that `b` left, and of `c`, which lost its disk before `d` read it.
fn joining_and_wiped() -> (Replica, Replica) {
    let joined = group(3, &[("a", 1), ("c", 1), ("d", 3)]);
    let mut joining = replica("d", false);
    joining.install(joined.clone());
    let mut wiped = replica("c", false);
    wiped.install(joined);
    (joining, wiped)
}

fn first_page(replica: &mut Replica, epoch: u64) -> Option<ReplyKind> {
    let request = LedgerRequest {
        epoch,
        kind: Some(RequestKind::Page(PageRequest::default())),
        ..LedgerRequest::default()
    };
    replica.handle(request, NOW).reply.kind
}

#[test]
fn member_that_never_voted_does_not_block_catch_up() {
    let (mut joining, mut wiped) = joining_and_wiped();
    joining.prepare_join(3);
    assert_eq!((joining.remaining_sources(), wiped.remaining_sources()), (1, 2));
    assert!(matches!(first_page(&mut joining, 3), Some(ReplyKind::NeverVoted(_))));
    assert!(wiped.source_never_voted("d", 3).is_none());
    wiped.record_source_read("a", 3);
    joining.record_source_read("a", 3);
    assert!(wiped.is_voting() && joining.is_voting());
    // It votes now, so it no longer reports that it never did.
    assert!(matches!(first_page(&mut joining, 3), Some(ReplyKind::Page(_))));
}

#[test]
fn member_reports_never_voted_only_if_certain() {
    let (mut joining, _) = joining_and_wiped();
    assert!(matches!(first_page(&mut joining, 3), Some(ReplyKind::NotVoting(_))));
    assert_eq!(joining.remaining_sources(), 2);
    // The record applies only to the membership of its epoch.
    joining.prepare_join(3);
    joining.install(group(5, &[("a", 1), ("c", 1), ("d", 5)]));
    assert!(matches!(first_page(&mut joining, 5), Some(ReplyKind::NotVoting(_))));
}

#[test]
fn never_voted_survives_restart() {
    let joined = group(3, &[("a", 1), ("c", 1), ("d", 3)]);
    let mut joining = replica("d", false);
    let records = [joining.install(joined).expect("group record"), joining.prepare_join(3)];
    let settings = ReplicaSettings { node: "d".to_owned(), is_first_start: false };
    let mut restarted = Replica::new(settings);
    records.iter().for_each(|record| restarted.replay(record));
    assert!(matches!(first_page(&mut restarted, 3), Some(ReplyKind::NeverVoted(_))));
}

/// Replica restarted with these records.
fn restarted(node: &str, records: &[Record]) -> Replica {
    let mut restarted = Replica::new(ReplicaSettings { node: node.to_owned(), is_first_start: false });
    records.iter().for_each(|record| restarted.replay(record));
    restarted.finish_replay();
    restarted
}

#[test]
fn never_voted_survives_snapshot() {
    let mut joining = replica("d", false);
    joining.prepare_join(3);
    joining.install(group(3, &[("a", 1), ("c", 1), ("d", 3)]));
    let mut restarted = restarted("d", &snapshot(&joining));
    assert!(matches!(first_page(&mut restarted, 3), Some(ReplyKind::NeverVoted(_))));
}

#[test]
fn never_voted_is_recorded_before_join_is_confirmed() {
    let mut joining = replica("d", false);
    // The change was requested and applied, but the reply was lost.
    let records = [joining.prepare_join(3)];
    let mut restarted = restarted("d", &records);
    restarted.install(group(3, &[("a", 1), ("c", 1), ("d", 3)]));
    assert!(matches!(first_page(&mut restarted, 3), Some(ReplyKind::NeverVoted(_))));
    // A concurrent change won, and the replica joined at a later epoch.
    let mut later = self::restarted("d", &records);
    later.install(group(4, &[("a", 1), ("c", 1), ("d", 4)]));
    assert!(matches!(first_page(&mut later, 4), Some(ReplyKind::NotVoting(_))));
}

#[test]
fn catch_up_progress_survives_restart() {
    let group = group(2, &[("a", 1), ("b", 1), ("d", 2)]);
    let mut joining = replica("d", false);
    let mut records = vec![joining.install(group.clone()).expect("group record")];
    records.extend(joining.record_source_read("a", 2));
    assert!(!joining.is_voting());
    let mut restarted = restarted("d", &records);
    assert_eq!(restarted.remaining_sources(), 1);
    assert!(restarted.record_source_read("b", 2).is_some());
    assert!(restarted.is_voting());
}

#[test]
fn reads_of_earlier_epoch_are_discarded_on_restart() {
    let mut joining = replica("d", false);
    let mut records = vec![joining.install(group(2, &[("a", 1), ("b", 1), ("d", 2)])).expect("group record")];
    records.extend(joining.record_source_read("a", 2));
    records.extend(joining.install(group(3, &[("a", 1), ("d", 2), ("e", 3)])));
    assert_eq!(restarted("d", &records).remaining_sources(), 2);
}

#[test]
fn leaving_member_does_not_vote() {
    let mut leaving = replica("a", true);
    leaving.install(group(1, &[("a", 1), ("b", 1), ("c", 1)]));
    leaving.set_leaving(true);
    assert!(matches!(begin(&mut leaving, 1, "t1"), Some(ReplyKind::NotVoting(_))));
    leaving.set_leaving(false);
    assert!(matches!(begin(&mut leaving, 1, "t2"), Some(ReplyKind::Vote(_))));
}

#[test]
fn second_source_transfers_only_missing_contents() {
    let mut sources = ["a", "b"].map(|node| {
        let mut source = replica(node, true);
        source.install(group(1, &[("a", 1), ("b", 1), ("c", 1)]));
        source
    });
    for (turn, holders) in [("t1", 0..2), ("t2", 0..1), ("t3", 1..2)] {
        let content = RetainedTurn { previous: String::new(), input: turn.into(), output: Bytes::new() };
        for source in &mut sources[holders] {
            let turn = TurnEnded { retained: Some(content.clone()), ..ended(turn, 10) };
            let end = End { turn: Some(turn), ..End::default() };
            source.handle(
                LedgerRequest { epoch: 1, kind: Some(RequestKind::End(end)), ..LedgerRequest::default() },
                NOW,
            );
        }
    }
    let mut wiped = replica("c", false);
    wiped.install(group(1, &[("a", 1), ("b", 1), ("c", 1)]));
    let whole = sources[0].state().page("", PageDetail::Whole, NOW);
    assert_eq!(wiped.merge_page(whole, NOW).len(), 2);
    let keys = sources[1].state().page("", PageDetail::Keys, NOW);
    assert_eq!(keys.retained_keys, ["t1", "t3"]);
    assert_eq!(wiped.missing_contents(&keys), ["t3"]);
    let contents = sources[1].state().contents(&wiped.missing_contents(&keys), NOW);
    assert_eq!(wiped.merge_page(contents, NOW).len(), 1);
    // The page itself adds nothing, so that nothing is written to the journal again.
    assert!(wiped.merge_page(keys, NOW).is_empty());
    assert_eq!(wiped.state().retained_count(), 3);
}

#[test]
fn leaving_member_copies_turns_until_majority_holds_them() {
    let held = |turns: &[&str]| turns.iter().map(|turn| (*turn).to_owned()).collect::<BTreeSet<String>>();
    let holds = [held(&["t1", "t2"]), held(&["t1"]), held(&["t1"]), held(&[])];
    let turns = ["t1", "t2", "t3"].map(str::to_owned);
    let copies = plan_copies(&turns, &holds.iter().collect::<Vec<_>>(), 3);
    for (turn, wanted) in [("t1", 0), ("t2", 2), ("t3", 3)] {
        let copied = copies.iter().filter(|turns| turns.iter().any(|copied| copied == turn)).count();
        assert_eq!(copied, wanted, "{turn}");
    }
    assert!(!copies[0].contains(&"t2".to_owned()));
    assert!(plan_copies(&turns, &[], 2).is_empty());
}

/// Guards against forgetting an attempt whose node was lost before it reported what became of its engine.
#[test]
fn an_open_attempt_of_the_same_request_counts_as_a_suspected_crash() {
    let mut replica = replica("a", true);
    replica.install(group(1, &[("a", 1)]));
    let mut admit = |turn: &str, request: u64| {
        let turn = TurnBegun { request: Some(request), ..begun(turn) };
        let begin = Begin { turn: Some(turn), request: Some(request), ..Begin::default() };
        let request =
            LedgerRequest { epoch: 1, kind: Some(RequestKind::Begin(begin)), ..LedgerRequest::default() };
        let Some(ReplyKind::Vote(vote)) = replica.handle(request, NOW).reply.kind else {
            panic!("a vote expected")
        };
        let mut quorum = BeginQuorum::new(1, 0, 100);
        quorum.vote(vote);
        quorum.open_attempts()
    };
    assert_eq!((admit("first", 7), admit("second", 7)), (0, 1));
    assert_eq!(admit("other", 8), 0, "turns of other requests may be open");
    assert_eq!(admit("third", 7), 2);
    let ended = TurnEnded { program: "p".to_owned(), turn: "first".to_owned(), ..TurnEnded::default() };
    let end = End { turn: Some(ended), commit_quorum: 1 };
    let end = LedgerRequest { epoch: 1, kind: Some(RequestKind::End(end)), ..LedgerRequest::default() };
    replica.handle(end, NOW);
    let turn = TurnBegun { request: Some(7), ..begun("fourth") };
    let vote = replica.state().vote(&turn, &Begin::default());
    assert_eq!(vote.known.iter().filter(|known| known.is_open_attempt).count(), 2);
}
