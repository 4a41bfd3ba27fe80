//! Content that ends the servers that run it.
//!
//! Answers the pattern of a request that ends each server that begins to run it and comes
//! again and again, at any entry host: each repeat by itself looks like a sound request whose
//! server failed. Servers' ends are counted by content over all hosts. Behind the third one
//! the content is held: it is refused at once, everywhere, until the hold runs out. Then it is
//! let through once, on one server, as a trial; if that server ends too, the next hold is
//! longer by far.
//!
//! Servers also end for reasons of their own, and take sound content with them. An answer that
//! came to its end shows that the content is sound: its count starts anew, on all hosts.
//!
//! What hosts tell each other is merged, not added: a server's end is known by the server's
//! start, so that hearing of it twice, late, or from two hosts changes nothing.

use guavaspread_model::{ContentId, content_hash, rendezvous_score};
use serde::{Deserialize, Serialize};

use crate::endings::Ending;
use crate::lease::HostLease;
use crate::prelude::*;

/// Servers that end under content before it is held.
const ENDS_MAX: usize = 3;
/// Servers that end that soon after each other may have ended together, for a reason beyond the
/// content, as when a part of them is lost: requests that are sent again at once meet several.
const BURST: Duration = Duration::from_secs(1);
/// Ends that count of such a burst.
const BURST_ENDS: usize = 2;
/// Ends of a burst that are not put down to chance: they count as much as three that are apart.
const ENDS_CERTAIN: usize = 4;
/// By how much word of one end may differ, by its way between hosts.
const TRANSIT: Duration = Duration::from_millis(100);
/// Added to the time that callers pass, so that what is older than they are has a moment.
const EPOCH: Duration = Duration::from_secs(60 * 24 * 60 * 60);
/// How long it is held behind the third end, the fourth, and so on: a trial that fails costs a
/// server with all that it runs.
const HOLDS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Within which it is mostly known what came of a trial: callers may come back then.
const TRIAL_TIME: Duration = Duration::from_secs(10);
/// Ends from which on hosts that don't count the content hear of it.
const ENDS_TOLD: usize = 2;
/// How long content is remembered behind the last end under it, if it is not held for longer.
const KEPT_FOR: Duration = Duration::from_secs(60 * 60);
/// Contents that are remembered.
const RECORDS_MAX: usize = 4_096;
/// Ends that are remembered of one content: copies of it may run at many servers at once.
const ENDS_KEPT: usize = 64;
/// Ends that are remembered as cleared: more than are under way at once between hosts.
const CLEARED_KEPT: usize = 2 * ENDS_KEPT;
/// Entry hosts of a zone that count a content: one may fail.
const COUNTERS: usize = 2;

/// Tells whether content may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It may.
    Open,
    /// It is held for so long.
    Held(Duration),
    /// It may be let through once, if the host that grants trials agrees.
    Trial,
}

/// One server's end under a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct End {
    /// Names the server's start.
    start: u64,
    at: Duration,
}

/// What is known of one content.
#[derive(Clone, Debug, Default)]
struct Record {
    ends: Vec<End>,
    /// Starts of servers whose ends no longer count, since the content has run to its end.
    cleared: Vec<u64>,
    trials: u32,
    last_trial_at: Option<Duration>,
    touched_at: Duration,
    /// Grows with each change of what is known here.
    revision: u64,
    /// Whether some of it was first known here.
    is_own: bool,
}

/// Lists a content, for those who tell other hosts of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownContent {
    /// The content.
    pub content: ContentId,
    /// Grows with each change of what is known here.
    pub revision: u64,
    /// Whether some of that was first known here, so that the hosts that count hear it from here.
    pub is_own: bool,
    /// Whether hosts have to hear of it that don't count it.
    pub is_for_all: bool,
    /// Whether it is held, or was until it ran to its end: what outlasts all hosts.
    is_grave: bool,
}

/// Decides which contents are written to the store, so that hosts know of them that start when
/// no other host is left.
///
/// The first hosts that count a content write it, each for itself: a write that is lost or done
/// twice changes nothing, since what is read is merged.
#[derive(Clone, Debug, Default)]
pub struct SavedContents {
    /// What is in the store by what is known here; the revision is the one written from here.
    rows: BTreeMap<ContentId, u64>,
}

/// Hosts that write a content.
const WRITERS: usize = 2;
/// Rows in one write.
const ROWS_MAX: usize = 32;

impl SavedContents {
    /// Takes over that the store has a row of a content.
    pub fn on_read(&mut self, content: ContentId) {
        self.rows.entry(content).or_insert(0);
    }

    /// Takes over that these were written, and those removed.
    pub fn on_written(&mut self, written: &[KnownContent], removed: &[ContentId]) {
        self.rows.extend(written.iter().map(|known| (known.content, known.revision)));
        for content in removed {
            self.rows.remove(content);
        }
    }

    /// Lists the contents to write.
    pub fn due<'a>(
        &self,
        host: &str,
        contents: impl Iterator<Item = KnownContent>,
        hosts: impl Iterator<Item = &'a HostLease> + Clone,
    ) -> Vec<KnownContent> {
        let is_due = |known: &KnownContent| {
            let saved = self.rows.get(&known.content);
            let is_news = match saved {
                Some(revision) => *revision < known.revision,
                None => known.is_grave,
            };
            is_news && writes(host, known.content, hosts.clone())
        };
        contents.filter(is_due).take(ROWS_MAX).collect()
    }

    /// Lists the contents whose rows are to be removed, as nothing is known of them any more.
    pub fn outdated<'a>(
        &mut self,
        host: &str,
        quarantine: &Quarantine,
        hosts: impl Iterator<Item = &'a HostLease> + Clone,
    ) -> Vec<ContentId> {
        // What another host writes, it also removes.
        self.rows.retain(|content, _| {
            quarantine.knows(*content) || writes(host, *content, hosts.clone())
        });
        let forgotten = self.rows.keys().filter(|content| !quarantine.knows(**content));
        forgotten.copied().take(ROWS_MAX).collect()
    }

    /// Tells whether the store has no row by what is known here.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn writes<'a>(host: &str, content: ContentId, hosts: impl Iterator<Item = &'a HostLease>) -> bool {
    counters(content, hosts).iter().take(WRITERS).any(|counter| *counter.holder == *host)
}

/// Says what one host knows of a content; times are ages, as hosts' clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentNote {
    /// The content.
    pub content: ContentId,
    /// Ends of servers under it: the name of the server's start, and the age in milliseconds.
    pub ends: Vec<(u64, u64)>,
    /// Starts of servers whose ends no longer count.
    pub cleared: Vec<u64>,
    /// Trials granted, and the last one's age in milliseconds.
    pub trials: (u32, u64),
}

impl ContentNote {
    /// Returns the note as it reads so much later.
    pub fn aged(mut self, by: Duration) -> Self {
        let by_ms = by.as_millis() as u64;
        for (_, age_ms) in &mut self.ends {
            *age_ms += by_ms;
        }
        self.trials.1 += by_ms;
        self
    }
}

/// Counts the ends of servers under contents, and holds those that go on ending them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<ContentId, Record>,
}

impl Record {
    /// Returns the end of the hold, if the content is held or was.
    fn held_until(&self) -> Option<Duration> {
        let last = self.ends.iter().map(|end| end.at).max()?;
        if self.counted() < ENDS_MAX {
            return None;
        }
        // A trial of which nothing was heard counts like one that failed; of one that failed at a
        // host that is gone, only the end is known.
        let failed = (self.trials as usize).max(self.bursts().len().saturating_sub(ENDS_MAX));
        let hold = HOLDS.get(failed).or(HOLDS.last()).copied().unwrap_or_default();
        Some(last.max(self.last_trial_at.unwrap_or_default()) + hold)
    }

    /// Returns how many ends count.
    fn counted(&self) -> usize {
        let count = |burst: usize| match burst {
            burst if burst < ENDS_CERTAIN => burst.min(BURST_ENDS),
            _ => ENDS_MAX,
        };
        self.bursts().into_iter().map(count).sum()
    }

    /// Returns how many servers ended together, and how many after these.
    fn bursts(&self) -> Vec<usize> {
        let mut times: Vec<Duration> = self.ends.iter().map(|end| end.at).collect();
        times.sort();
        let mut left = times.as_slice();
        let mut bursts = Vec::new();
        while let Some(first) = left.first() {
            let together = left.iter().take_while(|at| **at < *first + BURST).count();
            bursts.push(together);
            left = &left[together..];
        }
        bursts
    }

    /// Returns until when word of a trial may come.
    fn trial_until(&self) -> Option<Duration> {
        let at = self.last_trial_at?;
        self.ends.iter().all(|end| end.at < at).then_some(at + TRIAL_TIME)
    }

    fn add_end(&mut self, start: u64, at: Duration) -> bool {
        if self.cleared.contains(&start) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|end| end.start == start) {
            // Who saw it first is nearest to the truth.
            let is_news = at + TRANSIT < known.at;
            known.at = known.at.min(at);
            self.revision += u64::from(is_news);
            return is_news;
        }
        if self.ends.len() >= ENDS_KEPT {
            return false;
        }
        self.ends.push(End { start, at });
        self.touched_at = self.touched_at.max(at);
        self.revision += 1;
        true
    }

    /// Takes back the ends of these starts.
    fn clear(&mut self, starts: impl IntoIterator<Item = u64>, now: Duration) -> bool {
        let mut is_news = false;
        for start in starts {
            if !self.cleared.contains(&start) {
                self.cleared.push(start);
                is_news = true;
            }
        }
        // Word of those that ended first has long come.
        let beyond = self.cleared.len().saturating_sub(CLEARED_KEPT);
        self.cleared.drain(..beyond);
        if is_news {
            self.revision += 1;
            let cleared = &self.cleared;
            self.ends.retain(|end| !cleared.contains(&end.start));
            self.touched_at = self.touched_at.max(now);
            if self.counted() < ENDS_MAX {
                self.trials = 0;
                self.last_trial_at = None;
            }
        }
        is_news
    }

    fn is_forgotten(&self, now: Duration) -> bool {
        let held_until = self.held_until().unwrap_or_default();
        now >= held_until && now >= held_until.max(self.touched_at) + KEPT_FOR
    }
}

impl Quarantine {
    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tells whether anything is known of a content.
    pub fn knows(&self, content: ContentId) -> bool {
        self.records.contains_key(&content)
    }

    /// Counts the contents that are held.
    pub fn held(&self, now: Duration) -> usize {
        let now = now + EPOCH;
        let held = |record: &&Record| record.held_until().is_some_and(|until| until > now);
        self.records.values().filter(held).count()
    }

    /// Returns how many servers are known to have ended under the content.
    pub fn ends(&self, content: ContentId) -> usize {
        self.records.get(&content).map_or(0, |record| record.ends.len())
    }

    /// Takes over that a server ended under a content; tells whether that is news.
    pub fn on_end(&mut self, ending: &Ending, now: Duration) -> bool {
        let now = now + EPOCH;
        let start = content_hash(format!("{}@{}", ending.server, ending.born).as_bytes());
        let record = self.record(ending.content, now);
        let is_news = record.add_end(start, now);
        record.is_own |= is_news;
        is_news
    }

    /// Takes over that a content has run to its end; tells whether any end was counted.
    pub fn on_whole(&mut self, content: ContentId, now: Duration) -> bool {
        let now = now + EPOCH;
        let Some(record) = self.records.get_mut(&content) else { return false };
        let starts: Vec<u64> = record.ends.iter().map(|end| end.start).collect();
        let is_news = record.clear(starts, now);
        record.is_own |= is_news;
        is_news
    }

    /// Tells whether a content may be sent to servers.
    pub fn passage(&self, content: ContentId, now: Duration) -> Passage {
        let now = now + EPOCH;
        let Some(record) = self.records.get(&content) else { return Passage::Open };
        match record.held_until() {
            None => Passage::Open,
            Some(until) if until > now => {
                let trial_until = record.trial_until().filter(|until| *until > now);
                Passage::Held(until.min(trial_until.unwrap_or(until)) - now)
            }
            Some(_) => Passage::Trial,
        }
    }

    /// Decides whether a content is let through once; what follows waits for what comes of it.
    pub fn grant_trial(&mut self, content: ContentId, now: Duration) -> bool {
        match self.passage(content, now) {
            Passage::Open => true,
            Passage::Held(_) => false,
            Passage::Trial => {
                let now = now + EPOCH;
                let record = self.record(content, now);
                let failed = record.bursts().len().saturating_sub(ENDS_MAX) as u32;
                record.trials = record.trials.max(failed) + 1;
                record.last_trial_at = Some(now);
                record.revision += 1;
                record.is_own = true;
                true
            }
        }
    }

    /// Takes over what another host knows; tells whether any of it is news.
    pub fn merge(&mut self, note: &ContentNote, now: Duration) -> bool {
        let now = now + EPOCH;
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let record = self.record(note.content, now);
        let mut is_news = record.clear(note.cleared.iter().copied(), now);
        for (start, age_ms) in &note.ends {
            is_news |= record.add_end(*start, at(*age_ms));
        }
        let (trials, age_ms) = note.trials;
        if trials > record.trials && record.counted() >= ENDS_MAX {
            record.trials = trials;
            record.last_trial_at = record.last_trial_at.max(Some(at(age_ms)));
            record.revision += 1;
            is_news = true;
        }
        is_news
    }

    /// Says what is known of a content.
    pub fn note(&self, content: ContentId, now: Duration) -> Option<ContentNote> {
        let now = now + EPOCH;
        let record = self.records.get(&content)?;
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        Some(ContentNote {
            content,
            ends: record.ends.iter().map(|end| (end.start, age_ms(end.at))).collect(),
            cleared: record.cleared.clone(),
            trials: (record.trials, record.last_trial_at.map_or(0, age_ms)),
        })
    }

    /// Tells whether more is known here than a note says.
    pub fn knows_more(&self, note: &ContentNote) -> bool {
        let Some(record) = self.records.get(&note.content) else { return false };
        let is_told = |start: u64| {
            note.cleared.contains(&start) || note.ends.iter().any(|(told, _)| *told == start)
        };
        record.trials > note.trials.0
            || record.ends.iter().any(|end| !is_told(end.start))
            || record.cleared.iter().any(|start| !note.cleared.contains(start))
    }

    /// Lists the contents.
    pub fn contents(&self) -> impl Iterator<Item = KnownContent> {
        self.records.iter().map(|(content, record)| KnownContent {
            content: *content,
            revision: record.revision,
            is_own: record.is_own,
            is_for_all: record.ends.len() >= ENDS_TOLD || !record.cleared.is_empty(),
            is_grave: record.counted() >= ENDS_MAX,
        })
    }

    /// Forgets what has not come up for long.
    pub fn expire(&mut self, now: Duration) {
        let now = now + EPOCH;
        self.records.retain(|_, record| !record.is_forgotten(now));
    }

    fn record(&mut self, content: ContentId, now: Duration) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= RECORDS_MAX {
            self.records.retain(|_, record| !record.is_forgotten(now));
            // A flood of contents that end one server each must not free those that are held.
            let least = self.records.iter().min_by_key(|(_, r)| (r.ends.len(), r.touched_at));
            if let Some(least) = least.map(|(content, _)| *content)
                && self.records.len() >= RECORDS_MAX
            {
                self.records.remove(&least);
            }
        }
        let fresh = Record { touched_at: now, ..Record::default() };
        self.records.entry(content).or_insert(fresh)
    }
}

/// Ranks the hosts of each zone that count the ends under a content: those first that come
/// first for it over all zones.
///
/// Hosts that know of other leases choose otherwise, and tell some hosts more.
pub fn counters<'a>(
    content: ContentId,
    hosts: impl Iterator<Item = &'a HostLease>,
) -> Vec<&'a HostLease> {
    let name = content.to_string();
    let mut ranked: Vec<(u64, &HostLease)> =
        hosts.map(|host| (rendezvous_score(&name, &host.holder), host)).collect();
    ranked.sort_by(|a, b| (b.0, &b.1.holder).cmp(&(a.0, &a.1.holder)));
    let mut of_zone: HashMap<&str, usize> = HashMap::new();
    let mut counters: Vec<&HostLease> = Vec::new();
    for (_, host) in ranked {
        let chosen = of_zone.entry(&host.zone).or_default();
        if *chosen < COUNTERS {
            *chosen += 1;
            counters.push(host);
        }
    }
    counters
}
