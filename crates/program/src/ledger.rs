//! The ledger of service calls that may run at most once.

use sumacdrift_types::{CallId, IdempotencyKey, ServiceName, TenantName, Timestamp};

use crate::{Runner, ServiceResponse};

/// What makes two service calls the same call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LedgerKey {
    /// The tenant that calls.
    pub tenant: TenantName,
    /// The service called.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// What is known of one service call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Digest over method, path and body.
    pub request: [u8; 16],
    /// The call that was admitted.
    pub call: CallId,
    /// The node that runs it.
    pub runner: Runner,
    /// When its outcome is given up even though its node is alive.
    pub give_up_at: Timestamp,
    /// How far it came.
    pub state: LedgerState,
}

/// How far a service call came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerState {
    /// Admitted; it may have been sent.
    Accepted,
    /// Ended with a response.
    Committed {
        /// The response.
        response: ServiceResponse,
        /// When it was recorded.
        at: Timestamp,
    },
    /// It may have been sent and the response is lost.
    Unknown {
        /// When this was found out.
        at: Timestamp,
    },
}

impl LedgerState {
    /// When the call was settled one way or the other.
    pub fn settled_at(&self) -> Option<Timestamp> {
        match self {
            LedgerState::Accepted => None,
            LedgerState::Committed { at, .. } | LedgerState::Unknown { at } => Some(*at),
        }
    }
}
