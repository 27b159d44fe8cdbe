//! The platform's list of machines, in which changes become visible after a delay.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::Serialize;
use sumacdrift_types::Timestamp;

/// State of a machine as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MachineEntry {
    pub ip: IpAddr,
    pub state: MachineState,
}

/// Log of changes, each of which becomes visible after a delay.
#[derive(Debug, Clone, Default)]
pub struct MachineList {
    delay: Duration,
    changes: Vec<(Timestamp, IpAddr, Option<MachineState>)>,
}

impl MachineList {
    /// Creates an empty list whose changes become visible after `delay`.
    pub fn new(delay: Duration) -> Self {
        Self { delay, changes: Vec::new() }
    }

    /// Records a change at `now`; `None` removes the machine.
    pub fn set(&mut self, ip: IpAddr, state: Option<MachineState>, now: Timestamp) {
        self.changes.push((now, ip, state));
    }

    /// The list as visible at `now`, sorted by address.
    pub fn visible(&self, now: Timestamp) -> Vec<MachineEntry> {
        let mut machines: BTreeMap<IpAddr, MachineState> = BTreeMap::new();
        for (at, ip, state) in &self.changes {
            if *at + self.delay > now {
                continue;
            }
            match state {
                Some(state) => machines.insert(*ip, *state),
                None => machines.remove(ip),
            };
        }
        machines.into_iter().map(|(ip, state)| MachineEntry { ip, state }).collect()
    }
}
