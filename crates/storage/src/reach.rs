//! Asking one member: directly, and by way of another node where it does not answer this one.

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
enum Relayed<T> {
    Answered(T),
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
        let asked = RelayedQuestion::Ledger(question.clone());
        // Whoever answers is noted where the answer arrives.
        let _ =
            tokio::join!(join_all(directly), self.by_relays(first, asked, PROBE_WITHIN / 2, ledger_reply));
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

    /// Asks a feed by way of other nodes, for an answer that may wait so long.
    pub(crate) async fn follow_around(
        &self,
        to: SocketAddr,
        question: Bytes,
        within: Duration,
    ) -> Option<Bytes> {
        let read = |response| match response {
            Response::Changes(changes) => Some(changes),
            _ => None,
        };
        match self.by_relays(to, RelayedQuestion::Follow(question), within, read).await {
            Relayed::Answered(changes) => Some(changes),
            Relayed::NotReached | Relayed::NoRelay => None,
        }
    }

    async fn around(&self, to: SocketAddr, request: &Bytes) -> Option<LedgerReply> {
        let question = RelayedQuestion::Ledger(request.clone());
        match self.by_relays(to, question, RELAYED_WITHIN, ledger_reply).await {
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

    async fn by_relays<T>(
        &self,
        to: SocketAddr,
        question: RelayedQuestion,
        within: Duration,
        read: impl Fn(Response) -> Option<T>,
    ) -> Relayed<T> {
        let mut outcome = Relayed::NoRelay;
        for _ in 0..RELAYS_A_QUESTION {
            let Some(relay) = self.ways().relay() else { return outcome };
            let asked = Relay { to, within, question: question.clone() };
            let waiting = within + RELAY_MARGIN;
            if let Ok(response) = self.transport.request(relay, Request::Relay(asked), waiting).await {
                self.ways().heard_anyone();
                match read(response) {
                    Some(answer) => return Relayed::Answered(answer),
                    None => outcome = Relayed::NotReached,
                }
            }
            self.ways().relay_failed(relay);
        }
        outcome
    }
}

/// A replica's answer that was passed on.
fn ledger_reply(response: Response) -> Option<LedgerReply> {
    match response {
        Response::Ledger(bytes) => LedgerReply::decode(bytes).ok(),
        _ => None,
    }
}
