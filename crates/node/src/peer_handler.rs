//! Handles messages from other nodes.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use sumacdrift_proto::{
    EngineReply, EngineRequest, FleetReply, FleetRequest, OneWay, Request, Response, ShardRequest,
};
use sumacdrift_transport::Handler;
use sumacdrift_types::{Problem, ResultCode};

use crate::components::Components;
use crate::shard_host::SubmitOutcome;

/// Routes messages from other nodes to the component concerned.
pub(crate) struct PeerHandler {
    pub(crate) components: Arc<Components>,
}

impl Handler for PeerHandler {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            match request {
                Request::Shard(request) => self.shard_request(*request).await,
                Request::Engine(request) => self.engine_request(request).await,
                Request::Fleet(request) => Response::Fleet(self.fleet_request(request)),
                Request::Ledger(_) | Request::Follow(_) | Request::Relay(_) => Response::Failed(
                    Problem::not_run(ResultCode::NotFound, "this node holds no ledger replica"),
                ),
            }
        })
    }

    fn one_way(&self, message: OneWay) {
        match message {
            OneWay::Membership(envelope) => self.components.fleet.receive(*envelope),
            OneWay::Group(group) => self.components.shard_host.receive(*group),
            OneWay::Release { engine, release } => self.components.engine_owner.release(&engine, release),
            OneWay::Forget { engine, call } => self.components.engine_owner.cancel_call(&engine, call),
            OneWay::FreeProgram { engine, program } => {
                self.components.engine_owner.free_program(&engine, &program)
            }
            OneWay::LeaderAnnouncement { shard, term, node } => {
                self.components.shard_client.record_leader(shard, term, node)
            }
            OneWay::CancelCall { runner, call } => {
                if runner == self.components.context.runner() {
                    self.components.running_calls.cancel(call);
                }
            }
        }
    }
}

impl PeerHandler {
    async fn shard_request(&self, request: ShardRequest) -> Response {
        let call = request.command.call();
        match self.components.shard_client.submit_locally(request.shard, call, &request.command).await {
            SubmitOutcome::Reply(reply) => Response::Shard(Box::new(reply)),
            SubmitOutcome::NotLeader(hint) => {
                let own_node = self.components.context.own_replica.node;
                let known =
                    self.components.shard_client.known_leader(request.shard).filter(|node| *node != own_node);
                Response::NotLeader { hint: hint.or(known) }
            }
        }
    }

    async fn engine_request(&self, request: EngineRequest) -> Response {
        match request {
            EngineRequest::Bid { engines, prefixes } => {
                Response::Engine(EngineReply::Bids(self.components.engine_owner.bids(&engines, &prefixes)))
            }
            EngineRequest::Enqueue { engine, work } => {
                if self.components.context.stopping.is_cancelled() {
                    let detail = "the node that owns the engine's queue is shutting down";
                    return Response::Failed(Problem::not_run(ResultCode::NodeStopping, detail));
                }
                match self.components.engine_owner.enqueue(&engine, *work).await {
                    Ok(()) => Response::Engine(EngineReply::Granted),
                    Err(problem) => Response::Failed(problem),
                }
            }
        }
    }

    fn fleet_request(&self, request: FleetRequest) -> FleetReply {
        match request {
            FleetRequest::Hello => FleetReply::Hello {
                replica: self.components.context.own_replica,
                founding: self.components.founding.current(),
            },
            FleetRequest::Found(founding) => {
                self.components.founding.adopt(founding);
                FleetReply::Founded
            }
            FleetRequest::FetchBundle => {
                let current = self.components.configuration.current();
                let text = current.as_ref().map(|bundle| bundle.source.clone()).unwrap_or_default();
                FleetReply::Bundle { generation: self.components.configuration.generation(), text }
            }
        }
    }
}
