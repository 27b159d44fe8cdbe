//! Calls at engines, by the edge that told of them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::{EngineLoad, Loads};

/// How long what an edge told counts. A busy edge tells anew within a fraction of that.
const LOADS_COUNT_FOR: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct Told {
    at: Timestamp,
    loads: Loads,
    relay: String,
}

/// What each edge told last.
#[derive(Debug, Default)]
pub struct LoadTable {
    edges: HashMap<String, Told>,
}

impl LoadTable {
    /// An edge told of its calls.
    pub fn tell(&mut self, node: &str, relay: &str, loads: Loads, now: Timestamp) {
        let told = Told { at: now, loads, relay: relay.to_owned() };
        self.edges.insert(node.to_owned(), told);
        self.edges.retain(|_, told| now.since(told.at) < LOADS_COUNT_FOR);
    }

    /// Calls of all edges but one.
    pub fn besides(&self, node: &str, now: Timestamp) -> Loads {
        let mut sums: BTreeMap<u32, EngineLoad> = BTreeMap::new();
        for load in self.others(node, now).flat_map(|told| &told.loads.engines) {
            let sum = sums
                .entry(load.engine)
                .or_insert(EngineLoad { engine: load.engine, ..EngineLoad::default() });
            sum.running = sum.running.saturating_add(load.running);
            sum.unread_tokens = sum.unread_tokens.saturating_add(load.unread_tokens);
            sum.failed = sum.failed.saturating_add(load.failed);
            sum.served = sum.served.saturating_add(load.served);
        }
        Loads { engines: sums.into_values().collect() }
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
