//! Sends commands to the leaders of program shards, wherever they are.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_program::{Command, LedgerKey, Reply};
use sumacdrift_proto::{Request, Response, ShardRequest};
use sumacdrift_transport::TransportError;
use sumacdrift_types::{CallId, NodeId, Problem, ProgramId, ResultCode, ShardId, Timestamp, stable_hash};

use crate::context::Context;
use crate::fleet::Fleet;
use crate::shard_host::{HostReply, ShardHost};

/// First pause before a command is tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// How long one node is given to answer a command that does not wait for anything.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Hints that are followed before a pause.
const REDIRECTS_BEFORE_PAUSE: u32 = 3;
/// How long follow-ups are tried.
const FOLLOW_UP_TIME: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct KnownLeader {
    term: u64,
    node: NodeId,
}

/// Finds leaders and sends them commands.
///
/// Commands name a call and are recognized when they come again, so one whose answer was lost is simply sent
/// once more.
pub(crate) struct ShardClient {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    host: Arc<ShardHost>,
    leaders: Mutex<HashMap<ShardId, KnownLeader>>,
    shards: Mutex<u32>,
}

impl ShardClient {
    pub(crate) fn new(context: Arc<Context>, fleet: Arc<Fleet>, host: Arc<ShardHost>) -> Self {
        Self { context, fleet, host, leaders: Mutex::default(), shards: Mutex::new(0) }
    }

    /// Notes the number of shards, which is fixed when the fleet is founded.
    pub(crate) fn set_shards(&self, shards: u32) {
        *lock(&self.shards) = shards;
    }

    /// Whether the fleet is founded, so that programs have a place.
    pub(crate) fn is_ready(&self) -> bool {
        *lock(&self.shards) > 0
    }

    /// Notes who leads a shard.
    pub(crate) fn note_leader(&self, shard: ShardId, term: u64, node: NodeId) {
        let mut leaders = lock(&self.leaders);
        let is_news = leaders.get(&shard).is_none_or(|known| known.term <= term);
        if is_news {
            leaders.insert(shard, KnownLeader { term, node });
        }
    }

    /// Who leads a shard, as far as is known here.
    pub(crate) fn known_leader(&self, shard: ShardId) -> Option<NodeId> {
        lock(&self.leaders).get(&shard).map(|known| known.node)
    }

    /// Sends a command about a program. `may_wait` is how long the leader may hold the command on purpose.
    pub(crate) async fn program_command(
        &self,
        program: &ProgramId,
        call: CallId,
        command: Command,
        may_wait: Duration,
        give_up: Timestamp,
    ) -> Result<Reply, Problem> {
        let shard = self.shard_of(program.as_str().as_bytes())?;
        self.command(shard, call, command, may_wait, give_up).await
    }

    /// Sends a command about a ledger key.
    pub(crate) async fn ledger_command(
        &self,
        key: &LedgerKey,
        call: CallId,
        command: Command,
        give_up: Timestamp,
    ) -> Result<Reply, Problem> {
        let text = format!("{}/{}/{}", key.tenant, key.service, key.key);
        let shard = self.shard_of(text.as_bytes())?;
        self.command(shard, call, command, Duration::ZERO, give_up).await
    }

    /// Tells which of these programs have ended. Programs of shards that do not answer are left out: only what
    /// a leader says for certain may be acted on.
    pub(crate) async fn list_gone(&self, programs: Vec<ProgramId>, give_up: Timestamp) -> Vec<ProgramId> {
        let mut by_shard: HashMap<ShardId, Vec<ProgramId>> = HashMap::new();
        for program in programs {
            if let Ok(shard) = self.shard_of(program.as_str().as_bytes()) {
                by_shard.entry(shard).or_default().push(program);
            }
        }
        let mut gone = Vec::new();
        for (shard, programs) in by_shard {
            let call = CallId::random(&mut rand::rng());
            let command = Command::ListGone { call, programs };
            if let Ok(Reply::Gone(programs)) =
                self.command(shard, call, command, Duration::ZERO, give_up).await
            {
                gone.extend(programs);
            }
        }
        gone
    }

    /// Sends a command that nobody waits for, trying for a while.
    pub(crate) async fn follow_up(&self, program: &ProgramId, call: CallId, command: Command) {
        let give_up = self.context.now() + FOLLOW_UP_TIME;
        // What fails here is repeated by the next leader of the shard that wanted it.
        let _ = self.program_command(program, call, command, Duration::ZERO, give_up).await;
    }

    fn shard_of(&self, key: &[u8]) -> Result<ShardId, Problem> {
        let shards = *lock(&self.shards);
        if shards == 0 {
            let detail = "the fleet is not founded yet: not all founding nodes have met";
            return Err(Problem::not_run(ResultCode::NoLeader, detail).with_retry_after(MAX_PAUSE));
        }
        Ok(ShardId((stable_hash(&[key]) % u64::from(shards)) as u32))
    }

    async fn command(
        &self,
        shard: ShardId,
        call: CallId,
        command: Command,
        may_wait: Duration,
        give_up: Timestamp,
    ) -> Result<Reply, Problem> {
        let mut pause = FIRST_PAUSE;
        let mut next_holder = 0;
        let mut redirects = 0;
        loop {
            let target = self.target(shard, &mut next_holder);
            if let Some(target) = target {
                match self.ask(target, shard, call, &command, may_wait).await {
                    Attempt::Answered(reply) => return Ok(reply),
                    Attempt::Failed(problem) => return Err(problem),
                    Attempt::Redirected(leader) => {
                        self.learn_hint(shard, target, leader);
                        redirects += 1;
                        // Two nodes that take each other for the leader must not be asked in a tight loop.
                        let is_fresh_hint = leader.is_some_and(|leader| leader != target);
                        if is_fresh_hint && redirects % REDIRECTS_BEFORE_PAUSE != 0 {
                            continue;
                        }
                    }
                    Attempt::Unanswered => self.forget_leader(shard, target),
                }
            }
            if self.context.now() + pause >= give_up {
                let detail = format!("shard {shard} has no leader that answers");
                return Err(Problem::not_run(ResultCode::NoLeader, detail).with_retry_after(RETRY_AFTER));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    fn target(&self, shard: ShardId, next_holder: &mut usize) -> Option<NodeId> {
        if let Some(leader) = self.known_leader(shard) {
            return Some(leader);
        }
        let holders = self.fleet.likely_holders(shard.0);
        let holder = holders.get(*next_holder % holders.len().max(1)).copied();
        *next_holder += 1;
        holder
    }

    async fn ask(
        &self,
        target: NodeId,
        shard: ShardId,
        call: CallId,
        command: &Command,
        may_wait: Duration,
    ) -> Attempt {
        if target == self.context.own.node {
            return match self.ask_here(shard, call, command).await {
                HostReply::Reply(reply) => Attempt::Answered(reply),
                HostReply::NotLeader(hint) => Attempt::Redirected(hint),
            };
        }
        let Some(address) = self.fleet.address_of(target) else { return Attempt::Unanswered };
        let request = Request::Shard(Box::new(ShardRequest { shard, command: command.clone() }));
        let answer = self.context.transport.request(address, request, ANSWER_TIMEOUT + may_wait).await;
        match answer {
            Ok(Response::Shard(reply)) => Attempt::Answered(*reply),
            Ok(Response::NotLeader { hint }) => Attempt::Redirected(hint),
            Ok(Response::Failed(problem)) => Attempt::Failed(problem),
            Ok(_) => Attempt::Unanswered,
            Err(TransportError::Unreachable | TransportError::Lost | TransportError::TimedOut) => {
                Attempt::Unanswered
            }
        }
    }

    /// Handles a command with the replica on this node.
    pub(crate) async fn ask_here(&self, shard: ShardId, call: CallId, command: &Command) -> HostReply {
        if has_reply(command) {
            return self.host.command(shard, call, command.clone()).await;
        }
        if self.host.command_without_reply(shard, command.clone()) {
            HostReply::Reply(Reply::Done)
        } else {
            HostReply::NotLeader(self.known_leader(shard))
        }
    }

    fn learn_hint(&self, shard: ShardId, asked: NodeId, hint: Option<NodeId>) {
        let mut leaders = lock(&self.leaders);
        let known = leaders.get(&shard).copied();
        let is_outdated = known.is_none_or(|known| known.node == asked);
        match hint {
            Some(node) if is_outdated => {
                let term = known.map_or(0, |known| known.term);
                leaders.insert(shard, KnownLeader { term, node });
            }
            None if is_outdated => {
                leaders.remove(&shard);
            }
            _ => {}
        }
    }

    fn forget_leader(&self, shard: ShardId, node: NodeId) {
        let mut leaders = lock(&self.leaders);
        if leaders.get(&shard).is_some_and(|known| known.node == node) {
            leaders.remove(&shard);
        }
    }
}

/// When a caller may try again while a shard has no leader.
const RETRY_AFTER: Duration = Duration::from_secs(1);

enum Attempt {
    Answered(Reply),
    Redirected(Option<NodeId>),
    Failed(Problem),
    Unanswered,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a command is answered by a reply of its own.
pub(crate) fn has_reply(command: &Command) -> bool {
    !matches!(command, Command::ForgetWaiting { .. } | Command::ReturnChild { .. })
}
