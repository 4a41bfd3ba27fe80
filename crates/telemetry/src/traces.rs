//! Trace spans, linked across hops by the W3C `traceparent` header.

use std::collections::HashMap;
use std::net::SocketAddr;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

const TRACEPARENT: &str = "traceparent";

/// A handle of the span export; dropping it exports buffered spans and ends the export.
pub struct TraceHandle {
    provider: SdkTracerProvider,
}

impl Drop for TraceHandle {
    fn drop(&mut self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("failed to export the buffered spans at shutdown: {e}");
        }
    }
}

/// Starts to record spans and exports them to the collector at `otlp`, if given.
///
/// Without a collector, spans are recorded only to propagate `traceparent`.
///
/// # Errors
///
/// Fails when the exporter can't be built.
pub fn start_traces(
    service: &'static str,
    otlp: Option<SocketAddr>,
) -> Result<TraceHandle, opentelemetry_otlp::ExporterBuildError> {
    let mut builder = SdkTracerProvider::builder()
        .with_resource(Resource::builder().with_service_name(service).build());
    if let Some(address) = otlp {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpBinary)
            .with_endpoint(format!("http://{address}/v1/traces"))
            .build()?;
        builder = builder.with_batch_exporter(exporter);
    }
    let provider = builder.build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer(service));
    let subscriber = tracing_subscriber::registry().with(layer);
    if tracing::subscriber::set_global_default(subscriber).is_err() {
        log::debug!("a global tracing subscriber is already set; it keeps recording the spans");
    }
    Ok(TraceHandle { provider })
}

/// Sets the parent of `span` to the span that the `traceparent` header `parent` identifies.
pub fn set_remote_parent(span: &Span, parent: &str) {
    if parent.is_empty() {
        return;
    }
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), parent.to_owned())]);
    let cx = TraceContextPropagator::new().extract(&carrier);
    // Setting the parent fails if the span is not recorded; such a span needs no parent.
    let _ = span.set_parent(cx);
}

/// Returns the `traceparent` header that identifies `span`; empty if the span is not recorded.
pub fn traceparent_of(span: &Span) -> String {
    let mut carrier: HashMap<String, String> = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}
