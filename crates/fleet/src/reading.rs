//! The turns in which an engine's prompts are read.
//!
//! Answers the load pattern of many prompts at once on an engine that streams to others:
//! it reads them piece by piece between the streams' tokens, so that every stream pauses
//! while a few prompts in a row are read. An engine reads no faster for having them all
//! at once, so the owner of its orders lets prompts go one after another, small ones
//! together, and those whose time runs out first go first. Between two of them the engine
//! makes tokens for its streams.

use slotmap::{SlotMap, new_key_type};

use crate::prelude::*;

/// Tokens that an engine reads in a millisecond, until that was measured: what the slowest
/// engines do, as more at once lengthens pauses.
const RATE: f64 = 19.0;
/// The quantile of the measured rates that is kept: engines keep parts of some prompts, which
/// makes these look faster than engines read.
const RATE_QUANTILE: f64 = 0.25;
/// How fast the rate follows what is measured, as a share of it.
const RATE_STEP: f64 = 0.05;
const RATE_MIN: f64 = 1.0;
const RATE_MAX: f64 = 400.0;
/// Prompts from which the rate is measured; smaller ones wait longer than they are read.
const MEASURED_TOKENS_MIN: u32 = 384;
/// Prompts read together, as a share of what is read in the longest pause allowed.
const TOGETHER_SHARE: f64 = 0.25;
/// The longest pause between events where a route names none.
const PAUSE: Duration = Duration::from_millis(400);
/// A prompt of which no token has come in so many times its time, and this much more, no
/// longer holds up others: the host that sent it may be gone, or its engine stand still.
const OVERDUE: f64 = 3.0;
const OVERDUE_MARGIN: Duration = Duration::from_millis(150);

/// What a prompt that is late already yields to those that can still be in time. Their answers
/// are worth most, and a late one's caller stays for a few seconds yet.
const LATE_YIELDS: Duration = Duration::from_millis(1_000);

new_key_type! {
    /// Identifies a prompt that is read or waits for that.
    pub struct PromptKey;
}

/// Describes a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Its tokens.
    pub tokens: u32,
    /// When its first token should have come.
    pub due: Duration,
    /// The longest pause between two events that its route allows.
    pub pause: Option<Duration>,
}

/// Tells whether a prompt may be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It may, and counts as being read.
    Now,
    /// It may be asked for again when another one was read, or at that moment.
    WaitUntil(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    prompt: Prompt,
    /// When it was sent to the engine, and whether others were being read then.
    sent: Option<(Duration, bool)>,
}

/// Orders the prompts of one engine.
#[derive(Clone, Debug)]
pub struct ReadingOrder {
    entries: SlotMap<PromptKey, Entry>,
    /// Tokens a millisecond.
    rate: f64,
}

impl Default for ReadingOrder {
    fn default() -> Self {
        ReadingOrder { entries: SlotMap::with_key(), rate: RATE }
    }
}

impl ReadingOrder {
    /// Counts a prompt that waits to be read, until [`ReadingOrder::end`].
    pub fn join(&mut self, prompt: Prompt) -> PromptKey {
        self.entries.insert(Entry { prompt, sent: None })
    }

    /// Answers whether it is a prompt's turn.
    pub fn turn(&mut self, key: PromptKey, now: Duration) -> Turn {
        let Some(prompt) = self.entries.get(key).map(|entry| entry.prompt) else {
            return Turn::Now;
        };
        let reading = self.reading(now);
        let is_first = self.first_waiting(now) == Some(key);
        let is_free = reading.tokens == 0
            || f64::from(reading.tokens) + f64::from(prompt.tokens) <= self.together();
        if !(is_first && is_free) {
            return Turn::WaitUntil(reading.until.max(now + Duration::from_millis(1)));
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.sent = Some((now, reading.tokens > 0));
        }
        Turn::Now
    }

    /// Reports that a prompt's first token has come.
    pub fn on_read(&mut self, key: PromptKey, now: Duration) {
        let Some(Entry { prompt, sent: Some((sent, beside_others)) }) = self.entries.remove(key)
        else {
            return;
        };
        if beside_others || prompt.tokens < MEASURED_TOKENS_MIN {
            return;
        }
        let ms = now.saturating_sub(sent).as_secs_f64() * 1_000.0;
        let seen = f64::from(prompt.tokens) / ms.max(1.0);
        let step = if seen < self.rate { RATE_QUANTILE - 1.0 } else { RATE_QUANTILE };
        self.rate = (self.rate * (1.0 + step * RATE_STEP)).clamp(RATE_MIN, RATE_MAX);
    }

    /// Reports that a prompt needs no turn any more.
    pub fn end(&mut self, key: PromptKey) {
        self.entries.remove(key);
    }

    /// Returns how long a prompt that is due then would wait for its turn.
    pub fn wait(&self, due: Duration, now: Duration) -> Duration {
        let before = self.entries.values().filter(|entry| match entry.sent {
            Some(sent) => !self.is_overdue(entry, sent.0, now),
            None => rank(entry.prompt.due, now) <= rank(due, now),
        });
        let tokens: u32 = before.map(|entry| entry.prompt.tokens).sum();
        self.time(tokens)
    }

    /// Returns the tokens that may be read together.
    fn together(&self) -> f64 {
        let pauses = self.entries.values().filter_map(|entry| entry.prompt.pause);
        let pause = pauses.min().unwrap_or(PAUSE);
        self.rate * pause.as_secs_f64() * 1_000.0 * TOGETHER_SHARE
    }

    fn first_waiting(&self, now: Duration) -> Option<PromptKey> {
        let waiting = self.entries.iter().filter(|(_, entry)| entry.sent.is_none());
        waiting.min_by_key(|(key, entry)| (rank(entry.prompt.due, now), *key)).map(|(key, _)| key)
    }

    fn reading(&self, now: Duration) -> Reading {
        let mut reading = Reading { tokens: 0, until: now };
        for entry in self.entries.values() {
            let Some((sent, _)) = entry.sent else { continue };
            if !self.is_overdue(entry, sent, now) {
                reading.tokens += entry.prompt.tokens.max(1);
                reading.until = reading.until.max(self.overdue_at(entry, sent));
            }
        }
        reading
    }

    fn is_overdue(&self, entry: &Entry, sent: Duration, now: Duration) -> bool {
        self.overdue_at(entry, sent) <= now
    }

    fn overdue_at(&self, entry: &Entry, sent: Duration) -> Duration {
        sent + self.time(entry.prompt.tokens).mul_f64(OVERDUE) + OVERDUE_MARGIN
    }

    fn time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.rate / 1_000.0)
    }
}

/// Returns the moment by which waiting prompts are ordered.
fn rank(due: Duration, now: Duration) -> Duration {
    if due < now { due + LATE_YIELDS } else { due }
}

/// What is being read.
struct Reading {
    tokens: u32,
    /// When none of it holds up others any more.
    until: Duration,
}
