//! The control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;

use futures::future::join_all;
use guavaspread_config::{Member, Outcome};
use guavaspread_control::{
    Follower, FollowerParts, Links, OWNER_PREFIX, Snapshot, open_borders, propose,
};
use guavaspread_model::Change;
use guavaspread_ownership::OwnerRow;
use guavaspread_settings::GatewaySettings;
use guavaspread_store::Platform;
use guavaspread_wire::{Ask, DigestEntry, Identity, StatusReply};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::board::Board;
use crate::prelude::*;

const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often the owners are read while some engine's owner has not been heard.
const OWNERS_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often they are read all the same.
const OWNERS_REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Gateways ask for the state of engines.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);
/// Dispatchers asked in one step.
const PEERS_PER_STEP: usize = 1;

/// Asks the control thread for something.
pub(crate) enum Request {
    /// Proposes changes.
    Propose { changes: Vec<Change>, reply: oneshot::Sender<Outcome> },
    /// Asks every dispatcher what it holds.
    Status { reply: oneshot::Sender<Vec<StatusReply>> },
    /// Doubts what is known of an engine's owner.
    Doubt { engine: Name },
    /// Takes this process off the list of members.
    Leave { reply: oneshot::Sender<()> },
}

/// Reaches the control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) requests: mpsc::UnboundedSender<Request>,
    pub(crate) board: watch::Receiver<Option<Arc<Board>>>,
}

struct Control {
    clock: Clock,
    host: Name,
    platform: Rc<dyn Platform>,
    follower: Follower,
    links: Rc<Links>,
    owners: BTreeMap<Name, Name>,
    owners_at: Option<Duration>,
    digests: BTreeMap<Name, Arc<DigestEntry>>,
    quarantined: BTreeSet<u64>,
    board: watch::Sender<Option<Arc<Board>>>,
}

/// Starts the control thread.
pub(crate) fn spawn(
    cfg: &GatewaySettings,
    identity: Identity,
    clock: Clock,
    incarnation: u64,
) -> std::io::Result<ControlHandle> {
    let (requests, rx) = mpsc::unbounded_channel();
    let (tx, board) = watch::channel(None);
    let process = cfg.process.clone();
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let system = ntex::rt::System::new("control", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let borders = open_borders(process.platform, &identity, process.source).await;
            let (platform, links) = match borders {
                Ok(borders) => borders,
                Err(e) => return log::error!("the control thread can't start: {e}"),
            };
            let member = Member { host: process.host.clone(), process: gateway_name() };
            let control = Control {
                clock,
                host: process.host,
                follower: Follower::new(FollowerParts {
                    platform: platform.clone(),
                    links: links.clone(),
                    clock,
                    member,
                    incarnation,
                    peers_interval: PEERS_INTERVAL,
                }),
                platform,
                links,
                owners: BTreeMap::new(),
                owners_at: None,
                digests: BTreeMap::new(),
                quarantined: BTreeSet::new(),
                board: tx,
            };
            control.run(rx).await;
        });
    })?;
    Ok(ControlHandle { requests, board })
}

fn gateway_name() -> Name {
    Name::new("gateway").unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Control {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Request>) {
        loop {
            self.step().await;
            let next_step = Instant::now() + STEP_INTERVAL;
            while let Ok(request) = timeout_at(next_step, rx.recv()).await {
                match request {
                    Some(request) => self.on_request(request).await,
                    None => return,
                }
            }
        }
    }

    async fn step(&mut self) {
        self.follower.step(PEERS_PER_STEP).await;
        let snapshot = self.follower.snapshot();
        self.read_owners(&snapshot).await;
        for digest in self.follower.take_digests() {
            self.on_digest(digest);
        }
        self.quarantined.extend(self.follower.take_quarantined());
        for silent in self.follower.take_silent() {
            self.digests.retain(|_, digest| digest.owner != silent);
        }
        let quarantined = self.quarantined.clone();
        let board = Board::new(snapshot, &self.owners, &self.digests, quarantined);
        // Traffic threads that have ended need no board.
        let _ = self.board.send(Some(Arc::new(board)));
    }

    async fn on_request(&mut self, request: Request) {
        match request {
            Request::Propose { changes, reply } => self.propose(changes, reply),
            Request::Status { reply } => self.status(reply),
            Request::Doubt { engine } => {
                self.digests.remove(&engine);
            }
            Request::Leave { reply } => {
                self.follower.leave().await;
                // The process may have stopped waiting.
                let _ = reply.send(());
            }
        }
    }

    /// Carries a change in a task of its own: this process has to follow it meanwhile.
    fn propose(&self, changes: Vec<Change>, reply: oneshot::Sender<Outcome>) {
        let Some(config) = self.follower.snapshot().view.config else {
            let refusal =
                Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
            let _ = reply.send(Outcome::Rejected(refusal.retry_after_ms(1_000)));
            return;
        };
        let (platform, links) = (self.platform.clone(), self.links.clone());
        let (clock, host) = (self.clock, self.host.clone());
        ntex::rt::spawn(async move {
            let outcome = propose(&platform, &links, clock, host, changes, &config).await;
            // An operator that went away finds the outcome by asking for the revision.
            let _ = reply.send(outcome);
        });
    }

    fn status(&self, reply: oneshot::Sender<Vec<StatusReply>>) {
        let dispatchers = dispatchers(&self.follower.snapshot());
        let links = self.links.clone();
        ntex::rt::spawn(async move {
            let asks = dispatchers.iter().map(|(_, address)| links.ask(*address, &Ask::Status));
            let replies = join_all(asks).await.into_iter().filter_map(Result::ok).collect();
            let _ = reply.send(replies);
        });
    }

    async fn read_owners(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        let mut engines = snapshot.hosts.iter().filter(|host| host.is_live_engine());
        let heard = engines.all(|engine| self.digests.contains_key(&engine.name));
        let interval = if heard { OWNERS_REFRESH_INTERVAL } else { OWNERS_INTERVAL };
        if self.owners_at.is_some_and(|at| now < at + interval) {
            return;
        }
        match self.platform.list(OWNER_PREFIX).await {
            Ok(rows) => {
                self.owners_at = Some(now);
                self.owners.clear();
                for row in rows {
                    let engine = row.key.strip_prefix(OWNER_PREFIX).map(Name::new);
                    let owner = serde_json::from_str::<OwnerRow>(&row.value);
                    if let (Some(Ok(engine)), Ok(owner)) = (engine, owner) {
                        self.forget_older_digest(&engine, owner.fence);
                        self.owners.insert(engine, owner.holder.host);
                    }
                }
            }
            Err(e) => log::debug!("the owners can't be read: {e}"),
        }
    }

    /// Drops what a former owner said.
    fn forget_older_digest(&mut self, engine: &Name, fence: u64) {
        if self.digests.get(engine).is_some_and(|digest| digest.fence < fence) {
            self.digests.remove(engine);
        }
    }

    fn on_digest(&mut self, digest: DigestEntry) {
        let known = self.digests.get(&digest.host).map(|known| known.fence);
        if known.is_none_or(|fence| fence <= digest.fence) {
            self.digests.insert(digest.host.clone(), Arc::new(digest));
        }
    }
}

fn dispatchers(snapshot: &Snapshot) -> Vec<(Name, SocketAddr)> {
    let hosts = snapshot.hosts.iter().filter(|host| host.is_entry_host());
    hosts.map(|host| (host.name.clone(), host.address)).collect()
}
