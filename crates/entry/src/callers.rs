//! Checks of who sent a request, before it is read further.

use guavaspread_fleet::Caller;
use guavaspread_model::Refusal;

use crate::platform::Feed;
use crate::prelude::*;
use crate::refusals::{keys_in_doubt, unknown_key};
use crate::state::EntryState;

impl EntryState {
    /// Returns why a request of this caller is refused; `None` if it may go on.
    pub(crate) fn check_caller(&self, caller: &Caller) -> Option<Refusal> {
        match caller {
            Caller::Anonymous => None,
            Caller::Unknown => {
                self.metrics.unknown_keys.inc();
                Some(unknown_key())
            }
            Caller::Organisation(_) => self.is_revocation_in_doubt().then(keys_in_doubt),
        }
    }

    /// Returns whether keys may have been taken away for longer than is allowed.
    fn is_revocation_in_doubt(&self) -> bool {
        let cfg = self.cfg.borrow();
        let age = || self.feed_relay.data_age(Feed::Control, self.clock.now());
        cfg.strict_revoke && age() > Duration::from_millis(cfg.revoke_ms)
    }
}
