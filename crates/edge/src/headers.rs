//! Hop-by-hop headers.

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that are always removed, in addition to `Keep-Alive` and those listed in `Connection`.
const REMOVED_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Copies the headers without the hop-by-hop ones, `Content-Length` and `Expect`. The HTTP library sets the body
/// length again.
pub fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|name| HeaderName::try_from(name.trim()).ok()) {
            forwarded.remove(name);
        }
    }
    for name in &REMOVED_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(KEEP_ALIVE);
    forwarded
}

pub(crate) fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut names = values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// The `timeout` parameter of `Keep-Alive`, in seconds, if present.
pub(crate) fn keep_alive_timeout_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
