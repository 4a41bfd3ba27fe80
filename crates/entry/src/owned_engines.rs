//! Sends load and unload commands to the engines that this host owns, and grants the use of their
//! adapters.

mod engine_task;

use guavaspread_fleet::{
    AdapterId, AdapterScheduler, Admission, Availability, CrashEvidence, EngineReach,
    PrefillAdmission, PrefillQueue, Prompt, PromptKey, Reach, Readiness, Server, ServerCrash,
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use self::engine_task::run_engine;
use crate::admission;
use crate::peer_message::{AdapterRequest, AdapterStatus};
use crate::prelude::*;
use crate::state::EntryState;

/// Interval between keep-alive messages to a host that waits for a load. A load takes about
/// 300 ms; the messages distinguish a slow load from a stalled owner.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(150);

/// How long an adapter's load request is kept beyond the retry time that was returned to a caller.
const RETRY_MARGIN: Duration = Duration::from_millis(1_500);

struct OwnedEngine {
    scheduler: RefCell<AdapterScheduler>,
    /// Wakes the engine's task when an adapter is requested or released, or has a new version.
    requests_changed: Notify,
    /// Wakes requests that wait for an adapter, after the engine responded or began to drain.
    engine_changed: Notify,
    /// Queue of prompts for prefill on the engine.
    prefill_queue: RefCell<PrefillQueue>,
    /// Wakes requests that wait for their prefill, after the prefill queue changed.
    prefill_changed: Notify,
    started_at_ms: u64,
    /// The outcomes of this host's calls to the engine.
    reach: RefCell<EngineReach>,
    last_reach: Cell<Reach>,
    /// Whether this host released the engine because it does not reach it.
    is_released: Cell<bool>,
}

struct EngineTask {
    owned: Rc<OwnedEngine>,
    task: JoinHandle<()>,
}

/// The engines that this host owns, each with the task that sends its commands.
#[derive(Default)]
pub(crate) struct OwnedEngines {
    engines: RefCell<HashMap<Arc<str>, EngineTask>>,
    /// Engines that this host released and that have no new owner. A crash that becomes known
    /// afterwards is attributed to the loads that were in flight.
    released: RefCell<HashMap<Arc<str>, Rc<OwnedEngine>>>,
}

impl OwnedEngines {
    /// Starts and stops the tasks of engines after a change of ownership or incarnation.
    pub(crate) fn sync(&self, entry: &Rc<EntryState>) {
        let now = entry.clock.now();
        let mut engines = self.engines.borrow_mut();
        let owned = entry.leases.borrow().owned_engines(now);
        engines.retain(|id, engine| {
            let is_kept = owned.contains(id)
                && entry
                    .server_list
                    .borrow()
                    .get(id)
                    .is_some_and(|s| s.started_at_ms == engine.owned.started_at_ms);
            if !is_kept {
                engine.task.abort();
            }
            if engine.owned.is_released.get() {
                self.released.borrow_mut().insert(id.clone(), engine.owned.clone());
            }
            is_kept
        });
        for id in owned {
            if engines.contains_key(&id) {
                continue;
            }
            let Some(server) = entry.server_list.borrow().get(&id).cloned() else { continue };
            let Some(scheduler) = new_scheduler(entry, &server) else { continue };
            let owned = Rc::new(OwnedEngine {
                scheduler: RefCell::new(scheduler),
                requests_changed: Notify::new(),
                engine_changed: Notify::new(),
                prefill_queue: RefCell::default(),
                prefill_changed: Notify::new(),
                started_at_ms: server.started_at_ms,
                reach: RefCell::default(),
                last_reach: Cell::new(Reach::Reached),
                is_released: Cell::new(false),
            });
            let task = tokio::task::spawn_local(run_engine(entry.clone(), owned.clone(), server));
            let fence = entry.leases.borrow().fence(&id, now);
            log::info!("this host owns engine {id} and sends its commands with fence {fence:?}");
            engines.insert(id, EngineTask { owned, task });
        }
        self.released.borrow_mut().retain(|id, released| {
            let (leases, server_list) = (entry.leases.borrow(), entry.server_list.borrow());
            let has_owner = leases.owner_of(id).is_some_and(|(holder, _)| *holder != entry.holder);
            let server = server_list.get(id);
            let is_same = server.is_some_and(|s| s.started_at_ms == released.started_at_ms);
            is_same && !has_owner && !engines.contains_key(id)
        });
        drop(engines);
        entry.metrics.engines_silent.set(self.silent_count());
    }

    /// Fetches the reports of the other engines after one fell silent: this host may be partitioned
    /// from all of them.
    fn check_others(&self, silent: &str, now: Duration) {
        for (id, engine) in self.engines.borrow().iter() {
            if **id != *silent && engine.owned.last_reach.get() == Reach::Reached {
                engine.owned.scheduler.borrow_mut().on_adapter_missing(now);
                engine.owned.requests_changed.notify_one();
            }
        }
    }

    /// Returns an engine that this host owns, or that it released and nobody has claimed since.
    fn last_owned(&self, id: &str) -> Option<Rc<OwnedEngine>> {
        let owned = self.engines.borrow().get(id).map(|engine| engine.owned.clone());
        owned.or_else(|| self.released.borrow().get(id).cloned())
    }

    /// Returns the number of owned engines that respond to no call of this host.
    fn silent_count(&self) -> i64 {
        let engines = self.engines.borrow();
        let is_silent = |engine: &&EngineTask| engine.owned.last_reach.get() != Reach::Reached;
        engines.values().filter(is_silent).count() as i64
    }

    /// Records a newer version of an adapter for all owned engines.
    pub(crate) fn on_new_version(&self, id: &AdapterId, version: u64) {
        for engine in self.engines.borrow().values() {
            engine.owned.scheduler.borrow_mut().on_new_version(id, version);
            engine.owned.requests_changed.notify_one();
        }
    }

    /// Attributes the crash of an engine to the adapter loads in flight there.
    pub(crate) fn load_crashes(
        &self,
        entry: &EntryState,
        server: &Server,
        started_at_ms: u64,
    ) -> Vec<ServerCrash> {
        let owned = self.last_owned(&server.id);
        let Some(owned) = owned.filter(|owned| owned.started_at_ms == started_at_ms) else {
            return Vec::new();
        };
        let loading = owned.scheduler.borrow().pending_loads();
        let evidence = if server.started_at_ms == started_at_ms {
            CrashEvidence::RowRemoved
        } else {
            CrashEvidence::Restarted
        };
        let crash = |id: &AdapterId| {
            let content = entry.load_content(id);
            log::warn!("engine {} crashed while it loaded {}/{}", server.id, id.model, id.adapter);
            ServerCrash { content, server: server.id.clone(), started_at_ms, evidence }
        };
        loading.iter().map(crash).collect()
    }

    /// Returns the incarnation of an engine to which this host sent commands as its last owner.
    pub(crate) fn started_at_ms(&self, engine: &str) -> Option<u64> {
        self.last_owned(engine).map(|owned| owned.started_at_ms)
    }

    /// Waits until an adapter is loaded and grants its use.
    ///
    /// The adapter stays loaded until the returned guard is dropped. Calls `on_wait` at regular
    /// intervals while the request waits for a load or for prefill.
    pub(crate) async fn acquire_adapter(
        &self,
        entry: &Rc<EntryState>,
        request: &AdapterRequest,
        on_wait: impl Fn(),
    ) -> (AdapterStatus, Option<AdapterGuard>) {
        let owned = self.engines.borrow().get(&*request.engine).map(|engine| engine.owned.clone());
        let Some(owned) = owned else {
            return (AdapterStatus::NotOwner, None);
        };
        let id = AdapterId { model: (*request.model).into(), adapter: (*request.adapter).into() };
        let until = entry.clock.now() + Duration::from_millis(request.load_wait_ms.into());
        if request.was_refused {
            owned.scheduler.borrow_mut().on_adapter_missing(entry.clock.now());
        }
        if !request.may_fetch && !owned.scheduler.borrow().is_cached_or_requested(&id) {
            return (AdapterStatus::FetchRequired, None);
        }
        if !owned.scheduler.borrow().is_loaded(&id)
            && let Admission::Quarantined(remaining) =
                admission::check_admission(entry, entry.load_content(&id)).await
        {
            entry.metrics.requests_held.inc();
            return (AdapterStatus::LoadTooLate(remaining.as_millis() as u32), None);
        }
        let _waiting = WaitingRequest::start(entry, &owned, &id);
        let mut kept_alive_at: Option<Duration> = None;
        loop {
            let engine_changed = owned.engine_changed.notified();
            tokio::pin!(engine_changed);
            engine_changed.as_mut().enable();
            let now = entry.clock.now();
            if owned.is_released.get() {
                return (AdapterStatus::NotOwner, None);
            }
            if is_draining(entry, &request.engine) {
                return (AdapterStatus::Unavailable, None);
            }
            let readiness = owned.scheduler.borrow_mut().poll_ready(&id, request.version_min, now);
            match readiness {
                Readiness::Ready(version) => {
                    let guard = AdapterGuard::start(&owned, &id, prompt_from(request, now));
                    if !await_prefill_admission(entry, &guard, until, &on_wait).await {
                        return (AdapterStatus::LoadTimedOut, None);
                    }
                    if owned.scheduler.borrow().is_outdated(&id, version) {
                        // A newer version was named while the request waited.
                        continue;
                    }
                    let running = owned.scheduler.borrow().running_requests();
                    return (AdapterStatus::Granted { version, running }, Some(guard));
                }
                Readiness::Full => {
                    let running = owned.scheduler.borrow().running_requests();
                    return (AdapterStatus::Full { running }, None);
                }
                Readiness::Unavailable | Readiness::OldVersionInUse => {
                    return (AdapterStatus::Unavailable, None);
                }
                Readiness::NotFound => return (AdapterStatus::NotFound, None),
                Readiness::Loading(_) if now >= until => {
                    return (AdapterStatus::LoadTimedOut, None);
                }
                Readiness::Loading(wait) if now + wait > until => {
                    owned.scheduler.borrow_mut().keep_load_request(&id, now + wait + RETRY_MARGIN);
                    owned.requests_changed.notify_one();
                    return (AdapterStatus::LoadTooLate(wait.as_millis() as u32), None);
                }
                Readiness::Loading(_) => owned.requests_changed.notify_one(),
            }
            if kept_alive_at.is_none_or(|at| now >= at + KEEP_ALIVE_INTERVAL) {
                kept_alive_at = Some(now);
                on_wait();
            }
            let timeout = until.saturating_sub(now).min(KEEP_ALIVE_INTERVAL);
            // The loop checks the engine again, whether it changed or the wait timed out.
            let _ = tokio::time::timeout(timeout, engine_changed).await;
        }
    }
}

fn prompt_from(request: &AdapterRequest, now: Duration) -> Prompt {
    let event_gap_max = (request.event_gap_max_ms > 0)
        .then(|| Duration::from_millis(request.event_gap_max_ms.into()));
    Prompt {
        tokens: request.prompt_tokens,
        first_token_deadline: now + Duration::from_millis(request.first_token_deadline_ms.into()),
        event_gap_max,
    }
}

/// Waits until the prompt may be sent for prefill; returns false after `until`.
async fn await_prefill_admission(
    entry: &EntryState,
    guard: &AdapterGuard,
    until: Duration,
    on_wait: impl Fn(),
) -> bool {
    let owned = &guard.owned;
    let mut kept_alive_at: Option<Duration> = None;
    loop {
        let prefill_changed = owned.prefill_changed.notified();
        tokio::pin!(prefill_changed);
        prefill_changed.as_mut().enable();
        let now = entry.clock.now();
        let at = match owned.prefill_queue.borrow_mut().try_admit(guard.prompt, now) {
            PrefillAdmission::Now => {
                // The next prompt may be prefilled together with this one.
                owned.prefill_changed.notify_waiters();
                return true;
            }
            PrefillAdmission::WaitUntil(at) => at,
        };
        if now >= until {
            return false;
        }
        if kept_alive_at.is_none_or(|at| now >= at + KEEP_ALIVE_INTERVAL) {
            kept_alive_at = Some(now);
            on_wait();
        }
        let timeout = at.min(until).saturating_sub(now).min(KEEP_ALIVE_INTERVAL);
        // The loop checks the queue again, whether it changed or the wait timed out.
        let _ = tokio::time::timeout(timeout, prefill_changed).await;
    }
}

/// Keeps an adapter loaded on its engine while a request uses it.
pub(crate) struct AdapterGuard {
    owned: Rc<OwnedEngine>,
    id: AdapterId,
    prompt: PromptKey,
    has_begun: Cell<bool>,
}

impl AdapterGuard {
    fn start(owned: &Rc<OwnedEngine>, id: &AdapterId, prompt: Prompt) -> Self {
        owned.scheduler.borrow_mut().acquire(id);
        let prompt = owned.prefill_queue.borrow_mut().enqueue(prompt);
        AdapterGuard { owned: owned.clone(), id: id.clone(), prompt, has_begun: Cell::new(false) }
    }

    /// Records that the first token has arrived, which ends the prefill of the prompt.
    pub(crate) fn on_first_token(&self, now: Duration) {
        self.has_begun.set(true);
        self.owned.prefill_queue.borrow_mut().on_first_token(self.prompt, now);
        self.owned.prefill_changed.notify_waiters();
    }
}

impl Drop for AdapterGuard {
    fn drop(&mut self) {
        let mut scheduler = self.owned.scheduler.borrow_mut();
        scheduler.release(&self.id);
        if !self.has_begun.get() {
            scheduler.on_withdrawn(&self.id);
        }
        drop(scheduler);
        self.owned.prefill_queue.borrow_mut().remove(self.prompt);
        self.owned.requests_changed.notify_one();
        self.owned.prefill_changed.notify_waiters();
    }
}

/// Counts a request as waiting for an adapter until dropped.
struct WaitingRequest {
    owned: Rc<OwnedEngine>,
    id: AdapterId,
    clock: Clock,
}

impl WaitingRequest {
    fn start(entry: &EntryState, owned: &Rc<OwnedEngine>, id: &AdapterId) -> Self {
        let clock = entry.clock;
        owned.scheduler.borrow_mut().add_waiter(id, clock.now());
        WaitingRequest { owned: owned.clone(), id: id.clone(), clock }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.owned.scheduler.borrow_mut().remove_waiter(&self.id, self.clock.now());
    }
}

/// Returns whether an engine is shutting down, which the requesting host may not know yet.
fn is_draining(entry: &EntryState, engine: &str) -> bool {
    let server_list = entry.server_list.borrow();
    server_list
        .get(engine)
        .is_some_and(|server| entry.availability(server) == Availability::Draining)
}

/// Creates the scheduler of an engine.
///
/// Keeps the model that the engine has loaded. An engine without one gets the first model of its
/// service, which most engines have loaded.
fn new_scheduler(entry: &EntryState, server: &Server) -> Option<AdapterScheduler> {
    let catalog = entry.catalog.borrow().clone()?;
    let spec = catalog.service(&server.service)?.engine.clone()?;
    let loaded = server.models.first().map(|loaded| loaded.name.clone());
    let model = loaded.or_else(|| spec.models.first().map(|model| model.name.clone()))?;
    let mut scheduler = AdapterScheduler::new(spec, model);
    for (id, version) in entry.versions.borrow().iter() {
        scheduler.on_new_version(id, version);
    }
    Some(scheduler)
}
