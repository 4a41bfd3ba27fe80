//! Streams that go on at another server after theirs was lost.

use std::pin::Pin;

use guavaspread_fleet::{EventCutter, Outcome, Verdict};

use crate::access::RESUME_WAIT;
use crate::body::InFlight;
use crate::channel::AnswerBody;
use crate::prelude::*;
use crate::record::{Record, Step};
use crate::relay::{Call, Progress, Sent};

/// The header that names the last event received, as browsers send it.
pub(crate) const LAST_EVENT_ID: http::HeaderName = http::HeaderName::from_static("last-event-id");

/// How long a stream may stand still in all while another server is looked for. Callers leave
/// after two seconds or more, and one that left does not ask again; one whose stream breaks off
/// does, at another host.
const STILL_MAX: Duration = Duration::from_millis(1_200);
/// When the next event is due where a route names no longest pause.
const PAUSE: Duration = Duration::from_millis(300);

/// Sends a stream's request again when its server is lost.
pub(crate) struct Resumer {
    call: Call,
    progress: Progress,
    pub(crate) events: EventCutter,
}

/// What a search for another server ends with; `None` where there is none in time.
pub(crate) struct Resumed {
    pub(crate) record: Record,
    pub(crate) next: Option<(AnswerBody, InFlight, Box<Resumer>)>,
}

/// A search for another server under way.
pub(crate) type Resuming = Pin<Box<dyn Future<Output = Resumed>>>;

impl Resumer {
    pub(crate) fn new(call: Call, progress: Progress) -> Self {
        Resumer { call, progress, events: EventCutter::default() }
    }

    /// Goes on at another server behind the last event passed on, unless the stream has stood
    /// still for so long, or still would, that its caller does better to ask again elsewhere.
    ///
    /// What the lost server was sent may have run: it counts as an attempt, and the next one
    /// takes from the retry budget.
    pub(crate) async fn resume(
        mut self: Box<Self>,
        mut record: Record,
        silence: Duration,
    ) -> Resumed {
        let left = STILL_MAX.saturating_sub(silence);
        let verdict = self.progress.on_lost(&self.call.route, Outcome::Unknown);
        if verdict != Verdict::TryNext || !self.events.may_resume() || left.is_zero() {
            return Resumed { record, next: None };
        }
        self.events.drop_part();
        if let Some(id) = self.events.last_id().and_then(|id| id.parse().ok()) {
            self.call.head.headers.insert(LAST_EVENT_ID, id);
        }
        // The caller waits for the next event, not for the first one.
        let pause = self.call.route.pause_objective.unwrap_or(PAUSE);
        self.call.load_wait = RESUME_WAIT;
        self.call.due = self.call.entry.clock.now() + pause;
        record.add(Step::Resumes { behind: self.events.last_id().map(Into::into) });
        let sending = self.call.send(&mut self.progress, &mut record);
        match tokio::time::timeout(left, sending).await {
            Ok(Sent::Answered(answered, in_flight)) if answered.head.status.is_success() => {
                Resumed { record, next: Some((answered.body, in_flight, self)) }
            }
            Ok(Sent::Answered(..) | Sent::GivenUp(..)) | Err(_) => Resumed { record, next: None },
        }
    }
}
