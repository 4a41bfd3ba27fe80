//! Detection of server crashes among lost connections.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{
    ConnectionLoss, CrashDetector, CrashEvidence, LossAction, ProbeResult, Server, ServerChange,
    ServerCrash, ServerState,
};
use guavaspread_model::ContentId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(100);
const SEEDS: u64 = 10_000;
const STEPS: usize = 40;

fn content(name: &str) -> ContentId {
    ContentId::of(&[name.as_bytes()])
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn with_lost_connection(loss: ConnectionLoss) -> CrashDetector {
    let mut detector = CrashDetector::default();
    let next = detector.on_connection_lost(&server("a"), false, (content("x"), loss), NOW);
    assert_eq!(next, LossAction::Probe);
    detector
}

fn crash_of_a(evidence: CrashEvidence) -> Vec<ServerCrash> {
    vec![ServerCrash { content: content("x"), server: "a".into(), started_at_ms: 1, evidence }]
}

#[test_case(
    ConnectionLoss::Closed, ProbeResult::Refused, Some(CrashEvidence::Refused);
    "connection refused"
)]
#[test_case(
    ConnectionLoss::Closed, ProbeResult::OtherServer, Some(CrashEvidence::Replaced);
    "another server responds"
)]
#[test_case(
    ConnectionLoss::TimedOut, ProbeResult::Refused, Some(CrashEvidence::Refused);
    "timeout, then refused"
)]
#[test_case(ConnectionLoss::Closed, ProbeResult::SameServer, None; "the same server responds")]
#[test_case(ConnectionLoss::Closed, ProbeResult::TimedOut, None; "it may be partitioned")]
fn a_probe_result_decides_whether_a_server_crashed(
    loss: ConnectionLoss,
    probe: ProbeResult,
    evidence: Option<CrashEvidence>,
) {
    let mut detector = with_lost_connection(loss);
    let (found, again) = detector.on_probe_result(&server("a"), probe, NOW, NOW + ms(2));
    assert_eq!(found, evidence.map(crash_of_a).unwrap_or_default());
    assert_eq!(again.is_some(), probe == ProbeResult::TimedOut);
}

/// Guards against a crash that a single probe misses: the server's connections close before it
/// stops listening.
#[test]
fn a_server_that_accepts_connections_while_it_crashes_is_probed_again() {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    let (mut now, mut probes) = (NOW, 0);
    while let (_, Some(at)) =
        detector.on_probe_result(&server("a"), ProbeResult::TimedOut, now, now)
    {
        assert!(detector.is_probing(content("x")));
        (now, probes) = (at, probes + 1);
    }
    assert_eq!((now - NOW, probes), (ms(350), 3));
    assert!(!detector.is_probing(content("x")));
    // The next lost connection is probed like the first one.
    let next = detector.on_connection_lost(
        &server("a"),
        false,
        (content("y"), ConnectionLoss::Closed),
        now,
    );
    assert_eq!(next, LossAction::Probe);
    let (_, again) = detector.on_probe_result(&server("a"), ProbeResult::TimedOut, now, now);
    assert_eq!(again, Some(now + ms(20)));
    let (found, _) =
        detector.on_probe_result(&server("a"), ProbeResult::Refused, now + ms(20), now + ms(21));
    assert_eq!(found.len(), 2);
}

#[test_case(ConnectionLoss::Closed, true; "the server closed the connection")]
#[test_case(ConnectionLoss::TimedOut, false; "the connection timed out, as in a partition")]
fn a_removed_row_proves_a_crash_only_after_a_closed_connection(
    loss: ConnectionLoss,
    is_crash: bool,
) {
    let mut detector = with_lost_connection(loss);
    detector.on_probe_result(&server("a"), ProbeResult::TimedOut, NOW, NOW + ms(200));
    let removed = ServerChange::Removed(Arc::new(server("a")));
    let found = detector.on_server_change(&removed, NOW + ms(4_000));
    assert_eq!(found, if is_crash { crash_of_a(CrashEvidence::RowRemoved) } else { Vec::new() });
    // Each crash is returned only once.
    assert_eq!(detector.on_server_change(&removed, NOW + ms(4_001)), Vec::new());
}

#[test]
fn a_row_removed_long_after_the_connection_loss_is_no_evidence() {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    let removed = ServerChange::Removed(Arc::new(server("a")));
    assert_eq!(detector.on_server_change(&removed, NOW + ms(8_000)), Vec::new());
}

#[test]
fn an_announced_shutdown_is_attributed_to_no_request() {
    let mut detector = CrashDetector::default();
    let next = detector.on_connection_lost(
        &server("a"),
        true,
        (content("x"), ConnectionLoss::Closed),
        NOW,
    );
    assert_eq!(next, LossAction::Ignore);
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    let state = ServerState::Draining { remaining: None };
    let removed = ServerChange::Removed(Arc::new(Server { state, ..server("a") }));
    assert_eq!(detector.on_server_change(&removed, NOW + ms(100)), Vec::new());
}

#[test_case(
    Server { started_at_ms: 2, ..server("a") }, Some(CrashEvidence::Restarted);
    "new incarnation"
)]
#[test_case(server("b"), Some(CrashEvidence::Replaced); "another server at its address")]
#[test_case(Server { address: "10.0.0.2:80".parse().unwrap(), ..server("b") }, None; "unrelated")]
#[test_case(server("a"), None; "the row of the same incarnation, read again")]
fn a_start_with_the_same_id_or_address_proves_a_crash(
    new: Server,
    evidence: Option<CrashEvidence>,
) {
    let mut detector = with_lost_connection(ConnectionLoss::TimedOut);
    let found = detector.on_server_change(&ServerChange::Started(Arc::new(new)), NOW + ms(500));
    assert_eq!(found, evidence.map(crash_of_a).unwrap_or_default());
}

#[test]
fn a_connection_lost_after_a_known_crash_is_attributed_at_once() {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    detector.on_probe_result(&server("a"), ProbeResult::Refused, NOW, NOW);
    let next = detector.on_connection_lost(
        &server("a"),
        false,
        (content("y"), ConnectionLoss::Closed),
        NOW + ms(5),
    );
    assert!(matches!(next, LossAction::Crashed(crash) if crash.content == content("y")));
    // The next incarnation of the server has not crashed.
    let newer = Server { started_at_ms: 2, ..server("a") };
    let next = detector.on_connection_lost(
        &newer,
        false,
        (content("y"), ConnectionLoss::Closed),
        NOW + ms(6),
    );
    assert_eq!(next, LossAction::Probe);
}

#[test]
fn a_connection_lost_during_a_probe_is_probed_again() {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    let during = (content("y"), ConnectionLoss::Closed);
    let next = detector.on_connection_lost(&server("a"), false, during, NOW + ms(1));
    assert_eq!(next, LossAction::Wait);
    assert!(detector.is_probing(content("x")));
    let (_, again) =
        detector.on_probe_result(&server("a"), ProbeResult::SameServer, NOW, NOW + ms(2));
    assert_eq!(again, Some(NOW + ms(2)));
    // The first probe shows that the server survived the first connection loss, but nothing
    // about the second.
    assert!(!detector.is_probing(content("x")) && detector.is_probing(content("y")));
    let (found, _) =
        detector.on_probe_result(&server("a"), ProbeResult::Refused, NOW + ms(2), NOW + ms(3));
    assert_eq!(found.iter().map(|crash| crash.content).collect::<Vec<_>>(), [content("y")]);
}

#[test_case(ServerChange::Removed(Arc::new(server("a"))); "its row is removed")]
#[test_case(ServerChange::Started(Arc::new(server("b"))); "another server takes its address")]
fn a_server_that_responded_after_the_loss_crashed_under_another_request(change: ServerChange) {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    detector.on_probe_result(&server("a"), ProbeResult::SameServer, NOW + ms(300), NOW + ms(301));
    assert_eq!(detector.on_server_change(&change, NOW + ms(900)), Vec::new());
}

#[test]
fn a_late_probe_does_not_distinguish_a_server_from_its_next_incarnation() {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    let (found, _) = detector.on_probe_result(
        &server("a"),
        ProbeResult::SameServer,
        NOW + ms(300),
        NOW + ms(301),
    );
    assert_eq!(found, Vec::new());
    let new_incarnation =
        ServerChange::Started(Arc::new(Server { started_at_ms: 2, ..server("a") }));
    assert_eq!(
        detector.on_server_change(&new_incarnation, NOW + ms(900)),
        crash_of_a(CrashEvidence::Restarted)
    );
}

/// Returns another incarnation at the address `10.0.0.N:80` in a zone.
fn start(id: &str, n: u8, zone: &str, started_at_ms: u64) -> Server {
    let address = format!("10.0.0.{n}:80").parse().unwrap();
    Server { address, zone: zone.into(), started_at_ms, ..server(id) }
}

/// A server goes dark under a request: its connection times out, then its row expires.
#[test_case(start("b", 1, "north", 9), 4_500, Some(CrashEvidence::Replaced); "same address")]
#[test_case(start("a", 1, "north", 9), 4_500, Some(CrashEvidence::Restarted); "same id")]
#[test_case(start("a", 2, "south", 9), 4_500, Some(CrashEvidence::Restarted); "same id elsewhere")]
#[test_case(start("b", 2, "north", 9), 4_500, Some(CrashEvidence::Replaced); "another address")]
#[test_case(start("b", 2, "north", 9), 33_599, Some(CrashEvidence::Replaced); "replaced late")]
#[test_case(start("b", 2, "north", 9), 33_600, None; "replaced too late")]
#[test_case(start("b", 2, "south", 9), 4_500, None; "another zone")]
#[test_case(start("a", 1, "north", 1), 4_500, None; "the partition has healed")]
fn a_silent_loss_is_kept_over_the_removal_of_the_row(
    new: Server,
    at_ms: u64,
    evidence: Option<CrashEvidence>,
) {
    let mut detector = with_lost_connection(ConnectionLoss::TimedOut);
    let removed = ServerChange::Removed(Arc::new(server("a")));
    assert_eq!(detector.on_server_change(&removed, NOW + ms(3_600)), Vec::new());
    let is_other_zone = &*new.zone == "south" && evidence.is_none();
    let started = ServerChange::Started(Arc::new(new));
    let found = detector.on_server_change(&started, NOW + ms(at_ms));
    assert_eq!(found, evidence.map(crash_of_a).unwrap_or_default());
    // A crash is returned only once, and what was no evidence leaves the loss pending.
    let other = ServerChange::Started(Arc::new(start("c", 3, "north", 10)));
    let later = detector.on_server_change(&other, NOW + ms(at_ms + 1));
    assert_eq!(later.len(), usize::from(is_other_zone));
}

/// One start replaces one of several silent servers, the one that was removed first.
#[test]
fn a_start_elsewhere_replaces_one_silent_server() {
    let mut detector = CrashDetector::default();
    for (n, id) in [(1, "a"), (2, "b")] {
        let server = start(id, n, "north", 1);
        let lost = (content(id), ConnectionLoss::TimedOut);
        detector.on_connection_lost(&server, false, lost, NOW);
        let removed = ServerChange::Removed(Arc::new(server));
        detector.on_server_change(&removed, NOW + ms(3_600 - u64::from(n)));
    }
    for (n, id) in [(8, "b"), (9, "a")] {
        let started = ServerChange::Started(Arc::new(start(&format!("new-{n}"), n, "north", 9)));
        let found = detector.on_server_change(&started, NOW + ms(4_500));
        assert_eq!(found.iter().map(|crash| crash.content).collect::<Vec<_>>(), [content(id)]);
    }
}

/// Requests in flight at a server share prompt parts, which must not fill the record of the server.
#[test]
fn lost_connections_with_the_same_content_are_recorded_once() {
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    for n in 0..5_000 {
        let (server, shared) = (server("a"), (content("x"), ConnectionLoss::Closed));
        detector.on_connection_lost(&server, false, shared, NOW + ms(n / 50));
    }
    let lost = (content("y"), ConnectionLoss::Closed);
    detector.on_connection_lost(&server("a"), false, lost, NOW + ms(100));
    let probed_at = NOW + ms(120);
    let (found, _) = detector.on_probe_result(&server("a"), ProbeResult::Refused, NOW, probed_at);
    assert_eq!(found.len(), 2);
}

#[test]
fn memory_is_bounded() {
    let mut detector = CrashDetector::default();
    for n in 0..5_000_u64 {
        let server = Server { id: format!("i-{n}").into(), ..server("a") };
        detector.on_connection_lost(&server, false, (content("x"), ConnectionLoss::Closed), NOW);
    }
    let replacement = ServerChange::Started(Arc::new(server("z")));
    assert_eq!(detector.on_server_change(&replacement, NOW).len(), 1_024);
    let mut detector = with_lost_connection(ConnectionLoss::Closed);
    for n in 0..5_000 {
        let (server, content) = (server("a"), content(&n.to_string()));
        detector.on_connection_lost(&server, false, (content, ConnectionLoss::Closed), NOW);
    }
    let (found, _) = detector.on_probe_result(&server("a"), ProbeResult::Refused, NOW, NOW);
    assert_eq!(found.len(), 1_024);
}

/// A crash of an incarnation is attributed to each request at most once, and never to a running
/// incarnation.
#[test]
fn no_crash_is_attributed_twice_or_to_a_running_incarnation() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut detector = CrashDetector::default();
        let (mut now, mut started_at_ms) = (NOW, [1_u64; 3]);
        let mut reported = std::collections::BTreeSet::new();
        let mut loss_count = 0;
        for _ in 0..STEPS {
            now += ms(rng.random_range(0..400));
            let n = rng.random_range(0..started_at_ms.len());
            let address = format!("10.0.0.{n}:80").parse().unwrap();
            let id: Arc<str> = format!("i-{n}").into();
            let of =
                |started_at_ms| Server { id: id.clone(), address, started_at_ms, ..server("a") };
            let found = match rng.random_range(0..4) {
                0 => {
                    loss_count += 1;
                    let loss = (content(&loss_count.to_string()), ConnectionLoss::Closed);
                    match detector.on_connection_lost(&of(started_at_ms[n]), false, loss, now) {
                        LossAction::Crashed(crash) => vec![crash],
                        _ => Vec::new(),
                    }
                }
                1 => {
                    detector
                        .on_probe_result(&of(started_at_ms[n]), ProbeResult::SameServer, now, now)
                        .0
                }
                2 => {
                    detector
                        .on_probe_result(&of(started_at_ms[n]), ProbeResult::TimedOut, now, now)
                        .0
                }
                _ => {
                    started_at_ms[n] += 1;
                    let new_incarnation = ServerChange::Started(Arc::new(of(started_at_ms[n])));
                    detector.on_server_change(&new_incarnation, now)
                }
            };
            for crash in found {
                let current = started_at_ms[crash.server[2..].parse::<usize>().unwrap()];
                assert!(crash.started_at_ms < current, "seed {seed}: {crash:?} is still running");
                assert!(
                    reported.insert((crash.content, crash.server)),
                    "seed {seed}: attributed twice"
                );
            }
        }
    }
}
