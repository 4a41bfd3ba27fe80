//! Tests the scheduling of prefills, against an engine with chunked prefill.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{PrefillAdmission, PrefillQueue, Prompt, PromptKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Maximum number of prompt tokens that the engine processes in one step.
const CHUNK_TOKENS_MAX: f64 = 2_048.0;
/// Round trip between the engine and its owner, in milliseconds.
const ROUND_TRIP_MS: f64 = 4.0;
/// Steps of one stream: 57 events of three tokens.
const STREAM_STEPS: usize = 171;

/// The properties of an engine and its load, from the specifications of the production sites.
#[derive(Clone, Copy)]
struct EngineProfile {
    /// Duration of a step without a prompt, in milliseconds.
    step_ms: f64,
    /// Prompt tokens processed per millisecond.
    rate: f64,
    /// Tokens per event.
    event_tokens: usize,
    /// Longest allowed pause, in milliseconds.
    pause: f64,
    /// Requests per second, and the range of their prompt tokens.
    requests_per_s: f64,
    tokens: (u32, u32),
}

/// An engine under the load of the busiest days of campfire-reg.
const HIGH_LOAD: EngineProfile = EngineProfile {
    step_ms: 10.0,
    rate: 19.1,
    event_tokens: 3,
    pause: 300.0,
    requests_per_s: 8.0,
    tokens: (300, 2_300),
};
/// An engine of the large site: fast, with some very long prompts.
const FAST: EngineProfile = EngineProfile {
    step_ms: 5.3,
    rate: 38.4,
    event_tokens: 6,
    pause: 500.0,
    requests_per_s: 11.0,
    tokens: (200, 1_100),
};

/// The result of a simulated load.
struct LoadResult {
    /// Fraction of the streams that have a pause above the limit.
    paused: f64,
    /// Fraction of the prompts whose first token arrived before the deadline.
    in_time: f64,
}

/// Simulates 30 seconds of requests; unless `is_scheduled`, each request goes to the engine at
/// once.
fn simulate(seed: u64, profile: EngineProfile, is_scheduled: bool) -> LoadResult {
    const OBJECTIVE_MS: f64 = 800.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < 30_000.0 {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / profile.requests_per_s;
        arrivals.push((at, rng.random_range(profile.tokens.0..profile.tokens.1)));
    }
    let ms = |at: f64| Duration::from_secs_f64(at / 1_000.0);
    let mut queue = PrefillQueue::default();
    let mut waiting: Vec<(PromptKey, f64, u32)> = Vec::new();
    // Prompts at the engine: key, time of arrival there, time of the request, and remaining tokens.
    let mut in_prefill: Vec<(PromptKey, f64, f64, f64)> = Vec::new();
    let mut notifications: Vec<(f64, PromptKey)> = Vec::new();
    let (mut now, mut next) = (0.0, 0);
    let mut steps = Vec::new();
    let (mut in_time, count) = (0, arrivals.len());
    while next < count || !waiting.is_empty() || !in_prefill.is_empty() {
        while next < count && arrivals[next].0 <= now {
            let (at, tokens) = arrivals[next];
            let event_gap_max = Some(ms(profile.pause));
            let key = queue.enqueue(Prompt {
                tokens,
                first_token_deadline: ms(at + OBJECTIVE_MS),
                event_gap_max,
            });
            waiting.push((key, at, tokens));
            next += 1;
        }
        notifications.retain(|(at, key)| {
            if *at <= now {
                queue.on_first_token(*key, ms(now));
            }
            *at > now
        });
        loop {
            let admitted = waiting.iter().position(|(key, ..)| {
                !is_scheduled || queue.try_admit(*key, ms(now)) == PrefillAdmission::Now
            });
            let Some((key, at, tokens)) = admitted.map(|n| waiting.remove(n)) else { break };
            in_prefill.push((key, now + ROUND_TRIP_MS / 2.0, at, f64::from(tokens)));
        }
        let mut chunk_left = CHUNK_TOKENS_MAX;
        for (_, from, _, left) in &mut in_prefill {
            if *from <= now {
                let read = left.min(chunk_left);
                *left -= read;
                chunk_left -= read;
            }
        }
        let step_ms = profile.step_ms + (CHUNK_TOKENS_MAX - chunk_left) / profile.rate;
        now += step_ms;
        steps.push(step_ms);
        in_prefill.retain(|(key, from, at, left)| {
            let is_read = *left <= 0.0 && *from < now;
            if is_read {
                in_time += usize::from(now - at <= OBJECTIVE_MS);
                notifications.push((now + ROUND_TRIP_MS / 2.0, *key));
            }
            !is_read
        });
    }
    let pauses: Vec<bool> = steps
        .windows(profile.event_tokens)
        .map(|steps| steps.iter().sum::<f64>() > profile.pause)
        .collect();
    let streams: Vec<bool> =
        pauses.windows(STREAM_STEPS).map(|pauses| pauses.contains(&true)).collect();
    let paused = streams.iter().filter(|paused| **paused).count();
    LoadResult {
        paused: paused as f64 / streams.len() as f64,
        in_time: in_time as f64 / count as f64,
    }
}

/// Reproduces a recorded load: on scale-1 of campfire-reg, 2,922 of 8,162 streams paused for more
/// than 300 ms while prompts were sent unscheduled.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn scheduled_prefills_do_not_pause_streams(seed: u64) {
    let before = simulate(seed, HIGH_LOAD, false);
    let after = simulate(seed, HIGH_LOAD, true);
    assert!(before.paused > 0.1, "the unscheduled load pauses too few streams: {}", before.paused);
    assert!(
        after.paused < 0.01,
        "{} of the streams paused, {} without scheduling",
        after.paused,
        before.paused
    );
    assert!(after.in_time > 0.9, "{} of the prompts met their deadline", after.in_time);
}

#[test]
fn scheduling_does_not_delay_prompts_on_fast_engines() {
    let before = simulate(4, FAST, false);
    let after = simulate(4, FAST, true);
    assert!(after.paused <= before.paused);
    assert!(
        after.in_time >= before.in_time - 0.01,
        "{} met their deadline, {} without scheduling",
        after.in_time,
        before.in_time
    );
}

fn prompt(tokens: u32, deadline_ms: u64) -> Prompt {
    let event_gap_max = Some(Duration::from_millis(300));
    Prompt { tokens, first_token_deadline: Duration::from_millis(deadline_ms), event_gap_max }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_earliest_deadline_goes_first_and_late_prompts_yield() {
    let mut queue = PrefillQueue::default();
    let active = queue.enqueue(prompt(1_500, 800));
    assert_eq!(queue.try_admit(active, at(0)), PrefillAdmission::Now);
    let later = queue.enqueue(prompt(1_500, 1_000));
    let sooner = queue.enqueue(prompt(1_500, 900));
    let late = queue.enqueue(prompt(1_500, 100));
    assert!(matches!(queue.try_admit(sooner, at(10)), PrefillAdmission::WaitUntil(_)));
    queue.on_first_token(active, at(80));
    assert!(matches!(queue.try_admit(later, at(110)), PrefillAdmission::WaitUntil(_)));
    assert!(matches!(queue.try_admit(late, at(110)), PrefillAdmission::WaitUntil(_)));
    assert_eq!(queue.try_admit(sooner, at(110)), PrefillAdmission::Now);
    queue.on_first_token(sooner, at(190));
    assert_eq!(queue.try_admit(later, at(190)), PrefillAdmission::Now);
    queue.remove(later);
    assert_eq!(queue.try_admit(late, at(200)), PrefillAdmission::Now);
}

#[test]
fn a_late_prompt_does_not_starve() {
    let mut queue = PrefillQueue::default();
    let late = queue.enqueue(prompt(1_500, 100));
    let (mut now, mut served) = (200, 0);
    while queue.try_admit(late, at(now)) != PrefillAdmission::Now {
        let fresh = queue.enqueue(prompt(1_500, now + 800));
        assert_eq!(queue.try_admit(fresh, at(now)), PrefillAdmission::Now);
        now += 90;
        queue.on_first_token(fresh, at(now));
        served += 1;
        assert!(served < 20, "the late prompt starves");
    }
}

#[test]
fn small_prompts_are_prefilled_concurrently() {
    let mut queue = PrefillQueue::default();
    let small: Vec<PromptKey> = (0..4).map(|n| queue.enqueue(prompt(400, 800 + n))).collect();
    let now: Vec<bool> =
        small.iter().map(|key| queue.try_admit(*key, at(0)) == PrefillAdmission::Now).collect();
    assert_eq!(now, [true, true, true, false]);
    queue.on_first_token(small[0], at(20));
    assert_eq!(queue.try_admit(small[3], at(20)), PrefillAdmission::Now);
}

/// A partitioned host or a hanging engine never reports the first token.
#[test]
fn a_prompt_without_a_first_token_does_not_block_others_forever() {
    let mut queue = PrefillQueue::default();
    let lost = queue.enqueue(prompt(1_900, 800));
    assert_eq!(queue.try_admit(lost, at(0)), PrefillAdmission::Now);
    let next = queue.enqueue(prompt(1_900, 900));
    let PrefillAdmission::WaitUntil(until) = queue.try_admit(next, at(1)) else {
        panic!("admitted at once")
    };
    assert!(until <= at(500), "{until:?}");
    assert_eq!(queue.try_admit(next, until), PrefillAdmission::Now);
}

#[test]
fn the_prefill_rate_is_estimated_from_measurements() {
    let mut queue = PrefillQueue::default();
    let wait = |queue: &PrefillQueue| queue.estimated_wait(at(0), at(0));
    let first = queue.enqueue(prompt(4_000, 0));
    let assumed = wait(&queue);
    queue.remove(first);
    for n in 0..200 {
        let key = queue.enqueue(prompt(2_000, 1_000 * n));
        assert_eq!(queue.try_admit(key, at(1_000 * n)), PrefillAdmission::Now);
        // Four times the assumed rate.
        queue.on_first_token(key, at(1_000 * n + 26));
    }
    queue.enqueue(prompt(4_000, 0));
    assert!(wait(&queue) < assumed / 3, "estimated wait {:?}, initially {assumed:?}", wait(&queue));
}
