//! Replica side of the exchange: stores the reports of edges and answers with a view of the other edges.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::load_table::LoadTable;
use crate::message::{NodeReport, PeerView};
use crate::part_index::PartIndex;

/// Maximum number of parts per message, which bounds the work that a faulty sender can cause.
const MAX_PARTS_PER_MESSAGE: usize = 16;
/// Maximum number of engines per message.
const MAX_ENGINES_PER_MESSAGE: usize = 4096;
/// Maximum number of pairs of service and rank per message.
const MAX_DEMANDS_PER_MESSAGE: usize = 256;
/// Maximum number of relays returned to an edge.
const MAX_RELAYS: usize = 6;

/// Memory bounds of a [`ReportBoard`].
#[derive(Debug, Clone, Copy)]
pub struct BoardLimits {
    /// Maximum number of parts of prompts.
    pub parts: usize,
    /// Time since its last use after which a part expires.
    pub part_ttl: Duration,
}

/// Report for other boards, and the boards that this one receives reports from.
#[derive(Debug, Clone, PartialEq)]
pub struct BoardReport {
    /// Loads and demand of the edges that report to this board.
    pub report: NodeReport,
    /// Names of boards whose reports have not expired.
    pub reporting_boards: Vec<String>,
}

/// Latest reports of edges and other boards, kept in memory by a replica.
#[derive(Debug)]
pub struct ReportBoard {
    parts: PartIndex,
    loads: LoadTable,
}

impl ReportBoard {
    /// Starts empty.
    pub fn new(limits: BoardLimits) -> Self {
        Self { parts: PartIndex::new(limits.parts, limits.part_ttl), loads: LoadTable::default() }
    }

    /// Returns the sums over the edges that report here, to be sent to other boards under the name `node`;
    /// `None` if no edge has reported recently.
    pub fn report_for_boards(&self, node: &str, now: Timestamp) -> Option<BoardReport> {
        let loads = self.loads.loads_of_edges(now)?;
        let relay = self.loads.relays(node, 1, now).pop().unwrap_or_default();
        let (node, loads) = (node.to_owned(), Some(loads));
        let demands = self.loads.demands_of_edges(now);
        let report = NodeReport { node, relay, loads, demands, is_from_board: true, ..NodeReport::default() };
        Some(BoardReport { report, reporting_boards: self.loads.boards(now) })
    }

    /// Stores the sender's report and returns what it asked for.
    pub fn exchange(&mut self, mut report: NodeReport, now: Timestamp) -> PeerView {
        report.demands.truncate(MAX_DEMANDS_PER_MESSAGE);
        for part in report.cached_parts.iter().take(MAX_PARTS_PER_MESSAGE) {
            self.parts.record(*part, now);
        }
        if let Some(mut loads) = report.loads.clone() {
            loads.engines.truncate(MAX_ENGINES_PER_MESSAGE);
            self.loads.update(&report, loads, now);
        }
        let asked = report.requested_parts.iter().take(MAX_PARTS_PER_MESSAGE);
        PeerView {
            loads: report.wants_loads.then(|| self.loads.loads_without(&report.node, now)),
            demands: match report.wants_loads {
                true => self.loads.demands_without(&report.node, now),
                false => Vec::new(),
            },
            cached_parts: asked.flat_map(|part| self.parts.holders(*part, now)).collect(),
            relays: match report.wants_relays {
                true => self.loads.relays(&report.node, MAX_RELAYS, now),
                false => Vec::new(),
            },
        }
    }
}
