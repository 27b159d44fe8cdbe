//! Identifiers as distinct types, so that one kind is never passed where another is meant.

use std::fmt;
use std::sync::Arc;

use rand::RngCore;
use serde::{Deserialize, Serialize};

/// Longest name accepted for any textual identifier, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A textual identifier was empty, too long, or held a character outside `A-Z a-z 0-9 . _ : -`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a name has 1 to {MAX_NAME_BYTES} characters out of A-Z a-z 0-9 . _ : - and this one does not")]
pub struct InvalidName;

fn validate_name(text: &str) -> Result<(), InvalidName> {
    let length_fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    if length_fits && text.bytes().all(allowed) { Ok(()) } else { Err(InvalidName) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks the text against the rules for names.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                validate_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
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
    /// A program: a chain of dependent calls chosen by the caller.
    ProgramId
);
name_type!(
    /// A tenant: the owner of API keys, limits and budgets.
    TenantName
);
name_type!(
    /// A pool of model engines that serve the same models.
    PoolName
);
name_type!(
    /// A model as callers name it.
    ModelName
);
name_type!(
    /// One engine; unique in the whole configuration.
    EngineName
);
name_type!(
    /// A plain HTTP service that is forwarded to.
    ServiceName
);
name_type!(
    /// A priority class.
    PriorityName
);
name_type!(
    /// A failure domain within a region.
    ZoneName
);
name_type!(
    /// A group of zones that are close to each other.
    RegionName
);
name_type!(
    /// A caller's key that marks repetitions of one request as the same request.
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
    /// A node, as its settings file numbers it.
    NodeId, u32
);
number_type!(
    /// One life of a node's process; drawn anew at each start, larger for later starts.
    Incarnation, u64
);
number_type!(
    /// A slice of the program space, replicated as one group.
    ShardId, u32
);
number_type!(
    /// Position of a call within its program, from zero.
    TurnNumber, u32
);
number_type!(
    /// Version of the configuration; strictly rising.
    Generation, u64
);

impl TurnNumber {
    /// The turn after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One call as a gateway accepted it; unique across the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u128);

impl CallId {
    /// Draws a call id from a random source.
    pub fn random(source: &mut dyn RngCore) -> Self {
        let high = u128::from(source.next_u64());
        let low = u128::from(source.next_u64());
        Self(high << u64::BITS | low)
    }

    /// The two halves, high first, as the internal protocol carries them.
    pub fn to_halves(self) -> [u64; 2] {
        [(self.0 >> u64::BITS) as u64, self.0 as u64]
    }

    /// Rebuilds an id from its two halves.
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self(u128::from(high) << u64::BITS | u128::from(low))
    }

    /// Reads the 32 hexadecimal digits that `Display` writes.
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
