//! Journal capacity over many restarts, and the reaction of a host to a failed disk.

mod cluster;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster::{MemoryDisk, ended, open_host};
use prost::Message;
use sumacdrift_ledger::{
    Begin, BeginVote, ChainRequest, End, LedgerReply, LedgerRequest, ReplyKind, RequestKind, TurnBegun,
    TurnEnded,
};
use sumacdrift_proto::{Request, Response};
use sumacdrift_storage::ReplicaHost;
use sumacdrift_transport::Handler;

const CAPACITY_BYTES: u64 = 3 << 20;
const TURN_BYTES: usize = 100 << 10;

/// Retention of turns that outlast a test.
const KEPT_MILLIS: u64 = 600_000;

async fn end_turn(host: &Arc<ReplicaHost>, turn: &str) -> Option<ReplyKind> {
    end_turn_with(host, turn, TURN_BYTES, 0).await
}

async fn end_turn_with(
    host: &Arc<ReplicaHost>,
    turn: &str,
    bytes: usize,
    retention_millis: u64,
) -> Option<ReplyKind> {
    let turn = TurnEnded { retention_millis, ..ended(turn, Bytes::from(vec![7; bytes])) };
    ask(host, RequestKind::End(End { turn: Some(turn), ..End::default() })).await
}

async fn begin_turn(host: &Arc<ReplicaHost>, turn: &str) -> BeginVote {
    let turn = TurnBegun {
        program: "program".to_owned(),
        turn: turn.to_owned(),
        retained_bytes: TURN_BYTES as u64,
        retention_millis: KEPT_MILLIS,
        ..TurnBegun::default()
    };
    match ask(host, RequestKind::Begin(Begin { turn: Some(turn), ..Begin::default() })).await {
        Some(ReplyKind::Vote(vote)) => vote,
        // The host has no group, so its vote would not count; the turn is recorded all the same.
        Some(ReplyKind::NotVoting(_)) => BeginVote::default(),
        other => panic!("{other:?}"),
    }
}

async fn has_content(host: &Arc<ReplicaHost>, turn: &str) -> bool {
    let reply = ask(host, RequestKind::Chain(ChainRequest { turn: turn.to_owned() })).await;
    matches!(reply, Some(ReplyKind::Chain(chain)) if chain.turns.len() == 1)
}

async fn ask(host: &Arc<ReplicaHost>, kind: RequestKind) -> Option<ReplyKind> {
    let request = LedgerRequest { kind: Some(kind), ..LedgerRequest::default() };
    let request = Request::Ledger(Bytes::from(request.encode_to_vec()));
    match Arc::clone(host).request(request).await {
        Response::Ledger(reply) => LedgerReply::decode(reply).expect("a reply").kind,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn repeated_restarts_do_not_exhaust_the_journal() {
    let disk = MemoryDisk::default();
    for restart in 0..12 {
        let host = open_host(disk.clone(), "m0", CAPACITY_BYTES).await;
        for number in 0..5 {
            let reply = end_turn(&host, &format!("t{restart}-{number}")).await;
            assert!(!matches!(reply, Some(ReplyKind::Failed(_))), "restart {restart}: {reply:?}");
        }
        host.expire_and_snapshot().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_failed_sync_is_reported_as_a_journal_failure() {
    let disk = MemoryDisk::default();
    let host = open_host(disk.clone(), "m0", CAPACITY_BYTES).await;
    let waiting = tokio::time::timeout(Duration::from_secs(1), host.journal_failed()).await;
    assert!(waiting.is_err(), "nothing has failed");
    disk.fail_next_sync();
    assert!(matches!(end_turn(&host, "t1").await, Some(ReplyKind::Failed(_))));
    let waiting = tokio::time::timeout(Duration::from_secs(1), host.journal_failed()).await;
    assert!(waiting.is_ok(), "the failure is reported");
}

/// Guards against a snapshot whose last part fits a full journal while earlier ones were rejected: it must not count as
/// written, or the segments with those records are removed.
#[tokio::test(start_paused = true)]
async fn a_snapshot_with_rejected_parts_removes_no_segment() {
    const CONTENT_BYTES: usize = 700 << 10;
    let disk = MemoryDisk::default();
    let host = open_host(disk.clone(), "m0", CAPACITY_BYTES).await;
    let turns = [("t1", CONTENT_BYTES), ("t2", CONTENT_BYTES), ("t3", CONTENT_BYTES), ("t4", 10)];
    for (turn, bytes) in turns {
        let reply = end_turn_with(&host, turn, bytes, KEPT_MILLIS).await;
        assert!(!matches!(reply, Some(ReplyKind::Failed(_))), "{turn}: {reply:?}");
    }
    host.expire_and_snapshot().await;
    drop(host);
    let restarted = open_host(disk, "m0", CAPACITY_BYTES).await;
    for (turn, _) in turns {
        assert!(has_content(&restarted, turn).await, "{turn} is lost");
    }
}

/// Guards against a journal that is full of content, so that no snapshot fits and no turn is served any more.
#[tokio::test(start_paused = true)]
async fn a_journal_always_has_room_for_a_snapshot_of_its_content() {
    let host = open_host(MemoryDisk::default(), "m0", CAPACITY_BYTES).await;
    let mut refused = 0;
    for number in 0..200 {
        let turn = format!("t{number}");
        let vote = begin_turn(&host, &turn).await;
        if vote.lacks_memory {
            refused += 1;
            continue;
        }
        let reply = end_turn_with(&host, &turn, TURN_BYTES, KEPT_MILLIS).await;
        assert!(!matches!(reply, Some(ReplyKind::Failed(_))), "{turn}: {reply:?}");
        host.expire_and_snapshot().await;
    }
    assert!((1..200).contains(&refused), "{refused} turns were refused");
}
