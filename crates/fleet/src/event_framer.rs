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
}

impl EventFramer {
    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        let end = self.scanner.push(bytes);
        if self.is_passthrough {
            return bytes.clone();
        }
        if self.buffered.is_empty() && end == Some(bytes.len()) {
            self.record_events(bytes);
            return bytes.clone();
        }
        let buffered = self.buffered.len();
        self.buffered.extend_from_slice(bytes);
        let Some(end) = end else {
            if self.buffered.len() <= BUFFERED_BYTES_MAX {
                return Bytes::new();
            }
            self.is_passthrough = true;
            return self.buffered.split().freeze();
        };
        let complete = self.buffered.split_to(buffered + end).freeze();
        self.record_events(&complete);
        complete
    }

    /// Returns the buffered bytes at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.buffered.split().freeze()
    }

    /// Discards a partial event, which another server sends again.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
        self.scanner = EventScanner::default();
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

    fn record_events(&mut self, events: &[u8]) {
        self.has_events |= self.scanner.has_events();
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')) {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.last_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
            }
        }
    }
}
