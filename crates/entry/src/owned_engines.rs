//! Sends load and unload commands to the engines that this host owns, and grants the use of their
//! adapters.

use guavaspread_fleet::{
    AdapterId, AdapterScheduler, Admission, Availability, CallOutcome, CommandKind, CommandResult,
    CrashEvidence, EngineCommand, EngineReach, PrefillAdmission, PrefillQueue, Prompt, PromptKey,
    Reach, Readiness, SchedulerStep, Server, ServerCrash,
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::admission;
use crate::peer_message::{AdapterRequest, AdapterStatus};
use crate::platform::ReportError;
use crate::prelude::*;
use crate::state::EntryState;

/// Interval between checks of an idle engine.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

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
}

struct EngineTask {
    owned: Rc<OwnedEngine>,
    task: JoinHandle<()>,
}

/// The engines that this host owns, each with the task that sends its commands.
#[derive(Default)]
pub(crate) struct OwnedEngines {
    engines: RefCell<HashMap<Arc<str>, EngineTask>>,
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
            });
            let task = tokio::task::spawn_local(run_engine(entry.clone(), owned.clone(), server));
            let fence = entry.leases.borrow().fence(&id, now);
            log::info!("this host owns engine {id} and sends its commands with fence {fence:?}");
            engines.insert(id, EngineTask { owned, task });
        }
        drop(engines);
        entry.metrics.engines_silent.set(self.silent_count());
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
        let engines = self.engines.borrow();
        let engine =
            engines.get(&server.id).filter(|engine| engine.owned.started_at_ms == started_at_ms);
        let Some(engine) = engine else { return Vec::new() };
        let loading = engine.owned.scheduler.borrow().pending_loads();
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

    /// Returns the incarnation of an engine to which this host sends commands.
    pub(crate) fn started_at_ms(&self, engine: &str) -> Option<u64> {
        self.engines.borrow().get(engine).map(|engine| engine.owned.started_at_ms)
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
}

impl AdapterGuard {
    fn start(owned: &Rc<OwnedEngine>, id: &AdapterId, prompt: Prompt) -> Self {
        owned.scheduler.borrow_mut().acquire(id);
        let prompt = owned.prefill_queue.borrow_mut().enqueue(prompt);
        AdapterGuard { owned: owned.clone(), id: id.clone(), prompt }
    }

    /// Records that the first token has arrived, which ends the prefill of the prompt.
    pub(crate) fn on_first_token(&self, now: Duration) {
        self.owned.prefill_queue.borrow_mut().on_first_token(self.prompt, now);
        self.owned.prefill_changed.notify_waiters();
    }
}

impl Drop for AdapterGuard {
    fn drop(&mut self) {
        self.owned.scheduler.borrow_mut().release(&self.id);
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
    for (id, known) in entry.versions.borrow().iter() {
        scheduler.on_new_version(id, known.version);
    }
    Some(scheduler)
}

/// Sends commands to an engine, one at a time.
async fn run_engine(entry: Rc<EntryState>, owned: Rc<OwnedEngine>, mut server: Arc<Server>) {
    loop {
        if let Some(current) = entry.server_list.borrow().get(&server.id) {
            server = current.clone();
        }
        let now = entry.clock.now();
        let Some(fence) = entry.leases.borrow().fence(&server.id, now) else {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        match entry.availability(&server) {
            Availability::Available => {}
            Availability::UnavailableUntil(until) => {
                tokio::time::sleep(until.saturating_sub(now)).await;
                continue;
            }
            Availability::Draining => {
                // Requests that wait for a load here must move to another engine.
                owned.engine_changed.notify_waiters();
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            }
        }
        let step = owned.scheduler.borrow_mut().next_step(now);
        match step {
            SchedulerStep::Send(command) => {
                let reach = send_command(&entry, &owned, &server, command, fence).await;
                on_reach(&entry, &owned, &server, reach);
                owned.engine_changed.notify_waiters();
            }
            SchedulerStep::FetchReport => {
                let reach = fetch_report(&entry, &owned, &server).await;
                on_reach(&entry, &owned, &server, reach);
                owned.engine_changed.notify_waiters();
            }
            SchedulerStep::Wait(at) => {
                let wait = at.map_or(IDLE_INTERVAL, |at| at.saturating_sub(now));
                // A wake-up without a change is harmless: the next step is computed again.
                let _ = tokio::time::timeout(
                    wait.min(IDLE_INTERVAL),
                    owned.requests_changed.notified(),
                )
                .await;
            }
        }
    }
}

/// Sends a command and records its result; returns whether the engine is reached.
async fn send_command(
    entry: &Rc<EntryState>,
    owned: &OwnedEngine,
    server: &Server,
    command: EngineCommand,
    fence: u64,
) -> Reach {
    let engines = &entry.platform.engines;
    let started_at = entry.clock.now();
    let (result, notice) = engines.send_command(server, &command, &entry.holder, fence).await;
    entry.on_server_notice(server, notice);
    entry.metrics.orders.inc();
    log::debug!("engine {}: {command:?} -> {result:?}", server.id);
    let now = entry.clock.now();
    owned.scheduler.borrow_mut().on_command_result(result, now);
    if let (CommandKind::Load { adapter, .. }, CommandResult::Completed) = (&command.kind, result) {
        let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
        entry.on_completed(entry.load_content(&id));
    }
    owned.reach.borrow_mut().on_command(result.call_outcome(), started_at, now)
}

/// Fetches an engine's report and applies it; returns whether the engine is reached.
async fn fetch_report(entry: &Rc<EntryState>, owned: &OwnedEngine, server: &Server) -> Reach {
    let started_at = entry.clock.now();
    let (report, notice) = entry.platform.engines.fetch_report(server).await;
    entry.on_server_notice(server, notice);
    let now = entry.clock.now();
    let mut scheduler = owned.scheduler.borrow_mut();
    let outcome = match report {
        Ok(report) => {
            scheduler.on_report(report.sequence, &report.models, &report.loading, now);
            CallOutcome::Answered
        }
        Err(e) => {
            log::warn!("fetching the report of engine {} failed, will retry: {e}", server.id);
            scheduler.on_report_failed(now);
            match e {
                ReportError::NoResponse(_) => CallOutcome::NoResponse,
                ReportError::Invalid(_) => CallOutcome::Answered,
            }
        }
    };
    owned.reach.borrow_mut().on_call(outcome, started_at, now)
}

/// Logs a change of whether an engine is reached.
fn on_reach(entry: &Rc<EntryState>, owned: &Rc<OwnedEngine>, server: &Server, reach: Reach) {
    if owned.last_reach.replace(reach) == reach {
        return;
    }
    match reach {
        Reach::Reached => {
            log::info!("engine {} responds to its owner, this host, again", server.id)
        }
        Reach::Silent => {
            log::warn!("engine {} responds to no call of its owner, this host", server.id)
        }
        Reach::OutOfReach => log::warn!(
            "engine {} is out of reach of its owner, this host, which can load no adapters there",
            server.id
        ),
    }
    entry.metrics.engines_silent.set(entry.owned_engines.silent_count());
}
