//! Messages between nodes and ledger replicas, and the records that replicas store, encoded as protocol buffers.

use bytes::Bytes;
use sumacdrift_mutants::{Rule, is_broken};

use crate::crash_message::{CrashedEngines, EngineCrash, QuarantineNotice, SuspectNotice};
use crate::quota_message::{QuotaAnswer, QuotaQuestion, QuotaTotals};
use crate::retention_message::{Continuations, ContinuationsRequest, RemovedTurns};

/// Which software began the stream of a turn: only that can continue it.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct StreamOrigin {
    /// Service whose engines the turn is sent to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Software version of these engines.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Number of the origin among those of one turn; the highest counts. A turn gets another origin only while no event
    /// has been forwarded.
    #[prost(uint32, tag = "3")]
    pub revision: u32,
}

impl StreamOrigin {
    /// Whether this origin counts instead of the known one of the same turn.
    pub(crate) fn replaces(&self, known: Option<&StreamOrigin>) -> bool {
        known.is_none_or(|known| self.revision > known.revision && !is_broken(Rule::LedgerNewestOriginCounts))
    }

    /// Whether one of the two can continue what the other began.
    pub(crate) fn is_same_software(&self, other: &StreamOrigin) -> bool {
        let is_same = self.service == other.service && self.version == other.version;
        is_same || is_broken(Rule::LedgerDifferentOriginsAreAmbiguous)
    }
}

/// Start of a turn. Until its end is recorded, the turn is charged with `max_tokens`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct TurnBegun {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(string, tag = "2")]
    pub turn: String,
    /// Maximum number of tokens that the turn may generate.
    #[prost(uint64, tag = "3")]
    pub max_tokens: u64,
    /// Retention of the record after the program's last change, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retention_millis: u64,
    /// Origin of the turn's stream; absent if it is not chosen yet, or if the stream can't be resumed.
    #[prost(message, optional, tag = "5")]
    pub origin: Option<StreamOrigin>,
    /// Fingerprint of the request; absent from a build without them.
    #[prost(fixed64, optional, tag = "6")]
    pub request: Option<u64>,
    /// Turn that this one continues, which is kept with its chain while this one is under way; empty at the start of a
    /// chain.
    #[prost(string, tag = "7")]
    pub previous: String,
    /// Bytes that the turn's content may take once it is kept; 0 if it will not be kept, or from a build without the field.
    #[prost(uint64, tag = "8")]
    pub retained_bytes: u64,
}

/// End of a turn.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct TurnEnded {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(string, tag = "2")]
    pub turn: String,
    /// Tokens delivered to the caller.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Retention of the record after the program's last change, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retention_millis: u64,
    /// Content of the turn, if later turns may continue from it.
    #[prost(message, optional, tag = "5")]
    pub retained: Option<RetainedTurn>,
    /// Origin of the turn's stream as recorded at its start; set where replicas transfer ended turns.
    #[prost(message, optional, tag = "6")]
    pub origin: Option<StreamOrigin>,
    /// Fingerprint of the request as recorded at its start; set like `origin`.
    #[prost(fixed64, optional, tag = "7")]
    pub request: Option<u64>,
    /// Whether it is certain that the caller got no event, so that it can't resume this turn.
    #[prost(bool, tag = "8")]
    pub has_no_event: bool,
}

/// Content of a turn that completed, kept as context for later turns.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RetainedTurn {
    /// Turn that this one continues; empty for the first turn of a chain.
    #[prost(string, tag = "1")]
    pub previous: String,
    /// Input sent by the caller.
    #[prost(bytes = "bytes", tag = "2")]
    pub input: Bytes,
    /// Output of the engine in the form in which it enters later prompts.
    #[prost(bytes = "bytes", tag = "3")]
    pub output: Bytes,
}

/// Entry of a replica's journal; also the unit in which replicas transfer state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct Record {
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub kind: Option<RecordKind>,
    /// Remaining lifetime in milliseconds in a message; Unix time of expiry in milliseconds in a journal.
    #[prost(uint64, tag = "15")]
    pub expiry_millis: u64,
}

impl Record {
    /// Converts a record received at a Unix time in milliseconds to its journal form.
    pub(crate) fn with_absolute_expiry(self, now: u64) -> Record {
        Record { expiry_millis: self.expiry_millis.saturating_add(now), kind: self.kind }
    }
}

/// Content of a record.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
#[allow(missing_docs)]
pub enum RecordKind {
    #[prost(message, tag = "1")]
    Begun(TurnBegun),
    #[prost(message, tag = "2")]
    Ended(TurnEnded),
    /// The group that the replica belongs to.
    #[prost(message, tag = "3")]
    Group(GroupMessage),
    #[prost(message, tag = "4")]
    Standing(Standing),
    #[prost(message, tag = "5")]
    Copy(StoredCopy),
    #[prost(message, tag = "6")]
    Reading(Reading),
    /// Crashes of engines by request, an encoded [`CrashHistoryCopy`](crate::CrashHistoryCopy).
    #[prost(message, tag = "7")]
    CrashHistory(StoredCopy),
    /// Retained turns that were removed; only in a journal.
    #[prost(message, tag = "8")]
    Removed(RemovedTurns),
}

/// Voting state of a replica as the member that joined at an epoch.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Standing {
    /// Epoch at which the member joined.
    #[prost(uint64, tag = "1")]
    pub joined: u64,
    /// Whether it has never voted as that member. Otherwise it holds every record that it acknowledged as that member.
    #[prost(bool, tag = "2")]
    pub never_voted: bool,
}

/// Members whose records a replica without a vote has read completely.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reading {
    /// Epoch at which they were read; at any other epoch the record is ignored.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Node names of these members.
    #[prost(string, repeated, tag = "2")]
    pub sources: Vec<String>,
}

/// Cached copy of state owned by another system, for nodes that start while that system is down. The ledger does not
/// interpret it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct StoredCopy {
    /// Version, increasing with each change; 0 if there is no copy.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub content: Bytes,
}

/// Wire form of [`Member`](crate::Member).
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct MemberMessage {
    #[prost(string, tag = "1")]
    pub node: String,
    /// `IP:PORT`.
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Epoch at which the member joined.
    #[prost(uint64, tag = "4")]
    pub joined: u64,
}

/// Wire form of [`Group`](crate::Group).
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct GroupMessage {
    /// Version of the group, increasing with each change.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberMessage>,
    /// Index of the group in the ledger.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Least number of copies of a committed record; 0 if a majority is enough.
    #[prost(uint32, tag = "4")]
    pub min_copies: u32,
    /// Nodes of the members that handed over their records before a planned stop.
    #[prost(string, repeated, tag = "5")]
    pub handed_over: Vec<String>,
}

/// Wire form of [`GroupMap`](crate::GroupMap).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GroupMapMessage {
    /// Ordered by number.
    #[prost(message, repeated, tag = "1")]
    pub groups: Vec<GroupMessage>,
}

/// Request to a replica.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct LedgerRequest {
    /// Epoch of the group as known to the sender.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(
        oneof = "RequestKind",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 16, 17, 18, 19, 20, 21, 22, 23, 24"
    )]
    pub kind: Option<RequestKind>,
    /// Number of the group addressed.
    #[prost(uint32, tag = "14")]
    pub group: u32,
    /// Opaque data from the sender for the host of the replica.
    #[prost(bytes = "bytes", tag = "15")]
    pub report: Bytes,
}

/// Operation that a request asks for.
#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(missing_docs)]
pub enum RequestKind {
    #[prost(message, tag = "2")]
    Begin(Begin),
    #[prost(message, tag = "3")]
    End(End),
    /// Reads the content of those turns of a chain that the replica knows.
    #[prost(message, tag = "4")]
    Chain(ChainRequest),
    /// Reads one page of everything that the replica stores.
    #[prost(message, tag = "5")]
    Page(PageRequest),
    /// Transfers records from a member that leaves.
    #[prost(message, tag = "6")]
    Push(Push),
    /// Announces a newer version of the group.
    #[prost(message, tag = "7")]
    Install(GroupMessage),
    /// Reads the replica's state. `false` if the sender is a machine waiting to become a member.
    #[prost(bool, tag = "8")]
    Status(bool),
    #[prost(message, tag = "9")]
    Contents(ContentsRequest),
    /// Like `Chain`, but an empty chain is only returned by a voting member at the current epoch and so is
    /// authoritative for that member.
    #[prost(message, tag = "10")]
    Find(ChainRequest),
    /// Reads all groups. Answered by the replica's host.
    #[prost(bool, tag = "11")]
    Map(bool),
    /// Carries only `LedgerRequest::report`.
    #[prost(bool, tag = "12")]
    News(bool),
    /// Checks a call against a tenant's quota. Answered by the replica's host.
    #[prost(message, tag = "13")]
    Quota(QuotaQuestion),
    /// Reports calls admitted by another host of the group. Handled by the replica's host.
    #[prost(message, tag = "16")]
    QuotaTotals(QuotaTotals),
    /// Announces the planned shutdown of the named member. Handled by the replica's host.
    #[prost(string, tag = "17")]
    Stopping(String),
    /// Reports an engine that crashed under a request. Answered by the replica's host.
    #[prost(message, tag = "18")]
    EngineCrash(EngineCrash),
    /// Reports that an engine served the request of this fingerprint after others crashed. Handled by the replica's host.
    #[prost(fixed64, tag = "19")]
    ServedAfterCrash(u64),
    /// Puts a request in quarantine. Handled by the replica's host.
    #[prost(message, tag = "20")]
    Quarantine(QuarantineNotice),
    /// Reports an engine that lost a request and has shown no sign of life since. Answered by the replica's host.
    #[prost(message, tag = "21")]
    SuspectedCrash(EngineCrash),
    /// Reports a sign of life of an engine that was suspected. Answered by the replica's host.
    #[prost(message, tag = "22")]
    EngineSurvived(EngineCrash),
    /// Announces that one more crash under a request reaches the limit. Handled by the replica's host.
    #[prost(message, tag = "23")]
    Suspect(SuspectNotice),
    /// Asks which turns continue others. Answered by a voting member at the current epoch.
    #[prost(message, tag = "24")]
    Continuations(ContinuationsRequest),
}

/// Request to admit a turn.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct Begin {
    #[prost(message, optional, tag = "1")]
    pub turn: Option<TurnBegun>,
    /// Token budget for all turns of the program; 0 if unlimited.
    #[prost(uint64, tag = "2")]
    pub budget_tokens: u64,
    /// Turn that this one continues; empty for the first turn of a chain.
    #[prost(string, tag = "3")]
    pub previous: String,
    /// Whether the reply should include the content of the chain.
    #[prost(bool, tag = "4")]
    pub wants_chain: bool,
    /// Turn of the same program whose stream this one resumes; empty if it begins a stream.
    #[prost(string, tag = "5")]
    pub resumed_turn: String,
    /// Number of votes that the sender waits for; 0 from a build that always waits for a majority.
    #[prost(uint32, tag = "6")]
    pub commit_quorum: u32,
    /// Fingerprint of the turn's request, for the crashes of engines under it; absent from a build without them.
    #[prost(fixed64, optional, tag = "7")]
    pub request: Option<u64>,
    /// Whether the turn resumes a stream of the same program and request without a name, see
    /// [`ResumedTurn::OfSameRequest`](crate::ResumedTurn).
    #[prost(bool, tag = "8")]
    pub resumes_same_request: bool,
}

/// Request to record the end of a turn.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct End {
    #[prost(message, optional, tag = "1")]
    pub turn: Option<TurnEnded>,
    /// Number of copies that the sender waits for; 0 from a build that always waits for a majority.
    #[prost(uint32, tag = "2")]
    pub commit_quorum: u32,
}

/// Request for the content of a turn and its predecessors.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChainRequest {
    /// Newest turn of the chain.
    #[prost(string, tag = "1")]
    pub turn: String,
}

/// Request for one page of a replica's records.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PageRequest {
    /// Cursor returned with the preceding page; empty for the first page.
    #[prost(string, tag = "1")]
    pub after: String,
    /// Group that the sender joins. The replica installs it first if it is newer than its own.
    #[prost(message, optional, tag = "2")]
    pub group: Option<GroupMessage>,
    /// Whether to list retained turns by name only, for a sender that already holds most of them.
    #[prost(bool, tag = "3")]
    pub keys_only: bool,
}

/// Request for the content of retained turns.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct ContentsRequest {
    #[prost(string, repeated, tag = "1")]
    pub turns: Vec<String>,
}

/// Records that a leaving member transfers to a remaining one.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct Push {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// Group without the member that leaves.
    #[prost(message, optional, tag = "2")]
    pub group: Option<GroupMessage>,
}

/// Reply of a replica.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct LedgerReply {
    #[prost(oneof = "ReplyKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub kind: Option<ReplyKind>,
    /// Opaque data from the host of the replica in reply to `LedgerRequest::report`.
    #[prost(bytes = "bytes", tag = "15")]
    pub view: Bytes,
    /// Requests that were put in quarantine within the last seconds, for nodes whose feed is late.
    #[prost(message, repeated, tag = "16")]
    pub quarantined: Vec<QuarantineNotice>,
}

/// Result of a request.
#[derive(Clone, PartialEq, prost::Oneof)]
#[allow(missing_docs)]
pub enum ReplyKind {
    /// Vote on a turn, sent once its record is durable.
    #[prost(message, tag = "1")]
    Vote(BeginVote),
    /// The request was handled, and its records are durable.
    #[prost(bool, tag = "2")]
    Done(bool),
    #[prost(message, tag = "3")]
    Chain(ChainReply),
    #[prost(message, tag = "4")]
    Page(Page),
    /// The request's epoch differs from that of this group, the newest known to the replica.
    #[prost(message, tag = "5")]
    WrongEpoch(GroupMessage),
    /// The replica doesn't vote in the request's group, so its answer wouldn't count; ask another member.
    #[prost(bool, tag = "6")]
    NotVoting(bool),
    #[prost(message, tag = "7")]
    Status(StatusReply),
    /// The request could not be handled, or its records could not be made durable.
    #[prost(string, tag = "8")]
    Failed(String),
    /// The replica has never voted as its current member, so it has acknowledged no records.
    #[prost(bool, tag = "9")]
    NeverVoted(bool),
    /// All groups known to the replica's host.
    #[prost(message, tag = "10")]
    Map(GroupMapMessage),
    /// The replica's host is overloaded; nothing was recorded.
    #[prost(bool, tag = "11")]
    Busy(bool),
    #[prost(message, tag = "12")]
    Quota(QuotaAnswer),
    /// Reply to `RequestKind::EngineCrash`.
    #[prost(message, tag = "13")]
    CrashedEngines(CrashedEngines),
    /// Reply to `RequestKind::Continuations`.
    #[prost(message, tag = "14")]
    Continuations(Continuations),
}

/// Vote of one replica on whether a turn may begin.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BeginVote {
    /// All other turns of the program.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<KnownTurn>,
    /// Whether the turn fits the budget, given the turns known to this replica.
    #[prost(bool, tag = "2")]
    pub fits: bool,
    /// Whether this replica stores the preceding turn.
    #[prost(bool, tag = "3")]
    pub knows_previous: bool,
    /// Content of the chain, if requested.
    #[prost(message, optional, tag = "4")]
    pub chain: Option<ChainReply>,
    /// Newest origin of `resumed_turn` that this replica knows.
    #[prost(message, optional, tag = "5")]
    pub resumed_origin: Option<StreamOrigin>,
    /// Engines that crashed in succession under the turn's request, as known to the replica's host.
    #[prost(string, repeated, tag = "6")]
    pub crashed_engines: Vec<String>,
    /// Engines that may have crashed under it.
    #[prost(string, repeated, tag = "7")]
    pub suspected_engines: Vec<String>,
    /// Engines that lost the request and have shown a sign of life since.
    #[prost(string, repeated, tag = "8")]
    pub observed_engines: Vec<String>,
    /// Whether `known` has the origins of turns of the same request, as `resumes_same_request` asks for.
    #[prost(bool, tag = "9")]
    pub has_compared_requests: bool,
    /// Whether the replica has no memory for the turn's content. It has not recorded the turn then, and the vote says
    /// nothing else.
    #[prost(bool, tag = "10")]
    pub lacks_memory: bool,
}

/// Tokens that a turn is charged with.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct KnownTurn {
    #[prost(string, tag = "1")]
    pub turn: String,
    /// Tokens delivered if the turn has ended, otherwise the maximum that it may generate.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    #[prost(bool, tag = "3")]
    pub has_ended: bool,
    /// Whether the turn has not ended and has the same request as the one that begins: an attempt of its caller whose node
    /// may have been lost.
    #[prost(bool, tag = "4")]
    pub is_open_attempt: bool,
    /// Newest origin of the turn's stream, if the turn that begins asks for it and may resume it.
    #[prost(message, optional, tag = "5")]
    pub origin: Option<StreamOrigin>,
    /// Whether it is certain that the turn's caller got no event.
    #[prost(bool, tag = "6")]
    pub has_no_event: bool,
}

/// Turns of a chain, newest first.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct ChainReply {
    #[prost(message, repeated, tag = "1")]
    pub turns: Vec<RetainedTurn>,
    /// Next older turn, which this replica does not store; empty if the chain is complete.
    #[prost(string, tag = "2")]
    pub missing: String,
}

/// One page of records.
#[derive(Clone, PartialEq, prost::Message)]
#[allow(missing_docs)]
pub struct Page {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// Cursor of the next page; empty on the last page.
    #[prost(string, tag = "2")]
    pub next: String,
    /// Retained turns listed without their content.
    #[prost(string, repeated, tag = "3")]
    pub retained_keys: Vec<String>,
}

/// State of a replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct StatusReply {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(bool, tag = "2")]
    pub is_voting: bool,
    /// Whether it holds every record that it acknowledged as a founding member.
    #[prost(bool, tag = "3")]
    pub may_bootstrap: bool,
    /// Group known to the replica, if any.
    #[prost(message, optional, tag = "4")]
    pub group: Option<GroupMessage>,
    /// Whether it monitors the other members.
    #[prost(bool, tag = "5")]
    pub is_watching: bool,
    /// Members that do not answer it; meaningful only if `is_watching`.
    #[prost(message, repeated, tag = "6")]
    pub silent: Vec<SilentMember>,
    /// Whether its process is shutting down and gives up its membership.
    #[prost(bool, tag = "7")]
    pub offers_membership: bool,
    /// Whether it and the clients that it heard of lately count the copies that a group asks for.
    #[prost(bool, tag = "8")]
    pub counts_copies: bool,
}

/// Member that does not answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[allow(missing_docs)]
pub struct SilentMember {
    #[prost(string, tag = "1")]
    pub node: String,
    /// Milliseconds since its last answer.
    #[prost(uint64, tag = "2")]
    pub millis: u64,
}
