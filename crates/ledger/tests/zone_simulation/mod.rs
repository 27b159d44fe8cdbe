//! Simulated fleet whose machines fail, are drained and are added, with groups changed only by the placement policy.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_ledger::{
    Candidate, Capacity, GroupMap, GroupPolicy, Member, MemberReport, MemberWatch, MembershipDecision,
    ReplacementPolicy,
};
use sumacdrift_types::{Timestamp, Topology};

const STEPS: usize = 30;
/// Time per step, long enough that an unresponsive member counts as lost.
const STEP_TIME: Duration = Duration::from_secs(60);

struct Fleet {
    policy: GroupPolicy,
    map: GroupMap,
    machines: Vec<Member>,
    down: BTreeSet<String>,
    now: Timestamp,
    random: ChaCha8Rng,
}

fn machine(number: usize, zone: usize) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member { node: format!("m{number:03}"), address, zone: format!("z{zone}"), joined: 0 }
}

/// Runs a simulation; an error names the zone whose loss would leave a group without a majority.
pub fn simulate(seed: u64) -> Result<(), String> {
    let mut fleet = Fleet::new(seed);
    fleet.check_majorities()?;
    for _ in 0..STEPS {
        fleet.step();
        fleet.check_majorities()?;
    }
    Ok(())
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let losses = random.random_range(1..=2);
        let zones = random.random_range(3..=6);
        let mut machines = Vec::new();
        for zone in 0..zones {
            for _ in 0..random.random_range(losses..=losses + 5) {
                machines.push(machine(machines.len(), zone));
            }
        }
        let policy = GroupPolicy::tolerating(losses).tolerating_zone_loss(1);
        let candidate = |member: &Member| Candidate { member: member.clone(), capacity: Capacity::default() };
        let candidates: Vec<Candidate> = machines.iter().map(candidate).collect();
        let map = policy.initial_group_map(&candidates);
        Self { policy, map, machines, down: BTreeSet::new(), now: Timestamp::default(), random }
    }

    /// Applies a random event, then the group changes that each running machine requests.
    fn step(&mut self) {
        let picked = self.machines.choose(&mut self.random).expect("at least one machine").clone();
        match self.random.random_range(0..4) {
            0 => drop(self.down.insert(picked.node)),
            1 => drop(self.down.remove(&picked.node)),
            2 => self.machines.push(machine(self.machines.len(), self.random.random_range(0..6))),
            _ => self.drain(&picked),
        }
        self.now = self.now + STEP_TIME;
        let watch = self.watch();
        for own in self.machines.clone() {
            if self.down.contains(&own.node) {
                continue;
            }
            if let MembershipDecision::Change { group, .. } = self.policy.decide_membership(
                &Topology::default(),
                &self.map,
                &own,
                &watch,
                ReplacementPolicy::FOR_EXISTING_MACHINE,
                self.now,
            ) {
                self.map = self.map.with_group(group);
            }
        }
    }

    /// Removes a machine from its group and, unless it is the last one, from the fleet.
    fn drain(&mut self, machine: &Member) {
        if let Some(group) = self.map.group_of_member(&machine.node).cloned() {
            self.map = self.map.with_group(group.without_member(&machine.node));
        }
        self.machines.retain(|other| other.node != machine.node);
        if self.machines.is_empty() {
            self.machines.push(machine.clone());
        }
    }

    fn watch(&self) -> MemberWatch {
        let mut watch = MemberWatch::default();
        for member in self.map.members() {
            if self.down.contains(&member.node) {
                watch.record_answer(
                    &member.node,
                    MemberReport { is_voting: true, ..MemberReport::default() },
                    Timestamp::default(),
                );
                watch.record_timeout(&member.node, self.now);
            } else {
                watch.record_answer(
                    &member.node,
                    MemberReport { is_voting: true, ..MemberReport::default() },
                    self.now,
                );
            }
        }
        watch
    }

    /// Checks that every complete group keeps a majority if any one zone is lost.
    fn check_majorities(&self) -> Result<(), String> {
        for group in self.map.groups().iter().filter(|group| group.members.len() >= self.policy.size()) {
            for lost in &group.members {
                let remaining = group.members.iter().filter(|member| member.zone != lost.zone).count();
                if remaining < group.majority() {
                    return Err(format!(
                        "{remaining} members of {group:?} remain without zone {}",
                        lost.zone
                    ));
                }
            }
        }
        Ok(())
    }
}
