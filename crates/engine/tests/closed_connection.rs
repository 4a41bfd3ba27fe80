//! Guards against a request that a server received, and may have run, being reported as not sent
//! because the server closed the connection without a response.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use guavaspread_engine::{BackendClient, BackendRequest, Category, HttpBackendClient};
use socket2::SockRef;

const ROUNDS: usize = 20;

/// How a server closes a connection.
#[derive(Clone, Copy, Debug)]
enum Close {
    /// After it has read the whole request.
    InOrder,
    /// With unread bytes of the request, which resets the connection.
    Unread,
    /// After it has read the whole request, with a reset.
    Reset,
}

fn serve(mut stream: TcpStream, close: Close) {
    let mut buf = [0; 4_096];
    let size = match close {
        Close::InOrder | Close::Reset => buf.len(),
        Close::Unread => 10,
    };
    // The connection closes after this read, whatever it returns.
    let _ = stream.read(&mut buf[..size]);
    if matches!(close, Close::Reset) {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn start_server(close: Close) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            serve(stream.unwrap(), close);
        }
    });
    address
}

fn request(method: &str, body: &'static str) -> BackendRequest {
    BackendRequest {
        id: 7,
        method: method.to_owned(),
        path: "/run".to_owned(),
        content_type: None,
        body: Bytes::from(body),
        stream: false,
        idle_timeout_ms: 2_000,
        traceparent: String::new(),
    }
}

async fn send_category(address: SocketAddr, method: &str, body: &'static str) -> Category {
    let backend = HttpBackendClient::new(address).await.unwrap();
    match backend.send(request(method, body)).await {
        Ok(_) => panic!("the server sent no response"),
        Err(e) => e.classify(),
    }
}

#[ntex::test]
async fn request_on_a_closed_connection_may_have_run() {
    for close in [Close::InOrder, Close::Unread, Close::Reset] {
        let address = start_server(close);
        for (method, body) in [("GET", ""), ("POST", "body")] {
            for _ in 0..ROUNDS {
                let category = send_category(address, method, body).await;
                assert_eq!(category, Category::MaybeExecuted, "{method}, closed {close:?}");
            }
        }
    }
}

#[ntex::test]
async fn request_on_a_refused_connection_was_not_sent() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for (method, body) in [("GET", ""), ("POST", "body")] {
        assert_eq!(send_category(address, method, body).await, Category::NotSent, "{method}");
    }
}
