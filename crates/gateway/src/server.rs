//! The process: its endpoints and its end in order.

use eyre::{Context, Result};
use guavaspread_control::Stop;
use guavaspread_settings::GatewaySettings;
use guavaspread_wire::Identity;
use ntex::time::Seconds;
use ntex::web::types::{JsonConfig, PayloadConfig};
use ntex::web::{self, App, HttpServer};
use tokio::sync::oneshot;

use crate::api;
use crate::control::{self, Request};
use crate::metrics::Metrics;
use crate::prelude::*;
use crate::worker::{Worker, WorkerParts};

/// The largest statement or list of changes from an operator.
const OPERATOR_BYTES_MAX: usize = 16 * 1024 * 1024;
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How long callers get to read the last bytes.
const LAST_BYTES_TIME: Duration = Duration::from_millis(200);
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a gateway until it is asked to stop; call it inside an ntex system.
///
/// # Errors
///
/// Fails when an address is taken or `identity` is unusable.
pub async fn run(cfg: GatewaySettings, identity: Identity, mut stop: Stop) -> Result<()> {
    let clock = Clock::start();
    let incarnation = rand::random();
    let control = control::spawn(&cfg, identity.clone(), clock, incarnation)?;
    let metrics = Metrics::new();
    let (shared, handle) = (cfg.clone(), control.clone());
    let (counters, stopping) = (metrics.clone(), stop.clone());
    let server = HttpServer::new(async move || {
        let (cfg, identity) = (shared.clone(), identity.clone());
        let (control, metrics, stop) = (handle.clone(), counters.clone(), stopping.clone());
        App::new()
            .state_factory(async move || {
                let parts = WorkerParts { cfg, clock, incarnation, control, metrics, stop };
                Worker::new(parts, &identity).await
            })
            .state(JsonConfig::default().limit(OPERATOR_BYTES_MAX))
            .state(PayloadConfig::new(OPERATOR_BYTES_MAX))
            .configure(api::configure)
            .default_service(web::route().to(api::unknown_path))
    });
    let server = server
        .workers(cfg.threads)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .bind(cfg.listen)
        .wrap_err_with(|| format!("listening on {}", cfg.listen))?
        .run();
    log::info!("{} serves callers on {}", cfg.process.host, cfg.listen);
    stop.asked().await;
    drain(&metrics, Duration::from_millis(cfg.limits.drain_ms.into())).await;
    server.stop(true).await;
    let (reply, done) = oneshot::channel();
    if control.requests.send(Request::Leave { reply }).is_ok() {
        // A member row that stays is passed over once the host is off the platform's list.
        let _ = ntex::time::timeout(LEAVE_TIMEOUT, done).await;
    }
    Ok(())
}

/// Waits until no request is under way; new ones are refused meanwhile.
async fn drain(metrics: &Metrics, limit: Duration) {
    let clock = Clock::start();
    while metrics.under_way.get() > 0 && clock.now() < limit {
        ntex::time::sleep(DRAIN_POLL).await;
    }
    if metrics.under_way.get() > 0 {
        log::warn!("stopping with requests under way");
    }
    ntex::time::sleep(LAST_BYTES_TIME).await;
}
