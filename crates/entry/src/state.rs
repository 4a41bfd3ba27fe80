//! What the tasks of an entry host share; all run on one thread.

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
use crate::orders::Orders;
use crate::peers::Peers;
use crate::prelude::*;
use crate::relays::Relays;
use crate::renewals::Renewals;
use crate::settings::EntrySettings;
use crate::word::Word;

/// Holds the newest version of an adapter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownVersion {
    pub(crate) version: u64,
    pub(crate) since: Duration,
}

/// Holds the state of the process.
pub(crate) struct Entry {
    pub(crate) cfg: RefCell<EntrySettings>,
    pub(crate) clock: Clock,
    pub(crate) borders: Borders,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<Pool>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) relays: Relays,
    pub(crate) renewals: Renewals,
    /// The name under which this host holds leases.
    pub(crate) holder: Arc<str>,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) versions: RefCell<HashMap<AdapterId, KnownVersion>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) grants: RefCell<Grants>,
    pub(crate) leases: RefCell<LeaseBook>,
    pub(crate) leases_changed: Notify,
    pub(crate) orders: Orders,
    /// Connections that broke, until it is known whether their servers ended.
    pub(crate) endings: RefCell<Endings>,
    /// Contents under which servers ended.
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) word: Word,
    pub(crate) retries: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// Entry hosts that hold leases, by the last look at the store.
    pub(crate) holders: Cell<usize>,
    /// Set once the process is asked to stop.
    pub(crate) stopping: watch::Sender<bool>,
    /// Set once the process takes no more requests.
    pub(crate) closed: Cell<bool>,
}

impl Entry {
    /// Tells whether requests are taken and can be routed.
    pub(crate) fn is_ready(&self) -> bool {
        !*self.stopping.borrow() && self.knows_servers() && self.word.has_learnt()
    }

    /// Tells whether there is a configuration and a server to route to.
    pub(crate) fn knows_servers(&self) -> bool {
        self.catalog.borrow().is_some() && self.placement.borrow().serves_any(self.clock.now())
    }

    /// Takes over a newer configuration; an older one is ignored.
    pub(crate) fn on_catalog(self: &Rc<Self>, catalog: Catalog) {
        let known = self.catalog.borrow().as_ref().map(|catalog| catalog.version);
        if known.is_some_and(|known| known >= catalog.version) {
            return;
        }
        log::info!("configuration {} is in force, after {known:?}", catalog.version);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.sync_engines();
    }

    /// Takes over that a version of an adapter exists.
    pub(crate) fn on_version(&self, id: AdapterId, version: u64) {
        let now = self.clock.now();
        let mut versions = self.versions.borrow_mut();
        if versions.get(&id).is_some_and(|known| known.version >= version) {
            return;
        }
        log::info!("version {version} of {}/{} exists", id.model, id.adapter);
        self.orders.on_version(&id, version);
        versions.insert(id, KnownVersion { version, since: now });
    }

    /// Takes over changes of the list of servers.
    pub(crate) fn on_roster(self: &Rc<Self>, changes: Vec<RosterChange>) {
        let mut engines_changed = false;
        for change in changes {
            let mut endings = self.endings.borrow_mut().on_change(&change, self.clock.now());
            endings.extend(self.loads_ended(&change));
            self.on_endings(endings);
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
                    log::info!("server {} drains: {:?}", server.id, server.state);
                    self.placement.borrow_mut().upsert(server);
                }
                RosterChange::Gone(server) => {
                    log::info!("server {} is gone", server.id);
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

    /// Puts an engine's end down to the loads that this host had ordered there.
    fn loads_ended(&self, change: &RosterChange) -> Vec<Ending> {
        let (server, is_new) = match change {
            RosterChange::Started(server) => (server, true),
            RosterChange::Gone(server) if server.is_ready() => (server, false),
            RosterChange::Gone(_) | RosterChange::Changed(_) | RosterChange::Draining(_) => {
                return Vec::new();
            }
        };
        let has_ended =
            |born: &u64| if is_new { *born < server.born } else { *born == server.born };
        let born = self.orders.born(&server.id).filter(has_ended);
        born.map(|born| self.orders.endings(self, server, born)).unwrap_or_default()
    }

    /// Names the load of an adapter in its newest version, as content that engines may end under.
    pub(crate) fn load_content(&self, id: &AdapterId) -> ContentId {
        let version = self.versions.borrow().get(id).map_or(0, |known| known.version);
        let (model, adapter) = (id.model.as_bytes(), id.adapter.as_bytes());
        ContentId::of(&[b"load", model, adapter, &version.to_le_bytes()])
    }

    /// Takes over what a server said of itself in an answer.
    pub(crate) fn on_answer(&self, server: &Server, said: Said) {
        if self.placement.borrow_mut().on_answer(server, said, self.clock.now()) {
            log::info!("server {} says of itself: {said:?}", server.id);
        }
    }

    /// Tells whether a server takes requests of this host.
    pub(crate) fn standing(&self, server: &Server) -> Standing {
        self.placement.borrow().standing(server, self.clock.now())
    }

    /// Tells the lease book which engines there are.
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

    /// Takes over how many entry hosts hold leases.
    pub(crate) fn on_holders(&self, holders: usize) {
        if self.holders.replace(holders) != holders {
            let tokens_max = slack_part(self.cfg.borrow().retry_slack, holders);
            for budget in self.retries.borrow_mut().values_mut() {
                budget.set_max(tokens_max);
            }
        }
    }

    /// Counts a request for a service.
    pub(crate) fn on_request(&self, service: &Arc<str>) {
        self.with_budget(service, RetryBudget::on_request);
    }

    /// Takes a repeated send out of the service's budget.
    pub(crate) fn try_retry(&self, service: &Arc<str>) -> bool {
        let allowed = self.with_budget(service, RetryBudget::try_retry);
        if allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_denied.inc();
        }
        allowed
    }

    fn with_budget<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.retries.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let cfg = self.cfg.borrow();
            retry_budget(cfg.retry_share, cfg.retry_slack, self.holders.get())
        });
        f(budget)
    }
}
