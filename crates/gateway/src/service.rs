//! Plain services beside the engines.

use std::collections::HashMap;
use std::net::SocketAddr;

use futures::StreamExt;
use guavaspread_engine::{Backend, Category, HttpBackend, Piece, RunRequest};
use guavaspread_model::RequestClass;
use guavaspread_telemetry::traceparent;
use guavaspread_wire::RunEvent;
use ntex::http::header;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};

use crate::attempt::Answer;
use crate::board::Board;
use crate::completion::{authenticate, config, header_text, read_body, respond};
use crate::deliver::{Delivery, replay};
use crate::once::{OnceKey, Outcome, run_once};
use crate::prelude::*;
use crate::worker::Worker;

const ATTEMPTS_MAX: usize = 4;
/// What a server in another zone counts for in choosing one, in requests.
const ZONE_COST: u32 = 2;

/// Counts the requests that one thread has under way at each server.
#[derive(Default)]
pub(crate) struct Services {
    under_way: RefCell<HashMap<Name, u32>>,
}

/// Holds a request to a service that was checked against the configuration.
struct Call {
    service: Name,
    class: RequestClass,
    request: RunRequest,
}

/// Tells what became of one attempt.
enum Attempt {
    Started(Answer),
    /// It did not run; another server may take it.
    Elsewhere(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

/// Counts a request at a server until it is dropped.
struct UnderWay {
    worker: Rc<Worker>,
    host: Name,
}

impl UnderWay {
    fn new(worker: &Rc<Worker>, host: &Name) -> Self {
        *worker.services.under_way.borrow_mut().entry(host.clone()).or_default() += 1;
        UnderWay { worker: worker.clone(), host: host.clone() }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut under_way = self.worker.services.under_way.borrow_mut();
        if let Some(count) = under_way.get_mut(&self.host) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Answers a request to a service.
pub(crate) async fn answer(worker: Rc<Worker>, req: HttpRequest, payload: Payload) -> HttpResponse {
    respond(&worker, &req, serve(&worker, &req, payload)).await
}

async fn serve(
    worker: &Rc<Worker>,
    req: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, Refusal> {
    let started = worker.clock.now();
    let admission = worker.admit()?;
    let board = worker.board()?;
    let organisation = authenticate(&board, req)?;
    let body = read_body(worker, payload).await?;
    let call = check(&board, req, &body)?;
    let deadline = started + Duration::from_millis(call.class.deadline_ms.into());
    let worth = call.class.worth;
    let once = match call.class.repeatable {
        true => None,
        false => Some(OnceKey::of(req, organisation, req.path(), &body)?),
    };
    let this = worker.clone();
    let start = async move { start(&this, call, deadline).await };
    let outcome = match once {
        Some(key) => run_once(worker, key, deadline, start).await?,
        None => Outcome::Live(start.await?),
    };
    let delivery = Delivery::new(worker, worth, admission);
    match outcome {
        Outcome::Stored(answer) => Ok(replay(answer)),
        Outcome::Live(answer) => delivery.deliver(answer, false).await,
    }
}

fn check(board: &Board, req: &HttpRequest, body: &[u8]) -> Result<Call, Refusal> {
    let unknown = || {
        let detail = format!("no request class is declared for {}", req.path());
        Refusal::not_run(Code::UnknownService, detail)
    };
    let service =
        Name::new(req.match_info().get("service").unwrap_or("")).map_err(|_| unknown())?;
    let path = format!("/{}", req.match_info().get("path").unwrap_or(""));
    let config = config(board)?;
    let class = class_of(&config, &service, &path).ok_or_else(unknown)?;
    if let Some(doubt) = &board.snapshot.view.doubt
        && class_of(doubt, &service, &path).as_ref() != Some(&class)
    {
        let detail = "a change that concerns this request may have come into force";
        return Err(Refusal::not_run(Code::ConfigInDoubt, detail).retry_after_ms(2_000));
    }
    let query = req.query_string();
    let path = if query.is_empty() { path } else { format!("{path}?{query}") };
    let request = RunRequest {
        id: rand::random(),
        method: req.method().to_string(),
        path,
        content_type: header_text(req, header::CONTENT_TYPE.as_str()).map(str::to_owned),
        body: bytes::Bytes::copy_from_slice(body),
        stream: false,
        silence_ms: class.deadline_ms,
        traceparent: traceparent(&tracing::Span::current()),
    };
    Ok(Call { service, class, request })
}

fn class_of(config: &Config, service: &Name, path: &str) -> Option<RequestClass> {
    let class = config.services.get(service)?.class_of(path)?;
    config.class(class.as_str())
}

async fn start(worker: &Rc<Worker>, call: Call, deadline: Duration) -> Result<Answer, Refusal> {
    worker.on_first_attempt();
    let mut tried = Vec::new();
    let mut last = Refusal::not_run(Code::NoBackend, format!("no server of {}", call.service))
        .retry_after_ms(1_000);
    for attempt in 0..ATTEMPTS_MAX {
        let Some((host, address)) = choose(worker, &call.service, &tried)? else {
            return Err(last);
        };
        if attempt > 0 && !worker.try_retry() {
            return Err(last);
        }
        let refusal = match attempt_once(worker, &call, &host, address, deadline).await {
            Attempt::Started(answer) => return Ok(answer),
            Attempt::Elsewhere(refusal) => refusal,
            Attempt::Unknown(refusal) if call.class.repeatable => refusal,
            Attempt::Unknown(refusal) => return Err(refusal),
        };
        tried.push(host);
        last = refusal;
    }
    Err(last)
}

/// Chooses the server with the fewest requests of this thread, own zone first.
fn choose(
    worker: &Worker,
    service: &Name,
    tried: &[Name],
) -> Result<Option<(Name, SocketAddr)>, Refusal> {
    let board = worker.board()?;
    let config = config(&board)?;
    let under_way = worker.services.under_way.borrow();
    let zone = &worker.cfg.process.zone;
    let hosts = board.snapshot.hosts.iter().filter(|host| {
        host.kind == HostKind::Service(service.clone())
            && host.state == HostState::Live
            && !config.drained.contains(&host.name)
            && !tried.contains(&host.name)
    });
    let cost = |host: &&Host| {
        let crossing = if host.zone == *zone { 0 } else { ZONE_COST };
        under_way.get(&host.name).copied().unwrap_or(0) + crossing
    };
    Ok(hosts.min_by_key(cost).map(|host| (host.name.clone(), host.address)))
}

async fn attempt_once(
    worker: &Rc<Worker>,
    call: &Call,
    host: &Name,
    address: SocketAddr,
    deadline: Duration,
) -> Attempt {
    let under_way = UnderWay::new(worker, host);
    // A connection of its own: one that was kept open may be dead, which is seen too late to
    // tell whether the request ran.
    let backend = match HttpBackend::new(address).await {
        Ok(backend) => backend,
        Err(e) => return Attempt::Elsewhere(Refusal::not_run(Code::NoBackend, e.to_string())),
    };
    let mut request = call.request.clone();
    let left = deadline.saturating_sub(worker.clock.now()).max(Duration::from_millis(1));
    request.silence_ms = left.as_millis() as u32;
    let mut pieces = match backend.run(request).await {
        Ok(pieces) => pieces,
        Err(e) => {
            return match e.classify() {
                Category::NotSent | Category::Refused => {
                    let refusal = Refusal::not_run(Code::NoBackend, e.to_string());
                    Attempt::Elsewhere(refusal.retry_after_ms(1_000))
                }
                Category::Unknown => {
                    Attempt::Unknown(Refusal::maybe_ran(Code::BackendFailed, e.to_string()))
                }
            };
        }
    };
    let Some(Ok(Piece::Head { status, content_type })) = pieces.next().await else {
        let detail = "the server's answer has no head";
        return Attempt::Unknown(Refusal::maybe_ran(Code::BackendFailed, detail));
    };
    let events = pieces.map(move |piece| {
        let _counted = &under_way;
        match piece {
            Ok(Piece::Data(data)) => Ok(RunEvent::Data(data)),
            Ok(Piece::Head { status, content_type }) => {
                Ok(RunEvent::Head { status, content_type, digest: None })
            }
            Ok(Piece::Done) => Ok(RunEvent::Done),
            Err(e) => Err(Refusal::maybe_ran(Code::Cut, e.to_string())),
        }
    });
    Attempt::Started(Answer { status, content_type, events: Box::pin(events) })
}
