//! Manages the ownership leases that this host competes for.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::future::join_all;
use guavaspread_control::{OWNER_PREFIX, Snapshot};
use guavaspread_model::Config;
use guavaspread_ownership::{
    Holder, Lease, LeaseAction, LeaseTimes, OwnerRow, Role, candidate_rank,
};
use guavaspread_store::{Category, CommitReceipt, Error, PlatformClient, Row, Transaction};

use crate::prelude::*;

/// How long a non-preferred owner keeps an engine before it hands the engine over.
const REBALANCE_DELAY: Duration = Duration::from_secs(10);
/// How long the owner waits for the preferred host to take over before [`REBALANCE_DELAY`] starts
/// again.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

struct LeaseEntry {
    lease: Lease,
    rank: Option<usize>,
    non_preferred_since: Option<Duration>,
}

struct PendingCommit {
    engine: Name,
    row: OwnerRow,
    revision: Option<u64>,
}

/// Competes for the ownership leases of the engines in one zone.
pub(crate) struct LeaseManager {
    platform: Rc<dyn PlatformClient>,
    clock: Clock,
    holder: Holder,
    leases: BTreeMap<Name, LeaseEntry>,
    next_probe_at: Duration,
    leaving: bool,
}

impl LeaseManager {
    pub(crate) fn new(platform: Rc<dyn PlatformClient>, clock: Clock, holder: Holder) -> Self {
        LeaseManager {
            platform,
            clock,
            holder,
            leases: BTreeMap::new(),
            next_probe_at: Duration::ZERO,
            leaving: false,
        }
    }

    /// Applies a new list of engines and entry hosts.
    pub(crate) fn on_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        let Some(own_host) = snapshot.host(&self.holder.host) else {
            // A host that the platform does not list yet competes for no lease.
            return;
        };
        let deadline_max = request_deadline_max(snapshot.config_view.config.as_deref());
        let engines = snapshot
            .hosts
            .iter()
            .filter(|host| host.kind == HostKind::Engine && host.zone == own_host.zone);
        for engine in engines {
            let rank = candidate_rank(engine, &self.holder.host, &snapshot.hosts);
            let entry = self.leases.entry(engine.name.clone()).or_insert_with(|| LeaseEntry {
                lease: Lease::new(self.holder.clone(), LeaseTimes::default()),
                rank,
                non_preferred_since: None,
            });
            entry.rank = rank;
            entry.lease.set_request_deadline_max(deadline_max);
            entry.lease.on_host_list(|name| snapshot.host(name).is_some(), now);
            entry.rebalance(self.leaving, now);
        }
        self.leases.retain(|name, entry| snapshot.host(name).is_some() || entry.lease.is_listed());
    }

    /// Reads and writes the owner rows that are due.
    pub(crate) async fn step(&mut self) {
        self.read_due_rows().await;
        let commits = self.due_commits();
        if commits.len() > 1 {
            self.commit_batch(commits).await;
        } else {
            for pending in commits {
                self.commit_single(pending).await;
            }
        }
    }

    pub(crate) fn roles(&self) -> impl Iterator<Item = (&Name, Role)> {
        let now = self.clock.now();
        self.leases.iter().map(move |(engine, entry)| (engine, entry.lease.role(now)))
    }

    pub(crate) fn role(&self, engine: &Name) -> Role {
        let now = self.clock.now();
        self.leases.get(engine).map_or(Role::Unknown, |entry| entry.lease.role(now))
    }

    pub(crate) fn lease_mut(&mut self, engine: &Name) -> Option<&mut Lease> {
        self.leases.get_mut(engine).map(|entry| &mut entry.lease)
    }

    /// Probes the processes whose death would permit this one a takeover or an eviction.
    ///
    /// A process that refuses connections counts as dead.
    pub(crate) async fn probe_processes(&mut self) {
        let now = self.clock.now();
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        let mut processes: Vec<Holder> = Vec::new();
        for entry in self.leases.values().filter(|entry| entry.is_candidate_or_listed()) {
            for process in entry.lease.processes_to_probe() {
                if !processes.contains(&process) {
                    processes.push(process);
                }
            }
        }
        let dead =
            join_all(processes.iter().map(|process| refuses_connections(process.probe))).await;
        let now = self.clock.now();
        for (process, _) in processes.iter().zip(dead).filter(|(_, dead)| *dead) {
            log::info!("the dispatcher on {} refuses connections and counts as dead", process.host);
            for entry in self.leases.values_mut() {
                entry.lease.on_process_dead(process, now);
            }
        }
    }

    /// Starts to hand over every engine.
    pub(crate) fn start_handover(&mut self) {
        self.leaving = true;
        for entry in self.leases.values_mut() {
            entry.lease.set_leaving(true);
        }
    }

    /// Returns whether an owner row still lists this process.
    pub(crate) fn is_listed(&self) -> bool {
        self.leases.values().any(|entry| entry.lease.is_listed())
    }

    async fn read_due_rows(&mut self) {
        let now = self.clock.now();
        let due: Vec<Name> = self
            .leases
            .iter_mut()
            .filter_map(|(engine, entry)| {
                // `next_action` records a commit as sent, so it is called on a clone; `due_commits`
                // calls it again for the commit.
                let action = entry.lease.clone().next_action(entry.rank, now);
                (action == LeaseAction::Read).then(|| engine.clone())
            })
            .collect();
        if due.is_empty() {
            return;
        }
        let rows = match due.as_slice() {
            [engine] => {
                self.platform.get(&owner_key(engine)).await.map(|row| row.into_iter().collect())
            }
            _ => self.platform.list(OWNER_PREFIX).await,
        };
        let now = self.clock.now();
        for engine in due {
            let Some(entry) = self.leases.get_mut(&engine) else { continue };
            match &rows {
                Ok(rows) => entry.lease.on_row_read(find_owner_row(rows, &engine), now),
                Err(_) => entry.lease.on_no_response(),
            }
        }
    }

    fn due_commits(&mut self) -> Vec<PendingCommit> {
        let now = self.clock.now();
        let mut commits = Vec::new();
        for (engine, entry) in &mut self.leases {
            if let LeaseAction::Commit { row, revision } = entry.lease.next_action(entry.rank, now)
            {
                commits.push(PendingCommit { engine: engine.clone(), row: *row, revision });
            }
        }
        commits
    }

    /// Writes all rows in one transaction, or one by one if any of them has changed.
    async fn commit_batch(&mut self, commits: Vec<PendingCommit>) {
        let tx = commits.iter().fold(Transaction::default(), PendingCommit::append_to);
        match self.platform.commit(&tx).await {
            Err(e) if e.classify() == Category::Conflict => {
                for pending in commits {
                    self.commit_single(pending).await;
                }
            }
            result => {
                for pending in &commits {
                    self.on_commit_result(&pending.engine, &result);
                }
            }
        }
    }

    async fn commit_single(&mut self, pending: PendingCommit) {
        let tx = pending.transaction();
        let result = self.platform.commit(&tx).await;
        self.on_commit_result(&pending.engine, &result);
    }

    fn on_commit_result(&mut self, engine: &Name, result: &Result<CommitReceipt, Error>) {
        let now = self.clock.now();
        let Some(entry) = self.leases.get_mut(engine) else {
            return;
        };
        match result {
            Ok(receipt) => entry.lease.on_committed(receipt.revision, now),
            Err(e) if e.classify() == Category::Conflict => entry.lease.on_conflict(),
            Err(_) => entry.lease.on_no_response(),
        }
    }
}

impl LeaseEntry {
    /// Returns whether this process is listed in the engine's row or is a candidate to own it.
    fn is_candidate_or_listed(&self) -> bool {
        self.rank.is_some() || self.lease.is_listed()
    }

    /// Hands the engine over if this process has been a non-preferred owner for long enough.
    fn rebalance(&mut self, leaving: bool, now: Duration) {
        let is_non_preferred =
            matches!(self.lease.role(now), Role::Owner(_)) && self.rank != Some(0);
        if !is_non_preferred {
            self.non_preferred_since = None;
            self.lease.set_leaving(leaving);
            return;
        }
        let since = *self.non_preferred_since.get_or_insert(now);
        let non_preferred_for = now.saturating_sub(since);
        let hand_over = non_preferred_for >= REBALANCE_DELAY;
        if non_preferred_for >= REBALANCE_DELAY + HANDOVER_TIMEOUT {
            self.non_preferred_since = Some(now);
        }
        self.lease.set_leaving(leaving || hand_over);
    }
}

impl PendingCommit {
    fn append_to(tx: Transaction, pending: &PendingCommit) -> Transaction {
        let value = serde_json::to_string(&pending.row).unwrap_or_default();
        tx.compare_and_set(&owner_key(&pending.engine), pending.revision, value)
    }

    fn transaction(&self) -> Transaction {
        PendingCommit::append_to(Transaction::default(), self)
    }
}

fn owner_key(engine: &Name) -> String {
    format!("{OWNER_PREFIX}{engine}")
}

fn find_owner_row(rows: &[Row], engine: &Name) -> Option<(OwnerRow, u64)> {
    let key = owner_key(engine);
    let row = rows.iter().find(|row| row.key == key)?;
    match serde_json::from_str(&row.value) {
        Ok(value) => Some((value, row.revision)),
        Err(e) => {
            log::error!("owner row {key} can't be parsed and counts as missing: {e}");
            None
        }
    }
}

/// Returns whether nothing listens at an address.
///
/// A paused process does not count: its kernel still accepts connections.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = tokio::net::TcpStream::connect(address);
    match ntex::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(()) => false,
    }
}

/// Returns the longest deadline of any request class, including the default class.
fn request_deadline_max(config: Option<&Config>) -> Duration {
    const DEFAULT_DEADLINE_MS: u32 = 30_000;
    let declared = config.into_iter().flat_map(|config| config.classes.values());
    let longest = declared.map(|class| class.deadline_ms).max().unwrap_or(0);
    Duration::from_millis(longest.max(DEFAULT_DEADLINE_MS).into())
}
