//! Emulators of the system's environment: engines, tool services, the platform's object API and its machine list.
//!
//! The models have neither clock nor sockets. The HTTP servers run them in real time; the simulator and the experiment
//! tool run the same models on a virtual clock.

mod block_cache;
mod engine_http;
mod engine_model;
mod engine_settings;
mod machine_list;
mod object_http;
mod object_store;
mod server;
mod text;
mod tool_service;
mod trace;

pub use block_cache::{BlockCache, BlockHash};
pub use engine_http::{EngineFaults, EngineServer};
pub use engine_model::{EngineEvent, EngineModel, LoadReport, SequenceId, Submission};
pub use engine_settings::EngineSettings;
pub use machine_list::{MachineEntry, MachineList, MachineState};
pub use object_http::ObjectServer;
pub use object_store::{ObjectFaults, ObjectStore, StoreError, StoredObject};
pub use text::{BLOCK_TOKENS, Prompt, answer_text, block_hashes, count_tokens, output_length};
pub use tool_service::{ToolExecution, ToolFaults, ToolServer};
pub use trace::{EngineRun, HeldBlocks, Trace};
