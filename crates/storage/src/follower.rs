//! Follower of the feeds of the ledger's members, so that not every node queries the outside store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use slog::{Logger, info};
use sumacdrift_dissemination::{Changes, FeedOutcome, FollowRequest, ItemKind, NextSource, SourceChoice};
use sumacdrift_proto::{Request, Response};
use sumacdrift_transport::Transport;
use sumacdrift_types::{Location, Timestamp};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::clock::to_millis;
use crate::directory_feed::decode_groups;
use crate::member_order::nearest_first;

/// How long a feed may hold a follow request. Short, so that a dead feed is noticed soon; it also adds to the
/// uncertainty about the age of the configuration.
pub(crate) const FEED_WAIT: Duration = Duration::from_millis(500);
/// Additional time to wait for the reply.
const FEED_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);
/// Timeout of a further part of a full snapshot: many nodes may be served at once.
const PART_TIMEOUT: Duration = Duration::from_secs(1);
/// How long feeds are asked through relays before one is asked directly again.
const RELAY_DURATION: Duration = Duration::from_secs(2);
/// Pause after a reply that returned at once without changes.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Consumer of what a follower learns.
pub trait FollowerSink: Send + Sync + 'static {
    /// Applies changes of a feed.
    fn apply(&self, changes: Changes);
    /// Applies the newer configuration and evacuations of a feed without contact to the store. Items missing
    /// there are not deleted.
    fn apply_newer(&self, changes: &Changes);
    /// Records that the configuration applied last was the newest in the store at this time.
    fn record_confirmation(&self, as_of: Instant);
    /// Records that all requests in quarantine and suspects that a feed knows now are applied.
    fn record_current_changes(&self);
    /// Records that the applied engines were all those of the store at this time, as far as a feed in contact with the store
    /// knew.
    fn record_current_engines(&self, as_of: Instant);
    /// Whether any data was received, from a feed or the store.
    fn has_data(&self) -> bool;
    /// Starts to follow the store itself; dropping the set ends it.
    fn follow_store(&self) -> JoinSet<()>;
}

/// Settings of a [`Follower`].
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Name of this node, by which followers are spread over the feeds.
    pub node: String,
    /// Location of this node; near feeds are preferred.
    pub location: Location,
    /// How long to wait for feeds at the start before the store is followed.
    pub start_timeout: Duration,
}

/// Follows the feeds of the ledger's members.
pub struct Follower {
    settings: FollowerSettings,
    ledger: Arc<LedgerClient>,
    transport: Arc<Transport>,
    sink: Arc<dyn FollowerSink>,
    logger: Logger,
    started: Instant,
    incarnation: u64,
    after: u64,
    source: Option<SocketAddr>,
    store: Option<JoinSet<()>>,
    /// Until when feeds are asked through relays, after none replied directly.
    relay_until: Option<Instant>,
}

impl Follower {
    /// Creates a follower without data.
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
            incarnation: 0,
            after: 0,
            source: None,
            store: None,
            relay_until: None,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut choice = SourceChoice::new(self.now(), self.settings.start_timeout);
        loop {
            let feeds = self.feeds();
            match choice.next(feeds.len(), self.now()) {
                NextSource::Wait { until } => {
                    let pause = until.since(self.now()).min(RETRY_PAUSE);
                    tokio::time::sleep(pause).await;
                }
                NextSource::Store { until } => {
                    self.start_following_store();
                    tokio::time::sleep(until.since(self.now())).await;
                }
                NextSource::Feed { index, may_wait } => {
                    let outcome = self.ask_feed_and_apply(feeds[index], may_wait).await;
                    choice.record_outcome(outcome);
                    if outcome != FeedOutcome::Current {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Feeds in order of preference; each member of a group has one.
    fn feeds(&self) -> Vec<SocketAddr> {
        let map = self.ledger.map();
        let order = nearest_first(&self.settings.location, &self.settings.node, map.members());
        order.into_iter().map(|member| member.address).collect()
    }

    async fn ask_feed_and_apply(&mut self, feed: SocketAddr, may_wait: bool) -> FeedOutcome {
        let wait = if may_wait { FEED_WAIT } else { Duration::ZERO };
        let reply = self.request_with_fallback(feed, wait).await;
        let Some(FeedReply { changes, made_at, configuration_confirmed }) = reply else {
            return self.mark_lost(feed);
        };
        self.ledger.record_any_reply();
        let outcome = if changes.is_current { FeedOutcome::Current } else { FeedOutcome::Stale };
        let is_same_feed = changes.incarnation == self.incarnation;
        // A feed without contact to the store may be stale; it is followed only by nodes without data. Its
        // configuration comes with its age and is applied if it is newer, without waiting for a feed that is
        // current.
        if outcome == FeedOutcome::Stale && !is_same_feed && self.sink.has_data() {
            self.sink.apply_newer(&changes);
            self.sink.record_current_changes();
            self.report_confirmation(configuration_confirmed);
            return outcome;
        }
        if outcome == FeedOutcome::Current {
            self.record_current_feed(feed);
        }
        (self.incarnation, self.after) = (changes.incarnation, changes.at);
        if changes.is_full || !changes.changes.is_empty() {
            self.adopt_groups(&changes);
            self.sink.apply(changes);
        }
        self.sink.record_current_changes();
        if outcome == FeedOutcome::Current {
            self.sink.record_current_engines(made_at);
        }
        self.report_confirmation(configuration_confirmed);
        outcome
    }

    /// Asks a feed directly, and through a relay if it does not reply. Otherwise the configuration of a
    /// node that is partitioned from all members would become too old to check keys after some seconds, and
    /// the node would reject its callers.
    async fn request_with_fallback(&mut self, feed: SocketAddr, wait: Duration) -> Option<FeedReply> {
        let uses_relay = self.relay_until.is_some_and(|until| until > Instant::now());
        if !uses_relay {
            let reply = follow_feed(&self.transport, feed, self.follow_request(wait)).await;
            if reply.is_some() {
                return reply;
            }
        }
        // A node without data would be sent a full snapshot. When all nodes start at once, members are
        // late because they serve snapshots to all, and relayed requests would add to that load.
        if !self.sink.has_data() {
            return None;
        }
        let request = Bytes::from(self.follow_request(wait).encode_to_vec());
        let sent_at = Instant::now();
        let answer =
            self.ledger.member_client().follow_via_relay(feed, request, wait + FEED_TIMEOUT_MARGIN).await;
        let reply = answer.and_then(|answer| decode_reply(answer, sent_at));
        if reply.is_some() && !uses_relay {
            info!(self.logger, "following a feed through a relay"; "event" => "feed_around", "feed" => %feed);
            self.relay_until = Some(Instant::now() + RELAY_DURATION);
        }
        reply
    }

    fn follow_request(&self, wait: Duration) -> FollowRequest {
        FollowRequest { is_edge: true, ..follow_request(self.incarnation, self.after, wait) }
    }

    fn report_confirmation(&self, as_of: Option<Instant>) {
        if let Some(as_of) = as_of {
            self.sink.record_confirmation(as_of);
        }
    }

    fn adopt_groups(&self, changes: &Changes) {
        let items = changes.changes.iter().filter_map(|change| change.item.as_ref());
        for map in items.filter(|item| item.known_kind() == Some(ItemKind::Groups)).filter_map(decode_groups)
        {
            self.ledger.adopt_map(&map);
        }
    }

    fn record_current_feed(&mut self, feed: SocketAddr) {
        if self.source != Some(feed) {
            info!(self.logger, "following a feed"; "event" => "dependency_regained", "dependency" => "feed",
                "feed" => %feed, "followed_store" => self.store.is_some());
        }
        self.source = Some(feed);
        self.store = None;
    }

    fn mark_lost(&mut self, feed: SocketAddr) -> FeedOutcome {
        if self.source == Some(feed) {
            info!(self.logger, "feed lost"; "event" => "dependency_lost", "dependency" => "feed",
                "feed" => %feed, "position" => self.after);
            self.source = None;
        }
        FeedOutcome::NoResponse
    }

    fn start_following_store(&mut self) {
        if self.store.is_none() {
            info!(self.logger, "following the store directly"; "event" => "store_followed",
                "knows_anything" => self.sink.has_data(), "position" => self.after);
            self.store = Some(self.sink.follow_store());
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }
}

/// Decoded reply of a feed.
pub(crate) struct FeedReply {
    pub(crate) changes: Changes,
    /// Time before which the reply was not made, by the clock of this node.
    pub(crate) made_at: Instant,
    /// A time at which the configuration of the feed was known to be the newest in the store.
    pub(crate) configuration_confirmed: Option<Instant>,
}

/// Asks a feed for its changes, in as many parts as needed; `None` if there was no decodable
/// reply in time.
pub(crate) async fn follow_feed(
    transport: &Transport,
    feed: SocketAddr,
    request: FollowRequest,
) -> Option<FeedReply> {
    let request = FollowRequest { takes_parts: true, ..request };
    let wait = Duration::from_millis(request.wait_millis);
    let mut reply = request_part(transport, feed, request, wait + FEED_TIMEOUT_MARGIN).await?;
    while let Some(last_item) = reply.changes.last_item_of_part.take() {
        let request = FollowRequest {
            part_behind: Some(last_item),
            takes_parts: true,
            ..follow_request(reply.changes.incarnation, 0, Duration::ZERO)
        };
        let part = request_part(transport, feed, request, PART_TIMEOUT).await?.changes;
        if part.incarnation != reply.changes.incarnation {
            return None;
        }
        // Changes made since the first part follow from its position on.
        reply.changes.changes.extend(part.changes);
        reply.changes.last_item_of_part = part.last_item_of_part;
    }
    Some(reply)
}

async fn request_part(
    transport: &Transport,
    feed: SocketAddr,
    request: FollowRequest,
    within: Duration,
) -> Option<FeedReply> {
    let message = Request::Follow(Bytes::from(request.encode_to_vec()));
    let sent_at = Instant::now();
    match transport.request(feed, message, within).await {
        Ok(Response::Changes(bytes)) => decode_reply(bytes, sent_at),
        _ => None,
    }
}

/// Asks for the changes after a position.
pub(crate) fn follow_request(incarnation: u64, after: u64, wait: Duration) -> FollowRequest {
    let wait_millis = to_millis(wait);
    FollowRequest { incarnation, after, wait_millis, ..FollowRequest::default() }
}

fn decode_reply(answer: Bytes, sent_at: Instant) -> Option<FeedReply> {
    let changes = Changes::decode(answer).ok()?;
    // Network delays and process pauses are unbounded: the reply was made no earlier than the request was sent plus the
    // time that the feed held it.
    let made_at = sent_at + Duration::from_millis(changes.held_millis);
    Some(FeedReply { configuration_confirmed: confirmed_at(&changes, made_at), made_at, changes })
}

/// When the configuration was known to be the newest, by the clock of this node.
fn confirmed_at(changes: &Changes, made_at: Instant) -> Option<Instant> {
    let age = Duration::from_millis(changes.configuration_age_millis?);
    made_at.checked_sub(age)
}
