//! Bodies of answers, as they are passed on.

use std::pin::Pin;
use std::task::{Context, Poll};

use guavaspread_fleet::{Outcome, PlacementKey};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::time::Sleep;

use crate::access::Kept;
use crate::channel::AnswerBody;
use crate::prelude::*;
use crate::record::Record;
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
    body: AnswerBody,
    until: Pin<Box<Sleep>>,
    status: u16,
    record: Record,
    _in_flight: InFlight,
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
            RelayBody::Relayed(relayed) => relayed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Own(body) => body.size_hint(),
            RelayBody::Relayed(relayed) => relayed.body.size_hint(),
        }
    }
}

impl Relayed {
    /// Passes on `body`, for `left` at most.
    pub(crate) fn new(
        body: AnswerBody,
        left: Duration,
        status: u16,
        mut record: Record,
        in_flight: InFlight,
    ) -> Self {
        if body.is_end_stream() {
            record.end(status, "whole", false);
        }
        let until = Box::pin(tokio::time::sleep(left));
        Relayed { body, until, status, record, _in_flight: in_flight }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.record.end(self.status, "whole", false);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.record.end(self.status, "whole", false);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(e))) => {
                self.record.failed(Outcome::Unknown, e.to_string());
                self.record.end(self.status, "broken-off", false);
                Poll::Ready(Some(Err(BrokenOff)))
            }
            Poll::Pending if self.until.as_mut().poll(cx).is_ready() => {
                self.record.end(self.status, "out-of-time", false);
                Poll::Ready(Some(Err(BrokenOff)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Counts a request as under way at a server until it is dropped.
pub(crate) struct InFlight {
    entry: Rc<Entry>,
    key: PlacementKey,
    pub(crate) kept: Kept,
}

impl InFlight {
    pub(crate) fn start(entry: &Rc<Entry>, key: PlacementKey) -> Self {
        entry.placement.borrow_mut().on_sent(key);
        InFlight { entry: entry.clone(), key, kept: Kept::default() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.placement.borrow_mut().on_ended(self.key);
    }
}
