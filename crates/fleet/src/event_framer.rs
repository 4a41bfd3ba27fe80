//! Splitting of a server-sent event stream into complete events.
//!
//! When a server is lost during a stream, another server continues after the last complete event.
//! The caller must therefore never receive part of an event.

use bytes::{Bytes, BytesMut};

use crate::event_scanner::{EventScanner, StreamPosition};

/// Limit of the buffered part of an event. A stream with a larger event is forwarded unbuffered and
/// can't be resumed; otherwise an endless event would grow the buffer without limit.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;
const ID_FIELD: &[u8] = b"id:";

/// Forwards complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventFramer {
    scanner: EventScanner,
    buffered: BytesMut,
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

    /// Adds received bytes and returns the events that they complete; `None` if these do not follow
    /// the events of the previous server.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
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
            if self.buffered.len() <= BUFFERED_BYTES_MAX {
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
        self.buffered.split().freeze()
    }

    /// Discards a partial event, which another server sends again.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
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
