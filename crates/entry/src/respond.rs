//! Error responses that this host generates, as `application/problem+json` (RFC 9457).

use guavaspread_model::{Ran, Refusal};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use crate::body::CallerBody;
use crate::prelude::*;

#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    code: u16,
    ran: Ran,
    detail: &'a str,
}

/// Builds the problem response for a refusal.
pub(crate) fn problem_response(refusal: &Refusal) -> Response<CallerBody> {
    let status = refusal.code.status();
    let problem = Problem {
        title: refusal.code.title(),
        status,
        code: refusal.code.number(),
        ran: refusal.ran,
        detail: &refusal.detail,
    };
    // Serializing strings, numbers and plain enums can't fail.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut res = Response::new(CallerBody::Own(Full::new(Bytes::from(body))));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    let retry_after = refusal.retry_after_ms.map(|ms| format!("{:.2}", f64::from(ms) / 1_000.0));
    if let Some(Ok(value)) = retry_after.map(|text| HeaderValue::from_str(&text)) {
        headers.insert(header::RETRY_AFTER, value);
    }
    res
}
