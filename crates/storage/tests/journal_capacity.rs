//! Journal capacity over many restarts, and the reaction of a host to a failed disk.

mod cluster;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster::{MemoryDisk, ended, open_host};
use prost::Message;
use sumacdrift_ledger::{End, LedgerReply, LedgerRequest, ReplyKind, RequestKind};
use sumacdrift_proto::{Request, Response};
use sumacdrift_storage::ReplicaHost;
use sumacdrift_transport::Handler;

const CAPACITY_BYTES: u64 = 3 << 20;
const TURN_BYTES: usize = 100 << 10;

async fn end_turn(host: &Arc<ReplicaHost>, turn: &str) -> Option<ReplyKind> {
    let end = End { turn: Some(ended(turn, Bytes::from(vec![7; TURN_BYTES]))), ..End::default() };
    let request = LedgerRequest { kind: Some(RequestKind::End(end)), ..LedgerRequest::default() };
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
