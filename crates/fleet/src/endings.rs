//! Which requests servers ended under.
//!
//! Answers the pattern of one request that ends every server that runs it, among many whose
//! connection merely broke: servers reset connections, cut answers short, restart and leave
//! for reasons of their own. A broken connection alone proves nothing. It is put down to a
//! server's end once something shows that this start of the server is over: nobody listens at
//! its address, another server answers there, it has started anew, or its row goes.
//!
//! A server that leaves as announced, and one that is only cut off, ends under nobody.

use std::net::SocketAddr;

use guavaspread_model::ContentId;

use crate::prelude::*;
use crate::roster::{RosterChange, Server};

/// How long a broken connection waits for proof: the row of a server that has ended goes after
/// three of its intervals, and what the store says takes its way.
const PROOF_TIME: Duration = Duration::from_secs(8);
/// How soon after the connection broke a server has to answer to be known to live: one that
/// ended takes longer to start again.
const RESTART_MIN: Duration = Duration::from_millis(150);
/// Before a server is probed again that did not answer. One that ends closes its connections
/// one by one, and may still take one that nobody will answer.
const PROBE_PAUSES: [Duration; 3] =
    [Duration::from_millis(20), Duration::from_millis(80), Duration::from_millis(250)];
/// Servers with broken connections that are remembered, and such connections of one server.
const SERVERS_MAX: usize = 1_024;
const BREAKS_MAX: usize = 256;

/// Tells how a request's connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// The server's side closed or reset it.
    Closed,
    /// Nothing came in time.
    Silent,
}

/// Tells what was found at a server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Nobody listens.
    Refused,
    /// Another server answers.
    Other,
    /// The server answers by the same name.
    Same,
    /// No answer comes back.
    Silent,
}

/// Tells what showed that a server had ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nobody listens at its address.
    Refused,
    /// Another server answers at its address.
    Replaced,
    /// It has started anew.
    Restarted,
    /// Its row has gone.
    RowGone,
}

/// Puts a server's end down to a request that it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    /// The request.
    pub content: ContentId,
    /// The server.
    pub server: Arc<str>,
    /// Which of its starts ended.
    pub born: u64,
    /// What showed it.
    pub evidence: Evidence,
}

/// Decides what follows a broken connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterBreak {
    /// The server is known to have ended.
    Ended(Ending),
    /// Its address is to be probed.
    Probe,
    /// A probe is under way already.
    Wait,
    /// Nothing: it leaves, as it said that it would.
    Planned,
}

#[derive(Clone, Copy, Debug)]
struct Broken {
    content: ContentId,
    how: Break,
    at: Duration,
    /// Whether a server by its name answered since.
    lives: bool,
}

/// One start of a server, whose connections broke.
#[derive(Clone, Debug)]
struct Suspect {
    address: SocketAddr,
    broken: Vec<Broken>,
    ended: Option<Evidence>,
    is_probed: bool,
    /// Probes without an answer.
    unanswered: usize,
    touched_at: Duration,
}

/// Tells two starts of one server apart.
type Start = (Arc<str>, u64);

/// Collects broken connections until it is known whether their server ended.
#[derive(Clone, Debug, Default)]
pub struct Endings {
    suspects: BTreeMap<Start, Suspect>,
}

impl Endings {
    /// Reports that a request's connection to a server was lost; `is_leaving` tells whether
    /// the server had announced its end.
    pub fn on_broken(
        &mut self,
        server: &Server,
        is_leaving: bool,
        (content, how): (ContentId, Break),
        now: Duration,
    ) -> AfterBreak {
        if is_leaving {
            return AfterBreak::Planned;
        }
        self.expire(now);
        let start = (server.id.clone(), server.born);
        if !self.suspects.contains_key(&start) {
            self.make_room();
        }
        let suspect = self.suspects.entry(start).or_insert_with(|| Suspect {
            address: server.address,
            broken: Vec::new(),
            ended: None,
            is_probed: false,
            unanswered: 0,
            touched_at: now,
        });
        suspect.touched_at = now;
        if let Some(evidence) = suspect.ended {
            let (server, born) = (server.id.clone(), server.born);
            return AfterBreak::Ended(Ending { content, server, born, evidence });
        }
        if suspect.broken.len() < BREAKS_MAX {
            suspect.broken.push(Broken { content, how, at: now, lives: false });
        }
        if std::mem::replace(&mut suspect.is_probed, true) {
            return AfterBreak::Wait;
        }
        AfterBreak::Probe
    }

    /// Reports what a probe found that began at `began`; a further one may be due at a moment.
    pub fn on_probe(
        &mut self,
        server: &Server,
        probe: Probe,
        began: Duration,
        now: Duration,
    ) -> (Vec<Ending>, Option<Duration>) {
        let start = (server.id.clone(), server.born);
        let Some(suspect) = self.suspects.get_mut(&start) else { return (Vec::new(), None) };
        let unanswered = std::mem::take(&mut suspect.unanswered);
        suspect.is_probed = false;
        let evidence = match probe {
            Probe::Refused => Evidence::Refused,
            Probe::Other => Evidence::Replaced,
            Probe::Same => {
                let lived = |broken: &Broken| broken.at <= began && now < broken.at + RESTART_MIN;
                suspect.broken.retain(|broken| !lived(broken));
                for broken in &mut suspect.broken {
                    broken.lives |= broken.at <= began;
                }
                suspect.is_probed = suspect.broken.iter().any(|broken| broken.at > began);
                return (Vec::new(), suspect.is_probed.then_some(now));
            }
            Probe::Silent => {
                let pause = PROBE_PAUSES.get(unanswered).filter(|_| suspect.ended.is_none());
                suspect.is_probed = pause.is_some();
                suspect.unanswered = if pause.is_some() { unanswered + 1 } else { 0 };
                return (Vec::new(), pause.map(|pause| now + *pause));
            }
        };
        (self.ended(&start, evidence, now), None)
    }

    /// Tells whether a probe is under way that may show an end under a content.
    pub fn is_in_doubt(&self, content: ContentId) -> bool {
        let mut probed = self.suspects.values().filter(|suspect| suspect.is_probed);
        probed.any(|suspect| suspect.broken.iter().any(|broken| broken.content == content))
    }

    /// Reports that another server answered a request at the server's address.
    pub fn on_other(&mut self, server: &Server, now: Duration) -> Vec<Ending> {
        self.ended(&(server.id.clone(), server.born), Evidence::Replaced, now)
    }

    /// Takes over a change of the list of servers.
    pub fn on_change(&mut self, change: &RosterChange, now: Duration) -> Vec<Ending> {
        match change {
            RosterChange::Started(new) => {
                let over = |(id, born): &Start, suspect: &Suspect| match *id == new.id {
                    true => *born < new.born,
                    false => suspect.address == new.address,
                };
                let starts: Vec<Start> = self
                    .suspects
                    .iter()
                    .filter(|(start, suspect)| over(start, suspect))
                    .map(|(start, _)| start.clone())
                    .collect();
                let ended = starts.iter().flat_map(|start| {
                    let is_same = start.0 == new.id;
                    let evidence = if is_same { Evidence::Restarted } else { Evidence::Replaced };
                    self.ended(start, evidence, now)
                });
                ended.collect()
            }
            RosterChange::Gone(old) if old.is_ready() => {
                self.ended(&(old.id.clone(), old.born), Evidence::RowGone, now)
            }
            RosterChange::Gone(_) | RosterChange::Changed(_) | RosterChange::Draining(_) => {
                Vec::new()
            }
        }
    }

    fn ended(&mut self, start: &Start, evidence: Evidence, now: Duration) -> Vec<Ending> {
        let Some(suspect) = self.suspects.get_mut(start) else { return Vec::new() };
        let proves = |broken: &&Broken| match evidence {
            // It may have been the next start that answered.
            Evidence::Restarted => true,
            Evidence::Refused | Evidence::Replaced => !broken.lives,
            // A row also goes while its server is cut off, which keeps it silent.
            Evidence::RowGone => !broken.lives && broken.how == Break::Closed,
        };
        let broken = std::mem::take(&mut suspect.broken);
        let recent = broken.iter().filter(|b| now < b.at + PROOF_TIME).filter(proves);
        let ending = |b: &Broken| Ending {
            content: b.content,
            server: start.0.clone(),
            born: start.1,
            evidence,
        };
        let endings = recent.map(ending).collect();
        if evidence != Evidence::RowGone {
            suspect.ended = Some(evidence);
        }
        endings
    }

    fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, suspect| now < suspect.touched_at + PROOF_TIME);
    }

    fn make_room(&mut self) {
        while self.suspects.len() >= SERVERS_MAX {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.touched_at);
            let Some(oldest) = oldest.map(|(start, _)| start.clone()) else { return };
            self.suspects.remove(&oldest);
        }
    }
}
