//! Whole events of a stream that may break off in the middle of one.
//!
//! Answers the failure of a server that is lost while it streams: another one goes on
//! behind the last whole event, so the caller must have been passed none by halves.

use bytes::{Bytes, BytesMut};

/// The largest part of an event that is held back; a stream with larger ones is passed on as
/// it comes, and can't be resumed.
const HELD_BYTES_MAX: usize = 64 * 1024;
const ID_FIELD: &[u8] = b"id:";

/// Passes on whole events, and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    last_id: Option<String>,
    events: u64,
    is_cut: bool,
}

impl EventCutter {
    /// Takes what came; returns the whole events that it completes.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        if self.is_cut {
            return bytes.clone();
        }
        if self.held.is_empty() && ends_event(bytes) {
            self.note(bytes);
            return bytes.clone();
        }
        let known = self.held.len();
        self.held.extend_from_slice(bytes);
        let Some(end) = last_end(&self.held, known) else {
            if self.held.len() <= HELD_BYTES_MAX {
                return Bytes::new();
            }
            self.is_cut = true;
            return self.held.split().freeze();
        };
        let whole = self.held.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    /// Returns what was held back at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops a part of an event, which another server sends anew.
    pub fn drop_part(&mut self) {
        self.held.clear();
    }

    /// Tells whether the stream may go on at another server behind what was passed on.
    pub fn may_resume(&self) -> bool {
        !self.is_cut && (self.events == 0 || self.last_id.is_some())
    }

    /// Returns the id of the last event passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn note(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.events += u64::from(line.is_empty());
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.last_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
            }
        }
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Returns the end of the last whole event behind the bytes known to hold none.
fn last_end(bytes: &[u8], known: usize) -> Option<usize> {
    (known + 1..=bytes.len()).rev().find(|end| ends_event(&bytes[..*end]))
}
