//! The load and the failures of one server, as one entry host knows them.

use guavaspread_placement::Demand;

use super::brittle::Brittle;
use super::pace::Pace;
use crate::prelude::*;
use crate::server_list::Server;

/// How long an unreachable server is used only as a last resort; doubles with each further failure.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1_000);
const COOLDOWN_DOUBLINGS_MAX: u32 = 2;
/// Half-life of a server's failure count; a server that fails some requests recovers in seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Cost of one recent failure of a server, as a fraction of its slots.
const FAILURE_COST: f64 = 0.5;
/// How long a load report counts, with linearly decreasing weight. A request lasts 2 to 3 seconds,
/// so an older report says little about the current load.
pub(super) const LOAD_REPORT_TTL: Duration = Duration::from_millis(4_000);

/// A server's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that the server can run concurrently.
    pub slots: u32,
}

/// A server among which one is chosen, and what this host knows of its load and its failures.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) server: Arc<Server>,
    /// Requests of this host at the server.
    pub(super) in_flight: u32,
    report: Option<(LoadReport, Duration)>,
    /// Requests of this host sent since the last load report.
    sent_since_report: u32,
    /// `None` for a server that does not crash by rejecting requests.
    pub(super) brittle: Option<Brittle>,
    /// When the last request was sent whose response named no limit of rejections.
    pub(super) unlimited_at: Option<Duration>,
    /// `None` for a server that states none.
    pace: Option<Pace>,
    failures: Demand,
    cooldown_until: Duration,
    /// Consecutive connection failures since the last load report.
    unreachable_count: u32,
}

impl Candidate {
    pub(super) fn new(server: Arc<Server>) -> Self {
        Candidate {
            server,
            in_flight: 0,
            report: None,
            sent_since_report: 0,
            brittle: None,
            unlimited_at: None,
            pace: None,
            failures: Demand::default(),
            cooldown_until: Duration::ZERO,
            unreachable_count: 0,
        }
    }

    /// Applies a new row of the server; a new process of it starts without failures.
    pub(super) fn update(&mut self, server: Arc<Server>) {
        if self.server.started_at_ms != server.started_at_ms {
            let in_flight = self.in_flight;
            *self = Candidate { in_flight, ..Candidate::new(server) };
        } else {
            self.server = server;
        }
    }

    pub(super) fn on_request_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    /// Returns the last load report if it arrived after `since`.
    pub(super) fn report_since(&self, since: Duration) -> Option<LoadReport> {
        self.report.filter(|(_, at)| *at > since).map(|(report, _)| report)
    }

    /// Returns the number of this host's requests that no recent load report includes.
    pub(super) fn unreported_count(&self, now: Duration) -> u32 {
        match self.report_since(now.saturating_sub(LOAD_REPORT_TTL)) {
            Some(_) => self.sent_since_report,
            None => self.in_flight,
        }
    }

    pub(super) fn on_load_report(&mut self, report: LoadReport, now: Duration) {
        self.report = Some((report, now));
        self.sent_since_report = 0;
        self.unreachable_count = 0;
    }

    pub(super) fn on_pace(&mut self, figure: f64, now: Duration) {
        match &mut self.pace {
            Some(pace) => pace.on_figure(figure, now),
            None => self.pace = Some(Pace::new(figure, now)),
        }
    }

    pub(super) fn on_request_failed(&mut self, now: Duration) {
        self.failures.add(now, FAILURE_HALF_LIFE, 1.0);
    }

    pub(super) fn on_unreachable(&mut self, now: Duration) {
        let doublings = self.unreachable_count.min(COOLDOWN_DOUBLINGS_MAX);
        self.cooldown_until = now + UNREACHABLE_COOLDOWN * 2u32.pow(doublings);
        self.unreachable_count += u32::from(doublings < COOLDOWN_DOUBLINGS_MAX);
    }

    /// Discards the connection failures, which were not the server's.
    pub(super) fn clear_unreachable(&mut self) {
        self.cooldown_until = Duration::ZERO;
        self.unreachable_count = 0;
    }

    /// Returns whether the server is not known to be unreachable.
    pub(super) fn is_reachable(&self, now: Duration) -> bool {
        self.cooldown_until <= now
    }

    /// Returns the number of requests at the server.
    pub(super) fn requests(&self, now: Duration) -> f64 {
        let reported = match self.report {
            Some((report, at)) => {
                let age = now.saturating_sub(at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
                (f64::from(report.running) + f64::from(report.waiting)) * (1.0 - age).max(0.0)
            }
            None => 0.0,
        };
        reported.max(f64::from(self.in_flight))
    }

    /// Returns the load that one more request would cause, as a fraction of the slots.
    pub(super) fn load(&self, now: Duration) -> f64 {
        (self.requests(now) + 1.0) / f64::from(self.server.slots.max(1))
    }

    /// Returns how long work takes on the server, 1 is the usual.
    pub(super) fn pace(&self, now: Duration) -> f64 {
        self.pace.map_or(1.0, |pace| pace.expected(now))
    }

    /// Returns how long a request is expected to take, in times of a usual one: a server with a free
    /// place takes its own time, a full one as many times as its places are taken.
    pub(super) fn expected_time(&self, now: Duration) -> f64 {
        let failures = self.failures.count(now, FAILURE_HALF_LIFE);
        self.load(now).max(1.0) * self.pace(now) + failures * FAILURE_COST
    }

    /// Returns whether the server states its pace.
    pub(super) fn states_pace(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns the load in time of the usual pace, with the cost of recent failures.
    pub(super) fn cost(&self, now: Duration) -> f64 {
        let failures = self.failures.count(now, FAILURE_HALF_LIFE);
        self.load(now) * self.pace(now) + failures * FAILURE_COST
    }
}
