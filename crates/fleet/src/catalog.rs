//! The configuration in force: routes, services and limits.
//!
//! A catalog is immutable; a newer version replaces it as a whole.

use guavaspread_model::content_hash;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Says what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestClass {
    /// May run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// Answers with events; as `Unsafe`, unless the route is resumable.
    Stream,
}

/// Names a service that a route leads to, and its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight against the other targets.
    pub weight: f64,
}

/// Describes one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub class: RequestClass,
    /// Whether a stream may go on at another server behind its last event.
    pub resumable: bool,
    /// The longest time to keep a caller waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub latency_objective: Duration,
    /// The longest pause between two events with which an answer has its full worth.
    pub pause_objective: Option<Duration>,
    /// The rank, 0 first.
    pub priority: u8,
    /// Servers that may be sent one request of a caller.
    pub attempts_max: u32,
    /// Where the requests go.
    pub targets: Vec<Target>,
}

impl Route {
    /// Tells whether a request may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.class {
            RequestClass::Safe => true,
            RequestClass::Unsafe => false,
            RequestClass::Stream => self.resumable,
        }
    }

    /// Chooses the service of a request by its id, in proportion to the weights.
    pub fn service(&self, request_id: &str) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let share = content_hash(request_id.as_bytes()) as f64 / u64::MAX as f64;
        let mut left = share * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// Describes a model that engines can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The size of an adapter of it, in MB.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes.
    pub load: Duration,
}

/// Describes the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests in a batch.
    pub batch: u32,
    /// Room for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Places for adapters.
    pub adapter_slots: usize,
    /// The models that its engines can load.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the model of that name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// Describes a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Connections that one server takes from all callers together.
    pub connections_max: u32,
    /// The path at which a server tells how it is.
    pub health_path: Arc<str>,
    /// How its model engines are built, if it has any.
    pub engine: Option<EngineSpec>,
}

/// Bounds what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take for the head of a request.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns what holds until a configuration is known.
    fn default() -> Self {
        Limits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Holds one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; grows in uneven steps.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    services: HashMap<Arc<str>, Arc<Service>>,
    /// By host; the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Catalog {
    /// Makes a catalog out of its parts.
    pub fn new(version: u64, limits: Limits, services: Vec<Service>, routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Catalog { version, limits, services, routes: by_host }
    }

    /// Finds the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Lists the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
