//! State that the tasks of an entry host share; all tasks run on one thread.

use std::collections::BTreeMap;

use guavaspread_fleet::{
    AdapterId, AdapterVersions, Availability, Catalog, CrashDetector, EventBuffers, GrantCache,
    HostLease, LeaseManager, LeaseTable, LostEngine, NamedLimit, PermitIssuer, Placement,
    Quarantine, RejectionNotice, RequestLimits, ResponseEnds, RetryShares, Server, ServerChange,
    ServerCrash, ServerList, ServerNotice, StopSchedule, revision_era,
};
use guavaspread_model::ContentId;
use tokio::sync::{Notify, watch};

use crate::body_budget::BodyBudget;
use crate::caller_io::UnsentConnections;
use crate::connection_pool::ConnectionPool;
use crate::crash_gossip::CrashGossip;
use crate::feed_relay::FeedRelay;
use crate::lease_renewal::LeaseRenewals;
use crate::metrics::Metrics;
use crate::owned_engines::OwnedEngines;
use crate::peers::Peers;
use crate::platform::{PlatformClients, ResponseInfo};
use crate::prelude::*;
use crate::quotas::Quotas;
use crate::server_paths::ServerPaths;
use crate::settings::EntrySettings;
use crate::stream_versions::StreamVersions;

/// Shared state of the process.
pub(crate) struct EntryState {
    pub(crate) cfg: RefCell<EntrySettings>,
    pub(crate) clock: Clock,
    pub(crate) platform: PlatformClients,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) feed_relay: FeedRelay,
    pub(crate) renewals: LeaseRenewals,
    /// Identifies this host in the lease table.
    pub(crate) holder: Arc<str>,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// The limits in force, which also hold for open connections.
    pub(crate) limits: watch::Sender<RequestLimits>,
    pub(crate) versions: RefCell<AdapterVersions>,
    pub(crate) versions_changed: Notify,
    pub(crate) server_list: RefCell<ServerList>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) grant_cache: RefCell<GrantCache>,
    pub(crate) leases: RefCell<LeaseManager>,
    pub(crate) leases_changed: Notify,
    pub(crate) owned_engines: OwnedEngines,
    /// The software versions of streams.
    pub(crate) stream_versions: StreamVersions,
    /// Lost connections whose servers may have crashed.
    pub(crate) crash_detector: RefCell<CrashDetector>,
    /// What is known of servers whose connections ended responses.
    pub(crate) response_ends: RefCell<ResponseEnds>,
    /// Notified when there may be evidence on the end of a response.
    pub(crate) ends_changed: Notify,
    /// Whether changes of the servers' rows are read as they happen.
    pub(crate) watches_departures: Cell<bool>,
    /// Contents that crashed servers.
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) crash_gossip: CrashGossip,
    pub(crate) retry_shares: RefCell<RetryShares>,
    /// What the streams of this host buffer of incomplete events.
    pub(crate) event_buffers: EventBuffers,
    /// What the bodies of the requests of this host take of its memory.
    pub(crate) body_budget: BodyBudget,
    /// When the list of hosts was last read for another purpose than a lease.
    pub(crate) hosts_read_at: Cell<Option<Duration>>,
    /// Hosts that announced themselves as coordinators since the leases were last read.
    pub(crate) announced_hosts: RefCell<BTreeMap<Arc<str>, HostLease>>,
    pub(crate) quotas: Quotas,
    /// Permits of the rate-limited servers that this host coordinates.
    pub(crate) permit_issuer: RefCell<PermitIssuer>,
    /// Becomes true when the process starts to shut down.
    pub(crate) stopping: watch::Sender<bool>,
    /// What this host still does in a planned stop; `None` until it stops.
    pub(crate) stop: Cell<Option<StopSchedule>>,
    /// Callers' connections with a part of a response that the kernel has not taken yet.
    pub(crate) unsent_connections: UnsentConnections,
    /// Becomes true when the requests that are left are given up, as the process exits.
    pub(crate) gives_up: watch::Sender<bool>,
    pub(crate) server_paths: ServerPaths,
}

impl EntryState {
    /// Returns whether this host accepts requests and can route them.
    pub(crate) fn is_ready(&self) -> bool {
        !*self.stopping.borrow()
            && self.has_routable_server()
            && self.crash_gossip.has_bootstrapped()
            && self.has_path_to_servers()
    }

    /// Returns whether this host accepts a request that has just arrived.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.stop.get().is_none_or(|stop| stop.accepts_requests(self.clock.now()))
    }

    /// Returns whether a request may be sent whose response ends by `response_end` at the latest.
    pub(crate) fn can_send(&self, response_end: Duration) -> bool {
        self.stop.get().is_none_or(|stop| stop.can_send(self.clock.now(), response_end))
    }

    /// Waits until the requests that are left are given up.
    pub(crate) async fn until_given_up(&self) {
        // Fails only if the sender is dropped, and this value holds it.
        let _ = self.gives_up.subscribe().wait_for(|gives_up| *gives_up).await;
    }

    /// Returns whether this host has a configuration and a server to route to.
    pub(crate) fn has_routable_server(&self) -> bool {
        self.catalog.borrow().is_some()
            && self.placement.borrow().has_available_server(self.clock.now())
    }

    /// Applies a newer configuration; ignores an older one.
    pub(crate) fn on_catalog(self: &Rc<Self>, catalog: Catalog) {
        let known = self.catalog.borrow().as_ref().map(|catalog| catalog.version);
        if known.is_some_and(|known| known >= catalog.version) {
            if known > Some(catalog.version) {
                self.metrics.configs_outdated.inc();
                log::info!(
                    "configuration {} is older than {known:?}, which stays in force",
                    catalog.version
                );
            }
            return;
        }
        self.limits
            .send_if_modified(|limits| std::mem::replace(limits, catalog.limits) != catalog.limits);
        log::info!("configuration {} is in force; previous version {known:?}", catalog.version);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.sync_engines();
    }

    /// Notices that the store came back from an older copy, by the revision of a response.
    pub(crate) fn on_store_revision(&self, revision: u64) {
        // The relayed configuration has no revision, and tells of no era.
        if revision > 0 {
            self.on_store_era(revision_era(revision));
        }
    }

    fn on_store_era(&self, era: u64) {
        let now = self.clock.now();
        self.platform.store.note_era(era);
        let mut leases = self.leases.borrow_mut();
        let previous = leases.known_era();
        if !leases.on_era(era, now) {
            return;
        }
        let kept_engines = leases.owned_engines(now).len();
        drop(leases);
        let Some(previous) = previous else { return };
        log::warn!(
            "the store came back from an older copy: era {era} follows {previous}; its rows are \
             read again, and this host keeps {kept_engines} engines until its lease expires"
        );
        self.metrics.store_restores.inc();
        self.crash_gossip.on_store_restored();
        self.leases_changed.notify_waiters();
    }

    /// Applies a read of the leases, whose rows may tell of a later era than the store states.
    pub(crate) fn on_lease_table(&self, table: LeaseTable, is_complete: bool, sent_at: Duration) {
        self.on_store_era(table.latest_era());
        let mut leases = self.leases.borrow_mut();
        leases.on_read(table, is_complete, sent_at, self.clock.now());
        for LostEngine { engine, fence, owner } in leases.take_lost_engines() {
            self.metrics.engines_lost.inc();
            match owner {
                Some(owner) => log::warn!(
                    "engine {engine}, owned with fence {fence} before the store came back, is now \
                     owned by {owner}"
                ),
                None => log::warn!(
                    "engine {engine}, owned with fence {fence} before the store came back, was not \
                     claimed again before this host's lease expired"
                ),
            }
        }
    }

    /// Records a newly registered version of an adapter.
    pub(crate) fn on_new_version(&self, id: AdapterId, version: u64) {
        if !self.versions.borrow_mut().on_version(&id, version, self.clock.now()) {
            return;
        }
        log::info!("version {version} of adapter {}/{} is registered", id.model, id.adapter);
        self.owned_engines.on_new_version(&id, version);
        self.versions_changed.notify_waiters();
    }

    /// Waits until a request that was sent for this version of an adapter may no longer begin.
    pub(crate) async fn until_outdated(&self, id: &AdapterId, version: u64) {
        loop {
            let changed = self.versions_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let begin_by = self.versions.borrow().begin_by(id, version);
            match begin_by {
                Some(at) => return tokio::time::sleep(at.saturating_sub(self.clock.now())).await,
                None => changed.await,
            }
        }
    }

    /// Applies changes of the server list.
    pub(crate) fn on_server_changes(self: &Rc<Self>, changes: Vec<ServerChange>) {
        self.stream_versions.on_server_changes();
        let mut engines_changed = false;
        let is_expiry_ruled_out = self.server_list.borrow().is_expiry_ruled_out(self.clock.now());
        for change in changes {
            let now = self.clock.now();
            self.response_ends.borrow_mut().on_server_change(&change, is_expiry_ruled_out, now);
            let mut crashes =
                self.crash_detector.borrow_mut().on_server_change(&change, self.clock.now());
            crashes.extend(self.crashed_loads(&change));
            self.on_server_crashes(crashes);
            match change {
                ServerChange::Started(server) => {
                    log::info!("server {} of {} started", server.id, server.service);
                    self.pool.forget_server(&server.id);
                    self.grant_cache.borrow_mut().invalidate_server(&server.id);
                    self.placement.borrow_mut().upsert(server);
                    engines_changed = true;
                }
                ServerChange::Changed(server) => self.placement.borrow_mut().upsert(server),
                ServerChange::Draining(server) => {
                    log::info!("server {} is draining: {:?}", server.id, server.state);
                    self.placement.borrow_mut().upsert(server);
                }
                ServerChange::Removed(server) => {
                    log::info!("server {} was removed", server.id);
                    self.ask_unlisted(&server);
                    self.pool.forget_server(&server.id);
                    self.grant_cache.borrow_mut().invalidate_server(&server.id);
                    self.placement.borrow_mut().remove(&server.id);
                    engines_changed = true;
                }
            }
        }
        self.on_ends_changed();
        if engines_changed {
            self.sync_engines();
        }
    }

    /// Attributes an engine's crash to the loads that this host had requested there.
    fn crashed_loads(&self, change: &ServerChange) -> Vec<ServerCrash> {
        let (server, is_restart) = match change {
            ServerChange::Started(server) => (server, true),
            ServerChange::Removed(server) if server.is_ready() => (server, false),
            ServerChange::Removed(_) | ServerChange::Changed(_) | ServerChange::Draining(_) => {
                return Vec::new();
            }
        };
        let has_crashed = |started_at_ms: &u64| {
            if is_restart {
                *started_at_ms < server.started_at_ms
            } else {
                *started_at_ms == server.started_at_ms
            }
        };
        let started_at_ms = self.owned_engines.started_at_ms(&server.id).filter(has_crashed);
        started_at_ms
            .map(|started_at_ms| self.owned_engines.load_crashes(self, server, started_at_ms))
            .unwrap_or_default()
    }

    /// Returns the content id of a load of an adapter in its newest version.
    ///
    /// A load has a content id like a request, because it may crash its engine too.
    pub(crate) fn load_content(&self, id: &AdapterId) -> ContentId {
        let version = self.versions.borrow().newest(id);
        let (model, adapter) = (id.model.as_bytes(), id.adapter.as_bytes());
        ContentId::of(&[b"load", model, adapter, &version.to_le_bytes()])
    }

    /// Applies a server's notice from the head of its response.
    pub(crate) fn on_server_notice(self: &Rc<Self>, server: &Server, notice: ServerNotice) {
        if self.placement.borrow_mut().on_server_notice(server, notice, self.clock.now()) {
            log::info!("server {} sent a notice: {notice:?}", server.id);
            if notice.is_draining {
                self.response_ends.borrow_mut().on_notice(server, self.clock.now());
            }
        }
        self.on_rate_limit(server, notice.rate_limit);
    }

    /// Applies what a server's response to a request sent at `sent_at` says about the rejections that
    /// the server can bear.
    pub(crate) fn on_rejection_limit(
        &self,
        server: &Server,
        response_info: &ResponseInfo,
        is_rejected: bool,
        sent_at: Duration,
    ) {
        if response_info.is_other_server(&server.id) {
            return;
        }
        let limit = response_info.notice.rejection_limit;
        if limit == NamedLimit::Invalid {
            self.metrics.rate_limits_invalid.inc();
            log::debug!("server {} named an invalid limit of rejections, ignored", server.id);
        }
        let notice = RejectionNotice { limit, is_rejected, sent_at };
        let now = self.clock.now();
        if self.placement.borrow_mut().on_rejection_notice(server, notice, now) {
            match limit {
                NamedLimit::Limit(limit) => log::info!(
                    "server {} crashes when it rejects more than {limit}; requests keep to its room",
                    server.id
                ),
                NamedLimit::Absent | NamedLimit::Invalid => {
                    log::info!("server {} names no limit of rejections any more", server.id);
                }
            }
        }
    }

    /// Returns whether a server accepts requests from this host.
    pub(crate) fn availability(&self, server: &Server) -> Availability {
        self.placement.borrow().availability(server, self.clock.now())
    }

    /// Updates the engines that this host may claim.
    pub(crate) fn sync_engines(self: &Rc<Self>) {
        let Some(catalog) = self.catalog.borrow().clone() else { return };
        let zone = self.cfg.borrow().zone.clone();
        let server_list = self.server_list.borrow();
        let engines = server_list.servers().filter(|server| {
            catalog.service(&server.service).is_some_and(|service| service.engine.is_some())
        });
        let engines = engines.map(|server| (server.id.clone(), server.zone == zone)).collect();
        self.leases.borrow_mut().set_engines(engines);
        drop(server_list);
        self.owned_engines.sync(self);
        self.leases_changed.notify_waiters();
    }

    /// Applies the number of hosts with leases, among which the retry budgets are divided.
    pub(crate) fn on_holder_count(&self, holder_count: usize) {
        let now = self.clock.now();
        let predecessor_age = self.leases.borrow().predecessor_age(now);
        self.retry_shares.borrow_mut().on_holders(holder_count, predecessor_age, now);
        self.placement.borrow_mut().set_host_count(holder_count);
    }

    /// Adds a request to the retry budget of its service.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        self.retry_shares.borrow_mut().on_request(service, self.clock.now());
    }

    /// Spends one retry from the budget of a service; returns whether the retry is allowed.
    pub(crate) fn try_spend_retry(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let is_allowed = self.retry_shares.borrow_mut().try_take(service, now);
        if is_allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_denied.inc();
        }
        is_allowed
    }
}
