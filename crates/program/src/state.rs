//! The replicated state of one shard.

use std::collections::BTreeMap;

use sumacdrift_types::ProgramId;

use crate::ledger::LedgerRecord;
use crate::{Entry, LedgerKey, LedgerState, Program, ServiceAccepted};

/// Programs and service ledger of one shard; equal on all replicas that have applied the same entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardState {
    programs: BTreeMap<ProgramId, Program>,
    ledger: BTreeMap<LedgerKey, LedgerRecord>,
}

impl ShardState {
    /// The program with this id, unless it is unknown or forgotten.
    pub fn program(&self, program: &ProgramId) -> Option<&Program> {
        self.programs.get(program)
    }

    /// All programs, ordered by id.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramId, &Program)> {
        self.programs.iter()
    }

    /// State of a service call; `None` if the key is unknown.
    pub fn ledger_state(&self, key: &LedgerKey) -> Option<&LedgerState> {
        self.ledger.get(key).map(|record| &record.state)
    }

    pub(crate) fn ledger_record(&self, key: &LedgerKey) -> Option<&LedgerRecord> {
        self.ledger.get(key)
    }

    pub(crate) fn ledger(&self) -> impl Iterator<Item = (&LedgerKey, &LedgerRecord)> {
        self.ledger.iter()
    }

    /// Applies a committed entry. An entry that does not match the state, such as a second commit of a turn, is
    /// ignored.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::LeaderStarted => {}
            Entry::ProgramOpened(opened) => {
                let program = opened.program.clone();
                self.programs.entry(program).or_insert_with(|| Program::new(opened));
            }
            Entry::TurnAccepted(accepted) => {
                self.update_program(&accepted.program, |program| program.accept(accepted));
            }
            Entry::TurnCommitted(committed) => {
                self.update_program(&committed.program, |program| program.commit(committed));
            }
            Entry::TurnAbandoned(abandoned) => self.update_program(&abandoned.program, |program| {
                program.abandon(abandoned.call, abandoned.output_tokens, &abandoned.engines);
            }),
            Entry::Charged { program, used } => self.update_program(program, |program| program.charge(*used)),
            Entry::ChildGranted { parent, child, limits } => {
                self.update_program(parent, |program| program.grant(child, *limits));
            }
            Entry::ChildReturned { parent, child, unused } => {
                self.update_program(parent, |program| program.return_budget(child, *unused));
            }
            Entry::ProgramEnded { program, reason, at } => self.update_program(program, |program| {
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
                let is_releasable =
                    |record: &LedgerRecord| record.call == *call && record.state == LedgerState::Accepted;
                if self.ledger.get(key).is_some_and(is_releasable) {
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
        // A response that arrives late replaces an unknown outcome.
        let is_committed = matches!(record.state, LedgerState::Committed { .. });
        if record.call == call && !is_committed {
            record.state = state;
        }
    }

    fn update_program(&mut self, program: &ProgramId, update: impl FnOnce(&mut Program)) {
        if let Some(program) = self.programs.get_mut(program) {
            update(program);
        }
    }

    /// Entries that rebuild this state, used as its snapshot.
    ///
    /// Log and snapshot thereby share one encoding and one `apply`.
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

    /// Applies entries to an empty state.
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
