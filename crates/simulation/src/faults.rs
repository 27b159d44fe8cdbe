//! Kinds of injected faults and their names.

use std::fmt;

/// A kind of injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A node crashes and restarts without its state.
    Crash,
    /// A node stalls, possibly for longer than its lease, and resumes.
    Pause,
    /// A node can neither send to other nodes nor receive from them.
    Partition,
    /// A node's outgoing messages are lost; incoming ones arrive.
    OneWayLoss,
    /// A share of the messages between nodes is lost.
    Loss,
    /// Messages are delayed.
    Delay,
    /// Messages are reordered.
    Reorder,
    /// A share of the messages between nodes is delivered twice.
    Duplicate,
    /// The platform doesn't answer.
    PlatformDown,
    /// Platform writes take effect, but their answers are lost.
    AnswerLost,
    /// A service runs a call but never answers.
    HungTool,
    /// Engines cut streams off before their end.
    CutStream,
    /// Two operators roll out different changes concurrently.
    RacingOperators,
    /// A node is drained, stopped and restarted.
    PlannedStop,
}

impl FaultKind {
    /// Every kind, in order of declaration.
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

/// A list of faults contains an unknown name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown fault \"{0}\"")]
pub struct UnknownFault(pub String);

/// Parses a list such as `crash,pause`. `all` stands for every kind, `none` or an empty list for no faults.
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
