//! The orders that one engine gets: which adapters it loads, and which make way.
//!
//! The owner of an engine keeps its ledger. One order is under way at a time and
//! carries the number of orders that the engine has accepted, so that an order whose
//! answer was lost can't take effect behind a later one. An adapter takes up a place
//! from the moment it may be loaded until it is known to be gone, because an engine
//! that is ordered to load more than it has places for crashes.

mod choose;
mod results;

use guavaspread_placement::DemandMap;

use crate::catalog::EngineSpec;
use crate::order::{Order, OrderKind, Readiness, Step};
use crate::prelude::*;
use crate::roster::{AdapterId, HeldModel};

/// Adapter loads under way at one engine, as engines take no more.
const LOADS_MAX: usize = 4;
/// Of these, loads from the weight store, which slows all engines' loads when it is crowded.
const FETCHES_MAX: usize = 3;
/// How long an adapter load takes until one was measured.
const LOAD_TIME: Duration = Duration::from_millis(240);
/// How long a load of an adapter takes that the engine has held lately.
const RELOAD_TIME: Duration = Duration::from_millis(20);
/// Between two questions whether a load is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Between two questions whether the load of a model is complete.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// How old an engine's report may be, beyond which it shows an order that was accepted.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// A report that shows fewer orders than are known counts from that long after the last one.
const REPORT_LAG_MAX: Duration = Duration::from_millis(1_000);
/// Before an engine is asked that carries out another order, or counts otherwise.
const CONFLICT_PAUSE: Duration = Duration::from_millis(100);
/// How long an adapter that the engine did not know is not asked for again.
const UNKNOWN_FOR: Duration = Duration::from_secs(2);
/// Before an order is repeated that the engine refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// How long an engine that refused an order, or could not be reached for it, loads nothing for
/// further requests: they find another one at once.
const REFUSED_FOR: Duration = Duration::from_millis(900);
/// A load that is not complete after that long was lost; the engine is asked what it holds.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Half-life of the demand by which adapters make way.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);
/// Demand assumed of an adapter that the engine held when this owner took over.
const HELD_DEMAND: f64 = 3.0;
/// When a load is first asked after, as a share of the time that loads take.
const FIRST_ASK_SHARE: f64 = 0.9;
/// How much shorter a load is taken to be that was complete when first asked after.
const LOAD_TIME_DECAY: f64 = 0.95;
const DEMAND_ENTRIES_MAX: usize = 4_096;
/// Requests that may wait at an engine, as a share of its batch: one in so many. More
/// would wait longer than a load at another engine takes.
const WAITING_SHARE: u32 = 6;
/// How often an order whose answer was lost is repeated before the engine is observed.
const REPEATS_MAX: u32 = 4;
/// How long an engine takes for an order until one was measured.
const ORDER_TIME: Duration = Duration::from_millis(5);
/// Weight of the last order in the smoothed time, as one in so many.
const ORDER_TIME_SHARE: u32 = 4;
/// Orders that an adapter takes: one makes room, one loads, one asks whether it is done.
const ORDERS_PER_LOAD: u32 = 3;
/// The longest that orders may stand in the way of an adapter; callers' patience is a few
/// seconds, and another engine or a later moment serves them better.
const QUEUE_TIME_MAX: Duration = Duration::from_millis(1_200);
/// Adapters that may always wait, so that a slow engine still gets orders.
const QUEUE_MIN: u32 = 2;
/// What a second of waiting counts against further requests for an adapter.
const WAITING_PER_S: f64 = 4.0;
/// Adapters that an engine keeps at hand after they were unloaded.
const RECENT_MAX: usize = 96;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    /// Accepted at `since`; asked about from `ask_at` on.
    Loading {
        since: Duration,
        ask_at: Duration,
        asked: bool,
    },
    Unloading {
        ask_at: Duration,
    },
}

#[derive(Clone, Debug)]
struct Place {
    version: u64,
    state: State,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    version: u64,
    since: Duration,
    /// Requests that wait for it.
    waiting: u32,
    /// Until when it is loaded though none waits: for those that were told to come back.
    kept_until: Duration,
}

/// Holds an order whose answer was lost.
///
/// It is repeated as it was: if the engine accepts it, the first one had no effect and
/// can't have one any more. If the engine's count differs, it is asked after with the
/// count that the first one's effect would have left, if there is room for another load
/// in its stead; otherwise the engine's report tells.
#[derive(Clone, Debug)]
struct Doubt {
    order: Order,
    had_effect: bool,
    repeats: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelState {
    Absent,
    Loading { ask_at: Duration },
    Ready,
}

/// Decides the orders of one engine.
#[derive(Debug)]
pub struct EngineLedger {
    spec: EngineSpec,
    model: Arc<str>,
    model_state: ModelState,
    sequence: Option<u64>,
    places: HashMap<AdapterId, Place>,
    /// Requests that may run on an adapter now.
    in_use: HashMap<AdapterId, u32>,
    /// All of these together.
    running: u32,
    wanted: HashMap<AdapterId, Wanted>,
    newest: HashMap<AdapterId, u64>,
    /// Adapters that the engine did not know, and until when that counts.
    unknown: HashMap<AdapterId, Duration>,
    demand: DemandMap<AdapterId>,
    recent: std::collections::VecDeque<AdapterId>,
    under_way: Option<Order>,
    doubt: Option<Doubt>,
    accepted_at: Duration,
    observe_at: Option<Duration>,
    resume_at: Duration,
    /// Until when the engine, that refused the last order, counts as taking none.
    refused_until: Duration,
    load_time: Duration,
    /// When the order under way or in doubt was first given.
    given_at: Option<Duration>,
    /// How long orders take until the engine's answer is known.
    order_time: Duration,
}

impl EngineLedger {
    /// Makes the ledger of an engine of which nothing is known yet.
    ///
    /// `model` is what it is to hold.
    pub fn new(spec: EngineSpec, model: Arc<str>) -> Self {
        EngineLedger {
            spec,
            model,
            model_state: ModelState::Absent,
            sequence: None,
            places: HashMap::new(),
            in_use: HashMap::new(),
            running: 0,
            wanted: HashMap::new(),
            newest: HashMap::new(),
            unknown: HashMap::new(),
            demand: DemandMap::new(DEMAND_HALF_LIFE, DEMAND_ENTRIES_MAX),
            recent: std::collections::VecDeque::new(),
            under_way: None,
            doubt: None,
            accepted_at: Duration::ZERO,
            observe_at: Some(Duration::ZERO),
            resume_at: Duration::ZERO,
            refused_until: Duration::ZERO,
            load_time: LOAD_TIME,
            given_at: None,
            order_time: ORDER_TIME,
        }
    }

    /// Takes over what the engine reported that it holds and loads.
    ///
    /// A report that does not show every accepted order yet is asked for again.
    pub fn on_observed(
        &mut self,
        sequence: u64,
        models: &[HeldModel],
        coming: &[(AdapterId, u64)],
        now: Duration,
    ) {
        let is_recent = now < self.accepted_at + REPORT_LAG_MAX;
        if is_recent && self.sequence.is_some_and(|known| sequence < known) {
            self.observe_at = Some(now + REPORT_LAG);
            return;
        }
        let is_first = self.sequence.is_none();
        self.sequence = Some(sequence);
        self.observe_at = None;
        let old = std::mem::take(&mut self.places);
        let mut place = |id: AdapterId, version: u64, state: State| {
            // An order that waits for runs is under way and not to be seen yet.
            let place = match old.get(&id) {
                Some(known) if is_pending(known, version, now) => known.clone(),
                _ => Place { version, state },
            };
            self.places.insert(id, place);
        };
        for held in models {
            for adapter in &held.adapters {
                let id = AdapterId { model: held.name.clone(), adapter: adapter.name.clone() };
                if is_first {
                    // Losing what its predecessor knew, a new owner must not drop the
                    // popular adapters first.
                    self.demand.raise(&id, now, HELD_DEMAND);
                }
                place(id, adapter.version, State::Ready);
            }
        }
        for (id, version) in coming {
            place(id.clone(), *version, State::Loading { since: now, ask_at: now, asked: true });
        }
        match models.iter().any(|held| held.name == self.model) {
            true => self.model_state = ModelState::Ready,
            false if self.model_state == ModelState::Ready => {
                self.model_state = ModelState::Absent;
            }
            false => {}
        }
    }

    /// Counts a request that waits for an adapter until [`EngineLedger::leave`].
    pub fn wait(&mut self, id: &AdapterId, now: Duration) {
        self.unknown.retain(|_, until| *until > now);
        self.demand.add(id, now);
        let fresh = Wanted { version: 0, since: now, waiting: 0, kept_until: now };
        self.wanted.entry(id.clone()).or_insert(fresh).waiting += 1;
    }

    /// Keeps an adapter wanted until `until`, for requests that were told to come back.
    pub fn keep_wanted(&mut self, id: &AdapterId, until: Duration) {
        if let Some(wanted) = self.wanted.get_mut(id) {
            wanted.kept_until = wanted.kept_until.max(until);
        }
    }

    /// Tells whether an adapter can be used without a further fetch from the weight store.
    pub fn is_at_hand(&self, id: &AdapterId) -> bool {
        self.places.contains_key(id) || self.recent.contains(id)
    }

    /// Tells whether an adapter is loaded.
    pub fn is_loaded(&self, id: &AdapterId) -> bool {
        self.places.get(id).is_some_and(|place| place.state == State::Ready)
    }

    /// Lists the adapters whose loads are under way, or may be.
    pub fn loading(&self) -> Vec<AdapterId> {
        let is_loading = |place: &Place| matches!(place.state, State::Loading { .. });
        let coming = self.places.iter().filter(|(_, place)| is_loading(place));
        let mut loading: Vec<AdapterId> = coming.map(|(id, _)| id.clone()).collect();
        let unsure = self.doubt.iter().map(|doubt| &doubt.order).chain(&self.under_way);
        for order in unsure {
            if let OrderKind::Load { adapter, .. } = &order.kind {
                let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
                if !loading.contains(&id) {
                    loading.push(id);
                }
            }
        }
        loading
    }

    /// Tells whether an adapter is at hand, or will be for requests that wait for it.
    pub fn has_or_fetches(&self, id: &AdapterId) -> bool {
        self.is_at_hand(id) || self.wanted.contains_key(id)
    }

    /// Counts a request that may run on an adapter until [`EngineLedger::end`].
    pub fn begin(&mut self, id: &AdapterId) {
        *self.in_use.entry(id.clone()).or_default() += 1;
        self.running += 1;
    }

    /// Returns the requests that may run on the engine's adapters now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Counts off a request that no longer runs on an adapter.
    pub fn end(&mut self, id: &AdapterId) {
        if let Some(count) = self.in_use.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.in_use.remove(id);
            }
            self.running -= 1;
        }
    }

    /// Counts off a request that no longer waits for an adapter.
    pub fn leave(&mut self, id: &AdapterId, now: Duration) {
        if let Some(wanted) = self.wanted.get_mut(id) {
            wanted.waiting = wanted.waiting.saturating_sub(1);
        }
        self.forget_unwanted(now);
    }

    fn forget_unwanted(&mut self, now: Duration) {
        self.wanted.retain(|_, wanted| wanted.waiting > 0 || wanted.kept_until > now);
    }

    /// Asks for an adapter in at least `version`.
    ///
    /// It is loaded only for requests counted by [`EngineLedger::wait`].
    pub fn want(&mut self, id: &AdapterId, version: u64, now: Duration) -> Readiness {
        if self.unknown.contains_key(id) {
            return Readiness::Unknown;
        }
        if id.model != self.model || self.capacity() == 0 {
            return Readiness::Impossible;
        }
        if self.running >= self.spec.batch + self.spec.batch / WAITING_SHARE {
            return Readiness::Full;
        }
        let version = version.max(self.newest.get(id).copied().unwrap_or(0));
        if let Some(place) = self.places.get(id)
            && place.state == State::Ready
            && self.model_state == ModelState::Ready
        {
            if place.version >= version {
                return Readiness::Ready(place.version);
            }
            // A replacement would wait for the runs, and every other order for it.
            if self.in_use.contains_key(id) {
                return Readiness::InUse;
            }
        }
        if now < self.refused_until && !self.places.contains_key(id) {
            return Readiness::Impossible;
        }
        if self.is_far_back(id) {
            return Readiness::Impossible;
        }
        if let Some(wanted) = self.wanted.get_mut(id) {
            wanted.version = wanted.version.max(version);
        }
        Readiness::Loading(self.load_wait(id, now))
    }

    /// Estimates how long it takes until an adapter is loaded.
    fn load_wait(&self, id: &AdapterId, now: Duration) -> Duration {
        if let Some(Place { state: State::Loading { since, .. }, .. }) = self.places.get(id) {
            return (*since + self.load_time).saturating_sub(now);
        }
        if self.is_at_hand(id) {
            return RELOAD_TIME;
        }
        let mine = self.wanted.get(id).map_or(now, |wanted| wanted.since);
        let before = self.wanted.iter().filter(|(other, wanted)| {
            *other != id && wanted.since <= mine && !self.is_at_hand(other)
        });
        let fetches = self.places.iter().filter(|(other, place)| {
            matches!(place.state, State::Loading { .. }) && !self.recent.contains(other)
        });
        let full = usize::from(fetches.count() >= FETCHES_MAX);
        let rounds = 1.0 + (before.count() + full) as f64 / FETCHES_MAX as f64;
        self.load_time.mul_f64(rounds)
    }

    /// Tells whether the orders for adapters that were wanted before take too long.
    fn is_far_back(&self, id: &AdapterId) -> bool {
        let Some(mine) = self.wanted.get(id).filter(|_| !self.places.contains_key(id)) else {
            return false;
        };
        let before = self.wanted.iter().filter(|(other, wanted)| {
            *other != id && wanted.since <= mine.since && !self.places.contains_key(*other)
        });
        let before = before.count() as u32;
        before >= QUEUE_MIN && self.order_time * ORDERS_PER_LOAD * before > QUEUE_TIME_MAX
    }

    /// Takes over that a newer version of an adapter exists.
    ///
    /// One that is held is replaced when it is next asked for and no longer in use.
    pub fn on_version(&mut self, id: &AdapterId, version: u64) {
        let newest = self.newest.entry(id.clone()).or_default();
        *newest = version.max(*newest);
    }

    /// Reports that the engine refused a request because it does not hold the adapter.
    pub fn on_missing(&mut self, now: Duration) {
        self.observe_at.get_or_insert(now);
    }

    /// Answers what to do next; call it again once that is done.
    pub fn next(&mut self, now: Duration) -> Step {
        if self.under_way.is_some() {
            return Step::Wait(None);
        }
        if let Some(at) = self.observe_at {
            return if at <= now { Step::Observe } else { Step::Wait(Some(at)) };
        }
        let Some(expected) = self.sequence else {
            return Step::Observe;
        };
        if self.resume_at > now {
            return Step::Wait(Some(self.resume_at));
        }
        if let Some(doubt) = &self.doubt {
            self.under_way = Some(doubt.order.clone());
            return Step::Order(doubt.order.clone());
        }
        match self.next_kind(now) {
            Ok(kind) => {
                self.given_at = Some(now);
                let order = Order { model: self.model.clone(), kind, expected };
                self.under_way = Some(order.clone());
                Step::Order(order)
            }
            Err(wake_at) => Step::Wait(wake_at),
        }
    }

    /// Reports that the engine could not be asked what it holds.
    pub fn on_observe_failed(&mut self, now: Duration) {
        self.observe_at = Some(now + REPORT_LAG);
    }

    fn version_wanted(&self, id: &AdapterId) -> u64 {
        let wanted = self.wanted.get(id).map_or(0, |wanted| wanted.version);
        wanted.max(self.newest.get(id).copied().unwrap_or(0)).max(1)
    }

    /// Returns how many adapters the engine can hold beside the model.
    fn capacity(&self) -> usize {
        let Some(model) = self.spec.model(&self.model) else {
            return 0;
        };
        let room = (self.spec.weights_mb - model.weights_mb) / model.adapter_mb.max(0.001);
        self.spec.adapter_slots.min(room.max(0.0) as usize)
    }
}

/// Tells whether an order for a place is under way though the engine lists `version` there.
fn is_pending(place: &Place, version: u64, now: Duration) -> bool {
    match place.state {
        State::Ready => false,
        State::Loading { since, .. } => place.version > version && now < since + LOAD_TIMEOUT,
        State::Unloading { .. } => true,
    }
}
