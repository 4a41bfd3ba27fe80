//! All engines that this host works, and what the traffic thread knows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use guavaspread_config::Acknowledgement;
use guavaspread_engine::{Backend, HttpBackend};
use guavaspread_ownership::Role;
use guavaspread_placement::QueueLimits;
use guavaspread_settings::{DispatcherSettings, EngineLimits};
use guavaspread_wire::{ExchangeReply, RefusalCount, SeenHead, StatusReply};
use tokio::sync::oneshot;

use crate::control::{ControlHandle, Request, State};
use crate::desk::{Desk, DeskParts};
use crate::metrics::Metrics;
use crate::prelude::*;

/// Hashes of content that are passed on; the table holds all of them.
const QUARANTINED_MAX: usize = 64;

struct Place {
    address: SocketAddr,
    desk: Rc<Desk>,
}

/// Holds the desks of one dispatcher.
pub(crate) struct Office {
    pub(crate) host: Name,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) limits: EngineLimits,
    zone: Name,
    cfg: DispatcherSettings,
    control: ControlHandle,
    state: RefCell<Option<Arc<State>>>,
    places: RefCell<BTreeMap<Name, Place>>,
    stopping: Cell<bool>,
    runs: Cell<usize>,
    refused: RefCell<BTreeMap<u16, RefusalCount>>,
    quarantined: RefCell<VecDeque<u64>>,
}

impl Office {
    pub(crate) fn new(
        cfg: DispatcherSettings,
        clock: Clock,
        control: ControlHandle,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Office {
            host: cfg.process.host.clone(),
            zone: cfg.process.zone.clone(),
            limits: cfg.engine.clone(),
            cfg,
            clock,
            metrics,
            control,
            state: RefCell::default(),
            places: RefCell::default(),
            stopping: Cell::new(false),
            runs: Cell::new(0),
            refused: RefCell::default(),
            quarantined: RefCell::default(),
        })
    }

    /// Takes over a new state of the control thread.
    pub(crate) async fn on_state(&self, state: Arc<State>) {
        for content in &state.quarantined {
            self.quarantine(*content);
        }
        for (engine, role) in &state.roles {
            let Some(host) = state.snapshot.host(engine) else { continue };
            let Some(desk) = self.desk_for(host, role).await else { continue };
            desk.set_role(role, self.pins(engine, &state), state.generation);
        }
        let owned = state.roles.values().filter(|role| matches!(role, Role::Owner(_))).count();
        self.metrics.owned.set(owned as i64);
        *self.state.borrow_mut() = Some(state);
    }

    /// Finds the desk that takes requests for an engine.
    pub(crate) fn open_desk(&self, engine: &Name) -> Result<Rc<Desk>, Refusal> {
        if self.stopping.get() {
            let refusal = Refusal::not_run(Code::Stopping, "the dispatcher is stopping");
            return Err(refusal.retry_after_ms(500));
        }
        let state = self.state.borrow().clone();
        let leaving = state.is_some_and(|state| {
            let drained =
                state.snapshot.view.config.as_ref().is_some_and(|c| c.drained.contains(engine));
            let host = state.snapshot.host(engine);
            drained || host.is_none_or(|host| host.state == HostState::Leaving)
        });
        if leaving {
            return Err(Refusal::not_run(Code::NoBackend, "the backend server is leaving"));
        }
        let places = self.places.borrow();
        let desk = places.get(engine).map(|place| place.desk.clone()).filter(|d| d.is_open());
        desk.ok_or_else(|| Refusal::not_run(Code::NotOwner, format!("{engine} is not owned here")))
    }

    /// Does what is due at every desk.
    pub(crate) fn tick(&self) {
        let desks: Vec<Rc<Desk>> = self.places.borrow().values().map(|p| p.desk.clone()).collect();
        for desk in &desks {
            desk.tick();
        }
        let running: usize = desks.iter().map(|desk| desk.running()).sum();
        self.metrics.running.set(running as i64);
    }

    /// Tells whether a request waits at some desk.
    pub(crate) fn has_waiting(&self) -> bool {
        self.places.borrow().values().any(|place| place.desk.has_waiting())
    }

    pub(crate) fn status(&self) -> StatusReply {
        let state = self.state.borrow();
        let places = self.places.borrow();
        let open = places.values().filter(|place| place.desk.is_open());
        StatusReply {
            entry_host: self.host.clone(),
            zone: self.zone.clone(),
            revision: state.as_ref().map_or(0, |state| state.snapshot.revision()),
            backends: open.map(|place| place.desk.report(Some(self.host.clone()))).collect(),
            refused: self.refused.borrow().values().cloned().collect(),
        }
    }

    /// Says what other hosts need to know: the head row and the engines owned here.
    pub(crate) fn exchange(&self) -> ExchangeReply {
        let state = self.state.borrow();
        let head = state.as_ref().and_then(|state| {
            let since = self.clock.now().saturating_sub(state.taken_at).as_millis() as u32;
            let head = state.snapshot.head.clone()?;
            Some(SeenHead { age_ms: head.age_ms.saturating_add(since), ..head })
        });
        let places = self.places.borrow();
        let digests = places.values().filter_map(|place| place.desk.digest(&self.host)).collect();
        let quarantined = self.quarantined.borrow().iter().copied().collect();
        ExchangeReply { head, quarantined, digests }
    }

    /// Remembers content that crashes engines, for gateways that ask.
    pub(crate) fn quarantine(&self, content: u64) -> bool {
        let mut quarantined = self.quarantined.borrow_mut();
        if !quarantined.contains(&content) {
            quarantined.push_back(content);
        }
        while quarantined.len() > QUARANTINED_MAX {
            quarantined.pop_front();
        }
        true
    }

    /// Takes over a head row that somebody has just written.
    pub(crate) fn learn(&self, seen: SeenHead) -> bool {
        self.control.requests.send(Request::Learn { seen }).is_ok()
    }

    /// Writes a member's acknowledgement; tells whether it stands in the table.
    pub(crate) async fn acknowledge(&self, row: Acknowledgement) -> bool {
        let (reply, written) = oneshot::channel();
        let asked = self.control.requests.send(Request::Acknowledge { row, reply });
        asked.is_ok() && written.await.unwrap_or(false)
    }

    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.stopping.get() && state.as_ref().is_some_and(|s| s.snapshot.view.config.is_some())
    }

    pub(crate) fn count_refusal(&self, code: Code) {
        self.metrics.refuse(code);
        let mut refused = self.refused.borrow_mut();
        refused.entry(code.number()).or_insert(RefusalCount { code, count: 0 }).count += 1;
    }

    /// Takes no new runs from now on.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
    }

    /// Tells whether nothing is queued or under way anywhere.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.get() == 0 && self.places.borrow().values().all(|place| place.desk.is_idle())
    }

    pub(crate) fn on_run_started(&self) {
        self.metrics.runs.inc();
        self.runs.set(self.runs.get() + 1);
    }

    pub(crate) fn on_run_ended(&self) {
        self.runs.set(self.runs.get() - 1);
    }

    async fn desk_for(&self, host: &Host, role: &Role) -> Option<Rc<Desk>> {
        let known = self.places.borrow().get(&host.name).map(|p| (p.address, p.desk.clone()));
        if let Some((address, desk)) = known
            && address == host.address
        {
            return Some(desk);
        }
        if !matches!(role, Role::Owner(_) | Role::Caretaker(_)) {
            return None;
        }
        let backend: Rc<dyn Backend> = match HttpBackend::new(host.address).await {
            Ok(backend) => Rc::new(backend),
            Err(e) => {
                log::error!("{}: no client: {e}", host.name);
                return None;
            }
        };
        let desk = Desk::new(DeskParts {
            host: host.name.clone(),
            backend,
            limits: queue_limits(&self.limits),
            policy: self.cfg.policy(),
            clock: self.clock,
            control: self.control.requests.clone(),
            metrics: self.metrics.clone(),
        });
        let place = Place { address: host.address, desk: desk.clone() };
        self.places.borrow_mut().insert(host.name.clone(), place);
        Some(desk)
    }

    /// Lists the pinned adapters that belong on this engine: the first of the zone's engines in
    /// the adapter's rendezvous order.
    fn pins(&self, engine: &Name, state: &State) -> BTreeSet<AdapterVersion> {
        let Some(config) = &state.snapshot.view.config else {
            return BTreeSet::new();
        };
        let mut pins = BTreeSet::new();
        for (organisation, org) in &config.organisations {
            for (adapter, declared) in &org.adapters {
                let Some(version) = declared.pinned else { continue };
                let pin = AdapterVersion::new(organisation.clone(), adapter.clone(), version);
                if is_first(engine, &pin, state) {
                    pins.insert(pin);
                }
            }
        }
        pins
    }
}

fn is_first(engine: &Name, adapter: &AdapterVersion, state: &State) -> bool {
    let name = adapter.to_string();
    let score = |host: &Name| guavaspread_model::rendezvous_score(&name, host.as_str());
    let Some(own) = state.snapshot.host(engine) else {
        return false;
    };
    let zone_engines =
        state.snapshot.hosts.iter().filter(|h| h.is_live_engine() && h.zone == own.zone);
    zone_engines.max_by_key(|host| score(&host.name)).is_some_and(|host| host.name == *engine)
}

fn queue_limits(limits: &EngineLimits) -> QueueLimits {
    QueueLimits {
        slots: limits.slots,
        batch: limits.batch,
        waiting: limits.waiting,
        loads: limits.loads,
        load_time: Duration::from_millis(limits.load_ms.into()),
    }
}
