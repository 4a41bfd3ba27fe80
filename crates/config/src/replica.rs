//! One process's copy of the configuration.

use std::sync::Arc;
use std::time::Duration;

use guavaspread_model::Config;

use crate::row::{ChangeRecord, Head};

/// Tells the process what to do next to follow the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Follow {
    /// Nothing until the head changes.
    Nothing,
    /// Read the records with these revisions, both ends included.
    Fetch {
        /// The first revision.
        from: u64,
        /// The last revision.
        to: u64,
    },
    /// Tell the table that this staged revision is held here.
    Acknowledge(u64),
}

/// Shows the configuration as far as it is known.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force, if one is known.
    pub config: Option<Arc<Config>>,
    /// The configuration that may have come into force instead.
    pub doubt: Option<Arc<Config>>,
}

#[derive(Clone, Debug)]
struct StagedConfig {
    config: Arc<Config>,
    acknowledged: bool,
}

/// Follows the head row and keeps the configuration that it names.
#[derive(Clone, Debug)]
pub struct Replica {
    config: Arc<Config>,
    /// Whether `config` was once as new as the head.
    caught_up: bool,
    staged: Option<StagedConfig>,
    head: Head,
    /// The table's revision of `head`.
    head_revision: u64,
    contact_at: Duration,
    grace: Duration,
}

impl Replica {
    /// Makes a replica that knows no configuration.
    ///
    /// `grace` is how long the head may stay unread before a staged change is in doubt.
    pub fn new(grace: Duration) -> Self {
        Replica {
            config: Arc::default(),
            caught_up: false,
            staged: None,
            head: Head::default(),
            head_revision: 0,
            contact_at: Duration::ZERO,
            grace,
        }
    }

    /// Takes over the head row, as it was read from the table at `read_at` by this process or
    /// by a peer. `revision` is the row's, 0 for none; an older one than known is left alone.
    pub fn on_head(&mut self, head: Head, revision: u64, read_at: Duration) -> Follow {
        self.contact_at = self.contact_at.max(read_at);
        if revision < self.head_revision {
            return self.next();
        }
        self.head = head;
        self.head_revision = revision;
        self.settle_staged();
        self.next()
    }

    /// Takes over records in the order of their revisions.
    pub fn on_records(&mut self, records: &[ChangeRecord]) -> Follow {
        for record in records {
            self.on_record(record);
        }
        self.next()
    }

    /// Starts from a whole configuration, such as a snapshot.
    pub fn on_snapshot(&mut self, config: Config) {
        if self.config.revision < config.revision {
            self.config = Arc::new(config);
        }
    }

    /// Reports that an acknowledgement reached the table.
    pub fn on_acknowledged(&mut self, revision: u64) {
        if let Some(staged) = &mut self.staged
            && staged.config.revision == revision
        {
            staged.acknowledged = true;
        }
    }

    /// Reports that an acknowledgement may reach the table from now on.
    ///
    /// Called before it is sent: an answer that is lost counts as sent.
    pub fn on_acknowledging(&mut self, revision: u64) {
        self.on_acknowledged(revision);
    }

    /// Shows what is in force.
    pub fn view(&self, now: Duration) -> View {
        let silent = now.saturating_sub(self.contact_at) > self.grace;
        let staged = self.staged.as_ref().filter(|staged| silent && staged.acknowledged);
        let config = self.caught_up.then(|| self.config.clone());
        View { config, doubt: staged.map(|staged| staged.config.clone()) }
    }

    /// Returns the head row with its revision, and when it was last read from the table.
    pub fn head(&self) -> (&Head, u64, Duration) {
        (&self.head, self.head_revision, self.contact_at)
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> u64 {
        self.config.revision
    }

    fn next(&mut self) -> Follow {
        self.caught_up |=
            self.contact_at > Duration::ZERO && self.revision() == self.head.committed;
        if self.revision() < self.head.committed {
            return Follow::Fetch { from: self.revision() + 1, to: self.head.committed };
        }
        let Some(named) = &self.head.staged else {
            return Follow::Nothing;
        };
        match &self.staged {
            Some(staged) if staged.config.revision == named.revision => match staged.acknowledged {
                true => Follow::Nothing,
                false => Follow::Acknowledge(named.revision),
            },
            _ => Follow::Fetch { from: named.revision, to: named.revision },
        }
    }

    fn on_record(&mut self, record: &ChangeRecord) {
        let config = &self.config;
        if record.base != config.revision || record.revision <= config.revision {
            return;
        }
        let mut next = Config::clone(config);
        // Proposers check a change against the same base, so one that fails here never commits.
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

    /// Applies the staged change if the head committed it, drops it if the head aborted it.
    fn settle_staged(&mut self) {
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
