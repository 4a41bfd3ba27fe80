//! Metrics of the process, in the Prometheus text format.

use guavaspread_fleet::{EndEvidence, StreamPosition};
use http::Version;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::connection_pool::Framing;

/// Labels of the counter of ended requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// The response status; 0 if the caller disconnected before a response.
    pub(crate) status: u16,
    /// Whether this host generated the response.
    pub(crate) own: String,
}

/// Labels of the counter of requests within quotas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct QuotaLabels {
    /// The organisation; empty for those beyond the first ones of the configuration.
    pub(crate) organisation: String,
    /// Whether the request was within the quota.
    pub(crate) granted: bool,
}

/// Labels of the counter of server crashes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CrashLabels {
    /// How the crash was detected.
    pub(crate) evidence: &'static str,
}

/// Labels of the counter of streams' bodies that servers ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct BodyEndLabels {
    /// What ends the body: its length, its last chunk or the connection.
    framing: String,
    /// Where the stream stood.
    position: &'static str,
    /// The caller's version of HTTP.
    http: String,
}

impl BodyEndLabels {
    /// Returns the labels of a body with this framing that ended at this position.
    pub(crate) fn new(framing: Framing, position: StreamPosition, http: Version) -> Self {
        let position = match position {
            StreamPosition::Start => "start",
            StreamPosition::BetweenEvents(_) => "between-events",
            StreamPosition::InsideEvent => "inside-event",
        };
        let framing = format!("{framing:?}").to_ascii_lowercase();
        BodyEndLabels { framing, position, http: format!("{http:?}") }
    }
}

/// Labels of the counter of responses that ended with their connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CheckedEndLabels {
    /// What showed that the server ended the response itself.
    evidence: &'static str,
}

impl CheckedEndLabels {
    /// Returns the labels of a response that was found complete by this evidence, if any.
    pub(crate) fn new(evidence: Option<EndEvidence>) -> Self {
        let evidence = match evidence {
            Some(EndEvidence::Accepts) => "accepts",
            Some(EndEvidence::LaterBytes) => "later-bytes",
            Some(EndEvidence::Left) => "left",
            None => "none",
        };
        CheckedEndLabels { evidence }
    }
}

/// The metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) ended: Family<RequestLabels, Counter>,
    pub(crate) body_ends: Family<BodyEndLabels, Counter>,
    pub(crate) checked_ends: Family<CheckedEndLabels, Counter>,
    pub(crate) end_check_seconds: Histogram,
    pub(crate) head_seconds: Histogram,
    pub(crate) load_wait_seconds: Histogram,
    pub(crate) under_way: Gauge,
    pub(crate) retries: Counter,
    pub(crate) retries_denied: Counter,
    pub(crate) orders: Counter,
    /// Answers that began on an older version of their adapter than this host knew by then.
    pub(crate) old_versions: Counter,
    /// Requests withdrawn because they had not begun on a version that is no longer the newest.
    pub(crate) withdrawn: Counter,
    pub(crate) unreadable_rows: Counter,
    /// Subscriptions to the feeds refused because of another feed format.
    pub(crate) refused_followers: Counter,
    pub(crate) servers_ended: Family<CrashLabels, Counter>,
    pub(crate) contents_held: Gauge,
    pub(crate) requests_held: Counter,
    pub(crate) trials: Counter,
    pub(crate) parts_held: Gauge,
    pub(crate) parts_suspected: Counter,
    pub(crate) parts_released: Counter,
    pub(crate) part_refusals: Counter,
    pub(crate) rate_limits: Gauge,
    pub(crate) rate_limits_invalid: Counter,
    pub(crate) rate_limited_sends: Counter,
    pub(crate) permits_denied: Counter,
    pub(crate) rate_limited_refusals: Counter,
    pub(crate) sends_to_unavailable: Counter,
    pub(crate) store_restores: Counter,
    /// Engines that were lost after a return of the store.
    pub(crate) engines_lost: Counter,
    /// Engines that this host released because it did not reach them.
    pub(crate) engines_released: Counter,
    /// Owned engines that respond to no call of this host.
    pub(crate) engines_silent: Gauge,
    /// Configurations that were read and are older than the one in force.
    pub(crate) configs_outdated: Counter,
    pub(crate) unknown_keys: Counter,
    pub(crate) left_zone: Gauge,
    pub(crate) paces: Counter,
    pub(crate) quota_requests: Family<QuotaLabels, Counter>,
    pub(crate) services_cut_off: Gauge,
    pub(crate) tunnels_opened: Counter,
    pub(crate) tunnels_failed: Counter,
    pub(crate) tunnelled_requests: Counter,
    pub(crate) unshared_connections: Counter,
    pub(crate) foreign_responses: Counter,
    /// Tunnels that this host serves for peers.
    pub(crate) tunnels_served: Gauge,
    pub(crate) tunnels_refused: Counter,
}

/// Creates a histogram with buckets from 2 ms to 16 s, each twice the one before.
///
/// The range covers the fastest forwarded response and exceeds the longest deadline.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 14))
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("guavaspread_entry"),
            ended: Family::default(),
            body_ends: Family::default(),
            checked_ends: Family::default(),
            end_check_seconds: seconds_histogram(),
            head_seconds: seconds_histogram(),
            load_wait_seconds: seconds_histogram(),
            under_way: Gauge::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            orders: Counter::default(),
            old_versions: Counter::default(),
            withdrawn: Counter::default(),
            unreadable_rows: Counter::default(),
            refused_followers: Counter::default(),
            servers_ended: Family::default(),
            contents_held: Gauge::default(),
            requests_held: Counter::default(),
            trials: Counter::default(),
            parts_held: Gauge::default(),
            parts_suspected: Counter::default(),
            parts_released: Counter::default(),
            part_refusals: Counter::default(),
            rate_limits: Gauge::default(),
            rate_limits_invalid: Counter::default(),
            rate_limited_sends: Counter::default(),
            permits_denied: Counter::default(),
            rate_limited_refusals: Counter::default(),
            sends_to_unavailable: Counter::default(),
            store_restores: Counter::default(),
            engines_lost: Counter::default(),
            engines_released: Counter::default(),
            engines_silent: Gauge::default(),
            configs_outdated: Counter::default(),
            unknown_keys: Counter::default(),
            left_zone: Gauge::default(),
            paces: Counter::default(),
            quota_requests: Family::default(),
            services_cut_off: Gauge::default(),
            tunnels_opened: Counter::default(),
            tunnels_failed: Counter::default(),
            tunnelled_requests: Counter::default(),
            unshared_connections: Counter::default(),
            foreign_responses: Counter::default(),
            tunnels_served: Gauge::default(),
            tunnels_refused: Counter::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("requests", "Requests that have ended", metrics.ended.clone());
        registry.register(
            "body_ends",
            "Streams' bodies that servers ended, whole or not",
            metrics.body_ends.clone(),
        );
        registry.register(
            "checked_ends",
            "Responses that ended with their connection, by the evidence that they are complete",
            metrics.checked_ends.clone(),
        );
        registry.register(
            "end_check_seconds",
            "Time until it was decided whether a response that ended with its connection is complete",
            metrics.end_check_seconds.clone(),
        );
        registry.register(
            "head_seconds",
            "Time from a request's arrival to forwarding the response head",
            metrics.head_seconds.clone(),
        );
        registry.register(
            "load_wait_seconds",
            "Time that requests waited for access to an adapter",
            metrics.load_wait_seconds.clone(),
        );
        registry.register("under_way", "Requests in flight", metrics.under_way.clone());
        registry.register("retries", "Retries of requests", metrics.retries.clone());
        registry.register(
            "retries_denied",
            "Retries that the retry budget did not allow",
            metrics.retries_denied.clone(),
        );
        registry.register(
            "orders",
            "Load and unload commands sent to engines",
            metrics.orders.clone(),
        );
        registry.register(
            "old_versions",
            "Answers that began on an older version of their adapter than this host knew",
            metrics.old_versions.clone(),
        );
        registry.register(
            "withdrawn",
            "Requests withdrawn from servers because a newer version was named before they began",
            metrics.withdrawn.clone(),
        );
        registry.register(
            "unreadable_rows",
            "Store rows that could not be decoded",
            metrics.unreadable_rows.clone(),
        );
        registry.register(
            "refused_followers",
            "Subscriptions to the feeds refused because of another feed format",
            metrics.refused_followers.clone(),
        );
        registry.register(
            "servers_ended",
            "Server crashes attributed to requests, by evidence",
            metrics.servers_ended.clone(),
        );
        registry.register(
            "contents_held",
            "Contents in quarantine because servers crashed under them",
            metrics.contents_held.clone(),
        );
        registry.register(
            "requests_held",
            "Requests refused because of content in quarantine",
            metrics.requests_held.clone(),
        );
        registry.register(
            "trials",
            "Requests admitted as a trial of whether their content still crashes servers",
            metrics.trials.clone(),
        );
        registry.register(
            "parts_held",
            "Prompt parts in quarantine because servers crashed under them",
            metrics.parts_held.clone(),
        );
        registry.register(
            "parts_suspected",
            "Prompt parts in requests that a crashed server was running",
            metrics.parts_suspected.clone(),
        );
        registry.register(
            "parts_released",
            "Prompt parts released from quarantine by a complete response",
            metrics.parts_released.clone(),
        );
        registry.register(
            "part_refusals",
            "Requests refused because of a prompt part in quarantine",
            metrics.part_refusals.clone(),
        );
        registry.register(
            "rate_limits",
            "Servers known to have a rate limit",
            metrics.rate_limits.clone(),
        );
        registry.register(
            "rate_limits_invalid",
            "Responses that named an invalid rate limit",
            metrics.rate_limits_invalid.clone(),
        );
        registry.register(
            "rate_limited_sends",
            "Requests sent to servers with a rate limit",
            metrics.rate_limited_sends.clone(),
        );
        registry.register(
            "permits_denied",
            "Requests that got no permit for a server with a rate limit",
            metrics.permits_denied.clone(),
        );
        registry.register(
            "rate_limited_refusals",
            "Requests refused because every server was at its rate limit",
            metrics.rate_limited_refusals.clone(),
        );
        registry.register(
            "quota_requests",
            "Requests of organisations with a quota, granted or refused",
            metrics.quota_requests.clone(),
        );
        registry.register(
            "paces",
            "Responses that state how long work takes on the server",
            metrics.paces.clone(),
        );
        registry.register(
            "left_zone",
            "Choices of a server in another zone because leaving the zone pays",
            metrics.left_zone.clone(),
        );
        registry.register(
            "unknown_keys",
            "Requests refused because their keys are missing or unknown",
            metrics.unknown_keys.clone(),
        );
        registry.register(
            "sends_to_unavailable",
            "Requests sent to servers known to accept none",
            metrics.sends_to_unavailable.clone(),
        );
        registry.register(
            "engines_lost",
            "Engines that this host lost after the store came back from an older copy",
            metrics.engines_lost.clone(),
        );
        registry.register(
            "engines_released",
            "Engines that this host released because it did not reach them",
            metrics.engines_released.clone(),
        );
        registry.register(
            "engines_silent",
            "Engines that this host owns and that respond to none of its calls",
            metrics.engines_silent.clone(),
        );
        registry.register(
            "configs_outdated",
            "Configurations read that are older than the one in force",
            metrics.configs_outdated.clone(),
        );
        registry.register(
            "store_restores",
            "Returns of the store from an older copy that this host noticed",
            metrics.store_restores.clone(),
        );
        registry.register(
            "services_cut_off",
            "Services to whose servers this host can't open connections",
            metrics.services_cut_off.clone(),
        );
        registry.register(
            "tunnels_opened",
            "Connections to servers that peers opened for this host",
            metrics.tunnels_opened.clone(),
        );
        registry.register(
            "tunnels_failed",
            "Attempts to open a connection to a server by way of a peer that failed",
            metrics.tunnels_failed.clone(),
        );
        registry.register(
            "tunnelled_requests",
            "Requests sent to servers by way of peers",
            metrics.tunnelled_requests.clone(),
        );
        registry.register(
            "unshared_connections",
            "Requests sent on new connections because their server leaves out the ids of requests",
            metrics.unshared_connections.clone(),
        );
        registry.register(
            "foreign_responses",
            "Responses that belong, or may belong, to another request",
            metrics.foreign_responses.clone(),
        );
        registry.register(
            "tunnels_served",
            "Open connections to servers that this host serves for peers",
            metrics.tunnels_served.clone(),
        );
        registry.register(
            "tunnels_refused",
            "Connections to servers that this host did not open for peers",
            metrics.tunnels_refused.clone(),
        );
        metrics
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::error!("encoding the metrics failed: {e}");
        }
        text
    }
}
