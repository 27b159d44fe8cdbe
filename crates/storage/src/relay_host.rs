//! The node in between: passes questions on to members of the group for nodes that don't reach them.

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

/// Questions that are passed on at the same time.
const MOST_AT_ONCE: usize = 64;
/// The longest that a member's answer is waited for.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Passes questions on to members of the group. It asks them itself and never another node in between, so a question
/// makes one hop.
pub struct RelayHost {
    ledger: Arc<LedgerClient>,
    room: Semaphore,
}

impl RelayHost {
    /// A host that knows the members from its own client.
    pub fn new(ledger: Arc<LedgerClient>) -> Self {
        Self { ledger, room: Semaphore::new(MOST_AT_ONCE) }
    }

    async fn pass_on(&self, relay: Relay) -> Response {
        let is_member = self.ledger.map().members().any(|member| member.address == relay.to);
        if !is_member {
            return refused(ResultCode::NotFound, "no member of the ledger's groups has this address");
        }
        let Ok(_room) = self.room.try_acquire() else {
            return refused(ResultCode::Overloaded, "too many questions are being passed on");
        };
        let within = relay.within.min(LONGEST_WAIT);
        let question = match relay.question {
            RelayedQuestion::Ledger(question) => Request::Ledger(question),
            RelayedQuestion::Follow(question) => Request::Follow(question),
        };
        let answer = self.ledger.transport().request(relay.to, question, within).await;
        match answer {
            Ok(answer) => answer,
            Err(error) => {
                info!(self.ledger.logger(), "question not passed on"; "event" => "relay_failed",
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
                Request::Relay(relay) => self.pass_on(relay).await,
                _ => refused(ResultCode::NotFound, "this node only passes questions on"),
            }
        })
    }

    fn one_way(&self, _message: OneWay) {}
}

fn refused(code: ResultCode, detail: &str) -> Response {
    Response::Failed(Problem::not_run(code, detail))
}
