//! Servers' ends, told from connections that merely broke.

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

fn broken(how: Break) -> Endings {
    let mut endings = Endings::default();
    let next = endings.on_broken(&server("a"), false, (content("x"), how), NOW);
    assert_eq!(next, AfterBreak::Probe);
    endings
}

fn of_a(evidence: Evidence) -> Vec<Ending> {
    vec![Ending { content: content("x"), server: "a".into(), born: 1, evidence }]
}

#[test_case(Break::Closed, Probe::Refused, Some(Evidence::Refused); "nobody listens")]
#[test_case(Break::Closed, Probe::Other, Some(Evidence::Replaced); "another server is there")]
#[test_case(Break::Silent, Probe::Refused, Some(Evidence::Refused); "silence, and nobody listens")]
#[test_case(Break::Closed, Probe::Same, None; "it lives")]
#[test_case(Break::Closed, Probe::Silent, None; "it may be cut off")]
fn a_probe_tells_an_end(how: Break, probe: Probe, evidence: Option<Evidence>) {
    let mut endings = broken(how);
    let (found, again) = endings.on_probe(&server("a"), probe, NOW, NOW + ms(2));
    assert_eq!(found, evidence.map(of_a).unwrap_or_default());
    assert_eq!(again.is_some(), probe == Probe::Silent);
}

/// The pattern of a server whose connections close before it stops listening.
#[test]
fn a_server_that_takes_connections_while_it_ends_is_probed_again() {
    let mut endings = broken(Break::Closed);
    let (mut now, mut probes) = (NOW, 0);
    while let (_, Some(at)) = endings.on_probe(&server("a"), Probe::Silent, now, now) {
        assert!(endings.is_in_doubt(content("x")));
        (now, probes) = (at, probes + 1);
    }
    assert_eq!((now - NOW, probes), (ms(350), 3));
    assert!(!endings.is_in_doubt(content("x")));
    // The next break is probed as the first was.
    let next = endings.on_broken(&server("a"), false, (content("y"), Break::Closed), now);
    assert_eq!(next, AfterBreak::Probe);
    let (_, again) = endings.on_probe(&server("a"), Probe::Silent, now, now);
    assert_eq!(again, Some(now + ms(20)));
    let (found, _) = endings.on_probe(&server("a"), Probe::Refused, now + ms(20), now + ms(21));
    assert_eq!(found.len(), 2);
}

#[test_case(Break::Closed, true; "its side closed the connection")]
#[test_case(Break::Silent, false; "it was silent, as one that is cut off")]
fn a_row_that_goes_tells_an_end_of_a_closed_connection(how: Break, ended: bool) {
    let mut endings = broken(how);
    endings.on_probe(&server("a"), Probe::Silent, NOW, NOW + ms(200));
    let gone = RosterChange::Gone(Arc::new(server("a")));
    let found = endings.on_change(&gone, NOW + ms(4_000));
    assert_eq!(found, if ended { of_a(Evidence::RowGone) } else { Vec::new() });
    // It is told once.
    assert_eq!(endings.on_change(&gone, NOW + ms(4_001)), Vec::new());
}

#[test]
fn a_row_that_goes_long_after_is_no_proof() {
    let mut endings = broken(Break::Closed);
    let gone = RosterChange::Gone(Arc::new(server("a")));
    assert_eq!(endings.on_change(&gone, NOW + ms(8_000)), Vec::new());
}

#[test]
fn a_server_that_leaves_as_announced_ends_under_nobody() {
    let mut endings = Endings::default();
    let next = endings.on_broken(&server("a"), true, (content("x"), Break::Closed), NOW);
    assert_eq!(next, AfterBreak::Planned);
    let mut endings = broken(Break::Closed);
    let state = ServerState::Draining { remaining: None };
    let gone = RosterChange::Gone(Arc::new(Server { state, ..server("a") }));
    assert_eq!(endings.on_change(&gone, NOW + ms(100)), Vec::new());
}

#[test_case(Server { born: 2, ..server("a") }, Some(Evidence::Restarted); "anew by its name")]
#[test_case(server("b"), Some(Evidence::Replaced); "another at its address")]
#[test_case(Server { address: "10.0.0.2:80".parse().unwrap(), ..server("b") }, None; "another")]
#[test_case(server("a"), None; "the row of this start, read again")]
fn a_start_tells_an_end(new: Server, evidence: Option<Evidence>) {
    let mut endings = broken(Break::Silent);
    let found = endings.on_change(&RosterChange::Started(Arc::new(new)), NOW + ms(500));
    assert_eq!(found, evidence.map(of_a).unwrap_or_default());
}

#[test]
fn what_breaks_after_an_end_is_put_down_to_it_at_once() {
    let mut endings = broken(Break::Closed);
    endings.on_probe(&server("a"), Probe::Refused, NOW, NOW);
    let next = endings.on_broken(&server("a"), false, (content("y"), Break::Closed), NOW + ms(5));
    assert!(matches!(next, AfterBreak::Ended(ending) if ending.content == content("y")));
    // The next start of the server has not ended.
    let next_start = Server { born: 2, ..server("a") };
    let next = endings.on_broken(&next_start, false, (content("y"), Break::Closed), NOW + ms(6));
    assert_eq!(next, AfterBreak::Probe);
}

#[test]
fn what_breaks_during_a_probe_is_probed_again() {
    let mut endings = broken(Break::Closed);
    let during = (content("y"), Break::Closed);
    let next = endings.on_broken(&server("a"), false, during, NOW + ms(1));
    assert_eq!(next, AfterBreak::Wait);
    assert!(endings.is_in_doubt(content("x")));
    let (_, again) = endings.on_probe(&server("a"), Probe::Same, NOW, NOW + ms(2));
    assert_eq!(again, Some(NOW + ms(2)));
    // The first probe shows that the server outlived the first break, not the second one.
    assert!(!endings.is_in_doubt(content("x")) && endings.is_in_doubt(content("y")));
    let (found, _) = endings.on_probe(&server("a"), Probe::Refused, NOW + ms(2), NOW + ms(3));
    assert_eq!(found.iter().map(|ending| ending.content).collect::<Vec<_>>(), [content("y")]);
}

#[test_case(RosterChange::Gone(Arc::new(server("a"))); "its row goes")]
#[test_case(RosterChange::Started(Arc::new(server("b"))); "another server takes its address")]
fn a_server_that_answered_later_ended_under_others(change: RosterChange) {
    let mut endings = broken(Break::Closed);
    endings.on_probe(&server("a"), Probe::Same, NOW + ms(300), NOW + ms(301));
    assert_eq!(endings.on_change(&change, NOW + ms(900)), Vec::new());
}

#[test]
fn a_probe_that_comes_late_does_not_tell_a_server_from_its_next_start() {
    let mut endings = broken(Break::Closed);
    let (found, _) = endings.on_probe(&server("a"), Probe::Same, NOW + ms(300), NOW + ms(301));
    assert_eq!(found, Vec::new());
    let anew = RosterChange::Started(Arc::new(Server { born: 2, ..server("a") }));
    assert_eq!(endings.on_change(&anew, NOW + ms(900)), of_a(Evidence::Restarted));
}

#[test]
fn memory_is_bounded() {
    let mut endings = Endings::default();
    for n in 0..5_000_u64 {
        let server = Server { id: format!("i-{n}").into(), ..server("a") };
        endings.on_broken(&server, false, (content("x"), Break::Closed), NOW);
    }
    let anew = RosterChange::Started(Arc::new(server("z")));
    assert_eq!(endings.on_change(&anew, NOW).len(), 1_024);
    let mut endings = broken(Break::Closed);
    for n in 0..1_000 {
        let (server, content) = (server("a"), content(&n.to_string()));
        endings.on_broken(&server, false, (content, Break::Closed), NOW);
    }
    assert_eq!(endings.on_probe(&server("a"), Probe::Refused, NOW, NOW).0.len(), 256);
}

/// Each request is told at most once of a start, and of no start that the steps did not end.
#[test]
fn interleavings_put_no_end_down_twice_or_to_a_start_that_lives() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut endings = Endings::default();
        let (mut now, mut born) = (NOW, [1_u64; 3]);
        let mut told = std::collections::BTreeSet::new();
        let mut broke = 0;
        for _ in 0..STEPS {
            now += ms(rng.random_range(0..400));
            let n = rng.random_range(0..born.len());
            let address = format!("10.0.0.{n}:80").parse().unwrap();
            let id: Arc<str> = format!("i-{n}").into();
            let of = |born| Server { id: id.clone(), address, born, ..server("a") };
            let found = match rng.random_range(0..4) {
                0 => {
                    broke += 1;
                    let broken = (content(&broke.to_string()), Break::Closed);
                    match endings.on_broken(&of(born[n]), false, broken, now) {
                        AfterBreak::Ended(ending) => vec![ending],
                        _ => Vec::new(),
                    }
                }
                1 => endings.on_probe(&of(born[n]), Probe::Same, now, now).0,
                2 => endings.on_probe(&of(born[n]), Probe::Silent, now, now).0,
                _ => {
                    born[n] += 1;
                    let anew = RosterChange::Started(Arc::new(of(born[n])));
                    endings.on_change(&anew, now)
                }
            };
            for ending in found {
                let current = born[ending.server[2..].parse::<usize>().unwrap()];
                assert!(ending.born < current, "seed {seed}: {ending:?} lives");
                assert!(told.insert((ending.content, ending.server)), "seed {seed}: told twice");
            }
        }
    }
}
