//! Rows of leases and claims, and what to do with them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::quarantine::ContentNote;

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

/// Holds the lease of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLease {
    /// The entry host.
    pub holder: Arc<str>,
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What its link carries, in Mbit a second; 0 if that is not known.
    pub link_mbps: u32,
    /// The lease's end, in milliseconds of the store's clock; 0 once another host ended it.
    pub until_ms: u64,
    /// The row's revision as read; 0 if there is none.
    pub revision: u64,
}

/// Names the entry host that may order an engine while its lease lasts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The engine's id.
    pub engine: Arc<str>,
    /// The entry host.
    pub holder: Arc<str>,
    /// The row's revision as read; 0 if there is none.
    pub revision: u64,
}

/// Holds rows of leases and claims, as the store showed them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseTable {
    /// Leases of entry hosts.
    pub hosts: Vec<HostLease>,
    /// Claims of engines.
    pub claims: Vec<Claim>,
    /// What hosts wrote of contents under which servers ended, as of now.
    pub contents: Vec<ContentNote>,
    /// The store's revision at that moment.
    pub revision: u64,
    /// The store's clock, in milliseconds.
    pub shown_ms: u64,
}

/// Renews a host's lease, claims engines, and ends the leases of those that had them.
///
/// All rows are written if each is at the revision given in it, or else none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The host's own lease.
    pub host: HostLease,
    /// The engines that it claims.
    pub claims: Vec<Claim>,
    /// Lapsed leases that it ends.
    pub ended: Vec<HostLease>,
    /// Leases that were ended before; only a condition, that the host has no new one.
    pub ended_before: Vec<HostLease>,
    /// Leases of further hosts that it renews for them.
    pub renewed: Vec<HostLease>,
}

impl LeaseWrite {
    /// Renews leases of several hosts; `None` without any.
    pub fn of_renewals(leases: impl IntoIterator<Item = HostLease>) -> Option<Self> {
        let mut leases = leases.into_iter();
        let host = leases.next()?;
        let (claims, ended, ended_before) = (Vec::new(), Vec::new(), Vec::new());
        Some(LeaseWrite { host, claims, ended, ended_before, renewed: leases.collect() })
    }

    /// Tells whether it only renews a lease that there is already.
    pub fn is_renewal(&self) -> bool {
        self.host.revision > 0
            && self.claims.is_empty()
            && self.ended.is_empty()
            && self.ended_before.is_empty()
    }
}

/// Says of many leases that they last, without naming them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasesLast {
    /// Until then at least, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// The hosts of which that is not known.
    pub except: Vec<Arc<str>>,
}

/// Answers what to do next about leases.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseNext {
    /// Write these rows.
    Write(LeaseWrite),
    /// Read what changed behind that revision, or the whole table.
    Read(Option<u64>),
    /// Nothing until that moment.
    Wait(Duration),
}
