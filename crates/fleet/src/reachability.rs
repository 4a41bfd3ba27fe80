//! Whether this host can open connections to the servers of a service.
//!
//! A host may be partitioned from all servers while callers, the store and other hosts still reach
//! it. A few servers that can't be reached prove nothing: they may have crashed. The host is cut
//! off from a service when it can open connections to none of several servers that are listed as
//! ready, in its own zone and in others: one that reaches the servers of its own zone uses these. One
//! failure is enough to probe the others, so that the evidence does not depend on the
//! order in which requests choose servers.
//!
//! Only the opening of a connection counts. An open connection may outlive the path to its server,
//! and a slow response says nothing about the path.

use crate::prelude::*;

/// Servers that all have to be out of reach before the host counts as cut off; all of them if the
/// service has fewer. With less, servers that failed together would look like a partition.
const WITNESSES_MAX: usize = 4;
/// Servers that have to be reached again; all of them if the service has fewer.
const REACHED_SERVERS_MIN: usize = 2;
/// How long opening a connection takes to fail. A failure so soon after a success began before it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a failure counts.
const FAILURE_TTL: Duration = Duration::from_millis(2_000);
/// How long the servers of a service may be silent before one is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between rounds of probes after a failure, and while the host is cut off.
const FAILURE_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// A change of the path to the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The host can't open connections any more.
    CutOff {
        /// Servers to which no connection could be opened.
        servers: usize,
    },
    /// The host can open connections again.
    Restored {
        /// How long it was cut off.
        after: Duration,
    },
}

/// Tracks from which services this host is cut off.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: HashMap<Arc<str>, ServicePath>,
}

/// The path to the servers of one service.
#[derive(Clone, Debug, Default)]
struct ServicePath {
    /// Servers to which opening a connection failed since the last success, and when.
    failed: Vec<(Arc<str>, Duration)>,
    /// Servers that were reached since the last failure, while the host is cut off.
    reached: Vec<Arc<str>>,
    cut_off_since: Option<Duration>,
    /// When a connection was last opened.
    opened_at: Option<Duration>,
    /// When the servers were last heard directly, which makes a probe needless.
    heard_at: Option<Duration>,
    probed_at: Option<Duration>,
    /// Whether the last round of probes looked for further failures.
    is_confirming: bool,
    /// The next server to probe.
    cursor: usize,
}

impl Reachability {
    /// Returns whether this host can't open connections to the servers of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|path| path.cut_off_since.is_some())
    }

    /// Records that a connection to a server was opened directly.
    ///
    /// `ready` lists the servers of the service that are listed as ready, in a stable order. The
    /// first ones are those whose failures prove a partition.
    pub fn on_opened(
        &mut self,
        service: &str,
        server: &Arc<str>,
        ready: &[Arc<str>],
        now: Duration,
    ) -> Option<PathChange> {
        self.path(service).on_opened(server, ready.len(), now)
    }

    /// Records a response on a direct connection. It makes a probe needless for a while, but is no
    /// proof that new connections can be opened.
    pub fn on_response(&mut self, service: &str, now: Duration) {
        self.path(service).heard_at = Some(now);
    }

    /// Records that a connection to a server could not be opened directly, or that an open one was
    /// given up by the kernel because nothing was acknowledged.
    pub fn on_open_failed(
        &mut self,
        service: &str,
        server: &Arc<str>,
        ready: &[Arc<str>],
        now: Duration,
    ) -> Option<PathChange> {
        self.path(service).on_open_failed(server, ready, now)
    }

    /// Returns whether [`Reachability::take_probes`] may return any servers now.
    pub fn is_probe_due(&self, service: &str, now: Duration) -> bool {
        self.services.get(service).is_none_or(|path| path.is_probe_due(now))
    }

    /// Returns the servers to probe now, by opening a direct connection to each.
    pub fn take_probes(
        &mut self,
        service: &str,
        ready: &[Arc<str>],
        now: Duration,
    ) -> Vec<Arc<str>> {
        self.path(service).take_probes(ready, now)
    }

    /// Removes the services that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    fn path(&mut self, service: &str) -> &mut ServicePath {
        self.services.entry(service.into()).or_default()
    }
}

impl ServicePath {
    fn on_opened(
        &mut self,
        server: &Arc<str>,
        ready_count: usize,
        now: Duration,
    ) -> Option<PathChange> {
        self.failed.clear();
        self.is_confirming = false;
        (self.opened_at, self.heard_at) = (Some(now), Some(now));
        let since = self.cut_off_since?;
        if !self.reached.contains(server) {
            self.reached.push(server.clone());
        }
        if self.reached.len() < REACHED_SERVERS_MIN.min(ready_count) {
            return None;
        }
        self.reached.clear();
        self.cut_off_since = None;
        Some(PathChange::Restored { after: now.saturating_sub(since) })
    }

    fn on_open_failed(
        &mut self,
        server: &Arc<str>,
        ready: &[Arc<str>],
        now: Duration,
    ) -> Option<PathChange> {
        self.reached.clear();
        if self.cut_off_since.is_some() {
            return None;
        }
        self.expire(ready, now);
        let is_older_than_success = self.opened_at.is_some_and(|at| now <= at + OPEN_TIMEOUT);
        // A server that is not listed as ready may be about to end.
        if is_older_than_success || !ready.contains(server) {
            return None;
        }
        self.failed.retain(|(failed, _)| failed != server);
        self.failed.push((server.clone(), now));
        if !self.untested_witnesses(ready).is_empty() {
            return None;
        }
        let servers = self.failed.len();
        self.failed.clear();
        self.is_confirming = false;
        self.cut_off_since = Some(now);
        Some(PathChange::CutOff { servers })
    }

    fn take_probes(&mut self, ready: &[Arc<str>], now: Duration) -> Vec<Arc<str>> {
        self.expire(ready, now);
        if !self.is_probe_due(now) {
            return Vec::new();
        }
        self.probed_at = Some(now);
        self.is_confirming = self.is_suspected();
        match self.cut_off_since {
            Some(_) => self.next_servers(ready, REACHED_SERVERS_MIN),
            None if self.is_confirming => self.untested_witnesses(ready),
            None => self.next_servers(ready, 1),
        }
    }

    fn is_probe_due(&self, now: Duration) -> bool {
        let is_over = |at: Option<Duration>, interval| at.is_none_or(|at| now >= at + interval);
        if self.cut_off_since.is_some() {
            is_over(self.probed_at, FAILURE_PROBE_INTERVAL)
        } else if self.is_suspected() {
            // The first failure is confirmed at once, whenever the last probe was.
            !self.is_confirming || is_over(self.probed_at, FAILURE_PROBE_INTERVAL)
        } else {
            is_over(self.heard_at, PROBE_INTERVAL) && is_over(self.probed_at, PROBE_INTERVAL)
        }
    }

    /// Returns whether a failure is to be confirmed at other servers.
    fn is_suspected(&self) -> bool {
        self.cut_off_since.is_none() && !self.failed.is_empty()
    }

    /// Returns the servers that still have to fail before the host counts as cut off.
    fn untested_witnesses(&self, ready: &[Arc<str>]) -> Vec<Arc<str>> {
        let is_untested =
            |server: &&Arc<str>| !self.failed.iter().any(|(failed, _)| failed == *server);
        ready.iter().take(WITNESSES_MAX).filter(is_untested).cloned().collect()
    }

    /// Returns the next servers in turn that have not failed.
    fn next_servers(&mut self, ready: &[Arc<str>], count: usize) -> Vec<Arc<str>> {
        let mut servers = Vec::new();
        for _ in 0..ready.len() {
            if servers.len() == count {
                break;
            }
            let server = &ready[self.cursor % ready.len()];
            self.cursor = self.cursor.wrapping_add(1);
            if !self.failed.iter().any(|(failed, _)| failed == server) {
                servers.push(server.clone());
            }
        }
        servers
    }

    /// Removes failures that are too old, or of servers that are no longer listed as ready.
    fn expire(&mut self, ready: &[Arc<str>], now: Duration) {
        self.failed
            .retain(|(server, at)| now.saturating_sub(*at) < FAILURE_TTL && ready.contains(server));
    }
}
