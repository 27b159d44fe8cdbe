//! At-most-once service calls and budgets of sub-agents.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{CallId, Problem, ProgramId, ResultCode, Timestamp};

use super::{ShardLeader, Step, in_progress, outcome_unknown, parent_unavailable};
use crate::{
    BeginService, DecisionKind, Entry, GrantChild, LedgerKey, LedgerState, Program, Reply, ServiceAccepted,
    ShardState,
};

impl ShardLeader {
    pub(super) fn grant_child(
        &mut self,
        state: &ShardState,
        grant: GrantChild,
        now: Timestamp,
        step: &mut Step,
    ) {
        let active_parent = state
            .program(&grant.parent)
            .filter(|record| record.tenant == grant.tenant && record.ended.is_none());
        let Some(record) = active_parent else {
            step.reject(grant.call, parent_unavailable("does not exist or has ended"));
            return;
        };
        match record.children.get(&grant.child) {
            Some(Some(limits)) => step.reply(grant.call, Reply::Granted(*limits)),
            Some(None) => {
                step.reject(grant.call, parent_unavailable("has already taken back this sub-agent's budget"))
            }
            None => self.propose_grant(record, grant, now, step),
        }
    }

    pub(super) fn propose_grant(
        &mut self,
        record: &Program,
        grant: GrantChild,
        now: Timestamp,
        step: &mut Step,
    ) {
        let key = (grant.parent.clone(), grant.child.clone());
        if let Some(calls) = self.grant_child_calls.get_mut(&key) {
            calls.push(grant.call);
            return;
        }
        if self.grant_child_calls.keys().any(|(parent, _)| *parent == grant.parent) {
            // One grant at a time, so that the next one is computed from the remaining budget.
            let problem = parent_unavailable("is granting budget to another sub-agent");
            step.reject(grant.call, problem.with_retry_after(Duration::from_millis(20)));
            return;
        }
        match record.budget.plan_child(grant.share_percent, now) {
            Err(problem) => step.reject(grant.call, problem),
            Ok(limits) => {
                let reason = format!("{} received {limits:?}", grant.child);
                self.record_decision(&grant.parent, DecisionKind::Granted, None, reason, now);
                self.grant_child_calls.insert(key, vec![grant.call]);
                let entry = Entry::ChildGranted { parent: grant.parent.clone(), child: grant.child, limits };
                self.propose(&grant.parent, entry, step);
            }
        }
    }

    pub(super) fn confirm_grant(
        &mut self,
        state: &ShardState,
        parent: &ProgramId,
        child: &ProgramId,
        step: &mut Step,
    ) {
        let calls = self.grant_child_calls.remove(&(parent.clone(), child.clone())).unwrap_or_default();
        let granted = state.program(parent).and_then(|record| record.children.get(child).copied().flatten());
        for call in calls {
            match granted {
                Some(limits) => step.reply(call, Reply::Granted(limits)),
                None => step.reject(call, parent_unavailable("ended")),
            }
        }
    }

    pub(super) fn begin_service(
        &mut self,
        state: &ShardState,
        request: BeginService,
        now: Timestamp,
        step: &mut Step,
    ) {
        let Some(record) = state.ledger_record(&request.key) else {
            if is_broken(Rule::LedgerBeforeSending) {
                step.reply(request.call, Reply::RunService);
                return;
            }
            if !self.proposed_service_keys.insert(request.key.clone()) {
                step.reject(request.call, in_progress());
                return;
            }
            step.entries.push(Entry::ServiceAccepted(ServiceAccepted {
                key: request.key,
                request: request.request,
                call: request.call,
                runner: request.runner,
                give_up_at: now + request.run_timeout,
            }));
            return;
        };
        if record.request != request.request {
            let detail = "the key was already used with a different method, path or body";
            step.reject(request.call, Problem::not_run(ResultCode::KeyContentDiffers, detail));
            return;
        }
        match &record.state {
            // A retry of the admitted request, whose reply was lost.
            LedgerState::Accepted if record.call == request.call => {
                step.reply(request.call, Reply::RunService)
            }
            LedgerState::Accepted => step.reject(request.call, in_progress()),
            LedgerState::Unknown { .. } if is_broken(Rule::UnknownIsNotRunAgain) => {
                step.reply(request.call, Reply::RunService);
            }
            LedgerState::Unknown { .. } => step.reject(request.call, outcome_unknown()),
            LedgerState::Committed { response, .. } => {
                step.reply(request.call, Reply::ReplayService(response.clone()));
            }
        }
    }

    pub(super) fn confirm_service(&self, state: &ShardState, accepted: &ServiceAccepted, step: &mut Step) {
        let is_admitted =
            state.ledger_record(&accepted.key).is_some_and(|record| record.call == accepted.call);
        if is_admitted {
            step.reply(accepted.call, Reply::RunService);
        } else {
            step.reject(accepted.call, in_progress());
        }
    }

    pub(super) fn confirm_response(
        &self,
        state: &ShardState,
        key: &LedgerKey,
        call: CallId,
        response: &crate::ServiceResponse,
        step: &mut Step,
    ) {
        match state.ledger_state(key) {
            Some(LedgerState::Committed { response: recorded, .. }) if recorded == response => {
                step.reply(call, Reply::Done);
            }
            _ => step.reject(call, outcome_unknown()),
        }
    }
}
