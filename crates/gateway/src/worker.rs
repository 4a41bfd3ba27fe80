//! The state of one request thread.

use std::collections::HashMap;
use std::net::SocketAddr;

use guavaspread_control::{DispatcherClient, ShutdownSignal};
use guavaspread_placement::{DemandMap, EngineKey, RetryBudget, Route, Router};
use guavaspread_settings::GatewaySettings;
use guavaspread_store::{GroupCommit, HttpPlatformClient, PlatformClient};
use guavaspread_wire::{EngineDigest, Identity};
use slotmap::SecondaryMap;

use crate::control::{ControlHandle, ControlRequest};
use crate::metrics::Metrics;
use crate::prelude::*;
use crate::quarantine::Quarantine;
use crate::routing_state::{RoutingState, with_digest};
use crate::service::ServiceLoad;

const DEMAND_ENTRIES_MAX: usize = 16_384;
const RETRY_BURST: f64 = 20.0;

struct KnownEngine {
    host: Name,
    dispatcher_address: Option<SocketAddr>,
    digest_version: Option<(u64, u64)>,
}

/// Identifies the engine chosen for an attempt.
#[derive(Clone, Debug)]
pub(crate) struct ChosenEngine {
    pub(crate) key: EngineKey,
    pub(crate) host: Name,
    pub(crate) dispatcher_address: SocketAddr,
}

/// Holds the arguments of [`Worker::new`].
pub(crate) struct WorkerOptions {
    pub(crate) cfg: GatewaySettings,
    pub(crate) clock: Clock,
    /// Random number that distinguishes successive processes on the same host.
    pub(crate) incarnation: u64,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: ShutdownSignal,
}

/// Holds the clients, budgets and routing state of one request thread.
pub(crate) struct Worker {
    pub(crate) cfg: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Metrics,
    pub(crate) dispatcher_client: DispatcherClient,
    pub(crate) platform: Rc<dyn PlatformClient>,
    pub(crate) claim_commits: Rc<GroupCommit>,
    pub(crate) service_load: ServiceLoad,
    pub(crate) quarantine: Quarantine,
    router: RefCell<Router>,
    known_engines: RefCell<SecondaryMap<EngineKey, KnownEngine>>,
    synced_routing: RefCell<Option<Arc<RoutingState>>>,
    demand: RefCell<DemandMap<AdapterVersion>>,
    retry_budget: RefCell<RetryBudget>,
    in_flight: Cell<usize>,
    shutdown: ShutdownSignal,
}

impl Worker {
    pub(crate) async fn new(options: WorkerOptions, identity: &Identity) -> eyre::Result<Rc<Self>> {
        let WorkerOptions { cfg, clock, incarnation, control, metrics, shutdown } = options;
        let policy = cfg.policy();
        let demand = DemandMap::new(policy.demand_half_life(), DEMAND_ENTRIES_MAX);
        let retry_budget = RetryBudget::new(cfg.limits.retry_share, RETRY_BURST);
        let platform: Rc<dyn PlatformClient> =
            Rc::new(HttpPlatformClient::new(cfg.process.platform).await?);
        Ok(Rc::new(Worker {
            dispatcher_client: DispatcherClient::new(identity, cfg.process.source)?,
            cfg,
            clock,
            incarnation,
            control,
            metrics,
            claim_commits: GroupCommit::new(platform.clone()),
            platform,
            service_load: ServiceLoad::default(),
            quarantine: Quarantine::default(),
            router: RefCell::new(Router::new(policy)),
            known_engines: RefCell::default(),
            synced_routing: RefCell::default(),
            demand: RefCell::new(demand),
            retry_budget: RefCell::new(retry_budget),
            in_flight: Cell::new(0),
            shutdown,
        }))
    }

    /// Returns the latest routing state and updates the router with it.
    pub(crate) fn routing(&self) -> Result<Arc<RoutingState>, Refusal> {
        let routing = self.control.routing.borrow().clone();
        let routing = routing.ok_or_else(|| {
            let refusal =
                Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
            refusal.with_retry_after_ms(1_000)
        })?;
        self.sync_router(&routing);
        Ok(routing)
    }

    /// Returns whether requests are accepted and can be routed.
    pub(crate) fn is_ready(&self) -> bool {
        let Ok(routing) = self.routing() else {
            return false;
        };
        let mut engines = routing.engines.iter();
        let routable = routing.engines.is_empty() || engines.any(|engine| engine.is_accepting);
        routable && routing.snapshot.config_view.config.is_some() && !self.shutdown.is_requested()
    }

    /// Counts a request and returns the decayed count for its adapter.
    pub(crate) fn count_demand(&self, adapter: &AdapterVersion) -> f64 {
        let now = self.clock.now();
        let mut demand = self.demand.borrow_mut();
        demand.add(adapter, now);
        demand.count(adapter, now)
    }

    /// Chooses an engine, excluding those already tried.
    pub(crate) fn route(
        &self,
        adapter: &AdapterVersion,
        tried_engines: &[EngineKey],
    ) -> Option<ChosenEngine> {
        // Updates the router, so that a request that waits for an engine sees new owners.
        self.routing().ok()?;
        let route = self.router.borrow_mut().route(adapter, tried_engines, self.clock.now());
        let key = match route {
            Route::Loaded(key) | Route::Load(key) => key,
            Route::Unavailable => return None,
        };
        let known_engines = self.known_engines.borrow();
        let engine = known_engines.get(key)?;
        Some(ChosenEngine {
            key,
            host: engine.host.clone(),
            dispatcher_address: engine.dispatcher_address?,
        })
    }

    /// Applies a digest that the owner of an engine sent with a response.
    ///
    /// Ignores a digest that is not newer than the known one.
    pub(crate) fn on_digest(&self, key: EngineKey, digest: &EngineDigest) {
        let mut known_engines = self.known_engines.borrow_mut();
        let mut router = self.router.borrow_mut();
        let digest_version = Some((digest.fence, digest.sequence));
        let Some(engine) =
            known_engines.get_mut(key).filter(|engine| engine.digest_version < digest_version)
        else {
            return;
        };
        engine.digest_version = digest_version;
        if let Some(view) = router.engine_view(key).cloned() {
            router.update(key, with_digest(view, digest));
        }
    }

    pub(crate) fn on_attempt_ended(&self, key: EngineKey) {
        self.router.borrow_mut().on_request_finished(key);
    }

    pub(crate) fn on_attempt_failed(&self, chosen: &ChosenEngine) {
        self.router.borrow_mut().on_request_failed(chosen.key, self.clock.now());
        let engine = chosen.host.clone();
        // Sending fails only after the control thread has ended.
        let _ = self.control.requests.send(ControlRequest::InvalidateDigest { engine });
    }

    pub(crate) fn count_first_attempt(&self) {
        self.retry_budget.borrow_mut().on_request();
    }

    pub(crate) fn try_spend_retry(&self) -> bool {
        let allowed = self.retry_budget.borrow_mut().try_take();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Admits a request until the guard is dropped.
    ///
    /// Refuses the request while the gateway stops or too many requests are in flight.
    pub(crate) fn admit(self: &Rc<Self>) -> Result<Admission, Refusal> {
        if self.shutdown.is_requested() {
            let refusal = Refusal::not_run(Code::Stopping, "the gateway is stopping");
            return Err(refusal.with_retry_after_ms(500));
        }
        let limit = self.cfg.limits.requests_max.div_ceil(self.cfg.threads);
        if self.in_flight.get() >= limit {
            let refusal = Refusal::not_run(Code::Overloaded, "too many requests are in flight");
            return Err(refusal.with_retry_after_ms(1_000));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.inc();
        Ok(Admission { worker: self.clone() })
    }

    /// Applies a new routing state to the router.
    fn sync_router(&self, routing: &Arc<RoutingState>) {
        if self.synced_routing.borrow().as_ref().is_some_and(|synced| Arc::ptr_eq(synced, routing))
        {
            return;
        }
        let mut router = self.router.borrow_mut();
        let mut known_engines = self.known_engines.borrow_mut();
        let keys: HashMap<Name, EngineKey> =
            known_engines.iter().map(|(key, engine)| (engine.host.clone(), key)).collect();
        for (host, key) in &keys {
            if !routing.engines.iter().any(|entry| entry.host == *host) {
                router.remove(*key);
                known_engines.remove(*key);
            }
        }
        for entry in &routing.engines {
            let view = entry.router_view(&self.cfg.process.zone, self.cfg.engine.batch as u32);
            let key = *keys.get(&entry.host).unwrap_or(&EngineKey::default());
            let digest_version = entry.digest_version();
            let key = match known_engines.get(key) {
                None => router.insert(view),
                Some(old) if old.digest_version < digest_version => {
                    router.update(key, view);
                    key
                }
                Some(_) => {
                    router.set_accepting(key, entry.is_accepting);
                    key
                }
            };
            let digest_version = known_engines
                .get(key)
                .map_or(digest_version, |old| old.digest_version.max(digest_version));
            let host = entry.host.clone();
            known_engines.insert(
                key,
                KnownEngine { host, dispatcher_address: entry.dispatcher_address, digest_version },
            );
        }
        *self.synced_routing.borrow_mut() = Some(routing.clone());
    }
}

/// Counts one request as in flight until dropped.
pub(crate) struct Admission {
    worker: Rc<Worker>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.worker.in_flight.set(self.worker.in_flight.get() - 1);
        self.worker.metrics.in_flight.dec();
    }
}
