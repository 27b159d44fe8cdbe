//! Checks across all nodes and engines.

use std::collections::BTreeSet;

use rand::Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_program::{Command, Reply};
use sumacdrift_replication::ReplicaId;
use sumacdrift_shard::ShardOutput;
use sumacdrift_types::{CallId, Generation, ProgramId};

use super::{ENGINES, Event, MEMORY_CHECK_INTERVAL, NODES, PROPAGATION_GRACE, World};
use crate::caller::CallerPlan;
use crate::node::SimNode;

impl World {
    /// Frees engine memory of programs that are unknown to the leader or ended.
    pub(super) fn check_engine_memory(&mut self) {
        self.schedule(MEMORY_CHECK_INTERVAL, Event::MemoryCheck);
        let now = self.now;
        let leader = (0..NODES).find(|node| {
            let sim_node = &self.nodes[*node];
            let is_active = sim_node.is_up && !sim_node.is_paused(now);
            is_active && sim_node.shard.as_ref().is_some_and(|shard| shard.is_serving(now))
        });
        let Some(leader) = leader else { return };
        for engine in 0..ENGINES {
            let programs: Vec<ProgramId> = self.engine_memory[engine].iter().cloned().collect();
            let call = CallId(self.random.random());
            self.nodes[leader].command_waiters.remove(&call);
            let Some(shard) = self.nodes[leader].shard.as_mut() else { return };
            if shard.command(Command::ListEnded { call, programs }, now).is_err() {
                return;
            }
            for output in shard.take_outputs() {
                match output {
                    ShardOutput::Reply { reply: Reply::Ended(ended), .. } => {
                        for program in ended {
                            self.engine_memory[engine].remove(&program);
                        }
                    }
                    other => self.process_shard_output(leader, other),
                }
            }
        }
    }

    pub(super) fn check_generation(&mut self, node: usize) {
        let sim_node = &self.nodes[node];
        let generation = sim_node.configuration.generation();
        let key = (node, sim_node.incarnation);
        let before = self.generations_seen.insert(key, generation).unwrap_or_default();
        self.oracle.check(Guarantee::ConfigurationApplied, generation >= before, || {
            format!("node {node} reverted from generation {before} to {generation}")
        });
        let since = self.now.since(self.platform.accepted_at);
        let accepted = self.platform.configuration.generation;
        if since > PROPAGATION_GRACE && self.now > self.lag_tolerated_until && generation > Generation(0) {
            self.oracle.check(Guarantee::ConfigurationApplied, generation >= accepted, || {
                format!("node {node} has generation {generation}, {accepted} was accepted {since:?} ago")
            });
        }
    }

    pub(super) fn check_end(&mut self) {
        let now = self.now;
        let leader_state = self
            .nodes
            .iter()
            .filter_map(|sim_node| sim_node.shard.as_ref())
            .find(|shard| shard.is_serving(now))
            .map(|shard| shard.state().clone());
        for caller in self.callers.clone() {
            let CallerPlan::Program { program, output_budget, .. } = &caller.plan else { continue };
            self.oracle.check_budget(program, *output_budget);
            if let Some(state) = &leader_state {
                self.oracle.check_recorded_history(program, caller.answered, state.program(program));
            }
            if caller.is_done {
                let holders = self.engine_memory.iter().filter(|engine| engine.contains(program)).count();
                let record = leader_state.as_ref().and_then(|state| state.program(program));
                let ended = record.map(|record| record.ended);
                self.oracle.check(Guarantee::EngineMemoryFreed, holders == 0, || {
                    format!(
                        "{program} is done, but {holders} engines hold memory for it; recorded end {ended:?}"
                    )
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
