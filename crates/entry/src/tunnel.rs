//! A connection to a server by way of a peer, as the host that uses it sees it.
//!
//! The host opens a connection to the peer, names the server, and waits for the reply. From then on
//! its bytes go to the server as they are. The server's bytes arrive in frames, because the end of
//! the connection may be that of the peer: only an end frame is an end by the server.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use guavaspread_fleet::{HostLease, Server, TunnelFailure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use crate::connection_pool::connect;
use crate::peer_message::{PeerRequest, PeerResponse, TunnelReply, TunnelRequest};
use crate::peers::frame;
use crate::prelude::*;

/// How long a peer may take to open a tunnel: a few round trips, and its own connection to the
/// server. A caller waits for it, and may have lost time on direct connections already.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest reply of a peer.
const REPLY_BYTES_MAX: u32 = 1_024;
/// Bytes of the length before each frame.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Largest frame of a server's bytes.
pub(crate) const FRAME_BYTES_MAX: usize = 16 * 1024;
/// The length that marks the end of the server's bytes.
pub(crate) const END_MARK: u32 = 0;
/// The length that marks a tunnel that is to carry no further request: the peer stops.
pub(crate) const STOPPING_MARK: u32 = u32::MAX;

/// What is known of an open tunnel.
pub(crate) struct Tunnel {
    /// The peer.
    pub(crate) peer: Arc<str>,
    /// Whether the peer stops, so that the tunnel is to carry no further request.
    pub(crate) is_ending: Rc<Cell<bool>>,
}

/// Opens a tunnel to a server through a peer.
pub(crate) async fn open(
    peer: &HostLease,
    server: &Server,
) -> Result<(Tunnel, TunnelIo), TunnelFailure> {
    let opening = tokio::time::timeout(OPEN_TIMEOUT, request_tunnel(peer, server));
    let stream = opening.await.map_err(|_| TunnelFailure::NoResponse)??;
    let is_ending = Rc::new(Cell::new(false));
    let io = TunnelIo::new(stream, is_ending.clone());
    Ok((Tunnel { peer: peer.holder.clone(), is_ending }, io))
}

async fn request_tunnel(peer: &HostLease, server: &Server) -> Result<TcpStream, TunnelFailure> {
    let mut stream = connect(peer.address).await.map_err(|_| TunnelFailure::NoResponse)?;
    let (server, started_at_ms) = (server.id.clone(), server.started_at_ms);
    let message = frame(&PeerRequest::OpenTunnel(TunnelRequest { server, started_at_ms }));
    // A peer of an older build closes the connection at the unknown message.
    let reply = exchange(&mut stream, &message).await.map_err(|_| TunnelFailure::Closed)?;
    match postcard::from_bytes(&reply) {
        Ok(PeerResponse::Tunnel(TunnelReply::Opened)) => Ok(stream),
        Ok(PeerResponse::Tunnel(TunnelReply::Refused)) => Err(TunnelFailure::Refused),
        Ok(PeerResponse::Tunnel(TunnelReply::ServerUnreachable)) => {
            Err(TunnelFailure::ServerUnreachable)
        }
        Ok(_) | Err(_) => Err(TunnelFailure::Closed),
    }
}

/// Sends one message and reads exactly one reply: what follows belongs to the tunnel.
async fn exchange(stream: &mut TcpStream, message: &[u8]) -> io::Result<Vec<u8>> {
    let length = u32::try_from(message.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes(), message].concat()).await?;
    let length = stream.read_u32().await?;
    if length > REPLY_BYTES_MAX {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut reply = vec![0; length as usize];
    stream.read_exact(&mut reply).await?;
    Ok(reply)
}

/// The bytes to and from the server at the other end of a tunnel.
pub(crate) struct TunnelIo {
    stream: TcpStream,
    length: [u8; LENGTH_BYTES],
    length_bytes: usize,
    /// Bytes of the current frame that are still to be read.
    remaining: usize,
    has_ended: bool,
    is_ending: Rc<Cell<bool>>,
}

impl TunnelIo {
    fn new(stream: TcpStream, is_ending: Rc<Cell<bool>>) -> Self {
        let (length, length_bytes) = ([0; LENGTH_BYTES], 0);
        TunnelIo { stream, length, length_bytes, remaining: 0, has_ended: false, is_ending }
    }

    /// Reads the next frame's length; fails if the connection ends before it.
    fn poll_length(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<u32>> {
        while self.length_bytes < LENGTH_BYTES {
            let mut buf = ReadBuf::new(&mut self.length[self.length_bytes..]);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            let read = buf.filled().len();
            if read == 0 {
                return Poll::Ready(Err(broken()));
            }
            self.length_bytes += read;
        }
        self.length_bytes = 0;
        Poll::Ready(Ok(u32::from_be_bytes(self.length)))
    }

    /// Reads bytes of the current frame.
    fn poll_payload(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buf.remaining().min(self.remaining);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        if read == 0 {
            return Poll::Ready(Err(broken()));
        }
        buf.advance(read);
        self.remaining -= read;
        Poll::Ready(Ok(()))
    }
}

/// Returns the error of a tunnel that ended without an end frame.
fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the peer closed the tunnel")
}

impl AsyncRead for TunnelIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while !self.has_ended && buf.remaining() > 0 {
            if self.remaining > 0 {
                return self.poll_payload(cx, buf);
            }
            match ready!(self.poll_length(cx))? {
                END_MARK => self.has_ended = true,
                STOPPING_MARK => self.is_ending.set(true),
                length if length as usize <= FRAME_BYTES_MAX => self.remaining = length as usize,
                length => {
                    let detail = format!("the peer announced {length} bytes of a tunnel at once");
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
