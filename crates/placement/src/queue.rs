//! The queue, the batch and the adapter slots of one engine.
//!
//! The owner of an engine calls [`EngineQueue::next_action`] until it returns
//! [`QueueAction::Wait`], performs each returned action and reports its result. An adapter
//! is evicted only while no request runs on it, and no request starts on it once
//! [`QueueAction::Evict`] has been returned.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Code, Refusal};
use slotmap::SlotMap;

use crate::demand::DemandMap;
use crate::policy::Policy;
use crate::queued_request::{QueueAction, QueueLimits, QueuedRequest, QueuedRequestKey};
use crate::slot::{EvictionPolicy, LowestDemand, Slot, SlotState};

const DEMAND_ENTRIES_MAX: usize = 16_384;
const LOAD_BACKOFF_INITIAL: Duration = Duration::from_millis(500);
const LOAD_BACKOFF_MAX: Duration = Duration::from_secs(30);
/// The time for which evictions may be blocked with all slots occupied before requests are refused.
///
/// It is longer than a change of ownership takes.
const EVICTION_BLOCKED_GRACE: Duration = Duration::from_secs(1);
const LOAD_ATTEMPTS_MAX: u32 = 2;
/// The weight of the latest sample in the moving average of load times.
const LOAD_TIME_SMOOTHING: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
}

#[derive(Clone, Debug)]
struct Entry {
    request: QueuedRequest,
    phase: Phase,
    stalled: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadFailures {
    count: u32,
    retry_at: Duration,
}

/// Schedules the requests, adapter loads and evictions of one engine.
pub struct EngineQueue {
    limits: QueueLimits,
    policy: Policy,
    entries: SlotMap<QueuedRequestKey, Entry>,
    waiting: Vec<QueuedRequestKey>,
    running: usize,
    exclusive_running: bool,
    slots: Vec<Slot>,
    demand: DemandMap<AdapterVersion>,
    failures: HashMap<AdapterVersion, LoadFailures>,
    blocked: BTreeSet<AdapterVersion>,
    pinned: BTreeSet<AdapterVersion>,
    /// When the permission to evict was lost, if it is missing.
    eviction_blocked_since: Option<Duration>,
    load_time: f64,
    stalls: u64,
    eviction_policy: Box<dyn EvictionPolicy>,
}

impl EngineQueue {
    /// Creates the queue of an engine without loaded adapters.
    pub fn new(limits: QueueLimits, policy: Policy) -> Self {
        let demand = DemandMap::new(policy.demand_half_life(), DEMAND_ENTRIES_MAX);
        EngineQueue {
            limits,
            policy,
            entries: SlotMap::with_key(),
            waiting: Vec::new(),
            running: 0,
            exclusive_running: false,
            slots: Vec::new(),
            demand,
            failures: HashMap::new(),
            blocked: BTreeSet::new(),
            pinned: BTreeSet::new(),
            eviction_blocked_since: None,
            load_time: limits.initial_load_time.as_secs_f64(),
            stalls: 0,
            eviction_policy: Box::new(LowestDemand),
        }
    }

    /// Replaces the eviction policy, for comparisons.
    pub fn with_eviction_policy(mut self, eviction_policy: Box<dyn EvictionPolicy>) -> Self {
        self.eviction_policy = eviction_policy;
        self
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue is full.
    pub fn submit(
        &mut self,
        request: QueuedRequest,
        now: Duration,
    ) -> Result<QueuedRequestKey, Refusal> {
        self.demand.add(&request.adapter, now);
        if self.waiting.len() >= self.limits.waiting_max {
            let wait_ms = self.expected_wait().as_millis() as u32;
            let refusal = Refusal::not_run(Code::Overloaded, "the engine's queue is full");
            return Err(refusal.with_retry_after_ms(wait_ms.max(100)));
        }
        let stalled = !self.is_ready(&request.adapter);
        self.stalls += u64::from(stalled);
        let key = self.entries.insert(Entry { request, phase: Phase::Waiting, stalled });
        self.waiting.push(key);
        Ok(key)
    }

    /// Returns the next action; callers repeat the call until it returns [`QueueAction::Wait`].
    pub fn next_action(&mut self, now: Duration) -> QueueAction {
        if let Some(action) = self.next_refusal(now) {
            return action;
        }
        if let Some(action) = self.next_start(now) {
            return action;
        }
        if let Some(action) = self.next_load(now) {
            return action;
        }
        QueueAction::Wait(self.next_wakeup())
    }

    /// Handles the result of an adapter load; `duration` is `None` if the load failed.
    pub fn on_loaded(
        &mut self,
        adapter: &AdapterVersion,
        duration: Option<Duration>,
        now: Duration,
    ) {
        let Some(index) = self.slot_index(adapter) else {
            return;
        };
        let Some(duration) = duration else {
            self.slots.remove(index);
            self.on_load_failed(adapter, now);
            return;
        };
        self.slots[index].state = SlotState::Ready;
        self.slots[index].used_at = now;
        self.failures.remove(adapter);
        self.load_time += LOAD_TIME_SMOOTHING * (duration.as_secs_f64() - self.load_time);
    }

    /// Handles a load that the engine rejected for lack of a free slot.
    ///
    /// The failure is not attributed to the adapter, so no backoff applies.
    pub fn on_no_free_slot(&mut self, adapter: &AdapterVersion) {
        self.slots.retain(|slot| slot.adapter != *adapter || slot.state != SlotState::Loading);
    }

    /// Handles the result of an eviction.
    ///
    /// `unloaded` is `false` if the adapter may still be loaded.
    pub fn on_evicted(&mut self, adapter: &AdapterVersion, unloaded: bool) {
        let Some(index) = self.slot_index(adapter) else {
            return;
        };
        if unloaded {
            self.slots.remove(index);
        } else {
            self.slots[index].state = SlotState::Ready;
        }
    }

    /// Removes a request that finished, or that was cancelled while it waited.
    pub fn on_request_finished(&mut self, key: QueuedRequestKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        match entry.phase {
            Phase::Waiting => self.waiting.retain(|waiting| *waiting != key),
            Phase::Running => self.remove_from_batch(&entry.request.adapter),
        }
    }

    /// Requeues a started request whose adapter the engine reported as not loaded.
    ///
    /// The request did not run.
    pub fn on_adapter_missing(&mut self, key: QueuedRequestKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.phase == Phase::Running {
            entry.phase = Phase::Waiting;
            let adapter = entry.request.adapter.clone();
            self.remove_from_batch(&adapter);
            self.slots.retain(|slot| {
                slot.adapter != adapter || slot.state != SlotState::Ready || slot.running > 0
            });
            self.waiting.push(key);
        }
    }

    /// Updates the slots from the engine's list of loaded adapters.
    ///
    /// Slots with a load, an eviction or a request in flight are left unchanged.
    pub fn on_adapters_listed(&mut self, listed: &[AdapterVersion], now: Duration) {
        self.slots.retain(|slot| {
            slot.state != SlotState::Ready || slot.running > 0 || listed.contains(&slot.adapter)
        });
        for adapter in listed {
            if self.slot_index(adapter).is_none() {
                self.push_slot(adapter, SlotState::Ready, now);
            }
        }
    }

    /// Sets whether the owner has permission to evict.
    pub fn set_may_evict(&mut self, may_evict: bool, now: Duration) {
        self.eviction_blocked_since = match may_evict {
            true => None,
            false => self.eviction_blocked_since.or(Some(now)),
        };
    }

    /// Sets the adapters that may not be used here because a former owner may still unload them.
    pub fn set_blocked_adapters(&mut self, blocked: BTreeSet<AdapterVersion>) {
        self.blocked = blocked;
    }

    /// Sets the adapters that are kept loaded regardless of their demand.
    pub fn set_pinned_adapters(&mut self, pinned: BTreeSet<AdapterVersion>) {
        for slot in &mut self.slots {
            slot.pinned = pinned.contains(&slot.adapter);
        }
        self.pinned = pinned;
    }

    /// Raises the demand count of an adapter to `count`, as reported by another host.
    pub fn raise_demand(&mut self, adapter: &AdapterVersion, count: f64, now: Duration) {
        self.demand.raise_to(adapter, now, count);
    }

    /// Returns the demand of an adapter, in requests per second.
    pub fn demand_rate(&self, adapter: &AdapterVersion, now: Duration) -> f64 {
        self.demand.rate(adapter, now)
    }

    /// Returns the decayed request count of an adapter.
    pub fn demand_count(&self, adapter: &AdapterVersion, now: Duration) -> f64 {
        self.demand.count(adapter, now)
    }

    /// Returns the slots.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests whose adapter was not ready on arrival.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    /// Returns whether the adapter of a request was not ready on arrival.
    pub fn has_stalled(&self, key: QueuedRequestKey) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.stalled)
    }

    /// Returns the value of the slot that would be evicted next, or 0 if a slot is free.
    ///
    /// With the default eviction policy, the value is the demand in requests per second. It is
    /// infinite if no slot can be evicted.
    pub fn coldest_value(&self, now: Duration) -> f64 {
        if self.slots.len() < self.limits.slots {
            return 0.0;
        }
        self.eviction_candidate(now).map_or(f64::INFINITY, |(_, demand)| demand)
    }

    fn next_refusal(&mut self, now: Duration) -> Option<QueueAction> {
        let position = self.waiting.iter().position(|key| self.must_refuse(*key, now))?;
        let key = self.waiting.remove(position);
        let entry = self.entries.remove(key)?;
        let adapter = &entry.request.adapter;
        let attempts = self.failures.get(adapter).map_or(0, |failures| failures.count);
        let refusal = if attempts >= LOAD_ATTEMPTS_MAX {
            Refusal::not_run(Code::LoadFailed, format!("{adapter} could not be loaded"))
        } else if self.is_eviction_blocked(now) && self.slot_index(adapter).is_none() {
            Refusal::not_run(Code::NoBackend, "no adapter slot can be freed at present")
        } else {
            Refusal::not_run(Code::DeadlineUnreachable, "the queue wait would exceed the deadline")
        };
        let wait_ms = self.expected_wait().as_millis() as u32;
        Some(QueueAction::Refuse(key, refusal.with_retry_after_ms(wait_ms.max(100))))
    }

    /// Returns whether a waiting request must be refused: its adapter can't be loaded here at
    /// present, or it can't start before its deadline.
    fn must_refuse(&self, key: QueuedRequestKey, now: Duration) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return true;
        };
        let adapter = &entry.request.adapter;
        let failures = self.failures.get(adapter).copied().unwrap_or_default();
        let needs_load = self.slot_index(adapter).is_none();
        if needs_load && failures.count >= LOAD_ATTEMPTS_MAX && now < failures.retry_at {
            return true;
        }
        if needs_load && self.is_eviction_blocked(now) {
            return true;
        }
        let load_delay = if needs_load { self.load_time_estimate() } else { Duration::ZERO };
        now + load_delay >= entry.request.deadline
    }

    /// Returns whether all slots are occupied and evictions have not been permitted for longer
    /// than a change of ownership takes.
    fn is_eviction_blocked(&self, now: Duration) -> bool {
        self.slots.len() >= self.limits.slots
            && self
                .eviction_blocked_since
                .is_some_and(|since| now >= since + EVICTION_BLOCKED_GRACE)
    }

    fn next_start(&mut self, now: Duration) -> Option<QueueAction> {
        if self.running >= self.limits.batch || self.exclusive_running {
            return None;
        }
        let startable = self.waiting.iter().enumerate().filter(|(_, key)| {
            self.entries.get(**key).is_some_and(|entry| self.is_ready(&entry.request.adapter))
        });
        let scored = startable.map(|(position, key)| (position, self.score(*key, now)));
        let (position, _) = scored.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let exclusive = self.entries.get(self.waiting[position])?.request.exclusive;
        if exclusive && self.running > 0 {
            return None;
        }
        let key = self.waiting.remove(position);
        self.exclusive_running = exclusive;
        let entry = self.entries.get_mut(key)?;
        entry.phase = Phase::Running;
        let adapter = entry.request.adapter.clone();
        let index = self.slot_index(&adapter)?;
        self.slots[index].running += 1;
        self.slots[index].used_at = now;
        self.running += 1;
        Some(QueueAction::Start(key))
    }

    fn next_load(&mut self, now: Duration) -> Option<QueueAction> {
        let loading = self.slots.iter().filter(|slot| slot.state == SlotState::Loading).count();
        if loading >= self.limits.concurrent_loads_max {
            return None;
        }
        let adapter = self.next_adapter_to_load(now)?;
        if self.slots.len() < self.limits.slots {
            self.push_slot(&adapter, SlotState::Loading, now);
            return Some(QueueAction::Load(adapter));
        }
        let evicting = self.slots.iter().any(|slot| slot.state == SlotState::Evicting);
        if evicting || self.eviction_blocked_since.is_some() {
            return None;
        }
        let (index, _) = self.eviction_candidate(now)?;
        self.slots[index].state = SlotState::Evicting;
        Some(QueueAction::Evict(self.slots[index].adapter.clone()))
    }

    /// Returns the loadable adapter whose waiting requests have the highest total score.
    fn next_adapter_to_load(&self, now: Duration) -> Option<AdapterVersion> {
        let mut scores: HashMap<&AdapterVersion, f64> = HashMap::new();
        for key in &self.waiting {
            let Some(entry) = self.entries.get(*key) else { continue };
            if self.can_load(&entry.request.adapter, now) {
                *scores.entry(&entry.request.adapter).or_default() += self.score(*key, now);
            }
        }
        let pinned = self.pinned.iter().filter(|adapter| self.can_load(adapter, now));
        for adapter in pinned {
            scores.entry(adapter).or_default();
        }
        let best = scores.into_iter().max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(a.0)));
        best.map(|(adapter, _)| adapter.clone())
    }

    fn can_load(&self, adapter: &AdapterVersion, now: Duration) -> bool {
        let failures = self.failures.get(adapter).copied().unwrap_or_default();
        self.slot_index(adapter).is_none()
            && !self.blocked.contains(adapter)
            && now >= failures.retry_at
    }

    /// Returns the evictable slot of the lowest value whose adapter no queued request needs.
    fn eviction_candidate(&self, now: Duration) -> Option<(usize, f64)> {
        let evictable = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.is_evictable() && !self.is_requested(&slot.adapter));
        let values = evictable.map(|(index, slot)| {
            let demand = self.demand.rate(&slot.adapter, now);
            (index, self.eviction_policy.retention_value(slot, demand, now), slot.used_at)
        });
        let lowest = values.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))?;
        Some((lowest.0, lowest.1))
    }

    fn is_requested(&self, adapter: &AdapterVersion) -> bool {
        let mut waiting = self.waiting.iter().filter_map(|key| self.entries.get(*key));
        waiting.any(|entry| entry.request.adapter == *adapter)
    }

    fn is_ready(&self, adapter: &AdapterVersion) -> bool {
        !self.blocked.contains(adapter)
            && self
                .slots
                .iter()
                .any(|slot| slot.adapter == *adapter && slot.state == SlotState::Ready)
    }

    fn score(&self, key: QueuedRequestKey, now: Duration) -> f64 {
        let Some(entry) = self.entries.get(key) else {
            return 0.0;
        };
        let request = &entry.request;
        let age = now.saturating_sub(request.arrived_at).as_secs_f64();
        let ageing = 1.0 + age * 1_000.0 / f64::from(self.policy.ageing_ms.max(1));
        f64::from(request.worth.max(1)) * self.policy.weight(request.priority) * ageing
    }

    fn on_load_failed(&mut self, adapter: &AdapterVersion, now: Duration) {
        let failures = self.failures.entry(adapter.clone()).or_default();
        failures.count += 1;
        let backoff = LOAD_BACKOFF_INITIAL * 2_u32.saturating_pow(failures.count - 1);
        failures.retry_at = now + backoff.min(LOAD_BACKOFF_MAX);
    }

    fn remove_from_batch(&mut self, adapter: &AdapterVersion) {
        self.running = self.running.saturating_sub(1);
        self.exclusive_running &= self.running > 0;
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

    fn next_wakeup(&self) -> Option<Duration> {
        let deadlines = self.waiting.iter().filter_map(|key| self.entries.get(*key)).map(|entry| {
            let adapter = &entry.request.adapter;
            let needs_load = self.slot_index(adapter).is_none();
            let load_delay = if needs_load { self.load_time_estimate() } else { Duration::ZERO };
            entry.request.deadline.saturating_sub(load_delay)
        });
        let retries = self.failures.values().map(|failures| failures.retry_at);
        let retries = retries.filter(|_| !self.waiting.is_empty());
        deadlines.chain(retries).min()
    }
}
