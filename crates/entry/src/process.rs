//! The process: its start, its changes of settings, and its end in order.

use std::path::PathBuf;

use eyre::{Context, Result};
use guavaspread_fleet::{Grants, LeaseBook, LeaseTimes, Placement, Roster};
use http::StatusCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::border::{Feed, Platform};
use crate::channel::Pool;
use crate::metrics::Metrics;
use crate::orders::Orders;
use crate::peers::Peers;
use crate::prelude::*;
use crate::relays::{self, Relays};
use crate::renewals::Renewals;
use crate::settings::EntrySettings;
use crate::state::Entry;
use crate::word::{self, Word};
use crate::{follow, front, peers, renewals};

/// How long a lease lasts: longer than most outages of the store, so that loads go on.
const LEASE: Duration = Duration::from_secs(12);
/// Between two renewals; a failed one is repeated at once.
const LEASE_RENEW: Duration = Duration::from_secs(5);
/// Added to the rest between two holders, for a lost packet's second try.
const LEASE_QUARANTINE_MARGIN: Duration = Duration::from_millis(300);
/// How long the load balancer takes to notice that the host is not ready: two questions.
const NOTICE: Duration = Duration::from_millis(2_600);
/// Kept of the grace period for the process's own end.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an entry host until it is asked to stop; call it inside a local task set.
///
/// # Errors
///
/// Fails when an address is taken or signals can't be handled.
pub async fn run(cfg: EntrySettings, path: PathBuf, platform: &dyn Platform) -> Result<()> {
    let entry = new_entry(cfg.clone(), platform);
    let listen =
        |address| front::listen(address).wrap_err_with(|| format!("listening on {address}"));
    let callers = listen(cfg.listen)?;
    let ready = listen(cfg.ready)?;
    let metrics = listen(cfg.metrics)?;
    let peer_listener = listen(cfg.peer_address())?;
    log::info!("{} in {} serves callers on {}", cfg.host, cfg.zone, cfg.listen);
    spawn_local(front::serve_callers(entry.clone(), callers));
    let shown = entry.clone();
    spawn_local(front::serve_page(ready, move || front::readiness(&shown)));
    let shown = entry.clone();
    spawn_local(front::serve_page(metrics, move || (StatusCode::OK, shown.metrics_text())));
    spawn_local(peers::serve(entry.clone(), peer_listener));
    spawn_local(follow::follow(entry.clone(), Feed::Control));
    spawn_local(follow::follow(entry.clone(), Feed::Servers));
    spawn_local(follow::hold_leases(entry.clone()));
    spawn_local(relays::subscribe(entry.clone()));
    spawn_local(renewals::write(entry.clone()));
    spawn_local(word::spread(entry.clone()));
    spawn_local(word::keep(entry.clone()));
    spawn_local(sweep(entry.clone()));
    spawn_local(watch_settings(entry.clone(), path));
    let mut term = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
    tokio::select! {
        _ = term.recv() => log::info!("stopping on SIGTERM"),
        _ = int.recv() => log::info!("stopping on SIGINT"),
    }
    drain(&entry).await;
    Ok(())
}

fn new_entry(cfg: EntrySettings, platform: &dyn Platform) -> Rc<Entry> {
    let holder: Arc<str> = format!("{}@{}", cfg.host, cfg.ip).into();
    let quarantine = Duration::from_millis(cfg.lease_ms) + LEASE_QUARANTINE_MARGIN;
    let times = LeaseTimes { lease: LEASE, renew: LEASE_RENEW, quarantine };
    let mut leases = LeaseBook::new(holder.clone(), cfg.peer_address(), cfg.zone.clone(), times);
    leases.set_link(cfg.link_mbps as u32);
    Rc::new(Entry {
        clock: Clock::start(),
        borders: platform.borders(cfg.store),
        metrics: Metrics::new(),
        pool: Rc::new(Pool::default()),
        peers: Rc::new(Peers::default()),
        relays: Relays::default(),
        renewals: Renewals::default(),
        holder,
        catalog: RefCell::new(None),
        versions: RefCell::default(),
        roster: RefCell::new(Roster::default()),
        placement: RefCell::new(Placement::new(cfg.zone.clone())),
        grants: RefCell::new(Grants::default()),
        leases: RefCell::new(leases),
        leases_changed: Notify::new(),
        orders: Orders::default(),
        endings: RefCell::default(),
        quarantine: RefCell::default(),
        word: Word::default(),
        retries: RefCell::default(),
        holders: Cell::new(0),
        stopping: watch::Sender::new(false),
        closed: Cell::new(false),
        cfg: RefCell::new(cfg),
    })
}

async fn sweep(entry: Rc<Entry>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = entry.clock.now();
        entry.pool.sweep(now);
        entry.quarantine.borrow_mut().expire(now);
    }
}

/// Reads the settings again on SIGHUP, and now and then without.
async fn watch_settings(entry: Rc<Entry>, path: PathBuf) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(e) => {
            log::error!("SIGHUP can't be handled: {e}");
            return;
        }
    };
    loop {
        // Either way the file is read.
        let _ = tokio::time::timeout(SETTINGS_INTERVAL, hup.recv()).await;
        match EntrySettings::read(&path) {
            Ok(cfg) if cfg == *entry.cfg.borrow() => {}
            Ok(cfg) => {
                log::info!("settings changed; addresses take effect at the next start");
                entry.cfg.replace(cfg);
                entry.retries.borrow_mut().clear();
            }
            Err(e) => log::warn!("the settings in force stay: {e}"),
        }
    }
}

/// Finishes what is under way; the load balancer sends nothing new after a while.
async fn drain(entry: &Rc<Entry>) {
    let started = entry.clock.now();
    entry.stopping.send_replace(true);
    let grace = Duration::from_secs_f64(entry.cfg.borrow().grace_s).saturating_sub(EXIT_RESERVE);
    loop {
        tokio::time::sleep(DRAIN_POLL).await;
        let waited = entry.clock.now().saturating_sub(started);
        let under_way = entry.metrics.under_way.get();
        if waited >= grace {
            log::warn!("stopping with {under_way} requests under way");
            return;
        }
        // Requests that come all the same, as when the zone has no other host, would keep
        // the process from its end.
        entry.closed.set(waited >= NOTICE);
        if waited >= NOTICE && under_way == 0 {
            log::info!("stopped after {} ms", waited.as_millis());
            return;
        }
    }
}
