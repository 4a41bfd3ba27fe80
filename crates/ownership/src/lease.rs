//! One process's part in the ownership of one engine.

use std::collections::BTreeSet;
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};

use crate::row::{Holder, OwnerRow};

/// Times the lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// How long a write of the row keeps the ownership.
    pub lease: Duration,
    /// How often the owner writes the row.
    pub renew: Duration,
    /// How often the other candidates read it.
    pub watch: Duration,
    /// What two clocks may drift apart over one lease.
    pub margin: Duration,
    /// How much longer each lower-ranked candidate waits.
    pub stagger: Duration,
    /// How long an engine takes to notice that a dead process has left its connections.
    pub settle: Duration,
    /// The longest deadline that any request may have.
    pub horizon: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        LeaseTimes {
            lease: Duration::from_millis(3_000),
            renew: Duration::from_millis(1_000),
            watch: Duration::from_millis(2_000),
            margin: Duration::from_millis(300),
            stagger: Duration::from_millis(400),
            settle: Duration::from_millis(1_000),
            horizon: Duration::from_secs(30),
        }
    }
}

/// Tells the process what to do next for this engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing for now.
    Nothing,
    /// Read the row.
    Read,
    /// Write the row on the condition that it is at `revision`.
    Commit {
        /// The new row.
        row: Box<OwnerRow>,
        /// The revision demanded; `None` demands that there is no row.
        revision: Option<u64>,
    },
}

/// Tells what an owner may order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Right {
    /// The fencing number that orders carry.
    pub fence: u64,
    /// Whether an eviction may be asked for.
    pub may_evict: bool,
    /// The adapter whose eviction is granted now.
    pub granted: Option<AdapterVersion>,
    /// Adapters that a former owner may still unload.
    pub barred: BTreeSet<AdapterVersion>,
}

/// Tells what this process is to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It owns the engine.
    Owner(Right),
    /// It was the owner and its lease has lapsed: it serves what is loaded and evicts nothing.
    Caretaker(Right),
    /// Another process owns the engine.
    Other(Name),
    /// Nobody is known to own it.
    Unknown,
}

#[derive(Clone, Debug)]
struct Seen {
    row: OwnerRow,
    revision: u64,
    /// When this revision was first seen.
    since: Duration,
}

#[derive(Clone, Debug)]
struct Sent {
    row: OwnerRow,
    at: Duration,
}

/// Contends for, keeps and gives up the ownership of one engine.
///
/// The caller passes the time, carries out [`Next`] one at a time, and reports
/// the outcome with one of the `on_` methods.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Holder,
    times: LeaseTimes,
    seen: Option<Seen>,
    absent: bool,
    sent: Option<Sent>,
    valid_until: Duration,
    read_at: Option<Duration>,
    must_read: bool,
    wish: Option<AdapterVersion>,
    leaving: bool,
    busy: bool,
    gone: Vec<(Name, Duration)>,
    dead: Vec<(Holder, Duration)>,
}

impl Lease {
    /// Makes the part of a process that knows nothing yet.
    pub fn new(me: Holder, times: LeaseTimes) -> Self {
        Lease {
            me,
            times,
            seen: None,
            absent: false,
            sent: None,
            valid_until: Duration::ZERO,
            read_at: None,
            must_read: true,
            wish: None,
            leaving: false,
            busy: false,
            gone: Vec::new(),
            dead: Vec::new(),
        }
    }

    /// Answers what to do next, for a process that is candidate number `rank`, if any.
    pub fn next(&mut self, rank: Option<usize>, now: Duration) -> Next {
        if self.sent.is_some() {
            return Next::Nothing;
        }
        if self.must_read {
            return Next::Read;
        }
        let next = match &self.seen {
            None if self.absent => self.next_vacant(rank),
            None => Next::Read,
            Some(seen) if seen.row.holder == self.me => self.next_holder(now),
            Some(_) => self.next_other(rank, now),
        };
        if let Next::Commit { row, .. } = &next {
            self.sent = Some(Sent { row: (**row).clone(), at: now });
        }
        next
    }

    /// Reports what a read found.
    pub fn on_row(&mut self, found: Option<(OwnerRow, u64)>, now: Duration) {
        self.read_at = Some(now);
        self.must_read = false;
        let Some((row, revision)) = found else {
            self.absent = true;
            self.seen = None;
            return;
        };
        self.absent = false;
        self.see(row, revision, now);
    }

    /// Reports that the last commit took effect.
    pub fn on_committed(&mut self, revision: u64, now: Duration) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        self.absent = false;
        self.extend(&sent);
        self.see(sent.row, revision, now);
    }

    /// Reports that the last commit had no effect, because the row had changed.
    pub fn on_conflict(&mut self) {
        self.sent = None;
        self.must_read = true;
    }

    /// Reports that the table did not answer; the last commit may have taken effect.
    pub fn on_no_answer(&mut self) {
        self.sent = None;
        self.must_read = true;
    }

    /// Asks for the right to unload an adapter; see [`Right::granted`].
    pub fn wish_evict(&mut self, adapter: &AdapterVersion) {
        self.wish = Some(adapter.clone());
    }

    /// Reports that the granted unload order was answered, or is not wanted any more.
    pub fn on_evicted(&mut self) {
        self.wish = None;
    }

    /// Reports whether this process may use the engine, or has something under way there.
    pub fn set_busy(&mut self, busy: bool) {
        self.busy = busy;
    }

    /// Asks to be relieved of the engine.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Takes over which hosts the platform lists.
    pub fn on_hosts(&mut self, is_listed: impl Fn(&Name) -> bool, now: Duration) {
        let former = self.seen.iter().flat_map(|seen| &seen.row.former);
        let gone: BTreeSet<&Name> =
            former.map(|f| &f.holder.host).filter(|host| !is_listed(host)).collect();
        let gone: Vec<Name> = gone.into_iter().cloned().collect();
        self.gone.retain(|(host, _)| gone.contains(host));
        for host in gone {
            if !self.gone.iter().any(|(known, _)| *known == host) {
                self.gone.push((host, now));
            }
        }
    }

    /// Reports that a process is proved dead: its probe address refuses connections.
    pub fn on_dead(&mut self, holder: &Holder, now: Duration) {
        if !self.dead.iter().any(|(known, _)| known == holder) {
            self.dead.push((holder.clone(), now));
        }
    }

    /// Lists the other processes whose death would let this one do more.
    pub fn suspects(&self) -> Vec<Holder> {
        let Some(seen) = &self.seen else {
            return Vec::new();
        };
        let former = seen.row.former.iter().map(|former| &former.holder);
        let others = former.chain([&seen.row.holder]).filter(|holder| holder.host != self.me.host);
        others.filter(|holder| !self.is_dead(holder)).cloned().collect()
    }

    /// Sets the longest deadline that any request may have.
    pub fn set_horizon(&mut self, horizon: Duration) {
        self.times.horizon = horizon;
    }

    /// Tells what this process is to the engine.
    pub fn role(&self, now: Duration) -> Role {
        match &self.seen {
            Some(seen) if seen.row.holder == self.me => match now < self.valid_until {
                true => Role::Owner(self.right(seen)),
                false => Role::Caretaker(caretaker_right(seen)),
            },
            Some(seen) => Role::Other(seen.row.holder.host.clone()),
            None => Role::Unknown,
        }
    }

    /// Tells whether the row still lists this process, as owner or former owner.
    pub fn is_listed(&self) -> bool {
        self.seen.as_ref().is_some_and(|seen| {
            seen.row.holder == self.me || seen.row.former.iter().any(|f| f.holder == self.me)
        })
    }

    fn see(&mut self, row: OwnerRow, revision: u64, now: Duration) {
        match &mut self.seen {
            Some(seen) if seen.revision == revision => seen.row = row,
            Some(seen) if seen.revision > revision => {}
            seen => *seen = Some(Seen { row, revision, since: now }),
        }
    }

    /// Counts the lease from the moment the write was sent.
    fn extend(&mut self, sent: &Sent) {
        if sent.row.holder == self.me {
            self.valid_until = sent.at + self.times.lease;
        }
    }

    fn right(&self, seen: &Seen) -> Right {
        let row = &seen.row;
        let may_evict = row.former.is_empty() && !row.leaving;
        let granted = row.evicting.clone().filter(|adapter| {
            may_evict && self.sent.is_none() && self.wish.as_ref() == Some(adapter)
        });
        Right { fence: row.fence, may_evict, granted, barred: barred(row) }
    }

    fn next_vacant(&self, rank: Option<usize>) -> Next {
        match rank {
            Some(_) if !self.leaving => commit(OwnerRow::first(self.me.clone()), None),
            _ => Next::Nothing,
        }
    }

    fn next_holder(&mut self, now: Duration) -> Next {
        let Some(seen) = &self.seen else {
            return Next::Read;
        };
        let mut row = seen.row.renewed();
        row.leaving = self.leaving;
        row.evicting = self.wish.clone();
        row.former.retain(|former| !self.is_spent(&former.holder, now));
        // A finished eviction is cleared by the next renewal, without a write of its own.
        let changed = row.leaving != seen.row.leaving
            || (self.wish.is_some() && row.evicting != seen.row.evicting)
            || row.former != seen.row.former;
        let due = now + self.times.lease >= self.valid_until + self.times.renew;
        match changed || due {
            true => commit(row, Some(seen.revision)),
            false => Next::Nothing,
        }
    }

    fn next_other(&self, rank: Option<usize>, now: Duration) -> Next {
        let Some(seen) = &self.seen else {
            return Next::Read;
        };
        let listed = seen.row.former.iter().any(|former| self.may_strike(&former.holder));
        if listed {
            let mut row = seen.row.renewed();
            row.former.retain(|former| !self.may_strike(&former.holder));
            return commit(row, Some(seen.revision));
        }
        if let Some(rank) = rank
            && !self.leaving
            && self.may_take_over(seen, rank, now)
        {
            let mut row = seen.row.taken_over(self.me.clone());
            // An order of this process from an earlier ownership may still be on its way.
            row.evicting = self.wish.clone();
            return commit(row, Some(seen.revision));
        }
        let stale = self.read_at.is_none_or(|at| now >= at + self.times.watch);
        if stale { Next::Read } else { Next::Nothing }
    }

    /// Tells whether a former owner is this idle process, or a dead one on this host.
    fn may_strike(&self, holder: &Holder) -> bool {
        let same_host = holder.host == self.me.host;
        same_host && (holder.incarnation != self.me.incarnation || !self.busy)
    }

    fn may_take_over(&self, seen: &Seen, rank: usize, now: Duration) -> bool {
        let patience = self.times.stagger * rank as u32;
        let same_host = seen.row.holder.host == self.me.host;
        let unchanged = now.saturating_sub(seen.since);
        let lapsed = unchanged >= self.times.lease + self.times.margin + patience;
        same_host
            || lapsed
            || (seen.row.leaving && unchanged >= patience)
            || self.is_dead(&seen.row.holder)
    }

    /// Tells whether nothing that a former owner sent can be under way any more.
    fn is_spent(&self, holder: &Holder, now: Duration) -> bool {
        let over = |since: Duration, time: Duration| now >= since + time;
        let gone = self.gone.iter().find(|(host, _)| *host == holder.host);
        let dead = self.dead.iter().find(|(dead, _)| dead == holder);
        gone.is_some_and(|(_, since)| over(*since, self.times.horizon))
            || dead.is_some_and(|(_, since)| over(*since, self.times.settle))
    }

    fn is_dead(&self, holder: &Holder) -> bool {
        self.dead.iter().any(|(dead, _)| dead == holder)
    }
}

fn barred(row: &OwnerRow) -> BTreeSet<AdapterVersion> {
    row.former.iter().filter_map(|former| former.evicting.clone()).collect()
}

fn caretaker_right(seen: &Seen) -> Right {
    Right { fence: seen.row.fence, may_evict: false, granted: None, barred: barred(&seen.row) }
}

fn commit(row: OwnerRow, revision: Option<u64>) -> Next {
    Next::Commit { row: Box::new(row), revision }
}
