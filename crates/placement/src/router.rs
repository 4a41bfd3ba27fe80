//! The choice of an engine for a request.
//!
//! A router keeps the last report of each engine's owner and adds the requests that
//! it has sent since. It sends a request to an engine that has the adapter loaded
//! and is not overloaded. If there is none, the router considers the first engines
//! in the adapter's rendezvous order and chooses the one with the lowest eviction
//! cost. Every gateway computes the same order, so concurrent requests for an
//! adapter that is not loaded reach the same engine, which loads the adapter once.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name, content_hash, rendezvous_score};
use slotmap::{SlotMap, new_key_type};

use crate::policy::Policy;

/// The time for which an engine is tried last after a failed request.
const SUSPECT_DURATION: Duration = Duration::from_secs(2);
/// The time for which a placement counts as a loaded adapter, until the owner reports the load.
const PLACEMENT_TTL: Duration = Duration::from_millis(1_500);
const PLACEMENTS_MAX: usize = 16_384;

new_key_type! {
    /// Identifies an engine in a router.
    pub struct EngineKey;
}

/// Returns the short hash that identifies an adapter in the owners' reports.
pub fn adapter_hash(adapter: &AdapterVersion) -> u32 {
    content_hash(adapter.to_string().as_bytes()) as u32
}

/// The state of one engine as the router knows it.
#[derive(Clone, Debug, Default)]
pub struct EngineView {
    /// The backend server's name.
    pub host: Option<Name>,
    /// Whether the engine is in the router's availability zone.
    pub same_zone: bool,
    /// Whether the engine has an owner and accepts new requests.
    pub is_accepting: bool,
    /// The number of running and waiting requests in the last report.
    pub load: u32,
    /// The batch size, in requests.
    pub batch: u32,
    /// The demand for the adapter that would be evicted next, in requests per second.
    pub coldest_demand: f64,
    /// The short hashes of the loaded adapters; see [`adapter_hash`].
    pub loaded: BTreeSet<u32>,
}

struct Engine {
    view: EngineView,
    sent: u32,
    suspect_until: Duration,
}

impl Engine {
    fn load(&self) -> f64 {
        f64::from(self.view.load) + f64::from(self.sent)
    }
}

#[derive(Clone, Copy)]
struct Placement {
    engine: EngineKey,
    expires_at: Duration,
}

/// The engine chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// An engine that has the adapter loaded, according to its last report.
    Loaded(EngineKey),
    /// An engine that must load the adapter first.
    Load(EngineKey),
    /// No engine accepts requests.
    Unavailable,
}

/// Chooses engines for the requests of one gateway.
pub struct Router {
    policy: Policy,
    engines: SlotMap<EngineKey, Engine>,
    placements: HashMap<u32, Placement>,
}

impl Router {
    /// Creates a router without engines.
    pub fn new(policy: Policy) -> Self {
        Router { policy, engines: SlotMap::with_key(), placements: HashMap::new() }
    }

    /// Adds an engine.
    pub fn insert(&mut self, view: EngineView) -> EngineKey {
        self.engines.insert(Engine { view, sent: 0, suspect_until: Duration::ZERO })
    }

    /// Removes an engine.
    pub fn remove(&mut self, key: EngineKey) {
        self.engines.remove(key);
    }

    /// Replaces the state of an engine by a new report from its owner.
    pub fn update(&mut self, key: EngineKey, view: EngineView) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.view = view;
            engine.sent = 0;
        }
    }

    /// Sets whether an engine accepts new requests.
    pub fn set_accepting(&mut self, key: EngineKey, accepting: bool) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.view.is_accepting = accepting;
        }
    }

    /// Returns the last known state of an engine.
    pub fn engine_view(&self, key: EngineKey) -> Option<&EngineView> {
        self.engines.get(key).map(|engine| &engine.view)
    }

    /// Iterates over the keys of the engines.
    pub fn keys(&self) -> impl Iterator<Item = EngineKey> {
        self.engines.keys()
    }

    /// Chooses an engine for a request, except those in `tried`.
    pub fn route(&mut self, adapter: &AdapterVersion, tried: &[EngineKey], now: Duration) -> Route {
        let hash = adapter_hash(adapter);
        let order = self.rendezvous_order(adapter, tried, now);
        let replicas: Vec<EngineKey> =
            order.iter().copied().filter(|key| self.has_adapter(*key, hash, now)).collect();
        if let Some(key) = self.least_loaded(&replicas) {
            if !self.is_overloaded(key) {
                return self.record_sent(key, Route::Loaded(key));
            }
            return match self.find_replica_target(key, &order, &replicas) {
                Some(other) => self.place(hash, other, now),
                None => self.record_sent(key, Route::Loaded(key)),
            };
        }
        match self.find_load_target(&order) {
            Some(key) => self.place(hash, key, now),
            None => Route::Unavailable,
        }
    }

    /// Records that a request sent to an engine has finished.
    pub fn on_request_finished(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.sent = engine.sent.saturating_sub(1);
        }
    }

    /// Marks an engine as suspect after a failed request: it is tried last for 2 seconds.
    pub fn on_request_failed(&mut self, key: EngineKey, now: Duration) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.suspect_until = now + SUSPECT_DURATION;
        }
        self.placements.retain(|_, placement| placement.engine != key);
    }

    /// Returns the engines that accept requests in rendezvous order, suspect engines last.
    fn rendezvous_order(
        &self,
        adapter: &AdapterVersion,
        tried: &[EngineKey],
        now: Duration,
    ) -> Vec<EngineKey> {
        let name = adapter.to_string();
        let accepting =
            self.engines.iter().filter(|(key, e)| e.view.is_accepting && !tried.contains(key));
        let mut scored: Vec<(bool, u64, EngineKey)> = accepting
            .map(|(key, engine)| {
                let host = engine.view.host.as_ref().map_or("", Name::as_str);
                (engine.suspect_until > now, rendezvous_score(&name, host), key)
            })
            .collect();
        scored.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        scored.into_iter().map(|(_, _, key)| key).collect()
    }

    fn has_adapter(&self, key: EngineKey, hash: u32, now: Duration) -> bool {
        let placed =
            self.placements.get(&hash).is_some_and(|p| p.engine == key && p.expires_at > now);
        placed || self.engines.get(key).is_some_and(|engine| engine.view.loaded.contains(&hash))
    }

    fn cost(&self, key: EngineKey) -> f64 {
        let Some(engine) = self.engines.get(key) else {
            return f64::INFINITY;
        };
        engine.load() + if engine.view.same_zone { 0.0 } else { self.policy.zone_cost }
    }

    fn least_loaded(&self, keys: &[EngineKey]) -> Option<EngineKey> {
        keys.iter().copied().min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)))
    }

    fn is_overloaded(&self, key: EngineKey) -> bool {
        self.engines.get(key).is_some_and(|engine| {
            engine.load() >= f64::from(engine.view.batch) * self.policy.replicate_load
        })
    }

    /// Returns an engine for another replica: its cost is at most half that of `overloaded`.
    fn find_replica_target(
        &self,
        overloaded: EngineKey,
        order: &[EngineKey],
        replicas: &[EngineKey],
    ) -> Option<EngineKey> {
        let others: Vec<EngineKey> = order
            .iter()
            .copied()
            .filter(|key| !replicas.contains(key))
            .take(self.policy.choices)
            .collect();
        let other = self.least_loaded(&others)?;
        (self.cost(other) <= self.cost(overloaded) / 2.0).then_some(other)
    }

    /// Returns the engine with the lowest eviction cost among those that are not overloaded.
    ///
    /// Costs are rounded down to steps, and rendezvous order breaks ties. So gateways with reports
    /// of different ages choose the same engine, and an adapter returns to an engine that has
    /// recorded its demand.
    fn find_load_target(&self, order: &[EngineKey]) -> Option<EngineKey> {
        let available = order.iter().copied().filter(|key| !self.is_overloaded(*key));
        let mut choices: Vec<EngineKey> = available.take(self.policy.choices).collect();
        if choices.is_empty() {
            choices = order.iter().copied().take(self.policy.choices).collect();
        }
        choices.into_iter().min_by_key(|key| self.eviction_cost(*key))
    }

    /// Returns the requests per demand half-life that the next eviction displaces, in steps of
    /// [`Policy::cost_step`].
    fn eviction_cost(&self, key: EngineKey) -> u64 {
        let coldest_demand =
            self.engines.get(key).map_or(f64::INFINITY, |engine| engine.view.coldest_demand);
        let per_half_life = self.policy.demand_half_life().as_secs_f64() / std::f64::consts::LN_2;
        (coldest_demand * per_half_life / self.policy.cost_step).floor().min(1e9) as u64
    }

    fn place(&mut self, hash: u32, key: EngineKey, now: Duration) -> Route {
        if self.placements.len() >= PLACEMENTS_MAX {
            self.placements.retain(|_, placement| placement.expires_at > now);
        }
        let expires_at = now + PLACEMENT_TTL;
        self.placements.insert(hash, Placement { engine: key, expires_at });
        self.record_sent(key, Route::Load(key))
    }

    fn record_sent(&mut self, key: EngineKey, route: Route) -> Route {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.sent += 1;
        }
        route
    }
}
