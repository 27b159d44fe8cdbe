//! The callers' face meets the node.

use std::sync::Arc;
use std::time::Duration;

use sumacdrift_config::Bundle;
use sumacdrift_gateway::{
    ChatCall, ChatStream, DispatchFuture, Dispatcher, ProgramCall, ServiceAnswer, ServiceCall,
};
use sumacdrift_program::{Command, Page, ProgramReport, Reply};
use sumacdrift_types::{Problem, ResultCode};

use crate::chat_runner::ChatRunner;
use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::service_runner::ServiceRunner;
use crate::shard_client::ShardClient;

/// How long a question about a program is tried.
const PROGRAM_TIME: Duration = Duration::from_secs(5);

/// Runs calls on this node.
pub(crate) struct NodeDispatcher {
    pub(crate) context: Arc<Context>,
    pub(crate) configuration: Arc<ConfigurationStore>,
    pub(crate) client: Arc<ShardClient>,
    pub(crate) chats: Arc<ChatRunner>,
    pub(crate) services: Arc<ServiceRunner>,
}

impl Dispatcher for NodeDispatcher {
    fn configuration(&self) -> Option<Arc<Bundle>> {
        self.configuration.current()
    }

    fn check_ready(&self) -> Result<(), Problem> {
        if self.context.stopping.is_cancelled() {
            let detail = "the node is being stopped; another one takes the call";
            return Err(Problem::not_run(ResultCode::NodeStopping, detail).with_retry_after(Duration::ZERO));
        }
        Ok(())
    }

    fn chat(self: Arc<Self>, call: ChatCall) -> DispatchFuture<ChatStream> {
        Box::pin(Arc::clone(&self.chats).start(call))
    }

    fn service(self: Arc<Self>, call: ServiceCall) -> DispatchFuture<ServiceAnswer> {
        Box::pin(Arc::clone(&self.services).run(call))
    }

    fn describe(self: Arc<Self>, call: ProgramCall, page: Page) -> DispatchFuture<ProgramReport> {
        Box::pin(async move {
            let command = Command::Describe {
                call: call.call,
                program: call.program.clone(),
                tenant: call.tenant.clone(),
                page,
            };
            match self.ask(call, command).await? {
                Reply::Report(report) => Ok(*report),
                Reply::Refused(problem) => Err(problem),
                _ => Err(unfitting()),
            }
        })
    }

    fn end_program(self: Arc<Self>, call: ProgramCall) -> DispatchFuture<()> {
        Box::pin(async move {
            let tenant = Some(call.tenant.clone());
            let command = Command::EndProgram { call: call.call, program: call.program.clone(), tenant };
            match self.ask(call, command).await? {
                Reply::Done => Ok(()),
                Reply::Refused(problem) => Err(problem),
                _ => Err(unfitting()),
            }
        })
    }
}

impl NodeDispatcher {
    async fn ask(&self, call: ProgramCall, command: Command) -> Result<Reply, Problem> {
        let give_up = self.context.now() + PROGRAM_TIME;
        self.client.program_command(&call.program, call.call, command, Duration::ZERO, give_up).await
    }
}

fn unfitting() -> Problem {
    Problem::not_run(ResultCode::Internal, "the program's leader gave an answer that does not fit")
}
