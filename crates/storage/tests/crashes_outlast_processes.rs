//! Crashes of engines by request, and requests in quarantine, outlast the process that recorded them. Guards against counting
//! anew after all processes have been killed between two attempts of a caller.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use slog::{Discard, Logger, o};
use sumacdrift_dissemination::ItemKind;
use sumacdrift_ledger::{
    CrashedEngines, EngineCrash, LedgerReply, LedgerRequest, QuarantineNotice, ReplicaSettings, ReplyKind,
    RequestKind, SuspectNotice,
};
use sumacdrift_proto::{Request, Response};
use sumacdrift_storage::{HostSettings, ReplicaHost, quarantined_request, suspect_request, unix_millis};
use sumacdrift_transport::Handler;
use tempfile::TempDir;

const REQUEST: u64 = 99;

/// Starts a process on the disk that earlier ones have left.
async fn start(folder: &TempDir) -> Arc<ReplicaHost> {
    let settings = HostSettings {
        replica: ReplicaSettings { node: "a".to_owned(), is_first_start: true },
        folder: folder.path().join("ledger"),
        capacity_bytes: 64 << 20,
        waiting_bytes: 8 << 20,
        content_bytes: u64::MAX,
    };
    ReplicaHost::open(settings, Logger::root(Discard, o!())).await.expect("a replica")
}

async fn ask(host: &Arc<ReplicaHost>, kind: RequestKind) -> ReplyKind {
    let request = LedgerRequest { kind: Some(kind), ..LedgerRequest::default() };
    let bytes = Bytes::from(request.encode_to_vec());
    let Response::Ledger(reply) = Arc::clone(host).request(Request::Ledger(bytes)).await else {
        panic!("a reply of the ledger expected");
    };
    LedgerReply::decode(reply).expect("a reply").kind.expect("a kind")
}

fn crash(engine: &str) -> EngineCrash {
    EngineCrash {
        request: REQUEST,
        engine: engine.to_owned(),
        has_one_caller: true,
        ..EngineCrash::default()
    }
}

#[tokio::test]
async fn crashes_are_counted_on_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = start(&folder).await;
    ask(&first, RequestKind::EngineCrash(crash("e1"))).await;
    ask(&first, RequestKind::SuspectedCrash(crash("e2"))).await;
    drop(first);
    let second = start(&folder).await;
    let known = ask(&second, RequestKind::EngineCrash(crash("e3"))).await;
    let (engines, suspected) = (vec!["e1".to_owned(), "e3".to_owned()], vec!["e2".to_owned()]);
    let observed = Vec::new();
    assert_eq!(known, ReplyKind::CrashedEngines(CrashedEngines { engines, suspected, observed }));
    ask(&second, RequestKind::EngineSurvived(crash("e2"))).await;
    drop(second);
    let third = start(&folder).await;
    let known = ask(&third, RequestKind::EngineCrash(crash("e3"))).await;
    let engines = vec!["e1".to_owned(), "e3".to_owned()];
    let (suspected, observed) = (Vec::new(), vec!["e2".to_owned()]);
    assert_eq!(known, ReplyKind::CrashedEngines(CrashedEngines { engines, suspected, observed }));
}

/// Guards against counting an engine that was reported before it got a request, and didn't.
#[tokio::test]
async fn an_engine_that_did_not_get_the_request_is_forgotten() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = start(&folder).await;
    ask(&host, RequestKind::EngineCrash(crash("e1"))).await;
    ask(&host, RequestKind::SuspectedCrash(crash("e2"))).await;
    let not_run = EngineCrash { has_not_run: true, ..crash("e2") };
    let known = ask(&host, RequestKind::EngineSurvived(not_run)).await;
    let engines = vec!["e1".to_owned()];
    assert_eq!(known, ReplyKind::CrashedEngines(CrashedEngines { engines, ..CrashedEngines::default() }));
}

/// Guards against taking an announced request for one in quarantine, and against announcing it to nobody.
#[tokio::test]
async fn a_suspect_request_reaches_the_feed_and_is_not_in_quarantine() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = start(&folder).await;
    let notice = SuspectNotice { request: REQUEST, remaining_millis: 60_000 };
    assert_eq!(ask(&host, RequestKind::Suspect(notice)).await, ReplyKind::Done(true));
    let (_, snapshot) = host.feed().snapshot();
    let now = unix_millis();
    let suspects: Vec<_> = snapshot.items.iter().filter_map(|item| suspect_request(item, now)).collect();
    assert_eq!(suspects.len(), 1);
    assert_eq!(suspects[0].request.0, REQUEST);
    assert!(snapshot.items.iter().all(|item| quarantined_request(item, now).is_none()));
}

#[tokio::test]
async fn a_quarantine_that_was_acknowledged_holds_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = start(&folder).await;
    for request in [REQUEST, REQUEST + 1] {
        let notice = QuarantineNotice { request, remaining_millis: 600_000, is_suspicion: false };
        assert_eq!(ask(&first, RequestKind::Quarantine(notice)).await, ReplyKind::Done(true));
    }
    drop(first);
    let second = start(&folder).await;
    for request in [REQUEST, REQUEST + 1] {
        let name = format!("{request:016x}");
        assert!(second.feed().item(ItemKind::Quarantine, &name).is_some(), "{name}");
    }
}
