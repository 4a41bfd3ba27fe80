//! HTTP listeners for callers, for the load balancer's readiness check and for metrics.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};

use http::{Method, Request, Response, StatusCode, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::caller_io::{CallerIo, ResetOnEnd};
use crate::connection_pool::set_socket_options;
use crate::forward;
use crate::prelude::*;
use crate::state::EntryState;

/// Delay before the next `accept` after a failed one, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The smallest read buffer that hyper accepts.
const READ_BUFFER_BYTES_MIN: usize = 8_192;

/// Listens on `address`, even while connections of a previous process are in TIME_WAIT.
///
/// # Errors
///
/// Fails when the address is in use.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Accepts and serves callers' connections until the process ends.
pub(crate) async fn serve_callers(entry: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                tokio::task::spawn_local(serve_caller(entry.clone(), stream, caller.ip()));
            }
            Err(e) => {
                log::warn!("accepting a caller's connection failed: {e}; retrying after a pause");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(entry: Rc<EntryState>, stream: TcpStream, caller: IpAddr) {
    if let Err(e) = set_socket_options(&stream) {
        log::debug!("setting socket options on a caller's connection failed: {e}");
    }
    let limits = entry.catalog.borrow().as_ref().map(|c| c.limits).unwrap_or_default();
    let mut stopping = entry.stopping.subscribe();
    let is_stopping = *stopping.borrow_and_update();
    let reset_on_end = ResetOnEnd::default();
    let io = CallerIo::new(stream, reset_on_end.clone());
    let handler = service_fn(move |req: Request<Incoming>| {
        let (entry, reset_on_end) = (entry.clone(), reset_on_end.clone());
        async move {
            let can_read_chunks = req.version() >= Version::HTTP_11;
            let is_head = req.method() == Method::HEAD;
            let mut res = forward::handle(entry, caller, req).await?;
            let has_length = is_head || res.headers().contains_key(header::CONTENT_LENGTH);
            if !can_read_chunks && !has_length {
                res.body_mut().reset_unless_complete(reset_on_end);
            }
            Ok::<_, Infallible>(res)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time between two requests towards the head of the second one.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes_max.max(READ_BUFFER_BYTES_MIN))
        .keep_alive(!is_stopping)
        .serve_connection(TokioIo::new(io), handler);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopping.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("a caller's connection ended with an error: {e}");
    }
}

/// Serves a plain-text page until the process ends.
pub(crate) async fn serve_text_page(
    listener: TcpListener,
    page: impl Fn() -> (StatusCode, String) + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let page = page.clone();
        tokio::task::spawn_local(async move {
            let handler = service_fn(move |_: Request<Incoming>| {
                let (status, text) = page();
                let mut res = Response::new(Full::new(Bytes::from(text)));
                *res.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(res))
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            if let Err(e) = served.await {
                log::debug!(
                    "a connection to the readiness or metrics page ended with an error: {e}"
                );
            }
        });
    }
}

/// Returns the response to the load balancer's readiness check.
pub(crate) fn readiness(entry: &EntryState) -> (StatusCode, String) {
    match entry.is_ready() {
        true => (StatusCode::OK, "ready\n".to_owned()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    }
}
