//! What operators ask of logs and metrics: the story of a call, events of the fleet, the state of nodes.
//!
//! [`log`] reads the JSON lines that nodes write; [`story`] gathers those about one call or program; [`cause`] says
//! what decided its end; [`metrics`] reads what nodes serve at their metrics address, [`groups`] puts the ledger's groups
//! together from it.

pub mod cause;
pub mod groups;
pub mod log;
pub mod metrics;
pub mod story;
