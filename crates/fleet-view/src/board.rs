//! The replica's side: takes edges' news and answers with what the others told.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::load_table::LoadTable;
use crate::message::{News, View};
use crate::part_index::PartIndex;

/// Parts that one message may name, so that a broken asker can't make work.
const MOST_PARTS_A_MESSAGE: usize = 16;
/// Engines that one message may name.
const MOST_ENGINES_A_MESSAGE: usize = 4096;
/// Services and ranks that one message may name.
const MOST_DEMANDS_A_MESSAGE: usize = 256;
/// Edges that are told as ways around a cut.
const MOST_RELAYS: usize = 6;

/// Bounds of a board's memory.
#[derive(Debug, Clone, Copy)]
pub struct BoardSizes {
    /// Parts of prompts that are remembered.
    pub parts: usize,
    /// How long a part counts as held since it was last used.
    pub keep_parts_for: Duration,
}

/// What a board tells another one, and whom.
#[derive(Debug, Clone, PartialEq)]
pub struct BoardNews {
    /// What it tells.
    pub news: News,
    /// Boards that told it of late.
    pub heard_of: Vec<String>,
}

/// What edges told.
#[derive(Debug)]
pub struct Board {
    parts: PartIndex,
    loads: LoadTable,
}

impl Board {
    /// A board that knows nothing.
    pub fn new(sizes: BoardSizes) -> Self {
        Self { parts: PartIndex::new(sizes.parts, sizes.keep_parts_for), loads: LoadTable::default() }
    }

    /// What this board tells others of its edges, under its own name; `None` where no edge told it anything of late.
    pub fn for_boards(&self, node: &str, now: Timestamp) -> Option<BoardNews> {
        let loads = self.loads.told_by_edges(now)?;
        let relay = self.loads.relays(node, 1, now).pop().unwrap_or_default();
        let (node, loads) = (node.to_owned(), Some(loads));
        let demands = self.loads.demands_told_by_edges(now);
        let news = News { node, relay, loads, demands, is_from_board: true, ..News::default() };
        Some(BoardNews { news, heard_of: self.loads.boards(now) })
    }

    /// Takes an edge's news in and answers what it asked.
    pub fn exchange(&mut self, mut news: News, now: Timestamp) -> View {
        news.demands.truncate(MOST_DEMANDS_A_MESSAGE);
        for held in news.held.iter().take(MOST_PARTS_A_MESSAGE) {
            self.parts.note(*held, now);
        }
        if let Some(mut loads) = news.loads.clone() {
            loads.engines.truncate(MOST_ENGINES_A_MESSAGE);
            self.loads.tell(&news, loads, now);
        }
        let asked = news.asked_parts.iter().take(MOST_PARTS_A_MESSAGE);
        View {
            loads: news.asks_loads.then(|| self.loads.besides(&news.node, now)),
            demands: match news.asks_loads {
                true => self.loads.demands_besides(&news.node, now),
                false => Vec::new(),
            },
            held: asked.flat_map(|part| self.parts.holders(*part, now)).collect(),
            relays: match news.asks_relays {
                true => self.loads.relays(&news.node, MOST_RELAYS, now),
                false => Vec::new(),
            },
        }
    }
}
