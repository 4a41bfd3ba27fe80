//! Prometheus metrics of the dispatcher.

use guavaspread_model::Code;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::prelude::*;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    code: u16,
}

/// Holds the metrics of one dispatcher.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    pub(crate) runs: Counter,
    pub(crate) completed: Counter,
    pub(crate) refused: Family<CodeLabel, Counter>,
    pub(crate) stalls: Counter,
    pub(crate) loads: Counter,
    pub(crate) loads_failed: Counter,
    pub(crate) evictions: Counter,
    pub(crate) events: Counter,
    pub(crate) running: Gauge,
    pub(crate) owned: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("guavaspread_dispatcher");
        let counter = |registry: &mut Registry, name: &str, help: &str| {
            let counter: Counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let runs = counter(&mut registry, "runs", "Runs ordered by gateways");
        let completed = counter(&mut registry, "whole", "Answers relayed to their end");
        let stalls = counter(&mut registry, "stalls", "Requests that waited for a load");
        let loads = counter(&mut registry, "loads", "Adapters loaded");
        let loads_failed = counter(&mut registry, "loads_failed", "Adapter loads that failed");
        let evictions = counter(&mut registry, "evictions", "Adapters unloaded");
        let events = counter(&mut registry, "events", "Answer events relayed");
        let refused = Family::<CodeLabel, Counter>::default();
        registry.register("refused", "Runs refused, by code", refused.clone());
        let running: Gauge = Gauge::default();
        registry.register("running", "Runs under way", running.clone());
        let owned: Gauge = Gauge::default();
        registry.register("owned", "Engines owned", owned.clone());
        Metrics {
            registry: Arc::new(registry),
            runs,
            completed,
            refused,
            stalls,
            loads,
            loads_failed,
            evictions,
            events,
            running,
            owned,
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
