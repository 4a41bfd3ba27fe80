//! A server that sends a second copy of an answer, late, on a connection that may be in use
//! again.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use guavaspread_engine::{Backend, HttpBackend, Piece, RunRequest};

/// How late the second copy is; the next run begins at once.
const LATE: Duration = Duration::from_millis(40);

/// Answers each request by its own path, and sends the answer once more.
fn serve(mut stream: TcpStream) {
    let mut buf = [0; 4_096];
    while let Ok(length) = stream.read(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..length]).into_owned();
        let Some(path) = text.split(' ').nth(1) else { return };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(LATE);
        // The other side may have closed the connection, as it should.
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

fn run_of(path: &str) -> RunRequest {
    RunRequest {
        id: 7,
        method: "GET".to_owned(),
        path: path.to_owned(),
        content_type: None,
        body: Bytes::new(),
        stream: false,
        silence_ms: 2_000,
        traceparent: String::new(),
    }
}

#[ntex::test]
async fn a_late_second_copy_reaches_no_other_run() {
    let backend = HttpBackend::new(start()).await.unwrap();
    for number in 0..10 {
        let path = format!("/run/{number}");
        let pieces: Vec<_> = backend.run(run_of(&path)).await.unwrap().collect().await;
        let data: Vec<u8> = pieces
            .iter()
            .filter_map(|piece| match piece {
                Ok(Piece::Data(data)) => Some(data.to_vec()),
                _ => None,
            })
            .flatten()
            .collect();
        assert_eq!(String::from_utf8_lossy(&data), path);
    }
}
