//! Runs calls to plain services. Calls that aren't repeatable run at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use rand::seq::SliceRandom;
use slog::{info, warn};
use sumacdrift_calls::{CallKind, CallMachine, CallRules, EngineId, Failure, Next};
use sumacdrift_config::{Service, ServiceBackEnd};
use sumacdrift_gateway::{ServiceAnswer, ServiceBody, ServiceCall};
use sumacdrift_http_client::{HttpClient, HttpError, next_chunk};
use sumacdrift_program::{BeginService, Command, LedgerKey, Reply, ServiceResponse};
use sumacdrift_types::{Problem, Ran, ResultCode, Timestamp};
use tokio::sync::{mpsc, oneshot};

use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::running_calls::RunningCalls;
use crate::shard_client::ShardClient;

/// Maximum size of a recorded answer.
const MAX_RECORDED_BYTES: usize = 1 << 20;
/// Body chunks that are buffered for a slow caller.
const CHUNK_QUEUE_CAPACITY: usize = 16;
/// How long a ledger command is retried.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(15);
/// Margin beyond a call's run time before the ledger records its outcome as unknown.
const RUN_TIMEOUT_MARGIN: Duration = Duration::from_secs(30);
/// Upper bound only; each attempt has the service's own deadline.
const MAX_CALL_DURATION: Duration = Duration::from_secs(3600);
const DIGEST_BYTES: usize = 16;

pub(crate) struct ServiceRunner {
    context: Arc<Context>,
    configuration: Arc<ConfigurationStore>,
    shard_client: Arc<ShardClient>,
    http: HttpClient,
    running_calls: Arc<RunningCalls>,
}

impl ServiceRunner {
    pub(crate) fn new(
        context: Arc<Context>,
        configuration: Arc<ConfigurationStore>,
        shard_client: Arc<ShardClient>,
        running_calls: Arc<RunningCalls>,
    ) -> Self {
        let http = HttpClient::without_reuse().requiring_framing();
        Self { context, configuration, shard_client, http, running_calls }
    }

    pub(crate) async fn run(self: Arc<Self>, call: ServiceCall) -> Result<ServiceAnswer, Problem> {
        let service = self.find_service(&call)?;
        self.context.metrics.service_calls.inc();
        let path = call.path.split('?').next().unwrap_or_default();
        let is_repeatable = service.is_repeatable(&call.method, path);
        let outcome = if is_repeatable {
            self.run_repeatable(&call, &service).await
        } else {
            Arc::clone(&self).run_once(call.clone(), service).await
        };
        if let Err(problem) = &outcome {
            self.context.metrics.record_problem(problem);
            info!(self.context.logger, "service call failed"; "call" => %call.call,
                "service" => %call.service, "code" => problem.code.number(), "ran" => %problem.ran,
                "detail" => &problem.detail);
        }
        outcome
    }

    fn find_service(&self, call: &ServiceCall) -> Result<Service, Problem> {
        let bundle = self.configuration.current();
        let service = bundle.as_ref().and_then(|bundle| bundle.services.get(&call.service));
        let missing = || Problem::not_run(ResultCode::NotFound, format!("unknown service {}", call.service));
        service.cloned().ok_or_else(missing)
    }

    /// Tries back ends until one answers and streams the answer to the caller.
    async fn run_repeatable(&self, call: &ServiceCall, service: &Service) -> Result<ServiceAnswer, Problem> {
        let mut last_problem = no_back_end(call);
        let mut machine = self.call_machine(CallKind::Repeatable, service);
        for back_end in self.ordered_back_ends(service) {
            let request = to_request(call, back_end.address)?;
            machine.record_sent(&back_end_id(&back_end));
            match self.http.send(request, service.deadline).await {
                Ok(response) => return Ok(self.stream_answer(call, response)),
                Err(error) => {
                    last_problem = to_problem(&error);
                    if !self.should_try_next(&mut machine, &back_end, &error) {
                        break;
                    }
                }
            }
        }
        Err(last_problem.with_ran(machine.ran()))
    }

    fn call_machine(&self, kind: CallKind, service: &Service) -> CallMachine {
        let rules = CallRules {
            kind,
            max_engines: service.back_ends.len(),
            returns_to_last: false,
            timeout: MAX_CALL_DURATION,
            aim: service.deadline,
            priority: 0,
        };
        CallMachine::new(rules, None, self.context.now())
    }

    /// Records a failed attempt and returns whether another back end may be tried.
    fn should_try_next(
        &self,
        machine: &mut CallMachine,
        back_end: &ServiceBackEnd,
        error: &HttpError,
    ) -> bool {
        let failure = match error {
            HttpError::NotSent(_) => Failure::NotSent,
            HttpError::ConnectionLost(_) | HttpError::TimedOut => Failure::Lost,
            HttpError::TooLarge(_) | HttpError::Unframed | HttpError::InvalidStatus(_) => Failure::Spoiled,
        };
        let next = machine.record_failure(&back_end_id(back_end), failure, self.context.now());
        matches!(next, Next::Try { .. })
    }

    fn stream_answer(
        &self,
        call: &ServiceCall,
        response: http::Response<hyper::body::Incoming>,
    ) -> ServiceAnswer {
        let (head, mut body) = response.into_parts();
        let (chunks, receiver) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
        let (running_calls, id) = (Arc::clone(&self.running_calls), call.call);
        running_calls.register(id);
        tokio::spawn(async move {
            loop {
                let chunk = match next_chunk(&mut body).await {
                    Ok(Some(chunk)) => Ok(chunk),
                    Ok(None) => break,
                    Err(error) => Err(std::io::Error::other(error)),
                };
                let is_end = chunk.is_err();
                if chunks.send(chunk).await.is_err() || is_end {
                    break;
                }
            }
            running_calls.deregister(id);
        });
        ServiceAnswer {
            status: head.status.as_u16(),
            content_type: content_type(&head.headers),
            is_replay: false,
            body: ServiceBody::Pieces(receiver),
        }
    }

    /// Runs a call at most once. It runs in its own task because, once admitted, its outcome must be recorded
    /// even if the caller disconnects.
    async fn run_once(
        self: Arc<Self>,
        call: ServiceCall,
        service: Service,
    ) -> Result<ServiceAnswer, Problem> {
        let Some(key) = call.key.clone() else {
            let detail = "this call is not repeatable, so it requires an Idempotency-Key";
            return Err(Problem::not_run(ResultCode::IdempotencyKeyRequired, detail));
        };
        let key = LedgerKey { tenant: call.tenant.clone(), service: call.service.clone(), key };
        let (sender, receiver) = oneshot::channel();
        let runner = Arc::clone(&self);
        self.running_calls.register(call.call);
        tokio::spawn(async move {
            let id = call.call;
            let outcome = runner.admit_and_run(call, service, key).await;
            runner.running_calls.deregister(id);
            let _ = sender.send(outcome);
        });
        let lost = || Problem::unknown(ResultCode::Internal, "the call's task ended without an answer");
        receiver.await.unwrap_or_else(|_| Err(lost()))
    }

    async fn admit_and_run(
        &self,
        call: ServiceCall,
        service: Service,
        key: LedgerKey,
    ) -> Result<ServiceAnswer, Problem> {
        let begin = BeginService {
            call: call.call,
            key: key.clone(),
            request: request_digest(&call),
            runner: self.context.runner(),
            run_timeout: service.deadline * service.back_ends.len().max(1) as u32 + RUN_TIMEOUT_MARGIN,
        };
        let command = Command::BeginService(begin);
        let deadline = self.context.now() + LEDGER_TIMEOUT;
        match self.shard_client.send_ledger_command(&key, call.call, command, deadline).await {
            Ok(Reply::RunService) => self.run_admitted(call, service, key).await,
            Ok(Reply::ReplayService(response)) => {
                self.context.metrics.replays.inc();
                Ok(to_answer(response, true))
            }
            Ok(Reply::Rejected(problem)) => Err(problem),
            Ok(_) => Err(Problem::not_run(ResultCode::Internal, "unexpected reply from the ledger")),
            Err(problem) => {
                // The admission may have been committed although no answer arrived. Nothing was sent to a
                // back end, so release it.
                self.update_ledger(
                    &key,
                    &call,
                    Command::ReleaseService { key: key.clone(), call: call.call },
                )
                .await;
                Err(problem)
            }
        }
    }

    async fn run_admitted(
        &self,
        call: ServiceCall,
        service: Service,
        key: LedgerKey,
    ) -> Result<ServiceAnswer, Problem> {
        let mut last_problem = no_back_end(&call);
        let mut machine = self.call_machine(CallKind::Once, &service);
        for back_end in self.ordered_back_ends(&service) {
            let request = to_request(&call, back_end.address)?;
            machine.record_sent(&back_end_id(&back_end));
            match self.http.fetch(request, service.deadline, MAX_RECORDED_BYTES).await {
                Ok(response) => return self.record_answer(&call, &key, response).await,
                // Another back end may be tried only if nothing was sent to this one.
                Err(error) if self.should_try_next(&mut machine, &back_end, &error) => {
                    last_problem = to_problem(&error)
                }
                Err(error) if machine.ran() == Ran::No => {
                    last_problem = to_problem(&error);
                    break;
                }
                Err(error) => {
                    let command = Command::MarkServiceUnknown { key: key.clone(), call: call.call };
                    self.update_ledger(&key, &call, command).await;
                    warn!(self.context.logger, "outcome of a non-repeatable call is unknown";
                        "call" => %call.call, "service" => %call.service, "error" => error.to_string());
                    return Err(to_problem(&error));
                }
            }
        }
        let command = Command::ReleaseService { key: key.clone(), call: call.call };
        self.update_ledger(&key, &call, command).await;
        Err(last_problem)
    }

    async fn record_answer(
        &self,
        call: &ServiceCall,
        key: &LedgerKey,
        response: http::Response<Bytes>,
    ) -> Result<ServiceAnswer, Problem> {
        let (head, body) = response.into_parts();
        let response = ServiceResponse {
            status: head.status.as_u16(),
            content_type: content_type(&head.headers),
            body: body.to_vec(),
        };
        let command =
            Command::FinishService { key: key.clone(), call: call.call, response: response.clone() };
        match self.update_ledger(key, call, command).await {
            Some(Reply::Done) => Ok(to_answer(response, false)),
            _ => {
                let detail = "the call ran, but its answer could not be recorded";
                Err(Problem::unknown(ResultCode::NotCommitted, detail))
            }
        }
    }

    async fn update_ledger(&self, key: &LedgerKey, call: &ServiceCall, command: Command) -> Option<Reply> {
        let deadline: Timestamp = self.context.now() + LEDGER_TIMEOUT;
        self.shard_client.send_ledger_command(key, call.call, command, deadline).await.ok()
    }

    /// Back ends that aren't draining, in random order, those of this node's zone first.
    fn ordered_back_ends(&self, service: &Service) -> Vec<ServiceBackEnd> {
        let mut back_ends: Vec<ServiceBackEnd> =
            service.back_ends.iter().filter(|back_end| !back_end.is_draining).cloned().collect();
        back_ends.shuffle(&mut rand::rng());
        back_ends.sort_by_key(|back_end| back_end.zone != self.context.settings.zone);
        back_ends
    }
}

fn request_digest(call: &ServiceCall) -> [u8; DIGEST_BYTES] {
    let mut hasher = blake3::Hasher::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0_u8; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    digest
}

fn to_request(call: &ServiceCall, address: SocketAddr) -> Result<Request<Full<Bytes>>, Problem> {
    let invalid = |detail: String| Problem::not_run(ResultCode::MalformedBody, detail);
    let method: Method =
        call.method.parse().map_err(|_| invalid(format!("method {} is not valid", call.method)))?;
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{}", call.path))
        .header("x-request-id", call.call.to_string());
    for header in &call.headers {
        request = request.header(header.name, &header.value);
    }
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key.as_str());
    }
    request.body(Full::new(call.body.clone())).map_err(|error| invalid(error.to_string()))
}

fn content_type(headers: &http::HeaderMap) -> Option<String> {
    headers.get("content-type").and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn to_answer(response: ServiceResponse, is_replay: bool) -> ServiceAnswer {
    ServiceAnswer {
        status: response.status,
        content_type: response.content_type,
        is_replay,
        body: ServiceBody::Whole(Bytes::from(response.body)),
    }
}

fn back_end_id(back_end: &ServiceBackEnd) -> EngineId {
    EngineId::new(&back_end.address.to_string())
}

fn to_problem(error: &HttpError) -> Problem {
    match error {
        HttpError::NotSent(_) => Problem::not_run(ResultCode::BackEndUnreachable, error.to_string())
            .with_retry_after(Duration::from_secs(1)),
        HttpError::ConnectionLost(_) => Problem::unknown(ResultCode::BackEndCut, error.to_string()),
        HttpError::TimedOut => Problem::unknown(ResultCode::DeadlineExceeded, error.to_string()),
        HttpError::TooLarge(_) | HttpError::Unframed | HttpError::InvalidStatus(_) => {
            Problem::unknown(ResultCode::BackEndGarbage, error.to_string())
        }
    }
}

fn no_back_end(call: &ServiceCall) -> Problem {
    let detail = format!("no back end of service {} is accepting calls", call.service);
    Problem::not_run(ResultCode::BackEndUnreachable, detail).with_retry_after(Duration::from_secs(1))
}
