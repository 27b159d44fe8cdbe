//! Requests, responses and one-way messages between nodes.

mod founding;
mod relay;

use bytes::Bytes;
use sumacdrift_membership::Envelope;
use sumacdrift_program::{Command, Reply, Runner};
use sumacdrift_replication::{Message, ReplicaId};
use sumacdrift_scheduling::{Bid, ContextPrefix, EngineWork, Release};
use sumacdrift_types::{CallId, EngineName, Generation, NodeId, Problem, ProgramId, ShardId};

use founding::FoundingMessage;
pub use founding::{Founder, Founding};
use relay::RelayMessage;
pub use relay::{Relay, RelayedQuestion};

use crate::basic::{CallMessage, ProblemMessage, RunnerMessage};
use crate::command::CommandMessage;
use crate::entry::EmptyMessage;
use crate::membership::EnvelopeMessage;
use crate::replication::{ReplicaMessage, ReplicationMessage};
use crate::reply::ReplyMessage;
use crate::scheduling::{BidMessage, PrefixMessage, ReleaseMessage, WorkMessage};
use crate::wire::{DecodeError, Wire, decode_list, decode_required, encode_list, parse_name, require_field};

/// A request to another node, which sends one response.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// For the leader of a shard.
    Shard(Box<ShardRequest>),
    /// For the node that owns the engine's queue.
    Engine(EngineRequest),
    /// Fleet bootstrap and configuration.
    Fleet(FleetRequest),
    /// For a replica of the program ledger; the bytes are a message of the ledger crate.
    Ledger(Bytes),
    /// Fetches changes from a node that disseminates the contents of an external store; the bytes are a message of
    /// the dissemination crate.
    Follow(Bytes),
    /// Asks the receiver to forward a request to a node that the sender can't reach.
    Relay(Relay),
}

/// A command for the leader of a shard.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct ShardRequest {
    pub shard: ShardId,
    pub command: Command,
}

/// A request to the node that owns an engine's queue.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum EngineRequest {
    /// Requests cost estimates for running a call.
    Bid {
        /// Candidate engines, all owned by the receiver.
        engines: Vec<EngineName>,
        /// Prefixes of the call's prompt that an engine may have cached.
        prefixes: Vec<ContextPrefix>,
    },
    /// Enqueues a call; the response is sent once the call may be dispatched.
    Enqueue { engine: EngineName, work: Box<EngineWork> },
}

/// Fleet bootstrap and configuration requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetRequest {
    /// Asks for the receiver's identity and the fleet that it belongs to, if any.
    Hello,
    /// Bootstraps the fleet from this record.
    Found(Founding),
    /// Fetches the active configuration bundle.
    FetchBundle,
}

/// The response to a [`Request`].
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// From the leader of a shard.
    Shard(Box<Reply>),
    /// The receiver does not lead the shard.
    NotLeader {
        /// The node that may lead it, if known.
        hint: Option<NodeId>,
    },
    /// From the node that owns the engine's queue.
    Engine(EngineReply),
    /// Response to a [`FleetRequest`].
    Fleet(FleetReply),
    /// From a replica of the program ledger; the bytes are a message of the ledger crate.
    Ledger(Bytes),
    /// Response to [`Request::Follow`]; the bytes are a message of the dissemination crate.
    Changes(Bytes),
    /// The receiver could not handle the request.
    Failed(Problem),
}

/// The response to an [`EngineRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum EngineReply {
    /// Estimates per engine; engines that can't take the call are omitted.
    Bids(Vec<Bid>),
    /// The enqueued call may be dispatched to the engine now.
    Granted,
}

/// The response to a [`FleetRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum FleetReply {
    /// Identity of the sender.
    Hello {
        /// The sender's node id and incarnation.
        replica: ReplicaId,
        /// `None` if the sender does not belong to a fleet yet.
        founding: Option<Founding>,
    },
    /// Acknowledges [`FleetRequest::Found`].
    Founded,
    /// The active configuration bundle.
    Bundle {
        generation: Generation,
        /// Source text of the bundle; empty if the sender has none.
        text: String,
    },
}

/// A message without a response; delivery is best effort.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum OneWay {
    Membership(Box<Envelope>),
    /// Replication of a shard.
    Group(Box<GroupMessage>),
    /// Reports to the engine's owner that a dispatched call ended.
    Release {
        engine: EngineName,
        release: Release,
    },
    /// Removes a call from an engine's queue, or returns its grant if it has been granted already.
    Forget {
        engine: EngineName,
        call: CallId,
    },
    /// Frees a program's cached context on an engine after the program ended.
    FreeProgram {
        engine: EngineName,
        program: ProgramId,
    },
    /// Announces the leader of a shard.
    LeaderAnnouncement {
        shard: ShardId,
        /// The leader's term; announcements with a lower term are stale.
        term: u64,
        node: NodeId,
    },
    /// Cancels a running call.
    CancelCall {
        /// The node incarnation that runs the call.
        runner: Runner,
        call: CallId,
    },
}

/// A replication message between replicas of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct GroupMessage {
    pub shard: ShardId,
    pub from: ReplicaId,
    /// Recipient; a node with another incarnation must drop the message.
    pub to: ReplicaId,
    pub message: Message,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestMessage {
    #[prost(oneof = "RequestKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub kind: Option<RequestKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RequestKind {
    #[prost(message, tag = "1")]
    Shard(ShardRequestMessage),
    #[prost(message, tag = "2")]
    Bid(BidRequestMessage),
    #[prost(message, tag = "3")]
    Enqueue(EnqueueMessage),
    #[prost(message, tag = "4")]
    Hello(EmptyMessage),
    #[prost(message, tag = "5")]
    Found(FoundingMessage),
    #[prost(message, tag = "6")]
    FetchBundle(EmptyMessage),
    #[prost(bytes = "bytes", tag = "7")]
    Ledger(Bytes),
    #[prost(bytes = "bytes", tag = "8")]
    Follow(Bytes),
    #[prost(message, tag = "9")]
    Relay(RelayMessage),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardRequestMessage {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(message, optional, tag = "2")]
    pub command: Option<CommandMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BidRequestMessage {
    #[prost(string, repeated, tag = "1")]
    pub engines: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    pub prefixes: Vec<PrefixMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EnqueueMessage {
    #[prost(string, tag = "1")]
    pub engine: String,
    #[prost(message, optional, tag = "2")]
    pub work: Option<WorkMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseMessage {
    #[prost(oneof = "ResponseKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<ResponseKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ResponseKind {
    #[prost(message, tag = "1")]
    Shard(Box<ReplyMessage>),
    #[prost(message, tag = "2")]
    NotLeader(HintMessage),
    #[prost(message, tag = "3")]
    Bids(BidsMessage),
    #[prost(message, tag = "4")]
    Granted(EmptyMessage),
    #[prost(message, tag = "5")]
    Hello(HelloMessage),
    #[prost(message, tag = "6")]
    Founded(EmptyMessage),
    #[prost(message, tag = "7")]
    Bundle(BundleMessage),
    #[prost(message, tag = "8")]
    Failed(ProblemMessage),
    #[prost(bytes = "bytes", tag = "9")]
    Ledger(Bytes),
    #[prost(bytes = "bytes", tag = "10")]
    Changes(Bytes),
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HintMessage {
    #[prost(uint32, optional, tag = "1")]
    pub node: Option<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BidsMessage {
    #[prost(message, repeated, tag = "1")]
    pub bids: Vec<BidMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct HelloMessage {
    #[prost(message, optional, tag = "1")]
    pub replica: Option<ReplicaMessage>,
    #[prost(message, optional, tag = "2")]
    pub founding: Option<FoundingMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleMessage {
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    #[prost(string, tag = "2")]
    pub text: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct OneWayMessage {
    #[prost(oneof = "OneWayKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<OneWayKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum OneWayKind {
    #[prost(message, tag = "1")]
    Membership(EnvelopeMessage),
    #[prost(message, tag = "2")]
    Group(GroupEnvelopeMessage),
    #[prost(message, tag = "3")]
    Release(EngineReleaseMessage),
    #[prost(message, tag = "4")]
    Forget(EngineCallMessage),
    #[prost(message, tag = "5")]
    FreeProgram(EngineProgramMessage),
    #[prost(message, tag = "6")]
    CancelCall(CancelCallMessage),
    #[prost(message, tag = "7")]
    LeaderAnnouncement(LeaderAnnouncementMessage),
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LeaderAnnouncementMessage {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint32, tag = "3")]
    pub node: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupEnvelopeMessage {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(message, optional, tag = "2")]
    pub from: Option<ReplicaMessage>,
    #[prost(message, optional, tag = "3")]
    pub to: Option<ReplicaMessage>,
    #[prost(message, optional, tag = "4")]
    pub message: Option<ReplicationMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineReleaseMessage {
    #[prost(string, tag = "1")]
    pub engine: String,
    #[prost(message, optional, tag = "2")]
    pub release: Option<ReleaseMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineCallMessage {
    #[prost(string, tag = "1")]
    pub engine: String,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineProgramMessage {
    #[prost(string, tag = "1")]
    pub engine: String,
    #[prost(string, tag = "2")]
    pub program: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelCallMessage {
    #[prost(message, optional, tag = "1")]
    pub runner: Option<RunnerMessage>,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
}

impl Wire for Request {
    type Message = RequestMessage;

    fn to_wire(&self) -> RequestMessage {
        let kind = match self {
            Request::Shard(request) => RequestKind::Shard(ShardRequestMessage {
                shard: request.shard.0,
                command: Some(request.command.to_wire()),
            }),
            Request::Engine(EngineRequest::Bid { engines, prefixes }) => {
                RequestKind::Bid(BidRequestMessage {
                    engines: crate::wire::to_strings(engines),
                    prefixes: encode_list(prefixes),
                })
            }
            Request::Engine(EngineRequest::Enqueue { engine, work }) => {
                RequestKind::Enqueue(EnqueueMessage {
                    engine: engine.to_string(),
                    work: Some(work.to_wire()),
                })
            }
            Request::Fleet(FleetRequest::Hello) => RequestKind::Hello(EmptyMessage {}),
            Request::Fleet(FleetRequest::Found(founding)) => RequestKind::Found(founding.to_wire()),
            Request::Fleet(FleetRequest::FetchBundle) => RequestKind::FetchBundle(EmptyMessage {}),
            Request::Ledger(bytes) => RequestKind::Ledger(bytes.clone()),
            Request::Follow(bytes) => RequestKind::Follow(bytes.clone()),
            Request::Relay(relay) => RequestKind::Relay(relay.to_wire()),
        };
        RequestMessage { kind: Some(kind) }
    }

    fn from_wire(message: RequestMessage) -> Result<Self, DecodeError> {
        Ok(match require_field(message.kind, "kind")? {
            RequestKind::Shard(message) => Request::Shard(Box::new(ShardRequest {
                shard: ShardId(message.shard),
                command: decode_required(message.command, "command")?,
            })),
            RequestKind::Bid(message) => Request::Engine(EngineRequest::Bid {
                engines: crate::wire::parse_names(message.engines, "engines")?,
                prefixes: decode_list(message.prefixes)?,
            }),
            RequestKind::Enqueue(message) => Request::Engine(EngineRequest::Enqueue {
                engine: parse_name(message.engine, "engine")?,
                work: Box::new(decode_required(message.work, "work")?),
            }),
            RequestKind::Hello(_) => Request::Fleet(FleetRequest::Hello),
            RequestKind::Found(message) => Request::Fleet(FleetRequest::Found(Wire::from_wire(message)?)),
            RequestKind::FetchBundle(_) => Request::Fleet(FleetRequest::FetchBundle),
            RequestKind::Ledger(bytes) => Request::Ledger(bytes),
            RequestKind::Follow(bytes) => Request::Follow(bytes),
            RequestKind::Relay(message) => Request::Relay(Relay::from_wire(message)?),
        })
    }
}

impl Wire for Response {
    type Message = ResponseMessage;

    fn to_wire(&self) -> ResponseMessage {
        let kind = match self {
            Response::Shard(reply) => ResponseKind::Shard(Box::new(reply.to_wire())),
            Response::NotLeader { hint } => {
                ResponseKind::NotLeader(HintMessage { node: hint.map(|node| node.0) })
            }
            Response::Engine(EngineReply::Bids(bids)) => {
                ResponseKind::Bids(BidsMessage { bids: encode_list(bids) })
            }
            Response::Engine(EngineReply::Granted) => ResponseKind::Granted(EmptyMessage {}),
            Response::Fleet(FleetReply::Hello { replica, founding }) => ResponseKind::Hello(HelloMessage {
                replica: Some(replica.to_wire()),
                founding: founding.as_ref().map(Founding::to_wire),
            }),
            Response::Fleet(FleetReply::Founded) => ResponseKind::Founded(EmptyMessage {}),
            Response::Fleet(FleetReply::Bundle { generation, text }) => {
                ResponseKind::Bundle(BundleMessage { generation: generation.0, text: text.clone() })
            }
            Response::Failed(problem) => ResponseKind::Failed(problem.to_wire()),
            Response::Ledger(bytes) => ResponseKind::Ledger(bytes.clone()),
            Response::Changes(bytes) => ResponseKind::Changes(bytes.clone()),
        };
        ResponseMessage { kind: Some(kind) }
    }

    fn from_wire(message: ResponseMessage) -> Result<Self, DecodeError> {
        Ok(match require_field(message.kind, "kind")? {
            ResponseKind::Shard(message) => Response::Shard(Box::new(Reply::from_wire(*message)?)),
            ResponseKind::NotLeader(message) => Response::NotLeader { hint: message.node.map(NodeId) },
            ResponseKind::Bids(message) => Response::Engine(EngineReply::Bids(decode_list(message.bids)?)),
            ResponseKind::Granted(_) => Response::Engine(EngineReply::Granted),
            ResponseKind::Hello(message) => Response::Fleet(FleetReply::Hello {
                replica: decode_required(message.replica, "replica")?,
                founding: crate::wire::decode_optional(message.founding)?,
            }),
            ResponseKind::Founded(_) => Response::Fleet(FleetReply::Founded),
            ResponseKind::Bundle(message) => Response::Fleet(FleetReply::Bundle {
                generation: Generation(message.generation),
                text: message.text,
            }),
            ResponseKind::Failed(message) => Response::Failed(Problem::from_wire(message)?),
            ResponseKind::Ledger(bytes) => Response::Ledger(bytes),
            ResponseKind::Changes(bytes) => Response::Changes(bytes),
        })
    }
}

impl Wire for OneWay {
    type Message = OneWayMessage;

    fn to_wire(&self) -> OneWayMessage {
        let kind = match self {
            OneWay::Membership(envelope) => OneWayKind::Membership(envelope.to_wire()),
            OneWay::Group(group) => OneWayKind::Group(GroupEnvelopeMessage {
                shard: group.shard.0,
                from: Some(group.from.to_wire()),
                to: Some(group.to.to_wire()),
                message: Some(group.message.to_wire()),
            }),
            OneWay::Release { engine, release } => OneWayKind::Release(EngineReleaseMessage {
                engine: engine.to_string(),
                release: Some(release.to_wire()),
            }),
            OneWay::Forget { engine, call } => OneWayKind::Forget(EngineCallMessage {
                engine: engine.to_string(),
                call: Some(call.to_wire()),
            }),
            OneWay::FreeProgram { engine, program } => OneWayKind::FreeProgram(EngineProgramMessage {
                engine: engine.to_string(),
                program: program.to_string(),
            }),
            OneWay::LeaderAnnouncement { shard, term, node } => {
                OneWayKind::LeaderAnnouncement(LeaderAnnouncementMessage {
                    shard: shard.0,
                    term: *term,
                    node: node.0,
                })
            }
            OneWay::CancelCall { runner, call } => OneWayKind::CancelCall(CancelCallMessage {
                runner: Some(runner.to_wire()),
                call: Some(call.to_wire()),
            }),
        };
        OneWayMessage { kind: Some(kind) }
    }

    fn from_wire(message: OneWayMessage) -> Result<Self, DecodeError> {
        Ok(match require_field(message.kind, "kind")? {
            OneWayKind::Membership(message) => OneWay::Membership(Box::new(Envelope::from_wire(message)?)),
            OneWayKind::Group(message) => OneWay::Group(Box::new(GroupMessage {
                shard: ShardId(message.shard),
                from: decode_required(message.from, "from")?,
                to: decode_required(message.to, "to")?,
                message: decode_required(message.message, "message")?,
            })),
            OneWayKind::Release(message) => OneWay::Release {
                engine: parse_name(message.engine, "engine")?,
                release: decode_required(message.release, "release")?,
            },
            OneWayKind::Forget(message) => OneWay::Forget {
                engine: parse_name(message.engine, "engine")?,
                call: decode_required(message.call, "call")?,
            },
            OneWayKind::FreeProgram(message) => OneWay::FreeProgram {
                engine: parse_name(message.engine, "engine")?,
                program: parse_name(message.program, "program")?,
            },
            OneWayKind::LeaderAnnouncement(message) => OneWay::LeaderAnnouncement {
                shard: ShardId(message.shard),
                term: message.term,
                node: NodeId(message.node),
            },
            OneWayKind::CancelCall(message) => OneWay::CancelCall {
                runner: decode_required(message.runner, "runner")?,
                call: decode_required(message.call, "call")?,
            },
        })
    }
}
