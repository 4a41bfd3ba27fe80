//! Messages between hosts of different builds: frames that earlier builds encoded.
//!
//! `frames/frames.txt` holds one frame a line: the commit of the build, the group and the name of the
//! sample in `frames/samples.json`, and the frame in hex. The lines of `format-N` are the updates of
//! feeds in the format with this number.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use guavaspread_entry::peer_message::{FEED_FORMAT, FeedUpdate, PeerRequest, PeerResponse};
use guavaspread_entry::{Feed, FeedBatch, FeedRow};
use guavaspread_fleet::{Catalog, Organisation, Organisations, Quota, QuotaUnit, RequestLimits};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use test_case::test_case;

const FRAMES: &str = include_str!("frames/frames.txt");
const SAMPLES: &str = include_str!("frames/samples.json");

struct Recorded {
    build: &'static str,
    group: &'static str,
    name: &'static str,
    frame: Vec<u8>,
}

fn recorded() -> Vec<Recorded> {
    let recorded = FRAMES.lines().map(|line| {
        let [build, group, name, hex] = line.split(' ').collect::<Vec<_>>().try_into().unwrap();
        let byte = |n: usize| u8::from_str_radix(&hex[n..n + 2], 16).unwrap();
        let frame = (0..hex.len()).step_by(2).map(byte).collect();
        Recorded { build, group, name, frame }
    });
    recorded.collect()
}

fn samples(group: &str) -> Vec<(String, Value)> {
    let samples: Value = serde_json::from_str(SAMPLES).unwrap();
    let group = samples[group].as_object().unwrap();
    group.iter().map(|(name, sample)| (name.clone(), sample.clone())).collect()
}

fn sample(group: &str, name: &str) -> Value {
    samples(group).into_iter().find(|(other, _)| other == name).unwrap().1
}

fn to_hex(frame: &[u8]) -> String {
    frame.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn encode<T: DeserializeOwned + Serialize>(sample: &Value) -> Vec<u8> {
    let message: T = serde_json::from_str(&sample.to_string()).unwrap();
    postcard::to_stdvec(&message).unwrap()
}

fn encode_sample(group: &str, sample: &Value) -> Vec<u8> {
    match group {
        "requests" => encode::<PeerRequest>(sample),
        _ => encode::<PeerResponse>(sample),
    }
}

fn decode(group: &str, frame: &[u8]) -> Result<Value, String> {
    match group {
        "requests" => postcard::from_bytes::<PeerRequest>(frame)
            .map(|message| serde_json::to_value(message).unwrap()),
        _ => postcard::from_bytes::<PeerResponse>(frame)
            .map(|message| serde_json::to_value(message).unwrap()),
    }
    .map_err(|e| e.to_string())
}

/// The builds from before each landing; the last one is the previous landing.
#[test_case("8a5b5c9", 8, 14)]
#[test_case("f99d66a", 8, 14)]
#[test_case("66b4fc0", 9, 16)]
#[test_case("e456f2a", 12, 18)]
#[test_case("66d3419", 13, 21)]
fn messages_of_earlier_builds_keep_their_values(build: &str, requests: usize, responses: usize) {
    let of_build = recorded().into_iter().filter(|frame| frame.build == build);
    let messages: Vec<_> = of_build.filter(|frame| frame.group != "feeds").collect();
    let count = |group| messages.iter().filter(|frame| frame.group == group).count();
    assert_eq!((count("requests"), count("responses")), (requests, responses));
    for Recorded { group, name, frame, .. } in messages {
        let decoded = decode(group, &frame);
        assert_eq!(decoded, Ok(sample(group, name)), "{build} {group} {name}");
    }
}

/// An earlier build ignores what follows the fields that it knows.
#[test]
fn earlier_builds_find_their_fields_at_the_same_places() {
    for Recorded { build, group, name, frame } in recorded() {
        if group != "feeds" {
            let encoded = encode_sample(group, &sample(group, name));
            assert!(encoded.starts_with(&frame), "{build} {group} {name}: {}", to_hex(&encoded));
        }
    }
}

/// A new variant needs a sample, and with it a place at the end of its enum.
#[test]
fn every_message_has_a_sample() {
    const NO_FIELDS: [u8; 200] = [0; 200];
    for group in ["requests", "responses"] {
        let mut kinds: Vec<u8> =
            samples(group).iter().map(|(_, sample)| encode_sample(group, sample)[0]).collect();
        if group == "responses" {
            kinds.push(encode_sample("feeds", &sample("feeds", "heartbeat"))[0]);
        }
        kinds.sort_unstable();
        kinds.dedup();
        assert_eq!(kinds, (0..kinds.len() as u8).collect::<Vec<_>>(), "{group}");
        let next = [&[kinds.len() as u8][..], &NO_FIELDS].concat();
        assert!(decode(group, &next).is_err(), "{group}: a variant has no sample");
    }
}

/// Returns an update with the values that the samples can't express.
fn update_with_organisations() -> Vec<u8> {
    let quota = |unit| Some(Quota { unit, rate_per_s: 2.5, burst: 10.0 });
    let organisation = |name: &str, priority, unit| Organisation {
        name: name.into(),
        priority,
        quota: quota(unit),
    };
    let listed = [
        (organisation("acme", Some(2), QuotaUnit::Tokens { plain: 30 }), vec!["key-1"]),
        (organisation("globex", None, QuotaUnit::Requests), Vec::new()),
    ];
    let (organisations, _) = Organisations::new([7; 16], listed);
    let catalog = Catalog::new(4, RequestLimits::default(), Vec::new(), Vec::new());
    let rows = vec![FeedRow::Catalog(Box::new(catalog.with_organisations(organisations)))];
    let batch = FeedBatch { rows, revision: 9, store_time_ms: 1_700_000_000_000 };
    let batch = Some((Feed::Control, batch));
    let update = FeedUpdate { batch, is_snapshot: false, ages_ms: [40, 900, 3_000] };
    postcard::to_stdvec(&PeerResponse::FeedUpdate(update)).unwrap()
}

/// If this fails because the encoding of an update changed, raise `FEED_FORMAT` and record the lines
/// that the failure prints.
#[test]
fn updates_of_feeds_change_only_with_their_format() {
    let format = format!("format-{FEED_FORMAT}");
    let line = |name: &str, frame: &[u8]| format!("{format} feeds {name} {}", to_hex(frame));
    let mut expected: Vec<String> = samples("feeds")
        .iter()
        .map(|(name, sample)| line(name, &encode_sample("feeds", sample)))
        .collect();
    expected.push(line("organisations", &update_with_organisations()));
    let recorded: Vec<&str> =
        FRAMES.lines().filter(|line| line.split(' ').next() == Some(&format)).collect();
    assert_eq!(recorded, expected, "record:\n{}", expected.join("\n"));
}
