//! What edges tell each other by way of the replicas: the host's board, and the port to whoever uses its views.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_fleet_view::{Board, BoardNews, BoardSizes, News};
use sumacdrift_ledger::{LedgerReply, ReplyKind};
use sumacdrift_types::Timestamp;
use tokio::time::Instant;

/// Parts of prompts that a host remembers; about a megabyte.
const BOARD_PARTS: usize = 8192;
/// How long a part counts as held by an engine since it was last used there. Engines forget what was not used for
/// long, the sooner the more they read; a line that goes on is back within seconds.
const KEEP_PARTS_FOR: Duration = Duration::from_secs(15);

/// Takes what replicas' hosts tell of other nodes.
pub trait ViewSink: Send + Sync + 'static {
    /// Takes a view in, an encoded [`sumacdrift_fleet_view::View`].
    fn take(&self, view: Bytes);
}

/// Hands on what came besides an answer, before the answer itself decides anything; returns the answer.
pub(crate) fn hand_view_on(views: Option<&Arc<dyn ViewSink>>, answer: LedgerReply) -> Option<ReplyKind> {
    if let Some(views) = views.filter(|_| !answer.view.is_empty()) {
        views.take(answer.view);
    }
    answer.kind
}

/// The board of a replica's host.
pub(crate) struct NewsBoard {
    board: Mutex<Board>,
    started: Instant,
}

impl NewsBoard {
    pub(crate) fn new() -> Self {
        let sizes = BoardSizes { parts: BOARD_PARTS, keep_parts_for: KEEP_PARTS_FOR };
        Self { board: Mutex::new(Board::new(sizes)), started: Instant::now() }
    }

    /// Takes news in; returns the encoded view for their sender, empty where there is nothing to tell.
    pub(crate) fn exchange(&self, news: Bytes) -> Bytes {
        if news.is_empty() {
            return Bytes::new();
        }
        // News that can't be read decide nothing; the question that they came with is answered all the same.
        let Ok(news) = News::decode(news) else { return Bytes::new() };
        let view = self.board().exchange(news, self.now());
        Bytes::from(view.encode_to_vec())
    }

    /// What this board tells others of its edges.
    pub(crate) fn for_boards(&self, node: &str) -> Option<BoardNews> {
        self.board().for_boards(node, self.now())
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
