//! Replicas, callers' nodes and a network that loses and reorders messages; one random choice a step.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_ledger::{
    Begin, BeginDecision, BeginQuorum, Candidate, Capacity, ContentsRequest, End, Group, GroupPolicy,
    KEPT_TURNS_CURSOR, LedgerReply, LedgerRequest, Member, PageDetail, PageRequest, Push, Record, Replica,
    ReplicaSettings, ReplyKind, RequestKind, RetainedTurn, TurnBegun, TurnEnded, copies_to_make,
};

pub const BUDGET: u64 = 1_000;
pub const MOST: u64 = 100;
const PROGRAMS: usize = 6;
/// Turns of one program that run at the same time; the bound on budgets holds for up to five in a group of three, and
/// for up to four in a group of five.
fn max_concurrent(members: usize) -> usize {
    if members > 3 { 4 } else { 5 }
}
/// Steps during which no more than one disk is lost at a time.
const CAREFUL_STEPS: usize = 1_300;
const RETENTION: u64 = 1_000_000_000;
const NOW: u64 = 1_000;

struct Machine {
    replica: Replica,
    disk: Vec<Record>,
    is_up: bool,
    /// Operations that were open when its disk was lost; it reads others only after they have ended.
    waits_for: BTreeSet<u64>,
    reading: Option<(String, String, u64)>,
}

#[derive(Clone)]
enum Phase {
    Beginning(BeginQuorum),
    Ending { done: BTreeSet<String> },
}

struct Operation {
    program: String,
    turn: String,
    previous: String,
    /// The group that the caller's node knows, which may be an old one.
    group: Group,
    phase: Phase,
    tokens: u64,
    voted: BTreeSet<String>,
}

struct Message {
    operation: u64,
    to: String,
    request: LedgerRequest,
}

/// Everything that happens in one run.
pub struct World {
    tolerated_losses: usize,
    random: ChaCha8Rng,
    machines: BTreeMap<String, Machine>,
    group: Group,
    earlier_group: Group,
    steps: usize,
    operations: BTreeMap<u64, Operation>,
    messages: Vec<Message>,
    next: u64,
    handed: BTreeMap<String, u64>,
    committed: BTreeMap<String, RetainedTurn>,
    pub wipes: usize,
    pub replacements: usize,
    pub leaves: usize,
    pub joins: usize,
    pub refusals: usize,
}

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: String::new(), joined: 0 }
}

impl World {
    /// A group that goes on after so many machines are lost, and one machine that is no member.
    pub fn new(seed: u64, tolerated_losses: usize) -> Self {
        let policy = GroupPolicy::tolerating(tolerated_losses);
        let nodes = ["a", "b", "c", "d", "e"].map(member);
        let founder = |member: &Member| Candidate { member: member.clone(), capacity: Capacity::default() };
        let founders: Vec<Candidate> = nodes[..policy.size()].iter().map(founder).collect();
        let group = Group::clone(&policy.founding_map(&founders).groups()[0]);
        let mut world = Self {
            tolerated_losses,
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: BTreeMap::new(),
            earlier_group: group.clone(),
            group,
            steps: 0,
            operations: BTreeMap::new(),
            messages: Vec::new(),
            next: 0,
            handed: BTreeMap::new(),
            committed: BTreeMap::new(),
            wipes: 0,
            replacements: 0,
            leaves: 0,
            joins: 0,
            refusals: 0,
        };
        let group = world.group.clone();
        for node in group.members.iter().map(|member| member.node.as_str()).chain(["spare"]) {
            world.start_machine(node, Vec::new(), true);
        }
        for machine in world.machines.values_mut() {
            machine.disk.extend(machine.replica.install(group.clone()));
        }
        world
    }

    fn start_machine(&mut self, node: &str, disk: Vec<Record>, is_first_start: bool) {
        let mut replica = Replica::new(ReplicaSettings { node: node.to_owned(), is_first_start });
        disk.iter().for_each(|record| replica.replay(record));
        let mut disk = disk;
        disk.extend(replica.started());
        let machine = Machine { replica, disk, is_up: true, waits_for: BTreeSet::new(), reading: None };
        self.machines.insert(node.to_owned(), machine);
    }

    /// One random step.
    pub fn step(&mut self) {
        self.steps += 1;
        match self.random.random_range(0..100) {
            0..12 => self.begin_turn(),
            12..72 => self.deliver(),
            72..80 => self.abandon(),
            80..82 => self.wipe(),
            82..84 => self.restart(),
            84..86 => self.replace(),
            86..88 => self.leave(),
            88..90 => self.join(),
            90..92 => self.spread_group(),
            _ => self.catch_up(),
        }
        self.check();
    }

    fn begin_turn(&mut self) {
        let program = format!("p{}", self.random.random_range(0..PROGRAMS));
        let open = self.operations.values().filter(|operation| operation.program == program).count();
        if open >= max_concurrent(self.group.members.len()) {
            return;
        }
        self.next += 1;
        let turn = format!("t{}", self.next);
        let known: Vec<String> = self.committed.keys().cloned().collect();
        let previous = known.choose(&mut self.random).cloned().unwrap_or_default();
        let begin = Begin {
            turn: Some(TurnBegun {
                program: program.clone(),
                turn: turn.clone(),
                most_tokens: MOST,
                retention_millis: RETENTION,
            }),
            budget_tokens: BUDGET,
            previous: previous.clone(),
            wants_chain: false,
        };
        let group = self.known_group();
        let quorum = BeginQuorum::new(group.majority(), BUDGET, MOST);
        let operation = Operation {
            program,
            turn,
            previous,
            group,
            phase: Phase::Beginning(quorum),
            tokens: 0,
            voted: BTreeSet::new(),
        };
        self.operations.insert(self.next, operation);
        self.send_all(self.next, RequestKind::Begin(begin));
    }

    /// What a caller's node knows of the group: mostly the newest one.
    fn known_group(&mut self) -> Group {
        if self.random.random_bool(0.2) { self.earlier_group.clone() } else { self.group.clone() }
    }

    fn send_all(&mut self, operation: u64, kind: RequestKind) {
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
        let Some(reply) = self.ask(&to, request) else { return };
        if self.random.random_bool(0.05) {
            return;
        }
        self.take_reply(operation, &to, reply);
    }

    fn ask(&mut self, node: &str, request: LedgerRequest) -> Option<LedgerReply> {
        let machine = self.machines.get_mut(node).filter(|machine| machine.is_up)?;
        let step = machine.replica.handle(request, NOW);
        machine.disk.extend(step.commit);
        Some(step.reply)
    }

    fn take_reply(&mut self, id: u64, from: &str, reply: LedgerReply) {
        let Some(mut operation) = self.operations.remove(&id) else { return };
        if !operation.voted.insert(from.to_owned()) {
            self.operations.insert(id, operation);
            return;
        }
        match (&mut operation.phase, reply.kind) {
            (Phase::Beginning(quorum), Some(ReplyKind::Vote(vote))) => match quorum.vote(vote) {
                BeginDecision::Pending => {}
                BeginDecision::Admitted => return self.run(id, operation),
                BeginDecision::BudgetSpent => {
                    self.refusals += 1;
                    return;
                }
                BeginDecision::UnknownPrevious => {
                    assert!(!self.committed.contains_key(&operation.previous), "a committed turn is unknown");
                    return;
                }
            },
            (Phase::Ending { done }, Some(ReplyKind::Done(_))) => {
                done.insert(from.to_owned());
                if done.len() >= operation.group.majority() {
                    self.commit(&operation);
                    return;
                }
            }
            _ => {}
        }
        self.operations.insert(id, operation);
    }

    /// An admitted turn runs: tokens are handed out, then its end is sent.
    fn run(&mut self, id: u64, mut operation: Operation) {
        operation.tokens = self.random.random_range(0..=MOST);
        *self.handed.entry(operation.program.clone()).or_default() += operation.tokens;
        let end = End {
            turn: Some(TurnEnded {
                program: operation.program.clone(),
                turn: operation.turn.clone(),
                tokens: operation.tokens,
                retention_millis: RETENTION,
                retained: Some(content(&operation)),
            }),
        };
        operation.phase = Phase::Ending { done: BTreeSet::new() };
        operation.voted.clear();
        operation.group = self.known_group();
        self.operations.insert(id, operation);
        self.send_all(id, RequestKind::End(end));
    }

    fn commit(&mut self, operation: &Operation) {
        self.committed.insert(operation.turn.clone(), content(operation));
    }

    /// A caller's node gives up, or dies.
    fn abandon(&mut self) {
        let ids: Vec<u64> = self.operations.keys().copied().collect();
        if let Some(id) = ids.choose(&mut self.random) {
            self.operations.remove(id);
        }
    }

    /// Members that have no vote.
    fn without_vote(&self) -> usize {
        let is_voting = |member: &Member| self.machines[&member.node].replica.is_voting();
        self.group.members.iter().filter(|member| !is_voting(member)).count()
    }

    /// A member loses its disk. While the run is young, only if no more are lost than is tolerated; later even if that
    /// means that the group can never vote again.
    fn wipe(&mut self) {
        if self.without_vote() >= self.tolerated_losses && self.steps < CAREFUL_STEPS {
            return;
        }
        let Some(node) = self.group.members.choose(&mut self.random).map(|member| member.node.clone()) else {
            return;
        };
        self.wipes += 1;
        self.start_machine(&node, Vec::new(), false);
        let open = self.operations.keys().copied().collect();
        self.machines.get_mut(&node).expect("a machine").waits_for = open;
    }

    /// A machine stops and starts again with its disk.
    fn restart(&mut self) {
        let nodes: Vec<String> = self.machines.keys().cloned().collect();
        let Some(node) = nodes.choose(&mut self.random) else { return };
        let machine = self.machines.remove(node).expect("a machine");
        self.start_machine(node, machine.disk, false);
        self.machines.get_mut(node).expect("a machine").waits_for = machine.waits_for;
    }

    /// The machine that is not a member takes a member's place; the member keeps running without knowing it.
    fn replace(&mut self) {
        if self.without_vote() >= self.tolerated_losses {
            return;
        }
        let spare = self.machines.keys().find(|node| self.group.member(node).is_none()).cloned();
        let lost = self.group.members.choose(&mut self.random).map(|member| member.node.clone());
        let (Some(spare), Some(lost)) = (spare, lost) else { return };
        let next = self.group.replacing(&lost, member(&spare));
        self.earlier_group = std::mem::replace(&mut self.group, next);
        self.replacements += 1;
        let machine = self.machines.get_mut(&spare).expect("a machine");
        machine.disk.extend(machine.replica.install(self.group.clone()));
        machine.waits_for = self.operations.keys().copied().collect();
    }

    /// A member hands over what it has and leaves; its disk is taken away.
    fn leave(&mut self) {
        if self.without_vote() > 0 || self.group.members.len() < self.size() {
            return;
        }
        let leaving = self.group.members.choose(&mut self.random).map(|member| member.node.clone());
        let Some(leaving) = leaving else { return };
        self.machine(&leaving).replica.set_leaving(true);
        // Callers go on meanwhile.
        (0..self.random.random_range(0..4)).for_each(|_| self.deliver());
        let is_handed_over = self.hand_over(&leaving);
        (0..self.random.random_range(0..4)).for_each(|_| self.deliver());
        if !is_handed_over {
            self.machine(&leaving).replica.set_leaving(false);
            return;
        }
        let next = self.group.without(&leaving);
        self.earlier_group = std::mem::replace(&mut self.group, next);
        self.leaves += 1;
        self.start_machine(&leaving, Vec::new(), false);
        self.machine(&leaving).waits_for = self.open_operations();
    }

    fn hand_over(&mut self, leaving: &str) -> bool {
        let group = self.group.without(leaving);
        let others: Vec<String> = group.members.iter().map(|member| member.node.clone()).collect();
        let held: Vec<BTreeSet<String>> = others.iter().map(|node| self.held_at(node)).collect();
        let mut after = String::new();
        loop {
            let page = self.machines[leaving].replica.state().page(&after, PageDetail::Keys, NOW);
            let copies = copies_to_make(&page.kept_turns, &held.iter().collect::<Vec<_>>(), group.majority());
            for (node, turns) in others.iter().zip(copies) {
                let mut records = page.records.clone();
                records.extend(self.machines[leaving].replica.state().contents(&turns, NOW).records);
                let push = Push { records, group: Some(self.group.to_message()) };
                let request = LedgerRequest {
                    epoch: self.group.epoch,
                    kind: Some(RequestKind::Push(push)),
                    ..LedgerRequest::default()
                };
                if self.random.random_bool(0.02) || self.ask(node, request).is_none() {
                    return false;
                }
            }
            if page.next.is_empty() {
                return true;
            }
            after = page.next;
        }
    }

    /// Kept turns that a member says it holds; one without a vote says nothing.
    fn held_at(&mut self, node: &str) -> BTreeSet<String> {
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
        match self.ask(node, request).and_then(|reply| reply.kind) {
            Some(ReplyKind::Page(page)) => page.kept_turns.into_iter().collect(),
            _ => BTreeSet::new(),
        }
    }

    /// A machine joins a group that is too small.
    fn join(&mut self) {
        if self.group.members.len() >= self.size() {
            return;
        }
        let spares: Vec<String> =
            self.machines.keys().filter(|node| self.group.member(node).is_none()).cloned().collect();
        let Some(joining) = spares.choose(&mut self.random).cloned() else { return };
        let next = self.group.with(member(&joining));
        // What it notes is durable before it asks; then the change may not be made, or be made unknown to it.
        let is_noted = self.random.random_bool(0.9);
        let is_made = self.random.random_bool(0.9);
        let is_known = self.random.random_bool(0.8);
        let (epoch, open) = (next.epoch, self.open_operations());
        let machine = self.machine(&joining);
        if is_noted {
            machine.disk.push(machine.replica.join_as_new(epoch));
        }
        if !is_made {
            return;
        }
        if is_known {
            machine.disk.extend(machine.replica.install(next.clone()));
        }
        machine.waits_for = open;
        self.earlier_group = std::mem::replace(&mut self.group, next);
        self.joins += 1;
    }

    /// A member learns of the newest group.
    fn spread_group(&mut self) {
        let group = self.group.clone();
        let Some(learning) = group.members.choose(&mut self.random) else { return };
        let machine = self.machine(&learning.node);
        machine.disk.extend(machine.replica.install(group.clone()));
    }

    fn machine(&mut self, node: &str) -> &mut Machine {
        self.machines.get_mut(node).expect("a machine")
    }

    fn open_operations(&self) -> BTreeSet<u64> {
        self.operations.keys().copied().collect()
    }

    fn size(&self) -> usize {
        GroupPolicy::tolerating(self.tolerated_losses).size()
    }

    /// A member that does not vote reads a page of another one.
    fn catch_up(&mut self) {
        let open: BTreeSet<u64> = self.operations.keys().copied().collect();
        let group = self.group.clone();
        let mut waiting: Vec<String> = group.members.iter().map(|member| member.node.clone()).collect();
        waiting.retain(|node| {
            let machine = &self.machines[node];
            !machine.replica.is_voting() && machine.waits_for.is_disjoint(&open)
        });
        let Some(node) = waiting.choose(&mut self.random).cloned() else { return };
        let machine = self.machines.get_mut(&node).expect("a machine");
        machine.disk.extend(machine.replica.install(group.clone()));
        let others: Vec<String> =
            group.members.iter().map(|member| member.node.clone()).filter(|other| *other != node).collect();
        let reading = machine.reading.take().filter(|(_, _, epoch)| *epoch == group.epoch);
        let (source, after, epoch) = reading.unwrap_or_else(|| {
            let source = others.choose(&mut self.random).cloned().unwrap_or_default();
            (source, String::new(), group.epoch)
        });
        let keys_only = machine.replica.has_read_any();
        let request = PageRequest { after, group: Some(group.to_message()), keys_only };
        let request =
            LedgerRequest { epoch, kind: Some(RequestKind::Page(request)), ..LedgerRequest::default() };
        let page = match self.ask(&source, request).and_then(|reply| reply.kind) {
            Some(ReplyKind::Page(page)) => page,
            Some(ReplyKind::NeverVoted(_)) => {
                let machine = self.machine(&node);
                machine.disk.extend(machine.replica.source_never_voted(&source, epoch));
                return;
            }
            _ => return,
        };
        let next = page.next.clone();
        let lacking = self.machines[&node].replica.lacking(&page);
        let request = RequestKind::Contents(ContentsRequest { turns: lacking });
        let contents =
            self.ask(&source, LedgerRequest { epoch, kind: Some(request), ..LedgerRequest::default() });
        let Some(ReplyKind::Page(contents)) = contents.and_then(|reply| reply.kind) else { return };
        let machine = self.machine(&node);
        let records = machine.replica.take_page(contents, NOW);
        machine.disk.extend(records);
        let machine = self.machines.get_mut(&node).expect("a machine");
        let records = machine.replica.take_page(page, NOW);
        machine.disk.extend(records);
        if next.is_empty() {
            machine.disk.extend(machine.replica.source_read(&source, epoch));
        } else {
            machine.reading = Some((source, next, epoch));
        }
    }

    fn check(&self) {
        for (program, handed) in &self.handed {
            assert!(*handed <= BUDGET + MOST, "{program} was handed {handed} tokens of {BUDGET}");
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
        for (turn, content) in &self.committed {
            let without = voters.iter().filter(|voter| {
                let chain = voter.replica.state().chain(turn);
                chain.turns.first() != Some(content)
            });
            let without = without.count();
            assert!(without < self.group.majority(), "{without} voters lack the committed turn {turn}");
        }
    }
}

fn content(operation: &Operation) -> RetainedTurn {
    RetainedTurn {
        previous: operation.previous.clone(),
        input: Bytes::from(format!("input of {}", operation.turn)),
        output: Bytes::from(format!("output of {}, {} tokens", operation.turn, operation.tokens)),
    }
}
