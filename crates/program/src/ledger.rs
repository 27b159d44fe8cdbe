//! The ledger of at-most-once service calls.

use sumacdrift_types::{CallId, IdempotencyKey, ServiceName, TenantName, Timestamp};

use crate::{Runner, ServiceResponse};

/// Identity of a service call: requests with the same key run at most once.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LedgerKey {
    pub tenant: TenantName,
    pub service: ServiceName,
    pub key: IdempotencyKey,
}

/// Ledger record of one service call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Digest of method, path and body.
    pub request: [u8; 16],
    pub call: CallId,
    pub runner: Runner,
    /// Deadline after which the outcome is declared unknown even if the runner is alive.
    pub give_up_at: Timestamp,
    pub state: LedgerState,
}

/// State of a service call; `at` is when it was reached.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerState {
    /// Admitted; the request may have been sent.
    Accepted,
    /// Completed with a response.
    Committed { response: ServiceResponse, at: Timestamp },
    /// The request may have been sent and the response was lost.
    Unknown { at: Timestamp },
}

impl LedgerState {
    /// When the outcome was recorded; `None` while the call is in progress.
    pub fn settled_at(&self) -> Option<Timestamp> {
        match self {
            LedgerState::Accepted => None,
            LedgerState::Committed { at, .. } | LedgerState::Unknown { at } => Some(*at),
        }
    }
}
