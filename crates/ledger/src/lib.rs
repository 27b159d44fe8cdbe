//! Ledger of the tokens that programs have spent and of the content of retained turns.
//!
//! Merging records is commutative and only adds information, so a group of replicas needs no leader: a record is
//! committed once a majority has it on disk, and any two majorities share a replica. A ledger may have several groups
//! ([`GroupMap`]); the name of a program determines its group. A replica that lost its disk has no vote until it has
//! read so many other members that no committed record can be missing. Group membership is decided outside this crate,
//! by compare-and-set. Each version of a group has an epoch, and a replica serves only requests of its own epoch. See
//! `docs/design/platform.md`.
//!
//! This crate performs no I/O and reads no clock.

mod account;
mod admission;
mod begin_quorum;
mod chain;
mod content_memory;
mod copy_plan;
mod crash_message;
mod group;
mod group_map;
mod member_watch;
mod message;
mod placement;
mod quota_message;
mod replica;
mod resumption;
mod retention_message;
mod state;
mod turn_references;

pub use account::ProgramAccount;
pub use admission::{HostAdmission, RequestClass};
pub use begin_quorum::{BeginDecision, BeginQuorum};
pub use chain::{ChainAssembly, ChainStep};
pub use copy_plan::plan_copies;
pub use crash_message::{
    CrashHistoryCopy, CrashedEngineCopy, CrashedEngines, CrashedRequest, EngineCrash, ObservedEngineCopy,
    QuarantineNotice, SuspectNotice,
};
pub use group::{Group, GroupNumber, Member};
pub use group_map::GroupMap;
pub use member_watch::{MemberReport, MemberWatch};
pub use message::{
    Begin, BeginVote, ChainReply, ChainRequest, ContentsRequest, End, GroupMapMessage, GroupMessage,
    KnownTurn, LedgerReply, LedgerRequest, MemberMessage, Page, PageRequest, Push, Reading, Record,
    RecordKind, ReplyKind, RequestKind, RetainedTurn, SilentMember, Standing, StatusReply, StoredCopy,
    StreamOrigin, TurnBegun, TurnEnded,
};
pub use placement::{
    Candidate, Capacity, ChangeReason, GroupPolicy, LeaveRefusal, MembershipDecision, ReplacementPolicy,
};
pub use quota_message::{QuotaAnswer, QuotaDecision, QuotaQuestion, QuotaTotals, TenantTotalMessage};
pub use replica::{Replica, ReplicaSettings, Step};
pub use resumption::{ResumedOrigin, ResumedTurn};
pub use retention_message::{Continuations, ContinuationsRequest, RemovedTurns, TurnContinuation};
pub use state::{KEPT_TURNS_CURSOR, LedgerState, PageDetail};
pub use turn_references::needed_turns;
