//! Asking one member: directly, and by way of another node where it does not answer this one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::{Either, join_all, select};
use prost::Message;
use slog::{Logger, info};
use sumacdrift_ledger::{LedgerReply, RequestKind};
use sumacdrift_proto::{Relay, Request, Response};
use sumacdrift_transport::Transport;
use tokio::time::Instant;

use crate::rpc::{ask_whole, encode_to_node};
use crate::ways::{Way, Ways};

/// The least time that a member may say nothing at all before another node is asked to ask it.
pub(crate) const LEAST_DETOUR: Duration = Duration::from_millis(80);
/// How long answers are waited for when everybody is asked.
const PROBE_WITHIN: Duration = Duration::from_millis(200);
/// How often those who wait look whether the node is isolated.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How long the node in between waits for the member.
const RELAYED_WITHIN: Duration = Duration::from_millis(400);
/// How much longer the answer is waited for here.
const RELAY_MARGIN: Duration = Duration::from_millis(50);
/// Nodes that are asked to pass one question on, one after the other.
const RELAYS_A_QUESTION: usize = 3;

/// Asks members by whichever way leads to them.
pub(crate) struct Reach {
    transport: Arc<Transport>,
    ways: Mutex<Ways>,
    logger: Logger,
}

/// What came of asking by way of other nodes.
enum Relayed {
    Answered(LedgerReply),
    /// They answered, and did not reach the member.
    NotReached,
    /// They did not answer either.
    NoRelay,
}

impl Reach {
    pub(crate) fn new(transport: Arc<Transport>, logger: Logger) -> Self {
        Self { transport, ways: Mutex::default(), logger }
    }

    pub(crate) fn ways(&self) -> MutexGuard<'_, Ways> {
        self.ways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks a member; `None` where no way led to an answer that makes sense. Another node is asked to ask it where it
    /// says nothing for `detour_after`.
    pub(crate) async fn ask(
        &self,
        to: SocketAddr,
        request: &Bytes,
        within: Duration,
        detour_after: Duration,
    ) -> Option<LedgerReply> {
        let now = Instant::now();
        self.ways().asked(now);
        let way = self.ways().way_to(to, now);
        match way {
            Way::DirectOnly => self.directly(to, request, within).await,
            Way::Direct => self.both(to, request, within, detour_after).await,
            Way::Around { probe: false } => self.around(to, request).await,
            Way::Around { probe: true } => self.both(to, request, within, Duration::ZERO).await,
        }
    }

    /// Whether nobody answers this node.
    pub(crate) fn is_isolated(&self) -> bool {
        self.ways().is_isolated(Instant::now())
    }

    /// Returns when nobody answers this node any more, of these members and of those that pass questions on. Where
    /// nobody answered for a moment, all of them are asked: those that the questions under way wait for may be the only
    /// ones that are silent.
    pub(crate) async fn isolated(self: &Arc<Self>, members: &[SocketAddr]) {
        loop {
            if self.ways().all_are_to_be_probed(Instant::now()) {
                tokio::spawn(Arc::clone(self).probe_all(members.to_vec()));
            }
            if self.is_isolated() {
                return;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    async fn probe_all(self: Arc<Self>, members: Vec<SocketAddr>) {
        let question = encode_to_node(RequestKind::Status(true));
        let Some(first) = members.first().copied() else { return };
        let directly = members.iter().map(|member| self.directly(*member, &question, PROBE_WITHIN));
        // Whoever answers is noted where the answer arrives.
        let _ = tokio::join!(join_all(directly), self.by_relays(first, &question, PROBE_WITHIN / 2));
    }

    async fn directly(&self, to: SocketAddr, request: &Bytes, within: Duration) -> Option<LedgerReply> {
        let answer = ask_whole(&self.transport, to, request.clone(), within).await?;
        if self.ways().heard_directly(to, Instant::now()) {
            info!(self.logger, "member reached directly again"; "event" => "way_regained", "member" => %to);
        }
        Some(answer)
    }

    /// Asks directly, and after a time by way of another node too unless the member is only slow. The first answer
    /// counts: a record that arrives twice says nothing new.
    async fn both(
        &self,
        to: SocketAddr,
        request: &Bytes,
        within: Duration,
        detour_after: Duration,
    ) -> Option<LedgerReply> {
        let asked = Instant::now();
        let direct = std::pin::pin!(self.directly(to, request, within));
        let detour = std::pin::pin!(async {
            tokio::time::sleep(detour_after).await;
            if self.ways().was_heard_since(to, asked) {
                return None;
            }
            self.around(to, request).await
        });
        match select(direct, detour).await {
            Either::Left((Some(answer), _)) => Some(answer),
            Either::Left((None, detour)) => detour.await,
            Either::Right((Some(answer), _)) => Some(answer),
            Either::Right((None, direct)) => direct.await,
        }
    }

    async fn around(&self, to: SocketAddr, request: &Bytes) -> Option<LedgerReply> {
        match self.by_relays(to, request, RELAYED_WITHIN).await {
            Relayed::Answered(answer) => {
                if self.ways().heard_around(to, Instant::now()) {
                    info!(self.logger, "member reached around a cut"; "event" => "way_around", "member" => %to);
                }
                Some(answer)
            }
            Relayed::NotReached => {
                self.ways().not_reached(to, Instant::now());
                None
            }
            Relayed::NoRelay => None,
        }
    }

    async fn by_relays(&self, to: SocketAddr, request: &Bytes, within: Duration) -> Relayed {
        let mut outcome = Relayed::NoRelay;
        for _ in 0..RELAYS_A_QUESTION {
            let Some(relay) = self.ways().relay() else { return outcome };
            let question = Relay { to, within, ledger: request.clone() };
            let waiting = within + RELAY_MARGIN;
            match self.transport.request(relay, Request::Relay(question), waiting).await {
                Ok(Response::Ledger(bytes)) => match LedgerReply::decode(bytes) {
                    Ok(answer) => {
                        self.ways().heard_anyone();
                        return Relayed::Answered(answer);
                    }
                    Err(_) => outcome = Relayed::NotReached,
                },
                Ok(_) => {
                    self.ways().heard_anyone();
                    outcome = Relayed::NotReached;
                }
                Err(_) => {}
            }
            self.ways().relay_failed(relay);
        }
        outcome
    }
}
