//! Founding the fleet, or joining one that exists.
//!
//! A fleet whose machines keep nothing can't remember whether it was founded before. So a fleet is founded only
//! when every founding node named in the settings is present and none of them knows of a fleet; a node that
//! meets any member of a fleet joins that one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::info;
use sumacdrift_proto::{FleetReply, FleetRequest, Founder, Founding, Request, Response};
use sumacdrift_types::NodeId;

use crate::context::Context;
use crate::fleet::Fleet;
use crate::shard_client::ShardClient;
use crate::shard_host::ShardHost;

/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long a node is given to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What this node knows of the fleet's founding.
pub(crate) struct FoundingState {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    host: Arc<ShardHost>,
    client: Arc<ShardClient>,
    founding: Mutex<Option<Founding>>,
}

impl FoundingState {
    pub(crate) fn new(
        context: Arc<Context>,
        fleet: Arc<Fleet>,
        host: Arc<ShardHost>,
        client: Arc<ShardClient>,
    ) -> Self {
        Self { context, fleet, host, client, founding: Mutex::new(None) }
    }

    /// The founding, where it is known.
    pub(crate) fn current(&self) -> Option<Founding> {
        self.founding.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes over a founding, unless one is known already.
    pub(crate) fn adopt(&self, founding: Founding) {
        {
            let mut current = self.founding.lock().unwrap_or_else(PoisonError::into_inner);
            if current.is_some() {
                return;
            }
            *current = Some(founding.clone());
        }
        info!(self.context.logger, "belongs to a fleet"; "fleet" => founding.fleet,
            "shards" => founding.shards);
        self.host.found(&founding);
        self.client.set_shards(founding.shards);
    }

    /// Asks the seeds and all known members until the node belongs to a fleet.
    pub(crate) async fn run(self: Arc<Self>) {
        while self.current().is_none() {
            let answers = self.ask_all().await;
            if let Some(founding) = answers.iter().find_map(|answer| answer.founding.clone()) {
                self.adopt(founding);
            } else if let Some(founding) = self.try_found(&answers) {
                self.adopt(founding.clone());
                self.tell(founding).await;
            }
            tokio::select! {
                () = self.context.stopped.cancelled() => return,
                () = tokio::time::sleep(ROUND_PAUSE) => {}
            }
        }
    }

    async fn ask_all(&self) -> Vec<Answer> {
        let mut addresses = self.context.settings.fleet.seeds.clone();
        addresses.extend(self.fleet.live_peers());
        addresses.sort();
        addresses.dedup();
        let own = self.fleet.address_of(self.context.own.node);
        addresses.retain(|address| Some(*address) != own);
        let asked = addresses.into_iter().map(|address| self.ask(address));
        futures::future::join_all(asked).await.into_iter().flatten().collect()
    }

    async fn ask(&self, address: SocketAddr) -> Option<Answer> {
        let request = Request::Fleet(FleetRequest::Hello);
        match self.context.transport.request(address, request, ANSWER_TIMEOUT).await {
            Ok(Response::Fleet(FleetReply::Hello { replica, founding })) => {
                Some(Answer { node: replica.node, founding })
            }
            _ => None,
        }
    }

    /// Founds the fleet if this node is the first founder and all the others are there and know of none.
    fn try_found(&self, answers: &[Answer]) -> Option<Founding> {
        let founders = &self.context.settings.fleet.founders;
        let own = self.context.own.node;
        let is_first = founders.first() == Some(&own);
        let answered = |node: &NodeId| *node == own || answers.iter().any(|answer| answer.node == *node);
        if !is_first || !founders.iter().all(answered) {
            return None;
        }
        let members = self.fleet.members();
        let mut present = Vec::new();
        for founder in founders {
            let member = members.iter().find(|member| member.node == *founder)?;
            let replica =
                sumacdrift_replication::ReplicaId { node: member.node, incarnation: member.incarnation };
            present.push(Founder { replica, zone: member.zone.clone() });
        }
        let shards = self.context.settings.fleet.shards;
        Some(Founding { fleet: self.context.seed(), shards, founders: present })
    }

    async fn tell(&self, founding: Founding) {
        for founder in &founding.founders {
            let Some(address) = self.fleet.address_of(founder.replica.node) else { continue };
            if founder.replica != self.context.own {
                let request = Request::Fleet(FleetRequest::Found(founding.clone()));
                // Who does not hear of it here finds out by asking.
                let _ = self.context.transport.request(address, request, ANSWER_TIMEOUT).await;
            }
        }
    }
}

struct Answer {
    node: NodeId,
    founding: Option<Founding>,
}
