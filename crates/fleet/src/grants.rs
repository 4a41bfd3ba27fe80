//! What an entry host knows of where adapters are loaded.
//!
//! The owner of an engine's orders grants the use of an adapter on it for a while.
//! A grant is a hint: an engine refuses what it does not hold, and the request then
//! asks its owner again.

use crate::prelude::*;
use crate::roster::AdapterId;

const GRANTS_MAX: usize = 16_384;

/// Allows requests for one adapter to go straight to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The version loaded there.
    pub version: u64,
    /// When the owner is to be asked again.
    pub until: Duration,
}

/// Holds the grants that one entry host was given.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    grants: HashMap<(Arc<str>, AdapterId), Grant>,
    /// Requests sent under a grant since its owner was last asked.
    uses: HashMap<(Arc<str>, AdapterId), u32>,
}

impl Grants {
    /// Uses the grant in force at `now` for an adapter at least as new as `version_min`.
    pub fn get(
        &mut self,
        server: &Arc<str>,
        adapter: &AdapterId,
        version_min: u64,
        now: Duration,
    ) -> Option<Grant> {
        let key = (server.clone(), adapter.clone());
        let grant = *self.grants.get(&key)?;
        if grant.until <= now || grant.version < version_min {
            return None;
        }
        *self.uses.entry(key).or_default() += 1;
        Some(grant)
    }

    /// Returns how often a grant was used since this was last asked.
    pub fn take_uses(&mut self, server: &Arc<str>, adapter: &AdapterId) -> u32 {
        self.uses.remove(&(server.clone(), adapter.clone())).unwrap_or(0)
    }

    /// Remembers a grant.
    pub fn insert(&mut self, server: Arc<str>, adapter: AdapterId, grant: Grant, now: Duration) {
        if self.grants.len() >= GRANTS_MAX {
            self.grants.retain(|_, grant| grant.until > now);
            self.uses.clear();
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
