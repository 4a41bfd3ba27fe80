//! The control thread: watches the platform and manages the ownership leases.

use std::collections::BTreeMap;
use std::thread;

use guavaspread_config::{Acknowledgement, Member};
use guavaspread_control::{
    Follower, FollowerOptions, Snapshot, acknowledgement_transaction, open_clients,
};
use guavaspread_ownership::{Holder, OwnerPermissions, Role};
use guavaspread_settings::DispatcherSettings;
use guavaspread_store::GroupCommit;
use guavaspread_wire::{Identity, ObservedHead};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::lease_manager::LeaseManager;
use crate::prelude::*;

const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the gossip requests. A dispatcher needs only quarantined content and the head row,
/// which peers also push.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of dispatchers that receive a gossip request in one step.
const PEERS_PER_STEP: usize = 1;
const EVICTION_GRANT_TIMEOUT: Duration = Duration::from_millis(1_500);
const SHUTDOWN_STEPS_MAX: u32 = 20;

/// The state that the control thread publishes to the request thread.
#[derive(Clone, Debug)]
pub(crate) struct ControlState {
    /// Increases with each published state.
    pub(crate) generation: u64,
    pub(crate) created_at: Duration,
    /// Hashes of content that crashes engines, as reported by peers since the last state.
    pub(crate) quarantined: Vec<u64>,
    pub(crate) snapshot: Snapshot,
    pub(crate) roles: BTreeMap<Name, Role>,
}

/// A request to the control thread.
pub(crate) enum ControlRequest {
    /// Requests permission to unload an adapter; the reply is `None` if it is not granted in time.
    GrantEviction {
        engine: Name,
        adapter: AdapterVersion,
        reply: oneshot::Sender<Option<OwnerPermissions>>,
    },
    /// Reports that the engine responded to the unload command or that the command failed.
    EvictionFinished { engine: Name },
    /// Reports that nothing is in flight at an engine that this host may not use as of that
    /// `generation` of the control state.
    EngineReleased { engine: Name, generation: u64 },
    /// Starts to hand over every engine.
    StartHandover,
    /// Records a head row that a peer has just written.
    PeerHead { observed: ObservedHead },
    /// Writes a member's acknowledgement in a group commit.
    WriteAcknowledgement { row: Acknowledgement, reply: oneshot::Sender<bool> },
    /// Ends the control thread once no owner row lists this process.
    Shutdown { reply: oneshot::Sender<()> },
}

impl ControlRequest {
    /// Returns whether the next step runs at once instead of after the step interval.
    fn is_urgent(&self) -> bool {
        match self {
            ControlRequest::GrantEviction { .. }
            | ControlRequest::PeerHead { .. }
            | ControlRequest::StartHandover
            | ControlRequest::Shutdown { .. } => true,
            ControlRequest::EvictionFinished { .. }
            | ControlRequest::EngineReleased { .. }
            | ControlRequest::WriteAcknowledgement { .. } => false,
        }
    }
}

/// Connects the request thread to the control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) requests: mpsc::UnboundedSender<ControlRequest>,
    pub(crate) state: watch::Receiver<Option<Arc<ControlState>>>,
}

struct PendingEviction {
    engine: Name,
    adapter: AdapterVersion,
    reply: oneshot::Sender<Option<OwnerPermissions>>,
    deadline: Duration,
}

struct Control {
    clock: Clock,
    follower: Follower,
    leases: LeaseManager,
    group_commit: Rc<GroupCommit>,
    state: watch::Sender<Option<Arc<ControlState>>>,
    pending_evictions: Vec<PendingEviction>,
    generation: u64,
    /// Generation of the first state that withdrew the use of an engine.
    withdrawn_at: BTreeMap<Name, u64>,
    shutdown_reply: Option<oneshot::Sender<()>>,
    shutdown_steps: u32,
}

/// Starts the control thread.
pub(crate) fn spawn(
    cfg: &DispatcherSettings,
    identity: Identity,
    clock: Clock,
) -> std::io::Result<ControlHandle> {
    let (requests, rx) = mpsc::unbounded_channel();
    let (tx, state) = watch::channel(None);
    let (process, probe) = (cfg.process.clone(), cfg.metrics);
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let system = ntex::rt::System::new("control", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let clients = open_clients(process.platform, &identity, process.source).await;
            let (platform, dispatcher_client) = match clients {
                Ok(clients) => clients,
                Err(e) => return log::error!("the control thread can't start: {e}"),
            };
            let incarnation = rand::random();
            let holder = Holder { host: process.host.clone(), incarnation, probe };
            let member = Member { host: process.host, process: dispatcher_name() };
            let control = Control {
                clock,
                follower: Follower::new(FollowerOptions {
                    platform: platform.clone(),
                    dispatcher_client,
                    clock,
                    member,
                    incarnation,
                    gossip_interval: GOSSIP_INTERVAL,
                }),
                group_commit: GroupCommit::new(platform.clone()),
                leases: LeaseManager::new(platform, clock, holder),
                state: tx,
                pending_evictions: Vec::new(),
                generation: 0,
                withdrawn_at: BTreeMap::new(),
                shutdown_reply: None,
                shutdown_steps: 0,
            };
            control.run(rx).await;
        });
    })?;
    Ok(ControlHandle { requests, state })
}

fn dispatcher_name() -> Name {
    Name::new("dispatcher").unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Control {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<ControlRequest>) {
        loop {
            self.step().await;
            if self.try_shut_down() {
                return;
            }
            let next_step = Instant::now() + STEP_INTERVAL;
            while let Ok(request) = timeout_at(next_step, rx.recv()).await {
                let Some(request) = request else { return };
                let urgent = request.is_urgent();
                self.on_request(request);
                if urgent {
                    break;
                }
            }
        }
    }

    async fn step(&mut self) {
        self.follower.step(PEERS_PER_STEP).await;
        let snapshot = self.follower.snapshot();
        self.leases.on_snapshot(&snapshot);
        self.leases.probe_processes().await;
        self.leases.step().await;
        self.reply_to_pending_evictions();
        self.publish(snapshot);
    }

    /// Publishes the roles to the request thread.
    ///
    /// An engine is marked as in use before the request thread may use it. The mark is removed when
    /// the request thread has seen the withdrawal and has nothing in flight at the engine.
    fn publish(&mut self, snapshot: Snapshot) {
        self.generation += 1;
        let generation = self.generation;
        let roles: BTreeMap<Name, Role> =
            self.leases.roles().map(|(engine, role)| (engine.clone(), role)).collect();
        for (engine, role) in &roles {
            if can_use_engine(role) {
                self.withdrawn_at.remove(engine);
                if let Some(lease) = self.leases.lease_mut(engine) {
                    lease.set_in_use(true);
                }
            } else {
                self.withdrawn_at.entry(engine.clone()).or_insert(generation);
            }
        }
        // Sending fails only after the request thread has ended.
        let _ = self.state.send(Some(Arc::new(ControlState {
            generation,
            created_at: self.clock.now(),
            quarantined: self.follower.take_quarantined(),
            snapshot,
            roles,
        })));
    }

    fn on_request(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::GrantEviction { engine, adapter, reply } => {
                let deadline = self.clock.now() + EVICTION_GRANT_TIMEOUT;
                if let Some(lease) = self.leases.lease_mut(&engine) {
                    lease.request_eviction(&adapter);
                }
                self.pending_evictions.push(PendingEviction { engine, adapter, reply, deadline });
            }
            ControlRequest::EvictionFinished { engine } => {
                if let Some(lease) = self.leases.lease_mut(&engine) {
                    lease.clear_eviction();
                }
            }
            ControlRequest::EngineReleased { engine, generation } => {
                let is_withdrawn =
                    self.withdrawn_at.get(&engine).is_some_and(|at| generation >= *at);
                if let Some(lease) = self.leases.lease_mut(&engine).filter(|_| is_withdrawn) {
                    lease.set_in_use(false);
                }
            }
            ControlRequest::WriteAcknowledgement { row, reply } => {
                self.write_acknowledgement(&row, reply)
            }
            ControlRequest::PeerHead { observed } => self.follower.on_peer_head(observed),
            ControlRequest::StartHandover => self.leases.start_handover(),
            ControlRequest::Shutdown { reply } => self.shutdown_reply = Some(reply),
        }
    }

    fn write_acknowledgement(&self, row: &Acknowledgement, reply: oneshot::Sender<bool>) {
        let (group_commit, tx) = (self.group_commit.clone(), acknowledgement_transaction(row));
        ntex::rt::spawn(async move {
            let written = group_commit.commit(tx).await.is_ok();
            // A member whose request timed out writes the row itself.
            let _ = reply.send(written);
        });
    }

    fn reply_to_pending_evictions(&mut self) {
        let now = self.clock.now();
        for pending in std::mem::take(&mut self.pending_evictions) {
            let role = self.leases.role(&pending.engine);
            match granted_permissions(&role, &pending.adapter) {
                Some(permissions) => send_grant(pending.reply, Some(permissions)),
                None if now < pending.deadline && matches!(role, Role::Owner(_)) => {
                    self.pending_evictions.push(pending);
                }
                None => {
                    if let Some(lease) = self.leases.lease_mut(&pending.engine) {
                        lease.clear_eviction();
                    }
                    send_grant(pending.reply, None);
                }
            }
        }
    }

    /// Completes a requested shutdown once no owner row lists this process.
    ///
    /// Gives up waiting after [`SHUTDOWN_STEPS_MAX`] steps.
    fn try_shut_down(&mut self) -> bool {
        if self.shutdown_reply.is_none() {
            return false;
        }
        self.shutdown_steps += 1;
        if self.leases.is_listed() && self.shutdown_steps < SHUTDOWN_STEPS_MAX {
            return false;
        }
        if let Some(reply) = self.shutdown_reply.take() {
            // The receiver is gone if the wait timed out.
            let _ = reply.send(());
        }
        true
    }
}

/// Returns whether the request thread may use an engine.
fn can_use_engine(role: &Role) -> bool {
    matches!(role, Role::Owner(_) | Role::ExpiredOwner(_))
}

fn granted_permissions(role: &Role, adapter: &AdapterVersion) -> Option<OwnerPermissions> {
    match role {
        Role::Owner(permissions) if permissions.granted_eviction.as_ref() == Some(adapter) => {
            Some(permissions.clone())
        }
        _ => None,
    }
}

fn send_grant(
    reply: oneshot::Sender<Option<OwnerPermissions>>,
    permissions: Option<OwnerPermissions>,
) {
    // Without a receiver the unload command is not sent.
    let _ = reply.send(permissions);
}
