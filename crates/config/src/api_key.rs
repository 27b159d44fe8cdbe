//! API keys, stored as hashes only.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

const HASH_BYTES: usize = 32;

/// SHA-256 of an API key. API keys are long random strings, so they don't need a slow password hash, which would
/// delay each call.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ApiKeyHash([u8; HASH_BYTES]);

impl ApiKeyHash {
    /// Hashes a key in the form in which callers send it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl FromStr for ApiKeyHash {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if text.len() != HASH_BYTES * 2 || !text.is_ascii() {
            return Err(());
        }
        let mut bytes = [0_u8; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ())?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for ApiKeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ApiKeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
