//! Validates and routes a request and reads its body, before the first attempt.

use std::net::IpAddr;

use guavaspread_fleet::{Attempts, Caller};
use guavaspread_model::{Code, ContentId, Refusal};
use http::{HeaderName, HeaderValue, header, request};
use hyper::body::Incoming;

use crate::access::LOAD_TIMEOUT;
use crate::collect::{CollectError, collect_within};
use crate::forward::Call;
use crate::prelude::*;
use crate::record::Record;
use crate::refusals::{bodies_full, malformed, no_configuration, stopping};
use crate::state::EntryState;

/// How long a request waits for a process that has just started to load its configuration and
/// the server list. With a store that responds, loading takes 30 ms.
const START_TIMEOUT: Duration = Duration::from_millis(150);
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the process knows a configuration and servers, up to [`START_TIMEOUT`].
async fn await_start(entry: &EntryState) {
    let started = entry.clock.now();
    while !entry.has_routable_server() && entry.clock.now() < started + START_TIMEOUT {
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
}

/// Finds the route and service of a request and reads its body.
pub(crate) async fn prepare(
    entry: &Rc<EntryState>,
    caller: IpAddr,
    head: request::Parts,
    body: Incoming,
    record: &mut Record,
) -> Result<Call, Refusal> {
    let info = entry.platform.protocol.parse_request(&head);
    if let Ok(info) = &info {
        record.request = info.id.clone();
        record.model = info.model.clone();
        record.adapter = info.adapter.clone();
    }
    if !entry.accepts_requests() {
        return Err(stopping(&Attempts::default()));
    }
    await_start(entry).await;
    let Some(catalog) = entry.catalog.borrow().clone() else {
        return Err(no_configuration());
    };
    if head_bytes(&head) > catalog.limits.header_bytes_max {
        return Err(Refusal::not_run(Code::HeadTooLarge, "the header section exceeds the limit"));
    }
    let host = request_host(&head).ok_or_else(|| malformed("the request names no host"))?;
    let route = catalog.find_route(&host, head.uri.path()).cloned();
    let route = route
        .ok_or_else(|| Refusal::not_run(Code::UnknownService, "no route leads from this path"))?;
    let key = entry.platform.protocol.caller_key(&head);
    let sender = catalog.identify(&route, key);
    if let Caller::Organisation(organisation) = &sender {
        record.organisation = Some(organisation.name.clone());
    }
    if let Some(refusal) = entry.check_caller(&sender) {
        return Err(refusal);
    }
    let info = info.map_err(malformed)?;
    // A stream is continued by the service that began it.
    let first_id = info.resumes.as_ref().filter(|_| route.has_resumable_streams());
    let service = route.pick_service(first_id.unwrap_or(&info.id)).cloned();
    let service = service
        .ok_or_else(|| Refusal::not_run(Code::NoBackend, "the route leads to no service"))?;
    record.route = route.name.clone();
    record.service = service.clone();
    let timeout = info.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = record.started() + timeout;
    let response_due = record.started() + route.latency_objective;
    let remaining = deadline.saturating_sub(entry.clock.now());
    let mut body_share = entry.body_budget.share();
    let collecting = collect_within(body, catalog.limits.body_bytes_max, &mut body_share);
    let body = match tokio::time::timeout(remaining, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::TooLarge)) => {
            return Err(Refusal::not_run(Code::BodyTooLarge, "the body exceeds the limit"));
        }
        Ok(Err(CollectError::NoRoom)) => return Err(bodies_full()),
        Ok(Err(e @ CollectError::Incomplete(_))) => return Err(malformed(e.to_string())),
        Err(_) => return Err(Refusal::not_run(Code::RequestTimeout, "the body came too slowly")),
    };
    let quota = entry.acquire_quota(&sender, &info).await?;
    entry.count_request(&service);
    let content = content_id(caller, &host, &head, &body);
    record.content = Some(content);
    Ok(Call {
        entry: entry.clone(),
        route,
        service,
        info,
        sender,
        has_keys: catalog.organisations().is_some(),
        quota: RefCell::new(quota),
        content,
        head,
        body,
        _body_share: body_share,
        response_due,
        load_timeout: LOAD_TIMEOUT,
        deadline,
    })
}

/// Returns the size of a request's head as the caller sent it, up to optional white space.
fn head_bytes(head: &request::Parts) -> usize {
    /// A space between method and path, another one, the version, and the line's end.
    const START_LINE_REST: usize = " ".len() + " HTTP/1.1\r\n".len();
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let start_line = head.method.as_str().len() + path + START_LINE_REST;
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + ": ".len() + value.len() + "\r\n".len()
    };
    start_line + head.headers.iter().map(field).sum::<usize>() + "\r\n".len()
}

/// Returns the content id of a request, which is the same each time the caller repeats it.
///
/// Hashes the caller's address and key, the method, the host, the path and the body. The other
/// headers may differ between repeats.
fn content_id(caller: IpAddr, host: &str, head: &request::Parts, body: &Bytes) -> ContentId {
    let address = caller.to_string();
    let key = head.headers.get(header::AUTHORIZATION).map_or(&b""[..], |key| key.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = head.method.as_str();
    ContentId::of(&[
        address.as_bytes(),
        key,
        method.as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        body,
    ])
}

/// Returns the lowercase host name that a request is addressed to.
fn request_host(head: &request::Parts) -> Option<String> {
    let host = match head.uri.host() {
        Some(host) => host,
        None => head.headers.get(header::HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}
