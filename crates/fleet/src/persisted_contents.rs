//! Reports of quarantined contents in the store.

use guavaspread_model::ContentId;

use crate::lease::HostLease;
use crate::prelude::*;
use crate::quarantine::{ContentSummary, Quarantine, tracking_hosts};

/// The number of hosts that write a content; one of them may fail.
const WRITER_COUNT: usize = 2;
/// The maximum number of rows in one write.
const ROWS_PER_WRITE_MAX: usize = 32;

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
