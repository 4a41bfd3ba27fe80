//! The newest version of each adapter, as this host knows it.

use crate::prelude::*;
use crate::server_list::AdapterId;

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
    newest: HashMap<AdapterId, KnownVersion>,
}

impl AdapterVersions {
    /// Records a version; returns whether it is newer than the one known.
    pub fn on_version(&mut self, id: &AdapterId, version: u64, now: Duration) -> bool {
        if version <= self.newest(id) {
            return false;
        }
        self.newest.insert(id.clone(), KnownVersion { version, since: now });
        true
    }

    /// Returns the newest version of an adapter; 0 if none was named.
    pub fn newest(&self, id: &AdapterId) -> u64 {
        self.newest.get(id).map_or(0, |known| known.version)
    }

    /// Returns the newest version of an adapter if it is newer than `version`.
    pub fn newer_than(&self, id: &AdapterId, version: u64) -> Option<KnownVersion> {
        self.newest.get(id).copied().filter(|known| known.version > version)
    }

    /// Lists the newest version of each adapter.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterId, u64)> {
        self.newest.iter().map(|(id, known)| (id, known.version))
    }
}
