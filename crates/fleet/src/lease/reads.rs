//! What a host takes over from a read of the table.

use super::{Claim, HostLease, LeaseManager, LeaseTable, RESPONSE_VALIDITY};
use crate::prelude::*;

impl LeaseManager {
    /// Records a read of the whole table, or of the changes since the last read.
    ///
    /// Ignores a read of an earlier era than the latest one known. A row of a later era than the
    /// store states tells of that era.
    pub fn on_read(
        &mut self,
        table: LeaseTable,
        is_complete: bool,
        sent_at: Duration,
        now: Duration,
    ) {
        self.on_era(table.latest_era(), now);
        if !self.is_current(table.revision) || !is_complete && self.revision.is_none() {
            self.read_at = now;
            return;
        }
        self.set_store_clock(table.store_time_ms, sent_at, now);
        if self.revision.is_none() && self.own_lease.is_none() {
            let is_empty = table.hosts.is_empty() && table.claims.is_empty();
            self.lacks_rows |= is_empty && !self.is_first_start;
        }
        if is_complete {
            self.forget_rows();
        }
        self.apply_era_starts(&table);
        self.hosts.extend(table.hosts.into_iter().map(|row| (row.holder.clone(), row)));
        self.claims.extend(table.claims.into_iter().map(|row| (row.engine.clone(), row)));
        for (holder, revision) in table.unreadable_hosts {
            self.on_unreadable_host(holder, revision, table.store_time_ms);
        }
        for (engine, revision) in table.unreadable_claims {
            // The holder may not know yet that its row was overwritten.
            let (holder, released_ms) = ("".into(), None);
            let unknown = Claim { engine: engine.clone(), holder, revision, era: 0, released_ms };
            let claim = self.claims.entry(engine).or_insert(unknown);
            // The overwritten row may have been a later claim.
            (claim.revision, claim.released_ms) = (revision, None);
        }
        self.ranks.clear();
        self.responded_at.retain(|_, at| now < *at + RESPONSE_VALIDITY);
        self.revision = Some(table.revision);
        self.is_stale = false;
        self.read_at = now;
        self.read_store_ms = table.store_time_ms;
        self.read_backoff.on_success();
        self.apply_own_rows();
        self.drop_lost_engines(now);
        self.forget_silent_owners();
    }

    /// Forgets the rows before a complete read, except for hosts that the copy may lack: until
    /// they write their leases again, they count as live by those of the earlier era.
    fn forget_rows(&mut self) {
        let era = self.era();
        self.hosts.retain(|_, row| row.era < era && row.until_ms > 0);
        self.hosts.values_mut().for_each(|row| row.revision = 0);
        self.claims.clear();
        self.era_start = None;
        self.era_mark = 0;
        self.ended_eras.clear();
    }

    fn apply_era_starts(&mut self, table: &LeaseTable) {
        self.era_mark = self.era_mark.max(table.era_mark);
        for start in &table.era_starts {
            if Some(start.era) == self.era {
                self.era_start = Some(*start);
            } else if !self.ended_eras.contains(&start.era) {
                self.ended_eras.push(start.era);
            }
        }
    }

    /// Records the revision of a host's row that can't be decoded. Writes on condition of an
    /// earlier revision would fail for good.
    fn on_unreadable_host(&mut self, holder: Arc<str>, revision: u64, store_time_ms: u64) {
        if holder == self.host {
            let (address, zone) = (self.address, self.zone.clone());
            let row = HostLease {
                holder,
                address,
                zone,
                link_mbps: 0,
                until_ms: 0,
                revision,
                era: self.era(),
            };
            self.hosts.insert(self.host.clone(), row);
        } else if let Some(row) = self.hosts.get_mut(&holder) {
            // The host may have renewed its lease until the row was overwritten, but not since.
            let until_ms = store_time_ms.saturating_add(self.times.lease_ttl.as_millis() as u64);
            row.until_ms = row.until_ms.max(until_ms);
            row.revision = revision;
        }
    }

    /// Drops the lease if another host revoked it, and the engines that other hosts claimed.
    fn apply_own_rows(&mut self) {
        let row = self.hosts.get(&self.host).filter(|row| row.until_ms > 0);
        match (row, &mut self.own_lease) {
            // A renewal without a response took effect if the row contains it.
            (Some(row), Some(own)) if row.until_ms > own.until_ms => {
                own.until_ms = row.until_ms;
                if let Some((_, sent_at)) = self.last_write.filter(|(ms, _)| *ms == row.until_ms) {
                    own.sent_at = sent_at;
                }
            }
            (Some(_), Some(_) | None) => {}
            (None, own_lease) => {
                *own_lease = None;
                self.fences.clear();
            }
        }
        let (claims, host) = (&self.claims, &self.host);
        // The holder of a claim that can't be decoded is unknown.
        let is_own = |row: &Claim| row.holder == *host || row.holder.is_empty();
        self.fences.retain(|engine, _| claims.get(engine).is_some_and(is_own));
    }

    /// Records that the store no longer has the requested changes; the whole table is read
    /// next.
    pub fn on_history_lost(&mut self) {
        self.revision = None;
        self.is_stale = true;
    }

    /// Records a failed read of the table; schedules the next read, with backoff while the
    /// store rejects reads.
    pub fn on_read_failed(&mut self, now: Duration, refused: bool) {
        self.read_at = now;
        if refused {
            self.read_backoff.on_failure();
        } else {
            self.read_backoff.on_success();
        }
    }
}
