//! Bodies of answers, as they are passed on.

use std::pin::Pin;
use std::task::{Context, Poll};

use guavaspread_fleet::{Break, Outcome, PlacementKey, Server};
use guavaspread_model::ContentId;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::time::Sleep;

use crate::access::Kept;
use crate::channel::{AnswerBody, is_silence};
use crate::prelude::*;
use crate::record::Record;
use crate::resume::{Resumed, Resumer, Resuming};
use crate::state::Entry;

/// Holds the body of an answer: this host's own, or a server's.
pub(crate) enum RelayBody {
    /// Written here.
    Own(Full<Bytes>),
    /// Passed on as it arrives.
    Relayed(Box<Relayed>),
}

/// Passes a server's body on; dropping it closes the server's connection.
pub(crate) struct Relayed {
    source: Source,
    until: Pin<Box<Sleep>>,
    status: u16,
    /// Away while another server is looked for.
    record: Option<Record>,
    in_flight: Option<InFlight>,
    /// Finds another server for a stream that may go on there.
    resumer: Option<Box<Resumer>>,
    /// When the last bytes came.
    heard_at: Duration,
}

/// Where the next bytes come from.
enum Source {
    Server(AnswerBody),
    /// Another server is looked for.
    Resuming(Resuming),
    Ended,
}

/// Ends a body that must not look complete.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            RelayBody::Own(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            RelayBody::Relayed(relayed) => relayed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Own(body) => body.is_end_stream(),
            RelayBody::Relayed(relayed) => relayed.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Own(body) => body.size_hint(),
            RelayBody::Relayed(relayed) => relayed.size_hint(),
        }
    }
}

impl Relayed {
    /// Passes on `body`, for `left` at most; `resumer` finds where it goes on if it is lost.
    pub(crate) fn new(
        body: AnswerBody,
        left: Duration,
        status: u16,
        mut record: Record,
        in_flight: InFlight,
        resumer: Option<Box<Resumer>>,
    ) -> Self {
        if body.is_end_stream() {
            record.end(status, "whole", false);
            in_flight.on_whole();
        }
        let until = Box::pin(tokio::time::sleep(left));
        let source = Source::Server(body);
        let heard_at = in_flight.now();
        let (record, in_flight) = (Some(record), Some(in_flight));
        Relayed { source, until, status, record, in_flight, resumer, heard_at }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        loop {
            let next = match &mut self.source {
                Source::Server(body) => match Pin::new(body).poll_frame(cx) {
                    Poll::Ready(Some(Ok(frame))) => self.on_frame(frame),
                    Poll::Ready(None) => self.on_whole(),
                    Poll::Ready(Some(Err(e))) => self.on_lost(&e),
                    Poll::Pending => Next::Wait,
                },
                Source::Resuming(resuming) => match resuming.as_mut().poll(cx) {
                    Poll::Ready(resumed) => self.on_resumed(resumed),
                    Poll::Pending => Next::Wait,
                },
                Source::Ended => Next::Pass(None),
            };
            match next {
                Next::Again => {}
                Next::Pass(passed) => return Poll::Ready(passed),
                Next::Wait if self.until.as_mut().poll(cx).is_ready() => {
                    self.on_failed();
                    self.end("out-of-time");
                    return Poll::Ready(Some(Err(BrokenOff)));
                }
                Next::Wait => return Poll::Pending,
            }
        }
    }

    fn on_frame(&mut self, frame: Frame<Bytes>) -> Next {
        let is_end = matches!(&self.source, Source::Server(body) if body.is_end_stream());
        if is_end {
            self.end_whole();
        }
        if let Some(in_flight) = &self.in_flight {
            self.heard_at = in_flight.now();
        }
        let Some(resumer) = &mut self.resumer else { return Next::Pass(Some(Ok(frame))) };
        let frame = match frame.into_data() {
            Ok(data) => data,
            Err(other) => return Next::Pass(Some(Ok(other))),
        };
        let whole = resumer.events.push(&frame);
        if whole.is_empty() { Next::Again } else { Next::Pass(Some(Ok(Frame::data(whole)))) }
    }

    fn on_whole(&mut self) -> Next {
        self.end_whole();
        self.source = Source::Ended;
        let rest = self.resumer.as_mut().map(|resumer| resumer.events.finish());
        Next::Pass(rest.filter(|rest| !rest.is_empty()).map(|rest| Ok(Frame::data(rest))))
    }

    /// Closes the lost server's connection, and looks for another one where that is allowed.
    fn on_lost(&mut self, e: &hyper::Error) -> Next {
        if let Some(record) = &mut self.record {
            record.failed(Outcome::Unknown, e.to_string());
        }
        self.on_failed();
        if let Some(in_flight) = &self.in_flight {
            in_flight.on_broken(if is_silence(e) { Break::Silent } else { Break::Closed });
        }
        let now = self.in_flight.take().map_or(self.heard_at, |in_flight| in_flight.now());
        match (self.resumer.take(), self.record.take()) {
            (Some(resumer), Some(record)) => {
                let silence = now.saturating_sub(self.heard_at);
                self.source = Source::Resuming(Box::pin(resumer.resume(record, silence)));
                Next::Again
            }
            (_, record) => {
                self.record = record;
                self.break_off()
            }
        }
    }

    fn on_resumed(&mut self, resumed: Resumed) -> Next {
        self.record = Some(resumed.record);
        let Some((body, in_flight, resumer)) = resumed.next else { return self.break_off() };
        self.source = Source::Server(body);
        self.in_flight = Some(in_flight);
        self.resumer = Some(resumer);
        Next::Again
    }

    fn break_off(&mut self) -> Next {
        self.source = Source::Ended;
        self.end("broken-off");
        Next::Pass(Some(Err(BrokenOff)))
    }

    /// Lets other servers go before one whose answer was not whole.
    fn on_failed(&self) {
        if let Some(InFlight { entry, key, .. }) = &self.in_flight {
            entry.placement.borrow_mut().on_failed(*key, entry.clock.now());
        }
    }

    fn end_whole(&mut self) {
        self.end("whole");
        if let Some(in_flight) = &self.in_flight {
            in_flight.on_whole();
        }
    }

    fn end(&mut self, end: &'static str) {
        if let Some(record) = &mut self.record {
            record.end(self.status, end, false);
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            // What is held back still follows.
            Source::Server(body) => self.resumer.is_none() && body.is_end_stream(),
            Source::Resuming(_) => false,
            Source::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.source, &self.resumer) {
            (Source::Server(body), None) => body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

/// Tells what follows one look at the source.
enum Next {
    Pass(Option<Result<Frame<Bytes>, BrokenOff>>),
    Again,
    Wait,
}

/// Counts a request as under way at a server until it is dropped.
pub(crate) struct InFlight {
    entry: Rc<Entry>,
    key: PlacementKey,
    pub(crate) kept: Kept,
    /// What runs where, once it is sent.
    pub(crate) run: Option<Run>,
}

/// A content that a server runs.
pub(crate) struct Run {
    pub(crate) server: Arc<Server>,
    pub(crate) content: ContentId,
}

impl InFlight {
    /// Reports that the server's answer is whole.
    fn on_whole(&self) {
        if let Some(Run { content, .. }) = &self.run {
            self.entry.on_whole(*content);
        }
    }

    /// Reports that the server's connection was lost before the answer was whole.
    pub(crate) fn on_broken(&self, how: Break) {
        if let Some(Run { server, content }) = &self.run {
            self.entry.on_broken(server, *content, how);
        }
    }

    fn now(&self) -> Duration {
        self.entry.clock.now()
    }

    pub(crate) fn start(entry: &Rc<Entry>, key: PlacementKey) -> Self {
        entry.placement.borrow_mut().on_sent(key);
        InFlight { entry: entry.clone(), key, kept: Kept::default(), run: None }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.placement.borrow_mut().on_ended(self.key);
    }
}
