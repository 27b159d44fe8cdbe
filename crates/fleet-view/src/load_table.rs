//! Running and waiting calls, by the edge or board that reported them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::{EngineLoad, Loads, NodeReport, ServiceDemand};

/// Time after which a report expires. A busy edge reports anew within a fraction of it.
const REPORT_TTL: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct Report {
    received_at: Timestamp,
    loads: Loads,
    demands: Vec<ServiceDemand>,
    relay: String,
    is_board: bool,
}

/// Latest report of each edge and of each other board.
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: HashMap<String, Report>,
}

impl LoadTable {
    /// Replaces the sender's report and drops expired ones.
    pub fn update(&mut self, report: &NodeReport, loads: Loads, now: Timestamp) {
        let entry = Report {
            received_at: now,
            loads,
            demands: report.demands.clone(),
            relay: report.relay.clone(),
            is_board: report.is_from_board,
        };
        self.reports.insert(report.node.clone(), entry);
        self.reports.retain(|_, report| now.since(report.received_at) < REPORT_TTL);
    }

    /// Sums the loads of all senders except `node`.
    pub fn loads_without(&self, node: &str, now: Timestamp) -> Loads {
        sum(self.others(node, now))
    }

    /// Sums the demand of all senders except `node`, by service and rank.
    pub fn demands_without(&self, node: &str, now: Timestamp) -> Vec<ServiceDemand> {
        sum_demands(self.others(node, now))
    }

    /// Sums the demand of edges that report here directly, by service and rank.
    pub fn demands_of_edges(&self, now: Timestamp) -> Vec<ServiceDemand> {
        sum_demands(self.others("", now).filter(|report| !report.is_board))
    }

    /// Sums the loads of edges that report here directly; `None` if no edge has reported recently.
    pub fn loads_of_edges(&self, now: Timestamp) -> Option<Loads> {
        let mut edges = self.others("", now).filter(|report| !report.is_board).peekable();
        edges.peek()?;
        Some(sum(edges))
    }

    /// Names of the boards that have reported recently.
    pub fn boards(&self, now: Timestamp) -> Vec<String> {
        let boards = self.reports.iter().filter(|(_, report)| report.is_board);
        boards
            .filter(|(_, report)| now.since(report.received_at) < REPORT_TTL)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Relay addresses of at most `max_relays` senders except `node`, the most recent reports first.
    pub fn relays(&self, node: &str, max_relays: usize, now: Timestamp) -> Vec<String> {
        let mut reports: Vec<&Report> =
            self.others(node, now).filter(|report| !report.relay.is_empty()).collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.received_at));
        reports.into_iter().take(max_relays).map(|report| report.relay.clone()).collect()
    }

    fn others<'a>(&'a self, node: &'a str, now: Timestamp) -> impl Iterator<Item = &'a Report> {
        let others = self.reports.iter().filter(move |(sender, _)| *sender != node).map(|(_, report)| report);
        others.filter(move |report| now.since(report.received_at) < REPORT_TTL)
    }
}

fn sum<'a>(reports: impl Iterator<Item = &'a Report>) -> Loads {
    let mut sums: BTreeMap<u32, EngineLoad> = BTreeMap::new();
    for load in reports.flat_map(|report| &report.loads.engines) {
        let sum =
            sums.entry(load.engine).or_insert(EngineLoad { engine: load.engine, ..EngineLoad::default() });
        sum.running = sum.running.saturating_add(load.running);
        sum.unread_tokens = sum.unread_tokens.saturating_add(load.unread_tokens);
        sum.failed = sum.failed.saturating_add(load.failed);
        sum.succeeding_edges = sum.succeeding_edges.saturating_add(load.succeeding_edges);
        sum.recent_ended = sum.recent_ended.saturating_add(load.recent_ended);
        sum.recent_failed = sum.recent_failed.saturating_add(load.recent_failed);
    }
    Loads { engines: sums.into_values().collect() }
}

fn sum_demands<'a>(reports: impl Iterator<Item = &'a Report>) -> Vec<ServiceDemand> {
    let mut sums: BTreeMap<(u32, u32), ServiceDemand> = BTreeMap::new();
    for demand in reports.flat_map(|report| &report.demands) {
        let (service, rank) = (demand.service, demand.rank);
        let none = ServiceDemand { service, rank, ..ServiceDemand::default() };
        let sum = sums.entry((service, rank)).or_insert(none);
        sum.running = sum.running.saturating_add(demand.running);
        sum.waiting = sum.waiting.saturating_add(demand.waiting);
    }
    sums.into_values().collect()
}
