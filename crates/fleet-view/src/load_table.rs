//! Calls at engines and before them, by the edge or the other board that told of them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::{EngineLoad, Loads, News, ServiceDemand};

/// How long what an edge told counts. A busy edge tells anew within a fraction of that.
const LOADS_COUNT_FOR: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct Told {
    at: Timestamp,
    loads: Loads,
    demands: Vec<ServiceDemand>,
    relay: String,
    is_board: bool,
}

/// What each edge told last.
#[derive(Debug, Default)]
pub struct LoadTable {
    edges: HashMap<String, Told>,
}

impl LoadTable {
    /// An edge told of its calls, or another board of those of its edges.
    pub fn tell(&mut self, news: &News, loads: Loads, now: Timestamp) {
        let told = Told {
            at: now,
            loads,
            demands: news.demands.clone(),
            relay: news.relay.clone(),
            is_board: news.is_from_board,
        };
        self.edges.insert(news.node.clone(), told);
        self.edges.retain(|_, told| now.since(told.at) < LOADS_COUNT_FOR);
    }

    /// Calls of all edges but one.
    pub fn besides(&self, node: &str, now: Timestamp) -> Loads {
        sum(self.others(node, now))
    }

    /// Calls of all edges but one, by service and rank.
    pub fn demands_besides(&self, node: &str, now: Timestamp) -> Vec<ServiceDemand> {
        sum_demands(self.others(node, now))
    }

    /// Calls of the edges that told of them here, by service and rank.
    pub fn demands_told_by_edges(&self, now: Timestamp) -> Vec<ServiceDemand> {
        sum_demands(self.others("", now).filter(|told| !told.is_board))
    }

    /// Calls of the edges that told of them here; `None` where there are none of late.
    pub fn told_by_edges(&self, now: Timestamp) -> Option<Loads> {
        let mut edges = self.others("", now).filter(|told| !told.is_board).peekable();
        edges.peek()?;
        Some(sum(edges))
    }

    /// Other boards that told of their edges' calls of late.
    pub fn boards(&self, now: Timestamp) -> Vec<String> {
        let boards = self.edges.iter().filter(|(_, told)| told.is_board);
        boards
            .filter(|(_, told)| now.since(told.at) < LOADS_COUNT_FOR)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Addresses of other edges that pass questions on, the ones heard of last first.
    pub fn relays(&self, node: &str, most: usize, now: Timestamp) -> Vec<String> {
        let mut told: Vec<&Told> = self.others(node, now).filter(|told| !told.relay.is_empty()).collect();
        told.sort_by_key(|told| std::cmp::Reverse(told.at));
        told.into_iter().take(most).map(|told| told.relay.clone()).collect()
    }

    fn others<'a>(&'a self, node: &'a str, now: Timestamp) -> impl Iterator<Item = &'a Told> {
        let edges = self.edges.iter().filter(move |(edge, _)| *edge != node).map(|(_, told)| told);
        edges.filter(move |told| now.since(told.at) < LOADS_COUNT_FOR)
    }
}

fn sum<'a>(told: impl Iterator<Item = &'a Told>) -> Loads {
    let mut sums: BTreeMap<u32, EngineLoad> = BTreeMap::new();
    for load in told.flat_map(|told| &told.loads.engines) {
        let sum =
            sums.entry(load.engine).or_insert(EngineLoad { engine: load.engine, ..EngineLoad::default() });
        sum.running = sum.running.saturating_add(load.running);
        sum.unread_tokens = sum.unread_tokens.saturating_add(load.unread_tokens);
        sum.failed = sum.failed.saturating_add(load.failed);
        sum.served = sum.served.saturating_add(load.served);
        sum.recent_ended = sum.recent_ended.saturating_add(load.recent_ended);
        sum.recent_failed = sum.recent_failed.saturating_add(load.recent_failed);
    }
    Loads { engines: sums.into_values().collect() }
}

fn sum_demands<'a>(told: impl Iterator<Item = &'a Told>) -> Vec<ServiceDemand> {
    let mut sums: BTreeMap<(u32, u32), ServiceDemand> = BTreeMap::new();
    for demand in told.flat_map(|told| &told.demands) {
        let (service, rank) = (demand.service, demand.rank);
        let none = ServiceDemand { service, rank, ..ServiceDemand::default() };
        let sum = sums.entry((service, rank)).or_insert(none);
        sum.running = sum.running.saturating_add(demand.running);
        sum.waiting = sum.waiting.saturating_add(demand.waiting);
    }
    sums.into_values().collect()
}
