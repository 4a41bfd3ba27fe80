//! Logs that never make the process wait.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, json_format};
use log::Record;

use crate::logs::{LogHandle, Result};

/// Lines waiting for the reader; beyond that lines are left out and counted.
const LINES_MAX: usize = 2_048;

/// The target of records whose text is a JSON object, which is written as one.
pub const OBJECT_TARGET: &str = "object";

/// Starts logging at `level` to standard output, as JSON lines.
///
/// Lines go through a queue to a thread of their own. While its reader does not read,
/// lines are left out; the next line that gets through states how many.
///
/// # Errors
///
/// Fails when `level` does not parse or logging has been started before.
pub fn start_bounded_logs(level: &str) -> Result<LogHandle> {
    let writer = QueueWriter::start(io::stdout());
    Logger::try_with_str(level)?.log_to_writer(Box::new(writer)).start()
}

/// Puts formatted lines into a bounded queue.
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    left_out: AtomicU64,
}

impl QueueWriter {
    /// Starts the thread that writes the lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(LINES_MAX);
        std::thread::spawn(move || write_lines(&rx, out));
        QueueWriter { lines: tx, left_out: AtomicU64::new(0) }
    }

    fn push(&self, line: Vec<u8>) {
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let note = format!("{{\"level\":\"WARN\",\"text\":\"{left_out} lines left out\"}}\n");
            if self.lines.try_send(note.into_bytes()).is_err() {
                self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
                return;
            }
        }
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.left_out.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        if record.target() == OBJECT_TARGET {
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

/// Writes lines until the last sender is gone or the reader has left.
fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        if out.write_all(&line).is_err() {
            return;
        }
        if let Err(e) = out.flush() {
            // Nobody is left to be told.
            drop(e);
            return;
        }
    }
}
