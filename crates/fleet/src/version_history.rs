//! The software version at which the resumable streams of a service begin.
//!
//! Only the version that began a stream may continue it. A caller that takes a stream up names it by
//! an id that tells nothing of the version, and the host that began the stream may be gone. All
//! hosts therefore begin the resumable streams of a service at one version, and the store keeps
//! which one and since when. While that has not changed for longer than a stream lasts, every host
//! that has read the history since knows the version of every stream, also one that has just started.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A version with fewer servers can't continue the streams of a server that is lost.
const SERVERS_MIN: usize = 2;
/// The current version is replaced when it has less than one in this many servers, because all
/// resumable streams would burden them.
const SERVER_SHARE_DIVISOR: usize = 3;
/// Changes that are kept at most; older ones lie further back than a stream lasts.
const ENTRIES_MAX: usize = 32;

/// The number of servers of each version that accept requests.
pub type VersionCounts = BTreeMap<Arc<str>, usize>;

/// A version at which streams began from a time on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStart {
    /// The software version.
    pub version: Arc<str>,
    /// The time of the store's clock, in milliseconds.
    pub since_ms: u64,
}

/// The versions at which the resumable streams of a service began, the current one last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionHistory {
    starts: Vec<VersionStart>,
}

impl From<Vec<VersionStart>> for VersionHistory {
    fn from(starts: Vec<VersionStart>) -> Self {
        VersionHistory { starts }
    }
}

impl VersionHistory {
    /// Returns the version at which streams begin.
    pub fn current(&self) -> Option<&Arc<str>> {
        self.starts.last().map(|start| &start.version)
    }

    /// Lists the versions at which a stream may have begun that is at most `age_max_ms` old.
    pub fn possible(&self, age_max_ms: u64, now_ms: u64) -> Vec<Arc<str>> {
        let ended_ms = self.starts.iter().skip(1).map(|next| next.since_ms);
        let ended_ms = ended_ms.chain(std::iter::once(u64::MAX));
        let recent = self.starts.iter().zip(ended_ms);
        let recent = recent.filter(|(_, ended_ms)| ended_ms.saturating_add(age_max_ms) > now_ms);
        let mut versions: Vec<Arc<str>> = recent.map(|(start, _)| start.version.clone()).collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Returns the history with another current version, if the streams have to begin at another
    /// one; drops what is older than `age_max_ms`.
    pub fn next(&self, ready: &VersionCounts, age_max_ms: u64, now_ms: u64) -> Option<Self> {
        let version = self.next_version(ready)?;
        let possible = self.possible(age_max_ms, now_ms);
        let mut starts = self.starts.clone();
        starts.retain(|start| possible.contains(&start.version));
        // The store's clock may show less than before after it was restored.
        let since_ms = starts.last().map_or(now_ms, |last| now_ms.max(last.since_ms + 1));
        starts.push(VersionStart { version, since_ms });
        let excess = starts.len().saturating_sub(ENTRIES_MAX);
        starts.drain(..excess);
        Some(VersionHistory { starts })
    }

    fn next_version(&self, ready: &VersionCounts) -> Option<Arc<str>> {
        // Of versions with as many servers, all hosts choose the same one.
        let (best, most) = ready.iter().max_by_key(|(version, count)| (**count, *version))?;
        let Some(current) = self.current() else { return Some(best.clone()) };
        let count = ready.get(current).copied().unwrap_or(0);
        let total: usize = ready.values().sum();
        let has_few = count < SERVERS_MIN && *most >= SERVERS_MIN;
        let is_burdened = count * SERVER_SHARE_DIVISOR < total;
        let is_replaced = best != current && (count == 0 || has_few || is_burdened);
        is_replaced.then(|| best.clone())
    }

    /// Adds what another history knows; returns whether that changes this one.
    pub fn merge(&mut self, other: &VersionHistory) -> bool {
        let known = self.starts.clone();
        self.starts.extend(other.starts.iter().cloned());
        self.starts.sort_by(|a, b| (a.since_ms, &a.version).cmp(&(b.since_ms, &b.version)));
        self.starts.dedup();
        self.starts != known
    }
}

/// How a host learns which version began a stream that another host, or an earlier process, served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FirstVersion {
    /// This version began the stream.
    Known(Arc<str>),
    /// The history has to be read from the store.
    ReadHistory,
    /// Only the host that served the stream can tell.
    AskHosts,
}

/// When a host read the history of the store's versions.
///
/// A stream can begin at a new version right after the store kept it, so no age of the history is
/// small enough: a read has to be sent after the caller took the stream up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistoryReads {
    /// The known history has every change up to this time.
    complete_until: Option<Duration>,
    /// The earliest time of the next read after a failed one.
    retry_at: Duration,
}

impl HistoryReads {
    /// Records that the store responded to a read that was sent at `sent_at`.
    pub fn on_read(&mut self, sent_at: Duration) {
        self.complete_until = self.complete_until.max(Some(sent_at));
    }

    /// Records that a read failed. Streams that are taken up before `retry_at` are not read for.
    pub fn on_read_failed(&mut self, retry_at: Duration) {
        self.retry_at = retry_at;
    }

    /// Returns how to learn which version began a stream that was taken up at `taken_up_at`, if it
    /// is one of the known `possible` versions, or one that the history lacks.
    pub fn first_version(&self, possible: &[Arc<str>], taken_up_at: Duration) -> FirstVersion {
        let is_complete = self.complete_until.is_some_and(|until| until >= taken_up_at);
        match possible {
            [_, _, ..] => FirstVersion::AskHosts,
            [sole] if is_complete => FirstVersion::Known(sole.clone()),
            [] if is_complete => FirstVersion::AskHosts,
            // A store that rejects only this host may keep a version that this host has not read.
            [] | [_] if taken_up_at < self.retry_at => FirstVersion::AskHosts,
            [] | [_] => FirstVersion::ReadHistory,
        }
    }
}
