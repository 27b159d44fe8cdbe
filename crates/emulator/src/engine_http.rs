//! The HTTP face of an emulated engine: OpenAI chat completions plus the engine's own operations.

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

/// Bytes of the answer's text to a token.
const TOKEN_TEXT_BYTES: usize = 4;
/// Cache events that are kept for readers.
const MAX_EVENTS: usize = 10_000;
/// Tokens a second at which context moves between engines.
const TRANSFER_TOKENS_PER_SECOND: f64 = 100_000.0;
/// Cap on generated tokens where a request names none.
const DEFAULT_MAX_TOKENS: TokenCount = 4096;

/// Faults that an emulated engine shows, each for a number of requests.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Requests whose connection breaks, after this many tokens.
    pub cut: VecDeque<TokenCount>,
    /// Requests answered with bytes that are not the protocol.
    pub garbage: usize,
    /// Requests refused with a status.
    pub refuse: VecDeque<u16>,
    /// Requests that never get an answer.
    pub hang: usize,
}

/// A cache event as the engine publishes it.
#[derive(Debug, Clone, Serialize)]
struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    block: u64,
    #[serde(skip)]
    visible_at: Option<Timestamp>,
}

/// An emulated engine that listens on an address.
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
    listeners: HashMap<SequenceId, mpsc::UnboundedSender<EngineEvent>>,
    next_sequence: u64,
    faults: EngineFaults,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    reports: VecDeque<(Timestamp, LoadReport)>,
    random: ChaCha8Rng,
    highest_order: (u64, u64),
    models: BTreeSet<String>,
}

impl EngineServer {
    /// Starts an engine. `origin` is the zero of the times in `trace`.
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
            listeners: HashMap::new(),
            next_sequence: 0,
            faults: EngineFaults::default(),
            events: VecDeque::new(),
            next_event: 0,
            reports: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(u64::from(address.port())),
            highest_order: (0, 0),
            models: BTreeSet::new(),
        };
        let shared =
            Arc::new(Shared { name, settings, origin, inner: Mutex::new(inner), wake: Notify::new(), trace });
        let stop = CancellationToken::new();
        tokio::spawn(drive(Arc::clone(&shared), stop.clone()));
        let router = router(Arc::clone(&shared));
        spawn_server(listener, router, stop.clone());
        Ok(Self { shared, address, stop })
    }

    /// The engine's name.
    pub fn name(&self) -> &EngineName {
        &self.shared.name
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults that the engine shows.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Blocks held that only this program used.
    pub fn held_for(&self, program: &ProgramId) -> usize {
        self.shared.lock().model.cache().held_for(program)
    }

    /// What the engine does at the moment, without the delay of its reports.
    pub fn load(&self) -> LoadReport {
        self.shared.lock().model.load()
    }

    /// Stops the engine at once, as a crash does.
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

/// Drives the model in real time.
async fn drive(shared: Arc<Shared>, stop: CancellationToken) {
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
            if let Some(listener) = self.listeners.get(&id) {
                let _ = listener.send(event);
            }
            if matches!(event, EngineEvent::Finished { .. }) {
                self.listeners.remove(&id);
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
            // A lost event still takes its number, so that readers can see the gap.
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
        .route("/cache/programs/{program}", delete(free_program))
        .route("/kv/export", post(export))
        .route("/kv/import", post(import))
        .route("/orders", post(order))
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

/// An admitted request with its events.
struct Running {
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

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        inner.model.cancel(self.id);
        inner.listeners.remove(&self.id);
    }
}

async fn chat_completions(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    let request: ChatRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let is_stream = request.stream;
    if let Some(response) = planned_fault(&shared).await {
        return response;
    }
    let running = submit(&shared, request, &headers);
    if is_stream { streaming::stream_answer(running) } else { whole_answer(running).await }
}

/// Shows a fault in place of an answer, if one is planned.
async fn planned_fault(shared: &Arc<Shared>) -> Option<Response> {
    enum Fault {
        Refuse(u16),
        Garbage,
        Hang,
    }
    let fault = {
        let faults = &mut shared.lock().faults;
        if let Some(status) = faults.refuse.pop_front() {
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

fn submit(shared: &Arc<Shared>, mut request: ChatRequest, headers: &HeaderMap) -> Running {
    let partial = take_partial(&mut request);
    let prompt = Prompt::from_messages(&request.messages);
    let max_tokens = request.max_completion_tokens.or(request.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    let skipped = (partial.len() / TOKEN_TEXT_BYTES) as TokenCount;
    let length = output_length(&prompt, max_tokens + skipped);
    let answer = answer_text(&prompt, length);
    let full = prompt.with_answer(&answer);
    let prompt_tokens = count_tokens(prompt.text()) + skipped;
    let program = request.user.as_deref().unwrap_or("anonymous");
    let program = ProgramId::new(program).unwrap_or_else(|_| anonymous());
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
    inner.listeners.insert(id, sender);
    let cut_after = inner.faults.cut.pop_front();
    let submission = Submission {
        id,
        program,
        priority: request.priority,
        blocks: block_hashes(prompt.text()),
        prompt_tokens,
        output_tokens: length.saturating_sub(skipped).max(1),
        final_blocks: block_hashes(full.text()),
    };
    inner.model.submit(submission, now);
    drop(inner);
    shared.wake.notify_one();
    Running {
        shared: Arc::clone(shared),
        id,
        events,
        answer,
        sent_bytes: partial.len(),
        trace_position,
        cut_after,
        tokens: 0,
        usage: None,
        model: request.model,
        include_usage: request.stream_options.is_some_and(|options| options.include_usage),
    }
}

fn anonymous() -> ProgramId {
    // A constant that satisfies the rules for names.
    ProgramId::new("anonymous").unwrap_or_else(|_| unreachable!("a valid constant"))
}

/// Takes the unfinished answer off the messages, where the request continues one.
fn take_partial(request: &mut ChatRequest) -> String {
    if !request.continue_final_message {
        return String::new();
    }
    let last = request.messages.pop();
    let content = last.as_ref().and_then(|message| message.get("content")).and_then(Value::as_str);
    content.unwrap_or_default().to_owned()
}

impl Running {}

async fn whole_answer(mut running: Running) -> Response {
    let mut text = String::new();
    while let Some(piece) = running.next_text().await {
        text.push_str(&piece);
        if running.is_cut() {
            return (StatusCode::INTERNAL_SERVER_ERROR, "cut").into_response();
        }
    }
    let answer = json!({
        "id": format!("chatcmpl-{}", running.id.0),
        "object": "chat.completion",
        "created": 0,
        "model": running.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": running.finish_reason(),
        }],
        "usage": running.usage_json(),
    });
    Json(answer).into_response()
}

/// How far a stream of server-sent events has come.
enum Phase {
    Tokens(Box<Running>),
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

async fn free_program(
    State(shared): State<Arc<Shared>>,
    Path(program): Path<String>,
) -> Result<StatusCode, Infallible> {
    let Ok(program) = ProgramId::new(&program) else { return Ok(StatusCode::BAD_REQUEST) };
    let now = shared.now();
    let mut inner = shared.lock();
    inner.model.cache_mut().forget_program(&program);
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

async fn export(State(shared): State<Arc<Shared>>, Json(request): Json<TransferRequest>) -> Json<Value> {
    let prompt = Prompt::from_messages(&request.messages);
    let hashes = block_hashes(prompt.text());
    let held = shared.lock().model.cache().matching(&hashes);
    let blocks: Vec<u64> = hashes[..held].iter().map(|hash| hash.0).collect();
    transfer_time(&shared, blocks.len()).await;
    Json(json!({"program": request.program, "blocks": blocks, "tokens": held * BLOCK_TOKENS}))
}

async fn import(State(shared): State<Arc<Shared>>, Json(request): Json<TransferRequest>) -> StatusCode {
    let Ok(program) = ProgramId::new(&request.program) else { return StatusCode::BAD_REQUEST };
    transfer_time(&shared, request.blocks.len()).await;
    let mut inner = shared.lock();
    let cache = inner.model.cache_mut();
    let hashes: Vec<BlockHash> = request.blocks.into_iter().map(BlockHash).collect();
    let held: Vec<BlockHash> = hashes.into_iter().take_while(|hash| cache.acquire(*hash, &program)).collect();
    held.into_iter().rev().for_each(|hash| cache.release(hash));
    StatusCode::NO_CONTENT
}

async fn transfer_time(shared: &Shared, blocks: usize) {
    let seconds = (blocks * BLOCK_TOKENS) as f64 / (TRANSFER_TOKENS_PER_SECOND * shared.settings.speed);
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// An order to change the models that the engine serves.
#[derive(Debug, Deserialize)]
struct Order {
    /// Term of the leader that orders.
    term: u64,
    /// Number of the order within the term.
    number: u64,
    /// `load` or `unload`.
    action: String,
    /// The model.
    model: String,
}

async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Response {
    let mut inner = shared.lock();
    let position = (order.term, order.number);
    if position <= inner.highest_order {
        let (term, number) = inner.highest_order;
        return (StatusCode::CONFLICT, Json(json!({"term": term, "number": number}))).into_response();
    }
    inner.highest_order = position;
    match order.action.as_str() {
        "load" => inner.models.insert(order.model),
        "unload" => inner.models.remove(&order.model),
        _ => return StatusCode::BAD_REQUEST.into_response(),
    };
    StatusCode::NO_CONTENT.into_response()
}
