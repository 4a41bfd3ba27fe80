//! The control thread.

use std::collections::BTreeMap;
use std::thread;

use guavaspread_config::{Acknowledgement, Member};
use guavaspread_control::{Follower, FollowerParts, Snapshot, member_transaction, open_borders};
use guavaspread_ownership::{Holder, Right, Role};
use guavaspread_settings::DispatcherSettings;
use guavaspread_store::GroupCommit;
use guavaspread_wire::{Identity, SeenHead};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::leases::Leases;
use crate::prelude::*;

const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Dispatchers ask only for the head row, of which they are told as well.
const PEERS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Dispatchers asked in one step.
const PEERS_PER_STEP: usize = 1;
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_500);
const FAREWELL_STEPS: u32 = 20;

/// Shows traffic what the control thread knows.
#[derive(Clone, Debug)]
pub(crate) struct State {
    /// Grows with each state shown.
    pub(crate) generation: u64,
    pub(crate) taken_at: Duration,
    /// Content that peers say crashes engines.
    pub(crate) quarantined: Vec<u64>,
    pub(crate) snapshot: Snapshot,
    pub(crate) roles: BTreeMap<Name, Role>,
}

/// Asks the control thread for something.
pub(crate) enum Request {
    /// Asks for the right to unload an adapter; answered with that right or nothing.
    Evict { engine: Name, adapter: AdapterVersion, reply: oneshot::Sender<Option<Right>> },
    /// Reports that the unload order was answered.
    Evicted { engine: Name },
    /// Reports that nothing is under way at an engine that this host may not use, as of that state.
    Released { engine: Name, generation: u64 },
    /// Gives up every engine as soon as it is idle.
    Leave,
    /// Takes over a head row that somebody has just written.
    Learn { seen: SeenHead },
    /// Writes a member's acknowledgement, together with others.
    Acknowledge { row: Acknowledgement, reply: oneshot::Sender<bool> },
    /// Ends the thread once no row lists this process.
    Farewell { reply: oneshot::Sender<()> },
}

impl Request {
    /// Tells whether somebody waits for the next step.
    fn is_urgent(&self) -> bool {
        match self {
            Request::Evict { .. }
            | Request::Learn { .. }
            | Request::Leave
            | Request::Farewell { .. } => true,
            Request::Evicted { .. } | Request::Released { .. } | Request::Acknowledge { .. } => {
                false
            }
        }
    }
}

/// Reaches the control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) requests: mpsc::UnboundedSender<Request>,
    pub(crate) state: watch::Receiver<Option<Arc<State>>>,
}

struct PendingGrant {
    engine: Name,
    adapter: AdapterVersion,
    reply: oneshot::Sender<Option<Right>>,
    until: Duration,
}

struct Control {
    clock: Clock,
    follower: Follower,
    leases: Leases,
    group: Rc<GroupCommit>,
    state: watch::Sender<Option<Arc<State>>>,
    grants: Vec<PendingGrant>,
    generation: u64,
    /// The first state that showed traffic that it may not use an engine any more.
    revoked: BTreeMap<Name, u64>,
    farewell: Option<oneshot::Sender<()>>,
    farewell_steps: u32,
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
            let borders = open_borders(process.platform, &identity, process.source).await;
            let (platform, links) = match borders {
                Ok(borders) => borders,
                Err(e) => return log::error!("the control thread can't start: {e}"),
            };
            let incarnation = rand::random();
            let holder = Holder { host: process.host.clone(), incarnation, probe };
            let member = Member { host: process.host, process: dispatcher_name() };
            let control = Control {
                clock,
                follower: Follower::new(FollowerParts {
                    platform: platform.clone(),
                    links,
                    clock,
                    member,
                    incarnation,
                    peers_interval: PEERS_INTERVAL,
                }),
                group: GroupCommit::new(platform.clone()),
                leases: Leases::new(platform, clock, holder),
                state: tx,
                grants: Vec::new(),
                generation: 0,
                revoked: BTreeMap::new(),
                farewell: None,
                farewell_steps: 0,
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
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Request>) {
        loop {
            self.step().await;
            if self.has_ended() {
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
        self.leases.probe().await;
        self.leases.step().await;
        self.answer_grants();
        self.show(snapshot);
    }

    /// Shows traffic the roles. An engine counts as busy from before traffic may use it
    /// until traffic has seen that it may not, and has nothing under way there.
    fn show(&mut self, snapshot: Snapshot) {
        self.generation += 1;
        let generation = self.generation;
        let roles: BTreeMap<Name, Role> =
            self.leases.roles().map(|(engine, role)| (engine.clone(), role)).collect();
        for (engine, role) in &roles {
            if is_usable(role) {
                self.revoked.remove(engine);
                if let Some(lease) = self.leases.lease_mut(engine) {
                    lease.set_busy(true);
                }
            } else {
                self.revoked.entry(engine.clone()).or_insert(generation);
            }
        }
        // Traffic threads that have ended need no state.
        let _ = self.state.send(Some(Arc::new(State {
            generation,
            taken_at: self.clock.now(),
            quarantined: self.follower.take_quarantined(),
            snapshot,
            roles,
        })));
    }

    fn on_request(&mut self, request: Request) {
        match request {
            Request::Evict { engine, adapter, reply } => {
                let until = self.clock.now() + GRANT_TIMEOUT;
                if let Some(lease) = self.leases.lease_mut(&engine) {
                    lease.wish_evict(&adapter);
                }
                self.grants.push(PendingGrant { engine, adapter, reply, until });
            }
            Request::Evicted { engine } => {
                if let Some(lease) = self.leases.lease_mut(&engine) {
                    lease.on_evicted();
                }
            }
            Request::Released { engine, generation } => {
                let revoked = self.revoked.get(&engine).is_some_and(|at| generation >= *at);
                if let Some(lease) = self.leases.lease_mut(&engine).filter(|_| revoked) {
                    lease.set_busy(false);
                }
            }
            Request::Acknowledge { row, reply } => self.acknowledge(&row, reply),
            Request::Learn { seen } => self.follower.learn(seen),
            Request::Leave => self.leases.leave(),
            Request::Farewell { reply } => self.farewell = Some(reply),
        }
    }

    fn acknowledge(&self, row: &Acknowledgement, reply: oneshot::Sender<bool>) {
        let (group, tx) = (self.group.clone(), member_transaction(row));
        ntex::rt::spawn(async move {
            let written = group.commit(tx).await.is_ok();
            // A member that gave up waiting writes its row itself.
            let _ = reply.send(written);
        });
    }

    fn answer_grants(&mut self) {
        let now = self.clock.now();
        for pending in std::mem::take(&mut self.grants) {
            let role = self.leases.role(&pending.engine);
            match grant(&role, &pending.adapter) {
                Some(right) => answer(pending.reply, Some(right)),
                None if now < pending.until && matches!(role, Role::Owner(_)) => {
                    self.grants.push(pending);
                }
                None => {
                    if let Some(lease) = self.leases.lease_mut(&pending.engine) {
                        lease.on_evicted();
                    }
                    answer(pending.reply, None);
                }
            }
        }
    }

    /// Ends once no row lists this process, or after a while without success.
    fn has_ended(&mut self) -> bool {
        if self.farewell.is_none() {
            return false;
        }
        self.farewell_steps += 1;
        if self.leases.is_listed() && self.farewell_steps < FAREWELL_STEPS {
            return false;
        }
        if let Some(reply) = self.farewell.take() {
            // The process may have stopped waiting.
            let _ = reply.send(());
        }
        true
    }
}

/// Tells whether traffic may use an engine.
fn is_usable(role: &Role) -> bool {
    matches!(role, Role::Owner(_) | Role::Caretaker(_))
}

fn grant(role: &Role, adapter: &AdapterVersion) -> Option<Right> {
    match role {
        Role::Owner(right) if right.granted.as_ref() == Some(adapter) => Some(right.clone()),
        _ => None,
    }
}

fn answer(reply: oneshot::Sender<Option<Right>>, right: Option<Right>) {
    // A desk that gave up waiting does not send the order.
    let _ = reply.send(right);
}
