//! Messages between callers' nodes and replicas, and the records that replicas keep. All are protocol buffers.

use bytes::Bytes;

use crate::quota_message::{QuotaAnswer, QuotaQuestion, QuotaTotals};

/// A turn was begun: until its end is known, it counts with the most that it may generate.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TurnBegun {
    /// The program.
    #[prost(string, tag = "1")]
    pub program: String,
    /// The turn.
    #[prost(string, tag = "2")]
    pub turn: String,
    /// Most tokens that the turn generates.
    #[prost(uint64, tag = "3")]
    pub most_tokens: u64,
    /// How long the record is kept after the program's last change, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retention_millis: u64,
}

/// A turn ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TurnEnded {
    /// The program.
    #[prost(string, tag = "1")]
    pub program: String,
    /// The turn.
    #[prost(string, tag = "2")]
    pub turn: String,
    /// Tokens that were handed to the caller.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// How long the record is kept after the program's last change, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retention_millis: u64,
    /// The turn's content, where later turns may go on from it.
    #[prost(message, optional, tag = "5")]
    pub retained: Option<RetainedTurn>,
}

/// The content of a turn that ended whole.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RetainedTurn {
    /// The turn that it went on from; empty at the start of a chain.
    #[prost(string, tag = "1")]
    pub previous: String,
    /// What the caller sent.
    #[prost(bytes = "bytes", tag = "2")]
    pub input: Bytes,
    /// What the engine generated, as it goes into later prompts.
    #[prost(bytes = "bytes", tag = "3")]
    pub output: Bytes,
}

/// One entry of a replica's journal, and of what replicas tell each other.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Record {
    /// The entry.
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<RecordKind>,
    /// Milliseconds left to keep it, where it travels; time of day of its expiry, where it lies in a journal.
    #[prost(uint64, tag = "15")]
    pub expiry_millis: u64,
}

impl Record {
    /// The record as it lies in a journal, of one that travelled and arrived at a time of day.
    pub(crate) fn arrived(self, now: u64) -> Record {
        Record { expiry_millis: self.expiry_millis.saturating_add(now), kind: self.kind }
    }
}

/// What an entry says.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum RecordKind {
    /// A turn was begun.
    #[prost(message, tag = "1")]
    Begun(TurnBegun),
    /// A turn ended.
    #[prost(message, tag = "2")]
    Ended(TurnEnded),
    /// The replica belongs to this group.
    #[prost(message, tag = "3")]
    Group(GroupMessage),
    /// The replica's records are complete, or it has never voted.
    #[prost(message, tag = "4")]
    Standing(Standing),
    /// The newest copy of what another system holds.
    #[prost(message, tag = "5")]
    Copy(StoredCopy),
    /// Which members have been read.
    #[prost(message, tag = "6")]
    Reading(Reading),
}

/// What the replica is as the member that joined at this epoch.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Standing {
    /// Epoch at which the member joined.
    #[prost(uint64, tag = "1")]
    pub joined: u64,
    /// Whether it has never voted as that member. Otherwise it holds every record that it ever acknowledged as it.
    #[prost(bool, tag = "2")]
    pub never_voted: bool,
}

/// Members whose records a replica without a vote has read to the end.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reading {
    /// Epoch at which they were read; it says nothing at another one.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Their nodes.
    #[prost(string, repeated, tag = "2")]
    pub sources: Vec<String>,
}

/// A copy of what another system holds, for nodes that start while it is down. Its content means nothing here.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredCopy {
    /// Rises with each change; 0 where there is no copy.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The content.
    #[prost(bytes = "bytes", tag = "2")]
    pub content: Bytes,
}

/// A member of a group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MemberMessage {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its address, `IP:PORT`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Epoch at which it joined.
    #[prost(uint64, tag = "4")]
    pub joined: u64,
}

/// A group of replicas.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GroupMessage {
    /// Rises with each change of the group.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The members.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberMessage>,
    /// Which of the groups it is.
    #[prost(uint32, tag = "3")]
    pub number: u32,
}

/// All groups of the ledger.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GroupMapMessage {
    /// The groups, by number.
    #[prost(message, repeated, tag = "1")]
    pub groups: Vec<GroupMessage>,
}

/// A request to a replica.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerRequest {
    /// Epoch of the group that the asker knows.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// What is asked.
    #[prost(oneof = "RequestKind", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 16, 17")]
    pub kind: Option<RequestKind>,
    /// Number of the group that is asked.
    #[prost(uint32, tag = "14")]
    pub group: u32,
    /// What the asker tells besides, for whoever hosts the replica. Its content means nothing here.
    #[prost(bytes = "bytes", tag = "15")]
    pub news: Bytes,
}

/// What is asked of a replica.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RequestKind {
    /// May this turn begin?
    #[prost(message, tag = "2")]
    Begin(Begin),
    /// A turn ended.
    #[prost(message, tag = "3")]
    End(End),
    /// The content of a chain of turns.
    #[prost(message, tag = "4")]
    Chain(ChainRequest),
    /// Everything that the replica knows, a page at a time.
    #[prost(message, tag = "5")]
    Page(PageRequest),
    /// Records of a member that leaves.
    #[prost(message, tag = "6")]
    Push(Push),
    /// There is a newer group.
    #[prost(message, tag = "7")]
    Install(GroupMessage),
    /// Who are you, and which group do you know? `false` from a machine that waits for a seat.
    #[prost(bool, tag = "8")]
    Status(bool),
    /// The content of kept turns.
    #[prost(message, tag = "9")]
    Contents(ContentsRequest),
    /// The content of a chain of turns, from a member that can say for certain that it does not know the newest one.
    #[prost(message, tag = "10")]
    Find(ChainRequest),
    /// Which groups are there? Answered by the replica's host.
    #[prost(bool, tag = "11")]
    Map(bool),
    /// Nothing; only the news that come with it matter.
    #[prost(bool, tag = "12")]
    News(bool),
    /// May a tenant make one more call? Answered by the replica's host.
    #[prost(message, tag = "13")]
    Quota(QuotaQuestion),
    /// Calls that another host of the group let in. Taken in by the replica's host.
    #[prost(message, tag = "16")]
    QuotaTotals(QuotaTotals),
    /// The member of this name stops as planned in a moment. Taken in by the replica's host.
    #[prost(string, tag = "17")]
    Stopping(String),
}

/// May a turn begin?
#[derive(Clone, PartialEq, prost::Message)]
pub struct Begin {
    /// The turn.
    #[prost(message, optional, tag = "1")]
    pub turn: Option<TurnBegun>,
    /// Tokens that all turns of the program may generate; 0 where there is no budget.
    #[prost(uint64, tag = "2")]
    pub budget_tokens: u64,
    /// The turn that it goes on from; empty at the start of a chain.
    #[prost(string, tag = "3")]
    pub previous: String,
    /// Whether the content of the chain is wanted with the answer.
    #[prost(bool, tag = "4")]
    pub wants_chain: bool,
}

/// A turn ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// How it ended.
    #[prost(message, optional, tag = "1")]
    pub turn: Option<TurnEnded>,
}

/// The content of a turn and those before it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChainRequest {
    /// The newest turn wanted.
    #[prost(string, tag = "1")]
    pub turn: String,
}

/// A page of what a replica knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PageRequest {
    /// Where the last page ended; empty at the start.
    #[prost(string, tag = "1")]
    pub after: String,
    /// The group that the asker joins; the replica adopts it first where it is newer than its own.
    #[prost(message, optional, tag = "2")]
    pub group: Option<GroupMessage>,
    /// Whether kept turns are only to be named, because the asker holds most of them.
    #[prost(bool, tag = "3")]
    pub keys_only: bool,
}

/// The content of kept turns.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ContentsRequest {
    /// The turns.
    #[prost(string, repeated, tag = "1")]
    pub turns: Vec<String>,
}

/// Records handed over.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Push {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// The group without the member that leaves.
    #[prost(message, optional, tag = "2")]
    pub group: Option<GroupMessage>,
}

/// The answer of a replica.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerReply {
    /// The answer.
    #[prost(oneof = "ReplyKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub kind: Option<ReplyKind>,
    /// What the replica's host tells in return for news. Its content means nothing here.
    #[prost(bytes = "bytes", tag = "15")]
    pub view: Bytes,
}

/// What a replica answers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplyKind {
    /// To a turn's begin, once the record is durable.
    #[prost(message, tag = "1")]
    Vote(BeginVote),
    /// The record is durable.
    #[prost(bool, tag = "2")]
    Done(bool),
    /// The content of a chain.
    #[prost(message, tag = "3")]
    Chain(ChainReply),
    /// A page.
    #[prost(message, tag = "4")]
    Page(Page),
    /// The request names another epoch; this is the group known here.
    #[prost(message, tag = "5")]
    WrongEpoch(GroupMessage),
    /// The replica has no vote yet.
    #[prost(bool, tag = "6")]
    NotVoting(bool),
    /// Who the replica is.
    #[prost(message, tag = "7")]
    Status(StatusReply),
    /// The record could not be made durable.
    #[prost(string, tag = "8")]
    Failed(String),
    /// The replica has joined and has never voted, so it acknowledged nothing.
    #[prost(bool, tag = "9")]
    NeverVoted(bool),
    /// All groups, as far as the replica's host knows them.
    #[prost(message, tag = "10")]
    Map(GroupMapMessage),
    /// The replica's host has more to do than it can in time; nothing was recorded.
    #[prost(bool, tag = "11")]
    Busy(bool),
    /// What becomes of a tenant's call.
    #[prost(message, tag = "12")]
    Quota(QuotaAnswer),
}

/// What a replica knows of a program at the begin of one of its turns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BeginVote {
    /// Every other turn of the program.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<KnownTurn>,
    /// Whether the turn fits the budget by what is known here.
    #[prost(bool, tag = "2")]
    pub fits: bool,
    /// Whether the earlier turn is known here.
    #[prost(bool, tag = "3")]
    pub knows_previous: bool,
    /// The content of the chain, where it was wanted.
    #[prost(message, optional, tag = "4")]
    pub chain: Option<ChainReply>,
}

/// What a turn counts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KnownTurn {
    /// The turn.
    #[prost(string, tag = "1")]
    pub turn: String,
    /// Tokens handed out where it ended, else the most that it may generate.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Whether its end is known.
    #[prost(bool, tag = "3")]
    pub has_ended: bool,
}

/// Turns of a chain, newest first.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChainReply {
    /// The turns.
    #[prost(message, repeated, tag = "1")]
    pub turns: Vec<RetainedTurn>,
    /// The next older turn, which is not known here; empty where the chain is whole.
    #[prost(string, tag = "2")]
    pub missing: String,
}

/// A page of records.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Page {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// Where the next page begins; empty at the end.
    #[prost(string, tag = "2")]
    pub next: String,
    /// Kept turns that are only named.
    #[prost(string, repeated, tag = "3")]
    pub kept_turns: Vec<String>,
}

/// Who a replica is.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatusReply {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Whether it votes.
    #[prost(bool, tag = "2")]
    pub is_voting: bool,
    /// Whether it holds what it acknowledged as a founding member.
    #[prost(bool, tag = "3")]
    pub may_found: bool,
    /// The group that it knows.
    #[prost(message, optional, tag = "4")]
    pub group: Option<GroupMessage>,
    /// Whether it looks if other members are there.
    #[prost(bool, tag = "5")]
    pub is_watching: bool,
    /// Members that it finds silent.
    #[prost(message, repeated, tag = "6")]
    pub silent: Vec<SilentMember>,
    /// Whether its process was asked to stop and offers its seat.
    #[prost(bool, tag = "7")]
    pub offers_seat: bool,
}

/// A member that says nothing.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SilentMember {
    /// Its node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Milliseconds since it was heard last.
    #[prost(uint64, tag = "2")]
    pub millis: u64,
}
