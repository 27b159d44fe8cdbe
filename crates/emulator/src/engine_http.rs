//! HTTP server of an emulated engine: OpenAI chat completions, cache, load and model operations.

mod streaming;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sumacdrift_transport::listen_tcp;
use sumacdrift_types::{EngineName, ProgramId, Timestamp, TokenCount, Usage};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::spawn_server;
use crate::text::BLOCK_TOKENS;
use crate::{
    BlockHash, EngineEvent, EngineModel, EngineRun, EngineSettings, HeldBlocks, LoadReport, Prompt,
    SequenceId, Submission, Trace, answer_text, block_hashes, count_tokens, output_length,
};

/// Bytes of answer text per token.
const TOKEN_TEXT_BYTES: usize = 4;
/// Number of cache events kept for readers.
const MAX_EVENTS: usize = 10_000;
/// Rate of cache transfers between engines, in tokens per second at speed 1.
const TRANSFER_TOKENS_PER_SECOND: f64 = 100_000.0;
/// Limit on generated tokens for requests without one.
const DEFAULT_MAX_TOKENS: TokenCount = 4096;

/// Faults that an emulated engine injects into upcoming requests.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// One request each: breaks the connection after this many tokens.
    pub cut: VecDeque<TokenCount>,
    /// Number of requests to answer with malformed data.
    pub garbage: usize,
    /// One request each: rejects it with this status.
    pub rejection_statuses: VecDeque<u16>,
    /// Number of requests to leave without an answer.
    pub hang: usize,
}

#[derive(Debug, Clone, Serialize)]
struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    block: u64,
    #[serde(skip)]
    visible_at: Option<Timestamp>,
}

/// A handle to a running emulated engine.
#[derive(Clone)]
pub struct EngineServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: CancellationToken,
}

struct Shared {
    name: EngineName,
    settings: EngineSettings,
    origin: Instant,
    inner: Mutex<Inner>,
    wake: Notify,
    trace: Trace,
}

struct Inner {
    model: EngineModel,
    event_senders: HashMap<SequenceId, mpsc::UnboundedSender<EngineEvent>>,
    next_sequence: u64,
    faults: EngineFaults,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    reports: VecDeque<(Timestamp, LoadReport)>,
    random: ChaCha8Rng,
    last_order: (u64, u64),
    models: BTreeSet<String>,
}

impl EngineServer {
    /// Starts an engine on the address `at`. `origin` is time zero of the timestamps in `trace`.
    pub async fn start(
        name: EngineName,
        at: SocketAddr,
        settings: EngineSettings,
        trace: Trace,
        held: HeldBlocks,
        origin: Instant,
    ) -> io::Result<Self> {
        let listener = listen_tcp(at)?;
        let address = listener.local_addr()?;
        let inner = Inner {
            model: EngineModel::new(settings, held),
            event_senders: HashMap::new(),
            next_sequence: 0,
            faults: EngineFaults::default(),
            events: VecDeque::new(),
            next_event: 0,
            reports: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(u64::from(address.port())),
            last_order: (0, 0),
            models: BTreeSet::new(),
        };
        let shared =
            Arc::new(Shared { name, settings, origin, inner: Mutex::new(inner), wake: Notify::new(), trace });
        let stop = CancellationToken::new();
        tokio::spawn(run_model(Arc::clone(&shared), stop.clone()));
        let router = router(Arc::clone(&shared));
        spawn_server(listener, router, stop.clone());
        Ok(Self { shared, address, stop })
    }

    /// Name given at the start.
    pub fn name(&self) -> &EngineName {
        &self.shared.name
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the pending faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Number of cached blocks that only this program has used.
    pub fn held_for(&self, program: &ProgramId) -> usize {
        self.shared.lock().model.cache().held_for(program)
    }

    /// Current load, without the delay of the load reports.
    pub fn load(&self) -> LoadReport {
        self.shared.lock().model.load()
    }

    /// Stops the engine abruptly, like a crash.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }
}

/// Advances the model in real time until `stop` is cancelled.
async fn run_model(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let next = {
            let now = shared.now();
            let mut inner = shared.lock();
            inner.advance(now, &shared.settings);
            inner.model.next_step()
        };
        let wait = async {
            match next {
                Some(at) => tokio::time::sleep_until(shared.origin + Duration::from_micros(at.0)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = wait => {}
            () = shared.wake.notified() => {}
        }
    }
}

impl Inner {
    fn advance(&mut self, now: Timestamp, settings: &EngineSettings) {
        for event in self.model.advance(now) {
            let id = match event {
                EngineEvent::Token { id, .. } | EngineEvent::Finished { id, .. } => id,
            };
            if let Some(event_sender) = self.event_senders.get(&id) {
                let _ = event_sender.send(event);
            }
            if matches!(event, EngineEvent::Finished { .. }) {
                self.event_senders.remove(&id);
            }
        }
        self.publish_evictions(now, settings);
        let report = self.model.load();
        self.reports.push_back((now, report));
        while self.reports.len() > 1 && now.since(self.reports[1].0) > settings.report_delay {
            self.reports.pop_front();
        }
    }

    fn publish_evictions(&mut self, now: Timestamp, settings: &EngineSettings) {
        for block in self.model.cache_mut().take_evicted() {
            let sequence = self.next_event;
            self.next_event += 1;
            // A lost event takes a number too, so that readers can detect the gap.
            if self.random.random_bool(settings.event_loss) {
                continue;
            }
            let visible_at = Some(now + settings.event_delay);
            self.events.push_back(CacheEvent { sequence, kind: "removed", block: block.0, visible_at });
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat_completions))
        .route("/v1/models", get(models))
        .route("/load", get(load))
        .route("/cache/events", get(cache_events))
        .route("/cache/programs", get(list_programs))
        .route("/cache/programs/{program}", delete(delete_program))
        .route("/kv/export", post(export_blocks))
        .route("/kv/import", post(import_blocks))
        .route("/orders", post(apply_order))
        .with_state(shared)
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<TokenCount>,
    max_completion_tokens: Option<TokenCount>,
    user: Option<String>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    continue_final_message: bool,
    stream_options: Option<StreamOptions>,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A submitted request; cancelled in the model when dropped.
struct ActiveRequest {
    shared: Arc<Shared>,
    id: SequenceId,
    events: mpsc::UnboundedReceiver<EngineEvent>,
    answer: String,
    sent_bytes: usize,
    trace_position: usize,
    cut_after: Option<TokenCount>,
    tokens: TokenCount,
    usage: Option<Usage>,
    model: String,
    include_usage: bool,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        inner.model.cancel(self.id);
        inner.event_senders.remove(&self.id);
    }
}

async fn chat_completions(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    let request: ChatRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let is_stream = request.stream;
    if let Some(response) = apply_fault(&shared).await {
        return response;
    }
    let active = submit(&shared, request, &headers);
    if is_stream { streaming::stream_answer(active) } else { complete_answer(active).await }
}

/// Applies the next pending fault; `None` if the request is to be answered regularly.
async fn apply_fault(shared: &Arc<Shared>) -> Option<Response> {
    enum Fault {
        Refuse(u16),
        Garbage,
        Hang,
    }
    let fault = {
        let faults = &mut shared.lock().faults;
        if let Some(status) = faults.rejection_statuses.pop_front() {
            Some(Fault::Refuse(status))
        } else if faults.garbage > 0 {
            faults.garbage -= 1;
            Some(Fault::Garbage)
        } else if faults.hang > 0 {
            faults.hang -= 1;
            Some(Fault::Hang)
        } else {
            None
        }
    };
    match fault? {
        Fault::Refuse(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            Some((status, "refused").into_response())
        }
        Fault::Garbage => Some((StatusCode::OK, "data: {\"choices\": nonsense\n\n").into_response()),
        Fault::Hang => std::future::pending().await,
    }
}

fn submit(shared: &Arc<Shared>, mut request: ChatRequest, headers: &HeaderMap) -> ActiveRequest {
    let partial_answer = take_partial_answer(&mut request);
    let prompt = Prompt::from_messages(&request.messages);
    let max_tokens = request.max_completion_tokens.or(request.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    let partial_tokens = (partial_answer.len() / TOKEN_TEXT_BYTES) as TokenCount;
    let length = output_length(&prompt, max_tokens + partial_tokens);
    let answer = answer_text(&prompt, length);
    let full_prompt = prompt.with_answer(&answer);
    let prompt_tokens = count_tokens(prompt.text()) + partial_tokens;
    let program = request.user.as_deref().unwrap_or("anonymous");
    let program = ProgramId::new(program).unwrap_or_else(|_| anonymous_program());
    let now = shared.now();
    let call = headers.get("x-request-id").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let trace_position = shared.trace.begin(EngineRun {
        engine: shared.name.clone(),
        call: call.to_owned(),
        program: program.to_string(),
        prompt_tokens: count_tokens(prompt.text()),
        started: now,
        finished: None,
    });
    let (sender, events) = mpsc::unbounded_channel();
    let mut inner = shared.lock();
    let id = SequenceId(inner.next_sequence);
    inner.next_sequence += 1;
    inner.event_senders.insert(id, sender);
    let cut_after = inner.faults.cut.pop_front();
    let submission = Submission {
        id,
        program,
        priority: request.priority,
        blocks: block_hashes(prompt.text()),
        prompt_tokens,
        output_tokens: length.saturating_sub(partial_tokens).max(1),
        final_blocks: block_hashes(full_prompt.text()),
    };
    inner.model.submit(submission, now);
    drop(inner);
    shared.wake.notify_one();
    ActiveRequest {
        shared: Arc::clone(shared),
        id,
        events,
        answer,
        sent_bytes: partial_answer.len(),
        trace_position,
        cut_after,
        tokens: 0,
        usage: None,
        model: request.model,
        include_usage: request.stream_options.is_some_and(|options| options.include_usage),
    }
}

fn anonymous_program() -> ProgramId {
    ProgramId::new("anonymous").unwrap_or_else(|_| unreachable!("a valid constant"))
}

/// Removes the partial answer from the messages if the request continues one; empty otherwise.
fn take_partial_answer(request: &mut ChatRequest) -> String {
    if !request.continue_final_message {
        return String::new();
    }
    let last = request.messages.pop();
    let content = last.as_ref().and_then(|message| message.get("content")).and_then(Value::as_str);
    content.unwrap_or_default().to_owned()
}

impl ActiveRequest {}

async fn complete_answer(mut active: ActiveRequest) -> Response {
    let mut text = String::new();
    while let Some(text_chunk) = active.next_text().await {
        text.push_str(&text_chunk);
        if active.is_cut() {
            return (StatusCode::INTERNAL_SERVER_ERROR, "cut").into_response();
        }
    }
    let answer = json!({
        "id": format!("chatcmpl-{}", active.id.0),
        "object": "chat.completion",
        "created": 0,
        "model": active.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": active.finish_reason(),
        }],
        "usage": active.usage_json(),
    });
    Json(answer).into_response()
}

/// Progress of a stream of server-sent events.
enum StreamState {
    Tokens(Box<ActiveRequest>),
    Ended,
}

async fn models(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let models: Vec<Value> = shared.lock().models.iter().map(|model| json!({"id": model})).collect();
    Json(json!({"object": "list", "data": models}))
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let report = shared.lock().reports.front().map(|(_, report)| *report).unwrap_or_default();
    Json(json!({
        "running": report.running,
        "waiting": report.waiting,
        "held_blocks": report.held_blocks,
        "used_blocks": report.used_blocks,
    }))
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(State(shared): State<Arc<Shared>>, Query(query): Query<EventsQuery>) -> Json<Value> {
    let now = shared.now();
    let inner = shared.lock();
    let visible = inner.events.iter().filter(|event| event.visible_at.is_some_and(|at| at <= now));
    let events: Vec<&CacheEvent> = visible.filter(|event| event.sequence >= query.after).collect();
    Json(json!({"events": events}))
}

async fn list_programs(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let programs = shared.lock().model.cache().programs();
    Json(json!({"programs": programs}))
}

async fn delete_program(
    State(shared): State<Arc<Shared>>,
    Path(program): Path<String>,
) -> Result<StatusCode, Infallible> {
    let Ok(program) = ProgramId::new(&program) else { return Ok(StatusCode::BAD_REQUEST) };
    let now = shared.now();
    let mut inner = shared.lock();
    inner.model.cache_mut().evict_program(&program);
    inner.publish_evictions(now, &shared.settings);
    Ok(StatusCode::NO_CONTENT)
}

#[derive(Debug, Deserialize)]
struct TransferRequest {
    program: String,
    #[serde(default)]
    blocks: Vec<u64>,
    #[serde(default)]
    messages: Vec<Value>,
}

async fn export_blocks(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<TransferRequest>,
) -> Json<Value> {
    let prompt = Prompt::from_messages(&request.messages);
    let hashes = block_hashes(prompt.text());
    let held = shared.lock().model.cache().cached_prefix_len(&hashes);
    let blocks: Vec<u64> = hashes[..held].iter().map(|hash| hash.0).collect();
    simulate_transfer(&shared, blocks.len()).await;
    Json(json!({"program": request.program, "blocks": blocks, "tokens": held * BLOCK_TOKENS}))
}

async fn import_blocks(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<TransferRequest>,
) -> StatusCode {
    let Ok(program) = ProgramId::new(&request.program) else { return StatusCode::BAD_REQUEST };
    simulate_transfer(&shared, request.blocks.len()).await;
    let mut inner = shared.lock();
    let cache = inner.model.cache_mut();
    let hashes: Vec<BlockHash> = request.blocks.into_iter().map(BlockHash).collect();
    let held: Vec<BlockHash> = hashes.into_iter().take_while(|hash| cache.acquire(*hash, &program)).collect();
    held.into_iter().rev().for_each(|hash| cache.release(hash));
    StatusCode::NO_CONTENT
}

async fn simulate_transfer(shared: &Shared, blocks: usize) {
    let seconds = (blocks * BLOCK_TOKENS) as f64 / (TRANSFER_TOKENS_PER_SECOND * shared.settings.speed);
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// An order to load or unload a model, fenced by term and number.
#[derive(Debug, Deserialize)]
struct ModelOrder {
    /// Term of the ordering leader.
    term: u64,
    /// Sequence number of the order within the term.
    number: u64,
    /// `load` or `unload`.
    action: String,
    model: String,
}

async fn apply_order(State(shared): State<Arc<Shared>>, Json(order): Json<ModelOrder>) -> Response {
    let mut inner = shared.lock();
    let position = (order.term, order.number);
    if position <= inner.last_order {
        let (term, number) = inner.last_order;
        return (StatusCode::CONFLICT, Json(json!({"term": term, "number": number}))).into_response();
    }
    inner.last_order = position;
    match order.action.as_str() {
        "load" => inner.models.insert(order.model),
        "unload" => inner.models.remove(&order.model),
        _ => return StatusCode::BAD_REQUEST.into_response(),
    };
    StatusCode::NO_CONTENT.into_response()
}
