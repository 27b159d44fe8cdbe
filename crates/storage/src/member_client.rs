//! Requests to one member: direct, and through a relay where it does not reply.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::{Either, join_all, select};
use prost::Message;
use slog::{Logger, info};
use sumacdrift_ledger::{LedgerReply, RequestKind};
use sumacdrift_proto::{Relay, RelayedQuestion, Request, Response};
use sumacdrift_transport::Transport;
use tokio::time::Instant;

use crate::routes::{Route, RouteTable};
use crate::rpc::{encode_to_node, send_request_with_view};

/// Minimum delay before a request without reply is also sent through a relay.
pub(crate) const MIN_RELAY_DELAY: Duration = Duration::from_millis(80);
/// Timeout of a probe of all members.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which waiting callers check for isolation.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a relay waits for the member.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Additional time to wait for the reply of the relay.
const RELAY_MARGIN: Duration = Duration::from_millis(50);
/// Maximum number of relays tried for one request, one after the other.
const MAX_RELAYS_PER_REQUEST: usize = 3;

/// Sends requests to members over the routes that work.
pub(crate) struct MemberClient {
    transport: Arc<Transport>,
    routes: Mutex<RouteTable>,
    logger: Logger,
}

/// Outcome of a request through relays.
enum Relayed<T> {
    Replied(T),
    /// Relays replied, and did not reach the member.
    Unreachable,
    /// No relay replied.
    NoReply,
}

impl MemberClient {
    pub(crate) fn new(transport: Arc<Transport>, logger: Logger) -> Self {
        Self { transport, routes: Mutex::default(), logger }
    }

    pub(crate) fn routes(&self) -> MutexGuard<'_, RouteTable> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request to a member; `None` if no route led to a decodable reply. If there is no direct reply
    /// within `relay_delay`, the request also goes through a relay.
    pub(crate) async fn request(
        &self,
        to: SocketAddr,
        request: &Bytes,
        within: Duration,
        relay_delay: Duration,
    ) -> Option<LedgerReply> {
        let now = Instant::now();
        self.routes().record_request(now);
        let route = self.routes().route_to(to, now);
        match route {
            Route::DirectOnly => self.request_directly(to, request, within).await,
            Route::Direct => self.request_with_fallback(to, request, within, relay_delay).await,
            Route::ViaRelay { probe: false } => self.request_via_relay(to, request).await,
            Route::ViaRelay { probe: true } => {
                self.request_with_fallback(to, request, within, Duration::ZERO).await
            }
        }
    }

    pub(crate) fn is_isolated(&self) -> bool {
        self.routes().is_isolated(Instant::now())
    }

    /// Returns when neither `members` nor relays reply to this node. After a short silence all of them are
    /// probed: the members that requests in flight wait for may be the only unresponsive ones.
    pub(crate) async fn wait_until_isolated(self: &Arc<Self>, members: &[SocketAddr]) {
        loop {
            if self.routes().start_probe_round(Instant::now()) {
                tokio::spawn(Arc::clone(self).probe_all(members.to_vec()));
            }
            if self.is_isolated() {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn probe_all(self: Arc<Self>, members: Vec<SocketAddr>) {
        let request = encode_to_node(RequestKind::Status(true));
        let Some(first) = members.first().copied() else { return };
        let direct_requests =
            members.iter().map(|member| self.request_directly(*member, &request, PROBE_TIMEOUT));
        let sent = RelayedQuestion::Ledger(request.clone());
        // Replies are recorded where they arrive.
        let _ = tokio::join!(
            join_all(direct_requests),
            self.send_via_relays(first, sent, PROBE_TIMEOUT / 2, ledger_reply)
        );
    }

    async fn request_directly(
        &self,
        to: SocketAddr,
        request: &Bytes,
        within: Duration,
    ) -> Option<LedgerReply> {
        let reply = send_request_with_view(&self.transport, to, request.clone(), within).await?;
        if self.routes().record_direct_reply(to, Instant::now()) {
            info!(self.logger, "member reached directly again"; "event" => "way_regained", "member" => %to);
        }
        Some(reply)
    }

    /// Sends directly, and after `relay_delay` also through a relay unless the member replied to any request
    /// since. The first reply counts; records are idempotent.
    async fn request_with_fallback(
        &self,
        to: SocketAddr,
        request: &Bytes,
        within: Duration,
        relay_delay: Duration,
    ) -> Option<LedgerReply> {
        let sent = Instant::now();
        let direct = std::pin::pin!(self.request_directly(to, request, within));
        let relayed = std::pin::pin!(async {
            tokio::time::sleep(relay_delay).await;
            if self.routes().has_replied_since(to, sent) {
                return None;
            }
            self.request_via_relay(to, request).await
        });
        match select(direct, relayed).await {
            Either::Left((Some(reply), _)) => Some(reply),
            Either::Left((None, relayed)) => relayed.await,
            Either::Right((Some(reply), _)) => Some(reply),
            Either::Right((None, direct)) => direct.await,
        }
    }

    /// Sends a follow request through relays; `within` covers the time that the feed may hold it.
    pub(crate) async fn follow_via_relay(
        &self,
        to: SocketAddr,
        request: Bytes,
        within: Duration,
    ) -> Option<Bytes> {
        let read = |response| match response {
            Response::Changes(changes) => Some(changes),
            _ => None,
        };
        match self.send_via_relays(to, RelayedQuestion::Follow(request), within, read).await {
            Relayed::Replied(changes) => Some(changes),
            Relayed::Unreachable | Relayed::NoReply => None,
        }
    }

    async fn request_via_relay(&self, to: SocketAddr, request: &Bytes) -> Option<LedgerReply> {
        let request = RelayedQuestion::Ledger(request.clone());
        match self.send_via_relays(to, request, RELAY_TIMEOUT, ledger_reply).await {
            Relayed::Replied(reply) => {
                if self.routes().record_relayed_reply(to, Instant::now()) {
                    info!(self.logger, "member reached through a relay"; "event" => "way_around", "member" => %to);
                }
                Some(reply)
            }
            Relayed::Unreachable => {
                self.routes().record_unreachable(to, Instant::now());
                None
            }
            Relayed::NoReply => None,
        }
    }

    async fn send_via_relays<T>(
        &self,
        to: SocketAddr,
        request: RelayedQuestion,
        within: Duration,
        read: impl Fn(Response) -> Option<T>,
    ) -> Relayed<T> {
        let mut outcome = Relayed::NoReply;
        for _ in 0..MAX_RELAYS_PER_REQUEST {
            let Some(relay) = self.routes().relay() else { return outcome };
            let sent = Relay { to, within, question: request.clone() };
            let relay_timeout = within + RELAY_MARGIN;
            if let Ok(response) = self.transport.request(relay, Request::Relay(sent), relay_timeout).await {
                self.routes().record_any_reply();
                match read(response) {
                    Some(reply) => return Relayed::Replied(reply),
                    None => outcome = Relayed::Unreachable,
                }
            }
            self.routes().relay_failed(relay);
        }
        outcome
    }
}

fn ledger_reply(response: Response) -> Option<LedgerReply> {
    match response {
        Response::Ledger(bytes) => LedgerReply::decode(bytes).ok(),
        _ => None,
    }
}
