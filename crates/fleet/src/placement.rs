//! Selection of a backend server for a request.
//!
//! Most requests are for a few very popular adapters; the others are rare. Each adapter ranks the engines by
//! rendezvous hashing, with the same result on every entry host, and uses as many of the first
//! engines as its share of the requests needs. Requests for a rare adapter therefore reach one
//! engine, where the adapter is still loaded; popular adapters spread over several.
//!
//! Engines come and go, and all fetch from one weight store. An engine that already holds the
//! adapter is preferred to one that has to fetch it, unless it is far more loaded. An adapter that
//! moved when its engine was lost therefore stays where it is when that engine returns.
//!
//! Where servers state how long work takes on them at the moment, their load counts in that time.
//!
//! Services without models are placed by load, with a preference for the entry host's own zone. Where
//! their servers state their pace, requests leave the zone only when that pays.

mod brittle;
mod candidate;
mod pace;
mod plain;
mod zone_choice;

use std::cell::Cell;

use guavaspread_model::rendezvous_score;
use guavaspread_placement::{Demand, DemandMap};
use slotmap::{SlotMap, new_key_type};

pub use self::brittle::RejectionNotice;
use self::candidate::Candidate;
pub use self::candidate::LoadReport;
pub use self::zone_choice::{ZoneChoice, choose_zone, leaving_share};
use crate::notices::{Availability, ServerNotice, ServerNotices};
use crate::prelude::*;
use crate::rate_limit::RateLimits;
use crate::server_list::{AdapterId, Server};

/// Cost of fetching the adapter, as a fraction of the engine's slots.
const FETCH_COST: f64 = 0.4;
/// What a crossing to another zone costs unless it is set, in times of a usual request: 6 ms of 30, two
/// ways of 1.4 ms and as much again for the bytes.
const ZONE_CROSSING_COST: f64 = 0.2;
/// Half-life of an adapter's demand; popularity shifts within seconds.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
const DEMAND_ENTRIES_MAX: usize = 8_192;
/// Factor between an adapter's share of the requests and the share of the engines that it uses.
const REPLICA_FACTOR: f64 = 1.4;

/// Factor above the mean number of requests beyond which an engine is overloaded and its popular
/// adapters get one more engine.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Requests added to the overload threshold. Without them, an idle fleet would spread its adapters.
const OVERLOAD_MARGIN: f64 = 3.0;
/// Recent requests on this host from which loading an adapter on another engine is worthwhile.
const POPULAR_DEMAND_MIN: f64 = 2.5;

/// Tokens from which the prefill of a prompt takes longer than an adapter load.
const LONG_PROMPT_TOKENS_MIN: u32 = 4_096;
/// Additional engines of the adapter's ranking that a long prompt may use.
const LONG_PROMPT_EXTRA_ENGINES: usize = 3;
/// Load of the adapter's first engine, as a fraction of its slots, above which a long prompt may
/// use the additional engines.
const LONG_PROMPT_LOAD_MIN: f64 = 0.6;

new_key_type! {
    /// Identifies a server in a placement.
    pub struct PlacementKey;
}

/// The servers among which one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ServerFilter<'a> {
    /// The service that the servers provide.
    pub service: &'a str,
    /// The version of the software that they run; any if `None`.
    pub software: Option<&'a str>,
}

impl<'a> From<&'a str> for ServerFilter<'a> {
    /// Returns the filter for all servers of a service.
    fn from(service: &'a str) -> Self {
        ServerFilter { service, software: None }
    }
}

impl ServerFilter<'_> {
    fn accepts(&self, server: &Server) -> bool {
        &*server.service == self.service
            && self.software.is_none_or(|software| server.runs(software))
    }
}

/// The result of choosing a server for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// The chosen server.
    Server(PlacementKey, Arc<Server>),
    /// No server of the service accepts requests; holds the time at which the first busy one
    /// does again.
    Unavailable(Option<Duration>),
}

/// Chooses servers for one entry host.
#[derive(Debug)]
pub struct Placement {
    zone: Arc<str>,
    candidates: SlotMap<PlacementKey, Candidate>,
    by_id: HashMap<Arc<str>, PlacementKey>,
    notices: ServerNotices,
    rate_limits: RateLimits,
    demand: DemandMap<AdapterId>,
    total_demand: Demand,
    rotation: Cell<usize>,
    zone_crossing_cost: f64,
    draw_seed: u64,
    host_count: usize,
    left_zone: Cell<u64>,
}

impl Placement {
    /// Creates a placement without servers for an entry host in `zone`.
    pub fn new(zone: Arc<str>) -> Self {
        Placement {
            zone,
            candidates: SlotMap::with_key(),
            by_id: HashMap::new(),
            notices: ServerNotices::default(),
            rate_limits: RateLimits::default(),
            demand: DemandMap::new(DEMAND_HALF_LIFE, DEMAND_ENTRIES_MAX),
            total_demand: Demand::default(),
            rotation: Cell::new(0),
            zone_crossing_cost: ZONE_CROSSING_COST,
            draw_seed: 0,
            host_count: 1,
            left_zone: Cell::new(0),
        }
    }

    /// Adds a server or updates its row.
    pub fn upsert(&mut self, server: Arc<Server>) {
        let known = self.by_id.get(&server.id).and_then(|key| self.candidates.get_mut(*key));
        if let Some(candidate) = known {
            candidate.update(server);
            return;
        }
        let id = server.id.clone();
        let key = self.candidates.insert(Candidate::new(server));
        self.by_id.insert(id, key);
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            self.candidates.remove(key);
        }
    }

    /// Records the notice in a server's response; returns whether it changes the server's
    /// availability.
    pub fn on_server_notice(
        &mut self,
        server: &Server,
        notice: ServerNotice,
        now: Duration,
    ) -> bool {
        self.notices.on_response(server, notice, now)
    }

    /// Returns the rate limits of the servers.
    pub fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Returns the rate limits of the servers for changes.
    pub fn rate_limits_mut(&mut self) -> &mut RateLimits {
        &mut self.rate_limits
    }

    /// Lists the servers of a service that have no permits for requests of this priority, each with
    /// the time until which it has none.
    pub fn without_permits(
        &self,
        service: &str,
        priority: u8,
        now: Duration,
    ) -> Vec<(Arc<str>, Duration)> {
        if self.rate_limits.is_empty() {
            return Vec::new();
        }
        let servers = self.candidates.values().map(|c| &c.server);
        let servers = servers.filter(|server| {
            &*server.service == service && self.availability(server, now) == Availability::Available
        });
        let denied_until = |server: &Arc<Server>| {
            let until = self.rate_limits.denied_until(server, priority, now)?;
            Some((server.id.clone(), until))
        };
        servers.filter_map(denied_until).collect()
    }

    /// Returns whether a service has an available server besides those already tried.
    pub fn has_untried_server<'a>(
        &self,
        servers: impl Into<ServerFilter<'a>>,
        tried: &[Arc<str>],
        now: Duration,
    ) -> bool {
        !self.available(servers.into(), tried, now).is_empty()
    }

    /// Returns whether a server accepts requests from this host.
    pub fn availability(&self, server: &Server, now: Duration) -> Availability {
        match server.is_ready() {
            true => self.notices.availability(server, now),
            false => Availability::Draining,
        }
    }

    /// Returns whether any server accepts requests from this host, now or when it is no longer busy.
    pub fn has_available_server(&self, now: Duration) -> bool {
        self.candidates
            .values()
            .any(|c| self.availability(&c.server, now) != Availability::Draining)
    }

    /// Counts a request for an adapter.
    pub fn record_demand(&mut self, adapter: &AdapterId, now: Duration) {
        self.demand.add(adapter, now);
        self.total_demand.add(now, DEMAND_HALF_LIFE, 1.0);
    }

    /// Chooses an engine for a request to a base model.
    pub fn pick_for_model<'a>(
        &self,
        servers: impl Into<ServerFilter<'a>>,
        model: &str,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Pick {
        let servers = servers.into();
        let available = self.available(servers, tried, now);
        let holders =
            available.iter().copied().filter(|key| self.has_model(*key, model)).collect::<Vec<_>>();
        let available = if holders.is_empty() { available } else { holders };
        self.cheapest(available, |c| c.cost(now), servers, now)
    }

    /// Chooses an engine for a request to an adapter with a prompt of `tokens`.
    ///
    /// `is_known_holder` returns whether an engine holds the adapter although its row does not show
    /// it yet.
    pub fn pick_for_adapter<'a>(
        &self,
        servers: impl Into<ServerFilter<'a>>,
        adapter: &AdapterId,
        tokens: u32,
        tried: &[Arc<str>],
        is_known_holder: &dyn Fn(&Server) -> bool,
        now: Duration,
    ) -> Pick {
        let servers = servers.into();
        let mut available = self.ranked_keys(servers, adapter, tried, now);
        let is_holder = |c: &Candidate| c.server.has_adapter(adapter) || is_known_holder(&c.server);
        // A load on a rate-limited engine would serve few requests, and the others need the
        // adapter elsewhere anyway.
        let is_worth_loading = |c: &Candidate| !self.rate_limits.is_confirmed(&c.server, now);
        self.retain_if_any(&mut available, |c| is_worth_loading(c) || is_holder(c));
        let holders: Vec<PlacementKey> = available
            .iter()
            .copied()
            .filter(|key| self.candidates.get(*key).is_some_and(is_holder))
            .collect();
        let mut count = self.replica_count(&available, adapter, now);
        // Another engine has to prefill the prefix that this engine has cached, so a move costs
        // time.
        let first = available.first().and_then(|key| self.candidates.get(*key));
        let is_busy = first.is_some_and(|c| c.load(now) > LONG_PROMPT_LOAD_MIN);
        if tokens >= LONG_PROMPT_TOKENS_MIN && is_busy {
            count += LONG_PROMPT_EXTRA_ENGINES;
        }
        available.truncate(count);
        available.extend(
            holders.iter().filter(|key| !available.contains(key)).copied().collect::<Vec<_>>(),
        );
        let holder_ids: Vec<Arc<str>> = holders
            .iter()
            .filter_map(|key| Some(self.candidates.get(*key)?.server.id.clone()))
            .collect();
        let cost = |c: &Candidate| {
            c.cost(now) + if holder_ids.contains(&c.server.id) { 0.0 } else { FETCH_COST }
        };
        self.cheapest(available, cost, servers, now)
    }

    /// Returns the engines that accept requests and have no rate limit, in the adapter's rendezvous
    /// order.
    pub fn ranked_engines<'a>(
        &self,
        servers: impl Into<ServerFilter<'a>>,
        adapter: &AdapterId,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Vec<(PlacementKey, Arc<Server>)> {
        let mut keys = self.ranked_keys(servers.into(), adapter, tried, now);
        keys.retain(|key| {
            let candidate = self.candidates.get(*key);
            candidate.is_some_and(|c| !self.rate_limits.is_confirmed(&c.server, now))
        });
        let keys = keys.into_iter();
        keys.filter_map(|key| Some((key, self.candidates.get(key)?.server.clone()))).collect()
    }

    fn ranked_keys(
        &self,
        servers: ServerFilter<'_>,
        adapter: &AdapterId,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Vec<PlacementKey> {
        let mut available = self.available(servers, tried, now);
        let with_model: Vec<_> =
            available.iter().copied().filter(|key| self.has_model(*key, &adapter.model)).collect();
        if !with_model.is_empty() {
            available = with_model;
        }
        let name = format!("{}/{}", adapter.model, adapter.adapter);
        let score = |key: &PlacementKey| {
            self.candidates.get(*key).map_or(0, |c| rendezvous_score(&name, &c.server.id))
        };
        available.sort_by_cached_key(|key| std::cmp::Reverse(score(key)));
        available
    }

    /// Records that a request was sent to a server.
    pub fn on_request_sent(&mut self, key: PlacementKey) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.on_request_sent();
            self.rate_limits.on_sent(&candidate.server);
        }
    }

    /// Returns the number of this host's requests in flight at a server; 0 if it was removed.
    pub fn in_flight(&self, key: PlacementKey) -> u32 {
        self.candidates.get(key).map_or(0, |candidate| candidate.in_flight)
    }

    /// Returns whether requests of this host are in flight at a service's servers.
    pub fn has_in_flight(&self, service: &str) -> bool {
        self.candidates.values().any(|c| c.in_flight > 0 && &*c.server.service == service)
    }

    /// Records that a request sent to a server has ended.
    pub fn on_request_ended(&mut self, key: PlacementKey) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
    }

    /// Records a server's load report.
    pub fn on_load_report(&mut self, key: PlacementKey, report: LoadReport, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.on_load_report(report, now);
        }
    }

    /// Records a figure of how long work takes on a server at this moment; 1 is the usual.
    pub fn on_pace(&mut self, key: PlacementKey, figure: f64, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.on_pace(figure, now);
        }
    }

    /// Records that a server failed a request.
    pub fn on_request_failed(&mut self, key: PlacementKey, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.on_request_failed(now);
        }
    }

    /// Records that a server could not be reached.
    pub fn on_unreachable(&mut self, key: PlacementKey, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.on_unreachable(now);
        }
    }

    /// Discards the connection failures of a service's servers: this host was cut off from all.
    pub fn clear_unreachable(&mut self, service: &str) {
        let candidates = self.candidates.values_mut();
        candidates.filter(|c| &*c.server.service == service).for_each(Candidate::clear_unreachable);
    }

    /// Returns how many of the ranked engines share the adapter's requests.
    ///
    /// The number follows the adapter's share of all requests and grows while these engines are
    /// overloaded.
    fn replica_count(&self, engines: &[PlacementKey], adapter: &AdapterId, now: Duration) -> usize {
        let total_demand = self.total_demand.count(now, DEMAND_HALF_LIFE).max(1.0);
        let count = self.demand.count(adapter, now);
        // A single request says nothing about the adapter's share.
        let share = (count - 1.0).max(0.0) / total_demand;
        let replicas = (share * REPLICA_FACTOR * engines.len() as f64).round() as usize;
        let replicas = replicas.clamp(1, engines.len().max(1));
        let candidates: Vec<&Candidate> =
            engines.iter().filter_map(|key| self.candidates.get(*key)).collect();
        let requests = candidates.iter().map(|candidate| candidate.requests(now));
        let mean = requests.sum::<f64>() / candidates.len().max(1) as f64;
        let overload_threshold = mean * OVERLOAD_FACTOR + OVERLOAD_MARGIN;
        let is_overloaded = |candidate: &&Candidate| {
            let requests = candidate.requests(now);
            let is_full = requests >= f64::from(candidate.server.slots);
            is_full || (count >= POPULAR_DEMAND_MIN && requests > overload_threshold)
        };
        let spare = candidates.iter().skip(replicas - 1).position(|c| !is_overloaded(c));
        let all_overloaded = candidates.iter().take(replicas).all(is_overloaded);
        if all_overloaded { replicas + spare.unwrap_or(0) } else { replicas }
    }

    /// Retains the servers that meet the condition, unless there are none.
    fn retain_if_any(&self, keys: &mut Vec<PlacementKey>, condition: impl Fn(&Candidate) -> bool) {
        let retained: Vec<PlacementKey> = keys
            .iter()
            .copied()
            .filter(|key| self.candidates.get(*key).is_some_and(&condition))
            .collect();
        if !retained.is_empty() {
            *keys = retained;
        }
    }

    fn has_model(&self, key: PlacementKey, model: &str) -> bool {
        let models = self.candidates.get(key).map(|c| &c.server.models);
        models.is_some_and(|models| models.iter().any(|loaded| &*loaded.name == model))
    }

    /// Lists the servers that accept requests; unreachable ones only if there are no others, brittle
    /// ones only if they have room.
    fn available(
        &self,
        servers: ServerFilter<'_>,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Vec<PlacementKey> {
        let unheard = self.rejection_limit(servers, now);
        let available: Vec<PlacementKey> = self
            .candidates
            .iter()
            .filter(|(_, c)| servers.accepts(&c.server))
            .filter(|(_, c)| self.availability(&c.server, now) == Availability::Available)
            .filter(|(_, c)| !tried.contains(&c.server.id))
            .filter(|(_, c)| self.has_room(c, unheard, now))
            .map(|(key, _)| key)
            .collect();
        let is_reachable =
            |key: &PlacementKey| self.candidates.get(*key).is_some_and(|c| c.is_reachable(now));
        let reachable: Vec<PlacementKey> = available.iter().copied().filter(is_reachable).collect();
        if reachable.is_empty() { available } else { reachable }
    }

    /// Returns the server with the lowest cost; servers of equal cost take turns.
    fn cheapest(
        &self,
        mut keys: Vec<PlacementKey>,
        cost: impl Fn(&Candidate) -> f64,
        servers: ServerFilter<'_>,
        now: Duration,
    ) -> Pick {
        let rotation = self.rotation.get();
        self.rotation.set(rotation.wrapping_add(1));
        let count = keys.len().max(1);
        keys.rotate_left(rotation % count);
        let candidates = keys.into_iter().filter_map(|key| Some((key, self.candidates.get(key)?)));
        let best = candidates.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        match best {
            Some((key, c)) => Pick::Server(key, c.server.clone()),
            None => Pick::Unavailable(self.available_at(servers, now)),
        }
    }

    /// Returns the time at which the first busy server of the service accepts requests again.
    fn available_at(&self, servers: ServerFilter<'_>, now: Duration) -> Option<Duration> {
        let accepted = self.candidates.values().map(|c| &c.server);
        let reopen_times = accepted.filter(|server| servers.accepts(server)).filter_map(|server| {
            match self.availability(server, now) {
                Availability::UnavailableUntil(until) => Some(until),
                Availability::Available | Availability::Draining => None,
            }
        });
        reopen_times.min()
    }
}
