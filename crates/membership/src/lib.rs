//! Fleet membership and failure detection: which nodes exist, which are alive, and which are leaving.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion and the Lifeguard refinements: direct
//! probes, indirect probes through other nodes, suspicion before death, refutation, and updates piggybacked
//! on the probes. A node probes one other node per period, so its cost does not grow with the fleet.
//!
//! The crate is a state machine: the driver passes in time and messages, and carries out [`Effect`]s.

mod broadcast;
mod detector;
mod directory;
mod member;
mod message;
mod settings;

pub use detector::{Detector, Effect, Event};
pub use directory::Directory;
pub use member::{Member, MemberState, RoleSet};
pub use message::{Envelope, Packet};
pub use settings::MembershipSettings;
