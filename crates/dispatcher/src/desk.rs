//! One engine, as its owner works it.

use std::collections::BTreeSet;

use guavaspread_engine::Backend;
use guavaspread_ownership::{Right, Role};
use guavaspread_placement::{
    EngineQueue, Next, Policy, QueueLimits, SlotState, Ticket, TicketKey, adapter_hash,
};
use guavaspread_wire::{BackendReport, DigestEntry, LoadedAdapter};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, oneshot};

use crate::control::Request;
use crate::metrics::Metrics;
use crate::prelude::*;

/// How often an engine is asked what it holds.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// How long an eviction that was not granted is left alone.
const EVICT_BACKOFF: Duration = Duration::from_millis(250);

/// What a waiting request is told.
pub(crate) type Turn = Result<(), Refusal>;

/// What a desk needs from its surroundings.
pub(crate) struct DeskParts {
    pub(crate) host: Name,
    pub(crate) backend: Rc<dyn Backend>,
    pub(crate) limits: QueueLimits,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) control: mpsc::UnboundedSender<Request>,
    pub(crate) metrics: Metrics,
}

/// Works the queue of one engine.
pub(crate) struct Desk {
    parts: DeskParts,
    queue: RefCell<EngineQueue>,
    turns: RefCell<SecondaryMap<TicketKey, oneshot::Sender<Turn>>>,
    right: RefCell<Option<Right>>,
    owner: Cell<bool>,
    /// Whether the engine has said what it holds.
    listed: Cell<bool>,
    listing: Cell<bool>,
    listed_at: Cell<Duration>,
    /// Orders and runs under way.
    under_way: Cell<u32>,
    sequence: Cell<u64>,
    /// The state of the control thread that `right` is from.
    generation: Cell<u64>,
    /// Whether the control thread was told that the engine is let go of.
    released: Cell<bool>,
}

impl Desk {
    pub(crate) fn new(parts: DeskParts) -> Rc<Self> {
        let queue = EngineQueue::new(parts.limits, parts.policy.clone());
        Rc::new(Desk {
            parts,
            queue: RefCell::new(queue),
            turns: RefCell::default(),
            right: RefCell::default(),
            owner: Cell::new(false),
            listed: Cell::new(false),
            listing: Cell::new(false),
            listed_at: Cell::new(Duration::ZERO),
            under_way: Cell::new(0),
            sequence: Cell::new(0),
            generation: Cell::new(0),
            released: Cell::new(false),
        })
    }

    pub(crate) fn backend(&self) -> Rc<dyn Backend> {
        self.parts.backend.clone()
    }

    pub(crate) fn now(&self) -> Duration {
        self.parts.clock.now()
    }

    /// Takes over what this process is to the engine.
    pub(crate) fn set_role(
        self: &Rc<Self>,
        role: &Role,
        pinned: BTreeSet<AdapterVersion>,
        generation: u64,
    ) {
        let owner = matches!(role, Role::Owner(_));
        let right = match role {
            Role::Owner(right) | Role::Caretaker(right) => Some(right.clone()),
            Role::Other(_) | Role::Unknown => None,
        };
        if right.is_some() && self.right.borrow().is_none() {
            // Another owner may have changed what the engine holds.
            self.listed.set(false);
        }
        let mut queue = self.queue.borrow_mut();
        let may_evict = right.as_ref().is_some_and(|right| right.may_evict);
        queue.set_may_evict(may_evict, self.now());
        queue.set_barred(right.as_ref().map(|right| right.barred.clone()).unwrap_or_default());
        queue.set_pinned(if owner { pinned } else { BTreeSet::new() });
        drop(queue);
        self.owner.set(owner);
        *self.right.borrow_mut() = right;
        self.generation.set(generation);
        self.pump();
        self.release_if_idle();
    }

    /// Tells whether requests are taken here.
    pub(crate) fn is_open(&self) -> bool {
        self.right.borrow().is_some()
    }

    /// Tells whether nothing is queued or under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.under_way.get() == 0 && self.queue.borrow().waiting() == 0
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.queue.borrow().waiting() > 0
    }

    pub(crate) fn running(&self) -> usize {
        self.queue.borrow().running()
    }

    /// Queues a request.
    pub(crate) fn submit(
        self: &Rc<Self>,
        ticket: Ticket,
        demand: f64,
    ) -> Result<(TicketKey, oneshot::Receiver<Turn>), Refusal> {
        let now = self.now();
        let mut queue = self.queue.borrow_mut();
        queue.hint_demand(&ticket.adapter, demand, now);
        let key = queue.submit(ticket, now)?;
        if queue.has_stalled(key) {
            self.parts.metrics.stalls.inc();
        }
        drop(queue);
        let turn = self.expect_turn(key);
        self.pump();
        Ok((key, turn))
    }

    /// Puts a started request back, because the engine did not hold its adapter.
    pub(crate) fn resubmit(self: &Rc<Self>, key: TicketKey) -> oneshot::Receiver<Turn> {
        self.queue.borrow_mut().on_not_loaded(key);
        let turn = self.expect_turn(key);
        self.pump();
        turn
    }

    /// Reports that a request has ended or was given up.
    pub(crate) fn finish(self: &Rc<Self>, key: TicketKey) {
        self.turns.borrow_mut().remove(key);
        self.queue.borrow_mut().on_finished(key);
        self.pump();
        self.release_if_idle();
    }

    /// Does what is due.
    pub(crate) fn tick(self: &Rc<Self>) {
        let stale = self.now() >= self.listed_at.get() + LIST_INTERVAL;
        if self.is_open() && (stale || !self.listed.get()) {
            self.list();
        }
        self.pump();
    }

    /// Marks something sent to the engine as under way until the guard is dropped.
    pub(crate) fn under_way(self: &Rc<Self>) -> UnderWay {
        self.under_way.set(self.under_way.get() + 1);
        UnderWay { desk: self.clone() }
    }

    pub(crate) fn report(&self, owner: Option<Name>) -> BackendReport {
        let now = self.now();
        let queue = self.queue.borrow();
        let ready = queue.slots().iter().filter(|slot| slot.state == SlotState::Ready);
        let loaded = ready.map(|slot| LoadedAdapter {
            adapter: slot.adapter.clone(),
            running: slot.running,
            demand: queue.demand_rate(&slot.adapter, now) as f32,
        });
        BackendReport {
            host: self.parts.host.clone(),
            owner,
            fence: self.right.borrow().as_ref().map_or(0, |right| right.fence),
            running: queue.running() as u32,
            waiting: queue.waiting() as u32,
            loaded: loaded.collect(),
        }
    }

    /// Says what other hosts need to know of this engine, if this host owns it.
    pub(crate) fn digest(&self, owner: &Name) -> Option<DigestEntry> {
        let fence = self.right.borrow().as_ref().map(|right| right.fence)?;
        if !self.owner.get() {
            return None;
        }
        self.sequence.set(self.sequence.get() + 1);
        let now = self.now();
        let queue = self.queue.borrow();
        let held = queue.slots().iter().filter(|slot| slot.state != SlotState::Evicting);
        Some(DigestEntry {
            host: self.parts.host.clone(),
            owner: owner.clone(),
            fence,
            sequence: self.sequence.get(),
            load: (queue.running() + queue.waiting()).min(u16::MAX.into()) as u16,
            coldest: queue.coldest(now) as f32,
            loaded: held.map(|slot| adapter_hash(&slot.adapter)).collect(),
        })
    }

    fn expect_turn(&self, key: TicketKey) -> oneshot::Receiver<Turn> {
        let (tx, rx) = oneshot::channel();
        self.turns.borrow_mut().insert(key, tx);
        rx
    }

    /// Carries out what the queue decides until there is nothing more to do.
    fn pump(self: &Rc<Self>) {
        if !self.is_open() {
            return self.turn_away();
        }
        if !self.listed.get() {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().next(self.now());
            match next {
                Next::Start(key) => self.start(key),
                Next::Load(adapter) => self.load(adapter),
                Next::Evict(adapter) => self.evict(adapter),
                Next::Refuse(key, refusal) => {
                    self.tell(key, Err(refusal));
                }
                Next::Wait(_) => return,
            }
        }
    }

    fn start(&self, key: TicketKey) {
        if !self.tell(key, Ok(())) {
            self.queue.borrow_mut().on_finished(key);
        }
    }

    /// Tells a waiting request its turn; false if nobody waits any more.
    fn tell(&self, key: TicketKey, turn: Turn) -> bool {
        let waiting = self.turns.borrow_mut().remove(key);
        waiting.is_some_and(|tx| tx.send(turn).is_ok())
    }

    /// Refuses everything that waits, because another host owns the engine now.
    fn turn_away(&self) {
        let waiting: Vec<TicketKey> = self.turns.borrow().keys().collect();
        for key in waiting {
            let refusal = Refusal::not_run(Code::NotOwner, "the engine changed hands");
            self.tell(key, Err(refusal));
            self.queue.borrow_mut().on_finished(key);
        }
    }

    fn load(self: &Rc<Self>, adapter: AdapterVersion) {
        let fence = self.fence();
        let under_way = self.under_way();
        let this = self.clone();
        ntex::rt::spawn(async move {
            let started = this.now();
            let result = this.parts.backend.load(&adapter, fence).await;
            drop(under_way);
            let now = this.now();
            let took = now.saturating_sub(started);
            match &result {
                Ok(()) => {
                    this.parts.metrics.loads.inc();
                }
                Err(e) => {
                    log::warn!("{}: {adapter} was not loaded: {e}", this.parts.host);
                    this.parts.metrics.loads_failed.inc();
                    this.listed.set(false);
                }
            }
            match &result {
                Err(e) if e.is_no_slot() => this.queue.borrow_mut().on_no_slot(&adapter),
                _ => {
                    let took = result.is_ok().then_some(took);
                    this.queue.borrow_mut().on_loaded(&adapter, took, now);
                }
            }
            this.pump();
        });
    }

    fn evict(self: &Rc<Self>, adapter: AdapterVersion) {
        let this = self.clone();
        ntex::rt::spawn(async move {
            let gone = this.evict_if_granted(&adapter).await;
            if !gone {
                ntex::time::sleep(EVICT_BACKOFF).await;
            }
            this.queue.borrow_mut().on_evicted(&adapter, gone);
            this.pump();
        });
    }

    async fn evict_if_granted(self: &Rc<Self>, adapter: &AdapterVersion) -> bool {
        let under_way = self.under_way();
        let (reply, granted) = oneshot::channel();
        let engine = self.parts.host.clone();
        let request = Request::Evict { engine, adapter: adapter.clone(), reply };
        if self.parts.control.send(request).is_err() {
            return false;
        }
        let Ok(Some(right)) = granted.await else {
            return false;
        };
        let result = self.parts.backend.unload(adapter, right.fence).await;
        drop(under_way);
        // A control thread that has ended needs no report.
        let _ = self.parts.control.send(Request::Evicted { engine: self.parts.host.clone() });
        match result {
            Ok(()) => {
                self.parts.metrics.evictions.inc();
                true
            }
            Err(e) if e.is_not_loaded() => true,
            Err(e) => {
                log::warn!("{}: {adapter} was not unloaded: {e}", self.parts.host);
                self.listed.set(false);
                false
            }
        }
    }

    /// Asks the engine what it holds.
    fn list(self: &Rc<Self>) {
        if self.listing.replace(true) {
            return;
        }
        let this = self.clone();
        ntex::rt::spawn(async move {
            let result = this.parts.backend.loaded().await;
            this.listing.set(false);
            this.listed_at.set(this.now());
            match result {
                Ok(listed) => {
                    this.queue.borrow_mut().on_listed(&listed, this.now());
                    this.listed.set(true);
                    this.pump();
                }
                Err(e) => {
                    log::debug!("{}: the adapters can't be listed: {e}", this.parts.host);
                    this.listed.set(false);
                    this.refuse_unreachable();
                }
            }
        });
    }

    /// Refuses everything that waits, because the engine can't be reached.
    fn refuse_unreachable(&self) {
        let waiting: Vec<TicketKey> = self.turns.borrow().keys().collect();
        for key in waiting {
            let refusal = Refusal::not_run(Code::NoBackend, "the engine can't be reached");
            self.tell(key, Err(refusal.retry_after_ms(1_000)));
            self.queue.borrow_mut().on_finished(key);
        }
    }

    fn fence(&self) -> u64 {
        self.right.borrow().as_ref().map_or(0, |right| right.fence)
    }

    /// Lets go of an engine that this host may not use, once nothing is under way there.
    fn release_if_idle(&self) {
        if self.is_open() {
            self.released.set(false);
            return;
        }
        if self.under_way.get() > 0 || self.running() > 0 || self.released.replace(true) {
            return;
        }
        let engine = self.parts.host.clone();
        let generation = self.generation.get();
        // A control thread that has ended needs no report.
        let _ = self.parts.control.send(Request::Released { engine, generation });
    }
}

/// Marks something sent to the engine as under way.
pub(crate) struct UnderWay {
    desk: Rc<Desk>,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let desk = &self.desk;
        desk.under_way.set(desk.under_way.get() - 1);
        desk.release_if_idle();
    }
}
