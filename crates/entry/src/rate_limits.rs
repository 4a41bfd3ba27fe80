//! Rate limits that backend servers name in their responses, and the permits to send requests to
//! such servers.
//!
//! A host that learns or ends a limit by a response reports it to the server's coordinator, which
//! informs all hosts. The reports are sent once: a host that misses one learns the limit from the
//! next response that it gets.

use std::net::SocketAddr;

use guavaspread_fleet::{
    CoordinatorRole, HostLease, LimitChange, LimitReport, NamedLimit, PermitDecision,
    PermitRequest, Server, hosts_digest, permit_coordinators, zone_count,
};
use guavaspread_model::rendezvous_score;

use crate::peer_message::{LimitRelay, LimitUpdate, PermitCall, PermitReply};
use crate::platform::ResponseInfo;
use crate::prelude::*;
use crate::state::EntryState;
use crate::store_watch;

/// Hosts per zone that relay a coordinator's report to their zone; one may be down.
const RELAYS_PER_ZONE: usize = 2;
/// Coordinators that announced themselves and are remembered until the leases are read again.
const ANNOUNCED_HOSTS_MAX: usize = 4_096;
/// How long a server gets no requests of this host when no coordinator responds.
const NO_COORDINATOR_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// How a limit became known, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Response,
    Peer,
}

/// How long a permit is valid. Requests that wait for an adapter to load after they got their
/// permits would otherwise be sent all at once.
const PERMIT_TTL: Duration = Duration::from_millis(1_000);

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The server has no rate limit.
    NotNeeded,
    /// The request may be sent, soon after this time.
    Granted {
        /// When the request's turn was.
        at: Duration,
    },
    /// The request may not be sent.
    Denied,
}

impl Permit {
    /// Returns whether the permit holds for a request that is sent now.
    pub(crate) fn is_valid(self, now: Duration) -> bool {
        match self {
            Permit::Granted { at } => now < at + PERMIT_TTL,
            // The server may have named a limit since.
            Permit::NotNeeded | Permit::Denied => false,
        }
    }
}

impl EntryState {
    /// Applies the rate limit in a server's response, if it names one.
    pub(crate) fn on_rate_limit(self: &Rc<Self>, server: &Server, named: NamedLimit) {
        match named {
            NamedLimit::Absent => {}
            NamedLimit::Invalid => {
                self.metrics.rate_limits_invalid.inc();
                log::debug!("server {} named an invalid rate limit, which is ignored", server.id);
            }
            NamedLimit::Limit(limit) => {
                let now = self.clock.now();
                let change =
                    self.placement.borrow_mut().rate_limits_mut().on_named(server, limit, now);
                self.on_limit_change(&server.id, change, Source::Response);
            }
        }
    }

    /// Ends a server's rate limit if its response to a request sent at `sent_at` names none.
    pub(crate) fn on_rate_limit_response(
        self: &Rc<Self>,
        server: &Server,
        response_info: &ResponseInfo,
        sent_at: Duration,
    ) {
        if response_info.notice.rate_limit != NamedLimit::Absent
            || response_info.is_other_server(&server.id)
        {
            return;
        }
        let now = self.clock.now();
        let change = self.placement.borrow_mut().rate_limits_mut().on_absent(server, sent_at, now);
        self.on_limit_change(&server.id, change, Source::Response);
    }

    /// Decides on a peer's request for a permit.
    pub(crate) fn on_permit_call(self: &Rc<Self>, call: PermitCall) -> PermitReply {
        self.check_hosts(call.hosts_digest);
        self.merge_limit(&call.report);
        let (decision, report) = self.decide_permit(call.report, &call.request);
        let hosts_digest = self.hosts_digest();
        PermitReply { request_id: call.request_id, decision, report, hosts_digest }
    }

    /// Applies a peer's report of a limit, and relays it.
    pub(crate) fn on_limit_update(self: &Rc<Self>, update: LimitUpdate) {
        self.check_hosts(update.hosts_digest);
        if let Some(host) = &update.coordinator {
            let mut announced_hosts = self.announced_hosts.borrow_mut();
            if announced_hosts.len() < ANNOUNCED_HOSTS_MAX {
                announced_hosts.insert(host.holder.clone(), host.clone());
            }
        }
        let has_changed = self.merge_limit(&update.report);
        match update.relay {
            LimitRelay::AllHosts if has_changed => self.announce_limit(&update.report.server),
            LimitRelay::Zone => self.relay_to_zone(&update.report.server, update.coordinator),
            LimitRelay::AllHosts | LimitRelay::None => {}
        }
    }

    /// Decides on a permit as a coordinator; also returns the server's limit as known here.
    fn decide_permit(
        self: &Rc<Self>,
        asked: LimitReport,
        request: &PermitRequest,
    ) -> (PermitDecision, LimitReport) {
        let now = self.clock.now();
        let known = self.placement.borrow().rate_limits().report(&asked.server, now);
        let report = known.unwrap_or(asked);
        let Some(limit) = report.limit else {
            return (PermitDecision::Granted(Duration::ZERO), report);
        };
        let zones = zone_count(self.known_hosts().iter());
        let mut issuer = self.permit_issuer.borrow_mut();
        let is_new_primary =
            request.role == CoordinatorRole::Primary && !issuer.is_primary_of(&report.server);
        let decision =
            issuer.request(&report.server, report.started_at_ms, limit, zones, request, now);
        drop(issuer);
        if is_new_primary {
            log::info!("this host issues the permits of server {} at {limit}", report.server);
            // Hosts with an outdated list of hosts may know another coordinator.
            self.announce_limit(&report.server);
        }
        (decision, report)
    }

    fn merge_limit(self: &Rc<Self>, report: &LimitReport) -> bool {
        let now = self.clock.now();
        let change = self.placement.borrow_mut().rate_limits_mut().merge(report, now);
        self.on_limit_change(&report.server, change, Source::Peer);
        change.is_some()
    }

    fn on_limit_change(
        self: &Rc<Self>,
        server: &Arc<str>,
        change: Option<LimitChange>,
        source: Source,
    ) {
        let Some(change) = change else { return };
        let source_text = match source {
            Source::Response => "its response",
            Source::Peer => "a peer",
        };
        match change {
            LimitChange::Named(limit) => {
                log::info!(
                    "server {server} has a rate limit of {limit}, according to {source_text}"
                );
            }
            LimitChange::Changed(limit) => {
                log::info!(
                    "server {server} changed its limit to {limit}, according to {source_text}"
                );
            }
            LimitChange::Ended { after, sent_count } => {
                self.permit_issuer.borrow_mut().remove(server);
                log::info!(
                    "server {server} has no rate limit any more, according to {source_text}; this \
                     host sent it {sent_count} requests in {:.1} s",
                    after.as_secs_f64()
                );
            }
        }
        self.metrics.rate_limits.set(self.placement.borrow().rate_limits().len() as i64);
        if source == Source::Response {
            tokio::task::spawn_local(report_limit(self.clone(), server.clone()));
        }
    }

    /// Reads the list of hosts again if a peer knows other hosts.
    pub(crate) fn check_hosts(self: &Rc<Self>, peer_digest: u64) {
        if peer_digest != self.hosts_digest() {
            let entry = self.clone();
            tokio::task::spawn_local(async move { store_watch::refresh_hosts(&entry).await });
        }
    }

    /// Lists the live hosts, by name.
    pub(crate) fn known_hosts(&self) -> Vec<HostLease> {
        let mut hosts = self.announced_hosts.borrow().clone();
        let leases = self.leases.borrow();
        hosts.extend(
            leases.live_hosts_at_last_read().map(|host| (host.holder.clone(), host.clone())),
        );
        hosts.into_values().collect()
    }

    pub(crate) fn hosts_digest(&self) -> u64 {
        hosts_digest(self.known_hosts().iter())
    }

    fn coordinators(&self, server: &str) -> Vec<(HostLease, CoordinatorRole)> {
        let zone = self.cfg.borrow().zone.clone();
        let hosts = self.known_hosts();
        let coordinators = permit_coordinators(server, &zone, hosts.iter()).into_iter();
        coordinators.map(|(host, role)| (host.clone(), role)).collect()
    }

    fn report_to_coordinator(self: &Rc<Self>, server: &Arc<str>) {
        let Some((primary, _)) = self.coordinators(server).into_iter().next() else { return };
        if primary.holder == self.holder {
            self.announce_limit(server);
        } else {
            self.send_limit(primary.address, server, LimitRelay::AllHosts, None);
        }
    }

    /// Reports a server's limit to all hosts: to those of this zone directly, to those of each
    /// other zone through a few of them.
    fn announce_limit(self: &Rc<Self>, server: &Arc<str>) {
        let zone = self.cfg.borrow().zone.clone();
        let mut hosts = self.known_hosts();
        hosts.sort_by_key(|host| rendezvous_score(server, &host.holder));
        let own = hosts.iter().find(|host| host.holder == self.holder).cloned();
        let mut relays: HashMap<Arc<str>, usize> = HashMap::new();
        for host in hosts.iter().filter(|host| host.holder != self.holder) {
            if host.zone == zone {
                self.send_limit(host.address, server, LimitRelay::None, own.clone());
                continue;
            }
            let count = relays.entry(host.zone.clone()).or_default();
            *count += 1;
            if *count <= RELAYS_PER_ZONE {
                self.send_limit(host.address, server, LimitRelay::Zone, own.clone());
            }
        }
    }

    fn relay_to_zone(self: &Rc<Self>, server: &str, coordinator: Option<HostLease>) {
        let zone = self.cfg.borrow().zone.clone();
        let is_receiver = |host: &HostLease| host.zone == zone && host.holder != self.holder;
        for host in self.known_hosts().into_iter().filter(is_receiver) {
            self.send_limit(host.address, server, LimitRelay::None, coordinator.clone());
        }
    }

    fn send_limit(
        self: &Rc<Self>,
        address: SocketAddr,
        server: &str,
        relay: LimitRelay,
        coordinator: Option<HostLease>,
    ) {
        let report = self.placement.borrow().rate_limits().report(server, self.clock.now());
        let Some(report) = report else { return };
        let update = LimitUpdate { report, relay, coordinator, hosts_digest: self.hosts_digest() };
        self.peers.send_limit_update(address, update);
    }
}

/// Reports a limit that this host learned or ended to the server's coordinator.
async fn report_limit(entry: Rc<EntryState>, server: Arc<str>) {
    entry.report_to_coordinator(&server);
    // The store may not respond for a while; the known coordinator is informed first.
    if store_watch::refresh_hosts(&entry).await {
        entry.report_to_coordinator(&server);
    }
}

/// Acquires a permit to send a request to a server, waiting up to `wait_max` for its turn.
pub(crate) async fn acquire_permit(
    entry: &Rc<EntryState>,
    server: &Server,
    priority: u8,
    wait_max: Duration,
) -> Permit {
    let report = {
        let placement = entry.placement.borrow();
        if placement.rate_limits().get(server).is_none() {
            return Permit::NotNeeded;
        }
        placement.rate_limits().report(&server.id, entry.clock.now())
    };
    let Some(report) = report else { return Permit::NotNeeded };
    let decision = request_decision(entry, report, priority, wait_max).await;
    match decision {
        PermitDecision::Granted(delay) => {
            entry.metrics.rate_limited_sends.inc();
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            Permit::Granted { at: entry.clock.now() }
        }
        PermitDecision::Denied(delay) => {
            entry.metrics.permits_denied.inc();
            let until = entry.clock.now() + delay;
            let mut placement = entry.placement.borrow_mut();
            placement.rate_limits_mut().on_denied(server, priority, until);
            Permit::Denied
        }
    }
}

async fn request_decision(
    entry: &Rc<EntryState>,
    report: LimitReport,
    priority: u8,
    wait_max: Duration,
) -> PermitDecision {
    for (HostLease { holder, address, .. }, role) in entry.coordinators(&report.server) {
        let request = PermitRequest { host: entry.holder.clone(), role, priority, wait_max };
        if holder == entry.holder {
            return entry.decide_permit(report, &request).0;
        }
        let hosts_digest = entry.hosts_digest();
        let call = PermitCall { request_id: 0, report: report.clone(), request, hosts_digest };
        if let Some(reply) = entry.peers.request_permit(address, call, entry.clock).await {
            entry.check_hosts(reply.hosts_digest);
            entry.merge_limit(&reply.report);
            return reply.decision.bounded(wait_max);
        }
    }
    log::warn!("no host issues permits of server {}; it gets no requests for now", report.server);
    PermitDecision::Denied(NO_COORDINATOR_RETRY_DELAY)
}
