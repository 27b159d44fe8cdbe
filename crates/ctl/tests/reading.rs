//! Parsing of logs and metrics, selection of a call's lines, and the state of groups.

use std::io::{Cursor, Read};

use sumacdrift_ctl::call_trace::collect_trace;
use sumacdrift_ctl::groups::GroupsState;
use sumacdrift_ctl::log::read_logs;
use sumacdrift_ctl::metrics::parse_metrics;

fn source(text: &str) -> Box<dyn Read> {
    Box::new(Cursor::new(text.as_bytes().to_vec()))
}

const EDGE: &str = r#"{"ts":"2026-12-02T10:00:01.5Z","node":"edge-1","event":"turn_refused","call":"c2","program":"p"}
{"ts":"2026-12-02T10:00:00.1Z","node":"edge-1","event":"served","call":"c1","program":"p","engine":"e1"}
{"ts":"2026-12-02T10:0"#;
const STORAGE: &str = r#"{"ts":"2026-12-02T10:00:01.2Z","node":"storage-1","event":"journal_replayed","records":3}
{"ts":"2026-12-02T09:59:00.0Z","node":"storage-1","event":"start"}
"#;

#[test]
fn logs_of_several_nodes_are_merged_in_order_of_time() {
    let read = read_logs(vec![source(EDGE), source(STORAGE)]).expect("logs");
    let events: Vec<&str> = read.lines.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["start", "served", "journal_replayed", "turn_refused"]);
    // The last line is truncated, as by a process that was killed.
    assert_eq!(read.unreadable, 1);
}

#[test]
fn a_trace_holds_the_programs_calls_and_state_changes_near_its_end() {
    let read = read_logs(vec![source(EDGE), source(STORAGE)]).expect("logs");
    let trace = collect_trace("p", &read.lines);
    assert_eq!(trace.lines.len(), 2);
    assert_eq!(trace.nearby.iter().map(|line| line.event.as_str()).collect::<Vec<_>>(), ["journal_replayed"]);
    assert_eq!(collect_trace("c1", &read.lines).lines.len(), 1);
    assert!(collect_trace("nobody", &read.lines).lines.is_empty());
}

#[test]
fn a_summary_lists_the_events_own_fields() {
    let read = read_logs(vec![source(EDGE)]).expect("a log");
    insta::assert_snapshot!(read.lines[0].summary(), @"call=c1 engine=e1 program=p");
}

#[test]
fn metrics_are_parsed_without_histogram_buckets() {
    let text = "# HELP calls x\ncalls_total 7\nseconds_sum 1.5\nseconds_bucket{le=\"0.1\"} 3\ngiven_up_total{code=\"4001\"} 2\n# EOF\n";
    let metrics = parse_metrics(text);
    let names: Vec<(&str, f64)> = metrics.iter().map(|metric| (metric.name.as_str(), metric.value)).collect();
    assert_eq!(names, [("calls_total", 7.0), ("seconds_sum", 1.5), ("given_up_total{code=\"4001\"}", 2.0)]);
}

fn storage_metrics(group: i64, voting: u8, programs: u32) -> String {
    format!(
        "# HELP sumacdrift_ledger_group Number of the group.\nsumacdrift_ledger_group {group}\n\
         sumacdrift_ledger_voting {voting}\nsumacdrift_ledger_programs {programs}\n\
         sumacdrift_ledger_epoch 4\nsumacdrift_ledger_requests_total 120\nsumacdrift_ledger_busy_total 3\n\
         sumacdrift_ledger_waiting_bytes 512\n"
    )
}

#[test]
fn groups_with_fewest_voting_members_come_first() {
    let mut groups = GroupsState::default();
    let nodes = [("a:1", 0, 1, 7), ("b:1", 1, 1, 9), ("c:1", 0, 1, 7), ("d:1", 1, 0, 2), ("e:1", -1, 0, 0)];
    for (address, group, voting, programs) in nodes {
        groups.add(address, &parse_metrics(&storage_metrics(group, voting, programs)));
    }
    // An edge has no ledger metrics and is ignored.
    groups.add("f:1", &parse_metrics("sumacdrift_edge_calls_total 12\n"));
    insta::assert_snapshot!(groups.format_lines().join("\n"), @r"
    group 1: 1 of 2 members voting
      b:1 voting, epoch 4, 9 programs, 120 requests, 3 rejected, 512 bytes queued
      d:1 not voting, epoch 4, 2 programs, 120 requests, 3 rejected, 512 bytes queued
    group 0: 2 of 2 members voting
      a:1 voting, epoch 4, 7 programs, 120 requests, 3 rejected, 512 bytes queued
      c:1 voting, epoch 4, 7 programs, 120 requests, 3 rejected, 512 bytes queued
    in no group: e:1
    ");
}
