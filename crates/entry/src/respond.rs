//! Answers of this host's own, as `application/problem+json`, RFC 9457.

use guavaspread_model::{Ran, Refusal};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use crate::body::RelayBody;
use crate::prelude::*;

#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    code: u16,
    ran: Ran,
    detail: &'a str,
}

/// Answers a refusal.
pub(crate) fn refuse(refusal: &Refusal) -> Response<RelayBody> {
    let status = refusal.code.status();
    let problem = Problem {
        title: refusal.code.title(),
        status,
        code: refusal.code.number(),
        ran: refusal.ran,
        detail: &refusal.detail,
    };
    // A problem of fixed fields always has a JSON form.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut res = Response::new(RelayBody::Own(Full::new(Bytes::from(body))));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    let wait = refusal.retry_after_ms.map(|ms| format!("{:.2}", f64::from(ms) / 1_000.0));
    if let Some(Ok(value)) = wait.map(|text| HeaderValue::from_str(&text)) {
        headers.insert(header::RETRY_AFTER, value);
    }
    res
}
