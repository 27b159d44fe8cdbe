//! Exchange of load and prompt-cache state between edges, piggybacked on requests to the ledger's replicas.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_calls::{CallMetadata, EngineId};
use sumacdrift_fleet_view::{CachedPart, NodeReport, PeerView, engine_key, part_key};
use sumacdrift_quarantine::QuarantinedRequest;
use sumacdrift_routing::RequiredPart;
use sumacdrift_storage::ViewSink;
use sumacdrift_types::Timestamp;

use crate::edge::Edge;
use crate::wire_format::WireFormat;

/// Minimum interval between load reports, and its increase per engine, which bounds the total report traffic of all
/// edges when there are many engines.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
const REPORT_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(400);
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between requests for the addresses of nodes that relay ledger requests.
const RELAY_QUERY_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of trailing prompt parts that are reported and asked about; earlier ones don't matter to other edges.
const MAX_PARTS: usize = 8;

/// When the edge last sent a load report and last asked for relays.
#[derive(Debug, Default)]
pub(crate) struct ExchangeSchedule {
    loads: Mutex<Option<Timestamp>>,
    relays: Mutex<Option<Timestamp>>,
}

impl ExchangeSchedule {
    /// Whether a load report is due; if so, records it as sent.
    fn is_report_due(&self, engines: usize, now: Timestamp) -> bool {
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        let interval = REPORT_INTERVAL + REPORT_INTERVAL_PER_ENGINE.saturating_mul(engines);
        check_due(&self.loads, interval.min(MAX_REPORT_INTERVAL), now)
    }

    /// Whether a request for relays is due; if so, records it as sent.
    fn is_relay_query_due(&self, now: Timestamp) -> bool {
        check_due(&self.relays, RELAY_QUERY_INTERVAL, now)
    }
}

fn check_due(last: &Mutex<Option<Timestamp>>, interval: Duration, now: Timestamp) -> bool {
    let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
    let is_due = last.is_none_or(|last| now.since(last) >= interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// The call's prompt parts by their hashed keys.
pub(crate) fn prompt_parts(head: &CallMetadata) -> Vec<RequiredPart> {
    let parts = head.prompt.iter();
    parts.map(|part| RequiredPart { part: part_key(&part.id), tokens: part.tokens }).collect()
}

/// The prompt parts that an engine has cached after a call. The answer's tokens extend the last part.
pub(crate) fn cached_parts(engine: &EngineId, parts: &[RequiredPart], answer_tokens: u64) -> Vec<CachedPart> {
    let engine = engine_key(&engine.incarnation_text());
    let last = parts.len().saturating_sub(1);
    let tokens_of = |index: usize, part: &RequiredPart| {
        let answer = if index == last { answer_tokens } else { 0 };
        u32::try_from(part.tokens + answer).unwrap_or(u32::MAX)
    };
    let cached_parts = parts.iter().enumerate();
    cached_parts
        .map(|(index, part)| CachedPart { part: part.part, engine, tokens: tokens_of(index, part) })
        .collect()
}

impl<D: WireFormat> Edge<D> {
    /// State to send when a turn begins: asks who has cached its prompt.
    pub(crate) fn update_at_begin(&self, parts: &[RequiredPart]) -> Bytes {
        let requested_parts = last_parts(parts).iter().map(|part| part.part).collect();
        self.encode_update(NodeReport { requested_parts, ..NodeReport::default() })
    }

    /// State to send when a turn ends: the parts that an engine now has cached.
    pub(crate) fn update_at_end(&self, cached_parts: &[CachedPart]) -> Bytes {
        self.encode_update(NodeReport {
            cached_parts: last_parts(cached_parts).to_vec(),
            ..NodeReport::default()
        })
    }

    fn encode_update(&self, mut update: NodeReport) -> Bytes {
        let now = self.clock.now();
        let engines = self.engines().len();
        if self.exchange_schedule.is_report_due(engines, now) {
            if self.ledger.uses_zone_board() {
                self.report_to_board(now);
            } else {
                self.add_load_report(&mut update, now);
            }
        }
        Bytes::from(update.encode_to_vec())
    }

    /// Reports to the zone's board concurrently with the ledger request that is about to be sent, so that the
    /// board's response is there when an engine is selected.
    fn report_to_board(&self, now: Timestamp) {
        let mut update = NodeReport::default();
        self.add_load_report(&mut update, now);
        let ledger = Arc::clone(&self.ledger);
        let update = Bytes::from(update.encode_to_vec());
        tokio::spawn(async move { ledger.report_to_zone_board(update).await });
    }

    fn add_load_report(&self, update: &mut NodeReport, now: Timestamp) {
        update.node.clone_from(&self.settings.node);
        let relay = self.settings.relay.filter(|_| self.ledger.reaches_members());
        update.relay = relay.map(|relay| relay.to_string()).unwrap_or_default();
        update.loads = Some(self.engines().load_report(now));
        update.demands = self.queues.demands(now);
        update.wants_loads = true;
        update.wants_relays = self.exchange_schedule.is_relay_query_due(now);
    }

    fn apply_view(&self, view: PeerView) {
        let now = self.clock.now();
        let relays: Vec<SocketAddr> = view.relays.iter().filter_map(|relay| relay.parse().ok()).collect();
        self.ledger.set_relays(relays);
        {
            let mut engines = self.engines();
            if let Some(loads) = &view.loads {
                engines.apply_peer_loads(loads, now);
            }
            for part in view.cached_parts {
                engines.record_peer_cached_part(part, now);
            }
        }
        if view.loads.is_some() {
            self.update_outliers(now);
            self.update_peer_demand(&view.demands);
        }
    }
}

fn last_parts<T>(parts: &[T]) -> &[T] {
    &parts[parts.len().saturating_sub(MAX_PARTS)..]
}

/// Passes views to an edge while it exists.
pub(crate) struct EdgeViewSink<D: WireFormat>(pub(crate) Weak<Edge<D>>);

impl<D: WireFormat> ViewSink for EdgeViewSink<D> {
    fn apply(&self, view: Bytes) {
        // Malformed views, and those that arrive after the edge was dropped, are ignored.
        if let (Some(edge), Ok(view)) = (self.0.upgrade(), PeerView::decode(view)) {
            edge.apply_view(view);
        }
    }

    fn quarantine(&self, quarantined: QuarantinedRequest) {
        if let Some(edge) = self.0.upgrade() {
            edge.quarantine(quarantined, "ledger");
        }
    }
}

/// Subscribes an edge to the views that the ledger's replicas send.
pub(crate) fn subscribe_to_views<D: WireFormat>(edge: &Arc<Edge<D>>) {
    edge.ledger.set_view_sink(Arc::new(EdgeViewSink(Arc::downgrade(edge))));
}
