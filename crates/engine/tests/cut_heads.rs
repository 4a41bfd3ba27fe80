//! Guards against a client that takes a response for complete whose head, or body, is cut.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use guavaspread_engine::{
    BackendClient, BackendRequest, Category, HttpBackendClient, ResponsePart,
};
use socket2::SockRef;
use test_case::test_case;

/// How long the client has to read the last bytes before a reset, which would discard them.
const READ_TIME: Duration = Duration::from_millis(2);
/// Begins with digits, which a cut `Content-Length` could run into.
const BODY: &str = "34 whole\n";
const EVENTS: &str = "data: 34\n\ndata: [DONE]\n\n";

/// How a server ends the connection after the last byte.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    Reset,
    HalfClose,
}

/// Starts a server that sends the next text to each connection, and ends it as stated.
fn start_server(ending: Ending) -> (SocketAddr, Sender<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (texts, next): (_, Receiver<Vec<u8>>) = channel();
    std::thread::spawn(move || {
        for text in next {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream);
            stream.write_all(&text).unwrap();
            match ending {
                Ending::Close => {}
                Ending::Reset => {
                    std::thread::sleep(READ_TIME);
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                }
                Ending::HalfClose => {
                    stream.shutdown(Shutdown::Write).unwrap();
                    // The client closes, or resets.
                    let _ = stream.read(&mut [0; 64]);
                }
            }
        }
    });
    (address, texts)
}

fn read_request(stream: &mut TcpStream) {
    let (mut text, mut buf) = (Vec::new(), [0; 4_096]);
    loop {
        let length = stream.read(&mut buf).unwrap();
        assert!(length > 0);
        text.extend_from_slice(&buf[..length]);
        // Commands are JSON objects, and other requests have no body.
        let end: &[u8] = if text.starts_with(b"POST") { b"}" } else { b"\r\n\r\n" };
        if text.ends_with(end) {
            return;
        }
    }
}

fn request(stream: bool) -> BackendRequest {
    BackendRequest {
        id: 7,
        method: "GET".to_owned(),
        path: "/run".to_owned(),
        content_type: None,
        body: Bytes::new(),
        stream,
        idle_timeout_ms: 20_000,
        traceparent: String::new(),
    }
}

/// Returns the data of a response if the client takes it for complete.
async fn complete_data(backend: &HttpBackendClient, stream: bool) -> Option<String> {
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

/// Returns a whole response and the length of its head, with what precedes it.
fn response(framing: &str, interim: &str, line_end: &str, body: &str) -> (String, usize) {
    let length = body.len();
    let (version, framing_header) = match framing {
        "length" => ("1.1", format!("Content-Length: {length}\n")),
        "old length" => ("1.0", format!("Content-Length: {length}\n")),
        "chunks" => ("1.1", "Transfer-Encoding: chunked\n".to_owned()),
        "old" => ("1.0", String::new()),
        other => panic!("unknown framing {other}"),
    };
    let head = format!(
        "{interim}HTTP/{version} 200 OK\nX-Kind: a\nContent-Type: text/plain\n{framing_header}\n"
    )
    .replace('\n', line_end);
    let body = match framing {
        "chunks" => format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        _ => body.to_owned(),
    };
    let head_length = head.len();
    (head + &body, head_length)
}

fn run<T: 'static>(test: impl Future<Output = T> + 'static) -> T {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(test)
}

#[test_case("length", "", "\r\n", Ending::Close; "length")]
#[test_case("length", "", "\n", Ending::Close; "length, bare line feeds")]
#[test_case("length", "", "\r\n", Ending::Reset; "length, reset")]
#[test_case("length", "", "\r\n", Ending::HalfClose; "length, half close")]
#[test_case("chunks", "", "\r\n", Ending::Close; "chunks")]
#[test_case("chunks", "", "\n", Ending::HalfClose; "chunks, bare line feeds, half close")]
#[test_case("old", "", "\r\n", Ending::Close; "version 1.0")]
#[test_case("old", "", "\n", Ending::Reset; "version 1.0, bare line feeds, reset")]
#[test_case("old length", "", "\r\n", Ending::Close; "version 1.0 with a length")]
#[test_case("length", "HTTP/1.1 100 Continue\n\n", "\r\n", Ending::Close; "after a 100")]
#[test_case("chunks", "HTTP/1.1 103 Early Hints\nLink: <a>\n\n", "\r\n", Ending::Close; "after a 103")]
fn a_response_with_a_cut_head_is_not_complete(
    framing: &'static str,
    interim: &'static str,
    line_end: &'static str,
    ending: Ending,
) {
    run(async move {
        let (address, texts) = start_server(ending);
        let backend = HttpBackendClient::new(address).await.unwrap();
        for (stream, body) in [(false, BODY), (true, EVENTS)] {
            let (text, head_length) = response(framing, interim, line_end, body);
            for cut in 0..head_length {
                texts.send(text.as_bytes()[..cut].to_vec()).unwrap();
                let data = complete_data(&backend, stream).await;
                assert_eq!(data, None, "{:?}", &text[..cut]);
            }
        }
        let (text, _) = response(framing, interim, line_end, BODY);
        texts.send(text.into_bytes()).unwrap();
        let data = complete_data(&backend, false).await;
        // The client takes an interim response for the response, and rejects it.
        let is_rejected = !interim.is_empty() || matches!(ending, Ending::Reset);
        assert!(data.as_deref() == Some(BODY) || (is_rejected && data.is_none()), "{data:?}");
    });
}

/// An engine's report and its response to a command.
#[test_case("length", Ending::Close; "length")]
#[test_case("chunks", Ending::Reset; "chunks, reset")]
#[test_case("old", Ending::HalfClose; "version 1.0, half close")]
fn a_command_whose_response_head_is_cut_has_failed(framing: &'static str, ending: Ending) {
    run(async move {
        let (address, texts) = start_server(ending);
        let backend = HttpBackendClient::new(address).await.unwrap();
        let adapter = "acme/a1@1".parse().unwrap();
        let (text, head_length) = response(framing, "", "\r\n", "{\"data\":[]}");
        for cut in 0..head_length {
            for _ in 0..3 {
                texts.send(text.as_bytes()[..cut].to_vec()).unwrap();
            }
            assert!(backend.load_adapter(&adapter, 1).await.is_err(), "{:?}", &text[..cut]);
            assert!(backend.unload_adapter(&adapter, 1).await.is_err(), "{:?}", &text[..cut]);
            assert!(backend.list_adapters().await.is_err(), "{:?}", &text[..cut]);
        }
        texts.send(text.into_bytes()).unwrap();
        let list = backend.list_adapters().await;
        assert!(list.is_ok() || matches!(ending, Ending::Reset), "{list:?}");
    });
}

/// Of a response that states its length, no part is the whole, whichever version it has.
#[test_case("length"; "version 1.1")]
#[test_case("old length"; "version 1.0")]
#[test_case("chunks"; "chunks")]
fn a_response_with_a_cut_body_is_not_complete(framing: &'static str) {
    run(async move {
        let (address, texts) = start_server(Ending::Close);
        let backend = HttpBackendClient::new(address).await.unwrap();
        let (text, head_length) = response(framing, "", "\r\n", BODY);
        let wrong: Vec<_> = futures::stream::iter(head_length..text.len())
            .filter_map(async |cut| {
                texts.send(text.as_bytes()[..cut].to_vec()).unwrap();
                complete_data(&backend, false).await
            })
            .collect()
            .await;
        assert!(wrong.is_empty(), "taken for whole: {wrong:?}");
        texts.send(text.into_bytes()).unwrap();
        assert_eq!(complete_data(&backend, false).await.as_deref(), Some(BODY));
    });
}
