//! Quotas of organisations: asks for the request at hand, answers peers, and pings the issuers.

use std::net::SocketAddr;

use guavaspread_fleet::{
    Caller, HostLease, Organisation, QUOTA_PING_INTERVAL, Quota, QuotaDecision, QuotaHosts,
    QuotaLedger, QuotaUse,
};
use guavaspread_model::Refusal;

use crate::metrics::QuotaLabels;
use crate::peer_message::{QuotaCall, QuotaPing, QuotaRole};
use crate::platform::RequestInfo;
use crate::prelude::*;
use crate::refusals::over_quota;
use crate::state::EntryState;

/// Organisations with counters of their own; the others are counted together.
const COUNTED_ORGANISATIONS_MAX: usize = 64;

/// Interval between the log lines of what an issuer granted.
const USE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The quotas that this host uses and grants.
#[derive(Default)]
pub(crate) struct Quotas {
    ledger: RefCell<QuotaLedger>,
    /// The hosts of each organisation with a quota.
    directory: RefCell<Directory>,
}

#[derive(Default)]
struct Directory {
    hosts_digest: u64,
    config: u64,
    hosts: HashMap<Arc<str>, Rc<(Quota, QuotaHosts)>>,
}

/// What a request was granted; given back if the request has not run.
#[derive(Default)]
pub(crate) struct QuotaGrant(Option<Granted>);

struct Granted {
    organisation: Arc<str>,
    cost: u64,
    /// Who granted it; `None` for this host.
    issuer: Option<SocketAddr>,
}

impl Quotas {
    pub(crate) fn give_back(&self, organisation: &Arc<str>, cost: u64) {
        self.ledger.borrow_mut().give_back(organisation, cost as f64);
    }

    /// Logs what this host granted and refused as an issuer.
    fn log_uses(&self) {
        for (organisation, QuotaUse { granted, refused }) in self.ledger.borrow().uses() {
            log::info!(
                "quota of organisation {organisation}: this host granted {granted:.0} units and \
                 refused {refused} requests since it issues it"
            );
        }
    }

    fn find(&self, organisation: &str) -> Option<Rc<(Quota, QuotaHosts)>> {
        self.directory.borrow().hosts.get(organisation).cloned()
    }
}

impl QuotaGrant {
    /// Gives back what was granted to a request that has not run.
    pub(crate) fn give_back(&mut self, entry: &EntryState) {
        let Some(Granted { organisation, cost, issuer }) = self.0.take() else { return };
        match issuer {
            None => entry.quotas.give_back(&organisation, cost),
            Some(address) => entry.peers.return_quota(address, organisation, cost),
        }
    }
}

impl EntryState {
    /// Acquires the part of its organisation's quota that a request needs.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request beyond the quota.
    pub(crate) async fn acquire_quota(
        self: &Rc<Self>,
        sender: &Caller,
        info: &RequestInfo,
    ) -> Result<QuotaGrant, Refusal> {
        let Caller::Organisation(organisation) = sender else { return Ok(QuotaGrant::default()) };
        let Some(quota) = &organisation.quota else { return Ok(QuotaGrant::default()) };
        let cost = quota.cost(info.tokens) as u64;
        let (decision, issuer) = self.ask_quota(organisation, cost).await;
        let labels = self.quota_labels(organisation, decision);
        self.metrics.quota_requests.get_or_create(&labels).inc();
        match decision {
            QuotaDecision::Granted => {
                let organisation = organisation.name.clone();
                Ok(QuotaGrant(Some(Granted { organisation, cost, issuer })))
            }
            QuotaDecision::Refused(wait) => Err(over_quota(wait)),
        }
    }

    /// Asks the issuer, then the keepers of the zone, and decides alone if none responds.
    async fn ask_quota(
        self: &Rc<Self>,
        organisation: &Organisation,
        cost: u64,
    ) -> (QuotaDecision, Option<SocketAddr>) {
        let name = &organisation.name;
        let Some(found) = self.quotas.find(name).or_else(|| {
            self.update_quota_hosts();
            self.quotas.find(name)
        }) else {
            // The configuration has changed since the request was read.
            return (QuotaDecision::Granted, None);
        };
        let hosts = &found.1;
        let issuer = hosts.issuers.first().map(|host| (host, QuotaRole::Issuer));
        let keepers = hosts.keepers.iter().map(|host| (host, QuotaRole::Keeper));
        for (HostLease { holder, address, .. }, role) in issuer.into_iter().chain(keepers) {
            if *holder == self.holder {
                return (self.decide_quota(name, cost, role), None);
            }
            let call = QuotaCall { request_id: 0, organisation: name.clone(), cost, role };
            if let Some(answer) = self.peers.request_quota(*address, call, self.clock).await {
                let issuer = (role == QuotaRole::Issuer).then_some(*address);
                return (decision(answer), issuer);
            }
        }
        let now = self.clock.now();
        let mut ledger = self.quotas.ledger.borrow_mut();
        (ledger.grant_alone((name, &found.0), hosts, cost as f64, now), None)
    }

    /// Decides on a peer's request; passes it on if this host knows another issuer.
    pub(crate) async fn on_quota_call(self: &Rc<Self>, call: QuotaCall) -> QuotaDecision {
        let QuotaCall { organisation, cost, role, .. } = call;
        if role == QuotaRole::Issuer
            && let Some(found) = self.quotas.find(&organisation)
            && let Some(issuer) = found.1.issuers.first()
            && issuer.holder != self.holder
        {
            let (address, role) = (issuer.address, QuotaRole::LastIssuer);
            let call = QuotaCall { request_id: 0, organisation: organisation.clone(), cost, role };
            if let Some(answer) = self.peers.request_quota(address, call, self.clock).await {
                return decision(answer);
            }
        }
        self.decide_quota(&organisation, cost, role)
    }

    fn decide_quota(&self, organisation: &Arc<str>, cost: u64, role: QuotaRole) -> QuotaDecision {
        // A host that does not know the organisation yet has nothing to grant.
        let unknown = || QuotaDecision::Refused(QUOTA_PING_INTERVAL);
        let Some(found) = self.quotas.find(organisation) else { return unknown() };
        let (quota, hosts) = &*found;
        let (now, cost) = (self.clock.now(), cost as f64);
        let mut ledger = self.quotas.ledger.borrow_mut();
        match role {
            QuotaRole::Issuer | QuotaRole::LastIssuer => {
                ledger.issue((organisation, quota), hosts, cost, now)
            }
            QuotaRole::Keeper => ledger.keep((organisation, quota), hosts, cost, now),
        }
    }

    /// Records a keeper's ping; returns the digest of the hosts that this host knows.
    pub(crate) fn on_quota_ping(self: &Rc<Self>, ping: &QuotaPing) -> u64 {
        self.check_hosts(ping.hosts_digest);
        let now = self.clock.now();
        for organisation in &ping.organisations {
            if let Some(found) = self.quotas.find(organisation) {
                let mut ledger = self.quotas.ledger.borrow_mut();
                ledger.on_ping((organisation, &found.0), &found.1, &ping.zone, now);
            }
        }
        self.hosts_digest()
    }

    /// Returns whether the configuration in force has no quotas.
    fn has_no_quotas(&self) -> bool {
        let catalog = self.catalog.borrow();
        let organisations = catalog.as_ref().and_then(|catalog| catalog.organisations());
        organisations.is_none_or(|all| all.iter().all(|organisation| organisation.quota.is_none()))
    }

    /// Selects the hosts of all organisations anew if the hosts or the configuration have changed.
    fn update_quota_hosts(&self) {
        let (hosts, hosts_digest) = (self.known_hosts(), self.hosts_digest());
        let catalog = self.catalog.borrow();
        let config = catalog.as_ref().map_or(0, |catalog| catalog.version);
        let mut directory = self.quotas.directory.borrow_mut();
        if (directory.hosts_digest, directory.config) == (hosts_digest, config) {
            return;
        }
        (directory.hosts_digest, directory.config) = (hosts_digest, config);
        directory.hosts.clear();
        let zone = self.cfg.borrow().zone.clone();
        let tolerance = self.cfg.borrow().quota_tolerance();
        let organisations = catalog.as_ref().and_then(|catalog| catalog.organisations());
        for organisation in organisations.into_iter().flat_map(|all| all.iter()) {
            let Some(quota) = organisation.quota else { continue };
            let quota = quota.with_tolerance(&tolerance);
            let selected = QuotaHosts::select(&organisation.name, &zone, &hosts);
            directory.hosts.insert(organisation.name.clone(), Rc::new((quota, selected)));
        }
        let known = &directory.hosts;
        self.quotas.ledger.borrow_mut().retain(|organisation| known.contains_key(organisation));
    }

    /// Returns the organisations for which this host is the keeper, by the address of their issuers.
    fn quota_pings(&self) -> HashMap<SocketAddr, Vec<Arc<str>>> {
        let mut pings: HashMap<SocketAddr, Vec<Arc<str>>> = HashMap::new();
        for (organisation, found) in &self.quotas.directory.borrow().hosts {
            let hosts = &found.1;
            if hosts.keepers.first().is_none_or(|keeper| keeper.holder != self.holder) {
                continue;
            }
            self.quotas.ledger.borrow_mut().on_ping_sent(organisation, self.clock.now());
            for issuer in hosts.issuers.iter().filter(|issuer| issuer.holder != self.holder) {
                pings.entry(issuer.address).or_default().push(organisation.clone());
            }
        }
        pings
    }

    fn on_quota_pong(&self, address: SocketAddr, organisations: &[Arc<str>]) {
        let now = self.clock.now();
        for organisation in organisations {
            let Some(found) = self.quotas.find(organisation) else { continue };
            let (quota, hosts) = &*found;
            if hosts.issuers.first().is_some_and(|issuer| issuer.address == address) {
                self.quotas.ledger.borrow_mut().on_pong((organisation, quota), hosts, now);
            }
        }
    }

    fn quota_labels(&self, organisation: &Organisation, decision: QuotaDecision) -> QuotaLabels {
        let catalog = self.catalog.borrow();
        let organisations = catalog.as_ref().and_then(|catalog| catalog.organisations());
        let mut counted =
            organisations.into_iter().flat_map(|all| all.iter()).take(COUNTED_ORGANISATIONS_MAX);
        let is_counted = counted.any(|counted| counted.name == organisation.name);
        QuotaLabels {
            organisation: if is_counted { organisation.name.to_string() } else { String::new() },
            granted: decision == QuotaDecision::Granted,
        }
    }
}

fn decision(answer: Option<u32>) -> QuotaDecision {
    match answer {
        None => QuotaDecision::Granted,
        Some(ms) => QuotaDecision::Refused(Duration::from_millis(ms.into())),
    }
}

/// Pings the issuers of the organisations for which this host is the keeper, until the process ends.
pub(crate) async fn ping_issuers(entry: Rc<EntryState>) {
    let mut logged_at = entry.clock.now();
    loop {
        tokio::time::sleep(QUOTA_PING_INTERVAL).await;
        if entry.clock.now() >= logged_at + USE_LOG_INTERVAL {
            logged_at = entry.clock.now();
            entry.quotas.log_uses();
        }
        if entry.has_no_quotas() {
            continue;
        }
        entry.update_quota_hosts();
        let zone = entry.cfg.borrow().zone.clone();
        let hosts_digest = entry.hosts_digest();
        for (address, organisations) in entry.quota_pings() {
            let ping = QuotaPing { request_id: 0, zone: zone.clone(), organisations, hosts_digest };
            tokio::task::spawn_local(ping_issuer(entry.clone(), address, ping));
        }
    }
}

async fn ping_issuer(entry: Rc<EntryState>, address: SocketAddr, ping: QuotaPing) {
    let organisations = ping.organisations.clone();
    if let Some(digest) = entry.peers.clone().ping_quota(address, ping).await {
        entry.check_hosts(digest);
        entry.on_quota_pong(address, &organisations);
    }
}
