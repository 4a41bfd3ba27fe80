//! A limit on the bytes that a server may send without progress in its response.
//!
//! A faulty server may send an endless header line, endless headers, interim responses, chunk
//! sizes or trailers. The limit counts the bytes as they are read from the socket, and so covers
//! all of these cases.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::prelude::*;

/// Bytes that may arrive between the request and the response head, and between two body frames.
///
/// Larger than one read of the HTTP library, so that a single read never exhausts the limit.
const BYTES_WITHOUT_PROGRESS_MAX: usize = 512 * 1024;

/// The bytes that may still be read on a connection; unlimited before the first request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadBudget(Rc<Cell<Option<usize>>>);

impl ReadBudget {
    /// Restores the full limit, at the start of a request or after progress in its response.
    pub(crate) fn reset(&self) {
        self.0.set(Some(BYTES_WITHOUT_PROGRESS_MAX));
    }
}

/// An I/O wrapper that fails reads once the read budget is used up.
pub(crate) struct BudgetedIo<T> {
    io: T,
    read_budget: ReadBudget,
}

impl<T> BudgetedIo<T> {
    pub(crate) fn new(io: T, read_budget: ReadBudget) -> Self {
        BudgetedIo { io, read_budget }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BudgetedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_budget.0.get() == Some(0) {
            let detail = "the response exceeded the byte limit without progress";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Some(remaining) = self.read_budget.0.get() {
            let read = buf.filled().len() - filled_before;
            self.read_budget.0.set(Some(remaining.saturating_sub(read)));
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BudgetedIo<T> {
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
