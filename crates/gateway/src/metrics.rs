//! Prometheus metrics of the gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::prelude::*;

const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 16;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    code: u16,
}

/// Holds the metrics of one gateway.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    pub(crate) requests: Counter,
    pub(crate) completed: Counter,
    pub(crate) worth: Counter,
    pub(crate) retries: Counter,
    pub(crate) cut_streams: Counter,
    pub(crate) refused: Family<CodeLabel, Counter>,
    pub(crate) in_flight: Gauge,
    pub(crate) first_byte_s: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("guavaspread_gateway");
        let counter = |registry: &mut Registry, name: &str, help: &str| {
            let counter: Counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let requests = counter(&mut registry, "requests", "Requests from callers");
        let completed = counter(&mut registry, "whole", "Answers delivered whole");
        let worth = counter(&mut registry, "worth", "Worth of the answers delivered whole");
        let retries = counter(&mut registry, "retries", "Attempts after the first");
        let cut_streams = counter(&mut registry, "cut", "Streams cut short");
        let refused = Family::<CodeLabel, Counter>::default();
        registry.register("refused", "Requests refused, by code", refused.clone());
        let in_flight: Gauge = Gauge::default();
        registry.register("under_way", "Requests under way", in_flight.clone());
        let first_byte_s = Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let help = "Time to the first byte of an answer, in seconds";
        registry.register("first_byte_seconds", help, first_byte_s.clone());
        Metrics {
            registry: Arc::new(registry),
            requests,
            completed,
            worth,
            retries,
            cut_streams,
            refused,
            in_flight,
            first_byte_s,
        }
    }

    pub(crate) fn count_refusal(&self, code: Code) {
        self.refused.get_or_create(&CodeLabel { code: code.number() }).inc();
    }

    /// Renders the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::error!("encoding the metrics failed; the response is incomplete");
        }
        text
    }
}
