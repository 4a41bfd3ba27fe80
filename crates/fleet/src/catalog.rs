//! The active configuration: routes, services and limits.
//!
//! A catalog is immutable; a newer version replaces it as a whole.

use guavaspread_model::content_hash;
use serde::{Deserialize, Serialize};

use crate::organisations::{Caller, Organisations};
use crate::prelude::*;

/// Timeouts of its route for which a stream may last: the last try to take it up may begin when the
/// first one times out.
const STREAM_TRIES: u32 = 2;

/// Classifies requests by whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestClass {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// Responds with an event stream; treated as `Unsafe` unless the route is resumable.
    Stream,
}

/// A service that receives requests of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// The weight relative to the other targets.
    pub weight: f64,
}

/// A route: the match on host and path prefix, and how its requests are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host in the callers' requests.
    pub host: Arc<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub class: RequestClass,
    /// Whether another server may resume a stream after its last event.
    pub resumable: bool,
    /// The maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// The latency up to which a response has its full value.
    pub latency_objective: Duration,
    /// The maximum pause between two events with which a response has its full value.
    pub pause_objective: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The maximum number of servers to which one request of a caller is sent.
    pub attempts_max: u32,
    /// Whether requests need no key where organisations have keys.
    pub is_public: bool,
    /// The services that receive the requests.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns whether another server, or another host, may continue a stream.
    pub fn has_resumable_streams(&self) -> bool {
        self.class == RequestClass::Stream && self.resumable
    }

    /// Returns whether a request may be retried after a server may have processed it.
    pub fn is_repeatable(&self) -> bool {
        match self.class {
            RequestClass::Safe => true,
            RequestClass::Unsafe => false,
            RequestClass::Stream => self.resumable,
        }
    }

    /// Chooses the service of a request by its id, in proportion to the weights.
    ///
    /// The choice is deterministic, so all attempts of a request use the same service.
    pub fn pick_service(&self, request_id: &str) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let fraction = content_hash(request_id.as_bytes()) as f64 / u64::MAX as f64;
        let mut remaining = fraction * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// The size of the weights, in MB.
    pub weights_mb: f64,
    /// The size of one adapter, in MB.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes.
    pub load_time: Duration,
}

/// The capacity and the models of a service's engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The maximum number of requests in a batch.
    pub batch: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// The maximum number of loaded adapters.
    pub adapter_slots: usize,
    /// The models that the engines can load.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// A service, which a set of backend servers provides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The maximum number of connections that one server accepts from all callers together.
    pub connections_max: u32,
    /// The path of the servers' health check.
    pub health_path: Arc<str>,
    /// The properties of the model engines, if the service has any.
    pub engine: Option<EngineSpec>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The maximum size of a request's header section, in bytes.
    pub header_bytes_max: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes_max: usize,
    /// How long a caller may take to send the header section of a request.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        RequestLimits {
            header_bytes_max: 16 * 1024,
            body_bytes_max: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; increases, but not always by one.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// The organisations whose callers need keys; `None` if nobody needs one.
    organisations: Option<Arc<Organisations>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    /// Routes by host, sorted by descending prefix length.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Catalog {
    /// Creates a catalog from its parts.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Catalog { version, limits, organisations: None, services, routes: by_host }
    }

    /// Returns the catalog with organisations, whose callers need keys.
    pub fn with_organisations(self, organisations: Organisations) -> Self {
        Catalog { organisations: Some(Arc::new(organisations)), ..self }
    }

    /// Returns the organisations whose callers need keys; `None` if nobody needs one.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.organisations.as_deref()
    }

    /// Returns who sent a request on a route with this key; `None` stands for no key, or several.
    pub fn identify(&self, route: &Route, key: Option<&[u8]>) -> Caller {
        let Some(organisations) = &self.organisations else { return Caller::Anonymous };
        if route.is_public {
            return Caller::Anonymous;
        }
        let organisation = key.and_then(|key| organisations.find(key));
        organisation.cloned().map_or(Caller::Unknown, Caller::Organisation)
    }

    /// Returns the route with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns how old a stream of the service can be when its caller takes it up; `None` if the
    /// service has no resumable streams.
    pub fn stream_age_max(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let routes = routes.filter(|route| {
            let mut targets = route.targets.iter();
            route.has_resumable_streams() && targets.any(|target| &*target.service == service)
        });
        routes.map(|route| route.timeout * STREAM_TRIES).max()
    }

    /// Returns the services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
