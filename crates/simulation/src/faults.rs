//! Faults that a run can have.

use std::fmt;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A node ends without a word and starts again with nothing remembered.
    Crash,
    /// A node stands still for longer than a lease and then goes on.
    Pause,
    /// A node is cut off in both directions.
    Partition,
    /// What a node sends is lost, what is sent to it arrives.
    OneWayLoss,
    /// Some messages are lost.
    Loss,
    /// Messages take long.
    Delay,
    /// Messages overtake each other.
    Reorder,
    /// Messages arrive twice.
    Duplicate,
    /// The platform does not answer.
    PlatformDown,
    /// The platform's answers are lost after the change took effect.
    AnswerLost,
    /// A service runs a call and its answer never comes.
    HungTool,
    /// Engines break streams off.
    CutStream,
    /// Two operators roll out different changes at the same time.
    RacingOperators,
    /// A node is stopped as planned and started again.
    PlannedStop,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 14] = [
        FaultKind::Crash,
        FaultKind::Pause,
        FaultKind::Partition,
        FaultKind::OneWayLoss,
        FaultKind::Loss,
        FaultKind::Delay,
        FaultKind::Reorder,
        FaultKind::Duplicate,
        FaultKind::PlatformDown,
        FaultKind::AnswerLost,
        FaultKind::HungTool,
        FaultKind::CutStream,
        FaultKind::RacingOperators,
        FaultKind::PlannedStop,
    ];

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Crash => "crash",
            FaultKind::Pause => "pause",
            FaultKind::Partition => "partition",
            FaultKind::OneWayLoss => "one-way-loss",
            FaultKind::Loss => "loss",
            FaultKind::Delay => "delay",
            FaultKind::Reorder => "reorder",
            FaultKind::Duplicate => "duplicate",
            FaultKind::PlatformDown => "platform-down",
            FaultKind::AnswerLost => "answer-lost",
            FaultKind::HungTool => "hung-tool",
            FaultKind::CutStream => "cut-stream",
            FaultKind::RacingOperators => "racing-operators",
            FaultKind::PlannedStop => "planned-stop",
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A list of faults names one that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("there is no fault \"{0}\"")]
pub struct UnknownFault(pub String);

/// Reads a list such as `crash,pause`; `all` and `none` are lists too.
pub fn parse_faults(list: &str) -> Result<Vec<FaultKind>, UnknownFault> {
    match list {
        "all" => return Ok(FaultKind::ALL.to_vec()),
        "none" | "" => return Ok(Vec::new()),
        _ => {}
    }
    let find = |name: &str| {
        let found = FaultKind::ALL.into_iter().find(|kind| kind.name() == name.trim());
        found.ok_or_else(|| UnknownFault(name.trim().to_owned()))
    };
    list.split(',').map(find).collect()
}
