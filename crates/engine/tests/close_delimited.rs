//! Guards against a client that takes part of a response for the whole, because the response ends
//! with its connection.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use guavaspread_engine::{
    BackendClient, BackendRequest, Category, HttpBackendClient, ResponsePart,
};
use socket2::SockRef;
use test_case::test_case;

/// How long the client has to read the last bytes before a reset, which would discard them.
const READ_TIME: Duration = Duration::from_millis(60);

fn start_server(response: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4_096];
            let length = stream.read(&mut buf).unwrap();
            assert!(length > 0);
            stream.write_all(response.as_bytes()).unwrap();
            if is_reset {
                std::thread::sleep(READ_TIME);
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

fn request(stream: bool) -> BackendRequest {
    BackendRequest {
        id: 7,
        method: "GET".to_owned(),
        path: "/run".to_owned(),
        content_type: None,
        body: Bytes::new(),
        stream,
        idle_timeout_ms: 2_000,
        traceparent: String::new(),
    }
}

/// Returns the data of a response if the client takes it for complete.
async fn complete_data(response: &'static str, is_reset: bool, stream: bool) -> Option<String> {
    let backend = HttpBackendClient::new(start_server(response, is_reset)).await.unwrap();
    let parts: Vec<_> = match backend.send(request(stream)).await {
        Ok(parts) => parts.collect().await,
        Err(e) => {
            assert_eq!(e.classify(), Category::MaybeExecuted, "{e}");
            return None;
        }
    };
    let data = parts.iter().filter_map(|part| match part {
        Ok(ResponsePart::Data(data)) => Some(String::from_utf8_lossy(data)),
        _ => None,
    });
    matches!(parts.last(), Some(Ok(ResponsePart::Done))).then(|| data.collect())
}

fn run<T: 'static>(test: impl Future<Output = T> + 'static) -> T {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(test)
}

#[test_case("HTTP/1.0 200 OK\r\n\r\nwhole", false => Some("whole".to_owned()); "version 1.0")]
#[test_case("HTTP/1.0 200 OK\r\n\r\npart", true => None; "version 1.0, reset")]
#[test_case("HTTP/1.1 200 OK\r\n\r\npart", true => None; "no length, reset")]
#[test_case(
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", true => None;
    "connection close, reset"
)]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart", false => None; "short")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart", true => None; "short, reset")]
#[test_case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false => None;
    "no last chunk"
)]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", false => Some(String::new()); "no content")]
#[test_case(
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false => Some(String::new());
    "length of 0"
)]
fn a_response_is_complete_only_at_its_end(
    response: &'static str,
    is_reset: bool,
) -> Option<String> {
    run(complete_data(response, is_reset, false))
}

#[test_case("HTTP/1.1 200 OK\r\n\r\nwhole"; "no length")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"; "connection close")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhole"; "identity")]
fn a_response_without_a_length_is_not_taken_for_empty(response: &'static str) {
    let data = run(complete_data(response, false, false));
    assert!(data.as_deref().is_none_or(|data| data == "whole"), "{data:?}");
}

#[test_case("HTTP/1.0 200 OK\r\n\r\ndata: a\n\ndata: [DONE]\n\n", false => true; "end marker")]
#[test_case("HTTP/1.0 200 OK\r\n\r\ndata: a\n\ndata: [DO", false => false; "inside the end marker")]
#[test_case("HTTP/1.0 200 OK\r\n\r\ndata: a\n\n", false => false; "no end marker")]
#[test_case("HTTP/1.0 200 OK\r\n\r\ndata: a\n\ndata: [DO", true => false; "reset")]
#[test_case("HTTP/1.1 200 OK\r\n\r\ndata: a\n\ndata: [DO", true => false; "version 1.1, reset")]
fn a_stream_is_complete_only_after_its_end_marker(response: &'static str, is_reset: bool) -> bool {
    run(complete_data(response, is_reset, true)).is_some()
}
