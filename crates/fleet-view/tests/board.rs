//! What edges tell each other by way of a replica.

use std::time::Duration;

use prost::Message;
use sumacdrift_fleet_view::{Board, BoardSizes, EngineLoad, Loads, News, PartHeld, ServiceDemand, View};
use sumacdrift_types::Timestamp;

fn board() -> Board {
    Board::new(BoardSizes { parts: 64, keep_parts_for: Duration::from_secs(10) })
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn load(engine: u32, running: u32, unread_tokens: u32) -> EngineLoad {
    EngineLoad { engine, running, unread_tokens, ..EngineLoad::default() }
}

fn telling(node: &str, engines: Vec<EngineLoad>) -> News {
    News { node: node.to_owned(), loads: Some(Loads { engines }), asks_loads: true, ..News::default() }
}

fn loads(view: &View) -> Vec<EngineLoad> {
    view.loads.as_ref().map(|loads| loads.engines.clone()).unwrap_or_default()
}

#[test]
fn an_edge_learns_the_sum_of_the_others() {
    let mut board = board();
    board.exchange(telling("a", vec![load(1, 2, 100), load(2, 1, 0)]), at(0));
    board.exchange(telling("b", vec![load(1, 3, 50)]), at(10));
    let view = board.exchange(telling("c", vec![load(1, 9, 9)]), at(20));
    assert_eq!(loads(&view), [load(1, 5, 150), load(2, 1, 0)]);
}

#[test]
fn what_an_edge_told_is_replaced_and_does_not_outlast_it() {
    let mut board = board();
    board.exchange(telling("a", vec![load(1, 2, 100)]), at(0));
    board.exchange(telling("a", Vec::new()), at(10));
    assert!(loads(&board.exchange(telling("b", Vec::new()), at(20))).is_empty());
    board.exchange(telling("a", vec![load(1, 2, 100)]), at(30));
    assert_eq!(loads(&board.exchange(telling("b", Vec::new()), at(900))).len(), 1);
    assert!(loads(&board.exchange(telling("b", Vec::new()), at(2_000))).is_empty());
}

#[test]
fn parts_are_told_to_those_who_ask_for_them() {
    let mut board = board();
    let held = vec![PartHeld { part: 5, engine: 1, tokens: 700 }];
    board.exchange(News { held: held.clone(), ..News::default() }, at(0));
    let asked = News { asked_parts: vec![4, 5], ..News::default() };
    assert_eq!(board.exchange(asked, at(10)).held, held);
    assert!(board.exchange(News::default(), at(10)).held.is_empty());
}

#[test]
fn one_message_can_not_ask_or_tell_without_bound() {
    let mut board = board();
    let flood = (0..100_000).map(|part| PartHeld { part, engine: 1, tokens: 1 });
    board.exchange(News { held: flood.collect(), ..News::default() }, at(0));
    let asked = News { asked_parts: (0..100_000).collect(), ..News::default() };
    assert!(board.exchange(asked, at(1)).held.len() <= 64);
}

/// A newer version may say more; an older one may not know how to ask.
#[test]
fn unknown_fields_are_ignored_and_missing_ones_are_empty() {
    let mut bytes = telling("a", vec![load(1, 2, 100)]).encode_to_vec();
    // Field 99, a text.
    bytes.extend([0x9a, 0x06, 0x03, b'n', b'e', b'w']);
    let news = News::decode(bytes.as_slice()).expect("readable news");
    assert_eq!(news, telling("a", vec![load(1, 2, 100)]));
    assert_eq!(News::decode(&[][..]).expect("empty news"), News::default());
}

#[test]
fn failures_of_several_edges_add_up() {
    let mut board = board();
    let failing = |served| EngineLoad { engine: 1, failed: 1 - served, served, ..EngineLoad::default() };
    for (node, served) in [("a", 0), ("b", 0), ("c", 1)] {
        board.exchange(telling(node, vec![failing(served)]), at(0));
    }
    let sum = loads(&board.exchange(telling("d", Vec::new()), at(10)))[0];
    assert_eq!((sum.failed, sum.served), (2, 1));
}

#[test]
fn calls_that_ended_of_late_add_up_over_edges_and_boards() {
    let (mut here, mut there) = (board(), board());
    let recent = |recent_ended, recent_failed| EngineLoad {
        engine: 1,
        recent_ended,
        recent_failed,
        ..EngineLoad::default()
    };
    here.exchange(telling("a", vec![recent(10, 4)]), at(0));
    here.exchange(telling("b", vec![recent(7, 0)]), at(0));
    there.exchange(telling("c", vec![recent(3, 3)]), at(0));
    here.exchange(there.for_boards("there", at(1)).expect("news").news, at(1));
    assert_eq!(loads(&here.exchange(telling("d", Vec::new()), at(10))), [recent(20, 7)]);
    // What a node counts itself is not told to it.
    assert_eq!(loads(&here.exchange(telling("a", Vec::new()), at(10))), [recent(10, 3)]);
    // A hostile or broken teller makes no overflow.
    here.exchange(telling("e", vec![recent(u32::MAX, u32::MAX)]), at(11));
    assert_eq!(loads(&here.exchange(telling("d", Vec::new()), at(12))), [recent(u32::MAX, u32::MAX)]);
}

/// A build before the counts.
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
fn an_older_build_reads_the_counts_as_nothing_and_tells_none() {
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
    assert_eq!(OlderEngineLoad::decode(newer.encode_to_vec().as_slice()).expect("readable"), older);
    let read = EngineLoad::decode(older.encode_to_vec().as_slice()).expect("readable");
    assert_eq!(read, EngineLoad { recent_ended: 0, recent_failed: 0, ..newer });
}

/// Bytes that an engine takes in a message: none more where nothing fails.
#[test]
fn the_counts_take_few_bytes() {
    let bytes = |load: EngineLoad| Loads { engines: vec![load] }.encoded_len();
    let busy = load(0x1234_5678, 5, 3_000);
    let told = EngineLoad { recent_ended: 100, recent_failed: 40, ..busy };
    assert_eq!(bytes(EngineLoad { recent_ended: 0, recent_failed: 0, ..busy }), bytes(busy));
    assert_eq!(bytes(told) - bytes(busy), 4);
    let sum = EngineLoad { recent_ended: 10_000, recent_failed: 4_000, ..busy };
    assert_eq!(bytes(sum) - bytes(busy), 6);
    // An engine that would not be told of without them.
    let idle = EngineLoad { running: 0, unread_tokens: 0, ..told };
    assert_eq!(bytes(idle), 11);
}

#[test]
fn boards_tell_each_other_of_their_own_edges_only() {
    let (mut here, mut there) = (board(), board());
    here.exchange(telling("a", vec![load(1, 2, 100)]), at(0));
    there.exchange(telling("b", vec![load(1, 3, 50), load(2, 1, 0)]), at(0));
    for round in 1..10 {
        let from_there = there.for_boards("there", at(round)).expect("news").news;
        here.exchange(from_there, at(round));
        let from_here = here.for_boards("here", at(round)).expect("news").news;
        there.exchange(from_here, at(round));
    }
    // However often they told each other, nothing is counted twice.
    assert_eq!(loads(&here.exchange(telling("c", Vec::new()), at(20))), [load(1, 5, 150), load(2, 1, 0)]);
    assert_eq!(
        loads(&here.exchange(telling("a", vec![load(1, 2, 100)]), at(20))),
        [load(1, 3, 50), load(2, 1, 0)]
    );
    assert_eq!(here.for_boards("here", at(21)).expect("news").heard_of, ["there"]);
}

#[test]
fn a_board_without_edges_tells_nothing() {
    let mut board = board();
    assert_eq!(board.for_boards("here", at(0)), None);
    board.exchange(telling("a", vec![load(1, 2, 100)]), at(0));
    assert!(board.for_boards("here", at(10)).is_some());
    assert_eq!(board.for_boards("here", at(5_000)), None);
}

fn demand(service: u32, rank: u32, running: u32, waiting: u32) -> ServiceDemand {
    ServiceDemand { service, rank, running, waiting }
}

#[test]
fn demand_is_added_up_over_the_other_edges_and_passes_between_boards() {
    let mut board = board();
    let tell = |node: &str, demands: Vec<ServiceDemand>| News { demands, ..telling(node, Vec::new()) };
    board.exchange(tell("a", vec![demand(1, 0, 2, 1), demand(1, 2, 4, 0)]), at(0));
    board.exchange(tell("b", vec![demand(1, 0, 3, 0), demand(7, 0, 1, 1)]), at(10));
    let view = board.exchange(tell("c", vec![demand(1, 0, 9, 9)]), at(20));
    assert_eq!(view.demands, [demand(1, 0, 5, 1), demand(1, 2, 4, 0), demand(7, 0, 1, 1)]);
    let told = board.for_boards("board-1", at(30)).expect("news of edges").news;
    let mut other = self::board();
    other.exchange(told, at(40));
    let view = other.exchange(telling("d", Vec::new()), at(50));
    assert_eq!(view.demands, [demand(1, 0, 14, 10), demand(1, 2, 4, 0), demand(7, 0, 1, 1)]);
}

#[test]
fn demand_that_was_told_long_ago_counts_no_more() {
    let mut board = board();
    board.exchange(News { demands: vec![demand(1, 0, 2, 1)], ..telling("a", Vec::new()) }, at(0));
    assert!(board.exchange(telling("b", Vec::new()), at(2_000)).demands.is_empty());
}
