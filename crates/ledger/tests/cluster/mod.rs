//! Simulated replicas and callers on a network that loses and reorders messages; one random event per step.

mod origins;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_ledger::{
    Begin, BeginDecision, BeginQuorum, Candidate, Capacity, ContentsRequest, End, Group, GroupPolicy,
    KEPT_TURNS_CURSOR, LedgerReply, LedgerRequest, Member, PageDetail, PageRequest, Push, Record, Replica,
    ReplicaSettings, ReplyKind, RequestKind, RetainedTurn, StreamOrigin, TurnEnded, plan_copies,
};

pub const BUDGET: u64 = 1_000;
pub const MAX_TURN_TOKENS: u64 = 100;
const PROGRAMS: usize = 6;
/// Maximum number of concurrent turns of a program for which the budget is exceeded by at most one turn.
fn max_concurrent(members: usize) -> usize {
    if members > 3 { 4 } else { 5 }
}
/// Steps during which no more disks are lost at a time than the group tolerates.
const STEPS_WITHIN_TOLERANCE: usize = 1_300;
const RETENTION: u64 = 1_000_000_000;
const NOW: u64 = 1_000;

struct Machine {
    replica: Replica,
    disk: Vec<Record>,
    is_up: bool,
    /// Operations that were open when it joined or lost its disk; it catches up only after they have ended.
    blocked_by: BTreeSet<u64>,
    /// Source, cursor and epoch of an unfinished read of another member.
    read_progress: Option<(String, String, u64)>,
}

#[derive(Clone)]
enum Phase {
    Beginning(Box<BeginQuorum>),
    Ending { done: BTreeSet<String> },
}

struct Operation {
    program: String,
    turn: String,
    previous: String,
    origin: StreamOrigin,
    resumption: origins::Resumption,
    /// Fingerprint of its request.
    request: u64,
    /// Budget that its request to begin is checked against; 0 if it was admitted before.
    budget: u64,
    /// Whether its client always waits for a majority.
    is_of_older_build: bool,
    /// Group as known to the caller's node; may be outdated.
    group: Group,
    phase: Phase,
    tokens: u64,
    replied: BTreeSet<String>,
}

struct Message {
    operation: u64,
    to: String,
    request: LedgerRequest,
}

/// State of one simulation run.
pub struct Cluster {
    tolerated_losses: usize,
    random: ChaCha8Rng,
    machines: BTreeMap<String, Machine>,
    group: Group,
    earlier_group: Group,
    steps: usize,
    operations: BTreeMap<u64, Operation>,
    messages: Vec<Message>,
    last_id: u64,
    delivered_tokens: BTreeMap<String, u64>,
    committed: BTreeMap<String, RetainedTurn>,
    has_resumptions: bool,
    has_small_groups: bool,
    streams: Vec<origins::BegunStream>,
    pub resumptions: usize,
    pub lost_disks: usize,
    pub replacements: usize,
    pub leaves: usize,
    /// Size of the smallest group after a member left.
    pub smallest_group: usize,
    pub joins: usize,
    pub rejections: usize,
}

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: String::new(), joined: 0 }
}

impl Cluster {
    /// Creates a group that tolerates this many lost machines, and one spare machine.
    pub fn new(seed: u64, tolerated_losses: usize) -> Self {
        let policy = GroupPolicy::tolerating(tolerated_losses);
        let nodes = ["a", "b", "c", "d", "e"].map(member);
        let candidate = |member: &Member| Candidate { member: member.clone(), capacity: Capacity::default() };
        let candidates: Vec<Candidate> = nodes[..policy.size()].iter().map(candidate).collect();
        let group = Group::clone(&policy.initial_group_map(&candidates).groups()[0]);
        let mut cluster = Self {
            tolerated_losses,
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: BTreeMap::new(),
            earlier_group: group.clone(),
            group,
            steps: 0,
            operations: BTreeMap::new(),
            messages: Vec::new(),
            last_id: 0,
            delivered_tokens: BTreeMap::new(),
            committed: BTreeMap::new(),
            has_resumptions: false,
            has_small_groups: false,
            streams: Vec::new(),
            resumptions: 0,
            lost_disks: 0,
            replacements: 0,
            leaves: 0,
            smallest_group: usize::MAX,
            joins: 0,
            rejections: 0,
        };
        let group = cluster.group.clone();
        for node in group.members.iter().map(|member| member.node.as_str()).chain(["spare"]) {
            cluster.start_machine(node, Vec::new(), true);
        }
        for machine in cluster.machines.values_mut() {
            machine.disk.extend(machine.replica.install(group.clone()));
        }
        cluster
    }

    /// Like [`Cluster::new`], with members that leave until as few remain as survive the tolerated losses, and some
    /// clients that always wait for a majority.
    pub fn with_small_groups(seed: u64, tolerated_losses: usize) -> Self {
        Self { has_small_groups: true, ..Self::new(seed, tolerated_losses) }
    }

    fn start_machine(&mut self, node: &str, disk: Vec<Record>, is_first_start: bool) {
        let mut replica = Replica::new(ReplicaSettings { node: node.to_owned(), is_first_start });
        disk.iter().for_each(|record| replica.replay(record));
        let mut disk = disk;
        disk.extend(replica.finish_replay());
        let machine =
            Machine { replica, disk, is_up: true, blocked_by: BTreeSet::new(), read_progress: None };
        self.machines.insert(node.to_owned(), machine);
    }

    /// Applies one random event and checks the invariants.
    pub fn step(&mut self) {
        self.steps += 1;
        match self.random.random_range(0..100) {
            0..12 => self.begin_turn(),
            12..72 => self.deliver(),
            72..80 => self.abandon(),
            80..82 => self.lose_disk(),
            82..84 => self.restart(),
            84..86 => self.replace(),
            86..88 => self.leave(),
            88..90 => self.join(),
            90..92 => self.install_newest_group(),
            _ => self.catch_up(),
        }
        self.check_invariants();
    }

    fn begin_turn(&mut self) {
        let program = format!("p{}", self.random.random_range(0..PROGRAMS));
        let open = self.operations.values().filter(|operation| operation.program == program).count();
        if open >= max_concurrent(self.group.members.len()) {
            return;
        }
        self.last_id += 1;
        let turn = format!("t{}", self.last_id);
        let known: Vec<String> = self.committed.keys().cloned().collect();
        let previous = known.choose(&mut self.random).cloned().unwrap_or_default();
        let is_of_older_build = self.has_small_groups && self.random.random_bool(0.1);
        let group = self.known_group(is_of_older_build);
        let resumption = self.draw_resumption(&program);
        let quorum = BeginQuorum::new(group.commit_quorum(), BUDGET, MAX_TURN_TOKENS);
        let quorum = quorum.resuming(resumption.resumed_turn());
        let operation = Operation {
            program,
            turn,
            previous,
            origin: self.draw_origin(1),
            request: resumption.request.unwrap_or(self.last_id),
            resumption,
            budget: BUDGET,
            is_of_older_build,
            group,
            phase: Phase::Beginning(Box::new(quorum)),
            tokens: 0,
            replied: BTreeSet::new(),
        };
        let begin = Begin {
            turn: Some(origins::turn_begun(&operation)),
            budget_tokens: BUDGET,
            previous: operation.previous.clone(),
            wants_chain: false,
            resumed_turn: operation.resumption.resumed_turn().name().to_owned(),
            commit_quorum: wire_quorum(&operation),
            request: None,
            resumes_same_request: operation.resumption.is_by_request(),
        };
        self.operations.insert(self.last_id, operation);
        self.send_to_group(self.last_id, RequestKind::Begin(begin));
    }

    /// Group as known to a caller's node: usually the newest version, sometimes the one before.
    fn known_group(&mut self, is_of_older_build: bool) -> Group {
        let known =
            if self.random.random_bool(0.2) { self.earlier_group.clone() } else { self.group.clone() };
        if is_of_older_build { Group { min_copies: 0, ..known } } else { known }
    }

    fn send_to_group(&mut self, operation: u64, kind: RequestKind) {
        let group = self.operations[&operation].group.clone();
        let epoch = group.epoch;
        for member in &group.members {
            if self.random.random_bool(0.1) {
                continue;
            }
            let request = LedgerRequest { epoch, kind: Some(kind.clone()), ..LedgerRequest::default() };
            self.messages.push(Message { operation, to: member.node.clone(), request });
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.messages.len());
        let Message { operation, to, request } = self.messages.swap_remove(position);
        let Some(reply) = self.send_request(&to, request) else { return };
        if self.random.random_bool(0.05) {
            return;
        }
        self.handle_reply(operation, &to, reply);
    }

    fn send_request(&mut self, node: &str, request: LedgerRequest) -> Option<LedgerReply> {
        let machine = self.machines.get_mut(node).filter(|machine| machine.is_up)?;
        let step = machine.replica.handle(request, NOW);
        machine.disk.extend(step.commit);
        Some(step.reply)
    }

    fn handle_reply(&mut self, id: u64, from: &str, reply: LedgerReply) {
        let Some(mut operation) = self.operations.remove(&id) else { return };
        if !operation.replied.insert(from.to_owned()) {
            self.operations.insert(id, operation);
            return;
        }
        match (&mut operation.phase, reply.kind) {
            (Phase::Beginning(quorum), Some(ReplyKind::Vote(vote))) => match quorum.vote(vote) {
                BeginDecision::Pending => {}
                BeginDecision::Admitted => {
                    let quorum = quorum.clone();
                    self.check_resumed_origin(&operation, &quorum);
                    let Some(operation) = self.change_origin(operation) else { return };
                    return self.run_turn(id, operation);
                }
                BeginDecision::BudgetSpent => {
                    self.rejections += 1;
                    return;
                }
                BeginDecision::UnknownPrevious => {
                    assert!(
                        !self.committed.contains_key(&operation.previous),
                        "a committed turn was reported as unknown"
                    );
                    return;
                }
            },
            (Phase::Ending { done }, Some(ReplyKind::Done(_))) => {
                done.insert(from.to_owned());
                if done.len() >= operation.group.commit_quorum() {
                    self.commit(&operation);
                    return;
                }
            }
            _ => {}
        }
        self.operations.insert(id, operation);
    }

    /// Runs an admitted turn: delivers tokens, then sends its end.
    fn run_turn(&mut self, id: u64, mut operation: Operation) {
        self.record_stream(&operation);
        operation.tokens = self.random.random_range(0..=MAX_TURN_TOKENS);
        *self.delivered_tokens.entry(operation.program.clone()).or_default() += operation.tokens;
        operation.group = self.known_group(operation.is_of_older_build);
        let end = End {
            turn: Some(TurnEnded {
                program: operation.program.clone(),
                turn: operation.turn.clone(),
                tokens: operation.tokens,
                retention_millis: RETENTION,
                retained: Some(retained_content(&operation)),
                ..TurnEnded::default()
            }),
            commit_quorum: wire_quorum(&operation),
        };
        operation.phase = Phase::Ending { done: BTreeSet::new() };
        operation.replied.clear();
        self.operations.insert(id, operation);
        self.send_to_group(id, RequestKind::End(end));
    }

    fn commit(&mut self, operation: &Operation) {
        self.committed.insert(operation.turn.clone(), retained_content(operation));
    }

    /// Drops an operation whose caller timed out or crashed.
    fn abandon(&mut self) {
        let ids: Vec<u64> = self.operations.keys().copied().collect();
        if let Some(id) = ids.choose(&mut self.random) {
            self.operations.remove(id);
        }
    }

    fn non_voting_members(&self) -> usize {
        let is_voting = |member: &Member| self.machines[&member.node].replica.is_voting();
        self.group.members.iter().filter(|member| !is_voting(member)).count()
    }

    /// Empties the disk of a member. During the first [`STEPS_WITHIN_TOLERANCE`] steps, only if the group tolerates it;
    /// later even if the group can never vote again.
    fn lose_disk(&mut self) {
        if self.non_voting_members() >= self.tolerated_losses && self.steps < STEPS_WITHIN_TOLERANCE {
            return;
        }
        let Some(node) = self.group.members.choose(&mut self.random).map(|member| member.node.clone()) else {
            return;
        };
        self.lost_disks += 1;
        self.start_machine(&node, Vec::new(), false);
        let open = self.operations.keys().copied().collect();
        self.machines.get_mut(&node).expect("known machine").blocked_by = open;
    }

    /// Restarts a machine with its disk.
    fn restart(&mut self) {
        let nodes: Vec<String> = self.machines.keys().cloned().collect();
        let Some(node) = nodes.choose(&mut self.random) else { return };
        let machine = self.machines.remove(node).expect("known machine");
        self.start_machine(node, machine.disk, false);
        self.machines.get_mut(node).expect("known machine").blocked_by = machine.blocked_by;
    }

    /// Replaces a member by the spare machine; the member keeps running with an outdated group.
    fn replace(&mut self) {
        if self.non_voting_members() >= self.tolerated_losses {
            return;
        }
        let spare = self.machines.keys().find(|node| self.group.member(node).is_none()).cloned();
        let lost = self.group.members.choose(&mut self.random).map(|member| member.node.clone());
        let (Some(spare), Some(lost)) = (spare, lost) else { return };
        let next = self.group.with_replacement(&lost, member(&spare));
        self.earlier_group = std::mem::replace(&mut self.group, next);
        self.replacements += 1;
        let machine = self.machines.get_mut(&spare).expect("known machine");
        machine.disk.extend(machine.replica.install(self.group.clone()));
        machine.blocked_by = self.operations.keys().copied().collect();
    }

    /// Removes a member after it handed over its records, and empties its disk.
    fn leave(&mut self) {
        let may_leave = self.non_voting_members() == 0 && self.group.members.len() >= self.target_size();
        if !may_leave && !self.has_small_groups {
            return;
        }
        let leaving = self.group.members.choose(&mut self.random).map(|member| member.node.clone());
        let Some(leaving) = leaving else { return };
        if !self.machines[&leaving].replica.is_voting() {
            return;
        }
        let policy = GroupPolicy::tolerating(self.tolerated_losses);
        let Ok(next) = policy.group_after_leave(&self.group, &leaving, self.has_small_groups) else {
            return;
        };
        self.machine(&leaving).replica.set_leaving(true);
        // Callers continue concurrently.
        (0..self.random.random_range(0..4)).for_each(|_| self.deliver());
        let is_handed_over = self.hand_over(&leaving, &next);
        (0..self.random.random_range(0..4)).for_each(|_| self.deliver());
        if !is_handed_over {
            self.machine(&leaving).replica.set_leaving(false);
            return;
        }
        self.earlier_group = std::mem::replace(&mut self.group, next);
        self.leaves += 1;
        self.smallest_group = self.smallest_group.min(self.group.members.len());
        self.start_machine(&leaving, Vec::new(), false);
        self.machine(&leaving).blocked_by = self.open_operations();
    }

    fn hand_over(&mut self, leaving: &str, next: &Group) -> bool {
        let others: Vec<String> = next.members.iter().map(|member| member.node.clone()).collect();
        let held: Vec<BTreeSet<String>> = others.iter().map(|node| self.held_turns(node)).collect();
        let mut after = String::new();
        loop {
            let page = self.machines[leaving].replica.state().page(&after, PageDetail::Keys, NOW);
            let copies =
                plan_copies(&page.retained_keys, &held.iter().collect::<Vec<_>>(), next.commit_quorum());
            for (node, turns) in others.iter().zip(copies) {
                let mut records = page.records.clone();
                records.extend(self.machines[leaving].replica.state().contents(&turns, NOW).records);
                let push = Push { records, group: Some(self.group.to_message()) };
                let request = LedgerRequest {
                    epoch: self.group.epoch,
                    kind: Some(RequestKind::Push(push)),
                    ..LedgerRequest::default()
                };
                if self.random.random_bool(0.02) || self.send_request(node, request).is_none() {
                    return false;
                }
            }
            if page.next.is_empty() {
                return true;
            }
            after = page.next;
        }
    }

    /// Retained turns that a member reports; empty for one without a vote.
    fn held_turns(&mut self, node: &str) -> BTreeSet<String> {
        let group = self.group.clone();
        let request = PageRequest {
            after: KEPT_TURNS_CURSOR.to_owned(),
            group: Some(group.to_message()),
            keys_only: true,
        };
        let request = LedgerRequest {
            epoch: group.epoch,
            kind: Some(RequestKind::Page(request)),
            ..LedgerRequest::default()
        };
        match self.send_request(node, request).and_then(|reply| reply.kind) {
            Some(ReplyKind::Page(page)) => page.retained_keys.into_iter().collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Adds a machine to a group below its target size.
    fn join(&mut self) {
        if self.group.members.len() >= self.target_size() {
            return;
        }
        // A small group stays small for a while.
        if self.has_small_groups && self.random.random_bool(0.8) {
            return;
        }
        let spares: Vec<String> =
            self.machines.keys().filter(|node| self.group.member(node).is_none()).cloned().collect();
        let Some(joining) = spares.choose(&mut self.random).cloned() else { return };
        let next = self.group.with_member(member(&joining));
        // Its record is durable before the request; the change may then fail, or succeed without its knowledge.
        let is_recorded = self.random.random_bool(0.9);
        let is_applied = self.random.random_bool(0.9);
        let is_announced = self.random.random_bool(0.8);
        let (epoch, open) = (next.epoch, self.open_operations());
        let machine = self.machine(&joining);
        if is_recorded {
            machine.disk.push(machine.replica.prepare_join(epoch));
        }
        if !is_applied {
            return;
        }
        if is_announced {
            machine.disk.extend(machine.replica.install(next.clone()));
        }
        machine.blocked_by = open;
        self.earlier_group = std::mem::replace(&mut self.group, next);
        self.joins += 1;
    }

    /// Installs the newest group on a random member.
    fn install_newest_group(&mut self) {
        let group = self.group.clone();
        let Some(member) = group.members.choose(&mut self.random) else { return };
        let machine = self.machine(&member.node);
        machine.disk.extend(machine.replica.install(group.clone()));
    }

    fn machine(&mut self, node: &str) -> &mut Machine {
        self.machines.get_mut(node).expect("known machine")
    }

    fn open_operations(&self) -> BTreeSet<u64> {
        self.operations.keys().copied().collect()
    }

    fn target_size(&self) -> usize {
        GroupPolicy::tolerating(self.tolerated_losses).size()
    }

    /// Lets a member without a vote read one page of another member.
    fn catch_up(&mut self) {
        let open: BTreeSet<u64> = self.operations.keys().copied().collect();
        let group = self.group.clone();
        let mut candidates: Vec<String> = group.members.iter().map(|member| member.node.clone()).collect();
        candidates.retain(|node| {
            let machine = &self.machines[node];
            !machine.replica.is_voting() && machine.blocked_by.is_disjoint(&open)
        });
        let Some(node) = candidates.choose(&mut self.random).cloned() else { return };
        let machine = self.machines.get_mut(&node).expect("known machine");
        machine.disk.extend(machine.replica.install(group.clone()));
        let others: Vec<String> =
            group.members.iter().map(|member| member.node.clone()).filter(|other| *other != node).collect();
        let read_progress = machine.read_progress.take().filter(|(_, _, epoch)| *epoch == group.epoch);
        let (source, after, epoch) = read_progress.unwrap_or_else(|| {
            let source = others.choose(&mut self.random).cloned().unwrap_or_default();
            (source, String::new(), group.epoch)
        });
        let keys_only = machine.replica.has_read_any();
        let request = PageRequest { after, group: Some(group.to_message()), keys_only };
        let request =
            LedgerRequest { epoch, kind: Some(RequestKind::Page(request)), ..LedgerRequest::default() };
        let page = match self.send_request(&source, request).and_then(|reply| reply.kind) {
            Some(ReplyKind::Page(page)) => page,
            Some(ReplyKind::NeverVoted(_)) => {
                let machine = self.machine(&node);
                machine.disk.extend(machine.replica.source_never_voted(&source, epoch));
                return;
            }
            _ => return,
        };
        let next = page.next.clone();
        let missing = self.machines[&node].replica.missing_contents(&page);
        let request = RequestKind::Contents(ContentsRequest { turns: missing });
        let contents = self
            .send_request(&source, LedgerRequest { epoch, kind: Some(request), ..LedgerRequest::default() });
        let Some(ReplyKind::Page(contents)) = contents.and_then(|reply| reply.kind) else { return };
        let machine = self.machine(&node);
        let records = machine.replica.merge_page(contents, NOW);
        machine.disk.extend(records);
        let machine = self.machines.get_mut(&node).expect("known machine");
        let records = machine.replica.merge_page(page, NOW);
        machine.disk.extend(records);
        if next.is_empty() {
            machine.disk.extend(machine.replica.record_source_read(&source, epoch));
        } else {
            machine.read_progress = Some((source, next, epoch));
        }
    }

    fn check_invariants(&self) {
        for (program, delivered_tokens) in &self.delivered_tokens {
            assert!(
                *delivered_tokens <= BUDGET + MAX_TURN_TOKENS,
                "{program} received {delivered_tokens} tokens with a budget of {BUDGET}"
            );
        }
        let voters: Vec<&Machine> = self
            .group
            .members
            .iter()
            .map(|member| &self.machines[&member.node])
            .filter(|machine| {
                machine.replica.is_voting() && machine.replica.group().epoch == self.group.epoch
            })
            .collect();
        for (turn, retained_content) in &self.committed {
            let without = voters.iter().filter(|voter| {
                let chain = voter.replica.state().chain(turn);
                chain.turns.first() != Some(retained_content)
            });
            let without = without.count();
            let most = self.group.members.len() - self.group.commit_quorum();
            assert!(without <= most, "{without} voters lack the committed turn {turn}, {most} may");
        }
    }
}

/// Commit quorum in the requests of an operation.
fn wire_quorum(operation: &Operation) -> u32 {
    if operation.is_of_older_build {
        return 0;
    }
    u32::try_from(operation.group.commit_quorum()).expect("small group")
}

fn retained_content(operation: &Operation) -> RetainedTurn {
    RetainedTurn {
        previous: operation.previous.clone(),
        input: Bytes::from(format!("input of {}", operation.turn)),
        output: Bytes::from(format!("output of {}, {} tokens", operation.turn, operation.tokens)),
    }
}
