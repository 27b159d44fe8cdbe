//! Outlier ejection: an engine whose failure rate is far above that of the rest of its service gets no calls for a
//! time.
//!
//! [`evaluate`] decides from the calls of all nodes; [`crate::ejection`] holds one node's state of one engine.

use std::time::Duration;

use sumacdrift_calls::EngineId;

use crate::recent_calls::CallCounts;

/// Minimum recent calls, and failures among them, for an ejection. At a failure rate of 2 %, six failures in 24 calls
/// occur by chance less than once in 100,000 samples.
pub const MIN_SAMPLE: u32 = 12;
const MIN_FAILURES: u32 = 6;
/// The same for a recovering engine. Lower, as it has failed before.
const MIN_RECOVERY_SAMPLE: u32 = 6;
const MIN_RECOVERY_FAILURES: u32 = 2;
/// Minimum failure rate of an outlier.
const MIN_FAILURE_RATE: f64 = 0.25;
/// Minimum ratio of an outlier's failure rate to the mean of the rest of its service.
const MIN_RATE_RATIO: f64 = 3.0;
/// Minimum failure rate of a suspect. Suspects count towards the cap on ejections, as engines that begin to fail
/// together reach the minimum sample at different times.
const SUSPECT_FAILURES: u32 = 3;
const SUSPECT_RATE: f64 = MIN_FAILURE_RATE / 2.0;
/// Minimum divisor of a failure rate, so that a single call has little weight.
const MIN_RATE_DIVISOR: u32 = 5;
/// At most one in `ENGINES_PER_EJECTION` engines of a service is ejected, but always one if it has at least
/// `MIN_ENGINES`.
const ENGINES_PER_EJECTION: usize = 5;
const MIN_ENGINES: usize = 3;

/// Whether and how ejection restricts the calls to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionStage {
    /// Gets its full share of calls.
    Active,
    /// Gets no calls while there is another engine.
    Ejected,
    /// Gets a part of its fair share. Holds the recovery step; in step 0 one call at a time is admitted.
    Recovering(u32),
    /// Gets its full share of calls and can't be ejected for a time, as too many engines failed together.
    Exempt,
}

/// Input of the evaluation: an engine that is in use or ejected.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy)]
pub struct EngineSample {
    /// Recent calls of all nodes.
    pub calls: CallCounts,
    pub stage: EjectionStage,
    /// Whether the engine gets few calls because peers reported failures of their last ones.
    pub is_avoided: bool,
}

/// Result of the evaluation of an engine.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evaluation {
    pub verdict: Verdict,
    /// Mean failure rate of the rest of the service.
    pub rest_rate: f64,
}

/// Decision about an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The stage does not change.
    Keep,
    /// The engine is an outlier and gets no calls for a time.
    Eject,
    /// The ejection ends early: more engines fail than may be ejected, so the cause lies elsewhere.
    Release,
}

/// Maximum number of engines of a service that may be ejected at a time.
pub fn max_ejected(engines: usize) -> usize {
    if engines < MIN_ENGINES { 0 } else { (engines / ENGINES_PER_EJECTION).max(1) }
}

/// Evaluates all engines of one service that are in use or ejected; returns one result for each, in order.
///
/// An engine is an outlier if enough of its calls ended and its failure rate is high and far above the mean of the
/// others. If more engines fail than may be ejected, none is an outlier.
pub fn evaluate(engines: &[EngineSample]) -> Vec<Evaluation> {
    let limit = max_ejected(engines.len());
    let rates = FailureRates::from_samples(engines);
    let restricted = engines.iter().filter(|engine| engine.is_restricted()).count();
    let active = || engines.iter().filter(|engine| engine.stage == EjectionStage::Active);
    let outliers = active().filter(|engine| rates.is_outlier(engine)).count();
    let suspects = engines.iter().filter(|engine| !engine.is_restricted() && engine.is_suspect()).count();
    let is_widespread = outliers > 0 && restricted + outliers > limit;
    let may_eject = restricted + suspects <= limit;
    let verdict = |engine: &EngineSample| match engine.stage {
        EjectionStage::Ejected | EjectionStage::Recovering(_) if is_widespread => Verdict::Release,
        EjectionStage::Active if may_eject && rates.is_outlier(engine) => Verdict::Eject,
        EjectionStage::Recovering(_) if rates.is_outlier(engine) => Verdict::Eject,
        _ => Verdict::Keep,
    };
    let samples = engines.iter();
    samples
        .map(|engine| Evaluation { verdict: verdict(engine), rest_rate: rates.mean_without(engine) })
        .collect()
}

/// Failure rates of the engines that get their full share.
#[derive(Debug, Default)]
struct FailureRates {
    engines: usize,
    sum: f64,
}

impl FailureRates {
    fn from_samples(engines: &[EngineSample]) -> Self {
        let serving = engines.iter().filter(|engine| !engine.is_restricted());
        serving.fold(Self::default(), |rates, engine| Self {
            engines: rates.engines + 1,
            sum: rates.sum + rate(engine.calls),
        })
    }

    /// Mean failure rate of all engines but one.
    fn mean_without(&self, engine: &EngineSample) -> f64 {
        let (engines, sum) = match engine.is_restricted() {
            true => (self.engines, self.sum),
            false => (self.engines.saturating_sub(1), self.sum - rate(engine.calls)),
        };
        if engines == 0 { 0.0 } else { sum.max(0.0) / engines as f64 }
    }

    fn is_outlier(&self, engine: &EngineSample) -> bool {
        let (sample, failures) = match engine.stage {
            EjectionStage::Active => (MIN_SAMPLE, MIN_FAILURES),
            EjectionStage::Recovering(_) => (MIN_RECOVERY_SAMPLE, MIN_RECOVERY_FAILURES),
            EjectionStage::Ejected | EjectionStage::Exempt => return false,
        };
        let min_rate = MIN_FAILURE_RATE.max(MIN_RATE_RATIO * self.mean_without(engine));
        let has_sample = engine.calls.ended >= sample && engine.calls.failed >= failures;
        has_sample && rate(engine.calls) >= min_rate
    }
}

impl EngineSample {
    /// Whether the engine gets less than its full share.
    fn is_restricted(&self) -> bool {
        matches!(self.stage, EjectionStage::Ejected | EjectionStage::Recovering(_))
    }

    fn is_suspect(&self) -> bool {
        let fails = self.calls.failed >= SUSPECT_FAILURES && rate(self.calls) >= SUSPECT_RATE;
        fails || self.is_avoided || self.stage == EjectionStage::Exempt
    }
}

/// Failure rate, lowered for small samples.
fn rate(calls: CallCounts) -> f64 {
    f64::from(calls.failed) / f64::from(calls.ended.max(MIN_RATE_DIVISOR))
}

/// A change of an engine's ejection, for the operators' log.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct OutlierChange {
    pub engine: EngineId,
    pub kind: OutlierChangeKind,
    /// Recent calls of all nodes at the engine.
    pub calls: CallCounts,
    /// Mean failure rate of the rest of its service.
    pub rest_rate: f64,
    /// Age of the latest peer report; `None` if only this node's calls were counted.
    pub peer_report_age: Option<Duration>,
}

/// Kind of a change of an engine's ejection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OutlierChangeKind {
    /// The engine was ejected.
    Ejected {
        /// Duration of the ejection.
        pause: Duration,
    },
    /// Recovery is complete; the engine gets its full share.
    Recovered,
    /// The ejection ended early, as more engines of the service fail than may be ejected.
    Released,
}
