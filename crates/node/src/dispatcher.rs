//! Connects the gateway to the node's runners.

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

const PROGRAM_COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Implements the gateway's [`Dispatcher`] on this node.
pub(crate) struct NodeDispatcher {
    pub(crate) context: Arc<Context>,
    pub(crate) configuration: Arc<ConfigurationStore>,
    pub(crate) shard_client: Arc<ShardClient>,
    pub(crate) chat_runner: Arc<ChatRunner>,
    pub(crate) service_runner: Arc<ServiceRunner>,
}

impl Dispatcher for NodeDispatcher {
    fn configuration(&self) -> Option<Arc<Bundle>> {
        self.configuration.current()
    }

    fn check_ready(&self) -> Result<(), Problem> {
        if self.context.stopping.is_cancelled() {
            let detail = "the node is shutting down; retry at another node";
            return Err(Problem::not_run(ResultCode::NodeStopping, detail).with_retry_after(Duration::ZERO));
        }
        Ok(())
    }

    fn chat(self: Arc<Self>, call: ChatCall) -> DispatchFuture<ChatStream> {
        Box::pin(Arc::clone(&self.chat_runner).start(call))
    }

    fn service(self: Arc<Self>, call: ServiceCall) -> DispatchFuture<ServiceAnswer> {
        Box::pin(Arc::clone(&self.service_runner).run(call))
    }

    fn describe(self: Arc<Self>, call: ProgramCall, page: Page) -> DispatchFuture<ProgramReport> {
        Box::pin(async move {
            let command = Command::Describe {
                call: call.call,
                program: call.program.clone(),
                tenant: call.tenant.clone(),
                page,
            };
            match self.send_command(call, command).await? {
                Reply::Report(report) => Ok(*report),
                Reply::Rejected(problem) => Err(problem),
                _ => Err(unexpected_reply()),
            }
        })
    }

    fn end_program(self: Arc<Self>, call: ProgramCall) -> DispatchFuture<()> {
        Box::pin(async move {
            let tenant = Some(call.tenant.clone());
            let command = Command::EndProgram { call: call.call, program: call.program.clone(), tenant };
            match self.send_command(call, command).await? {
                Reply::Done => Ok(()),
                Reply::Rejected(problem) => Err(problem),
                _ => Err(unexpected_reply()),
            }
        })
    }
}

impl NodeDispatcher {
    async fn send_command(&self, call: ProgramCall, command: Command) -> Result<Reply, Problem> {
        let deadline = self.context.now() + PROGRAM_COMMAND_TIMEOUT;
        self.shard_client
            .send_program_command(&call.program, call.call, command, Duration::ZERO, deadline)
            .await
    }
}

fn unexpected_reply() -> Problem {
    Problem::not_run(ResultCode::Internal, "unexpected reply from the program's leader")
}
