//! API keys of callers. They never appear in logs, metrics or errors.

use std::fmt;

use rand::RngCore;
use zeroize::Zeroizing;

/// An API key. Its memory is zeroed on drop.
#[derive(Clone)]
pub struct ApiKey(Zeroizing<String>);

impl ApiKey {
    /// Copies `text` into memory that is zeroed on drop.
    pub fn new(text: &str) -> Self {
        Self(Zeroizing::new(text.to_owned()))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

/// Keyed hash of an API key; digests are compared in constant time.
pub(crate) type KeyDigest = blake3::Hash;

/// Hashes keys with a random secret per table, so that a leaked digest reveals nothing about a key.
#[derive(Clone)]
pub(crate) struct KeyDigester(Zeroizing<[u8; blake3::KEY_LEN]>);

impl KeyDigester {
    pub(crate) fn with_random_secret() -> Self {
        let mut secret = Zeroizing::new([0; blake3::KEY_LEN]);
        rand::rng().fill_bytes(&mut *secret);
        Self(secret)
    }

    pub(crate) fn digest(&self, key: &ApiKey) -> KeyDigest {
        blake3::keyed_hash(&self.0, key.0.as_bytes())
    }
}
