//! Identifiers as distinct types, so that they can't be confused with each other.

use std::fmt;
use std::sync::Arc;

use rand::RngCore;
use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 128;

/// The name is empty, longer than 128 bytes, or contains a character outside `A-Z a-z 0-9 . _ : -`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a name has 1 to {MAX_NAME_BYTES} characters out of A-Z a-z 0-9 . _ : - and this one does not")]
pub struct InvalidName;

fn validate_name(text: &str) -> Result<(), InvalidName> {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    if has_valid_length && text.bytes().all(is_allowed) { Ok(()) } else { Err(InvalidName) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a name; [`InvalidName`] states the rules.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                validate_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The validated name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:?}", &*self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

name_type!(
    /// Name of a program, a chain of dependent calls; chosen by the caller.
    ProgramId
);
name_type!(
    /// Name of a tenant, which owns API keys, limits and budgets.
    TenantName
);
name_type!(
    /// Name of a pool of engines that serve the same models.
    PoolName
);
name_type!(
    /// Name of a model, as used by callers.
    ModelName
);
name_type!(
    /// Name of an engine, unique within the configuration.
    EngineName
);
name_type!(
    /// Name of a plain HTTP service to which requests are forwarded.
    ServiceName
);
name_type!(
    /// Name of a priority class.
    PriorityName
);
name_type!(
    /// Name of a zone, a failure domain within a region.
    ZoneName
);
name_type!(
    /// Name of a region, a group of nearby zones.
    RegionName
);
name_type!(
    /// Key by which a caller marks repetitions of a request.
    IdempotencyKey
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

number_type!(
    /// Number of a node, from its settings file.
    NodeId, u32
);
number_type!(
    /// One run of a node's process: drawn at each start, larger for later starts.
    Incarnation, u64
);
number_type!(
    /// A partition of the programs, replicated as one group.
    ShardId, u32
);
number_type!(
    /// Zero-based position of a call within its program.
    TurnNumber, u32
);
number_type!(
    /// Version of the configuration, strictly increasing.
    Generation, u64
);

impl TurnNumber {
    /// The following turn.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies a call accepted by a gateway; unique across the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u128);

impl CallId {
    /// Draws a random id.
    pub fn random(source: &mut dyn RngCore) -> Self {
        let high = u128::from(source.next_u64());
        let low = u128::from(source.next_u64());
        Self(high << u64::BITS | low)
    }

    /// The high and the low half, as carried by the internal protocol.
    pub fn to_halves(self) -> [u64; 2] {
        [(self.0 >> u64::BITS) as u64, self.0 as u64]
    }

    /// Inverse of [`Self::to_halves`].
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self(u128::from(high) << u64::BITS | u128::from(low))
    }

    /// Parses the hexadecimal form written by `Display`; `None` if `text` is not a hexadecimal number.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
