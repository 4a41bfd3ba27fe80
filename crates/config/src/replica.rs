//! The copy of the configuration in one process.

use std::sync::Arc;
use std::time::Duration;

use guavaspread_model::Config;

use crate::row::{ChangeRecord, ConfigHead};

/// The action that the process must perform next to follow the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// No action is due until the head changes.
    Nothing,
    /// Read the records of the revisions from `from` to `to`, inclusive.
    Fetch {
        /// The first revision.
        from: u64,
        /// The last revision.
        to: u64,
    },
    /// Write an acknowledgement of this staged revision.
    Acknowledge(u64),
}

/// The configuration as this process knows it.
#[derive(Clone, Debug)]
pub struct ConfigView {
    /// The committed configuration, if known.
    pub config: Option<Arc<Config>>,
    /// A staged configuration that may have been committed since.
    pub in_doubt: Option<Arc<Config>>,
}

#[derive(Clone, Debug)]
struct StagedConfig {
    config: Arc<Config>,
    acknowledged: bool,
}

/// Follows the head row and maintains the committed configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    config: Arc<Config>,
    /// Whether `config` has ever reached the committed revision of the head.
    caught_up: bool,
    staged: Option<StagedConfig>,
    head: ConfigHead,
    /// The row revision of `head` in the table.
    head_revision: u64,
    head_read_at: Duration,
    grace: Duration,
}

impl Replica {
    /// Creates a replica without a configuration.
    ///
    /// An acknowledged change is in doubt once the head has not been read for `grace`.
    pub fn new(grace: Duration) -> Self {
        Replica {
            config: Arc::default(),
            caught_up: false,
            staged: None,
            head: ConfigHead::default(),
            head_revision: 0,
            head_read_at: Duration::ZERO,
            grace,
        }
    }

    /// Handles the head row, which this process or a peer read from the table at `read_at`.
    ///
    /// `revision` is the row revision, or 0 if there is no row. A row older than the known one is
    /// ignored.
    pub fn on_head(&mut self, head: ConfigHead, revision: u64, read_at: Duration) -> ReplicaAction {
        self.head_read_at = self.head_read_at.max(read_at);
        if revision < self.head_revision {
            return self.next_action();
        }
        self.head = head;
        self.head_revision = revision;
        self.resolve_staged();
        self.next_action()
    }

    /// Handles change records, which must be in the order of their revisions.
    pub fn on_records(&mut self, records: &[ChangeRecord]) -> ReplicaAction {
        for record in records {
            self.on_record(record);
        }
        self.next_action()
    }

    /// Replaces the configuration by a newer complete one, such as a snapshot.
    pub fn on_snapshot(&mut self, config: Config) {
        if self.config.revision < config.revision {
            self.config = Arc::new(config);
        }
    }

    /// Records that an acknowledgement reached the table.
    pub fn on_acknowledged(&mut self, revision: u64) {
        if let Some(staged) = &mut self.staged
            && staged.config.revision == revision
        {
            staged.acknowledged = true;
        }
    }

    /// Records that an acknowledgement is about to be sent.
    ///
    /// Must be called before the acknowledgement is sent, because it may take effect even if the
    /// response is lost.
    pub fn before_acknowledge(&mut self, revision: u64) {
        self.on_acknowledged(revision);
    }

    /// Returns the committed configuration and the one in doubt at `now`.
    pub fn view(&self, now: Duration) -> ConfigView {
        let head_is_stale = now.saturating_sub(self.head_read_at) > self.grace;
        let staged = self.staged.as_ref().filter(|staged| head_is_stale && staged.acknowledged);
        let config = self.caught_up.then(|| self.config.clone());
        ConfigView { config, in_doubt: staged.map(|staged| staged.config.clone()) }
    }

    /// Returns the head row, its row revision and the time when it was last read from the table.
    pub fn head(&self) -> (&ConfigHead, u64, Duration) {
        (&self.head, self.head_revision, self.head_read_at)
    }

    /// Returns the revision that this process has applied.
    pub fn revision(&self) -> u64 {
        self.config.revision
    }

    fn next_action(&mut self) -> ReplicaAction {
        self.caught_up |=
            self.head_read_at > Duration::ZERO && self.revision() == self.head.committed;
        if self.revision() < self.head.committed {
            return ReplicaAction::Fetch { from: self.revision() + 1, to: self.head.committed };
        }
        let Some(head_staged) = &self.head.staged else {
            return ReplicaAction::Nothing;
        };
        match &self.staged {
            Some(staged) if staged.config.revision == head_staged.revision => {
                match staged.acknowledged {
                    true => ReplicaAction::Nothing,
                    false => ReplicaAction::Acknowledge(head_staged.revision),
                }
            }
            _ => ReplicaAction::Fetch { from: head_staged.revision, to: head_staged.revision },
        }
    }

    fn on_record(&mut self, record: &ChangeRecord) {
        let config = &self.config;
        if record.base != config.revision || record.revision <= config.revision {
            return;
        }
        let mut next = Config::clone(config);
        // Proposers validate a change against the same base, so a change that fails here is never
        // committed.
        if next.apply_all(&record.changes, record.revision).is_err() {
            return;
        }
        if record.revision <= self.head.committed {
            self.config = Arc::new(next);
            self.staged = None;
        } else if self.head.staged.as_ref().is_some_and(|s| s.revision == record.revision) {
            self.staged = Some(StagedConfig { config: Arc::new(next), acknowledged: false });
        }
    }

    /// Applies the staged change if the head committed it, or drops it if the head aborted it.
    fn resolve_staged(&mut self) {
        let Some(staged) = &self.staged else {
            return;
        };
        let revision = staged.config.revision;
        if revision == self.head.committed {
            self.config = staged.config.clone();
            self.staged = None;
        } else if self.head.staged.as_ref().is_none_or(|s| s.revision != revision) {
            self.staged = None;
        }
    }
}
