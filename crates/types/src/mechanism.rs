//! Mechanisms that decide where calls go and how the ledger is asked, each of which operators can switch off.

use std::fmt;
use std::str::FromStr;

/// A mechanism that can be switched off. Calls are served without it, less well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Prompts that engines hold count where a turn is placed.
    HeldPrompts,
    /// What other edges tell of prompts that engines hold.
    ToldPrompts,
    /// What other edges tell of their calls.
    ToldLoads,
    /// Engines' slowness, as their answers show it.
    Slowness,
    /// The way between zones.
    Zones,
    /// Open connections are preferred.
    OpenConnections,
    /// Delay of the calls under way counts where a turn is placed.
    OthersDelay,
    /// Programs are told apart by urgency.
    Urgency,
    /// Engines whose calls fail are avoided.
    Health,
    /// Engines at which other edges' calls fail are avoided.
    ToldFailures,
    /// Engines that fail a far larger part of all edges' calls than the rest of their service are put aside for a time.
    OutlierEjection,
    /// Connections rest for less after one was found dead.
    RestLimit,
    /// Calls wait a moment for the first configuration.
    StartWait,
    /// The ledger's other members are asked where the first ones are late.
    Hedging,
    /// Members that were late are asked last.
    Suspects,
    /// Questions to the ledger go around a cut.
    Relays,
    /// Cold engines get as many calls as they can take; without it they get none.
    ColdPermits,
    /// Calls beyond a node's share of the room wait there, in order.
    WaitingQueue,
}

/// All of them with their names in settings.
const NAMES: [(Mechanism, &str); 18] = [
    (Mechanism::HeldPrompts, "held-prompts"),
    (Mechanism::ToldPrompts, "told-prompts"),
    (Mechanism::ToldLoads, "told-loads"),
    (Mechanism::Slowness, "slowness"),
    (Mechanism::Zones, "zones"),
    (Mechanism::OpenConnections, "open-connections"),
    (Mechanism::OthersDelay, "others-delay"),
    (Mechanism::Urgency, "urgency"),
    (Mechanism::Health, "health"),
    (Mechanism::ToldFailures, "told-failures"),
    (Mechanism::OutlierEjection, "outlier-ejection"),
    (Mechanism::RestLimit, "rest-limit"),
    (Mechanism::StartWait, "start-wait"),
    (Mechanism::Hedging, "hedging"),
    (Mechanism::Suspects, "suspects"),
    (Mechanism::Relays, "relays"),
    (Mechanism::ColdPermits, "cold-permits"),
    (Mechanism::WaitingQueue, "waiting-queue"),
];

/// There is no mechanism of this name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("there is no mechanism {0:?}; known are: {known}", known = names().collect::<Vec<_>>().join(", "))]
pub struct UnknownMechanism(pub String);

/// The names of all mechanisms.
pub fn names() -> impl Iterator<Item = &'static str> {
    NAMES.iter().map(|(_, name)| *name)
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(mechanism, _)| *mechanism).ok_or_else(|| UnknownMechanism(text.to_owned()))
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = NAMES.iter().find(|(mechanism, _)| mechanism == self);
        formatter.write_str(found.map_or("", |(_, name)| name))
    }
}

/// The mechanisms that are switched off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SwitchedOff(u32);

impl SwitchedOff {
    /// Whether a mechanism is at work.
    pub fn allows(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) == 0
    }

    /// The same with one more mechanism switched off.
    pub fn with(self, mechanism: Mechanism) -> Self {
        Self(self.0 | bit(mechanism))
    }
}

impl FromIterator<Mechanism> for SwitchedOff {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        Self(mechanisms.into_iter().fold(0, |bits, mechanism| bits | bit(mechanism)))
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
