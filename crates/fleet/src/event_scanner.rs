//! Positions in a server-sent event stream, as bytes of it arrive.

use std::num::NonZeroU64;

/// Longest start of a stream that tells whether it consists of events.
const START_BYTES_MAX: usize = 6;
/// The fields of an event, and the start of a comment.
const LINE_STARTS: [&[u8]; 5] = [b"id:", b"data:", b"event:", b"retry:", b":"];

/// Where a stream stands after the bytes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event has begun.
    Start,
    /// This many events are complete, and no other one has begun.
    BetweenEvents(NonZeroU64),
    /// A line or an event is incomplete.
    InsideEvent,
}

/// Reads a stream's lines, which end with LF, CR or both, only as far as needed to find the ends
/// of events.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    start: Vec<u8>,
    line: Line,
    has_fields: bool,
    events: u64,
    after_cr: bool,
    /// Whether a line ended with CR and LF. A CR at the end of the bytes is then half a line break.
    uses_crlf: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads bytes and returns how many of them lie before the event that is incomplete.
    ///
    /// Returns `None` if all of them belong to that event.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let missing = START_BYTES_MAX.saturating_sub(self.start.len());
        self.start.extend_from_slice(&bytes[..missing.min(bytes.len())]);
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let is_second_byte = std::mem::replace(&mut self.after_cr, *byte == b'\r');
            match byte {
                b'\n' if is_second_byte => self.uses_crlf = true,
                b'\n' | b'\r' => self.on_line_end(),
                byte if self.line == Line::Empty => {
                    self.line = if *byte == b':' { Line::Comment } else { Line::Field };
                    self.has_fields |= self.line == Line::Field;
                }
                _ => {}
            }
            if !self.is_inside_event() {
                end = Some(index + 1);
            }
        }
        end
    }

    fn on_line_end(&mut self) {
        if self.line == Line::Empty {
            self.events += u64::from(std::mem::take(&mut self.has_fields));
        }
        self.line = Line::Empty;
    }

    /// Returns where the stream stands.
    pub fn position(&self) -> StreamPosition {
        if self.is_inside_event() {
            return StreamPosition::InsideEvent;
        }
        NonZeroU64::new(self.events).map_or(StreamPosition::Start, StreamPosition::BetweenEvents)
    }

    fn is_inside_event(&self) -> bool {
        self.line != Line::Empty || self.has_fields || (self.after_cr && self.uses_crlf)
    }

    /// Returns whether an event is complete.
    pub(crate) fn has_events(&self) -> bool {
        self.events > 0
    }

    /// Returns whether the stream starts like one of events, whatever its declared type.
    pub fn looks_like_events(&self) -> bool {
        LINE_STARTS.iter().any(|start| self.start.starts_with(start))
    }
}
