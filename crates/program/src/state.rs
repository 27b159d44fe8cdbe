//! The lasting state of one shard.

use std::collections::BTreeMap;

use sumacdrift_types::ProgramId;

use crate::ledger::LedgerRecord;
use crate::{Entry, LedgerKey, LedgerState, Program, ServiceAccepted};

/// Programs and ledger of one shard; equal on every replica that applied the same entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardState {
    programs: BTreeMap<ProgramId, Program>,
    ledger: BTreeMap<LedgerKey, LedgerRecord>,
}

impl ShardState {
    /// Finds a program.
    pub fn program(&self, program: &ProgramId) -> Option<&Program> {
        self.programs.get(program)
    }

    /// All programs in order of name.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramId, &Program)> {
        self.programs.iter()
    }

    /// How far a service call came.
    pub fn ledger_state(&self, key: &LedgerKey) -> Option<&LedgerState> {
        self.ledger.get(key).map(|record| &record.state)
    }

    pub(crate) fn ledger_record(&self, key: &LedgerKey) -> Option<&LedgerRecord> {
        self.ledger.get(key)
    }

    pub(crate) fn ledger(&self) -> impl Iterator<Item = (&LedgerKey, &LedgerRecord)> {
        self.ledger.iter()
    }

    /// Applies one committed entry. Entries that no longer fit, such as a second commit, change nothing.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::LeaderStarted => {}
            Entry::ProgramOpened(opened) => {
                let program = opened.program.clone();
                self.programs.entry(program).or_insert_with(|| Program::new(opened));
            }
            Entry::TurnAccepted(accepted) => {
                self.change(&accepted.program, |program| program.accept(accepted));
            }
            Entry::TurnCommitted(committed) => {
                self.change(&committed.program, |program| program.commit(committed));
            }
            Entry::TurnAbandoned(abandoned) => self.change(&abandoned.program, |program| {
                program.abandon(abandoned.call, abandoned.output_tokens, &abandoned.engines);
            }),
            Entry::Charged { program, used } => self.change(program, |program| program.charge(*used)),
            Entry::ChildGranted { parent, child, limits } => {
                self.change(parent, |program| program.grant(child, *limits));
            }
            Entry::ChildReturned { parent, child, unused } => {
                self.change(parent, |program| program.take_back(child, *unused));
            }
            Entry::ProgramEnded { program, reason, at } => self.change(program, |program| {
                program.ended.get_or_insert((*reason, *at));
                program.in_flight = None;
                program.budget.reserved = Default::default();
            }),
            Entry::ProgramForgotten { program } => {
                self.programs.remove(program);
            }
            other => self.apply_to_ledger(other),
        }
    }

    fn apply_to_ledger(&mut self, entry: &Entry) {
        match entry {
            Entry::ServiceAccepted(accepted) => self.accept_service(accepted),
            Entry::ServiceCommitted { key, call, response, at } => {
                let state = LedgerState::Committed { response: response.clone(), at: *at };
                self.settle_service(key, *call, state);
            }
            Entry::ServiceUnknown { key, call, at } => {
                self.settle_service(key, *call, LedgerState::Unknown { at: *at });
            }
            Entry::ServiceReleased { key, call } => {
                let releasable =
                    |record: &LedgerRecord| record.call == *call && record.state == LedgerState::Accepted;
                if self.ledger.get(key).is_some_and(releasable) {
                    self.ledger.remove(key);
                }
            }
            Entry::ServiceForgotten { key } => {
                self.ledger.remove(key);
            }
            _ => {}
        }
    }

    fn accept_service(&mut self, accepted: &ServiceAccepted) {
        self.ledger.entry(accepted.key.clone()).or_insert_with(|| LedgerRecord {
            request: accepted.request,
            call: accepted.call,
            runner: accepted.runner,
            give_up_at: accepted.give_up_at,
            state: LedgerState::Accepted,
        });
    }

    fn settle_service(&mut self, key: &LedgerKey, call: sumacdrift_types::CallId, state: LedgerState) {
        let Some(record) = self.ledger.get_mut(key) else { return };
        // A response that arrives after the outcome was declared unknown is still the truth.
        let is_settled = matches!(record.state, LedgerState::Committed { .. });
        if record.call == call && !is_settled {
            record.state = state;
        }
    }

    fn change(&mut self, program: &ProgramId, change: impl FnOnce(&mut Program)) {
        if let Some(program) = self.programs.get_mut(program) {
            change(program);
        }
    }

    /// The shortest list of entries that builds this state again.
    ///
    /// Serves as the snapshot, so that one codec and one `apply` cover both log and snapshot.
    pub fn to_entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (program, state) in &self.programs {
            entries.extend(state.to_entries(program));
        }
        for (key, record) in &self.ledger {
            push_ledger_entries(key, record, &mut entries);
        }
        entries
    }

    /// Builds a state from entries.
    pub fn from_entries<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Self {
        let mut state = Self::default();
        for entry in entries {
            state.apply(entry);
        }
        state
    }
}

fn push_ledger_entries(key: &LedgerKey, record: &LedgerRecord, entries: &mut Vec<Entry>) {
    entries.push(Entry::ServiceAccepted(ServiceAccepted {
        key: key.clone(),
        request: record.request,
        call: record.call,
        runner: record.runner,
        give_up_at: record.give_up_at,
    }));
    let (key, call) = (key.clone(), record.call);
    match &record.state {
        LedgerState::Accepted => {}
        LedgerState::Committed { response, at } => {
            entries.push(Entry::ServiceCommitted { key, call, response: response.clone(), at: *at });
        }
        LedgerState::Unknown { at } => entries.push(Entry::ServiceUnknown { key, call, at: *at }),
    }
}
