//! Holds and drives this node's replicas of program shards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};
use std::time::Duration;

use slog::{error, info};
use sumacdrift_program::{Command, Effect, LeaderSettings, Reply};
use sumacdrift_proto::{Founding, GroupMessage, OneWay};
use sumacdrift_replication::{Candidate, Configuration, Message, ReplicaId, spread};
use sumacdrift_shard::{ProgramShard, RepairSettings, ShardOutput, ShardSettings};
use sumacdrift_types::{CallId, NodeId, ShardId};
use tokio::sync::oneshot;

use crate::context::Context;
use crate::engine_router::EngineRouter;
use crate::fleet::Fleet;
use crate::running_calls::RunningCalls;
use crate::shard_client::ShardClient;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks between updates of the gauges.
const GAUGE_UPDATE_TICKS: u32 = 50;

/// Result of submitting a command to this node's replica.
pub(crate) enum SubmitOutcome {
    Reply(Reply),
    /// No replica on this node leads the shard. Carries the leader's node, if known.
    NotLeader(Option<NodeId>),
}

struct HostedShard {
    shard: ProgramShard,
    waiters: HashMap<CallId, oneshot::Sender<Reply>>,
}

pub(crate) struct ShardHost {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    engine_router: Arc<EngineRouter>,
    running_calls: Arc<RunningCalls>,
    settings: ShardSettings,
    shards: RwLock<HashMap<ShardId, Arc<Mutex<HostedShard>>>>,
    /// Sends follow-up commands to other shards. Set after construction, because the client needs the host.
    shard_client: RwLock<Weak<ShardClient>>,
}

impl ShardHost {
    pub(crate) fn new(
        context: Arc<Context>,
        fleet: Arc<Fleet>,
        engine_router: Arc<EngineRouter>,
        running_calls: Arc<RunningCalls>,
    ) -> Self {
        let fleet_settings = &context.settings.fleet;
        let settings = ShardSettings {
            leader: LeaderSettings {
                idle_lease: fleet_settings.idle_lease,
                retention: fleet_settings.retention,
                ..LeaderSettings::default()
            },
            repair: RepairSettings { replicas: fleet_settings.replicas, ..RepairSettings::default() },
            ..ShardSettings::default()
        };
        Self {
            context,
            fleet,
            engine_router,
            running_calls,
            settings,
            shards: RwLock::default(),
            shard_client: RwLock::new(Weak::new()),
        }
    }

    pub(crate) fn set_shard_client(&self, shard_client: &Arc<ShardClient>) {
        *self.shard_client.write().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(shard_client);
    }

    /// Creates the shard replicas that this node holds as a founder; none if it isn't one.
    pub(crate) fn create_founding_replicas(&self, founding: &Founding) {
        let own_replica = self.context.own_replica;
        let candidates: Vec<Candidate> = founding
            .founders
            .iter()
            .map(|founder| Candidate { replica: founder.replica, zone: founder.zone.clone() })
            .collect();
        for number in 0..founding.shards {
            let chosen = spread(u64::from(number), &candidates, &[], self.settings.repair.replicas);
            let voters: Vec<ReplicaId> = chosen.iter().map(|candidate| candidate.replica).collect();
            if voters.contains(&own_replica) {
                let (id, now, random_seed) =
                    (ShardId(number), self.context.now(), self.context.random_seed());
                let configuration = Configuration::of_voters(voters);
                let shard =
                    ProgramShard::bootstrap(id, own_replica, configuration, self.settings, random_seed, now);
                self.insert(shard);
            }
        }
    }

    /// Submits a command to the replica on this node and waits for the reply.
    pub(crate) async fn submit(&self, shard: ShardId, call: CallId, command: Command) -> SubmitOutcome {
        let Some(hosted) = self.get(shard) else { return SubmitOutcome::NotLeader(None) };
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.context.now();
            let mut hosted = lock(&hosted);
            hosted.waiters.insert(call, sender);
            if let Err(not_leader) = hosted.shard.command(command, now) {
                hosted.waiters.remove(&call);
                return SubmitOutcome::NotLeader(not_leader.hint.map(|leader| leader.node));
            }
            self.apply_outputs(&mut hosted);
        }
        match receiver.await {
            Ok(reply) => SubmitOutcome::Reply(reply),
            Err(_) => SubmitOutcome::NotLeader(None),
        }
    }

    /// Submits a command that has no reply. Returns whether the replica on this node accepted it.
    pub(crate) fn submit_without_reply(&self, shard: ShardId, command: Command) -> bool {
        let Some(hosted) = self.get(shard) else { return false };
        let mut hosted = lock(&hosted);
        let is_accepted = hosted.shard.command(command, self.context.now()).is_ok();
        self.apply_outputs(&mut hosted);
        is_accepted
    }

    /// Handles a message from another replica. Messages to an earlier incarnation of this node are ignored.
    pub(crate) fn receive(&self, group: GroupMessage) {
        if group.to != self.context.own_replica {
            return;
        }
        let hosted = match self.get(group.shard) {
            Some(hosted) => hosted,
            None if creates_replica(&group.message) => self.join_group(group.shard),
            None => return,
        };
        let mut hosted = lock(&hosted);
        hosted.shard.receive(group.from, group.message, self.context.now());
        self.apply_outputs(&mut hosted);
    }

    /// Ticks the replicas until the node stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = 0_u32;
        let tick = || {
            self.tick();
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(GAUGE_UPDATE_TICKS) {
                self.set_gauges();
            }
        };
        self.context.run_every(TICK_INTERVAL, tick).await;
    }

    /// Starts transferring each led shard to a usable node. Returns the number of shards still led here.
    pub(crate) fn transfer_leaderships(&self) -> usize {
        let usable = self.fleet.replica_view().usable;
        let stays = |replica: ReplicaId| usable.iter().any(|candidate| candidate.replica == replica);
        let mut led = 0;
        for hosted in self.all() {
            let mut hosted = lock(&hosted);
            let now = self.context.now();
            if hosted.shard.replica().is_established_leader() && hosted.shard.transfer_leadership(&stays, now)
            {
                led += 1;
            }
            self.apply_outputs(&mut hosted);
        }
        led
    }

    /// Number of shards in which this node is still a voter.
    pub(crate) fn voting_shard_count(&self) -> usize {
        let own_replica = self.context.own_replica;
        let is_voter = |hosted: &Arc<Mutex<HostedShard>>| {
            let hosted = lock(hosted);
            hosted.shard.replica().configuration().is_voter(own_replica) && !hosted.shard.is_removed()
        };
        self.all().iter().filter(|hosted| is_voter(hosted)).count()
    }

    /// Number of shards led here, and how many of them have fewer replicas than the live nodes allow.
    pub(crate) fn repair_counts(&self) -> (usize, usize) {
        let view = self.fleet.replica_view();
        let now = self.context.now();
        let (mut led, mut unrepaired) = (0, 0);
        for hosted in self.all() {
            let hosted = lock(&hosted);
            if hosted.shard.is_serving(now) {
                led += 1;
                unrepaired += usize::from(hosted.shard.needs_repair(&view));
            }
        }
        (led, unrepaired)
    }

    /// Shard, whether it is led here, and term of each replica on this node.
    pub(crate) fn shard_roles(&self) -> Vec<(ShardId, bool, u64)> {
        let now = self.context.now();
        let mut roles: Vec<(ShardId, bool, u64)> = self
            .all()
            .iter()
            .map(|hosted| {
                let hosted = lock(hosted);
                (hosted.shard.id(), hosted.shard.is_serving(now), hosted.shard.replica().term())
            })
            .collect();
        roles.sort();
        roles
    }

    fn tick(&self) {
        let view = self.fleet.replica_view();
        let fleet = Arc::clone(&self.fleet);
        let is_alive = move |runner| fleet.is_alive(runner);
        let mut removed = Vec::new();
        for hosted in self.all() {
            let mut hosted = lock(&hosted);
            let now = self.context.now();
            hosted.shard.tick(now, &is_alive);
            if !self.context.stopping.is_cancelled() {
                hosted.shard.repair(&view, now);
            }
            self.apply_outputs(&mut hosted);
            if hosted.shard.is_removed() {
                removed.push(hosted.shard.id());
            }
        }
        for shard in removed {
            info!(self.context.logger, "replica removed from its group"; "shard" => shard.0);
            self.write().remove(&shard);
        }
    }

    fn set_gauges(&self) {
        let now = self.context.now();
        let (mut led, mut programs, mut log_bytes) = (0, 0, 0);
        let all = self.all();
        for hosted in &all {
            let hosted = lock(hosted);
            led += i64::from(hosted.shard.is_serving(now));
            programs += hosted.shard.state().programs().count() as i64;
            log_bytes += hosted.shard.replica().log_bytes() as i64;
        }
        let metrics = &self.context.metrics;
        metrics.shards_held.set(all.len() as i64);
        metrics.shards_led.set(led);
        metrics.programs_held.set(programs);
        metrics.log_bytes.set(log_bytes);
    }

    fn join_group(&self, id: ShardId) -> Arc<Mutex<HostedShard>> {
        let (own_replica, now, random_seed) =
            (self.context.own_replica, self.context.now(), self.context.random_seed());
        info!(self.context.logger, "replica joining its group"; "shard" => id.0);
        self.insert(ProgramShard::join(id, own_replica, self.settings, random_seed, now))
    }

    fn insert(&self, shard: ProgramShard) -> Arc<Mutex<HostedShard>> {
        let id = shard.id();
        let hosted = Arc::new(Mutex::new(HostedShard { shard, waiters: HashMap::new() }));
        Arc::clone(self.write().entry(id).or_insert(hosted))
    }

    fn get(&self, shard: ShardId) -> Option<Arc<Mutex<HostedShard>>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).get(&shard).cloned()
    }

    fn all(&self) -> Vec<Arc<Mutex<HostedShard>>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, HashMap<ShardId, Arc<Mutex<HostedShard>>>> {
        self.shards.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_outputs(&self, hosted: &mut HostedShard) {
        loop {
            let outputs = hosted.shard.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.apply_output(hosted, output);
            }
        }
    }

    fn apply_output(&self, hosted: &mut HostedShard, output: ShardOutput) {
        let shard = hosted.shard.id();
        match output {
            ShardOutput::Send { to, message } => self.send(shard, to, message),
            ShardOutput::Reply { call, reply } => self.deliver_reply(hosted, call, reply),
            ShardOutput::Effect(effect) => self.apply_effect(effect),
            ShardOutput::BecameLeader { term } => {
                info!(self.context.logger, "became leader of the shard"; "shard" => shard.0, "term" => term);
                let node = self.context.own_replica.node;
                for peer in self.fleet.live_peers() {
                    self.context.transport.send(peer, OneWay::LeaderAnnouncement { shard, term, node });
                }
                if let Some(shard_client) = self.shard_client() {
                    shard_client.record_leader(shard, term, node);
                }
            }
            ShardOutput::LostLeadership => {
                info!(self.context.logger, "lost leadership of the shard"; "shard" => shard.0);
                hosted.waiters.clear();
            }
            ShardOutput::Undecodable => {
                error!(self.context.logger, "failed to decode a committed entry; dropping the replica";
                    "shard" => shard.0);
                hosted.waiters.clear();
                self.write().remove(&shard);
            }
        }
    }

    /// Delivers a reply to its waiter. A turn that was admitted after its waiter left is abandoned at once.
    fn deliver_reply(&self, hosted: &mut HostedShard, call: CallId, reply: Reply) {
        let undelivered = match hosted.waiters.remove(&call) {
            Some(waiter) => waiter.send(reply).err(),
            None => Some(reply),
        };
        if let Some(Reply::Run(_)) = undelivered {
            let owner = hosted
                .shard
                .state()
                .programs()
                .find_map(|(program, record)| record.in_flight_call(call).map(|_| program.clone()));
            if let Some(program) = owner {
                let reason = "its caller left before it began".to_owned();
                let engines = Vec::new();
                let abandon = Command::AbandonTurn { program, call, output_tokens: 0, engines, reason };
                let _ = hosted.shard.command(abandon, self.context.now());
            }
        }
    }

    fn send(&self, shard: ShardId, to: ReplicaId, message: Message) {
        let Some(address) = self.fleet.address_of(to.node) else { return };
        let group = GroupMessage { shard, from: self.context.own_replica, to, message };
        self.context.transport.send(address, OneWay::Group(Box::new(group)));
    }

    fn apply_effect(&self, effect: Effect) {
        match effect {
            Effect::Reply { .. } => {}
            Effect::Cancel { runner, call } => {
                if runner == self.context.runner() {
                    self.running_calls.cancel(call);
                } else if let Some(address) = self.fleet.address_of(runner.node) {
                    self.context.transport.send(address, OneWay::CancelCall { runner, call });
                }
            }
            Effect::FreeEngines { program, engines } => self.engine_router.free_program(&program, &engines),
            Effect::EndChild { child } => {
                let call = CallId::random(&mut rand::rng());
                let command = Command::EndProgram { call, program: child.clone(), tenant: None };
                self.send_follow_up(child, call, command);
            }
            Effect::ReturnToParent { parent, child, unused } => {
                let call = CallId::random(&mut rand::rng());
                let command = Command::ReturnChild { parent: parent.clone(), child, unused };
                self.send_follow_up(parent, call, command);
            }
        }
    }

    /// Sends a command to another program's shard in the background.
    fn send_follow_up(&self, program: sumacdrift_types::ProgramId, call: CallId, command: Command) {
        let Some(shard_client) = self.shard_client() else { return };
        tokio::spawn(async move {
            shard_client.send_follow_up(&program, call, command).await;
        });
    }

    fn shard_client(&self) -> Option<Arc<ShardClient>> {
        self.shard_client.read().unwrap_or_else(PoisonError::into_inner).upgrade()
    }
}

fn lock(hosted: &Mutex<HostedShard>) -> MutexGuard<'_, HostedShard> {
    hosted.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Only messages from a leader create a replica; a stray vote request must not.
fn creates_replica(message: &Message) -> bool {
    matches!(message, Message::AppendEntries(_) | Message::InstallSnapshot(_))
}
