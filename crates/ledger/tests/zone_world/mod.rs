//! A fleet whose machines are lost, emptied and added, as its groups change by the policy alone.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_ledger::{
    Candidate, Capacity, GroupMap, GroupPolicy, Member, MemberTold, MemberWatch, Patience, PlaceStep,
};
use sumacdrift_types::{Places, Timestamp};

const STEPS: usize = 30;
/// Long enough that a silent member counts as lost.
const LOST: Duration = Duration::from_secs(60);

struct World {
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

/// Plays a seed; an error says which loss of a zone would leave no majority.
pub fn play(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    world.check()?;
    for _ in 0..STEPS {
        world.step();
        world.check()?;
    }
    Ok(())
}

impl World {
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
        let policy = GroupPolicy::tolerating(losses).surviving_zones(1);
        let candidate = |member: &Member| Candidate { member: member.clone(), capacity: Capacity::default() };
        let candidates: Vec<Candidate> = machines.iter().map(candidate).collect();
        let map = policy.founding_map(&candidates);
        Self { policy, map, machines, down: BTreeSet::new(), now: Timestamp::default(), random }
    }

    /// Something happens, and every machine that is there does about its place what the policy says.
    fn step(&mut self) {
        let picked = self.machines.choose(&mut self.random).expect("a machine").clone();
        match self.random.random_range(0..4) {
            0 => drop(self.down.insert(picked.node)),
            1 => drop(self.down.remove(&picked.node)),
            2 => self.machines.push(machine(self.machines.len(), self.random.random_range(0..6))),
            _ => self.empty(&picked),
        }
        self.now = self.now + LOST;
        let watch = self.watch();
        for own in self.machines.clone() {
            if self.down.contains(&own.node) {
                continue;
            }
            if let PlaceStep::Change { group, .. } =
                self.policy.place_step(&Places::default(), &self.map, &own, &watch, Patience::LONG, self.now)
            {
                self.map = self.map.with(group);
            }
        }
    }

    /// A machine leaves its group for good.
    fn empty(&mut self, machine: &Member) {
        if let Some(group) = self.map.seat_of(&machine.node).cloned() {
            self.map = self.map.with(group.without(&machine.node));
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
                watch.answered(
                    &member.node,
                    MemberTold { is_voting: true, ..MemberTold::default() },
                    Timestamp::default(),
                );
                watch.silent(&member.node, self.now);
            } else {
                watch.answered(
                    &member.node,
                    MemberTold { is_voting: true, ..MemberTold::default() },
                    self.now,
                );
            }
        }
        watch
    }

    /// A group that is whole keeps a majority though any zone is lost.
    fn check(&self) -> Result<(), String> {
        for group in self.map.groups().iter().filter(|group| group.members.len() >= self.policy.size()) {
            for lost in &group.members {
                let left = group.members.iter().filter(|member| member.zone != lost.zone).count();
                if left < group.majority() {
                    return Err(format!("{left} of {group:?} are left without {}", lost.zone));
                }
            }
        }
        Ok(())
    }
}
