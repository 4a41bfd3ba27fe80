//! HTTP listeners for callers, for the load balancer's readiness check and for metrics.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::Poll;

use guavaspread_fleet::{CallerConnection, ConnectionAction};
use http::{Method, Request, Response, StatusCode, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::caller_io::{CallerIo, ConnectionState, ResetOnEnd, TrackedBody};
use crate::connection_pool::set_socket_options;
use crate::forward;
use crate::prelude::*;
use crate::state::EntryState;

/// Delay before the next `accept` after a failed one, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a caller may leave sent bytes unacknowledged, or read nothing, before the kernel closes its
/// connection. Shorter than a caller's time limit, it would cut answers to callers that read slowly.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);
/// Read buffer of a connection, which bounds the head of a request. The limit in force may rise up
/// to this size while the connection is open; beyond it, the connection is closed.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

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
    if let Err(e) = set_socket_options(&stream, CALLER_UNACKNOWLEDGED_TIMEOUT) {
        log::debug!("setting socket options on a caller's connection failed: {e}");
    }
    let mut limits = entry.limits.subscribe();
    let read_buffer_bytes = limits.borrow_and_update().header_bytes_max.max(READ_BUFFER_BYTES);
    let mut stopping = entry.stopping.subscribe();
    let is_stopping = *stopping.borrow_and_update();
    let reset_on_end = ResetOnEnd::default();
    let state = CallerConnection::new(read_buffer_bytes, entry.clock.now());
    let state: ConnectionState = Rc::new(RefCell::new(state));
    let unsent = entry.unsent_connections.clone();
    let io = CallerIo::new(stream, reset_on_end.clone(), state.clone(), unsent, entry.clock);
    let (clock, tracked) = (entry.clock, state.clone());
    let handler = service_fn(move |req: Request<Incoming>| {
        let (entry, reset_on_end) = (entry.clone(), reset_on_end.clone());
        tracked.borrow_mut().on_request();
        let state = tracked.clone();
        async move {
            let can_read_chunks = req.version() >= Version::HTTP_11;
            let is_head = req.method() == Method::HEAD;
            let mut res = forward::handle(entry, caller, req).await?;
            let has_length = is_head || res.headers().contains_key(header::CONTENT_LENGTH);
            if !can_read_chunks && !has_length {
                res.body_mut().reset_unless_complete(reset_on_end);
            }
            Ok::<_, Infallible>(res.map(|body| TrackedBody::new(body, state, clock)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Would hold for as long as the connection is open; `CallerConnection` decides instead.
        .header_read_timeout(None)
        .max_buf_size(read_buffer_bytes)
        .keep_alive(!is_stopping)
        .serve_connection(TokioIo::new(io), handler);
    tokio::pin!(connection);
    loop {
        let action = state.borrow_mut().next_action(&limits.borrow_and_update(), clock.now());
        let until = match action {
            ConnectionAction::KeepUntil(until) => until,
            ConnectionAction::Close => {
                connection.as_mut().graceful_shutdown();
                continue;
            }
            ConnectionAction::Abort => {
                log::debug!("a caller did not complete a request's head in time; closing");
                return;
            }
        };
        tokio::select! {
            ended = run(connection.as_mut(), &state) => match ended {
                Some(Ok(())) => return,
                Some(Err(e)) => {
                    log::debug!("a caller's connection ended with an error: {e}");
                    return;
                }
                None => {}
            },
            _ = stopping.changed() => connection.as_mut().graceful_shutdown(),
            _ = limits.changed() => {}
            () = tokio::time::sleep(until.saturating_sub(clock.now())) => {}
        }
    }
}

/// Runs a connection until it ends; returns `None` when the head of a request arrives in part, as
/// its time limit is then earlier than that of the idle connection.
async fn run<C: Future>(mut connection: Pin<&mut C>, state: &ConnectionState) -> Option<C::Output> {
    let was_reading_head = state.borrow().is_reading_head();
    poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(result) => Poll::Ready(Some(result)),
        Poll::Pending if !was_reading_head && state.borrow().is_reading_head() => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await
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
