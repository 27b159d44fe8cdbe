//! The platform's list of machines, which lags behind the truth.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::Serialize;
use sumacdrift_types::Timestamp;

/// What the platform says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Up.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One machine of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MachineEntry {
    /// Its address.
    pub ip: IpAddr,
    /// What the platform says of it.
    pub state: MachineState,
}

/// Changes become visible after a delay.
#[derive(Debug, Clone, Default)]
pub struct MachineList {
    delay: Duration,
    changes: Vec<(Timestamp, IpAddr, Option<MachineState>)>,
}

impl MachineList {
    /// An empty list whose changes show after `delay`.
    pub fn new(delay: Duration) -> Self {
        Self { delay, changes: Vec::new() }
    }

    /// Notes a change; `None` removes the machine.
    pub fn set(&mut self, ip: IpAddr, state: Option<MachineState>, now: Timestamp) {
        self.changes.push((now, ip, state));
    }

    /// The list as it shows at `now`.
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
