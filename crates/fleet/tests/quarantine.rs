//! Content that ends servers: what holds it, what frees it, and how word of it spreads.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{
    Ending, Evidence, HostLease, Passage, Quarantine, SavedContents, counters,
};
use guavaspread_model::ContentId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Duration = Duration::from_secs(1_000);
const SEEDS: u64 = 10_000;
const STEPS: usize = 60;
const HOSTS: usize = 3;
const HOLD: Duration = Duration::from_secs(30);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

fn content(name: &str) -> ContentId {
    ContentId::of(&[name.as_bytes()])
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ending(name: &str, server: &str, born: u64) -> Ending {
    let evidence = Evidence::Refused;
    Ending { content: content(name), server: server.into(), born, evidence }
}

/// Lets `count` servers end under a content, a second apart, the last one now.
fn ended(quarantine: &mut Quarantine, name: &str, count: u64, now: Duration) {
    for n in 0..count {
        let at = now - Duration::from_secs(count - 1 - n);
        assert!(quarantine.on_end(&ending(name, "s", n), at));
    }
}

#[test]
fn content_is_held_behind_the_third_end() {
    let mut quarantine = Quarantine::default();
    for n in 0..2 {
        quarantine.on_end(&ending("x", "s", n), NOW - ms(2_000 - n * 1_000));
        assert_eq!(quarantine.passage(content("x"), NOW), Passage::Open);
    }
    quarantine.on_end(&ending("x", "s", 2), NOW);
    assert_eq!(quarantine.passage(content("x"), NOW + ms(1)), Passage::Held(HOLD - ms(1)));
    assert_eq!(quarantine.held(NOW), 1);
    assert_eq!(quarantine.passage(content("x"), NOW + HOLD), Passage::Trial);
}

/// The pattern of a part of the servers that is lost at once: a request is sent again at once, and
/// meets one after the other (campfire-reg scale-2: three within 0.11 s).
#[test]
fn servers_that_end_together_count_as_two() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        quarantine.on_end(&ending("x", "s", n), NOW + ms(n * 50));
    }
    assert_eq!(quarantine.passage(content("x"), NOW + ms(200)), Passage::Open);
    // A further one tells, whether it comes later or as soon.
    for at in [NOW + ms(150), NOW + ms(3_000)] {
        let mut quarantine = quarantine.clone();
        quarantine.on_end(&ending("x", "s", 3), at);
        assert_eq!(quarantine.passage(content("x"), at), Passage::Held(HOLD));
    }
}

/// A process that has started has no moments from before its start.
#[test]
fn a_hold_is_no_longer_for_a_host_that_has_just_started() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    let note = quarantine.note(content("x"), NOW + ms(20_000)).unwrap();
    let mut started = Quarantine::default();
    started.merge(&note, ms(5));
    assert_eq!(started.passage(content("x"), ms(5)), Passage::Held(HOLD - ms(20_000)));
}

#[test]
fn one_servers_end_counts_once() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 1, NOW);
    for _ in 0..5 {
        assert!(!quarantine.on_end(&ending("x", "s", 0), NOW + ms(5)));
    }
    assert_eq!(quarantine.ends(content("x")), 1);
    // Its next start is another one.
    assert!(quarantine.on_end(&ending("x", "s", 1), NOW));
}

#[test]
fn other_content_is_not_held_with_it() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    assert_eq!(quarantine.passage(content("y"), NOW), Passage::Open);
    let (one, other): (&[&[u8]], &[&[u8]]) = (&[b"caller", b"/path"], &[b"calle", b"r/path"]);
    assert_ne!(ContentId::of(one), ContentId::of(other));
}

#[test]
fn content_that_ran_to_its_end_is_free_at_once_and_everywhere() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    ended(&mut here, "x", 3, NOW);
    there.merge(&here.note(content("x"), NOW).unwrap(), NOW);
    assert!(matches!(there.passage(content("x"), NOW), Passage::Held(_)));
    assert!(here.on_whole(content("x"), NOW + ms(10)));
    assert_eq!(here.passage(content("x"), NOW + ms(10)), Passage::Open);
    // Word of the ends that comes late does not count again.
    let late = there.note(content("x"), NOW + ms(20)).unwrap();
    assert!(!here.merge(&late, NOW + ms(20)));
    assert!(here.knows_more(&late));
    assert!(there.merge(&here.note(content("x"), NOW + ms(20)).unwrap(), NOW + ms(20)));
    assert_eq!(there.passage(content("x"), NOW + ms(20)), Passage::Open);
    assert_eq!(there.ends(content("x")), 0);
}

/// The pattern of a request that a caller sends all day, while servers come and go.
#[test]
fn content_that_runs_to_its_end_between_servers_ends_is_never_held() {
    let mut quarantine = Quarantine::default();
    for n in 0..1_000 {
        let now = NOW + Duration::from_secs(n * 60);
        quarantine.on_end(&ending("x", "s", n), now);
        assert_eq!(quarantine.passage(content("x"), now), Passage::Open, "after {n} ends");
        assert!(quarantine.on_whole(content("x"), now + ms(500)));
        quarantine.expire(now);
    }
    assert!(quarantine.note(content("x"), NOW).unwrap().cleared.len() <= 128);
}

#[test]
fn a_trial_is_granted_once_until_it_is_known_what_came_of_it() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    assert!(!quarantine.grant_trial(content("x"), NOW + HOLD - ms(1)));
    assert!(quarantine.grant_trial(content("x"), NOW + HOLD));
    assert!(!quarantine.grant_trial(content("x"), NOW + HOLD + ms(1)));
    // Who comes meanwhile may come back once that is known.
    let left = Passage::Held(Duration::from_secs(10) - ms(1));
    assert_eq!(quarantine.passage(content("x"), NOW + HOLD + ms(1)), left);
    assert!(!quarantine.grant_trial(content("x"), NOW + HOLD + Duration::from_secs(11)));
    // It ended a server too.
    quarantine.on_end(&ending("x", "s", 9), NOW + HOLD + ms(5));
    let left = Duration::from_secs(300);
    assert_eq!(quarantine.passage(content("x"), NOW + HOLD + ms(5)), Passage::Held(left));
}

#[test]
fn sound_content_under_three_unlucky_servers_is_free_after_its_trial() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    assert!(quarantine.grant_trial(content("x"), NOW + HOLD));
    assert!(quarantine.on_whole(content("x"), NOW + HOLD + ms(40)));
    assert_eq!(quarantine.passage(content("x"), NOW + HOLD + ms(40)), Passage::Open);
}

/// A trial whose caller leaves, or whose host ends, tells nothing; the next one must wait.
#[test]
fn trials_without_a_word_are_rarer_and_rarer() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    let granted = (0..DAY.as_secs())
        .filter(|s| quarantine.grant_trial(content("x"), NOW + Duration::from_secs(*s)))
        .count();
    assert_eq!(granted, 3);
}

#[test]
fn content_that_goes_on_ending_servers_reaches_three_in_a_day() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    let mut reached = 0;
    for s in 0..DAY.as_secs() {
        let now = NOW + Duration::from_secs(s);
        quarantine.expire(now);
        if quarantine.passage(content("x"), now) == Passage::Open
            || quarantine.grant_trial(content("x"), now)
        {
            reached += 1;
            quarantine.on_end(&ending("x", "t", s), now);
        }
    }
    assert_eq!(reached, 3);
}

#[test]
fn a_flood_of_contents_frees_none_that_is_held() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    for n in 0..20_000 {
        quarantine.on_end(&ending(&n.to_string(), "s", n), NOW + ms(n));
    }
    assert!(quarantine.contents().count() <= 4_096);
    assert!(matches!(quarantine.passage(content("x"), NOW + ms(20_000)), Passage::Held(_)));
    for n in 0..1_000 {
        quarantine.on_end(&ending("x", "u", n), NOW);
    }
    assert!(quarantine.note(content("x"), NOW).unwrap().ends.len() <= 64);
}

#[test]
fn what_has_not_come_up_for_long_is_forgotten() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 2, NOW);
    quarantine.expire(NOW + Duration::from_secs(3_599));
    assert!(!quarantine.is_empty());
    quarantine.expire(NOW + Duration::from_secs(3_601));
    assert!(quarantine.is_empty());
}

/// Hosts that hear of each other late, twice, or not for a time end up with the same.
#[test]
fn interleavings_of_word_end_up_the_same_on_all_hosts() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = vec![Quarantine::default(); HOSTS];
        let mut now = NOW;
        for step in 0..STEPS {
            now += ms(rng.random_range(0..50));
            let n = rng.random_range(0..HOSTS);
            match rng.random_range(0..8) {
                0 | 1 => {
                    hosts[n].on_end(&ending("x", "s", rng.random_range(0..6)), now);
                }
                2 if step % 3 == 0 => {
                    hosts[n].on_whole(content("x"), now);
                }
                3 if step % 5 == 0 => hosts[n] = Quarantine::default(),
                _ => {
                    let other = rng.random_range(0..HOSTS);
                    if let Some(note) = hosts[n].note(content("x"), now) {
                        hosts[other].merge(&note, now);
                        assert!(!hosts[other].merge(&note, now), "seed {seed}: news twice");
                    }
                }
            }
        }
        for _ in 0..2 {
            for (n, other) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2)] {
                if let Some(note) = hosts[n].note(content("x"), now) {
                    hosts[other].merge(&note, now);
                }
            }
        }
        let ends: Vec<usize> = hosts.iter().map(|host| host.ends(content("x"))).collect();
        assert!(ends.iter().all(|count| *count == ends[0]), "seed {seed}: {ends:?}");
        let held = hosts.iter().map(|host| host.held(now)).collect::<Vec<_>>();
        assert!(held.iter().all(|count| *count == held[0]), "seed {seed}: {held:?}");
    }
}

#[test]
fn what_is_held_is_written_by_two_hosts_until_it_is_forgotten() {
    let hosts: Vec<HostLease> = (0..4).map(|n| host("a", n)).collect();
    let mut quarantine = Quarantine::default();
    let mut saved = vec![SavedContents::default(); 4];
    let due = |saved: &[SavedContents], quarantine: &Quarantine| -> Vec<usize> {
        let of = |n: usize| saved[n].due(&hosts[n].holder, quarantine.contents(), hosts.iter());
        (0..4).filter(|n| !of(*n).is_empty()).collect()
    };
    ended(&mut quarantine, "x", 2, NOW);
    assert_eq!(due(&saved, &quarantine), Vec::<usize>::new());
    quarantine.on_end(&ending("x", "s", 2), NOW + ms(1_000));
    let writers = due(&saved, &quarantine);
    assert_eq!(writers.len(), 2);
    let known: Vec<_> = quarantine.contents().collect();
    for n in &writers {
        saved[*n].on_written(&known, &[]);
    }
    assert_eq!(due(&saved, &quarantine), Vec::<usize>::new());
    // That it ran to its end after all is written too.
    quarantine.on_whole(content("x"), NOW);
    assert_eq!(due(&saved, &quarantine), writers);
    for saved in &mut saved {
        saved.on_read(content("x"));
    }
    quarantine.expire(NOW + DAY);
    let outdated = |n: usize, saved: &mut [SavedContents]| {
        saved[n].outdated(&hosts[n].holder, &quarantine, hosts.iter())
    };
    let removers: Vec<usize> = (0..4).filter(|n| !outdated(*n, &mut saved).is_empty()).collect();
    assert_eq!(removers, writers);
    saved[writers[0]].on_written(&[], &[content("x")]);
    assert!(saved[writers[0]].is_empty());
}

#[test]
fn a_note_ages() {
    let mut quarantine = Quarantine::default();
    ended(&mut quarantine, "x", 3, NOW);
    let note = quarantine.note(content("x"), NOW + ms(500)).unwrap().aged(ms(1_000));
    let mut other = Quarantine::default();
    other.merge(&note, NOW);
    assert_eq!(other.passage(content("x"), NOW), Passage::Held(HOLD - ms(1_500)));
}

fn host(zone: &str, n: usize) -> HostLease {
    HostLease {
        holder: format!("{zone}-{n}").into(),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: zone.into(),
        link_mbps: 0,
        until_ms: 1,
        revision: 1,
    }
}

#[test]
fn two_hosts_of_each_zone_count_a_content_the_same_by_all_leases() {
    let mut hosts: Vec<HostLease> =
        ["a", "b", "c"].iter().flat_map(|zone| (0..5).map(|n| host(zone, n))).collect();
    hosts.push(host("d", 0));
    let names = |hosts: &[HostLease], name: &str| -> Vec<String> {
        counters(content(name), hosts.iter()).iter().map(|host| host.holder.to_string()).collect()
    };
    let chosen = names(&hosts, "x");
    assert_eq!(chosen.len(), 7);
    for zone in ["a", "b", "c"] {
        assert_eq!(chosen.iter().filter(|name| name.starts_with(zone)).count(), 2);
    }
    let reversed: Vec<HostLease> = hosts.iter().rev().cloned().collect();
    assert_eq!(names(&reversed, "x"), chosen);
    assert_ne!(names(&hosts, "y"), chosen);
    // The end of one that does not count changes nothing.
    let bystander = hosts.iter().position(|host| !chosen.contains(&host.holder.to_string()));
    hosts.remove(bystander.unwrap());
    assert_eq!(names(&hosts, "x"), chosen);
}
