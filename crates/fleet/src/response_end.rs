//! Whether a response that ended with its connection is complete.
//!
//! A response without a length or chunks ends with its connection, and so does one whose server
//! crashed or ran out of time: the kernel closes the connections of a dead process in order. The
//! end is taken for the server's own only if there is evidence:
//!
//! - a server that still accepts connections after the end was alive when it ended the response;
//! - a server that leaves in order serves for a known time, exits after its last response, and
//!   then accepts no more connections.
//!
//! A server that leaves at short notice ends what it runs when its time is over. Where a newer
//! incarnation is known, connections show nothing about the one that responded.

use crate::prelude::*;
use crate::server_list::{Server, ServerChange, ServerState};

/// The maximum number of remembered departures: far more than servers leave within the time that a
/// response takes.
const DEPARTURES_MAX: usize = 4_096;

/// What is known of a server whose connection ended a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStanding {
    /// The server serves.
    Serving,
    /// The server announced for this long that it leaves, or its row is gone since.
    Leaving(Duration),
    /// The server leaves at short notice.
    LeavingAtShortNotice,
    /// Another incarnation took the server's place.
    Replaced,
}

/// The end of a connection that also ended a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// What was known of the server.
    pub standing: ServerStanding,
    /// Whether this host had other requests in flight at the server.
    pub has_others_in_flight: bool,
}

impl ResponseEnd {
    /// Returns whether the server ended the response itself; `accepts_connections` is whether it
    /// did so after the end, and `drain_time` how long a server serves that leaves in order.
    pub fn is_complete(&self, accepts_connections: bool, drain_time: Duration) -> bool {
        match self.standing {
            ServerStanding::Replaced => false,
            ServerStanding::Serving | ServerStanding::LeavingAtShortNotice => accepts_connections,
            // Hosts learn of the departure later than the store, so a part of the time is enough.
            ServerStanding::Leaving(time) => {
                accepts_connections || (time >= drain_time / 2 && !self.has_others_in_flight)
            }
        }
    }
}

/// When servers were first known to leave.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    since: BTreeMap<(Arc<str>, u64), Duration>,
}

impl Departures {
    /// Records that a server leaves.
    pub fn on_leaving(&mut self, server: &Server, now: Duration) {
        if self.since.len() >= DEPARTURES_MAX {
            let first = self.since.iter().min_by_key(|(_, since)| **since);
            if let Some(first) = first.map(|(server, _)| server.clone()) {
                self.since.remove(&first);
            }
        }
        self.since.entry((server.id.clone(), server.started_at_ms)).or_insert(now);
    }

    /// Applies a change of the server list.
    pub fn on_server_change(&mut self, change: &ServerChange, now: Duration) {
        match change {
            ServerChange::Draining(server) | ServerChange::Removed(server) => {
                self.on_leaving(server, now);
            }
            ServerChange::Started(server) | ServerChange::Changed(server) if !server.is_ready() => {
                self.on_leaving(server, now);
            }
            // The row of a server that was partitioned is back.
            ServerChange::Started(server) => {
                self.since.remove(&(server.id.clone(), server.started_at_ms));
            }
            ServerChange::Changed(_) => {}
        }
    }

    /// Returns what is known of `server`, the incarnation that responded; `listed` is the server
    /// with its id in the list.
    pub fn standing(
        &self,
        server: &Server,
        listed: Option<&Server>,
        now: Duration,
    ) -> ServerStanding {
        let since = self.since.get(&(server.id.clone(), server.started_at_ms));
        match listed {
            Some(listed) if !listed.is_same_process(server) => ServerStanding::Replaced,
            Some(Server { state: ServerState::Draining { remaining: Some(_) }, .. }) => {
                ServerStanding::LeavingAtShortNotice
            }
            Some(_) | None => match since {
                Some(since) => ServerStanding::Leaving(now.saturating_sub(*since)),
                None => ServerStanding::Serving,
            },
        }
    }
}
