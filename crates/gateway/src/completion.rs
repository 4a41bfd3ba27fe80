//! Handles the OpenAI-compatible completion APIs.

use guavaspread_model::{Adapter, DEFAULT_CLASS, KeyHash, RequestClass, content_hash};
use guavaspread_telemetry::{set_remote_parent, traceparent_of};
use guavaspread_wire::{RunCommand, TraceContext};
use ntex::http::header;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use tracing::Instrument;

use crate::attempt::RequestAttempts;
use crate::delivery::{Delivery, replay_stored};
use crate::idempotency::{IdempotencyKey, ResponseSource, run_at_most_once};
use crate::prelude::*;
use crate::problem::refusal_response;
use crate::routing_state::RoutingState;
use crate::worker::Worker;

const CLASS_HEADER: &str = "x-request-class";

/// Holds the fields of a completion request that validation and retries depend on.
#[derive(Deserialize)]
struct CompletionParams {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    seed: Option<i64>,
    #[serde(default)]
    temperature: Option<f64>,
}

impl CompletionParams {
    /// Returns whether another run generates the same response.
    fn is_deterministic(&self) -> bool {
        self.seed.is_some() || self.temperature == Some(0.0)
    }
}

/// Holds a request that was validated against the configuration.
struct ValidRequest {
    adapter: AdapterVersion,
    class: RequestClass,
    stream: bool,
    deterministic: bool,
    revision: u64,
}

/// Handles a completion request; `path` is its path on the engine.
pub(crate) async fn handle(
    worker: Rc<Worker>,
    req: HttpRequest,
    payload: Payload,
    path: &'static str,
) -> HttpResponse {
    respond(&worker, &req, serve(&worker, &req, payload, path)).await
}

/// Runs `serve` in a span of the caller's trace and converts a refusal into a response.
pub(crate) async fn respond(
    worker: &Worker,
    req: &HttpRequest,
    serve: impl Future<Output = Result<HttpResponse, Refusal>>,
) -> HttpResponse {
    worker.metrics.requests.inc();
    let span = tracing::info_span!("gateway", path = req.path());
    set_remote_parent(&span, header_text(req, "traceparent").unwrap_or_default());
    serve.instrument(span).await.unwrap_or_else(|refusal| {
        worker.metrics.count_refusal(refusal.code);
        refusal_response(&refusal)
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
    let routing = worker.routing()?;
    let organisation = authenticate(&routing, req)?;
    let body = read_body(worker, payload).await?;
    let valid = validate(&routing, req, &organisation, &body)?;
    let content = content_hash(&body);
    worker.quarantine.check(&routing, content)?;
    let deadline = started + Duration::from_millis(valid.class.deadline_ms.into());
    let (worth, stream) = (valid.class.worth, valid.stream);
    let idempotency_key = match valid.class.repeatable {
        true => None,
        false => Some(IdempotencyKey::from_request(req, organisation, path, &body)?),
    };
    let deterministic = valid.deterministic;
    let command = run_command(worker, req, path, body, valid);
    let attempts = RequestAttempts::new(worker, command, content, deterministic, deadline);
    let start = attempts.start();
    let source = match idempotency_key {
        Some(key) => run_at_most_once(worker, key, deadline, start).await?,
        None => ResponseSource::Live(start.await?),
    };
    let first_byte = worker.clock.now().saturating_sub(started);
    worker.metrics.first_byte_s.observe(first_byte.as_secs_f64());
    let delivery = Delivery::new(worker, worth, admission);
    match source {
        ResponseSource::Stored(response) => Ok(replay_stored(response)),
        ResponseSource::Live(response) => delivery.deliver(response, stream).await,
    }
}

/// Returns the organisation that the request's bearer key belongs to.
pub(crate) fn authenticate(routing: &RoutingState, req: &HttpRequest) -> Result<Name, Refusal> {
    let bad_key_refusal = |detail: &str| Refusal::not_run(Code::BadKey, detail);
    let key = bearer(req).ok_or_else(|| bad_key_refusal("send `Authorization: Bearer KEY`"))?;
    let config = current_config(routing)?;
    let organisation = config.organisation_for_key(&KeyHash::of(key)).cloned();
    organisation.ok_or_else(|| bad_key_refusal("no organisation has this key"))
}

/// Returns the bearer key of a request.
pub(crate) fn bearer(req: &HttpRequest) -> Option<&str> {
    header_text(req, header::AUTHORIZATION.as_str())?.strip_prefix("Bearer ").map(str::trim)
}

pub(crate) fn current_config(routing: &RoutingState) -> Result<Arc<Config>, Refusal> {
    routing.snapshot.config_view.config.clone().ok_or_else(|| {
        let refusal = Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
        refusal.with_retry_after_ms(1_000)
    })
}

pub(crate) fn header_text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Reads a body within the size limit and the timeout.
pub(crate) async fn read_body(worker: &Worker, mut payload: Payload) -> Result<Bytes, Refusal> {
    let limits = &worker.cfg.limits;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk
                .map_err(|e| Refusal::not_run(Code::MalformedRequest, format!("the body: {e}")))?;
            if body.len() + chunk.len() > limits.body_bytes_max {
                let detail =
                    format!("the body exceeds the limit of {} bytes", limits.body_bytes_max);
                return Err(Refusal::not_run(Code::BodyTooLarge, detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let timeout = Duration::from_millis(limits.body_timeout_ms.into());
    let timed_out = || Refusal::not_run(Code::RequestTimeout, "the body arrived too slowly");
    ntex::time::timeout(timeout, read).await.unwrap_or_else(|()| Err(timed_out()))
}

fn validate(
    routing: &RoutingState,
    req: &HttpRequest,
    organisation: &Name,
    body: &[u8],
) -> Result<ValidRequest, Refusal> {
    let config = current_config(routing)?;
    let params: CompletionParams = serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(Code::MalformedRequest, format!("the body: {e}")))?;
    let adapter: AdapterVersion = params
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
    let class = request_class(&config, declared, req)?;
    check_not_in_doubt(routing, &adapter, &class, req)?;
    let stream = params.stream.unwrap_or(false);
    let deterministic = params.is_deterministic();
    Ok(ValidRequest { adapter, class, stream, deterministic, revision: config.revision })
}

fn request_class(
    config: &Config,
    declared: &Adapter,
    req: &HttpRequest,
) -> Result<RequestClass, Refusal> {
    let adapter_class = declared.class.as_ref().map_or(DEFAULT_CLASS, Name::as_str);
    let name = header_text(req, CLASS_HEADER).unwrap_or(adapter_class);
    config.request_class(name).ok_or_else(|| {
        Refusal::not_run(Code::UnknownClass, format!("there is no request class `{name}`"))
    })
}

/// Refuses a request if the configuration that is in doubt would treat it differently.
fn check_not_in_doubt(
    routing: &RoutingState,
    adapter: &AdapterVersion,
    class: &RequestClass,
    req: &HttpRequest,
) -> Result<(), Refusal> {
    let Some(in_doubt) = &routing.snapshot.config_view.in_doubt else {
        return Ok(());
    };
    let same_class = || {
        let declared = in_doubt.adapter(adapter)?;
        request_class(in_doubt, declared, req).ok().filter(|other| other == class)
    };
    let same_key = || {
        let key = KeyHash::of(bearer(req)?);
        in_doubt.organisation_for_key(&key).filter(|name| *name == adapter.organisation())
    };
    if same_class().is_some() && same_key().is_some() {
        return Ok(());
    }
    let detail = "a change that affects this request may have been committed";
    Err(Refusal::not_run(Code::ConfigInDoubt, detail).with_retry_after_ms(2_000))
}

fn run_command(
    worker: &Worker,
    req: &HttpRequest,
    path: &str,
    body: Bytes,
    valid: ValidRequest,
) -> RunCommand {
    let demand = worker.count_demand(&valid.adapter) as f32;
    RunCommand {
        id: rand::random(),
        // Replaced by each attempt.
        engine: valid.adapter.adapter().clone(),
        adapter: valid.adapter,
        demand,
        path: path.to_owned(),
        content_type: header_text(req, header::CONTENT_TYPE.as_str()).map(str::to_owned),
        body: bytes::Bytes::copy_from_slice(&body),
        stream: valid.stream,
        timeout_ms: valid.class.deadline_ms,
        worth: valid.class.worth,
        priority: valid.class.priority,
        repeatable: valid.class.repeatable,
        exclusive: false,
        events_delivered: 0,
        revision: valid.revision,
        trace: TraceContext { traceparent: traceparent_of(&tracing::Span::current()) },
    }
}
