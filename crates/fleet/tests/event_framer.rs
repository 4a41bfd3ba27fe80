//! Tests the splitting of a stream that arrives in arbitrary chunks into complete events.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use guavaspread_fleet::StreamPosition::{self, BetweenEvents, InsideEvent, Start};
use guavaspread_fleet::{EventBuffers, EventFramer, EventScanner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn event(number: u32, end: &str) -> String {
    format!("id: {number}{end}data: piece {number}{end}{end}")
}

/// Sends the stream in random chunks, breaks it at a random byte and resumes after the last event.
#[test]
fn no_event_is_lost_duplicated_or_split_wherever_the_stream_breaks() {
    for seed in 0..10_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = ["\n", "\n", "\n", "\r\n", "\r"][rng.random_range(0..5)];
        let expected: String = (1..=8).map(|n| event(n, end)).collect();
        let mut framer = EventFramer::default();
        let mut forwarded = String::new();
        let mut first = 1;
        for is_last in [false, false, true] {
            let stream: String = (first..=8).map(|n| event(n, end)).collect();
            let breaks_at = if is_last { stream.len() } else { rng.random_range(0..=stream.len()) };
            let mut unsent = &stream[..breaks_at];
            while !unsent.is_empty() {
                let (chunk, remaining) =
                    unsent.split_at(rng.random_range(1..=unsent.len().min(40)));
                let chunk = Bytes::copy_from_slice(chunk.as_bytes());
                forwarded += std::str::from_utf8(&framer.push(&chunk).unwrap()).unwrap();
                unsent = remaining;
            }
            assert!(
                forwarded.is_empty() || forwarded.ends_with(&format!("{end}{end}")),
                "seed {seed}"
            );
            if is_last {
                forwarded += std::str::from_utf8(&framer.finish()).unwrap();
            } else {
                assert!(framer.can_resume());
                framer.discard_partial();
                first = framer.last_id().map_or(1, |id| id.parse::<u32>().unwrap() + 1);
            }
        }
        assert_eq!(forwarded, expected, "seed {seed}");
    }
}

#[test_case("id: 1\ndata: again\n\n"; "an event that was forwarded")]
#[test_case("id: 4\ndata: later\n\n"; "an event after a gap")]
#[test_case("data: three\n\n"; "an event without an id")]
fn a_stream_continues_after_its_last_event_when_a_server_was_rejected(rejected: &'static str) {
    let mut framer = EventFramer::default();
    let events = event(1, "\n") + &event(2, "\n");
    assert_eq!(framer.push(&events.clone().into()), Some(events.into()));
    framer.discard_partial();
    assert_eq!(framer.push(&Bytes::from_static(rejected.as_bytes())), None);
    framer.discard_partial();
    assert_eq!((framer.can_resume(), framer.last_id()), (true, Some("2")));
    let next = Bytes::from(event(3, "\n"));
    assert_eq!(framer.push(&next), Some(next));
}

#[test]
fn a_rejected_server_leaves_a_stream_of_a_caller_resumable() {
    let mut framer = EventFramer::after(Some("2"));
    assert_eq!(framer.push(&event(1, "\n").into()), None);
    framer.discard_partial();
    assert!(framer.can_resume() && framer.last_id().is_none());
    assert!(framer.push(&event(3, "\n").into()).is_some());
}

#[test]
fn a_stream_without_ids_is_not_resumable() {
    let mut framer = EventFramer::default();
    assert!(framer.can_resume());
    framer.push(&Bytes::from_static(b"data: one\n\n"));
    assert!(!framer.can_resume());
}

#[test]
fn an_oversized_event_is_forwarded_and_makes_the_stream_unresumable() {
    let mut framer = EventFramer::default();
    let chunk = Bytes::from(vec![b'x'; 40_000]);
    assert!(framer.push(&chunk).unwrap().is_empty());
    assert_eq!(framer.push(&chunk).unwrap().len(), 80_000);
    assert!(!framer.can_resume());
    assert_eq!(framer.push(&chunk), Some(chunk));
}

/// Guards against streams that each stay below the limit of an event and together take all memory.
#[test]
fn many_incomplete_events_share_one_limit() {
    const STREAMS: usize = 4_000;
    const TOTAL_MAX: usize = 16 * 1_024 * 1_024;
    let all = EventBuffers::default();
    let chunk = Bytes::from(vec![b'x'; 30_000]);
    let mut framers: Vec<EventFramer> =
        (0..STREAMS).map(|_| EventFramer::default().sharing(&all)).collect();
    let mut buffered = 0;
    for framer in &mut framers {
        buffered += chunk.len() - framer.push(&chunk).unwrap().len();
    }
    assert!(buffered <= TOTAL_MAX, "{buffered} bytes are buffered");
    assert!(framers[0].can_resume() && !framers[STREAMS - 1].can_resume());
    // Complete, discarded and dropped events make room again.
    framers[0].push(&Bytes::from_static(b"\n\n")).unwrap();
    framers[1].discard_partial();
    framers[2].finish();
    framers.remove(3);
    for _ in 0..4 {
        let mut further = EventFramer::default().sharing(&all);
        assert!(further.push(&chunk).unwrap().is_empty());
        framers.push(further);
    }
    assert_eq!(EventFramer::default().sharing(&all).push(&chunk), Some(chunk));
}

#[test_case(&[] => Start; "nothing")]
#[test_case(&[": a comment\n\n"] => Start; "a comment")]
#[test_case(&["data: a\n\n"] => between(1); "one event")]
#[test_case(&["data: a\n\n: a comment\n"] => between(1); "an event and a comment")]
#[test_case(&["data: a\r\n\r\n"] => between(1); "line breaks of two bytes")]
#[test_case(&["data: a\r\rdata: b\r\r"] => between(2); "line breaks of CR alone")]
#[test_case(&["data: a\n\r\n"] => between(1); "line breaks of both kinds")]
#[test_case(&["data: a", "\n", "\n"] => between(1); "an end in pieces")]
#[test_case(&["data: a\r", "\n\r", "", "\n"] => between(1); "an end of four bytes in pieces")]
#[test_case(&["data: a\n\n", "data: b\n"] => InsideEvent; "a line of the second event")]
#[test_case(&["data: a\n\n", "d"] => InsideEvent; "a byte of the second event")]
#[test_case(&["data: a\n\n", ": a comm"] => InsideEvent; "a part of a comment")]
#[test_case(&["data: a\r\n\r"] => InsideEvent; "half of a line break")]
fn a_stream_has_a_position(pieces: &[&str]) -> StreamPosition {
    let mut scanner = EventScanner::default();
    for piece in pieces {
        scanner.push(piece.as_bytes());
    }
    let mut by_bytes = EventScanner::default();
    for byte in pieces.concat().bytes() {
        by_bytes.push(&[byte]);
    }
    assert_eq!(by_bytes.position(), scanner.position());
    scanner.position()
}

fn between(events: u64) -> StreamPosition {
    BetweenEvents(events.try_into().unwrap())
}
