//! The replicated program ledger: replicas on nodes with a disk, and the client that other nodes use.
//!
//! A replica acknowledges a request once its records are durable ([`ReplicaHost`]). [`GroupMaintenance`] founds the
//! group, joins it, catches up and leaves it. [`LedgerClient`] sends requests to a majority of the members,
//! hedges late ones, and falls back to a relay ([`RelayHost`]) where it cannot reach a member itself. Group
//! membership is stored behind the [`GroupDirectory`] port.

mod begin_turn;
mod catch_up;
mod chain_search;
mod circuit_breaker;
mod client;
mod clock;
mod crash_client;
mod crash_host;
mod directory;
mod directory_feed;
mod feed_host;
mod feed_peers;
mod follower;
mod group_maintenance;
mod group_request;
mod handover;
mod host;
mod host_metrics;
mod known_map;
mod member_answers;
mod member_client;
mod member_order;
mod member_selection;
mod member_watcher;
mod pending_commit;
mod planned_stop;
mod quarantine_feed;
mod quota_client;
mod quota_host;
mod relay_host;
mod report_board;
mod retry_budget;
mod routes;
mod rpc;
mod snapshot_progress;
mod turn_expiry;
mod zone_boards;

pub use begin_turn::{Admission, BeginTurn, LedgerError, LedgerTimeouts};
pub use client::LedgerClient;
pub use clock::unix_millis;
pub use crash_client::{CrashClient, KnownCrashes};
pub use directory::{
    DirectoryError, DirectoryFuture, DirectoryView, GroupDirectory, Registration, Retirement, Revision,
    StoredMap,
};
pub use feed_host::{CONFIRMATION_NOTIFY_AGE, FeedHost};
pub use feed_peers::{PeerFeeds, StoreFollowers};
pub use follower::{Follower, FollowerSettings, FollowerSink};
pub use group_maintenance::{GroupMaintenance, GroupMaintenanceSettings};
pub use host::{HostSettings, OpenError, ReplicaHost};
pub use host_metrics::HostMetrics;
pub use planned_stop::prepare_planned_stop;
pub use quarantine_feed::{lost_edge, quarantined_request, suspect_request};
pub use quota_client::{QuotaClient, QuotaOutcome};
pub use quota_host::report_quotas;
pub use relay_host::RelayHost;
pub use report_board::ViewSink;
pub use zone_boards::exchange_board_reports;
