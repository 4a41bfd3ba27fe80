//! Rows of leases and claims, and the actions on them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::appended_field::appended;
use crate::prelude::*;
use crate::quarantine::ContentReport;
use crate::revision::{ERA_MAX, revision_era};

/// Times that govern leases and their renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a lease is valid after its row is written.
    pub lease_ttl: Duration,
    /// The interval between two renewals.
    pub renewal_interval: Duration,
    /// The delay between the expiry of a lease and the first command of the next holder.
    /// Without it, a command of the previous holder can still arrive after the takeover.
    pub takeover_delay: Duration,
}

/// The lease of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLease {
    /// The entry host.
    pub holder: Arc<str>,
    /// The address at which the host serves its peers.
    pub address: SocketAddr,
    /// The availability zone of the host.
    pub zone: Arc<str>,
    /// The capacity of the host's network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// When the lease expires, in milliseconds of the store's clock; 0 after another host
    /// revoked it.
    pub until_ms: u64,
    /// The revision at which the row was read; 0 if there is no row.
    pub revision: u64,
    /// The era of the store in which the row was written. A row of an earlier era than the
    /// store's comes from the copy from which the store was restored.
    #[serde(skip)]
    pub era: u64,
}

/// The entry host that owns an engine while the host's lease is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The engine's id.
    pub engine: Arc<str>,
    /// The entry host.
    pub holder: Arc<str>,
    /// The revision at which the row was read; 0 if there is no row.
    pub revision: u64,
    /// The era of the store in which the row was written.
    pub era: u64,
    /// If the owner released the engine: until when its last command may arrive, in milliseconds of
    /// the store's clock.
    pub released_ms: Option<u64>,
}

/// The row that marks the start of an era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraStart {
    /// The era.
    pub era: u64,
    /// When a host noticed the era, in milliseconds of the store's clock. Everything that was
    /// acknowledged in an earlier era was acknowledged before.
    pub started_ms: u64,
    /// The revision at which the row was read.
    pub revision: u64,
}

/// Rows of leases and claims, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseTable {
    /// Leases of entry hosts.
    pub hosts: Vec<HostLease>,
    /// Claims on engines.
    pub claims: Vec<Claim>,
    /// The start of the current era and of earlier ones that were not removed.
    pub era_starts: Vec<EraStart>,
    /// The revision of the row that is written with each start of an era; 0 if there is none.
    pub era_mark: u64,
    /// Hosts whose rows can't be decoded, with the revisions of the rows. Their leases may be
    /// valid.
    pub unreadable_hosts: Vec<(Arc<str>, u64)>,
    /// Engines whose claims can't be decoded, with the revisions of the rows.
    pub unreadable_claims: Vec<(Arc<str>, u64)>,
    /// Hosts' reports of contents that crashed servers; the ages in them refer to the time of
    /// the read.
    pub content_reports: Vec<ContentReport>,
    /// The store's revision at the time of the read.
    pub revision: u64,
    /// The store's clock at the time of the read, in milliseconds.
    pub store_time_ms: u64,
}

impl LeaseTable {
    /// Returns the latest era that the table tells of: the one in which it was read, or a later
    /// one in which a row was written.
    pub fn latest_era(&self) -> u64 {
        let hosts = self.hosts.iter().map(|row| row.era);
        let claims = self.claims.iter().map(|row| row.era);
        let starts = self.era_starts.iter().map(|start| start.era);
        let eras = hosts.chain(claims).chain(starts).filter(|era| *era <= ERA_MAX);
        eras.fold(revision_era(self.revision), u64::max)
    }
}

/// The condition of a write that it takes effect only in the era in which it was prepared.
///
/// A write may reach the store late, after the store came back from an older copy. Its other
/// conditions may then hold by accident, because revisions are issued again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EraCondition {
    /// No era has a start row.
    Unmarked,
    /// The era's start row is at this revision.
    Started(u64),
    /// The write creates the start row of the era.
    Starts(Box<NewEra>),
}

/// What the first write in an era writes beside its leases and claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewEra {
    /// The time in the start row, in milliseconds of the store's clock.
    pub started_ms: u64,
    /// The revision of the mark as read, which the write replaces.
    pub mark: u64,
    /// Earlier eras, whose start rows the write removes.
    pub ended: Vec<u64>,
}

/// A transaction that renews a host's lease, claims engines and revokes the leases of their
/// previous holders.
///
/// The store writes all rows if each row is still at the revision given in it, and otherwise
/// none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The era of the store in which the write was prepared.
    pub era: u64,
    /// The condition on the era.
    pub era_condition: EraCondition,
    /// The host's own lease.
    pub host: HostLease,
    /// The claims on engines.
    pub claims: Vec<Claim>,
    /// Expired leases that the write revokes. A late renewal of such a lease then fails its
    /// revision condition.
    pub revoked: Vec<HostLease>,
    /// Leases that were revoked earlier. They are only a condition: the write fails if such a
    /// host has acquired a new lease.
    pub already_revoked: Vec<HostLease>,
    /// Leases of other hosts that the write renews on their behalf.
    pub renewed: Vec<HostLease>,
}

impl LeaseWrite {
    /// Creates a write that renews the leases of several hosts; `None` if there are none.
    pub fn from_renewals(
        era: u64,
        era_condition: EraCondition,
        leases: impl IntoIterator<Item = HostLease>,
    ) -> Option<Self> {
        let mut leases = leases.into_iter();
        let host = leases.next()?;
        let (claims, revoked, already_revoked) = (Vec::new(), Vec::new(), Vec::new());
        let renewed = leases.collect();
        Some(LeaseWrite { era, era_condition, host, claims, revoked, already_revoked, renewed })
    }

    /// Returns whether the write only renews an existing lease.
    pub fn is_renewal(&self) -> bool {
        self.host.revision > 0
            && !matches!(self.era_condition, EraCondition::Starts(_))
            && self.claims.is_empty()
            && self.revoked.is_empty()
            && self.already_revoked.is_empty()
    }
}

/// Summarizes which leases are valid, without listing every host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSummary {
    /// When the first of the summarized leases expires, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// The hosts whose leases the summary leaves out; `until_ms` does not apply to them.
    pub except: Vec<Arc<str>>,
    /// The number of live hosts. A host that does not read the table knows only those that had
    /// started before it. 0 if the sender does not state it.
    #[serde(deserialize_with = "appended")]
    pub holder_count: usize,
}

/// The next action on leases.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Write these rows.
    Write(LeaseWrite),
    /// Read the changes after this revision, or the whole table.
    Read(Option<u64>),
    /// Do nothing until this time.
    Wait(Duration),
}
