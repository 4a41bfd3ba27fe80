//! Logs to standard output that never block the process.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, json_format};
use log::Record;

use crate::logs::{LogHandle, Result};

/// The maximum number of lines in the queue; when the queue is full, lines are dropped and counted.
const QUEUED_LINES_MAX: usize = 2_048;

/// The target of records whose text is a JSON object; the object is written without quoting.
pub const JSON_TARGET: &str = "object";

/// Starts logging at `level` to standard output, as JSON lines.
///
/// Lines are queued and written by a separate thread. While the reader of standard output
/// does not read, lines are dropped; a warning before the next line states their number.
///
/// # Errors
///
/// Fails when `level` does not parse or logging is already started.
pub fn start_nonblocking_logs(level: &str) -> Result<LogHandle> {
    let writer = QueueWriter::start(io::stdout());
    Logger::try_with_str(level)?.log_to_writer(Box::new(writer)).start()
}

/// A log writer that puts formatted lines into a bounded queue.
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped_count: AtomicU64,
}

impl QueueWriter {
    /// Starts the thread that writes the lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUED_LINES_MAX);
        std::thread::spawn(move || write_lines(&rx, out));
        QueueWriter { lines: tx, dropped_count: AtomicU64::new(0) }
    }

    fn push(&self, line: Vec<u8>) {
        let dropped_count = self.dropped_count.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"text\":\"{dropped_count} log lines dropped\"}}\n");
            if self.lines.try_send(note.into_bytes()).is_err() {
                self.dropped_count.fetch_add(dropped_count + 1, Ordering::Relaxed);
                return;
            }
        }
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_count.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        if record.target() == JSON_TARGET {
            let (level, time) = (record.level(), now.format_rfc3339());
            let text = record.args();
            write!(line, "{{\"level\":\"{level}\",\"timestamp\":\"{time}\",\"data\":{text}}}")?;
        } else {
            json_format(&mut line, now, record)?;
        }
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the last sender is dropped or writing fails.
fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        if out.write_all(&line).is_err() {
            return;
        }
        if let Err(e) = out.flush() {
            // Without a reader of the log, the error can't be logged either.
            drop(e);
            return;
        }
    }
}
