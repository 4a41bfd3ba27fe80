//! Dispatches the requests, loads and evictions of one engine.

use std::collections::BTreeSet;

use guavaspread_engine::BackendClient;
use guavaspread_ownership::{OwnerPermissions, Role};
use guavaspread_placement::{
    EngineQueue, Policy, QueueAction, QueueLimits, QueuedRequest, QueuedRequestKey, SlotState,
    adapter_hash,
};
use guavaspread_wire::{BackendStatus, EngineDigest, LoadedAdapter};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, oneshot};

use crate::control::ControlRequest;
use crate::metrics::Metrics;
use crate::prelude::*;

/// How often the engine is asked for the list of its adapters.
const LIST_ADAPTERS_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before the queue learns that an eviction was not granted or failed, and may try again.
const EVICTION_BACKOFF: Duration = Duration::from_millis(250);

/// The admission of a queued request, or its refusal.
pub(crate) type Admission = Result<(), Refusal>;

/// Holds the arguments of [`EngineDispatcher::new`].
pub(crate) struct EngineDispatcherOptions {
    pub(crate) host: Name,
    pub(crate) backend: Rc<dyn BackendClient>,
    pub(crate) limits: QueueLimits,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) control: mpsc::UnboundedSender<ControlRequest>,
    pub(crate) metrics: Metrics,
}

/// Runs the queue of one engine and sends it commands to load and unload adapters.
pub(crate) struct EngineDispatcher {
    options: EngineDispatcherOptions,
    queue: RefCell<EngineQueue>,
    waiters: RefCell<SecondaryMap<QueuedRequestKey, oneshot::Sender<Admission>>>,
    permissions: RefCell<Option<OwnerPermissions>>,
    is_owner: Cell<bool>,
    /// Whether the queue knows which adapters the engine holds. Until then no request starts.
    has_adapter_list: Cell<bool>,
    list_in_flight: Cell<bool>,
    last_list_at: Cell<Duration>,
    /// Number of commands and runs in flight at the engine.
    in_flight: Cell<u32>,
    digest_sequence: Cell<u64>,
    /// Generation of the control state that `permissions` come from.
    generation: Cell<u64>,
    /// Whether the release of the engine was reported to the control thread.
    release_reported: Cell<bool>,
}

impl EngineDispatcher {
    pub(crate) fn new(options: EngineDispatcherOptions) -> Rc<Self> {
        let queue = EngineQueue::new(options.limits, options.policy.clone());
        Rc::new(EngineDispatcher {
            options,
            queue: RefCell::new(queue),
            waiters: RefCell::default(),
            permissions: RefCell::default(),
            is_owner: Cell::new(false),
            has_adapter_list: Cell::new(false),
            list_in_flight: Cell::new(false),
            last_list_at: Cell::new(Duration::ZERO),
            in_flight: Cell::new(0),
            digest_sequence: Cell::new(0),
            generation: Cell::new(0),
            release_reported: Cell::new(false),
        })
    }

    pub(crate) fn backend(&self) -> Rc<dyn BackendClient> {
        self.options.backend.clone()
    }

    pub(crate) fn now(&self) -> Duration {
        self.options.clock.now()
    }

    /// Applies this host's role, its permissions and its pinned adapters for the engine.
    pub(crate) fn set_role(
        self: &Rc<Self>,
        role: &Role,
        pinned: BTreeSet<AdapterVersion>,
        generation: u64,
    ) {
        let is_owner = matches!(role, Role::Owner(_));
        let permissions = match role {
            Role::Owner(permissions) | Role::ExpiredOwner(permissions) => Some(permissions.clone()),
            Role::OwnedBy(_) | Role::Unknown => None,
        };
        if permissions.is_some() && self.permissions.borrow().is_none() {
            // Another owner may have loaded or unloaded adapters.
            self.has_adapter_list.set(false);
        }
        let mut queue = self.queue.borrow_mut();
        let may_evict = permissions.as_ref().is_some_and(|permissions| permissions.may_evict);
        queue.set_may_evict(may_evict, self.now());
        queue.set_blocked_adapters(
            permissions
                .as_ref()
                .map(|permissions| permissions.blocked_adapters.clone())
                .unwrap_or_default(),
        );
        queue.set_pinned_adapters(if is_owner { pinned } else { BTreeSet::new() });
        drop(queue);
        self.is_owner.set(is_owner);
        *self.permissions.borrow_mut() = permissions;
        self.generation.set(generation);
        self.process_queue();
        self.release_if_idle();
    }

    /// Returns whether the engine accepts requests through this host.
    pub(crate) fn is_accepting(&self) -> bool {
        self.permissions.borrow().is_some()
    }

    /// Returns whether no request is queued and nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.get() == 0 && self.queue.borrow().waiting() == 0
    }

    pub(crate) fn has_queued_requests(&self) -> bool {
        self.queue.borrow().waiting() > 0
    }

    pub(crate) fn running_requests(&self) -> usize {
        self.queue.borrow().running()
    }

    /// Queues a request and returns the receiver of its admission.
    pub(crate) fn submit(
        self: &Rc<Self>,
        request: QueuedRequest,
        demand: f64,
    ) -> Result<(QueuedRequestKey, oneshot::Receiver<Admission>), Refusal> {
        let now = self.now();
        let mut queue = self.queue.borrow_mut();
        queue.raise_demand(&request.adapter, demand, now);
        let key = queue.submit(request, now)?;
        if queue.has_stalled(key) {
            self.options.metrics.stalls.inc();
        }
        drop(queue);
        let admission = self.add_waiter(key);
        self.process_queue();
        Ok((key, admission))
    }

    /// Queues a started request again because the engine did not hold its adapter.
    pub(crate) fn requeue(self: &Rc<Self>, key: QueuedRequestKey) -> oneshot::Receiver<Admission> {
        self.queue.borrow_mut().on_adapter_missing(key);
        let admission = self.add_waiter(key);
        self.process_queue();
        admission
    }

    /// Removes a request that has ended or was cancelled.
    pub(crate) fn remove_request(self: &Rc<Self>, key: QueuedRequestKey) {
        self.waiters.borrow_mut().remove(key);
        self.queue.borrow_mut().on_request_finished(key);
        self.process_queue();
        self.release_if_idle();
    }

    /// Lists the engine's adapters if that is due, then processes the queue.
    pub(crate) fn tick(self: &Rc<Self>) {
        let list_is_stale = self.now() >= self.last_list_at.get() + LIST_ADAPTERS_INTERVAL;
        if self.is_accepting() && (list_is_stale || !self.has_adapter_list.get()) {
            self.refresh_adapter_list();
        }
        self.process_queue();
    }

    /// Counts a command or run as in flight until the guard is dropped.
    pub(crate) fn track_in_flight(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard { engine: self.clone() }
    }

    pub(crate) fn status(&self, owner: Option<Name>) -> BackendStatus {
        let now = self.now();
        let queue = self.queue.borrow();
        let ready_slots = queue.slots().iter().filter(|slot| slot.state == SlotState::Ready);
        let loaded = ready_slots.map(|slot| LoadedAdapter {
            adapter: slot.adapter.clone(),
            running: slot.running,
            demand: queue.demand_rate(&slot.adapter, now) as f32,
        });
        BackendStatus {
            host: self.options.host.clone(),
            owner,
            fence: self.permissions.borrow().as_ref().map_or(0, |permissions| permissions.fence),
            running: queue.running() as u32,
            waiting: queue.waiting() as u32,
            loaded: loaded.collect(),
        }
    }

    /// Returns the digest of the engine for other hosts, if this host owns the engine.
    pub(crate) fn digest(&self, owner: &Name) -> Option<EngineDigest> {
        let fence = self.permissions.borrow().as_ref().map(|permissions| permissions.fence)?;
        if !self.is_owner.get() {
            return None;
        }
        self.digest_sequence.set(self.digest_sequence.get() + 1);
        let now = self.now();
        let queue = self.queue.borrow();
        let adapters = queue.slots().iter().filter(|slot| slot.state != SlotState::Evicting);
        Some(EngineDigest {
            host: self.options.host.clone(),
            owner: owner.clone(),
            fence,
            sequence: self.digest_sequence.get(),
            load: (queue.running() + queue.waiting()).min(u16::MAX.into()) as u16,
            coldest_demand: queue.coldest_value(now) as f32,
            loaded_hashes: adapters.map(|slot| adapter_hash(&slot.adapter)).collect(),
        })
    }

    fn add_waiter(&self, key: QueuedRequestKey) -> oneshot::Receiver<Admission> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, tx);
        rx
    }

    /// Executes the queue's actions until the queue has nothing more to do.
    fn process_queue(self: &Rc<Self>) {
        if !self.is_accepting() {
            return self.refuse_queued_not_owner();
        }
        if !self.has_adapter_list.get() {
            return;
        }
        loop {
            let action = self.queue.borrow_mut().next_action(self.now());
            match action {
                QueueAction::Start(key) => self.start_request(key),
                QueueAction::Load(adapter) => self.start_load(adapter),
                QueueAction::Evict(adapter) => self.start_eviction(adapter),
                QueueAction::Refuse(key, refusal) => {
                    self.send_admission(key, Err(refusal));
                }
                QueueAction::Wait(_) => return,
            }
        }
    }

    fn start_request(&self, key: QueuedRequestKey) {
        if !self.send_admission(key, Ok(())) {
            self.queue.borrow_mut().on_request_finished(key);
        }
    }

    /// Sends a queued request its admission; returns false if the receiver is gone.
    fn send_admission(&self, key: QueuedRequestKey, admission: Admission) -> bool {
        let waiter = self.waiters.borrow_mut().remove(key);
        waiter.is_some_and(|tx| tx.send(admission).is_ok())
    }

    /// Refuses all queued requests because another host owns the engine now.
    fn refuse_queued_not_owner(&self) {
        let keys: Vec<QueuedRequestKey> = self.waiters.borrow().keys().collect();
        for key in keys {
            let refusal =
                Refusal::not_run(Code::NotOwner, "another entry host owns the engine now");
            self.send_admission(key, Err(refusal));
            self.queue.borrow_mut().on_request_finished(key);
        }
    }

    fn start_load(self: &Rc<Self>, adapter: AdapterVersion) {
        let fence = self.fence();
        let in_flight = self.track_in_flight();
        let this = self.clone();
        ntex::rt::spawn(async move {
            let started = this.now();
            let result = this.options.backend.load_adapter(&adapter, fence).await;
            drop(in_flight);
            let now = this.now();
            let load_time = now.saturating_sub(started);
            match &result {
                Ok(()) => {
                    this.options.metrics.loads.inc();
                }
                Err(e) => {
                    log::warn!("engine {}: loading {adapter} failed: {e}", this.options.host);
                    this.options.metrics.loads_failed.inc();
                    this.has_adapter_list.set(false);
                }
            }
            match &result {
                Err(e) if e.has_no_free_slot() => this.queue.borrow_mut().on_no_free_slot(&adapter),
                _ => {
                    let load_time = result.is_ok().then_some(load_time);
                    this.queue.borrow_mut().on_loaded(&adapter, load_time, now);
                }
            }
            this.process_queue();
        });
    }

    fn start_eviction(self: &Rc<Self>, adapter: AdapterVersion) {
        let this = self.clone();
        ntex::rt::spawn(async move {
            let evicted = this.evict_if_granted(&adapter).await;
            if !evicted {
                ntex::time::sleep(EVICTION_BACKOFF).await;
            }
            this.queue.borrow_mut().on_evicted(&adapter, evicted);
            this.process_queue();
        });
    }

    async fn evict_if_granted(self: &Rc<Self>, adapter: &AdapterVersion) -> bool {
        let in_flight = self.track_in_flight();
        let (reply, grant) = oneshot::channel();
        let engine = self.options.host.clone();
        let request = ControlRequest::GrantEviction { engine, adapter: adapter.clone(), reply };
        if self.options.control.send(request).is_err() {
            return false;
        }
        let Ok(Some(permissions)) = grant.await else {
            return false;
        };
        let result = self.options.backend.unload_adapter(adapter, permissions.fence).await;
        drop(in_flight);
        // Sending fails only after the control thread has ended.
        let _ = self
            .options
            .control
            .send(ControlRequest::EvictionFinished { engine: self.options.host.clone() });
        match result {
            Ok(()) => {
                self.options.metrics.evictions.inc();
                true
            }
            Err(e) if e.is_not_loaded() => true,
            Err(e) => {
                log::warn!("engine {}: unloading {adapter} failed: {e}", self.options.host);
                self.has_adapter_list.set(false);
                false
            }
        }
    }

    /// Lists the engine's adapters and passes them to the queue.
    fn refresh_adapter_list(self: &Rc<Self>) {
        if self.list_in_flight.replace(true) {
            return;
        }
        let this = self.clone();
        ntex::rt::spawn(async move {
            let result = this.options.backend.list_adapters().await;
            this.list_in_flight.set(false);
            this.last_list_at.set(this.now());
            match result {
                Ok(adapters) => {
                    this.queue.borrow_mut().on_adapters_listed(&adapters, this.now());
                    this.has_adapter_list.set(true);
                    this.process_queue();
                }
                Err(e) => {
                    log::debug!(
                        "engine {}: listing the adapters failed, refusing queued requests: {e}",
                        this.options.host
                    );
                    this.has_adapter_list.set(false);
                    this.refuse_queued_unreachable();
                }
            }
        });
    }

    /// Refuses all queued requests because the engine can't be reached.
    fn refuse_queued_unreachable(&self) {
        let keys: Vec<QueuedRequestKey> = self.waiters.borrow().keys().collect();
        for key in keys {
            let refusal = Refusal::not_run(Code::NoBackend, "the engine can't be reached");
            self.send_admission(key, Err(refusal.with_retry_after_ms(1_000)));
            self.queue.borrow_mut().on_request_finished(key);
        }
    }

    fn fence(&self) -> u64 {
        self.permissions.borrow().as_ref().map_or(0, |permissions| permissions.fence)
    }

    /// Reports the engine as released if this host may not use it and nothing is in flight there.
    fn release_if_idle(&self) {
        if self.is_accepting() {
            self.release_reported.set(false);
            return;
        }
        if self.in_flight.get() > 0
            || self.running_requests() > 0
            || self.release_reported.replace(true)
        {
            return;
        }
        let engine = self.options.host.clone();
        let generation = self.generation.get();
        // Sending fails only after the control thread has ended.
        let _ = self.options.control.send(ControlRequest::EngineReleased { engine, generation });
    }
}

/// Counts a command or run as in flight until dropped.
pub(crate) struct InFlightGuard {
    engine: Rc<EngineDispatcher>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let engine = &self.engine;
        engine.in_flight.set(engine.in_flight.get() - 1);
        engine.release_if_idle();
    }
}
