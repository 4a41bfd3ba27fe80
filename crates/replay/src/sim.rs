//! Discrete-event simulation of the gateways and engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};
use guavaspread_placement::{
    DemandMap, EngineKey, EngineQueue, EngineView, Policy, QueueAction, QueueLimits, QueuedRequest,
    QueuedRequestKey, Route, Router, SlotState, adapter_hash,
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::baseline::{Candidate, Clairvoyant, EngineSelector, FutureUses, LeastRecentlyUsed};
use crate::outcome::Outcome;
use crate::policy::PolicyName;
use crate::store::WeightStore;
use crate::trace::{EventKind, Trace};

const GATEWAY_COUNT: usize = 9;
/// Interval at which a gateway receives the state of each engine.
///
/// A gateway asks one of 9 peers every 250 ms.
const DIGEST_INTERVAL: Duration = Duration::from_millis(2_250);
const DEMAND_ENTRIES_MAX: usize = 16_384;
const QUEUE_CAPACITY: usize = 512;
const LOADS_MAX: usize = 2;
const WAIT_MS_MAX: u64 = 3_600_000;

/// Event that the simulation scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Loaded { engine: usize, load: usize },
    Finished { engine: usize, request: usize },
    Wake { engine: usize },
    Digest { gateway: usize },
}

struct Request {
    tokens: u32,
    worth: u32,
    arrived_at: Duration,
    deadline: Duration,
    gateway: usize,
    engine: usize,
    /// Queued request to submit again if the engine restarts.
    submission: QueuedRequest,
    queue_key: Option<QueuedRequestKey>,
}

struct Load {
    engine: usize,
    generation: u64,
    adapter: AdapterVersion,
    started_at: Duration,
}

struct Engine {
    queue: EngineQueue,
    /// Queued and running requests.
    requests_by_key: HashMap<QueuedRequestKey, usize>,
    is_reachable: bool,
    /// Number of restarts; a load from an earlier generation is discarded.
    generation: u64,
    /// Time during which requests ran.
    busy_time: Duration,
    /// Integral of the share of the batch in use over the busy time, in seconds.
    batch_seconds: f64,
    /// Time up to which the batch usage is recorded.
    recorded_at: Duration,
}

struct Gateway {
    router: Router,
    keys: Vec<EngineKey>,
    demand: DemandMap<AdapterVersion>,
}

struct Sim<'a> {
    trace: &'a Trace,
    policy: Policy,
    engine_selector: Option<Box<dyn EngineSelector>>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    store: WeightStore,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Number of timers scheduled so far; timers of the same time run in the order of this number.
    sequence: u64,
    loads: Vec<Load>,
    requests: Vec<Request>,
    rng: ChaCha8Rng,
    waits: Histogram<u64>,
    outcome: Outcome,
    total_worth: u64,
    worth_in_time: u64,
}

/// Replays a trace under a policy and returns the results.
pub fn replay(trace: &Trace, name: PolicyName) -> Outcome {
    let mut sim = Sim::new(trace, name);
    for event in &trace.events {
        let at = Duration::from_millis(event.at_ms);
        sim.run_until(at);
        sim.on_event(at, &event.kind);
    }
    sim.run_until(Duration::MAX);
    sim.finish()
}

impl<'a> Sim<'a> {
    fn new(trace: &'a Trace, name: PolicyName) -> Self {
        let spec = &trace.spec;
        let policy = name.policy();
        let mut sim = Sim {
            trace,
            engine_selector: name.engine_selector(),
            engines: Vec::new(),
            gateways: Vec::new(),
            store: WeightStore::new(spec.loads_per_second, Duration::from_millis(spec.load_ms)),
            timers: BinaryHeap::new(),
            sequence: 0,
            loads: Vec::new(),
            requests: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            waits: Histogram::new_with_max(WAIT_MS_MAX, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are valid")),
            outcome: Outcome { policy: name.as_str().to_owned(), ..Outcome::default() },
            total_worth: 0,
            worth_in_time: 0,
            policy,
        };
        let future = future_uses(trace);
        for _ in 0..spec.engines {
            let mut queue = EngineQueue::new(queue_limits(trace), sim.policy.clone());
            queue = match name {
                PolicyName::LeastLoadedLru | PolicyName::RendezvousLru => {
                    queue.with_eviction_policy(Box::new(LeastRecentlyUsed))
                }
                PolicyName::Clairvoyant => {
                    queue.with_eviction_policy(Box::new(Clairvoyant(future.clone())))
                }
                PolicyName::StallsFirst | PolicyName::BatchesFirst => queue,
            };
            sim.engines.push(Engine {
                queue,
                requests_by_key: HashMap::new(),
                is_reachable: true,
                generation: 0,
                busy_time: Duration::ZERO,
                batch_seconds: 0.0,
                recorded_at: Duration::ZERO,
            });
        }
        for gateway in 0..GATEWAY_COUNT {
            sim.add_gateway(gateway);
        }
        sim
    }

    fn add_gateway(&mut self, gateway: usize) {
        let mut router = Router::new(self.policy.clone());
        let keys = (0..self.engines.len())
            .map(|engine| router.insert(self.engine_view(engine, gateway, Duration::ZERO)))
            .collect();
        let demand = DemandMap::new(self.policy.demand_half_life(), DEMAND_ENTRIES_MAX);
        self.gateways.push(Gateway { router, keys, demand });
        let first = DIGEST_INTERVAL.mul_f64(gateway as f64 / GATEWAY_COUNT as f64);
        self.schedule(first, Timer::Digest { gateway });
    }

    fn schedule(&mut self, at: Duration, timer: Timer) {
        self.sequence += 1;
        self.timers.push(Reverse((at, self.sequence, timer)));
    }

    /// Handles the timers up to `until`; `Duration::MAX` handles all timers but digests.
    ///
    /// Each digest schedules the next one, so handling all digests would never end.
    fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied() {
            if at > until {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Digest { .. } if until == Duration::MAX => {}
                timer => self.on_timer(at, timer),
            }
        }
    }

    fn on_timer(&mut self, now: Duration, timer: Timer) {
        match timer {
            Timer::Loaded { engine, load } => self.on_loaded(now, engine, load),
            Timer::Finished { engine, request } => self.on_request_finished(now, engine, request),
            Timer::Wake { engine } => self.run_queue(now, engine),
            Timer::Digest { gateway } => {
                for engine in 0..self.engines.len() {
                    self.send_engine_view(now, gateway, engine);
                }
                self.schedule(now + DIGEST_INTERVAL, Timer::Digest { gateway });
            }
        }
    }

    /// Applies an event of the trace.
    fn on_event(&mut self, now: Duration, kind: &EventKind) {
        match kind {
            EventKind::Request { adapter, tokens, worth, deadline_ms, priority } => {
                self.total_worth += u64::from(*worth);
                self.outcome.requests += 1;
                let gateway = self.rng.random_range(0..GATEWAY_COUNT);
                let deadline = now + Duration::from_millis((*deadline_ms).into());
                let submission = QueuedRequest {
                    adapter: adapter.clone(),
                    arrived_at: now,
                    deadline,
                    worth: *worth,
                    priority: *priority,
                    exclusive: false,
                };
                let request = Request {
                    tokens: *tokens,
                    worth: *worth,
                    arrived_at: now,
                    deadline,
                    gateway,
                    engine: 0,
                    submission: submission.clone(),
                    queue_key: None,
                };
                self.requests.push(request);
                self.submit(now, self.requests.len() - 1, submission);
            }
            EventKind::Restart { engine } => self.restart(now, *engine),
            EventKind::Store { factor } => self.store.set_factor(*factor),
            EventKind::Reachable { engines, back } => {
                for engine in engines {
                    self.engines[*engine].is_reachable = *back;
                    if !back {
                        self.restart(now, *engine);
                    }
                }
            }
        }
    }

    /// Routes a request and adds it to the queue of the selected engine.
    fn submit(&mut self, now: Duration, request: usize, submission: QueuedRequest) {
        let gateway = self.requests[request].gateway;
        let Some(engine) = self.select_engine(now, gateway, &submission.adapter) else {
            self.outcome.refused += 1;
            return;
        };
        self.requests[request].engine = engine;
        let demand = self.gateways[gateway].demand.count(&submission.adapter, now);
        self.record_batch_usage(now, engine);
        let adapter = submission.adapter.clone();
        let target = &mut self.engines[engine];
        target.queue.raise_demand(&adapter, demand, now);
        match target.queue.submit(submission, now) {
            Ok(key) => {
                target.requests_by_key.insert(key, request);
                self.requests[request].queue_key = Some(key);
            }
            Err(_) => {
                self.outcome.refused += 1;
                self.end_attempt(request);
            }
        }
        self.run_queue(now, engine);
    }

    /// Selects an engine with the baseline policy or the router of the gateway.
    fn select_engine(
        &mut self,
        now: Duration,
        gateway: usize,
        adapter: &AdapterVersion,
    ) -> Option<usize> {
        if let Some(selector) = &self.engine_selector {
            let candidates: Vec<Candidate> = self
                .engines
                .iter()
                .enumerate()
                .filter(|(_, engine)| engine.is_reachable)
                .map(|(index, engine)| Candidate {
                    engine: index,
                    load: engine.queue.running() + engine.queue.waiting(),
                    waiting: engine.queue.waiting(),
                    has_adapter: engine.queue.slots().iter().any(|slot| slot.adapter == *adapter),
                    coldest_value: engine.queue.coldest_value(now),
                })
                .collect();
            return selector.select_engine(adapter, &candidates);
        }
        let gateway = &mut self.gateways[gateway];
        gateway.demand.add(adapter, now);
        let mut tried = Vec::new();
        loop {
            let key = match gateway.router.route(adapter, &tried, now) {
                Route::Loaded(key) | Route::Load(key) => key,
                Route::Unavailable => return None,
            };
            let engine = gateway.keys.iter().position(|known| *known == key)?;
            if self.engines[engine].is_reachable {
                return Some(engine);
            }
            gateway.router.on_request_finished(key);
            gateway.router.on_request_failed(key, now);
            tried.push(key);
        }
    }

    /// Tells the gateway that the attempt at the engine has ended.
    fn end_attempt(&mut self, request: usize) {
        let Request { gateway, engine, .. } = self.requests[request];
        let gateway = &mut self.gateways[gateway];
        gateway.router.on_request_finished(gateway.keys[engine]);
    }

    /// Performs the actions that the engine's queue allows at this time.
    fn run_queue(&mut self, now: Duration, engine: usize) {
        self.record_batch_usage(now, engine);
        loop {
            match self.engines[engine].queue.next_action(now) {
                QueueAction::Start(key) => self.start(now, engine, key),
                QueueAction::Load(adapter) => self.load(now, engine, adapter),
                QueueAction::Evict(adapter) => {
                    self.engines[engine].queue.on_evicted(&adapter, true)
                }
                QueueAction::Refuse(key, _) => {
                    self.outcome.refused += 1;
                    if let Some(request) = self.engines[engine].requests_by_key.remove(&key) {
                        self.end_attempt(request);
                    }
                }
                QueueAction::Wait(None) => return,
                QueueAction::Wait(Some(at)) => {
                    self.schedule(at.max(now + Duration::from_millis(1)), Timer::Wake { engine });
                    return;
                }
            }
        }
    }

    /// Starts a queued request.
    fn start(&mut self, now: Duration, engine: usize, key: QueuedRequestKey) {
        let Some(request) = self.engines[engine].requests_by_key.get(&key).copied() else {
            return;
        };
        let Request { tokens, arrived_at, gateway, .. } = self.requests[request];
        let waited = now.saturating_sub(arrived_at).as_millis() as u64;
        self.waits.saturating_record(waited);
        let duration = Duration::from_millis(self.trace.spec.token_ms) * tokens;
        self.schedule(now + duration, Timer::Finished { engine, request });
        // The head of a response carries the state of the engine.
        self.send_engine_view(now, gateway, engine);
    }

    /// Starts to load an adapter.
    fn load(&mut self, now: Duration, engine: usize, adapter: AdapterVersion) {
        self.outcome.loads += 1;
        let duration = self.store.start_load(now);
        let generation = self.engines[engine].generation;
        self.loads.push(Load { engine, generation, adapter, started_at: now });
        self.schedule(now + duration, Timer::Loaded { engine, load: self.loads.len() - 1 });
    }

    /// Handles the end of an adapter load.
    fn on_loaded(&mut self, now: Duration, engine: usize, load: usize) {
        self.store.finish_load();
        let load = &self.loads[load];
        if load.generation == self.engines[load.engine].generation {
            let load_time = now.saturating_sub(load.started_at);
            let adapter = load.adapter.clone();
            self.engines[engine].queue.on_loaded(&adapter, Some(load_time), now);
            self.run_queue(now, engine);
        }
    }

    /// Handles the end of a response.
    fn on_request_finished(&mut self, now: Duration, engine: usize, request: usize) {
        let Some(key) = self.requests[request].queue_key.take() else {
            return;
        };
        self.record_batch_usage(now, engine);
        self.engines[engine].requests_by_key.remove(&key);
        self.engines[engine].queue.on_request_finished(key);
        self.end_attempt(request);
        let Request { worth, deadline, .. } = self.requests[request];
        match now <= deadline {
            true => self.worth_in_time += u64::from(worth),
            false => self.outcome.late += 1,
        }
        self.run_queue(now, engine);
    }

    /// Restarts an engine without adapters and retries its requests, as gateways do.
    fn restart(&mut self, now: Duration, engine: usize) {
        self.record_batch_usage(now, engine);
        let entries: Vec<(QueuedRequestKey, usize)> =
            self.engines[engine].requests_by_key.drain().collect();
        let mut interrupted = Vec::new();
        for (key, request) in entries {
            self.engines[engine].queue.on_request_finished(key);
            self.requests[request].queue_key = None;
            self.end_attempt(request);
            interrupted.push(request);
        }
        let target = &mut self.engines[engine];
        target.generation += 1;
        let slots: Vec<AdapterVersion> =
            target.queue.slots().iter().map(|slot| slot.adapter.clone()).collect();
        for adapter in slots {
            target.queue.on_evicted(&adapter, true);
        }
        interrupted.sort_unstable();
        for request in interrupted {
            let submission = self.requests[request].submission.clone();
            self.submit(now, request, submission);
        }
    }

    /// Updates a gateway's view of an engine.
    fn send_engine_view(&mut self, now: Duration, gateway: usize, engine: usize) {
        if !self.engines[engine].is_reachable {
            return;
        }
        let view = self.engine_view(engine, gateway, now);
        let gateway = &mut self.gateways[gateway];
        gateway.router.update(gateway.keys[engine], view);
    }

    /// Returns the state of an engine as a gateway receives it.
    fn engine_view(&self, engine: usize, gateway: usize, now: Duration) -> EngineView {
        let queue = &self.engines[engine].queue;
        let retained = queue.slots().iter().filter(|slot| slot.state != SlotState::Evicting);
        EngineView {
            host: Name::new(&format!("engine-{engine}")).ok(),
            same_zone: engine % 4 == gateway % 4,
            is_accepting: true,
            load: (queue.running() + queue.waiting()) as u32,
            batch: self.trace.spec.batch as u32,
            coldest_demand: queue.coldest_value(now),
            loaded: retained.map(|slot| adapter_hash(&slot.adapter)).collect(),
        }
    }

    /// Adds the batch usage since the last call to the engine's totals.
    fn record_batch_usage(&mut self, now: Duration, engine: usize) {
        let batch = self.trace.spec.batch as f64;
        let engine = &mut self.engines[engine];
        let time = now.saturating_sub(engine.recorded_at);
        engine.recorded_at = now;
        if engine.queue.running() > 0 {
            engine.busy_time += time;
            engine.batch_seconds += time.as_secs_f64() * engine.queue.running() as f64 / batch;
        }
    }

    /// Returns the results of the replay.
    fn finish(self) -> Outcome {
        let stalls: u64 = self.engines.iter().map(|engine| engine.queue.stalls()).sum();
        let busy_time: f64 = self.engines.iter().map(|engine| engine.busy_time.as_secs_f64()).sum();
        let batch_seconds: f64 = self.engines.iter().map(|engine| engine.batch_seconds).sum();
        Outcome {
            stall_share: stalls as f64 / self.outcome.requests.max(1) as f64,
            wait_p95_ms: self.waits.value_at_quantile(0.95),
            batch_efficiency: batch_seconds / busy_time.max(f64::MIN_POSITIVE),
            worth_share: self.worth_in_time as f64 / self.total_worth.max(1) as f64,
            ..self.outcome
        }
    }
}

fn queue_limits(trace: &Trace) -> QueueLimits {
    QueueLimits {
        slots: trace.spec.slots,
        batch: trace.spec.batch,
        waiting_max: QUEUE_CAPACITY,
        concurrent_loads_max: LOADS_MAX,
        initial_load_time: Duration::from_millis(trace.spec.load_ms),
    }
}

fn future_uses(trace: &Trace) -> std::rc::Rc<FutureUses> {
    FutureUses::new(trace.events.iter().filter_map(|event| match &event.kind {
        EventKind::Request { adapter, .. } => {
            Some((Duration::from_millis(event.at_ms), adapter.clone()))
        }
        _ => None,
    }))
}
