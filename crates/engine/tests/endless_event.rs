//! Guards against a client that collects an event without end until its memory is used up.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use guavaspread_engine::{BackendClient, BackendRequest, Category, HttpBackendClient};
use test_case::test_case;

/// The client's limit of an event, plus the kernel buffers of a loopback connection.
const ACCEPTED_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// What the server sends at most, so that the test ends.
const SENT_BYTES_MAX: usize = 48 * 1_024 * 1_024;
const PIECE_BYTES: usize = 16 * 1_024;

/// Starts a server that sends `start` in a stream, and then `piece` again and again.
fn start_server(start: &'static str, piece: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counted = accepted.clone();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut text = format!("{head}{:x}\r\n{start}\r\n", start.len());
        let piece = piece.repeat(PIECE_BYTES / piece.len());
        while counted.load(Ordering::Relaxed) < SENT_BYTES_MAX {
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            counted.fetch_add(text.len(), Ordering::Relaxed);
            text = format!("{:x}\r\n{piece}\r\n", piece.len());
            std::thread::sleep(Duration::from_micros(200));
        }
    });
    (address, accepted)
}

#[test_case("data: a\n\ndata: ", "x"; "a line")]
#[test_case("data: a\n\n", "data: x\n"; "lines")]
#[test_case("data: a\n\n", ": x\n"; "comments")]
fn an_event_without_end_is_an_error(start: &'static str, piece: &'static str) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(async move {
        let (address, accepted) = start_server(start, piece);
        let backend = HttpBackendClient::new(address).await.unwrap();
        let request = BackendRequest {
            id: 7,
            method: "GET".to_owned(),
            path: "/run".to_owned(),
            content_type: None,
            body: Bytes::new(),
            stream: true,
            idle_timeout_ms: 30_000,
            traceparent: String::new(),
        };
        let parts: Vec<_> = backend.send(request).await.unwrap().collect().await;
        let end = parts.last().unwrap().as_ref().unwrap_err();
        assert_eq!(end.classify(), Category::MaybeExecuted, "{end}");
        let accepted = accepted.load(Ordering::Relaxed);
        assert!(accepted < ACCEPTED_BYTES_MAX, "the client read {accepted} bytes of an event");
    });
}
