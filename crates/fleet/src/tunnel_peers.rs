//! Which peer a host asks to connect it to a server that it can't reach itself.
//!
//! Peers that helped lately go first, those of the own zone before the others. Hosts that are cut
//! off together start with different peers and rotate among those that help, so that these share
//! the load. A peer that refuses or does not respond is not asked for a while.

use std::net::SocketAddr;

use guavaspread_model::rendezvous_score;

use crate::lease::HostLease;
use crate::prelude::*;

/// Peers that may be asked for one connection. Each one that does not respond costs its timeout,
/// and the caller waits.
const PEERS_PER_TUNNEL_MAX: usize = 3;
/// How long a peer counts as one that helps.
const HELP_TTL: Duration = Duration::from_millis(3_000);
/// Interval between tunnels that are opened to find out which peers help.
const EXPLORATION_INTERVAL: Duration = Duration::from_millis(500);
/// How long no tunnel may have been opened before the host counts as helpless; longer than a few
/// rounds of refusals by peers that are about to notice that they are reachable again.
const HELPLESS_DELAY: Duration = Duration::from_millis(2_000);
/// How long a peer is not asked after it refused, for example because it is cut off itself.
const REFUSED_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a peer is not asked after it did not respond.
const NO_RESPONSE_PAUSE: Duration = Duration::from_millis(2_000);
/// How long a peer is not asked after it closed the connection, as older builds do.
const CLOSED_PAUSE: Duration = Duration::from_millis(10_000);
/// How long a peer is not asked after it did not reach the server, unless it reached others lately.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);

/// Why a peer opened no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelFailure {
    /// The peer refused: it is cut off itself, stops or has no capacity.
    Refused,
    /// The peer did not reach the server, or does not know it.
    ServerUnreachable,
    /// The peer did not respond in time.
    NoResponse,
    /// The peer closed the connection.
    Closed,
}

/// Tracks which peers help this host to reach servers.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    peers: HashMap<SocketAddr, Peer>,
    rotation: usize,
    opened_at: Option<Duration>,
    explored_at: Option<Duration>,
    /// When the first failure since the last tunnel occurred.
    failing_since: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    opened_at: Option<Duration>,
    asked_at: Option<Duration>,
    paused_until: Duration,
}

impl Peer {
    fn helps(&self, now: Duration) -> bool {
        self.opened_at.is_some_and(|at| now < at + HELP_TTL)
    }
}

impl TunnelPeers {
    /// Returns the peers to ask for a tunnel, best first.
    pub fn candidates(
        &mut self,
        own: &str,
        zone: &str,
        hosts: &[HostLease],
        now: Duration,
    ) -> Vec<HostLease> {
        let mut ranked = self.askable(own, hosts, now);
        let rank = |host: &HostLease| (!self.helps(host.address, now), *host.zone != *zone);
        ranked.sort_by_key(|host| (rank(host), rendezvous_score(own, &host.holder)));
        let best = ranked.first().map(|host| rank(host));
        let equal = ranked.iter().take_while(|host| Some(rank(host)) == best).count();
        if equal > 0 {
            ranked[..equal].rotate_left(self.rotation % equal);
            self.rotation = self.rotation.wrapping_add(1);
        }
        ranked.into_iter().take(PEERS_PER_TUNNEL_MAX).cloned().collect()
    }

    /// Returns a peer to ask for a tunnel that no request waits for, if one is due: the one that was
    /// asked the longest time ago, of the own zone first.
    pub fn take_exploration(
        &mut self,
        own: &str,
        zone: &str,
        hosts: &[HostLease],
        now: Duration,
    ) -> Option<HostLease> {
        if self.explored_at.is_some_and(|at| now < at + EXPLORATION_INTERVAL) {
            return None;
        }
        let asked_at = |host: &HostLease| self.peers.get(&host.address)?.asked_at;
        let key = |host: &HostLease| {
            (asked_at(host), *host.zone != *zone, rendezvous_score(own, &host.holder))
        };
        let peer = self.askable(own, hosts, now).into_iter().min_by_key(|host| key(host)).cloned();
        self.explored_at = Some(now);
        peer
    }

    /// Records that a peer opened a tunnel.
    pub fn on_opened(&mut self, peer: SocketAddr, now: Duration) {
        self.opened_at = Some(now);
        self.failing_since = None;
        let opened_at = Some(now);
        self.peers.insert(peer, Peer { opened_at, asked_at: opened_at, ..Peer::default() });
    }

    /// Records that a peer opened no tunnel.
    pub fn on_failed(&mut self, peer: SocketAddr, failure: TunnelFailure, now: Duration) {
        self.failing_since.get_or_insert(now);
        let peer = self.peers.entry(peer).or_default();
        peer.asked_at = Some(now);
        let pause = match failure {
            // The server is at fault, not the peer.
            TunnelFailure::ServerUnreachable if peer.helps(now) => return,
            TunnelFailure::ServerUnreachable => UNREACHABLE_PAUSE,
            TunnelFailure::Refused => REFUSED_PAUSE,
            TunnelFailure::NoResponse => NO_RESPONSE_PAUSE,
            TunnelFailure::Closed => CLOSED_PAUSE,
        };
        peer.opened_at = None;
        peer.paused_until = now + pause;
    }

    /// Records that the host needs tunnels and knows no peer to ask.
    pub fn on_no_peer(&mut self, now: Duration) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether no peer has opened a tunnel for some time, though some were asked.
    pub fn is_helpless(&self, now: Duration) -> bool {
        let is_over = |at: Option<Duration>| at.is_none_or(|at| now >= at + HELPLESS_DELAY);
        self.failing_since.is_some() && is_over(self.failing_since) && is_over(self.opened_at)
    }

    /// Forgets all peers, when no service needs tunnels any more.
    pub fn clear(&mut self) {
        *self = TunnelPeers { rotation: self.rotation, ..TunnelPeers::default() };
    }

    fn askable<'a>(&self, own: &str, hosts: &'a [HostLease], now: Duration) -> Vec<&'a HostLease> {
        let is_paused = |host: &HostLease| {
            self.peers.get(&host.address).is_some_and(|peer| now < peer.paused_until)
        };
        hosts.iter().filter(|host| *host.holder != *own && !is_paused(host)).collect()
    }

    fn helps(&self, peer: SocketAddr, now: Duration) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.helps(now))
    }
}
