//! HTTP connections to backend servers and to the store, and their pool.
//!
//! A connection carries one request at a time and returns to the pool only after a complete
//! response. In every other case it is closed, so that bytes of one response can't be read as
//! part of the next one.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::{HeaderMap, Request, Response, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::collect::collect;
use crate::prelude::*;
use crate::read_budget::{BudgetedIo, ReadBudget};
use crate::tunnel::Tunnel;
use crate::unnamed_responses::UnnamedResponses;

/// How long a connection may take to open; a machine that is powered off never responds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a new connection is watched. A process that ends closes its connections one by one, and
/// may accept one before it stops listening.
const ACCEPTANCE_TIME: Duration = Duration::from_millis(10);
/// How long an idle connection is reusable when the server states no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An idle connection is discarded this long before the stated timeout: a request sent later
/// could meet the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle connections kept for each server.
const IDLE_CONNECTIONS_PER_SERVER_MAX: usize = 16;
/// Named refusals after which a connection is closed; it remembers the ids of the requests.
const REFUSALS_PER_CONNECTION_MAX: usize = 32;
/// Read buffer of a connection, which bounds the head of a response and each piece of its body. As
/// many buffers of the library's default size, 400 KiB, as a machine has connections would take all
/// of its memory.
const READ_BUFFER_BYTES: usize = 32 * 1_024;
/// How long sent bytes may stay unacknowledged before the kernel closes a connection to a server, to
/// a peer or to the store.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const TCP_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const TCP_KEEP_ALIVE_PROBES_MAX: u32 = 2;

/// The error of a request without a response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The connection failed; the server may have received the request.
    ConnectionLost(String),
    /// No response arrived in time; the server may have received the request.
    TimedOut(Duration),
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SendError::NotSent(detail) => write!(f, "not sent: {detail}"),
            SendError::ConnectionLost(detail) => write!(f, "no response: {detail}"),
            SendError::TimedOut(limit) => write!(f, "no response within {} ms", limit.as_millis()),
        }
    }
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    read_budget: ReadBudget,
    _connection_task: AbortOnDrop,
    /// The peer through which the connection leads; `None` if it is direct.
    tunnel: Option<Tunnel>,
    idle_until: Duration,
    /// Whether the connection has carried a request.
    is_used: bool,
    /// The requests that the server refused on the connection and named. It may send each refusal
    /// once more.
    refused: Vec<Arc<str>>,
}

/// Sets the socket options that detect an unreachable peer, and disables Nagle's algorithm.
///
/// The kernel closes the connection if sent bytes stay unacknowledged for `unacknowledged`, or if the
/// peer reads nothing for as long.
///
/// # Errors
///
/// Returns an error if an option can't be set.
pub fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(TCP_KEEP_ALIVE_INTERVAL)
        .with_interval(TCP_KEEP_ALIVE_INTERVAL)
        .with_retries(TCP_KEEP_ALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged))
}

/// Opens a TCP connection with the options of [`set_socket_options`].
///
/// # Errors
///
/// Returns an error if the connection is refused or takes longer than `CONNECT_TIMEOUT`.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    Ok(stream)
}

/// Returns whether a process that accepts connections listens on an address.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let Ok(stream) = connect(address).await else { return false };
    match tokio::time::timeout(ACCEPTANCE_TIME, stream.readable()).await {
        Err(_) => true,
        // The process is ending, or it has too many connections; only then it accepts another one.
        Ok(_) => connect(address).await.is_ok(),
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let stream = connect(address).await.map_err(|e| SendError::NotSent(e.to_string()))?;
        Connection::handshake(stream, address, None).await
    }

    /// Starts HTTP on an open stream; `tunnel` tells through which peer it leads.
    pub(crate) async fn handshake(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        address: SocketAddr,
        tunnel: Option<Tunnel>,
    ) -> Result<Self, SendError> {
        let read_budget = ReadBudget::default();
        let io = TokioIo::new(BudgetedIo::new(stream, read_budget.clone()));
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(io);
        let (sender, connection) =
            handshake.await.map_err(|e| SendError::NotSent(e.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address} failed: {e}");
            }
        });
        Ok(Connection {
            sender,
            read_budget,
            _connection_task: AbortOnDrop(driver),
            tunnel,
            idle_until: Duration::ZERO,
            is_used: false,
            refused: Vec::new(),
        })
    }

    /// Returns the peer through which the connection leads.
    pub(crate) fn peer(&self) -> Option<&Arc<str>> {
        self.tunnel.as_ref().map(|tunnel| &tunnel.peer)
    }

    /// Returns whether another request may be sent on the connection.
    fn is_reusable(&self, now: Duration) -> bool {
        let is_ending = self.tunnel.as_ref().is_some_and(|tunnel| tunnel.is_ending.get());
        self.idle_until > now && !is_ending && !self.sender.is_closed()
    }

    async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.read_budget.reset();
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut e) => {
                let is_unsent = e.take_message().is_some();
                let e = e.into_error();
                Err(match is_unsent {
                    true => SendError::NotSent(e.to_string()),
                    false if is_timeout(&e) => SendError::TimedOut(UNACKNOWLEDGED_TIMEOUT),
                    false => SendError::ConnectionLost(e.to_string()),
                })
            }
        }
    }
}

/// Returns whether a connection failed by a timeout, and was not closed by the peer.
pub(crate) fn is_timeout(e: &hyper::Error) -> bool {
    let cause = std::error::Error::source(e).and_then(|e| e.downcast_ref::<std::io::Error>());
    cause.is_some_and(|e| e.kind() == std::io::ErrorKind::TimedOut)
}

/// Sends a request over a new connection and returns the head of the response.
///
/// # Errors
///
/// The outer error means that no connection could be opened.
pub(crate) async fn send_once(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> std::io::Result<Result<http::response::Parts, SendError>> {
    let stream = connect(address).await?;
    let mut connection = match Connection::handshake(stream, address, None).await {
        Ok(connection) => connection,
        Err(e) => return Ok(Err(e)),
    };
    Ok(connection.send(req).await.map(|res| res.into_parts().0))
}

/// A server and the path to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ServerKey {
    pub(crate) address: SocketAddr,
    /// The server's id; two servers may use the same address one after the other.
    pub(crate) id: Arc<str>,
    pub(crate) path: ServerPath,
}

/// How a connection reaches its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ServerPath {
    Direct,
    /// Through a peer.
    Tunnel,
}

/// Whether a request may be sent on a connection that carried others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    Allowed,
    /// The response is to be the first one on its connection.
    Forbidden,
}

/// Pool of idle connections by server.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<ServerKey, Vec<Connection>>>,
    unnamed_responses: RefCell<UnnamedResponses>,
}

/// A response head, and its body, which occupies a connection.
pub struct ServerResponse {
    /// The status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: ResponseBody,
    /// Whether the connection carried no request before.
    pub(crate) is_first_on_connection: bool,
}

impl ServerResponse {
    /// Records that the server refused the request with this id and named it in the response.
    ///
    /// Closes the connection after [`REFUSALS_PER_CONNECTION_MAX`] of them.
    pub(crate) fn on_named_refusal(mut self, id: &Arc<str>) {
        let Some(connection) = &mut self.body.connection else { return };
        connection.refused.push(id.clone());
        if connection.refused.len() >= REFUSALS_PER_CONNECTION_MAX {
            self.close();
        }
    }

    /// Closes the connection, on which the server may still send what belongs to this request.
    pub(crate) fn close(mut self) {
        self.body.pool_slot = None;
    }
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response.
    ///
    /// An idle connection is reused only if it was opened for the same address and `server_id`, and
    /// if the server refused no request with this id on it: a copy of the refusal would be read as
    /// the response. The id is empty for a call that has none.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if no byte of the request was sent, and another variant if
    /// the server may have received it.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        server_id: &Arc<str>,
        request_id: &str,
        req: Request<Full<Bytes>>,
        clock: Clock,
    ) -> Result<ServerResponse, SendError> {
        let (id, path) = (server_id.clone(), ServerPath::Direct);
        let key = ServerKey { address, id, path };
        let connection = match self.take_idle(&key, request_id, clock.now()) {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        self.send_on(connection, key, req, clock).await
    }

    /// Sends a request on a connection to the server and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// As [`ConnectionPool::send`].
    pub(crate) async fn send_on(
        self: &Rc<Self>,
        mut connection: Connection,
        key: ServerKey,
        req: Request<Full<Bytes>>,
        clock: Clock,
    ) -> Result<ServerResponse, SendError> {
        let is_first_on_connection = !std::mem::replace(&mut connection.is_used, true);
        let res = connection.send(req).await?;
        let (head, body) = res.into_parts();
        let is_reusable = can_reuse(&head);
        let framing = Framing::of(&head);
        let pool_slot = is_reusable.then(|| {
            let idle_timeout = idle_timeout(&head.headers);
            Box::new(PoolSlot { pool: self.clone(), key, clock, idle_timeout })
        });
        Ok(ServerResponse {
            head,
            body: ResponseBody { body, framing, connection: Some(connection), pool_slot },
            is_first_on_connection,
        })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not complete within `limit`, or its body is larger than
    /// `bytes_max`.
    pub async fn send_and_collect(
        self: &Rc<Self>,
        address: SocketAddr,
        server_id: &Arc<str>,
        req: Request<Full<Bytes>>,
        clock: Clock,
        limit: Duration,
        bytes_max: usize,
    ) -> Result<(http::response::Parts, Bytes), SendError> {
        let call = async {
            let response = self.send(address, server_id, "", req, clock).await?;
            let body = collect(response.body, bytes_max).await;
            let body = body.map_err(|e| SendError::ConnectionLost(e.to_string()))?;
            Ok((response.head, body))
        };
        let timed = tokio::time::timeout(limit, call).await;
        timed.unwrap_or(Err(SendError::TimedOut(limit)))
    }

    /// Records a response of a server without an id.
    pub(crate) fn on_unnamed_response(&self, server_id: &Arc<str>, now: Duration) {
        self.unnamed_responses.borrow_mut().on_response(server_id, now);
    }

    /// Returns whether a request may be sent to a server on a kept connection.
    ///
    /// There, a response without an id counts for nothing, so that an answer would be lost, or a
    /// request that must not run twice could not be sent to another server.
    pub(crate) fn reuse(&self, server_id: &str, now: Duration) -> Reuse {
        match self.unnamed_responses.borrow().is_recent(server_id, now) {
            true => Reuse::Forbidden,
            false => Reuse::Allowed,
        }
    }

    /// Closes the idle connections to a server that started or left, and forgets what it did before.
    pub(crate) fn forget_server(&self, server_id: &str) {
        self.close_idle(server_id);
        self.unnamed_responses.borrow_mut().forget(server_id);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server_id: &str) {
        self.idle.borrow_mut().retain(|key, _| *key.id != *server_id);
    }

    /// Closes the idle connections to a server that use this path.
    pub(crate) fn close_idle_path(&self, server_id: &str, path: ServerPath) {
        self.idle.borrow_mut().retain(|key, _| *key.id != *server_id || key.path != path);
    }

    /// Closes idle connections whose timeout has passed.
    pub fn sweep(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| connection.is_reusable(now));
            !connections.is_empty()
        });
    }

    /// Takes an idle connection on which the server refused no request with this id.
    pub(crate) fn take_idle(
        &self,
        key: &ServerKey,
        request_id: &str,
        now: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        connections
            .retain(|connection| connection.is_reusable(now) && connection.sender.is_ready());
        // The server is least likely to have closed the most recently used connection.
        let has_refused = |connection: &Connection| {
            connection.refused.iter().any(|refused| **refused == *request_id)
        };
        let index = connections.iter().rposition(|connection| !has_refused(connection))?;
        Some(connections.remove(index))
    }

    /// Closes the idle connection that was used least recently.
    ///
    /// A server accepts a limited number of connections.
    pub(crate) fn close_oldest_idle(&self, key: &ServerKey) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(key)
            && !connections.is_empty()
        {
            connections.remove(0);
        }
    }

    fn put_idle(&self, pool_slot: &PoolSlot, mut connection: Connection) {
        connection.idle_until = pool_slot.clock.now() + pool_slot.idle_timeout;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(pool_slot.key.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_PER_SERVER_MAX {
            connections.push(connection);
        }
    }
}

/// Returns whether the connection is reusable after this response.
fn can_reuse(head: &http::response::Parts) -> bool {
    let closes = |value: &http::HeaderValue| {
        value.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close"))
    };
    head.version == http::Version::HTTP_11
        && Framing::of(head) != Framing::Close
        && !head.headers.get_all(header::CONNECTION).iter().any(closes)
}

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Framing {
    /// The length that the head states.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Close,
}

impl Framing {
    fn of(head: &http::response::Parts) -> Self {
        if matches!(head.status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED) {
            return Framing::Length;
        }
        let encoding = head.headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
        let ends_with_chunks = |encoding: &http::HeaderValue| {
            let text = encoding.to_str().map(|text| text.trim_end().to_ascii_lowercase());
            text.is_ok_and(|text| text.ends_with("chunked"))
        };
        match encoding {
            Some(encoding) if ends_with_chunks(encoding) => Framing::Chunks,
            Some(_) => Framing::Close,
            None if head.headers.contains_key(header::CONTENT_LENGTH) => Framing::Length,
            None => Framing::Close,
        }
    }
}

/// Returns how long the connection is reusable while idle.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    match seconds {
        Some(seconds) => {
            Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT * 4)
        }
        None => IDLE_TIMEOUT,
    }
}

struct PoolSlot {
    pool: Rc<ConnectionPool>,
    key: ServerKey,
    clock: Clock,
    idle_timeout: Duration,
}

/// The body of a response; dropping it before its end closes the connection.
pub struct ResponseBody {
    body: Incoming,
    framing: Framing,
    connection: Option<Connection>,
    pool_slot: Option<Box<PoolSlot>>,
}

impl ResponseBody {
    /// Returns what ends the body.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the body ends with its connection.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close && !self.body.is_end_stream()
    }

    fn return_to_pool(&mut self) {
        if let (Some(pool_slot), Some(connection)) = (self.pool_slot.take(), self.connection.take())
        {
            pool_slot.pool.put_idle(&pool_slot, connection);
        }
        self.connection = None;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Poll::Ready(Some(Ok(_))), Some(connection)) = (&polled, &self.connection) {
            connection.read_budget.reset();
        }
        match &polled {
            Poll::Ready(None) => self.return_to_pool(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.return_to_pool(),
            Poll::Ready(Some(Err(_))) => self.connection = None,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.return_to_pool();
        }
    }
}
