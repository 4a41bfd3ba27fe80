//! The choice of an engine for a request.
//!
//! A router holds what the owners last said of their engines, corrected by the
//! requests that it sent since. A request goes to an engine that holds its
//! adapter while one has room; else to the one of the first few engines in the
//! adapter's rendezvous order whose next eviction costs least. Every gateway
//! computes the same order, so requests for a waking adapter meet at one engine.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use guavaspread_model::{AdapterVersion, Name, content_hash, rendezvous_score};
use slotmap::{SlotMap, new_key_type};

use crate::policy::Policy;

/// How long an engine that failed a request is tried last.
const SUSPECT_FOR: Duration = Duration::from_secs(2);
/// How long a placement is kept while the owner's word on it is still under way.
const PLACEMENT_KEPT_FOR: Duration = Duration::from_millis(1_500);
const PLACEMENTS_MAX: usize = 16_384;

new_key_type! {
    /// Identifies an engine in a router.
    pub struct EngineKey;
}

/// Returns the short hash by which owners list what they hold.
pub fn adapter_hash(adapter: &AdapterVersion) -> u32 {
    content_hash(adapter.to_string().as_bytes()) as u32
}

/// Describes one engine to the router.
#[derive(Clone, Debug, Default)]
pub struct EngineView {
    /// The backend server's name.
    pub host: Option<Name>,
    /// Whether it stands in the router's own availability zone.
    pub same_zone: bool,
    /// Whether it takes new work and has an owner.
    pub open: bool,
    /// Requests that run or wait, as last reported.
    pub load: u32,
    /// Requests that its batch holds.
    pub batch: u32,
    /// The demand of the adapter that would be evicted next, in requests a second.
    pub coldest: f64,
    /// Short hashes of the adapters that it holds.
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
    until: Duration,
}

/// Answers where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To an engine that holds the adapter, as far as is known.
    Hit(EngineKey),
    /// To an engine that has to load it.
    Load(EngineKey),
    /// No engine takes work.
    None,
}

/// Chooses engines for one gateway.
pub struct Router {
    policy: Policy,
    engines: SlotMap<EngineKey, Engine>,
    placements: HashMap<u32, Placement>,
}

impl Router {
    /// Makes a router that knows no engine.
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

    /// Takes over what an owner newly said of its engine.
    pub fn report(&mut self, key: EngineKey, view: EngineView) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.view = view;
            engine.sent = 0;
        }
    }

    /// Opens or closes an engine to new work.
    pub fn set_open(&mut self, key: EngineKey, open: bool) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.view.open = open;
        }
    }

    /// Returns what is known of an engine.
    pub fn view(&self, key: EngineKey) -> Option<&EngineView> {
        self.engines.get(key).map(|engine| &engine.view)
    }

    /// Lists the engines.
    pub fn keys(&self) -> impl Iterator<Item = EngineKey> {
        self.engines.keys()
    }

    /// Chooses an engine, leaving out those tried before.
    pub fn route(&mut self, adapter: &AdapterVersion, tried: &[EngineKey], now: Duration) -> Route {
        let hash = adapter_hash(adapter);
        let order = self.rendezvous_order(adapter, tried, now);
        let holders: Vec<EngineKey> =
            order.iter().copied().filter(|key| self.holds(*key, hash, now)).collect();
        if let Some(key) = self.least_loaded(&holders) {
            if !self.is_crowded(key) {
                return self.sent(key, Route::Hit(key));
            }
            return match self.relief(key, &order, &holders) {
                Some(other) => self.place(hash, other, now),
                None => self.sent(key, Route::Hit(key)),
            };
        }
        match self.cheapest(&order) {
            Some(key) => self.place(hash, key, now),
            None => Route::None,
        }
    }

    /// Reports that a request sent to an engine has ended.
    pub fn on_finished(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.sent = engine.sent.saturating_sub(1);
        }
    }

    /// Reports that an engine failed a request; it is tried last for a while.
    pub fn on_failed(&mut self, key: EngineKey, now: Duration) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.suspect_until = now + SUSPECT_FOR;
        }
        self.placements.retain(|_, placement| placement.engine != key);
    }

    /// Lists the open engines in the adapter's rendezvous order, suspects last.
    fn rendezvous_order(
        &self,
        adapter: &AdapterVersion,
        tried: &[EngineKey],
        now: Duration,
    ) -> Vec<EngineKey> {
        let name = adapter.to_string();
        let open = self.engines.iter().filter(|(key, e)| e.view.open && !tried.contains(key));
        let mut scored: Vec<(bool, u64, EngineKey)> = open
            .map(|(key, engine)| {
                let host = engine.view.host.as_ref().map_or("", Name::as_str);
                (engine.suspect_until > now, rendezvous_score(&name, host), key)
            })
            .collect();
        scored.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        scored.into_iter().map(|(_, _, key)| key).collect()
    }

    fn holds(&self, key: EngineKey, hash: u32, now: Duration) -> bool {
        let placed = self.placements.get(&hash).is_some_and(|p| p.engine == key && p.until > now);
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

    fn is_crowded(&self, key: EngineKey) -> bool {
        self.engines.get(key).is_some_and(|engine| {
            engine.load() >= f64::from(engine.view.batch) * self.policy.replicate_load
        })
    }

    /// Finds an engine worth another replica: at most half as loaded as the crowded one.
    fn relief(
        &self,
        crowded: EngineKey,
        order: &[EngineKey],
        holders: &[EngineKey],
    ) -> Option<EngineKey> {
        let others: Vec<EngineKey> = order
            .iter()
            .copied()
            .filter(|key| !holders.contains(key))
            .take(self.policy.choices)
            .collect();
        let other = self.least_loaded(&others)?;
        (self.cost(other) <= self.cost(crowded) / 2.0).then_some(other)
    }

    /// Finds the engine with room whose next eviction costs least; of those that cost about as
    /// little, the first in the adapter's rendezvous order, so that gateways that know of
    /// different moments agree, and an adapter comes back to where its demand is known.
    fn cheapest(&self, order: &[EngineKey]) -> Option<EngineKey> {
        let roomy = order.iter().copied().filter(|key| !self.is_crowded(*key));
        let mut choices: Vec<EngineKey> = roomy.take(self.policy.choices).collect();
        if choices.is_empty() {
            choices = order.iter().copied().take(self.policy.choices).collect();
        }
        choices.into_iter().min_by_key(|key| self.eviction_cost(*key))
    }

    /// Returns the requests of one half-life that the next eviction would displace, in steps.
    fn eviction_cost(&self, key: EngineKey) -> u64 {
        let coldest = self.engines.get(key).map_or(f64::INFINITY, |engine| engine.view.coldest);
        let per_half_life = self.policy.demand_half_life().as_secs_f64() / std::f64::consts::LN_2;
        (coldest * per_half_life / self.policy.cost_step).floor().min(1e9) as u64
    }

    fn place(&mut self, hash: u32, key: EngineKey, now: Duration) -> Route {
        if self.placements.len() >= PLACEMENTS_MAX {
            self.placements.retain(|_, placement| placement.until > now);
        }
        let until = now + PLACEMENT_KEPT_FOR;
        self.placements.insert(hash, Placement { engine: key, until });
        self.sent(key, Route::Load(key))
    }

    fn sent(&mut self, key: EngineKey, route: Route) -> Route {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.sent += 1;
        }
        route
    }
}
