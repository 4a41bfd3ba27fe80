//! Connections to backend servers and to the store.
//!
//! A connection carries one request at a time and goes back to its pool only after a
//! whole answer. Anything else closes it, so that bytes of one answer can't be taken
//! for another's.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::{HeaderMap, Request, Response, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::idle_bytes::{Allowance, Bounded};
use crate::prelude::*;

/// How long a connection may take to open; a machine without power does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an idle connection is used again when the server states no time-out.
const IDLE_MAX: Duration = Duration::from_millis(1_000);
/// How long before the stated time-out an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle connections kept to one server.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// How long bytes may stay unacknowledged before the kernel gives a connection up.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Between keep-alive probes on an idle connection, and before the first.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES_MAX: u32 = 2;

/// Tells how a request failed that got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it left.
    NotSent(String),
    /// It may have been read, and the connection ended.
    Unknown(String),
    /// It may have been read, and nothing came back in time.
    Silent(Duration),
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SendError::NotSent(detail) => write!(f, "not sent: {detail}"),
            SendError::Unknown(detail) => write!(f, "no answer: {detail}"),
            SendError::Silent(limit) => write!(f, "no answer within {} ms", limit.as_millis()),
        }
    }
}

/// Ends the task that drives a connection, which closes it.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Holds one open connection.
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    _driver: Driver,
    idle_until: Duration,
}

/// Makes the kernel notice a peer that has gone silent.
///
/// # Errors
///
/// Fails when the socket refuses an option.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Opens a TCP connection with these options.
///
/// # Errors
///
/// Fails when nobody answers at `address` in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    set_options(&stream)?;
    Ok(stream)
}

impl Channel {
    async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let stream = connect(address).await.map_err(|e| SendError::NotSent(e.to_string()))?;
        Channel::over(stream, address).await
    }

    async fn over(stream: TcpStream, address: SocketAddr) -> Result<Self, SendError> {
        let allowance = Allowance::default();
        let io = TokioIo::new(Bounded::new(stream, allowance.clone()));
        let handshake = http1::Builder::new().handshake(io);
        let (sender, connection) =
            handshake.await.map_err(|e| SendError::NotSent(e.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("a connection to {address} ended: {e}");
            }
        });
        Ok(Channel { sender, allowance, _driver: Driver(driver), idle_until: Duration::ZERO })
    }

    async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.allowance.renew();
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let e = e.into_error();
                Err(match unsent {
                    true => SendError::NotSent(e.to_string()),
                    false if is_silence(&e) => SendError::Silent(USER_TIMEOUT),
                    false => SendError::Unknown(e.to_string()),
                })
            }
        }
    }
}

/// Tells whether a connection ended because nothing came back, rather than by the other side.
pub(crate) fn is_silence(e: &hyper::Error) -> bool {
    let cause = std::error::Error::source(e).and_then(|e| e.downcast_ref::<std::io::Error>());
    cause.is_some_and(|e| e.kind() == std::io::ErrorKind::TimedOut)
}

/// Sends a question over a connection of its own; `Err` tells why there is none.
pub(crate) async fn ask_once(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> std::io::Result<Result<http::response::Parts, SendError>> {
    let stream = connect(address).await?;
    let mut channel = match Channel::over(stream, address).await {
        Ok(channel) => channel,
        Err(e) => return Ok(Err(e)),
    };
    Ok(channel.send(req).await.map(|res| res.into_parts().0))
}

/// Tells the connections of two servers apart that had the same address.
type ServerKey = (SocketAddr, Arc<str>);

/// Keeps idle connections by server.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<ServerKey, Vec<Channel>>>,
}

/// Holds the head of an answer, and its body on a connection of its own.
pub struct Answered {
    /// The status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: AnswerBody,
}

impl Pool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// `owner` keeps the connections of two servers apart that had the same address.
    ///
    /// # Errors
    ///
    /// Tells a request of which no byte left from one that may have been read.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        owner: &Arc<str>,
        req: Request<Full<Bytes>>,
        clock: Clock,
    ) -> Result<Answered, SendError> {
        let mut channel = match self.take(address, owner, clock.now()) {
            Some(channel) => channel,
            None => Channel::open(address).await?,
        };
        let res = channel.send(req).await?;
        let (head, body) = res.into_parts();
        let kept = is_kept(&head);
        let home = kept.then(|| Home {
            pool: self.clone(),
            key: (address, owner.clone()),
            clock,
            idle_for: idle_time(&head.headers),
        });
        Ok(Answered { head, body: AnswerBody { body, channel: Some(channel), home } })
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer within `limit` or it is larger than `bytes_max`.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        owner: &Arc<str>,
        req: Request<Full<Bytes>>,
        clock: Clock,
        limit: Duration,
        bytes_max: usize,
    ) -> Result<(http::response::Parts, Bytes), SendError> {
        let call = async {
            let answered = self.send(address, owner, req, clock).await?;
            let body = Limited::new(answered.body, bytes_max).collect().await;
            let body = body.map_err(|e| SendError::Unknown(e.to_string()))?;
            Ok((answered.head, body.to_bytes()))
        };
        let timed = tokio::time::timeout(limit, call).await;
        timed.unwrap_or(Err(SendError::Silent(limit)))
    }

    /// Closes the idle connections to a server.
    pub fn close(&self, owner: &str) {
        self.idle.borrow_mut().retain(|(_, id), _| &**id != owner);
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, channels| {
            channels.retain(|channel| channel.idle_until > now && !channel.sender.is_closed());
            !channels.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, owner: &Arc<str>, now: Duration) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&(address, owner.clone()))?;
        // The one used last is the least likely to be closed by now.
        while let Some(channel) = channels.pop() {
            if channel.idle_until > now && channel.sender.is_ready() {
                return Some(channel);
            }
        }
        None
    }

    fn put(&self, home: &Home, mut channel: Channel) {
        channel.idle_until = home.clock.now() + home.idle_for;
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(home.key.clone()).or_default();
        if channels.len() < IDLE_CONNECTIONS_MAX {
            channels.push(channel);
        }
    }
}

/// Tells whether the connection may be used again behind this answer.
fn is_kept(head: &http::response::Parts) -> bool {
    let closes = |value: &http::HeaderValue| {
        value.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close"))
    };
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || head.status == http::StatusCode::NO_CONTENT
        || head.status == http::StatusCode::NOT_MODIFIED;
    head.version == http::Version::HTTP_11
        && framed
        && !head.headers.get_all(header::CONNECTION).iter().any(closes)
}

/// Returns how long the connection may stay idle and be used again.
fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(IDLE_MAX * 4),
        None => IDLE_MAX,
    }
}

struct Home {
    pool: Rc<Pool>,
    key: ServerKey,
    clock: Clock,
    idle_for: Duration,
}

/// Holds the body of an answer; dropping it before its end closes the connection.
pub struct AnswerBody {
    body: Incoming,
    channel: Option<Channel>,
    home: Option<Home>,
}

impl AnswerBody {
    fn release(&mut self) {
        if let (Some(home), Some(channel)) = (self.home.take(), self.channel.take()) {
            home.pool.put(&home, channel);
        }
        self.channel = None;
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Poll::Ready(Some(Ok(_))), Some(channel)) = (&polled, &self.channel) {
            channel.allowance.renew();
        }
        match &polled {
            Poll::Ready(None) => self.release(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.release(),
            Poll::Ready(Some(Err(_))) => self.channel = None,
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

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.release();
        }
    }
}
