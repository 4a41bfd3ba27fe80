//! Guards against a client that takes part of an early response to a long upload for the whole, or a
//! status that is none for a response.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use guavaspread_engine::{
    BackendClient, BackendRequest, Category, HttpBackendClient, ResponsePart,
};
use test_case::test_case;

/// How long the client has to read the last bytes before a reset.
const READ_TIME: Duration = Duration::from_millis(20);
const ROUNDS: usize = 12;
const LONG: usize = 4_190_000;
const PART: &str = "HTTP/1.0 200 OK\r\n\r\npart";
const PART_OF_CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
const PART_OF_EVENTS: &str = "HTTP/1.0 200 OK\r\n\r\ndata: a\n\n";
const WHOLE: &str = "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole";

/// Starts a server that answers after it has read `read` bytes of the request, and then closes,
/// which resets the connection if more has arrived.
fn start_server(response: String, read: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = vec![0; read.max(1)];
            stream.read_exact(&mut buf).unwrap();
            stream.write_all(response.as_bytes()).unwrap();
            std::thread::sleep(READ_TIME);
        }
    });
    address
}

fn request(body: usize, stream: bool) -> BackendRequest {
    BackendRequest {
        id: 7,
        method: "POST".to_owned(),
        path: "/run".to_owned(),
        content_type: None,
        body: Bytes::from(vec![b'u'; body]),
        stream,
        idle_timeout_ms: 2_000,
        traceparent: String::new(),
    }
}

/// Returns the status and data of a response if the client takes it for complete.
async fn complete(address: SocketAddr, request: BackendRequest) -> Option<(u16, String)> {
    let backend = HttpBackendClient::new(address).await.unwrap();
    let parts: Vec<_> = match backend.send(request).await {
        Ok(parts) => parts.collect().await,
        Err(e) => {
            assert_eq!(e.classify(), Category::MaybeExecuted, "{e}");
            return None;
        }
    };
    let (mut status, mut text) = (0, String::new());
    for part in &parts {
        match part {
            Ok(ResponsePart::Head { status: received, .. }) => status = *received,
            Ok(ResponsePart::Data(data)) => text += &String::from_utf8_lossy(data),
            Ok(ResponsePart::Done) | Err(_) => {}
        }
    }
    matches!(parts.last(), Some(Ok(ResponsePart::Done))).then_some((status, text))
}

fn run<T: 'static>(test: impl Future<Output = T> + 'static) -> T {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(test)
}

#[test_case(PART, 100_000, 1_000, false; "an upload in the buffers")]
#[test_case(PART, LONG, 1, false; "a long upload, nothing read")]
#[test_case(PART, LONG, 65_536, false; "a long upload")]
#[test_case(PART, LONG, 2_000_000, false; "a long upload, half read")]
#[test_case(PART_OF_CHUNKS, LONG, 65_536, false; "chunks")]
#[test_case(PART_OF_EVENTS, LONG, 65_536, true; "a stream")]
fn a_reset_during_an_upload_is_no_end(
    response: &'static str,
    body: usize,
    read: usize,
    stream: bool,
) {
    let address = start_server(response.to_owned(), read);
    for round in 0..ROUNDS {
        let taken = run(complete(address, request(body, stream)));
        assert_eq!(taken, None, "round {round}");
    }
}

/// An early response that is whole is one, whatever becomes of the upload.
#[test_case(100_000; "an upload in the buffers")]
#[test_case(LONG; "a long upload")]
fn an_early_whole_response_is_delivered(body: usize) {
    let address = start_server(WHOLE.to_owned(), 50_000);
    for round in 0..ROUNDS {
        let taken = run(complete(address, request(body, false)));
        assert_eq!(taken, Some((413, "whole".to_owned())), "round {round}");
    }
}

#[test_case("000" => None; "zero")]
#[test_case("099" => None; "99")]
#[test_case("100" => None; "100")]
#[test_case("101" => None; "101")]
#[test_case("600" => None; "600")]
#[test_case("999" => None; "999")]
#[test_case("1000" => None; "four digits")]
#[test_case("20" => None; "two digits")]
#[test_case("+20" => None; "a sign")]
#[test_case("abc" => None; "letters")]
#[test_case("599" => Some((599, "whole".to_owned())); "599")]
fn a_status_that_is_none_is_no_response(status: &'static str) -> Option<(u16, String)> {
    let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 5\r\n\r\nwhole");
    run(complete(start_server(response, 1), request(0, false)))
}
