//! The replay: events in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name};
use guavaspread_placement::{
    DemandMap, EngineKey, EngineQueue, EngineView, Next, Policy, QueueLimits, Route, Router,
    SlotState, Ticket, TicketKey, adapter_hash,
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::baseline::{Candidate, Chooser, Clairvoyant, Future, LeastRecentlyUsed};
use crate::outcome::Outcome;
use crate::policy::PolicyName;
use crate::store::Store;
use crate::trace::{EventKind, Trace};

const GATEWAYS: usize = 9;
/// How often a gateway hears of each engine, as with one peer asked every 250 ms.
const DIGEST_INTERVAL: Duration = Duration::from_millis(2_250);
const DEMAND_ENTRIES_MAX: usize = 16_384;
const WAITING_MAX: usize = 512;
const LOADS_MAX: usize = 2;
const WAIT_MS_MAX: u64 = 3_600_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Loaded { engine: usize, load: usize },
    Finished { engine: usize, request: usize },
    Wake { engine: usize },
    Digest { gateway: usize },
}

struct Request {
    tokens: u32,
    worth: u32,
    arrived: Duration,
    deadline: Duration,
    gateway: usize,
    engine: usize,
    order: Ticket,
    ticket: Option<TicketKey>,
}

struct Load {
    engine: usize,
    generation: u64,
    adapter: AdapterVersion,
    started: Duration,
}

struct Engine {
    queue: EngineQueue,
    tickets: HashMap<TicketKey, usize>,
    reachable: bool,
    generation: u64,
    busy: Duration,
    filled: f64,
    seen_at: Duration,
}

struct Gateway {
    router: Router,
    keys: Vec<EngineKey>,
    demand: DemandMap<AdapterVersion>,
}

struct Sim<'a> {
    trace: &'a Trace,
    policy: Policy,
    chooser: Option<Box<dyn Chooser>>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    store: Store,
    due: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    order: u64,
    loads: Vec<Load>,
    requests: Vec<Request>,
    rng: ChaCha8Rng,
    waits: Histogram<u64>,
    outcome: Outcome,
    worth_all: u64,
    worth_in_time: u64,
}

/// Replays a trace under a policy.
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
            chooser: name.chooser(),
            engines: Vec::new(),
            gateways: Vec::new(),
            store: Store::new(spec.loads_per_second, Duration::from_millis(spec.load_ms)),
            due: BinaryHeap::new(),
            order: 0,
            loads: Vec::new(),
            requests: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            waits: Histogram::new_with_max(WAIT_MS_MAX, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are valid")),
            outcome: Outcome { policy: name.as_str().to_owned(), ..Outcome::default() },
            worth_all: 0,
            worth_in_time: 0,
            policy,
        };
        let future = future(trace);
        for _ in 0..spec.engines {
            let mut queue = EngineQueue::new(limits(trace), sim.policy.clone());
            queue = match name {
                PolicyName::LeastLoadedLru | PolicyName::RendezvousLru => {
                    queue.with_keeper(Box::new(LeastRecentlyUsed))
                }
                PolicyName::Clairvoyant => queue.with_keeper(Box::new(Clairvoyant(future.clone()))),
                PolicyName::StallsFirst | PolicyName::BatchesFirst => queue,
            };
            sim.engines.push(Engine {
                queue,
                tickets: HashMap::new(),
                reachable: true,
                generation: 0,
                busy: Duration::ZERO,
                filled: 0.0,
                seen_at: Duration::ZERO,
            });
        }
        for gateway in 0..GATEWAYS {
            sim.add_gateway(gateway);
        }
        sim
    }

    fn add_gateway(&mut self, gateway: usize) {
        let mut router = Router::new(self.policy.clone());
        let keys = (0..self.engines.len())
            .map(|engine| router.insert(self.view(engine, gateway, Duration::ZERO)))
            .collect();
        let demand = DemandMap::new(self.policy.demand_half_life(), DEMAND_ENTRIES_MAX);
        self.gateways.push(Gateway { router, keys, demand });
        let first = DIGEST_INTERVAL.mul_f64(gateway as f64 / GATEWAYS as f64);
        self.push(first, Due::Digest { gateway });
    }

    fn push(&mut self, at: Duration, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    /// Handles what is due up to a moment; digests stop once nothing else is left.
    fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, _, due))) = self.due.peek().copied() {
            if at > until {
                return;
            }
            self.due.pop();
            match due {
                Due::Digest { .. } if until == Duration::MAX => {}
                due => self.on_due(at, due),
            }
        }
    }

    fn on_due(&mut self, now: Duration, due: Due) {
        match due {
            Due::Loaded { engine, load } => self.on_loaded(now, engine, load),
            Due::Finished { engine, request } => self.on_finished(now, engine, request),
            Due::Wake { engine } => self.pump(now, engine),
            Due::Digest { gateway } => {
                for engine in 0..self.engines.len() {
                    self.report(now, gateway, engine);
                }
                self.push(now + DIGEST_INTERVAL, Due::Digest { gateway });
            }
        }
    }

    fn on_event(&mut self, now: Duration, kind: &EventKind) {
        match kind {
            EventKind::Request { adapter, tokens, worth, deadline_ms, priority } => {
                self.worth_all += u64::from(*worth);
                self.outcome.requests += 1;
                let gateway = self.rng.random_range(0..GATEWAYS);
                let deadline = now + Duration::from_millis((*deadline_ms).into());
                let ticket = Ticket {
                    adapter: adapter.clone(),
                    arrived: now,
                    deadline,
                    worth: *worth,
                    priority: *priority,
                    alone: false,
                };
                let request = Request {
                    tokens: *tokens,
                    worth: *worth,
                    arrived: now,
                    deadline,
                    gateway,
                    engine: 0,
                    order: ticket.clone(),
                    ticket: None,
                };
                self.requests.push(request);
                self.submit(now, self.requests.len() - 1, ticket);
            }
            EventKind::Restart { engine } => self.restart(now, *engine),
            EventKind::Store { factor } => self.store.set_factor(*factor),
            EventKind::Reachable { engines, back } => {
                for engine in engines {
                    self.engines[*engine].reachable = *back;
                    if !back {
                        self.restart(now, *engine);
                    }
                }
            }
        }
    }

    fn submit(&mut self, now: Duration, request: usize, ticket: Ticket) {
        let gateway = self.requests[request].gateway;
        let Some(engine) = self.choose(now, gateway, &ticket.adapter) else {
            self.outcome.refused += 1;
            return;
        };
        self.requests[request].engine = engine;
        let demand = self.gateways[gateway].demand.count(&ticket.adapter, now);
        self.account(now, engine);
        let adapter = ticket.adapter.clone();
        let target = &mut self.engines[engine];
        target.queue.hint_demand(&adapter, demand, now);
        match target.queue.submit(ticket, now) {
            Ok(key) => {
                target.tickets.insert(key, request);
                self.requests[request].ticket = Some(key);
            }
            Err(_) => {
                self.outcome.refused += 1;
                self.end_attempt(request);
            }
        }
        self.pump(now, engine);
    }

    fn choose(&mut self, now: Duration, gateway: usize, adapter: &AdapterVersion) -> Option<usize> {
        if let Some(chooser) = &self.chooser {
            let candidates: Vec<Candidate> = self
                .engines
                .iter()
                .enumerate()
                .filter(|(_, engine)| engine.reachable)
                .map(|(index, engine)| Candidate {
                    engine: index,
                    load: engine.queue.running() + engine.queue.waiting(),
                    waiting: engine.queue.waiting(),
                    holds: engine.queue.slots().iter().any(|slot| slot.adapter == *adapter),
                    coldest: engine.queue.coldest(now),
                })
                .collect();
            return chooser.choose(adapter, &candidates);
        }
        let gateway = &mut self.gateways[gateway];
        gateway.demand.add(adapter, now);
        let mut tried = Vec::new();
        loop {
            let key = match gateway.router.route(adapter, &tried, now) {
                Route::Hit(key) | Route::Load(key) => key,
                Route::None => return None,
            };
            let engine = gateway.keys.iter().position(|known| *known == key)?;
            if self.engines[engine].reachable {
                return Some(engine);
            }
            gateway.router.on_finished(key);
            gateway.router.on_failed(key, now);
            tried.push(key);
        }
    }

    fn end_attempt(&mut self, request: usize) {
        let Request { gateway, engine, .. } = self.requests[request];
        let gateway = &mut self.gateways[gateway];
        gateway.router.on_finished(gateway.keys[engine]);
    }

    fn pump(&mut self, now: Duration, engine: usize) {
        self.account(now, engine);
        loop {
            match self.engines[engine].queue.next(now) {
                Next::Start(key) => self.start(now, engine, key),
                Next::Load(adapter) => self.load(now, engine, adapter),
                Next::Evict(adapter) => self.engines[engine].queue.on_evicted(&adapter, true),
                Next::Refuse(key, _) => {
                    self.outcome.refused += 1;
                    if let Some(request) = self.engines[engine].tickets.remove(&key) {
                        self.end_attempt(request);
                    }
                }
                Next::Wait(None) => return,
                Next::Wait(Some(at)) => {
                    self.push(at.max(now + Duration::from_millis(1)), Due::Wake { engine });
                    return;
                }
            }
        }
    }

    fn start(&mut self, now: Duration, engine: usize, key: TicketKey) {
        let Some(request) = self.engines[engine].tickets.get(&key).copied() else {
            return;
        };
        let Request { tokens, arrived, gateway, .. } = self.requests[request];
        let waited = now.saturating_sub(arrived).as_millis() as u64;
        self.waits.saturating_record(waited);
        let takes = Duration::from_millis(self.trace.spec.token_ms) * tokens;
        self.push(now + takes, Due::Finished { engine, request });
        // The head of an answer carries the owner's word.
        self.report(now, gateway, engine);
    }

    fn load(&mut self, now: Duration, engine: usize, adapter: AdapterVersion) {
        self.outcome.loads += 1;
        let takes = self.store.start(now);
        let generation = self.engines[engine].generation;
        self.loads.push(Load { engine, generation, adapter, started: now });
        self.push(now + takes, Due::Loaded { engine, load: self.loads.len() - 1 });
    }

    fn on_loaded(&mut self, now: Duration, engine: usize, load: usize) {
        self.store.end();
        let load = &self.loads[load];
        if load.generation == self.engines[load.engine].generation {
            let took = now.saturating_sub(load.started);
            let adapter = load.adapter.clone();
            self.engines[engine].queue.on_loaded(&adapter, Some(took), now);
            self.pump(now, engine);
        }
    }

    fn on_finished(&mut self, now: Duration, engine: usize, request: usize) {
        let Some(key) = self.requests[request].ticket.take() else {
            return;
        };
        self.account(now, engine);
        self.engines[engine].tickets.remove(&key);
        self.engines[engine].queue.on_finished(key);
        self.end_attempt(request);
        let Request { worth, deadline, .. } = self.requests[request];
        match now <= deadline {
            true => self.worth_in_time += u64::from(worth),
            false => self.outcome.late += 1,
        }
        self.pump(now, engine);
    }

    /// Empties an engine; what it ran or queued is tried again elsewhere, as gateways do.
    fn restart(&mut self, now: Duration, engine: usize) {
        self.account(now, engine);
        let tickets: Vec<(TicketKey, usize)> = self.engines[engine].tickets.drain().collect();
        let mut broken = Vec::new();
        for (key, request) in tickets {
            self.engines[engine].queue.on_finished(key);
            self.requests[request].ticket = None;
            self.end_attempt(request);
            broken.push(request);
        }
        let target = &mut self.engines[engine];
        target.generation += 1;
        let slots: Vec<AdapterVersion> =
            target.queue.slots().iter().map(|slot| slot.adapter.clone()).collect();
        for adapter in slots {
            target.queue.on_evicted(&adapter, true);
        }
        broken.sort_unstable();
        for request in broken {
            let ticket = self.requests[request].order.clone();
            self.submit(now, request, ticket);
        }
    }

    fn report(&mut self, now: Duration, gateway: usize, engine: usize) {
        if !self.engines[engine].reachable {
            return;
        }
        let view = self.view(engine, gateway, now);
        let gateway = &mut self.gateways[gateway];
        gateway.router.report(gateway.keys[engine], view);
    }

    fn view(&self, engine: usize, gateway: usize, now: Duration) -> EngineView {
        let queue = &self.engines[engine].queue;
        let held = queue.slots().iter().filter(|slot| slot.state != SlotState::Evicting);
        EngineView {
            host: Name::new(&format!("engine-{engine}")).ok(),
            same_zone: engine % 4 == gateway % 4,
            open: true,
            load: (queue.running() + queue.waiting()) as u32,
            batch: self.trace.spec.batch as u32,
            coldest: queue.coldest(now),
            loaded: held.map(|slot| adapter_hash(&slot.adapter)).collect(),
        }
    }

    /// Adds up how full the batch was since it was last looked at.
    fn account(&mut self, now: Duration, engine: usize) {
        let batch = self.trace.spec.batch as f64;
        let engine = &mut self.engines[engine];
        let time = now.saturating_sub(engine.seen_at);
        engine.seen_at = now;
        if engine.queue.running() > 0 {
            engine.busy += time;
            engine.filled += time.as_secs_f64() * engine.queue.running() as f64 / batch;
        }
    }

    fn finish(self) -> Outcome {
        let stalls: u64 = self.engines.iter().map(|engine| engine.queue.stalls()).sum();
        let busy: f64 = self.engines.iter().map(|engine| engine.busy.as_secs_f64()).sum();
        let filled: f64 = self.engines.iter().map(|engine| engine.filled).sum();
        Outcome {
            stall_share: stalls as f64 / self.outcome.requests.max(1) as f64,
            wait_p95_ms: self.waits.value_at_quantile(0.95),
            batch_efficiency: filled / busy.max(f64::MIN_POSITIVE),
            worth_share: self.worth_in_time as f64 / self.worth_all.max(1) as f64,
            ..self.outcome
        }
    }
}

fn limits(trace: &Trace) -> QueueLimits {
    QueueLimits {
        slots: trace.spec.slots,
        batch: trace.spec.batch,
        waiting: WAITING_MAX,
        loads: LOADS_MAX,
        load_time: Duration::from_millis(trace.spec.load_ms),
    }
}

fn future(trace: &Trace) -> std::rc::Rc<Future> {
    Future::new(trace.events.iter().filter_map(|event| match &event.kind {
        EventKind::Request { adapter, .. } => {
            Some((Duration::from_millis(event.at_ms), adapter.clone()))
        }
        _ => None,
    }))
}
