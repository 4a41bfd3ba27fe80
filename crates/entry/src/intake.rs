//! What has to hold before a request is sent anywhere.

use std::net::IpAddr;

use guavaspread_model::{Code, ContentId, Refusal};
use http::{header, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::access::LOAD_WAIT;
use crate::prelude::*;
use crate::record::Record;
use crate::refusals::{malformed, no_configuration, stopping};
use crate::relay::Call;
use crate::state::Entry;

/// How long a request waits for a process that has just started to learn where to send it;
/// with a store that answers that takes 30 ms.
const START_TIMEOUT: Duration = Duration::from_millis(150);
const START_POLL: Duration = Duration::from_millis(10);

/// Waits until the process has a configuration and servers, if it has just started.
async fn await_start(entry: &Entry) {
    let started = entry.clock.now();
    while !entry.knows_servers() && entry.clock.now() < started + START_TIMEOUT {
        tokio::time::sleep(START_POLL).await;
    }
}

/// Finds the route of a request and reads its body.
pub(crate) async fn prepare(
    entry: &Rc<Entry>,
    caller: IpAddr,
    head: request::Parts,
    body: Incoming,
    record: &mut Record,
) -> Result<Call, Refusal> {
    let asked = entry.borders.dialect.read(&head);
    if let Ok(asked) = &asked {
        record.request = asked.id.clone();
        record.model = asked.model.clone();
        record.adapter = asked.adapter.clone();
    }
    if entry.closed.get() {
        return Err(stopping());
    }
    await_start(entry).await;
    let Some(catalog) = entry.catalog.borrow().clone() else {
        return Err(no_configuration());
    };
    let host = host_of(&head).ok_or_else(|| malformed("the request names no host"))?;
    let route = catalog.route(&host, head.uri.path()).cloned();
    let route = route
        .ok_or_else(|| Refusal::not_run(Code::UnknownService, "no route leads from this path"))?;
    let asked = asked.map_err(malformed)?;
    let service = route.service(&asked.id).cloned();
    let service = service
        .ok_or_else(|| Refusal::not_run(Code::NoBackend, "the route leads to no service"))?;
    record.route = route.name.clone();
    record.service = service.clone();
    let patience = asked.patience.unwrap_or(route.timeout).min(route.timeout);
    let until = record.started() + patience;
    let due = record.started() + route.latency_objective;
    let left = until.saturating_sub(entry.clock.now());
    let reading = Limited::new(body, catalog.limits.body_bytes).collect();
    let body = match tokio::time::timeout(left, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::not_run(Code::BodyTooLarge, "the body exceeds the limit"));
        }
        Ok(Err(e)) => return Err(malformed(format!("the body broke off: {e}"))),
        Err(_) => return Err(Refusal::not_run(Code::RequestTimeout, "the body came too slowly")),
    };
    entry.on_request(&service);
    let content = content_of(caller, &host, &head, &body);
    record.content = Some(content);
    Ok(Call {
        entry: entry.clone(),
        route,
        service,
        asked,
        content,
        head,
        body,
        due,
        load_wait: LOAD_WAIT,
        until,
    })
}

/// Names what the caller asks for: who it is, where it asks, and what it sends. The rest of the
/// head may differ each time it asks again.
fn content_of(caller: IpAddr, host: &str, head: &request::Parts, body: &Bytes) -> ContentId {
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

fn host_of(head: &request::Parts) -> Option<String> {
    let host = match head.uri.host() {
        Some(host) => host,
        None => head.headers.get(header::HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}
