//! Whole events out of a stream that comes in any pieces.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use guavaspread_fleet::EventCutter;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn event(number: u32, end: &str) -> String {
    format!("id: {number}{end}data: piece {number}{end}{end}")
}

/// Streams in random pieces, is lost at a random byte, and goes on behind the last whole event.
#[test]
fn no_event_is_missing_twice_or_cut_wherever_the_stream_is_lost() {
    for seed in 0..10_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = if rng.random_bool(0.2) { "\r\n" } else { "\n" };
        let whole: String = (1..=8).map(|n| event(n, end)).collect();
        let mut cutter = EventCutter::default();
        let mut passed = String::new();
        let mut first = 1;
        for is_last in [false, false, true] {
            let stream: String = (first..=8).map(|n| event(n, end)).collect();
            let lost_at = if is_last { stream.len() } else { rng.random_range(0..=stream.len()) };
            let mut rest = &stream[..lost_at];
            while !rest.is_empty() {
                let (piece, more) = rest.split_at(rng.random_range(1..=rest.len().min(40)));
                let piece = Bytes::copy_from_slice(piece.as_bytes());
                passed += std::str::from_utf8(&cutter.push(&piece)).unwrap();
                rest = more;
            }
            assert!(passed.is_empty() || passed.ends_with(&format!("{end}{end}")), "seed {seed}");
            if is_last {
                passed += std::str::from_utf8(&cutter.finish()).unwrap();
            } else {
                assert!(cutter.may_resume());
                cutter.drop_part();
                first = cutter.last_id().map_or(1, |id| id.parse::<u32>().unwrap() + 1);
            }
        }
        assert_eq!(passed, whole, "seed {seed}");
    }
}

#[test]
fn a_stream_without_ids_is_not_resumed() {
    let mut cutter = EventCutter::default();
    assert!(cutter.may_resume());
    cutter.push(&Bytes::from_static(b"data: one\n\n"));
    assert!(!cutter.may_resume());
}

#[test]
fn an_event_without_end_is_passed_on_and_ends_the_chance_to_resume() {
    let mut cutter = EventCutter::default();
    let piece = Bytes::from(vec![b'x'; 40_000]);
    assert!(cutter.push(&piece).is_empty());
    assert_eq!(cutter.push(&piece).len(), 80_000);
    assert!(!cutter.may_resume());
    assert_eq!(cutter.push(&piece), piece);
}
