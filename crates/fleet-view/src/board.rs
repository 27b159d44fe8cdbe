//! Replica side of the exchange: stores the news of edges and answers with the view of the others.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::load_table::LoadTable;
use crate::message::{News, View};
use crate::part_index::PartIndex;

/// Maximum number of parts per message, which bounds the work that a faulty sender can cause.
const MAX_PARTS_PER_MESSAGE: usize = 16;
/// Maximum number of engines per message.
const MAX_ENGINES_PER_MESSAGE: usize = 4096;
/// Maximum number of pairs of service and rank per message.
const MAX_DEMANDS_PER_MESSAGE: usize = 256;
/// Maximum number of relays returned to an edge.
const MAX_RELAYS: usize = 6;

/// Memory bounds of a [`Board`].
#[derive(Debug, Clone, Copy)]
pub struct BoardSizes {
    /// Maximum number of parts of prompts.
    pub parts: usize,
    /// Time since its last use after which a part expires.
    pub keep_parts_for: Duration,
}

/// News for other boards, and the boards that this one receives news from.
#[derive(Debug, Clone, PartialEq)]
pub struct BoardNews {
    /// Loads and demand of the edges that report to this board.
    pub news: News,
    /// Names of boards whose news have not expired.
    pub heard_of: Vec<String>,
}

/// Latest news of edges and other boards, kept in memory by a replica.
#[derive(Debug)]
pub struct Board {
    parts: PartIndex,
    loads: LoadTable,
}

impl Board {
    /// Starts empty.
    pub fn new(sizes: BoardSizes) -> Self {
        Self { parts: PartIndex::new(sizes.parts, sizes.keep_parts_for), loads: LoadTable::default() }
    }

    /// Returns the sums over the edges that report here, to be sent to other boards under the name `node`;
    /// `None` if no edge has reported recently.
    pub fn for_boards(&self, node: &str, now: Timestamp) -> Option<BoardNews> {
        let loads = self.loads.loads_of_edges(now)?;
        let relay = self.loads.relays(node, 1, now).pop().unwrap_or_default();
        let (node, loads) = (node.to_owned(), Some(loads));
        let demands = self.loads.demands_of_edges(now);
        let news = News { node, relay, loads, demands, is_from_board: true, ..News::default() };
        Some(BoardNews { news, heard_of: self.loads.boards(now) })
    }

    /// Stores the sender's news and returns what it asked for.
    pub fn exchange(&mut self, mut news: News, now: Timestamp) -> View {
        news.demands.truncate(MAX_DEMANDS_PER_MESSAGE);
        for held in news.held.iter().take(MAX_PARTS_PER_MESSAGE) {
            self.parts.note(*held, now);
        }
        if let Some(mut loads) = news.loads.clone() {
            loads.engines.truncate(MAX_ENGINES_PER_MESSAGE);
            self.loads.update(&news, loads, now);
        }
        let asked = news.asked_parts.iter().take(MAX_PARTS_PER_MESSAGE);
        View {
            loads: news.asks_loads.then(|| self.loads.loads_without(&news.node, now)),
            demands: match news.asks_loads {
                true => self.loads.demands_without(&news.node, now),
                false => Vec::new(),
            },
            held: asked.flat_map(|part| self.parts.holders(*part, now)).collect(),
            relays: match news.asks_relays {
                true => self.loads.relays(&news.node, MAX_RELAYS, now),
                false => Vec::new(),
            },
        }
    }
}
