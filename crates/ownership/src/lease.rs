//! The lease state machine of one process for one engine.

use std::collections::BTreeSet;
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};

use crate::row::{Holder, OwnerRow};

/// The durations of the lease protocol.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// The time for which a write of the row extends the lease.
    pub ttl: Duration,
    /// The interval between the renewals of the owner.
    pub renew_interval: Duration,
    /// The interval between reads of the row by the other candidates.
    pub read_interval: Duration,
    /// The maximum drift between two clocks over one lease.
    pub clock_drift_max: Duration,
    /// The additional wait before a takeover per rank of the candidate.
    pub rank_delay: Duration,
    /// The time until an engine detects that the connections of a dead process are closed.
    pub disconnect_delay: Duration,
    /// The longest deadline of any request.
    pub request_deadline_max: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        LeaseTimes {
            ttl: Duration::from_millis(3_000),
            renew_interval: Duration::from_millis(1_000),
            read_interval: Duration::from_millis(2_000),
            clock_drift_max: Duration::from_millis(300),
            rank_delay: Duration::from_millis(400),
            disconnect_delay: Duration::from_millis(1_000),
            request_deadline_max: Duration::from_secs(30),
        }
    }
}

/// The action that the process must perform next for this engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// No action is due.
    Nothing,
    /// Read the row.
    Read,
    /// Write the row if its current revision is `revision`.
    Commit {
        /// The new row.
        row: Box<OwnerRow>,
        /// The expected revision, or `None` if the row must not exist.
        revision: Option<u64>,
    },
}

/// The commands that a process may send to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerPermissions {
    /// The fencing number of the commands.
    pub fence: u64,
    /// Whether an eviction may be requested.
    pub may_evict: bool,
    /// The adapter that may be unloaded now.
    pub granted_eviction: Option<AdapterVersion>,
    /// The adapters that a former owner may still unload, on which no request may start.
    pub blocked_adapters: BTreeSet<AdapterVersion>,
}

/// The role of this process for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// This process owns the engine.
    Owner(OwnerPermissions),
    /// The lease of this process has expired: it serves loaded adapters and evicts nothing.
    ExpiredOwner(OwnerPermissions),
    /// Another process owns the engine.
    OwnedBy(Name),
    /// No owner is known.
    Unknown,
}

#[derive(Clone, Debug)]
struct ObservedRow {
    row: OwnerRow,
    revision: u64,
    /// When this revision was first observed.
    since: Duration,
}

#[derive(Clone, Debug)]
struct PendingCommit {
    row: OwnerRow,
    at: Duration,
}

/// Acquires, renews and releases the ownership of one engine.
///
/// The caller passes the time, performs one [`LeaseAction`] at a time and reports its result with
/// one of the `on_` methods.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Holder,
    times: LeaseTimes,
    observed: Option<ObservedRow>,
    row_absent: bool,
    pending: Option<PendingCommit>,
    valid_until: Duration,
    read_at: Option<Duration>,
    must_read: bool,
    requested_eviction: Option<AdapterVersion>,
    leaving: bool,
    in_use: bool,
    unlisted_hosts: Vec<(Name, Duration)>,
    dead_processes: Vec<(Holder, Duration)>,
}

impl Lease {
    /// Creates the state of a process that has not read the row.
    pub fn new(me: Holder, times: LeaseTimes) -> Self {
        Lease {
            me,
            times,
            observed: None,
            row_absent: false,
            pending: None,
            valid_until: Duration::ZERO,
            read_at: None,
            must_read: true,
            requested_eviction: None,
            leaving: false,
            in_use: false,
            unlisted_hosts: Vec::new(),
            dead_processes: Vec::new(),
        }
    }

    /// Returns the next action; `rank` is the index of this process among the candidates, if any.
    pub fn next_action(&mut self, rank: Option<usize>, now: Duration) -> LeaseAction {
        if self.pending.is_some() {
            return LeaseAction::Nothing;
        }
        if self.must_read {
            return LeaseAction::Read;
        }
        let action = match &self.observed {
            None if self.row_absent => self.next_without_owner(rank),
            None => LeaseAction::Read,
            Some(observed) if observed.row.holder == self.me => self.next_as_owner(now),
            Some(_) => self.next_as_candidate(rank, now),
        };
        if let LeaseAction::Commit { row, .. } = &action {
            self.pending = Some(PendingCommit { row: (**row).clone(), at: now });
        }
        action
    }

    /// Handles a read of the row; `found` is the row with its revision.
    pub fn on_row_read(&mut self, found: Option<(OwnerRow, u64)>, now: Duration) {
        self.read_at = Some(now);
        self.must_read = false;
        let Some((row, revision)) = found else {
            self.row_absent = true;
            self.observed = None;
            return;
        };
        self.row_absent = false;
        self.observe(row, revision, now);
    }

    /// Handles a successful commit.
    pub fn on_committed(&mut self, revision: u64, now: Duration) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.row_absent = false;
        self.extend_lease(&pending);
        self.observe(pending.row, revision, now);
    }

    /// Handles a commit that was rejected because the row had changed.
    pub fn on_conflict(&mut self) {
        self.pending = None;
        self.must_read = true;
    }

    /// Handles a missing response of the table; the last commit may have taken effect.
    pub fn on_no_response(&mut self) {
        self.pending = None;
        self.must_read = true;
    }

    /// Requests permission to unload an adapter; [`OwnerPermissions::granted_eviction`] reports it.
    pub fn request_eviction(&mut self, adapter: &AdapterVersion) {
        self.requested_eviction = Some(adapter.clone());
    }

    /// Clears the requested eviction, because it has finished or is no longer needed.
    pub fn clear_eviction(&mut self) {
        self.requested_eviction = None;
    }

    /// Sets whether this process may use the engine or has commands or requests in flight there.
    pub fn set_in_use(&mut self, in_use: bool) {
        self.in_use = in_use;
    }

    /// Sets whether another process should take over the engine.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Handles a new host list of the platform.
    pub fn on_host_list(&mut self, is_listed: impl Fn(&Name) -> bool, now: Duration) {
        let former = self.observed.iter().flat_map(|observed| &observed.row.former);
        let gone: BTreeSet<&Name> =
            former.map(|f| &f.holder.host).filter(|host| !is_listed(host)).collect();
        let gone: Vec<Name> = gone.into_iter().cloned().collect();
        self.unlisted_hosts.retain(|(host, _)| gone.contains(host));
        for host in gone {
            if !self.unlisted_hosts.iter().any(|(known, _)| *known == host) {
                self.unlisted_hosts.push((host, now));
            }
        }
    }

    /// Records that a process is dead: its probe address refuses connections.
    pub fn on_process_dead(&mut self, holder: &Holder, now: Duration) {
        if !self.dead_processes.iter().any(|(known, _)| known == holder) {
            self.dead_processes.push((holder.clone(), now));
        }
    }

    /// Returns the processes on other hosts to probe: the owner and the former owners.
    ///
    /// The death of the owner permits a takeover, and that of a former owner permits evictions.
    pub fn processes_to_probe(&self) -> Vec<Holder> {
        let Some(observed) = &self.observed else {
            return Vec::new();
        };
        let former = observed.row.former.iter().map(|former| &former.holder);
        let others =
            former.chain([&observed.row.holder]).filter(|holder| holder.host != self.me.host);
        others.filter(|holder| !self.is_dead(holder)).cloned().collect()
    }

    /// Sets the longest deadline of any request.
    pub fn set_request_deadline_max(&mut self, request_deadline_max: Duration) {
        self.times.request_deadline_max = request_deadline_max;
    }

    /// Returns the role of this process for the engine.
    pub fn role(&self, now: Duration) -> Role {
        match &self.observed {
            Some(observed) if observed.row.holder == self.me => match now < self.valid_until {
                true => Role::Owner(self.permissions(observed)),
                false => Role::ExpiredOwner(expired_owner_permissions(observed)),
            },
            Some(observed) => Role::OwnedBy(observed.row.holder.host.clone()),
            None => Role::Unknown,
        }
    }

    /// Returns whether the row lists this process as owner or former owner.
    pub fn is_listed(&self) -> bool {
        self.observed.as_ref().is_some_and(|observed| {
            observed.row.holder == self.me
                || observed.row.former.iter().any(|f| f.holder == self.me)
        })
    }

    fn observe(&mut self, row: OwnerRow, revision: u64, now: Duration) {
        match &mut self.observed {
            Some(observed) if observed.revision == revision => observed.row = row,
            Some(observed) if observed.revision > revision => {}
            observed => *observed = Some(ObservedRow { row, revision, since: now }),
        }
    }

    /// Extends the lease from the time the write was sent, which is before other candidates can
    /// have observed it.
    fn extend_lease(&mut self, pending: &PendingCommit) {
        if pending.row.holder == self.me {
            self.valid_until = pending.at + self.times.ttl;
        }
    }

    fn permissions(&self, observed: &ObservedRow) -> OwnerPermissions {
        let row = &observed.row;
        let may_evict = row.former.is_empty() && !row.leaving;
        let granted_eviction = row.evicting.clone().filter(|adapter| {
            may_evict && self.pending.is_none() && self.requested_eviction.as_ref() == Some(adapter)
        });
        OwnerPermissions {
            fence: row.fence,
            may_evict,
            granted_eviction,
            blocked_adapters: blocked_adapters(row),
        }
    }

    fn next_without_owner(&self, rank: Option<usize>) -> LeaseAction {
        match rank {
            Some(_) if !self.leaving => commit(OwnerRow::first(self.me.clone()), None),
            _ => LeaseAction::Nothing,
        }
    }

    fn next_as_owner(&mut self, now: Duration) -> LeaseAction {
        let Some(observed) = &self.observed else {
            return LeaseAction::Read;
        };
        let mut row = observed.row.renewed();
        row.leaving = self.leaving;
        row.evicting = self.requested_eviction.clone();
        row.former.retain(|former| !self.is_quiescent(&former.holder, now));
        // The next renewal clears a finished eviction; a separate write is not needed.
        let changed = row.leaving != observed.row.leaving
            || (self.requested_eviction.is_some() && row.evicting != observed.row.evicting)
            || row.former != observed.row.former;
        let due = now + self.times.ttl >= self.valid_until + self.times.renew_interval;
        match changed || due {
            true => commit(row, Some(observed.revision)),
            false => LeaseAction::Nothing,
        }
    }

    fn next_as_candidate(&self, rank: Option<usize>, now: Duration) -> LeaseAction {
        let Some(observed) = &self.observed else {
            return LeaseAction::Read;
        };
        let removable =
            observed.row.former.iter().any(|former| self.can_remove_former(&former.holder));
        if removable {
            let mut row = observed.row.renewed();
            row.former.retain(|former| !self.can_remove_former(&former.holder));
            return commit(row, Some(observed.revision));
        }
        if let Some(rank) = rank
            && !self.leaving
            && self.can_take_over(observed, rank, now)
        {
            let mut row = observed.row.taken_over(self.me.clone());
            // An unload command from an earlier ownership of this process may still be in flight.
            row.evicting = self.requested_eviction.clone();
            return commit(row, Some(observed.revision));
        }
        let read_due = self.read_at.is_none_or(|at| now >= at + self.times.read_interval);
        if read_due { LeaseAction::Read } else { LeaseAction::Nothing }
    }

    /// Returns whether the former owner is this process while idle, or an earlier process on this
    /// host, which is dead.
    fn can_remove_former(&self, holder: &Holder) -> bool {
        let same_host = holder.host == self.me.host;
        same_host && (holder.incarnation != self.me.incarnation || !self.in_use)
    }

    fn can_take_over(&self, observed: &ObservedRow, rank: usize, now: Duration) -> bool {
        let delay = self.times.rank_delay * rank as u32;
        let same_host = observed.row.holder.host == self.me.host;
        let unchanged = now.saturating_sub(observed.since);
        let expired = unchanged >= self.times.ttl + self.times.clock_drift_max + delay;
        same_host
            || expired
            || (observed.row.leaving && unchanged >= delay)
            || self.is_dead(&observed.row.holder)
    }

    /// Returns whether no command or request of a former owner can be in flight.
    fn is_quiescent(&self, holder: &Holder, now: Duration) -> bool {
        let over = |since: Duration, time: Duration| now >= since + time;
        let gone = self.unlisted_hosts.iter().find(|(host, _)| *host == holder.host);
        let dead = self.dead_processes.iter().find(|(dead, _)| dead == holder);
        gone.is_some_and(|(_, since)| over(*since, self.times.request_deadline_max))
            || dead.is_some_and(|(_, since)| over(*since, self.times.disconnect_delay))
    }

    fn is_dead(&self, holder: &Holder) -> bool {
        self.dead_processes.iter().any(|(dead, _)| dead == holder)
    }
}

fn blocked_adapters(row: &OwnerRow) -> BTreeSet<AdapterVersion> {
    row.former.iter().filter_map(|former| former.evicting.clone()).collect()
}

fn expired_owner_permissions(observed: &ObservedRow) -> OwnerPermissions {
    OwnerPermissions {
        fence: observed.row.fence,
        may_evict: false,
        granted_eviction: None,
        blocked_adapters: blocked_adapters(&observed.row),
    }
}

fn commit(row: OwnerRow, revision: Option<u64>) -> LeaseAction {
    LeaseAction::Commit { row: Box::new(row), revision }
}
