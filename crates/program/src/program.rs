//! The replicated state of one program.

use std::collections::{BTreeMap, BTreeSet};

use sumacdrift_types::{
    CallId, EngineName, IdempotencyKey, PrefixDigest, ProgramId, TenantName, Timestamp, TurnNumber, Usage,
};

use crate::{
    Answer, Budget, BudgetLimits, EndReason, Entry, History, ProgramOpened, RecordedAnswer, Reservation,
    Runner, TurnAccepted, TurnCommitted,
};

/// The replicated state of one program.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    pub tenant: TenantName,
    /// Set for a sub-agent.
    pub parent: Option<ProgramId>,
    pub budget: Budget,
    /// Committed messages, without those of the call in flight.
    pub history: History,
    /// Committed turns, in order.
    pub turns: Vec<TurnRecord>,
    pub in_flight: Option<InFlight>,
    /// Sub-agents and the budget granted to them; `None` once a sub-agent has ended and returned its budget.
    pub children: BTreeMap<ProgramId, Option<BudgetLimits>>,
    /// Engines that may hold cached state of the program.
    pub engines: BTreeSet<EngineName>,
    /// Engine of the latest committed turn.
    pub last_engine: Option<EngineName>,
    /// Why and when the program ended.
    pub ended: Option<(EndReason, Timestamp)>,
    /// Tokens used outside committed turns and current grants.
    pub(crate) charged: Reservation,
}

/// A committed turn.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRecord {
    pub call: CallId,
    pub key: Option<IdempotencyKey>,
    /// Digest of the history before the answer.
    pub request_digest: PrefixDigest,
    /// Index of the answer in the history.
    pub answer_index: usize,
    pub finish_reason: String,
    /// Token counts as reported by the engine.
    pub usage: Usage,
    pub engine: EngineName,
    /// Estimated input tokens charged to the budget.
    pub input_tokens: u64,
}

/// An admitted call that has not ended.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    pub accepted: Box<TurnAccepted>,
    /// Digest of the history before the pending answer.
    pub request_digest: PrefixDigest,
}

impl Program {
    pub(crate) fn new(opened: &ProgramOpened) -> Self {
        Self {
            tenant: opened.tenant.clone(),
            parent: opened.parent.clone(),
            budget: Budget::new(opened.limits, opened.at),
            history: History::default(),
            turns: Vec::new(),
            in_flight: None,
            children: BTreeMap::new(),
            engines: BTreeSet::new(),
            last_engine: None,
            ended: None,
            charged: Reservation::default(),
        }
    }

    /// Number of the next turn.
    pub fn next_turn(&self) -> TurnNumber {
        TurnNumber(self.turns.len() as u32)
    }

    /// The call in flight, if its id is `call`.
    pub fn in_flight_call(&self, call: CallId) -> Option<&InFlight> {
        self.in_flight.as_ref().filter(|in_flight| in_flight.accepted.call == call)
    }

    /// The answer of a committed turn.
    pub fn recorded_answer(&self, turn: TurnNumber) -> Option<RecordedAnswer> {
        let record = self.turns.get(turn.0 as usize)?;
        let message = self.history.messages().get(record.answer_index)?.clone();
        let answer = Answer { message, finish_reason: record.finish_reason.clone() };
        Some(RecordedAnswer { turn, answer, usage: record.usage })
    }

    /// The committed turn that ran as `call`.
    pub fn turn_of_call(&self, call: CallId) -> Option<TurnNumber> {
        let position = self.turns.iter().rposition(|record| record.call == call)?;
        Some(TurnNumber(position as u32))
    }

    /// The committed turn with this idempotency key.
    pub fn turn_of_key(&self, key: &IdempotencyKey) -> Option<TurnNumber> {
        let position = self.turns.iter().position(|record| record.key.as_ref() == Some(key))?;
        Some(TurnNumber(position as u32))
    }

    pub(crate) fn accept(&mut self, accepted: &TurnAccepted) {
        let is_next = self.ended.is_none() && self.in_flight.is_none() && self.next_turn() == accepted.turn;
        if !is_next {
            return;
        }
        let request_digest = crate::history::extend_digest(self.history.digest(), &accepted.messages);
        self.budget.reserved = accepted.reserved;
        self.in_flight = Some(InFlight { accepted: Box::new(accepted.clone()), request_digest });
    }

    pub(crate) fn commit(&mut self, committed: &TurnCommitted) {
        if self.in_flight_call(committed.call).is_none() {
            return;
        }
        let Some(in_flight) = self.in_flight.take() else { return };
        let accepted = *in_flight.accepted;
        let used = Reservation {
            input_tokens: accepted.reserved.input_tokens,
            output_tokens: committed.usage.output_tokens,
        };
        self.budget.settle(used, true);
        for message in accepted.messages {
            self.history.push(message);
        }
        let answer_index = self.history.len();
        self.history.push(committed.answer.message.clone());
        self.turns.push(TurnRecord {
            call: committed.call,
            key: accepted.key,
            request_digest: in_flight.request_digest,
            answer_index,
            finish_reason: committed.answer.finish_reason.clone(),
            usage: committed.usage,
            engine: committed.engine.clone(),
            input_tokens: used.input_tokens,
        });
        self.engines.insert(committed.engine.clone());
        self.engines.extend(committed.other_engines.iter().cloned());
        self.last_engine = Some(committed.engine.clone());
    }

    pub(crate) fn abandon(&mut self, call: CallId, output_tokens: u64, engines: &[EngineName]) {
        if self.in_flight_call(call).is_none() {
            return;
        }
        self.in_flight = None;
        let used = Reservation { input_tokens: 0, output_tokens };
        self.budget.settle(used, false);
        self.charged.output_tokens += output_tokens;
        self.engines.extend(engines.iter().cloned());
    }

    pub(crate) fn charge(&mut self, used: Reservation) {
        self.budget.spent.input_tokens += used.input_tokens;
        self.budget.spent.output_tokens += used.output_tokens;
        self.charged.input_tokens += used.input_tokens;
        self.charged.output_tokens += used.output_tokens;
    }

    pub(crate) fn grant(&mut self, child: &ProgramId, limits: BudgetLimits) {
        if self.children.contains_key(child) {
            return;
        }
        self.budget.charge_child_budget(&limits);
        self.children.insert(child.clone(), Some(limits));
    }

    pub(crate) fn return_budget(&mut self, child: &ProgramId, unused: Reservation) {
        let Some(grant) = self.children.get_mut(child) else { return };
        let Some(limits) = grant.take() else { return };
        let unused = Reservation {
            input_tokens: unused.input_tokens.min(limits.input_tokens),
            output_tokens: unused.output_tokens.min(limits.output_tokens),
        };
        self.budget.return_unused(unused);
        self.charged.input_tokens += limits.input_tokens - unused.input_tokens;
        self.charged.output_tokens += limits.output_tokens - unused.output_tokens;
    }

    /// Sub-agents that have not returned their budget.
    pub fn live_children(&self) -> impl Iterator<Item = &ProgramId> {
        self.children.iter().filter(|(_, limits)| limits.is_some()).map(|(child, _)| child)
    }

    /// Entries that rebuild this program, used as its snapshot.
    pub(crate) fn to_entries(&self, program: &ProgramId) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(self.turns.len() * 2 + self.children.len() + 3);
        entries.push(Entry::ProgramOpened(ProgramOpened {
            program: program.clone(),
            tenant: self.tenant.clone(),
            parent: self.parent.clone(),
            limits: self.budget.limits,
            at: self.budget.started,
        }));
        let mut first_message = 0;
        for (number, record) in self.turns.iter().enumerate() {
            let accepted = self.rebuild_accepted(program, number, record, first_message);
            entries.push(Entry::TurnAccepted(Box::new(accepted)));
            entries.push(Entry::TurnCommitted(Box::new(self.rebuild_committed(program, record))));
            first_message = record.answer_index + 1;
        }
        if let Some(in_flight) = &self.in_flight {
            entries.push(Entry::TurnAccepted(in_flight.accepted.clone()));
        }
        self.push_child_entries(program, &mut entries);
        if self.charged != Reservation::default() {
            entries.push(Entry::Charged { program: program.clone(), used: self.charged });
        }
        if let Some((reason, at)) = self.ended {
            entries.push(Entry::ProgramEnded { program: program.clone(), reason, at });
        }
        entries
    }

    fn rebuild_accepted(
        &self,
        program: &ProgramId,
        number: usize,
        record: &TurnRecord,
        first_message: usize,
    ) -> TurnAccepted {
        TurnAccepted {
            program: program.clone(),
            call: record.call,
            turn: TurnNumber(number as u32),
            key: record.key.clone(),
            messages: self.history.messages()[first_message..record.answer_index].to_vec(),
            reserved: Reservation { input_tokens: record.input_tokens, output_tokens: 0 },
            runner: Runner { node: Default::default(), incarnation: Default::default() },
            give_up_at: Default::default(),
        }
    }

    fn rebuild_committed(&self, program: &ProgramId, record: &TurnRecord) -> TurnCommitted {
        let message = self.history.messages()[record.answer_index].clone();
        TurnCommitted {
            program: program.clone(),
            call: record.call,
            answer: Answer { message, finish_reason: record.finish_reason.clone() },
            usage: record.usage,
            engine: record.engine.clone(),
            other_engines: self.engines.iter().cloned().collect(),
        }
    }

    fn push_child_entries(&self, program: &ProgramId, entries: &mut Vec<Entry>) {
        let zero_limits =
            BudgetLimits { turns: 0, input_tokens: 0, output_tokens: 0, seconds: 0, sub_agents: 0 };
        for (child, limits) in &self.children {
            let (parent, child) = (program.clone(), child.clone());
            let granted = limits.unwrap_or(zero_limits);
            entries.push(Entry::ChildGranted {
                parent: parent.clone(),
                child: child.clone(),
                limits: granted,
            });
            if limits.is_none() {
                let unused = Reservation::default();
                entries.push(Entry::ChildReturned { parent, child, unused });
            }
        }
    }
}
