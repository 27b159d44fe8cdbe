//! Answers requests of other nodes.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use sumacdrift_proto::{
    EngineReply, EngineRequest, FleetReply, FleetRequest, OneWay, Request, Response, ShardRequest,
};
use sumacdrift_transport::Handler;
use sumacdrift_types::{Problem, ResultCode};

use crate::parts::Parts;
use crate::shard_host::HostReply;

/// Hands messages of other nodes to the parts that they are for.
pub(crate) struct PeerHandler {
    pub(crate) parts: Arc<Parts>,
}

impl Handler for PeerHandler {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            match request {
                Request::Shard(request) => self.shard_request(*request).await,
                Request::Engine(request) => self.engine_request(request).await,
                Request::Fleet(request) => Response::Fleet(self.fleet_request(request)),
                Request::Ledger(_) | Request::Follow(_) | Request::Relay(_) => Response::Failed(
                    Problem::not_run(ResultCode::NotFound, "this node keeps no ledger replica"),
                ),
            }
        })
    }

    fn one_way(&self, message: OneWay) {
        match message {
            OneWay::Membership(envelope) => self.parts.fleet.receive(*envelope),
            OneWay::Group(group) => self.parts.host.receive(*group),
            OneWay::Release { engine, release } => self.parts.owner.release(&engine, release),
            OneWay::Forget { engine, call } => self.parts.owner.forget(&engine, call),
            OneWay::FreeProgram { engine, program } => self.parts.owner.free_program(&engine, &program),
            OneWay::LeaderAnnouncement { shard, term, node } => {
                self.parts.client.note_leader(shard, term, node)
            }
            OneWay::CancelCall { runner, call } => {
                if runner == self.parts.context.runner() {
                    self.parts.calls.cancel(call);
                }
            }
        }
    }
}

impl PeerHandler {
    async fn shard_request(&self, request: ShardRequest) -> Response {
        let call = request.command.call();
        match self.parts.client.ask_here(request.shard, call, &request.command).await {
            HostReply::Reply(reply) => Response::Shard(Box::new(reply)),
            HostReply::NotLeader(hint) => {
                let own = self.parts.context.own.node;
                let known = self.parts.client.known_leader(request.shard).filter(|node| *node != own);
                Response::NotLeader { hint: hint.or(known) }
            }
        }
    }

    async fn engine_request(&self, request: EngineRequest) -> Response {
        match request {
            EngineRequest::Bid { engines, prefixes } => {
                Response::Engine(EngineReply::Bids(self.parts.owner.bids(&engines, &prefixes)))
            }
            EngineRequest::Enqueue { engine, work } => {
                if self.parts.context.stopping.is_cancelled() {
                    let detail = "the node that queues for the engine is stopping";
                    return Response::Failed(Problem::not_run(ResultCode::NodeStopping, detail));
                }
                match self.parts.owner.enqueue(&engine, *work).await {
                    Ok(()) => Response::Engine(EngineReply::Granted),
                    Err(problem) => Response::Failed(problem),
                }
            }
        }
    }

    fn fleet_request(&self, request: FleetRequest) -> FleetReply {
        match request {
            FleetRequest::Hello => {
                FleetReply::Hello { replica: self.parts.context.own, founding: self.parts.founding.current() }
            }
            FleetRequest::Found(founding) => {
                self.parts.founding.adopt(founding);
                FleetReply::Founded
            }
            FleetRequest::FetchBundle => {
                let current = self.parts.configuration.current();
                let text = current.as_ref().map(|bundle| bundle.source.clone()).unwrap_or_default();
                FleetReply::Bundle { generation: self.parts.configuration.generation(), text }
            }
        }
    }
}
