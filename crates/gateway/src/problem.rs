//! Converts refusals into HTTP responses and error events.

use ntex::http::{StatusCode, header};
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::prelude::*;

/// The `application/problem+json` body of a refusal (RFC 9457).
#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    code: u16,
    ran: Ran,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
    error: OpenAiError<'a>,
}

/// The reason of a refusal in the place where OpenAI client libraries read it.
#[derive(Serialize)]
struct OpenAiError<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: String,
}

#[derive(Serialize)]
struct ErrorEvent<'a> {
    error: OpenAiError<'a>,
    ran: Ran,
}

impl<'a> OpenAiError<'a> {
    fn new(refusal: &'a Refusal) -> Self {
        let kind = match refusal.code.status() {
            401 | 403 => "authentication_error",
            404 => "not_found_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        OpenAiError { message: &refusal.detail, kind, code: refusal.code.to_string() }
    }
}

/// Builds the HTTP response of a refusal.
pub(crate) fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let status = refusal.code.status();
    let problem = Problem {
        kind: format!("urn:guavaspread:code:{}", refusal.code),
        title: refusal.code.title(),
        status,
        code: refusal.code.number(),
        ran: refusal.ran,
        detail: &refusal.detail,
        retry_after_ms: refusal.retry_after_ms,
        error: OpenAiError::new(refusal),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = HttpResponse::build(status);
    res.content_type("application/problem+json");
    if let Some(ms) = refusal.retry_after_ms {
        res.header(header::RETRY_AFTER, ms.div_ceil(1_000).max(1).to_string());
    }
    res.json(&problem)
}

/// Formats the event that ends a cut stream.
pub(crate) fn error_event(refusal: &Refusal) -> String {
    let event = ErrorEvent { error: OpenAiError::new(refusal), ran: refusal.ran };
    let json = serde_json::to_string(&event).unwrap_or_default();
    format!("event: error\ndata: {json}\n\n")
}
