//! Updates of the server list from several sources that lag and repeat.
//!
//! The store's history is authoritative. A host receives it by its own reads and from two
//! watchers. Each source keeps the order, but an update may arrive late or twice, or as a
//! complete list of an earlier revision.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{Server, ServerList, ServerState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 10_000;
const EVENTS: u64 = 40;
const SOURCES: usize = 3;
const IDS: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Clone, Debug)]
struct Event {
    id: &'static str,
    /// `None` if the row was removed.
    server: Option<Server>,
    revision: u64,
}

fn server_in(id: &str, is_ready: bool, started_at_ms: u64) -> Server {
    let draining = ServerState::Draining { remaining: None };
    Server {
        state: if is_ready { ServerState::Ready } else { draining },
        started_at_ms,
        ..server(id)
    }
}

/// Generates the writes of servers that start, drain, stop and start again as new incarnations.
fn history(rng: &mut ChaCha8Rng) -> Vec<Event> {
    let mut now: BTreeMap<&str, Server> = BTreeMap::new();
    let mut events = Vec::new();
    for number in 0..EVENTS {
        let id = IDS[rng.random_range(0..IDS.len())];
        let next = match now.get(id) {
            None => Some(server_in(id, true, number)),
            Some(old) if old.is_ready() && rng.random_bool(0.6) => {
                Some(server_in(id, rng.random_bool(0.5), old.started_at_ms))
            }
            Some(_) => None,
        };
        match &next {
            Some(server) => now.insert(id, server.clone()),
            None => now.remove(id),
        };
        // Other tables share the revision counter, so revisions have gaps.
        let revision = number * 3 + 5;
        events.push(Event { id, server: next, revision });
    }
    events
}

/// Returns the list after the first `count` events, and its revision.
fn list(events: &[Event], count: usize) -> (Vec<(Server, u64)>, u64) {
    let mut rows: BTreeMap<&str, &Event> = BTreeMap::new();
    for event in &events[..count] {
        rows.insert(event.id, event);
    }
    let present = rows.values().filter_map(|event| Some((event.server.clone()?, event.revision)));
    (present.collect(), events[..count].last().map_or(1, |event| event.revision))
}

fn apply(server_list: &mut ServerList, event: &Event, now: Duration) {
    match &event.server {
        Some(server) => drop(server_list.upsert(server.clone(), event.revision)),
        None => drop(server_list.remove(event.id, event.revision, now)),
    }
}

/// Simulates one seed; returns the first server that the host uses again after a newer update,
/// or a wrong final state.
fn simulate(seed: u64, has_outages: bool) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let events = history(&mut rng);
    let mut server_list = ServerList::default();
    let mut positions = [0; SOURCES];
    // The newest event of each server that the host has received.
    let mut received: BTreeMap<&str, &Event> = BTreeMap::new();
    let mut now = Duration::from_secs(1);
    while positions.iter().any(|position| *position < events.len()) {
        now += Duration::from_millis(rng.random_range(1..300));
        if has_outages && rng.random_ratio(1, 15) {
            server_list.on_store_unavailable(now);
            now += Duration::from_secs(2);
            server_list.on_store_read(now);
        }
        let source = rng.random_range(0..SOURCES);
        if rng.random_ratio(1, 12) {
            // A source that restarts sends its complete list.
            let (servers, revision) = list(&events, positions[source]);
            for event in &events[..positions[source]] {
                let newer = received.get(event.id).is_none_or(|old| old.revision < event.revision);
                if newer {
                    received.insert(event.id, event);
                }
            }
            server_list.replace_all(servers, revision, now);
        } else if positions[source] < events.len() {
            let event = &events[positions[source]];
            // Some updates arrive twice.
            positions[source] += usize::from(!rng.random_ratio(1, 10));
            if received.get(event.id).is_none_or(|old| old.revision <= event.revision) {
                received.insert(event.id, event);
            }
            apply(&mut server_list, event, now);
        }
        server_list.remove_missing(now);
        for (id, event) in &received {
            let known = server_list.get(id).is_some_and(|server| server.is_ready());
            let expected = event.server.as_ref().is_some_and(Server::is_ready);
            // A server that is missing after an outage of the store is kept for a while.
            if known && !expected && !(has_outages && event.server.is_none()) {
                return Some(format!("seed {seed}: {id} is used again after {event:?}"));
            }
        }
    }
    now += Duration::from_secs(60);
    server_list.remove_missing(now);
    let (expected_servers, _) = list(&events, events.len());
    let known_servers: Vec<Server> =
        server_list.servers().map(|server| (**server).clone()).collect();
    let expected_servers: Vec<Server> =
        expected_servers.into_iter().map(|(server, _)| server).collect();
    (known_servers != expected_servers).then(|| {
        format!("seed {seed}: final state {known_servers:?}, expected {expected_servers:?}")
    })
}

#[test]
fn newer_updates_are_never_undone_by_lagging_sources() {
    let failures: Vec<String> = (0..SEEDS).filter_map(|seed| simulate(seed, false)).collect();
    assert!(failures.is_empty(), "{} of {SEEDS}: {}", failures.len(), failures[0]);
}

#[test]
fn the_final_list_matches_the_store_even_after_outages() {
    let failures: Vec<String> = (0..SEEDS).filter_map(|seed| simulate(seed, true)).collect();
    assert!(failures.is_empty(), "{} of {SEEDS}: {}", failures.len(), failures[0]);
}
