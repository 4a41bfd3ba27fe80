//! Guards against a client that reads a delayed duplicate of a response, sent when the connection
//! may already carry the next request, as the response to that request.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use guavaspread_engine::{BackendClient, BackendRequest, HttpBackendClient, ResponsePart};

/// The delay of the duplicate; the next request starts without a delay.
const DUPLICATE_DELAY: Duration = Duration::from_millis(40);

/// Responds to each request with the request's path, twice.
fn serve(mut stream: TcpStream) {
    let mut buf = [0; 4_096];
    while let Ok(length) = stream.read(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..length]).into_owned();
        let Some(path) = text.split(' ').nth(1) else { return };
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(DUPLICATE_DELAY);
        // An error is expected: the client closes the connection after a response.
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn start_server() -> SocketAddr {
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

fn get_request(path: &str) -> BackendRequest {
    BackendRequest {
        id: 7,
        method: "GET".to_owned(),
        path: path.to_owned(),
        content_type: None,
        body: Bytes::new(),
        stream: false,
        idle_timeout_ms: 2_000,
        traceparent: String::new(),
    }
}

#[ntex::test]
async fn delayed_duplicate_response_is_not_read_by_the_next_request() {
    let backend = HttpBackendClient::new(start_server()).await.unwrap();
    for number in 0..10 {
        let path = format!("/run/{number}");
        let response_parts: Vec<_> =
            backend.send(get_request(&path)).await.unwrap().collect().await;
        let data: Vec<u8> = response_parts
            .iter()
            .filter_map(|part| match part {
                Ok(ResponsePart::Data(data)) => Some(data.to_vec()),
                _ => None,
            })
            .flatten()
            .collect();
        assert_eq!(String::from_utf8_lossy(&data), path);
    }
}
