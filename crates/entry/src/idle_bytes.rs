//! A bound on the bytes that a server sends without getting on with its answer.
//!
//! A faulty server may send a header line, headers, interim answers, a chunk's size or trailers
//! without end. What it sends is counted where it is read, so that it is cut off however that
//! is divided up.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::prelude::*;

/// Bytes between the request and the head of its answer, and between two pieces of a body: more
/// than one read of the HTTP library takes.
const BYTES_MAX: usize = 512 * 1024;

/// Says how much may still be read on a connection; without end before the first request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance(Rc<Cell<Option<usize>>>);

impl Allowance {
    /// Starts anew, as the answer has got on or is yet to begin.
    pub(crate) fn renew(&self) {
        self.0.set(Some(BYTES_MAX));
    }
}

/// Fails reads beyond an allowance.
pub(crate) struct Bounded<T> {
    io: T,
    allowance: Allowance,
}

impl<T> Bounded<T> {
    pub(crate) fn new(io: T, allowance: Allowance) -> Self {
        Bounded { io, allowance }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Bounded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.0.get() == Some(0) {
            let detail = "the answer does not get on";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Some(left) = self.allowance.0.get() {
            let read = buf.filled().len() - before;
            self.allowance.0.set(Some(left.saturating_sub(read)));
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Bounded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
