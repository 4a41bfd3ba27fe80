//! One traffic thread.

use std::collections::HashMap;
use std::net::SocketAddr;

use guavaspread_control::{Links, Stop};
use guavaspread_placement::{DemandMap, EngineKey, RetryBudget, Route, Router};
use guavaspread_settings::GatewaySettings;
use guavaspread_store::{GroupCommit, HttpPlatform, Platform};
use guavaspread_wire::{DigestEntry, Identity};
use slotmap::SecondaryMap;

use crate::board::{Board, with_digest};
use crate::control::{ControlHandle, Request};
use crate::metrics::Metrics;
use crate::prelude::*;
use crate::quarantine::Quarantine;
use crate::service::Services;

const DEMAND_ENTRIES_MAX: usize = 16_384;
const RETRY_BURST: f64 = 20.0;

struct Known {
    host: Name,
    dispatcher: Option<SocketAddr>,
    statement: Option<(u64, u64)>,
}

/// Names the engine chosen for an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    pub(crate) key: EngineKey,
    pub(crate) host: Name,
    pub(crate) dispatcher: SocketAddr,
}

/// What a worker needs from its surroundings.
pub(crate) struct WorkerParts {
    pub(crate) cfg: GatewaySettings,
    pub(crate) clock: Clock,
    /// Differs between two processes on the same host.
    pub(crate) incarnation: u64,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Metrics,
    pub(crate) stop: Stop,
}

/// Holds what one traffic thread needs.
pub(crate) struct Worker {
    pub(crate) cfg: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Metrics,
    pub(crate) links: Links,
    pub(crate) platform: Rc<dyn Platform>,
    pub(crate) claims: Rc<GroupCommit>,
    pub(crate) services: Services,
    pub(crate) quarantine: Quarantine,
    router: RefCell<Router>,
    known: RefCell<SecondaryMap<EngineKey, Known>>,
    seen: RefCell<Option<Arc<Board>>>,
    demand: RefCell<DemandMap<AdapterVersion>>,
    retries: RefCell<RetryBudget>,
    under_way: Cell<usize>,
    stop: Stop,
}

impl Worker {
    pub(crate) async fn new(parts: WorkerParts, identity: &Identity) -> eyre::Result<Rc<Self>> {
        let WorkerParts { cfg, clock, incarnation, control, metrics, stop } = parts;
        let policy = cfg.policy();
        let demand = DemandMap::new(policy.demand_half_life(), DEMAND_ENTRIES_MAX);
        let retries = RetryBudget::new(cfg.limits.retry_share, RETRY_BURST);
        let platform: Rc<dyn Platform> = Rc::new(HttpPlatform::new(cfg.process.platform).await?);
        Ok(Rc::new(Worker {
            links: Links::new(identity, cfg.process.source)?,
            cfg,
            clock,
            incarnation,
            control,
            metrics,
            claims: GroupCommit::new(platform.clone()),
            platform,
            services: Services::default(),
            quarantine: Quarantine::default(),
            router: RefCell::new(Router::new(policy)),
            known: RefCell::default(),
            seen: RefCell::default(),
            demand: RefCell::new(demand),
            retries: RefCell::new(retries),
            under_way: Cell::new(0),
            stop,
        }))
    }

    /// Returns what the control thread showed last.
    pub(crate) fn board(&self) -> Result<Arc<Board>, Refusal> {
        let board = self.control.board.borrow().clone();
        let board = board.ok_or_else(|| {
            let refusal =
                Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
            refusal.retry_after_ms(1_000)
        })?;
        self.sync(&board);
        Ok(board)
    }

    /// Tells whether requests are taken and can be routed.
    pub(crate) fn is_ready(&self) -> bool {
        let Ok(board) = self.board() else {
            return false;
        };
        let mut engines = board.engines.iter();
        let routable = board.engines.is_empty() || engines.any(|engine| engine.open);
        routable && board.snapshot.view.config.is_some() && !self.stop.is_asked()
    }

    /// Counts a request and returns the decayed count for its adapter.
    pub(crate) fn count_demand(&self, adapter: &AdapterVersion) -> f64 {
        let now = self.clock.now();
        let mut demand = self.demand.borrow_mut();
        demand.add(adapter, now);
        demand.count(adapter, now)
    }

    /// Chooses an engine, leaving out those tried before.
    pub(crate) fn route(&self, adapter: &AdapterVersion, tried: &[EngineKey]) -> Option<Chosen> {
        // A request that waits for an engine has to see what is new.
        self.board().ok()?;
        let route = self.router.borrow_mut().route(adapter, tried, self.clock.now());
        let key = match route {
            Route::Hit(key) | Route::Load(key) => key,
            Route::None => return None,
        };
        let known = self.known.borrow();
        let known = known.get(key)?;
        Some(Chosen { key, host: known.host.clone(), dispatcher: known.dispatcher? })
    }

    /// Takes over what the owner of an engine says with an answer.
    pub(crate) fn on_digest(&self, key: EngineKey, digest: &DigestEntry) {
        let mut known = self.known.borrow_mut();
        let mut router = self.router.borrow_mut();
        let statement = Some((digest.fence, digest.sequence));
        let Some(engine) = known.get_mut(key).filter(|engine| engine.statement < statement) else {
            return;
        };
        engine.statement = statement;
        if let Some(view) = router.view(key).cloned() {
            router.report(key, with_digest(view, digest));
        }
    }

    pub(crate) fn on_attempt_ended(&self, key: EngineKey) {
        self.router.borrow_mut().on_finished(key);
    }

    pub(crate) fn on_attempt_failed(&self, chosen: &Chosen) {
        self.router.borrow_mut().on_failed(chosen.key, self.clock.now());
        let engine = chosen.host.clone();
        // A control thread that has ended learns nothing more.
        let _ = self.control.requests.send(Request::Doubt { engine });
    }

    pub(crate) fn on_first_attempt(&self) {
        self.retries.borrow_mut().on_request();
    }

    pub(crate) fn try_retry(&self) -> bool {
        let allowed = self.retries.borrow_mut().try_retry();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Admits a request until the guard is dropped, unless too many are under way.
    pub(crate) fn admit(self: &Rc<Self>) -> Result<Admission, Refusal> {
        if self.stop.is_asked() {
            let refusal = Refusal::not_run(Code::Stopping, "the gateway is stopping");
            return Err(refusal.retry_after_ms(500));
        }
        let limit = self.cfg.limits.requests_max.div_ceil(self.cfg.threads);
        if self.under_way.get() >= limit {
            let refusal = Refusal::not_run(Code::Overloaded, "too many requests are under way");
            return Err(refusal.retry_after_ms(1_000));
        }
        self.under_way.set(self.under_way.get() + 1);
        self.metrics.under_way.inc();
        Ok(Admission { worker: self.clone() })
    }

    /// Takes over a new board into the router.
    fn sync(&self, board: &Arc<Board>) {
        if self.seen.borrow().as_ref().is_some_and(|seen| Arc::ptr_eq(seen, board)) {
            return;
        }
        let mut router = self.router.borrow_mut();
        let mut known = self.known.borrow_mut();
        let keys: HashMap<Name, EngineKey> =
            known.iter().map(|(key, engine)| (engine.host.clone(), key)).collect();
        for (host, key) in &keys {
            if !board.engines.iter().any(|entry| entry.host == *host) {
                router.remove(*key);
                known.remove(*key);
            }
        }
        for entry in &board.engines {
            let view = entry.view(&self.cfg.process.zone, self.cfg.engine.batch as u32);
            let key = *keys.get(&entry.host).unwrap_or(&EngineKey::default());
            let statement = entry.statement();
            let key = match known.get(key) {
                None => router.insert(view),
                Some(old) if old.statement < statement => {
                    router.report(key, view);
                    key
                }
                Some(_) => {
                    router.set_open(key, entry.open);
                    key
                }
            };
            let statement = known.get(key).map_or(statement, |old| old.statement.max(statement));
            let host = entry.host.clone();
            known.insert(key, Known { host, dispatcher: entry.dispatcher, statement });
        }
        *self.seen.borrow_mut() = Some(board.clone());
    }
}

/// Counts one request as under way.
pub(crate) struct Admission {
    worker: Rc<Worker>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.worker.under_way.set(self.worker.under_way.get() - 1);
        self.worker.metrics.under_way.dec();
    }
}
