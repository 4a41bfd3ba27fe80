//! Callers' connections, and the pages for the load balancer and for metrics.

use std::net::{IpAddr, SocketAddr};

use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::channel::set_options;
use crate::prelude::*;
use crate::relay;
use crate::state::Entry;

/// How long accepting rests after a failure, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest buffer that hyper takes for the head of a request.
const HEAD_BYTES_MIN: usize = 8_192;

/// Listens on `address`, also while connections of a process before it linger.
///
/// # Errors
///
/// Fails when the address is taken.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Serves callers until the process ends.
pub(crate) async fn serve_callers(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                tokio::task::spawn_local(serve_caller(entry.clone(), stream, caller.ip()));
            }
            Err(e) => {
                log::warn!("a caller's connection was not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(entry: Rc<Entry>, stream: TcpStream, caller: IpAddr) {
    if let Err(e) = set_options(&stream) {
        log::debug!("a caller's connection takes no options: {e}");
    }
    let limits = entry.catalog.borrow().as_ref().map(|c| c.limits).unwrap_or_default();
    let mut stopping = entry.stopping.subscribe();
    let stops = *stopping.borrow_and_update();
    let handler = service_fn(move |req| relay::handle(entry.clone(), caller, req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the time between two requests as part of the second one's head.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
        .keep_alive(!stops)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopping.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("a caller's connection ended: {e}");
    }
}

/// Serves pages of plain text until the process ends.
pub(crate) async fn serve_page(
    listener: TcpListener,
    page: impl Fn() -> (StatusCode, String) + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let page = page.clone();
        tokio::task::spawn_local(async move {
            let handler = service_fn(move |_: Request<Incoming>| {
                let (status, text) = page();
                let mut res = Response::new(Full::new(Bytes::from(text)));
                *res.status_mut() = status;
                std::future::ready(Ok::<_, std::convert::Infallible>(res))
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            if let Err(e) = served.await {
                log::debug!("a page's connection ended: {e}");
            }
        });
    }
}

/// Answers the load balancer whether this host takes callers.
pub(crate) fn readiness(entry: &Entry) -> (StatusCode, String) {
    match entry.is_ready() {
        true => (StatusCode::OK, "ready\n".to_owned()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    }
}
