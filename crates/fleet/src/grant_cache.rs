//! A cache of the engines on which adapters are loaded.
//!
//! The owner of an engine grants the use of an adapter on it. The last grant serves as a hint while
//! no owner responds. A wrong hint is safe: an engine rejects requests for an adapter that it does
//! not hold.

use crate::prelude::*;
use crate::server_list::AdapterId;

const GRANTS_MAX: usize = 16_384;

/// The last grant of an adapter on an engine: the engine held the adapter at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The loaded version.
    pub version: u64,
    /// When the grant expires.
    pub expires_at: Duration,
}

/// Caches the grants that one entry host received.
#[derive(Clone, Debug, Default)]
pub struct GrantCache {
    grants: HashMap<(Arc<str>, AdapterId), Grant>,
}

impl GrantCache {
    /// Returns the grant of an adapter that is valid at `now`, if its version is at least
    /// `version_min`.
    pub fn get(
        &self,
        server: &Arc<str>,
        adapter: &AdapterId,
        version_min: u64,
        now: Duration,
    ) -> Option<Grant> {
        let grant = self.grants.get(&(server.clone(), adapter.clone()))?;
        (grant.expires_at > now && grant.version >= version_min).then_some(*grant)
    }

    /// Stores a grant.
    pub fn insert(&mut self, server: Arc<str>, adapter: AdapterId, grant: Grant, now: Duration) {
        if self.grants.len() >= GRANTS_MAX {
            self.grants.retain(|_, grant| grant.expires_at > now);
        }
        self.grants.insert((server, adapter), grant);
    }

    /// Removes a grant after the engine rejected a request that relied on it.
    pub fn invalidate(&mut self, server: &Arc<str>, adapter: &AdapterId) {
        self.grants.remove(&(server.clone(), adapter.clone()));
    }

    /// Removes all grants for a server that left or restarted.
    pub fn invalidate_server(&mut self, server: &str) {
        self.grants.retain(|(id, _), _| &**id != server);
    }
}
