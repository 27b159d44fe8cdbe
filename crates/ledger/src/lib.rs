//! The program ledger: what programs have spent, and the turns whose content is kept.
//!
//! Records only ever add knowledge, and merging them in any order gives the same state. So a group of replicas needs
//! no leader: a record holds once a majority has it on disk, and every majority meets every other in at least one
//! replica. A large ledger has several groups ([`GroupMap`]); a program belongs to one of them by its name. A replica that lost its disk has no vote until it has read the records of so many others that none can
//! be missing. Which replicas form the group is decided elsewhere, by compare-and-set; groups are numbered by epoch,
//! and a replica serves only requests of its own epoch. See `docs/design/platform.md`.
//!
//! Nothing here reads a clock, a socket or a disk.

mod account;
mod admission;
mod begin;
mod chain;
mod copies;
mod group;
mod map;
mod member_watch;
mod message;
mod plan;
mod quota_message;
mod replica;
mod state;

pub use account::ProgramAccount;
pub use admission::{HostAdmission, RequestClass};
pub use begin::{BeginDecision, BeginQuorum};
pub use chain::{ChainAssembly, ChainStep};
pub use copies::copies_to_make;
pub use group::{Group, GroupNumber, Member};
pub use map::GroupMap;
pub use member_watch::{MemberTold, MemberWatch};
pub use message::{
    Begin, BeginVote, ChainReply, ChainRequest, ContentsRequest, End, GroupMapMessage, GroupMessage,
    KnownTurn, LedgerReply, LedgerRequest, MemberMessage, Page, PageRequest, Push, Reading, Record,
    RecordKind, ReplyKind, RequestKind, RetainedTurn, SilentMember, Standing, StatusReply, StoredCopy,
    TurnBegun, TurnEnded,
};
pub use plan::{Candidate, Capacity, ChangeReason, GroupPolicy, Patience, PlaceStep};
pub use quota_message::{QuotaAnswer, QuotaDecision, QuotaQuestion, QuotaTotals, TenantTotalMessage};
pub use replica::{Replica, ReplicaSettings, Step};
pub use state::{KEPT_TURNS_CURSOR, LedgerState, PageDetail};
