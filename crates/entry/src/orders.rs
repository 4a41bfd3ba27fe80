//! Carries out the orders of the engines that this host owns.

use guavaspread_fleet::{
    AdapterId, Ending, EngineLedger, Evidence, OrderKind, OrderResult, Passage, Prompt, PromptKey,
    Readiness, ReadingOrder, Server, Standing, Step, Turn,
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::message::{Answer, Ask};
use crate::prelude::*;
use crate::state::Entry;
use crate::word;

/// Between two looks at an engine on which nothing happens.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Between two signs of life to one who waits for a load: a load takes about 300 ms, and a
/// host that stands still is to be told from a load that takes longer.
const WAIT_BEAT: Duration = Duration::from_millis(150);

/// How long an adapter is still loaded for callers that were told to come back, beyond the
/// time they were told.
const RETURN_MARGIN: Duration = Duration::from_millis(1_500);

struct Owned {
    ledger: RefCell<EngineLedger>,
    /// Wakes the engine's task: something is wanted.
    wanted: Notify,
    /// Wakes those that wait for an adapter: the engine answered.
    changed: Notify,
    /// In which order its prompts are read.
    reading: RefCell<ReadingOrder>,
    /// Wakes those that wait for their turn.
    turns: Notify,
    born: u64,
}

struct Running {
    owned: Rc<Owned>,
    task: JoinHandle<()>,
}

/// Holds the ledgers of the engines that this host owns.
#[derive(Default)]
pub(crate) struct Orders {
    engines: RefCell<HashMap<Arc<str>, Running>>,
}

impl Orders {
    /// Starts and stops the tasks of engines as their ownership changes.
    pub(crate) fn sync(&self, entry: &Rc<Entry>) {
        let now = entry.clock.now();
        let mut engines = self.engines.borrow_mut();
        let owned = entry.leases.borrow().owned(now);
        engines.retain(|id, running| {
            let kept = owned.contains(id)
                && entry.roster.borrow().get(id).is_some_and(|s| s.born == running.owned.born);
            if !kept {
                running.task.abort();
            }
            kept
        });
        for id in owned {
            if engines.contains_key(&id) {
                continue;
            }
            let Some(server) = entry.roster.borrow().get(&id).cloned() else { continue };
            let Some(ledger) = new_ledger(entry, &server) else { continue };
            let owned = Rc::new(Owned {
                ledger: RefCell::new(ledger),
                wanted: Notify::new(),
                changed: Notify::new(),
                reading: RefCell::default(),
                turns: Notify::new(),
                born: server.born,
            });
            let task = tokio::task::spawn_local(run_engine(entry.clone(), owned.clone(), server));
            log::info!("gives the orders of engine {id}");
            engines.insert(id, Running { owned, task });
        }
    }

    /// Takes over that a newer version of an adapter exists.
    pub(crate) fn on_version(&self, id: &AdapterId, version: u64) {
        for running in self.engines.borrow().values() {
            running.owned.ledger.borrow_mut().on_version(id, version);
            running.owned.wanted.notify_one();
        }
    }

    /// Puts the end of an engine down to the loads that were under way there.
    pub(crate) fn endings(&self, entry: &Entry, server: &Server, born: u64) -> Vec<Ending> {
        let engines = self.engines.borrow();
        let running = engines.get(&server.id).filter(|running| running.owned.born == born);
        let Some(running) = running else { return Vec::new() };
        let loading = running.owned.ledger.borrow().loading();
        let evidence = if server.born == born { Evidence::RowGone } else { Evidence::Restarted };
        let ending = |id: &AdapterId| {
            let content = entry.load_content(id);
            log::warn!("engine {} ended while it loaded {}/{}", server.id, id.model, id.adapter);
            Ending { content, server: server.id.clone(), born, evidence }
        };
        loading.iter().map(ending).collect()
    }

    /// Returns which start of an engine this host gives orders to.
    pub(crate) fn born(&self, engine: &str) -> Option<u64> {
        self.engines.borrow().get(engine).map(|running| running.owned.born)
    }

    /// Answers whether an adapter may be used, once it is loaded; it stays while the use
    /// returned is kept. Calls `on_wait` every now and then while the answer waits for a load.
    pub(crate) async fn answer(
        &self,
        entry: &Rc<Entry>,
        ask: &Ask,
        on_wait: impl Fn(),
    ) -> (Answer, Option<Use>) {
        let owned = self.engines.borrow().get(&*ask.engine).map(|running| running.owned.clone());
        let Some(owned) = owned else {
            return (Answer::NotOwner, None);
        };
        let id = AdapterId { model: (*ask.model).into(), adapter: (*ask.adapter).into() };
        let until = entry.clock.now() + Duration::from_millis(ask.wait_ms.into());
        if ask.missed {
            owned.ledger.borrow_mut().on_missing(entry.clock.now());
        }
        if !ask.may_fetch && !owned.ledger.borrow().has_or_fetches(&id) {
            return (Answer::Absent, None);
        }
        if !owned.ledger.borrow().is_loaded(&id)
            && let Passage::Held(left) = word::pass(entry, entry.load_content(&id)).await
        {
            entry.metrics.requests_held.inc();
            return (Answer::NotSoon(left.as_millis() as u32), None);
        }
        let _waiter = Waiter::start(entry, &owned, &id);
        let mut told_at: Option<Duration> = None;
        loop {
            let changed = owned.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = entry.clock.now();
            if is_leaving(entry, &ask.engine) {
                return (Answer::Impossible, None);
            }
            let readiness = owned.ledger.borrow_mut().want(&id, ask.version, now);
            match readiness {
                Readiness::Ready(version) => {
                    let used = Use::start(&owned, &id, prompt_of(ask, now));
                    if !await_turn(entry, &used, until, &on_wait).await {
                        return (Answer::NotYet, None);
                    }
                    let running = owned.ledger.borrow().running();
                    return (Answer::Granted { version, running }, Some(used));
                }
                Readiness::Full => {
                    let running = owned.ledger.borrow().running();
                    return (Answer::Full { running }, None);
                }
                Readiness::Impossible | Readiness::InUse => return (Answer::Impossible, None),
                Readiness::Unknown => return (Answer::Unknown, None),
                Readiness::Loading(_) if now >= until => return (Answer::NotYet, None),
                Readiness::Loading(wait) if now + wait > until => {
                    owned.ledger.borrow_mut().keep_wanted(&id, now + wait + RETURN_MARGIN);
                    owned.wanted.notify_one();
                    return (Answer::NotSoon(wait.as_millis() as u32), None);
                }
                Readiness::Loading(_) => owned.wanted.notify_one(),
            }
            if told_at.is_none_or(|at| now >= at + WAIT_BEAT) {
                told_at = Some(now);
                on_wait();
            }
            let left = until.saturating_sub(now).min(WAIT_BEAT);
            // Without a change the ledger is asked again all the same.
            let _ = tokio::time::timeout(left, changed).await;
        }
    }
}

fn prompt_of(ask: &Ask, now: Duration) -> Prompt {
    let pause = (ask.pause_ms > 0).then(|| Duration::from_millis(ask.pause_ms.into()));
    Prompt { tokens: ask.tokens, due: now + Duration::from_millis(ask.due_ms.into()), pause }
}

/// Waits until the engine may read the prompt; tells whether it may.
async fn await_turn(entry: &Entry, used: &Use, until: Duration, on_wait: impl Fn()) -> bool {
    let owned = &used.owned;
    let mut told_at: Option<Duration> = None;
    loop {
        let turns = owned.turns.notified();
        tokio::pin!(turns);
        turns.as_mut().enable();
        let now = entry.clock.now();
        let at = match owned.reading.borrow_mut().turn(used.prompt, now) {
            Turn::Now => {
                // The next one may be read beside it.
                owned.turns.notify_waiters();
                return true;
            }
            Turn::WaitUntil(at) => at,
        };
        if now >= until {
            return false;
        }
        if told_at.is_none_or(|at| now >= at + WAIT_BEAT) {
            told_at = Some(now);
            on_wait();
        }
        let left = at.min(until).saturating_sub(now).min(WAIT_BEAT);
        // Without another one's end the order is asked again all the same.
        let _ = tokio::time::timeout(left, turns).await;
    }
}

/// Keeps an adapter on its engine while a request runs on it.
pub(crate) struct Use {
    owned: Rc<Owned>,
    id: AdapterId,
    prompt: PromptKey,
}

impl Use {
    fn start(owned: &Rc<Owned>, id: &AdapterId, prompt: Prompt) -> Self {
        owned.ledger.borrow_mut().begin(id);
        let prompt = owned.reading.borrow_mut().join(prompt);
        Use { owned: owned.clone(), id: id.clone(), prompt }
    }

    /// Reports that the request's first token has come.
    pub(crate) fn on_read(&self, now: Duration) {
        self.owned.reading.borrow_mut().on_read(self.prompt, now);
        self.owned.turns.notify_waiters();
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        self.owned.ledger.borrow_mut().end(&self.id);
        self.owned.reading.borrow_mut().end(self.prompt);
        self.owned.wanted.notify_one();
        self.owned.turns.notify_waiters();
    }
}

/// Counts a request that waits for an adapter.
struct Waiter {
    owned: Rc<Owned>,
    id: AdapterId,
    clock: Clock,
}

impl Waiter {
    fn start(entry: &Entry, owned: &Rc<Owned>, id: &AdapterId) -> Self {
        let clock = entry.clock;
        owned.ledger.borrow_mut().wait(id, clock.now());
        Waiter { owned: owned.clone(), id: id.clone(), clock }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.owned.ledger.borrow_mut().leave(&self.id, self.clock.now());
    }
}

/// Tells whether an engine is known to leave, also where the host that asks does not know.
fn is_leaving(entry: &Entry, engine: &str) -> bool {
    let roster = entry.roster.borrow();
    roster.get(engine).is_some_and(|server| entry.standing(server) == Standing::Leaving)
}

/// Makes the ledger of an engine; it is to hold the model that most engines hold.
fn new_ledger(entry: &Entry, server: &Server) -> Option<EngineLedger> {
    let catalog = entry.catalog.borrow().clone()?;
    let spec = catalog.service(&server.service)?.engine.clone()?;
    let held = server.models.first().map(|held| held.name.clone());
    let model = held.or_else(|| spec.models.first().map(|model| model.name.clone()))?;
    let mut ledger = EngineLedger::new(spec, model);
    for (id, known) in entry.versions.borrow().iter() {
        ledger.on_version(id, known.version);
    }
    Some(ledger)
}

/// Gives an engine its orders, one after another.
async fn run_engine(entry: Rc<Entry>, owned: Rc<Owned>, mut server: Arc<Server>) {
    loop {
        if let Some(newer) = entry.roster.borrow().get(&server.id) {
            server = newer.clone();
        }
        let now = entry.clock.now();
        let Some(fence) = entry.leases.borrow().fence(&server.id, now) else {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        match entry.standing(&server) {
            Standing::Open => {}
            Standing::HeldUntil(until) => {
                tokio::time::sleep(until.saturating_sub(now)).await;
                continue;
            }
            Standing::Leaving => {
                // Whoever waits for a load there is told to go elsewhere.
                owned.changed.notify_waiters();
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            }
        }
        let step = owned.ledger.borrow_mut().next(now);
        match step {
            Step::Order(order) => {
                let engines = &entry.borders.engines;
                let (result, said) = engines.order(&server, &order, &entry.holder, fence).await;
                entry.on_answer(&server, said);
                entry.metrics.orders.inc();
                log::debug!("engine {}: {order:?} -> {result:?}", server.id);
                owned.ledger.borrow_mut().on_result(result, entry.clock.now());
                if let (OrderKind::Load { adapter, .. }, OrderResult::Holds) = (&order.kind, result)
                {
                    let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
                    entry.on_whole(entry.load_content(&id));
                }
                owned.changed.notify_waiters();
            }
            Step::Observe => {
                let (report, said) = entry.borders.engines.report(&server).await;
                entry.on_answer(&server, said);
                let now = entry.clock.now();
                let mut ledger = owned.ledger.borrow_mut();
                match report {
                    Ok(report) => {
                        ledger.on_observed(report.sequence, &report.models, &report.coming, now);
                    }
                    Err(e) => {
                        log::warn!("engine {} does not report: {e}", server.id);
                        ledger.on_observe_failed(now);
                    }
                }
                drop(ledger);
                owned.changed.notify_waiters();
            }
            Step::Wait(at) => {
                let wait = at.map_or(IDLE_INTERVAL, |at| at.saturating_sub(now));
                // Waking without a change only asks the ledger again.
                let _ =
                    tokio::time::timeout(wait.min(IDLE_INTERVAL), owned.wanted.notified()).await;
            }
        }
    }
}
