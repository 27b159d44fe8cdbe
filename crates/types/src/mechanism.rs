//! Optional mechanisms of call placement and ledger access, which operators can switch off one by one.

use std::fmt;
use std::str::FromStr;

/// A mechanism that can be switched off. Without it, calls are still served, but less well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Placement prefers engines that hold parts of a turn's prompt in their caches.
    CachedPrompts,
    /// Cached prompts reported by other edges are taken into account.
    PeerPrompts,
    /// Loads reported by other edges are taken into account.
    PeerLoads,
    /// Placement accounts for the slowness of engines, as measured on their answers.
    Slowness,
    /// Placement accounts for the distance between zones.
    Zones,
    /// Placement prefers engines with an open connection.
    OpenConnections,
    /// Placement accounts for the delay that a turn inflicts on calls in flight.
    OthersDelay,
    /// Engines receive an urgency for each turn of a program.
    Urgency,
    /// Engines whose calls fail are avoided.
    Health,
    /// Engines at which calls of other edges fail are avoided.
    PeerFailures,
    /// Engines whose failure rate over all edges far exceeds that of their service are ejected for a time.
    OutlierEjection,
    /// The time that a connection may be idle before reuse is limited, as learned from connection resets.
    IdleLimit,
    /// Calls that arrive during startup wait for the first configuration.
    StartWait,
    /// Ledger requests are hedged: further replicas are asked when the first ones are late.
    Hedging,
    /// Ledger replicas that were late are asked last.
    Suspects,
    /// Ledger requests are relayed by other nodes to replicas that this node can't reach.
    Relays,
    /// Cold engines get a limited rate of calls; without this mechanism they get none.
    ColdPermits,
    /// Calls that exceed a node's share of the capacity wait in order at the node.
    WaitingQueue,
    /// Requests under which several engines crashed are rejected for a time. Without this mechanism crashes count within one
    /// call only.
    Quarantine,
}

/// Names in settings.
const NAMES: [(Mechanism, &str); 19] = [
    (Mechanism::CachedPrompts, "held-prompts"),
    (Mechanism::PeerPrompts, "told-prompts"),
    (Mechanism::PeerLoads, "told-loads"),
    (Mechanism::Slowness, "slowness"),
    (Mechanism::Zones, "zones"),
    (Mechanism::OpenConnections, "open-connections"),
    (Mechanism::OthersDelay, "others-delay"),
    (Mechanism::Urgency, "urgency"),
    (Mechanism::Health, "health"),
    (Mechanism::PeerFailures, "told-failures"),
    (Mechanism::OutlierEjection, "outlier-ejection"),
    (Mechanism::IdleLimit, "rest-limit"),
    (Mechanism::StartWait, "start-wait"),
    (Mechanism::Hedging, "hedging"),
    (Mechanism::Suspects, "suspects"),
    (Mechanism::Relays, "relays"),
    (Mechanism::ColdPermits, "cold-permits"),
    (Mechanism::WaitingQueue, "waiting-queue"),
    (Mechanism::Quarantine, "quarantine"),
];

/// No mechanism has this name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown mechanism {0:?}; known mechanisms: {known}", known = names().collect::<Vec<_>>().join(", "))]
pub struct UnknownMechanism(pub String);

/// Names of all mechanisms, as used in settings.
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

/// Set of mechanisms that are switched off; empty by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(u32);

impl DisabledMechanisms {
    /// Whether a mechanism is on.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) == 0
    }

    /// Adds a mechanism to the set.
    pub fn with(self, mechanism: Mechanism) -> Self {
        Self(self.0 | bit(mechanism))
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        Self(mechanisms.into_iter().fold(0, |bits, mechanism| bits | bit(mechanism)))
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
