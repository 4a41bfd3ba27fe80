//! The dispatcher process: endpoints, periodic work and orderly shutdown.

use std::sync::atomic::{AtomicBool, Ordering};

use eyre::{Context, Result};
use guavaspread_control::ShutdownSignal;
use guavaspread_settings::DispatcherSettings;
use guavaspread_wire::{DispatcherRequest, FrameReceiver, FrameSender, Identity, server_endpoint};
use ntex::web::{self, App, HttpResponse, HttpServer};
use quinn::{Connection, Endpoint, VarInt};
use tokio::sync::oneshot;

use crate::control::{self, ControlHandle, ControlRequest};
use crate::dispatcher::Dispatcher;
use crate::metrics::Metrics;
use crate::prelude::*;

/// Interval of the periodic work while requests are queued.
const QUEUED_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the periodic work while no request is queued.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the HTTP server may take to stop: its only requests are scrapes and probes.
const HTTP_STOP_TIMEOUT: Duration = Duration::from_secs(1);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long requests are still accepted after the handover starts, while gateways learn of the new
/// owners.
const HANDOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Runs a dispatcher until a shutdown is requested; must be called inside an ntex system.
///
/// # Errors
///
/// Returns an error if an address is already in use or `identity` is unusable.
pub async fn run(
    cfg: DispatcherSettings,
    identity: Identity,
    mut shutdown: ShutdownSignal,
) -> Result<()> {
    let endpoint = server_endpoint(&identity, cfg.listen)
        .wrap_err_with(|| format!("listening on {}", cfg.listen))?;
    let clock = Clock::start();
    let metrics = Metrics::new();
    let ready = Arc::new(AtomicBool::new(false));
    // Other dispatchers consider this process dead when this address refuses connections. The
    // address is therefore bound before the first engine is owned and stays bound until the last
    // one is released.
    let http = serve_http(&cfg, metrics.clone(), ready.clone())?;
    let control = control::spawn(&cfg, identity, clock)?;
    let drain = Duration::from_millis(cfg.drain_ms.into());
    let dispatcher = Dispatcher::new(cfg.clone(), clock, control.clone(), metrics);
    spawn_state_watch(dispatcher.clone(), control.clone());
    spawn_ticker(dispatcher.clone(), ready);
    spawn_accept_loop(dispatcher.clone(), endpoint.clone());
    log::info!("the dispatcher on {} listens on {}", cfg.process.host, cfg.listen);
    shutdown.requested().await;
    drain_and_shut_down(&dispatcher, &control, drain).await;
    endpoint.close(VarInt::from_u32(0), b"stopped");
    endpoint.wait_idle().await;
    // The server waits for workers that may not notice the stop; nothing else is waiting for it.
    if ntex::time::timeout(HTTP_STOP_TIMEOUT, http.stop(true)).await.is_err() {
        log::warn!("the HTTP server did not stop in time; exiting without it");
    }
    Ok(())
}

fn spawn_state_watch(dispatcher: Rc<Dispatcher>, control: ControlHandle) {
    let mut rx = control.state;
    ntex::rt::spawn(async move {
        while rx.changed().await.is_ok() {
            let state = rx.borrow_and_update().clone();
            if let Some(state) = state {
                dispatcher.on_control_state(state).await;
            }
        }
        log::debug!("the control thread has ended; its state is no longer watched");
    });
}

fn spawn_ticker(dispatcher: Rc<Dispatcher>, ready: Arc<AtomicBool>) {
    ntex::rt::spawn(async move {
        loop {
            let interval = if dispatcher.has_queued_requests() {
                QUEUED_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            ntex::time::sleep(interval).await;
            dispatcher.tick();
            ready.store(dispatcher.is_ready(), Ordering::Relaxed);
        }
    });
}

fn spawn_accept_loop(dispatcher: Rc<Dispatcher>, endpoint: Endpoint) {
    ntex::rt::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            let dispatcher = dispatcher.clone();
            ntex::rt::spawn(async move {
                match incoming.await {
                    Ok(connection) => serve_connection(dispatcher, connection).await,
                    Err(e) => log::warn!(
                        "the handshake of a gateway or peer failed, dropping the connection: {e}"
                    ),
                }
            });
        }
    });
}

async fn serve_connection(dispatcher: Rc<Dispatcher>, connection: Connection) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let dispatcher = dispatcher.clone();
        ntex::rt::spawn(async move {
            let (tx, mut rx) = (FrameSender::new(tx), FrameReceiver::new(rx));
            match rx.recv::<DispatcherRequest>().await {
                Ok(Some(request)) => handle_request(dispatcher, request, tx).await,
                Ok(None) => log::debug!("a stream ended without a request"),
                Err(e) => {
                    log::warn!("reading the request of a stream failed, dropping the stream: {e}")
                }
            }
        });
    }
}

async fn handle_request(
    dispatcher: Rc<Dispatcher>,
    request: DispatcherRequest,
    mut tx: FrameSender,
) {
    let sent = match request {
        DispatcherRequest::Run(cmd) => return crate::run::handle_run(dispatcher, *cmd, tx).await,
        DispatcherRequest::Status => tx.send(&dispatcher.status()).await,
        DispatcherRequest::Gossip => tx.send(&dispatcher.gossip_reply()).await,
        DispatcherRequest::HeadUpdate(observed) => {
            tx.send(&dispatcher.on_peer_head(observed)).await
        }
        DispatcherRequest::Quarantine(content) => {
            tx.send(&dispatcher.add_quarantined(content)).await
        }
        DispatcherRequest::Acknowledge(row) => {
            tx.send(&dispatcher.write_acknowledgement(row).await).await
        }
    };
    match sent {
        Ok(()) => tx.finish(),
        Err(e) => log::debug!("the reply to a request was not sent: {e}"),
    }
}

fn serve_http(
    cfg: &DispatcherSettings,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
) -> Result<ntex::server::Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(metrics.clone())
            .state(ready.clone())
            .route("/metrics", web::get().to(metrics_text))
            .route("/healthz", web::get().to(async || HttpResponse::Ok().finish()))
            .route("/readyz", web::get().to(readiness))
    });
    let server = server.workers(1).disable_signals().bind(cfg.metrics);
    Ok(server.wrap_err_with(|| format!("listening on {}", cfg.metrics))?.run())
}

async fn metrics_text(metrics: web::types::State<Metrics>) -> HttpResponse {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    HttpResponse::Ok().content_type(content_type).body(metrics.render())
}

async fn readiness(ready: web::types::State<Arc<AtomicBool>>) -> HttpResponse {
    match ready.load(Ordering::Relaxed) {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Hands over every engine, waits for runs in flight and removes this process from owner rows.
async fn drain_and_shut_down(dispatcher: &Dispatcher, control: &ControlHandle, drain: Duration) {
    let requested = control.requests.send(ControlRequest::StartHandover);
    ntex::time::sleep(HANDOVER_DELAY).await;
    dispatcher.stop_accepting();
    let deadline = dispatcher.clock.now() + drain;
    while !dispatcher.is_idle() && dispatcher.clock.now() < deadline {
        ntex::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    if !dispatcher.is_idle() {
        log::warn!("the drain timed out; stopping with requests in flight");
    }
    let (reply, done) = oneshot::channel();
    if requested.is_ok() && control.requests.send(ControlRequest::Shutdown { reply }).is_ok() {
        // After a timeout the next owners remove this process from the rows.
        let _ = ntex::time::timeout(SHUTDOWN_TIMEOUT, done).await;
    }
}
