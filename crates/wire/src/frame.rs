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

/// Sends frames on one stream.
pub struct FrameSender {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
}

impl FrameSender {
    /// Wraps the sending half of a stream.
    pub fn new(stream: SendStream) -> Self {
        FrameSender { inner: FramedWrite::new(stream, codec()) }
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails when the stream is gone.
    pub async fn send<T: Serialize>(&mut self, frame: &T) -> Result<()> {
        let buf = postcard::to_stdvec(frame).map_err(|e| Error::new(ErrorCode::BadFrame, e))?;
        let sent = self.inner.send(Bytes::from(buf)).await;
        sent.map_err(|e| Error::new(ErrorCode::Broken, e))
    }

    /// Ends the stream in order; the peer reads everything sent before.
    pub fn finish(mut self) {
        // A stream that the peer has closed already needs no ending.
        let _ = self.inner.get_mut().finish();
    }

    /// Waits until the peer has cancelled the stream or its connection is gone.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + 'static {
        let stopped = self.inner.get_ref().stopped();
        async move {
            // Every outcome of `stopped` means that nobody reads any more.
            let _ = stopped.await;
        }
    }
}

/// Receives frames from one stream.
pub struct FrameReceiver {
    inner: FramedRead<RecvStream, LengthDelimitedCodec>,
}

impl FrameReceiver {
    /// Wraps the receiving half of a stream.
    pub fn new(stream: RecvStream) -> Self {
        FrameReceiver { inner: FramedRead::new(stream, codec()) }
    }

    /// Receives the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream is gone or the frame is not a `T`.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(frame) = self.inner.next().await else {
            return Ok(None);
        };
        let buf = frame.map_err(|e| Error::new(ErrorCode::Broken, e))?;
        postcard::from_bytes(&buf).map(Some).map_err(|e| Error::new(ErrorCode::BadFrame, e))
    }
}
