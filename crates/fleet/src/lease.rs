//! Who may give orders to an engine.
//!
//! Engines need not check who orders them, so at most one entry host may order an
//! engine at a time, and a successor starts only when nothing of its predecessor can
//! arrive any more. A lease is a row of the store's table, written under the condition
//! that it is as last read; the revision of the write that claimed it is the fencing
//! token. Its end is a moment of the store's clock, which every answer of the store
//! shows: a holder takes the latest moment that the clock can show and stops early, a
//! successor the earliest and starts late, so that no host needs a true clock.

use std::net::SocketAddr;

use guavaspread_model::rendezvous_score;

use crate::backoff::Backoff;
use crate::prelude::*;

/// Sets how long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// From a write of the row to the lease's end.
    pub lease: Duration,
    /// Between two writes of the row.
    pub renew: Duration,
    /// From the end of a lease to the first order of another holder.
    pub quarantine: Duration,
}

/// Holds one row of the lease table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// The engine's id.
    pub engine: Arc<str>,
    /// The entry host that may order it.
    pub holder: Arc<str>,
    /// Where that entry host answers its peers.
    pub address: SocketAddr,
    /// The availability zone of that entry host.
    pub zone: Arc<str>,
    /// The lease's end, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// The row's revision as read; 0 if there is none.
    pub revision: u64,
}

/// Answers what to do next about leases.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseNext {
    /// Write these rows, each if its revision is still the one given.
    Write(Vec<LeaseRow>),
    /// Read the table: what it holds is not known.
    Read,
    /// Nothing until that moment.
    Wait(Duration),
}

#[derive(Clone, Copy, Debug)]
struct StoreClock {
    /// The clock's value in an answer, in milliseconds.
    shown_ms: u64,
    sent_at: Duration,
    received_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    fence: u64,
    until_ms: u64,
    renew_at: Duration,
}

/// Follows the leases of one entry host.
#[derive(Debug)]
pub struct LeaseBook {
    host: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    times: LeaseTimes,
    clock: Option<StoreClock>,
    rows: BTreeMap<Arc<str>, LeaseRow>,
    own: BTreeMap<Arc<str>, Own>,
    /// The engines there are; the flag tells those of the host's own zone.
    engines: BTreeMap<Arc<str>, bool>,
    /// Since when an engine has had no holder that counts.
    free_since: BTreeMap<Arc<str>, Duration>,
    stale: bool,
    read_at: Duration,
    reads: Backoff,
}

/// Between two reads of the table while an engine has no known holder.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Before the table is read again that is doubted, and after a first failure.
const REREAD_PAUSE: Duration = Duration::from_millis(250);
/// Spreads claims of an engine without a holder over its zone's entry hosts.
const CLAIM_SPREAD: Duration = Duration::from_millis(400);
/// Lets hosts that hold fewer engines claim first.
const CLAIM_DELAY_PER_ENGINE: Duration = Duration::from_millis(600);
/// Lets hosts of the engine's own zone claim first.
const CLAIM_DELAY_FAR: Duration = Duration::from_millis(2_000);
/// Orders stop that long before the lease's end: an order's way to the engine.
const ORDER_MARGIN_MS: u64 = 300;

impl LeaseBook {
    /// Makes the book of an entry host that holds nothing.
    pub fn new(host: Arc<str>, address: SocketAddr, zone: Arc<str>, times: LeaseTimes) -> Self {
        LeaseBook {
            host,
            address,
            zone,
            times,
            clock: None,
            rows: BTreeMap::new(),
            own: BTreeMap::new(),
            engines: BTreeMap::new(),
            free_since: BTreeMap::new(),
            stale: true,
            read_at: Duration::ZERO,
            reads: Backoff::new(REREAD_PAUSE, READ_INTERVAL),
        }
    }

    /// Takes over which engines there are, and whether each is of the host's own zone.
    pub fn set_engines(&mut self, engines: BTreeMap<Arc<str>, bool>) {
        self.own.retain(|engine, _| engines.contains_key(engine));
        self.free_since.retain(|engine, _| engines.contains_key(engine));
        self.engines = engines;
    }

    /// Takes over the whole table from an answer of the store.
    pub fn on_read(
        &mut self,
        rows: Vec<LeaseRow>,
        shown_ms: u64,
        sent_at: Duration,
        now: Duration,
    ) {
        self.on_clock(shown_ms, sent_at, now);
        self.rows = rows.into_iter().map(|row| (row.engine.clone(), row)).collect();
        self.stale = false;
        self.read_at = now;
        self.reads.on_success();
        let rows = &self.rows;
        let host = &self.host;
        self.own.retain(|engine, _| rows.get(engine).is_some_and(|row| row.holder == *host));
        for (engine, own) in &mut self.own {
            // A renewal whose answer was lost took effect if the row shows it.
            if let Some(row) = rows.get(engine) {
                own.until_ms = own.until_ms.max(row.until_ms);
            }
        }
    }

    /// Reports that rows were written at `revision`.
    pub fn on_written(
        &mut self,
        rows: Vec<LeaseRow>,
        revision: u64,
        shown_ms: u64,
        sent_at: Duration,
        now: Duration,
    ) {
        self.on_clock(shown_ms, sent_at, now);
        for row in rows {
            let renew_at = sent_at + self.times.renew;
            let until_ms = row.until_ms;
            let fresh = Own { fence: revision, until_ms, renew_at };
            let own = self.own.entry(row.engine.clone()).or_insert(fresh);
            own.until_ms = until_ms;
            own.renew_at = renew_at;
            self.free_since.remove(&row.engine);
            self.rows.insert(row.engine.clone(), LeaseRow { revision, ..row });
        }
    }

    /// Reports that a write was refused or its outcome is not known.
    pub fn on_write_failed(&mut self) {
        self.stale = true;
    }

    /// Reports that the table could not be read; it is read again after a while, which
    /// grows while the store refuses.
    pub fn on_read_failed(&mut self, now: Duration, refused: bool) {
        self.read_at = now;
        if refused {
            self.reads.on_failure();
        } else {
            self.reads.on_success();
        }
    }

    /// Reports that another host was seen to hold an engine, as from its answer.
    pub fn on_doubt(&mut self) {
        self.stale = true;
    }

    /// Returns the fencing token for orders to an engine, if the host may give any.
    pub fn fence(&self, engine: &str, now: Duration) -> Option<u64> {
        let own = self.own.get(engine)?;
        (self.latest_ms(now)? + ORDER_MARGIN_MS < own.until_ms).then_some(own.fence)
    }

    /// Returns the entry host that is known to hold an engine, and its address.
    pub fn holder(&self, engine: &str) -> Option<(&Arc<str>, SocketAddr)> {
        let row = self.rows.get(engine)?;
        Some((&row.holder, row.address))
    }

    /// Lists the leases as last read.
    pub fn rows(&self) -> impl Iterator<Item = &LeaseRow> {
        self.rows.values()
    }

    /// Lists the engines that the host may order.
    pub fn owned(&self, now: Duration) -> Vec<Arc<str>> {
        let owned = self.own.keys().filter(|engine| self.fence(engine, now).is_some());
        owned.cloned().collect()
    }

    /// Answers what to do next.
    pub fn next(&mut self, now: Duration) -> LeaseNext {
        if self.stale || self.clock.is_none() {
            let at = self.read_at + self.reads.pause();
            let first = self.read_at == Duration::ZERO;
            return if first || at <= now { LeaseNext::Read } else { LeaseNext::Wait(at) };
        }
        let due = self.due(now);
        if !due.is_empty() {
            return LeaseNext::Write(due);
        }
        self.next_wait(now)
    }

    /// Collects the rows to renew or claim; all renewals go along once one is due.
    fn due(&mut self, now: Duration) -> Vec<LeaseRow> {
        let mut engines: Vec<Arc<str>> = Vec::new();
        let is_due = self.own.values().any(|own| own.renew_at <= now);
        for engine in self.engines.keys().cloned().collect::<Vec<_>>() {
            let renew = is_due && self.own.contains_key(&engine);
            if renew || self.claim_at(&engine, now).is_some_and(|at| at <= now) {
                engines.push(engine);
            }
        }
        let until_ms = self.latest_ms(now).unwrap_or(0) + self.times.lease.as_millis() as u64;
        let row = |engine: Arc<str>| {
            let revision = self.rows.get(&engine).map_or(0, |row| row.revision);
            let holder = self.host.clone();
            let zone = self.zone.clone();
            LeaseRow { engine, holder, address: self.address, zone, until_ms, revision }
        };
        engines.into_iter().map(row).collect()
    }

    fn next_wait(&mut self, now: Duration) -> LeaseNext {
        let renewals = self.own.values().map(|own| own.renew_at).min();
        let engines: Vec<Arc<str>> = self.engines.keys().cloned().collect();
        let claims = engines.iter().filter_map(|engine| self.claim_at(engine, now)).min();
        if claims.is_some() && now >= self.read_at + READ_INTERVAL {
            return LeaseNext::Read;
        }
        let read_at = claims.map(|_| self.read_at + READ_INTERVAL);
        let at = [renewals, claims, read_at].into_iter().flatten().min();
        LeaseNext::Wait(at.unwrap_or(now + READ_INTERVAL).max(now))
    }

    /// Returns when the host may claim an engine, `None` while another holds it.
    fn claim_at(&mut self, engine: &Arc<str>, now: Duration) -> Option<Duration> {
        if self.own.contains_key(engine) {
            return None;
        }
        let row = self.rows.get(engine);
        // A lease of the process that ran here before: orders of one host have one holder.
        if row.is_some_and(|row| row.holder == self.host) {
            return Some(now);
        }
        let quarantine_ms = self.times.quarantine.as_millis() as u64;
        if row.is_some_and(|row| self.earliest_ms(now) < row.until_ms + quarantine_ms) {
            self.free_since.remove(engine);
            return None;
        }
        let since = *self.free_since.entry(engine.clone()).or_insert(now);
        let share = rendezvous_score(engine, &self.host) as f64 / u64::MAX as f64;
        let near = self.engines.get(engine).copied().unwrap_or(false);
        let far = if near { Duration::ZERO } else { CLAIM_DELAY_FAR };
        let held = CLAIM_DELAY_PER_ENGINE * self.own.len() as u32;
        Some(since + CLAIM_SPREAD.mul_f64(share) + held + far)
    }

    fn on_clock(&mut self, shown_ms: u64, sent_at: Duration, received_at: Duration) {
        self.clock = Some(StoreClock { shown_ms, sent_at, received_at });
    }

    /// Returns the latest moment that the store's clock can show.
    fn latest_ms(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.shown_ms + now.saturating_sub(clock.sent_at).as_millis() as u64 + 1)
    }

    /// Returns the earliest moment that the store's clock can show.
    fn earliest_ms(&self, now: Duration) -> u64 {
        self.clock.map_or(0, |clock| {
            clock.shown_ms + now.saturating_sub(clock.received_at).as_millis() as u64
        })
    }
}
