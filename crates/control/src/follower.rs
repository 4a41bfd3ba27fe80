//! The follower of the configuration and the host list.
//!
//! The more processes an availability zone has, the less often each of them reads the
//! head row from the table. In between, a process obtains the row from its peers. So
//! neither the reads of the table nor the work per process grow with the fleet. Per
//! revision, one dispatcher of the zone aggregates the acknowledgements and writes many
//! in one commit.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_config::{
    Acknowledgement, ChangeRecord, ConfigHead, ConfigView, Member, Replica, ReplicaAction,
};
use guavaspread_model::{Host, HostState, Name, rendezvous_score};
use guavaspread_store::{PlatformClient, Result, Row, Transaction, Write};
use guavaspread_wire::{DispatcherRequest, EngineDigest, GossipReply, ObservedHead};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;

use crate::dispatcher_client::DispatcherClient;
use crate::{Clock, HEAD_KEY, MEMBER_PREFIX, record_key};

const HOSTS_INTERVAL: Duration = Duration::from_millis(3_000);
const DOUBT_GRACE: Duration = Duration::from_millis(4_000);
/// The interval at which the processes of one availability zone together read the head row.
const ZONE_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The range of the random factor on the poll interval, without which processes that started
/// together keep reading together.
const POLL_JITTER: std::ops::Range<f64> = 0.5..1.5;
const PROCESSES_PER_HOST: u32 = 2;
/// The smallest number of entry hosts for which an availability zone aggregates acknowledgements.
const AGGREGATION_HOSTS_MIN: usize = 3;
const CATCH_UP_STEPS_MAX: usize = 8;

/// The dependencies and parameters of a follower.
pub struct FollowerOptions {
    /// The platform client.
    pub platform: Rc<dyn PlatformClient>,
    /// The client of the dispatchers.
    pub dispatcher_client: Rc<DispatcherClient>,
    /// The clock.
    pub clock: Clock,
    /// The identity of this process.
    pub member: Member,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
    /// The interval between gossip rounds.
    pub gossip_interval: Duration,
}

/// The configuration, the hosts and the state of the table as a daemon knows them.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The committed configuration and the one in doubt.
    pub config_view: ConfigView,
    /// The last host list from the platform.
    pub hosts: Arc<Vec<Host>>,
    /// Whether the last access to the table succeeded.
    pub table_up: bool,
    /// The head row, with its age when the snapshot was taken.
    pub head: Option<ObservedHead>,
}

impl Snapshot {
    /// Returns the revision applied here, or 0 if no configuration is known.
    pub fn revision(&self) -> u64 {
        self.config_view.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Returns the host with the given name.
    pub fn host(&self, name: &Name) -> Option<&Host> {
        self.hosts.iter().find(|host| host.name == *name)
    }
}

/// Follows the configuration and the host list for one process.
pub struct Follower {
    options: FollowerOptions,
    replica: Replica,
    member_row_written: bool,
    acknowledged: u64,
    /// Whether the last acknowledgement may be missing from the table.
    acknowledgement_pending: bool,
    hosts: Arc<Vec<Host>>,
    hosts_read_at: Option<Duration>,
    next_poll_at: Duration,
    next_gossip_at: Duration,
    table_up: bool,
    peer_head: Option<(ObservedHead, Duration)>,
    digests: RefCell<Vec<EngineDigest>>,
    quarantined: Vec<u64>,
    unresponsive: Vec<Name>,
}

impl Follower {
    /// Creates a follower without any state.
    pub fn new(options: FollowerOptions) -> Self {
        Follower {
            options,
            replica: Replica::new(DOUBT_GRACE),
            member_row_written: false,
            acknowledged: 0,
            acknowledgement_pending: false,
            hosts: Arc::new(Vec::new()),
            hosts_read_at: None,
            next_poll_at: Duration::ZERO,
            next_gossip_at: Duration::ZERO,
            table_up: false,
            peer_head: None,
            digests: RefCell::default(),
            quarantined: Vec::new(),
            unresponsive: Vec::new(),
        }
    }

    /// Reads the host list and the head row if they are due, gossips with `peers` dispatchers if a
    /// round is due, and acknowledges a staged change.
    pub async fn step(&mut self, peers: usize) {
        self.read_hosts().await;
        let now = self.options.clock.now();
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + self.options.gossip_interval;
            self.gossip_with_peers(peers).await;
        }
        if let Err(e) = self.follow().await {
            if self.table_up {
                log::warn!("could not follow the configuration, retrying: {e}");
            }
            self.table_up = false;
        }
    }

    /// Returns a snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.options.clock.now();
        let (head, revision, read_at) = self.replica.head();
        let age_ms = now.saturating_sub(read_at).as_millis().min(u32::MAX.into()) as u32;
        let head = (read_at > Duration::ZERO).then(|| ObservedHead {
            head: head.clone(),
            revision,
            age_ms,
        });
        Snapshot {
            config_view: self.replica.view(now),
            hosts: self.hosts.clone(),
            table_up: self.table_up,
            head,
        }
    }

    /// Records a head row received from a peer; the next step processes it.
    pub fn on_peer_head(&mut self, received: ObservedHead) {
        let age = Duration::from_millis(received.age_ms.into());
        let read_at = self.options.clock.now().saturating_sub(age);
        let known = self.peer_head.as_ref().map(|(known, at)| (known.revision, *at));
        if known.is_none_or(|known| known < (received.revision, read_at)) {
            self.peer_head = Some((received, read_at));
        }
    }

    /// Takes the digests of backend servers that peers sent since the last call.
    pub fn take_digests(&self) -> Vec<EngineDigest> {
        self.digests.take()
    }

    /// Takes the hashes of quarantined content that peers sent since the last call.
    ///
    /// Quarantined content has crashed engines.
    pub fn take_quarantined(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.quarantined)
    }

    /// Takes the names of the peers that failed to respond since the last call.
    pub fn take_unresponsive(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.unresponsive)
    }

    /// Deletes the member row of this process before a planned shutdown.
    pub async fn deregister(&mut self) {
        let write = Write { key: self.member_key(), value: None };
        let tx = Transaction { conditions: Vec::new(), writes: vec![write] };
        if let Err(e) = self.options.platform.commit(&tx).await {
            log::warn!("could not delete the member row: {e}");
        }
    }

    async fn read_hosts(&mut self) {
        let now = self.options.clock.now();
        if self.hosts_read_at.is_some_and(|at| now < at + HOSTS_INTERVAL) {
            return;
        }
        match self.options.platform.list_hosts().await {
            Ok(hosts) => {
                if *self.hosts != hosts {
                    self.hosts = Arc::new(hosts);
                }
                self.hosts_read_at = Some(now);
            }
            Err(e) => log::debug!("could not read the host list, keeping the last one: {e}"),
        }
    }

    /// Requests the gossip state of `peers` randomly chosen dispatchers.
    async fn gossip_with_peers(&mut self, peers: usize) {
        let hosts = self.hosts.clone();
        let dispatchers: Vec<&Host> = hosts
            .iter()
            .filter(|host| host.is_entry_host() && !self.is_own_dispatcher(host))
            .collect();
        let chosen: Vec<&Host> = dispatchers.sample(&mut rand::rng(), peers).copied().collect();
        let requests = chosen.iter().map(|host| {
            self.options
                .dispatcher_client
                .request::<GossipReply>(host.address, &DispatcherRequest::Gossip)
        });
        let responses = futures::future::join_all(requests).await;
        for (host, response) in chosen.into_iter().zip(responses) {
            let reply = match response {
                Ok(reply) => reply,
                Err(e) => {
                    log::debug!("no response from peer {}: {e}", host.name);
                    self.unresponsive.push(host.name.clone());
                    continue;
                }
            };
            self.digests.borrow_mut().extend(reply.digests);
            self.quarantined.extend(reply.quarantined);
            if let Some(head) = reply.head {
                self.on_peer_head(head);
            }
        }
    }

    fn is_own_dispatcher(&self, host: &Host) -> bool {
        let member = &self.options.member;
        member.process.as_str() == "dispatcher" && member.host == host.name
    }

    /// Processes a new head row from a peer or the table.
    ///
    /// The member row is written before the head is first read; see [`Acknowledgement`].
    async fn follow(&mut self) -> Result<()> {
        if !self.member_row_written {
            self.write_member().await?;
            self.member_row_written = true;
        }
        if self.acknowledgement_pending {
            self.acknowledge().await?;
        }
        if let Some((received, read_at)) = self.peer_head.take() {
            let action = self.replica.on_head(received.head, received.revision, read_at);
            self.catch_up(action).await?;
        }
        let now = self.options.clock.now();
        if now < self.next_poll_at {
            return Ok(());
        }
        let row = self.options.platform.get(HEAD_KEY).await?;
        self.next_poll_at = now + self.poll_interval().mul_f64(rand::random_range(POLL_JITTER));
        self.table_up = true;
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let head: ConfigHead = parse(row.as_ref()).unwrap_or_default();
        let action = self.replica.on_head(head, revision, now);
        self.catch_up(action).await
    }

    /// Returns the interval at which this process reads the head row, so that the processes of its
    /// availability zone together read once per [`ZONE_POLL_INTERVAL`].
    fn poll_interval(&self) -> Duration {
        let hosts = self.zone_hosts().count().max(1) as u32;
        ZONE_POLL_INTERVAL * hosts * PROCESSES_PER_HOST
    }

    fn zone_hosts(&self) -> impl Iterator<Item = &Host> {
        let zone = self.hosts.iter().find(|h| h.name == self.options.member.host).map(|h| &h.zone);
        self.hosts.iter().filter(move |host| host.is_entry_host() && Some(&host.zone) == zone)
    }

    async fn catch_up(&mut self, mut action: ReplicaAction) -> Result<()> {
        for _ in 0..CATCH_UP_STEPS_MAX {
            action = match action {
                ReplicaAction::Nothing => return Ok(()),
                ReplicaAction::Fetch { from, to } => {
                    let records = self.fetch(from, to).await?;
                    self.replica.on_records(&records)
                }
                ReplicaAction::Acknowledge(revision) => {
                    self.acknowledged = self.acknowledged.max(revision);
                    self.replica.before_acknowledge(revision);
                    self.acknowledgement_pending = true;
                    return self.acknowledge().await;
                }
            };
        }
        Ok(())
    }

    async fn fetch(&self, from: u64, to: u64) -> Result<Vec<ChangeRecord>> {
        if from == to {
            let row = self.options.platform.get(&record_key(from)).await?;
            return Ok(parse(row.as_ref()).into_iter().collect());
        }
        let rows = self.options.platform.list("config/change/").await?;
        let records = rows.iter().filter_map(|row| parse::<ChangeRecord>(Some(row)));
        Ok(records.filter(|record| (from..=to).contains(&record.revision)).collect())
    }

    /// Sends the acknowledgement to the aggregator of the availability zone, or writes it to the
    /// table if there is none or it fails.
    async fn acknowledge(&mut self) -> Result<()> {
        if let Some(aggregator) = self.aggregator() {
            let request = DispatcherRequest::Acknowledge(self.member_row());
            match self.options.dispatcher_client.request::<bool>(aggregator, &request).await {
                Ok(true) => {
                    self.acknowledgement_pending = false;
                    return Ok(());
                }
                Ok(false) => log::debug!(
                    "aggregator {aggregator} could not write the acknowledgement; writing directly"
                ),
                Err(e) => log::debug!(
                    "could not acknowledge through aggregator {aggregator}; writing directly: {e}"
                ),
            }
        }
        self.write_member().await?;
        self.acknowledgement_pending = false;
        Ok(())
    }

    /// Returns the dispatcher that aggregates the acknowledgements of this revision, unless the
    /// availability zone is too small or the dispatcher is this process.
    fn aggregator(&self) -> Option<SocketAddr> {
        if self.zone_hosts().count() < AGGREGATION_HOSTS_MIN {
            return None;
        }
        let key = self.acknowledged.to_string();
        let live = self.zone_hosts().filter(|host| host.state == HostState::Live);
        let first = live.max_by_key(|host| rendezvous_score(&key, host.name.as_str()))?;
        (!self.is_own_dispatcher(first)).then_some(first.address)
    }

    async fn write_member(&self) -> Result<()> {
        let tx = acknowledgement_transaction(&self.member_row());
        self.options.platform.commit(&tx).await.map(drop)
    }

    fn member_row(&self) -> Acknowledgement {
        Acknowledgement {
            member: self.options.member.clone(),
            incarnation: self.options.incarnation,
            revision: self.acknowledged,
        }
    }

    fn member_key(&self) -> String {
        member_key(&self.options.member)
    }
}

/// Returns the transaction that writes a member's row.
pub fn acknowledgement_transaction(row: &Acknowledgement) -> Transaction {
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
