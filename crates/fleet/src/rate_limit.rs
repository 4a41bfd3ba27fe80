//! Rate limits that backend servers name in their responses.
//!
//! A server in need names the number of requests per second that it accepts from all entry hosts
//! together, in every response for as long as the limit applies. Responses arrive out of order.
//! A response without a limit therefore ends the limit only if its request was sent after the
//! last response with one was received.
//!
//! A limit applies only to the incarnation of the server that named it.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::server_list::Server;

/// The maximum number of servers whose limits are known.
const LIMITS_MAX: usize = 4_096;
/// How long a limit is remembered after the last response that named it. A server that gets no
/// request names none, and may still be in need.
const LIMIT_TTL: Duration = Duration::from_secs(600);
/// How long a limit counts as confirmed after a response that named it.
const CONFIRMATION_TTL: Duration = Duration::from_secs(10);
/// The longest interval between two requests to a limited server. A server with a limit of 0 would
/// otherwise get no request, and its responses could never end the limit.
const INTERVAL_MAX: Duration = Duration::from_secs(10);
/// The rate, in requests per second, from which a limit has no effect: no server processes more.
const RATE_MAX: f64 = 10_000.0;

/// The rate of requests that a server accepts from all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Duration", into = "Duration")]
pub struct RateLimit {
    interval: Duration,
}

impl RateLimit {
    /// Returns the limit of `rate` requests per second.
    ///
    /// The rate must not be negative or NaN. A rate of 0 is treated as one request in ten
    /// seconds.
    pub fn per_second(rate: f64) -> Self {
        let interval_s = (1.0 / rate).clamp(1.0 / RATE_MAX, INTERVAL_MAX.as_secs_f64());
        RateLimit { interval: Duration::from_secs_f64(interval_s) }
    }

    /// Returns the mean interval between two requests.
    pub fn interval(self) -> Duration {
        self.interval
    }
}

impl From<Duration> for RateLimit {
    /// Returns the limit with this interval, or with the nearest one that is allowed.
    fn from(interval: Duration) -> Self {
        let interval_min = Duration::from_secs_f64(1.0 / RATE_MAX);
        RateLimit { interval: interval.clamp(interval_min, INTERVAL_MAX) }
    }
}

impl From<RateLimit> for Duration {
    fn from(limit: RateLimit) -> Self {
        limit.interval
    }
}

impl std::fmt::Display for RateLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.2} requests/s", 1.0 / self.interval.as_secs_f64())
    }
}

/// What a response says about the rate limit of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// The response names no limit.
    #[default]
    Absent,
    /// The response names a limit that is not a rate.
    Invalid,
    /// The response names this limit.
    Limit(RateLimit),
}

impl NamedLimit {
    /// Returns the limit of `rate` requests per second.
    ///
    /// A negative or undefined rate is invalid. A rate beyond that of any server is no limit.
    pub fn per_second(rate: f64) -> Self {
        match rate {
            rate if rate >= RATE_MAX => NamedLimit::Absent,
            rate if rate >= 0.0 => NamedLimit::Limit(RateLimit::per_second(rate)),
            _ => NamedLimit::Invalid,
        }
    }
}

/// A change of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server named a limit for the first time.
    Named(RateLimit),
    /// The server named another limit than before.
    Changed(RateLimit),
    /// The server no longer names a limit.
    Ended {
        /// How long the limit applied.
        after: Duration,
        /// The number of requests that this host sent to the server meanwhile.
        sent_count: u64,
    },
}

/// A host's report of a server's limit. The time is an age, because the hosts' clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server's id.
    pub server: Arc<str>,
    /// When the server's incarnation started, in Unix milliseconds.
    pub started_at_ms: u64,
    /// The limit; `None` after it has ended.
    pub limit: Option<RateLimit>,
    /// How long ago the response was received that named or ended the limit.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct KnownLimit {
    started_at_ms: u64,
    /// `None` after the limit has ended.
    limit: Option<RateLimit>,
    first_named_at: Duration,
    /// When the response that named or ended the limit was received.
    observed_at: Duration,
    sent_count: u64,
    /// Until when requests with these priorities, and less urgent ones, get no permit.
    denied_until: BTreeMap<u8, Duration>,
}

/// The limits of servers that this host knows of.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: HashMap<Arc<str>, KnownLimit>,
}

impl RateLimits {
    /// Records that a response of a server named a limit.
    pub fn on_named(
        &mut self,
        server: &Server,
        limit: RateLimit,
        now: Duration,
    ) -> Option<LimitChange> {
        self.apply(&server.id, server.started_at_ms, Some(limit), now, now)
    }

    /// Records that a response of a server named no limit; its request was sent at `sent_at`.
    pub fn on_absent(
        &mut self,
        server: &Server,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let known = self.limits.get(&server.id)?;
        if known.started_at_ms != server.started_at_ms || sent_at < known.observed_at {
            return None;
        }
        self.apply(&server.id, server.started_at_ms, None, now, now)
    }

    /// Merges another host's report.
    pub fn merge(&mut self, report: &LimitReport, now: Duration) -> Option<LimitChange> {
        let observed_at = now.saturating_sub(report.age);
        self.apply(&report.server, report.started_at_ms, report.limit, observed_at, now)
    }

    /// Applies an observation, unless a later one or one of a newer incarnation is known.
    fn apply(
        &mut self,
        server: &Arc<str>,
        started_at_ms: u64,
        limit: Option<RateLimit>,
        observed_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let is_newer = |known: &KnownLimit| {
            (started_at_ms, observed_at) >= (known.started_at_ms, known.observed_at)
        };
        if self.limits.get(server).is_some_and(|known| !is_newer(known)) {
            return None;
        }
        if !self.limits.contains_key(server) {
            limit?;
            self.evict(now);
        }
        let fresh = KnownLimit {
            started_at_ms,
            limit: None,
            first_named_at: now,
            observed_at,
            sent_count: 0,
            denied_until: BTreeMap::new(),
        };
        let known = self.limits.entry(server.clone()).or_insert_with(|| fresh.clone());
        if known.started_at_ms < started_at_ms || (known.limit.is_none() && limit.is_some()) {
            *known = fresh;
        }
        known.observed_at = observed_at;
        if known.limit != limit {
            known.denied_until.clear();
        }
        let before = std::mem::replace(&mut known.limit, limit);
        match (before, limit) {
            (None, None) => None,
            (None, Some(limit)) => Some(LimitChange::Named(limit)),
            (Some(before), Some(limit)) => (before != limit).then_some(LimitChange::Changed(limit)),
            (Some(_), None) => {
                let after = now.saturating_sub(known.first_named_at);
                Some(LimitChange::Ended { after, sent_count: known.sent_count })
            }
        }
    }

    /// Returns the limit of a server, if it has one.
    pub fn get(&self, server: &Server) -> Option<RateLimit> {
        self.known(server)?.limit
    }

    /// Returns whether a server has a limit that was confirmed lately.
    ///
    /// Such a server is not worth a load: few of the requests for what it loads may be sent to it.
    /// One that was not heard of for a while gets a load, so that its response tells whether the
    /// limit still applies.
    pub fn is_confirmed(&self, server: &Server, now: Duration) -> bool {
        let known = self.known(server).filter(|known| known.limit.is_some());
        known.is_some_and(|known| now < known.observed_at + CONFIRMATION_TTL)
    }

    /// Returns the report of a server's limit, if the server has or had one.
    pub fn report(&self, server: &str, now: Duration) -> Option<LimitReport> {
        let (id, known) = self.limits.get_key_value(server)?;
        Some(LimitReport {
            server: id.clone(),
            started_at_ms: known.started_at_ms,
            limit: known.limit,
            age: now.saturating_sub(known.observed_at),
        })
    }

    /// Records that requests of this priority, and less urgent ones, get no permit until then.
    pub fn on_denied(&mut self, server: &Server, priority: u8, until: Duration) {
        if let Some(known) = self.limits.get_mut(&server.id) {
            known.denied_until.insert(priority, until);
        }
    }

    /// Returns until when a request of this priority gets no permit of a server; `None` if it may
    /// ask for one.
    pub fn denied_until(&self, server: &Server, priority: u8, now: Duration) -> Option<Duration> {
        let known = self.known(server).filter(|known| known.limit.is_some())?;
        let denied = known.denied_until.range(..=priority).map(|(_, until)| *until);
        denied.max().filter(|until| *until > now)
    }

    fn known(&self, server: &Server) -> Option<&KnownLimit> {
        let known = self.limits.get(&server.id)?;
        (known.started_at_ms == server.started_at_ms).then_some(known)
    }

    /// Counts a request that is sent to a server.
    pub fn on_sent(&mut self, server: &Server) {
        if let Some(known) = self.limits.get_mut(&server.id) {
            known.sent_count += 1;
        }
    }

    /// Returns the number of servers with a limit.
    pub fn len(&self) -> usize {
        self.limits.values().filter(|known| known.limit.is_some()).count()
    }

    /// Returns whether no server has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.values().all(|known| known.limit.is_none())
    }

    fn evict(&mut self, now: Duration) {
        self.limits.retain(|_, known| now < known.observed_at + LIMIT_TTL);
        if self.limits.len() < LIMITS_MAX {
            return;
        }
        // Ended limits go first: losing one costs nothing.
        let oldest = self
            .limits
            .iter()
            .min_by_key(|(_, known)| (known.limit.is_some(), known.observed_at))
            .map(|(id, _)| id.clone());
        if let Some(oldest) = oldest {
            self.limits.remove(&oldest);
        }
    }
}
