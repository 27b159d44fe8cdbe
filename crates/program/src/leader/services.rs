//! Calls to services that run once, and budgets of child programs.

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
        let usable = state
            .program(&grant.parent)
            .filter(|record| record.tenant == grant.tenant && record.ended.is_none());
        let Some(record) = usable else {
            step.refuse(grant.call, parent_unavailable("does not exist or has ended"));
            return;
        };
        match record.children.get(&grant.child) {
            Some(Some(limits)) => step.reply(grant.call, Reply::Granted(*limits)),
            Some(None) => step.refuse(grant.call, parent_unavailable("has ended this sub-agent")),
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
        let pair = (grant.parent.clone(), grant.child.clone());
        if let Some(calls) = self.granting_calls.get_mut(&pair) {
            calls.push(grant.call);
            return;
        }
        if self.granting_calls.keys().any(|(parent, _)| *parent == grant.parent) {
            // One grant at a time: the next one must see what this one leaves.
            let problem = parent_unavailable("is giving a part to another sub-agent");
            step.refuse(grant.call, problem.with_retry_after(Duration::from_millis(20)));
            return;
        }
        match record.budget.plan_child(grant.share_percent, now) {
            Err(problem) => step.refuse(grant.call, problem),
            Ok(limits) => {
                let reason = format!("{} received {limits:?}", grant.child);
                self.note(&grant.parent, DecisionKind::Granted, None, reason, now);
                self.granting_calls.insert(pair, vec![grant.call]);
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
        let calls = self.granting_calls.remove(&(parent.clone(), child.clone())).unwrap_or_default();
        let granted = state.program(parent).and_then(|record| record.children.get(child).copied().flatten());
        for call in calls {
            match granted {
                Some(limits) => step.reply(call, Reply::Granted(limits)),
                None => step.refuse(call, parent_unavailable("ended")),
            }
        }
    }

    pub(super) fn begin_service(
        &mut self,
        state: &ShardState,
        begin: BeginService,
        now: Timestamp,
        step: &mut Step,
    ) {
        let Some(record) = state.ledger_record(&begin.key) else {
            if is_broken(Rule::LedgerBeforeSending) {
                step.reply(begin.call, Reply::RunService);
                return;
            }
            if !self.proposed_services.insert(begin.key.clone()) {
                step.refuse(begin.call, in_progress());
                return;
            }
            step.entries.push(Entry::ServiceAccepted(ServiceAccepted {
                key: begin.key,
                request: begin.request,
                call: begin.call,
                runner: begin.runner,
                give_up_at: now + begin.run_limit,
            }));
            return;
        };
        if record.request != begin.request {
            let detail = "the key was used before with another method, path or body";
            step.refuse(begin.call, Problem::not_run(ResultCode::KeyContentDiffers, detail));
            return;
        }
        match &record.state {
            // The answer to this very request was lost on the way.
            LedgerState::Accepted if record.call == begin.call => step.reply(begin.call, Reply::RunService),
            LedgerState::Accepted => step.refuse(begin.call, in_progress()),
            LedgerState::Unknown { .. } if is_broken(Rule::UnknownIsNotRunAgain) => {
                step.reply(begin.call, Reply::RunService);
            }
            LedgerState::Unknown { .. } => step.refuse(begin.call, outcome_unknown()),
            LedgerState::Committed { response, .. } => {
                step.reply(begin.call, Reply::ReplayService(response.clone()));
            }
        }
    }

    pub(super) fn confirm_service(&self, state: &ShardState, accepted: &ServiceAccepted, step: &mut Step) {
        let admitted = state.ledger_record(&accepted.key).is_some_and(|record| record.call == accepted.call);
        if admitted {
            step.reply(accepted.call, Reply::RunService);
        } else {
            step.refuse(accepted.call, in_progress());
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
            _ => step.refuse(call, outcome_unknown()),
        }
    }
}
