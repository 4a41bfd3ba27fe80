//! The control thread: watches the platform and gathers the engines' owners and digests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;

use futures::future::join_all;
use guavaspread_config::{Member, Outcome};
use guavaspread_control::{
    DispatcherClient, Follower, FollowerOptions, OWNER_PREFIX, Snapshot, open_clients, propose,
};
use guavaspread_model::Change;
use guavaspread_ownership::OwnerRow;
use guavaspread_settings::GatewaySettings;
use guavaspread_store::PlatformClient;
use guavaspread_wire::{DispatcherRequest, EngineDigest, Identity, StatusReply};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::prelude::*;
use crate::routing_state::RoutingState;

const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often the owner rows are read while the digest of a live engine is missing.
const OWNERS_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often the owner rows are read while all digests are known.
const OWNERS_REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the gossip requests, whose replies contain the digests of a dispatcher's engines.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Number of dispatchers that receive a gossip request in one step.
const PEERS_PER_STEP: usize = 1;

/// A request to the control thread.
pub(crate) enum ControlRequest {
    /// Proposes changes of the configuration.
    Propose { changes: Vec<Change>, reply: oneshot::Sender<Outcome> },
    /// Requests the status of every dispatcher; those that do not reply are left out.
    CollectStatus { reply: oneshot::Sender<Vec<StatusReply>> },
    /// Discards the digest of an engine because its owner may have changed.
    InvalidateDigest { engine: Name },
    /// Deletes this process's member row.
    Deregister { reply: oneshot::Sender<()> },
}

/// Connects a request thread to the control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) requests: mpsc::UnboundedSender<ControlRequest>,
    pub(crate) routing: watch::Receiver<Option<Arc<RoutingState>>>,
}

struct Control {
    clock: Clock,
    host: Name,
    platform: Rc<dyn PlatformClient>,
    follower: Follower,
    dispatcher_client: Rc<DispatcherClient>,
    owners: BTreeMap<Name, Name>,
    owners_read_at: Option<Duration>,
    digests: BTreeMap<Name, Arc<EngineDigest>>,
    quarantined: BTreeSet<u64>,
    routing: watch::Sender<Option<Arc<RoutingState>>>,
}

/// Starts the control thread.
pub(crate) fn spawn(
    cfg: &GatewaySettings,
    identity: Identity,
    clock: Clock,
    incarnation: u64,
) -> std::io::Result<ControlHandle> {
    let (requests, rx) = mpsc::unbounded_channel();
    let (tx, routing) = watch::channel(None);
    let process = cfg.process.clone();
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let system = ntex::rt::System::new("control", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let clients = open_clients(process.platform, &identity, process.source).await;
            let (platform, dispatcher_client) = match clients {
                Ok(clients) => clients,
                Err(e) => return log::error!("the control thread can't start: {e}"),
            };
            let member = Member { host: process.host.clone(), process: gateway_name() };
            let control = Control {
                clock,
                host: process.host,
                follower: Follower::new(FollowerOptions {
                    platform: platform.clone(),
                    dispatcher_client: dispatcher_client.clone(),
                    clock,
                    member,
                    incarnation,
                    gossip_interval: GOSSIP_INTERVAL,
                }),
                platform,
                dispatcher_client,
                owners: BTreeMap::new(),
                owners_read_at: None,
                digests: BTreeMap::new(),
                quarantined: BTreeSet::new(),
                routing: tx,
            };
            control.run(rx).await;
        });
    })?;
    Ok(ControlHandle { requests, routing })
}

fn gateway_name() -> Name {
    Name::new("gateway").unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Control {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<ControlRequest>) {
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
        self.refresh_owners(&snapshot).await;
        for digest in self.follower.take_digests() {
            self.on_digest(digest);
        }
        self.quarantined.extend(self.follower.take_quarantined());
        for unresponsive in self.follower.take_unresponsive() {
            self.digests.retain(|_, digest| digest.owner != unresponsive);
        }
        let quarantined = self.quarantined.clone();
        let routing = RoutingState::new(snapshot, &self.owners, &self.digests, quarantined);
        // Sending fails only after all request threads have ended.
        let _ = self.routing.send(Some(Arc::new(routing)));
    }

    async fn on_request(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Propose { changes, reply } => self.propose(changes, reply),
            ControlRequest::CollectStatus { reply } => self.collect_status(reply),
            ControlRequest::InvalidateDigest { engine } => {
                self.digests.remove(&engine);
            }
            ControlRequest::Deregister { reply } => {
                self.follower.deregister().await;
                // The receiver is gone if the wait timed out.
                let _ = reply.send(());
            }
        }
    }

    /// Proposes changes in a separate task.
    ///
    /// The control thread must keep running: this process has to acknowledge the change as well.
    fn propose(&self, changes: Vec<Change>, reply: oneshot::Sender<Outcome>) {
        let Some(config) = self.follower.snapshot().config_view.config else {
            let refusal =
                Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
            let _ = reply.send(Outcome::Rejected(refusal.with_retry_after_ms(1_000)));
            return;
        };
        let (platform, dispatcher_client) = (self.platform.clone(), self.dispatcher_client.clone());
        let (clock, host) = (self.clock, self.host.clone());
        ntex::rt::spawn(async move {
            let outcome =
                propose(&platform, &dispatcher_client, clock, host, changes, &config).await;
            // An operator that disconnected learns the outcome by querying the revision.
            let _ = reply.send(outcome);
        });
    }

    fn collect_status(&self, reply: oneshot::Sender<Vec<StatusReply>>) {
        let dispatchers = dispatchers(&self.follower.snapshot());
        let dispatcher_client = self.dispatcher_client.clone();
        ntex::rt::spawn(async move {
            let requests = dispatchers.iter().map(|(_, address)| {
                dispatcher_client.request(*address, &DispatcherRequest::Status)
            });
            let replies = join_all(requests).await.into_iter().filter_map(Result::ok).collect();
            let _ = reply.send(replies);
        });
    }

    async fn refresh_owners(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        let mut engines = snapshot.hosts.iter().filter(|host| host.is_live_engine());
        let all_reported = engines.all(|engine| self.digests.contains_key(&engine.name));
        let interval = if all_reported { OWNERS_REFRESH_INTERVAL } else { OWNERS_RETRY_INTERVAL };
        if self.owners_read_at.is_some_and(|at| now < at + interval) {
            return;
        }
        match self.platform.list(OWNER_PREFIX).await {
            Ok(rows) => {
                self.owners_read_at = Some(now);
                self.owners.clear();
                for row in rows {
                    let engine = row.key.strip_prefix(OWNER_PREFIX).map(Name::new);
                    let owner = serde_json::from_str::<OwnerRow>(&row.value);
                    if let (Some(Ok(engine)), Ok(owner)) = (engine, owner) {
                        self.drop_outdated_digest(&engine, owner.fence);
                        self.owners.insert(engine, owner.holder.host);
                    }
                }
            }
            Err(e) => log::debug!("reading the owner rows failed, keeping the known owners: {e}"),
        }
    }

    /// Drops the digest of a former owner.
    fn drop_outdated_digest(&mut self, engine: &Name, fence: u64) {
        if self.digests.get(engine).is_some_and(|digest| digest.fence < fence) {
            self.digests.remove(engine);
        }
    }

    fn on_digest(&mut self, digest: EngineDigest) {
        let known_fence = self.digests.get(&digest.host).map(|known| known.fence);
        if known_fence.is_none_or(|fence| fence <= digest.fence) {
            self.digests.insert(digest.host.clone(), Arc::new(digest));
        }
    }
}

fn dispatchers(snapshot: &Snapshot) -> Vec<(Name, SocketAddr)> {
    let hosts = snapshot.hosts.iter().filter(|host| host.is_entry_host());
    hosts.map(|host| (host.name.clone(), host.address)).collect()
}
