//! Answers requests of other nodes.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use sumacdrift_proto::{
    EngineReply, EngineRequest, FleetReply, FleetRequest, OneWay, Request, Response, ShardRequest,
};
use sumacdrift_transport::Handler;
use sumacdrift_types::{Problem, ResultCode};

use crate::calls::RunningCalls;
use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::engine_owner::EngineOwner;
use crate::fleet::Fleet;
use crate::founding::FoundingState;
use crate::shard_client::ShardClient;
use crate::shard_host::{HostReply, ShardHost};

/// Hands messages of other nodes to the parts that they are for.
pub(crate) struct PeerHandler {
    pub(crate) context: Arc<Context>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) host: Arc<ShardHost>,
    pub(crate) client: Arc<ShardClient>,
    pub(crate) owner: Arc<EngineOwner>,
    pub(crate) configuration: Arc<ConfigurationStore>,
    pub(crate) founding: Arc<FoundingState>,
    pub(crate) calls: Arc<RunningCalls>,
}

impl Handler for PeerHandler {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            match request {
                Request::Shard(request) => self.shard_request(*request).await,
                Request::Engine(request) => self.engine_request(request).await,
                Request::Fleet(request) => Response::Fleet(self.fleet_request(request)),
            }
        })
    }

    fn one_way(&self, message: OneWay) {
        match message {
            OneWay::Membership(envelope) => self.fleet.receive(*envelope),
            OneWay::Group(group) => self.host.receive(*group),
            OneWay::Release { engine, release } => self.owner.release(&engine, release),
            OneWay::Forget { engine, call } => self.owner.forget(&engine, call),
            OneWay::FreeProgram { engine, program } => self.owner.free_program(&engine, &program),
            OneWay::LeaderAnnouncement { shard, term, node } => self.client.note_leader(shard, term, node),
            OneWay::CancelCall { runner, call } => {
                if runner == self.context.runner() {
                    self.calls.cancel(call);
                }
            }
        }
    }
}

impl PeerHandler {
    async fn shard_request(&self, request: ShardRequest) -> Response {
        let call = request.command.call();
        match self.client.ask_here(request.shard, call, &request.command).await {
            HostReply::Reply(reply) => Response::Shard(Box::new(reply)),
            HostReply::NotLeader(hint) => {
                let own = self.context.own.node;
                let known = self.client.known_leader(request.shard).filter(|node| *node != own);
                Response::NotLeader { hint: hint.or(known) }
            }
        }
    }

    async fn engine_request(&self, request: EngineRequest) -> Response {
        match request {
            EngineRequest::Bid { engines, prefixes } => {
                Response::Engine(EngineReply::Bids(self.owner.bids(&engines, &prefixes)))
            }
            EngineRequest::Enqueue { engine, work } => {
                if self.context.stopping.is_cancelled() {
                    let detail = "the node that queues for the engine is stopping";
                    return Response::Failed(Problem::not_run(ResultCode::NodeStopping, detail));
                }
                match self.owner.enqueue(&engine, *work).await {
                    Ok(()) => Response::Engine(EngineReply::Granted),
                    Err(problem) => Response::Failed(problem),
                }
            }
        }
    }

    fn fleet_request(&self, request: FleetRequest) -> FleetReply {
        match request {
            FleetRequest::Hello => {
                FleetReply::Hello { replica: self.context.own, founding: self.founding.current() }
            }
            FleetRequest::Found(founding) => {
                self.founding.adopt(founding);
                FleetReply::Founded
            }
            FleetRequest::FetchBundle => {
                let current = self.configuration.current();
                let text = current.as_ref().map(|bundle| bundle.source.clone()).unwrap_or_default();
                FleetReply::Bundle { generation: self.configuration.generation(), text }
            }
        }
    }
}
