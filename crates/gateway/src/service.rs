//! Forwards requests to services other than engines.

use std::collections::HashMap;
use std::net::SocketAddr;

use futures::StreamExt;
use guavaspread_engine::{
    BackendClient, BackendRequest, Category, HttpBackendClient, ResponsePart,
};
use guavaspread_model::RequestClass;
use guavaspread_telemetry::traceparent_of;
use guavaspread_wire::RunEvent;
use ntex::http::header;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};

use crate::attempt::{REFUSAL_STATUSES, RunResponse, final_refusal};
use crate::completion::{authenticate, current_config, header_text, read_body, respond};
use crate::delivery::{Delivery, replay_stored};
use crate::idempotency::{IdempotencyKey, ResponseSource, run_at_most_once};
use crate::prelude::*;
use crate::routing_state::RoutingState;
use crate::worker::Worker;

const ATTEMPTS_MAX: usize = 4;
/// Penalty of a server in another zone, as a number of requests in flight.
const ZONE_CROSSING_COST: u32 = 2;

/// Counts the requests that one request thread has in flight at each server.
#[derive(Default)]
pub(crate) struct ServiceLoad {
    in_flight: RefCell<HashMap<Name, u32>>,
}

/// Holds a service request that was validated against the configuration.
struct ServiceCall {
    service: Name,
    class: RequestClass,
    request: BackendRequest,
}

/// Describes the outcome of one attempt.
enum AttemptOutcome {
    Started(RunResponse),
    /// The request did not run and may be retried on another server.
    NotRun(Refusal),
    /// The request may have run.
    MaybeRan(Refusal),
}

/// Counts a request as in flight at a server until dropped.
struct InFlightGuard {
    worker: Rc<Worker>,
    host: Name,
}

impl InFlightGuard {
    fn new(worker: &Rc<Worker>, host: &Name) -> Self {
        *worker.service_load.in_flight.borrow_mut().entry(host.clone()).or_default() += 1;
        InFlightGuard { worker: worker.clone(), host: host.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.worker.service_load.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&self.host) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Handles a request to a service.
pub(crate) async fn handle(worker: Rc<Worker>, req: HttpRequest, payload: Payload) -> HttpResponse {
    respond(&worker, &req, serve(&worker, &req, payload)).await
}

async fn serve(
    worker: &Rc<Worker>,
    req: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, Refusal> {
    let started = worker.clock.now();
    let admission = worker.admit()?;
    let routing = worker.routing()?;
    let organisation = authenticate(&routing, req)?;
    let body = read_body(worker, payload).await?;
    let call = validate(&routing, req, &body)?;
    let deadline = started + Duration::from_millis(call.class.deadline_ms.into());
    let worth = call.class.worth;
    let idempotency_key = match call.class.repeatable {
        true => None,
        false => Some(IdempotencyKey::from_request(req, organisation, req.path(), &body)?),
    };
    let this = worker.clone();
    let run = async move { run_attempts(&this, call, deadline).await };
    let source = match idempotency_key {
        Some(key) => run_at_most_once(worker, key, deadline, run).await?,
        None => ResponseSource::Live(run.await?),
    };
    let delivery = Delivery::new(worker, worth, admission);
    match source {
        ResponseSource::Stored(response) => Ok(replay_stored(response)),
        ResponseSource::Live(response) => delivery.deliver(response, false).await,
    }
}

fn validate(
    routing: &RoutingState,
    req: &HttpRequest,
    body: &[u8],
) -> Result<ServiceCall, Refusal> {
    let unknown = || {
        let detail = format!("no request class is declared for {}", req.path());
        Refusal::not_run(Code::UnknownService, detail)
    };
    let service =
        Name::new(req.match_info().get("service").unwrap_or("")).map_err(|_| unknown())?;
    let path = format!("/{}", req.match_info().get("path").unwrap_or(""));
    let config = current_config(routing)?;
    let class = request_class(&config, &service, &path).ok_or_else(unknown)?;
    if let Some(in_doubt) = &routing.snapshot.config_view.in_doubt
        && request_class(in_doubt, &service, &path).as_ref() != Some(&class)
    {
        let detail = "a change that affects this request may have been committed";
        return Err(Refusal::not_run(Code::ConfigInDoubt, detail).with_retry_after_ms(2_000));
    }
    let query = req.query_string();
    let path = if query.is_empty() { path } else { format!("{path}?{query}") };
    let request = BackendRequest {
        id: rand::random(),
        method: req.method().to_string(),
        path,
        content_type: header_text(req, header::CONTENT_TYPE.as_str()).map(str::to_owned),
        body: bytes::Bytes::copy_from_slice(body),
        stream: false,
        idle_timeout_ms: class.deadline_ms,
        traceparent: traceparent_of(&tracing::Span::current()),
    };
    Ok(ServiceCall { service, class, request })
}

fn request_class(config: &Config, service: &Name, path: &str) -> Option<RequestClass> {
    let class = config.services.get(service)?.class_of(path)?;
    config.request_class(class.as_str())
}

async fn run_attempts(
    worker: &Rc<Worker>,
    call: ServiceCall,
    deadline: Duration,
) -> Result<RunResponse, Refusal> {
    let mut may_have_run = None;
    let response = try_servers(worker, call, deadline, &mut may_have_run).await;
    response.map_err(|last| final_refusal(last, may_have_run))
}

/// Tries one server after another; keeps the refusal of the last attempt that may have run.
async fn try_servers(
    worker: &Rc<Worker>,
    call: ServiceCall,
    deadline: Duration,
    may_have_run: &mut Option<Refusal>,
) -> Result<RunResponse, Refusal> {
    worker.count_first_attempt();
    let mut tried_servers = Vec::new();
    let mut last =
        Refusal::not_run(Code::NoBackend, format!("no server of {} is available", call.service))
            .with_retry_after_ms(1_000);
    for attempt in 0..ATTEMPTS_MAX {
        let Some((host, address)) = choose_server(worker, &call.service, &tried_servers)? else {
            return Err(last);
        };
        if attempt > 0 && !worker.try_spend_retry() {
            return Err(last);
        }
        let refusal = match run_attempt(worker, &call, &host, address, deadline).await {
            AttemptOutcome::Started(response) => return Ok(response),
            AttemptOutcome::NotRun(refusal) => refusal,
            AttemptOutcome::MaybeRan(refusal) if call.class.repeatable => {
                *may_have_run = Some(refusal.clone());
                refusal
            }
            AttemptOutcome::MaybeRan(refusal) => return Err(refusal),
        };
        tried_servers.push(host);
        last = refusal;
    }
    Err(last)
}

/// Chooses the server with the fewest requests of this thread in flight, preferring the own zone.
fn choose_server(
    worker: &Worker,
    service: &Name,
    tried_servers: &[Name],
) -> Result<Option<(Name, SocketAddr)>, Refusal> {
    let routing = worker.routing()?;
    let config = current_config(&routing)?;
    let in_flight = worker.service_load.in_flight.borrow();
    let zone = &worker.cfg.process.zone;
    let hosts = routing.snapshot.hosts.iter().filter(|host| {
        host.kind == HostKind::Service(service.clone())
            && host.state == HostState::Live
            && !config.drained.contains(&host.name)
            && !tried_servers.contains(&host.name)
    });
    let cost = |host: &&Host| {
        let zone_cost = if host.zone == *zone { 0 } else { ZONE_CROSSING_COST };
        in_flight.get(&host.name).copied().unwrap_or(0) + zone_cost
    };
    Ok(hosts.min_by_key(cost).map(|host| (host.name.clone(), host.address)))
}

async fn run_attempt(
    worker: &Rc<Worker>,
    call: &ServiceCall,
    host: &Name,
    address: SocketAddr,
    deadline: Duration,
) -> AttemptOutcome {
    let in_flight = InFlightGuard::new(worker, host);
    // Each attempt opens a new connection. A kept connection may be dead, which shows only after
    // the request was sent, when it is unknown whether the request ran.
    let backend = match HttpBackendClient::new(address).await {
        Ok(backend) => backend,
        Err(e) => return AttemptOutcome::NotRun(Refusal::not_run(Code::NoBackend, e.to_string())),
    };
    let mut request = call.request.clone();
    let remaining = deadline.saturating_sub(worker.clock.now()).max(Duration::from_millis(1));
    request.idle_timeout_ms = remaining.as_millis() as u32;
    let mut parts = match backend.send(request).await {
        Ok(parts) => parts,
        Err(e) => {
            return match e.classify() {
                Category::NotSent | Category::Refused => {
                    let refusal = Refusal::not_run(Code::NoBackend, e.to_string());
                    AttemptOutcome::NotRun(refusal.with_retry_after_ms(1_000))
                }
                Category::MaybeExecuted => {
                    AttemptOutcome::MaybeRan(Refusal::maybe_ran(Code::BackendFailed, e.to_string()))
                }
            };
        }
    };
    let Some(Ok(ResponsePart::Head { status, content_type })) = parts.next().await else {
        let detail = "the server's response has no head";
        return AttemptOutcome::MaybeRan(Refusal::maybe_ran(Code::BackendFailed, detail));
    };
    if REFUSAL_STATUSES.contains(&status) {
        let detail = format!("the server failed with {status}");
        return AttemptOutcome::MaybeRan(Refusal::maybe_ran(Code::BackendFailed, detail));
    }
    let events = parts.map(move |part| {
        let _in_flight = &in_flight;
        match part {
            Ok(ResponsePart::Data(data)) => Ok(RunEvent::Data(data)),
            Ok(ResponsePart::Head { status, content_type }) => {
                Ok(RunEvent::ResponseHead { status, content_type, digest: None })
            }
            Ok(ResponsePart::Done) => Ok(RunEvent::Done),
            Err(e) => Err(Refusal::maybe_ran(Code::Cut, e.to_string())),
        }
    });
    AttemptOutcome::Started(RunResponse { status, content_type, events: Box::pin(events) })
}
