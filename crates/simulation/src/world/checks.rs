//! Checks of the simulated world that look at everything at once.

use std::collections::BTreeSet;

use rand::Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_program::{Command, Reply};
use sumacdrift_replication::ReplicaId;
use sumacdrift_shard::ShardOutput;
use sumacdrift_types::{CallId, Generation, ProgramId};

use super::{ENGINES, Event, MEMORY_CHECK, NEWS_GRACE, NODES, World};
use crate::caller::Plan;
use crate::node::SimNode;

impl World {
    /// Compares what engines hold with the programs that the leader knows.
    pub(super) fn memory_check(&mut self) {
        self.schedule(MEMORY_CHECK, Event::MemoryCheck);
        let now = self.now;
        let leader = (0..NODES).find(|node| {
            let one = &self.nodes[*node];
            let is_able = one.is_up && !one.is_paused(now);
            is_able && one.shard.as_ref().is_some_and(|shard| shard.is_serving(now))
        });
        let Some(leader) = leader else { return };
        for engine in 0..ENGINES {
            let programs: Vec<ProgramId> = self.memory[engine].iter().cloned().collect();
            let call = CallId(self.random.random());
            self.nodes[leader].waiting.remove(&call);
            let Some(shard) = self.nodes[leader].shard.as_mut() else { return };
            if shard.command(Command::ListEnded { call, programs }, now).is_err() {
                return;
            }
            for output in shard.take_outputs() {
                match output {
                    ShardOutput::Reply { reply: Reply::Ended(gone), .. } => {
                        for program in gone {
                            self.memory[engine].remove(&program);
                        }
                    }
                    other => self.shard_output(leader, other),
                }
            }
        }
    }

    pub(super) fn check_generation(&mut self, node: usize) {
        let one = &self.nodes[node];
        let generation = one.in_force.generation();
        let key = (node, one.incarnation);
        let before = self.generations_seen.insert(key, generation).unwrap_or_default();
        self.oracle.check(Guarantee::ConfigurationInForce, generation >= before, || {
            format!("node {node} went from generation {before} to {generation}")
        });
        let since = self.now.since(self.platform.accepted_at);
        let accepted = self.platform.configuration.generation;
        if since > NEWS_GRACE && self.now > self.disturbed_until && generation > Generation(0) {
            self.oracle.check(Guarantee::ConfigurationInForce, generation >= accepted, || {
                format!("node {node} has generation {generation}, {accepted} was accepted {since:?} ago")
            });
        }
    }

    pub(super) fn check_end(&mut self) {
        let now = self.now;
        let leading = self
            .nodes
            .iter()
            .filter_map(|one| one.shard.as_ref())
            .find(|shard| shard.is_serving(now))
            .map(|shard| shard.state().clone());
        for caller in self.callers.clone() {
            let Plan::Program { program, output_budget, .. } = &caller.plan else { continue };
            self.oracle.budget(program, *output_budget);
            if let Some(state) = &leading {
                self.oracle.recorded(program, caller.answered, state.program(program));
            }
            if caller.is_done {
                let held = self.memory.iter().filter(|engine| engine.contains(program)).count();
                let record = leading.as_ref().and_then(|state| state.program(program));
                let ended = record.map(|record| record.ended);
                self.oracle.check(Guarantee::NoMemoryForGonePrograms, held == 0, || {
                    format!("{program} is gone and {held} engines hold memory for it; recorded {ended:?}")
                });
            }
        }
    }
}

pub(super) fn describe_replica(node: &SimNode) -> String {
    let Some(shard) = &node.shard else { return format!("{} holds no replica", node.replica()) };
    let replica = shard.replica();
    let configuration = replica.configuration();
    let list =
        |members: &BTreeSet<ReplicaId>| members.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
    format!(
        "{} {:?} term {} committed {} of {}, voters [{}], learners [{}]",
        node.replica(),
        replica.role(),
        replica.term(),
        replica.committed(),
        replica.last_index(),
        list(&configuration.voters),
        list(&configuration.learners),
    )
}
