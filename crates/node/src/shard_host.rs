//! Holds this node's replicas of program shards and drives them.

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

use crate::calls::RunningCalls;
use crate::context::Context;
use crate::engine_router::EngineRouter;
use crate::fleet::Fleet;
use crate::shard_client::ShardClient;

/// How often replicas are given the time.
const TICK: Duration = Duration::from_millis(20);
/// How often the gauges are brought up to date, in ticks.
const GAUGE_TICKS: u32 = 50;

/// The result of handing a command to this node's replica.
pub(crate) enum HostReply {
    /// The leader's answer.
    Reply(Reply),
    /// No replica here leads the shard.
    NotLeader(Option<NodeId>),
}

struct Hosted {
    shard: ProgramShard,
    waiting: HashMap<CallId, oneshot::Sender<Reply>>,
}

/// This node's replicas.
pub(crate) struct ShardHost {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    router: Arc<EngineRouter>,
    calls: Arc<RunningCalls>,
    settings: ShardSettings,
    shards: RwLock<HashMap<ShardId, Arc<Mutex<Hosted>>>>,
    /// For follow-up commands to other shards; set once, after both exist.
    client: RwLock<Weak<ShardClient>>,
}

impl ShardHost {
    pub(crate) fn new(
        context: Arc<Context>,
        fleet: Arc<Fleet>,
        router: Arc<EngineRouter>,
        calls: Arc<RunningCalls>,
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
            router,
            calls,
            settings,
            shards: RwLock::default(),
            client: RwLock::new(Weak::new()),
        }
    }

    pub(crate) fn set_client(&self, client: &Arc<ShardClient>) {
        *self.client.write().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(client);
    }

    /// Creates the replicas that this life holds as a founder.
    pub(crate) fn found(&self, founding: &Founding) {
        let own = self.context.own;
        let candidates: Vec<Candidate> = founding
            .founders
            .iter()
            .map(|founder| Candidate { replica: founder.replica, zone: founder.zone.clone() })
            .collect();
        for number in 0..founding.shards {
            let chosen = spread(u64::from(number), &candidates, &[], self.settings.repair.replicas);
            let voters: Vec<ReplicaId> = chosen.iter().map(|candidate| candidate.replica).collect();
            if voters.contains(&own) {
                let (id, now, seed) = (ShardId(number), self.context.now(), self.context.seed());
                let configuration = Configuration::of_voters(voters);
                let shard = ProgramShard::found(id, own, configuration, self.settings, seed, now);
                self.insert(shard);
            }
        }
    }

    /// Hands a command to the replica here, if it leads, and waits for the answer.
    pub(crate) async fn command(&self, shard: ShardId, call: CallId, command: Command) -> HostReply {
        let Some(hosted) = self.get(shard) else { return HostReply::NotLeader(None) };
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.context.now();
            let mut hosted = lock(&hosted);
            hosted.waiting.insert(call, sender);
            if let Err(not_leader) = hosted.shard.command(command, now) {
                hosted.waiting.remove(&call);
                return HostReply::NotLeader(not_leader.hint.map(|leader| leader.node));
            }
            self.carry_out(&mut hosted);
        }
        match receiver.await {
            Ok(reply) => HostReply::Reply(reply),
            Err(_) => HostReply::NotLeader(None),
        }
    }

    /// Hands over a command that has no answer.
    pub(crate) fn command_without_reply(&self, shard: ShardId, command: Command) -> bool {
        let Some(hosted) = self.get(shard) else { return false };
        let mut hosted = lock(&hosted);
        let is_taken = hosted.shard.command(command, self.context.now()).is_ok();
        self.carry_out(&mut hosted);
        is_taken
    }

    /// Takes a message from another replica.
    pub(crate) fn receive(&self, group: GroupMessage) {
        if group.to != self.context.own {
            return;
        }
        let hosted = match self.get(group.shard) {
            Some(hosted) => hosted,
            None if creates_replica(&group.message) => self.join(group.shard),
            None => return,
        };
        let mut hosted = lock(&hosted);
        hosted.shard.receive(group.from, group.message, self.context.now());
        self.carry_out(&mut hosted);
    }

    /// Lets time pass until the node stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = 0_u32;
        let tick = || {
            self.tick();
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(GAUGE_TICKS) {
                self.set_gauges();
            }
        };
        self.context.every(TICK, tick).await;
    }

    /// Hands all leaderships to nodes that stay. Returns the number of shards still led here.
    pub(crate) fn hand_over(&self) -> usize {
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
            self.carry_out(&mut hosted);
        }
        led
    }

    /// Shards in which a replica here still votes.
    pub(crate) fn votes(&self) -> usize {
        let own = self.context.own;
        let is_voter = |hosted: &Arc<Mutex<Hosted>>| {
            let hosted = lock(hosted);
            hosted.shard.replica().configuration().is_voter(own) && !hosted.shard.is_removed()
        };
        self.all().iter().filter(|hosted| is_voter(hosted)).count()
    }

    /// Shards led here, and how many of them have fewer replicas than they could have.
    pub(crate) fn repair_state(&self) -> (usize, usize) {
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

    /// Shards held here, with whether they are led here.
    pub(crate) fn roles(&self) -> Vec<(ShardId, bool, u64)> {
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
            self.carry_out(&mut hosted);
            if hosted.shard.is_removed() {
                removed.push(hosted.shard.id());
            }
        }
        for shard in removed {
            info!(self.context.logger, "replica was removed from its group"; "shard" => shard.0);
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

    fn join(&self, id: ShardId) -> Arc<Mutex<Hosted>> {
        let (own, now, seed) = (self.context.own, self.context.now(), self.context.seed());
        info!(self.context.logger, "replica joins"; "shard" => id.0);
        self.insert(ProgramShard::join(id, own, self.settings, seed, now))
    }

    fn insert(&self, shard: ProgramShard) -> Arc<Mutex<Hosted>> {
        let id = shard.id();
        let hosted = Arc::new(Mutex::new(Hosted { shard, waiting: HashMap::new() }));
        Arc::clone(self.write().entry(id).or_insert(hosted))
    }

    fn get(&self, shard: ShardId) -> Option<Arc<Mutex<Hosted>>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).get(&shard).cloned()
    }

    fn all(&self) -> Vec<Arc<Mutex<Hosted>>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, HashMap<ShardId, Arc<Mutex<Hosted>>>> {
        self.shards.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(&self, hosted: &mut Hosted) {
        loop {
            let outputs = hosted.shard.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out_one(hosted, output);
            }
        }
    }

    fn carry_out_one(&self, hosted: &mut Hosted, output: ShardOutput) {
        let shard = hosted.shard.id();
        match output {
            ShardOutput::Send { to, message } => self.send(shard, to, message),
            ShardOutput::Reply { call, reply } => self.deliver(hosted, call, reply),
            ShardOutput::Effect(effect) => self.carry_out_effect(effect),
            ShardOutput::BecameLeader { term } => {
                info!(self.context.logger, "leads the shard"; "shard" => shard.0, "term" => term);
                let node = self.context.own.node;
                for peer in self.fleet.live_peers() {
                    self.context.transport.send(peer, OneWay::LeaderAnnouncement { shard, term, node });
                }
                if let Some(client) = self.client() {
                    client.note_leader(shard, term, node);
                }
            }
            ShardOutput::LostLeadership => {
                info!(self.context.logger, "no longer leads the shard"; "shard" => shard.0);
                hosted.waiting.clear();
            }
            ShardOutput::Undecodable => {
                error!(self.context.logger, "committed bytes can't be read; the replica is dropped";
                    "shard" => shard.0);
                hosted.waiting.clear();
                self.write().remove(&shard);
            }
        }
    }

    /// Answers a command. A permission that nobody waits for any more is given back at once.
    fn deliver(&self, hosted: &mut Hosted, call: CallId, reply: Reply) {
        let undelivered = match hosted.waiting.remove(&call) {
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
        let group = GroupMessage { shard, from: self.context.own, to, message };
        self.context.transport.send(address, OneWay::Group(Box::new(group)));
    }

    fn carry_out_effect(&self, effect: Effect) {
        match effect {
            Effect::Reply { .. } => {}
            Effect::Cancel { runner, call } => {
                if runner == self.context.runner() {
                    self.calls.cancel(call);
                } else if let Some(address) = self.fleet.address_of(runner.node) {
                    self.context.transport.send(address, OneWay::CancelCall { runner, call });
                }
            }
            Effect::FreeEngines { program, engines } => self.router.free_program(&program, &engines),
            Effect::EndChild { child } => {
                let call = CallId::random(&mut rand::rng());
                let command = Command::EndProgram { call, program: child.clone(), tenant: None };
                self.follow_up(child, call, command);
            }
            Effect::ReturnToParent { parent, child, unused } => {
                let call = CallId::random(&mut rand::rng());
                let command = Command::ReturnChild { parent: parent.clone(), child, unused };
                self.follow_up(parent, call, command);
            }
        }
    }

    /// Sends a command to another program's shard in the background.
    fn follow_up(&self, program: sumacdrift_types::ProgramId, call: CallId, command: Command) {
        let Some(client) = self.client() else { return };
        tokio::spawn(async move {
            client.follow_up(&program, call, command).await;
        });
    }

    fn client(&self) -> Option<Arc<ShardClient>> {
        self.client.read().unwrap_or_else(PoisonError::into_inner).upgrade()
    }
}

fn lock(hosted: &Mutex<Hosted>) -> MutexGuard<'_, Hosted> {
    hosted.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Only a leader's messages create a replica; a stray vote request must not.
fn creates_replica(message: &Message) -> bool {
    matches!(message, Message::AppendEntries(_) | Message::InstallSnapshot(_))
}
