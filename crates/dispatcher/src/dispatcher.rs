//! The request thread's state: the engines of this host and the latest control state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use guavaspread_config::Acknowledgement;
use guavaspread_engine::{BackendClient, HttpBackendClient};
use guavaspread_ownership::Role;
use guavaspread_placement::QueueLimits;
use guavaspread_settings::{DispatcherSettings, EngineLimits};
use guavaspread_wire::{GossipReply, ObservedHead, RefusalCount, StatusReply};
use tokio::sync::oneshot;

use crate::control::{ControlHandle, ControlRequest, ControlState};
use crate::engine_dispatcher::{EngineDispatcher, EngineDispatcherOptions};
use crate::metrics::Metrics;
use crate::prelude::*;

/// Limits the hashes of quarantined content in a gossip reply; the platform's table holds all.
const QUARANTINED_HASHES_MAX: usize = 64;

struct EngineEntry {
    address: SocketAddr,
    dispatcher: Rc<EngineDispatcher>,
}

/// Holds the engine dispatchers of this host and routes requests to them.
pub(crate) struct Dispatcher {
    pub(crate) host: Name,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) limits: EngineLimits,
    zone: Name,
    cfg: DispatcherSettings,
    control: ControlHandle,
    state: RefCell<Option<Arc<ControlState>>>,
    engines: RefCell<BTreeMap<Name, EngineEntry>>,
    is_stopping: Cell<bool>,
    active_runs: Cell<usize>,
    refusal_counts: RefCell<BTreeMap<u16, RefusalCount>>,
    quarantined: RefCell<VecDeque<u64>>,
}

impl Dispatcher {
    pub(crate) fn new(
        cfg: DispatcherSettings,
        clock: Clock,
        control: ControlHandle,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Dispatcher {
            host: cfg.process.host.clone(),
            zone: cfg.process.zone.clone(),
            limits: cfg.engine.clone(),
            cfg,
            clock,
            metrics,
            control,
            state: RefCell::default(),
            engines: RefCell::default(),
            is_stopping: Cell::new(false),
            active_runs: Cell::new(0),
            refusal_counts: RefCell::default(),
            quarantined: RefCell::default(),
        })
    }

    /// Applies a new state of the control thread.
    pub(crate) async fn on_control_state(&self, state: Arc<ControlState>) {
        for content in &state.quarantined {
            self.add_quarantined(*content);
        }
        for (engine, role) in &state.roles {
            let Some(host) = state.snapshot.host(engine) else { continue };
            let Some(dispatcher) = self.get_or_create(host, role).await else { continue };
            dispatcher.set_role(role, self.pinned_adapters(engine, &state), state.generation);
        }
        let owned = state.roles.values().filter(|role| matches!(role, Role::Owner(_))).count();
        self.metrics.owned.set(owned as i64);
        *self.state.borrow_mut() = Some(state);
    }

    /// Returns the engine dispatcher that accepts requests for an engine.
    pub(crate) fn find_accepting(&self, engine: &Name) -> Result<Rc<EngineDispatcher>, Refusal> {
        if self.is_stopping.get() {
            let refusal = Refusal::not_run(Code::Stopping, "the dispatcher is stopping");
            return Err(refusal.with_retry_after_ms(500));
        }
        let state = self.state.borrow().clone();
        let is_leaving = state.is_some_and(|state| {
            let drained = state
                .snapshot
                .config_view
                .config
                .as_ref()
                .is_some_and(|c| c.drained.contains(engine));
            let host = state.snapshot.host(engine);
            drained || host.is_none_or(|host| host.state == HostState::Leaving)
        });
        if is_leaving {
            return Err(Refusal::not_run(Code::NoBackend, "the backend server is leaving"));
        }
        let engines = self.engines.borrow();
        let dispatcher = engines
            .get(engine)
            .map(|entry| entry.dispatcher.clone())
            .filter(|dispatcher| dispatcher.is_accepting());
        dispatcher
            .ok_or_else(|| Refusal::not_run(Code::NotOwner, format!("{engine} is not owned here")))
    }

    /// Runs the periodic work of every engine dispatcher.
    pub(crate) fn tick(&self) {
        let dispatchers: Vec<Rc<EngineDispatcher>> =
            self.engines.borrow().values().map(|entry| entry.dispatcher.clone()).collect();
        for dispatcher in &dispatchers {
            dispatcher.tick();
        }
        let running: usize =
            dispatchers.iter().map(|dispatcher| dispatcher.running_requests()).sum();
        self.metrics.running.set(running as i64);
    }

    /// Returns whether a request is queued for any engine.
    pub(crate) fn has_queued_requests(&self) -> bool {
        self.engines.borrow().values().any(|entry| entry.dispatcher.has_queued_requests())
    }

    pub(crate) fn status(&self) -> StatusReply {
        let state = self.state.borrow();
        let engines = self.engines.borrow();
        let accepting = engines.values().filter(|entry| entry.dispatcher.is_accepting());
        StatusReply {
            entry_host: self.host.clone(),
            zone: self.zone.clone(),
            revision: state.as_ref().map_or(0, |state| state.snapshot.revision()),
            backends: accepting
                .map(|entry| entry.dispatcher.status(Some(self.host.clone())))
                .collect(),
            refused: self.refusal_counts.borrow().values().cloned().collect(),
        }
    }

    /// Builds a gossip reply: the head row, quarantined content and digests of the owned engines.
    pub(crate) fn gossip_reply(&self) -> GossipReply {
        let state = self.state.borrow();
        let head = state.as_ref().and_then(|state| {
            let elapsed_ms = self.clock.now().saturating_sub(state.created_at).as_millis() as u32;
            let head = state.snapshot.head.clone()?;
            Some(ObservedHead { age_ms: head.age_ms.saturating_add(elapsed_ms), ..head })
        });
        let engines = self.engines.borrow();
        let digests =
            engines.values().filter_map(|entry| entry.dispatcher.digest(&self.host)).collect();
        let quarantined = self.quarantined.borrow().iter().copied().collect();
        GossipReply { head, quarantined, digests }
    }

    /// Records the hash of content that crashes engines; gossip replies contain it.
    pub(crate) fn add_quarantined(&self, content: u64) -> bool {
        let mut quarantined = self.quarantined.borrow_mut();
        if !quarantined.contains(&content) {
            quarantined.push_back(content);
        }
        while quarantined.len() > QUARANTINED_HASHES_MAX {
            quarantined.pop_front();
        }
        true
    }

    /// Sends the control thread a head row that a peer has just written.
    pub(crate) fn on_peer_head(&self, observed: ObservedHead) -> bool {
        self.control.requests.send(ControlRequest::PeerHead { observed }).is_ok()
    }

    /// Writes a member's acknowledgement; returns whether it was committed.
    pub(crate) async fn write_acknowledgement(&self, row: Acknowledgement) -> bool {
        let (reply, written) = oneshot::channel();
        let requested =
            self.control.requests.send(ControlRequest::WriteAcknowledgement { row, reply });
        requested.is_ok() && written.await.unwrap_or(false)
    }

    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.is_stopping.get()
            && state.as_ref().is_some_and(|s| s.snapshot.config_view.config.is_some())
    }

    pub(crate) fn count_refusal(&self, code: Code) {
        self.metrics.count_refusal(code);
        let mut counts = self.refusal_counts.borrow_mut();
        counts.entry(code.number()).or_insert(RefusalCount { code, count: 0 }).count += 1;
    }

    /// Refuses new runs from now on.
    pub(crate) fn stop_accepting(&self) {
        self.is_stopping.set(true);
    }

    /// Returns whether no run is queued or in flight for any engine.
    pub(crate) fn is_idle(&self) -> bool {
        self.active_runs.get() == 0
            && self.engines.borrow().values().all(|entry| entry.dispatcher.is_idle())
    }

    pub(crate) fn on_run_started(&self) {
        self.metrics.runs.inc();
        self.active_runs.set(self.active_runs.get() + 1);
    }

    pub(crate) fn on_run_ended(&self) {
        self.active_runs.set(self.active_runs.get() - 1);
    }

    async fn get_or_create(&self, host: &Host, role: &Role) -> Option<Rc<EngineDispatcher>> {
        let existing = self
            .engines
            .borrow()
            .get(&host.name)
            .map(|entry| (entry.address, entry.dispatcher.clone()));
        if let Some((address, dispatcher)) = existing
            && address == host.address
        {
            return Some(dispatcher);
        }
        if !matches!(role, Role::Owner(_) | Role::ExpiredOwner(_)) {
            return None;
        }
        let backend: Rc<dyn BackendClient> = match HttpBackendClient::new(host.address).await {
            Ok(backend) => Rc::new(backend),
            Err(e) => {
                log::error!(
                    "engine {}: creating the HTTP client failed, requests are refused: {e}",
                    host.name
                );
                return None;
            }
        };
        let dispatcher = EngineDispatcher::new(EngineDispatcherOptions {
            host: host.name.clone(),
            backend,
            limits: queue_limits(&self.limits),
            policy: self.cfg.policy(),
            clock: self.clock,
            control: self.control.requests.clone(),
            metrics: self.metrics.clone(),
        });
        let entry = EngineEntry { address: host.address, dispatcher: dispatcher.clone() };
        self.engines.borrow_mut().insert(host.name.clone(), entry);
        Some(dispatcher)
    }

    /// Returns the pinned adapters whose rendezvous order ranks this engine first in its zone.
    fn pinned_adapters(&self, engine: &Name, state: &ControlState) -> BTreeSet<AdapterVersion> {
        let Some(config) = &state.snapshot.config_view.config else {
            return BTreeSet::new();
        };
        let mut pinned_adapters = BTreeSet::new();
        for (organisation, org) in &config.organisations {
            for (adapter, declared) in &org.adapters {
                let Some(version) = declared.pinned else { continue };
                let adapter_version =
                    AdapterVersion::new(organisation.clone(), adapter.clone(), version);
                if is_first_in_zone(engine, &adapter_version, state) {
                    pinned_adapters.insert(adapter_version);
                }
            }
        }
        pinned_adapters
    }
}

fn is_first_in_zone(engine: &Name, adapter: &AdapterVersion, state: &ControlState) -> bool {
    let name = adapter.to_string();
    let score = |host: &Name| guavaspread_model::rendezvous_score(&name, host.as_str());
    let Some(engine_host) = state.snapshot.host(engine) else {
        return false;
    };
    let zone_engines =
        state.snapshot.hosts.iter().filter(|h| h.is_live_engine() && h.zone == engine_host.zone);
    zone_engines.max_by_key(|host| score(&host.name)).is_some_and(|host| host.name == *engine)
}

fn queue_limits(limits: &EngineLimits) -> QueueLimits {
    QueueLimits {
        slots: limits.slots,
        batch: limits.batch,
        waiting_max: limits.waiting,
        concurrent_loads_max: limits.loads,
        initial_load_time: Duration::from_millis(limits.load_ms.into()),
    }
}
