//! The OpenAI-compatible completions API.

use guavaspread_model::{Adapter, DEFAULT_CLASS, KeyHash, RequestClass, content_hash};
use guavaspread_telemetry::{adopt, traceparent};
use guavaspread_wire::{RunOrder, TraceContext};
use ntex::http::header;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use tracing::Instrument;

use crate::attempt::Run;
use crate::board::Board;
use crate::deliver::{Delivery, replay};
use crate::once::{OnceKey, Outcome, run_once};
use crate::prelude::*;
use crate::respond::refuse;
use crate::worker::Worker;

const CLASS_HEADER: &str = "x-request-class";

/// Holds the fields of a completion request that decide where it goes.
#[derive(Deserialize)]
struct Head {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    seed: Option<i64>,
    #[serde(default)]
    temperature: Option<f64>,
}

impl Head {
    /// Tells whether another run generates the same answer.
    fn is_deterministic(&self) -> bool {
        self.seed.is_some() || self.temperature == Some(0.0)
    }
}

/// Holds a request that was checked against the configuration.
struct Checked {
    adapter: AdapterVersion,
    class: RequestClass,
    stream: bool,
    deterministic: bool,
    revision: u64,
}

/// Answers a completion request at `path`.
pub(crate) async fn answer(
    worker: Rc<Worker>,
    req: HttpRequest,
    payload: Payload,
    path: &'static str,
) -> HttpResponse {
    respond(&worker, &req, serve(&worker, &req, payload, path)).await
}

/// Answers a caller with what `serve` answers or refuses, in a span of the caller's trace.
pub(crate) async fn respond(
    worker: &Worker,
    req: &HttpRequest,
    serve: impl Future<Output = Result<HttpResponse, Refusal>>,
) -> HttpResponse {
    worker.metrics.requests.inc();
    let span = tracing::info_span!("gateway", path = req.path());
    adopt(&span, header_text(req, "traceparent").unwrap_or_default());
    serve.instrument(span).await.unwrap_or_else(|refusal| {
        worker.metrics.refuse(refusal.code);
        refuse(&refusal)
    })
}

async fn serve(
    worker: &Rc<Worker>,
    req: &HttpRequest,
    payload: Payload,
    path: &'static str,
) -> Result<HttpResponse, Refusal> {
    let started = worker.clock.now();
    let admission = worker.admit()?;
    let board = worker.board()?;
    let organisation = authenticate(&board, req)?;
    let body = read_body(worker, payload).await?;
    let checked = check(&board, req, &organisation, &body)?;
    let content = content_hash(&body);
    worker.quarantine.check(&board, content)?;
    let deadline = started + Duration::from_millis(checked.class.deadline_ms.into());
    let (worth, stream) = (checked.class.worth, checked.stream);
    let once = match checked.class.repeatable {
        true => None,
        false => Some(OnceKey::of(req, organisation, path, &body)?),
    };
    let deterministic = checked.deterministic;
    let order = order(worker, req, path, body, checked);
    let run = Run::new(worker, order, content, deterministic, deadline);
    let start = run.start();
    let outcome = match once {
        Some(key) => run_once(worker, key, deadline, start).await?,
        None => Outcome::Live(start.await?),
    };
    let first_byte = worker.clock.now().saturating_sub(started);
    worker.metrics.first_byte_s.observe(first_byte.as_secs_f64());
    let delivery = Delivery::new(worker, worth, admission);
    match outcome {
        Outcome::Stored(answer) => Ok(replay(answer)),
        Outcome::Live(answer) => delivery.deliver(answer, stream).await,
    }
}

/// Finds the organisation whose key the caller shows.
pub(crate) fn authenticate(board: &Board, req: &HttpRequest) -> Result<Name, Refusal> {
    let bad_key = |detail: &str| Refusal::not_run(Code::BadKey, detail);
    let key = bearer(req).ok_or_else(|| bad_key("send `Authorization: Bearer KEY`"))?;
    let config = config(board)?;
    let organisation = config.organisation_of(&KeyHash::of(key)).cloned();
    organisation.ok_or_else(|| bad_key("no organisation has this key"))
}

/// Returns the bearer key that a request shows.
pub(crate) fn bearer(req: &HttpRequest) -> Option<&str> {
    header_text(req, header::AUTHORIZATION.as_str())?.strip_prefix("Bearer ").map(str::trim)
}

pub(crate) fn config(board: &Board) -> Result<Arc<Config>, Refusal> {
    board.snapshot.view.config.clone().ok_or_else(|| {
        let refusal = Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
        refusal.retry_after_ms(1_000)
    })
}

pub(crate) fn header_text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Reads a body within the limits of size and time.
pub(crate) async fn read_body(worker: &Worker, mut payload: Payload) -> Result<Bytes, Refusal> {
    let limits = &worker.cfg.limits;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk
                .map_err(|e| Refusal::not_run(Code::MalformedRequest, format!("the body: {e}")))?;
            if body.len() + chunk.len() > limits.body_bytes_max {
                let detail = format!("at most {} bytes are taken", limits.body_bytes_max);
                return Err(Refusal::not_run(Code::BodyTooLarge, detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let limit = Duration::from_millis(limits.body_timeout_ms.into());
    let late = || Refusal::not_run(Code::RequestTimeout, "the body arrived too slowly");
    ntex::time::timeout(limit, read).await.unwrap_or_else(|()| Err(late()))
}

fn check(
    board: &Board,
    req: &HttpRequest,
    organisation: &Name,
    body: &[u8],
) -> Result<Checked, Refusal> {
    let config = config(board)?;
    let head: Head = serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(Code::MalformedRequest, format!("the body: {e}")))?;
    let adapter: AdapterVersion = head
        .model
        .parse()
        .map_err(|e: guavaspread_model::Error| Refusal::not_run(e.code(), e.to_string()))?;
    if adapter.organisation() != organisation {
        let detail = format!("{adapter} does not belong to {organisation}");
        return Err(Refusal::not_run(Code::OtherOrganisation, detail));
    }
    let declared = config.adapter(&adapter).ok_or_else(|| {
        Refusal::not_run(Code::UnknownAdapter, format!("{adapter} is not registered"))
    })?;
    let class = class_of(&config, declared, req)?;
    refuse_in_doubt(board, &adapter, &class, req)?;
    let stream = head.stream.unwrap_or(false);
    let deterministic = head.is_deterministic();
    Ok(Checked { adapter, class, stream, deterministic, revision: config.revision })
}

fn class_of(
    config: &Config,
    declared: &Adapter,
    req: &HttpRequest,
) -> Result<RequestClass, Refusal> {
    let adapters_own = declared.class.as_ref().map_or(DEFAULT_CLASS, Name::as_str);
    let name = header_text(req, CLASS_HEADER).unwrap_or(adapters_own);
    config.class(name).ok_or_else(|| {
        Refusal::not_run(Code::UnknownClass, format!("there is no request class `{name}`"))
    })
}

/// Refuses a request that the configuration in doubt would treat differently.
fn refuse_in_doubt(
    board: &Board,
    adapter: &AdapterVersion,
    class: &RequestClass,
    req: &HttpRequest,
) -> Result<(), Refusal> {
    let Some(doubt) = &board.snapshot.view.doubt else {
        return Ok(());
    };
    let same_class = || {
        let declared = doubt.adapter(adapter)?;
        class_of(doubt, declared, req).ok().filter(|other| other == class)
    };
    let same_key = || {
        let key = KeyHash::of(bearer(req)?);
        doubt.organisation_of(&key).filter(|name| *name == adapter.organisation())
    };
    if same_class().is_some() && same_key().is_some() {
        return Ok(());
    }
    let detail = "a change that concerns this request may have come into force";
    Err(Refusal::not_run(Code::ConfigInDoubt, detail).retry_after_ms(2_000))
}

fn order(
    worker: &Worker,
    req: &HttpRequest,
    path: &str,
    body: Bytes,
    checked: Checked,
) -> RunOrder {
    let demand = worker.count_demand(&checked.adapter) as f32;
    RunOrder {
        id: rand::random(),
        // Filled in for each attempt.
        engine: checked.adapter.adapter().clone(),
        adapter: checked.adapter,
        demand,
        path: path.to_owned(),
        content_type: header_text(req, header::CONTENT_TYPE.as_str()).map(str::to_owned),
        body: bytes::Bytes::copy_from_slice(&body),
        stream: checked.stream,
        deadline_ms: checked.class.deadline_ms,
        worth: checked.class.worth,
        priority: checked.class.priority,
        repeatable: checked.class.repeatable,
        alone: false,
        events_seen: 0,
        revision: checked.revision,
        trace: TraceContext { traceparent: traceparent(&tracing::Span::current()) },
    }
}
