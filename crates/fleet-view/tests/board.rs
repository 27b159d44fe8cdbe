//! Exchange of reports between edges and boards.

use std::time::Duration;

use prost::Message;
use sumacdrift_fleet_view::{
    BoardLimits, CachedPart, EngineLoad, Loads, NodeReport, PeerView, ReportBoard, ServiceDemand,
};
use sumacdrift_types::Timestamp;

fn board() -> ReportBoard {
    ReportBoard::new(BoardLimits { parts: 64, part_ttl: Duration::from_secs(10) })
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn load(engine: u32, running: u32, unread_tokens: u32) -> EngineLoad {
    EngineLoad { engine, running, unread_tokens, ..EngineLoad::default() }
}

fn load_report(node: &str, engines: Vec<EngineLoad>) -> NodeReport {
    NodeReport {
        node: node.to_owned(),
        loads: Some(Loads { engines }),
        wants_loads: true,
        ..NodeReport::default()
    }
}

fn loads(view: &PeerView) -> Vec<EngineLoad> {
    view.loads.as_ref().map(|loads| loads.engines.clone()).unwrap_or_default()
}

#[test]
fn view_sums_the_loads_of_other_edges() {
    let mut board = board();
    board.exchange(load_report("a", vec![load(1, 2, 100), load(2, 1, 0)]), at(0));
    board.exchange(load_report("b", vec![load(1, 3, 50)]), at(10));
    let view = board.exchange(load_report("c", vec![load(1, 9, 9)]), at(20));
    assert_eq!(loads(&view), [load(1, 5, 150), load(2, 1, 0)]);
}

#[test]
fn newer_reports_replace_older_ones_and_expire() {
    let mut board = board();
    board.exchange(load_report("a", vec![load(1, 2, 100)]), at(0));
    board.exchange(load_report("a", Vec::new()), at(10));
    assert!(loads(&board.exchange(load_report("b", Vec::new()), at(20))).is_empty());
    board.exchange(load_report("a", vec![load(1, 2, 100)]), at(30));
    assert_eq!(loads(&board.exchange(load_report("b", Vec::new()), at(900))).len(), 1);
    assert!(loads(&board.exchange(load_report("b", Vec::new()), at(2_000))).is_empty());
}

#[test]
fn holders_are_returned_for_requested_parts_only() {
    let mut board = board();
    let cached_parts = vec![CachedPart { part: 5, engine: 1, tokens: 700 }];
    board.exchange(NodeReport { cached_parts: cached_parts.clone(), ..NodeReport::default() }, at(0));
    let asked = NodeReport { requested_parts: vec![4, 5], ..NodeReport::default() };
    assert_eq!(board.exchange(asked, at(10)).cached_parts, cached_parts);
    assert!(board.exchange(NodeReport::default(), at(10)).cached_parts.is_empty());
}

#[test]
fn parts_per_message_are_bounded() {
    let mut board = board();
    let excessive = (0..100_000).map(|part| CachedPart { part, engine: 1, tokens: 1 });
    board.exchange(NodeReport { cached_parts: excessive.collect(), ..NodeReport::default() }, at(0));
    let asked = NodeReport { requested_parts: (0..100_000).collect(), ..NodeReport::default() };
    assert!(board.exchange(asked, at(1)).cached_parts.len() <= 64);
}

/// Builds of different versions exchange messages during an upgrade.
#[test]
fn unknown_fields_are_ignored_and_missing_ones_are_empty() {
    let mut bytes = load_report("a", vec![load(1, 2, 100)]).encode_to_vec();
    // Field 99, a string.
    bytes.extend([0x9a, 0x06, 0x03, b'n', b'e', b'w']);
    let report = NodeReport::decode(bytes.as_slice()).expect("valid report");
    assert_eq!(report, load_report("a", vec![load(1, 2, 100)]));
    assert_eq!(NodeReport::decode(&[][..]).expect("empty report"), NodeReport::default());
}

#[test]
fn failures_are_summed_over_edges() {
    let mut board = board();
    let failing = |succeeding_edges| EngineLoad {
        engine: 1,
        failed: 1 - succeeding_edges,
        succeeding_edges,
        ..EngineLoad::default()
    };
    for (node, succeeding_edges) in [("a", 0), ("b", 0), ("c", 1)] {
        board.exchange(load_report(node, vec![failing(succeeding_edges)]), at(0));
    }
    let sum = loads(&board.exchange(load_report("d", Vec::new()), at(10)))[0];
    assert_eq!((sum.failed, sum.succeeding_edges), (2, 1));
}

#[test]
fn recent_calls_are_summed_over_edges_and_boards() {
    let (mut local, mut remote) = (board(), board());
    let recent = |recent_ended, recent_failed| EngineLoad {
        engine: 1,
        recent_ended,
        recent_failed,
        ..EngineLoad::default()
    };
    local.exchange(load_report("a", vec![recent(10, 4)]), at(0));
    local.exchange(load_report("b", vec![recent(7, 0)]), at(0));
    remote.exchange(load_report("c", vec![recent(3, 3)]), at(0));
    local.exchange(remote.report_for_boards("remote", at(1)).expect("report").report, at(1));
    assert_eq!(loads(&local.exchange(load_report("d", Vec::new()), at(10))), [recent(20, 7)]);
    // A sender's own calls are not returned to it.
    assert_eq!(loads(&local.exchange(load_report("a", Vec::new()), at(10))), [recent(10, 3)]);
    // Sums saturate if a sender reports absurd numbers.
    local.exchange(load_report("e", vec![recent(u32::MAX, u32::MAX)]), at(11));
    assert_eq!(loads(&local.exchange(load_report("d", Vec::new()), at(12))), [recent(u32::MAX, u32::MAX)]);
}

/// Message of a build without the counts of recent calls.
#[derive(Clone, PartialEq, Message)]
struct OlderEngineLoad {
    #[prost(fixed32, tag = "1")]
    engine: u32,
    #[prost(uint32, tag = "2")]
    running: u32,
    #[prost(uint32, tag = "3")]
    unread_tokens: u32,
    #[prost(uint32, tag = "4")]
    failed: u32,
    #[prost(uint32, tag = "5")]
    served: u32,
}

#[test]
fn older_build_ignores_the_counts_and_sends_none() {
    let older = OlderEngineLoad { engine: 1, running: 2, unread_tokens: 100, failed: 1, served: 0 };
    let newer = EngineLoad {
        engine: 1,
        running: 2,
        unread_tokens: 100,
        failed: 1,
        recent_ended: 90,
        recent_failed: 30,
        ..EngineLoad::default()
    };
    assert_eq!(OlderEngineLoad::decode(newer.encode_to_vec().as_slice()).expect("valid message"), older);
    let read = EngineLoad::decode(older.encode_to_vec().as_slice()).expect("valid message");
    assert_eq!(read, EngineLoad { recent_ended: 0, recent_failed: 0, ..newer });
}

/// Guards the size of an engine's entry: no bytes are added while nothing fails.
#[test]
fn encoded_counts_are_small() {
    let bytes = |load: EngineLoad| Loads { engines: vec![load] }.encoded_len();
    let busy = load(0x1234_5678, 5, 3_000);
    let with_counts = EngineLoad { recent_ended: 100, recent_failed: 40, ..busy };
    assert_eq!(bytes(EngineLoad { recent_ended: 0, recent_failed: 0, ..busy }), bytes(busy));
    assert_eq!(bytes(with_counts) - bytes(busy), 4);
    let sum = EngineLoad { recent_ended: 10_000, recent_failed: 4_000, ..busy };
    assert_eq!(bytes(sum) - bytes(busy), 6);
    // An engine that is reported only for its recent calls.
    let idle = EngineLoad { running: 0, unread_tokens: 0, ..with_counts };
    assert_eq!(bytes(idle), 11);
}

#[test]
fn boards_exchange_only_the_loads_of_their_own_edges() {
    let (mut local, mut remote) = (board(), board());
    local.exchange(load_report("a", vec![load(1, 2, 100)]), at(0));
    remote.exchange(load_report("b", vec![load(1, 3, 50), load(2, 1, 0)]), at(0));
    for round in 1..10 {
        let from_remote = remote.report_for_boards("remote", at(round)).expect("report").report;
        local.exchange(from_remote, at(round));
        let from_local = local.report_for_boards("local", at(round)).expect("report").report;
        remote.exchange(from_local, at(round));
    }
    // Repeated exchanges count nothing twice.
    assert_eq!(
        loads(&local.exchange(load_report("c", Vec::new()), at(20))),
        [load(1, 5, 150), load(2, 1, 0)]
    );
    assert_eq!(
        loads(&local.exchange(load_report("a", vec![load(1, 2, 100)]), at(20))),
        [load(1, 3, 50), load(2, 1, 0)]
    );
    assert_eq!(local.report_for_boards("local", at(21)).expect("report").reporting_boards, ["remote"]);
}

#[test]
fn board_without_recent_edges_has_no_report() {
    let mut board = board();
    assert_eq!(board.report_for_boards("local", at(0)), None);
    board.exchange(load_report("a", vec![load(1, 2, 100)]), at(0));
    assert!(board.report_for_boards("local", at(10)).is_some());
    assert_eq!(board.report_for_boards("local", at(5_000)), None);
}

fn demand(service: u32, rank: u32, running: u32, waiting: u32) -> ServiceDemand {
    ServiceDemand { service, rank, running, waiting }
}

#[test]
fn demand_is_summed_over_other_edges_and_exchanged_between_boards() {
    let mut board = board();
    let demand_report =
        |node: &str, demands: Vec<ServiceDemand>| NodeReport { demands, ..load_report(node, Vec::new()) };
    board.exchange(demand_report("a", vec![demand(1, 0, 2, 1), demand(1, 2, 4, 0)]), at(0));
    board.exchange(demand_report("b", vec![demand(1, 0, 3, 0), demand(7, 0, 1, 1)]), at(10));
    let view = board.exchange(demand_report("c", vec![demand(1, 0, 9, 9)]), at(20));
    assert_eq!(view.demands, [demand(1, 0, 5, 1), demand(1, 2, 4, 0), demand(7, 0, 1, 1)]);
    let board_report = board.report_for_boards("board-1", at(30)).expect("report of edges").report;
    let mut other = self::board();
    other.exchange(board_report, at(40));
    let view = other.exchange(load_report("d", Vec::new()), at(50));
    assert_eq!(view.demands, [demand(1, 0, 14, 10), demand(1, 2, 4, 0), demand(7, 0, 1, 1)]);
}

#[test]
fn expired_demand_is_not_counted() {
    let mut board = board();
    board.exchange(NodeReport { demands: vec![demand(1, 0, 2, 1)], ..load_report("a", Vec::new()) }, at(0));
    assert!(board.exchange(load_report("b", Vec::new()), at(2_000)).demands.is_empty());
}
