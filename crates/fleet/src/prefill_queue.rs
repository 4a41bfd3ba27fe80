//! Scheduling of the prefills of one engine.
//!
//! An engine that streams to other requests splits the prefill of a prompt into chunks between the
//! decode steps, so several prefills in a row pause every stream. Concurrent prefills don't raise
//! the engine's throughput. The engine's owner therefore admits prompts one after another and small
//! ones together, in the order of their deadlines. Between two prefills, the engine decodes tokens
//! for its streams.

use slotmap::{SlotMap, new_key_type};

use crate::prelude::*;

/// Prefill rate assumed until the first measurement, in tokens per millisecond. This is the rate of
/// the slowest engines: a higher value admits more prompts at once and lengthens the pauses.
const INITIAL_RATE: f64 = 19.0;
/// Quantile of the measured rates that the estimate follows. Cached prefixes make some prefills
/// look faster than the engine is, so a mean would be too high.
const RATE_QUANTILE: f64 = 0.25;
/// Relative change of the estimate with each measurement.
const RATE_STEP: f64 = 0.05;
const RATE_MIN: f64 = 1.0;
const RATE_MAX: f64 = 400.0;
/// Smallest prompt that is measured; shorter ones wait longer than their prefill takes.
const MEASURED_TOKENS_MIN: u32 = 384;
/// Tokens admitted concurrently, as a fraction of the tokens prefilled during the longest allowed
/// pause.
const CONCURRENT_TOKENS_FRACTION: f64 = 0.25;
/// Longest pause between events for routes that set no limit.
const DEFAULT_EVENT_GAP_MAX: Duration = Duration::from_millis(400);
/// A prompt without a first token after this multiple of its prefill time plus the margin is
/// overdue and no longer blocks other prompts: the host that sent it may have failed, or the engine
/// may hang.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MARGIN: Duration = Duration::from_millis(150);

/// Added to a missed deadline when prompts are sorted, so prompts that can still meet theirs go
/// first. Responses in time are worth most, and the caller of a late prompt waits a few more
/// seconds.
const LATE_PENALTY: Duration = Duration::from_millis(1_000);

new_key_type! {
    /// Identifies a prompt that waits for its prefill or is in prefill.
    pub struct PromptKey;
}

/// A prompt to schedule.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// The number of tokens.
    pub tokens: u32,
    /// The deadline of the first token.
    pub first_token_deadline: Duration,
    /// The longest pause between two events that the route allows.
    pub event_gap_max: Option<Duration>,
}

/// Whether a prompt may be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillAdmission {
    /// The prompt may be sent now and counts as in prefill.
    Now,
    /// The prompt may not be sent yet; ask again at this time, or when another prefill completes.
    WaitUntil(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    prompt: Prompt,
    /// The time at which the prompt was sent, and whether others were in prefill then.
    sent: Option<(Duration, bool)>,
}

/// Schedules the prefills of one engine.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    entries: SlotMap<PromptKey, Entry>,
    /// The estimated prefill rate, in tokens per millisecond.
    rate: f64,
}

impl Default for PrefillQueue {
    fn default() -> Self {
        PrefillQueue { entries: SlotMap::with_key(), rate: INITIAL_RATE }
    }
}

impl PrefillQueue {
    /// Adds a prompt that waits for its prefill, until [`PrefillQueue::remove`].
    pub fn enqueue(&mut self, prompt: Prompt) -> PromptKey {
        self.entries.insert(Entry { prompt, sent: None })
    }

    /// Admits a prompt to the engine, or returns when to ask again.
    pub fn try_admit(&mut self, key: PromptKey, now: Duration) -> PrefillAdmission {
        let Some(prompt) = self.entries.get(key).map(|entry| entry.prompt) else {
            return PrefillAdmission::Now;
        };
        let active = self.active_prefills(now);
        let is_next = self.first_waiting(now) == Some(key);
        let has_capacity = active.tokens == 0
            || active.tokens as f64 + f64::from(prompt.tokens) <= self.concurrent_tokens_max();
        if !(is_next && has_capacity) {
            return PrefillAdmission::WaitUntil(active.until.max(now + Duration::from_millis(1)));
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.sent = Some((now, active.tokens > 0));
        }
        PrefillAdmission::Now
    }

    /// Records that the first token of a prompt arrived, and updates the rate.
    pub fn on_first_token(&mut self, key: PromptKey, now: Duration) {
        let Some(Entry { prompt, sent: Some((sent, was_concurrent)) }) = self.entries.remove(key)
        else {
            return;
        };
        if was_concurrent || prompt.tokens < MEASURED_TOKENS_MIN {
            return;
        }
        let ms = now.saturating_sub(sent).as_secs_f64() * 1_000.0;
        let measured = f64::from(prompt.tokens) / ms.max(1.0);
        let step = if measured < self.rate { RATE_QUANTILE - 1.0 } else { RATE_QUANTILE };
        self.rate = (self.rate * (1.0 + step * RATE_STEP)).clamp(RATE_MIN, RATE_MAX);
    }

    /// Removes a prompt.
    pub fn remove(&mut self, key: PromptKey) {
        self.entries.remove(key);
    }

    /// Estimates how long a prompt with this deadline would wait for its prefill.
    pub fn estimated_wait(&self, deadline: Duration, now: Duration) -> Duration {
        let ahead = self.entries.values().filter(|entry| match entry.sent {
            Some(sent) => !self.is_overdue(entry, sent.0, now),
            None => {
                effective_deadline(entry.prompt.first_token_deadline, now)
                    <= effective_deadline(deadline, now)
            }
        });
        let tokens: u64 = ahead.map(|entry| u64::from(entry.prompt.tokens)).sum();
        self.prefill_time(tokens)
    }

    /// Returns the number of tokens that may be in prefill concurrently.
    fn concurrent_tokens_max(&self) -> f64 {
        let event_gaps = self.entries.values().filter_map(|entry| entry.prompt.event_gap_max);
        let event_gap_max = event_gaps.min().unwrap_or(DEFAULT_EVENT_GAP_MAX);
        self.rate * event_gap_max.as_secs_f64() * 1_000.0 * CONCURRENT_TOKENS_FRACTION
    }

    fn first_waiting(&self, now: Duration) -> Option<PromptKey> {
        let waiting = self.entries.iter().filter(|(_, entry)| entry.sent.is_none());
        waiting
            .min_by_key(|(key, entry)| {
                (effective_deadline(entry.prompt.first_token_deadline, now), *key)
            })
            .map(|(key, _)| key)
    }

    fn active_prefills(&self, now: Duration) -> ActivePrefills {
        let mut active = ActivePrefills { tokens: 0, until: now };
        for entry in self.entries.values() {
            let Some((sent, _)) = entry.sent else { continue };
            if !self.is_overdue(entry, sent, now) {
                active.tokens += u64::from(entry.prompt.tokens.max(1));
                active.until = active.until.max(self.overdue_at(entry, sent));
            }
        }
        active
    }

    fn is_overdue(&self, entry: &Entry, sent: Duration, now: Duration) -> bool {
        self.overdue_at(entry, sent) <= now
    }

    fn overdue_at(&self, entry: &Entry, sent: Duration) -> Duration {
        sent + self.prefill_time(entry.prompt.tokens.into()).mul_f64(OVERDUE_FACTOR)
            + OVERDUE_MARGIN
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate / 1_000.0)
    }
}

/// Returns the deadline by which waiting prompts are sorted.
fn effective_deadline(deadline: Duration, now: Duration) -> Duration {
    if deadline < now { deadline + LATE_PENALTY } else { deadline }
}

/// The prompts that are in prefill and not overdue.
struct ActivePrefills {
    tokens: u64,
    /// The time from which none of them blocks other prompts.
    until: Duration,
}
