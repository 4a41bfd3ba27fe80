//! The ownerships that this host contends for.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::future::join_all;
use guavaspread_control::{OWNER_PREFIX, Snapshot};
use guavaspread_model::Config;
use guavaspread_ownership::{Holder, Lease, LeaseTimes, Next, OwnerRow, Role, rank};
use guavaspread_store::{Category, Committed, Error, Platform, Row, Transaction};

use crate::prelude::*;

/// How long a host that is not the preferred one keeps an engine before it hands over.
const REBALANCE_AFTER: Duration = Duration::from_secs(10);
/// How long it waits for the preferred host to take over.
const HANDOVER_PATIENCE: Duration = Duration::from_secs(3);

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

struct Contest {
    lease: Lease,
    rank: Option<usize>,
    displaced_since: Option<Duration>,
}

struct PendingCommit {
    engine: Name,
    row: OwnerRow,
    revision: Option<u64>,
}

/// Contends for the engines of one zone.
pub(crate) struct Leases {
    platform: Rc<dyn Platform>,
    clock: Clock,
    me: Holder,
    contests: BTreeMap<Name, Contest>,
    probe_from: Duration,
    leaving: bool,
}

impl Leases {
    pub(crate) fn new(platform: Rc<dyn Platform>, clock: Clock, me: Holder) -> Self {
        Leases {
            platform,
            clock,
            me,
            contests: BTreeMap::new(),
            probe_from: Duration::ZERO,
            leaving: false,
        }
    }

    /// Takes over which engines and entry hosts there are.
    pub(crate) fn on_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        let Some(own) = snapshot.host(&self.me.host) else {
            // A host that is not listed yet contends for nothing.
            return;
        };
        let horizon = horizon(snapshot.view.config.as_deref());
        let engines = snapshot
            .hosts
            .iter()
            .filter(|host| host.kind == HostKind::Engine && host.zone == own.zone);
        for engine in engines {
            let rank = rank(engine, &self.me.host, &snapshot.hosts);
            let contest = self.contests.entry(engine.name.clone()).or_insert_with(|| Contest {
                lease: Lease::new(self.me.clone(), LeaseTimes::default()),
                rank,
                displaced_since: None,
            });
            contest.rank = rank;
            contest.lease.set_horizon(horizon);
            contest.lease.on_hosts(|name| snapshot.host(name).is_some(), now);
            contest.rebalance(self.leaving, now);
        }
        self.contests
            .retain(|name, contest| snapshot.host(name).is_some() || contest.lease.is_listed());
    }

    /// Reads and writes the rows that are due.
    pub(crate) async fn step(&mut self) {
        self.read_due().await;
        let commits = self.due_commits();
        if commits.len() > 1 {
            self.commit_together(commits).await;
        } else {
            for pending in commits {
                self.commit_alone(pending).await;
            }
        }
    }

    pub(crate) fn roles(&self) -> impl Iterator<Item = (&Name, Role)> {
        let now = self.clock.now();
        self.contests.iter().map(move |(engine, contest)| (engine, contest.lease.role(now)))
    }

    pub(crate) fn role(&self, engine: &Name) -> Role {
        let now = self.clock.now();
        self.contests.get(engine).map_or(Role::Unknown, |contest| contest.lease.role(now))
    }

    pub(crate) fn lease_mut(&mut self, engine: &Name) -> Option<&mut Lease> {
        self.contests.get_mut(engine).map(|contest| &mut contest.lease)
    }

    /// Connects to the processes whose death would let this one do more; one that refuses is dead.
    pub(crate) async fn probe(&mut self) {
        let now = self.clock.now();
        if now < self.probe_from {
            return;
        }
        self.probe_from = now + PROBE_INTERVAL;
        let mut suspects: Vec<Holder> = Vec::new();
        for contest in self.contests.values().filter(|contest| contest.is_concerned()) {
            for suspect in contest.lease.suspects() {
                if !suspects.contains(&suspect) {
                    suspects.push(suspect);
                }
            }
        }
        let dead = join_all(suspects.iter().map(|suspect| is_refused(suspect.probe))).await;
        let now = self.clock.now();
        for (suspect, _) in suspects.iter().zip(dead).filter(|(_, dead)| *dead) {
            log::info!("{} is dead: it refuses connections", suspect.host);
            for contest in self.contests.values_mut() {
                contest.lease.on_dead(suspect, now);
            }
        }
    }

    /// Asks to be relieved of every engine.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        for contest in self.contests.values_mut() {
            contest.lease.set_leaving(true);
        }
    }

    /// Tells whether some row still lists this process.
    pub(crate) fn is_listed(&self) -> bool {
        self.contests.values().any(|contest| contest.lease.is_listed())
    }

    async fn read_due(&mut self) {
        let now = self.clock.now();
        let due: Vec<Name> = self
            .contests
            .iter_mut()
            .filter_map(|(engine, contest)| {
                // A commit that is due here is asked for again below.
                let next = contest.lease.clone().next(contest.rank, now);
                (next == Next::Read).then(|| engine.clone())
            })
            .collect();
        if due.is_empty() {
            return;
        }
        let rows = match due.as_slice() {
            [engine] => self.platform.get(&key(engine)).await.map(|row| row.into_iter().collect()),
            _ => self.platform.list(OWNER_PREFIX).await,
        };
        let now = self.clock.now();
        for engine in due {
            let Some(contest) = self.contests.get_mut(&engine) else { continue };
            match &rows {
                Ok(rows) => contest.lease.on_row(find(rows, &engine), now),
                Err(_) => contest.lease.on_no_answer(),
            }
        }
    }

    fn due_commits(&mut self) -> Vec<PendingCommit> {
        let now = self.clock.now();
        let mut commits = Vec::new();
        for (engine, contest) in &mut self.contests {
            if let Next::Commit { row, revision } = contest.lease.next(contest.rank, now) {
                commits.push(PendingCommit { engine: engine.clone(), row: *row, revision });
            }
        }
        commits
    }

    /// Writes all rows in one transaction; if one of them has changed, each alone.
    async fn commit_together(&mut self, commits: Vec<PendingCommit>) {
        let tx = commits.iter().fold(Transaction::default(), PendingCommit::add_to);
        match self.platform.commit(&tx).await {
            Err(e) if e.classify() == Category::Conflict => {
                for pending in commits {
                    self.commit_alone(pending).await;
                }
            }
            result => {
                for pending in &commits {
                    self.report(&pending.engine, &result);
                }
            }
        }
    }

    async fn commit_alone(&mut self, pending: PendingCommit) {
        let tx = pending.add_to_new();
        let result = self.platform.commit(&tx).await;
        self.report(&pending.engine, &result);
    }

    fn report(&mut self, engine: &Name, result: &Result<Committed, Error>) {
        let now = self.clock.now();
        let Some(contest) = self.contests.get_mut(engine) else {
            return;
        };
        match result {
            Ok(committed) => contest.lease.on_committed(committed.revision, now),
            Err(e) if e.classify() == Category::Conflict => contest.lease.on_conflict(),
            Err(_) => contest.lease.on_no_answer(),
        }
    }
}

impl Contest {
    /// Tells whether this process owns the engine or may come to own it.
    fn is_concerned(&self) -> bool {
        self.rank.is_some() || self.lease.is_listed()
    }

    /// Hands an engine to the preferred host once that has been there for a while.
    fn rebalance(&mut self, leaving: bool, now: Duration) {
        let displaced = matches!(self.lease.role(now), Role::Owner(_)) && self.rank != Some(0);
        if !displaced {
            self.displaced_since = None;
            self.lease.set_leaving(leaving);
            return;
        }
        let since = *self.displaced_since.get_or_insert(now);
        let displaced_for = now.saturating_sub(since);
        let hand_over = displaced_for >= REBALANCE_AFTER;
        if displaced_for >= REBALANCE_AFTER + HANDOVER_PATIENCE {
            self.displaced_since = Some(now);
        }
        self.lease.set_leaving(leaving || hand_over);
    }
}

impl PendingCommit {
    fn add_to(tx: Transaction, pending: &PendingCommit) -> Transaction {
        let value = serde_json::to_string(&pending.row).unwrap_or_default();
        tx.swap(&key(&pending.engine), pending.revision, value)
    }

    fn add_to_new(&self) -> Transaction {
        PendingCommit::add_to(Transaction::default(), self)
    }
}

fn key(engine: &Name) -> String {
    format!("{OWNER_PREFIX}{engine}")
}

fn find(rows: &[Row], engine: &Name) -> Option<(OwnerRow, u64)> {
    let key = key(engine);
    let row = rows.iter().find(|row| row.key == key)?;
    match serde_json::from_str(&row.value) {
        Ok(value) => Some((value, row.revision)),
        Err(e) => {
            log::error!("row {key} can't be read: {e}");
            None
        }
    }
}

/// Tells whether nothing listens at an address; a paused process's host still accepts.
async fn is_refused(address: SocketAddr) -> bool {
    let connecting = tokio::net::TcpStream::connect(address);
    match ntex::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(()) => false,
    }
}

/// Returns the longest deadline that a request may have.
fn horizon(config: Option<&Config>) -> Duration {
    const DEFAULT_DEADLINE_MS: u32 = 30_000;
    let declared = config.into_iter().flat_map(|config| config.classes.values());
    let longest = declared.map(|class| class.deadline_ms).max().unwrap_or(0);
    Duration::from_millis(longest.max(DEFAULT_DEADLINE_MS).into())
}
