//! Permits for servers with a rate limit, and the refusal when no server has one.

use guavaspread_fleet::Server;
use guavaspread_model::Refusal;

use super::{Call, Progress};
use crate::prelude::*;
use crate::rate_limits::{self, Permit};
use crate::record::{Record, Step};
use crate::refusals::{no_server, owner_lost, rate_limited};

impl Call {
    /// Acquires a permit if the server has a rate limit; excludes the server if it is denied.
    ///
    /// The request waits for its turn only if no other server is left to try.
    pub(super) async fn acquire_permit(
        &self,
        server: &Server,
        progress: &mut Progress,
        record: &mut Record,
    ) -> Permit {
        if self.entry.placement.borrow().rate_limits().get(server).is_none() {
            return Permit::NotNeeded;
        }
        let now = self.entry.clock.now();
        let mut excluded = progress.tried.clone();
        excluded.push(server.id.clone());
        excluded.extend(self.without_permits(now).into_iter().map(|(server, _)| server));
        let has_other = self.entry.placement.borrow().has_untried_server(
            self.servers(progress),
            &excluded,
            now,
        );
        let wait_max = match has_other {
            true => Duration::ZERO,
            // The rest of the time is left for the response.
            false => self.response_due.saturating_sub(now) / 2,
        };
        let priority = self.priority();
        let permit = rate_limits::acquire_permit(&self.entry, server, priority, wait_max).await;
        if permit == Permit::Denied {
            record.add(Step::RateLimited { server: server.id.clone() });
            progress.exclude(server);
            progress.was_refused = false;
        }
        permit
    }

    /// Lists the servers without permits for this request, and until when they have none.
    pub(super) fn without_permits(&self, now: Duration) -> Vec<(Arc<str>, Duration)> {
        self.entry.placement.borrow().without_permits(&self.service, self.priority(), now)
    }

    /// Refuses the request; the times are when a busy server accepts requests again, and when a
    /// server with a rate limit may have a permit.
    pub(super) fn no_server(
        &self,
        progress: &Progress,
        available_at: Option<Duration>,
        permit_at: Option<Duration>,
    ) -> Refusal {
        let now = self.entry.clock.now();
        let attempts = &progress.attempts;
        let available_in = available_at.map(|at| at.saturating_sub(now));
        match (permit_at, progress.owner_lost) {
            (Some(at), _) if available_at.is_none_or(|available_at| at <= available_at) => {
                self.entry.metrics.rate_limited_refusals.inc();
                rate_limited(attempts, at.saturating_sub(now))
            }
            (None, Some(wait)) if available_in.is_none_or(|available_in| wait <= available_in) => {
                owner_lost(attempts, wait)
            }
            (Some(_) | None, _) => no_server(attempts, available_in),
        }
    }
}
