//! Sample values of each kind: with every optional field set, with none set, and as decoded from earlier forms.

use bytes::Bytes;
use sumacdrift_ledger::{
    Begin, BeginVote, ChainReply, ChainRequest, ContentsRequest, Continuations, ContinuationsRequest,
    CrashedEngines, End, EngineCrash, GroupMapMessage, GroupMessage, KnownTurn, LedgerReply, LedgerRequest,
    MemberMessage, Page, PageRequest, Push, QuarantineNotice, QuotaAnswer, QuotaDecision, QuotaQuestion,
    QuotaTotals, Reading, Record, RecordKind, RemovedTurns, ReplyKind, RequestKind, RetainedTurn,
    SilentMember, Standing, StatusReply, StoredCopy, StreamOrigin, SuspectNotice, TenantTotalMessage,
    TurnBegun, TurnContinuation, TurnEnded,
};

const EPOCH: u64 = 5;
const GROUP: u32 = 1;

fn text(text: &str) -> String {
    text.to_owned()
}

fn origin() -> StreamOrigin {
    StreamOrigin { service: text("llm"), version: text("v1.2"), revision: 2 }
}

/// Start of a turn before origins were recorded.
fn turn_begun() -> TurnBegun {
    TurnBegun {
        program: text("program-1"),
        turn: text("turn-2"),
        max_tokens: 4096,
        retention_millis: 600_000,
        origin: None,
        request: None,
        previous: String::new(),
        retained_bytes: 0,
    }
}

fn turn_begun_with_request() -> TurnBegun {
    TurnBegun { request: Some(99), ..turn_begun_at_origin() }
}

/// Start of a turn of the newest form.
fn turn_begun_to_be_kept() -> TurnBegun {
    TurnBegun { retained_bytes: 40_000, ..turn_begun_after_another() }
}

fn turn_begun_after_another() -> TurnBegun {
    TurnBegun { previous: text("turn-1"), ..turn_begun_with_request() }
}

fn turn_begun_at_origin() -> TurnBegun {
    TurnBegun { origin: Some(origin()), ..turn_begun() }
}

fn retained() -> RetainedTurn {
    RetainedTurn {
        previous: text("turn-1"),
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out"),
    }
}

/// End of a turn before origins were recorded.
fn turn_ended() -> TurnEnded {
    TurnEnded {
        program: text("program-1"),
        turn: text("turn-2"),
        tokens: 300,
        retention_millis: 600_000,
        retained: Some(retained()),
        ..TurnEnded::default()
    }
}

fn turn_ended_at_origin() -> TurnEnded {
    TurnEnded { origin: Some(origin()), ..turn_ended() }
}

/// End of a turn with all that replicas transfer.
fn turn_ended_with_request() -> TurnEnded {
    TurnEnded { request: Some(99), has_no_event: true, ..turn_ended_at_origin() }
}

fn chain() -> ChainReply {
    ChainReply { turns: vec![retained()], missing: text("turn-0") }
}

fn member(node: &str, address: &str, zone: &str, joined: u64) -> MemberMessage {
    MemberMessage { node: text(node), address: text(address), zone: text(zone), joined }
}

fn group(number: u32) -> GroupMessage {
    let members = vec![member("m1", "10.0.0.1:7000", "a", 3), member("m2", "10.0.0.2:7000", "b", 4)];
    GroupMessage { epoch: EPOCH, members, number, ..GroupMessage::default() }
}

/// Group of the newest form.
fn group_with_handover() -> GroupMessage {
    GroupMessage { handed_over: vec![text("m2")], ..group_with_copies() }
}

fn group_with_copies() -> GroupMessage {
    GroupMessage { min_copies: 3, ..group(GROUP) }
}

fn record(kind: RecordKind) -> Record {
    Record { kind: Some(kind), expiry_millis: 1000 }
}

fn first_begin() -> Begin {
    Begin {
        turn: Some(turn_begun()),
        budget_tokens: 10_000,
        previous: text("turn-1"),
        wants_chain: true,
        resumed_turn: String::new(),
        commit_quorum: 0,
        ..Begin::default()
    }
}

fn begin() -> RequestKind {
    RequestKind::Begin(first_begin())
}

fn begin_with_origin() -> RequestKind {
    let turn = Some(turn_begun_at_origin());
    RequestKind::Begin(Begin { turn, resumed_turn: text("turn-1"), ..first_begin() })
}

fn end() -> RequestKind {
    RequestKind::End(End { turn: Some(turn_ended()), commit_quorum: 0 })
}

fn end_with_origin() -> RequestKind {
    RequestKind::End(End { turn: Some(turn_ended_at_origin()), commit_quorum: 0 })
}

fn chain_request() -> ChainRequest {
    ChainRequest { turn: text("turn-1") }
}

fn begin_with_quorum() -> Begin {
    let turn = Some(turn_begun_at_origin());
    Begin { turn, resumed_turn: text("turn-1"), commit_quorum: 3, ..first_begin() }
}

fn begin_with_fingerprint() -> RequestKind {
    RequestKind::Begin(Begin { request: Some(99), ..begin_with_quorum() })
}

fn begin_with_request() -> RequestKind {
    let turn = Some(turn_begun_with_request());
    RequestKind::Begin(Begin { turn, request: Some(99), ..begin_with_quorum() })
}

fn begin_of_same_request(turn: TurnBegun) -> RequestKind {
    let turn = Some(turn);
    RequestKind::Begin(Begin { turn, request: Some(99), resumes_same_request: true, ..begin_with_quorum() })
}

fn end_with_quorum(turn: TurnEnded) -> RequestKind {
    RequestKind::End(End { turn: Some(turn), commit_quorum: 3 })
}

fn page_request(group: GroupMessage, keys_only: bool) -> RequestKind {
    RequestKind::Page(PageRequest { after: text("pprogram-1"), group: Some(group), keys_only })
}

fn push(group: GroupMessage, turn: TurnBegun) -> RequestKind {
    let records = vec![record(RecordKind::Begun(turn))];
    RequestKind::Push(Push { records, group: Some(group) })
}

fn quota(program: Option<u64>) -> RequestKind {
    RequestKind::Quota(QuotaQuestion {
        tenant: text("t1"),
        per_second: 12.5,
        burst: 30.0,
        window_millis: 1000,
        version: 7,
        program,
    })
}

fn quota_totals(recent: u64) -> RequestKind {
    let totals = vec![TenantTotalMessage { tenant: text("t1"), calls: 40, recent }];
    RequestKind::QuotaTotals(QuotaTotals { node: text("m1"), incarnation: 77, is_warm: true, totals })
}

fn engine_crash() -> EngineCrash {
    EngineCrash { has_one_caller: true, lost_millis_ago: 3, ..first_engine_crash() }
}

/// A report with only the fields of the first build.
fn first_engine_crash() -> EngineCrash {
    EngineCrash { request: 99, engine: text("e1@5"), sent_millis_ago: 12, ..EngineCrash::default() }
}

fn quarantine(is_suspicion: bool) -> QuarantineNotice {
    QuarantineNotice { request: 99, remaining_millis: 600_000, is_suspicion }
}

fn crashed_engines(suspected: Vec<String>, observed: Vec<String>) -> ReplyKind {
    let engines = vec![text("e1@5"), text("e2@6")];
    ReplyKind::CrashedEngines(CrashedEngines { engines, suspected, observed })
}

fn vote_with_suspicions(observed_engines: Vec<String>) -> ReplyKind {
    let (crashed_engines, suspected_engines) = (vec![text("e1@5"), text("e2@6")], vec![text("e3@7")]);
    let known = vec![KnownTurn { is_open_attempt: true, ..known_turn() }];
    ReplyKind::Vote(BeginVote {
        known,
        crashed_engines,
        suspected_engines,
        observed_engines,
        ..begin_vote(Some(origin()))
    })
}

/// Vote of the newest form.
fn vote_on_same_request() -> ReplyKind {
    let ReplyKind::Vote(vote) = vote_with_suspicions(vec![text("e4@8")]) else { unreachable!("a vote") };
    let turn =
        KnownTurn { is_open_attempt: true, origin: Some(origin()), has_no_event: true, ..known_turn() };
    ReplyKind::Vote(BeginVote { known: vec![turn], has_compared_requests: true, ..vote })
}

fn vote_without_memory() -> ReplyKind {
    let ReplyKind::Vote(vote) = vote_on_same_request() else { unreachable!("a vote") };
    ReplyKind::Vote(BeginVote { lacks_memory: true, ..vote })
}

fn vote(resumed_origin: Option<StreamOrigin>) -> ReplyKind {
    ReplyKind::Vote(begin_vote(resumed_origin))
}

fn vote_with_crashes() -> ReplyKind {
    let crashed_engines = vec![text("e1@5"), text("e2@6")];
    ReplyKind::Vote(BeginVote { crashed_engines, ..begin_vote(Some(origin())) })
}

fn known_turn() -> KnownTurn {
    KnownTurn { turn: text("turn-1"), tokens: 120, has_ended: true, ..KnownTurn::default() }
}

fn begin_vote(resumed_origin: Option<StreamOrigin>) -> BeginVote {
    BeginVote {
        known: vec![known_turn()],
        fits: true,
        knows_previous: true,
        chain: Some(chain()),
        resumed_origin,
        ..BeginVote::default()
    }
}

fn page(retained_keys: Vec<String>, turn: TurnEnded) -> ReplyKind {
    let records = vec![record(RecordKind::Ended(turn))];
    ReplyKind::Page(Page { records, next: text("tturn-1"), retained_keys })
}

/// Status with only the fields of the first build.
fn first_status(number: u32) -> StatusReply {
    StatusReply {
        node: text("m1"),
        is_voting: true,
        may_bootstrap: true,
        group: Some(group(number)),
        is_watching: false,
        silent: Vec::new(),
        offers_membership: false,
        counts_copies: false,
    }
}

fn watching_status() -> StatusReply {
    let silent = vec![SilentMember { node: text("m2"), millis: 1500 }];
    StatusReply { is_watching: true, silent, ..first_status(GROUP) }
}

/// Values with every optional field set, and the number of the newest form of their kind.
pub mod full {
    use super::*;

    pub fn records() -> Vec<(&'static str, Record)> {
        let standing = Standing { joined: 3, never_voted: true };
        let copy = StoredCopy { number: 42, content: Bytes::from_static(b"copy") };
        let reading = Reading { epoch: EPOCH, sources: vec![text("m2")] };
        vec![
            ("5", record(RecordKind::Begun(turn_begun_to_be_kept()))),
            ("3", record(RecordKind::Ended(turn_ended_with_request()))),
            ("4", record(RecordKind::Group(group_with_handover()))),
            ("2", record(RecordKind::Standing(standing))),
            ("1", record(RecordKind::Copy(copy.clone()))),
            ("1", record(RecordKind::Reading(reading))),
            ("1", record(RecordKind::CrashHistory(copy))),
            ("1", record(RecordKind::Removed(RemovedTurns { turns: vec![text("turn-1"), text("turn-2")] }))),
        ]
    }

    pub fn requests() -> Vec<(&'static str, LedgerRequest)> {
        let contents = ContentsRequest { turns: vec![text("turn-1"), text("turn-2")] };
        let kinds = vec![
            ("10", begin_of_same_request(turn_begun_to_be_kept())),
            ("6", end_with_quorum(turn_ended_with_request())),
            ("2", RequestKind::Chain(chain_request())),
            ("5", page_request(group_with_handover(), true)),
            ("7", push(group_with_handover(), turn_begun_to_be_kept())),
            ("4", RequestKind::Install(group_with_handover())),
            ("2", RequestKind::Status(true)),
            ("1", RequestKind::Contents(contents)),
            ("1", RequestKind::Find(chain_request())),
            ("1", RequestKind::Map(true)),
            ("1", RequestKind::News(true)),
            ("2", quota(Some(9))),
            ("2", quota_totals(4)),
            ("1", RequestKind::Stopping(text("m2"))),
            ("2", RequestKind::EngineCrash(engine_crash())),
            ("1", RequestKind::ServedAfterCrash(99)),
            ("2", RequestKind::Quarantine(quarantine(true))),
            ("1", RequestKind::SuspectedCrash(engine_crash())),
            ("2", RequestKind::EngineSurvived(EngineCrash { has_not_run: true, ..engine_crash() })),
            ("1", RequestKind::Suspect(SuspectNotice { request: 99, remaining_millis: 60_000 })),
            ("1", RequestKind::Continuations(ContinuationsRequest { turns: vec![text("turn-1")] })),
        ];
        let report = Bytes::from_static(b"news");
        let request =
            |kind| LedgerRequest { epoch: EPOCH, kind: Some(kind), group: GROUP, report: report.clone() };
        kinds.into_iter().map(|(form, kind)| (form, request(kind))).collect()
    }

    pub fn replies() -> Vec<(&'static str, LedgerReply)> {
        let status = StatusReply {
            group: Some(group_with_handover()),
            offers_membership: true,
            counts_copies: true,
            ..watching_status()
        };
        let quota =
            QuotaAnswer { decision: QuotaDecision::Exceeded as i32, retry_after_millis: 250, counted: 12 };
        let map = GroupMapMessage { groups: vec![group(0), group_with_handover()] };
        let turn =
            TurnContinuation { turn: text("turn-2"), previous: text("turn-1"), remaining_millis: 60_000 };
        let continuations = Continuations { turns: vec![turn] };
        let kinds = vec![
            ("2", ReplyKind::Done(true)),
            ("2", ReplyKind::Chain(chain())),
            ("4", page(vec![text("turn-1")], turn_ended_with_request())),
            ("4", ReplyKind::WrongEpoch(group_with_handover())),
            ("2", ReplyKind::NotVoting(true)),
            ("6", ReplyKind::Status(status)),
            ("2", ReplyKind::Failed(text("the disk failed"))),
            ("1", ReplyKind::NeverVoted(true)),
            ("3", ReplyKind::Map(map)),
            ("1", ReplyKind::Busy(true)),
            ("1", ReplyKind::Quota(quota)),
            ("3", crashed_engines(vec![text("e3@7")], vec![text("e4@8")])),
            ("1", ReplyKind::Continuations(continuations)),
        ];
        let view = Bytes::from_static(b"view");
        let reply = |kind| LedgerReply { kind: Some(kind), view: view.clone(), ..LedgerReply::default() };
        let quarantined = vec![quarantine(true)];
        let vote = ("9", LedgerReply { quarantined, ..reply(vote_without_memory()) });
        let others = kinds.into_iter().map(|(form, kind)| (form, reply(kind)));
        std::iter::once(vote).chain(others).collect()
    }
}

/// Values without optional fields.
pub mod bare {
    use super::*;

    pub fn records() -> Vec<Record> {
        let kinds = [
            RecordKind::Begun(TurnBegun::default()),
            RecordKind::Ended(TurnEnded::default()),
            RecordKind::Group(GroupMessage::default()),
            RecordKind::Standing(Standing::default()),
            RecordKind::Copy(StoredCopy::default()),
            RecordKind::Reading(Reading::default()),
            RecordKind::CrashHistory(StoredCopy::default()),
            RecordKind::Removed(RemovedTurns::default()),
        ];
        kinds.map(|kind| Record { kind: Some(kind), ..Record::default() }).to_vec()
    }

    pub fn requests() -> Vec<LedgerRequest> {
        let kinds = [
            RequestKind::Begin(Begin::default()),
            RequestKind::End(End::default()),
            RequestKind::Chain(ChainRequest::default()),
            RequestKind::Page(PageRequest::default()),
            RequestKind::Push(Push::default()),
            RequestKind::Install(GroupMessage::default()),
            RequestKind::Status(false),
            RequestKind::Contents(ContentsRequest::default()),
            RequestKind::Find(ChainRequest::default()),
            RequestKind::Map(false),
            RequestKind::News(false),
            RequestKind::Quota(QuotaQuestion::default()),
            RequestKind::QuotaTotals(QuotaTotals::default()),
            RequestKind::Stopping(String::new()),
            RequestKind::EngineCrash(EngineCrash::default()),
            RequestKind::ServedAfterCrash(0),
            RequestKind::Quarantine(QuarantineNotice::default()),
            RequestKind::SuspectedCrash(EngineCrash::default()),
            RequestKind::EngineSurvived(EngineCrash::default()),
            RequestKind::Suspect(SuspectNotice::default()),
            RequestKind::Continuations(ContinuationsRequest::default()),
        ];
        kinds.map(|kind| LedgerRequest { kind: Some(kind), ..LedgerRequest::default() }).to_vec()
    }

    pub fn replies() -> Vec<LedgerReply> {
        let kinds = [
            ReplyKind::Vote(BeginVote::default()),
            ReplyKind::Done(false),
            ReplyKind::Chain(ChainReply::default()),
            ReplyKind::Page(Page::default()),
            ReplyKind::WrongEpoch(GroupMessage::default()),
            ReplyKind::NotVoting(false),
            ReplyKind::Status(StatusReply::default()),
            ReplyKind::Failed(String::new()),
            ReplyKind::NeverVoted(false),
            ReplyKind::Map(GroupMapMessage::default()),
            ReplyKind::Busy(false),
            ReplyKind::Quota(QuotaAnswer::default()),
            ReplyKind::CrashedEngines(CrashedEngines::default()),
            ReplyKind::Continuations(Continuations::default()),
        ];
        kinds.map(|kind| LedgerReply { kind: Some(kind), ..LedgerReply::default() }).to_vec()
    }
}

/// Values decoded from forms of earlier builds, with the number of the form.
pub mod earlier {
    use super::*;

    pub fn records() -> Vec<(&'static str, Record)> {
        let standing = Standing { joined: 3, never_voted: false };
        vec![
            ("1", record(RecordKind::Group(group(0)))),
            ("1", record(RecordKind::Standing(standing))),
            ("1", record(RecordKind::Begun(turn_begun()))),
            ("1", record(RecordKind::Ended(turn_ended()))),
            ("2", record(RecordKind::Group(group(GROUP)))),
            ("2", record(RecordKind::Begun(turn_begun_at_origin()))),
            ("2", record(RecordKind::Ended(turn_ended_at_origin()))),
            ("3", record(RecordKind::Group(group_with_copies()))),
            ("3", record(RecordKind::Begun(turn_begun_with_request()))),
            ("4", record(RecordKind::Begun(turn_begun_after_another()))),
        ]
    }

    pub fn requests() -> Vec<(&'static str, LedgerRequest)> {
        let first = [
            begin(),
            end(),
            RequestKind::Chain(chain_request()),
            page_request(group(0), false),
            push(group(0), turn_begun()),
            RequestKind::Install(group(0)),
            RequestKind::Status(true),
        ];
        let with_report = [begin(), end(), page_request(group(0), true)];
        let with_group = [quota(None), quota_totals(0)];
        let without_origin = [("3", begin()), ("3", end()), ("2", push(group(GROUP), turn_begun()))];
        let without_copies = [
            ("4", begin_with_origin()),
            ("4", end_with_origin()),
            ("3", page_request(group(GROUP), true)),
            ("3", push(group(GROUP), turn_begun_at_origin())),
            ("2", RequestKind::Install(group(GROUP))),
        ];
        let without_fingerprint = [("5", RequestKind::Begin(begin_with_quorum()))];
        let without_suspicions = [
            ("1", RequestKind::EngineSurvived(engine_crash())),
            ("6", begin_with_fingerprint()),
            ("4", push(group_with_copies(), turn_begun_at_origin())),
            ("1", RequestKind::EngineCrash(first_engine_crash())),
            ("1", RequestKind::Quarantine(quarantine(false))),
        ];
        let without_same_request =
            [("7", begin_with_request()), ("5", end_with_quorum(turn_ended_at_origin()))];
        let without_handover = [
            ("8", begin_of_same_request(turn_begun_with_request())),
            ("4", page_request(group_with_copies(), true)),
            ("5", push(group_with_copies(), turn_begun_with_request())),
            ("3", RequestKind::Install(group_with_copies())),
        ];
        let without_memory = [
            ("9", begin_of_same_request(turn_begun_after_another())),
            ("6", push(group_with_handover(), turn_begun_after_another())),
        ];
        let report = Bytes::from_static(b"news");
        let plain = |kind| LedgerRequest { epoch: EPOCH, kind: Some(kind), ..LedgerRequest::default() };
        let first = first.map(|kind| ("1", plain(kind)));
        let with_report =
            with_report.map(|kind| ("2", LedgerRequest { report: report.clone(), ..plain(kind) }));
        let with_group = with_group
            .map(|kind| ("1", LedgerRequest { report: report.clone(), group: GROUP, ..plain(kind) }));
        let later = without_origin
            .into_iter()
            .chain(without_copies)
            .chain(without_fingerprint)
            .chain(without_suspicions)
            .chain(without_same_request)
            .chain(without_handover)
            .chain(without_memory);
        let later = later.map(|(form, kind)| {
            (form, LedgerRequest { report: report.clone(), group: GROUP, ..plain(kind) })
        });
        first.into_iter().chain(with_report).chain(with_group).chain(later).collect()
    }

    pub fn replies() -> Vec<(&'static str, LedgerReply)> {
        let first = [
            vote(None),
            ReplyKind::Done(true),
            ReplyKind::Chain(chain()),
            page(Vec::new(), turn_ended()),
            ReplyKind::WrongEpoch(group(0)),
            ReplyKind::NotVoting(true),
            ReplyKind::Status(first_status(0)),
            ReplyKind::Failed(text("the disk failed")),
        ];
        let plain = |kind| LedgerReply { kind: Some(kind), ..LedgerReply::default() };
        let with_view =
            |status| LedgerReply { view: Bytes::from_static(b"view"), ..plain(ReplyKind::Status(status)) };
        let statuses = [("2", with_view(first_status(GROUP))), ("3", with_view(watching_status()))];
        let without_origin = [("2", vote(None)), ("2", page(vec![text("turn-1")], turn_ended()))];
        let map = GroupMapMessage { groups: vec![group(0), group(GROUP)] };
        let without_copies = [
            ("2", ReplyKind::WrongEpoch(group(GROUP))),
            ("4", ReplyKind::Status(StatusReply { offers_membership: true, ..watching_status() })),
            ("1", ReplyKind::Map(map)),
        ];
        let without_crashes = [("3", vote(Some(origin()))), ("4", vote_with_crashes())];
        let without_suspicions = [("1", crashed_engines(Vec::new(), Vec::new()))];
        let without_observations = [("2", crashed_engines(vec![text("e3@7")], Vec::new()))];
        let without_same_request = [("3", page(vec![text("turn-1")], turn_ended_at_origin()))];
        let status = StatusReply {
            group: Some(group_with_copies()),
            offers_membership: true,
            counts_copies: true,
            ..watching_status()
        };
        let map = GroupMapMessage { groups: vec![group(0), group_with_copies()] };
        let without_handover = [
            ("3", ReplyKind::WrongEpoch(group_with_copies())),
            ("5", ReplyKind::Status(status)),
            ("2", ReplyKind::Map(map)),
        ];
        let vote_without_suspicions = LedgerReply {
            quarantined: vec![quarantine(false)],
            view: Bytes::from_static(b"view"),
            ..plain(vote_with_crashes())
        };
        let later = without_origin
            .into_iter()
            .chain(without_copies)
            .chain(without_crashes)
            .chain(without_suspicions)
            .chain(without_observations)
            .chain(without_same_request)
            .chain(without_handover)
            .map(|(form, kind)| (form, LedgerReply { view: Bytes::from_static(b"view"), ..plain(kind) }));
        let first = first.map(|kind| ("1", plain(kind)));
        let vote_without_observations = LedgerReply {
            quarantined: vec![quarantine(true)],
            view: Bytes::from_static(b"view"),
            ..plain(vote_with_suspicions(Vec::new()))
        };
        let vote_without_same_request = LedgerReply {
            quarantined: vec![quarantine(true)],
            view: Bytes::from_static(b"view"),
            ..plain(vote_with_suspicions(vec![text("e4@8")]))
        };
        let vote_before_memory = LedgerReply {
            quarantined: vec![quarantine(true)],
            view: Bytes::from_static(b"view"),
            ..plain(vote_on_same_request())
        };
        let vote = [
            ("8", vote_before_memory),
            ("5", vote_without_suspicions),
            ("6", vote_without_observations),
            ("7", vote_without_same_request),
        ];
        first.into_iter().chain(statuses).chain(later).chain(vote).collect()
    }
}
