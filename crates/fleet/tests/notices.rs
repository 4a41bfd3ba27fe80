//! What servers say of themselves, against rows that lag and answers that come late.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{Notices, Pick, Placement, Said, Server, ServerState, Standing};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 10_000;
const STEPS: usize = 60;
const IDS: [&str; 3] = ["a", "b", "c"];
const NOW: Duration = Duration::from_secs(10);
const LEAVES: Said = Said { is_leaving: true, wait: None };

fn busy(ms: u64) -> Said {
    Said { is_leaving: false, wait: Some(Duration::from_millis(ms)) }
}

fn placement(ids: &[&str]) -> Placement {
    let mut placement = Placement::new("north".into());
    for id in ids {
        placement.upsert(Arc::new(server(id)));
    }
    placement
}

#[test]
fn a_server_that_leaves_gets_nothing_though_its_row_says_ready() {
    let mut placement = placement(&["a", "b"]);
    assert!(placement.on_answer(&server("a"), LEAVES, NOW));
    assert!(!placement.on_answer(&server("a"), LEAVES, NOW));
    // The row is read again, as it was.
    placement.upsert(Arc::new(server("a")));
    for n in 0..10 {
        let Pick::Server(_, picked) = placement.pick_plain("drafter", &[], NOW * (n + 1)) else {
            panic!("no server")
        };
        assert_eq!(&*picked.id, "b");
    }
    placement.on_answer(&server("b"), LEAVES, NOW);
    assert_eq!(placement.pick_plain("drafter", &[], NOW), Pick::None(None));
    assert!(!placement.serves_any(NOW));
    // Its row goes and comes, as while the store is away.
    placement.remove("a");
    placement.upsert(Arc::new(server("a")));
    assert_eq!(placement.pick_plain("drafter", &[], NOW), Pick::None(None));
    placement.upsert(Arc::new(Server { born: 2, ..server("a") }));
    assert!(matches!(placement.pick_plain("drafter", &[], NOW), Pick::Server(..)));
}

#[test]
fn a_server_that_wants_nothing_is_left_alone_for_so_long() {
    let mut placement = placement(&["a", "b"]);
    placement.on_answer(&server("a"), busy(800), NOW);
    placement.on_answer(&server("b"), busy(500), NOW);
    placement.on_answer(&server("b"), busy(100), NOW);
    let until = NOW + Duration::from_millis(500);
    assert_eq!(placement.pick_plain("drafter", &[], NOW), Pick::None(Some(until)));
    // The host stays in rotation: others would be turned away just so.
    assert!(placement.serves_any(NOW));
    let picked = placement.pick_plain("drafter", &[], until);
    assert!(matches!(picked, Pick::Server(_, server) if &*server.id == "b"));
}

#[test]
fn a_wait_without_bound_is_cut() {
    let mut notices = Notices::default();
    notices.on_answer(&server("a"), busy(3_600_000), NOW);
    assert!(matches!(notices.standing(&server("a"), NOW), Standing::HeldUntil(_)));
    let later = NOW + Duration::from_secs(61);
    assert_eq!(notices.standing(&server("a"), later), Standing::Open);
}

/// What one start of a server has said to this host.
#[derive(Default)]
struct Told {
    leaves: bool,
    held_until: Duration,
}

/// Plays one seed; returns how a server was used against its word, or not used any more.
fn play(seed: u64) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut notices = Notices::default();
    let mut now = NOW;
    let mut born: BTreeMap<&str, u64> = IDS.iter().map(|id| (*id, 1)).collect();
    let mut told: BTreeMap<(&str, u64), Told> = BTreeMap::new();
    // Answers under way, each of the start that gave it.
    let mut answers: Vec<(&str, u64, Said)> = Vec::new();
    for _ in 0..STEPS {
        now += Duration::from_millis(rng.random_range(1..400));
        let id = IDS[rng.random_range(0..IDS.len())];
        match rng.random_range(0..10) {
            0 => *born.get_mut(id).unwrap() += rng.random_range(1..3),
            1..=4 => {
                let said = match rng.random_range(0..3) {
                    0 => LEAVES,
                    1 => busy(rng.random_range(1..3_000)),
                    _ => Said::default(),
                };
                answers.push((id, born[id], said));
            }
            _ if !answers.is_empty() => {
                let (id, born, said) = answers.swap_remove(rng.random_range(0..answers.len()));
                notices.on_answer(&Server { born, ..server(id) }, said, now);
                let told = told.entry((id, born)).or_default();
                told.leaves |= said.is_leaving;
                told.held_until = told.held_until.max(now + said.wait.unwrap_or_default());
            }
            _ => {}
        }
        for id in IDS {
            // The row may show any start up to the newest.
            for born in 1..=born[id] {
                let row = Server { born, ..server(id) };
                let standing = notices.standing(&row, now);
                let newer = told.range((id, born + 1)..=(id, u64::MAX));
                let is_over = newer.into_iter().any(|(_, t)| t.leaves || t.held_until > NOW);
                let known = told.get(&(id, born));
                let against = known.is_some_and(|t| t.leaves || t.held_until > now);
                if standing == Standing::Open && against {
                    return Some(format!("seed {seed}: {id} born {born} is used against its word"));
                }
                let silent = known.is_none_or(|t| !t.leaves && t.held_until <= now);
                if standing != Standing::Open && silent && !is_over {
                    return Some(format!("seed {seed}: {id} born {born} is left without a word"));
                }
            }
        }
    }
    None
}

#[test]
fn what_a_start_said_holds_for_it_alone_however_answers_overtake() {
    let wrong: Vec<String> = (0..SEEDS).filter_map(play).collect();
    assert!(wrong.is_empty(), "{} of {SEEDS}: {}", wrong.len(), wrong[0]);
}

#[test]
fn a_row_that_drains_counts_as_leaving() {
    let draining = ServerState::Draining { remaining: None };
    let row = Server { state: draining, ..server("a") };
    assert_eq!(placement(&["a"]).standing(&row, NOW), Standing::Leaving);
}
