//! Requests in quarantine as feed items, by which they reach every edge.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use sumacdrift_calls::RequestFingerprint;
use sumacdrift_dissemination::{Item, ItemKind};
use sumacdrift_ledger::{QuarantineNotice, SuspectNotice};
use sumacdrift_quarantine::{
    CRASH_RETENTION, Certainty, QUARANTINE_TIME, QuarantinedRequest, SUSPICION_TIME, SuspectRequest,
};
use tokio::time::Instant;

use crate::clock::{to_millis, unix_millis};
use crate::feed_host::FeedHost;

/// Items of this kind never change, so they need no revisions.
const REVISION: u64 = 1;

impl FeedHost {
    /// Adds a request to the quarantine. `unix_millis` is the current Unix time.
    pub(crate) fn quarantine(&self, notice: QuarantineNotice, unix_millis: u64) {
        let expires = unix_millis.saturating_add(notice.remaining_millis);
        let item = item(&item_name(&announced_request(&notice), expires), expires);
        self.recent_quarantine().add(std::iter::once(&item), unix_millis);
        self.put(item);
    }

    /// Adds a request for which one more crash reaches the limit. `unix_millis` is the current Unix time.
    pub(crate) fn announce_suspect(&self, notice: &SuspectNotice, unix_millis: u64) {
        let expires = unix_millis.saturating_add(notice.remaining_millis);
        let name = format!("{}{SUSPECT_SEPARATOR}{expires:x}", RequestFingerprint(notice.request));
        self.put(item(&name, expires));
    }
}

impl FeedHost {
    /// Announces that attempts may have been lost together with an edge. `unix_millis` is the current Unix time.
    fn announce_lost_edge(&self, unix_millis: u64) {
        let expires = unix_millis.saturating_add(to_millis(CRASH_RETENTION));
        // Rounded up: edges that are lost together share an item.
        let expires = expires.div_ceil(MILLIS_PER_SECOND).saturating_mul(MILLIS_PER_SECOND);
        self.put(item(&format!("{LOST_EDGE_PREFIX}{expires:x}"), expires));
    }
}

/// A follow request that has not been answered. If it is dropped before, the follower has closed its connection, as a process
/// does that is killed.
pub(crate) struct PendingFollow<'a> {
    feed: &'a FeedHost,
    is_edge: bool,
}

impl<'a> PendingFollow<'a> {
    pub(crate) fn new(feed: &'a FeedHost, is_edge: bool) -> Self {
        Self { feed, is_edge }
    }

    pub(crate) fn finish(mut self) {
        self.is_edge = false;
    }
}

impl Drop for PendingFollow<'_> {
    fn drop(&mut self) {
        if self.is_edge {
            self.feed.announce_lost_edge(unix_millis());
        }
    }
}

/// An item that expires at this Unix time in milliseconds.
fn item(name: &str, expires: u64) -> Item {
    Item::new(ItemKind::Quarantine, name, Bytes::copy_from_slice(&expires.to_be_bytes()), REVISION)
}

/// How long replies announce a request. Exceeds the time in which a follower gives up a feed that hangs.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);
/// Requests that one reply announces.
const MAX_ANNOUNCED: usize = 16;

/// Requests that were put in quarantine recently.
#[derive(Default)]
pub(crate) struct RecentQuarantine(VecDeque<AnnouncedRequest>);

struct AnnouncedRequest {
    since: Instant,
    notice: QuarantineNotice,
}

impl RecentQuarantine {
    /// Adds the new requests among the items of a feed. `unix_millis` is the current Unix time.
    pub(crate) fn add<'a>(&mut self, items: impl Iterator<Item = &'a Item>, unix_millis: u64) {
        for quarantined in items.filter_map(|item| quarantined_request(item, unix_millis)) {
            let is_new = quarantined.remaining + ANNOUNCEMENT_TIME > total_time(quarantined.certainty);
            let notice = quarantine_notice(quarantined);
            let is_same = |announced: &AnnouncedRequest| {
                announced.notice.request == notice.request
                    && announced.notice.is_suspicion == notice.is_suspicion
            };
            if is_new && !self.0.iter().any(is_same) {
                self.0.push_back(AnnouncedRequest { since: Instant::now(), notice });
            }
        }
    }

    /// Requests to announce now.
    pub(crate) fn announced(&mut self) -> Vec<QuarantineNotice> {
        while self.0.front().is_some_and(|first| first.since.elapsed() > ANNOUNCEMENT_TIME) {
            self.0.pop_front();
        }
        self.0.iter().rev().take(MAX_ANNOUNCED).map(|announced| announced.notice.clone()).collect()
    }
}

/// Encodes a request in quarantine for a message.
pub(crate) fn quarantine_notice(quarantined: QuarantinedRequest) -> QuarantineNotice {
    let remaining_millis = to_millis(quarantined.remaining);
    let is_suspicion = quarantined.certainty == Certainty::Suspected;
    QuarantineNotice { request: quarantined.request.0, remaining_millis, is_suspicion }
}

/// Decodes an announcement.
pub(crate) fn announced_request(notice: &QuarantineNotice) -> QuarantinedRequest {
    let remaining = Duration::from_millis(notice.remaining_millis);
    let certainty = if notice.is_suspicion { Certainty::Suspected } else { Certainty::Confirmed };
    QuarantinedRequest { request: RequestFingerprint(notice.request), certainty, remaining }
}

fn total_time(certainty: Certainty) -> Duration {
    match certainty {
        Certainty::Observed | Certainty::Suspected => SUSPICION_TIME,
        Certainty::Confirmed => QUARANTINE_TIME,
    }
}

/// Separates the fingerprint in an item's name from the time until which a suspicion is announced.
const SUSPICION_SEPARATOR: char = '-';

/// The same in the name of a request for which one more crash reaches the limit, which is not in quarantine.
const SUSPECT_SEPARATOR: char = '+';

/// Begins the name of an item which says that attempts may have been lost together with an edge.
const LOST_EDGE_PREFIX: char = '*';
const MILLIS_PER_SECOND: u64 = 1_000;

/// An item never changes, so a suspicion that is renewed needs a new name. Earlier builds ignore names that are no
/// fingerprint.
fn item_name(quarantined: &QuarantinedRequest, expires: u64) -> String {
    match quarantined.certainty {
        Certainty::Observed | Certainty::Suspected => {
            format!("{}{SUSPICION_SEPARATOR}{expires:x}", quarantined.request)
        }
        Certainty::Confirmed => quarantined.request.to_string(),
    }
}

/// Decodes an item of kind [`ItemKind::Quarantine`]; `None` if it is malformed. `unix_millis` is the current Unix time.
pub fn quarantined_request(item: &Item, unix_millis: u64) -> Option<QuarantinedRequest> {
    let (request, certainty) = match item.name.split_once(SUSPICION_SEPARATOR) {
        Some((request, _)) => (request, Certainty::Suspected),
        None => (&*item.name, Certainty::Confirmed),
    };
    let request = u64::from_str_radix(request, 16).ok()?;
    let remaining = remaining_time(item, unix_millis)?;
    Some(QuarantinedRequest { request: RequestFingerprint(request), certainty, remaining })
}

/// Decodes an item of the same kind that announces a request for which one more crash reaches the limit; `None` for others.
pub fn suspect_request(item: &Item, unix_millis: u64) -> Option<SuspectRequest> {
    let (request, _) = item.name.split_once(SUSPECT_SEPARATOR)?;
    let request = u64::from_str_radix(request, 16).ok()?;
    let remaining = remaining_time(item, unix_millis)?;
    Some(SuspectRequest { request: RequestFingerprint(request), remaining })
}

/// Decodes an item of the same kind which says that attempts may have been lost together with an edge; `None` for others.
/// Returns for how long that counts.
pub fn lost_edge(item: &Item, unix_millis: u64) -> Option<Duration> {
    item.name.strip_prefix(LOST_EDGE_PREFIX)?;
    remaining_time(item, unix_millis)
}

fn remaining_time(item: &Item, unix_millis: u64) -> Option<Duration> {
    let expires = u64::from_be_bytes(item.content.as_ref().try_into().ok()?);
    Some(Duration::from_millis(expires.saturating_sub(unix_millis)))
}
