//! The versions of each adapter, as this host knows them, and until when a request may begin on an
//! older one.
//!
//! A request runs on the version for which it was sent, and an engine may keep it in its queue until
//! the caller's deadline. A request that has not begun some time after a newer version became known
//! is therefore withdrawn.

use crate::prelude::*;
use crate::server_list::AdapterId;

/// How long after this host learned of a version a request that was sent for an older one may still
/// begin. With less, requests are withdrawn that an engine under load would still begin.
pub const OLD_VERSION_BEGIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Versions of one adapter that are told apart.
const VERSIONS_PER_ADAPTER_MAX: usize = 8;

/// A version of an adapter, and when this host learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownVersion {
    /// The version.
    pub version: u64,
    /// When this host learned of it.
    pub since: Duration,
}

/// The versions of the adapters that this host has learned of.
#[derive(Clone, Debug, Default)]
pub struct AdapterVersions {
    /// The latest versions of each adapter, in ascending order; never empty.
    known: HashMap<AdapterId, Vec<KnownVersion>>,
}

impl AdapterVersions {
    /// Records a version; returns whether it is newer than the ones known.
    pub fn on_version(&mut self, id: &AdapterId, version: u64, now: Duration) -> bool {
        if version <= self.newest(id) {
            return false;
        }
        let known = self.known.entry(id.clone()).or_default();
        if known.len() == VERSIONS_PER_ADAPTER_MAX {
            // The next one stands for both, so that no request may begin later than before.
            let oldest = known.remove(0);
            known[0].since = oldest.since;
        }
        known.push(KnownVersion { version, since: now });
        true
    }

    /// Returns the newest version of an adapter; 0 if none was named.
    pub fn newest(&self, id: &AdapterId) -> u64 {
        self.known.get(id).and_then(|known| known.last()).map_or(0, |newest| newest.version)
    }

    /// Returns the first version known that is newer than `version`.
    pub fn first_after(&self, id: &AdapterId, version: u64) -> Option<KnownVersion> {
        self.known.get(id)?.iter().find(|known| known.version > version).copied()
    }

    /// Returns until when a request that was sent for `version` may begin; `None` while no newer
    /// version is known.
    pub fn begin_by(&self, id: &AdapterId, version: u64) -> Option<Duration> {
        self.first_after(id, version).map(|newer| newer.since + OLD_VERSION_BEGIN_TIMEOUT)
    }

    /// Lists the newest version of each adapter.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterId, u64)> {
        self.known.iter().filter_map(|(id, known)| Some((id, known.last()?.version)))
    }
}
