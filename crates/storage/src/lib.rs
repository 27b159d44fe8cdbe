//! The program ledger over the network: replicas on nodes with a disk, and the client that other nodes use.
//!
//! A replica answers once its records are durable ([`ReplicaHost`]); [`Upkeep`] founds the group, joins it, catches
//! up and leaves it. [`LedgerClient`] asks a majority of the members, more where those are late, and by way of another
//! node where a cut lies between ([`RelayHost`] is that node's side). Where groups are agreed on stands behind the
//! [`GroupDirectory`] port.

mod asking;
mod begin_turn;
mod boards;
mod catch_up;
mod chain_search;
mod client;
mod clock;
mod directory;
mod directory_feed;
mod feed_host;
mod feed_peers;
mod follower;
mod group_gate;
mod host;
mod known_map;
mod leave;
mod member_answers;
mod member_order;
mod member_watcher;
mod news;
mod offer_seat;
mod quota_client;
mod quota_host;
mod reach;
mod relay_host;
mod retry_budget;
mod rpc;
mod suspects;
mod upkeep;
mod ways;

pub use begin_turn::{Admission, BeginTurn, LedgerError, LedgerTimeouts};
pub use boards::tell_boards;
pub use client::LedgerClient;
pub use clock::wall_millis;
pub use directory::{
    DirectoryError, DirectoryFuture, DirectoryView, GroupDirectory, Registration, Retirement, Revision,
    StoredMap,
};
pub use feed_host::{CONFIRMATION_AWAITED_AFTER, FeedHost};
pub use feed_peers::{PeerFeeds, StoreFollowers};
pub use follower::{Follower, FollowerSettings, FollowerSink};
pub use host::{HostMetrics, HostSettings, OpenError, ReplicaHost};
pub use news::ViewSink;
pub use offer_seat::offer_seat;
pub use quota_client::{QuotaClient, QuotaOutcome};
pub use quota_host::report_quotas;
pub use relay_host::RelayHost;
pub use upkeep::{Upkeep, UpkeepSettings};
