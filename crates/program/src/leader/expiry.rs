//! Expiry of waiting calls, idle programs and retained records, and abandonment of calls of dead runners.

use sumacdrift_types::Timestamp;

use super::{ShardLeader, Step, wait_timed_out};
use crate::{DecisionKind, EndReason, Entry, LedgerState, Runner, ShardState, TurnAbandoned};

impl ShardLeader {
    pub(super) fn expire_waiting(&mut self, now: Timestamp, step: &mut Step) {
        for waiting_turns in self.waiting_turns.values_mut() {
            waiting_turns.retain(|request| {
                let keeps_waiting = request.wait_deadline > now;
                if !keeps_waiting {
                    step.reject(request.call, wait_timed_out(request));
                }
                keeps_waiting
            });
        }
        self.waiting_turns.retain(|_, waiting_turns| !waiting_turns.is_empty());
    }

    pub(super) fn expire_programs(&mut self, state: &ShardState, now: Timestamp, step: &mut Step) {
        let mut idle = Vec::new();
        let mut expired = Vec::new();
        for (program, record) in state.programs() {
            if self.unapplied_entries.contains_key(program) {
                continue;
            }
            match record.ended {
                Some((_, at)) if now.since(at) > self.settings.retention => expired.push(program.clone()),
                Some(_) => {}
                None => {
                    let last_active = *self.last_activity.entry(program.clone()).or_insert(now);
                    let is_idle = now.since(last_active) > self.settings.idle_lease;
                    if is_idle && record.in_flight.is_none() {
                        idle.push(program.clone());
                    }
                }
            }
        }
        for program in idle {
            self.end_program(&program, EndReason::LeaseExpired, now, step);
        }
        for program in expired {
            let entry = Entry::ProgramForgotten { program: program.clone() };
            self.propose(&program, entry, step);
        }
    }

    pub(super) fn expire_ledger(&mut self, state: &ShardState, now: Timestamp, step: &mut Step) {
        for (key, record) in state.ledger() {
            let settled = record.state.settled_at();
            if settled.is_some_and(|at| now.since(at) > self.settings.retention) {
                step.entries.push(Entry::ServiceForgotten { key: key.clone() });
            }
        }
    }

    pub(super) fn abandon_calls_of_dead_runners(
        &mut self,
        state: &ShardState,
        now: Timestamp,
        is_alive: &dyn Fn(Runner) -> bool,
        step: &mut Step,
    ) {
        let turns = state.programs().filter_map(|(_, record)| record.in_flight.clone());
        for in_flight in turns.collect::<Vec<_>>() {
            let accepted = *in_flight.accepted;
            let is_dead = self.is_dead(accepted.runner, now, is_alive);
            let is_overdue = now >= accepted.give_up_at;
            if self.unapplied_entries.contains_key(&accepted.program) || !(is_dead || is_overdue) {
                continue;
            }
            let reason = match is_dead {
                true => format!("node {} that ran it is gone", accepted.runner.node),
                false => format!("node {} did not end it in time", accepted.runner.node),
            };
            self.record_decision(
                &accepted.program,
                DecisionKind::Abandoned,
                Some(accepted.turn),
                reason,
                now,
            );
            let abandoned = TurnAbandoned {
                program: accepted.program,
                call: accepted.call,
                output_tokens: accepted.reserved.output_tokens,
                engines: Vec::new(),
            };
            self.abandon_turn(state, abandoned, step);
        }
        for (key, record) in state.ledger() {
            let is_in_progress = record.state == LedgerState::Accepted;
            let is_overdue = now >= record.give_up_at;
            if is_in_progress && (is_overdue || self.is_dead(record.runner, now, is_alive)) {
                step.entries.push(Entry::ServiceUnknown { key: key.clone(), call: record.call, at: now });
            }
        }
    }

    fn is_dead(&mut self, runner: Runner, now: Timestamp, is_alive: &dyn Fn(Runner) -> bool) -> bool {
        let key = (runner.node.0, runner.incarnation.0);
        if is_alive(runner) {
            self.runners_missing_since.remove(&key);
            return false;
        }
        let missing_since = *self.runners_missing_since.entry(key).or_insert(now);
        now.since(missing_since) >= self.settings.runner_grace
    }
}
