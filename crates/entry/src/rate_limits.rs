//! Rate limits that backend servers name in their responses.

use guavaspread_fleet::{LimitChange, NamedLimit, Server};

use crate::platform::ResponseInfo;
use crate::prelude::*;
use crate::state::EntryState;

impl EntryState {
    /// Applies the rate limit in a server's response, if it names one.
    pub(crate) fn on_rate_limit(&self, server: &Server, named: NamedLimit) {
        if named == NamedLimit::Invalid {
            self.metrics.rate_limits_invalid.inc();
            log::debug!("server {} named an invalid rate limit, which is ignored", server.id);
        }
        let now = self.clock.now();
        let change = self.placement.borrow_mut().on_rate_limit_named(server, named, now);
        self.on_limit_change(server, change);
    }

    /// Ends a server's rate limit if its response to a request sent at `sent_at` names none.
    pub(crate) fn on_rate_limit_response(
        &self,
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
        let change = self.placement.borrow_mut().on_rate_limit_absent(server, sent_at, now);
        self.on_limit_change(server, change);
    }

    fn on_limit_change(&self, server: &Server, change: Option<LimitChange>) {
        match change {
            None => return,
            Some(LimitChange::Named(limit)) => {
                log::info!("server {} named a rate limit of {limit}", server.id);
            }
            Some(LimitChange::Changed(limit)) => {
                log::info!("server {} changed its rate limit to {limit}", server.id);
            }
            Some(LimitChange::Ended { after, sent_count }) => log::info!(
                "server {} no longer names a rate limit; this host sent it {sent_count} requests \
                 in {:.1} s",
                server.id,
                after.as_secs_f64()
            ),
        }
        self.metrics.rate_limits.set(self.placement.borrow().rate_limits().len() as i64);
    }
}
