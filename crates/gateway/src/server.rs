//! The gateway process: HTTP endpoints and orderly shutdown.

use eyre::{Context, Result};
use guavaspread_control::ShutdownSignal;
use guavaspread_settings::GatewaySettings;
use guavaspread_wire::Identity;
use ntex::time::Seconds;
use ntex::web::types::{JsonConfig, PayloadConfig};
use ntex::web::{self, App, HttpServer};
use tokio::sync::oneshot;

use crate::api;
use crate::control::{self, ControlRequest};
use crate::metrics::Metrics;
use crate::prelude::*;
use crate::worker::{Worker, WorkerOptions};

/// Limits the size of a statement or a list of changes from an operator.
const OPERATOR_BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after the drain in which callers can read the last bytes of their responses.
const LAST_BYTES_DELAY: Duration = Duration::from_millis(200);
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a gateway until a shutdown is requested; must be called inside an ntex system.
///
/// # Errors
///
/// Returns an error if an address is already in use or `identity` is unusable.
pub async fn run(
    cfg: GatewaySettings,
    identity: Identity,
    mut shutdown: ShutdownSignal,
) -> Result<()> {
    let clock = Clock::start();
    let incarnation = rand::random();
    let control = control::spawn(&cfg, identity.clone(), clock, incarnation)?;
    let metrics = Metrics::new();
    let (worker_cfg, worker_control) = (cfg.clone(), control.clone());
    let (worker_metrics, worker_shutdown) = (metrics.clone(), shutdown.clone());
    let server = HttpServer::new(async move || {
        let (cfg, identity) = (worker_cfg.clone(), identity.clone());
        let (control, metrics, shutdown) =
            (worker_control.clone(), worker_metrics.clone(), worker_shutdown.clone());
        App::new()
            .state_factory(async move || {
                let options = WorkerOptions { cfg, clock, incarnation, control, metrics, shutdown };
                Worker::new(options, &identity).await
            })
            .state(JsonConfig::default().limit(OPERATOR_BODY_BYTES_MAX))
            .state(PayloadConfig::new(OPERATOR_BODY_BYTES_MAX))
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
    log::info!("the gateway on {} listens on {}", cfg.process.host, cfg.listen);
    shutdown.requested().await;
    drain(&metrics, Duration::from_millis(cfg.limits.drain_ms.into())).await;
    server.stop(true).await;
    let (reply, done) = oneshot::channel();
    if control.requests.send(ControlRequest::Deregister { reply }).is_ok() {
        // After a timeout the member row stays; it is ignored once the platform no longer lists
        // the host.
        let _ = ntex::time::timeout(DEREGISTER_TIMEOUT, done).await;
    }
    Ok(())
}

/// Waits up to `timeout` until no request is in flight; workers refuse new requests meanwhile.
async fn drain(metrics: &Metrics, timeout: Duration) {
    let clock = Clock::start();
    while metrics.in_flight.get() > 0 && clock.now() < timeout {
        ntex::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    if metrics.in_flight.get() > 0 {
        log::warn!("the drain timed out; stopping with requests in flight");
    }
    ntex::time::sleep(LAST_BYTES_DELAY).await;
}
