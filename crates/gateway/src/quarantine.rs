//! Content that crashes engines.
//!
//! Crashes are counted by content in the platform's table, so that resending the
//! same content under another id, or through another gateway, counts on. After
//! the first crash the content is tried once more, alone on an engine, so that its
//! neighbours are not suspected with it; after the second it is not run again.

use std::collections::HashMap;

use guavaspread_store::{Category, Transaction};
use guavaspread_wire::Ask;
use rand::seq::IndexedRandom;

use crate::board::Board;
use crate::prelude::*;
use crate::worker::Worker;

const CRASHES_MAX: u32 = 2;
const COUNT_TRIES_MAX: u32 = 5;
/// Dispatchers that are told at once; the others learn it from their peers.
const TOLD: usize = 4;
const KNOWN_MAX: usize = 4_096;

/// Tells what to do with content after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Try it again, alone on an engine.
    RetryAlone,
    /// Don't run it again.
    Quarantined,
}

/// Knows what one traffic thread has seen crash.
#[derive(Default)]
pub(crate) struct Quarantine {
    crashes: RefCell<HashMap<u64, u32>>,
}

impl Quarantine {
    /// Refuses content that is known to crash engines.
    pub(crate) fn check(&self, board: &Board, content: u64) -> Result<(), Refusal> {
        let here = self.crashes.borrow().get(&content).copied().unwrap_or(0);
        match here >= CRASHES_MAX || board.quarantined.contains(&content) {
            true => Err(refusal(Ran::No)),
            false => Ok(()),
        }
    }

    fn count_here(&self, content: u64, at_least: u32) -> u32 {
        let mut crashes = self.crashes.borrow_mut();
        if crashes.len() >= KNOWN_MAX {
            crashes.retain(|_, count| *count >= CRASHES_MAX);
        }
        let count = crashes.entry(content).or_default();
        *count = (*count + 1).max(at_least);
        *count
    }
}

/// Makes the final answer for content that crashes engines.
pub(crate) fn refusal(ran: Ran) -> Refusal {
    let detail = "this content crashed two backend servers";
    Refusal { code: Code::Quarantined, ran, detail: detail.to_owned(), retry_after_ms: None }
}

/// Counts a crash; the count holds everywhere while the table answers.
pub(crate) async fn on_crash(worker: &Worker, content: u64) -> Verdict {
    let everywhere = count_in_table(worker, content).await;
    let count = worker.quarantine.count_here(content, everywhere);
    if count < CRASHES_MAX {
        return Verdict::RetryAlone;
    }
    tell_dispatchers(worker, content).await;
    Verdict::Quarantined
}

/// Adds one to the row of the content; returns 0 when the table does not answer.
async fn count_in_table(worker: &Worker, content: u64) -> u32 {
    let key = format!("crash/{content:016x}");
    for _ in 0..COUNT_TRIES_MAX {
        let Ok(row) = worker.platform.get(&key).await else {
            return 0;
        };
        let count = row.as_ref().and_then(|row| row.value.parse().ok()).unwrap_or(0_u32) + 1;
        let revision = row.map(|row| row.revision);
        let tx = Transaction::default().swap(&key, revision, count.to_string());
        match worker.platform.commit(&tx).await {
            Ok(_) => return count,
            Err(e) if e.classify() == Category::Conflict => {}
            // An answer that was lost counts as a crash counted; one too many is on the safe side.
            Err(_) => return count,
        }
    }
    0
}

async fn tell_dispatchers(worker: &Worker, content: u64) {
    let Ok(board) = worker.board() else {
        return;
    };
    let hosts: Vec<&Host> = board.snapshot.hosts.iter().filter(|h| h.is_entry_host()).collect();
    let chosen: Vec<&Host> = hosts.sample(&mut rand::rng(), TOLD).copied().collect();
    let ask = Ask::Quarantine(content);
    let told = chosen.iter().map(|host| worker.links.ask::<bool>(host.address, &ask));
    // Those that are not reached learn it from their peers.
    futures::future::join_all(told).await;
}
