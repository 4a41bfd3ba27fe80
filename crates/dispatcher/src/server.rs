//! The process: endpoints, ticking, and the end in order.

use std::sync::atomic::{AtomicBool, Ordering};

use eyre::{Context, Result};
use guavaspread_control::Stop;
use guavaspread_settings::DispatcherSettings;
use guavaspread_wire::{Ask, FrameReceiver, FrameSender, Identity, server_endpoint};
use ntex::web::{self, App, HttpResponse, HttpServer};
use quinn::{Connection, Endpoint, VarInt};
use tokio::sync::oneshot;

use crate::control::{self, ControlHandle, Request};
use crate::metrics::Metrics;
use crate::office::Office;
use crate::prelude::*;

/// How often waiting requests are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often everything is looked at while nothing waits.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_POLL: Duration = Duration::from_millis(50);
const FAREWELL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long gateways may still find this dispatcher after it asked to be relieved.
const HANDOVER_TIME: Duration = Duration::from_millis(1_500);

/// Runs a dispatcher until it is asked to stop; call it inside an ntex system.
///
/// # Errors
///
/// Fails when an address is taken or `identity` is unusable.
pub async fn run(cfg: DispatcherSettings, identity: Identity, mut stop: Stop) -> Result<()> {
    let endpoint = server_endpoint(&identity, cfg.listen)
        .wrap_err_with(|| format!("listening on {}", cfg.listen))?;
    let clock = Clock::start();
    let metrics = Metrics::new();
    let ready = Arc::new(AtomicBool::new(false));
    // Others take this process for dead when this address refuses connections, so it is bound
    // before anything is owned and until nothing is.
    let http = serve_http(&cfg, metrics.clone(), ready.clone())?;
    let control = control::spawn(&cfg, identity, clock)?;
    let drain = Duration::from_millis(cfg.drain_ms.into());
    let office = Office::new(cfg.clone(), clock, control.clone(), metrics);
    follow_control(office.clone(), control.clone());
    tick(office.clone(), ready);
    accept(office.clone(), endpoint.clone());
    log::info!("{} dispatches on {}", cfg.process.host, cfg.listen);
    stop.asked().await;
    drain_and_leave(&office, &control, drain).await;
    endpoint.close(VarInt::from_u32(0), b"stopped");
    endpoint.wait_idle().await;
    http.stop(true).await;
    Ok(())
}

fn follow_control(office: Rc<Office>, control: ControlHandle) {
    let mut rx = control.state;
    ntex::rt::spawn(async move {
        while rx.changed().await.is_ok() {
            let state = rx.borrow_and_update().clone();
            if let Some(state) = state {
                office.on_state(state).await;
            }
        }
        log::debug!("the control thread has ended");
    });
}

fn tick(office: Rc<Office>, ready: Arc<AtomicBool>) {
    ntex::rt::spawn(async move {
        loop {
            let interval = if office.has_waiting() { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
            ntex::time::sleep(interval).await;
            office.tick();
            ready.store(office.is_ready(), Ordering::Relaxed);
        }
    });
}

fn accept(office: Rc<Office>, endpoint: Endpoint) {
    ntex::rt::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            let office = office.clone();
            ntex::rt::spawn(async move {
                match incoming.await {
                    Ok(connection) => serve_connection(office, connection).await,
                    Err(e) => log::warn!("a connection was refused: {e}"),
                }
            });
        }
    });
}

async fn serve_connection(office: Rc<Office>, connection: Connection) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let office = office.clone();
        ntex::rt::spawn(async move {
            let (tx, mut rx) = (FrameSender::new(tx), FrameReceiver::new(rx));
            match rx.recv::<Ask>().await {
                Ok(Some(ask)) => answer(office, ask, tx).await,
                Ok(None) => log::debug!("a stream ended without a question"),
                Err(e) => log::warn!("a stream can't be read: {e}"),
            }
        });
    }
}

async fn answer(office: Rc<Office>, ask: Ask, mut tx: FrameSender) {
    let sent = match ask {
        Ask::Run(order) => return crate::run::answer(office, *order, tx).await,
        Ask::Status => tx.send(&office.status()).await,
        Ask::Exchange => tx.send(&office.exchange()).await,
        Ask::Head(seen) => tx.send(&office.learn(seen)).await,
        Ask::Quarantine(content) => tx.send(&office.quarantine(content)).await,
        Ask::Acknowledge(row) => tx.send(&office.acknowledge(row).await).await,
    };
    match sent {
        Ok(()) => tx.finish(),
        Err(e) => log::debug!("an answer was not sent: {e}"),
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
    HttpResponse::Ok().content_type(content_type).body(metrics.text())
}

async fn readiness(ready: web::types::State<Arc<AtomicBool>>) -> HttpResponse {
    match ready.load(Ordering::Relaxed) {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Hands every engine over, lets what is under way end, and signs off.
async fn drain_and_leave(office: &Office, control: &ControlHandle, drain: Duration) {
    let asked = control.requests.send(Request::Leave);
    ntex::time::sleep(HANDOVER_TIME).await;
    office.stop();
    let until = office.clock.now() + drain;
    while !office.is_idle() && office.clock.now() < until {
        ntex::time::sleep(DRAIN_POLL).await;
    }
    if !office.is_idle() {
        log::warn!("stopping with requests under way");
    }
    let (reply, done) = oneshot::channel();
    if asked.is_ok() && control.requests.send(Request::Farewell { reply }).is_ok() {
        // Without an answer in time the rows are struck off by whoever comes next.
        let _ = ntex::time::timeout(FAREWELL_TIMEOUT, done).await;
    }
}
