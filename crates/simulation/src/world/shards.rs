//! Program shards on simulated nodes: replication messages, commands and their outputs.

use rand::Rng;
use sumacdrift_program::{Command, Effect};
use sumacdrift_replication::ReplicaId;
use sumacdrift_shard::{ProgramShard, ShardOutput};
use sumacdrift_types::ShardId;

use super::{World, shard_settings};
use crate::node::{Waiter, engine_index, node_index};
use crate::packet::{CommandAnswer, Packet};

impl World {
    pub(super) fn receive_replication_message(
        &mut self,
        node: usize,
        from: ReplicaId,
        to: ReplicaId,
        message: sumacdrift_replication::Message,
    ) {
        use sumacdrift_replication::Message;
        let now = self.now;
        if self.nodes[node].replica() != to {
            return;
        }
        if self.nodes[node].shard.is_none() {
            if !matches!(message, Message::AppendEntries(_) | Message::InstallSnapshot(_)) {
                return;
            }
            let seed = self.random.random();
            let shard = ProgramShard::join(ShardId(0), to, shard_settings(), seed, now);
            self.nodes[node].shard = Some(shard);
        }
        if let Some(shard) = self.nodes[node].shard.as_mut() {
            shard.receive(from, message, now);
        }
        self.process_shard_outputs(node);
    }

    /// Passes a command to the local replica and records the waiter for its answer.
    pub(crate) fn receive_command(&mut self, node: usize, from: usize, exchange: u64, command: Command) {
        let now = self.now;
        let waiter = Waiter { node: from, incarnation: self.nodes[from].incarnation, exchange };
        let call = command.call();
        let sim_node = &mut self.nodes[node];
        let outcome = match sim_node.shard.as_mut() {
            None => Err(None),
            Some(shard) => {
                sim_node.command_waiters.insert(call, waiter);
                shard.command(command, now).map_err(|not_leader| not_leader.hint)
            }
        };
        if let Err(hint) = outcome {
            sim_node.command_waiters.remove(&call);
            let hint = hint.map(|replica| node_index(replica.node));
            self.answer_command(node, waiter, CommandAnswer::NotLeader(hint));
            return;
        }
        self.process_shard_outputs(node);
    }

    pub(super) fn answer_command(&mut self, node: usize, waiter: Waiter, answer: CommandAnswer) {
        let exchange = waiter.exchange;
        self.send(node, waiter.node, Packet::CommandAnswer { exchange, answer });
    }

    pub(crate) fn process_shard_outputs(&mut self, node: usize) {
        loop {
            let Some(shard) = self.nodes[node].shard.as_mut() else { return };
            let outputs = shard.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.process_shard_output(node, output);
            }
        }
    }

    pub(super) fn process_shard_output(&mut self, node: usize, output: ShardOutput) {
        match output {
            ShardOutput::Send { to, message } => {
                let from = self.nodes[node].replica();
                self.send(node, node_index(to.node), Packet::Group { from, to, message });
            }
            ShardOutput::Reply { call, reply } => {
                if let Some(waiter) = self.nodes[node].command_waiters.remove(&call) {
                    self.answer_command(node, waiter, CommandAnswer::Reply(reply));
                }
            }
            ShardOutput::Effect(effect) => self.apply_effect(node, effect),
            ShardOutput::BecameLeader { .. } => self.nodes[node].leader = Some(node),
            ShardOutput::LostLeadership => {
                self.nodes[node].leader = None;
                let command_waiters = std::mem::take(&mut self.nodes[node].command_waiters);
                for waiter in command_waiters.into_values() {
                    self.answer_command(node, waiter, CommandAnswer::NotLeader(None));
                }
            }
            ShardOutput::Undecodable => self.nodes[node].shard = None,
        }
    }

    pub(super) fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::FreeEngines { program, engines } => {
                for engine in engines {
                    let Some(index) = engine_index(&engine) else { continue };
                    let owner = self.nodes[node].engine_owner(index, self.now);
                    let program = program.clone();
                    self.send(node, owner, Packet::FreeProgram { engine, program });
                }
            }
            Effect::Cancel { runner, call } => {
                self.send(node, node_index(runner.node), Packet::Cancel { call });
            }
            Effect::Reply { .. } | Effect::EndChild { .. } | Effect::ReturnToParent { .. } => {}
        }
    }
}
