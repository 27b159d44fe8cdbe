//! Relay: forwards requests to group members for nodes that cannot reach them.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use sumacdrift_proto::{OneWay, Relay, RelayedQuestion, Request, Response};
use sumacdrift_transport::Handler;
use sumacdrift_types::{Problem, ResultCode};
use tokio::sync::Semaphore;

use crate::client::LedgerClient;

/// Maximum number of requests being relayed.
const MAX_IN_FLIGHT: usize = 64;
/// Maximum time to wait for the reply of a member.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Forwards requests to group members. It sends them directly and never through another relay, so a request
/// makes one hop.
pub struct RelayHost {
    ledger: Arc<LedgerClient>,
    slots: Semaphore,
}

impl RelayHost {
    /// A relay to the members of the groups that `ledger` knows.
    pub fn new(ledger: Arc<LedgerClient>) -> Self {
        Self { ledger, slots: Semaphore::new(MAX_IN_FLIGHT) }
    }

    async fn forward(&self, relay: Relay) -> Response {
        let is_member = self.ledger.map().members().any(|member| member.address == relay.to);
        if !is_member {
            return refused(ResultCode::NotFound, "no member of the ledger's groups has this address");
        }
        let Ok(_slot) = self.slots.try_acquire() else {
            return refused(ResultCode::Overloaded, "too many questions are being passed on");
        };
        let within = relay.within.min(MAX_WAIT);
        let forwarded = match relay.question {
            RelayedQuestion::Ledger(bytes) => Request::Ledger(bytes),
            RelayedQuestion::Follow(bytes) => Request::Follow(bytes),
        };
        let answer = self.ledger.transport().request(relay.to, forwarded, within).await;
        match answer {
            Ok(answer) => answer,
            Err(error) => {
                info!(self.ledger.logger(), "request not relayed"; "event" => "relay_failed",
                    "member" => %relay.to, "error" => %error);
                refused(ResultCode::PeerUnreachable, "the member does not answer here either")
            }
        }
    }
}

impl Handler for RelayHost {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            match request {
                Request::Relay(relay) => self.forward(relay).await,
                _ => refused(ResultCode::NotFound, "this node only passes questions on"),
            }
        })
    }

    fn one_way(&self, _message: OneWay) {}
}

fn refused(code: ResultCode, detail: &str) -> Response {
    Response::Failed(Problem::not_run(code, detail))
}
