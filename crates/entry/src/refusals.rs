//! Refusals: why a request is given up, and after which time its caller should retry.
//!
//! A refusal states "not run" only if no server can have run the request.

use guavaspread_fleet::Attempts;
use guavaspread_model::{Code, Refusal};
use http::StatusCode;

use crate::prelude::*;

/// Retry delay while no server accepts requests; restarting a server takes seconds.
const NO_SERVER_RETRY_AFTER_MS: u32 = 1_000;
/// Retry delay after an adapter was not loaded in time: about the duration of a load.
const NOT_LOADED_RETRY_AFTER_MS: u32 = 400;
/// Added to the expected end of a load, so that the adapter is loaded when its callers retry.
const LOAD_RETRY_MARGIN_MS: u32 = 200;
/// Retry delay while engines are full: about the time in which half of a batch finishes.
const FULL_RETRY_AFTER_MS: u32 = 300;
/// Shortest retry delay while servers are at their rate limits. Callers that all come back for the
/// next permit would mostly be refused again.
const RATE_LIMITED_RETRY_AFTER_MIN_MS: u32 = 200;
/// Shortest retry delay beyond a quota. A caller that returns at once would mostly meet the same
/// refusal, as the header holds hundredths of a second.
const OVER_QUOTA_RETRY_AFTER_MIN_MS: u32 = 50;
/// Shortest retry delay for quarantined content.
const QUARANTINED_RETRY_AFTER_MIN_MS: u32 = 5_000;
/// Retry delay while bodies take too much memory; a retry reaches another host.
const BODIES_FULL_RETRY_AFTER_MS: u32 = 500;
/// Retry delay while this host starts or stops; the retry then reaches a host that is ready.
const NOT_READY_RETRY_AFTER_MS: u32 = 500;

/// Returns whether callers take this status for the promise that the request never runs.
pub(crate) fn is_refusal_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Refuses a request because this host is stopping.
pub(crate) fn stopping(attempts: &Attempts) -> Refusal {
    if attempts.has_not_run() {
        return Refusal::not_run(Code::Stopping, "the host is stopping")
            .with_retry_after_ms(NOT_READY_RETRY_AFTER_MS);
    }
    Refusal::maybe_ran(Code::BackendFailed, "the host stops before an answer came")
}

/// Refuses a request because this host has no configuration yet.
pub(crate) fn no_configuration() -> Refusal {
    Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet")
        .with_retry_after_ms(NOT_READY_RETRY_AFTER_MS)
}

/// Refuses a request whose key is missing or names nobody.
pub(crate) fn unknown_key() -> Refusal {
    Refusal::not_run(Code::BadKey, "the key is missing or unknown")
}

/// Refuses a request with a key that may have been taken away: the store was not heard of for long.
pub(crate) fn keys_in_doubt() -> Refusal {
    Refusal::not_run(Code::ConfigInDoubt, "which keys hold is not known here at the moment")
        .with_retry_after_ms(NO_SERVER_RETRY_AFTER_MS)
}

/// Refuses a request beyond the organisation's quota, which has room again after `wait`.
pub(crate) fn over_quota(wait: Duration) -> Refusal {
    Refusal::not_run(Code::OverQuota, "the organisation is beyond its quota")
        .with_retry_after_ms(millis(wait).max(OVER_QUOTA_RETRY_AFTER_MIN_MS))
}

/// Refuses a request because the bodies of others take the memory that this host has for them.
pub(crate) fn bodies_full() -> Refusal {
    Refusal::not_run(Code::BodiesFull, "the host has no memory for the body now")
        .with_retry_after_ms(BODIES_FULL_RETRY_AFTER_MS)
}

/// Refuses a malformed request.
pub(crate) fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::MalformedRequest, detail)
}

/// Refuses a request whose deadline has passed or is too close.
pub(crate) fn deadline_exceeded(attempts: &Attempts) -> Refusal {
    if attempts.has_not_run() {
        return Refusal::not_run(Code::DeadlineUnreachable, "no server could run it in time")
            .with_retry_after_ms(NOT_LOADED_RETRY_AFTER_MS);
    }
    Refusal::maybe_ran(Code::DeadlinePassed, "no answer came in time")
}

/// Refuses a request whose adapter is loaded only after `wait`, too late for its deadline.
pub(crate) fn not_loaded(attempts: &Attempts, wait: Duration) -> Refusal {
    if attempts.has_not_run() {
        let wait_ms = millis(wait).saturating_add(LOAD_RETRY_MARGIN_MS);
        return Refusal::not_run(Code::DeadlineUnreachable, "the adapter is not loaded in time")
            .with_retry_after_ms(wait_ms);
    }
    may_have_run()
}

/// Refuses a request that no server accepts.
///
/// `wait` is the time until the first server with a busy notice accepts requests again.
pub(crate) fn no_server(attempts: &Attempts, wait: Option<Duration>) -> Refusal {
    if attempts.has_not_run() {
        let wait_ms = wait.map_or(NO_SERVER_RETRY_AFTER_MS, |wait| millis(wait).saturating_add(1));
        return Refusal::not_run(Code::NoBackend, "no server takes the request now")
            .with_retry_after_ms(wait_ms);
    }
    may_have_run()
}

/// Refuses a request for an adapter that no engine has loaded, because the owner of an engine that
/// could load it is lost; another host may after `wait`.
pub(crate) fn owner_lost(attempts: &Attempts, wait: Duration) -> Refusal {
    if attempts.has_not_run() {
        let detail = "the entry host that loads adapters on the engine does not respond or does not reach it";
        return Refusal::not_run(Code::OwnerLost, detail).with_retry_after_ms(millis(wait));
    }
    may_have_run()
}

/// Refuses a request because every server that could run it is at its rate limit for `wait`.
pub(crate) fn rate_limited(attempts: &Attempts, wait: Duration) -> Refusal {
    if attempts.has_not_run() {
        return Refusal::not_run(Code::NoBackend, "the servers are at their rate limits")
            .with_retry_after_ms(millis(wait).max(RATE_LIMITED_RETRY_AFTER_MIN_MS));
    }
    may_have_run()
}

/// Refuses a stream because no server runs the software version at which streams begin, and the
/// store keeps no other one yet.
pub(crate) fn no_stream_version() -> Refusal {
    let detail = "no server of the version at which streams begin takes requests now";
    Refusal::not_run(Code::NoBackend, detail).with_retry_after_ms(NO_SERVER_RETRY_AFTER_MS)
}

/// Refuses to continue a stream whose software version no server runs any more. Its caller can only
/// begin anew.
pub(crate) fn stream_version_gone() -> Refusal {
    let detail = "the servers of the version that began the stream have left; begin it anew";
    Refusal::not_run(Code::StreamVersionGone, detail)
}

/// Refuses to continue a stream that another software version may have begun.
pub(crate) fn stream_version_unknown() -> Refusal {
    let detail =
        "another version than those that serve now may have begun the stream; begin it anew";
    Refusal::not_run(Code::StreamVersionUnknown, detail)
}

/// Refuses a request whose content stays quarantined for `remaining`, because it crashed servers.
pub(crate) fn quarantined(attempts: &Attempts, remaining: Duration) -> Refusal {
    if attempts.has_not_run() {
        // An immediate retry would be refused as well or crash another server.
        let wait_ms = millis(remaining).max(QUARANTINED_RETRY_AFTER_MIN_MS);
        return Refusal::not_run(Code::ContentHeld, "servers ended under this content")
            .with_retry_after_ms(wait_ms);
    }
    Refusal::maybe_ran(Code::BackendCrashed, "servers ended under this content")
}

/// Refuses a request because a part of its prompt stays quarantined for `remaining`.
pub(crate) fn part_quarantined(attempts: &Attempts, remaining: Duration) -> Refusal {
    let refusal = quarantined(attempts, remaining);
    if !attempts.has_not_run() {
        return refusal;
    }
    let detail = "servers ended under a part of the prompt";
    Refusal { code: Code::PromptPartHeld, detail: detail.into(), ..refusal }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn may_have_run() -> Refusal {
    Refusal::maybe_ran(Code::BackendFailed, "the server failed without an answer")
}

/// Refuses a request because all engines from which access was requested are full.
pub(crate) fn engines_full(attempts: &Attempts) -> Refusal {
    if attempts.has_not_run() {
        return Refusal::not_run(Code::Overloaded, "the engines asked are full")
            .with_retry_after_ms(FULL_RETRY_AFTER_MS);
    }
    may_have_run()
}

/// Refuses a request for an adapter that its engine does not know.
///
/// The status is not 404, because the engine may learn of a new adapter later than callers do.
pub(crate) fn unknown_adapter(attempts: &Attempts) -> Refusal {
    if attempts.has_not_run() {
        return Refusal::not_run(Code::LoadFailed, "the engine knows no such adapter")
            .with_retry_after_ms(NO_SERVER_RETRY_AFTER_MS);
    }
    may_have_run()
}

/// Refuses a request because the retry budget allows no further attempt.
pub(crate) fn retry_budget_spent(attempts: &Attempts) -> Refusal {
    if attempts.has_not_run() {
        return Refusal::not_run(Code::RetryBudgetSpent, "no repeated send is left")
            .with_retry_after_ms(NO_SERVER_RETRY_AFTER_MS);
    }
    may_have_run()
}
