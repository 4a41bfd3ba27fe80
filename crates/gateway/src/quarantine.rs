//! Quarantines content that crashes engines.
//!
//! The platform's table counts crashes by the hash of the content, so that the same
//! content under another id or through another gateway adds to the same count.
//! After the first crash the content is retried alone on an engine, so that a second
//! crash is not counted against other requests. After the second crash the content
//! is quarantined.

use std::collections::HashMap;

use guavaspread_store::{Category, Transaction};
use guavaspread_wire::DispatcherRequest;
use rand::seq::IndexedRandom;

use crate::prelude::*;
use crate::routing_state::RoutingState;
use crate::worker::Worker;

const CRASHES_MAX: u32 = 2;
const COUNT_ATTEMPTS_MAX: u32 = 5;
/// Number of dispatchers that are notified at once; the others learn of the content by gossip.
const NOTIFIED_DISPATCHERS: usize = 4;
const CRASH_COUNTS_CAPACITY: usize = 4_096;

/// The action to take for content after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashAction {
    /// Retries the request alone on an engine.
    RetryExclusive,
    /// Refuses the content from now on.
    Quarantined,
}

/// Counts the crashes of each content that one request thread has seen.
#[derive(Default)]
pub(crate) struct Quarantine {
    crashes: RefCell<HashMap<u64, u32>>,
}

impl Quarantine {
    /// Refuses quarantined content.
    pub(crate) fn check(&self, routing: &RoutingState, content: u64) -> Result<(), Refusal> {
        let local_count = self.crashes.borrow().get(&content).copied().unwrap_or(0);
        match local_count >= CRASHES_MAX || routing.quarantined.contains(&content) {
            true => Err(refusal(Ran::No)),
            false => Ok(()),
        }
    }

    fn count_locally(&self, content: u64, at_least: u32) -> u32 {
        let mut crashes = self.crashes.borrow_mut();
        if crashes.len() >= CRASH_COUNTS_CAPACITY {
            crashes.retain(|_, count| *count >= CRASHES_MAX);
        }
        let count = crashes.entry(content).or_default();
        *count = (*count + 1).max(at_least);
        *count
    }
}

/// Returns the refusal of quarantined content.
pub(crate) fn refusal(ran: Ran) -> Refusal {
    let detail = "this content crashed two backend servers";
    Refusal { code: Code::Quarantined, ran, detail: detail.to_owned(), retry_after_ms: None }
}

/// Counts a crash; the count is shared by all gateways while the platform's table responds.
pub(crate) async fn on_crash(worker: &Worker, content: u64) -> CrashAction {
    let table_count = count_in_table(worker, content).await;
    let count = worker.quarantine.count_locally(content, table_count);
    if count < CRASHES_MAX {
        return CrashAction::RetryExclusive;
    }
    notify_dispatchers(worker, content).await;
    CrashAction::Quarantined
}

/// Increments the crash count of the content.
///
/// Returns 0 if the table does not respond or every attempt conflicts with another write.
async fn count_in_table(worker: &Worker, content: u64) -> u32 {
    let key = format!("crash/{content:016x}");
    for _ in 0..COUNT_ATTEMPTS_MAX {
        let Ok(row) = worker.platform.get(&key).await else {
            return 0;
        };
        let count = row.as_ref().and_then(|row| row.value.parse().ok()).unwrap_or(0_u32) + 1;
        let revision = row.map(|row| row.revision);
        let tx = Transaction::default().compare_and_set(&key, revision, count.to_string());
        match worker.platform.commit(&tx).await {
            Ok(_) => return count,
            Err(e) if e.classify() == Category::Conflict => {}
            // The commit may have succeeded without a response. Counting too many is safe: the
            // content is quarantined earlier.
            Err(_) => return count,
        }
    }
    0
}

async fn notify_dispatchers(worker: &Worker, content: u64) {
    let Ok(routing) = worker.routing() else {
        return;
    };
    let hosts: Vec<&Host> = routing.snapshot.hosts.iter().filter(|h| h.is_entry_host()).collect();
    let chosen: Vec<&Host> =
        hosts.sample(&mut rand::rng(), NOTIFIED_DISPATCHERS).copied().collect();
    let request = DispatcherRequest::Quarantine(content);
    let notifications =
        chosen.iter().map(|host| worker.dispatcher_client.request::<bool>(host.address, &request));
    // Dispatchers that can't be reached learn of the content by gossip.
    futures::future::join_all(notifications).await;
}
