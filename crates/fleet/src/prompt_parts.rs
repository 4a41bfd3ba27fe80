//! Quarantine of prompt parts that crash servers.
//!
//! A prompt consists of parts, and requests share all but the last one. A part may crash each
//! server that begins a response to it, in requests that have nothing else in common. The
//! [`Quarantine`] therefore counts crashes per part as it does per content.
//!
//! A crash is attributed to the shared parts of all requests that the server was running, most of
//! which are sound. Complete responses tell them apart: one clears the crashes of all its parts.
//! If a part is quarantined, its crashes are also cleared from parts that had a complete response
//! more recently, because most requests with the quarantined part share the first part with sound
//! requests.

use std::collections::BTreeSet;

use guavaspread_model::ContentId;

use crate::prelude::*;
use crate::quarantine::{
    Admission, CRASH_TIME_TOLERANCE, EPOCH_OFFSET, QUARANTINE_CRASHES, Quarantine, Record,
};

/// The maximum number of parts considered in a prompt.
const PARTS_MAX: usize = 64;
/// The maximum number of parts whose last complete response is remembered.
const COMPLETED_PARTS_MAX: usize = 8_192;
/// Crashes after which a request with a part that no server has completed is not retried. A retry
/// at once would carry the part to one server after the other.
const RETRY_CRASHES: usize = 2;
/// How long after their quarantines two parts may only be tried in separate requests. A trial of
/// both would fail if one of them is sound.
const JOINT_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// The parts of a request's prompt that other requests may share: all but the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts(Arc<[ContentId]>);

impl PromptParts {
    /// Takes the ids of all parts of a prompt in order; `None` for one that can't be decoded.
    ///
    /// Parts beyond the 64th are ignored.
    pub fn new(ids: impl IntoIterator<Item = Option<u64>>) -> Self {
        let mut ids: Vec<Option<u64>> = ids.into_iter().take(PARTS_MAX + 1).collect();
        ids.pop();
        let mut known = BTreeSet::new();
        let parts = ids.into_iter().flatten().filter(|id| known.insert(*id));
        PromptParts(parts.map(ContentId::of_prompt_part).collect())
    }

    /// Returns the ids under which the quarantine counts the parts' crashes.
    pub fn iter(&self) -> impl Iterator<Item = ContentId> + '_ {
        self.0.iter().copied()
    }
}

/// Whether a request may be sent to servers, by the shared parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartsAdmission {
    /// The request may be sent.
    Allowed,
    /// A part is quarantined; callers may retry after this time.
    Quarantined(ContentId, Duration),
    /// The quarantine of these parts has expired; the request may be sent as their trial if the
    /// hosts that grant trials agree.
    Trial(Vec<ContentId>),
}

/// The effect of a complete response on the parts of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClearedParts {
    /// Whether any of the parts had crashes.
    pub has_crashes: bool,
    /// The parts that were quarantined.
    pub released: Vec<ContentId>,
}

/// The last complete response to each part.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletedParts {
    completed_at: HashMap<ContentId, Duration>,
}

impl CompletedParts {
    /// Returns when a complete response to a part was last recorded.
    pub(crate) fn last(&self, part: ContentId) -> Option<Duration> {
        self.completed_at.get(&part).copied()
    }

    fn record(&mut self, part: ContentId, now: Duration) {
        self.completed_at.insert(part, now);
        if self.completed_at.len() > COMPLETED_PARTS_MAX {
            self.evict();
        }
    }

    /// Forgets the half that was completed least recently.
    fn evict(&mut self) {
        let mut times: Vec<Duration> = self.completed_at.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(COMPLETED_PARTS_MAX / 2);
        let median = *median;
        self.completed_at.retain(|_, at| *at > median);
    }
}

impl Quarantine {
    /// Records a complete response to a request with these parts and clears the parts' crashes.
    pub fn on_parts_completed(&mut self, parts: &PromptParts, now: Duration) -> ClearedParts {
        let mut cleared = ClearedParts::default();
        for part in parts.iter() {
            let is_quarantined = self.admission(part, now) != Admission::Allowed;
            self.completed_parts.record(part, now + EPOCH_OFFSET);
            if let Some(record) = self.records.get_mut(&part) {
                record.completed_at = Some(now + EPOCH_OFFSET);
            }
            if self.on_completed(part, now) {
                cleared.has_crashes = true;
                cleared.released.extend(is_quarantined.then_some(part));
            }
        }
        cleared
    }

    /// Returns whether a request with these parts may be sent to servers.
    pub fn parts_admission(&self, parts: &PromptParts, now: Duration) -> PartsAdmission {
        let mut quarantined: Option<(ContentId, Duration)> = None;
        let mut trials = Vec::new();
        for part in parts.iter() {
            match self.admission(part, now) {
                Admission::Allowed => {}
                _ if self.is_excused(part, parts) => {}
                Admission::Quarantined(remaining) => {
                    if quarantined.is_none_or(|(_, longest)| longest < remaining) {
                        quarantined = Some((part, remaining));
                    }
                }
                Admission::Trial => trials.push(part),
            }
        }
        if trials.len() > 1 && quarantined.is_none() {
            quarantined = self.joint_trial_wait(&trials, now);
        }
        match quarantined {
            Some((part, remaining)) => PartsAdmission::Quarantined(part, remaining),
            None if trials.is_empty() => PartsAdmission::Allowed,
            None => PartsAdmission::Trial(trials),
        }
    }

    /// Returns how long a request with several parts whose quarantine has expired must wait.
    fn joint_trial_wait(
        &self,
        parts: &[ContentId],
        now: Duration,
    ) -> Option<(ContentId, Duration)> {
        let expired_at = |part: &ContentId| self.records.get(part)?.quarantined_until();
        let (at, part) = parts.iter().filter_map(|part| Some((expired_at(part)?, *part))).max()?;
        let remaining = (at + JOINT_TRIAL_DELAY).saturating_sub(now + EPOCH_OFFSET);
        (!remaining.is_zero()).then_some((part, remaining))
    }

    /// Returns a part because of which a request must not be retried after a server crashed.
    pub fn part_that_bars_retry(&self, parts: &PromptParts) -> Option<ContentId> {
        self.part_with_crashes(parts, RETRY_CRASHES)
    }

    /// Returns whether a server crashed under one of the parts and none has completed it.
    pub fn has_suspect_part(&self, parts: &PromptParts) -> bool {
        self.part_with_crashes(parts, 1).is_some()
    }

    /// Returns a part with at least `count` crashes that no server has completed.
    fn part_with_crashes(&self, parts: &PromptParts, count: usize) -> Option<ContentId> {
        parts.iter().find(|part| {
            self.completed_parts.last(*part).is_none() && self.crash_count(*part) >= count
        })
    }

    /// Returns the number of parts of prompts in quarantine.
    pub fn quarantined_part_count(&self, now: Duration) -> usize {
        let parts = self.records.iter().filter(|(content, _)| content.prompt_part().is_some());
        let is_quarantined = |until: Duration| until > now + EPOCH_OFFSET;
        parts.filter(|(_, record)| record.quarantined_until().is_some_and(is_quarantined)).count()
    }

    /// Returns the ages of a content's crashes, the latest first.
    pub fn crash_ages(&self, content: ContentId, now: Duration) -> Vec<Duration> {
        let report = self.report(content, now);
        let crashes = report.iter().flat_map(|report| &report.crashes);
        let mut ages: Vec<Duration> =
            crashes.map(|(_, age_ms)| Duration::from_millis(*age_ms)).collect();
        ages.sort();
        ages
    }

    /// Returns whether a quarantined part may be used by requests without another part or content
    /// that accounts for its crashes.
    ///
    /// A part that no server has completed yet was by chance in several of the requests that
    /// crashed servers, or in flight beside them.
    fn is_excused(&self, part: ContentId, parts: &PromptParts) -> bool {
        let Some(record) = self.records.get(&part) else { return false };
        let others = self.records.iter().filter(|(other, _)| parts.iter().all(|p| p != **other));
        others.map(|(_, other)| other).any(|other| record.is_explained_by(other))
    }

    /// Clears the crashes of parts that they share with quarantined content, if servers completed
    /// the parts more recently; returns whether there were any.
    ///
    /// Called once all crashes and reports that arrived together are recorded. Otherwise the
    /// result would depend on their order.
    pub fn clear_explained(&mut self, now: Duration) -> bool {
        let is_cause = |record: &Record| record.counted_crashes() >= QUARANTINE_CRASHES;
        let causes: Vec<(Option<Duration>, BTreeSet<u64>)> = self
            .records
            .values()
            .filter(|record| is_cause(record))
            .map(|record| {
                (record.completed_at, record.crashes.iter().map(|c| c.incarnation).collect())
            })
            .collect();
        let mut has_changed = false;
        for record in self.records.values_mut().filter(|_| !causes.is_empty()) {
            let is_explained = |incarnation: &u64| {
                causes.iter().any(|(completed_at, incarnations)| {
                    *completed_at < record.completed_at && incarnations.contains(incarnation)
                })
            };
            let incarnations = record.crashes.iter().map(|crash| crash.incarnation);
            let explained: Vec<u64> = incarnations.filter(is_explained).collect();
            if !explained.is_empty() {
                record.is_local_origin |= record.clear(explained, now + EPOCH_OFFSET);
                has_changed = true;
            }
        }
        has_changed
    }
}

impl Record {
    /// Returns whether another quarantined record accounts for so many of the crashes that the
    /// others would not lead to a quarantine.
    ///
    /// Of two parts that were quarantined by the same crash, the one that had the next crash
    /// without the other is not excused.
    fn is_explained_by(&self, other: &Record) -> bool {
        let (Some(since), Some(other_since)) =
            (self.quarantined_since(), other.quarantined_since())
        else {
            return false;
        };
        let both_since = since.max(other_since);
        let next_without = |record: &Record, without: &Record| {
            let later = record.crashes.iter().filter(|crash| crash.at > both_since);
            later.filter(|crash| !without.has(crash)).map(|crash| crash.at).min()
        };
        let has_next = match (next_without(self, other), next_without(other, self)) {
            (Some(next), Some(others_next)) => next <= others_next,
            (next, _) => next.is_some(),
        };
        other_since <= since + CRASH_TIME_TOLERANCE
            && !has_next
            && self.count_crashes(|crash| !other.has(crash)) < QUARANTINE_CRASHES
    }
}
