//! Sends commands to the leaders of program shards, on this node or others.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_program::{Command, LedgerKey, Reply};
use sumacdrift_proto::{Request, Response, ShardRequest};
use sumacdrift_transport::TransportError;
use sumacdrift_types::{CallId, NodeId, Problem, ProgramId, ResultCode, ShardId, Timestamp, stable_hash};

use crate::context::Context;
use crate::fleet::Fleet;
use crate::shard_host::{ShardHost, SubmitOutcome};

/// First delay before a command is retried; doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Time for one node to answer, apart from the time for which the leader may hold the command.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Redirects followed before backing off.
const REDIRECTS_BEFORE_BACKOFF: u32 = 3;
const FOLLOW_UP_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct KnownLeader {
    term: u64,
    node: NodeId,
}

/// Finds shard leaders and sends them commands.
///
/// Commands carry a call id by which leaders detect duplicates, so a command without an answer is safe to
/// resend.
pub(crate) struct ShardClient {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    shard_host: Arc<ShardHost>,
    leaders: Mutex<HashMap<ShardId, KnownLeader>>,
    shard_count: Mutex<u32>,
}

impl ShardClient {
    pub(crate) fn new(context: Arc<Context>, fleet: Arc<Fleet>, shard_host: Arc<ShardHost>) -> Self {
        Self { context, fleet, shard_host, leaders: Mutex::default(), shard_count: Mutex::new(0) }
    }

    /// Sets the number of shards, which is fixed when the fleet is created.
    pub(crate) fn set_shard_count(&self, shard_count: u32) {
        *lock(&self.shard_count) = shard_count;
    }

    /// Whether the number of shards is known, which is needed to route programs.
    pub(crate) fn is_ready(&self) -> bool {
        *lock(&self.shard_count) > 0
    }

    /// Records a shard's leader unless one of a later term is known.
    pub(crate) fn record_leader(&self, shard: ShardId, term: u64, node: NodeId) {
        let mut leaders = lock(&self.leaders);
        let is_current = leaders.get(&shard).is_none_or(|known| known.term <= term);
        if is_current {
            leaders.insert(shard, KnownLeader { term, node });
        }
    }

    /// The shard's last known leader, which may be out of date; `None` if this node has never learned of one.
    pub(crate) fn known_leader(&self, shard: ShardId) -> Option<NodeId> {
        lock(&self.leaders).get(&shard).map(|known| known.node)
    }

    /// Sends a command to the leader of a program's shard. `max_hold` is how long the leader may delay its
    /// answer, for example while a turn waits for an earlier one.
    pub(crate) async fn send_program_command(
        &self,
        program: &ProgramId,
        call: CallId,
        command: Command,
        max_hold: Duration,
        deadline: Timestamp,
    ) -> Result<Reply, Problem> {
        let shard = self.shard_of(program.as_str().as_bytes())?;
        self.send_command(shard, call, command, max_hold, deadline).await
    }

    /// Sends a command to the leader of a ledger key's shard.
    pub(crate) async fn send_ledger_command(
        &self,
        key: &LedgerKey,
        call: CallId,
        command: Command,
        deadline: Timestamp,
    ) -> Result<Reply, Problem> {
        let text = format!("{}/{}/{}", key.tenant, key.service, key.key);
        let shard = self.shard_of(text.as_bytes())?;
        self.send_command(shard, call, command, Duration::ZERO, deadline).await
    }

    /// Returns the programs that have ended. Programs of shards that don't answer are left out, because only
    /// a leader's answer is authoritative.
    pub(crate) async fn find_ended_programs(
        &self,
        programs: Vec<ProgramId>,
        deadline: Timestamp,
    ) -> Vec<ProgramId> {
        let mut by_shard: HashMap<ShardId, Vec<ProgramId>> = HashMap::new();
        for program in programs {
            if let Ok(shard) = self.shard_of(program.as_str().as_bytes()) {
                by_shard.entry(shard).or_default().push(program);
            }
        }
        let mut ended = Vec::new();
        for (shard, programs) in by_shard {
            let call = CallId::random(&mut rand::rng());
            let command = Command::ListEnded { call, programs };
            if let Ok(Reply::Ended(programs)) =
                self.send_command(shard, call, command, Duration::ZERO, deadline).await
            {
                ended.extend(programs);
            }
        }
        ended
    }

    /// Sends a command whose reply isn't needed, retrying for [`FOLLOW_UP_TIMEOUT`].
    pub(crate) async fn send_follow_up(&self, program: &ProgramId, call: CallId, command: Command) {
        let deadline = self.context.now() + FOLLOW_UP_TIMEOUT;
        // On failure, the next leader of the shard that issued the command repeats it.
        let _ = self.send_program_command(program, call, command, Duration::ZERO, deadline).await;
    }

    fn shard_of(&self, key: &[u8]) -> Result<ShardId, Problem> {
        let shard_count = *lock(&self.shard_count);
        if shard_count == 0 {
            let detail = "the fleet is not bootstrapped yet: founding nodes are missing";
            return Err(Problem::not_run(ResultCode::NoLeader, detail).with_retry_after(MAX_BACKOFF));
        }
        Ok(ShardId((stable_hash(&[key]) % u64::from(shard_count)) as u32))
    }

    async fn send_command(
        &self,
        shard: ShardId,
        call: CallId,
        command: Command,
        max_hold: Duration,
        deadline: Timestamp,
    ) -> Result<Reply, Problem> {
        let mut backoff = INITIAL_BACKOFF;
        let mut next_candidate = 0;
        let mut redirects = 0;
        loop {
            let target = self.select_target(shard, &mut next_candidate);
            if let Some(target) = target {
                match self.send_to(target, shard, call, &command, max_hold).await {
                    AttemptOutcome::Answered(reply) => return Ok(reply),
                    AttemptOutcome::Failed(problem) => return Err(problem),
                    AttemptOutcome::Redirected(leader) => {
                        self.apply_leader_hint(shard, target, leader);
                        redirects += 1;
                        // Two nodes that redirect to each other must not cause a busy loop.
                        let is_fresh_hint = leader.is_some_and(|leader| leader != target);
                        if is_fresh_hint && redirects % REDIRECTS_BEFORE_BACKOFF != 0 {
                            continue;
                        }
                    }
                    AttemptOutcome::Unanswered => self.forget_leader(shard, target),
                }
            }
            if self.context.now() + backoff >= deadline {
                let detail = format!("no leader of shard {shard} answered");
                return Err(Problem::not_run(ResultCode::NoLeader, detail).with_retry_after(RETRY_AFTER));
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn select_target(&self, shard: ShardId, next_candidate: &mut usize) -> Option<NodeId> {
        if let Some(leader) = self.known_leader(shard) {
            return Some(leader);
        }
        let candidates = self.fleet.replica_candidates(shard.0);
        let candidate = candidates.get(*next_candidate % candidates.len().max(1)).copied();
        *next_candidate += 1;
        candidate
    }

    async fn send_to(
        &self,
        target: NodeId,
        shard: ShardId,
        call: CallId,
        command: &Command,
        max_hold: Duration,
    ) -> AttemptOutcome {
        if target == self.context.own_replica.node {
            return match self.submit_locally(shard, call, command).await {
                SubmitOutcome::Reply(reply) => AttemptOutcome::Answered(reply),
                SubmitOutcome::NotLeader(hint) => AttemptOutcome::Redirected(hint),
            };
        }
        let Some(address) = self.fleet.address_of(target) else { return AttemptOutcome::Unanswered };
        let request = Request::Shard(Box::new(ShardRequest { shard, command: command.clone() }));
        let answer = self.context.transport.request(address, request, ANSWER_TIMEOUT + max_hold).await;
        match answer {
            Ok(Response::Shard(reply)) => AttemptOutcome::Answered(*reply),
            Ok(Response::NotLeader { hint }) => AttemptOutcome::Redirected(hint),
            Ok(Response::Failed(problem)) => AttemptOutcome::Failed(problem),
            Ok(_) => AttemptOutcome::Unanswered,
            Err(TransportError::Unreachable | TransportError::ConnectionLost | TransportError::TimedOut) => {
                AttemptOutcome::Unanswered
            }
        }
    }

    /// Submits a command to the replica on this node.
    pub(crate) async fn submit_locally(
        &self,
        shard: ShardId,
        call: CallId,
        command: &Command,
    ) -> SubmitOutcome {
        if has_reply(command) {
            return self.shard_host.submit(shard, call, command.clone()).await;
        }
        if self.shard_host.submit_without_reply(shard, command.clone()) {
            SubmitOutcome::Reply(Reply::Done)
        } else {
            SubmitOutcome::NotLeader(self.known_leader(shard))
        }
    }

    fn apply_leader_hint(&self, shard: ShardId, asked: NodeId, hint: Option<NodeId>) {
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

/// Retry-after hint for callers while a shard has no leader.
const RETRY_AFTER: Duration = Duration::from_secs(1);

enum AttemptOutcome {
    Answered(Reply),
    Redirected(Option<NodeId>),
    Failed(Problem),
    Unanswered,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the leader sends a reply to the command.
pub(crate) fn has_reply(command: &Command) -> bool {
    !matches!(command, Command::CancelWaiting { .. } | Command::ReturnChild { .. })
}
