//! Why a request is given up, and when its caller should come back.
//!
//! "Not run" is said only with proof.

use guavaspread_fleet::Attempts;
use guavaspread_model::{Code, Refusal};

use crate::prelude::*;

/// When to come back while no server takes work: a server's restart takes seconds.
const RETRY_NO_SERVER_MS: u32 = 1_000;
/// When to come back after an adapter was not loaded in time: a load's duration.
const RETRY_NOT_LOADED_MS: u32 = 400;
/// Added to the time after which an adapter should be loaded, so that it is when its callers
/// come back.
const RETRY_LOADED_MARGIN_MS: u32 = 200;
/// When to come back to full engines: about the time in which half of a batch ends.
const RETRY_FULL_MS: u32 = 300;
/// When to come back at the earliest with content that is held.
const RETRY_HELD_MIN_MS: u32 = 5_000;
/// When to come back to a host that has no configuration yet, and finds others ready.
const RETRY_NOT_READY_MS: u32 = 500;

/// Refuses requests of a host that ends.
pub(crate) fn stopping() -> Refusal {
    Refusal::not_run(Code::Stopping, "the host is stopping").retry_after_ms(RETRY_NOT_READY_MS)
}

/// Refuses requests of a host that knows no configuration.
pub(crate) fn no_configuration() -> Refusal {
    Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet")
        .retry_after_ms(RETRY_NOT_READY_MS)
}

/// Refuses what is no request.
pub(crate) fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::MalformedRequest, detail)
}

/// Refuses a request whose time is up.
pub(crate) fn out_of_time(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::DeadlineUnreachable, "no server could run it in time")
            .retry_after_ms(RETRY_NOT_LOADED_MS);
    }
    Refusal::maybe_ran(Code::DeadlinePassed, "no answer came in time")
}

/// Refuses a request for an adapter that is loaded too late for it, after `wait`.
pub(crate) fn not_loaded(attempts: &Attempts, wait: Duration) -> Refusal {
    if attempts.is_not_run() {
        let wait_ms = wait.as_millis() as u32 + RETRY_LOADED_MARGIN_MS;
        return Refusal::not_run(Code::DeadlineUnreachable, "the adapter is not loaded in time")
            .retry_after_ms(wait_ms);
    }
    may_have_run()
}

/// Refuses a request that no server takes; `wait` is the time until the first one does that
/// asked to be left alone.
pub(crate) fn no_server(attempts: &Attempts, wait: Option<Duration>) -> Refusal {
    if attempts.is_not_run() {
        let wait_ms = wait.map_or(RETRY_NO_SERVER_MS, |wait| wait.as_millis() as u32 + 1);
        return Refusal::not_run(Code::NoBackend, "no server takes the request now")
            .retry_after_ms(wait_ms);
    }
    may_have_run()
}

/// Refuses content under which servers ended, for as long as it is held.
pub(crate) fn held(attempts: &Attempts, left: Duration) -> Refusal {
    if attempts.is_not_run() {
        // Coming back at once helps nobody.
        let wait_ms = (left.as_millis() as u32).max(RETRY_HELD_MIN_MS);
        return Refusal::not_run(Code::ContentHeld, "servers ended under this content")
            .retry_after_ms(wait_ms);
    }
    Refusal::maybe_ran(Code::BackendCrashed, "servers ended under this content")
}

fn may_have_run() -> Refusal {
    Refusal::maybe_ran(Code::BackendFailed, "the server failed without an answer")
}

/// Refuses a request that several engines have no room for.
pub(crate) fn all_full(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::Overloaded, "the engines asked are full")
            .retry_after_ms(RETRY_FULL_MS);
    }
    may_have_run()
}

/// Refuses a request for an adapter that its engine does not know. It is no 404: the
/// engine may hear of a new adapter later than callers do.
pub(crate) fn unknown(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::LoadFailed, "the engine knows no such adapter")
            .retry_after_ms(RETRY_NO_SERVER_MS);
    }
    may_have_run()
}

/// Refuses a request that may not be sent again.
pub(crate) fn budget_spent(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::RetryBudgetSpent, "no repeated send is left")
            .retry_after_ms(RETRY_NO_SERVER_MS);
    }
    may_have_run()
}
