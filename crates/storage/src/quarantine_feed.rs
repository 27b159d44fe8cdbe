//! Requests in quarantine as feed items, by which they reach every edge.

use std::time::Duration;

use bytes::Bytes;
use sumacdrift_calls::RequestFingerprint;
use sumacdrift_dissemination::{Item, ItemKind};
use sumacdrift_ledger::QuarantineNotice;
use sumacdrift_quarantine::QuarantinedRequest;

use crate::feed_host::FeedHost;

/// Items of this kind never change, so they need no revisions.
const REVISION: u64 = 1;

impl FeedHost {
    /// Adds a request to the quarantine. `unix_millis` is the current Unix time.
    pub(crate) fn quarantine(&self, notice: QuarantineNotice, unix_millis: u64) {
        let expires = unix_millis.saturating_add(notice.remaining_millis);
        let name = RequestFingerprint(notice.request).to_string();
        let content = Bytes::copy_from_slice(&expires.to_be_bytes());
        self.put(Item::new(ItemKind::Quarantine, &name, content, REVISION));
    }
}

/// Decodes an item of kind [`ItemKind::Quarantine`]; `None` if it is malformed. `unix_millis` is the current Unix time.
pub fn quarantined_request(item: &Item, unix_millis: u64) -> Option<QuarantinedRequest> {
    let request = u64::from_str_radix(&item.name, 16).ok()?;
    let expires = u64::from_be_bytes(item.content.as_ref().try_into().ok()?);
    let remaining = Duration::from_millis(expires.saturating_sub(unix_millis));
    Some(QuarantinedRequest { request: RequestFingerprint(request), remaining })
}
