//! Drain and busy notices that backend servers send in their responses.
//!
//! A draining server announces this in its responses, often before its row in the list changes
//! and also while the store is unavailable. This host then sends it no further requests,
//! however stale the row is. An overloaded server responds with a time for which it wants no
//! requests. Further requests would increase its load, so it counts as full until then.
//!
//! A notice applies only to the incarnation of the server that sent it. A new incarnation with
//! the same id starts without notices.

use crate::prelude::*;
use crate::rate_limit::NamedLimit;
use crate::server_list::Server;

/// The maximum number of servers with notices: far more than drain or are overloaded at the
/// same time.
const NOTICES_MAX: usize = 4_096;
/// The maximum time for which a server is not used at its own request. A longer time is treated
/// as a mistake of the server, which otherwise would stay unused for good.
const BUSY_TIME_MAX: Duration = Duration::from_secs(60);

/// A server's notice in the headers of its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is draining.
    pub is_draining: bool,
    /// How long the server wants no requests.
    pub retry_after: Option<Duration>,
    /// The rate of requests that the server accepts from all entry hosts together.
    pub rate_limit: NamedLimit,
    /// The rate of rejections, of all entry hosts' requests together, beyond which the server crashes.
    pub rejection_limit: NamedLimit,
}

/// Whether a server accepts requests of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The server accepts requests.
    Available,
    /// The server accepts no requests before this time.
    UnavailableUntil(Duration),
    /// The server is draining.
    Draining,
}

/// The notice of one incarnation of a server.
#[derive(Clone, Copy, Debug)]
struct Notice {
    started_at_ms: u64,
    is_draining: bool,
    busy_until: Duration,
    received_at: Duration,
}

/// Stores the notices of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerNotices {
    notices: HashMap<Arc<str>, Notice>,
}

impl ServerNotices {
    /// Records the notice in a response; returns whether the server's availability changed.
    pub fn on_response(&mut self, server: &Server, received: ServerNotice, now: Duration) -> bool {
        if !received.is_draining && received.retry_after.is_none() {
            return false;
        }
        let before = self.availability(server, now);
        if let Some(notice) = self.notice_mut(&server.id, server.started_at_ms, now) {
            notice.is_draining |= received.is_draining;
            // Responses may arrive out of order, so the longest requested time is kept.
            let retry_after = received.retry_after.unwrap_or_default().min(BUSY_TIME_MAX);
            notice.busy_until = notice.busy_until.max(now + retry_after);
        }
        self.availability(server, now) != before
    }

    /// Returns whether a server accepts requests.
    pub fn availability(&self, server: &Server, now: Duration) -> Availability {
        match self.notices.get(&server.id) {
            // The row is stale: the server has a newer incarnation.
            Some(notice) if server.started_at_ms < notice.started_at_ms => Availability::Draining,
            Some(notice) if server.started_at_ms > notice.started_at_ms => Availability::Available,
            Some(notice) if notice.is_draining => Availability::Draining,
            Some(notice) if notice.busy_until > now => {
                Availability::UnavailableUntil(notice.busy_until)
            }
            Some(_) | None => Availability::Available,
        }
    }

    /// Returns the notice of an incarnation, `None` if a newer incarnation sent a notice since.
    fn notice_mut(
        &mut self,
        id: &Arc<str>,
        started_at_ms: u64,
        now: Duration,
    ) -> Option<&mut Notice> {
        let fresh = Notice { started_at_ms, is_draining: false, busy_until: now, received_at: now };
        if !self.notices.contains_key(id) {
            self.evict(now);
        }
        let notice = self.notices.entry(id.clone()).or_insert(fresh);
        if notice.started_at_ms > started_at_ms {
            return None;
        }
        if notice.started_at_ms < started_at_ms {
            *notice = fresh;
        }
        notice.received_at = now;
        Some(notice)
    }

    fn evict(&mut self, now: Duration) {
        if self.notices.len() < NOTICES_MAX {
            return;
        }
        self.notices.retain(|_, notice| notice.is_draining || notice.busy_until > now);
        while self.notices.len() >= NOTICES_MAX {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.received_at);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else { return };
            self.notices.remove(&oldest);
        }
    }
}
