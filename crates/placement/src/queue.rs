//! The queue, the batch and the adapter slots of one engine.
//!
//! The owner of an engine calls [`EngineQueue::next`] until it answers
//! [`Next::Wait`], carries out each answer, and reports what became of it. An
//! adapter is unloaded only while nothing runs on it, and nothing starts on it
//! from the moment the order is given.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Code, Refusal};
use slotmap::SlotMap;

use crate::demand::DemandMap;
use crate::policy::Policy;
use crate::slot::{ByDemand, Keeper, Slot, SlotState};
use crate::ticket::{Next, QueueLimits, Ticket, TicketKey};

const DEMAND_ENTRIES_MAX: usize = 16_384;
const LOAD_BACKOFF: Duration = Duration::from_millis(500);
const LOAD_BACKOFF_MAX: Duration = Duration::from_secs(30);
const STUCK_GRACE: Duration = Duration::from_secs(1);
const LOAD_ATTEMPTS_MAX: u32 = 2;
/// The weight of the last load in the smoothed load time.
const LOAD_TIME_SMOOTHING: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
}

#[derive(Clone, Debug)]
struct Entry {
    ticket: Ticket,
    phase: Phase,
    stalled: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadFailures {
    count: u32,
    retry_at: Duration,
}

/// Decides for one engine.
pub struct EngineQueue {
    limits: QueueLimits,
    policy: Policy,
    entries: SlotMap<TicketKey, Entry>,
    waiting: Vec<TicketKey>,
    running: usize,
    runs_alone: bool,
    slots: Vec<Slot>,
    demand: DemandMap<AdapterVersion>,
    failures: HashMap<AdapterVersion, LoadFailures>,
    barred: BTreeSet<AdapterVersion>,
    pinned: BTreeSet<AdapterVersion>,
    /// Since when unload orders may not be given.
    stuck_since: Option<Duration>,
    load_time: f64,
    stalls: u64,
    keeper: Box<dyn Keeper>,
}

impl EngineQueue {
    /// Makes the queue of an engine that holds nothing.
    pub fn new(limits: QueueLimits, policy: Policy) -> Self {
        let demand = DemandMap::new(policy.demand_half_life(), DEMAND_ENTRIES_MAX);
        EngineQueue {
            limits,
            policy,
            entries: SlotMap::with_key(),
            waiting: Vec::new(),
            running: 0,
            runs_alone: false,
            slots: Vec::new(),
            demand,
            failures: HashMap::new(),
            barred: BTreeSet::new(),
            pinned: BTreeSet::new(),
            stuck_since: None,
            load_time: limits.load_time.as_secs_f64(),
            stalls: 0,
            keeper: Box::new(ByDemand),
        }
    }

    /// Replaces how slots are valued, for comparison with other policies.
    pub fn with_keeper(mut self, keeper: Box<dyn Keeper>) -> Self {
        self.keeper = keeper;
        self
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// Refuses the request when the queue is full.
    pub fn submit(&mut self, ticket: Ticket, now: Duration) -> Result<TicketKey, Refusal> {
        self.demand.add(&ticket.adapter, now);
        if self.waiting.len() >= self.limits.waiting {
            let wait_ms = self.expected_wait().as_millis() as u32;
            let refusal = Refusal::not_run(Code::Overloaded, "the engine's queue is full");
            return Err(refusal.retry_after_ms(wait_ms.max(100)));
        }
        let stalled = !self.is_ready(&ticket.adapter);
        self.stalls += u64::from(stalled);
        let key = self.entries.insert(Entry { ticket, phase: Phase::Waiting, stalled });
        self.waiting.push(key);
        Ok(key)
    }

    /// Answers what to do next; call it until it answers [`Next::Wait`].
    pub fn next(&mut self, now: Duration) -> Next {
        if let Some(next) = self.next_refusal(now) {
            return next;
        }
        if let Some(next) = self.next_start(now) {
            return next;
        }
        if let Some(next) = self.next_load(now) {
            return next;
        }
        Next::Wait(self.wake_at())
    }

    /// Reports that the engine answered a load order.
    pub fn on_loaded(&mut self, adapter: &AdapterVersion, took: Option<Duration>, now: Duration) {
        let Some(index) = self.slot_index(adapter) else {
            return;
        };
        let Some(took) = took else {
            self.slots.remove(index);
            self.on_load_failed(adapter, now);
            return;
        };
        self.slots[index].state = SlotState::Ready;
        self.slots[index].used_at = now;
        self.failures.remove(adapter);
        self.load_time += LOAD_TIME_SMOOTHING * (took.as_secs_f64() - self.load_time);
    }

    /// Reports that the engine had no slot free, which says nothing about the adapter.
    pub fn on_no_slot(&mut self, adapter: &AdapterVersion) {
        self.slots.retain(|slot| slot.adapter != *adapter || slot.state != SlotState::Loading);
    }

    /// Reports that the engine answered an unload order.
    ///
    /// `gone` is false when the adapter may still be there.
    pub fn on_evicted(&mut self, adapter: &AdapterVersion, gone: bool) {
        let Some(index) = self.slot_index(adapter) else {
            return;
        };
        if gone {
            self.slots.remove(index);
        } else {
            self.slots[index].state = SlotState::Ready;
        }
    }

    /// Reports that a request ended, or was given up while it waited.
    pub fn on_finished(&mut self, key: TicketKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        match entry.phase {
            Phase::Waiting => self.waiting.retain(|waiting| *waiting != key),
            Phase::Running => self.leave_batch(&entry.ticket.adapter),
        }
    }

    /// Reports that the engine did not hold the adapter of a request that was started.
    ///
    /// The request waits again; nothing ran.
    pub fn on_not_loaded(&mut self, key: TicketKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.phase == Phase::Running {
            entry.phase = Phase::Waiting;
            let adapter = entry.ticket.adapter.clone();
            self.leave_batch(&adapter);
            self.slots.retain(|slot| {
                slot.adapter != adapter || slot.state != SlotState::Ready || slot.running > 0
            });
            self.waiting.push(key);
        }
    }

    /// Replaces what is known of the engine's slots by what the engine lists.
    ///
    /// Slots with an order under way or a running request are left as they are.
    pub fn on_listed(&mut self, listed: &[AdapterVersion], now: Duration) {
        self.slots.retain(|slot| {
            slot.state != SlotState::Ready || slot.running > 0 || listed.contains(&slot.adapter)
        });
        for adapter in listed {
            if self.slot_index(adapter).is_none() {
                self.push_slot(adapter, SlotState::Ready, now);
            }
        }
    }

    /// Sets whether unload orders may be given.
    pub fn set_may_evict(&mut self, may_evict: bool, now: Duration) {
        self.stuck_since = match may_evict {
            true => None,
            false => self.stuck_since.or(Some(now)),
        };
    }

    /// Keeps adapters off this engine, because a former owner may still unload them.
    pub fn set_barred(&mut self, barred: BTreeSet<AdapterVersion>) {
        self.barred = barred;
    }

    /// Sets which adapters are kept loaded whatever their demand.
    pub fn set_pinned(&mut self, pinned: BTreeSet<AdapterVersion>) {
        for slot in &mut self.slots {
            slot.pinned = pinned.contains(&slot.adapter);
        }
        self.pinned = pinned;
    }

    /// Raises the demand known for an adapter to what another host has seen.
    pub fn hint_demand(&mut self, adapter: &AdapterVersion, count: f64, now: Duration) {
        self.demand.raise(adapter, now, count);
    }

    /// Returns the demand of an adapter, in requests a second.
    pub fn demand_rate(&self, adapter: &AdapterVersion, now: Duration) -> f64 {
        self.demand.rate(adapter, now)
    }

    /// Returns the decayed count of requests for an adapter.
    pub fn demand_count(&self, adapter: &AdapterVersion, now: Duration) -> f64 {
        self.demand.count(adapter, now)
    }

    /// Returns the slots.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests found their adapter not ready.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    /// Tells whether a request found its adapter not ready.
    pub fn has_stalled(&self, key: TicketKey) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.stalled)
    }

    /// Returns the value of the slot that would be given up next, 0 while a slot is free.
    ///
    /// By default that is the demand for its adapter, in requests a second.
    pub fn coldest(&self, now: Duration) -> f64 {
        if self.slots.len() < self.limits.slots {
            return 0.0;
        }
        self.victim(now).map_or(f64::INFINITY, |(_, demand)| demand)
    }

    fn next_refusal(&mut self, now: Duration) -> Option<Next> {
        let position = self.waiting.iter().position(|key| self.is_hopeless(*key, now))?;
        let key = self.waiting.remove(position);
        let entry = self.entries.remove(key)?;
        let adapter = &entry.ticket.adapter;
        let attempts = self.failures.get(adapter).map_or(0, |failures| failures.count);
        let refusal = if attempts >= LOAD_ATTEMPTS_MAX {
            Refusal::not_run(Code::LoadFailed, format!("{adapter} could not be loaded"))
        } else if self.is_stuck(now) && self.slot_index(adapter).is_none() {
            Refusal::not_run(Code::NoBackend, "no slot can be freed for the adapter here now")
        } else {
            Refusal::not_run(Code::DeadlineUnreachable, "its turn would come too late")
        };
        let wait_ms = self.expected_wait().as_millis() as u32;
        Some(Next::Refuse(key, refusal.retry_after_ms(wait_ms.max(100))))
    }

    /// Tells whether a waiting request can't be answered in time any more.
    fn is_hopeless(&self, key: TicketKey, now: Duration) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return true;
        };
        let adapter = &entry.ticket.adapter;
        let failures = self.failures.get(adapter).copied().unwrap_or_default();
        let needs_load = self.slot_index(adapter).is_none();
        if needs_load && failures.count >= LOAD_ATTEMPTS_MAX && now < failures.retry_at {
            return true;
        }
        if needs_load && self.is_stuck(now) {
            return true;
        }
        let ahead = if needs_load { self.load_time_estimate() } else { Duration::ZERO };
        now + ahead >= entry.ticket.deadline
    }

    /// Tells whether every slot is taken and none may be freed, for longer than it takes an
    /// engine to change hands.
    fn is_stuck(&self, now: Duration) -> bool {
        self.slots.len() >= self.limits.slots
            && self.stuck_since.is_some_and(|since| now >= since + STUCK_GRACE)
    }

    fn next_start(&mut self, now: Duration) -> Option<Next> {
        if self.running >= self.limits.batch || self.runs_alone {
            return None;
        }
        let startable = self.waiting.iter().enumerate().filter(|(_, key)| {
            self.entries.get(**key).is_some_and(|entry| self.is_ready(&entry.ticket.adapter))
        });
        let scored = startable.map(|(position, key)| (position, self.score(*key, now)));
        let (position, _) = scored.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let alone = self.entries.get(self.waiting[position])?.ticket.alone;
        if alone && self.running > 0 {
            return None;
        }
        let key = self.waiting.remove(position);
        self.runs_alone = alone;
        let entry = self.entries.get_mut(key)?;
        entry.phase = Phase::Running;
        let adapter = entry.ticket.adapter.clone();
        let index = self.slot_index(&adapter)?;
        self.slots[index].running += 1;
        self.slots[index].used_at = now;
        self.running += 1;
        Some(Next::Start(key))
    }

    fn next_load(&mut self, now: Duration) -> Option<Next> {
        let loading = self.slots.iter().filter(|slot| slot.state == SlotState::Loading).count();
        if loading >= self.limits.loads {
            return None;
        }
        let adapter = self.most_wanted(now)?;
        if self.slots.len() < self.limits.slots {
            self.push_slot(&adapter, SlotState::Loading, now);
            return Some(Next::Load(adapter));
        }
        let evicting = self.slots.iter().any(|slot| slot.state == SlotState::Evicting);
        if evicting || self.stuck_since.is_some() {
            return None;
        }
        let (index, _) = self.victim(now)?;
        self.slots[index].state = SlotState::Evicting;
        Some(Next::Evict(self.slots[index].adapter.clone()))
    }

    /// Finds the adapter whose waiting requests weigh most and that has no slot.
    fn most_wanted(&self, now: Duration) -> Option<AdapterVersion> {
        let mut scores: HashMap<&AdapterVersion, f64> = HashMap::new();
        for key in &self.waiting {
            let Some(entry) = self.entries.get(*key) else { continue };
            if self.may_load(&entry.ticket.adapter, now) {
                *scores.entry(&entry.ticket.adapter).or_default() += self.score(*key, now);
            }
        }
        let pinned = self.pinned.iter().filter(|adapter| self.may_load(adapter, now));
        for adapter in pinned {
            scores.entry(adapter).or_default();
        }
        let best = scores.into_iter().max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(a.0)));
        best.map(|(adapter, _)| adapter.clone())
    }

    fn may_load(&self, adapter: &AdapterVersion, now: Duration) -> bool {
        let failures = self.failures.get(adapter).copied().unwrap_or_default();
        self.slot_index(adapter).is_none()
            && !self.barred.contains(adapter)
            && now >= failures.retry_at
    }

    /// Finds the slot to give up: idle, wanted by nobody in the queue, least demand.
    fn victim(&self, now: Duration) -> Option<(usize, f64)> {
        let evictable = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.is_evictable() && !self.is_wanted(&slot.adapter));
        let values = evictable.map(|(index, slot)| {
            let demand = self.demand.rate(&slot.adapter, now);
            (index, self.keeper.value(slot, demand, now), slot.used_at)
        });
        let coldest = values.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))?;
        Some((coldest.0, coldest.1))
    }

    fn is_wanted(&self, adapter: &AdapterVersion) -> bool {
        let mut waiting = self.waiting.iter().filter_map(|key| self.entries.get(*key));
        waiting.any(|entry| entry.ticket.adapter == *adapter)
    }

    fn is_ready(&self, adapter: &AdapterVersion) -> bool {
        !self.barred.contains(adapter)
            && self
                .slots
                .iter()
                .any(|slot| slot.adapter == *adapter && slot.state == SlotState::Ready)
    }

    fn score(&self, key: TicketKey, now: Duration) -> f64 {
        let Some(entry) = self.entries.get(key) else {
            return 0.0;
        };
        let ticket = &entry.ticket;
        let age = now.saturating_sub(ticket.arrived).as_secs_f64();
        let ageing = 1.0 + age * 1_000.0 / f64::from(self.policy.ageing_ms.max(1));
        f64::from(ticket.worth.max(1)) * self.policy.weight(ticket.priority) * ageing
    }

    fn on_load_failed(&mut self, adapter: &AdapterVersion, now: Duration) {
        let failures = self.failures.entry(adapter.clone()).or_default();
        failures.count += 1;
        let backoff = LOAD_BACKOFF * 2_u32.saturating_pow(failures.count - 1);
        failures.retry_at = now + backoff.min(LOAD_BACKOFF_MAX);
    }

    fn leave_batch(&mut self, adapter: &AdapterVersion) {
        self.running = self.running.saturating_sub(1);
        self.runs_alone &= self.running > 0;
        if let Some(index) = self.slot_index(adapter) {
            self.slots[index].running = self.slots[index].running.saturating_sub(1);
        }
    }

    fn push_slot(&mut self, adapter: &AdapterVersion, state: SlotState, now: Duration) {
        let pinned = self.pinned.contains(adapter);
        let adapter = adapter.clone();
        self.slots.push(Slot { adapter, state, running: 0, used_at: now, pinned });
    }

    fn slot_index(&self, adapter: &AdapterVersion) -> Option<usize> {
        self.slots.iter().position(|slot| slot.adapter == *adapter)
    }

    fn load_time_estimate(&self) -> Duration {
        Duration::from_secs_f64(self.load_time.max(0.0))
    }

    fn expected_wait(&self) -> Duration {
        let rounds = 1 + self.waiting.len() / self.limits.batch.max(1);
        self.load_time_estimate() * rounds as u32
    }

    fn wake_at(&self) -> Option<Duration> {
        let deadlines = self.waiting.iter().filter_map(|key| self.entries.get(*key)).map(|entry| {
            let adapter = &entry.ticket.adapter;
            let needs_load = self.slot_index(adapter).is_none();
            let ahead = if needs_load { self.load_time_estimate() } else { Duration::ZERO };
            entry.ticket.deadline.saturating_sub(ahead)
        });
        let retries = self.failures.values().map(|failures| failures.retry_at);
        let retries = retries.filter(|_| !self.waiting.is_empty());
        deadlines.chain(retries).min()
    }
}
