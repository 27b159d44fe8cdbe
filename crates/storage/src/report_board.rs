//! Board of a replica host, through which edges exchange reports, and the port to the consumer of its views.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_fleet_view::{BoardLimits, BoardReport, NodeReport, ReportBoard};
use sumacdrift_ledger::{LedgerReply, ReplyKind};
use sumacdrift_quarantine::QuarantinedRequest;
use sumacdrift_types::Timestamp;
use tokio::time::Instant;

use crate::quarantine_feed::announced_request;

/// Maximum number of prompt parts that a board remembers; about a megabyte.
const MAX_BOARD_PARTS: usize = 8192;
/// How long after its last use a part counts as cached by an engine. Engines evict unused parts, the sooner
/// the more they read; a continued conversation uses its parts again within seconds.
const PART_TTL: Duration = Duration::from_secs(15);

/// Consumer of the views that replica hosts send along with replies.
pub trait ViewSink: Send + Sync + 'static {
    /// Accepts an encoded [`sumacdrift_fleet_view::PeerView`].
    fn apply(&self, view: Bytes);
    /// Accepts a request that was put in quarantine.
    fn quarantine(&self, quarantined: QuarantinedRequest);
}

/// Passes the view and the requests in quarantine of a reply to the sink and returns the reply's result. Must be called before the result is
/// evaluated.
pub(crate) fn forward_view(views: Option<&Arc<dyn ViewSink>>, answer: LedgerReply) -> Option<ReplyKind> {
    let Some(views) = views else { return answer.kind };
    if !answer.view.is_empty() {
        views.apply(answer.view);
    }
    answer.quarantined.iter().for_each(|notice| views.quarantine(announced_request(notice)));
    answer.kind
}

/// Board of a replica host.
pub(crate) struct HostReportBoard {
    board: Mutex<ReportBoard>,
    started: Instant,
}

impl HostReportBoard {
    pub(crate) fn new() -> Self {
        let limits = BoardLimits { parts: MAX_BOARD_PARTS, part_ttl: PART_TTL };
        Self { board: Mutex::new(ReportBoard::new(limits)), started: Instant::now() }
    }

    /// Records the encoded report of a node; returns the encoded view for it, empty if there is no valid report.
    pub(crate) fn exchange(&self, report: Bytes) -> Bytes {
        if report.is_empty() {
            return Bytes::new();
        }
        // A malformed report is dropped; the request that carried it is answered nevertheless.
        let Ok(report) = NodeReport::decode(report) else { return Bytes::new() };
        let view = self.board().exchange(report, self.now());
        Bytes::from(view.encode_to_vec())
    }

    /// Report of the edges of this board, for other boards.
    pub(crate) fn for_boards(&self, node: &str) -> Option<BoardReport> {
        self.board().report_for_boards(node, self.now())
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    fn board(&self) -> MutexGuard<'_, ReportBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
