//! Tests that logging does not block while the reader of the log does not read.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use guavaspread_telemetry::{JSON_TARGET, QueueWriter};
use log::{Level, Record};

/// A writer that blocks until the test unblocks it, and then forwards the lines.
struct BlockedWriter {
    unblock: Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The test drops the sender to unblock all writes.
        let _ = self.unblock.recv();
        self.lines.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(writer: &QueueWriter, target: &str, text: &str) {
    let args = format_args!("{text}");
    let record = Record::builder().level(Level::Warn).target(target).args(args).build();
    writer.write(&mut DeferredNow::new(), &record).unwrap();
}

#[test]
fn blocked_reader_does_not_block_logging_and_dropped_lines_are_counted() {
    let (unblock, unblocked) = channel();
    let (lines, written) = channel();
    let writer = QueueWriter::start(BlockedWriter { unblock: unblocked, lines });
    for n in 0..20_000 {
        write(&writer, "test", &format!("line {n}"));
    }
    drop(unblock);
    // Each line that reaches the writer is a kept one, or states how many were dropped before it.
    let (mut kept, mut dropped) = (0, 0);
    let mut count = |line: Vec<u8>| {
        let line = String::from_utf8(line).unwrap();
        match dropped_count(&line) {
            Some(count) => dropped += count,
            None => kept += 1,
        }
        line
    };
    let first = count(written.recv().unwrap());
    assert!(first.contains("line 0"));
    while let Ok(line) = written.recv_timeout(std::time::Duration::from_secs(1)) {
        count(line);
    }
    // The queue is empty now, so the rest is stated before the next line.
    write(&writer, "test", "after");
    let note = count(written.recv().unwrap());
    assert!(dropped_count(&note).is_some(), "{note}");
    assert!(kept < 20_000);
    assert_eq!(kept + dropped, 20_000, "{note}");
}

/// Returns the number of dropped lines that a line states, if it states one.
fn dropped_count(line: &str) -> Option<u32> {
    line.strip_suffix(" log lines dropped\"}\n")?.rsplit('"').next()?.parse().ok()
}

#[test]
fn record_with_object_target_is_written_as_json_object() {
    let (unblock, unblocked) = channel();
    let (lines, written) = channel();
    drop(unblock);
    let writer = QueueWriter::start(BlockedWriter { unblock: unblocked, lines });
    write(&writer, JSON_TARGET, r#"{"request":"9c41"}"#);
    let line: serde_json::Value = serde_json::from_slice(&written.recv().unwrap()).unwrap();
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["data"]["request"], "9c41");
}
