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
use crate::wire::{DecodeError, Wire, messages, name, required, required_value, values};

/// A request that one node makes of another and that is answered once.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// To the leader of a shard.
    Shard(Box<ShardRequest>),
    /// To the owner of an engine.
    Engine(EngineRequest),
    /// About the fleet itself.
    Fleet(FleetRequest),
    /// To a replica of the program ledger; the bytes are a message of the ledger crate.
    Ledger(Bytes),
    /// To a node that passes on what it learns from an outside store; the bytes are a message of the dissemination
    /// crate.
    Follow(Bytes),
    /// To a node that passes a question on to one that the asker does not reach.
    Relay(Relay),
}

/// A command for a shard's leader.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardRequest {
    /// The shard.
    pub shard: ShardId,
    /// The command.
    pub command: Command,
}

/// A request to an engine's owner.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineRequest {
    /// What would a call meet at these engines?
    Bid {
        /// The engines, all of one owner.
        engines: Vec<EngineName>,
        /// Points of the call's prompt.
        prefixes: Vec<ContextPrefix>,
    },
    /// Queue a call; answered when it may be sent.
    Enqueue {
        /// The engine.
        engine: EngineName,
        /// The call.
        work: Box<EngineWork>,
    },
}

/// A request about the fleet itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetRequest {
    /// Is there a fleet, and who are you?
    Hello,
    /// The fleet is founded with these replicas.
    Found(Founding),
    /// Send the configuration in force.
    FetchBundle,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// From a shard's leader.
    Shard(Box<Reply>),
    /// The node asked does not lead the shard.
    NotLeader {
        /// Who might.
        hint: Option<NodeId>,
    },
    /// From an engine's owner.
    Engine(EngineReply),
    /// About the fleet.
    Fleet(FleetReply),
    /// From a replica of the program ledger; the bytes are a message of the ledger crate.
    Ledger(Bytes),
    /// What was learned from an outside store; the bytes are a message of the dissemination crate.
    Changes(Bytes),
    /// The request could not be handled at all.
    Failed(Problem),
}

/// The answer of an engine's owner.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineReply {
    /// Offers; engines that can't take the call are left out.
    Bids(Vec<Bid>),
    /// The call may be sent to the engine now.
    Granted,
}

/// The answer to a request about the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetReply {
    /// Who answers, and the fleet that it belongs to.
    Hello {
        /// The node's life.
        replica: ReplicaId,
        /// The founding, where there is a fleet.
        founding: Option<Founding>,
    },
    /// The founding was taken over.
    Founded,
    /// The configuration in force.
    Bundle {
        /// Its generation.
        generation: Generation,
        /// Its text.
        text: String,
    },
}

/// A message that is not answered and may be lost.
#[derive(Debug, Clone, PartialEq)]
pub enum OneWay {
    /// Of the membership protocol.
    Membership(Box<Envelope>),
    /// Between replicas of a shard.
    Group(Box<GroupMessage>),
    /// A granted call ended.
    Release {
        /// The engine.
        engine: EngineName,
        /// How it ended.
        release: Release,
    },
    /// A queued call is no longer wanted.
    Forget {
        /// The engine.
        engine: EngineName,
        /// The call.
        call: CallId,
    },
    /// A program ended; its memory on the engine may go.
    FreeProgram {
        /// The engine.
        engine: EngineName,
        /// The program.
        program: ProgramId,
    },
    /// A node leads a shard from now on.
    LeaderAnnouncement {
        /// The shard.
        shard: ShardId,
        /// The leader's term; a lower one is old news.
        term: u64,
        /// The leader.
        node: NodeId,
    },
    /// A call must be stopped by the node that runs it.
    CancelCall {
        /// The life that runs it.
        runner: Runner,
        /// The call.
        call: CallId,
    },
}

/// A message between replicas of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMessage {
    /// The shard.
    pub shard: ShardId,
    /// Who sent it.
    pub from: ReplicaId,
    /// For which life it is; another one must drop it.
    pub to: ReplicaId,
    /// The message.
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
                    engines: crate::wire::texts(engines),
                    prefixes: messages(prefixes),
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
        Ok(match required(message.kind, "kind")? {
            RequestKind::Shard(message) => Request::Shard(Box::new(ShardRequest {
                shard: ShardId(message.shard),
                command: required_value(message.command, "command")?,
            })),
            RequestKind::Bid(message) => Request::Engine(EngineRequest::Bid {
                engines: crate::wire::names(message.engines, "engines")?,
                prefixes: values(message.prefixes)?,
            }),
            RequestKind::Enqueue(message) => Request::Engine(EngineRequest::Enqueue {
                engine: name(message.engine, "engine")?,
                work: Box::new(required_value(message.work, "work")?),
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
                ResponseKind::Bids(BidsMessage { bids: messages(bids) })
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
        Ok(match required(message.kind, "kind")? {
            ResponseKind::Shard(message) => Response::Shard(Box::new(Reply::from_wire(*message)?)),
            ResponseKind::NotLeader(message) => Response::NotLeader { hint: message.node.map(NodeId) },
            ResponseKind::Bids(message) => Response::Engine(EngineReply::Bids(values(message.bids)?)),
            ResponseKind::Granted(_) => Response::Engine(EngineReply::Granted),
            ResponseKind::Hello(message) => Response::Fleet(FleetReply::Hello {
                replica: required_value(message.replica, "replica")?,
                founding: crate::wire::optional_value(message.founding)?,
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
        Ok(match required(message.kind, "kind")? {
            OneWayKind::Membership(message) => OneWay::Membership(Box::new(Envelope::from_wire(message)?)),
            OneWayKind::Group(message) => OneWay::Group(Box::new(GroupMessage {
                shard: ShardId(message.shard),
                from: required_value(message.from, "from")?,
                to: required_value(message.to, "to")?,
                message: required_value(message.message, "message")?,
            })),
            OneWayKind::Release(message) => OneWay::Release {
                engine: name(message.engine, "engine")?,
                release: required_value(message.release, "release")?,
            },
            OneWayKind::Forget(message) => OneWay::Forget {
                engine: name(message.engine, "engine")?,
                call: required_value(message.call, "call")?,
            },
            OneWayKind::FreeProgram(message) => OneWay::FreeProgram {
                engine: name(message.engine, "engine")?,
                program: name(message.program, "program")?,
            },
            OneWayKind::LeaderAnnouncement(message) => OneWay::LeaderAnnouncement {
                shard: ShardId(message.shard),
                term: message.term,
                node: NodeId(message.node),
            },
            OneWayKind::CancelCall(message) => OneWay::CancelCall {
                runner: required_value(message.runner, "runner")?,
                call: required_value(message.call, "call")?,
            },
        })
    }
}
