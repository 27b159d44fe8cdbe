//! The leader's part of a shard: admission, waiting calls, expiry and replies.
//!
//! Its state is volatile. A new leader starts with an empty [`ShardLeader`]: waiting callers retry, and idle leases
//! start again, which can only delay a program's expiry.

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

/// Length of each program's decision log.
const MAX_DECISIONS: usize = 64;
/// Maximum number of waiting calls of one program.
const MAX_WAITING: usize = 16;
/// Retry delay sent to callers whose call could not wait, timed out or was abandoned.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeouts of a shard's leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// A program without calls for longer than this is ended.
    pub idle_lease: Duration,
    /// How long ended programs and completed ledger records are kept.
    pub retention: Duration,
    /// How long a runner must be missing from the membership before its calls are abandoned.
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

/// Result of one step of the leader: entries to commit and effects to carry out.
#[derive(Debug, Default)]
pub struct Step {
    /// To be committed in this order; [`ShardLeader::apply`] returns their effects.
    pub entries: Vec<Entry>,
    /// To be carried out without waiting for the entries.
    pub effects: Vec<Effect>,
}

impl Step {
    fn reply(&mut self, call: CallId, reply: Reply) {
        self.effects.push(Effect::Reply { call, reply });
    }

    fn reject(&mut self, call: CallId, problem: Problem) {
        self.reply(call, Reply::Rejected(problem));
    }
}

/// Volatile state of a shard's leader: waiting calls, idle leases and recent decisions.
#[derive(Debug)]
pub struct ShardLeader {
    settings: LeaderSettings,
    waiting_turns: BTreeMap<ProgramId, Vec<BeginTurn>>,
    /// Number of proposed entries of each program that are not yet applied.
    unapplied_entries: BTreeMap<ProgramId, usize>,
    proposed_service_keys: BTreeSet<LedgerKey>,
    end_program_calls: BTreeMap<ProgramId, Vec<CallId>>,
    grant_child_calls: BTreeMap<(ProgramId, ProgramId), Vec<CallId>>,
    last_activity: BTreeMap<ProgramId, Timestamp>,
    decisions: BTreeMap<ProgramId, VecDeque<Decision>>,
    runners_missing_since: BTreeMap<(u32, u64), Timestamp>,
    /// Calls whose runner needs the recorded history because the caller sent only new messages.
    calls_needing_history: BTreeSet<CallId>,
}

impl ShardLeader {
    /// Creates the state of a new leader.
    pub fn new(settings: LeaderSettings) -> Self {
        Self {
            settings,
            waiting_turns: BTreeMap::new(),
            unapplied_entries: BTreeMap::new(),
            proposed_service_keys: BTreeSet::new(),
            end_program_calls: BTreeMap::new(),
            grant_child_calls: BTreeMap::new(),
            last_activity: BTreeMap::new(),
            decisions: BTreeMap::new(),
            runners_missing_since: BTreeMap::new(),
            calls_needing_history: BTreeSet::new(),
        }
    }

    /// Number of calls waiting for an earlier one.
    pub fn waiting_calls(&self) -> usize {
        self.waiting_turns.values().map(Vec::len).sum()
    }

    /// Returns the effects of ended programs again, as the previous leader may not have carried them out.
    pub fn take_over(&mut self, state: &ShardState) -> Step {
        let mut step = Step::default();
        for (program, record) in state.programs().filter(|(_, record)| record.ended.is_some()) {
            push_end_effects(program, record, &mut step);
        }
        step
    }

    /// Handles a command.
    pub fn handle(&mut self, state: &ShardState, command: Command, now: Timestamp) -> Step {
        let mut step = Step::default();
        match command {
            Command::BeginTurn(request) => self.begin_turn(state, *request, now, &mut step),
            Command::FinishTurn(finish) => self.finish_turn(state, *finish, now, &mut step),
            Command::AbandonTurn { program, call, output_tokens, engines, reason } => {
                self.remove_waiting(&program, call);
                self.record_decision(&program, DecisionKind::Abandoned, None, reason, now);
                let abandoned = TurnAbandoned { program, call, output_tokens, engines };
                self.abandon_turn(state, abandoned, &mut step);
            }
            Command::CancelWaiting { program, call } => self.remove_waiting(&program, call),
            Command::GrantChild(grant) => self.grant_child(state, grant, now, &mut step),
            Command::ReturnChild { parent, child, unused } => {
                let grant = state.program(&parent).and_then(|record| record.children.get(&child));
                if let Some(Some(_)) = grant {
                    self.propose(&parent.clone(), Entry::ChildReturned { parent, child, unused }, &mut step);
                }
            }
            Command::EndProgram { call, program, tenant } => {
                let belongs_to_other_tenant =
                    |record: &Program| tenant.as_ref().is_some_and(|tenant| *tenant != record.tenant);
                match state.program(&program) {
                    None => step.reject(call, unknown_program()),
                    Some(record) if belongs_to_other_tenant(record) => step.reject(call, unknown_program()),
                    Some(record) if record.ended.is_some() => step.reply(call, Reply::Done),
                    Some(_) => {
                        let reason =
                            if tenant.is_some() { EndReason::Caller } else { EndReason::ParentEnded };
                        self.end_program_calls.entry(program.clone()).or_default().push(call);
                        self.end_program(&program, reason, now, &mut step);
                    }
                }
            }
            Command::Describe { call, program, tenant, page } => {
                match state.program(&program).filter(|record| record.tenant == tenant) {
                    Some(record) => step.reply(call, self.describe_program(program, record, page)),
                    None => step.reject(call, unknown_program()),
                }
            }
            Command::ListEnded { call, mut programs } => {
                if is_broken(Rule::FreeEndedPrograms) {
                    programs.clear();
                }
                programs.retain(|program| state.program(program).is_none_or(|record| record.ended.is_some()));
                step.reply(call, Reply::Ended(programs));
            }
            Command::BeginService(request) => self.begin_service(state, request, now, &mut step),
            Command::FinishService { key, call, response } => {
                step.entries.push(Entry::ServiceCommitted { key, call, response, at: now });
            }
            Command::ReleaseService { key, call } => {
                step.entries.push(Entry::ServiceReleased { key, call });
            }
            Command::MarkServiceUnknown { key, call } => {
                step.entries.push(Entry::ServiceUnknown { key, call, at: now });
            }
        }
        step
    }

    /// Applies a committed entry to the state and returns the resulting replies, effects and further entries.
    pub fn apply(&mut self, state: &mut ShardState, entry: &Entry, now: Timestamp) -> Step {
        let mut step = Step::default();
        let interrupted_call = self.call_interrupted_by(state, entry);
        state.apply(entry);
        match entry {
            Entry::TurnAccepted(accepted) => {
                self.mark_applied(&accepted.program);
                self.reply_to_admitted_turn(state, &accepted.program, accepted.call, &mut step);
            }
            Entry::TurnCommitted(committed) => {
                self.mark_applied(&committed.program);
                self.confirm_turn(state, committed, &mut step);
                self.admit_waiting(state, &committed.program, now, &mut step);
            }
            Entry::TurnAbandoned(abandoned) => {
                self.mark_applied(&abandoned.program);
                step.reply(abandoned.call, Reply::Abandoned);
                self.admit_waiting(state, &abandoned.program, now, &mut step);
            }
            Entry::ProgramOpened(opened) => self.mark_applied(&opened.program),
            Entry::ChildGranted { parent, child, .. } => {
                self.mark_applied(parent);
                self.confirm_grant(state, parent, child, &mut step);
                self.admit_waiting(state, parent, now, &mut step);
            }
            Entry::ChildReturned { parent, .. } => {
                self.mark_applied(parent);
                self.admit_waiting(state, parent, now, &mut step);
            }
            Entry::ProgramEnded { program, .. } => {
                self.mark_applied(program);
                self.confirm_end(state, program, interrupted_call, now, &mut step);
            }
            Entry::ProgramForgotten { program } => self.remove_volatile_state(program),
            Entry::Charged { .. } | Entry::LeaderStarted => {}
            Entry::ServiceAccepted(accepted) => {
                self.proposed_service_keys.remove(&accepted.key);
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

    /// Expires waiting calls, idle leases and retained records, and abandons overdue calls and calls of dead runners.
    pub fn tick(&mut self, state: &ShardState, now: Timestamp, is_alive: &dyn Fn(Runner) -> bool) -> Step {
        let mut step = Step::default();
        self.expire_waiting(now, &mut step);
        self.expire_programs(state, now, &mut step);
        self.expire_ledger(state, now, &mut step);
        self.abandon_calls_of_dead_runners(state, now, is_alive, &mut step);
        step
    }

    fn begin_turn(&mut self, state: &ShardState, request: BeginTurn, now: Timestamp, step: &mut Step) {
        self.last_activity.insert(request.program.clone(), now);
        let record = state.program(&request.program);
        let has_unapplied_entries = self.unapplied_entries.contains_key(&request.program);
        match admit_turn(record, has_unapplied_entries, &request, now) {
            Admission::Propose(entries) => {
                if request.mode == HistoryMode::Append {
                    self.calls_needing_history.insert(request.call);
                }
                let reason = format!("call {} is next in order and within budget", request.call);
                self.record_decision(&request.program, DecisionKind::Admitted, request.turn, reason, now);
                for entry in entries {
                    self.propose(&request.program, entry, step);
                }
            }
            Admission::Wait(reason) => self.enqueue_waiting(request, reason, now, step),
            Admission::Reply(reply) => {
                self.record_reply_decision(&request.program, request.turn, &reply, now);
                step.reply(request.call, reply);
            }
        }
    }

    fn record_reply_decision(
        &mut self,
        program: &ProgramId,
        turn: Option<TurnNumber>,
        reply: &Reply,
        now: Timestamp,
    ) {
        match reply {
            Reply::Rejected(problem) => {
                self.record_decision(program, DecisionKind::Refused, turn, problem.to_string(), now);
            }
            Reply::Replay(answer) => {
                let reason = "the turn ran before; its recorded answer was given again".to_owned();
                self.record_decision(program, DecisionKind::Replayed, Some(answer.turn), reason, now);
            }
            _ => {}
        }
    }

    fn enqueue_waiting(&mut self, request: BeginTurn, reason: &str, now: Timestamp, step: &mut Step) {
        if request.wait_deadline <= now {
            step.reject(request.call, wait_timed_out(&request));
            return;
        }
        self.record_decision(&request.program, DecisionKind::Held, request.turn, reason.to_owned(), now);
        let waiting_turns = self.waiting_turns.entry(request.program.clone()).or_default();
        if waiting_turns.len() >= MAX_WAITING {
            let detail = format!("{MAX_WAITING} calls of the program are already waiting");
            let problem = Problem::not_run(ResultCode::TurnGap, detail);
            step.reject(request.call, problem.with_retry_after(RETRY_AFTER));
            return;
        }
        waiting_turns.push(request);
    }

    fn admit_waiting(&mut self, state: &ShardState, program: &ProgramId, now: Timestamp, step: &mut Step) {
        let Some(mut waiting_turns) = self.waiting_turns.remove(program) else { return };
        waiting_turns.sort_by_key(|request| request.turn);
        for request in waiting_turns {
            self.begin_turn(state, request, now, step);
        }
    }

    fn reply_to_admitted_turn(
        &mut self,
        state: &ShardState,
        program: &ProgramId,
        call: CallId,
        step: &mut Step,
    ) {
        let include_history = self.calls_needing_history.remove(&call);
        let Some(record) = state.program(program) else { return };
        match record.in_flight_call(call) {
            Some(in_flight) => step.reply(call, run_reply(record, in_flight, include_history)),
            None => step.reject(call, call_no_longer_in_flight(Some(record))),
        }
    }

    fn finish_turn(&mut self, state: &ShardState, finish: FinishTurn, now: Timestamp, step: &mut Step) {
        let Some(record) = state.program(&finish.program) else {
            step.reject(finish.call, call_no_longer_in_flight(None).with_ran(Ran::Yes));
            return;
        };
        if record.turn_of_call(finish.call).is_some() {
            step.reply(finish.call, Reply::Done);
            return;
        }
        if record.in_flight_call(finish.call).is_none() {
            step.reject(finish.call, call_no_longer_in_flight(Some(record)).with_ran(Ran::Yes));
            return;
        }
        // A delayed duplicate of the BeginTurn request must not be rejected under the same call id.
        self.remove_waiting(&finish.program, finish.call);
        self.last_activity.insert(finish.program.clone(), now);
        self.record_decision(
            &finish.program,
            DecisionKind::Committed,
            Some(record.next_turn()),
            finish.reason,
            now,
        );
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
            step.reject(committed.call, call_no_longer_in_flight(record).with_ran(Ran::Yes));
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

    fn remove_waiting(&mut self, program: &ProgramId, call: CallId) {
        if let Some(waiting_turns) = self.waiting_turns.get_mut(program) {
            waiting_turns.retain(|request| request.call != call);
        }
    }

    fn end_program(&mut self, program: &ProgramId, reason: EndReason, now: Timestamp, step: &mut Step) {
        self.record_decision(program, DecisionKind::Ended, None, format!("{reason:?}"), now);
        let entry = Entry::ProgramEnded { program: program.clone(), reason, at: now };
        self.propose(program, entry, step);
    }

    fn confirm_end(
        &mut self,
        state: &ShardState,
        program: &ProgramId,
        interrupted_call: Option<InFlight>,
        now: Timestamp,
        step: &mut Step,
    ) {
        if let Some(in_flight) = interrupted_call {
            step.effects
                .push(Effect::Cancel { runner: in_flight.accepted.runner, call: in_flight.accepted.call });
        }
        if let Some(record) = state.program(program) {
            push_end_effects(program, record, step);
        }
        for call in self.end_program_calls.remove(program).unwrap_or_default() {
            step.reply(call, Reply::Done);
        }
        self.admit_waiting(state, program, now, step);
    }

    fn call_interrupted_by(&self, state: &ShardState, entry: &Entry) -> Option<InFlight> {
        match entry {
            Entry::ProgramEnded { program, .. } => state.program(program)?.in_flight.clone(),
            _ => None,
        }
    }

    fn remove_volatile_state(&mut self, program: &ProgramId) {
        self.mark_applied(program);
        self.last_activity.remove(program);
        self.decisions.remove(program);
    }

    fn describe_program(&self, program: ProgramId, record: &Program, page: Page) -> Reply {
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
        *self.unapplied_entries.entry(program.clone()).or_default() += 1;
        step.entries.push(entry);
    }

    fn mark_applied(&mut self, program: &ProgramId) {
        let Some(count) = self.unapplied_entries.get_mut(program) else { return };
        *count -= 1;
        if *count == 0 {
            self.unapplied_entries.remove(program);
        }
    }

    fn record_decision(
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

fn wait_timed_out(request: &BeginTurn) -> Problem {
    let detail = match request.turn {
        Some(turn) => format!("the call before turn {turn} did not end in time"),
        None => "the program's earlier call did not end in time".to_owned(),
    };
    Problem::not_run(ResultCode::TurnGap, detail).with_retry_after(RETRY_AFTER)
}

/// The reason why an admitted call is no longer in flight: its program has ended, or the call was abandoned because
/// its node died or missed the deadline. An abandoned call may be retried.
fn call_no_longer_in_flight(record: Option<&Program>) -> Problem {
    if record.is_some_and(|record| record.ended.is_none()) {
        let detail = "the call was abandoned because its node did not complete it";
        return Problem::not_run(ResultCode::NotCommitted, detail).with_retry_after(RETRY_AFTER);
    }
    Problem::not_run(ResultCode::ProgramEnded, "the program ended before the call completed")
}

fn unknown_program() -> Problem {
    Problem::not_run(ResultCode::UnknownProgram, "the tenant has no program with this id")
}

fn parent_unavailable(what: &str) -> Problem {
    Problem::not_run(ResultCode::ParentUnavailable, format!("the parent program {what}"))
}

fn in_progress() -> Problem {
    let detail = "a request with the same key is in progress";
    Problem::unknown(ResultCode::InProgress, detail).with_retry_after(RETRY_AFTER)
}

fn outcome_unknown() -> Problem {
    let detail = "the request may have run; its response was lost and it will not be run again";
    Problem::unknown(ResultCode::OutcomeUnknown, detail)
}
