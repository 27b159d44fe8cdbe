//! What ends by itself as time passes: waits, leases, retentions, and calls of dead nodes.

use sumacdrift_types::Timestamp;

use super::{ShardLeader, Step, waited_too_long};
use crate::{DecisionKind, EndReason, Entry, LedgerState, Runner, ShardState, TurnAbandoned};

impl ShardLeader {
    pub(super) fn expire_waiting(&mut self, now: Timestamp, step: &mut Step) {
        for waiting in self.waiting.values_mut() {
            waiting.retain(|begin| {
                let keeps_waiting = begin.wait_until > now;
                if !keeps_waiting {
                    step.refuse(begin.call, waited_too_long(begin));
                }
                keeps_waiting
            });
        }
        self.waiting.retain(|_, waiting| !waiting.is_empty());
    }

    pub(super) fn expire_programs(&mut self, state: &ShardState, now: Timestamp, step: &mut Step) {
        let mut idle = Vec::new();
        let mut forgotten = Vec::new();
        for (program, record) in state.programs() {
            if self.proposed.contains_key(program) {
                continue;
            }
            match record.ended {
                Some((_, at)) if now.since(at) > self.settings.retention => forgotten.push(program.clone()),
                Some(_) => {}
                None => {
                    let active = *self.last_activity.entry(program.clone()).or_insert(now);
                    let is_idle = now.since(active) > self.settings.idle_lease;
                    if is_idle && record.in_flight.is_none() {
                        idle.push(program.clone());
                    }
                }
            }
        }
        for program in idle {
            self.end_program(&program, EndReason::LeaseExpired, now, step);
        }
        for program in forgotten {
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

    pub(super) fn abandon_calls_of_dead(
        &mut self,
        state: &ShardState,
        now: Timestamp,
        is_alive: &dyn Fn(Runner) -> bool,
        step: &mut Step,
    ) {
        let turns = state.programs().filter_map(|(_, record)| record.in_flight.clone());
        for in_flight in turns.collect::<Vec<_>>() {
            let accepted = *in_flight.accepted;
            let is_gone = self.is_gone(accepted.runner, now, is_alive);
            let is_overdue = now >= accepted.give_up_at;
            if self.proposed.contains_key(&accepted.program) || !(is_gone || is_overdue) {
                continue;
            }
            let reason = match is_gone {
                true => format!("node {} that ran it is gone", accepted.runner.node),
                false => format!("node {} did not end it in time", accepted.runner.node),
            };
            self.note(&accepted.program, DecisionKind::Abandoned, Some(accepted.turn), reason, now);
            let abandoned = TurnAbandoned {
                program: accepted.program,
                call: accepted.call,
                output_tokens: accepted.reserved.output_tokens,
                engines: Vec::new(),
            };
            self.abandon_turn(state, abandoned, step);
        }
        for (key, record) in state.ledger() {
            let is_open = record.state == LedgerState::Accepted;
            let is_overdue = now >= record.give_up_at;
            if is_open && (is_overdue || self.is_gone(record.runner, now, is_alive)) {
                step.entries.push(Entry::ServiceUnknown { key: key.clone(), call: record.call, at: now });
            }
        }
    }

    fn is_gone(&mut self, runner: Runner, now: Timestamp, is_alive: &dyn Fn(Runner) -> bool) -> bool {
        let key = (runner.node.0, runner.incarnation.0);
        if is_alive(runner) {
            self.missing_runners.remove(&key);
            return false;
        }
        let since = *self.missing_runners.entry(key).or_insert(now);
        now.since(since) >= self.settings.runner_grace
    }
}
