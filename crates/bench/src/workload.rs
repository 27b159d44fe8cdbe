//! Random programs of the tenants, drawn from a seed.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{BUILD_FARM_KEY, FLOOD_WARNINGS_KEY, TINY_BUDGET_KEY};

const WORDS: [&str; 16] = [
    "gauge", "package", "level", "linker", "river", "symbol", "rain", "patch", "dam", "header", "district",
    "mirror", "north", "failed", "metre", "depends",
];

/// Kinds of program. The `Debug` text is part of the system message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramKind {
    /// Summarizes a failed build.
    Triage,
    /// Follows a chain of dependencies over many turns, with sub-agents, and proposes a patch.
    DependencyWalk,
    /// Reads bulletins and drafts a warning, then sends the notice.
    Warning,
    /// Answers follow-up questions.
    Conversation,
    /// Loops until its budget is exhausted.
    Runaway,
}

/// The turns and properties of a program.
#[derive(Debug, Clone)]
pub struct ProgramPlan {
    pub name: String,
    pub kind: ProgramKind,
    /// API key of the tenant.
    pub key: &'static str,
    /// System message, the same for all programs of a kind.
    pub system: String,
    pub turns: Vec<TurnPlan>,
    /// Whether the program ends with a service call that must run at most once.
    pub has_hook: bool,
    /// Whether requests contain only the new messages, not the history.
    pub is_append: bool,
}

#[derive(Debug, Clone)]
pub struct TurnPlan {
    /// The user's message; it also sets the length of the answer.
    pub message: String,
    /// Pause before the turn, for the work of a tool or a user.
    pub pause_millis: u64,
    /// Whether a sub-agent runs before the next turn.
    pub has_sub_agent: bool,
    /// Whether the caller sends the turn twice at the same time, to two nodes.
    pub is_doubled: bool,
}

pub fn draw_program(random: &mut ChaCha8Rng, seed: u64, number: usize) -> ProgramPlan {
    let kind = match random.random_range(0..100) {
        0..35 => ProgramKind::Triage,
        35..55 => ProgramKind::DependencyWalk,
        55..75 => ProgramKind::Warning,
        75..95 => ProgramKind::Conversation,
        _ => ProgramKind::Runaway,
    };
    let turns = match kind {
        ProgramKind::Triage => random.random_range(1..=3),
        ProgramKind::DependencyWalk => random.random_range(5..=14),
        ProgramKind::Warning => random.random_range(2..=4),
        ProgramKind::Conversation => random.random_range(2..=7),
        ProgramKind::Runaway => 8,
    };
    ProgramPlan {
        name: format!("p{seed}-{number}"),
        kind,
        key: key_of(kind),
        system: system_message(kind),
        turns: (0..turns).map(|_| draw_turn(random, kind)).collect(),
        has_hook: matches!(kind, ProgramKind::DependencyWalk | ProgramKind::Warning),
        is_append: random.random_bool(0.3),
    }
}

fn key_of(kind: ProgramKind) -> &'static str {
    match kind {
        ProgramKind::Triage | ProgramKind::DependencyWalk => BUILD_FARM_KEY,
        ProgramKind::Warning | ProgramKind::Conversation => FLOOD_WARNINGS_KEY,
        ProgramKind::Runaway => TINY_BUDGET_KEY,
    }
}

fn system_message(kind: ProgramKind) -> String {
    let words = match kind {
        ProgramKind::DependencyWalk => 600,
        ProgramKind::Warning => 300,
        _ => 100,
    };
    let mut text = format!("instructions for {kind:?}:");
    for position in 0..words {
        text.push(' ');
        text.push_str(WORDS[position * 7 % WORDS.len()]);
    }
    text
}

fn draw_turn(random: &mut ChaCha8Rng, kind: ProgramKind) -> TurnPlan {
    let (words, tokens) = match kind {
        ProgramKind::DependencyWalk => (random.random_range(50..300), random.random_range(20..120)),
        ProgramKind::Runaway => (20, 40),
        _ => (random.random_range(10..80), random.random_range(20..100)),
    };
    let mut message = String::new();
    for _ in 0..words {
        message.push_str(WORDS[random.random_range(0..WORDS.len())]);
        message.push(' ');
    }
    message.push_str(&format!("[[tokens={tokens}]]"));
    TurnPlan {
        message,
        pause_millis: random.random_range(0..150),
        has_sub_agent: kind == ProgramKind::DependencyWalk && random.random_bool(0.1),
        is_doubled: random.random_bool(0.05),
    }
}
