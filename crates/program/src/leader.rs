//! Decisions of a shard's leader.
//!
//! Everything here is volatile. A new leader begins with an empty [`ShardLeader`]: callers that waited ask
//! again, and leases start anew, which can only keep a program longer.

mod expiry;
mod services;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{CallId, HistoryMode, Problem, ProgramId, Ran, ResultCode, Timestamp, TurnNumber};

use crate::admission::{Admission, admit_turn, run_reply};
use crate::{
    BeginTurn, Command, Decision, DecisionKind, Effect, EndReason, Entry, FinishTurn, InFlight, LedgerKey,
    Page, Program, ProgramReport, Reply, Runner, ShardState, TurnAbandoned, TurnCommitted,
};

/// Decisions kept for each program.
const MAX_DECISIONS: usize = 64;
/// Calls of one program that may wait at a time.
const MAX_WAITING: usize = 16;
/// When a refused waiting call may be tried again.
const WAITING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Times that the leader works with.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// A program without a call for this long is ended.
    pub idle_lease: Duration,
    /// Recorded answers of ended programs and settled ledger entries are kept this long.
    pub retention: Duration,
    /// A runner that membership does not show as alive for this long has its calls abandoned.
    pub runner_grace: Duration,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            idle_lease: Duration::from_secs(3600),
            retention: Duration::from_secs(900),
            runner_grace: Duration::from_secs(2),
        }
    }
}

/// Entries to commit and effects that may take place at once.
#[derive(Debug, Default)]
pub struct Step {
    /// To be committed in this order; their effects come when they are applied.
    pub entries: Vec<Entry>,
    /// To be carried out now.
    pub effects: Vec<Effect>,
}

impl Step {
    fn reply(&mut self, call: CallId, reply: Reply) {
        self.effects.push(Effect::Reply { call, reply });
    }

    fn refuse(&mut self, call: CallId, problem: Problem) {
        self.reply(call, Reply::Refused(problem));
    }
}

/// The volatile half of a shard: waiting calls, leases and the reasons of recent decisions.
#[derive(Debug)]
pub struct ShardLeader {
    settings: LeaderSettings,
    waiting: BTreeMap<ProgramId, Vec<BeginTurn>>,
    /// Entries proposed and not yet applied, for each program.
    proposed: BTreeMap<ProgramId, usize>,
    proposed_services: BTreeSet<LedgerKey>,
    ending_calls: BTreeMap<ProgramId, Vec<CallId>>,
    granting_calls: BTreeMap<(ProgramId, ProgramId), Vec<CallId>>,
    last_activity: BTreeMap<ProgramId, Timestamp>,
    decisions: BTreeMap<ProgramId, VecDeque<Decision>>,
    missing_runners: BTreeMap<(u32, u64), Timestamp>,
    /// Calls whose runner needs the recorded history, since the caller sent only what is new.
    history_wanted: BTreeSet<CallId>,
}

impl ShardLeader {
    /// A leader that has just begun.
    pub fn new(settings: LeaderSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            proposed: BTreeMap::new(),
            proposed_services: BTreeSet::new(),
            ending_calls: BTreeMap::new(),
            granting_calls: BTreeMap::new(),
            last_activity: BTreeMap::new(),
            decisions: BTreeMap::new(),
            missing_runners: BTreeMap::new(),
            history_wanted: BTreeSet::new(),
        }
    }

    /// Number of calls that wait for an earlier one.
    pub fn waiting_calls(&self) -> usize {
        self.waiting.values().map(Vec::len).sum()
    }

    /// Repeats the effects of ended programs, which the previous leader may not have carried out.
    pub fn take_over(&mut self, state: &ShardState) -> Step {
        let mut step = Step::default();
        for (program, record) in state.programs().filter(|(_, record)| record.ended.is_some()) {
            push_end_effects(program, record, &mut step);
        }
        step
    }

    /// Handles one request.
    pub fn handle(&mut self, state: &ShardState, command: Command, now: Timestamp) -> Step {
        let mut step = Step::default();
        match command {
            Command::BeginTurn(begin) => self.begin_turn(state, *begin, now, &mut step),
            Command::FinishTurn(finish) => self.finish_turn(state, *finish, now, &mut step),
            Command::AbandonTurn { program, call, output_tokens, engines, reason } => {
                self.forget_waiting(&program, call);
                self.note(&program, DecisionKind::Abandoned, None, reason, now);
                let abandoned = TurnAbandoned { program, call, output_tokens, engines };
                self.abandon_turn(state, abandoned, &mut step);
            }
            Command::ForgetWaiting { program, call } => self.forget_waiting(&program, call),
            Command::GrantChild(grant) => self.grant_child(state, grant, now, &mut step),
            Command::ReturnChild { parent, child, unused } => {
                let is_held = state.program(&parent).and_then(|record| record.children.get(&child));
                if let Some(Some(_)) = is_held {
                    self.propose(&parent.clone(), Entry::ChildReturned { parent, child, unused }, &mut step);
                }
            }
            Command::EndProgram { call, program, tenant } => {
                let is_foreign =
                    |record: &Program| tenant.as_ref().is_some_and(|tenant| *tenant != record.tenant);
                match state.program(&program) {
                    None => step.refuse(call, unknown_program()),
                    Some(record) if is_foreign(record) => step.refuse(call, unknown_program()),
                    Some(record) if record.ended.is_some() => step.reply(call, Reply::Done),
                    Some(_) => {
                        let reason =
                            if tenant.is_some() { EndReason::Caller } else { EndReason::ParentEnded };
                        self.ending_calls.entry(program.clone()).or_default().push(call);
                        self.end_program(&program, reason, now, &mut step);
                    }
                }
            }
            Command::Describe { call, program, tenant, page } => {
                match state.program(&program).filter(|record| record.tenant == tenant) {
                    Some(record) => step.reply(call, self.describe(program, record, page)),
                    None => step.refuse(call, unknown_program()),
                }
            }
            Command::ListGone { call, mut programs } => {
                if is_broken(Rule::FreeEndedPrograms) {
                    programs.clear();
                }
                programs.retain(|program| state.program(program).is_none_or(|record| record.ended.is_some()));
                step.reply(call, Reply::Gone(programs));
            }
            Command::BeginService(begin) => self.begin_service(state, begin, now, &mut step),
            Command::FinishService { key, call, response } => {
                step.entries.push(Entry::ServiceCommitted { key, call, response, at: now });
            }
            Command::ReleaseService { key, call } => {
                step.entries.push(Entry::ServiceReleased { key, call });
            }
            Command::LoseService { key, call } => {
                step.entries.push(Entry::ServiceUnknown { key, call, at: now });
            }
        }
        step
    }

    /// Applies a committed entry to the state and works out what follows from it.
    pub fn apply(&mut self, state: &mut ShardState, entry: &Entry, now: Timestamp) -> Step {
        let mut step = Step::default();
        let interrupted = self.interrupted_call(state, entry);
        state.apply(entry);
        match entry {
            Entry::TurnAccepted(accepted) => {
                self.applied(&accepted.program);
                self.run_turn(state, &accepted.program, accepted.call, &mut step);
            }
            Entry::TurnCommitted(committed) => {
                self.applied(&committed.program);
                self.confirm_turn(state, committed, &mut step);
                self.admit_waiting(state, &committed.program, now, &mut step);
            }
            Entry::TurnAbandoned(abandoned) => {
                self.applied(&abandoned.program);
                step.reply(abandoned.call, Reply::Abandoned);
                self.admit_waiting(state, &abandoned.program, now, &mut step);
            }
            Entry::ProgramOpened(opened) => self.applied(&opened.program),
            Entry::ChildGranted { parent, child, .. } => {
                self.applied(parent);
                self.confirm_grant(state, parent, child, &mut step);
                self.admit_waiting(state, parent, now, &mut step);
            }
            Entry::ChildReturned { parent, .. } => {
                self.applied(parent);
                self.admit_waiting(state, parent, now, &mut step);
            }
            Entry::ProgramEnded { program, .. } => {
                self.applied(program);
                self.confirm_end(state, program, interrupted, now, &mut step);
            }
            Entry::ProgramForgotten { program } => self.forget_program(program),
            Entry::Charged { .. } | Entry::LeaderStarted => {}
            Entry::ServiceAccepted(accepted) => {
                self.proposed_services.remove(&accepted.key);
                self.confirm_service(state, accepted, &mut step);
            }
            Entry::ServiceCommitted { key, call, response, .. } => {
                self.confirm_response(state, key, *call, response, &mut step);
            }
            Entry::ServiceReleased { call, .. } | Entry::ServiceUnknown { call, .. } => {
                step.reply(*call, Reply::Abandoned);
            }
            Entry::ServiceForgotten { .. } => {}
        }
        step
    }

    /// Expires waiting calls, leases and retentions, and abandons calls of dead runners.
    pub fn tick(&mut self, state: &ShardState, now: Timestamp, is_alive: &dyn Fn(Runner) -> bool) -> Step {
        let mut step = Step::default();
        self.expire_waiting(now, &mut step);
        self.expire_programs(state, now, &mut step);
        self.expire_ledger(state, now, &mut step);
        self.abandon_calls_of_dead(state, now, is_alive, &mut step);
        step
    }

    fn begin_turn(&mut self, state: &ShardState, begin: BeginTurn, now: Timestamp, step: &mut Step) {
        self.last_activity.insert(begin.program.clone(), now);
        let record = state.program(&begin.program);
        let is_proposed = self.proposed.contains_key(&begin.program);
        match admit_turn(record, is_proposed, &begin, now) {
            Admission::Propose(entries) => {
                if begin.mode == HistoryMode::Append {
                    self.history_wanted.insert(begin.call);
                }
                let reason = format!("call {} is next in order and within budget", begin.call);
                self.note(&begin.program, DecisionKind::Admitted, begin.turn, reason, now);
                for entry in entries {
                    self.propose(&begin.program, entry, step);
                }
            }
            Admission::Wait(reason) => self.hold(begin, reason, now, step),
            Admission::Reply(reply) => {
                self.note_reply(&begin.program, begin.turn, &reply, now);
                step.reply(begin.call, reply);
            }
        }
    }

    fn note_reply(&mut self, program: &ProgramId, turn: Option<TurnNumber>, reply: &Reply, now: Timestamp) {
        match reply {
            Reply::Refused(problem) => {
                self.note(program, DecisionKind::Refused, turn, problem.to_string(), now);
            }
            Reply::Replay(answer) => {
                let reason = "the turn ran before; its recorded answer was given again".to_owned();
                self.note(program, DecisionKind::Replayed, Some(answer.turn), reason, now);
            }
            _ => {}
        }
    }

    fn hold(&mut self, begin: BeginTurn, reason: &str, now: Timestamp, step: &mut Step) {
        if begin.wait_until <= now {
            step.refuse(begin.call, waited_too_long(&begin));
            return;
        }
        self.note(&begin.program, DecisionKind::Held, begin.turn, reason.to_owned(), now);
        let waiting = self.waiting.entry(begin.program.clone()).or_default();
        if waiting.len() >= MAX_WAITING {
            let detail = format!("{MAX_WAITING} calls of the program wait already");
            let problem = Problem::not_run(ResultCode::TurnGap, detail);
            step.refuse(begin.call, problem.with_retry_after(WAITING_RETRY_AFTER));
            return;
        }
        waiting.push(begin);
    }

    fn admit_waiting(&mut self, state: &ShardState, program: &ProgramId, now: Timestamp, step: &mut Step) {
        let Some(mut waiting) = self.waiting.remove(program) else { return };
        waiting.sort_by_key(|begin| begin.turn);
        for begin in waiting {
            self.begin_turn(state, begin, now, step);
        }
    }

    fn run_turn(&mut self, state: &ShardState, program: &ProgramId, call: CallId, step: &mut Step) {
        let with_history = self.history_wanted.remove(&call);
        let Some(record) = state.program(program) else { return };
        match record.in_flight_call(call) {
            Some(in_flight) => step.reply(call, run_reply(record, in_flight, with_history)),
            None => step.refuse(call, no_longer_wanted(Some(record))),
        }
    }

    fn finish_turn(&mut self, state: &ShardState, finish: FinishTurn, now: Timestamp, step: &mut Step) {
        let Some(record) = state.program(&finish.program) else {
            step.refuse(finish.call, no_longer_wanted(None).with_ran(Ran::Yes));
            return;
        };
        if record.turn_of_call(finish.call).is_some() {
            step.reply(finish.call, Reply::Done);
            return;
        }
        if record.in_flight_call(finish.call).is_none() {
            step.refuse(finish.call, no_longer_wanted(Some(record)).with_ran(Ran::Yes));
            return;
        }
        // A late copy of the call's beginning must not be refused in the finish's place.
        self.forget_waiting(&finish.program, finish.call);
        self.last_activity.insert(finish.program.clone(), now);
        self.note(&finish.program, DecisionKind::Committed, Some(record.next_turn()), finish.reason, now);
        let committed = TurnCommitted {
            program: finish.program.clone(),
            call: finish.call,
            answer: finish.answer,
            usage: finish.usage,
            engine: finish.engine,
            other_engines: finish.other_engines,
        };
        self.propose(&finish.program, Entry::TurnCommitted(Box::new(committed)), step);
    }

    fn confirm_turn(&mut self, state: &ShardState, committed: &TurnCommitted, step: &mut Step) {
        let record = state.program(&committed.program);
        let is_recorded = record.is_some_and(|record| record.turn_of_call(committed.call).is_some());
        if is_recorded {
            step.reply(committed.call, Reply::Done);
        } else {
            step.refuse(committed.call, no_longer_wanted(record).with_ran(Ran::Yes));
        }
    }

    fn abandon_turn(&mut self, state: &ShardState, abandoned: TurnAbandoned, step: &mut Step) {
        let record = state.program(&abandoned.program);
        if record.is_some_and(|record| record.in_flight_call(abandoned.call).is_some()) {
            self.propose(&abandoned.program.clone(), Entry::TurnAbandoned(abandoned), step);
        } else {
            step.reply(abandoned.call, Reply::Abandoned);
        }
    }

    fn forget_waiting(&mut self, program: &ProgramId, call: CallId) {
        if let Some(waiting) = self.waiting.get_mut(program) {
            waiting.retain(|begin| begin.call != call);
        }
    }

    fn end_program(&mut self, program: &ProgramId, reason: EndReason, now: Timestamp, step: &mut Step) {
        self.note(program, DecisionKind::Ended, None, format!("{reason:?}"), now);
        let entry = Entry::ProgramEnded { program: program.clone(), reason, at: now };
        self.propose(program, entry, step);
    }

    fn confirm_end(
        &mut self,
        state: &ShardState,
        program: &ProgramId,
        interrupted: Option<InFlight>,
        now: Timestamp,
        step: &mut Step,
    ) {
        if let Some(in_flight) = interrupted {
            step.effects
                .push(Effect::Cancel { runner: in_flight.accepted.runner, call: in_flight.accepted.call });
        }
        if let Some(record) = state.program(program) {
            push_end_effects(program, record, step);
        }
        for call in self.ending_calls.remove(program).unwrap_or_default() {
            step.reply(call, Reply::Done);
        }
        self.admit_waiting(state, program, now, step);
    }

    fn interrupted_call(&self, state: &ShardState, entry: &Entry) -> Option<InFlight> {
        match entry {
            Entry::ProgramEnded { program, .. } => state.program(program)?.in_flight.clone(),
            _ => None,
        }
    }

    fn forget_program(&mut self, program: &ProgramId) {
        self.applied(program);
        self.last_activity.remove(program);
        self.decisions.remove(program);
    }

    fn describe(&self, program: ProgramId, record: &Program, page: Page) -> Reply {
        let decisions = self.decisions.get(&program).into_iter().flatten().cloned().collect();
        let messages = record.history.messages().iter();
        let report = ProgramReport {
            tenant: record.tenant.clone(),
            parent: record.parent.clone(),
            children: record.live_children().cloned().collect(),
            budget: record.budget.clone(),
            ended: record.ended.map(|(reason, _)| reason),
            in_flight: record.in_flight.as_ref().map(|in_flight| in_flight.accepted.call),
            next_turn: record.next_turn(),
            history_length: record.history.len(),
            messages: messages.skip(page.first_message).take(page.messages).cloned().collect(),
            engines: record.engines.iter().cloned().collect(),
            decisions,
            program,
        };
        Reply::Report(Box::new(report))
    }

    fn propose(&mut self, program: &ProgramId, entry: Entry, step: &mut Step) {
        *self.proposed.entry(program.clone()).or_default() += 1;
        step.entries.push(entry);
    }

    fn applied(&mut self, program: &ProgramId) {
        let Some(count) = self.proposed.get_mut(program) else { return };
        *count -= 1;
        if *count == 0 {
            self.proposed.remove(program);
        }
    }

    fn note(
        &mut self,
        program: &ProgramId,
        kind: DecisionKind,
        turn: Option<TurnNumber>,
        reason: String,
        at: Timestamp,
    ) {
        let decisions = self.decisions.entry(program.clone()).or_default();
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(Decision { at, kind, turn, reason });
    }
}

fn push_end_effects(program: &ProgramId, record: &Program, step: &mut Step) {
    let engines = record.engines.iter().cloned().collect();
    if !is_broken(Rule::FreeEndedPrograms) {
        step.effects.push(Effect::FreeEngines { program: program.clone(), engines });
    }
    for child in record.live_children() {
        step.effects.push(Effect::EndChild { child: child.clone() });
    }
    if let Some(parent) = &record.parent {
        step.effects.push(Effect::ReturnToParent {
            parent: parent.clone(),
            child: program.clone(),
            unused: record.budget.unused(),
        });
    }
}

fn waited_too_long(begin: &BeginTurn) -> Problem {
    let detail = match begin.turn {
        Some(turn) => format!("the call before turn {turn} did not end in time"),
        None => "the program's earlier call did not end in time".to_owned(),
    };
    Problem::not_run(ResultCode::TurnGap, detail).with_retry_after(WAITING_RETRY_AFTER)
}

/// Why a call that was admitted is not wanted any more: its program ended, or the call was given up because its
/// node was not heard of. In the second case the caller does well to ask again.
fn no_longer_wanted(record: Option<&Program>) -> Problem {
    if record.is_some_and(|record| record.ended.is_none()) {
        let detail = "the call was given up meanwhile, since its node did not answer";
        return Problem::not_run(ResultCode::NotCommitted, detail).with_retry_after(WAITING_RETRY_AFTER);
    }
    Problem::not_run(ResultCode::ProgramEnded, "the program ended meanwhile")
}

fn unknown_program() -> Problem {
    Problem::not_run(ResultCode::UnknownProgram, "no program of this tenant has that name")
}

fn parent_unavailable(what: &str) -> Problem {
    Problem::not_run(ResultCode::ParentUnavailable, format!("the parent program {what}"))
}

fn in_progress() -> Problem {
    let detail = "a request with the same key is under way";
    Problem::unknown(ResultCode::InProgress, detail).with_retry_after(WAITING_RETRY_AFTER)
}

fn outcome_unknown() -> Problem {
    let detail = "the request may have run; its answer is lost and it will not be run again";
    Problem::unknown(ResultCode::OutcomeUnknown, detail)
}
