//! The ledger's groups as the metrics of their members show them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::metrics::Metric;

/// What a storage node's metrics are called; see `sumacdrift_storage::HostMetrics`.
const PREFIX: &str = "sumacdrift_ledger_";

/// A member of a group.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberState {
    /// Metrics address.
    pub address: String,
    /// Epoch of the group that it knows.
    pub epoch: f64,
    /// Whether it votes.
    pub is_voting: bool,
    /// Programs that it knows.
    pub programs: f64,
    /// Requests since its start.
    pub requests: f64,
    /// Requests that it turned away since its start because its disk was behind.
    pub busy: f64,
    /// Bytes that wait for its disk.
    pub waiting_bytes: f64,
}

/// The groups, by number, and the nodes without a seat.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct GroupsState {
    /// Members by the number of their group.
    pub groups: BTreeMap<i64, Vec<MemberState>>,
    /// Metrics addresses of storage nodes that belong to no group.
    pub spares: Vec<String>,
}

impl GroupsState {
    /// Takes in a node's metrics; those of nodes that keep no replica change nothing.
    pub fn add(&mut self, address: &str, metrics: &[Metric]) {
        let value = |name: &str| {
            let is_named = |metric: &&Metric| metric.name.strip_prefix(PREFIX) == Some(name);
            metrics.iter().find(is_named).map(|metric| metric.value)
        };
        let Some(group) = value("group") else { return };
        if group < 0.0 {
            self.spares.push(address.to_owned());
            return;
        }
        let count = |name: &str| value(name).unwrap_or(0.0);
        let member = MemberState {
            address: address.to_owned(),
            epoch: count("epoch"),
            is_voting: count("voting") > 0.0,
            programs: count("programs"),
            requests: count("requests_total"),
            busy: count("busy_total"),
            waiting_bytes: count("waiting_bytes"),
        };
        self.groups.entry(group as i64).or_default().push(member);
    }

    /// A line for each group, those with fewest voting members first, and one for each of their members.
    pub fn lines(&self) -> Vec<String> {
        let voting = |members: &[MemberState]| members.iter().filter(|member| member.is_voting).count();
        let mut groups: Vec<_> = self.groups.iter().collect();
        groups.sort_by_key(|(number, members)| (voting(members), **number));
        let mut lines = Vec::new();
        for (number, members) in groups {
            lines.push(format!("group {number}: {} of {} members vote", voting(members), members.len()));
            lines.extend(members.iter().map(MemberState::line));
        }
        if !self.spares.is_empty() {
            lines.push(format!("no seat: {}", self.spares.join(" ")));
        }
        lines
    }
}

impl MemberState {
    fn line(&self) -> String {
        let votes = if self.is_voting { "votes" } else { "does not vote" };
        format!(
            "  {} {votes}, epoch {}, {} programs, {} requests, {} turned away, {} bytes wait",
            self.address, self.epoch, self.programs, self.requests, self.busy, self.waiting_bytes
        )
    }
}
