//! Splitting of a server-sent event stream into complete events.
//!
//! When a server is lost during a stream, another server continues after the last complete event.
//! The caller must therefore never receive part of an event.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::event_scanner::{EventScanner, StreamPosition};

/// Limit of the buffered part of an event. A stream with a larger event is forwarded unbuffered and
/// can't be resumed; otherwise an endless event would grow the buffer without limit.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;
/// Limit of the buffered parts of all events of a process. Beyond it, a stream is forwarded unbuffered
/// as one with a larger event.
const SHARED_BYTES_MAX: usize = 8 * 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";

/// Counts the bytes that the streams of a process buffer together.
#[derive(Clone, Debug, Default)]
pub struct EventBuffers {
    used: Rc<Cell<usize>>,
}

/// The part of one stream in the bytes that all streams buffer.
#[derive(Debug, Default)]
struct BufferShare {
    all: EventBuffers,
    bytes: usize,
}

impl BufferShare {
    /// Records how many bytes the stream buffers; returns whether there is room for them.
    fn set(&mut self, bytes: usize) -> bool {
        let used = self.all.used.get() - self.bytes + bytes;
        self.bytes = bytes;
        self.all.used.set(used);
        used <= SHARED_BYTES_MAX
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Forwards complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventFramer {
    scanner: EventScanner,
    buffered: BytesMut,
    share: BufferShare,
    last_id: Option<String>,
    has_events: bool,
    is_passthrough: bool,
    order: EventOrder,
}

/// Checks that the events of the next server follow those of the previous one.
#[derive(Clone, Copy, Debug, Default)]
struct EventOrder {
    last: Option<u64>,
    /// Whether each id was by one greater than the one before; `None` until two are known.
    is_consecutive: Option<bool>,
    /// Whether the next event is the first of another server.
    is_resuming: bool,
}

impl EventOrder {
    /// Records the id of an event; returns whether it follows the previous ones.
    fn on_id(&mut self, id: &str) -> bool {
        let (last, id) = (self.last, id.parse::<u64>().ok());
        self.last = id;
        let is_resuming = std::mem::take(&mut self.is_resuming);
        let (Some(last), Some(id)) = (last, id) else { return true };
        let is_next = id.checked_sub(1) == Some(last);
        if !is_resuming {
            self.is_consecutive = Some(is_next && self.is_consecutive.unwrap_or(true));
            return true;
        }
        is_next || (id > last && self.is_consecutive != Some(true))
    }
}

impl EventFramer {
    /// Creates the framer of a stream whose caller has received the event with this id.
    pub fn after(id: Option<&str>) -> Self {
        let last = id.and_then(|id| id.trim().parse().ok());
        let order = EventOrder { last, is_consecutive: None, is_resuming: last.is_some() };
        EventFramer { order, ..EventFramer::default() }
    }

    /// Counts what this stream buffers among the buffers of the process.
    pub fn sharing(mut self, all: &EventBuffers) -> Self {
        self.share = BufferShare { all: all.clone(), bytes: 0 };
        self
    }

    /// Adds received bytes and returns the events that they complete; `None` if these do not follow
    /// the events of the previous server.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let forwarded = self.forward(bytes);
        self.share.set(self.buffered.len());
        forwarded
    }

    fn forward(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let end = self.scanner.push(bytes);
        if self.is_passthrough {
            return Some(bytes.clone());
        }
        if self.buffered.is_empty() && end == Some(bytes.len()) {
            return self.record_events(bytes).then(|| bytes.clone());
        }
        let buffered = self.buffered.len();
        self.buffered.extend_from_slice(bytes);
        let Some(end) = end else {
            let has_room = self.share.set(self.buffered.len());
            if has_room && self.buffered.len() <= BUFFERED_BYTES_MAX {
                return Some(Bytes::new());
            }
            self.is_passthrough = true;
            return (!self.order.is_resuming).then(|| self.buffered.split().freeze());
        };
        let complete = self.buffered.split_to(buffered + end).freeze();
        self.record_events(&complete).then_some(complete)
    }

    /// Returns the buffered bytes at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.share.set(0);
        self.buffered.split().freeze()
    }

    /// Discards a partial event, which another server sends again.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
        self.share.set(0);
        self.scanner = EventScanner::default();
        self.order.is_resuming = self.order.last.is_some();
    }

    /// Returns where the stream of the current server stands.
    pub fn position(&self) -> StreamPosition {
        self.scanner.position()
    }

    /// Returns whether another server can continue the stream after the forwarded events.
    pub fn can_resume(&self) -> bool {
        !self.is_passthrough && (!self.has_events || self.last_id.is_some())
    }

    /// Returns the id of the last forwarded event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Records complete events if they follow the previous ones; returns whether they do.
    fn record_events(&mut self, events: &[u8]) -> bool {
        let (mut order, mut last_id) = (self.order, None);
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')) {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                let id = std::str::from_utf8(id).unwrap_or_default().trim();
                if !order.on_id(id) {
                    return false;
                }
                last_id = Some(id);
            }
        }
        let has_events = self.scanner.has_events();
        if order.is_resuming && has_events {
            // An event without an id does not tell where it belongs.
            return false;
        }
        self.order = order;
        self.has_events |= has_events;
        if let Some(id) = last_id {
            self.last_id = Some(id.to_owned()).filter(|id| !id.is_empty());
        }
        true
    }
}
