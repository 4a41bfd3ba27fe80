//! What an entry host knows of where adapters are loaded.
//!
//! The owner of an engine's orders grants the use of an adapter on it. What was granted
//! last is a hint for when no owner answers: an engine refuses what it does not hold.

use crate::prelude::*;
use crate::roster::AdapterId;

const GRANTS_MAX: usize = 16_384;

/// Remembers that an engine held an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The version loaded there.
    pub version: u64,
    /// When that is too old to go by.
    pub until: Duration,
}

/// Holds the grants that one entry host was given.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    grants: HashMap<(Arc<str>, AdapterId), Grant>,
}

impl Grants {
    /// Returns what is remembered at `now` for an adapter at least as new as `version_min`.
    pub fn get(
        &self,
        server: &Arc<str>,
        adapter: &AdapterId,
        version_min: u64,
        now: Duration,
    ) -> Option<Grant> {
        let grant = self.grants.get(&(server.clone(), adapter.clone()))?;
        (grant.until > now && grant.version >= version_min).then_some(*grant)
    }

    /// Remembers a grant.
    pub fn insert(&mut self, server: Arc<str>, adapter: AdapterId, grant: Grant, now: Duration) {
        if self.grants.len() >= GRANTS_MAX {
            self.grants.retain(|_, grant| grant.until > now);
        }
        self.grants.insert((server, adapter), grant);
    }

    /// Forgets a grant that the engine did not honour.
    pub fn revoke(&mut self, server: &Arc<str>, adapter: &AdapterId) {
        self.grants.remove(&(server.clone(), adapter.clone()));
    }

    /// Forgets what was granted on a server that left or started anew.
    pub fn revoke_server(&mut self, server: &str) {
        self.grants.retain(|(id, _), _| &**id != server);
    }
}
