//! The choice of a backend server for a request.
//!
//! Answers the load pattern of few very popular and very many rare adapters: each
//! adapter has an order of engines of its own, the same on every entry host, and uses
//! as many of the first ones as its share of the requests asks for. Rare adapters so
//! meet on one engine, where their last load is still at hand; popular ones spread.
//!
//! Engines come and go, and all fetch from one weight store: an engine that holds the
//! adapter already goes before one that would fetch it, unless it is far more loaded. So an
//! adapter that moved when its engine was lost stays where it is when that one returns.
//! Plain services go by load, the entry host's own zone first.

use std::cell::Cell;

use guavaspread_model::rendezvous_score;
use guavaspread_placement::{Demand, DemandMap};
use slotmap::{SlotMap, new_key_type};

use crate::notices::{Notices, Said, Standing};
use crate::prelude::*;
use crate::roster::{AdapterId, Server};

/// How long a server that could not be reached is tried last; doubled each further time.
const SUSPECT_FOR: Duration = Duration::from_millis(1_000);
const SUSPECT_DOUBLINGS_MAX: u32 = 2;
/// Half-life of a server's failures; a server that fails some requests recovers in seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// What one recent failure adds to a server's cost, in shares of its slots.
const FAILURE_COST: f64 = 0.5;
/// How long a load report counts, less and less: a request lasts for two to three seconds.
const REPORT_FADES_IN: Duration = Duration::from_millis(4_000);
/// What a fetch of the adapter adds to an engine's cost, in shares of its slots.
const FETCH_COST: f64 = 0.4;
/// What another zone adds to the cost of a plain server, in shares of its slots.
const ZONE_COST: f64 = 0.5;
/// Half-life of an adapter's demand; popularity shifts within seconds.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
const DEMAND_ENTRIES_MAX: usize = 8_192;
/// Engines for an adapter beyond its share of the requests, as a factor.
const SPREAD: f64 = 1.4;

/// Requests at an engine, as a factor of the mean, from which its popular adapters get
/// one more engine.
const CROWDED: f64 = 1.5;
/// Requests beyond that factor, so that an idle fleet is not spread out.
const CROWDED_MIN: f64 = 3.0;
/// Recent requests here from which an adapter is worth a load at another engine.
const POPULAR_COUNT: f64 = 2.5;

/// Tokens from which a prompt keeps an engine busy for longer than a load takes.
const LONG_PROMPT: u32 = 4_096;
/// Engines beyond its adapter's that a long prompt may use.
const LONG_PROMPT_CHOICES: usize = 3;
/// Load of the adapter's engine from which it may, as a share of its slots.
const LONG_PROMPT_LOAD: f64 = 0.6;

new_key_type! {
    /// Identifies a server in a placement.
    pub struct PlacementKey;
}

/// Holds what a server said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Answers which server gets a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// This one.
    Server(PlacementKey, Arc<Server>),
    /// No server of the service takes work; the first that is held up does from that moment.
    None(Option<Duration>),
}

#[derive(Clone, Debug)]
struct Candidate {
    server: Arc<Server>,
    in_flight: u32,
    report: Option<(LoadReport, Duration)>,
    failures: Demand,
    suspect_until: Duration,
    /// Times that it could not be reached since it was.
    unreached: u32,
}

impl Candidate {
    /// Returns the requests there.
    fn requests(&self, now: Duration) -> f64 {
        let reported = match self.report {
            Some((report, at)) => {
                let age = now.saturating_sub(at).as_secs_f64() / REPORT_FADES_IN.as_secs_f64();
                f64::from(report.running + report.waiting) * (1.0 - age).max(0.0)
            }
            None => 0.0,
        };
        reported.max(f64::from(self.in_flight))
    }

    /// Returns the requests there with one more, as a share of its slots.
    fn load(&self, now: Duration) -> f64 {
        (self.requests(now) + 1.0) / f64::from(self.server.slots.max(1))
    }

    fn cost(&self, now: Duration) -> f64 {
        let failures = self.failures.count(now, FAILURE_HALF_LIFE);
        self.load(now) + failures * FAILURE_COST
    }
}

/// Chooses servers for one entry host.
#[derive(Debug)]
pub struct Placement {
    zone: Arc<str>,
    candidates: SlotMap<PlacementKey, Candidate>,
    by_id: HashMap<Arc<str>, PlacementKey>,
    notices: Notices,
    demand: DemandMap<AdapterId>,
    total: Demand,
    turn: Cell<usize>,
}

impl Placement {
    /// Makes a placement for an entry host in `zone` that knows no server.
    pub fn new(zone: Arc<str>) -> Self {
        Placement {
            zone,
            candidates: SlotMap::with_key(),
            by_id: HashMap::new(),
            notices: Notices::default(),
            demand: DemandMap::new(DEMAND_HALF_LIFE, DEMAND_ENTRIES_MAX),
            total: Demand::default(),
            turn: Cell::new(0),
        }
    }

    /// Adds a server or takes over what changed about it.
    pub fn upsert(&mut self, server: Arc<Server>) {
        let known = self.by_id.get(&server.id).and_then(|key| self.candidates.get_mut(*key));
        if let Some(candidate) = known {
            if candidate.server.born != server.born {
                candidate.report = None;
                candidate.suspect_until = Duration::ZERO;
                candidate.unreached = 0;
                candidate.failures = Demand::default();
            }
            candidate.server = server;
            return;
        }
        let id = server.id.clone();
        let key = self.candidates.insert(Candidate {
            server,
            in_flight: 0,
            report: None,
            failures: Demand::default(),
            suspect_until: Duration::ZERO,
            unreached: 0,
        });
        self.by_id.insert(id, key);
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            self.candidates.remove(key);
        }
    }

    /// Takes over what a server said of itself in an answer; tells whether that is news.
    pub fn on_answer(&mut self, server: &Server, said: Said, now: Duration) -> bool {
        self.notices.on_answer(server, said, now)
    }

    /// Tells whether a server takes requests of this host.
    pub fn standing(&self, server: &Server, now: Duration) -> Standing {
        match server.is_ready() {
            true => self.notices.standing(server, now),
            false => Standing::Leaving,
        }
    }

    /// Tells whether any server takes requests of this host, now or once it is no longer
    /// held up.
    pub fn serves_any(&self, now: Duration) -> bool {
        self.candidates.values().any(|c| self.standing(&c.server, now) != Standing::Leaving)
    }

    /// Counts a request for an adapter.
    pub fn count(&mut self, adapter: &AdapterId, now: Duration) {
        self.demand.add(adapter, now);
        self.total.add(now, DEMAND_HALF_LIFE, 1.0);
    }

    /// Chooses a server of a plain service, leaving out those tried before.
    pub fn pick_plain(&self, service: &str, tried: &[Arc<str>], now: Duration) -> Pick {
        let cost = |c: &Candidate| {
            let far = if c.server.zone == self.zone { 0.0 } else { ZONE_COST };
            c.cost(now) + far
        };
        self.cheapest(self.open(service, tried, now), cost, service, now)
    }

    /// Chooses an engine for a request on a model alone.
    pub fn pick_engine(
        &self,
        service: &str,
        model: &str,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Pick {
        let open = self.open(service, tried, now);
        let holders =
            open.iter().copied().filter(|key| self.holds(*key, model)).collect::<Vec<_>>();
        let open = if holders.is_empty() { open } else { holders };
        self.cheapest(open, |c| c.cost(now), service, now)
    }

    /// Chooses an engine for a request on an adapter with a prompt of `tokens`; `holds` tells
    /// of engines that hold it though their rows do not show it yet.
    pub fn pick_adapter(
        &self,
        service: &str,
        adapter: &AdapterId,
        tokens: u32,
        tried: &[Arc<str>],
        holds: &dyn Fn(&Server) -> bool,
        now: Duration,
    ) -> Pick {
        let mut open = self.ordered(service, adapter, tried, now);
        let has = |c: &Candidate| c.server.holds(adapter) || holds(&c.server);
        let holders: Vec<PlacementKey> =
            open.iter().copied().filter(|key| self.candidates.get(*key).is_some_and(has)).collect();
        let mut count = self.replicas(&open, adapter, now);
        // Another engine has to read the parts of the prompt that this one keeps.
        let first = open.first().and_then(|key| self.candidates.get(*key));
        let is_busy = first.is_some_and(|c| c.load(now) > LONG_PROMPT_LOAD);
        if tokens >= LONG_PROMPT && is_busy {
            count += LONG_PROMPT_CHOICES;
        }
        open.truncate(count);
        open.extend(holders.iter().filter(|key| !open.contains(key)).copied().collect::<Vec<_>>());
        let held: Vec<Arc<str>> = holders
            .iter()
            .filter_map(|key| Some(self.candidates.get(*key)?.server.id.clone()))
            .collect();
        let cost = |c: &Candidate| {
            c.cost(now) + if held.contains(&c.server.id) { 0.0 } else { FETCH_COST }
        };
        self.cheapest(open, cost, service, now)
    }

    /// Returns the engines that take work in the order in which an adapter uses them.
    pub fn in_order(
        &self,
        service: &str,
        adapter: &AdapterId,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Vec<(PlacementKey, Arc<Server>)> {
        let keys = self.ordered(service, adapter, tried, now).into_iter();
        keys.filter_map(|key| Some((key, self.candidates.get(key)?.server.clone()))).collect()
    }

    fn ordered(
        &self,
        service: &str,
        adapter: &AdapterId,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Vec<PlacementKey> {
        let mut open = self.open(service, tried, now);
        let with_model: Vec<_> =
            open.iter().copied().filter(|key| self.holds(*key, &adapter.model)).collect();
        if !with_model.is_empty() {
            open = with_model;
        }
        let name = format!("{}/{}", adapter.model, adapter.adapter);
        let score = |key: &PlacementKey| {
            self.candidates.get(*key).map_or(0, |c| rendezvous_score(&name, &c.server.id))
        };
        open.sort_by_cached_key(|key| std::cmp::Reverse(score(key)));
        open
    }

    /// Reports that a server was sent a request.
    pub fn on_sent(&mut self, key: PlacementKey) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.in_flight += 1;
        }
    }

    /// Reports that a request sent to a server has ended.
    pub fn on_ended(&mut self, key: PlacementKey) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
    }

    /// Takes over what a server said of its load.
    pub fn on_report(&mut self, key: PlacementKey, report: LoadReport, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.report = Some((report, now));
            candidate.unreached = 0;
        }
    }

    /// Reports that a server failed a request.
    pub fn on_failed(&mut self, key: PlacementKey, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            candidate.failures.add(now, FAILURE_HALF_LIFE, 1.0);
        }
    }

    /// Reports that a server could not be reached.
    pub fn on_unreachable(&mut self, key: PlacementKey, now: Duration) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            let doublings = candidate.unreached.min(SUSPECT_DOUBLINGS_MAX);
            candidate.suspect_until = now + SUSPECT_FOR * 2u32.pow(doublings);
            candidate.unreached += u32::from(doublings < SUSPECT_DOUBLINGS_MAX);
        }
    }

    /// Returns how many of the engines, in the adapter's order, share its requests: as its
    /// share of all requests asks for, and more while these are crowded.
    fn replicas(&self, engines: &[PlacementKey], adapter: &AdapterId, now: Duration) -> usize {
        let total = self.total.count(now, DEMAND_HALF_LIFE).max(1.0);
        let count = self.demand.count(adapter, now);
        // One request alone says nothing of an adapter's share.
        let share = (count - 1.0).max(0.0) / total;
        let wanted = (share * SPREAD * engines.len() as f64).round() as usize;
        let wanted = wanted.clamp(1, engines.len().max(1));
        let candidates: Vec<&Candidate> =
            engines.iter().filter_map(|key| self.candidates.get(*key)).collect();
        let requests = candidates.iter().map(|candidate| candidate.requests(now));
        let mean = requests.sum::<f64>() / candidates.len().max(1) as f64;
        let crowded = mean * CROWDED + CROWDED_MIN;
        let is_crowded = |candidate: &&Candidate| {
            let requests = candidate.requests(now);
            let is_full = requests >= f64::from(candidate.server.slots);
            is_full || (count >= POPULAR_COUNT && requests > crowded)
        };
        let roomy = candidates.iter().skip(wanted - 1).position(|c| !is_crowded(c));
        let all_crowded = candidates.iter().take(wanted).all(is_crowded);
        if all_crowded { wanted + roomy.unwrap_or(0) } else { wanted }
    }

    fn holds(&self, key: PlacementKey, model: &str) -> bool {
        let models = self.candidates.get(key).map(|c| &c.server.models);
        models.is_some_and(|models| models.iter().any(|held| &*held.name == model))
    }

    /// Lists the servers that take work; those that could not be reached only without others.
    fn open(&self, service: &str, tried: &[Arc<str>], now: Duration) -> Vec<PlacementKey> {
        let open: Vec<PlacementKey> = self
            .candidates
            .iter()
            .filter(|(_, c)| &*c.server.service == service)
            .filter(|(_, c)| self.standing(&c.server, now) == Standing::Open)
            .filter(|(_, c)| !tried.contains(&c.server.id))
            .map(|(key, _)| key)
            .collect();
        let reachable =
            |key: &PlacementKey| self.candidates.get(*key).is_some_and(|c| c.suspect_until <= now);
        let sound: Vec<PlacementKey> = open.iter().copied().filter(reachable).collect();
        if sound.is_empty() { open } else { sound }
    }

    /// Picks the cheapest; of those that cost the same, each in turn.
    fn cheapest(
        &self,
        mut keys: Vec<PlacementKey>,
        cost: impl Fn(&Candidate) -> f64,
        service: &str,
        now: Duration,
    ) -> Pick {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let count = keys.len().max(1);
        keys.rotate_left(turn % count);
        let candidates = keys.into_iter().filter_map(|key| Some((key, self.candidates.get(key)?)));
        let best = candidates.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        match best {
            Some((key, c)) => Pick::Server(key, c.server.clone()),
            None => Pick::None(self.opens_at(service, now)),
        }
    }

    /// Returns when the first server of the service takes requests that is held up now.
    fn opens_at(&self, service: &str, now: Duration) -> Option<Duration> {
        let servers = self.candidates.values().map(|c| &c.server);
        let held = servers.filter(|server| &*server.service == service).filter_map(|server| {
            match self.standing(server, now) {
                Standing::HeldUntil(until) => Some(until),
                Standing::Open | Standing::Leaving => None,
            }
        });
        held.min()
    }
}
