//! A model engine: adapter slots, a continuous batch and streamed answers.
//!
//! The `user` field of a request can order a fault: `standin:crash=3` crashes the
//! engine at the third token, `standin:stop-after=3` ends the stream there without
//! an end marker, `standin:silent-after=3` goes silent there, `standin:half-event`
//! ends in the middle of an event.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::stream;
use guavaspread_model::AdapterVersion;
use ntex::client::Client;
use ntex::http::header;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::types::{Json, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server;
use crate::tokens::Prompt;

const LOAD_TIMEOUT_MS: u32 = 60_000;
const FOREVER: Duration = Duration::from_secs(3_600);

/// Sizes an engine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Adapter slots.
    pub slots: usize,
    /// The time between tokens, in milliseconds.
    pub token_ms: u32,
    /// How long a load takes when no weight store is given, in milliseconds.
    pub load_ms: u32,
    /// The weight store that loads go to.
    pub weights: Option<SocketAddr>,
    /// Whether orders with an old fencing number are refused.
    pub check_fences: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec { slots: 8, token_ms: 5, load_ms: 250, weights: None, check_fences: false }
    }
}

/// Tells what an engine did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineEventKind {
    /// An adapter was loaded.
    Load,
    /// An adapter was unloaded.
    Unload,
    /// A request started.
    Start,
    /// A request ran to its end.
    End,
    /// A request was cancelled or broken off.
    Cancel,
    /// The engine crashed and came back empty.
    Crash,
    /// An order with an old fencing number was refused.
    Fenced,
}

/// Records one thing that an engine did.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EngineEvent {
    /// When, in milliseconds since the engine's start.
    pub at_ms: u64,
    /// What.
    pub kind: EngineEventKind,
    /// The adapter, if one was concerned.
    pub adapter: String,
    /// The request, if one was concerned.
    pub request: String,
    /// Requests that ran on the adapter at that moment.
    pub running: u32,
}

struct Inner {
    spec: EngineSpec,
    started: Instant,
    loaded: BTreeMap<String, u32>,
    loading: usize,
    generation: u64,
    fence: u64,
    log: Vec<EngineEvent>,
}

/// Stands in for one model engine.
#[derive(Clone)]
pub struct EngineStandIn {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Deserialize)]
struct AdapterOrder {
    lora_name: String,
}

impl EngineStandIn {
    /// Makes an engine that holds nothing.
    pub fn new(spec: EngineSpec) -> Self {
        let inner = Inner {
            spec,
            started: Instant::now(),
            loaded: BTreeMap::new(),
            loading: 0,
            generation: 0,
            fence: 0,
            log: Vec::new(),
        };
        EngineStandIn { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Serves on `address` and returns the address bound.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let this = self.clone();
        server::spawn("engine", listener, move |cfg| this.configure(cfg))?;
        Ok(bound)
    }

    /// Crashes the engine: everything that runs breaks off and nothing is loaded.
    pub fn crash(&self) {
        let mut inner = self.lock();
        inner.generation += 1;
        inner.loaded.clear();
        inner.record(EngineEventKind::Crash, "", "");
    }

    /// Returns what the engine did.
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

    /// Tells whether an order carries an old fencing number, and remembers the highest.
    fn is_stale(&self, req: &HttpRequest, adapter: &str) -> bool {
        let fence = req.headers().get("x-fencing-token").and_then(|v| v.to_str().ok());
        let fence = fence.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut inner = self.lock();
        if inner.spec.check_fences && fence < inner.fence {
            inner.record(EngineEventKind::Fenced, adapter, "");
            return true;
        }
        inner.fence = inner.fence.max(fence);
        false
    }

    fn start(&self, adapter: &str, request: &str) -> Option<RunGuard> {
        let mut inner = self.lock();
        *inner.loaded.get_mut(adapter)? += 1;
        inner.record(EngineEventKind::Start, adapter, request);
        let generation = inner.generation;
        let (adapter, request) = (adapter.to_owned(), request.to_owned());
        Some(RunGuard { engine: self.clone(), adapter, request, generation, whole: false })
    }
}

impl Inner {
    fn record(&mut self, kind: EngineEventKind, adapter: &str, request: &str) {
        let running = self.loaded.get(adapter).copied().unwrap_or(0);
        let at_ms = self.started.elapsed().as_millis() as u64;
        let (adapter, request) = (adapter.to_owned(), request.to_owned());
        self.log.push(EngineEvent { at_ms, kind, adapter, request, running });
    }
}

/// Ends a run in the engine's log when it is dropped.
struct RunGuard {
    engine: EngineStandIn,
    adapter: String,
    request: String,
    generation: u64,
    whole: bool,
}

impl RunGuard {
    fn has_crashed(&self) -> bool {
        self.engine.lock().generation != self.generation
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        let kind = if self.whole { EngineEventKind::End } else { EngineEventKind::Cancel };
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
    order: Json<AdapterOrder>,
) -> HttpResponse {
    let name = &order.lora_name;
    if this.is_stale(&req, name) {
        return HttpResponse::Conflict().finish();
    }
    let (spec, generation) = {
        let mut inner = this.lock();
        if inner.loaded.contains_key(name) {
            return HttpResponse::Ok().finish();
        }
        if inner.loaded.len() + inner.loading >= inner.spec.slots {
            return HttpResponse::BadRequest().body("no free slot");
        }
        inner.loading += 1;
        (inner.spec, inner.generation)
    };
    let arrived = fetch_weights(&spec, name).await;
    let mut inner = this.lock();
    inner.loading = inner.loading.saturating_sub(1);
    if !arrived || inner.generation != generation {
        return HttpResponse::InternalServerError().finish();
    }
    inner.loaded.insert(name.clone(), 0);
    inner.record(EngineEventKind::Load, name, "");
    HttpResponse::Ok().finish()
}

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
    order: Json<AdapterOrder>,
) -> HttpResponse {
    let name = &order.lora_name;
    if this.is_stale(&req, name) {
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

async fn chat(this: State<EngineStandIn>, req: HttpRequest, prompt: Json<Prompt>) -> HttpResponse {
    answer(&this, &req, prompt.into_inner(), true).await
}

async fn completion(
    this: State<EngineStandIn>,
    req: HttpRequest,
    prompt: Json<Prompt>,
) -> HttpResponse {
    answer(&this, &req, prompt.into_inner(), false).await
}

async fn answer(
    this: &EngineStandIn,
    req: &HttpRequest,
    prompt: Prompt,
    chat: bool,
) -> HttpResponse {
    let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("none");
    let known: Result<AdapterVersion, _> = prompt.model.parse();
    let guard = known.ok().and_then(|_| this.start(&prompt.model, id));
    let Some(guard) = guard else {
        let body = json!({"error": {"message": "the model does not exist", "code": 404}});
        return HttpResponse::NotFound().header("x-adapter-missing", "1").json(&body);
    };
    let token_ms = this.lock().spec.token_ms;
    let run = Run { guard, prompt, id: id.to_owned(), chat, index: 0, token_ms };
    match run.prompt.stream {
        true => HttpResponse::Ok()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .streaming(Box::pin(stream::unfold(Some(run), Run::step))),
        false => run.whole().await,
    }
}

struct Run {
    guard: RunGuard,
    prompt: Prompt,
    id: String,
    chat: bool,
    index: u32,
    token_ms: u32,
}

type Step = Option<(Result<Bytes, io::Error>, Option<Run>)>;

impl Run {
    async fn step(state: Option<Run>) -> Step {
        let mut run = state?;
        run.wait_for_token().await;
        let due = |name| run.prompt.order(name) == Some(run.index);
        if due("silent-after") {
            sleep(FOREVER).await;
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
        if run.index == run.prompt.tokens() {
            run.guard.whole = true;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None));
        }
        let chunk = run.prompt.chunk(&run.id, run.index, run.chat);
        run.index += 1;
        Some((Ok(Bytes::from(format!("data: {chunk}\n\n"))), Some(run)))
    }

    /// Waits out the time between tokens; no time at all is not a tick of the timer.
    async fn wait_for_token(&self) {
        if self.token_ms > 0 {
            sleep(Duration::from_millis(self.token_ms.into())).await;
        }
    }

    async fn whole(mut self) -> HttpResponse {
        for index in 0..self.prompt.tokens() {
            self.wait_for_token().await;
            if self.prompt.order("crash") == Some(index) {
                self.guard.engine.crash();
            }
            if self.guard.has_crashed() {
                let broken = stream::iter([Err::<Bytes, _>(io::Error::other("crashed"))]);
                return HttpResponse::Ok().streaming(Box::pin(broken));
            }
        }
        self.guard.whole = true;
        HttpResponse::Ok().json(&self.prompt.whole(&self.id, self.chat))
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
