//! Headers that concern one connection only.

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers of one connection, besides those that `Connection` names.
const OF_CONNECTION: [HeaderName; 9] = [
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

/// Headers that travel along: all but those of the connection. The length of a body is set anew.
pub fn forwardable(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|name| HeaderName::try_from(name.trim()).ok()) {
            forwarded.remove(name);
        }
    }
    for name in &OF_CONNECTION {
        forwarded.remove(name);
    }
    forwarded.remove(KEEP_ALIVE);
    forwarded
}

/// Whether the connection ends with this message.
pub(crate) fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut names = values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// Seconds for which the peer keeps a resting connection, where it says so.
pub(crate) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
