//! The process: startup, reload of the settings, and graceful shutdown.

use std::path::PathBuf;

use eyre::{Context, Result};
use guavaspread_fleet::{
    EventBuffers, GrantCache, LeaseManager, LeaseTimes, Placement, RequestLimits, RetryShares,
    ServerList, StopAction, StopSchedule,
};
use guavaspread_model::content_hash;
use http::StatusCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::body_budget::BodyBudget;
use crate::connection_pool::ConnectionPool;
use crate::crash_gossip::{self, CrashGossip};
use crate::feed_relay::{self, FeedRelay};
use crate::lease_renewal::LeaseRenewals;
use crate::metrics::Metrics;
use crate::owned_engines::OwnedEngines;
use crate::peers::Peers;
use crate::platform::{Feed, Platform, WriteOutcome};
use crate::prelude::*;
use crate::quotas::{self, Quotas};
use crate::server_paths::{self, ServerPaths};
use crate::settings::EntrySettings;
use crate::state::EntryState;
use crate::stream_versions::StreamVersions;
use crate::{engine_probes, http_server, lease_renewal, peer_server, store_watch, stream_versions};

/// How long a lease lasts. It is longer than most outages of the store; with a shorter one, loads
/// of adapters would stop during an outage.
const LEASE_TTL: Duration = Duration::from_secs(12);
/// Interval between renewals; a failed renewal is retried at once.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Added to the delay between the commands of two owners of an engine. It covers the retransmission
/// of a lost packet.
const TAKEOVER_DELAY_MARGIN: Duration = Duration::from_millis(300);
/// How long the load balancer takes to notice that the host is not ready: two health checks.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// How long the store may take to end the lease of a process that stops.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the requests that are given up at the end of the grace period take to be answered.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Part of the grace period that is reserved for the exit of the process, more than
/// [`ANSWER_TIME`] and [`RELEASE_TIMEOUT`].
const EXIT_RESERVE: Duration = Duration::from_millis(700);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between log lines of requests that left the zone.
const LEFT_ZONE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between removals of idle connections and expired contents.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an entry host until SIGTERM or SIGINT; call it inside a local task set.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a signal handler can't be installed.
pub async fn run(cfg: EntrySettings, path: PathBuf, platform: &dyn Platform) -> Result<()> {
    let entry = new_entry(cfg.clone(), platform);
    let listen =
        |address| http_server::listen(address).wrap_err_with(|| format!("listening on {address}"));
    let caller_listener = listen(cfg.listen)?;
    let ready_listener = listen(cfg.ready)?;
    let metrics_listener = listen(cfg.metrics)?;
    let peer_listener = listen(cfg.peer_address())?;
    log::info!("entry host {} in zone {} serves callers on {}", cfg.host, cfg.zone, cfg.listen);
    spawn_local(http_server::serve_callers(entry.clone(), caller_listener));
    let state = entry.clone();
    spawn_local(http_server::serve_text_page(ready_listener, move || {
        http_server::readiness(&state)
    }));
    let state = entry.clone();
    spawn_local(http_server::serve_text_page(metrics_listener, move || {
        (StatusCode::OK, state.metrics_text())
    }));
    spawn_local(peer_server::serve(entry.clone(), peer_listener));
    spawn_local(store_watch::watch_feed(entry.clone(), Feed::Control));
    spawn_local(store_watch::watch_feed(entry.clone(), Feed::Servers));
    spawn_local(store_watch::watch_feed(entry.clone(), Feed::StreamVersions));
    spawn_local(stream_versions::keep_versions(entry.clone()));
    spawn_local(store_watch::hold_leases(entry.clone()));
    spawn_local(engine_probes::probe_engines(entry.clone()));
    spawn_local(feed_relay::follow_watchers(entry.clone()));
    spawn_local(lease_renewal::write_batches(entry.clone()));
    spawn_local(quotas::ping_issuers(entry.clone()));
    spawn_local(crash_gossip::gossip(entry.clone()));
    spawn_local(crash_gossip::persist(entry.clone()));
    spawn_local(server_paths::watch_paths(entry.clone()));
    spawn_local(remove_expired(entry.clone()));
    spawn_local(watch_settings(entry.clone(), path));
    let mut term = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
    tokio::select! {
        _ = term.recv() => log::info!("stopping on SIGTERM"),
        _ = int.recv() => log::info!("stopping on SIGINT"),
    }
    drain(&entry).await;
    release_leases(&entry).await;
    Ok(())
}

/// Gives up this host's lease, so that other hosts need not wait for it to expire.
async fn release_leases(entry: &Rc<EntryState>) {
    let Some(write) = entry.leases.borrow_mut().release(entry.clock.now()) else { return };
    entry.owned_engines.sync(entry);
    let writing = entry.platform.store.write_leases(&write);
    match tokio::time::timeout(RELEASE_TIMEOUT, writing).await {
        Ok(Ok(WriteOutcome::Done { .. })) => log::info!("the lease was released"),
        Ok(Ok(WriteOutcome::Conflict)) => {
            log::info!("the lease was not released, as its row has changed; it expires by itself");
        }
        Ok(Err(e)) => log::warn!("the lease was not released; it expires by itself: {e}"),
        Err(_) => log::warn!(
            "the store did not take the release of the lease in {} ms; it expires by itself",
            RELEASE_TIMEOUT.as_millis()
        ),
    }
}

fn new_placement(cfg: &EntrySettings) -> Placement {
    let mut placement = Placement::new(cfg.zone.clone());
    placement.set_zone_crossing(cfg.zone_crossing_cost, content_hash(cfg.host.as_bytes()));
    placement
}

fn new_entry(cfg: EntrySettings, platform: &dyn Platform) -> Rc<EntryState> {
    let holder: Arc<str> = format!("{}@{}", cfg.host, cfg.ip).into();
    let takeover_delay = Duration::from_millis(cfg.lease_ms) + TAKEOVER_DELAY_MARGIN;
    let times = LeaseTimes {
        lease_ttl: LEASE_TTL,
        renewal_interval: LEASE_RENEWAL_INTERVAL,
        takeover_delay,
    };
    let mut leases = LeaseManager::new(holder.clone(), cfg.peer_address(), cfg.zone.clone(), times);
    leases.set_link_mbps(cfg.link_mbps as u32);
    leases.set_first_start(cfg.first_start);
    Rc::new(EntryState {
        clock: Clock::start(),
        platform: platform.clients(cfg.store),
        metrics: Metrics::new(),
        pool: Rc::new(ConnectionPool::default()),
        peers: Rc::new(Peers::default()),
        feed_relay: FeedRelay::default(),
        renewals: LeaseRenewals::default(),
        holder,
        catalog: RefCell::new(None),
        limits: watch::Sender::new(RequestLimits::default()),
        versions: RefCell::default(),
        versions_changed: Notify::new(),
        server_list: RefCell::new(ServerList::default()),
        placement: RefCell::new(new_placement(&cfg)),
        grant_cache: RefCell::new(GrantCache::default()),
        leases: RefCell::new(leases),
        leases_changed: Notify::new(),
        owned_engines: OwnedEngines::default(),
        stream_versions: StreamVersions::default(),
        crash_detector: RefCell::default(),
        quotas: Quotas::default(),
        response_ends: RefCell::default(),
        ends_changed: Notify::new(),
        watches_departures: Cell::default(),
        quarantine: RefCell::default(),
        hosts_read_at: Cell::default(),
        announced_hosts: RefCell::default(),
        permit_issuer: RefCell::default(),
        crash_gossip: CrashGossip::default(),
        event_buffers: EventBuffers::default(),
        body_budget: BodyBudget::default(),
        retry_shares: RefCell::new(RetryShares::new(cfg.retry_share, cfg.retry_slack)),
        stopping: watch::Sender::new(false),
        stop: Cell::default(),
        unsent_connections: Rc::default(),
        gives_up: watch::Sender::new(false),
        server_paths: ServerPaths::default(),
        cfg: RefCell::new(cfg),
    })
}

async fn remove_expired(entry: Rc<EntryState>) {
    let mut left_zone = ReportedCount { count: 0, at: entry.clock.now() };
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = entry.clock.now();
        if let Some(left) = left_zone.next(entry.placement.borrow().left_zone_count(), now) {
            log::info!("{left} choices of a server left the zone since the last such line");
        }
        entry.pool.sweep(now);
        entry.quarantine.borrow_mut().expire(now);
    }
}

/// A count whose growth is logged now and then.
struct ReportedCount {
    count: u64,
    at: Duration,
}

impl ReportedCount {
    /// Returns by how much the count has grown, if that is due to be logged.
    fn next(&mut self, count: u64, now: Duration) -> Option<u64> {
        if count == self.count || now < self.at + LEFT_ZONE_LOG_INTERVAL {
            return None;
        }
        self.at = now;
        Some(count - std::mem::replace(&mut self.count, count))
    }
}

/// Reloads the settings on SIGHUP and at regular intervals.
async fn watch_settings(entry: Rc<EntryState>, path: PathBuf) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(e) => {
            log::error!("installing the SIGHUP handler failed; settings are not reloaded: {e}");
            return;
        }
    };
    loop {
        // The file is read after a signal as well as after the timeout.
        let _ = tokio::time::timeout(SETTINGS_RELOAD_INTERVAL, hup.recv()).await;
        match EntrySettings::read(&path) {
            Ok(cfg) if cfg == *entry.cfg.borrow() => {}
            Ok(cfg) => {
                log::info!(
                    "settings reloaded; changed addresses of this host take effect at the next start"
                );
                entry.platform.store.set_address(cfg.store);
                entry.retry_shares.borrow_mut().set_limits(cfg.retry_share, cfg.retry_slack);
                entry.cfg.replace(cfg);
            }
            Err(e) => {
                log::warn!("reloading the settings failed; the previous ones stay in force: {e}")
            }
        }
    }
}

/// Waits for the requests in flight to finish and their responses to be sent, at most for the grace
/// period.
async fn drain(entry: &Rc<EntryState>) {
    let started = entry.clock.now();
    let grace = Duration::from_secs_f64(entry.cfg.borrow().grace_s).saturating_sub(EXIT_RESERVE);
    let schedule = StopSchedule::new(started, BALANCER_NOTICE_TIME, grace, ANSWER_TIME);
    entry.stop.set(Some(schedule));
    entry.stopping.send_replace(true);
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let now = entry.clock.now();
        // Requests of peers use the tunnels that this host serves.
        let under_way = entry.metrics.under_way.get() + entry.metrics.tunnels_served.get();
        let unsent = entry.unsent_connections.get();
        match schedule.next_action(now, under_way > 0 || unsent > 0) {
            StopAction::Wait => {}
            StopAction::GiveUp => {
                if !entry.gives_up.send_replace(true) {
                    log::warn!("grace period is over; giving up {under_way} requests in flight");
                }
            }
            StopAction::Exit if under_way > 0 || unsent > 0 => {
                log::warn!(
                    "stopping with {under_way} requests in flight and {unsent} unsent responses"
                );
                return;
            }
            StopAction::Exit => {
                let elapsed = now.saturating_sub(started);
                log::info!("all requests finished; stopping after {} ms", elapsed.as_millis());
                return;
            }
        }
    }
}
