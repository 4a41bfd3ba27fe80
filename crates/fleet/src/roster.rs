//! The backend servers, as the platform's list shows them.
//!
//! The list lags, forgets servers while the store is away and may be read at an
//! older state than one seen before. A roster takes over only newer rows. Rows that
//! are missing after the store was away are kept for a while, since living servers
//! write theirs again.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How long a server stays that was missing from the list when the store came back.
const LAPSED_KEPT_FOR: Duration = Duration::from_millis(1_900);
/// How long the store has to be away for entries to lapse without their servers.
const AWAY_MIN: Duration = Duration::from_millis(500);

/// Names an adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterId {
    /// The model's name.
    pub model: Arc<str>,
    /// The adapter's name.
    pub adapter: Arc<str>,
}

/// Names an adapter that a server holds, and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The adapter's name.
    pub name: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// Names a model that a server holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model's name.
    pub name: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// Its adapters on that server.
    pub adapters: Vec<HeldAdapter>,
}

/// Tells whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining {
        /// The time until it is gone, if known.
        remaining: Option<Duration>,
    },
}

/// Describes one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its id.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ServerState,
    /// When this incarnation started, in Unix milliseconds; a newer one knows nothing.
    pub born: u64,
    /// What it holds, for model engines.
    pub models: Vec<HeldModel>,
}

impl Server {
    /// Tells whether it lists an adapter.
    pub fn holds(&self, id: &AdapterId) -> bool {
        let held = self.models.iter().filter(|model| model.name == id.model);
        held.flat_map(|model| &model.adapters).any(|adapter| adapter.name == id.adapter)
    }

    /// Tells whether it may be sent new work.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }
}

/// Tells what became of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// It is new, or a new incarnation of its id.
    Started(Arc<Server>),
    /// Something about it changed.
    Changed(Arc<Server>),
    /// It takes no more work.
    Draining(Arc<Server>),
    /// It has left.
    Gone(Arc<Server>),
}

#[derive(Clone, Debug)]
struct Entry {
    server: Arc<Server>,
    revision: u64,
    /// When it is dropped, if the list does not show it again.
    lapses_at: Option<Duration>,
}

/// Follows the platform's list of servers.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<Arc<str>, Entry>,
    /// The revision of the newest state taken over.
    revision: u64,
    /// The revision of the last whole list: a row of before that is not in it is gone.
    listed: u64,
    /// The revisions at which rows went since the last whole list. News of one source may
    /// arrive behind newer ones of another.
    gone: BTreeMap<Arc<str>, u64>,
    away_since: Option<Duration>,
    /// Until when servers missing from the list are kept.
    forgiving_until: Duration,
}

/// Rows that are remembered as gone: far more than a source may lag behind another.
const GONE_MAX: usize = 4_096;

impl Roster {
    /// Returns the revision of the newest state taken over.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a server.
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Lists the servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Lists the servers whose rows were last seen, with the revisions of these.
    pub fn rows(&self) -> impl Iterator<Item = (&Arc<Server>, u64)> {
        let seen = self.entries.values().filter(|entry| entry.lapses_at.is_none());
        seen.map(|entry| (&entry.server, entry.revision))
    }

    /// Reports that the store could not be read.
    pub fn on_away(&mut self, now: Duration) {
        self.away_since.get_or_insert(now);
    }

    /// Reports that the store was read.
    pub fn on_back(&mut self, now: Duration) {
        if self.away_since.take().is_some_and(|since| now >= since + AWAY_MIN) {
            self.forgiving_until = now + LAPSED_KEPT_FOR;
        }
    }

    /// Takes over the whole list as of `revision`; an older one than seen is ignored.
    pub fn replace(
        &mut self,
        servers: Vec<(Server, u64)>,
        revision: u64,
        now: Duration,
    ) -> Vec<RosterChange> {
        if revision < self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let listed: std::collections::BTreeSet<Arc<str>> =
            servers.iter().map(|(server, _)| server.id.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes: Vec<RosterChange> =
            missing.into_iter().filter_map(|id| self.remove(&id, revision, now)).collect();
        for (server, row_revision) in servers {
            changes.extend(self.upsert(server, row_revision));
        }
        self.listed = revision;
        self.gone.clear();
        changes
    }

    /// Tells whether a row that is not here went after it had this revision.
    fn has_gone(&self, id: &str, revision: u64) -> bool {
        revision <= self.listed || self.gone.get(id).is_some_and(|gone| revision <= *gone)
    }

    /// Takes over one row.
    pub fn upsert(&mut self, server: Server, revision: u64) -> Option<RosterChange> {
        self.revision = self.revision.max(revision);
        if !self.entries.contains_key(&server.id) && self.has_gone(&server.id, revision) {
            return None;
        }
        let Some(entry) = self.entries.get_mut(&server.id) else {
            self.gone.remove(&server.id);
            let server = Arc::new(server);
            let entry = Entry { server: server.clone(), revision, lapses_at: None };
            self.entries.insert(server.id.clone(), entry);
            return Some(RosterChange::Started(server));
        };
        if revision < entry.revision {
            return None;
        }
        entry.revision = revision;
        entry.lapses_at = None;
        if *entry.server == server {
            return None;
        }
        let old = std::mem::replace(&mut entry.server, Arc::new(server));
        let new = entry.server.clone();
        Some(if old.born != new.born || old.address != new.address || old.service != new.service {
            RosterChange::Started(new)
        } else if old.is_ready() && !new.is_ready() {
            RosterChange::Draining(new)
        } else {
            RosterChange::Changed(new)
        })
    }

    /// Takes over that a row is gone.
    pub fn remove(&mut self, id: &str, revision: u64, now: Duration) -> Option<RosterChange> {
        self.revision = self.revision.max(revision);
        let entry = self.entries.get_mut(id)?;
        if revision < entry.revision {
            return None;
        }
        entry.revision = revision;
        if now < self.forgiving_until && entry.server.is_ready() {
            entry.lapses_at.get_or_insert(self.forgiving_until);
            return None;
        }
        self.remember_gone(id, revision);
        self.entries.remove(id).map(|entry| RosterChange::Gone(entry.server))
    }

    fn remember_gone(&mut self, id: &str, revision: u64) {
        if self.gone.len() >= GONE_MAX {
            let oldest = self.gone.iter().min_by_key(|(_, revision)| **revision);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.gone.remove(&oldest);
            }
        }
        self.gone.insert(id.into(), revision);
    }

    /// Drops a server that is known to be gone, as when its address answers for another one.
    pub fn forget(&mut self, id: &str) -> Option<RosterChange> {
        self.entries.remove(id).map(|entry| RosterChange::Gone(entry.server))
    }

    /// Drops servers that did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<RosterChange> {
        let lapsed = |entry: &Entry| entry.lapses_at.is_some_and(|at| at <= now);
        let ids: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| lapsed(entry))
            .map(|(id, _)| id.clone())
            .collect();
        ids.iter().filter_map(|id| self.forget(id)).collect()
    }
}
