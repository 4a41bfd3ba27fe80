//! State that the tasks of an entry host share; all tasks run on one thread.

use guavaspread_fleet::{
    AdapterId, Catalog, Ending, Endings, Grants, LeaseBook, Placement, Quarantine, Roster,
    RosterChange, Said, Server, Standing, retry_budget, slack_part,
};
use guavaspread_model::ContentId;
use guavaspread_placement::RetryBudget;
use tokio::sync::{Notify, watch};

use crate::border::Borders;
use crate::channel::Pool;
use crate::metrics::Metrics;
use crate::orders::OwnedEngines;
use crate::peers::Peers;
use crate::prelude::*;
use crate::relays::FeedRelay;
use crate::renewals::LeaseRenewals;
use crate::settings::EntrySettings;
use crate::word::CrashGossip;

/// The newest version of an adapter, and when this host learnt of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownVersion {
    pub(crate) version: u64,
    pub(crate) since: Duration,
}

/// Shared state of the process.
pub(crate) struct Entry {
    pub(crate) cfg: RefCell<EntrySettings>,
    pub(crate) clock: Clock,
    pub(crate) borders: Borders,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<Pool>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) feed_relay: FeedRelay,
    pub(crate) renewals: LeaseRenewals,
    /// Identifies this host in the lease table.
    pub(crate) holder: Arc<str>,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) versions: RefCell<HashMap<AdapterId, KnownVersion>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) grants: RefCell<Grants>,
    pub(crate) leases: RefCell<LeaseBook>,
    pub(crate) leases_changed: Notify,
    pub(crate) orders: OwnedEngines,
    /// Lost connections whose servers may have crashed.
    pub(crate) crash_detector: RefCell<Endings>,
    /// Contents under which servers crashed.
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) crash_gossip: CrashGossip,
    pub(crate) retry_budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// Number of entry hosts with a valid lease at the last read of the leases.
    pub(crate) lease_holder_count: Cell<usize>,
    /// Becomes true when the process starts to shut down.
    pub(crate) stopping: watch::Sender<bool>,
    /// Whether new requests are rejected.
    pub(crate) closed: Cell<bool>,
}

impl Entry {
    /// Returns whether this host accepts requests and can route them.
    pub(crate) fn is_ready(&self) -> bool {
        !*self.stopping.borrow() && self.knows_servers() && self.crash_gossip.has_bootstrapped()
    }

    /// Returns whether this host has a configuration and a server to route to.
    pub(crate) fn knows_servers(&self) -> bool {
        self.catalog.borrow().is_some() && self.placement.borrow().serves_any(self.clock.now())
    }

    /// Applies a newer configuration; ignores an older one.
    pub(crate) fn on_catalog(self: &Rc<Self>, catalog: Catalog) {
        let known = self.catalog.borrow().as_ref().map(|catalog| catalog.version);
        if known.is_some_and(|known| known >= catalog.version) {
            return;
        }
        log::info!("configuration {} is in force; previous version {known:?}", catalog.version);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.sync_engines();
    }

    /// Records a newly registered version of an adapter.
    pub(crate) fn on_version(&self, id: AdapterId, version: u64) {
        let now = self.clock.now();
        let mut versions = self.versions.borrow_mut();
        if versions.get(&id).is_some_and(|known| known.version >= version) {
            return;
        }
        log::info!("version {version} of adapter {}/{} is registered", id.model, id.adapter);
        self.orders.on_version(&id, version);
        versions.insert(id, KnownVersion { version, since: now });
    }

    /// Applies changes of the list of servers.
    pub(crate) fn on_roster(self: &Rc<Self>, changes: Vec<RosterChange>) {
        let mut engines_changed = false;
        for change in changes {
            let mut crashes = self.crash_detector.borrow_mut().on_change(&change, self.clock.now());
            crashes.extend(self.crashed_loads(&change));
            self.on_server_crashes(crashes);
            match change {
                RosterChange::Started(server) => {
                    log::info!("server {} of {} started", server.id, server.service);
                    self.pool.close(&server.id);
                    self.grants.borrow_mut().revoke_server(&server.id);
                    self.placement.borrow_mut().upsert(server);
                    engines_changed = true;
                }
                RosterChange::Changed(server) => self.placement.borrow_mut().upsert(server),
                RosterChange::Draining(server) => {
                    log::info!("server {} is draining: {:?}", server.id, server.state);
                    self.placement.borrow_mut().upsert(server);
                }
                RosterChange::Gone(server) => {
                    log::info!("server {} was removed", server.id);
                    self.pool.close(&server.id);
                    self.grants.borrow_mut().revoke_server(&server.id);
                    self.placement.borrow_mut().remove(&server.id);
                    engines_changed = true;
                }
            }
        }
        if engines_changed {
            self.sync_engines();
        }
    }

    /// Attributes an engine's crash to the loads that this host had ordered there.
    fn crashed_loads(&self, change: &RosterChange) -> Vec<Ending> {
        let (server, is_restart) = match change {
            RosterChange::Started(server) => (server, true),
            RosterChange::Gone(server) if server.is_ready() => (server, false),
            RosterChange::Gone(_) | RosterChange::Changed(_) | RosterChange::Draining(_) => {
                return Vec::new();
            }
        };
        let has_crashed =
            |born: &u64| if is_restart { *born < server.born } else { *born == server.born };
        let born = self.orders.born(&server.id).filter(has_crashed);
        born.map(|born| self.orders.load_crashes(self, server, born)).unwrap_or_default()
    }

    /// Returns the content id of an adapter's load in its newest version; engines may crash under
    /// a load as under a request.
    pub(crate) fn load_content(&self, id: &AdapterId) -> ContentId {
        let version = self.versions.borrow().get(id).map_or(0, |known| known.version);
        let (model, adapter) = (id.model.as_bytes(), id.adapter.as_bytes());
        ContentId::of(&[b"load", model, adapter, &version.to_le_bytes()])
    }

    /// Applies a server's notice from the head of its response.
    pub(crate) fn on_answer(&self, server: &Server, notice: Said) {
        if self.placement.borrow_mut().on_answer(server, notice, self.clock.now()) {
            log::info!("server {} sent a notice: {notice:?}", server.id);
        }
    }

    /// Returns whether a server accepts requests from this host.
    pub(crate) fn standing(&self, server: &Server) -> Standing {
        self.placement.borrow().standing(server, self.clock.now())
    }

    /// Updates the engines that this host may claim.
    pub(crate) fn sync_engines(self: &Rc<Self>) {
        let Some(catalog) = self.catalog.borrow().clone() else { return };
        let zone = self.cfg.borrow().zone.clone();
        let roster = self.roster.borrow();
        let engines = roster.servers().filter(|server| {
            catalog.service(&server.service).is_some_and(|service| service.engine.is_some())
        });
        let engines = engines.map(|server| (server.id.clone(), server.zone == zone)).collect();
        self.leases.borrow_mut().set_engines(engines);
        drop(roster);
        self.orders.sync(self);
        self.leases_changed.notify_waiters();
    }

    /// Sets the number of entry hosts that share the retry budgets.
    pub(crate) fn set_lease_holder_count(&self, holder_count: usize) {
        if self.lease_holder_count.replace(holder_count) != holder_count {
            let tokens_max = slack_part(self.cfg.borrow().retry_slack, holder_count);
            for budget in self.retry_budgets.borrow_mut().values_mut() {
                budget.set_tokens_max(tokens_max);
            }
        }
    }

    /// Adds a request to the retry budget of its service.
    pub(crate) fn on_request(&self, service: &Arc<str>) {
        self.with_retry_budget(service, RetryBudget::on_request);
    }

    /// Spends one retry from the budget of a service; returns whether the retry is allowed.
    pub(crate) fn try_retry(&self, service: &Arc<str>) -> bool {
        let is_allowed = self.with_retry_budget(service, RetryBudget::try_take);
        if is_allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_denied.inc();
        }
        is_allowed
    }

    fn with_retry_budget<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let cfg = self.cfg.borrow();
            retry_budget(cfg.retry_share, cfg.retry_slack, self.lease_holder_count.get())
        });
        f(budget)
    }
}
