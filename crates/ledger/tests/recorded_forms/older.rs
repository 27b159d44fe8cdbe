//! Message definitions copied from earlier builds, where they differ from the current ones.

use sumacdrift_ledger::{LedgerReply, LedgerRequest, Record, RecordKind, ReplyKind, RequestKind};

pub fn first_knows_record(record: &Record) -> bool {
    !matches!(
        record.kind,
        Some(
            RecordKind::Copy(_)
                | RecordKind::Reading(_)
                | RecordKind::CrashHistory(_)
                | RecordKind::Removed(_)
        )
    )
}

pub fn first_knows_request(request: &LedgerRequest) -> bool {
    let kind = request.kind.as_ref().expect("kind is set");
    matches!(
        kind,
        RequestKind::Begin(_)
            | RequestKind::End(_)
            | RequestKind::Chain(_)
            | RequestKind::Page(_)
            | RequestKind::Push(_)
            | RequestKind::Install(_)
            | RequestKind::Status(_)
    )
}

pub fn first_knows_reply(reply: &LedgerReply) -> bool {
    let kind = reply.kind.as_ref().expect("kind is set");
    !matches!(
        kind,
        ReplyKind::NeverVoted(_)
            | ReplyKind::Map(_)
            | ReplyKind::Busy(_)
            | ReplyKind::Quota(_)
            | ReplyKind::CrashedEngines(_)
            | ReplyKind::Continuations(_)
    )
}

/// First build of the ledger, e62608e.
pub mod first {
    use sumacdrift_ledger::{ChainReply, ChainRequest, MemberMessage, RetainedTurn};

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct KnownTurn {
        #[prost(string, tag = "1")]
        pub turn: String,
        #[prost(uint64, tag = "2")]
        pub tokens: u64,
        #[prost(bool, tag = "3")]
        pub has_ended: bool,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct TurnBegun {
        #[prost(string, tag = "1")]
        pub program: String,
        #[prost(string, tag = "2")]
        pub turn: String,
        #[prost(uint64, tag = "3")]
        pub max_tokens: u64,
        #[prost(uint64, tag = "4")]
        pub retention_millis: u64,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct TurnEnded {
        #[prost(string, tag = "1")]
        pub program: String,
        #[prost(string, tag = "2")]
        pub turn: String,
        #[prost(uint64, tag = "3")]
        pub tokens: u64,
        #[prost(uint64, tag = "4")]
        pub retention_millis: u64,
        #[prost(message, optional, tag = "5")]
        pub retained: Option<RetainedTurn>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Begin {
        #[prost(message, optional, tag = "1")]
        pub turn: Option<TurnBegun>,
        #[prost(uint64, tag = "2")]
        pub budget_tokens: u64,
        #[prost(string, tag = "3")]
        pub previous: String,
        #[prost(bool, tag = "4")]
        pub wants_chain: bool,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct End {
        #[prost(message, optional, tag = "1")]
        pub turn: Option<TurnEnded>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct BeginVote {
        #[prost(message, repeated, tag = "1")]
        pub known: Vec<KnownTurn>,
        #[prost(bool, tag = "2")]
        pub fits: bool,
        #[prost(bool, tag = "3")]
        pub knows_previous: bool,
        #[prost(message, optional, tag = "4")]
        pub chain: Option<ChainReply>,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct Record {
        #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4")]
        pub kind: Option<RecordKind>,
        #[prost(uint64, tag = "15")]
        pub expiry_millis: u64,
    }

    #[derive(Clone, PartialEq, Eq, prost::Oneof)]
    pub enum RecordKind {
        #[prost(message, tag = "1")]
        Begun(TurnBegun),
        #[prost(message, tag = "2")]
        Ended(TurnEnded),
        #[prost(message, tag = "3")]
        Group(GroupMessage),
        #[prost(message, tag = "4")]
        Standing(Standing),
    }

    #[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
    pub struct Standing {
        #[prost(uint64, tag = "1")]
        pub joined: u64,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct GroupMessage {
        #[prost(uint64, tag = "1")]
        pub epoch: u64,
        #[prost(message, repeated, tag = "2")]
        pub members: Vec<MemberMessage>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct LedgerRequest {
        #[prost(uint64, tag = "1")]
        pub epoch: u64,
        #[prost(oneof = "RequestKind", tags = "2, 3, 4, 5, 6, 7, 8")]
        pub kind: Option<RequestKind>,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum RequestKind {
        #[prost(message, tag = "2")]
        Begin(Begin),
        #[prost(message, tag = "3")]
        End(End),
        #[prost(message, tag = "4")]
        Chain(ChainRequest),
        #[prost(message, tag = "5")]
        Page(PageRequest),
        #[prost(message, tag = "6")]
        Push(Push),
        #[prost(message, tag = "7")]
        Install(GroupMessage),
        #[prost(bool, tag = "8")]
        Status(bool),
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct PageRequest {
        #[prost(string, tag = "1")]
        pub after: String,
        #[prost(message, optional, tag = "2")]
        pub group: Option<GroupMessage>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Push {
        #[prost(message, repeated, tag = "1")]
        pub records: Vec<Record>,
        #[prost(message, optional, tag = "2")]
        pub group: Option<GroupMessage>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct LedgerReply {
        #[prost(oneof = "ReplyKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
        pub kind: Option<ReplyKind>,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum ReplyKind {
        #[prost(message, tag = "1")]
        Vote(BeginVote),
        #[prost(bool, tag = "2")]
        Done(bool),
        #[prost(message, tag = "3")]
        Chain(ChainReply),
        #[prost(message, tag = "4")]
        Page(Page),
        #[prost(message, tag = "5")]
        WrongEpoch(GroupMessage),
        #[prost(bool, tag = "6")]
        NotVoting(bool),
        #[prost(message, tag = "7")]
        Status(StatusReply),
        #[prost(string, tag = "8")]
        Failed(String),
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Page {
        #[prost(message, repeated, tag = "1")]
        pub records: Vec<Record>,
        #[prost(string, tag = "2")]
        pub next: String,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct StatusReply {
        #[prost(string, tag = "1")]
        pub node: String,
        #[prost(bool, tag = "2")]
        pub is_voting: bool,
        #[prost(bool, tag = "3")]
        pub may_found: bool,
        #[prost(message, optional, tag = "4")]
        pub group: Option<GroupMessage>,
    }
}

/// First build with tenant quotas, 5ec6a2e.
pub mod first_quotas {
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct LedgerRequest {
        #[prost(uint64, tag = "1")]
        pub epoch: u64,
        #[prost(oneof = "RequestKind", tags = "13, 16")]
        pub kind: Option<RequestKind>,
        #[prost(uint32, tag = "14")]
        pub group: u32,
        #[prost(bytes = "vec", tag = "15")]
        pub news: Vec<u8>,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum RequestKind {
        #[prost(message, tag = "13")]
        Quota(QuotaQuestion),
        #[prost(message, tag = "16")]
        QuotaTotals(QuotaTotals),
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct QuotaQuestion {
        #[prost(string, tag = "1")]
        pub tenant: String,
        #[prost(double, tag = "2")]
        pub per_second: f64,
        #[prost(double, tag = "3")]
        pub burst: f64,
        #[prost(uint64, tag = "4")]
        pub window_millis: u64,
        #[prost(uint64, tag = "5")]
        pub version: u64,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct QuotaTotals {
        #[prost(string, tag = "1")]
        pub node: String,
        #[prost(uint64, tag = "2")]
        pub life: u64,
        #[prost(bool, tag = "3")]
        pub is_warm: bool,
        #[prost(message, repeated, tag = "4")]
        pub totals: Vec<TenantTotal>,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct TenantTotal {
        #[prost(string, tag = "1")]
        pub tenant: String,
        #[prost(uint64, tag = "2")]
        pub calls: u64,
    }
}

/// Status replies of builds without the newer fields.
pub mod status {
    use sumacdrift_ledger::{MemberMessage, SilentMember};

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct GroupMessage {
        #[prost(uint64, tag = "1")]
        pub epoch: u64,
        #[prost(message, repeated, tag = "2")]
        pub members: Vec<MemberMessage>,
        #[prost(uint32, tag = "3")]
        pub number: u32,
    }

    /// Build 5ec6a2e.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct WithoutSilences {
        #[prost(message, optional, tag = "7")]
        pub status: Option<StatusWithoutSilences>,
        #[prost(bytes = "vec", tag = "15")]
        pub view: Vec<u8>,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct StatusWithoutSilences {
        #[prost(string, tag = "1")]
        pub node: String,
        #[prost(bool, tag = "2")]
        pub is_voting: bool,
        #[prost(bool, tag = "3")]
        pub may_found: bool,
        #[prost(message, optional, tag = "4")]
        pub group: Option<GroupMessage>,
    }

    /// Build 34a3fa1.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct WithoutOffer {
        #[prost(message, optional, tag = "7")]
        pub status: Option<StatusWithoutOffer>,
        #[prost(bytes = "vec", tag = "15")]
        pub view: Vec<u8>,
    }

    #[derive(Clone, PartialEq, Eq, prost::Message)]
    pub struct StatusWithoutOffer {
        #[prost(string, tag = "1")]
        pub node: String,
        #[prost(bool, tag = "2")]
        pub is_voting: bool,
        #[prost(bool, tag = "3")]
        pub may_found: bool,
        #[prost(message, optional, tag = "4")]
        pub group: Option<GroupMessage>,
        #[prost(bool, tag = "5")]
        pub is_watching: bool,
        #[prost(message, repeated, tag = "6")]
        pub silent: Vec<SilentMember>,
    }
}
