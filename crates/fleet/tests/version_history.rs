//! Tests that the version of a stream is never mistaken, whatever hosts and servers do.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{FirstVersion, HistoryReads, VersionCounts, VersionHistory, VersionStart};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const AGE_MAX_MS: u64 = 1_000;

fn counts(text: &str) -> VersionCounts {
    let count = |item: &str| {
        let (version, count) = item.split_once('=').unwrap();
        (version.into(), count.parse().unwrap())
    };
    text.split_whitespace().map(count).collect()
}

fn history(versions: &str) -> VersionHistory {
    let starts = versions.split_whitespace().zip((0..).step_by(500));
    let starts =
        starts.map(|(version, since_ms)| VersionStart { version: version.into(), since_ms });
    starts.collect::<Vec<_>>().into()
}

#[test_case("", "v1=3" => Some("v1".to_owned()); "the first version")]
#[test_case("", "" => None; "no server")]
#[test_case("v1", "v1=5 v2=4" => None; "a second version")]
#[test_case("v1", "v1=3 v2=6" => None; "a third of the servers")]
#[test_case("v1", "v1=2 v2=5" => Some("v2".to_owned()); "less than a third")]
#[test_case("v1", "v1=1 v2=2" => Some("v2".to_owned()); "a sole server")]
#[test_case("v1", "v1=1 v2=1" => None; "two sole servers")]
#[test_case("v1", "v2=1" => Some("v2".to_owned()); "none left")]
#[test_case("v1", "" => None; "none of any version left")]
#[test_case("v1", "v2=2 v3=4" => Some("v3".to_owned()); "the most servers")]
fn streams_begin_at_a_version_that_can_continue_them(known: &str, ready: &str) -> Option<String> {
    let next = history(known).next(&counts(ready), AGE_MAX_MS, 10_000);
    next.map(|next| next.current().unwrap().to_string())
}

#[test_case("v1", 0 => "v1"; "one version")]
#[test_case("v1 v2", 1_499 => "v1 v2"; "within the age of a stream")]
#[test_case("v1 v2", 1_500 => "v2"; "after it")]
#[test_case("v1 v2 v1", 2_100 => "v1"; "back again")]
#[test_case("v1 v2 v1", 1_900 => "v1 v2"; "back again for a short time")]
fn a_stream_began_at_a_recent_version(known: &str, now_ms: u64) -> String {
    history(known).possible(AGE_MAX_MS, now_ms).join(" ")
}

#[test_case("v1", None, None => FirstVersion::ReadHistory; "never read")]
#[test_case("v1", Some(999), None => FirstVersion::ReadHistory; "read before")]
#[test_case("v1", Some(1_000), None => FirstVersion::Known("v1".into()); "read since")]
#[test_case("v1", Some(1_000), Some(1_500) => FirstVersion::Known("v1".into()); "failed after")]
#[test_case("v1", Some(999), Some(1_001) => FirstVersion::AskHosts; "failed")]
#[test_case("v1", None, Some(1_001) => FirstVersion::AskHosts; "failed and never read")]
#[test_case("v1", Some(999), Some(1_000) => FirstVersion::ReadHistory; "failed long before")]
#[test_case("", None, None => FirstVersion::ReadHistory; "no version, never read")]
#[test_case("", Some(1_000), None => FirstVersion::AskHosts; "no version")]
#[test_case("", None, Some(1_001) => FirstVersion::AskHosts; "no version, failed")]
#[test_case("v1 v2", Some(1_000), None => FirstVersion::AskHosts; "two versions")]
#[test_case("v1 v2", Some(999), None => FirstVersion::AskHosts; "two versions, read before")]
fn a_sole_version_has_to_be_confirmed_after_the_stream_was_taken_up(
    possible: &str,
    sent_at_ms: Option<u64>,
    retry_at_ms: Option<u64>,
) -> FirstVersion {
    let possible: Vec<Arc<str>> = possible.split_whitespace().map(Into::into).collect();
    let mut reads = HistoryReads::default();
    if let Some(sent_at_ms) = sent_at_ms {
        reads.on_read(Duration::from_millis(sent_at_ms));
    }
    if let Some(retry_at_ms) = retry_at_ms {
        reads.on_read_failed(Duration::from_millis(retry_at_ms));
    }
    reads.first_version(&possible, Duration::from_millis(1_000))
}

/// A host's copy of the store's row.
#[derive(Clone, Default)]
struct Copy {
    history: VersionHistory,
    revision: u64,
    read_at: u64,
}

/// Hosts read the row at different times and write it when they see fit; streams begin at any host
/// and are taken up at another one, or at one that has just started.
#[test]
fn no_stream_is_taken_for_one_of_another_version() {
    const STALE_MAX_MS: u64 = 400;
    const STREAM_MAX_MS: u64 = AGE_MAX_MS - STALE_MAX_MS;
    let (mut resolved, mut ambiguous) = (0, 0);
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = Copy::default();
        let mut hosts = vec![Copy::default(); 4];
        let mut ready = counts("v1=3");
        let mut streams: Vec<(u64, Arc<str>)> = Vec::new();
        for now in (0..6_000).step_by(20) {
            for host in &mut hosts {
                if now >= host.read_at + STALE_MAX_MS || rng.random_bool(0.1) {
                    *host = Copy { read_at: now, ..store.clone() };
                }
            }
            if rng.random_bool(0.03) {
                let version = ["v1", "v2", "v3"][rng.random_range(0..3)];
                ready.insert(version.into(), rng.random_range(0..5));
                ready.retain(|_, count| *count > 0);
            }
            let host = &mut hosts[rng.random_range(0..4)];
            if let Some(next) = host.history.next(&ready, AGE_MAX_MS, now)
                && host.revision == store.revision
            {
                store = Copy { history: next, revision: store.revision + 1, read_at: 0 };
                *host = Copy { read_at: now, ..store.clone() };
            }
            if let Some(version) = host.history.current() {
                streams.push((now, version.clone()));
            }
            streams.retain(|(began, _)| now <= began + STREAM_MAX_MS);
            for (_, version) in &streams {
                // A host that takes a stream up reads the store first.
                match &*store.history.possible(AGE_MAX_MS, now) {
                    [] => {}
                    [sole] => {
                        assert_eq!(sole, version, "seed {seed} at {now} ms");
                        resolved += 1;
                    }
                    _ => ambiguous += 1,
                }
            }
        }
    }
    assert!(resolved > ambiguous, "{resolved} resolved, {ambiguous} ambiguous");
}
