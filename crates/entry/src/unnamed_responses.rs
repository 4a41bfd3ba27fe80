//! Servers whose responses leave out the ids of their requests.
//!
//! A faulty server may send additional responses after a complete one. On a connection that carried
//! other requests, a response without an id may be such a response, even if the server usually
//! leaves out the ids. It belongs to its request for certain only if it is the first one on its
//! connection. Requests are therefore sent to such a server on new connections.

use crate::prelude::*;

/// How long a response without an id counts.
///
/// Shorter, a server that sheds load in waves would be met on a kept connection in each of them, and
/// each time a request that must not run twice would be lost.
const UNNAMED_TTL: Duration = Duration::from_secs(10);

/// The times of the last responses without an id, by the servers' ids.
#[derive(Default)]
pub(crate) struct UnnamedResponses(HashMap<Arc<str>, Duration>);

impl UnnamedResponses {
    /// Records a response of a server without an id.
    pub(crate) fn on_response(&mut self, server_id: &Arc<str>, now: Duration) {
        self.0.insert(server_id.clone(), now);
    }

    /// Returns whether a server has lately sent a response without an id.
    pub(crate) fn is_recent(&self, server_id: &str, now: Duration) -> bool {
        self.0.get(server_id).is_some_and(|at| now < *at + UNNAMED_TTL)
    }

    /// Forgets a server that started or left.
    pub(crate) fn forget(&mut self, server_id: &str) {
        self.0.remove(server_id);
    }
}
