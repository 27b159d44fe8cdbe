//! Merges the feeds of other nodes, so that a node learns what they hear even while its own watch of the
//! store is silent.
//!
//! A store may leave a watch without an answer, which looks like a store without changes. Nodes that follow
//! the store therefore follow each other's feeds too; of each item the newest revision counts. Other nodes
//! with a feed fill it from a few of these, so that few nodes query the store and many can serve followers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use sumacdrift_dissemination::Changes;
use sumacdrift_ledger::Member;
use sumacdrift_transport::Transport;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::feed_host::FeedHost;
use crate::follower::{FEED_WAIT, follow_feed, follow_request};
use crate::member_order::by_key;

/// Number of feeds merged by a node that does not follow the store itself. More than one, as an unresponsive
/// feed is noticed only after a second.
const SOURCES: usize = 2;
/// Interval at which the set of sources is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a feed that did not reply is avoided while other feeds are available.
const AVOID_DURATION: Duration = Duration::from_secs(2);
/// Pause after a reply that returned at once without changes.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Returns the nodes that follow the store themselves.
pub type StoreFollowers = Arc<dyn Fn() -> Vec<Member> + Send + Sync>;

/// Fills the feed of a node from the feeds of other nodes.
#[allow(missing_docs)]
pub struct PeerFeeds {
    /// Name of this node.
    pub node: String,
    /// Feed to fill.
    pub feed: Arc<FeedHost>,
    pub transport: Arc<Transport>,
    pub store_followers: StoreFollowers,
    pub logger: Logger,
}

impl PeerFeeds {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut sources: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
        let mut avoided: HashMap<SocketAddr, Instant> = HashMap::new();
        loop {
            let now = Instant::now();
            avoided.retain(|_, until| *until > now);
            sources.retain(|address, source| {
                let has_ended = source.is_finished();
                if has_ended {
                    avoided.insert(*address, now + AVOID_DURATION);
                }
                !has_ended
            });
            let wanted_sources = self.wanted_sources(&avoided);
            sources.retain(|address, source| {
                let is_needed = wanted_sources.contains(address);
                if !is_needed {
                    source.abort();
                }
                is_needed
            });
            for address in wanted_sources {
                sources.entry(address).or_insert_with(|| self.merge_feed(address));
            }
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }

    /// Feeds to merge: those of all store followers for a node that follows the store itself, [`SOURCES`] of them
    /// for any other node.
    fn wanted_sources(&self, avoided: &HashMap<SocketAddr, Instant>) -> Vec<SocketAddr> {
        let followers = (self.store_followers)();
        let follows_store = followers.iter().any(|member| member.node == self.node);
        let mut others = by_key(&self.node, &followers);
        others.retain(|member| member.node != self.node);
        if !follows_store {
            // The stable sort puts feeds that replied recently first.
            others.sort_by_key(|member| avoided.contains_key(&member.address));
            others.truncate(SOURCES);
        }
        others.into_iter().map(|member| member.address).collect()
    }

    /// Merges one feed until it does not reply.
    fn merge_feed(&self, source: SocketAddr) -> JoinHandle<()> {
        let (feed, transport, logger) =
            (Arc::clone(&self.feed), Arc::clone(&self.transport), self.logger.clone());
        tokio::spawn(async move {
            let mut lost = RemovePeerOnDrop { feed: Arc::clone(&feed), incarnation: 0 };
            let mut after = 0;
            let request = |incarnation, after| follow_request(incarnation, after, FEED_WAIT);
            while let Some(reply) = follow_feed(&transport, source, request(lost.incarnation, after)).await {
                let changes = &reply.changes;
                if lost.incarnation == 0 {
                    info!(logger, "merging the feed of a peer"; "event" => "peer_feed", "feed" => %source,
                        "hears_store" => changes.hears_store);
                }
                let has_changes = changes.is_full || !changes.changes.is_empty();
                let hears_store = changes.hears_store;
                lost.update_incarnation(changes);
                after = changes.at;
                feed.merge(reply);
                if !hears_store && !has_changes {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            info!(logger, "feed of a peer lost"; "event" => "peer_feed_lost", "feed" => %source,
                "position" => after);
        })
    }
}

/// Reports a feed as lost when its task ends or is aborted.
struct RemovePeerOnDrop {
    feed: Arc<FeedHost>,
    incarnation: u64,
}

impl RemovePeerOnDrop {
    /// Notes the incarnation of the feed that a reply came from; a restarted feed counts as lost and found again.
    fn update_incarnation(&mut self, changes: &Changes) {
        if self.incarnation != changes.incarnation && self.incarnation != 0 {
            self.feed.remove_peer(self.incarnation);
        }
        self.incarnation = changes.incarnation;
    }
}

impl Drop for RemovePeerOnDrop {
    fn drop(&mut self) {
        self.feed.remove_peer(self.incarnation);
    }
}
