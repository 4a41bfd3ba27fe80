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
/// The longest interval between two requests to a limited server, in seconds. A server with a
/// limit of 0 would otherwise get no request, and its responses could never end the limit.
const INTERVAL_MAX_S: f64 = 10.0;
/// The rate, in requests per second, from which a limit has no effect: no server processes more.
const RATE_MAX: f64 = 10_000.0;

/// The rate of requests that a server accepts from all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    interval: Duration,
}

impl RateLimit {
    /// Returns the limit of `rate` requests per second.
    ///
    /// The rate must not be negative or NaN. A rate of 0 is treated as one request in ten
    /// seconds.
    pub fn per_second(rate: f64) -> Self {
        let interval_s = (1.0 / rate).clamp(1.0 / RATE_MAX, INTERVAL_MAX_S);
        RateLimit { interval: Duration::from_secs_f64(interval_s) }
    }

    /// Returns the mean interval between two requests.
    pub fn interval(self) -> Duration {
        self.interval
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

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    started_at_ms: u64,
    /// `None` after the limit has ended.
    limit: Option<RateLimit>,
    first_named_at: Duration,
    /// When the response that named or ended the limit was received.
    observed_at: Duration,
    sent_count: u64,
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
        let fresh = KnownLimit {
            started_at_ms: server.started_at_ms,
            limit: None,
            first_named_at: now,
            observed_at: now,
            sent_count: 0,
        };
        if !self.limits.contains_key(&server.id) {
            self.evict();
        }
        let known = self.limits.entry(server.id.clone()).or_insert(fresh);
        if known.started_at_ms > server.started_at_ms {
            return None;
        }
        if known.started_at_ms < server.started_at_ms || known.limit.is_none() {
            *known = fresh;
        }
        known.observed_at = now;
        match known.limit.replace(limit) {
            None => Some(LimitChange::Named(limit)),
            Some(before) => (before != limit).then_some(LimitChange::Changed(limit)),
        }
    }

    /// Records that a response of a server named no limit; its request was sent at `sent_at`.
    pub fn on_absent(
        &mut self,
        server: &Server,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let known = self.limits.get_mut(&server.id)?;
        if known.started_at_ms != server.started_at_ms || sent_at < known.observed_at {
            return None;
        }
        known.limit.take()?;
        known.observed_at = now;
        let after = now.saturating_sub(known.first_named_at);
        Some(LimitChange::Ended { after, sent_count: known.sent_count })
    }

    /// Returns the limit of a server, if it has one.
    pub fn get(&self, server: &Server) -> Option<RateLimit> {
        let known = self.limits.get(&server.id)?;
        known.limit.filter(|_| known.started_at_ms == server.started_at_ms)
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
        self.len() == 0
    }

    fn evict(&mut self) {
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
