//! Admission of requests to servers that crash when they have to reject too many of them.
//!
//! Such a server names the number of requests that it can reject in a second, for want of room, whichever
//! hosts sent them. No host knows what the others send, so each one uses its share of the room that
//! the server last reported, and of a fraction of the rejections. After a rejection, it sends the
//! server nothing until its share of the rejections allows for another one.

use guavaspread_model::content_hash;

use super::candidate::{Candidate, LOAD_REPORT_TTL, LoadReport};
use super::plain::unit_draw;
use super::{Placement, PlacementKey, ServerFilter};
use crate::prelude::*;
use crate::rate_limit::{NamedLimit, RateLimit};
use crate::server_list::Server;

/// The part of a server's rejections that all hosts together aim at. Hosts that choose alike, and
/// those that choose by an old report, cause more.
const AIMED_FRACTION: f64 = 0.25;
/// How long a server counts as brittle after the last response that said so; its other responses
/// end that at once.
const BRITTLE_TTL: Duration = Duration::from_secs(60);
/// The longest time without requests after a rejection; with a longer one, hosts would learn late that
/// a server has room again.
const PAUSE_MAX: Duration = Duration::from_secs(30);
/// How long a free slot that a server reported belongs to the host that got the report: most are left
/// by the request that the response ended, so no other host knows of them.
const OWN_SLOT_TTL: Duration = Duration::from_millis(500);
/// The fraction of a server's slots below which it is idle: the other hosts don't fill the rest before
/// the report is outdated.
const IDLE_FRACTION: f64 = 0.75;
/// How long a response without a limit shows that the server has none, while others of its service
/// name one. Hosts learn late of the limits of servers that they seldom use.
const UNLIMITED_TTL: Duration = Duration::from_secs(1);
/// The fraction of its slots that a server without a recent report is taken to have free. With a larger
/// one, hosts that return to a full server together exceed its limit.
const UNREPORTED_FREE_FRACTION: f64 = 0.25;

/// What a response says about the rejections that its server can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectionNotice {
    /// The number of rejections per second that the server names.
    pub limit: NamedLimit,
    /// Whether the server rejected the request for want of room.
    pub is_rejected: bool,
    /// When the request was sent.
    pub sent_at: Duration,
}

/// The state of a server that crashes when it rejects too many requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Brittle {
    limit: RateLimit,
    named_at: Duration,
    /// The server gets no requests of this host until then.
    paused_until: Duration,
}

impl Brittle {
    /// Returns the state after a response; `None` if the server isn't brittle any more.
    pub(super) fn next(
        known: Option<Brittle>,
        notice: RejectionNotice,
        pause: impl Fn(RateLimit) -> Duration,
        now: Duration,
    ) -> Option<Brittle> {
        let limit = match notice.limit {
            NamedLimit::Limit(limit) => limit,
            NamedLimit::Absent => return known.filter(|known| notice.sent_at < known.named_at),
            NamedLimit::Invalid => return known,
        };
        let mut paused_until = known.map_or(Duration::ZERO, |known| known.paused_until);
        if notice.is_rejected {
            paused_until = paused_until.max(now + pause(limit).min(PAUSE_MAX));
        }
        Some(Brittle { limit, named_at: now, paused_until })
    }

    fn limit(&self, now: Duration) -> Option<RateLimit> {
        (now < self.named_at + BRITTLE_TTL).then_some(self.limit)
    }
}

impl Candidate {
    /// Returns whether the server has just reported a free slot, or has lately been idle.
    fn has_free_slot(&self, now: Duration) -> bool {
        let is_below = |ttl: Duration, fraction: f64| {
            let report = self.report_since(now.saturating_sub(ttl));
            let below = |report: LoadReport| {
                report.waiting == 0
                    && f64::from(report.running) < f64::from(report.slots) * fraction
            };
            report.is_some_and(below)
        };
        is_below(OWN_SLOT_TTL, 1.0) || is_below(LOAD_REPORT_TTL, IDLE_FRACTION)
    }

    /// Returns how many requests this host may send before the next report, as its share of the
    /// room and of the rejections.
    fn share(&self, limit: RateLimit, host_count: usize, now: Duration) -> f64 {
        let free = match self.report_since(now.saturating_sub(LOAD_REPORT_TTL)) {
            Some(report) if report.waiting > 0 => 0.0,
            Some(report) => f64::from(report.slots.saturating_sub(report.running)),
            // A server that states no load; the requests in flight count against the share.
            None if self.brittle.is_some() && self.report_since(Duration::ZERO).is_none() => {
                f64::from(self.server.slots)
            }
            None => f64::from(self.server.slots) * UNREPORTED_FREE_FRACTION,
        };
        let rejections = AIMED_FRACTION / limit.interval().as_secs_f64();
        (free + rejections) / host_count.max(1) as f64
    }
}

impl Placement {
    /// Sets the number of entry hosts, among which the room of brittle servers is divided.
    pub fn set_host_count(&mut self, host_count: usize) {
        self.host_count = host_count;
    }

    /// Records what a response says about the rejections that its server can bear; returns whether the
    /// server has become brittle, or is not brittle any more.
    pub fn on_rejection_notice(
        &mut self,
        server: &Server,
        notice: RejectionNotice,
        now: Duration,
    ) -> bool {
        // Hosts that were rejected together would otherwise return together.
        let jitter = 0.5 + self.steady_draw(&server.id, now.as_millis() as u64);
        let host_count = self.host_count.max(1) as f64;
        let pause =
            |limit: RateLimit| limit.interval().mul_f64(host_count * jitter / AIMED_FRACTION);
        let candidate = self.by_id.get(&server.id).and_then(|key| self.candidates.get_mut(*key));
        let Some(candidate) = candidate else { return false };
        if candidate.server.started_at_ms != server.started_at_ms {
            return false;
        }
        if notice.limit == NamedLimit::Absent {
            candidate.unlimited_at = Some(notice.sent_at);
        }
        let was_brittle = candidate.brittle.is_some();
        candidate.brittle = Brittle::next(candidate.brittle, notice, pause, now);
        was_brittle != candidate.brittle.is_some()
    }

    /// Returns the fewest rejections that a server of the service names; applies also to those that
    /// have not responded lately.
    pub(super) fn rejection_limit(
        &self,
        servers: ServerFilter<'_>,
        now: Duration,
    ) -> Option<RateLimit> {
        let accepted = self.candidates.values().filter(|c| servers.accepts(&c.server));
        let limits = accepted.filter_map(|c| c.brittle?.limit(now));
        limits.max_by_key(|limit| limit.interval())
    }

    /// Returns whether a server can take a request; `unheard` is the limit of one that has not
    /// responded lately.
    pub(super) fn has_room(
        &self,
        candidate: &Candidate,
        unheard: Option<RateLimit>,
        now: Duration,
    ) -> bool {
        let limit = match candidate.brittle {
            Some(brittle) if now < brittle.paused_until => return false,
            Some(brittle) => brittle.limit(now),
            None => unheard.filter(|_| {
                candidate.unlimited_at.is_none_or(|sent_at| sent_at + UNLIMITED_TTL < now)
            }),
        };
        let Some(limit) = limit else { return true };
        let used = candidate.unreported_count(now);
        if used == 0 && candidate.has_free_slot(now) {
            return true;
        }
        let share = candidate.share(limit, self.host_count, now);
        match share >= 1.0 {
            true => f64::from(used) < share.floor(),
            // The draw holds for a second, so that the hosts send as many requests a second as their
            // shares add up to.
            false => used == 0 && self.steady_draw(&candidate.server.id, now.as_secs()) < share,
        }
    }

    /// Returns a number from 0 to below 1, the same for each call with these arguments.
    fn steady_draw(&self, server: &str, period: u64) -> f64 {
        unit_draw([self.draw_seed, content_hash(server.as_bytes()), period])
    }

    /// Returns whether a chosen server still can take a request.
    pub fn can_take(&self, key: PlacementKey, now: Duration) -> bool {
        let Some(candidate) = self.candidates.get(key) else { return false };
        let service = ServerFilter::from(&*candidate.server.service);
        self.has_room(candidate, self.rejection_limit(service, now), now)
    }
}
