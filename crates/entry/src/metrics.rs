//! Counters and latency histograms, in the text format of Prometheus.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a request's end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Ended {
    /// The status that the caller got; 0 for none.
    pub(crate) status: u16,
    /// Whether the answer is this host's own.
    pub(crate) own: String,
}

/// Labels of a server's end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndedBy {
    /// What showed it.
    pub(crate) evidence: &'static str,
}

/// Holds the process's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) ended: Family<Ended, Counter>,
    pub(crate) head_seconds: Histogram,
    pub(crate) load_wait_seconds: Histogram,
    pub(crate) under_way: Gauge,
    pub(crate) retries: Counter,
    pub(crate) retries_denied: Counter,
    pub(crate) orders: Counter,
    pub(crate) unreadable_rows: Counter,
    pub(crate) servers_ended: Family<EndedBy, Counter>,
    pub(crate) contents_held: Gauge,
    pub(crate) requests_held: Counter,
    pub(crate) trials: Counter,
}

/// From 2 ms, doubled, to 16 s: a relay's shortest answer to beyond the longest deadline.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 14))
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("guavaspread_entry"),
            ended: Family::default(),
            head_seconds: seconds(),
            load_wait_seconds: seconds(),
            under_way: Gauge::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            orders: Counter::default(),
            unreadable_rows: Counter::default(),
            servers_ended: Family::default(),
            contents_held: Gauge::default(),
            requests_held: Counter::default(),
            trials: Counter::default(),
        };
        let r = &mut metrics.registry;
        r.register("requests", "Requests ended", metrics.ended.clone());
        r.register(
            "head_seconds",
            "Until the head of an answer went to its caller",
            metrics.head_seconds.clone(),
        );
        r.register(
            "load_wait_seconds",
            "Waits for an adapter's grant",
            metrics.load_wait_seconds.clone(),
        );
        r.register("under_way", "Requests under way", metrics.under_way.clone());
        r.register("retries", "Repeated sends", metrics.retries.clone());
        r.register(
            "retries_denied",
            "Repeated sends that the budget did not allow",
            metrics.retries_denied.clone(),
        );
        r.register("orders", "Orders to engines", metrics.orders.clone());
        r.register("unreadable_rows", "Rows that can't be read", metrics.unreadable_rows.clone());
        r.register(
            "servers_ended",
            "Requests under which a server ended, by what showed it",
            metrics.servers_ended.clone(),
        );
        r.register(
            "contents_held",
            "Contents held, as servers ended under them",
            metrics.contents_held.clone(),
        );
        r.register(
            "requests_held",
            "Requests refused, as their content is held",
            metrics.requests_held.clone(),
        );
        r.register(
            "trials",
            "Requests let through to see whether servers still end under their content",
            metrics.trials.clone(),
        );
        metrics
    }

    /// Returns the metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::error!("metrics can't be encoded: {e}");
        }
        text
    }
}
