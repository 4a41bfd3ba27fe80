//! Whether a response that ended with its connection is complete.
//!
//! A response without a length or chunks ends with its connection, and so does one whose server
//! crashed or ran out of time: the kernel closes the connections of a dead process in order. The
//! end is taken for the server's own only if there is evidence that the process outlived it:
//!
//! - the server accepts connections after the end;
//! - another response of the process goes on with bytes that were sent after the end;
//! - the server had announced that it leaves, and its row is removed soon after the end. A server
//!   that leaves exits after its last response and is removed at once, while the row of one that
//!   crashed expires after several heartbeats. A response that is visibly cut off at the same moment
//!   shows that the server did not finish.
//!
//! Some servers leave without an announcement: their rows are removed, and they serve on. A row that
//! has expired looks the same, but a server that leaves says so when it is asked. Nothing more is to
//! come from the store then, so that an end without others at the same moment, as a crash would
//! bring, counts as the server's own.
//!
//! The first kind is at hand at the end, the others come later, so that an end may have to wait. A
//! server that leaves at short notice ends what it runs when its time is over. Where a newer
//! incarnation is known, connections show nothing about the one that responded.

use serde::Serialize;

use crate::prelude::*;
use crate::server_list::{Server, ServerChange, ServerState};

/// How much later than the end of one connection bytes that were sent before it may arrive on
/// another: the kernel sends a lost packet again after 200 ms at the earliest.
const ARRIVAL_SKEW_MAX: Duration = Duration::from_millis(250);
/// Bytes that arrived before they were waited for are read within this time, also by a busy host.
const BUFFERED_READ_TIME: Duration = Duration::from_millis(20);
/// A process that ends closes all its connections within this time.
const EXIT_TIME: Duration = Duration::from_millis(20);
/// How long before the end of a connection the removal of its server's row may be noticed: both
/// arrive on connections of their own.
const REMOVAL_LEAD_MAX: Duration = Duration::from_millis(100);
/// How long a process is remembered after the last event; its responses end before.
const PROCESS_TTL: Duration = Duration::from_secs(60);
/// The maximum number of remembered processes without open responses.
const PROCESSES_MAX: usize = 4_096;

/// What is known of a server whose connection ended a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerStanding {
    /// The server serves.
    Serving,
    /// The server announced that it leaves, and is still listed.
    Leaving,
    /// The server announced that it leaves, and its row was removed since.
    Left,
    /// The server's row was removed without an announcement.
    Unlisted,
    /// The server's row was removed, and the server says since that it leaves.
    LeavingUnlisted,
    /// The server leaves at short notice.
    LeavingAtShortNotice,
    /// Another incarnation took the server's place.
    Replaced,
}

/// The evidence that a server ended a response itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndEvidence {
    /// The server accepted a connection after the end.
    Accepts,
    /// Another response of the server went on after the end.
    LaterBytes,
    /// The server left in order.
    Left,
}

/// The end of a connection that also ended a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// When the connection ended.
    pub at: Duration,
    /// Until when to wait for evidence.
    pub wait_until: Duration,
}

/// What to do with a response that ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndAction {
    /// The response is complete.
    Complete(EndEvidence),
    /// Nothing shows that it is complete.
    BreakOff,
    /// Decide again when something has changed, or at this time.
    WaitUntil(Duration),
}

/// The id of a server and the start time of one of its incarnations.
type Incarnation = (Arc<str>, u64);

/// How a server announced that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// The server finishes its responses first.
    InOrder,
    /// The server ends when its time is over, whatever it runs.
    ShortNotice,
}

/// What this host has seen of a server's process.
#[derive(Clone, Debug, Default)]
struct Process {
    /// Responses that are still arriving, or awaited.
    open: u32,
    /// Those that end with their connection.
    unframed: u32,
    /// Responses whose end is being checked.
    checked: u32,
    /// When connections ended responses, lately.
    ends: Vec<Duration>,
    /// When connections broke off a response visibly, lately.
    cuts: Vec<Duration>,
    /// The latest time at which the process is known to have been alive, and what shows it.
    alive_at: Option<(Duration, EndEvidence)>,
    departure: Option<Departure>,
    /// When the row of a server that leaves in order was removed.
    left_at: Option<Duration>,
    /// Whether the server was asked if it leaves, after the removal of its row.
    was_asked: bool,
    /// Until when the server serves at least, if it said that it leaves.
    serves_until: Option<Duration>,
    updated_at: Duration,
}

impl Process {
    /// Returns whether nothing of the process needs to be remembered.
    fn is_unremarkable(&self) -> bool {
        self.is_idle() && self.ends.is_empty() && self.cuts.is_empty() && self.departure.is_none()
    }

    fn is_idle(&self) -> bool {
        self.open == 0 && self.checked == 0
    }

    /// Returns whether another response was cut off at this moment, as all are when the process ends
    /// with responses under way.
    fn was_cut(&self, at: Duration) -> bool {
        self.cuts.iter().any(|cut| cut.abs_diff(at) < EXIT_TIME)
    }

    /// Returns whether no other response ended at this moment.
    fn ended_alone(&self, at: Duration) -> bool {
        self.ends.iter().filter(|end| end.abs_diff(at) < EXIT_TIME).count() <= 1
    }

    fn leaves_in_order(&self) -> bool {
        self.departure == Some(Departure::InOrder)
    }

    fn on_alive(&mut self, at: Duration, evidence: EndEvidence) {
        if self.alive_at.is_none_or(|(known, _)| known < at) {
            self.alive_at = Some((at, evidence));
        }
    }
}

/// The evidence on the ends of responses of all servers.
#[derive(Clone, Debug, Default)]
pub struct ResponseEnds {
    processes: BTreeMap<Incarnation, Process>,
    /// The number of ends that are being checked.
    checked: usize,
}

impl ResponseEnds {
    /// Returns whether the end of a response is being checked.
    pub fn has_checks(&self) -> bool {
        self.checked > 0
    }

    /// Returns whether the end of a response of a leaving server is being checked.
    pub fn awaits_departure(&self) -> bool {
        let mut processes = self.processes.values();
        self.has_checks()
            && processes.any(|process| process.checked > 0 && process.leaves_in_order())
    }

    /// Counts a response as open.
    pub fn on_response_opened(&mut self, server: &Server) {
        self.processes.entry(incarnation(server)).or_default().open += 1;
    }

    /// Records that an open response will end with its connection.
    pub fn on_unframed_head(&mut self, server: &Server) {
        self.update(server, |process| process.unframed += 1);
    }

    /// Counts a response as no longer open.
    pub fn on_response_closed(&mut self, server: &Server, is_unframed: bool) {
        self.update(server, |process| {
            process.open = process.open.saturating_sub(1);
            process.unframed = process.unframed.saturating_sub(u32::from(is_unframed));
        });
    }

    /// Returns whether to ask a server whose row was removed if it leaves; it is asked once.
    pub fn should_ask(&mut self, server: &Server) -> bool {
        let Some(process) = self.processes.get_mut(&incarnation(server)) else { return false };
        let is_due = process.unframed > 0 && process.departure != Some(Departure::ShortNotice);
        is_due && !std::mem::replace(&mut process.was_asked, true)
    }

    /// Records that a server whose row was removed says that it leaves; `drain_time` is how long such
    /// a server serves.
    pub fn on_leaving_when_asked(&mut self, server: &Server, drain_time: Duration, now: Duration) {
        // Hosts learn of the removal later than the store, so a part of the time is enough.
        self.process(server, now).serves_until = Some(now + drain_time / 2);
    }

    /// Records that the server's end of a connection broke off a response visibly: inside its head or
    /// an event, or short of its length or last chunk.
    pub fn on_response_cut(&mut self, server: &Server, now: Duration) {
        let process = self.process(server, now);
        if process.checked == 0 {
            process.cuts.retain(|cut| now < *cut + EXIT_TIME);
        }
        process.cuts.push(now);
    }

    /// Counts an end as being checked.
    pub fn on_check_started(&mut self, server: &Server, now: Duration) {
        let process = self.process(server, now);
        if process.checked == 0 {
            process.ends.retain(|end| now < *end + EXIT_TIME);
        }
        process.ends.push(now);
        process.checked += 1;
        self.checked += 1;
    }

    /// Counts an end as no longer being checked.
    pub fn on_check_ended(&mut self, server: &Server) {
        self.checked = self.checked.saturating_sub(1);
        self.update(server, |process| process.checked = process.checked.saturating_sub(1));
    }

    /// Records that the server accepted a connection that was opened at `opened_at`.
    pub fn on_accepted(&mut self, server: &Server, opened_at: Duration) {
        self.update(server, |process| process.on_alive(opened_at, EndEvidence::Accepts));
    }

    /// Records bytes of a response that were waited for since `since`, when none were at hand;
    /// returns whether the end of another response of the server is being checked.
    pub fn on_awaited_bytes(&mut self, server: &Server, since: Duration, now: Duration) -> bool {
        let Some(process) = self.processes.get_mut(&incarnation(server)) else { return false };
        if process.checked == 0 || now < since + BUFFERED_READ_TIME {
            return false;
        }
        process.on_alive(since.saturating_sub(ARRIVAL_SKEW_MAX), EndEvidence::LaterBytes);
        true
    }

    /// Records that a server announced in a response that it leaves.
    pub fn on_notice(&mut self, server: &Server, now: Duration) {
        self.process(server, now).departure.get_or_insert(Departure::InOrder);
    }

    /// Applies a change of the server list; `is_expiry_ruled_out` is whether rows of running servers
    /// have not expired in an outage of the store.
    pub fn on_server_change(
        &mut self,
        change: &ServerChange,
        is_expiry_ruled_out: bool,
        now: Duration,
    ) {
        if matches!(change, ServerChange::Removed(_)) {
            self.expire(now);
        }
        match change {
            ServerChange::Removed(server) if is_expiry_ruled_out => {
                self.update(server, |process| {
                    process.left_at = process.leaves_in_order().then_some(now);
                });
            }
            ServerChange::Removed(_) => {}
            ServerChange::Draining(server)
            | ServerChange::Started(server)
            | ServerChange::Changed(server)
                if !server.is_ready() =>
            {
                self.on_row_leaving(server, now);
            }
            // The row of a server that was partitioned is back.
            ServerChange::Started(server) => {
                self.update(server, |process| {
                    (process.departure, process.left_at) = (None, None);
                    (process.was_asked, process.serves_until) = (false, None);
                });
            }
            ServerChange::Draining(_) | ServerChange::Changed(_) => {}
        }
    }

    fn on_row_leaving(&mut self, server: &Server, now: Duration) {
        let departure = match server.state {
            ServerState::Draining { remaining: None } => Departure::InOrder,
            ServerState::Draining { remaining: Some(_) } => Departure::ShortNotice,
            ServerState::Ready => return,
        };
        self.process(server, now).departure = Some(departure);
    }

    /// Returns what is known of `server`, the incarnation that responded; `listed` is the server
    /// with its id in the list.
    pub fn standing(&self, server: &Server, listed: Option<&Server>) -> ServerStanding {
        let process = self.processes.get(&incarnation(server));
        let leaves = process.is_some_and(Process::leaves_in_order);
        match listed {
            Some(listed) if !listed.is_same_process(server) => ServerStanding::Replaced,
            Some(Server { state: ServerState::Draining { remaining: Some(_) }, .. }) => {
                ServerStanding::LeavingAtShortNotice
            }
            Some(_) if leaves => ServerStanding::Leaving,
            Some(_) => ServerStanding::Serving,
            None => match process.map(|process| (process.serves_until, process.left_at)) {
                Some((Some(_), _)) => ServerStanding::LeavingUnlisted,
                Some((None, Some(_))) => ServerStanding::Left,
                Some((None, None)) | None => ServerStanding::Unlisted,
            },
        }
    }

    /// Returns what to do with a response of `server` that ended with its connection; `listed` is
    /// the server with its id in the list.
    pub fn next_action(
        &self,
        (server, listed): (&Server, Option<&Server>),
        end: ResponseEnd,
        now: Duration,
    ) -> EndAction {
        let standing = self.standing(server, listed);
        let Some(process) = self.processes.get(&incarnation(server)) else {
            return EndAction::BreakOff;
        };
        if standing == ServerStanding::Replaced {
            return EndAction::BreakOff;
        }
        if let Some((at, evidence)) = process.alive_at
            && at >= end.at
        {
            return EndAction::Complete(evidence);
        }
        let may_have_finished = !process.was_cut(end.at);
        let left_at = process.left_at.filter(|_| listed.is_none());
        if may_have_finished && left_at.is_some_and(|at| end.at <= at + REMOVAL_LEAD_MAX) {
            return EndAction::Complete(EndEvidence::Left);
        }
        let has_served = process.serves_until.is_some_and(|until| end.at >= until);
        if standing == ServerStanding::LeavingUnlisted
            && has_served
            && may_have_finished
            && process.ended_alone(end.at)
        {
            let decided_at = end.at + EXIT_TIME;
            return match now < decided_at {
                true => EndAction::WaitUntil(decided_at),
                false => EndAction::Complete(EndEvidence::Left),
            };
        }
        let may_leave = standing == ServerStanding::Leaving && may_have_finished;
        if now >= end.wait_until || !(may_leave || process.open > 0) {
            return EndAction::BreakOff;
        }
        EndAction::WaitUntil(end.wait_until)
    }

    fn process(&mut self, server: &Server, now: Duration) -> &mut Process {
        let process = self.processes.entry(incarnation(server)).or_default();
        process.updated_at = now;
        process
    }

    /// Changes a known process, and forgets it if nothing of it is remarkable then.
    fn update(&mut self, server: &Server, change: impl FnOnce(&mut Process)) {
        let incarnation = incarnation(server);
        let Some(process) = self.processes.get_mut(&incarnation) else { return };
        change(process);
        if process.is_unremarkable() {
            self.processes.remove(&incarnation);
        }
    }

    fn expire(&mut self, now: Duration) {
        let is_kept =
            |process: &Process| !process.is_idle() || now < process.updated_at + PROCESS_TTL;
        self.processes.retain(|_, process| is_kept(process));
        while self.processes.len() > PROCESSES_MAX {
            let idle = self.processes.iter().filter(|(_, process)| process.is_idle());
            let oldest = idle.min_by_key(|(_, process)| process.updated_at);
            let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) else { return };
            self.processes.remove(&oldest);
        }
    }
}

fn incarnation(server: &Server) -> Incarnation {
    (server.id.clone(), server.started_at_ms)
}
