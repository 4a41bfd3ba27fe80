//! Following the configuration and the host list.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_config::{Acknowledgement, ChangeRecord, Follow, Head, Member, Replica, View};
use guavaspread_model::{Host, Name};
use guavaspread_platform::{Platform, Result, Row, Transaction};
use serde::de::DeserializeOwned;

use crate::{Clock, HEAD_KEY, MEMBER_PREFIX, record_key};

const HOSTS_INTERVAL: Duration = Duration::from_millis(1_000);
const DOUBT_GRACE: Duration = Duration::from_millis(1_500);
const STEPS_MAX: usize = 8;

/// Shows what a daemon knows of its surroundings.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration.
    pub view: View,
    /// The hosts, as the platform last listed them.
    pub hosts: Arc<Vec<Host>>,
    /// Whether the table answered last.
    pub table_up: bool,
}

impl Snapshot {
    /// Returns the revision in force here, 0 before one is known.
    pub fn revision(&self) -> u64 {
        self.view.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Finds a host by name.
    pub fn host(&self, name: &Name) -> Option<&Host> {
        self.hosts.iter().find(|host| host.name == *name)
    }
}

/// Follows the platform for one process.
pub struct Follower {
    platform: Rc<dyn Platform>,
    clock: Clock,
    member: Member,
    incarnation: u64,
    replica: Replica,
    member_revision: Option<u64>,
    acknowledged: u64,
    hosts: Arc<Vec<Host>>,
    hosts_at: Option<Duration>,
    table_up: bool,
}

impl Follower {
    /// Makes a follower that knows nothing yet.
    pub fn new(platform: Rc<dyn Platform>, clock: Clock, member: Member, incarnation: u64) -> Self {
        Follower {
            platform,
            clock,
            member,
            incarnation,
            replica: Replica::new(DOUBT_GRACE),
            member_revision: None,
            acknowledged: 0,
            hosts: Arc::new(Vec::new()),
            hosts_at: None,
            table_up: false,
        }
    }

    /// Reads what is new and acknowledges what is staged.
    pub async fn step(&mut self) {
        self.read_hosts().await;
        match self.follow().await {
            Ok(()) => self.table_up = true,
            Err(e) => {
                if self.table_up {
                    log::warn!("the configuration can't be followed: {e}");
                }
                self.table_up = false;
            }
        }
    }

    /// Shows what is known.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            view: self.replica.view(self.clock.now()),
            hosts: self.hosts.clone(),
            table_up: self.table_up,
        }
    }

    /// Takes this process off the list of members, for a planned stop.
    pub async fn leave(&mut self) {
        let key = self.member_key();
        let tx = Transaction { conditions: Vec::new(), writes: vec![delete(&key)] };
        if let Err(e) = self.platform.commit(&tx).await {
            log::warn!("the member row was not deleted: {e}");
        }
    }

    async fn read_hosts(&mut self) {
        let now = self.clock.now();
        if self.hosts_at.is_some_and(|at| now < at + HOSTS_INTERVAL) {
            return;
        }
        match self.platform.hosts().await {
            Ok(hosts) => {
                if *self.hosts != hosts {
                    self.hosts = Arc::new(hosts);
                }
                self.hosts_at = Some(now);
            }
            Err(e) => log::debug!("the host list can't be read: {e}"),
        }
    }

    /// A member's row stands before the head is first read; see `Acknowledgement`.
    async fn follow(&mut self) -> Result<()> {
        if self.member_revision.is_none() {
            self.write_member(0).await?;
        }
        let head = self.platform.get(HEAD_KEY).await?;
        let head: Head = parse(head.as_ref()).unwrap_or_default();
        let mut follow = self.replica.on_head(head, self.clock.now());
        for _ in 0..STEPS_MAX {
            follow = match follow {
                Follow::Nothing => return Ok(()),
                Follow::Fetch { from, to } => {
                    let records = self.fetch(from, to).await?;
                    self.replica.on_records(&records)
                }
                Follow::Acknowledge(revision) => {
                    self.replica.on_acknowledging(revision);
                    self.write_member(revision).await?;
                    return Ok(());
                }
            };
        }
        Ok(())
    }

    async fn fetch(&self, from: u64, to: u64) -> Result<Vec<ChangeRecord>> {
        if from == to {
            let row = self.platform.get(&record_key(from)).await?;
            return Ok(parse(row.as_ref()).into_iter().collect());
        }
        let rows = self.platform.list("config/change/").await?;
        let records = rows.iter().filter_map(|row| parse::<ChangeRecord>(Some(row)));
        Ok(records.filter(|record| (from..=to).contains(&record.revision)).collect())
    }

    async fn write_member(&mut self, acknowledged: u64) -> Result<()> {
        self.acknowledged = self.acknowledged.max(acknowledged);
        let (member, incarnation) = (self.member.clone(), self.incarnation);
        let row = Acknowledgement { member, incarnation, revision: self.acknowledged };
        let value = serde_json::to_string(&row).unwrap_or_default();
        let write = guavaspread_platform::Write { key: self.member_key(), value: Some(value) };
        let tx = Transaction { conditions: Vec::new(), writes: vec![write] };
        let committed = self.platform.commit(&tx).await?;
        self.member_revision = Some(committed.revision);
        Ok(())
    }

    fn member_key(&self) -> String {
        format!("{MEMBER_PREFIX}{}.{}", self.member.host, self.member.process)
    }
}

fn delete(key: &str) -> guavaspread_platform::Write {
    guavaspread_platform::Write { key: key.to_owned(), value: None }
}

pub(crate) fn parse<T: DeserializeOwned>(row: Option<&Row>) -> Option<T> {
    let row = row?;
    match serde_json::from_str(&row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!("row {} can't be read: {e}", row.key);
            None
        }
    }
}
