//! Guards against a response of the platform being taken for whole though its head is cut.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use guavaspread_store::{Category, HttpPlatformClient, PlatformClient, Transaction};

const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 24\r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Type: application/json\nTransfer-Encoding: chunked\n\n",
    "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n",
];

/// Starts a platform that sends the first bytes of each head in turn, and closes.
fn start_platform() -> (SocketAddr, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let cuts: Vec<&str> =
        HEADS.iter().flat_map(|head| (0..head.len()).map(|cut| &head[..cut])).collect();
    let count = cuts.len();
    std::thread::spawn(move || {
        for text in cuts {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            stream.write_all(text.as_bytes()).unwrap();
        }
    });
    (address, count)
}

#[ntex::test]
async fn a_commit_whose_response_head_is_cut_may_be_carried_out() {
    let (address, count) = start_platform();
    let platform = HttpPlatformClient::new(address).await.unwrap();
    for _ in 0..count {
        let result = platform.commit(&Transaction::default()).await;
        assert_eq!(result.unwrap_err().classify(), Category::MaybeCommitted);
    }
}

#[ntex::test]
async fn a_list_whose_response_head_is_cut_is_an_error() {
    let (address, count) = start_platform();
    let platform = HttpPlatformClient::new(address).await.unwrap();
    for _ in 0..count {
        assert!(platform.list("").await.is_err());
    }
}

/// The platform sends an interim response, and the response itself with the next request.
#[ntex::test]
async fn a_response_after_an_interim_one_is_not_that_of_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut buf = [0; 4_096];
                let mut next: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
                while stream.read(&mut buf).is_ok_and(|length| length > 0) {
                    if stream.write_all(next).is_err() {
                        return;
                    }
                    next = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]";
                }
            });
        }
    });
    let platform = HttpPlatformClient::new(address).await.unwrap();
    assert!(platform.list("a").await.is_err());
    let second = platform.list("b").await;
    assert!(second.is_err(), "the response to the first request: {second:?}");
}
