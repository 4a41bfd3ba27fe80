//! Logs whose reader does not read.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use guavaspread_telemetry::{OBJECT_TARGET, QueueWriter};
use log::{Level, Record};

/// A reader that takes nothing until it is let go, and passes on what it then reads.
struct Stuck {
    go: Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Once the test has let go, each read goes on at once.
        let _ = self.go.recv();
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
fn a_reader_that_does_not_read_holds_nobody_up() {
    let (go, wait) = channel();
    let (lines, read) = channel();
    let writer = QueueWriter::start(Stuck { go: wait, lines });
    for n in 0..20_000 {
        write(&writer, "test", &format!("line {n}"));
    }
    drop(go);
    let first = String::from_utf8(read.recv().unwrap()).unwrap();
    assert!(first.contains("line 0"));
    // The queue empties, and the next line states what was left out.
    let mut kept = 1;
    while read.recv_timeout(std::time::Duration::from_secs(1)).is_ok() {
        kept += 1;
    }
    assert!(kept < 20_000);
    write(&writer, "test", "after");
    let note = String::from_utf8(read.recv().unwrap()).unwrap();
    assert!(note.contains(&format!("{} lines left out", 20_000 - kept)), "{note}");
}

#[test]
fn an_object_is_written_as_one() {
    let (go, wait) = channel();
    let (lines, read) = channel();
    drop(go);
    let writer = QueueWriter::start(Stuck { go: wait, lines });
    write(&writer, OBJECT_TARGET, r#"{"request":"9c41"}"#);
    let line: serde_json::Value = serde_json::from_slice(&read.recv().unwrap()).unwrap();
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["data"]["request"], "9c41");
}
