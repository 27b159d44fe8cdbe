//! The order of a stream's events, judged by their ids before they are forwarded.

use crate::event_steps::EventSteps;

/// Why an event is out of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventDisorder {
    /// Its id is that of the event before.
    Repeated,
    /// Its id is lower than that of the event before.
    Fallen,
    /// It is the first event of a resumption, and its id isn't one step above the last, although all steps were equal so far,
    /// in this stream or in the service's earlier ones.
    OffStep,
}

/// Order of the events that one caller gets as the answer to one call, over all attempts.
///
/// Ids rise, but not always by one, so within an answer only a repeated or fallen id is out of order. Where an engine
/// resumes the stream, the next id is known if all steps before were equal, or if there were fewer than two and the service's
/// streams have a usual step.
///
/// What can't be known: whether events are missing within an answer, or at a resumption without either; and of ids that aren't
/// numbers, whether they repeat an event before the last. Events without an id can't be judged.
#[derive(Debug, Clone, Default)]
pub struct EventSequence {
    last: Option<EventId>,
    steps: EventSteps,
    /// Step that the service's streams usually have.
    usual_step: Option<u128>,
    is_resumption: bool,
    was_resumed: bool,
}

impl EventSequence {
    /// The sequence of a stream that continues after the event `resume_after`, or begins if there is none.
    pub fn new(resume_after: Option<&str>) -> Self {
        let last = resume_after.and_then(EventId::parse);
        let is_resumption = last.is_some();
        Self { last, is_resumption, was_resumed: is_resumption, ..Self::default() }
    }

    /// Sets the step that the service's streams usually have, if one is known.
    pub fn set_usual_step(&mut self, step: Option<u128>) {
        self.usual_step = step;
    }

    /// Records that the next event comes from an engine that was asked to resume the stream.
    pub fn begin_resumption(&mut self) {
        self.is_resumption = true;
        self.was_resumed = true;
    }

    /// Steps of a stream that one engine sent from its first event on; `None` if it was resumed.
    pub fn steps_of_single_run(&self) -> Option<EventSteps> {
        (!self.was_resumed).then_some(self.steps)
    }

    /// The id after which the stream has to go on.
    pub fn last(&self) -> Option<&EventId> {
        self.last.as_ref()
    }

    /// Moves on to an event, unless it is out of order.
    pub fn advance(&mut self, id: Option<&str>) -> Result<(), EventDisorder> {
        let Some(id) = id.and_then(EventId::parse) else { return Ok(()) };
        if let Some(last) = &self.last {
            let step = id.step_from(last)?;
            if self.is_resumption && !self.is_expected(step) {
                return Err(EventDisorder::OffStep);
            }
            self.steps.record(step);
        }
        self.is_resumption = false;
        self.last = Some(id);
        Ok(())
    }

    /// Whether a resumption may begin with this step. Nothing is expected after an id that isn't a number.
    fn is_expected(&self, step: Option<u128>) -> bool {
        let usual = self.usual_step.filter(|_| matches!(self.last, Some(EventId::Number(_))));
        self.steps.expected(usual).is_none_or(|expected| step == Some(expected))
    }
}

/// Id of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventId {
    /// A decimal integer.
    Number(u128),
    /// Any other id, and an integer beyond 128 bits.
    Text(String),
}

impl EventId {
    /// `None` if the id is empty, which names no event.
    fn parse(id: &str) -> Option<Self> {
        if id.is_empty() {
            return None;
        }
        let number = id.parse().ok().filter(|_| id.as_bytes()[0].is_ascii_digit());
        Some(number.map_or_else(|| Self::Text(id.to_owned()), Self::Number))
    }

    /// How much the id is above the one before; `None` if either isn't a number.
    fn step_from(&self, last: &Self) -> Result<Option<u128>, EventDisorder> {
        if self == last {
            return Err(EventDisorder::Repeated);
        }
        let (Self::Number(id), Self::Number(last)) = (self, last) else { return Ok(None) };
        id.checked_sub(*last).map(Some).ok_or(EventDisorder::Fallen)
    }
}

impl std::fmt::Display for EventId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Number(number) => number.fmt(formatter),
            Self::Text(text) => text.fmt(formatter),
        }
    }
}
