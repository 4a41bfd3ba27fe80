//! Attribution of server crashes to the requests in flight.
//!
//! Detects a request that crashes every server that processes it, among many requests that only
//! lost their connection. Servers also reset connections, truncate responses, restart and shut
//! down for reasons unrelated to the request, so a lost connection alone is no evidence of a
//! crash.
//!
//! A lost connection is attributed to a crash once there is evidence that the server's
//! incarnation has ended: its address refuses connections, another server responds there, a new
//! incarnation has started, or its row was removed. An announced shutdown and a network
//! partition are attributed to no request.
//!
//! A server that ends silently looks like a partitioned one: its connections time out and its row
//! expires. Its losses are kept over the removal of the row, until the same incarnation is listed
//! again (a partition) or another one takes its place (a crash).

use std::net::SocketAddr;

use guavaspread_model::ContentId;

use crate::prelude::*;
use crate::server_list::{Server, ServerChange};

/// How long a lost connection waits for evidence of a crash. The row of a crashed server
/// expires after three of the intervals at which the server writes it, and the update from the
/// store takes time to arrive.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the losses of a silent server are kept after the removal of its row: the time in which
/// a server is expected to be replaced. A later start says nothing about the lost one.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// A server that responds within this time after the loss of a connection did not crash,
/// because a restart takes longer.
const RESTART_TIME_MIN: Duration = Duration::from_millis(150);
/// The delays before further probes of a server that did not respond. A crashing server closes
/// its connections one by one and may still accept a connection without ever responding on it,
/// so that a single probe would miss the crash.
const PROBE_RETRY_DELAYS: [Duration; 3] =
    [Duration::from_millis(20), Duration::from_millis(80), Duration::from_millis(250)];
/// The maximum number of suspects, which bounds memory; `LOST_CONNECTIONS_MAX` limits the
/// connections per suspect.
const SUSPECTS_MAX: usize = 1_024;
const LOST_CONNECTIONS_MAX: usize = 1_024;

/// How a request's connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The server closed or reset the connection.
    Closed,
    /// The server did not respond in time.
    TimedOut,
}

/// The result of a probe of a server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused.
    Refused,
    /// Another server responded.
    OtherServer,
    /// A server with the same id responded.
    SameServer,
    /// No response arrived in time.
    TimedOut,
}

/// The evidence that a server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The server's address refuses connections.
    Refused,
    /// Another server responds at the address.
    Replaced,
    /// A new incarnation of the server has started.
    Restarted,
    /// The server's row was removed from the list.
    RowRemoved,
}

/// A crash of a server, attributed to a request that it was processing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The request's content.
    pub content: ContentId,
    /// The server's id.
    pub server: Arc<str>,
    /// When the crashed incarnation had started, in Unix milliseconds.
    pub started_at_ms: u64,
    /// The evidence of the crash.
    pub evidence: CrashEvidence,
}

/// The action after the loss of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LossAction {
    /// The server is known to have crashed.
    Crashed(ServerCrash),
    /// Probe the server's address.
    Probe,
    /// Do nothing; a probe is already pending or other evidence is awaited.
    Wait,
    /// Do nothing; the server announced its shutdown.
    Ignore,
}

#[derive(Clone, Copy, Debug)]
struct LostConnection {
    content: ContentId,
    loss: ConnectionLoss,
    at: Duration,
    /// Whether a server with this id responded to a probe since. It may be a new incarnation.
    has_responded: bool,
}

/// An incarnation of a server that lost connections.
#[derive(Clone, Debug)]
struct Suspect {
    address: SocketAddr,
    service: Arc<str>,
    zone: Arc<str>,
    lost: Vec<LostConnection>,
    evidence: Option<CrashEvidence>,
    is_probing: bool,
    /// The number of consecutive probes without a response.
    failed_probes: usize,
    updated_at: Duration,
    /// When the server's row was removed.
    removed_at: Option<Duration>,
}

impl Suspect {
    /// Returns whether the losses are recent enough for a crash that is noticed now.
    fn is_recent(&self, connection: &LostConnection, now: Duration) -> bool {
        match self.removed_at {
            Some(at) => now < at + REPLACEMENT_TIMEOUT,
            None => now < connection.at + EVIDENCE_TIMEOUT,
        }
    }

    /// Returns whether the suspect can no longer be attributed to a crash.
    fn is_expired(&self, now: Duration) -> bool {
        match self.removed_at {
            Some(at) => now >= at + REPLACEMENT_TIMEOUT,
            None => now >= self.updated_at + EVIDENCE_TIMEOUT,
        }
    }

    /// Returns whether the server fell silent, was removed, and is still to be replaced.
    fn awaits_replacement(&self, now: Duration) -> bool {
        let is_silent = |c: &LostConnection| !c.has_responded && c.loss == ConnectionLoss::TimedOut;
        self.removed_at.is_some() && !self.is_expired(now) && self.lost.iter().any(is_silent)
    }

    /// Adds a lost connection; one entry stands for all that carried the same content, because
    /// requests in flight at a server share prompt parts.
    fn add(&mut self, lost: LostConnection) {
        let is_same = |known: &&mut LostConnection| {
            known.content == lost.content && known.loss == lost.loss && !known.has_responded
        };
        if let Some(known) = self.lost.iter_mut().find(is_same) {
            known.at = lost.at;
        } else if self.lost.len() < LOST_CONNECTIONS_MAX {
            self.lost.push(lost);
        }
    }
}

/// The id of a server and the start time of one of its incarnations.
type Incarnation = (Arc<str>, u64);

/// Collects lost connections until it is known whether their server crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    suspects: BTreeMap<Incarnation, Suspect>,
}

impl CrashDetector {
    /// Records the loss of a request's connection to a server; `is_draining` is whether the
    /// server had announced its shutdown.
    pub fn on_connection_lost(
        &mut self,
        server: &Server,
        is_draining: bool,
        (content, loss): (ContentId, ConnectionLoss),
        now: Duration,
    ) -> LossAction {
        if is_draining {
            return LossAction::Ignore;
        }
        self.expire(now);
        let incarnation = (server.id.clone(), server.started_at_ms);
        if !self.suspects.contains_key(&incarnation) {
            self.evict();
        }
        let suspect = self.suspects.entry(incarnation).or_insert_with(|| Suspect {
            address: server.address,
            service: server.service.clone(),
            zone: server.zone.clone(),
            lost: Vec::new(),
            evidence: None,
            is_probing: false,
            failed_probes: 0,
            updated_at: now,
            removed_at: None,
        });
        suspect.updated_at = now;
        if let Some(evidence) = suspect.evidence {
            let (server, started_at_ms) = (server.id.clone(), server.started_at_ms);
            return LossAction::Crashed(ServerCrash { content, server, started_at_ms, evidence });
        }
        suspect.add(LostConnection { content, loss, at: now, has_responded: false });
        if std::mem::replace(&mut suspect.is_probing, true) {
            return LossAction::Wait;
        }
        LossAction::Probe
    }

    /// Records the result of a probe that was sent at `sent_at`.
    ///
    /// Returns the crashes that the result proves, and when to send the next probe, if any.
    pub fn on_probe_result(
        &mut self,
        server: &Server,
        result: ProbeResult,
        sent_at: Duration,
        now: Duration,
    ) -> (Vec<ServerCrash>, Option<Duration>) {
        let incarnation = (server.id.clone(), server.started_at_ms);
        let Some(suspect) = self.suspects.get_mut(&incarnation) else { return (Vec::new(), None) };
        let failed_probes = std::mem::take(&mut suspect.failed_probes);
        suspect.is_probing = false;
        let evidence = match result {
            ProbeResult::Refused => CrashEvidence::Refused,
            ProbeResult::OtherServer => CrashEvidence::Replaced,
            ProbeResult::SameServer => {
                let survived = |connection: &LostConnection| {
                    connection.at <= sent_at && now < connection.at + RESTART_TIME_MIN
                };
                suspect.lost.retain(|connection| !survived(connection));
                for connection in &mut suspect.lost {
                    connection.has_responded |= connection.at <= sent_at;
                }
                suspect.is_probing = suspect.lost.iter().any(|connection| connection.at > sent_at);
                return (Vec::new(), suspect.is_probing.then_some(now));
            }
            ProbeResult::TimedOut => {
                let delay =
                    PROBE_RETRY_DELAYS.get(failed_probes).filter(|_| suspect.evidence.is_none());
                suspect.is_probing = delay.is_some();
                suspect.failed_probes = if delay.is_some() { failed_probes + 1 } else { 0 };
                return (Vec::new(), delay.map(|delay| now + *delay));
            }
        };
        (self.attribute(&incarnation, evidence, now), None)
    }

    /// Returns whether a probe is pending that may attribute a crash to a content.
    pub fn is_probing(&self, content: ContentId) -> bool {
        let mut probed = self.suspects.values().filter(|suspect| suspect.is_probing);
        probed.any(|suspect| suspect.lost.iter().any(|connection| connection.content == content))
    }

    /// Records that another server responded to a request at the server's address.
    pub fn on_other_server(&mut self, server: &Server, now: Duration) -> Vec<ServerCrash> {
        self.attribute(&(server.id.clone(), server.started_at_ms), CrashEvidence::Replaced, now)
    }

    /// Applies a change of the server list; returns the crashes that the change proves.
    pub fn on_server_change(&mut self, change: &ServerChange, now: Duration) -> Vec<ServerCrash> {
        match change {
            ServerChange::Started(new) => self.on_started(new, now),
            ServerChange::Removed(old) if old.is_ready() => {
                self.attribute(&(old.id.clone(), old.started_at_ms), CrashEvidence::RowRemoved, now)
            }
            ServerChange::Removed(_) | ServerChange::Changed(_) | ServerChange::Draining(_) => {
                Vec::new()
            }
        }
    }

    fn on_started(&mut self, new: &Server, now: Duration) -> Vec<ServerCrash> {
        // The same incarnation is listed again, so it was partitioned.
        self.suspects.remove(&(new.id.clone(), new.started_at_ms));
        let has_crashed = |(id, started_at_ms): &Incarnation, suspect: &Suspect| match *id == new.id
        {
            true => *started_at_ms < new.started_at_ms,
            false => suspect.address == new.address,
        };
        let suspects = self.suspects.iter();
        let mut crashed: Vec<Incarnation> = suspects
            .filter(|(incarnation, suspect)| has_crashed(incarnation, suspect))
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        if crashed.is_empty() {
            crashed.extend(self.replaced_elsewhere(new, now));
        }
        let crashes = crashed.iter().flat_map(|incarnation| {
            let is_same = incarnation.0 == new.id;
            let evidence = if is_same { CrashEvidence::Restarted } else { CrashEvidence::Replaced };
            self.attribute(incarnation, evidence, now)
        });
        crashes.collect()
    }

    /// Returns the silent server that `new` replaces at another address: the one of its service and
    /// zone that was removed first. The start shows that the zone is not partitioned.
    fn replaced_elsewhere(&self, new: &Server, now: Duration) -> Option<Incarnation> {
        let is_replaced = |suspect: &Suspect| {
            suspect.service == new.service
                && suspect.zone == new.zone
                && suspect.awaits_replacement(now)
        };
        let suspects = self.suspects.iter().filter(|(_, suspect)| is_replaced(suspect));
        let first = suspects.min_by_key(|(_, suspect)| suspect.removed_at);
        first.map(|(incarnation, _)| incarnation.clone())
    }

    fn attribute(
        &mut self,
        incarnation: &Incarnation,
        evidence: CrashEvidence,
        now: Duration,
    ) -> Vec<ServerCrash> {
        let Some(suspect) = self.suspects.get_mut(incarnation) else { return Vec::new() };
        let proves = |connection: &LostConnection| match evidence {
            // The response to the probe may have come from the new incarnation.
            CrashEvidence::Restarted => true,
            CrashEvidence::Refused | CrashEvidence::Replaced => !connection.has_responded,
            // A row also expires while its server is partitioned, and then connections time
            // out.
            CrashEvidence::RowRemoved => {
                !connection.has_responded && connection.loss != ConnectionLoss::TimedOut
            }
        };
        let mut lost = std::mem::take(&mut suspect.lost);
        lost.retain(|connection| suspect.is_recent(connection, now));
        let (proven, unproven): (Vec<_>, Vec<_>) = lost.into_iter().partition(proves);
        let crash = |c: LostConnection| ServerCrash {
            content: c.content,
            server: incarnation.0.clone(),
            started_at_ms: incarnation.1,
            evidence,
        };
        let crashes = proven.into_iter().map(crash).collect();
        if evidence == CrashEvidence::RowRemoved {
            suspect.removed_at = Some(now);
            suspect.lost = unproven;
        } else {
            suspect.evidence = Some(evidence);
        }
        crashes
    }

    fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    fn evict(&mut self) {
        while self.suspects.len() >= SUSPECTS_MAX {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.updated_at);
            let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) else { return };
            self.suspects.remove(&oldest);
        }
    }
}
