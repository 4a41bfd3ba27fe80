//! The paths to servers: directly, or through a peer while this host is cut off from a service.

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use guavaspread_fleet::{HostLease, PathChange, Reachability, Server, TunnelPeers};
use guavaspread_model::rendezvous_score;

use crate::connection_pool::{
    Connection, Reuse, SendError, ServerKey, ServerPath, accepts_connections, connect,
};
use crate::prelude::*;
use crate::state::EntryState;
use crate::{store_watch, tunnel};

/// Interval between checks whether probes are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Servers to which connections are opened to tell a crash from a partition of this host. One is
/// enough unless it is down too.
const OTHER_SERVERS_MAX: usize = 3;

/// What is known of the paths to servers.
#[derive(Default)]
pub(crate) struct ServerPaths {
    reachability: RefCell<Reachability>,
    tunnel_peers: RefCell<TunnelPeers>,
    /// Requests sent through peers since the host was cut off, by service.
    tunnelled: RefCell<HashMap<Arc<str>, u64>>,
}

impl EntryState {
    /// Returns whether this host can't open connections to the servers of a service.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        self.server_paths.reachability.borrow().is_cut_off(service)
    }

    /// Returns whether requests can be sent to servers, directly or through peers.
    pub(crate) fn has_path_to_servers(&self) -> bool {
        let now = self.clock.now();
        if !self.server_paths.tunnel_peers.borrow().is_helpless(now) {
            return true;
        }
        let reachability = self.server_paths.reachability.borrow();
        let server_list = self.server_list.borrow();
        let mut ready = server_list.servers().filter(|server| server.is_ready());
        ready.any(|server| !reachability.is_cut_off(&server.service))
    }

    /// Returns an idle or a new connection for a request to a server, and its path.
    ///
    /// If reuse is forbidden, the new connection replaces an idle one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`].
    pub(crate) async fn connect_server(
        self: &Rc<Self>,
        server: &Arc<Server>,
        request_id: &str,
        reuse: Reuse,
    ) -> Result<(Connection, ServerKey), SendError> {
        let key = |path| ServerKey { address: server.address, id: server.id.clone(), path };
        if !self.is_cut_off(&server.service) {
            let direct = key(ServerPath::Direct);
            if let Some(connection) = self.take_idle(&direct, request_id, reuse) {
                return Ok((connection, direct));
            }
            match self.open_direct(server).await {
                Ok(connection) => return Ok((connection, direct)),
                Err(e) if !self.is_cut_off(&server.service) => return Err(e),
                // The host noticed meanwhile that it is cut off.
                Err(_) => {}
            }
        }
        let tunnel = key(ServerPath::Tunnel);
        let connection = match self.take_idle(&tunnel, request_id, reuse) {
            Some(connection) => connection,
            None => self.open_tunnel(server).await?,
        };
        self.metrics.tunnelled_requests.inc();
        let mut tunnelled = self.server_paths.tunnelled.borrow_mut();
        *tunnelled.entry(server.service.clone()).or_default() += 1;
        drop(tunnelled);
        Ok((connection, tunnel))
    }

    fn take_idle(&self, key: &ServerKey, request_id: &str, reuse: Reuse) -> Option<Connection> {
        match reuse {
            Reuse::Allowed => self.pool.take_idle(key, request_id, self.clock.now()),
            Reuse::Forbidden => {
                self.metrics.unshared_connections.inc();
                self.pool.close_oldest_idle(key);
                None
            }
        }
    }

    async fn open_direct(self: &Rc<Self>, server: &Arc<Server>) -> Result<Connection, SendError> {
        match connect(server.address).await {
            Ok(stream) => {
                self.on_server_opened(server);
                Connection::handshake(stream, server.address, None).await
            }
            Err(e) => {
                self.on_server_open_failed(server);
                Err(SendError::NotSent(e.to_string()))
            }
        }
    }

    /// Opens a connection to a server through the first peer that does so.
    async fn open_tunnel(self: &Rc<Self>, server: &Arc<Server>) -> Result<Connection, SendError> {
        let (hosts, zone) = (self.known_hosts(), self.cfg.borrow().zone.clone());
        let now = self.clock.now();
        let peers = {
            let mut tunnel_peers = self.server_paths.tunnel_peers.borrow_mut();
            tunnel_peers.candidates(&self.holder, &zone, &hosts, now)
        };
        if peers.is_empty() {
            self.server_paths.tunnel_peers.borrow_mut().on_no_peer(now);
        }
        let mut failures = Vec::new();
        for peer in peers {
            match self.open_tunnel_through(&peer, server).await {
                Ok(connection) => return Ok(connection),
                Err(detail) => failures.push(detail),
            }
        }
        let detail = "cut off from the service, and no peer opened a tunnel";
        Err(SendError::NotSent(format!("{detail}: {}", failures.join(", "))))
    }

    async fn open_tunnel_through(
        self: &Rc<Self>,
        peer: &HostLease,
        server: &Arc<Server>,
    ) -> Result<Connection, String> {
        let opened = tunnel::open(peer, server).await;
        let now = self.clock.now();
        let (tunnel, io) = match opened {
            Ok(opened) => opened,
            Err(failure) => {
                let mut tunnel_peers = self.server_paths.tunnel_peers.borrow_mut();
                tunnel_peers.on_failed(peer.address, failure, now);
                self.metrics.tunnels_failed.inc();
                log::debug!("{} opened no tunnel to {}: {failure:?}", peer.holder, server.id);
                return Err(format!("{} {failure:?}", peer.holder));
            }
        };
        self.server_paths.tunnel_peers.borrow_mut().on_opened(peer.address, now);
        self.metrics.tunnels_opened.inc();
        let connection = Connection::handshake(io, server.address, Some(tunnel)).await;
        connection.map_err(|e| e.to_string())
    }

    /// Returns whether a process that accepts connections listens at a server's address.
    pub(crate) async fn server_accepts_connections(self: &Rc<Self>, server: &Arc<Server>) -> bool {
        match self.is_cut_off(&server.service) {
            true => self.open_tunnel(server).await.is_ok(),
            false => accepts_connections(server.address).await,
        }
    }

    /// Records that a connection to a server was opened directly.
    pub(crate) fn on_server_opened(self: &Rc<Self>, server: &Server) {
        // The list takes time in proportion to the servers, and connections are opened often.
        let ready = match self.is_cut_off(&server.service) {
            true => self.ready_servers(&server.service),
            false => Vec::new(),
        };
        let mut reachability = self.server_paths.reachability.borrow_mut();
        let change = reachability.on_opened(&server.service, &server.id, &ready, self.clock.now());
        drop(reachability);
        self.on_path_change(&server.service, &ready, change);
    }

    /// Records a response on a direct connection.
    pub(crate) fn on_direct_response(&self, service: &str) {
        self.server_paths.reachability.borrow_mut().on_response(service, self.clock.now());
    }

    /// Records that a connection to a server could not be opened directly, or that an open one was
    /// given up because nothing was acknowledged.
    pub(crate) fn on_server_open_failed(self: &Rc<Self>, server: &Server) {
        let ready = self.ready_servers(&server.service);
        let mut reachability = self.server_paths.reachability.borrow_mut();
        let change =
            reachability.on_open_failed(&server.service, &server.id, &ready, self.clock.now());
        drop(reachability);
        self.on_path_change(&server.service, &ready, change);
        self.send_probes(&server.service, &ready);
    }

    fn on_path_change(
        self: &Rc<Self>,
        service: &Arc<str>,
        ready: &[Arc<str>],
        change: Option<PathChange>,
    ) {
        let unusable = match change {
            None => return,
            Some(PathChange::CutOff { servers }) => {
                log::warn!(
                    "cut off from service {service}: connections to {servers} of its {} ready \
                     servers could not be opened; sending requests through other hosts",
                    ready.len()
                );
                let entry = self.clone();
                tokio::task::spawn_local(async move { store_watch::refresh_hosts(&entry).await });
                ServerPath::Direct
            }
            Some(PathChange::Restored { after }) => {
                let tunnelled = self.server_paths.tunnelled.borrow_mut().remove(service);
                log::warn!(
                    "service {service} is reachable again after {} ms; {} requests were sent \
                     through other hosts",
                    after.as_millis(),
                    tunnelled.unwrap_or_default()
                );
                ServerPath::Tunnel
            }
        };
        for server in ready {
            self.pool.close_idle_path(server, unusable);
        }
        self.placement.borrow_mut().clear_unreachable(service);
    }

    /// Lists the servers of a service that are listed as ready: those of the own zone and others by
    /// turns, each in the order of their ids.
    fn ready_servers(&self, service: &str) -> Vec<Arc<str>> {
        let server_list = self.server_list.borrow();
        let zone = self.cfg.borrow().zone.clone();
        let servers = server_list.servers();
        let ready = servers.filter(|server| server.is_ready() && &*server.service == service);
        let (here, elsewhere): (Vec<_>, Vec<_>) = ready.partition(|server| server.zone == zone);
        let ranked = |servers: Vec<&Arc<Server>>, is_elsewhere: bool| {
            let mut ids: Vec<Arc<str>> = servers.iter().map(|server| server.id.clone()).collect();
            ids.sort();
            ids.into_iter().enumerate().map(move |(rank, id)| (rank, is_elsewhere, id))
        };
        let mut ready: Vec<_> = ranked(here, false).chain(ranked(elsewhere, true)).collect();
        ready.sort();
        ready.into_iter().map(|(_, _, id)| id).collect()
    }

    fn is_path_probe_due(&self, service: &str) -> bool {
        self.server_paths.reachability.borrow().is_probe_due(service, self.clock.now())
    }

    /// Starts the probes that are due.
    fn send_probes(self: &Rc<Self>, service: &str, ready: &[Arc<str>]) {
        let now = self.clock.now();
        let due = self.server_paths.reachability.borrow_mut().take_probes(service, ready, now);
        for id in due {
            let server = self.server_list.borrow().get(&id).cloned();
            let Some(server) = server else { continue };
            let entry = self.clone();
            tokio::task::spawn_local(async move {
                // The result is recorded.
                entry.probe_path(&server).await;
            });
        }
    }

    /// Returns whether a direct connection to a server can be opened, and records it.
    async fn probe_path(self: &Rc<Self>, server: &Server) -> bool {
        match connect(server.address).await {
            Ok(_) => {
                self.on_server_opened(server);
                true
            }
            Err(e) => {
                log::debug!("no connection to server {}: {e}", server.id);
                self.on_server_open_failed(server);
                false
            }
        }
    }

    /// Returns whether a connection can be opened to another server of the service than this one;
    /// also if there is no other.
    pub(crate) async fn reaches_other_servers(self: &Rc<Self>, server: &Server) -> bool {
        let mut others = self.ready_servers(&server.service);
        others.retain(|id| *id != server.id);
        others.sort_by_key(|id| rendezvous_score(&server.id, id));
        others.truncate(OTHER_SERVERS_MAX);
        if others.is_empty() {
            return true;
        }
        let others = others.iter().filter_map(|id| self.server_list.borrow().get(id).cloned());
        let probes = others.map(|other| async move { self.probe_path(&other).await });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(is_open) = probes.next().await {
            if is_open {
                return true;
            }
        }
        false
    }

    /// Opens a tunnel for which no request waits, if one is due, to find out which peers help.
    fn explore_peers(self: &Rc<Self>, service: &str, ready: &[Arc<str>]) {
        let (hosts, zone) = (self.known_hosts(), self.cfg.borrow().zone.clone());
        let now = self.clock.now();
        let mut tunnel_peers = self.server_paths.tunnel_peers.borrow_mut();
        let Some(peer) = tunnel_peers.take_exploration(&self.holder, &zone, &hosts, now) else {
            return;
        };
        drop(tunnel_peers);
        // Servers in turn, as some may be out of the peers' reach too.
        let turn = (now.as_millis() / CHECK_INTERVAL.as_millis()) as usize;
        let Some(id) = ready.get(turn % ready.len().max(1)) else { return };
        let server = self.server_list.borrow().get(id).cloned();
        let Some(server) = server.filter(|server| &*server.service == service) else { return };
        let entry = self.clone();
        tokio::task::spawn_local(async move {
            // The result is recorded; the connection itself is not needed.
            let _ = entry.open_tunnel_through(&peer, &server).await;
        });
    }
}

/// Probes the paths to servers until the process ends.
pub(crate) async fn watch_paths(entry: Rc<EntryState>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(catalog) = entry.catalog.borrow().clone() else { continue };
        let is_configured = |service: &str| catalog.service(service).is_some();
        entry.server_paths.reachability.borrow_mut().retain(is_configured);
        let mut cut_off_count = 0;
        for service in catalog.services().map(|service| &service.name) {
            let is_cut_off = entry.is_cut_off(service);
            let is_due = entry.is_path_probe_due(service);
            // A connection is a cost to the server, so an idle host probes nothing.
            if is_due && (is_cut_off || entry.placement.borrow().has_in_flight(service)) {
                entry.send_probes(service, &entry.ready_servers(service));
            }
            if is_cut_off {
                cut_off_count += 1;
                entry.explore_peers(service, &entry.ready_servers(service));
            }
        }
        entry.metrics.services_cut_off.set(cut_off_count);
        if cut_off_count == 0 {
            entry.server_paths.tunnel_peers.borrow_mut().clear();
        }
    }
}
