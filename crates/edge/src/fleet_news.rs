//! What this edge tells other edges by way of the ledger's replicas, and what it learns from them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_calls::{CallHead, EngineId};
use sumacdrift_fleet_view::{News, PartHeld, View, engine_key, part_key};
use sumacdrift_routing::PartNeed;
use sumacdrift_storage::ViewSink;
use sumacdrift_types::Timestamp;

use crate::dialect::Dialect;
use crate::edge::Edge;

/// Least time between two tellings of this edge's calls, and by how much it grows with each engine: what all edges
/// tell must not grow with edges times engines.
const TELL_LOADS_EVERY: Duration = Duration::from_millis(20);
const TELL_LATER_BY_ENGINE: Duration = Duration::from_micros(400);
const TELL_LOADS_AT_LEAST_EVERY: Duration = Duration::from_millis(500);
/// Time between two questions for nodes that pass questions on.
const ASK_RELAYS_EVERY: Duration = Duration::from_millis(1000);
/// Parts of a prompt that are asked for and told; further ones are of no interest to others.
const MOST_PARTS: usize = 8;

/// When this edge told of its calls.
#[derive(Debug, Default)]
pub(crate) struct TellTimes {
    loads: Mutex<Option<Timestamp>>,
    relays: Mutex<Option<Timestamp>>,
}

impl TellTimes {
    /// Whether it is time to tell of calls again; if so, they count as told.
    fn loads_are_due(&self, engines: usize, now: Timestamp) -> bool {
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        let every = TELL_LOADS_EVERY + TELL_LATER_BY_ENGINE.saturating_mul(engines);
        take_turn(&self.loads, every.min(TELL_LOADS_AT_LEAST_EVERY), now)
    }

    /// Whether it is time to ask for relays again; if so, they count as asked for.
    fn relays_are_due(&self, now: Timestamp) -> bool {
        take_turn(&self.relays, ASK_RELAYS_EVERY, now)
    }
}

fn take_turn(last: &Mutex<Option<Timestamp>>, every: Duration, now: Timestamp) -> bool {
    let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
    let is_due = last.is_none_or(|last| now.since(last) >= every);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// The parts of a call's prompt under their short names.
pub(crate) fn prompt_parts(head: &CallHead) -> Vec<PartNeed> {
    let parts = head.prompt.iter();
    parts.map(|part| PartNeed { part: part_key(&part.id), tokens: part.tokens }).collect()
}

/// What an engine holds of a prompt that it has read, and of its answer, which stands behind the prompt's last part.
pub(crate) fn held_parts(engine: &EngineId, parts: &[PartNeed], answer_tokens: u64) -> Vec<PartHeld> {
    let engine = engine_key(&engine.life_text());
    let last = parts.len().saturating_sub(1);
    let tokens_of = |place: usize, part: &PartNeed| {
        let answer = if place == last { answer_tokens } else { 0 };
        u32::try_from(part.tokens + answer).unwrap_or(u32::MAX)
    };
    let held = parts.iter().enumerate();
    held.map(|(place, part)| PartHeld { part: part.part, engine, tokens: tokens_of(place, part) }).collect()
}

impl<D: Dialect> Edge<D> {
    /// News that travel with the begin of a turn.
    pub(crate) fn news_at_begin(&self, parts: &[PartNeed]) -> Bytes {
        let asked_parts = last_few(parts).iter().map(|part| part.part).collect();
        self.news(News { asked_parts, ..News::default() })
    }

    /// News that travel with the end of a turn, whose prompt an engine now holds.
    pub(crate) fn news_at_end(&self, held: &[PartHeld]) -> Bytes {
        self.news(News { held: last_few(held).to_vec(), ..News::default() })
    }

    fn news(&self, mut news: News) -> Bytes {
        let now = self.clock.now();
        let engines = self.book().len();
        if self.tell_times.loads_are_due(engines, now) {
            if self.ledger.tells_board() {
                self.tell_board(now);
            } else {
                self.add_loads(&mut news, now);
            }
        }
        Bytes::from(news.encode_to_vec())
    }

    /// Tells the board of the zone while the question that is asked now is under way, so that what it tells in return
    /// is there when an engine is chosen.
    fn tell_board(&self, now: Timestamp) {
        let mut news = News::default();
        self.add_loads(&mut news, now);
        let ledger = Arc::clone(&self.ledger);
        let news = Bytes::from(news.encode_to_vec());
        tokio::spawn(async move { ledger.tell_board(news).await });
    }

    fn add_loads(&self, news: &mut News, now: Timestamp) {
        news.node.clone_from(&self.settings.node);
        let relay = self.settings.relay.filter(|_| self.ledger.reaches_members());
        news.relay = relay.map(|relay| relay.to_string()).unwrap_or_default();
        news.loads = Some(self.book().loads(now));
        news.demands = self.queues.demands(now);
        news.asks_loads = true;
        news.asks_relays = self.tell_times.relays_are_due(now);
    }

    fn take_view(&self, view: View) {
        let now = self.clock.now();
        let relays: Vec<SocketAddr> = view.relays.iter().filter_map(|relay| relay.parse().ok()).collect();
        self.ledger.learn_relays(relays);
        {
            let mut book = self.book();
            if let Some(loads) = &view.loads {
                book.others_told(loads, now);
            }
            for held in view.held {
                book.others_hold(held, now);
            }
        }
        if view.loads.is_some() {
            self.judge_outliers(now);
            self.others_demand(&view.demands);
        }
    }
}

fn last_few<T>(parts: &[T]) -> &[T] {
    &parts[parts.len().saturating_sub(MOST_PARTS)..]
}

/// Hands views to an edge for as long as there is one.
pub(crate) struct EdgeViews<D: Dialect>(pub(crate) Weak<Edge<D>>);

impl<D: Dialect> ViewSink for EdgeViews<D> {
    fn take(&self, view: Bytes) {
        // A view that can't be read, or comes after the end, is of no use to anybody.
        if let (Some(edge), Ok(view)) = (self.0.upgrade(), View::decode(view)) {
            edge.take_view(view);
        }
    }
}

/// Makes an edge take what the ledger's replicas tell of other edges.
pub(crate) fn follow_views<D: Dialect>(edge: &Arc<Edge<D>>) {
    edge.ledger.tell_views_to(Arc::new(EdgeViews(Arc::downgrade(edge))));
}
