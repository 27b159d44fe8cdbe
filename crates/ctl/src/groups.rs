//! State of the ledger's groups, derived from the metrics of storage nodes.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::metrics::Metric;

/// Prefix of the metrics in `sumacdrift_storage::HostMetrics`.
const METRIC_PREFIX: &str = "sumacdrift_ledger_";

/// State of a group's member as given by its metrics.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct MemberState {
    /// The node's metrics address.
    pub address: String,
    /// Latest epoch of the group that the member has seen.
    pub epoch: f64,
    pub is_voting: bool,
    /// Number of programs known to the member.
    pub programs: f64,
    /// Requests since the node's start.
    pub requests: f64,
    /// Requests rejected since the node's start because its disk could not keep up.
    pub busy: f64,
    /// Bytes of records that are queued for the disk.
    pub waiting_bytes: f64,
}

/// State of all groups whose members were added.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct GroupsState {
    /// Members by group number.
    pub groups: BTreeMap<i64, Vec<MemberState>>,
    /// Metrics addresses of storage nodes that belong to no group.
    pub spares: Vec<String>,
}

impl GroupsState {
    /// Adds a node's metrics. Nodes that are not storage nodes are ignored.
    pub fn add(&mut self, address: &str, metrics: &[Metric]) {
        let value = |name: &str| {
            let is_named = |metric: &&Metric| metric.name.strip_prefix(METRIC_PREFIX) == Some(name);
            metrics.iter().find(is_named).map(|metric| metric.value)
        };
        let Some(group) = value("group") else { return };
        if group < 0.0 {
            self.spares.push(address.to_owned());
            return;
        }
        let value_or_zero = |name: &str| value(name).unwrap_or(0.0);
        let member = MemberState {
            address: address.to_owned(),
            epoch: value_or_zero("epoch"),
            is_voting: value_or_zero("voting") > 0.0,
            programs: value_or_zero("programs"),
            requests: value_or_zero("requests_total"),
            busy: value_or_zero("busy_total"),
            waiting_bytes: value_or_zero("waiting_bytes"),
        };
        self.groups.entry(group as i64).or_default().push(member);
    }

    /// Formats the groups, those with the fewest voting members first, with a line for each member.
    pub fn format_lines(&self) -> Vec<String> {
        let count_voting = |members: &[MemberState]| members.iter().filter(|member| member.is_voting).count();
        let mut groups: Vec<_> = self.groups.iter().collect();
        groups.sort_by_key(|(number, members)| (count_voting(members), **number));
        let mut lines = Vec::new();
        for (number, members) in groups {
            lines.push(format!(
                "group {number}: {} of {} members voting",
                count_voting(members),
                members.len()
            ));
            lines.extend(members.iter().map(MemberState::format_line));
        }
        if !self.spares.is_empty() {
            lines.push(format!("in no group: {}", self.spares.join(" ")));
        }
        lines
    }
}

impl MemberState {
    fn format_line(&self) -> String {
        let role = if self.is_voting { "voting" } else { "not voting" };
        format!(
            "  {} {role}, epoch {}, {} programs, {} requests, {} rejected, {} bytes queued",
            self.address, self.epoch, self.programs, self.requests, self.busy, self.waiting_bytes
        )
    }
}
