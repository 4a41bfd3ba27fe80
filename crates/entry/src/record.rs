//! The request log: the decisions about a request, written as one line when the request ends.
//!
//! Every failed request is logged. Of the successful ones, one in [`SUCCESS_SAMPLE`] is logged,
//! so that the volume stays bounded under load.

use guavaspread_fleet::{AttemptOutcome, EndEvidence, ServerStanding, StreamPosition};
use guavaspread_model::ContentId;
use guavaspread_telemetry::JSON_TARGET;
use http::Version;
use serde::Serialize;

use crate::access::GrantBasis;
use crate::connection_pool::Framing;
use crate::end_check::CheckedEnd;
use crate::metrics::{BodyEndLabels, CheckedEndLabels, RequestLabels};
use crate::prelude::*;
use crate::state::EntryState;

/// Successful requests for each logged one.
const SUCCESS_SAMPLE: u64 = 128;
/// Steps recorded for one request; further ones are only counted.
const STEPS_MAX: usize = 12;

/// One decision about a request.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Step {
    /// Access to an adapter was requested from the engine's owner.
    Asked { server: Arc<str>, version: Option<u64>, by: Option<GrantBasis>, took_ms: u64 },
    /// The request was sent to a server.
    Sent { server: Arc<str>, version: Option<u64>, left_ms: u64 },
    /// The connection to the server leads through this peer.
    Through { peer: Arc<str> },
    /// The server responded with this status.
    Answered { status: u16, took_ms: u64 },
    /// The answer began on an older version of the adapter than this one, which this host has known
    /// for this long.
    OldVersion { newer: u64, known_ms: u64 },
    /// The attempt ended without a response to forward.
    Failed { outcome: &'static str, detail: String },
    /// The server was lost; the stream resumes on another server after this event.
    Resumes { behind: Option<Arc<str>> },
    /// The body of a stream's server ended, after this many events.
    BodyEnded { framing: Framing, events: u64, inside_event: bool },
    /// Whether a server ended the response itself was checked, as the response ended with its
    /// connection.
    EndChecked { standing: ServerStanding, evidence: Option<EndEvidence>, took_ms: u64 },
    /// The request's content is quarantined for this long, because it crashed servers.
    Held { left_ms: u64 },
    /// A part of the request's prompt is quarantined for this long.
    PartHeld { left_ms: u64 },
    /// The retry budget allowed no further attempt.
    NoBudget,
    /// The server's rate limit left no permit for the request.
    RateLimited { server: Arc<str> },
    /// No server accepts requests.
    NoServer,
}

/// One line of the request log; the field names are part of its format.
#[derive(Serialize)]
struct LogLine<'a> {
    request: &'a str,
    route: &'a str,
    service: &'a str,
    model: Option<&'a str>,
    adapter: Option<&'a str>,
    organisation: Option<&'a str>,
    content: Option<String>,
    config: u64,
    /// The caller's version of HTTP; before 1.1, only the end of the connection ends a stream.
    http: String,
    status: u16,
    code: Option<u16>,
    end: &'static str,
    ms: u64,
    steps: &'a [Step],
    left_out: usize,
    /// How many requests this line stands for.
    one_of: u64,
}

/// Collects the decisions about one request, and logs them when dropped.
pub(crate) struct Record {
    entry: Rc<EntryState>,
    started: Duration,
    pub(crate) request: Arc<str>,
    pub(crate) route: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) model: Option<Arc<str>>,
    pub(crate) adapter: Option<Arc<str>>,
    /// The organisation whose key the request has.
    pub(crate) organisation: Option<Arc<str>>,
    /// Identifies the request's content, across repeats by the caller.
    pub(crate) content: Option<ContentId>,
    /// The problem code, if this host generated the response.
    pub(crate) code: Option<u16>,
    config: u64,
    http: Version,
    steps: Vec<Step>,
    omitted_steps: usize,
    /// The status sent, how the request ended, and whether this host generated the response.
    ///
    /// `None` at the end of the request means that the caller disconnected.
    end: Option<(u16, &'static str, bool)>,
}

impl Record {
    /// Starts the record of a request that has just arrived.
    pub(crate) fn new(entry: &Rc<EntryState>, http: Version) -> Self {
        entry.metrics.under_way.inc();
        Record {
            started: entry.clock.now(),
            entry: entry.clone(),
            request: "".into(),
            route: "".into(),
            service: "".into(),
            model: None,
            adapter: None,
            organisation: None,
            content: None,
            code: None,
            config: entry.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version),
            http,
            steps: Vec::new(),
            omitted_steps: 0,
            end: None,
        }
    }

    /// Returns when the request arrived.
    pub(crate) fn started(&self) -> Duration {
        self.started
    }

    /// Adds a step, or only counts it beyond [`STEPS_MAX`].
    pub(crate) fn add(&mut self, step: Step) {
        if self.steps.len() < STEPS_MAX {
            self.steps.push(step);
        } else {
            self.omitted_steps += 1;
        }
    }

    /// Adds the failure of an attempt.
    pub(crate) fn add_failure(&mut self, outcome: AttemptOutcome, detail: String) {
        let outcome = match outcome {
            AttemptOutcome::NotSent => "not-sent",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::Unknown => "may-have-run",
        };
        self.add(Step::Failed { outcome, detail });
    }

    /// Adds the end of the body of a stream's server, and counts it.
    pub(crate) fn on_stream_ended(&mut self, framing: Framing, position: StreamPosition) {
        let inside_event = position == StreamPosition::InsideEvent;
        let events = match position {
            StreamPosition::BetweenEvents(events) => events.get(),
            StreamPosition::Start | StreamPosition::InsideEvent => 0,
        };
        self.add(Step::BodyEnded { framing, events, inside_event });
        let labels = BodyEndLabels::new(framing, position, self.http);
        self.entry.metrics.body_ends.get_or_create(&labels).inc();
    }

    /// Adds the check of a response that ended with its connection, and counts it.
    pub(crate) fn on_end_checked(&mut self, end: CheckedEnd) {
        let CheckedEnd { evidence, standing, took } = end;
        self.add(Step::EndChecked { standing, evidence, took_ms: took.as_millis() as u64 });
        let metrics = &self.entry.metrics;
        metrics.checked_ends.get_or_create(&CheckedEndLabels::new(evidence)).inc();
        metrics.end_check_seconds.observe(took.as_secs_f64());
    }

    /// Sets how the request ended; `is_own` marks a response that this host generated.
    pub(crate) fn set_end(&mut self, status: u16, end: &'static str, is_own: bool) {
        self.end = Some((status, end, is_own));
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let metrics = &self.entry.metrics;
        metrics.under_way.dec();
        let (status, end, is_own) = self.end.unwrap_or((0, "caller-left", true));
        let labels = RequestLabels { status, own: is_own.to_string() };
        let counter = metrics.ended.get_or_create(&labels);
        let count = counter.inc();
        let is_success = (200..300).contains(&status) && end == "whole";
        if is_success && !count.is_multiple_of(SUCCESS_SAMPLE) {
            return;
        }
        let line = LogLine {
            request: &self.request,
            route: &self.route,
            service: &self.service,
            model: self.model.as_deref(),
            adapter: self.adapter.as_deref(),
            organisation: self.organisation.as_deref(),
            content: self.content.map(|content| content.to_string()),
            config: self.config,
            http: format!("{:?}", self.http),
            status,
            code: self.code,
            end,
            ms: self.entry.clock.now().saturating_sub(self.started).as_millis() as u64,
            steps: &self.steps,
            left_out: self.omitted_steps,
            one_of: if is_success { SUCCESS_SAMPLE } else { 1 },
        };
        match serde_json::to_string(&line) {
            Ok(text) if is_success => log::info!(target: JSON_TARGET, "{text}"),
            Ok(text) => log::warn!(target: JSON_TARGET, "{text}"),
            Err(e) => log::error!("encoding the log line of a request failed, dropping it: {e}"),
        }
    }
}
