//! Length-prefixed postcard frames on a QUIC stream.

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::error::{Error, ErrorCode, Result};

const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}

/// Writes frames to one QUIC stream.
pub struct FrameSender {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
}

impl FrameSender {
    /// Creates a sender from the sending half of a stream.
    pub fn new(stream: SendStream) -> Self {
        FrameSender { inner: FramedWrite::new(stream, codec()) }
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame can't be encoded or the stream is lost.
    pub async fn send<T: Serialize>(&mut self, frame: &T) -> Result<()> {
        let buf = postcard::to_stdvec(frame).map_err(|e| Error::new(ErrorCode::InvalidFrame, e))?;
        let sent = self.inner.send(Bytes::from(buf)).await;
        sent.map_err(|e| Error::new(ErrorCode::Interrupted, e))
    }

    /// Finishes the stream; the peer still receives all frames sent before.
    pub fn finish(mut self) {
        // An error means that the stream is closed already.
        let _ = self.inner.get_mut().finish();
    }

    /// Waits until the peer cancels the stream or the connection is lost.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + 'static {
        let stopped = self.inner.get_ref().stopped();
        async move {
            // Every result of `stopped`, also an error, means that the peer no longer reads.
            let _ = stopped.await;
        }
    }
}

/// Reads frames from one QUIC stream.
pub struct FrameReceiver {
    inner: FramedRead<RecvStream, LengthDelimitedCodec>,
}

impl FrameReceiver {
    /// Creates a receiver from the receiving half of a stream.
    pub fn new(stream: RecvStream) -> Self {
        FrameReceiver { inner: FramedRead::new(stream, codec()) }
    }

    /// Receives the next frame; returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream is lost or the frame does not decode as a `T`.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(frame) = self.inner.next().await else {
            return Ok(None);
        };
        let buf = frame.map_err(|e| Error::new(ErrorCode::Interrupted, e))?;
        postcard::from_bytes(&buf).map(Some).map_err(|e| Error::new(ErrorCode::InvalidFrame, e))
    }
}
