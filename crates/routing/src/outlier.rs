//! Outlier ejection: an engine that fails a far larger part of its calls than the rest of its service is put aside for a time.
//!
//! [`judge`] decides from the calls of all nodes; [`crate::ejection`] holds what one node keeps of one engine.

use std::time::Duration;

use sumacdrift_calls::EngineId;

use crate::recent_calls::CallCounts;

/// Calls that must have ended of late before an engine is put aside, and how many of them must have failed. A busy engine
/// has them within half a second; where one call in fifty fails, six of 24 do so less than once in 100,000 times.
pub const LEAST_SAMPLE: u32 = 12;
const LEAST_FAILURES: u32 = 6;
/// The same for an engine that is being brought back: it has shown before that it fails.
const LEAST_RETURN_SAMPLE: u32 = 6;
const LEAST_RETURN_FAILURES: u32 = 2;
/// Share of failed calls from which an engine may be an outlier.
const FAILURE_RATE: f64 = 0.25;
/// How many times the mean rate of the rest of its service that share must be.
const TIMES_THE_REST: f64 = 3.0;
/// An engine with so many failed calls, and half of the rate above, is counted as a suspect: engines that begin to fail
/// together do not reach the sample at the same moment.
const SUSPECT_FAILURES: u32 = 3;
const SUSPECT_RATE: f64 = FAILURE_RATE / 2.0;
/// Calls by which a rate is divided at least, so that a single call says little.
const RATE_SAMPLE: u32 = 5;
/// One in so many engines of a service may be put aside, and one where there are at least a few.
const ENGINES_FOR_EACH_ASIDE: usize = 5;
const FEWEST_ENGINES: usize = 3;

/// Where an engine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It gets calls as any other.
    In,
    /// It gets none while there is another.
    Aside,
    /// It gets a part of its usual share: the number of the step, the first one being single calls.
    Returning(u32),
    /// It gets calls as any other and is not put aside for a time, as it was not the only one that failed.
    Spared,
}

/// An engine in use, as it is judged.
#[derive(Debug, Clone, Copy)]
pub struct JudgedEngine {
    /// Calls of all nodes that ended there of late.
    pub calls: CallCounts,
    /// Where it stands.
    pub stage: Stage,
    /// Whether it gets few calls as others told that their last ones there failed.
    pub is_avoided: bool,
}

/// What an engine was judged to be, and by what.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judgement {
    /// What becomes of it.
    pub verdict: Verdict,
    /// The mean failure rate of the rest of its service.
    pub rest_rate: f64,
}

/// What becomes of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It stays where it stands.
    Stays,
    /// It is an outlier and gets no calls for a time.
    PutAside,
    /// It gets its calls again: more engines fail than may be put aside, so the cause lies elsewhere.
    Released,
}

/// How many of a service's engines may be put aside.
pub fn most_aside(engines: usize) -> usize {
    if engines < FEWEST_ENGINES { 0 } else { (engines / ENGINES_FOR_EACH_ASIDE).max(1) }
}

/// Judges the engines of one service that are in use or put aside: a judgement for each, in order.
///
/// An engine is an outlier where enough of its calls ended, and the share that failed is high and far above the mean of the
/// others. Where more engines fail than may be put aside none is one.
pub fn judge(engines: &[JudgedEngine]) -> Vec<Judgement> {
    let most = most_aside(engines.len());
    let rest = Rest::of(engines);
    let out = engines.iter().filter(|engine| engine.is_out()).count();
    let inside = || engines.iter().filter(|engine| engine.stage == Stage::In);
    let outliers = inside().filter(|engine| rest.is_exceeded_by(engine)).count();
    let suspects = engines.iter().filter(|engine| !engine.is_out() && engine.is_suspect()).count();
    let is_widespread = outliers > 0 && out + outliers > most;
    let may_put_aside = out + suspects <= most;
    let verdict = |engine: &JudgedEngine| match engine.stage {
        Stage::Aside | Stage::Returning(_) if is_widespread => Verdict::Released,
        Stage::In if may_put_aside && rest.is_exceeded_by(engine) => Verdict::PutAside,
        Stage::Returning(_) if rest.is_exceeded_by(engine) => Verdict::PutAside,
        _ => Verdict::Stays,
    };
    let judgements = engines.iter();
    judgements.map(|engine| Judgement { verdict: verdict(engine), rest_rate: rest.besides(engine) }).collect()
}

/// Failure rates of the engines that are not put aside.
#[derive(Debug, Default)]
struct Rest {
    engines: usize,
    sum: f64,
}

impl Rest {
    fn of(engines: &[JudgedEngine]) -> Self {
        let serving = engines.iter().filter(|engine| !engine.is_out());
        serving.fold(Self::default(), |rest, engine| Self {
            engines: rest.engines + 1,
            sum: rest.sum + rate(engine.calls),
        })
    }

    /// The mean rate of all but one.
    fn besides(&self, engine: &JudgedEngine) -> f64 {
        let (engines, sum) = match engine.is_out() {
            true => (self.engines, self.sum),
            false => (self.engines.saturating_sub(1), self.sum - rate(engine.calls)),
        };
        if engines == 0 { 0.0 } else { sum.max(0.0) / engines as f64 }
    }

    fn is_exceeded_by(&self, engine: &JudgedEngine) -> bool {
        let (sample, failures) = match engine.stage {
            Stage::In => (LEAST_SAMPLE, LEAST_FAILURES),
            Stage::Returning(_) => (LEAST_RETURN_SAMPLE, LEAST_RETURN_FAILURES),
            Stage::Aside | Stage::Spared => return false,
        };
        let least_rate = FAILURE_RATE.max(TIMES_THE_REST * self.besides(engine));
        let is_enough = engine.calls.ended >= sample && engine.calls.failed >= failures;
        is_enough && rate(engine.calls) >= least_rate
    }
}

impl JudgedEngine {
    /// Whether it does not get its usual share.
    fn is_out(&self) -> bool {
        matches!(self.stage, Stage::Aside | Stage::Returning(_))
    }

    fn is_suspect(&self) -> bool {
        let fails = self.calls.failed >= SUSPECT_FAILURES && rate(self.calls) >= SUSPECT_RATE;
        fails || self.is_avoided || self.stage == Stage::Spared
    }
}

/// The share of calls that failed, as far as they say something.
fn rate(calls: CallCounts) -> f64 {
    f64::from(calls.failed) / f64::from(calls.ended.max(RATE_SAMPLE))
}

/// A change to be told to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct OutlierChange {
    /// The engine.
    pub engine: EngineId,
    /// What happened.
    pub kind: OutlierChangeKind,
    /// Calls of all nodes that ended there of late.
    pub calls: CallCounts,
    /// The mean failure rate of the rest of its service.
    pub rest_rate: f64,
    /// Age of what is known of other nodes' calls; `None` where only the own calls count.
    pub news_age: Option<Duration>,
}

/// What happened to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OutlierChangeKind {
    /// It was put aside.
    PutAside {
        /// For so long.
        pause: Duration,
    },
    /// It has its usual share again.
    BroughtBack,
    /// It gets its calls again before its time, as more engines of its service fail than may be put aside.
    Released,
}
