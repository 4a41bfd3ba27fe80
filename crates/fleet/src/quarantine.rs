//! Quarantine of content that crashes servers.
//!
//! A poison request crashes each server that begins to process it, and callers repeat it at any
//! entry host. Each repeat on its own looks like a harmless request whose server failed. The
//! hosts therefore count server crashes per content across all hosts. After the third crash the
//! content is quarantined: every host rejects it at once until the quarantine expires. Then one
//! request with the content is sent to one server as a trial. If that server also crashes, the
//! next quarantine is much longer.
//!
//! Servers also crash for reasons unrelated to their requests. A complete response shows that
//! the content is harmless and resets its crash count on all hosts.
//!
//! Reports from other hosts are merged, not added up: a crash is identified by the server's
//! incarnation. Merging is idempotent, so a report may arrive twice, late or from several hosts.

use guavaspread_model::{ContentId, content_hash, rendezvous_score};
use serde::{Deserialize, Serialize};

use crate::crash_detector::ServerCrash;
use crate::lease::HostLease;
use crate::prelude::*;

/// The number of crashes after which content is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes within this time may have a common cause other than the content, for example the
/// loss of part of the fleet. A request that is retried at once meets several lost servers.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// The number of crashes that count in such a burst.
const BURST_COUNT_MAX: usize = 2;
/// A burst of this many crashes is not attributed to chance; it counts as much as three
/// separate crashes.
const BURST_QUARANTINE_CRASHES: usize = 4;
/// How much the reported times of one crash may differ because of the transit time between
/// hosts.
const CRASH_TIME_TOLERANCE: Duration = Duration::from_millis(100);
/// Added to the times that callers pass, so that events before the start of this process have a
/// valid time.
const EPOCH_OFFSET: Duration = Duration::from_secs(60 * 24 * 60 * 60);
/// How long content is quarantined after the third crash, the fourth and so on. The durations
/// grow steeply, because a failed trial costs a server with all its requests in flight.
const QUARANTINE_DURATIONS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// The time within which the outcome of a trial is usually known; callers may retry after it.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of crashes from which the hosts that do not track the content are informed too.
const BROADCAST_CRASHES_MIN: usize = 2;
/// How long content is remembered after its last crash, unless it is quarantined for longer.
const RECORD_TTL: Duration = Duration::from_secs(60 * 60);
/// The maximum number of remembered contents.
const RECORDS_MAX: usize = 4_096;
/// The maximum number of remembered crashes per content: copies of a request may run on many
/// servers at once.
const CRASHES_PER_RECORD_MAX: usize = 64;
/// The maximum number of remembered cleared crashes per content: more than are in flight
/// between hosts at the same time. A crash that is forgotten too early counts again when a late
/// report of it arrives.
const CLEARED_PER_RECORD_MAX: usize = 2 * CRASHES_PER_RECORD_MAX;
/// The number of tracking hosts of a content per zone; one of them may fail.
const TRACKING_HOSTS_PER_ZONE: usize = 2;

/// Whether content may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The content may be sent.
    Allowed,
    /// The content is quarantined; callers may retry after this time.
    Quarantined(Duration),
    /// The quarantine has expired; one trial is allowed if the host that grants trials agrees.
    Trial,
}

/// One crash of a server while it processed a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedCrash {
    /// Identifies the server's incarnation.
    incarnation: u64,
    at: Duration,
}

/// The known crashes and trials of one content.
#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<RecordedCrash>,
    /// Incarnations whose crashes no longer count, because a response to the content completed.
    cleared: Vec<u64>,
    trials: u32,
    last_trial_at: Option<Duration>,
    updated_at: Duration,
    /// Increases with each change of the record on this host.
    revision: u64,
    /// Whether part of the record was first observed on this host.
    is_local_origin: bool,
}

/// A summary of a content's record, by which the host decides which other hosts to inform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentSummary {
    /// The content.
    pub content: ContentId,
    /// Increases with each change of the record on this host.
    pub revision: u64,
    /// Whether part of the record was first observed on this host, which then informs the
    /// tracking hosts.
    pub is_local_origin: bool,
    /// Whether hosts that do not track the content are informed too.
    pub is_for_all_hosts: bool,
    /// Whether enough crashes count for a quarantine. Such a record is persisted, so that it
    /// survives the loss of all hosts.
    is_persistent: bool,
}

/// Decides which contents are written to the store, from which hosts load them when they start
/// and no other host is running.
///
/// The first hosts in the ranking of a content's tracking hosts each write it. A lost or
/// duplicate write is harmless, because records are merged when they are read.
#[derive(Clone, Debug, Default)]
pub struct PersistedContents {
    /// The contents that the store is known to have, each with the record's revision that this
    /// host wrote, or 0.
    saved: BTreeMap<ContentId, u64>,
}

/// The number of hosts that write a content; one of them may fail.
const WRITER_COUNT: usize = 2;
/// The maximum number of rows in one write.
const ROWS_PER_WRITE_MAX: usize = 32;

impl PersistedContents {
    /// Records that the store has a row of a content.
    pub fn on_read(&mut self, content: ContentId) {
        self.saved.entry(content).or_insert(0);
    }

    /// Records a successful write of the store's rows.
    pub fn on_written(&mut self, written: &[ContentSummary], removed: &[ContentId]) {
        self.saved.extend(written.iter().map(|known| (known.content, known.revision)));
        for content in removed {
            self.saved.remove(content);
        }
    }

    /// Returns the contents that this host has to write.
    pub fn to_write<'a>(
        &self,
        host: &str,
        contents: impl Iterator<Item = ContentSummary>,
        hosts: impl Iterator<Item = &'a HostLease> + Clone,
    ) -> Vec<ContentSummary> {
        let is_due = |known: &ContentSummary| {
            let saved = self.saved.get(&known.content);
            let is_outdated = match saved {
                Some(revision) => *revision < known.revision,
                None => known.is_persistent,
            };
            is_outdated && is_writer(host, known.content, hosts.clone())
        };
        contents.filter(is_due).take(ROWS_PER_WRITE_MAX).collect()
    }

    /// Returns the contents whose rows this host has to remove, because their records have
    /// expired.
    pub fn to_remove<'a>(
        &mut self,
        host: &str,
        quarantine: &Quarantine,
        hosts: impl Iterator<Item = &'a HostLease> + Clone,
    ) -> Vec<ContentId> {
        // The host that writes a row also removes it.
        self.saved.retain(|content, _| {
            quarantine.contains(*content) || is_writer(host, *content, hosts.clone())
        });
        let expired = self.saved.keys().filter(|content| !quarantine.contains(**content));
        expired.copied().take(ROWS_PER_WRITE_MAX).collect()
    }

    /// Returns whether the store is not known to have any row.
    pub fn is_empty(&self) -> bool {
        self.saved.is_empty()
    }
}

fn is_writer<'a>(
    host: &str,
    content: ContentId,
    hosts: impl Iterator<Item = &'a HostLease>,
) -> bool {
    tracking_hosts(content, hosts)
        .iter()
        .take(WRITER_COUNT)
        .any(|host_lease| *host_lease.holder == *host)
}

/// A host's report of a content's crashes and trials. Times are ages, because the hosts' clocks
/// differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentReport {
    /// The content.
    pub content: ContentId,
    /// Crashes of servers: the id of the incarnation, and the age in milliseconds.
    #[serde(rename = "ends")]
    pub crashes: Vec<(u64, u64)>,
    /// Ids of incarnations whose crashes no longer count.
    pub cleared: Vec<u64>,
    /// The number of granted trials, and the age of the last one in milliseconds.
    pub trials: (u32, u64),
}

impl ContentReport {
    /// Returns the report with all ages increased by `by`.
    pub fn aged(mut self, by: Duration) -> Self {
        let by_ms = by.as_millis() as u64;
        for (_, age_ms) in &mut self.crashes {
            *age_ms = age_ms.saturating_add(by_ms);
        }
        self.trials.1 = self.trials.1.saturating_add(by_ms);
        self
    }
}

/// Counts server crashes per content and quarantines contents that keep crashing servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<ContentId, Record>,
}

impl Record {
    /// Returns when the quarantine expires or expired; `None` without a quarantine.
    fn quarantined_until(&self) -> Option<Duration> {
        let last = self.crashes.iter().map(|crash| crash.at).max()?;
        if self.counted_crashes() < QUARANTINE_CRASHES {
            return None;
        }
        // A trial without a known outcome counts as failed. If the host that ran a trial is
        // lost, only the crash is known: each burst beyond the third counts as a failed trial.
        let failed_trials =
            (self.trials as usize).max(self.burst_sizes().len().saturating_sub(QUARANTINE_CRASHES));
        let duration = QUARANTINE_DURATIONS
            .get(failed_trials)
            .or(QUARANTINE_DURATIONS.last())
            .copied()
            .unwrap_or_default();
        Some(last.max(self.last_trial_at.unwrap_or_default()) + duration)
    }

    /// Returns how many crashes count towards a quarantine.
    fn counted_crashes(&self) -> usize {
        let counted = |burst: usize| match burst {
            burst if burst < BURST_QUARANTINE_CRASHES => burst.min(BURST_COUNT_MAX),
            _ => QUARANTINE_CRASHES,
        };
        self.burst_sizes().into_iter().map(counted).sum()
    }

    /// Groups the crashes into bursts and returns the size of each burst, in order of time.
    fn burst_sizes(&self) -> Vec<usize> {
        let mut times: Vec<Duration> = self.crashes.iter().map(|crash| crash.at).collect();
        times.sort();
        let mut rest = times.as_slice();
        let mut burst_sizes = Vec::new();
        while let Some(first) = rest.first() {
            let burst_size = rest.iter().take_while(|at| **at < *first + BURST_WINDOW).count();
            burst_sizes.push(burst_size);
            rest = &rest[burst_size..];
        }
        burst_sizes
    }

    /// Returns until when the outcome of the last trial is awaited; `None` if it is known or
    /// there was no trial.
    fn trial_deadline(&self) -> Option<Duration> {
        let at = self.last_trial_at?;
        self.crashes.iter().all(|crash| crash.at < at).then_some(at + TRIAL_TIMEOUT)
    }

    fn add_crash(&mut self, incarnation: u64, at: Duration) -> bool {
        if self.cleared.contains(&incarnation) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|crash| crash.incarnation == incarnation)
        {
            // The earliest observation of a crash is the most accurate.
            let has_changed = at + CRASH_TIME_TOLERANCE < known.at;
            known.at = known.at.min(at);
            self.revision += u64::from(has_changed);
            return has_changed;
        }
        if self.crashes.len() >= CRASHES_PER_RECORD_MAX {
            return false;
        }
        self.crashes.push(RecordedCrash { incarnation, at });
        self.updated_at = self.updated_at.max(at);
        self.revision += 1;
        true
    }

    /// Clears the crashes of these incarnations; returns whether any was not yet cleared.
    fn clear(&mut self, incarnations: impl IntoIterator<Item = u64>, now: Duration) -> bool {
        let mut has_changed = false;
        for incarnation in incarnations {
            if !self.cleared.contains(&incarnation) {
                self.cleared.push(incarnation);
                has_changed = true;
            }
        }
        // Drops the oldest ones, whose reports have long since arrived.
        let beyond = self.cleared.len().saturating_sub(CLEARED_PER_RECORD_MAX);
        self.cleared.drain(..beyond);
        if has_changed {
            self.revision += 1;
            let cleared = &self.cleared;
            self.crashes.retain(|crash| !cleared.contains(&crash.incarnation));
            self.updated_at = self.updated_at.max(now);
            if self.counted_crashes() < QUARANTINE_CRASHES {
                self.trials = 0;
                self.last_trial_at = None;
            }
        }
        has_changed
    }

    fn is_expired(&self, now: Duration) -> bool {
        let quarantined_until = self.quarantined_until().unwrap_or_default();
        now >= quarantined_until && now >= quarantined_until.max(self.updated_at) + RECORD_TTL
    }
}

impl Quarantine {
    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether there is a record of a content.
    pub fn contains(&self, content: ContentId) -> bool {
        self.records.contains_key(&content)
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined_count(&self, now: Duration) -> usize {
        let now = now + EPOCH_OFFSET;
        let is_quarantined =
            |record: &&Record| record.quarantined_until().is_some_and(|until| until > now);
        self.records.values().filter(is_quarantined).count()
    }

    /// Returns the number of known crashes of servers that processed a content.
    pub fn crash_count(&self, content: ContentId) -> usize {
        self.records.get(&content).map_or(0, |record| record.crashes.len())
    }

    /// Records a server's crash; returns whether it was unknown.
    pub fn on_crash(&mut self, crash: &ServerCrash, now: Duration) -> bool {
        let now = now + EPOCH_OFFSET;
        let incarnation =
            content_hash(format!("{}@{}", crash.server, crash.started_at_ms).as_bytes());
        let record = self.record_mut(crash.content, now);
        let has_changed = record.add_crash(incarnation, now);
        record.is_local_origin |= has_changed;
        has_changed
    }

    /// Records a complete response to a content and clears its crashes; returns whether there
    /// were any.
    pub fn on_completed(&mut self, content: ContentId, now: Duration) -> bool {
        let now = now + EPOCH_OFFSET;
        let Some(record) = self.records.get_mut(&content) else { return false };
        let incarnations: Vec<u64> = record.crashes.iter().map(|crash| crash.incarnation).collect();
        let has_changed = record.clear(incarnations, now);
        record.is_local_origin |= has_changed;
        has_changed
    }

    /// Returns whether a content may be sent to servers.
    pub fn admission(&self, content: ContentId, now: Duration) -> Admission {
        let now = now + EPOCH_OFFSET;
        let Some(record) = self.records.get(&content) else { return Admission::Allowed };
        match record.quarantined_until() {
            None => Admission::Allowed,
            Some(until) if until > now => {
                let trial_deadline = record.trial_deadline().filter(|until| *until > now);
                Admission::Quarantined(until.min(trial_deadline.unwrap_or(until)) - now)
            }
            Some(_) => Admission::Trial,
        }
    }

    /// Returns whether a content may be sent now. If this grants a trial, later requests are
    /// rejected until the outcome is known or the next quarantine expires.
    pub fn grant_trial(&mut self, content: ContentId, now: Duration) -> bool {
        match self.admission(content, now) {
            Admission::Allowed => true,
            Admission::Quarantined(_) => false,
            Admission::Trial => {
                let now = now + EPOCH_OFFSET;
                let record = self.record_mut(content, now);
                let failed_trials =
                    record.burst_sizes().len().saturating_sub(QUARANTINE_CRASHES) as u32;
                record.trials = record.trials.max(failed_trials) + 1;
                record.last_trial_at = Some(now);
                record.revision += 1;
                record.is_local_origin = true;
                true
            }
        }
    }

    /// Merges another host's report; returns whether the record changed.
    pub fn merge(&mut self, report: &ContentReport, now: Duration) -> bool {
        let now = now + EPOCH_OFFSET;
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let record = self.record_mut(report.content, now);
        let mut has_changed = record.clear(report.cleared.iter().copied(), now);
        for (incarnation, age_ms) in &report.crashes {
            has_changed |= record.add_crash(*incarnation, at(*age_ms));
        }
        let (trials, age_ms) = report.trials;
        if trials > record.trials && record.counted_crashes() >= QUARANTINE_CRASHES {
            record.trials = trials;
            record.last_trial_at = record.last_trial_at.max(Some(at(age_ms)));
            record.revision += 1;
            has_changed = true;
        }
        has_changed
    }

    /// Returns the report of a content, if there is a record.
    pub fn report(&self, content: ContentId, now: Duration) -> Option<ContentReport> {
        let now = now + EPOCH_OFFSET;
        let record = self.records.get(&content)?;
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        Some(ContentReport {
            content,
            crashes: record
                .crashes
                .iter()
                .map(|crash| (crash.incarnation, age_ms(crash.at)))
                .collect(),
            cleared: record.cleared.clone(),
            trials: (record.trials, record.last_trial_at.map_or(0, age_ms)),
        })
    }

    /// Returns whether this host's record contains more than a report.
    pub fn has_more_than(&self, report: &ContentReport) -> bool {
        let Some(record) = self.records.get(&report.content) else { return false };
        let is_reported = |incarnation: u64| {
            report.cleared.contains(&incarnation)
                || report.crashes.iter().any(|(reported, _)| *reported == incarnation)
        };
        record.trials > report.trials.0
            || record.crashes.iter().any(|crash| !is_reported(crash.incarnation))
            || record.cleared.iter().any(|incarnation| !report.cleared.contains(incarnation))
    }

    /// Returns a summary of each content.
    pub fn summaries(&self) -> impl Iterator<Item = ContentSummary> {
        self.records.iter().map(|(content, record)| ContentSummary {
            content: *content,
            revision: record.revision,
            is_local_origin: record.is_local_origin,
            is_for_all_hosts: record.crashes.len() >= BROADCAST_CRASHES_MIN
                || !record.cleared.is_empty(),
            is_persistent: record.counted_crashes() >= QUARANTINE_CRASHES,
        })
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Duration) {
        let now = now + EPOCH_OFFSET;
        self.records.retain(|_, record| !record.is_expired(now));
    }

    fn record_mut(&mut self, content: ContentId, now: Duration) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= RECORDS_MAX {
            self.records.retain(|_, record| !record.is_expired(now));
            // Evicts the content with the fewest crashes. Otherwise a flood of contents with
            // one crash each would evict quarantined ones.
            let least = self.records.iter().min_by_key(|(_, r)| (r.crashes.len(), r.updated_at));
            if let Some(least) = least.map(|(content, _)| *content)
                && self.records.len() >= RECORDS_MAX
            {
                self.records.remove(&least);
            }
        }
        let fresh = Record { updated_at: now, ..Record::default() };
        self.records.entry(content).or_insert(fresh)
    }
}

/// Returns the hosts that track the crashes of a content, in the order of their rendezvous rank
/// over all zones.
///
/// Hosts with a different view of the leases may choose other hosts, which only costs
/// additional messages.
pub fn tracking_hosts<'a>(
    content: ContentId,
    hosts: impl Iterator<Item = &'a HostLease>,
) -> Vec<&'a HostLease> {
    let name = content.to_string();
    let mut ranked: Vec<(u64, &HostLease)> =
        hosts.map(|host| (rendezvous_score(&name, &host.holder), host)).collect();
    ranked.sort_by(|a, b| (b.0, &b.1.holder).cmp(&(a.0, &a.1.holder)));
    let mut zone_counts: HashMap<&str, usize> = HashMap::new();
    let mut tracking_hosts: Vec<&HostLease> = Vec::new();
    for (_, host) in ranked {
        let chosen = zone_counts.entry(&host.zone).or_default();
        if *chosen < TRACKING_HOSTS_PER_ZONE {
            *chosen += 1;
            tracking_hosts.push(host);
        }
    }
    tracking_hosts
}
