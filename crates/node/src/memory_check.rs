//! Frees engine memory of programs that are gone, whatever was missed when they ended.
//!
//! An ended program's leader tells the engines that it knows of. A node that died while an engine ran its call
//! took the knowledge of that engine with it, so owners also ask their engines, now and then, for whom they hold
//! memory, and the leaders which of those programs are gone.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use sumacdrift_engine_client::EngineClient;
use sumacdrift_types::{EngineName, ProgramId};

use crate::chat_runner::NO_PROGRAM;
use crate::parts::Parts;

/// How long leaders are asked for one engine.
const ASK_TIME: Duration = Duration::from_secs(5);

/// Compares what engines hold with what programs there are.
pub(crate) struct MemoryCheck {
    pub(crate) parts: Arc<Parts>,
    pub(crate) engines: EngineClient,
}

impl MemoryCheck {
    /// Checks all engines owned here, again and again until the node stops.
    pub(crate) async fn run(self) {
        loop {
            tokio::select! {
                () = self.parts.context.stopped.cancelled() => return,
                () = tokio::time::sleep(self.parts.context.settings.fleet.memory_check) => {}
            }
            for engine in self.owned_engines() {
                self.check(&engine).await;
            }
        }
    }

    fn owned_engines(&self) -> Vec<EngineName> {
        let Some(bundle) = self.parts.configuration.current() else { return Vec::new() };
        let own = Some(self.parts.context.own.node);
        let engines = bundle.engines().map(|(_, engine)| engine);
        let owned = engines.filter(|engine| self.parts.fleet.owner_of(&engine.name, &engine.zone) == own);
        owned.map(|engine| engine.name.clone()).collect()
    }

    async fn check(&self, engine: &EngineName) {
        let Some(address) = self.parts.configuration.address_of(engine) else { return };
        let Ok(mut held) = self.engines.list_programs(address).await else { return };
        // Calls without program share their contexts, and their memory ends only by eviction.
        held.retain(|program| program.as_str() != NO_PROGRAM);
        let give_up = self.parts.context.now() + ASK_TIME;
        let gone: Vec<ProgramId> = self.parts.client.list_gone(held, give_up).await;
        for program in gone {
            info!(self.parts.context.logger, "engine held memory for a program that is gone";
                "engine" => %engine, "program" => %program);
            self.parts.owner.free_program(engine, &program);
        }
    }
}
