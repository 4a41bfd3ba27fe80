//! A caller's connection that is reset if a response breaks off that nothing but the end of the
//! connection would end.
//!
//! To a caller of HTTP 1.0, a body without a length ends with the connection. A connection that
//! is closed in order would make any part of it look complete.
//!
//! The connection and its bodies also record what the connection is doing.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use guavaspread_fleet::CallerConnection;
use http_body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::prelude::*;

/// Whether the connection must be reset when it ends now; shared by a connection and the body that
/// is sent on it.
pub(crate) type ResetOnEnd = Rc<Cell<bool>>;

/// The number of callers' connections with bytes that the kernel has not taken yet.
pub(crate) type UnsentConnections = Rc<Cell<usize>>;

/// Counts a connection while it has unsent bytes.
struct UnsentGuard {
    connections: UnsentConnections,
    has_unsent: bool,
}

impl UnsentGuard {
    fn set(&mut self, has_unsent: bool) {
        match (std::mem::replace(&mut self.has_unsent, has_unsent), has_unsent) {
            (false, true) => self.connections.set(self.connections.get() + 1),
            (true, false) => self.connections.set(self.connections.get() - 1),
            (false, false) | (true, true) => {}
        }
    }
}

impl Drop for UnsentGuard {
    fn drop(&mut self) {
        self.set(false);
    }
}

/// What a connection is doing; shared by the connection and its bodies.
pub(crate) type ConnectionState = Rc<RefCell<CallerConnection>>;

/// The connection of a caller.
///
/// The kernel resets it as well if the process ends meanwhile.
pub(crate) struct CallerIo {
    stream: TcpStream,
    reset_on_end: ResetOnEnd,
    is_reset_set: bool,
    state: ConnectionState,
    unsent: UnsentGuard,
    clock: Clock,
}

impl CallerIo {
    pub(crate) fn new(
        stream: TcpStream,
        reset_on_end: ResetOnEnd,
        state: ConnectionState,
        connections: UnsentConnections,
        clock: Clock,
    ) -> Self {
        let unsent = UnsentGuard { connections, has_unsent: false };
        CallerIo { stream, reset_on_end, is_reset_set: false, state, unsent, clock }
    }

    /// Lets the kernel reset the connection when it closes, by a linger time of 0.
    fn set_reset(&mut self, is_set: bool) -> Result<()> {
        if is_set != self.is_reset_set {
            let linger = is_set.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.is_reset_set = is_set;
        }
        Ok(())
    }

    fn set_reset_if_needed(&mut self) -> Result<()> {
        // The flag is cleared only at the shutdown: before it, the last bytes may be unsent.
        if self.reset_on_end.get() { self.set_reset(true) } else { Ok(()) }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            self.state.borrow_mut().on_bytes(self.clock.now());
        }
        polled
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.set_reset_if_needed()?;
        self.unsent.set(true);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.set_reset_if_needed()?;
        self.unsent.set(true);
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        // The HTTP library flushes once it has written all that it had buffered.
        self.unsent.set(false);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.reset_on_end.get() {
            // A shutdown would end the connection in order; closing it resets it.
            return Poll::Ready(Ok(()));
        }
        self.set_reset(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A response body that records its end.
pub(crate) struct TrackedBody<B> {
    body: B,
    state: ConnectionState,
    clock: Clock,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, state: ConnectionState, clock: Clock) -> Self {
        TrackedBody { body, state, clock }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.state.borrow_mut().on_response_end(self.clock.now());
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
