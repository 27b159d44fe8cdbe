//! Fleet bootstrap: creates a new fleet or joins an existing one.
//!
//! Nodes keep nothing on disk, so a restarted fleet can't tell whether it was bootstrapped before. A fleet is
//! therefore created only when every founding node named in the settings is present and none of them knows of
//! a fleet. A node that reaches any member of a fleet joins it.

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

const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Tracks which fleet this node belongs to.
pub(crate) struct FoundingState {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    shard_host: Arc<ShardHost>,
    shard_client: Arc<ShardClient>,
    founding: Mutex<Option<Founding>>,
}

impl FoundingState {
    pub(crate) fn new(
        context: Arc<Context>,
        fleet: Arc<Fleet>,
        shard_host: Arc<ShardHost>,
        shard_client: Arc<ShardClient>,
    ) -> Self {
        Self { context, fleet, shard_host, shard_client, founding: Mutex::new(None) }
    }

    /// The fleet's bootstrap record; `None` until this node has joined.
    pub(crate) fn current(&self) -> Option<Founding> {
        self.founding.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Joins a fleet. Does nothing if this node already belongs to one.
    pub(crate) fn adopt(&self, founding: Founding) {
        {
            let mut current = self.founding.lock().unwrap_or_else(PoisonError::into_inner);
            if current.is_some() {
                return;
            }
            *current = Some(founding.clone());
        }
        info!(self.context.logger, "joined the fleet"; "fleet" => founding.fleet,
            "shards" => founding.shards);
        self.shard_host.create_founding_replicas(&founding);
        self.shard_client.set_shard_count(founding.shards);
    }

    /// Queries the seeds and all known members until the node belongs to a fleet.
    pub(crate) async fn run(self: Arc<Self>) {
        while self.current().is_none() {
            let answers = self.query_peers().await;
            if let Some(founding) = answers.iter().find_map(|answer| answer.founding.clone()) {
                self.adopt(founding);
            } else if let Some(founding) = self.propose_founding(&answers) {
                self.adopt(founding.clone());
                self.announce(founding).await;
            }
            tokio::select! {
                () = self.context.stopped.cancelled() => return,
                () = tokio::time::sleep(ROUND_INTERVAL) => {}
            }
        }
    }

    async fn query_peers(&self) -> Vec<PeerAnswer> {
        let mut addresses = self.context.settings.fleet.seeds.clone();
        addresses.extend(self.fleet.live_peers());
        addresses.sort();
        addresses.dedup();
        let own_address = self.fleet.address_of(self.context.own_replica.node);
        addresses.retain(|address| Some(*address) != own_address);
        let asked = addresses.into_iter().map(|address| self.query_peer(address));
        futures::future::join_all(asked).await.into_iter().flatten().collect()
    }

    async fn query_peer(&self, address: SocketAddr) -> Option<PeerAnswer> {
        let request = Request::Fleet(FleetRequest::Hello);
        match self.context.transport.request(address, request, ANSWER_TIMEOUT).await {
            Ok(Response::Fleet(FleetReply::Hello { replica, founding })) => {
                Some(PeerAnswer { node: replica.node, founding })
            }
            _ => None,
        }
    }

    /// Returns a new bootstrap record if this node is the first founder, all the others answered and the
    /// member list contains all of them. The caller has checked that none of them knows of a fleet.
    fn propose_founding(&self, answers: &[PeerAnswer]) -> Option<Founding> {
        let founders = &self.context.settings.fleet.founders;
        let own_node = self.context.own_replica.node;
        let is_first = founders.first() == Some(&own_node);
        let answered = |node: &NodeId| *node == own_node || answers.iter().any(|answer| answer.node == *node);
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
        Some(Founding { fleet: self.context.random_seed(), shards, founders: present })
    }

    async fn announce(&self, founding: Founding) {
        for founder in &founding.founders {
            let Some(address) = self.fleet.address_of(founder.replica.node) else { continue };
            if founder.replica != self.context.own_replica {
                let request = Request::Fleet(FleetRequest::Found(founding.clone()));
                // A founder that misses this request learns of the fleet by its own queries.
                let _ = self.context.transport.request(address, request, ANSWER_TIMEOUT).await;
            }
        }
    }
}

struct PeerAnswer {
    node: NodeId,
    founding: Option<Founding>,
}
