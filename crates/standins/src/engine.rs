//! Stand-in for a model engine, with adapter slots, concurrent requests and streamed responses.
//!
//! The `user` field of a request can inject a fault before the token at an index, counted from 0.
//! Before token 3, `standin:crash=3` crashes the engine, `standin:stop-after=3` ends the stream
//! without an end marker, `standin:silent-after=3` keeps the stream open without sending more, and
//! `standin:half-event=3` ends the stream in the middle of an event. `standin:fail=3` ends a request
//! that is not streamed with status 503. `standin:next-fails=404` lets every run of the request but
//! the first one in this process end with this status.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::stream;
use guavaspread_model::AdapterVersion;
use ntex::client::Client;
use ntex::http::{StatusCode, header};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::types::{Json, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server;
use crate::tokens::CompletionRequest;

/// Requests with the fault `next-fails` that began on an engine of this process.
static BEGUN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

const LOAD_TIMEOUT_MS: u32 = 60_000;
/// Longer than any client waits for the next token.
const SILENCE_DURATION: Duration = Duration::from_secs(3_600);

/// Settings of an engine stand-in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Number of adapter slots.
    pub slots: usize,
    /// Time between tokens, in milliseconds.
    pub token_ms: u32,
    /// Duration of an adapter load without a weight store, in milliseconds.
    pub load_ms: u32,
    /// Address of the weight store from which adapters are loaded.
    pub weights: Option<SocketAddr>,
    /// Whether commands with an old fencing number are rejected.
    pub check_fences: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec { slots: 8, token_ms: 5, load_ms: 250, weights: None, check_fences: false }
    }
}

/// Kind of an event in an engine's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineEventKind {
    /// An adapter was loaded.
    Load,
    /// An adapter was unloaded.
    Unload,
    /// A request started.
    Start,
    /// A request completed.
    End,
    /// A request was cancelled or interrupted.
    Cancel,
    /// The engine crashed and restarted without adapters.
    Crash,
    /// A command with an old fencing number was rejected.
    Fenced,
}

/// Entry of an engine's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EngineEvent {
    /// Time of the event, in milliseconds since the engine's start.
    pub at_ms: u64,
    /// What the engine did.
    pub kind: EngineEventKind,
    /// The adapter; empty if the event concerns no adapter.
    pub adapter: String,
    /// The request id; empty if the event concerns no request.
    pub request: String,
    /// Number of requests that use the adapter at the time of the event.
    pub running: u32,
}

struct Inner {
    spec: EngineSpec,
    started_at: Instant,
    /// Number of running requests of each loaded adapter.
    loaded: BTreeMap<String, u32>,
    loads_in_flight: usize,
    /// Number of crashes; a request or load from an earlier generation fails.
    generation: u64,
    /// Highest fencing number received.
    fencing_token: u64,
    log: Vec<EngineEvent>,
}

/// Stand-in for one model engine.
#[derive(Clone)]
pub struct EngineStandIn {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Deserialize)]
struct AdapterCommand {
    lora_name: String,
}

impl EngineStandIn {
    /// Creates an engine without loaded adapters.
    pub fn new(spec: EngineSpec) -> Self {
        let inner = Inner {
            spec,
            started_at: Instant::now(),
            loaded: BTreeMap::new(),
            loads_in_flight: 0,
            generation: 0,
            fencing_token: 0,
            log: Vec::new(),
        };
        EngineStandIn { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Starts serving on `address` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let this = self.clone();
        server::spawn("engine", listener, move |cfg| this.configure(cfg))?;
        Ok(bound)
    }

    /// Crashes the engine: interrupts running requests and discards the loaded adapters.
    pub fn crash(&self) {
        let mut inner = self.lock();
        inner.generation += 1;
        inner.loaded.clear();
        inner.record(EngineEventKind::Crash, "", "");
    }

    /// Returns the engine's log.
    pub fn log(&self) -> Vec<EngineEvent> {
        self.lock().log.clone()
    }

    fn configure(&self, cfg: &mut ServiceConfig) {
        cfg.state(self.clone())
            .state(web::types::JsonConfig::default().limit(8 * 1024 * 1024))
            .route("/v1/models", web::get().to(models))
            .route("/v1/load_lora_adapter", web::post().to(load))
            .route("/v1/unload_lora_adapter", web::post().to(unload))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(completion))
            .route("/load", web::get().to(load_report))
            .route("/standin/log", web::get().to(log))
            .route("/standin/crash", web::post().to(crash));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a command's fencing number is older than the highest one received.
    ///
    /// Records a higher token.
    fn is_stale_command(&self, req: &HttpRequest, adapter: &str) -> bool {
        let fencing_token = req.headers().get("x-fencing-token").and_then(|v| v.to_str().ok());
        let fencing_token = fencing_token.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut inner = self.lock();
        if inner.spec.check_fences && fencing_token < inner.fencing_token {
            inner.record(EngineEventKind::Fenced, adapter, "");
            return true;
        }
        inner.fencing_token = inner.fencing_token.max(fencing_token);
        false
    }

    /// Starts a request; returns `None` if the adapter is not loaded.
    fn start(&self, adapter: &str, request: &str) -> Option<RunGuard> {
        let mut inner = self.lock();
        *inner.loaded.get_mut(adapter)? += 1;
        inner.record(EngineEventKind::Start, adapter, request);
        let generation = inner.generation;
        let (adapter, request) = (adapter.to_owned(), request.to_owned());
        Some(RunGuard { engine: self.clone(), adapter, request, generation, complete: false })
    }
}

impl Inner {
    fn record(&mut self, kind: EngineEventKind, adapter: &str, request: &str) {
        let running = self.loaded.get(adapter).copied().unwrap_or(0);
        let at_ms = self.started_at.elapsed().as_millis() as u64;
        let (adapter, request) = (adapter.to_owned(), request.to_owned());
        self.log.push(EngineEvent { at_ms, kind, adapter, request, running });
    }
}

/// Records the end of a request in the engine's log when dropped.
struct RunGuard {
    engine: EngineStandIn,
    adapter: String,
    request: String,
    generation: u64,
    complete: bool,
}

impl RunGuard {
    fn has_crashed(&self) -> bool {
        self.engine.lock().generation != self.generation
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        let kind = if self.complete { EngineEventKind::End } else { EngineEventKind::Cancel };
        if inner.generation == self.generation
            && let Some(running) = inner.loaded.get_mut(&self.adapter)
        {
            *running = running.saturating_sub(1);
        }
        inner.record(kind, &self.adapter, &self.request);
    }
}

async fn models(this: State<EngineStandIn>) -> HttpResponse {
    let inner = this.lock();
    let data: Vec<_> = inner.loaded.keys().map(|id| json!({"id": id, "object": "model"})).collect();
    HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
}

async fn load(
    this: State<EngineStandIn>,
    req: HttpRequest,
    command: Json<AdapterCommand>,
) -> HttpResponse {
    let name = &command.lora_name;
    if this.is_stale_command(&req, name) {
        return HttpResponse::Conflict().finish();
    }
    let (spec, generation) = {
        let mut inner = this.lock();
        if inner.loaded.contains_key(name) {
            return HttpResponse::Ok().finish();
        }
        if inner.loaded.len() + inner.loads_in_flight >= inner.spec.slots {
            return HttpResponse::BadRequest().body("no free slot");
        }
        inner.loads_in_flight += 1;
        (inner.spec, inner.generation)
    };
    let fetched = fetch_weights(&spec, name).await;
    let mut inner = this.lock();
    inner.loads_in_flight = inner.loads_in_flight.saturating_sub(1);
    if !fetched || inner.generation != generation {
        return HttpResponse::InternalServerError().finish();
    }
    inner.loaded.insert(name.clone(), 0);
    inner.record(EngineEventKind::Load, name, "");
    HttpResponse::Ok().finish()
}

/// Fetches an adapter's weights; returns whether that succeeded.
async fn fetch_weights(spec: &EngineSpec, name: &str) -> bool {
    let Some(weights) = spec.weights else {
        sleep(Duration::from_millis(spec.load_ms.into())).await;
        return true;
    };
    let client = Client::new().await;
    let req = client.get(format!("http://{weights}/weights?adapter={name}"));
    match req.timeout(Millis(LOAD_TIMEOUT_MS)).send().await {
        Ok(res) => res.status().is_success(),
        Err(_) => false,
    }
}

async fn unload(
    this: State<EngineStandIn>,
    req: HttpRequest,
    command: Json<AdapterCommand>,
) -> HttpResponse {
    let name = &command.lora_name;
    if this.is_stale_command(&req, name) {
        return HttpResponse::Conflict().finish();
    }
    let mut inner = this.lock();
    if !inner.loaded.contains_key(name) {
        return HttpResponse::NotFound().finish();
    }
    inner.record(EngineEventKind::Unload, name, "");
    inner.loaded.remove(name);
    HttpResponse::Ok().finish()
}

async fn chat(
    this: State<EngineStandIn>,
    req: HttpRequest,
    body: Json<CompletionRequest>,
) -> HttpResponse {
    respond(&this, &req, body.into_inner(), true).await
}

async fn completion(
    this: State<EngineStandIn>,
    req: HttpRequest,
    body: Json<CompletionRequest>,
) -> HttpResponse {
    respond(&this, &req, body.into_inner(), false).await
}

async fn respond(
    this: &EngineStandIn,
    req: &HttpRequest,
    body: CompletionRequest,
    chat: bool,
) -> HttpResponse {
    let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("none");
    let adapter: Result<AdapterVersion, _> = body.model.parse();
    let guard = adapter.ok().and_then(|_| this.start(&body.model, id));
    let Some(guard) = guard else {
        let error = json!({"error": {"message": "the model does not exist", "code": 404}});
        return HttpResponse::NotFound().header("x-adapter-missing", "1").json(&error);
    };
    if let Some(status) = body.fault("next-fails") {
        let is_first = BEGUN.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned());
        let status = StatusCode::from_u16(status as u16).ok().filter(|_| !is_first);
        if let Some(status) = status {
            return HttpResponse::build(status).json(&json!({"next": "error"}));
        }
    }
    let token_ms = this.lock().spec.token_ms;
    let run = Run { guard, body, id: id.to_owned(), chat, index: 0, token_ms };
    match run.body.stream {
        true => HttpResponse::Ok()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .streaming(Box::pin(stream::unfold(Some(run), Run::step))),
        false => run.complete().await,
    }
}

/// A request in progress.
struct Run {
    guard: RunGuard,
    body: CompletionRequest,
    id: String,
    chat: bool,
    /// Index of the next token.
    index: u32,
    token_ms: u32,
}

type Step = Option<(Result<Bytes, io::Error>, Option<Run>)>;

impl Run {
    /// Produces the next part of a streamed response; `None` ends the stream.
    async fn step(state: Option<Run>) -> Step {
        let mut run = state?;
        run.wait_for_token().await;
        let due = |name| run.body.fault(name) == Some(run.index);
        if due("silent-after") {
            sleep(SILENCE_DURATION).await;
        }
        if due("crash") {
            run.guard.engine.crash();
        }
        if run.guard.has_crashed() {
            return Some((Err(io::Error::other("crashed")), None));
        }
        if due("stop-after") {
            return Some((Err(io::Error::other("stopped")), None));
        }
        if due("half-event") {
            return Some((Ok(Bytes::from_static(b"data: {\"id\":")), None));
        }
        if run.index == run.body.tokens() {
            run.guard.complete = true;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None));
        }
        let chunk = run.body.chunk(&run.id, run.index, run.chat);
        run.index += 1;
        Some((Ok(Bytes::from(format!("data: {chunk}\n\n"))), Some(run)))
    }

    /// Waits for the time between tokens.
    ///
    /// Skips the timer if the time is 0: a sleep of 0 would wait for the next timer tick.
    async fn wait_for_token(&self) {
        if self.token_ms > 0 {
            sleep(Duration::from_millis(self.token_ms.into())).await;
        }
    }

    /// Runs the request to its end and returns the response in one piece.
    async fn complete(mut self) -> HttpResponse {
        for index in 0..self.body.tokens() {
            self.wait_for_token().await;
            if self.body.fault("crash") == Some(index) {
                self.guard.engine.crash();
            }
            if self.body.fault("fail") == Some(index) {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if self.guard.has_crashed() {
                let interrupted = stream::iter([Err::<Bytes, _>(io::Error::other("crashed"))]);
                return HttpResponse::Ok().streaming(Box::pin(interrupted));
            }
        }
        self.guard.complete = true;
        HttpResponse::Ok().json(&self.body.completion(&self.id, self.chat))
    }
}

async fn load_report(this: State<EngineStandIn>) -> HttpResponse {
    let running: u32 = this.lock().loaded.values().sum();
    HttpResponse::Ok().json(&json!({"server_load": running}))
}

async fn log(this: State<EngineStandIn>) -> HttpResponse {
    HttpResponse::Ok().json(&this.log())
}

async fn crash(this: State<EngineStandIn>) -> HttpResponse {
    this.crash();
    HttpResponse::NoContent().finish()
}
