//! Spans, carried from hop to hop by the W3C `traceparent` header.

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

/// Keeps the export of spans alive; dropping it sends what is buffered.
pub struct TraceHandle {
    provider: SdkTracerProvider,
}

impl Drop for TraceHandle {
    fn drop(&mut self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("spans were not flushed: {e}");
        }
    }
}

/// Starts recording spans, and exports them to `otlp` if it is given.
///
/// Without a collector spans are recorded only to carry `traceparent` onward.
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
        log::debug!("another part of this process records spans already");
    }
    Ok(TraceHandle { provider })
}

/// Makes `span` a child of the span that `traceparent` names.
pub fn adopt(span: &Span, parent: &str) {
    if parent.is_empty() {
        return;
    }
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), parent.to_owned())]);
    let cx = TraceContextPropagator::new().extract(&carrier);
    // A span that nobody records can't have a parent, which loses nothing.
    let _ = span.set_parent(cx);
}

/// Returns the `traceparent` header that names `span`, empty if nobody records it.
pub fn traceparent(span: &Span) -> String {
    let mut carrier: HashMap<String, String> = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}
