//! The backend servers, as the platform's server list contains them.
//!
//! The list lags, loses servers while the store is unavailable and may be read at an older
//! revision than an earlier read. The local copy therefore applies only newer rows. After an
//! outage of the store, servers that are missing from the list are kept for a while, because
//! running servers write their rows again.
//!
//! A store that comes back from an older copy lists servers as they were. What is known of a
//! server's leaving holds on: a draining server never accepts requests again, and a row of the
//! copy brings back no server that was removed and no older incarnation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::revision::revision_era;

/// How long a server that is missing from the list after an outage of the store is kept.
const MISSING_SERVER_TTL: Duration = Duration::from_millis(1_900);
/// The minimum outage of the store after which rows of running servers may have expired.
const OUTAGE_MIN: Duration = Duration::from_millis(500);

/// The id of an adapter: its model and its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterId {
    /// The model's name.
    pub model: Arc<str>,
    /// The adapter's name.
    pub adapter: Arc<str>,
}

/// An adapter that a server has loaded, with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedAdapter {
    /// The adapter's name.
    pub name: Arc<str>,
    /// The adapter's version.
    pub version: u64,
}

/// A model that a server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub name: Arc<str>,
    /// The version of the weights.
    pub version: u64,
    /// The model's adapters on this server.
    pub adapters: Vec<LoadedAdapter>,
}

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and shuts down.
    Draining {
        /// The time until the server shuts down, if known.
        remaining: Option<Duration>,
    },
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The server's id.
    pub id: Arc<str>,
    /// The name of the service that the server provides.
    pub service: Arc<str>,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: Arc<str>,
    /// The number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// When this incarnation of the server started, in Unix milliseconds. A newer incarnation
    /// has none of the state of an older one.
    pub started_at_ms: u64,
    /// The version of the server's software, if known. What one version began, another one can't
    /// continue.
    pub software: Option<Arc<str>>,
    /// The loaded models, for model engines.
    pub models: Vec<LoadedModel>,
}

impl Server {
    /// Returns whether both are the same incarnation of the same server.
    pub fn is_same_process(&self, other: &Server) -> bool {
        self.id == other.id && self.started_at_ms == other.started_at_ms
    }

    /// Returns whether the server runs this version of the software; servers of no known version
    /// count as one version with an empty name.
    pub fn runs(&self, software: &str) -> bool {
        self.software.as_deref().unwrap_or("") == software
    }

    /// Returns whether the server lists an adapter as loaded.
    pub fn has_adapter(&self, id: &AdapterId) -> bool {
        let loaded = self.models.iter().filter(|model| model.name == id.model);
        loaded.flat_map(|model| &model.adapters).any(|adapter| adapter.name == id.adapter)
    }

    /// Returns whether the server accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }
}

/// A change of a server in the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// The server is new, or a new incarnation with a known id.
    Started(Arc<Server>),
    /// A property of the server changed.
    Changed(Arc<Server>),
    /// The server began to drain.
    Draining(Arc<Server>),
    /// The server was removed from the list.
    Removed(Arc<Server>),
}

#[derive(Clone, Debug)]
struct Entry {
    server: Arc<Server>,
    revision: u64,
    /// When the entry is removed unless the list contains the server again by then.
    remove_at: Option<Duration>,
}

/// A removed row.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// A row up to this revision does not bring the server back.
    revision: u64,
    started_at_ms: u64,
}

/// A local copy of the platform's server list.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    entries: BTreeMap<Arc<str>, Entry>,
    /// The newest revision applied.
    revision: u64,
    /// The revision of the last complete list. A row with an older revision that is not in that
    /// list was removed.
    list_revision: u64,
    /// The revision of the first complete list of the current era. A row with an older revision
    /// may come from the copy from which the store was restored.
    restored_revision: u64,
    /// Rows that were removed. They are needed because an older update from one source may arrive
    /// after a newer one from another, and because a restored store lists them again.
    removals: BTreeMap<Arc<str>, Removal>,
    outage_since: Option<Duration>,
    /// Until when servers that are missing from the list are kept.
    keep_missing_until: Duration,
}

/// The maximum number of remembered removals: far more than one source may lag behind another.
const REMOVALS_MAX: usize = 4_096;

impl ServerList {
    /// Returns the newest revision applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the server with an id.
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Returns all servers, including those that are kept although their rows are missing.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns the servers whose rows are in the list, each with its row's revision.
    pub fn rows(&self) -> impl Iterator<Item = (&Arc<Server>, u64)> {
        let listed = self.entries.values().filter(|entry| entry.remove_at.is_none());
        listed.map(|entry| (&entry.server, entry.revision))
    }

    /// Records a failed read of the store.
    pub fn on_store_unavailable(&mut self, now: Duration) {
        self.outage_since.get_or_insert(now);
    }

    /// Returns whether rows of running servers have not expired in an outage of the store, so that a
    /// missing row tells that its server is gone.
    pub fn is_expiry_ruled_out(&self, now: Duration) -> bool {
        self.outage_since.is_none() && now >= self.keep_missing_until
    }

    /// Records a successful read of the store; ends an outage.
    pub fn on_store_read(&mut self, now: Duration) {
        if self.outage_since.take().is_some_and(|since| now >= since + OUTAGE_MIN) {
            self.keep_missing_until = now + MISSING_SERVER_TTL;
        }
    }

    /// Applies the complete list as of `revision`; ignores a list older than the newest
    /// revision.
    pub fn replace_all(
        &mut self,
        servers: Vec<(Server, u64)>,
        revision: u64,
        now: Duration,
    ) -> Vec<ServerChange> {
        if revision_era(revision) > revision_era(self.list_revision) {
            self.begin_era(revision, now);
        } else if revision < self.revision {
            return Vec::new();
        }
        self.revision = self.revision.max(revision);
        let listed: std::collections::BTreeSet<Arc<str>> =
            servers.iter().map(|(server, _)| server.id.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes: Vec<ServerChange> =
            missing.into_iter().filter_map(|id| self.remove(&id, revision, now)).collect();
        for (server, row_revision) in servers {
            changes.extend(self.upsert(server, row_revision));
        }
        self.list_revision = revision;
        changes
    }

    /// Prepares for the first complete list after the store came back from an older copy.
    fn begin_era(&mut self, revision: u64, now: Duration) {
        if self.list_revision > 0 {
            self.restored_revision = revision;
            // Servers that started after the copy was made write their rows again.
            self.keep_missing_until = self.keep_missing_until.max(now + MISSING_SERVER_TTL);
        }
        for removal in self.removals.values_mut() {
            removal.revision = revision;
        }
    }

    /// Returns whether an unknown server's row was removed at or after this revision.
    fn is_removed(&self, server: &Server, revision: u64) -> bool {
        let removal = self.removals.get(&server.id).filter(|removal| {
            revision > self.restored_revision || server.started_at_ms <= removal.started_at_ms
        });
        revision <= self.list_revision
            || removal.is_some_and(|removal| revision <= removal.revision)
    }

    /// Returns whether a row comes from the copy and is of an older incarnation than `known`.
    fn is_older_incarnation(&self, known: &Server, server: &Server, revision: u64) -> bool {
        revision <= self.restored_revision && server.started_at_ms < known.started_at_ms
    }

    /// Applies one row; ignores it if a newer state of the row is known.
    pub fn upsert(&mut self, mut server: Server, revision: u64) -> Option<ServerChange> {
        self.revision = self.revision.max(revision);
        let known = self.entries.get(&server.id);
        let is_outdated = match known {
            Some(entry) => self.is_older_incarnation(&entry.server, &server, revision),
            None => self.is_removed(&server, revision),
        };
        let Some(entry) = self.entries.get_mut(&server.id) else {
            if is_outdated {
                return None;
            }
            self.removals.remove(&server.id);
            let server = Arc::new(server);
            let entry = Entry { server: server.clone(), revision, remove_at: None };
            self.entries.insert(server.id.clone(), entry);
            return Some(ServerChange::Started(server));
        };
        if revision < entry.revision {
            return None;
        }
        entry.revision = revision;
        entry.remove_at = None;
        if server.started_at_ms == entry.server.started_at_ms && !entry.server.is_ready() {
            // A server that drains does not return, whatever a restored row says.
            server.state = match server.state {
                ServerState::Ready => entry.server.state,
                state @ ServerState::Draining { .. } => state,
            };
        }
        if is_outdated || *entry.server == server {
            return None;
        }
        let old = std::mem::replace(&mut entry.server, Arc::new(server));
        let new = entry.server.clone();
        Some(
            if old.started_at_ms != new.started_at_ms
                || old.address != new.address
                || old.service != new.service
            {
                ServerChange::Started(new)
            } else if old.is_ready() && !new.is_ready() {
                ServerChange::Draining(new)
            } else {
                ServerChange::Changed(new)
            },
        )
    }

    /// Applies the removal of a row; ignores it if a newer row is known.
    pub fn remove(&mut self, id: &str, revision: u64, now: Duration) -> Option<ServerChange> {
        self.revision = self.revision.max(revision);
        let entry = self.entries.get_mut(id)?;
        if revision < entry.revision {
            return None;
        }
        entry.revision = revision;
        if now < self.keep_missing_until && entry.server.is_ready() {
            entry.remove_at.get_or_insert(self.keep_missing_until);
            return None;
        }
        self.remove_now(id)
    }

    fn record_removal(&mut self, entry: &Entry) {
        if self.removals.len() >= REMOVALS_MAX {
            let oldest = self.removals.iter().min_by_key(|(_, removal)| removal.revision);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.removals.remove(&oldest);
            }
        }
        let Entry { server, revision, .. } = entry;
        let removal = Removal { revision: *revision, started_at_ms: server.started_at_ms };
        self.removals.insert(server.id.clone(), removal);
    }

    /// Removes a server that is known to be gone.
    pub fn remove_now(&mut self, id: &str) -> Option<ServerChange> {
        let entry = self.entries.remove(id)?;
        self.record_removal(&entry);
        Some(ServerChange::Removed(entry.server))
    }

    /// Removes servers whose rows did not reappear in time.
    pub fn remove_missing(&mut self, now: Duration) -> Vec<ServerChange> {
        let is_due = |entry: &Entry| entry.remove_at.is_some_and(|at| at <= now);
        let ids: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_due(entry))
            .map(|(id, _)| id.clone())
            .collect();
        ids.iter().filter_map(|id| self.remove_now(id)).collect()
    }
}
