//! Detection of server crashes among lost connections.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{
    AfterBreak, Break, Ending, Endings, Evidence, Probe, RosterChange, Server, ServerState,
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

fn with_lost_connection(loss: Break) -> Endings {
    let mut endings = Endings::default();
    let next = endings.on_broken(&server("a"), false, (content("x"), loss), NOW);
    assert_eq!(next, AfterBreak::Probe);
    endings
}

fn crash_of_a(evidence: Evidence) -> Vec<Ending> {
    vec![Ending { content: content("x"), server: "a".into(), born: 1, evidence }]
}

#[test_case(Break::Closed, Probe::Refused, Some(Evidence::Refused); "connection refused")]
#[test_case(Break::Closed, Probe::Other, Some(Evidence::Replaced); "another server responds")]
#[test_case(Break::Silent, Probe::Refused, Some(Evidence::Refused); "timeout, then refused")]
#[test_case(Break::Closed, Probe::Same, None; "the same server responds")]
#[test_case(Break::Closed, Probe::Silent, None; "it may be partitioned")]
fn a_probe_result_decides_whether_a_server_crashed(
    loss: Break,
    probe: Probe,
    evidence: Option<Evidence>,
) {
    let mut endings = with_lost_connection(loss);
    let (found, again) = endings.on_probe(&server("a"), probe, NOW, NOW + ms(2));
    assert_eq!(found, evidence.map(crash_of_a).unwrap_or_default());
    assert_eq!(again.is_some(), probe == Probe::Silent);
}

/// Guards against a crash that a single probe misses: the server's connections close before it
/// stops listening.
#[test]
fn a_server_that_accepts_connections_while_it_crashes_is_probed_again() {
    let mut endings = with_lost_connection(Break::Closed);
    let (mut now, mut probes) = (NOW, 0);
    while let (_, Some(at)) = endings.on_probe(&server("a"), Probe::Silent, now, now) {
        assert!(endings.is_in_doubt(content("x")));
        (now, probes) = (at, probes + 1);
    }
    assert_eq!((now - NOW, probes), (ms(350), 3));
    assert!(!endings.is_in_doubt(content("x")));
    // The next lost connection is probed like the first one.
    let next = endings.on_broken(&server("a"), false, (content("y"), Break::Closed), now);
    assert_eq!(next, AfterBreak::Probe);
    let (_, again) = endings.on_probe(&server("a"), Probe::Silent, now, now);
    assert_eq!(again, Some(now + ms(20)));
    let (found, _) = endings.on_probe(&server("a"), Probe::Refused, now + ms(20), now + ms(21));
    assert_eq!(found.len(), 2);
}

#[test_case(Break::Closed, true; "the server closed the connection")]
#[test_case(Break::Silent, false; "the connection timed out, as in a partition")]
fn a_removed_row_proves_a_crash_only_after_a_closed_connection(loss: Break, is_crash: bool) {
    let mut endings = with_lost_connection(loss);
    endings.on_probe(&server("a"), Probe::Silent, NOW, NOW + ms(200));
    let gone = RosterChange::Gone(Arc::new(server("a")));
    let found = endings.on_change(&gone, NOW + ms(4_000));
    assert_eq!(found, if is_crash { crash_of_a(Evidence::RowGone) } else { Vec::new() });
    // Each crash is returned only once.
    assert_eq!(endings.on_change(&gone, NOW + ms(4_001)), Vec::new());
}

#[test]
fn a_row_removed_long_after_the_connection_loss_is_no_evidence() {
    let mut endings = with_lost_connection(Break::Closed);
    let gone = RosterChange::Gone(Arc::new(server("a")));
    assert_eq!(endings.on_change(&gone, NOW + ms(8_000)), Vec::new());
}

#[test]
fn an_announced_shutdown_is_attributed_to_no_request() {
    let mut endings = Endings::default();
    let next = endings.on_broken(&server("a"), true, (content("x"), Break::Closed), NOW);
    assert_eq!(next, AfterBreak::Planned);
    let mut endings = with_lost_connection(Break::Closed);
    let state = ServerState::Draining { remaining: None };
    let gone = RosterChange::Gone(Arc::new(Server { state, ..server("a") }));
    assert_eq!(endings.on_change(&gone, NOW + ms(100)), Vec::new());
}

#[test_case(Server { born: 2, ..server("a") }, Some(Evidence::Restarted); "new incarnation")]
#[test_case(server("b"), Some(Evidence::Replaced); "another server at its address")]
#[test_case(Server { address: "10.0.0.2:80".parse().unwrap(), ..server("b") }, None; "unrelated")]
#[test_case(server("a"), None; "the row of the same incarnation, read again")]
fn a_start_with_the_same_id_or_address_proves_a_crash(new: Server, evidence: Option<Evidence>) {
    let mut endings = with_lost_connection(Break::Silent);
    let found = endings.on_change(&RosterChange::Started(Arc::new(new)), NOW + ms(500));
    assert_eq!(found, evidence.map(crash_of_a).unwrap_or_default());
}

#[test]
fn a_connection_lost_after_a_known_crash_is_attributed_at_once() {
    let mut endings = with_lost_connection(Break::Closed);
    endings.on_probe(&server("a"), Probe::Refused, NOW, NOW);
    let next = endings.on_broken(&server("a"), false, (content("y"), Break::Closed), NOW + ms(5));
    assert!(matches!(next, AfterBreak::Ended(ending) if ending.content == content("y")));
    // The next incarnation of the server has not crashed.
    let newer = Server { born: 2, ..server("a") };
    let next = endings.on_broken(&newer, false, (content("y"), Break::Closed), NOW + ms(6));
    assert_eq!(next, AfterBreak::Probe);
}

#[test]
fn a_connection_lost_during_a_probe_is_probed_again() {
    let mut endings = with_lost_connection(Break::Closed);
    let during = (content("y"), Break::Closed);
    let next = endings.on_broken(&server("a"), false, during, NOW + ms(1));
    assert_eq!(next, AfterBreak::Wait);
    assert!(endings.is_in_doubt(content("x")));
    let (_, again) = endings.on_probe(&server("a"), Probe::Same, NOW, NOW + ms(2));
    assert_eq!(again, Some(NOW + ms(2)));
    // The first probe shows that the server survived the first connection loss, but nothing
    // about the second.
    assert!(!endings.is_in_doubt(content("x")) && endings.is_in_doubt(content("y")));
    let (found, _) = endings.on_probe(&server("a"), Probe::Refused, NOW + ms(2), NOW + ms(3));
    assert_eq!(found.iter().map(|ending| ending.content).collect::<Vec<_>>(), [content("y")]);
}

#[test_case(RosterChange::Gone(Arc::new(server("a"))); "its row is removed")]
#[test_case(RosterChange::Started(Arc::new(server("b"))); "another server takes its address")]
fn a_server_that_responded_after_the_loss_crashed_under_another_request(change: RosterChange) {
    let mut endings = with_lost_connection(Break::Closed);
    endings.on_probe(&server("a"), Probe::Same, NOW + ms(300), NOW + ms(301));
    assert_eq!(endings.on_change(&change, NOW + ms(900)), Vec::new());
}

#[test]
fn a_late_probe_does_not_distinguish_a_server_from_its_next_incarnation() {
    let mut endings = with_lost_connection(Break::Closed);
    let (found, _) = endings.on_probe(&server("a"), Probe::Same, NOW + ms(300), NOW + ms(301));
    assert_eq!(found, Vec::new());
    let new_incarnation = RosterChange::Started(Arc::new(Server { born: 2, ..server("a") }));
    assert_eq!(endings.on_change(&new_incarnation, NOW + ms(900)), crash_of_a(Evidence::Restarted));
}

#[test]
fn memory_is_bounded() {
    let mut endings = Endings::default();
    for n in 0..5_000_u64 {
        let server = Server { id: format!("i-{n}").into(), ..server("a") };
        endings.on_broken(&server, false, (content("x"), Break::Closed), NOW);
    }
    let replacement = RosterChange::Started(Arc::new(server("z")));
    assert_eq!(endings.on_change(&replacement, NOW).len(), 1_024);
    let mut endings = with_lost_connection(Break::Closed);
    for n in 0..1_000 {
        let (server, content) = (server("a"), content(&n.to_string()));
        endings.on_broken(&server, false, (content, Break::Closed), NOW);
    }
    assert_eq!(endings.on_probe(&server("a"), Probe::Refused, NOW, NOW).0.len(), 256);
}

/// A crash of an incarnation is attributed to each request at most once, and never to a running
/// incarnation.
#[test]
fn no_crash_is_attributed_twice_or_to_a_running_incarnation() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut endings = Endings::default();
        let (mut now, mut born) = (NOW, [1_u64; 3]);
        let mut reported = std::collections::BTreeSet::new();
        let mut loss_count = 0;
        for _ in 0..STEPS {
            now += ms(rng.random_range(0..400));
            let n = rng.random_range(0..born.len());
            let address = format!("10.0.0.{n}:80").parse().unwrap();
            let id: Arc<str> = format!("i-{n}").into();
            let of = |born| Server { id: id.clone(), address, born, ..server("a") };
            let found = match rng.random_range(0..4) {
                0 => {
                    loss_count += 1;
                    let loss = (content(&loss_count.to_string()), Break::Closed);
                    match endings.on_broken(&of(born[n]), false, loss, now) {
                        AfterBreak::Ended(ending) => vec![ending],
                        _ => Vec::new(),
                    }
                }
                1 => endings.on_probe(&of(born[n]), Probe::Same, now, now).0,
                2 => endings.on_probe(&of(born[n]), Probe::Silent, now, now).0,
                _ => {
                    born[n] += 1;
                    let new_incarnation = RosterChange::Started(Arc::new(of(born[n])));
                    endings.on_change(&new_incarnation, now)
                }
            };
            for ending in found {
                let current = born[ending.server[2..].parse::<usize>().unwrap()];
                assert!(ending.born < current, "seed {seed}: {ending:?} is still running");
                assert!(
                    reported.insert((ending.content, ending.server)),
                    "seed {seed}: attributed twice"
                );
            }
        }
    }
}
