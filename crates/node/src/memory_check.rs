//! Periodically frees engine memory of programs that have ended.
//!
//! When a program ends, its shard's leader has the memory freed on the engines that it knows have run the
//! program's calls. If a node crashes during a call, the leader may not know of the call's engine. Each node
//! therefore also asks the engines that it owns which programs they hold memory for, and asks the shard leaders
//! which of these programs have ended.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use sumacdrift_engine_client::EngineClient;
use sumacdrift_types::{EngineName, ProgramId};

use crate::chat_runner::SINGLE_CALL_PROGRAM;
use crate::components::Components;

/// Bound on asking the shard leaders about the programs of one engine.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Frees memory that owned engines hold for ended programs.
pub(crate) struct MemoryCheck {
    pub(crate) components: Arc<Components>,
    pub(crate) engine_client: EngineClient,
}

impl MemoryCheck {
    /// Checks all owned engines at the configured interval until the node stops.
    pub(crate) async fn run(self) {
        loop {
            tokio::select! {
                () = self.components.context.stopped.cancelled() => return,
                () = tokio::time::sleep(self.components.context.settings.fleet.memory_check) => {}
            }
            for engine in self.owned_engines() {
                self.check_engine(&engine).await;
            }
        }
    }

    fn owned_engines(&self) -> Vec<EngineName> {
        let Some(bundle) = self.components.configuration.current() else { return Vec::new() };
        let own_node = Some(self.components.context.own_replica.node);
        let engines = bundle.engines().map(|(_, engine)| engine);
        let owned =
            engines.filter(|engine| self.components.fleet.owner_of(&engine.name, &engine.zone) == own_node);
        owned.map(|engine| engine.name.clone()).collect()
    }

    async fn check_engine(&self, engine: &EngineName) {
        let Some(address) = self.components.configuration.address_of(engine) else { return };
        let Ok(mut held) = self.engine_client.list_programs(address).await else { return };
        // Calls without a program share one name; their memory is freed only by eviction.
        held.retain(|program| program.as_str() != SINGLE_CALL_PROGRAM);
        let deadline = self.components.context.now() + LOOKUP_TIMEOUT;
        let ended: Vec<ProgramId> = self.components.shard_client.find_ended_programs(held, deadline).await;
        for program in ended {
            info!(self.components.context.logger, "freeing engine memory of an ended program";
                "engine" => %engine, "program" => %program);
            self.components.engine_owner.free_program(engine, &program);
        }
    }
}
