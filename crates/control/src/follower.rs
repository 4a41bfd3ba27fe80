//! Following the configuration and the host list.
//!
//! A process reads the head row from the table less often the more processes its
//! zone has, and learns it from its peers in between, so that neither the reads
//! of the table nor the work of a process grow with the fleet. Acknowledgements
//! go through one dispatcher of the zone, which writes many in one commit.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_config::{
    Acknowledgement, ChangeRecord, ConfigView, Head, Member, Replica, ReplicaAction,
};
use guavaspread_model::{Host, HostState, Name, rendezvous_score};
use guavaspread_store::{Platform, Result, Row, Transaction, Write};
use guavaspread_wire::{Ask, DigestEntry, ExchangeReply, SeenHead};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;

use crate::links::Links;
use crate::{Clock, HEAD_KEY, MEMBER_PREFIX, record_key};

const HOSTS_INTERVAL: Duration = Duration::from_millis(3_000);
const DOUBT_GRACE: Duration = Duration::from_millis(4_000);
/// How often the processes of one zone together read the head row.
const ZONE_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Keeps processes that started together from reading together.
const POLL_JITTER: std::ops::Range<f64> = 0.5..1.5;
const PROCESSES_PER_HOST: u32 = 2;
/// Below this many entry hosts a zone's acknowledgements are written one by one.
const AGGREGATE_FROM_HOSTS: usize = 3;
const STEPS_MAX: usize = 8;

/// What a follower needs from its surroundings.
pub struct FollowerParts {
    /// The platform.
    pub platform: Rc<dyn Platform>,
    /// Connections to the dispatchers.
    pub links: Rc<Links>,
    /// The clock.
    pub clock: Clock,
    /// This process.
    pub member: Member,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
    /// How often peers are asked.
    pub peers_interval: Duration,
}

/// Shows what a daemon knows of its surroundings.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration.
    pub view: ConfigView,
    /// The hosts, as the platform last listed them.
    pub hosts: Arc<Vec<Host>>,
    /// Whether the table answered last.
    pub table_up: bool,
    /// The head row, as of the time that the snapshot was taken.
    pub head: Option<SeenHead>,
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
    parts: FollowerParts,
    replica: Replica,
    listed: bool,
    acknowledged: u64,
    /// Whether the table may not show what was acknowledged.
    unwritten: bool,
    hosts: Arc<Vec<Host>>,
    hosts_at: Option<Duration>,
    poll_from: Duration,
    peers_from: Duration,
    table_up: bool,
    learned: Option<(SeenHead, Duration)>,
    digests: RefCell<Vec<DigestEntry>>,
    quarantined: Vec<u64>,
    silent: Vec<Name>,
}

impl Follower {
    /// Makes a follower that knows nothing yet.
    pub fn new(parts: FollowerParts) -> Self {
        Follower {
            parts,
            replica: Replica::new(DOUBT_GRACE),
            listed: false,
            acknowledged: 0,
            unwritten: false,
            hosts: Arc::new(Vec::new()),
            hosts_at: None,
            poll_from: Duration::ZERO,
            peers_from: Duration::ZERO,
            table_up: false,
            learned: None,
            digests: RefCell::default(),
            quarantined: Vec::new(),
            silent: Vec::new(),
        }
    }

    /// Reads what is new, asks `peers` dispatchers, and acknowledges what is staged.
    pub async fn step(&mut self, peers: usize) {
        self.read_hosts().await;
        let now = self.parts.clock.now();
        if now >= self.peers_from {
            self.peers_from = now + self.parts.peers_interval;
            self.ask_peers(peers).await;
        }
        if let Err(e) = self.follow().await {
            if self.table_up {
                log::warn!("the configuration can't be followed: {e}");
            }
            self.table_up = false;
        }
    }

    /// Shows what is known.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.parts.clock.now();
        let (head, revision, read_at) = self.replica.head();
        let age_ms = now.saturating_sub(read_at).as_millis().min(u32::MAX.into()) as u32;
        let head =
            (read_at > Duration::ZERO).then(|| SeenHead { head: head.clone(), revision, age_ms });
        Snapshot {
            view: self.replica.view(now),
            hosts: self.hosts.clone(),
            table_up: self.table_up,
            head,
        }
    }

    /// Takes over a head row that a peer knows; the next step acts on it.
    pub fn learn(&mut self, seen: SeenHead) {
        let age = Duration::from_millis(seen.age_ms.into());
        let read_at = self.parts.clock.now().saturating_sub(age);
        let known = self.learned.as_ref().map(|(known, at)| (known.revision, *at));
        if known.is_none_or(|known| known < (seen.revision, read_at)) {
            self.learned = Some((seen, read_at));
        }
    }

    /// Takes what peers said of their backend servers since the last call.
    pub fn take_digests(&self) -> Vec<DigestEntry> {
        self.digests.take()
    }

    /// Takes the hashes of content that peers say crashes engines.
    pub fn take_quarantined(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.quarantined)
    }

    /// Takes the peers that did not answer since the last call.
    pub fn take_silent(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.silent)
    }

    /// Takes this process off the list of members, for a planned stop.
    pub async fn leave(&mut self) {
        let write = Write { key: self.member_key(), value: None };
        let tx = Transaction { conditions: Vec::new(), writes: vec![write] };
        if let Err(e) = self.parts.platform.commit(&tx).await {
            log::warn!("the member row was not deleted: {e}");
        }
    }

    async fn read_hosts(&mut self) {
        let now = self.parts.clock.now();
        if self.hosts_at.is_some_and(|at| now < at + HOSTS_INTERVAL) {
            return;
        }
        match self.parts.platform.hosts().await {
            Ok(hosts) => {
                if *self.hosts != hosts {
                    self.hosts = Arc::new(hosts);
                }
                self.hosts_at = Some(now);
            }
            Err(e) => log::debug!("the host list can't be read: {e}"),
        }
    }

    /// Asks some dispatchers what they know.
    async fn ask_peers(&mut self, peers: usize) {
        let hosts = self.hosts.clone();
        let dispatchers: Vec<&Host> = hosts
            .iter()
            .filter(|host| host.is_entry_host() && !self.is_own_dispatcher(host))
            .collect();
        let chosen: Vec<&Host> = dispatchers.sample(&mut rand::rng(), peers).copied().collect();
        let asks = chosen
            .iter()
            .map(|host| self.parts.links.ask::<ExchangeReply>(host.address, &Ask::Exchange));
        let answers = futures::future::join_all(asks).await;
        for (host, answer) in chosen.into_iter().zip(answers) {
            let reply = match answer {
                Ok(reply) => reply,
                Err(e) => {
                    log::debug!("no answer from {}: {e}", host.name);
                    self.silent.push(host.name.clone());
                    continue;
                }
            };
            self.digests.borrow_mut().extend(reply.digests);
            self.quarantined.extend(reply.quarantined);
            if let Some(head) = reply.head {
                self.learn(head);
            }
        }
    }

    fn is_own_dispatcher(&self, host: &Host) -> bool {
        let member = &self.parts.member;
        member.process.as_str() == "dispatcher" && member.host == host.name
    }

    /// A member's row stands before the head is first read; see [`Acknowledgement`].
    async fn follow(&mut self) -> Result<()> {
        if !self.listed {
            self.write_member().await?;
            self.listed = true;
        }
        if self.unwritten {
            self.acknowledge().await?;
        }
        if let Some((seen, read_at)) = self.learned.take() {
            let follow = self.replica.on_head(seen.head, seen.revision, read_at);
            self.catch_up(follow).await?;
        }
        let now = self.parts.clock.now();
        if now < self.poll_from {
            return Ok(());
        }
        let row = self.parts.platform.get(HEAD_KEY).await?;
        self.poll_from = now + self.poll_interval().mul_f64(rand::random_range(POLL_JITTER));
        self.table_up = true;
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let head: Head = parse(row.as_ref()).unwrap_or_default();
        let follow = self.replica.on_head(head, revision, now);
        self.catch_up(follow).await
    }

    /// Spreads a zone's reads of the head row over its processes.
    fn poll_interval(&self) -> Duration {
        let hosts = self.zone_hosts().count().max(1) as u32;
        ZONE_POLL_INTERVAL * hosts * PROCESSES_PER_HOST
    }

    fn zone_hosts(&self) -> impl Iterator<Item = &Host> {
        let zone = self.hosts.iter().find(|h| h.name == self.parts.member.host).map(|h| &h.zone);
        self.hosts.iter().filter(move |host| host.is_entry_host() && Some(&host.zone) == zone)
    }

    async fn catch_up(&mut self, mut follow: ReplicaAction) -> Result<()> {
        for _ in 0..STEPS_MAX {
            follow = match follow {
                ReplicaAction::Nothing => return Ok(()),
                ReplicaAction::Fetch { from, to } => {
                    let records = self.fetch(from, to).await?;
                    self.replica.on_records(&records)
                }
                ReplicaAction::Acknowledge(revision) => {
                    self.acknowledged = self.acknowledged.max(revision);
                    self.replica.before_acknowledge(revision);
                    self.unwritten = true;
                    return self.acknowledge().await;
                }
            };
        }
        Ok(())
    }

    async fn fetch(&self, from: u64, to: u64) -> Result<Vec<ChangeRecord>> {
        if from == to {
            let row = self.parts.platform.get(&record_key(from)).await?;
            return Ok(parse(row.as_ref()).into_iter().collect());
        }
        let rows = self.parts.platform.list("config/change/").await?;
        let records = rows.iter().filter_map(|row| parse::<ChangeRecord>(Some(row)));
        Ok(records.filter(|record| (from..=to).contains(&record.revision)).collect())
    }

    /// Acknowledges through the zone's aggregator; alone, if that does not answer.
    async fn acknowledge(&mut self) -> Result<()> {
        if let Some(aggregator) = self.aggregator() {
            let ask = Ask::Acknowledge(self.member_row());
            match self.parts.links.ask::<bool>(aggregator, &ask).await {
                Ok(true) => {
                    self.unwritten = false;
                    return Ok(());
                }
                Ok(false) => log::debug!("{aggregator} could not write the acknowledgement"),
                Err(e) => log::debug!("no acknowledgement through {aggregator}: {e}"),
            }
        }
        self.write_member().await?;
        self.unwritten = false;
        Ok(())
    }

    /// Chooses the dispatcher that gathers the acknowledgements of this revision.
    fn aggregator(&self) -> Option<SocketAddr> {
        if self.zone_hosts().count() < AGGREGATE_FROM_HOSTS {
            return None;
        }
        let key = self.acknowledged.to_string();
        let live = self.zone_hosts().filter(|host| host.state == HostState::Live);
        let first = live.max_by_key(|host| rendezvous_score(&key, host.name.as_str()))?;
        (!self.is_own_dispatcher(first)).then_some(first.address)
    }

    async fn write_member(&self) -> Result<()> {
        let tx = member_transaction(&self.member_row());
        self.parts.platform.commit(&tx).await.map(drop)
    }

    fn member_row(&self) -> Acknowledgement {
        Acknowledgement {
            member: self.parts.member.clone(),
            incarnation: self.parts.incarnation,
            revision: self.acknowledged,
        }
    }

    fn member_key(&self) -> String {
        member_key(&self.parts.member)
    }
}

/// Makes the transaction that writes a member's row.
pub fn member_transaction(row: &Acknowledgement) -> Transaction {
    let value = serde_json::to_string(row).unwrap_or_default();
    let write = Write { key: member_key(&row.member), value: Some(value) };
    Transaction { conditions: Vec::new(), writes: vec![write] }
}

fn member_key(member: &Member) -> String {
    format!("{MEMBER_PREFIX}{}.{}", member.host, member.process)
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
