//! Following the feed of a member of one of the ledger's groups, so that not every node asks the outside store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use slog::{Logger, info};
use sumacdrift_dissemination::{Changes, FollowRequest, Heard, ItemKind, NextSource, SourceChoice};
use sumacdrift_proto::{Request, Response};
use sumacdrift_transport::Transport;
use sumacdrift_types::{Location, Timestamp};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::directory_feed::groups_of;
use crate::member_order::nearest_first;

/// How long a feed may wait for a change. Short, so that a feed that has died is noticed soon, and so that a follower
/// knows how old its configuration is: this is added to the time between two readings of the store.
pub(crate) const FEED_WAIT: Duration = Duration::from_millis(500);
/// How much longer than that an answer is waited for.
const FEED_MARGIN: Duration = Duration::from_millis(300);
/// Time for a later part of everything that a feed holds: many nodes may be told at once.
const PART_TIMEOUT: Duration = Duration::from_secs(1);
/// How long feeds are then asked by way of other nodes before one is asked directly again.
const AROUND_FOR: Duration = Duration::from_secs(2);
/// Pause after an answer that could not wait for a change.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What is done with what was learned.
pub trait FollowerSink: Send + Sync + 'static {
    /// Takes in changes of a feed.
    fn take(&self, changes: Changes);
    /// Takes in what is newer of what a feed without the store holds: the configuration, and evacuations. What is missing
    /// there says nothing.
    fn take_newer(&self, changes: &Changes);
    /// The configuration taken in last was the store's newest at this time.
    fn confirmed(&self, as_of: Instant);
    /// Whether anything is known, from whomever.
    fn knows_anything(&self) -> bool;
    /// Begins to follow the store itself; dropping the set ends it.
    fn follow_store(&self) -> JoinSet<()>;
}

/// Settings of a follower.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Name of this node, by which followers are spread over the feeds.
    pub node: String,
    /// Where it stands; feeds nearby come first.
    pub location: Location,
    /// How long feeds are waited for at the start before the store is turned to.
    pub start_patience: Duration,
}

/// Follows the feeds of the ledger's members.
pub struct Follower {
    settings: FollowerSettings,
    ledger: Arc<LedgerClient>,
    transport: Arc<Transport>,
    sink: Arc<dyn FollowerSink>,
    logger: Logger,
    started: Instant,
    life: u64,
    after: u64,
    source: Option<SocketAddr>,
    store: Option<JoinSet<()>>,
    /// Until when feeds are asked by way of other nodes: none answered this node itself a moment ago.
    around_until: Option<Instant>,
}

impl Follower {
    /// A follower that knows nothing yet.
    pub fn new(
        settings: FollowerSettings,
        ledger: Arc<LedgerClient>,
        transport: Arc<Transport>,
        sink: Arc<dyn FollowerSink>,
        logger: Logger,
    ) -> Self {
        Self {
            settings,
            ledger,
            transport,
            sink,
            logger,
            started: Instant::now(),
            life: 0,
            after: 0,
            source: None,
            store: None,
            around_until: None,
        }
    }

    /// Runs for as long as the process.
    pub async fn run(mut self) {
        let mut choice = SourceChoice::new(self.now(), self.settings.start_patience);
        loop {
            let feeds = self.feeds();
            match choice.next(feeds.len(), self.now()) {
                NextSource::Wait { until } => {
                    let pause = until.since(self.now()).min(RETRY_PAUSE);
                    tokio::time::sleep(pause).await;
                }
                NextSource::Store { until } => {
                    self.turn_to_store();
                    tokio::time::sleep(until.since(self.now())).await;
                }
                NextSource::Feed { place, may_wait } => {
                    let heard = self.ask(feeds[place], may_wait).await;
                    choice.heard(heard);
                    if heard != Heard::Current {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Feeds in the order in which they are asked: each member of a group has one.
    fn feeds(&self) -> Vec<SocketAddr> {
        let map = self.ledger.map();
        let order = nearest_first(&self.settings.location, &self.settings.node, map.members());
        order.into_iter().map(|member| member.address).collect()
    }

    async fn ask(&mut self, feed: SocketAddr, may_wait: bool) -> Heard {
        let wait = if may_wait { FEED_WAIT } else { Duration::ZERO };
        let told = self.ask_by_any_way(feed, wait).await;
        let Some(ToldChanges { changes, configuration_confirmed }) = told else { return self.lost(feed) };
        self.ledger.heard_anyone();
        let heard = if changes.is_current { Heard::Current } else { Heard::Stale };
        let is_same_feed = changes.life == self.life;
        // What a feed without the store holds may be old; it serves only those that know nothing. Of the configuration
        // it says how old it is, and an older one is passed over: nobody waits for a node that hears all of the store.
        if heard == Heard::Stale && !is_same_feed && self.sink.knows_anything() {
            self.sink.take_newer(&changes);
            self.confirmed(configuration_confirmed);
            return heard;
        }
        if heard == Heard::Current {
            self.settled(feed);
        }
        (self.life, self.after) = (changes.life, changes.at);
        if changes.is_whole || !changes.changes.is_empty() {
            self.learn_groups(&changes);
            self.sink.take(changes);
        }
        self.confirmed(configuration_confirmed);
        heard
    }

    /// Asks a feed itself, and by way of another node where it does not answer. A node that is cut off from all members would
    /// else know too little of keys after some seconds, and turn its callers away.
    async fn ask_by_any_way(&mut self, feed: SocketAddr, wait: Duration) -> Option<ToldChanges> {
        let goes_around = self.around_until.is_some_and(|until| until > Instant::now());
        if !goes_around {
            let told = ask_feed(&self.transport, feed, self.life, self.after, wait).await;
            if told.is_some() {
                return told;
            }
        }
        // A node that knows nothing yet would be told everything. Where all nodes start at once, members are late because they
        // tell everybody everything, and to be asked for more of that would keep them so.
        if !self.sink.knows_anything() {
            return None;
        }
        let question = Bytes::from(follow_request(self.life, self.after, wait).encode_to_vec());
        let asked = Instant::now();
        let answer = self.ledger.reach().follow_around(feed, question, wait + FEED_MARGIN).await;
        let told = answer.and_then(|answer| told_changes(answer, asked));
        if told.is_some() && !goes_around {
            info!(self.logger, "feed followed around a cut"; "event" => "feed_around", "feed" => %feed);
            self.around_until = Some(Instant::now() + AROUND_FOR);
        }
        told
    }

    fn confirmed(&self, as_of: Option<Instant>) {
        if let Some(as_of) = as_of {
            self.sink.confirmed(as_of);
        }
    }

    fn learn_groups(&self, changes: &Changes) {
        let items = changes.changes.iter().filter_map(|change| change.item.as_ref());
        for map in items.filter(|item| item.known_kind() == Some(ItemKind::Groups)).filter_map(groups_of) {
            self.ledger.learn_map(&map);
        }
    }

    fn settled(&mut self, feed: SocketAddr) {
        if self.source != Some(feed) {
            info!(self.logger, "following a feed"; "event" => "dependency_regained", "dependency" => "feed",
                "feed" => %feed, "followed_store" => self.store.is_some());
        }
        self.source = Some(feed);
        self.store = None;
    }

    fn lost(&mut self, feed: SocketAddr) -> Heard {
        if self.source == Some(feed) {
            info!(self.logger, "feed lost"; "event" => "dependency_lost", "dependency" => "feed",
                "feed" => %feed, "position" => self.after);
            self.source = None;
        }
        Heard::Nothing
    }

    fn turn_to_store(&mut self) {
        if self.store.is_none() {
            info!(self.logger, "following the store itself"; "event" => "store_followed",
                "knows_anything" => self.sink.knows_anything(), "position" => self.after);
            self.store = Some(self.sink.follow_store());
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }
}

/// What a feed told.
pub(crate) struct ToldChanges {
    /// The changes.
    pub(crate) changes: Changes,
    /// A time at which the configuration that the feed holds was known to be the store's newest.
    pub(crate) configuration_confirmed: Option<Instant>,
}

/// Asks a feed for what it holds behind a position; `None` where no answer came that makes sense.
pub(crate) async fn ask_feed(
    transport: &Transport,
    feed: SocketAddr,
    life: u64,
    after: u64,
    wait: Duration,
) -> Option<ToldChanges> {
    let question = FollowRequest { takes_parts: true, ..follow_request(life, after, wait) };
    let mut told = ask_once(transport, feed, question, wait + FEED_MARGIN).await?;
    while let Some(behind) = told.changes.more_behind.take() {
        let question = FollowRequest {
            part_behind: Some(behind),
            takes_parts: true,
            ..follow_request(told.changes.life, 0, Duration::ZERO)
        };
        let part = ask_once(transport, feed, question, PART_TIMEOUT).await?.changes;
        if part.life != told.changes.life {
            return None;
        }
        // What changed since the first part is told again from its position on.
        told.changes.changes.extend(part.changes);
        told.changes.more_behind = part.more_behind;
    }
    Some(told)
}

async fn ask_once(
    transport: &Transport,
    feed: SocketAddr,
    question: FollowRequest,
    within: Duration,
) -> Option<ToldChanges> {
    let request = Request::Follow(Bytes::from(question.encode_to_vec()));
    let asked = Instant::now();
    match transport.request(feed, request, within).await {
        Ok(Response::Changes(bytes)) => told_changes(bytes, asked),
        _ => None,
    }
}

fn follow_request(life: u64, after: u64, wait: Duration) -> FollowRequest {
    let wait_millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    FollowRequest { life, after, wait_millis, ..FollowRequest::default() }
}

fn told_changes(answer: Bytes, asked: Instant) -> Option<ToldChanges> {
    let changes = Changes::decode(answer).ok()?;
    Some(ToldChanges { configuration_confirmed: confirmed_at(&changes, asked), changes })
}

/// When the configuration told was known to be the newest, by this node's clock. The way there and back may have taken
/// any time, and so may a pause of either process: the answer was made no earlier than it was asked for, and so long
/// afterwards as the feed held the question.
fn confirmed_at(changes: &Changes, asked: Instant) -> Option<Instant> {
    let age = Duration::from_millis(changes.configuration_age_millis?);
    (asked + Duration::from_millis(changes.held_millis)).checked_sub(age)
}
