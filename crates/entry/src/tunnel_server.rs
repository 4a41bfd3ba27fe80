//! Tunnels that this host serves: connections to servers for peers that don't reach these.

use std::io;

use futures::SinkExt;
use guavaspread_fleet::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::connection_pool::connect;
use crate::peer_message::{PeerResponse, TunnelReply, TunnelRequest};
use crate::peers::frame;
use crate::prelude::*;
use crate::state::EntryState;
use crate::tunnel::{END_MARK, FRAME_BYTES_MAX, LENGTH_BYTES, STOPPING_MARK};

/// Tunnels served at a time. Each takes two file descriptors and two buffers, which the requests of
/// this host's own callers need too.
const TUNNELS_SERVED_MAX: i64 = 128;
/// How long a server may take to accept a connection; the peer's own timeout is longer.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Buffer for the bytes to the server.
const COPY_BUFFER_BYTES: usize = 8 * 1024;

/// How long the bytes to the server are discarded after the tunnel ended. A connection that is closed
/// with unread bytes is reset, which discards the end of the response on its way to the peer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a tunnel ended.
enum End {
    /// The server closed its connection.
    Server,
    /// The server reset its connection; its last bytes are on their way to the peer.
    Reset,
    /// A connection failed, or the peer closed its one.
    Broken,
}

/// Counts a tunnel as served until dropped.
struct Served(Rc<EntryState>);

impl Served {
    fn start(entry: &Rc<EntryState>) -> Self {
        entry.metrics.tunnels_served.inc();
        Served(entry.clone())
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.0.metrics.tunnels_served.dec();
    }
}

/// Serves a tunnel on the connection of a peer that asked for it.
pub(crate) async fn serve(
    entry: Rc<EntryState>,
    mut framed: Framed<TcpStream, LengthDelimitedCodec>,
    request: TunnelRequest,
) {
    // The guard is held from here on, so that tunnels being opened count too.
    let has_capacity = entry.metrics.tunnels_served.get() < TUNNELS_SERVED_MAX;
    let _served = Served::start(&entry);
    let opened = match has_capacity {
        true => open(&entry, &request).await,
        false => Err(TunnelReply::Refused),
    };
    let reply = match &opened {
        Ok(_) => TunnelReply::Opened,
        Err(reply) => *reply,
    };
    if let Err(e) = framed.send(frame(&PeerResponse::Tunnel(reply))).await {
        log::debug!("a request for a tunnel to {} was not replied to: {e}", request.server);
        return;
    }
    let Ok(server) = opened else {
        entry.metrics.tunnels_refused.inc();
        log::debug!("no tunnel to {} for a peer: {reply:?}", request.server);
        return;
    };
    let parts = framed.into_parts();
    if !parts.read_buf.is_empty() {
        log::warn!("a peer sent bytes before its tunnel to {} was open", request.server);
        return;
    }
    relay(&entry, parts.io, server).await;
}

/// Connects to the server of a tunnel, always directly.
async fn open(entry: &Rc<EntryState>, request: &TunnelRequest) -> Result<TcpStream, TunnelReply> {
    if *entry.stopping.borrow() {
        return Err(TunnelReply::Refused);
    }
    let server = find(entry, request).ok_or(TunnelReply::ServerUnreachable)?;
    if entry.is_cut_off(&server.service) {
        return Err(TunnelReply::Refused);
    }
    let connecting = tokio::time::timeout(SERVER_CONNECT_TIMEOUT, connect(server.address));
    match connecting.await {
        Ok(Ok(stream)) => {
            entry.on_server_opened(&server);
            Ok(stream)
        }
        Ok(Err(_)) | Err(_) => {
            entry.on_server_open_failed(&server);
            Err(TunnelReply::ServerUnreachable)
        }
    }
}

/// Returns the server that a request names, if this host knows it.
fn find(entry: &EntryState, request: &TunnelRequest) -> Option<Arc<Server>> {
    let server_list = entry.server_list.borrow();
    let server = server_list.get(&request.server)?;
    (server.started_at_ms == request.started_at_ms).then(|| server.clone())
}

/// Copies bytes until either connection ends, and closes both.
///
/// Without the end mark, the peer takes the end of its connection for a failure.
async fn relay(entry: &EntryState, mut peer: TcpStream, mut server: TcpStream) {
    let (mut from_peer, mut to_peer) = peer.split();
    let (mut from_server, mut to_server) = server.split();
    let is_reset = Cell::new(false);
    let to_server = copy_to_server(&mut from_peer, &mut to_server, &is_reset);
    let ended = tokio::select! {
        ended = to_server => ended,
        ended = copy_to_peer(entry, &mut from_server, &mut to_peer, &is_reset) => ended,
    };
    let reason = match ended {
        Ok(End::Server) => "closed",
        Ok(End::Reset) => "reset",
        Ok(End::Broken) => return,
        Err(e) => return log::debug!("a tunnel broke: {e}"),
    };
    log::debug!("a tunnel ended: the server {reason} its connection");
    if let Err(e) = to_peer.shutdown().await {
        return log::debug!("a tunnel broke at its end: {e}");
    }
    if tokio::time::timeout(LINGER_TIMEOUT, discard(&mut from_peer)).await.is_err() {
        log::debug!("a peer kept its end of a tunnel open after the server's end");
    }
}

/// Reads until the connection ends or fails.
async fn discard(from_peer: &mut ReadHalf<'_>) {
    let mut buf = vec![0; COPY_BUFFER_BYTES];
    while from_peer.read(&mut buf).await.is_ok_and(|read| read > 0) {}
}

async fn copy_to_server(
    from_peer: &mut ReadHalf<'_>,
    to_server: &mut WriteHalf<'_>,
    is_reset: &Cell<bool>,
) -> io::Result<End> {
    let mut buf = vec![0; COPY_BUFFER_BYTES];
    loop {
        let read = from_peer.read(&mut buf).await?;
        if read == 0 {
            return Ok(End::Broken);
        }
        if let Err(e) = to_server.write_all(&buf[..read]).await {
            // The server may have responded before it closed the connection; reading tells. The
            // socket reports a reset only once, so that reading shows a plain end after it. The
            // error is `BrokenPipe` if the server had ended its response before the reset.
            is_reset.set(e.kind() != io::ErrorKind::BrokenPipe);
            return std::future::pending().await;
        }
    }
}

async fn copy_to_peer(
    entry: &EntryState,
    from_server: &mut ReadHalf<'_>,
    to_peer: &mut WriteHalf<'_>,
    is_reset: &Cell<bool>,
) -> io::Result<End> {
    let mut stopping = entry.stopping.subscribe();
    let mut buf = vec![0; LENGTH_BYTES + FRAME_BYTES_MAX];
    let mut is_announced = false;
    loop {
        let read = tokio::select! {
            read = from_server.read(&mut buf[LENGTH_BYTES..]) => read,
            _ = stopping.wait_for(|is_stopping| *is_stopping), if !is_announced => {
                is_announced = true;
                to_peer.write_all(&STOPPING_MARK.to_be_bytes()).await?;
                continue;
            }
        };
        let read = match read {
            Ok(0) if is_reset.get() => return Ok(End::Reset),
            Ok(0) => {
                to_peer.write_all(&END_MARK.to_be_bytes()).await?;
                return Ok(End::Server);
            }
            Ok(read) => read,
            Err(e) => {
                log::debug!("reading from the server of a tunnel failed: {e}");
                return Ok(End::Reset);
            }
        };
        // A read of at most `FRAME_BYTES_MAX` bytes fits.
        buf[..LENGTH_BYTES].copy_from_slice(&(read as u32).to_be_bytes());
        to_peer.write_all(&buf[..LENGTH_BYTES + read]).await?;
    }
}
