//! Steps between the ids of a stream's events, within one stream and over the streams of a service.

/// Equal steps between ids after which the next one is expected to be as large.
const STEPS_FOR_EXPECTATION: u32 = 2;
/// Complete streams in succession that must show the same step before a resumed stream is expected to have it.
const STREAMS_FOR_EXPECTATION: u32 = 8;

/// Steps between the successive ids of one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EventSteps {
    /// No step has been seen.
    #[default]
    None,
    /// All steps are the same.
    Equal {
        /// How much each id is above the one before.
        step: u128,
        /// Number of steps.
        count: u32,
    },
    /// They differ, or an id isn't a number.
    Irregular,
}

impl EventSteps {
    /// The next step, as far as the steps before and the usual step of the service's streams tell.
    pub(crate) fn expected(self, usual: Option<u128>) -> Option<u128> {
        match self {
            Self::Equal { step, count } if count >= STEPS_FOR_EXPECTATION => Some(step),
            Self::Equal { step, .. } => usual.filter(|usual| *usual == step),
            Self::None => usual,
            Self::Irregular => None,
        }
    }

    pub(crate) fn record(&mut self, next: Option<u128>) {
        *self = match (*self, next) {
            (Self::None, Some(step)) => Self::Equal { step, count: 1 },
            (Self::Equal { step, count }, Some(next)) if next == step => {
                Self::Equal { step, count: count.saturating_add(1) }
            }
            _ => Self::Irregular,
        };
    }
}

/// What the complete streams of a service have shown about the steps between their ids.
///
/// A single stream with other steps makes the step unknown until enough streams in succession agree again, so that a service
/// whose ids rise irregularly, or begin to rise by another step, is soon served as if nothing were known.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepHistory {
    step: Option<u128>,
    streams: u32,
}

impl StepHistory {
    /// Records the steps of a stream that one engine sent from its first event to its end.
    pub fn record(&mut self, steps: EventSteps) {
        match steps {
            EventSteps::None => {}
            EventSteps::Equal { step, count } if self.step == Some(step) => {
                self.streams = self.streams.saturating_add(u32::from(count >= STEPS_FOR_EXPECTATION));
            }
            EventSteps::Equal { step, count } => {
                *self = Self { step: Some(step), streams: u32::from(count >= STEPS_FOR_EXPECTATION) };
            }
            EventSteps::Irregular => *self = Self::default(),
        }
    }

    /// The step of all streams, if enough were seen.
    pub fn usual_step(&self) -> Option<u128> {
        self.step.filter(|_| self.streams >= STREAMS_FOR_EXPECTATION)
    }
}
